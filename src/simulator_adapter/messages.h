/// Typed forms of those messages of the simulator that have more than one value. They contain the
/// simulator's names; Instance maps these to indices.
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

/// Number of banks. A bank is a numbered slot for an endpoint list, to which updates refer.
inline constexpr int bank_count = 16;

/// The endpoints in a bank and their names. EndpointInfo::endpoint is not set yet.
struct EndpointBank {
  int number;
  std::vector<EndpointInfo> entries;
  std::vector<std::string> names;  ///< by position in `entries`
};

/// An endpoint list update; its entries are in a bank.
struct EndpointsUpdated {
  EndpointUpdateKind kind;
  int bank;  ///< not set if the update failed
};

/// A proxy instance starts.
struct InstanceStarted {
  std::uint64_t salt;
  module_settings::ModuleSettings settings;
};

/// A request arrives. RequestInfo::request_id is not set yet.
struct RequestArrived {
  std::string name;
  RequestInfo info;
};

/// The numbers of request classes and tenants in an instance's settings.
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

/// An update of the release, the answer to a vote, or both.
struct ReleaseMessage {
  Outcome outcome;
  bool answers_vote;
  std::optional<ReleaseUpdate> release;  ///< may be absent in the answer to a failed vote
};

}  // namespace robinhoist::simulator_adapter
