// The seam between the router and the protocol that its clients and endpoints speak: how a client's
// request becomes an arrival, how final answers are worded, how an attempt is built, and what an
// endpoint's answer means. Nothing here decides about requests. HttpProtocol is the project's own;
// src/platform has another.
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

// A request that the module never hears of, and the status that says why.
struct Rejection {
  int status;
  std::string why;
};

// A client's request as it was read.
struct ParsedRequest {
  RequestInfo info{};
  http::Request onward{};  // as it goes to endpoints
  std::string id{};  // the client's own; while a request of that id is open, no other is taken
  std::string_view mark{};  // of an idempotent request, for traces
  std::optional<Rejection> rejection{};
};

// What an attempt came to.
struct AttemptResult {
  Outcome outcome;
  LoadReport load{};
};

// `answered`: what an answer that came whole amounts to, which alone differs by protocol.
inline Outcome outcome_of(http::CallResult how, Outcome answered) {
  switch (how) {
    case http::CallResult::answered:
      return answered;
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

class Protocol {
 public:
  virtual ~Protocol() = default;
  // Questions about the proxy itself; none: it is a client's request.
  virtual std::optional<http::Response> admin_response(const http::Request& request,
                                                       bool routes) const = 0;
  // `request` is the number that the request gets if it is taken.
  virtual ParsedRequest read(http::Exchange& exchange, int request_id) const = 0;
  virtual void prepare_attempt(http::Request& onward, std::size_t number,
                               Duration within) const = 0;
  virtual AttemptResult classify(http::CallResult how, const http::Response& response) const = 0;

  virtual http::Response rejected_before_routing(const Rejection& rejection) const = 0;
  virtual http::Response succeeded(http::Response&& from, const std::string& endpoint,
                                   int build) const = 0;
  virtual http::Response rejected(Duration pause, const std::string& why) const = 0;
  virtual http::Response failed(bool late, const std::string& why) const = 0;
};

}  // namespace robinhoist::proxy
