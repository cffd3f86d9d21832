/// The entry point of the REST API: authentication, rate limits, dispatch by method and path, and
/// conversion of errors to responses. Runs on the loop's thread.
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

/// The handler for one method of one path. In a path such as /v1/releases/{name}, {name} matches
/// any single segment. A handler either throws or answers the exchange, at once or later.
struct Route {
  std::string method;
  std::string path;
  Role role;
  std::function<void(const ApiRequest&)> handle;
};

/// Owns the HTTP server and its routes.
class ApiServer {
 public:
  /// Starts listening; requests are served as soon as the loop runs. `requests_per_s` is the rate
  /// limit per client, 0 for no limit.
  ApiServer(net::Loop& loop, const http::ServerSettings& settings, std::vector<Token> tokens,
            double requests_per_s);

  /// Must be called before the loop runs. Routes are matched in the given order.
  void set_routes(std::vector<Route> routes) { routes_ = std::move(routes); }
  const std::vector<Route>& routes() const { return routes_; }

  int port() const { return server_.port(); }
  void reset_connections() { server_.reset_connections(); }

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
