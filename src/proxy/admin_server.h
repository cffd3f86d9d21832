/// The admin API of a proxy, on a separate port that must not be reachable for clients:
///
/// - `GET /health`: 200 once the proxy serves
/// - `GET /status`: counters and endpoints as JSON
/// - `GET /txns`: all traces, one JSON object per line
/// - `GET /txns/ID`: the trace of one request
/// - `POST /wrong` with `{"node": NAME}`: reports that a response of this endpoint was wrong
#pragma once
#include <string>

#include "http/server.h"
#include "proxy/router.h"

namespace robinhoist::proxy {

class AdminServer {
 public:
  /// Starts to serve. The router must outlive the server. Throws std::runtime_error if the address
  /// is in use.
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
