/// Codec of the simulator's wire protocol: decodes JSON objects to typed messages and encodes
/// decisions as JSON lines.
///
/// The decoders throw json::DecodeError, which names the field and the problem.
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
/// The request class and the tenant must be within the limits.
RequestArrived decode_request_arrived(const json::Value& fields, const RequestLimits& limits);
AttemptEnded decode_attempt_ended(const json::Value& fields);
ReleaseMessage decode_release(const json::Value& fields);
/// Returns Outcome::unknown for an unknown name: the attempt may have run.
Outcome decode_outcome(const json::Value& fields);
/// Empty if the message has no load report. Values with unknown names and negative values are
/// ignored.
LoadReport decode_load_report(const json::Value& fields);
/// Validates a metrics message. The decision module does not use it (docs/design.md says why).
void check_metrics(const json::Value& fields, int request_classes);

/// The wire's names of the objects that a decision refers to.
struct DecisionNames {
  std::string_view instance;
  std::optional<std::string_view> request;   ///< absent if the decision refers to no request
  std::optional<std::string_view> endpoint;  ///< absent if the decision refers to no endpoint
};

/// One line, including the line feed.
std::string encode(const Decision& decision, const DecisionNames& names);
/// The line that ends a batch of decisions.
std::string encode_end_of_reply();

}  // namespace robinhoist::simulator_adapter
