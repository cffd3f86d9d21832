// What an proxy is told about its deployment at its start: the module's settings, part by part, and
// the names behind the indices. One piece of code decodes the operators' object, for their
// simulator's wire and for their platform alike. Nothing here decides; figures come with the input
// alone.
#pragma once
#include <string>
#include <vector>

#include "json/reader.h"
#include "json/writer.h"
#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist::module_settings {

struct ModuleSettings {
  EndpointSettings endpoints{};
  CanaryQuotaSettings canary_quota{};
  AnalysisSettings analysis{};
  RequestSettings requests{};
  std::vector<std::string> request_classes{}, tenants{}, zones{};  // by index
  Duration connect_timeout{},
      keep_idle{};  // for a connection to come up; an idle one is closed by its endpoint

  int request_class(std::string_view name) const { return index(request_classes, name); }
  int zone(std::string_view name) const { return index(zones, name); }

 private:
  static int index(const std::vector<std::string>& among, std::string_view name);
};

// Of the object that an instance gets; DecodeError names the field and what is wrong with it.
ModuleSettings decode(const json::Value& object);

// Where a value of a load report belongs, by the words of `load_report`; null: not one of them.
std::optional<double>* load_field(LoadReport& load, std::string_view name);

}  // namespace robinhoist::module_settings
