// The seam between the router and the protocol that its clients and endpoints speak: how a client's
// request becomes an arrival, how final answers are worded, how an attempt is built, and what an
// endpoint's answer means. Nothing here decides about requests. HttpProtocol is the project's own;
// src/platform has another.
#pragma once
#include <optional>
#include <string>

#include "http/caller.h"
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
inline Outcome outcome_of(http::Ended how, Outcome answered) {
  switch (how) {
    case http::Ended::answered:
      return answered;
    case http::Ended::unreached:
      return Outcome::connect_failure;
    case http::Ended::withheld:
      return Outcome::obsolete;
    case http::Ended::garbled:
      return Outcome::error;
    case http::Ended::timed_out:
      return Outcome::timeout;
    case http::Ended::broken:
    case http::Ended::cancelled:
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
  virtual AttemptResult classify(http::Ended how, const http::Response& response) const = 0;

  virtual http::Response rejected_before_routing(const Rejection& rejection) const = 0;
  virtual http::Response succeeded(http::Response&& from, const std::string& endpoint,
                                   int build) const = 0;
  virtual http::Response rejected(Duration pause, const std::string& why) const = 0;
  virtual http::Response failed(bool late, const std::string& why) const = 0;
};

}  // namespace robinhoist::proxy
