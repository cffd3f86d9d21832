#include "proxy/status_report.h"

#include "json/writer.h"
#include "proxy/wire_names.h"

namespace robinhoist::proxy {
namespace {

void put_counters(json::Writer& out, const ProxyCounters& counters) {
  out.put("taken", counters.accepted);
  out.put("not_taken", counters.rejected_before_routing);
  out.put(wire_names::succeeded, counters.succeeded);
  out.put(wire_names::rejected, counters.rejected);
  out.put(wire_names::failed, counters.failed);
  out.put(wire_names::client_disconnected, counters.client_disconnected);
  out.put(wire_names::attempts, counters.attempts);
  out.put("cancels", counters.cancellations);
  out.put("votes", counters.votes);
  out.put("list_news", counters.endpoint_updates);
  out.put("release_news", counters.release_updates);
  out.put("wrong_reports", counters.wrong_answer_reports);
  out.put("outdated_wrong_reports", counters.outdated_wrong_answer_reports);
}

// Lateness of timers in microseconds; omitted until a timer has run.
void put_timer_lateness(json::Writer& out, const net::Loop& loop) {
  if (const auto median = loop.lateness(0.5))
    out.put("wake_late_us_p50", *median);
  if (const auto p99 = loop.lateness(0.99))
    out.put("wake_late_us_p99", *p99);
}

void put_upstream(json::Writer& out, const Upstream& upstream) {
  out.begin_object();
  out.put("name", upstream.name);
  out.put("build", upstream.build);
  out.put("out", upstream.in_flight);
  out.put("phase", upstream.phase == EndpointPhase::ready ? "in" : "lame");
  out.put("connections", upstream.connections->open());
  out.put("opened", upstream.connections->opened());
  out.end_object();
}

}  // namespace

std::string status_report(const StatusSources& sources) {
  json::Writer out;
  out.begin_object();
  out.put(wire_names::proxy, sources.proxy_name);
  out.put("mode", sources.mode);
  out.put("open", sources.unanswered_requests);
  out.put("held", sources.tracked_requests);
  out.put("clients", sources.clients);
  put_counters(out, sources.counters);
  put_timer_lateness(out, sources.loop);
  out.begin_array(wire_names::endpoints);
  for (const Upstream& upstream : sources.upstreams.slots())
    if (upstream.phase != EndpointPhase::removed && upstream.connections)
      put_upstream(out, upstream);
  out.end_array();
  out.end_object();
  return out.text();
}

}  // namespace robinhoist::proxy
