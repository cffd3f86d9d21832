/// Names that clients, the admin API and stored traces of this project have always used for
/// concepts that the code calls otherwise. They may not change; each stands here once.
#pragma once

namespace robinhoist::proxy::wire_names {

/// How a request ended: header Robinhoist-Outcome, traces and the status report.
inline constexpr const char* succeeded = "settled";
inline constexpr const char* rejected = "declined";
inline constexpr const char* failed = "voided";
inline constexpr const char* rejected_before_routing = "not-taken";
inline constexpr const char* client_disconnected = "left";

/// Why a request ended that no attempt was made for: header Robinhoist-Why and traces.
inline constexpr const char* no_capacity = "no-room";
inline constexpr const char* deadline_passed = "expired";
inline constexpr const char* response_received = "answered";

/// Field names of the admin API's JSON.
inline constexpr const char* proxy = "umpire";
inline constexpr const char* request = "txn";
inline constexpr const char* attempt = "submission";
inline constexpr const char* attempts = "submissions";
inline constexpr const char* endpoint = "node";
inline constexpr const char* endpoints = "nodes";

}  // namespace robinhoist::proxy::wire_names
