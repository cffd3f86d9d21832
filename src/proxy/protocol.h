/// The seam between the router and the protocol that clients and endpoints speak.
///
/// A Protocol turns a client's HTTP request into input of the decision engine, prepares attempts,
/// classifies their results and writes the final responses. It never decides about requests.
/// HttpProtocol is this project's own protocol, platform::PlatformProtocol the operators'.
#pragma once
#include <optional>
#include <string>

#include "http/connection_pool.h"
#include "http/server.h"
#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist::proxy {

/// Why a request is answered without the decision engine ever seeing it.
struct Rejection {
  int status;  ///< HTTP status, 4xx or 503
  std::string reason;
};

/// A client's request after parsing. With a rejection, the other fields have no meaning.
struct ParsedRequest {
  RequestInfo info{};
  http::Request forwarded{};  ///< as endpoints get it
  /// The client's own id, or empty. No two open requests may have the same.
  std::string client_id{};
  std::string_view idempotency_key{};  ///< for traces; points into the exchange's request
  std::optional<Rejection> rejection{};
};

/// The result of one attempt at an endpoint.
struct AttemptResult {
  Outcome outcome;
  LoadReport load{};
};

/// Translates the end of an HTTP call. `response_outcome` is what a complete response counts as,
/// the only part that depends on the protocol.
inline Outcome outcome_of(http::CallResult how, Outcome response_outcome) {
  switch (how) {
    case http::CallResult::answered:
      return response_outcome;
    case http::CallResult::connect_failed:
      return Outcome::connect_failure;
    case http::CallResult::not_sent:
      return Outcome::obsolete;
    case http::CallResult::malformed:
      return Outcome::error;
    case http::CallResult::timed_out:
      return Outcome::timeout;
    case http::CallResult::connection_lost:
    case http::CallResult::cancelled:
      break;
  }
  return Outcome::reset;
}

/// Stateless apart from its settings; outlives the Router that uses it.
class Protocol {
 public:
  virtual ~Protocol() = default;

  /// The response to a question about the proxy itself, such as its readiness. Nothing: it is a
  /// request to route.
  virtual std::optional<http::Response> admin_response(const http::Request& request,
                                                       bool ready) const = 0;
  /// Parses a request, moving its body out of the exchange. `request_id` is the number that the
  /// request gets if it is accepted.
  virtual ParsedRequest read(http::Exchange& exchange, int request_id) const = 0;
  /// Sets the headers that differ by attempt. Called when the attempt is written, which may be long
  /// after it was decided: `timeout` is the time left by then.
  virtual void prepare_attempt(http::Request& forwarded, std::size_t attempt,
                               Duration timeout) const = 0;
  /// Classifies a call's end; `response` is empty unless it ended as answered.
  virtual AttemptResult classify(http::CallResult how, const http::Response& response) const = 0;

  virtual http::Response rejected_before_routing(const Rejection& rejection) const = 0;
  virtual http::Response succeeded(http::Response&& from, const std::string& endpoint,
                                   int build) const = 0;
  /// The request did not run and may be sent again, after `retry_after` if that is not zero.
  virtual http::Response rejected(Duration retry_after, const std::string& reason) const = 0;
  /// The request may have run. `timed_out` tells a deadline from a broken attempt.
  virtual http::Response failed(bool timed_out, const std::string& reason) const = 0;
};

}  // namespace robinhoist::proxy
