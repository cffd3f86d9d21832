/// Fields, enumerators, paths and headers of the operators' protocol, as used in the configuration
/// file and on the wire. All of these literals are defined here and nowhere else in the code.
#pragma once
#include <initializer_list>
#include <utility>

#include "policy/endpoint.h"
#include "policy/release.h"

namespace robinhoist::platform::wire_names {

/// Request and response headers.
inline constexpr const char* request_id = "Request-Id";
inline constexpr const char* request_timeout = "Request-Timeout";
inline constexpr const char* idempotency_key = "Idempotency-Key";
inline constexpr const char* client_retry = "Client-Retry";
inline constexpr const char* request_info = "Request-Info";
inline constexpr const char* server_load = "Server-Load";
inline constexpr const char* not_started = "Not-Started";
inline constexpr const char* retry_after = "Retry-After";

/// Metrics of the Request-Info header.
inline constexpr const char* cost_hint_ms = "work_hint_ms";
inline constexpr const char* tenant = "org";

/// Request targets.
inline constexpr const char* readiness_path = "/up";
inline constexpr const char* discovery_path = "/discovery/hosts?watch=1&from=";
inline constexpr const char* release_watch_path = "/v1/watch";
inline constexpr const char* vote_path = "/v1/verdicts";

/// Fields and values of an endpoint list.
inline constexpr const char* list_version = "revision";
inline constexpr const char* list_complete = "complete";
inline constexpr const char* list_entries = "members";
inline constexpr const char* endpoint_name = "id";
inline constexpr const char* endpoint_address = "host_port";
inline constexpr const char* endpoint_zone = "locality";
inline constexpr const char* endpoint_cell = "cell";
inline constexpr const char* endpoint_build = "build";
inline constexpr const char* endpoint_phase = "phase";
inline constexpr const char* endpoint_size = "size";
inline constexpr const char* endpoint_started_ms = "up_since_ms";
inline constexpr std::initializer_list<std::pair<const char*, EndpointPhase>> endpoint_phases = {
    {"ready", EndpointPhase::ready},
    {"draining", EndpointPhase::draining},
    {"gone", EndpointPhase::removed}};

/// Fields and values of a release and of a vote on it.
inline constexpr const char* release_build = "Revision";
inline constexpr const char* release_stage = "Wave";
inline constexpr const char* release_phase = "State";
inline constexpr const char* release_cap = "MaxShare";
inline constexpr const char* age_ms = "AgeMs";
inline constexpr const char* vote_verdict = "Decision";
inline constexpr std::initializer_list<std::pair<const char*, ReleasePhase>> release_phases = {
    {"IN_PROGRESS", ReleasePhase::canary},
    {"ROLLING_BACK", ReleasePhase::rolling_back},
    {"COMPLETE", ReleasePhase::released},
    {"ROLLED_BACK", ReleasePhase::rolled_back}};

/// Fields and types of events of the release watch.
inline constexpr const char* event_type = "type";
inline constexpr const char* event_object = "object";
inline constexpr const char* release_event = "ROLLOUT";
inline constexpr const char* wrong_answer_event = "DISPUTE";
inline constexpr const char* wrong_answer_endpoint = "InstanceId";

inline const char* to_string(Verdict verdict) {
  switch (verdict) {
    case Verdict::promote:
      return "go";
    case Verdict::hold:
      return "stay";
    case Verdict::roll_back:
      return "stop";
    case Verdict::none:
      break;
  }
  return "blank";
}

}  // namespace robinhoist::platform::wire_names
