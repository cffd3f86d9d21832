/// Names on the wire, in the admin API and in stored traces that differ from the terms used in the
/// code. They must not change; each is defined here once.
#pragma once

namespace robinhoist::proxy::wire_names {

/// Outcomes of a request in the Robinhoist-Outcome header, traces and the status report.
inline constexpr const char* succeeded = "settled";
inline constexpr const char* rejected = "declined";
inline constexpr const char* failed = "voided";
inline constexpr const char* rejected_before_routing = "not-taken";
inline constexpr const char* client_disconnected = "left";

/// Reasons in the Robinhoist-Why header and traces, other than the outcome of an attempt.
inline constexpr const char* no_capacity = "no-room";
inline constexpr const char* deadline_passed = "expired";
inline constexpr const char* response_received = "answered";

/// Field names in the JSON of the admin API.
inline constexpr const char* proxy = "umpire";
inline constexpr const char* request = "txn";
inline constexpr const char* attempt = "submission";
inline constexpr const char* attempts = "submissions";
inline constexpr const char* endpoint = "node";
inline constexpr const char* endpoints = "nodes";

}  // namespace robinhoist::proxy::wire_names
