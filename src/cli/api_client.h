/// Blocking HTTP requests of the command line to the admin APIs of controllers and proxies.
#pragma once
#include <functional>
#include <string>

#include "http/message.h"

namespace robinhoist::cli {

struct ApiResponse {
  int status = 0;  ///< 0: no response
  std::string body{};
  http::Headers headers{};
};

/// Both add the token of the environment variable ROBINHOIST_TOKEN, if there is one.
ApiResponse send_request(const std::string& address, http::Request request);
/// Passes the lines of a streamed response to `on_line` until the stream ends or `on_line` returns
/// false. Returns false when there was no stream; `response` then holds the response there was.
bool follow_stream(const std::string& address, const http::Request& request, ApiResponse& response,
                   const std::function<bool(const std::string& line)>& on_line);

}  // namespace robinhoist::cli
