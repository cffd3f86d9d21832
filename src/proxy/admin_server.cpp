#include "proxy/admin_server.h"

#include <string_view>

#include "json/reader.h"
#include "proxy/wire_names.h"

namespace robinhoist::proxy {
namespace {

constexpr std::size_t max_clients = 100;
constexpr std::string_view traces_path = "/txns";
constexpr std::string_view trace_path_prefix = "/txns/";

http::ServerSettings server_settings(const std::string& address) {
  http::ServerSettings settings;
  settings.listen = address;
  settings.max_clients = max_clients;
  return settings;
}

}  // namespace

AdminServer::AdminServer(net::Loop& loop, const std::string& address, Router& router)
    : router_(router),
      server_(loop, server_settings(address), [this](const http::ExchangePtr& exchange) {
        exchange->answer(respond(exchange->request));
      }) {}

http::Response AdminServer::respond(const http::Request& request) {
  const std::string_view path = request.path();
  if (request.method == "GET") {
    if (path == "/health")
      return http::text_response(200, "routes\n");
    if (path == "/status")
      return http::json_response(200, router_.status());
    if (path == traces_path)
      return http::text_response(200, router_.tracer().all_json());
    if (path.starts_with(trace_path_prefix))
      return trace(request);
  }
  if (request.method == "POST" && path == "/wrong")
    return report_wrong_answer(request);
  return http::text_response(404, "no such thing here\n");
}

http::Response AdminServer::trace(const http::Request& request) const {
  const std::string id = http::percent_decoded(request.path().substr(trace_path_prefix.size()));
  const std::string trace = router_.tracer().json(id);
  if (trace.empty())
    return http::text_response(404, "no trace of " + id + "\n");
  return http::json_response(200, trace);
}

http::Response AdminServer::report_wrong_answer(const http::Request& request) {
  try {
    const std::string endpoint = json::text(json::parse_object(request.body), wire_names::endpoint);
    if (router_.report_wrong_answer(endpoint, Duration{}))
      return http::json_response(200, "{}");
    return http::text_response(404, "no node " + endpoint + "\n");
  } catch (const json::DecodeError& error) {
    return http::text_response(422, std::string(error.what()) + "\n");
  }
}

}  // namespace robinhoist::proxy
