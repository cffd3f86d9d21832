#include "proxy/router.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "http/status.h"
#include "json/reader.h"
#include "proxy/status_report.h"

namespace robinhoist::proxy {
namespace {

using namespace std::chrono_literals;

// An id is remembered for this long beyond the longest deadline, unless there are too many.
constexpr Duration min_id_retention = 30s;
constexpr std::size_t max_recent_ids = 16384;

Duration id_retention(const std::vector<RequestClass>& request_classes) {
  Duration longest{};
  for (const RequestClass& request_class : request_classes)
    longest = std::max(longest, request_class.deadline);
  return longest + min_id_retention;
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
      wall_start_(net::wall_now() - loop.now().time_since_epoch()),
      engine_(settings.seed, module_settings.endpoints, module_settings.canary_quota,
              module_settings.analysis, module_settings.requests),
      request_log_(log),
      tracer_(settings.name, settings.trace, settings.seed, wall_start_, module_settings_),
      upstreams_(loop, settings.upstream, module_settings_, log, net::wall_now,
                 settings.max_endpoints),
      recent_client_ids_(id_retention(module_settings.requests.request_classes), max_recent_ids,
                         settings.seed),
      drain_monitor_(
          loop, [this] { return open_requests() == 0 && clients() == 0 && !server_->accepting(); }),
      outcome_reporter_(loop, releases, counters_) {
  settings_.server.on_rejection = [this](const http::RejectedInput& rejected) {
    request_log_.invalid_request(rejected, loop_.now());
  };
}

Router::~Router() {
  loop_.cancel(engine_timer_);
  // Connections with an open request report their end, which uses members that are destroyed before
  // the server.
  if (server_)
    server_->reset_connections();
}

void Router::start() {
  if (!settings_.endpoint_cache_file.empty()) {
    load_endpoint_cache();
    cache_writer_ = std::make_unique<endpoint_cache::CacheWriter>(settings_.endpoint_cache_file);
  }
  endpoint_source_.start(
      [this](const registry::Update& update) { endpoints_updated(update, false); });
  release_source_.start([this](const ReleaseUpdate& release) { release_updated(release); });
  server_ = std::make_unique<http::Server>(
      loop_, settings_.server, [this](const http::ExchangePtr& exchange) { handle(exchange); });
  readiness_.started(loop_.now());
  outcome_reporter_.start();
  run_engine();
}

void Router::begin_shutdown() {
  server_->begin_shutdown();
  log_.info("shutting down: clients are asked to disconnect",
            {{"open", log::text(open_requests())}, {"clients", log::text(clients())}});
}

void Router::drain(std::function<void()> done) {
  server_->drain();
  log_.info("draining", {{"open", log::text(open_requests())}, {"clients", log::text(clients())}});
  drain_monitor_.start(std::move(done));
}

// ---- Requests from clients

void Router::handle(const http::ExchangePtr& exchange) {
  if (auto response = protocol_.admin_response(exchange->request, ready())) {
    exchange->answer(std::move(*response));
    return;
  }
  if (drain_monitor_.draining()) {
    reject_before_routing(exchange, "", {503, "this umpire is stopping"});
    return;
  }
  ParsedRequest parsed = protocol_.read(*exchange, in_flight_.next_request_id());
  if (parsed.rejection) {
    reject_before_routing(exchange, parsed.client_id, *parsed.rejection);
    return;
  }
  if (in_flight_.client_id_in_use(parsed.client_id)) {
    reject_before_routing(exchange, parsed.client_id, {400, "a txn of that id is open"});
    return;
  }
  if (is_repeated_id(parsed.client_id)) {
    reject_before_routing(exchange, parsed.client_id,
                          {400, "a request of that id has come before"});
    return;
  }
  // The close may stand behind requests that were read before it.
  if (exchange->client_closed()) {
    ++counters_.dropped;
    request_log_.dropped(parsed.client_id, loop_.now());
    exchange->abort_connection();
    return;
  }
  accept(exchange, std::move(parsed));
}

// Every request has an id of its own. One that comes again may have run already, also if its client
// has left before the response.
bool Router::is_repeated_id(const std::string& client_id) {
  return !client_id.empty() && !recent_client_ids_.insert(client_id, loop_.now());
}

void Router::accept(const http::ExchangePtr& exchange, ParsedRequest parsed) {
  const TimePoint now = loop_.now();
  const RequestInfo& info = parsed.info;
  const int request_id = info.request_id;
  InFlightRequest request{.exchange = exchange,
                          .forwarded = std::move(parsed.forwarded),
                          .received_at = exchange->received_at,
                          .deadline = info.deadline,
                          .request_class = info.request_class,
                          .client_id = std::move(parsed.client_id),
                          .memory = http::MemoryCharge(settings_.server.memory)};
  const std::size_t memory = heap_bytes(request);
  if (settings_.server.memory && !settings_.server.memory->admit_request(memory)) {
    reject_before_routing(exchange, request.client_id,
                          {http::status_service_unavailable, http::overload_message});
    return;
  }
  request.memory.set(http::MemoryUse::open_request, memory);
  tracer_.accepted(request, info, parsed.idempotency_key,
                   {.now = now, .mode = mode_, .unanswered = open_requests()});
  exchange->on_disconnect = [this, request_id] { client_disconnected(request_id); };
  in_flight_.add(request_id, std::move(request));
  ++counters_.accepted;
  engine_.request_arrived(info, now);
  run_engine();
}

void Router::reject_before_routing(const http::ExchangePtr& exchange, std::string_view client_id,
                                   const Rejection& rejection) {
  ++counters_.rejected_before_routing;
  request_log_.refused(client_id, rejection, loop_.now());
  exchange->answer(protocol_.rejected_before_routing(rejection));
}

void Router::client_disconnected(int request_id) {
  InFlightRequest* request = in_flight_.find(request_id);
  if (!request || request->answered)
    return;
  request->exchange.reset();
  in_flight_.mark_answered(*request);
  ++counters_.client_disconnected;
  request_log_.client_disconnected(*request, loop_.now());
  tracer_.client_disconnected(*request, loop_.now());
  engine_.client_disconnected(request_id);
  withdraw_unsent_attempts(request_id);
  forget_if_done(request_id);
  drain_monitor_.check();
}

bool Router::ready() const {
  return !drain_monitor_.draining() && readiness_.ready(!upstreams_.listed().empty(), loop_.now());
}

// ---- Updates from the sources

void Router::load_endpoint_cache() {
  try {
    const auto content = endpoint_cache::read(settings_.endpoint_cache_file);
    if (!content)
      return;
    endpoints_updated(registry::decode(*content), true);
    log_.info("endpoint cache loaded", {{"endpoints", log::text(upstreams_.listed().size())}});
  } catch (const endpoint_cache::CacheError& error) {
    log_.warn("endpoint cache not used", {{"reason", error.what()}});
  } catch (const json::DecodeError& error) {
    log_.warn("endpoint cache not used", {{"reason", error.what()}});
  }
}

void Router::use_cached_endpoints(const registry::Update& update) {
  endpoints_updated(update, true);
}

void Router::endpoints_updated(const registry::Update& update, bool cached) {
  ++counters_.endpoint_updates;
  if (!cached)
    readiness_.live_list_received();
  const TimePoint now = loop_.now();
  const std::vector<EndpointInfo> changes = upstreams_.apply(update);
  if (counters_.release_updates == 0 && !upstreams_.listed().empty())
    assume_lowest_build_released();
  const EndpointUpdateKind live_kind =
      update.complete ? EndpointUpdateKind::complete : EndpointUpdateKind::incremental;
  engine_.endpoints_updated(cached ? EndpointUpdateKind::cached : live_kind, changes, now);
  // Attempts that still wait for a connection may be to an endpoint that has started to drain.
  recall_unsent_attempts([this](const InFlightAttempt& attempt) {
    const Upstream& upstream = upstreams_.at(attempt.endpoint);
    return upstream.phase != EndpointPhase::ready || upstream.build != attempt.build;
  });
  if (cache_writer_ && !cached)
    cache_writer_->write_later(registry::encode(upstreams_.snapshot(update)));
  run_engine();
}

// Until the first release update arrives, builds above the lowest one are treated as not yet
// announced by the controller.
void Router::assume_lowest_build_released() {
  const ReleaseUpdate assumed{.build = upstreams_.lowest_listed_build(),
                              .stage = 0,
                              .phase = ReleasePhase::released,
                              .cap = 1,
                              .since = Duration{}};
  engine_.release_updated(assumed, loop_.now());
}

void Router::release_updated(const ReleaseUpdate& release) {
  ++counters_.release_updates;
  tracer_.release_updated(release);
  engine_.release_updated(release, loop_.now());
  // Attempts that still wait for a connection may exceed a lowered cap.
  recall_unsent_attempts(
      [&](const InFlightAttempt& attempt) { return attempt.build >= release.build; });
  run_engine();
}

bool Router::report_wrong_answer(const std::string& endpoint, Duration ago) {
  const std::optional<int> index = upstreams_.find(endpoint);
  if (!index)
    return false;
  if (upstreams_.at(*index).build_started_after(loop_.now() - ago)) {
    ++counters_.outdated_wrong_answer_reports;
    return true;
  }
  ++counters_.wrong_answer_reports;
  engine_.wrong_answer_reported(*index);
  run_engine();
  return true;
}

std::string Router::status() const {
  return status_report({.proxy_name = settings_.name,
                        .mode = mode_,
                        .unanswered_requests = open_requests(),
                        .tracked_requests = tracked_requests(),
                        .clients = clients(),
                        .counters = counters_,
                        .loop = loop_,
                        .upstreams = upstreams_});
}

}  // namespace robinhoist::proxy
