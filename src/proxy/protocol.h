/// Interface between the router and the HTTP conventions of clients and endpoints.
///
/// A Protocol converts a client's HTTP request into input of the decision engine, prepares
/// attempts, classifies their results and writes the final responses. It makes no decisions about
/// requests. HttpProtocol implements this project's own protocol, platform::PlatformProtocol the
/// operators'.
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

/// Why a request is rejected before it is passed to the decision engine.
struct Rejection {
  int status;  ///< HTTP status, 4xx or 503
  std::string reason;
};

/// A client's request after parsing. If there is a rejection, the other fields are not valid.
struct ParsedRequest {
  RequestInfo info{};
  http::Request forwarded{};  ///< as sent to endpoints
  /// The client's own id for the request, or empty. It is unique among the open requests. With a
  /// rejection it is set if it was read before.
  std::string client_id{};
  std::string_view idempotency_key{};  ///< for traces; points into the exchange's request
  std::optional<Rejection> rejection{};
};

/// The result of one attempt at an endpoint.
struct AttemptResult {
  Outcome outcome;
  LoadReport load{};
};

/// Converts the result of an HTTP call to an outcome. `response_outcome` is the outcome for a
/// complete response, the only part that depends on the protocol.
inline Outcome outcome_of(http::CallResult how, Outcome response_outcome) {
  switch (how) {
    case http::CallResult::answered:
      return response_outcome;
    case http::CallResult::connect_failed:
      return Outcome::connect_failure;
    case http::CallResult::not_sent:
      return Outcome::obsolete;
    case http::CallResult::malformed:
    case http::CallResult::discarded:
      return Outcome::error;
    case http::CallResult::timed_out:
      return Outcome::timeout;
    case http::CallResult::connection_lost:
    case http::CallResult::cancelled:
      break;
  }
  return Outcome::reset;
}

/// Stateless apart from its settings. It must outlive the Router that uses it.
class Protocol {
 public:
  virtual ~Protocol() = default;

  /// Returns the response to a request about the proxy itself, such as its readiness, or nothing if
  /// the request is to be routed.
  virtual std::optional<http::Response> admin_response(const http::Request& request,
                                                       bool ready) const = 0;
  /// Parses a request and moves its body out of the exchange. `request_id` is the id of the request
  /// if it is accepted.
  virtual ParsedRequest read(http::Exchange& exchange, int request_id) const = 0;
  /// Sets the headers that differ by attempt. Called when the attempt is written to its connection,
  /// which may be long after the decision to make it; `timeout` is the time left at that moment.
  virtual void prepare_attempt(http::Request& forwarded, std::size_t attempt,
                               Duration timeout) const = 0;
  /// Classifies the result of a call. `response` is empty unless the result is `answered`.
  virtual AttemptResult classify(http::CallResult how, const http::Response& response) const = 0;

  virtual http::Response rejected_before_routing(const Rejection& rejection) const = 0;
  virtual http::Response succeeded(http::Response&& from, const std::string& endpoint,
                                   int build) const = 0;
  /// The request did not run and may be sent again, after `retry_after` if that is not zero.
  virtual http::Response rejected(Duration retry_after, const std::string& reason) const = 0;
  /// The request may have run. `timed_out` distinguishes a passed deadline from a failed attempt.
  virtual http::Response failed(bool timed_out, const std::string& reason) const = 0;
};

}  // namespace robinhoist::proxy
