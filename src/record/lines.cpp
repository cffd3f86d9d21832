#include "record/lines.h"

namespace robinhoist::record {
namespace {
// Microseconds since the epoch of the clock, as in the event log.
template <class Point>
long micros(Point at) {
  return static_cast<long>(at.time_since_epoch().count());
}

json::Writer& begin(json::Writer& out, TimePoint at, const char* event) {
  return out.begin_object().put("t", micros(at)).put("e", event);
}
}  // namespace

void server_started(Writer& log, TimePoint at, const ServerStart& start) {
  json::Writer out;
  begin(out, at, "start").put("zone", start.zone).put("cell", start.cell);
  out.put("started", micros(start.started)).put("node", start.endpoint).put("build", start.build);
  out.put("cold", start.cold).put("cores", start.cores).put("speed", start.speed);
  log.write_line(out.end_object().text());
}

void server_stopped(Writer& log, TimePoint at, std::string_view endpoint, double max_cold_load,
                    bool collapsed) {
  json::Writer out;
  begin(out, at, "stop")
      .put("node", endpoint)
      .put("most_pushed", max_cold_load)
      .put("fell", collapsed);
  log.write_line(out.end_object().text());
}

void request_arrived(Writer& log, TimePoint at, const char* event, const Arrival& arrival) {
  json::Writer out;
  begin(out, at, event)
      .put("node", arrival.endpoint)
      .put("build", arrival.build)
      .put("id", static_cast<long>(arrival.work_id));
  out.put("product", arrival.request_class)
      .put("txn", arrival.request_name)
      .put("submission", arrival.attempt);
  out.put("try", arrival.client_attempt_id).put("key", arrival.key).put("work", arrival.work);
  log.write_line(out.end_object().text());
}

void work_completed(Writer& log, TimePoint at, std::string_view endpoint, std::int64_t work_id,
                    const char* result, bool changed_data) {
  json::Writer out;
  begin(out, at, "ran")
      .put("node", endpoint)
      .put("id", static_cast<long>(work_id))
      .put("how", result)
      .put("effect", changed_data);
  log.write_line(out.end_object().text());
}

void endpoints_notified(Writer& log, TimePoint at, std::string_view proxy,
                        const std::vector<registry::Endpoint>& endpoints, bool complete) {
  json::Writer out;
  begin(out, at, "list").put("umpire", proxy).put("whole", complete).begin_array("nodes");
  for (const registry::Endpoint& endpoint : endpoints)
    out.begin_object()
        .put("name", endpoint.name)
        .put("phase", endpoint.phase == EndpointPhase::ready      ? "in"
                      : endpoint.phase == EndpointPhase::draining ? "lame"
                                                                  : "out")
        .put("build", endpoint.build)
        .put("started", micros(endpoint.started))
        .end_object();
  log.write_line(out.end_array().end_object().text());
}

void release_notified(Writer& log, TimePoint at, std::string_view proxy, int build, int stage,
                      std::string_view phase, double cap) {
  json::Writer out;
  begin(out, at, "news").put("umpire", proxy).put("build", build).put("stage", stage);
  log.write_line(out.put("phase", phase).put("cap", cap).end_object().text());
}

void vote_received(Writer& log, TimePoint at, std::string_view proxy, int build, int stage,
                   const char* verdict, const char* outcome) {
  json::Writer out;
  begin(out, at, "vote").put("umpire", proxy).put("build", build).put("stage", stage);
  log.write_line(out.put("verdict", verdict).put("outcome", outcome).end_object().text());
}

void release_changed(Writer& log, TimePoint at, int build, int stage, const char* phase,
                     std::string_view reason) {
  json::Writer out;
  begin(out, at, "release")
      .put("build", build)
      .put("stage", stage)
      .put("phase", phase)
      .put("why", reason);
  log.write_line(out.end_object().text());
}

void proxy_process_event(Writer& log, TimePoint at, std::string_view proxy, const char* event) {
  json::Writer out;
  out.begin_object().put("t", micros(at)).put("umpire", proxy).put("e", event);
  log.write_line(out.end_object().text());
}

void client_attempt_ended(Writer& log, const ClientAttempt& attempt) {
  json::Writer out;
  out.begin_object().put("t", micros(attempt.sent)).put("t1", micros(attempt.ended));
  out.put("until", micros(attempt.deadline)).put("id", static_cast<long>(attempt.id));
  out.put("first", static_cast<long>(attempt.first_id))
      .put("n", attempt.number)
      .put("umpire", attempt.proxy);
  out.put("product", attempt.request_class)
      .put("tenant", attempt.tenant)
      .put("key", attempt.key)
      .put("poison", attempt.poison);
  out.put("end", attempt.result)
      .put("status", attempt.status)
      .put("why", attempt.reason)
      .put("node", attempt.endpoint);
  log.write_line(out.put("build", attempt.build).put("right", attempt.correct).end_object().text());
}

}  // namespace robinhoist::record
