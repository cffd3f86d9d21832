/// HTTP status codes (RFC 9110, section 15; RFC 6585) that the project's clients and servers
/// handle.
#pragma once

namespace robinhoist::http {

inline constexpr int status_ok = 200;
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_too_many_requests = 429;
inline constexpr int status_service_unavailable = 503;

}  // namespace robinhoist::http
