#include "platform/router_settings.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

// Descriptors of the event loop, signals, listener, watches, votes and standard streams, and a few
// spare ones.
constexpr int reserved_sockets = 24;
constexpr std::size_t client_share_percent = 45;  // of the others; endpoints get the remainder
constexpr std::size_t kibibyte = 1024;
constexpr double mebibyte = 1024 * 1024;
constexpr std::size_t max_request_body = 64 * kibibyte;  // limit of the platform's protocol
constexpr std::size_t max_header = 8 * kibibyte;
// Endpoints may send responses above the protocol's limit, so the size of a response is limited by
// memory instead.
constexpr double max_response_share = 1.0 / 96;
// Requests, responses and their buffers.
constexpr double messages_share = 1.0 / 4;
constexpr double endpoint_list_share = 1.0 / 3;
constexpr double memory_per_endpoint = 3072;  // bytes, in the proxy and in the decision engine
constexpr Duration first_request_timeout = 2s;
constexpr Duration request_timeout = 2s;
constexpr Duration client_idle_timeout = 5s;
// On one connection; far more than a client gets that waits for each response.
constexpr double max_immediate_responses_per_s = 500;

// The given part of the memory, in bytes.
std::size_t memory_share(const Limits& limits, double share) {
  return static_cast<std::size_t>(limits.memory_mb * mebibyte * share);
}

std::size_t available_sockets(const Limits& limits) {
  return static_cast<std::size_t>(limits.sockets - reserved_sockets);
}

std::size_t client_sockets(const Limits& limits) {
  return available_sockets(limits) * client_share_percent / 100;
}

std::size_t max_response(const Limits& limits) {
  return std::max(max_request_body, memory_share(limits, max_response_share));
}

http::ServerSettings server_settings(const Config& config) {
  http::ServerSettings server;
  server.listen = config.listen;
  server.limits = {.max_header_bytes = max_header, .max_body_bytes = max_request_body};
  server.max_clients = client_sockets(config.limits);
  server.evict_idle = true;
  server.request_timeout = request_timeout;
  server.first_request_timeout = first_request_timeout;
  server.idle_timeout = client_idle_timeout;
  server.max_immediate_responses_per_s = max_immediate_responses_per_s;
  server.memory = std::make_shared<http::MemoryBudget>(memory_share(config.limits, messages_share));
  return server;
}

http::ConnectionPoolSettings upstream_settings(const Config& config) {
  http::ConnectionPoolSettings upstream;
  upstream.max_connections = available_sockets(config.limits) - client_sockets(config.limits);
  upstream.budget = std::make_shared<http::ConnectionBudget>(upstream.max_connections);
  upstream.connect_timeout = config.module_settings.connect_timeout;
  // Shorter than the endpoint's own timeout, so that the proxy closes an idle connection first.
  upstream.idle_timeout = config.module_settings.endpoint_idle_timeout * 4 / 5;
  upstream.limits = {.max_header_bytes = max_header,
                     .max_body_bytes = max_response(config.limits),
                     .require_length = true};
  return upstream;
}

}  // namespace

proxy::RouterSettings router_settings(const Config& config) {
  proxy::RouterSettings settings;
  settings.name = config.name;
  settings.seed = config.seed;
  settings.max_endpoints = static_cast<std::size_t>(
      static_cast<double>(memory_share(config.limits, endpoint_list_share)) / memory_per_endpoint);
  settings.server = server_settings(config);
  settings.upstream = upstream_settings(config);
  settings.upstream.memory = settings.server.memory;
  return settings;
}

}  // namespace robinhoist::platform
