/// HTTP status codes (RFC 9110, section 15; RFC 6585) that clients of the project's APIs handle.
#pragma once

namespace robinhoist::http {

inline constexpr int status_ok = 200;
inline constexpr int status_conflict = 409;
inline constexpr int status_gone = 410;
inline constexpr int status_too_many_requests = 429;

}  // namespace robinhoist::http
