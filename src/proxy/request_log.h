/// Log lines about single requests that were refused, abandoned, retried or not served.
///
/// A request that is served at its first attempt leaves no line. The lines of each message are
/// limited in rate; `left_out` counts those missing since the one before.
#pragma once
#include <string>
#include <string_view>

#include "http/server.h"
#include "log/line_limiter.h"
#include "log/logger.h"
#include "proxy/in_flight_requests.h"
#include "proxy/protocol.h"
#include "time/time_types.h"

namespace robinhoist::proxy {

class RequestLog {
 public:
  explicit RequestLog(const log::Logger& log);

  /// The request could not be read as HTTP.
  void invalid_request(const http::RejectedInput& rejected, TimePoint now);
  /// The request was rejected before the decision engine got it. `client_id` is empty if it has no
  /// valid one.
  void refused(std::string_view client_id, const Rejection& rejection, TimePoint now);
  /// The client had closed its connection before its request was read.
  void dropped(std::string_view client_id, TimePoint now);
  /// An attempt after the first one.
  void retried(const InFlightRequest& request, const std::string& endpoint, TimePoint now);
  /// An attempt ended without the endpoint's response.
  void attempt_failed(const InFlightRequest& request, std::size_t attempt,
                      const std::string& endpoint, Outcome outcome, TimePoint now);
  /// The request got a final response other than an endpoint's.
  void not_served(const InFlightRequest& request, std::string_view outcome, std::string_view reason,
                  TimePoint now);
  /// The client disconnected before the response.
  void client_disconnected(const InFlightRequest& request, TimePoint now);

 private:
  const log::Logger& log_;
  log::LineLimiter limiter_;
};

}  // namespace robinhoist::proxy
