/// The admin API of a proxy, on a port of its own that clients must not reach:
///
/// - `GET /health`: 200 once it serves
/// - `GET /status`: counters and endpoints as JSON
/// - `GET /txns`: all traces, one JSON object a line
/// - `GET /txns/ID`: the trace of one request
/// - `POST /wrong` with `{"node": NAME}`: a client has found a response of that endpoint wrong
#pragma once
#include <string>

#include "http/server.h"
#include "proxy/router.h"

namespace robinhoist::proxy {

class AdminServer {
 public:
  /// Serves from now on. The router outlives the server. Throws std::runtime_error if the address
  /// is taken.
  AdminServer(net::Loop& loop, const std::string& address, Router& router);
  int port() const { return server_.port(); }

 private:
  http::Response respond(const http::Request& request);
  http::Response trace(const http::Request& request) const;
  http::Response report_wrong_answer(const http::Request& request);

  Router& router_;
  http::Server server_;
};

}  // namespace robinhoist::proxy
