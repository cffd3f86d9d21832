/// The settings that a proxy instance gets at its start: those of the decision module, and the
/// names that belong to its indices.
///
/// One decoder reads the operators' settings object, which their simulator and their platform
/// share.
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
  Duration connect_timeout{};                      ///< for establishing a connection to an endpoint
  Duration endpoint_idle_timeout{};  ///< after which an endpoint closes an idle connection

  /// The index of the request class or zone with this name, -1 if there is none.
  int request_class_index(std::string_view name) const;
  int zone_index(std::string_view name) const;
};

/// Decodes the settings object. Throws json::DecodeError, which names the field and the problem.
ModuleSettings decode(const json::Value& object);

/// A pointer to the value of `report` that has this name on the wire; null if no value has it.
std::optional<double>* load_field(LoadReport& report, std::string_view name);

}  // namespace robinhoist::module_settings
