#include "record/lines.h"

namespace robinhoist::record {
namespace {
/// Microseconds since the zero of the clock, as records have them.
template <class Point>
long micros(Point at) {
  return static_cast<long>(at.time_since_epoch().count());
}

json::Writer& begin(json::Writer& out, TimePoint at, const char* what) {
  return out.begin_object().put("t", micros(at)).put("e", what);
}
}  // namespace

void server_started(Writer& to, TimePoint at, const ServerStart& endpoint) {
  json::Writer out;
  begin(out, at, "start").put("zone", endpoint.zone).put("cell", endpoint.cell);
  out.put("started", micros(endpoint.started))
      .put("node", endpoint.endpoint)
      .put("build", endpoint.build);
  out.put("cold", endpoint.cold).put("cores", endpoint.cores).put("speed", endpoint.speed);
  to.write_line(out.end_object().text());
}

void server_stopped(Writer& to, TimePoint at, std::string_view endpoint, double most_pushed,
                    bool fell) {
  json::Writer out;
  begin(out, at, "stop").put("node", endpoint).put("most_pushed", most_pushed).put("fell", fell);
  to.write_line(out.end_object().text());
}

void request_arrived(Writer& to, TimePoint at, const char* what, const Arrival& met) {
  json::Writer out;
  begin(out, at, what)
      .put("node", met.endpoint)
      .put("build", met.build)
      .put("id", static_cast<long>(met.work_id));
  out.put("product", met.request_class).put("txn", met.request_name).put("submission", met.attempt);
  out.put("try", met.client_attempt_id).put("key", met.key).put("work", met.work);
  to.write_line(out.end_object().text());
}

void work_completed(Writer& to, TimePoint at, std::string_view endpoint, std::int64_t id,
                    const char* how, bool effect) {
  json::Writer out;
  begin(out, at, "ran")
      .put("node", endpoint)
      .put("id", static_cast<long>(id))
      .put("how", how)
      .put("effect", effect);
  to.write_line(out.end_object().text());
}

void endpoints_notified(Writer& to, TimePoint at, std::string_view proxy,
                        const std::vector<registry::Endpoint>& entries, bool whole) {
  json::Writer out;
  begin(out, at, "list").put("umpire", proxy).put("whole", whole).begin_array("nodes");
  for (const registry::Endpoint& entry : entries)
    out.begin_object()
        .put("name", entry.name)
        .put("phase", entry.phase == EndpointPhase::ready      ? "in"
                      : entry.phase == EndpointPhase::draining ? "lame"
                                                               : "out")
        .put("build", entry.build)
        .put("started", micros(entry.started))
        .end_object();
  to.write_line(out.end_array().end_object().text());
}

void release_notified(Writer& to, TimePoint at, std::string_view proxy, int build, int stage,
                      std::string_view phase, double cap) {
  json::Writer out;
  begin(out, at, "news").put("umpire", proxy).put("build", build).put("stage", stage);
  to.write_line(out.put("phase", phase).put("cap", cap).end_object().text());
}

void vote_received(Writer& to, TimePoint at, std::string_view proxy, int build, int stage,
                   const char* verdict, const char* outcome) {
  json::Writer out;
  begin(out, at, "vote").put("umpire", proxy).put("build", build).put("stage", stage);
  to.write_line(out.put("verdict", verdict).put("outcome", outcome).end_object().text());
}

void release_changed(Writer& to, TimePoint at, int build, int stage, const char* phase,
                     std::string_view why) {
  json::Writer out;
  begin(out, at, "release")
      .put("build", build)
      .put("stage", stage)
      .put("phase", phase)
      .put("why", why);
  to.write_line(out.end_object().text());
}

void proxy_process_event(Writer& to, TimePoint at, std::string_view proxy, const char* what) {
  json::Writer out;
  out.begin_object().put("t", micros(at)).put("umpire", proxy).put("e", what);
  to.write_line(out.end_object().text());
}

void client_attempt_ended(Writer& to, const ClientAttempt& one) {
  json::Writer out;
  out.begin_object().put("t", micros(one.sent)).put("t1", micros(one.ended));
  out.put("until", micros(one.deadline)).put("id", static_cast<long>(one.id));
  out.put("first", static_cast<long>(one.first_id)).put("n", one.number).put("umpire", one.proxy);
  out.put("product", one.request_class)
      .put("tenant", one.tenant)
      .put("key", one.key)
      .put("poison", one.poison);
  out.put("end", one.result)
      .put("status", one.status)
      .put("why", one.reason)
      .put("node", one.endpoint);
  to.write_line(out.put("build", one.build).put("right", one.correct).end_object().text());
}

}  // namespace robinhoist::record
