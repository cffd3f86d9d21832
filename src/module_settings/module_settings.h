/// What a proxy instance is told about its deployment at its start: the decision module's settings,
/// and the names behind its indices.
///
/// One decoder reads the operators' settings object, for their simulator's wire and for their
/// platform alike.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "json/reader.h"
#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist::module_settings {

/// The settings of one proxy instance.
struct ModuleSettings {
  EndpointSettings endpoints{};
  CanaryQuotaSettings canary_quota{};
  AnalysisSettings analysis{};
  RequestSettings requests{};
  std::vector<std::string> request_class_names{};  ///< names, by index
  std::vector<std::string> tenant_names{};         ///< names, by index
  std::vector<std::string> zone_names{};           ///< names, by index
  Duration connect_timeout{};                      ///< for a connection to an endpoint to come up
  Duration endpoint_idle_timeout{};  ///< after which an endpoint closes an idle connection

  /// Index of the request class or zone with this name; -1: there is none.
  int request_class_index(std::string_view name) const;
  int zone_index(std::string_view name) const;
};

/// Reads the settings object. Throws json::DecodeError, which names the field and what is wrong
/// with it.
ModuleSettings decode(const json::Value& object);

/// The value of a load report with this name, to be read or set; null: no value has that name. The
/// pointer is into `report`.
std::optional<double>* load_field(LoadReport& report, std::string_view name);

}  // namespace robinhoist::module_settings
