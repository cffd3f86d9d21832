/// Shared by the tests of the operators' platform: its configuration file, a scripted service, and
/// JSON objects of the platform.
#pragma once
#include <fstream>
#include <functional>
#include <iterator>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "http/server.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::tests {

inline std::string config_text() {
  std::ifstream in(TESTS "/platform/config.json");
  return {std::istreambuf_iterator<char>(in), {}};
}

/// Replaces the first occurrence; throws std::runtime_error if there is none.
inline std::string replace_once(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  if (at == std::string::npos)
    throw std::runtime_error("text not found: " + from);
  return text.replace(at, from.size(), to);
}

/// The configuration with deadlines that are not reached on a busy machine.
inline std::string patient_config() {
  std::string text = config_text();
  for (int request_class = 0; request_class < 3; ++request_class)
    text = replace_once(text, R"("goal_time_ms": 300.0, "deadline_ms": 400.0)",
                        R"("goal_time_ms": 4000.0, "deadline_ms": 8000.0)");
  return text;
}

/// Whether memory is comparable with a limit: the address sanitizer uses several times as much.
#ifdef __SANITIZE_ADDRESS__
inline constexpr bool memory_is_comparable = false;
#else
inline constexpr bool memory_is_comparable = true;
#endif

/// A simulated service of the platform: a handler of the test responds, and requests are recorded.
class ScriptedService {
 public:
  using Handler = std::function<void(const http::ExchangePtr&)>;
  ScriptedService(net::Loop& loop, Handler handler)
      : handler_(std::move(handler)),
        server_(loop, http::ServerSettings{},
                [this](const http::ExchangePtr& exchange) { handle(exchange); }) {}

  int port() const { return server_.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

  std::vector<std::string> targets{};  ///< of all requests
  std::vector<std::string> bodies{};   ///< of all requests

 private:
  void handle(const http::ExchangePtr& exchange) {
    targets.push_back(exchange->request.target);
    bodies.push_back(exchange->request.body);
    exchanges_.push_back(exchange);
    handler_(exchange);
  }

  Handler handler_;
  std::vector<http::ExchangePtr> exchanges_{};  // keeps the connections open
  http::Server server_;
};

/// An endpoint list with one endpoint, as a line of the watch.
inline std::string endpoint_list(int revision, bool complete) {
  const std::string endpoint =
      R"({"id":"s1","host_port":"127.0.0.1:9","locality":"here","flavor":"m","cell":1,)"
      R"("phase":"ready","size":1.0,"up_since_ms":0,"build":1})";
  return "{\"revision\":" + std::to_string(revision) +
         ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" + endpoint + "]}\n";
}

inline std::string release_json(int build, int stage, const char* state, Duration age = {}) {
  return "{\"Revision\":" + std::to_string(build) + ",\"Wave\":" + std::to_string(stage) +
         ",\"State\":\"" + state +
         "\",\"MaxShare\":0.5,\"AgeMs\":" + std::to_string(age.count() / 1000) + "}";
}

/// A release as a line of the watch.
inline std::string release_event(const std::string& release) {
  return R"({"type":"ROLLOUT","object":)" + release + "}\n";
}

}  // namespace robinhoist::tests
