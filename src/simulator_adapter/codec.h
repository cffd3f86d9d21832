/// Codec of the simulator's wire: JSON objects to typed messages, decisions to JSON lines.
///
/// The decoders throw json::DecodeError, which names the field and what is wrong with it.
#pragma once
#include <optional>
#include <string>
#include <string_view>

#include "json/reader.h"
#include "policy/decision.h"
#include "simulator_adapter/messages.h"

namespace robinhoist::simulator_adapter {

EndpointBank decode_endpoint_bank(const json::Value& fields);
EndpointsUpdated decode_endpoints_updated(const json::Value& fields);
InstanceStarted decode_instance_started(const json::Value& fields);
/// Request class and tenant must lie within the limits.
RequestArrived decode_request_arrived(const json::Value& fields, const RequestLimits& limits);
AttemptEnded decode_attempt_ended(const json::Value& fields);
ReleaseMessage decode_release(const json::Value& fields);
/// An outcome with an unknown name is Outcome::unknown: the attempt may have run.
Outcome decode_outcome(const json::Value& fields);
/// Empty where there is none; values with unknown names or below zero are left out.
LoadReport decode_load_report(const json::Value& fields);
/// Checks a message of metrics, which the decision module does not use (docs/design.md says why).
void check_metrics(const json::Value& fields, int request_classes);

/// Names that a decision carries on the wire.
struct DecisionNames {
  std::string_view instance;
  std::optional<std::string_view> request;   ///< absent: the decision is about none
  std::optional<std::string_view> endpoint;  ///< absent: the decision is about none
};

/// One line with its line end.
std::string encode(const Decision& decision, const DecisionNames& names);
/// The line that closes a batch of decisions.
std::string encode_end_of_reply();

}  // namespace robinhoist::simulator_adapter
