#include "proxy/router.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdio>

#include "json/reader.h"
#include "json/writer.h"
#include "policy/statistics.h"
#include "rollout/names.h"

namespace robinhoist::proxy {
namespace {

using namespace std::chrono_literals;

constexpr Duration client_outcomes_interval = 1s;  // how requests did, told to the controller
constexpr Duration index_kept =
    60s;  // an endpoint's index is given to another this long after it has left
constexpr Duration cached_list_grace = 1s;  // from the start; then a saved list must do
// Nine in ten restarted processes have to be ready within 10 s, whatever is heard by then: one that
// knows no endpoints rejects at once, which is harmless.
constexpr Duration ready_by = 8s;
constexpr Duration drain_look_every = 10ms;

// Of a trace: as many digits as tell something.
std::string figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.5g", value);
  return text;
}

}  // namespace

Router::Router(net::Loop& loop, const RouterSettings& settings,
               const module_settings::ModuleSettings& module_settings, const Protocol& protocol,
               const log::Logger& log, EndpointSource& endpoints, ReleaseSource& releases)
    : loop_(loop),
      settings_(settings),
      module_settings_(module_settings),
      protocol_(protocol),
      log_(log),
      endpoint_source_(endpoints),
      release_source_(releases),
      engine_(settings.salt, module_settings.endpoints, module_settings.canary_quota,
              module_settings.analysis, module_settings.requests),
      traces_(settings.trace, settings.salt),
      wall_start_(net::wall_now() - loop.now().time_since_epoch()) {}

Router::~Router() {
  loop_.cancel(wake_);
  loop_.cancel(tell_);
  loop_.cancel(drain_look_);
  // Clients with a request open tell of their end: while what that touches is still here.
  if (server_)
    server_->reset_connections();
}

void Router::report_client_outcomes() {
  const Counters& c = counters_;
  const long requests = c.succeeded + c.rejected + c.failed,
             unsuccessful = c.late + c.rejected + c.failed;
  if (requests > reported_requests_)
    release_source_.client_outcomes(requests - reported_requests_,
                                    unsuccessful - reported_unsuccessful_);
  reported_requests_ = requests;
  reported_unsuccessful_ = unsuccessful;
  tell_ = loop_.in(client_outcomes_interval, [this] { report_client_outcomes(); });
}

void Router::start() {
  if (!settings_.saved.empty()) {
    std::string why;
    if (auto content = endpoint_cache::read(settings_.saved, why)) {
      try {
        heard(registry::decoded(*content), true);
        log_.info("saved list read", {{"nodes", log::text(listed_.size())}});
      } catch (const json::DecodeError& bad) {
        log_.warn("saved list not used", {{"why", bad.what()}});
      }
    } else if (!why.empty()) {
      log_.warn("saved list not used", {{"why", why}});
    }
    cache_writer_ = std::make_unique<endpoint_cache::CacheWriter>(settings_.saved);
  }
  endpoint_source_.start([this](const registry::Update& news) { heard(news, false); });
  release_source_.start([this](const ReleaseUpdate& release) {
    ++counters_.release_updates;
    notified_release_ = release;
    engine_.release_updated(release, loop_.now());
    // Guards against a lower cap overtaken by an attempt that waits for its connection.
    recall([&](const InFlightAttempt& out) { return out.build >= release.build; });
    pull();
  });
  server_ = std::make_unique<http::Server>(
      loop_, settings_.server, [this](const http::ExchangePtr& exchange) { take(exchange); });
  started_at_ = loop_.now();
  report_client_outcomes();
  pull();
}

int Router::next_request_id() {
  // Numbers are used again after two thousand million; one still held is passed over.
  do {
    last_request_id_ =
        last_request_id_ == std::numeric_limits<int>::max() ? 1 : last_request_id_ + 1;
  } while (requests_.count(last_request_id_) > 0);
  return last_request_id_;
}

void Router::rejected_before_routing(const http::ExchangePtr& exchange,
                                     const Rejection& rejection) {
  ++counters_.rejected_before_routing;
  exchange->answer(protocol_.rejected_before_routing(rejection));
}

// Whether there are endpoints to route to, by a list that is not a saved one if that can be had
// soon.
bool Router::routes() const {
  const TimePoint now = loop_.now();
  return !drained_ &&
         ((!listed_.empty() && (live_endpoints_ || now > started_at_ + cached_list_grace)) ||
          now > started_at_ + ready_by);
}

void Router::take(const http::ExchangePtr& exchange) {
  if (auto admin_response = protocol_.admin_response(exchange->request, routes()))
    return exchange->answer(std::move(*admin_response));
  if (drained_)
    return rejected_before_routing(exchange, {503, "this umpire is stopping"});
  const TimePoint now = loop_.now();
  ParsedRequest parsed = protocol_.read(*exchange, next_request_id());
  if (parsed.rejection)
    return rejected_before_routing(exchange, *parsed.rejection);
  if (!parsed.id.empty() && !open_ids_.insert(parsed.id).second)
    return rejected_before_routing(exchange, {400, "a txn of that id is open"});
  const RequestInfo& info = parsed.info;
  InFlightRequest in_flight{.exchange = exchange,
                            .request = std::move(parsed.onward),
                            .deadline = info.deadline,
                            .request_class = info.request_class,
                            .id = std::move(parsed.id)};
  if (traces_.on()) {
    const http::Request& request = in_flight.request;
    const auto parent = tracing::parent_of(request.headers.get("traceparent"));
    in_flight.trace =
        traces_.begin(settings_.name + "." + std::to_string(info.request_id), parent, exchange->at);
    if (in_flight.trace) {
      in_flight.request.headers.set(
          "traceparent", tracing::written({in_flight.trace->trace, in_flight.trace->span, true}));
      in_flight.trace->note(
          now, "taken",
          {{"method", request.method},
           {"path", std::string(request.path())},
           {"product", module_settings_.request_classes[info.request_class]},
           {"tenant",
            module_settings_.tenants.empty() ? "" : module_settings_.tenants[info.tenant]},
           {"key", std::string(parsed.mark)},
           {"parent", parent ? parent->span : ""},
           {"expires_in_ms", figure(to_millis(info.deadline - now))},
           {"told_build", log::text(notified_release_.build)},
           {"told_wave", log::text(notified_release_.stage)},
           {"told_phase", rollout::to_string(notified_release_.phase)},
           {"told_cap", figure(notified_release_.cap)},
           {"mode", mode_},
           {"open", log::text(unanswered_)}});
    }
  }
  exchange->on_disconnect = [this, id = info.request_id] { left(id); };
  requests_.emplace(info.request_id, std::move(in_flight));
  ++unanswered_;
  ++counters_.taken;
  engine_.request_arrived(info, now);
  pull();
}

void Router::left(int id) {
  auto at = requests_.find(id);
  if (at == requests_.end() || at->second.answered)
    return;
  at->second.answered = true;
  at->second.exchange.reset();
  open_ids_.erase(at->second.id);
  --unanswered_;
  ++counters_.left;
  if (at->second.trace) {
    at->second.trace->note(loop_.now(), "client left", {});
    at->second.trace->outcome = "left";
  }
  engine_.client_disconnected(id);
  withdraw(id);
  forget(id);
  check_drained();
}

int Router::upstream_index(const registry::Endpoint& entry) {
  const std::string id = entry.name + "@" + entry.address;
  auto at = upstream_of_.find(id);
  if (at != upstream_of_.end())
    return at->second;
  if (entry.phase == EndpointPhase::removed)
    return -1;
  Poco::Net::SocketAddress address;
  try {
    address = Poco::Net::SocketAddress(entry.address);
  } catch (const Poco::Exception&) {
    log_.warn("node passed over",
              {{"node", entry.name}, {"why", "its address makes no sense: " + entry.address}});
    return -1;
  }
  // Endpoints come and go for ever: the place of one long gone is used again.
  std::size_t index = 0;
  for (; index < upstreams_.size(); ++index) {
    Upstream& old = upstreams_[index];
    if (old.phase == EndpointPhase::removed && old.out == 0 &&
        loop_.now() > old.gone_at + index_kept)
      break;
  }
  if (index == upstreams_.size())
    upstreams_.emplace_back();
  else
    upstream_of_.erase(upstreams_[index].id);
  Upstream& upstream = upstreams_[index];
  upstream = Upstream{.id = id, .name = entry.name};
  upstream.caller = std::make_unique<http::ConnectionPool>(loop_, address, settings_.endpoint);
  upstream_of_[id] = static_cast<int>(index);
  return static_cast<int>(index);
}

void Router::heard(const registry::Update& news, bool saved) {
  ++counters_.endpoint_updates;
  live_endpoints_ |= !saved;
  const TimePoint now = loop_.now();
  if (news.whole)
    listed_.clear();
  std::vector<EndpointInfo> entries;
  std::vector<bool> named(upstreams_.size(), false);
  for (const registry::Endpoint& entry : news.entries) {
    const auto was = listed_.find(entry.name);
    // A name that comes back at another address is another peer; the old one is gone, though nobody
    // says so.
    if (was != listed_.end() && was->second.address != entry.address) {
      const int old = upstream_index(was->second);
      if (old >= 0 && upstreams_[old].phase != EndpointPhase::removed) {
        upstreams_[old].phase = EndpointPhase::removed;
        EndpointInfo gone{};
        gone.endpoint = old;
        gone.build = upstreams_[old].build;
        gone.phase = EndpointPhase::removed;
        gone.size = 1;
        entries.push_back(gone);
      }
    }
    if (entry.phase == EndpointPhase::removed)
      listed_.erase(entry.name);
    else
      listed_[entry.name] = entry;
    int index = upstream_index(entry);
    if (index < 0)
      continue;
    if (index >= static_cast<int>(named.size()))
      named.resize(index + 1, false);
    named[index] = true;
    Upstream& upstream = upstreams_[index];
    upstream.build = entry.build;
    upstream.phase = entry.phase;
    EndpointInfo endpoint{};
    endpoint.endpoint = index;
    endpoint.zone = std::max(0, module_settings_.zone(entry.zone));
    endpoint.cell = entry.cell;
    endpoint.build = entry.build;
    endpoint.phase = entry.phase;
    endpoint.size = entry.size;
    // In durations since our own start; a start at our very beginning must not read as 'long ago'.
    if (entry.started != WallTime{})
      endpoint.started = TimePoint(entry.started - wall_start_);
    if (entry.started != WallTime{} && endpoint.started == TimePoint{})
      endpoint.started = TimePoint(Duration(1));
    endpoint.order = XXH64(entry.name.data(), entry.name.size(), 0);
    entries.push_back(endpoint);
  }
  for (std::size_t i = 0; i < upstreams_.size(); ++i) {
    Upstream& upstream = upstreams_[i];
    if (news.whole && (i >= named.size() || !named[i]))
      upstream.phase = EndpointPhase::removed;
    if (upstream.phase != EndpointPhase::removed)
      upstream.gone_at = now;
    else if (upstream.caller)
      upstream.caller->close_idle();
  }
  // Until the controller has spoken, what is above the lowest listed build counts as not yet
  // announced.
  if (counters_.release_updates == 0 && !listed_.empty()) {
    int lowest = listed_.begin()->second.build;
    for (auto& [name, entry] : listed_)
      lowest = std::min(lowest, entry.build);
    engine_.release_updated(ReleaseUpdate{lowest, 0, ReleasePhase::released, 1, Duration{}}, now);
  }
  engine_.endpoints_updated(saved        ? EndpointUpdateKind::cached
                            : news.whole ? EndpointUpdateKind::complete
                                         : EndpointUpdateKind::incremental,
                            entries, now);
  // Guards against news overtaken by an attempt that waits for its connection.
  recall([&](const InFlightAttempt& out) {
    const Upstream& upstream = upstreams_[out.endpoint];
    return upstream.phase != EndpointPhase::ready || upstream.build != out.build;
  });
  if (cache_writer_ && !saved) {
    registry::Update all{news.series, news.version, true, {}};
    for (auto& [name, entry] : listed_)
      all.entries.push_back(entry);
    cache_writer_->keep(registry::encoded(all));
  }
  pull();
}

void Router::pull() {
  if (pulling_)
    return;  // whoever pulls now goes on until there is nothing left
  pulling_ = true;
  while (auto decision = engine_.next(loop_.now()))
    carry_out(*decision);
  pulling_ = false;
  check_drained();
}

void Router::carry_out(const Decision& decision) {
  switch (decision.action) {
    case Action::forward:
      forward(decision);
      break;
    case Action::reject: {
      InFlightRequest& in_flight = requests_.at(decision.request_id);
      const char* why = in_flight.attempts.empty() ? "no-room" : rollout::to_string(in_flight.last);
      ++counters_.rejected;
      finish_request(in_flight, protocol_.rejected(decision.duration, why), "declined", why,
                     decision.duration);
      forget(decision.request_id);
      break;
    }
    case Action::fail: {
      InFlightRequest& in_flight = requests_.at(decision.request_id);
      const bool late = in_flight.attempts.empty() || in_flight.last == Outcome::timeout;
      const char* why = in_flight.attempts.empty() ? "expired" : rollout::to_string(in_flight.last);
      ++counters_.failed;
      finish_request(in_flight, protocol_.failed(late, why), "voided", why, Duration{});
      forget(decision.request_id);
      break;
    }
    case Action::cancel: {
      InFlightRequest& in_flight = requests_.at(decision.request_id);
      InFlightAttempt& out = in_flight.attempts.at(decision.attempt);
      if (out.ended)
        break;
      ++counters_.cancels;
      if (in_flight.trace)
        in_flight.trace->note(
            loop_.now(), "called off",
            {{"submission", log::text(decision.attempt)}, {"node", upstreams_[out.endpoint].name}});
      upstreams_[out.endpoint].caller->cancel(out.call);
      loop_.in(Duration(0), [this, request_id = decision.request_id, attempt = decision.attempt] {
        ended(request_id, attempt, {Outcome::cancelled}, {});
      });
      break;
    }
    case Action::probe:
      break;  // the settings say that endpoints are not probed
    case Action::close:
      upstreams_[decision.endpoint].caller->close_idle();
      break;
    case Action::subscribe:
    case Action::fetch:
      endpoint_source_.refresh();
      break;
    case Action::vote:
      ++counters_.votes;
      log_.info("vote", {{"build", log::text(decision.build)},
                         {"wave", log::text(decision.stage)},
                         {"verdict", rollout::to_string(decision.verdict)}});
      release_source_.vote(decision.build, decision.stage, decision.verdict,
                           [this](Outcome outcome) {
                             engine_.vote_answered(outcome, loop_.now());
                             pull();
                           });
      break;
    case Action::wake:
      loop_.cancel(wake_);
      wake_ = loop_.at(loop_.now() + decision.duration, [this] {
        wake_ = net::Loop::no_timer;
        pull();
      });
      break;
    case Action::log:
      mode_ = decision.text;
      log_.info("mode", {{"is", decision.text}});
      break;
  }
}

void Router::forward(const Decision& decision) {
  InFlightRequest& in_flight = requests_.at(decision.request_id);
  const std::size_t index = in_flight.attempts.size();
  Upstream& upstream = upstreams_[decision.endpoint];
  ++counters_.attempts;
  ++upstream.out;
  Duration within = std::max(Duration(1), in_flight.deadline - loop_.now());
  if (decision.duration > Duration{})
    within = std::min(within, decision.duration);
  if (in_flight.trace)
    trace_attempt(in_flight, decision, within);
  auto done = [this, request_id = decision.request_id, index](http::CallResult how,
                                                              http::Response&& response) {
    ended(request_id, index, protocol_.classify(how, response), std::move(response));
  };
  // Worded when it is written: its connection may be long in coming up, and the time goes on.
  auto word = [this, index](http::Request& request, Duration left) {
    protocol_.prepare_attempt(request, index, left);
  };
  in_flight.attempts.push_back(
      {decision.endpoint, upstream.build,
       upstream.caller->call(in_flight.request, within, std::move(done), std::move(word)), false});
}

// Of a request that is over nothing begins any more: guards against an attempt that has waited for
// its connection and reaches an endpoint for a client that has left, or has its answer.
void Router::withdraw(int request_id) {
  for (std::size_t i = 0;; ++i) {
    const auto at = requests_.find(request_id);  // it may be forgotten with the last
    if (at == requests_.end() || i >= at->second.attempts.size())
      return;
    const InFlightAttempt& out = at->second.attempts[i];
    if (!out.ended && upstreams_[out.endpoint].caller->recall(out.call))
      ended(request_id, i, {Outcome::obsolete}, {});
  }
}

// What has not been written yet goes back to the module: it was chosen by what no longer holds.
void Router::recall(const std::function<bool(const InFlightAttempt&)>& which) {
  std::vector<std::pair<int, std::size_t>> recalled;
  for (auto& [request_id, in_flight] : requests_)
    for (std::size_t i = 0; i < in_flight.attempts.size(); ++i) {
      const InFlightAttempt& out = in_flight.attempts[i];
      if (!out.ended && which(out) && upstreams_[out.endpoint].caller->recall(out.call))
        recalled.emplace_back(request_id, i);
    }
  std::sort(recalled.begin(), recalled.end());
  for (auto& [request_id, index] : recalled)
    ended(request_id, index, {Outcome::obsolete}, {});
}

void Router::ended(int request_id, std::size_t index, const AttemptResult& result,
                   http::Response&& response) {
  auto at = requests_.find(request_id);
  if (at == requests_.end())
    return;
  InFlightRequest& in_flight = at->second;
  InFlightAttempt& out = in_flight.attempts[index];
  if (out.ended)
    return;
  out.ended = true;
  Upstream& upstream = upstreams_[out.endpoint];
  --upstream.out;
  const Outcome outcome = result.outcome;
  in_flight.last = outcome;
  const bool answers = outcome == Outcome::ok && !in_flight.answered;
  if (in_flight.trace)
    in_flight.trace->note(loop_.now(), "ended",
                          {{"submission", log::text(index)},
                           {"node", upstream.name},
                           {"build", log::text(upstream.build)},
                           {"outcome", rollout::to_string(outcome)},
                           {"status", log::text(response.status)},
                           {"used", answers ? "yes" : "no"}});
  // The module hears of it before the client does: what the client sends next must meet a module
  // that knows.
  engine_.attempt_ended(request_id, static_cast<int>(index), outcome, in_flight.answered || answers,
                        result.load, loop_.now());
  if (answers) {
    ++counters_.succeeded;
    counters_.late +=
        loop_.now() - in_flight.exchange->at >
        module_settings_.requests.request_classes[in_flight.request_class].latency_objective;
    finish_request(in_flight,
                   protocol_.succeeded(std::move(response), upstream.name, upstream.build),
                   "settled", "answered", {});
    withdraw(request_id);
  }
  forget(request_id);
  pull();
}

void Router::finish_request(InFlightRequest& in_flight, http::Response response,
                            const char* outcome, const std::string& why, Duration pause) {
  if (in_flight.answered)
    return;
  in_flight.answered = true;
  open_ids_.erase(in_flight.id);
  --unanswered_;
  if (in_flight.trace) {
    response.headers.add("Robinhoist-Trace", in_flight.trace->trace);
    in_flight.trace->note(
        loop_.now(), outcome,
        {{"why", why},
         {"status", log::text(response.status)},
         {"retry_after_ms", pause > Duration{} ? log::text(pause.count() / 1000) : ""},
         {"submissions", log::text(in_flight.attempts.size())}});
    in_flight.trace->outcome = outcome;
  }
  auto exchange = std::move(in_flight.exchange);
  in_flight.exchange.reset();
  exchange->on_disconnect = nullptr;
  exchange->answer(std::move(response));
}

void Router::forget(int request_id) {
  auto at = requests_.find(request_id);
  if (at != requests_.end() && at->second.answered && !engine_.knows(request_id))
    requests_.erase(at);
}

bool Router::found_wrong(const std::string& endpoint) {
  // A name that has moved has an older peer too: the one that is listed is meant.
  for (std::size_t i = 0; i < upstreams_.size(); ++i)
    if (upstreams_[i].name == endpoint &&
        (upstreams_[i].phase != EndpointPhase::removed || listed_.count(endpoint) == 0)) {
      ++counters_.wrong_reports;
      engine_.answer_found_wrong(static_cast<int>(i));
      pull();
      return true;
    }
  return false;
}

void Router::retire() {
  server_->begin_shutdown();
  log_.info("retires", {{"open", log::text(unanswered_)}, {"clients", log::text(clients())}});
}

void Router::drain(std::function<void()> done) {
  drained_ = std::move(done);
  server_->drain();
  log_.info("drains", {{"open", log::text(unanswered_)}, {"clients", log::text(clients())}});
  look_drained();
}

// Clients end by themselves, each when its answer is written or the time for its request is over.
void Router::look_drained() {
  check_drained();
  if (drained_)
    drain_look_ = loop_.in(drain_look_every, [this] { look_drained(); });
}

// Whoever is still connected may be owed something: an answer that is not written, or one to a
// request that lies unread or has come in part.
void Router::check_drained() {
  if (!drained_ || unanswered_ > 0 || server_->clients() > 0)
    return;
  // Once, and not from inside whoever answered the last.
  auto done = std::make_shared<std::function<void()>>(std::move(drained_));
  drained_ = [] {};
  loop_.in(Duration(0), [done] {
    if (*done)
      (*done)();
  });
}

// Why: the first; a hedged request while others are out; or again, after what the last came to.
void Router::trace_attempt(const InFlightRequest& in_flight, const Decision& decision,
                           Duration within) {
  const bool others = std::any_of(in_flight.attempts.begin(), in_flight.attempts.end(),
                                  [](const InFlightAttempt& out) { return !out.ended; });
  const Upstream& upstream = upstreams_[decision.endpoint];
  in_flight.trace->note(
      loop_.now(), "submitted",
      {{"submission", log::text(in_flight.attempts.size())},
       {"node", upstream.name},
       {"build", log::text(upstream.build)},
       {"why", in_flight.attempts.empty() ? "first"
               : others                   ? "second copy"
                        : std::string("again after ") + rollout::to_string(in_flight.last)},
       {"on_trial",
        upstream.build == notified_release_.build && notified_release_.phase == ReleasePhase::canary
            ? "yes"
            : "no"},
       {"cap", figure(notified_release_.cap)},
       {"out_at_node", log::text(upstream.out)},
       {"within_ms", figure(to_millis(within))}});
}

std::string Router::trace_json(const tracing::Trace& trace) const {
  json::Writer out;
  out.begin_object()
      .put("umpire", settings_.name)
      .put("txn", trace.request_name)
      .put("trace", trace.trace);
  out.put("span", trace.span).put("outcome", trace.outcome.empty() ? "open" : trace.outcome);
  // Wall clock, so that the ways of one trace through several proxies can be put in order.
  out.put("began_ms",
          static_cast<long>(
              (wall_start_ + trace.began.time_since_epoch()).time_since_epoch().count() / 1000));
  out.put("events_dropped", trace.dropped()).begin_array("events");
  for (const tracing::Event& event : trace.events()) {
    out.begin_object().put_ms("at_ms", event.at).put("is", event.what);
    for (auto& [name, value] : event.figures)
      if (!value.empty())
        out.put(name.c_str(), value);
    out.end_object();
  }
  return out.end_array().end_object().text();
}

std::string Router::trace(const std::string& id) const {
  const tracing::TracePtr trace = traces_.find(id);
  return trace ? trace_json(*trace) : "";
}

std::string Router::traces() const {
  std::string lines;
  for (const tracing::TracePtr& trace : traces_.all())
    lines += trace_json(*trace) + "\n";
  return lines;
}

std::string Router::status() const {
  const Counters& c = counters_;
  json::Writer out;
  out.begin_object().put("umpire", settings_.name).put("mode", mode_);
  out.put("open", unanswered_).put("held", requests_.size()).put("clients", clients());
  for (auto& [name, count] :
       std::initializer_list<std::pair<const char*, long>>{{"taken", c.taken},
                                                           {"not_taken", c.rejected_before_routing},
                                                           {"settled", c.succeeded},
                                                           {"declined", c.rejected},
                                                           {"voided", c.failed},
                                                           {"left", c.left},
                                                           {"submissions", c.attempts},
                                                           {"cancels", c.cancels},
                                                           {"votes", c.votes},
                                                           {"list_news", c.endpoint_updates},
                                                           {"release_news", c.release_updates},
                                                           {"wrong_reports", c.wrong_reports}})
    out.put(name, count);
  for (auto& [name, part] :
       {std::pair("wake_late_us_p50", 0.5), std::pair("wake_late_us_p99", 0.99)})
    if (auto late = loop_.lateness(part))
      out.put(name, *late);
  out.begin_array("nodes");
  for (const Upstream& upstream : upstreams_) {
    if (upstream.phase == EndpointPhase::removed || !upstream.caller)
      continue;
    out.begin_object()
        .put("name", upstream.name)
        .put("build", upstream.build)
        .put("out", upstream.out);
    out.put("phase", upstream.phase == EndpointPhase::ready ? "in" : "lame");
    out.put("connections", upstream.caller->open())
        .put("opened", upstream.caller->opened())
        .end_object();
  }
  return out.end_array().end_object().text();
}

}  // namespace robinhoist::proxy
