/// The edge of the REST API: authentication, rate limits, dispatch by method and path, and the one
/// place where errors become answers. Runs on the loop's thread.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "controller/api_request.h"
#include "controller/tokens.h"
#include "http/server.h"
#include "limits/token_bucket.h"
#include "net/loop.h"

namespace robinhoist::controller {

/// What answers one method of one path. A path such as /v1/releases/{name} takes any one segment in
/// place of {name}. A handler answers the exchange, now or later, or throws.
struct Route {
  std::string method;
  std::string path;
  Role role;
  std::function<void(const ApiRequest&)> handle;
};

/// Owns the HTTP server and its routes.
class ApiServer {
 public:
  /// Listens at once; requests are served as soon as the loop runs. `requests_per_s` is the limit
  /// of one client, 0 for none.
  ApiServer(net::Loop& loop, const http::ServerSettings& settings, std::vector<Token> tokens,
            double requests_per_s);

  /// To be set before the loop runs; routes that share a path are tried in this order.
  void set_routes(std::vector<Route> routes) { routes_ = std::move(routes); }
  const std::vector<Route>& routes() const { return routes_; }

  int port() const { return server_.port(); }
  void break_connections() { server_.reset_connections(); }

 private:
  void handle(const http::ExchangePtr& exchange);
  void dispatch(const http::ExchangePtr& exchange);

  net::Loop& loop_;
  Tokens tokens_;
  limits::TokenBucketLimiter rate_limits_;
  std::vector<Route> routes_{};
  http::Server server_;
};

}  // namespace robinhoist::controller
