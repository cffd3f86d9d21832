/// Messages of the simulator's wire in typed form, as far as they are more than one value. Names
/// are still the simulator's; the adapter maps them to indices.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "module_settings/module_settings.h"
#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"

namespace robinhoist::simulator_adapter {

/// Number of the banks that hold endpoint lists.
inline constexpr int bank_count = 16;

/// Endpoints with their names; the index in `info` is not set yet.
struct EndpointBank {
  int number;
  std::vector<EndpointInfo> entries;
  std::vector<std::string> names;  ///< by position in `entries`
};

/// An endpoint list update; its entries are those of a bank.
struct EndpointsUpdated {
  EndpointUpdateKind kind;
  int bank;  ///< counts unless the update failed
};

/// A proxy instance starts.
struct InstanceStarted {
  std::uint64_t salt;
  module_settings::ModuleSettings settings;
};

/// A request comes in; the id in `info` is not set yet.
struct RequestArrived {
  std::string name;
  RequestInfo info;
};

/// How many request classes and tenants an instance knows.
struct RequestLimits {
  int request_classes = 0;
  int tenants = 0;
};

/// An attempt has ended.
struct AttemptEnded {
  std::string request;
  int attempt;
  Outcome outcome;
  bool succeeded;
  LoadReport load;
};

/// News of the release, or the answer to a vote, or both.
struct ReleaseMessage {
  Outcome outcome;
  bool answers_vote;
  std::optional<ReleaseUpdate> release;  ///< absent where a failed vote brings none
};

}  // namespace robinhoist::simulator_adapter
