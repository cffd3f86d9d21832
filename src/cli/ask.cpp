#include "cli/ask.h"

#include <cstdlib>

#include "http/connection_pool.h"
#include "http/stream_client.h"

namespace robinhoist::cli {

using namespace std::chrono_literals;

void add_token(http::Request& request) {
  if (const char* token = std::getenv("ROBINHOIST_TOKEN"))
    request.headers.add("Authorization", std::string("Bearer ") + token);
}

Asked ask(const std::string& address, http::Request request) {
  add_token(request);
  net::Loop loop(net::steady_now());
  http::ConnectionPoolSettings settings;
  settings.connect_timeout = 2s;
  settings.limits.max_body_bytes = 64u << 20;
  http::ConnectionPool caller(loop, Poco::Net::SocketAddress(address), settings);
  Asked asked;
  caller.call(request, 10s, [&](http::CallResult how, http::Response&& response) {
    if (how == http::CallResult::answered)
      asked = {response.status, response.body, response.headers};
    loop.stop();
  });
  loop.run();
  return asked;
}

bool follow(const std::string& address, const http::Request& given, Asked& asked,
            const std::function<bool(const std::string& line)>& line) {
  http::Request request = given;
  add_token(request);
  net::Loop loop(net::steady_now());
  http::MessageLimits limits;
  limits.max_body_bytes = 64u << 20;
  http::StreamClient stream(loop, Poco::Net::SocketAddress(address), limits);
  bool well = false;
  stream.start(
      request, {30s, 30s},
      [&](std::string& body) {
        well = true;
        std::size_t from = 0;
        bool on = true;
        for (std::size_t end; on && (end = body.find('\n', from)) != std::string::npos;
             from = end + 1)
          on = line(body.substr(from, end - from));
        body.erase(0, from);
        if (!on)
          loop.stop();
        return from > 0;
      },
      [&](int status, const std::string& body) {
        asked.status = status;
        asked.body = body;
        loop.stop();
      });
  loop.run();
  return well;
}

}  // namespace robinhoist::cli
