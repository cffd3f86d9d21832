#include "cli/api_client.h"

#include <cstdlib>

#include "http/connection_pool.h"
#include "http/stream_client.h"

namespace robinhoist::cli {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_body_bytes = 64u << 20;

void add_token(http::Request& request) {
  if (const char* token = std::getenv("ROBINHOIST_TOKEN"))
    request.headers.add("Authorization", std::string("Bearer ") + token);
}

}  // namespace

ApiResponse send_request(const std::string& address, http::Request request) {
  add_token(request);
  net::Loop loop(net::steady_now());
  http::ConnectionPoolSettings settings;
  settings.connect_timeout = 2s;
  settings.limits.max_body_bytes = max_body_bytes;
  http::ConnectionPool pool(loop, Poco::Net::SocketAddress(address), settings);
  ApiResponse api_response;
  pool.call(request, 10s, [&](http::CallResult result, http::Response&& response) {
    if (result == http::CallResult::answered)
      api_response = {response.status, response.body, response.headers};
    loop.stop();
  });
  loop.run();
  return api_response;
}

bool follow_stream(const std::string& address, const http::Request& given, ApiResponse& response,
                   const std::function<bool(const std::string& line)>& on_line) {
  http::Request request = given;
  add_token(request);
  net::Loop loop(net::steady_now());
  http::MessageLimits limits;
  limits.max_body_bytes = max_body_bytes;
  http::StreamClient stream(loop, Poco::Net::SocketAddress(address), limits);
  bool has_streamed = false;
  stream.start(
      request, {30s, 30s},
      [&](std::string& body) {
        has_streamed = true;
        std::size_t from = 0;
        bool wants_more = true;
        for (std::size_t end; wants_more && (end = body.find('\n', from)) != std::string::npos;
             from = end + 1)
          wants_more = on_line(body.substr(from, end - from));
        body.erase(0, from);
        if (!wants_more)
          loop.stop();
        return from > 0;
      },
      [&](int status, const std::string& body) {
        response.status = status;
        response.body = body;
        loop.stop();
      });
  loop.run();
  return has_streamed;
}

}  // namespace robinhoist::cli
