#include "proxy/request_log.h"

#include <algorithm>

#include "rollout/names.h"
#include "time/units.h"

namespace robinhoist::proxy {
namespace {

constexpr double lines_per_second = 5;  // of each message
constexpr double line_burst = 30;

std::string elapsed_ms(const InFlightRequest& request, TimePoint now) {
  return log::text(to_millis(now - request.received_at));
}

std::string open_attempts(const InFlightRequest& request) {
  return log::text(std::count_if(request.attempts.begin(), request.attempts.end(),
                                 [](const InFlightAttempt& attempt) { return !attempt.ended; }));
}

}  // namespace

RequestLog::RequestLog(const log::Logger& log)
    : log_(log), limiter_(lines_per_second, line_burst) {}

void RequestLog::invalid_request(const http::RejectedInput& rejected, TimePoint now) {
  constexpr std::string_view message = "invalid request";
  if (const auto left_out = limiter_.admit(message, now))
    log_.warn(message, {{"client", rejected.client},
                        {"status", log::text(rejected.status)},
                        {"reason", rejected.reason},
                        {"left_out", log::text(*left_out)}});
}

void RequestLog::refused(std::string_view client_id, const Rejection& rejection, TimePoint now) {
  constexpr std::string_view message = "request refused";
  if (const auto left_out = limiter_.admit(message, now))
    log_.warn(message, {{"id", std::string(client_id)},
                        {"status", log::text(rejection.status)},
                        {"reason", rejection.reason},
                        {"left_out", log::text(*left_out)}});
}

void RequestLog::dropped(std::string_view client_id, TimePoint now) {
  constexpr std::string_view message = "request dropped";
  if (const auto left_out = limiter_.admit(message, now))
    log_.info(message, {{"id", std::string(client_id)}, {"left_out", log::text(*left_out)}});
}

void RequestLog::retried(const InFlightRequest& request, const std::string& endpoint,
                         TimePoint now) {
  const bool is_hedge = open_attempts(request) != "0";
  const std::string_view message = is_hedge ? "request hedged" : "request retried";
  if (const auto left_out = limiter_.admit(message, now))
    log_.info(message, {{"id", request.client_id},
                        {"attempt", log::text(request.attempts.size())},
                        {"endpoint", endpoint},
                        {"after", rollout::api_name(request.last_outcome)},
                        {"elapsed_ms", elapsed_ms(request, now)},
                        {"left_out", log::text(*left_out)}});
}

void RequestLog::attempt_failed(const InFlightRequest& request, std::size_t attempt,
                                const std::string& endpoint, Outcome outcome, TimePoint now) {
  constexpr std::string_view message = "attempt failed";
  if (const auto left_out = limiter_.admit(message, now))
    log_.info(message, {{"id", request.client_id},
                        {"attempt", log::text(attempt)},
                        {"endpoint", endpoint},
                        {"outcome", rollout::api_name(outcome)},
                        {"answered", request.answered ? "yes" : "no"},
                        {"elapsed_ms", elapsed_ms(request, now)},
                        {"left_out", log::text(*left_out)}});
}

void RequestLog::not_served(const InFlightRequest& request, std::string_view outcome,
                            std::string_view reason, TimePoint now) {
  constexpr std::string_view message = "request not served";
  if (const auto left_out = limiter_.admit(message, now))
    log_.info(message, {{"id", request.client_id},
                        {"outcome", std::string(outcome)},
                        {"reason", std::string(reason)},
                        {"attempts", log::text(request.attempts.size())},
                        {"elapsed_ms", elapsed_ms(request, now)},
                        {"left_out", log::text(*left_out)}});
}

void RequestLog::client_disconnected(const InFlightRequest& request, TimePoint now) {
  constexpr std::string_view message = "client disconnected";
  if (const auto left_out = limiter_.admit(message, now))
    log_.info(message, {{"id", request.client_id},
                        {"attempts", log::text(request.attempts.size())},
                        {"open_attempts", open_attempts(request)},
                        {"elapsed_ms", elapsed_ms(request, now)},
                        {"left_out", log::text(*left_out)}});
}

}  // namespace robinhoist::proxy
