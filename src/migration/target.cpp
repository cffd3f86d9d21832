#include "migration/target.h"

#include "http/status.h"
#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::migration {
namespace {

using namespace std::chrono_literals;

constexpr const char* run_path = "/v1/steps/run";
constexpr const char* marker_path = "/v1/steps/mark";
constexpr const char* query_path = "/v1/query";

constexpr int status_fenced = 409;
constexpr int status_changed_nothing = 422;

http::ConnectionPoolSettings pool_settings() {
  http::ConnectionPoolSettings settings;
  settings.max_connections = 4;
  settings.connect_timeout = 2s;
  return settings;
}

std::string marker_of(int build, const Step& step) {
  return std::to_string(build) + "/" + step.id;
}

http::Request post(const char* path, std::string body) {
  http::Request request;
  request.method = "POST";
  request.target = path;
  request.headers.add("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

// The switch has no default, so that the compiler reports a missing result.
const char* call_failure_text(http::CallResult result) {
  switch (result) {
    case http::CallResult::answered:
      return "";
    case http::CallResult::connect_failed:
      return "not reached";
    case http::CallResult::not_sent:
      return "no connection free";
    case http::CallResult::connection_lost:
      return "connection broke";
    case http::CallResult::malformed:
      return "garbled answer";
    case http::CallResult::timed_out:
      return "no answer in time";
    case http::CallResult::discarded:
      return "no memory for the answer";
    case http::CallResult::cancelled:
      return "called off";
  }
  return "unknown";
}

std::string failure_text(http::CallResult result, const http::Response& response) {
  if (result == http::CallResult::answered)
    return "status " + std::to_string(response.status) + ": " + response.body;
  return call_failure_text(result);
}

std::string run_body(int build, const Step& step, Direction direction, std::int64_t cursor,
                     std::int64_t token) {
  const bool is_apply = direction == Direction::apply;
  json::Writer body;
  body.begin_object()
      .put("token", static_cast<long>(token))
      .put("mark", marker_of(build, step))
      .put("digest", step.digest)
      .put("undo", !is_apply)
      .put("statement", is_apply ? step.apply_statement : step.rollback_statement)
      .put("transactional", step.transactional);
  if (step.kind == StepKind::data && (is_apply || step.rollback_in_batches))
    body.put("table", step.table)
        .put("key", step.key_column)
        .put("batch", step.batch_rows)
        .put("after", static_cast<long>(cursor));
  body.put_ms("lock_ms", step.lock_timeout).end_object();
  return body.text();
}

RunOutcome parse_run_outcome(const std::string& body) {
  auto document = json::parse_object(body);
  const auto result = json::enumerator<StepResult>(
      document, "result", {{"done", StepResult::done}, {"more", StepResult::more}});
  return {.result = result,
          .cursor = static_cast<std::int64_t>(json::number_or(document, "after", 0)),
          .max_key = static_cast<std::int64_t>(json::number_or(document, "last", 0))};
}

RunOutcome run_outcome(http::CallResult result, const http::Response& response) {
  const std::string reason = failure_text(result, response);
  if (http::proves_not_sent(result))
    return {.result = StepResult::not_run, .reason = reason};
  if (result != http::CallResult::answered)
    return {.result = StepResult::unknown, .reason = reason};
  switch (response.status) {
    case http::status_ok:
      break;
    case status_fenced:
      return {.result = StepResult::fenced, .reason = reason};
    case status_changed_nothing:
      return {.result = StepResult::not_run, .reason = reason};
    default:
      return {.result = StepResult::unknown, .reason = reason};
  }
  try {
    return parse_run_outcome(response.body);
  } catch (const json::DecodeError& error) {
    return {.result = StepResult::unknown, .reason = error.what()};
  }
}

ProbeOutcome marker_outcome(http::CallResult result, const http::Response& response) {
  if (result != http::CallResult::answered || response.status != http::status_ok)
    return {.applied = ProbeResult::unknown, .reason = failure_text(result, response)};
  try {
    auto document = json::parse_object(response.body);
    const bool is_applied = json::boolean(document, "applied");
    return {.applied = is_applied ? ProbeResult::yes : ProbeResult::no,
            .cursor = static_cast<std::int64_t>(json::number(document, "after"))};
  } catch (const json::DecodeError& error) {
    return {.applied = ProbeResult::unknown, .reason = error.what()};
  }
}

ProbeOutcome check_outcome(http::CallResult result, const http::Response& response) {
  const bool is_answer =
      result == http::CallResult::answered &&
      (response.status == http::status_ok || response.status == status_changed_nothing);
  if (!is_answer)
    return {.applied = ProbeResult::unknown, .reason = failure_text(result, response)};
  // A query that fails, for example because a table is missing, shows that the step is not applied.
  if (response.status == status_changed_nothing)
    return {.applied = ProbeResult::no, .reason = response.body};
  try {
    auto document = json::parse_object(response.body);
    const bool is_applied = json::number_or(document, "value", 0) != 0;
    return {.applied = is_applied ? ProbeResult::yes : ProbeResult::no};
  } catch (const json::DecodeError& error) {
    return {.applied = ProbeResult::unknown, .reason = error.what()};
  }
}

}  // namespace

Target::Target(net::Loop& loop, const std::string& address)
    : connections_(loop, Poco::Net::SocketAddress(address), pool_settings()) {}

void Target::run(int build, const Step& step, Direction direction, std::int64_t cursor,
                 std::int64_t token, RunHandler handler) {
  const std::string body = run_body(build, step, direction, cursor, token);
  connections_.call(
      post(run_path, body), step.timeout,
      [handler = std::move(handler)](http::CallResult result, const http::Response& response) {
        handler(run_outcome(result, response));
      });
}

void Target::query_marker(int build, const Step& step, std::int64_t token, ProbeHandler handler) {
  json::Writer body;
  body.begin_object()
      .put("token", static_cast<long>(token))
      .put("mark", marker_of(build, step))
      .end_object();
  connections_.call(
      post(marker_path, body.text()), step.timeout,
      [handler = std::move(handler)](http::CallResult result, const http::Response& response) {
        handler(marker_outcome(result, response));
      });
}

void Target::run_check(const Step& step, ProbeHandler handler) {
  json::Writer body;
  body.begin_object().put("statement", step.check_query).end_object();
  connections_.call(
      post(query_path, body.text()), step.timeout,
      [handler = std::move(handler)](http::CallResult result, const http::Response& response) {
        handler(check_outcome(result, response));
      });
}

}  // namespace robinhoist::migration
