#include "controller/controller.h"

#include <algorithm>

#include "controller/problem.h"
#include "json/reader.h"
#include "json/writer.h"
#include "rollout/names.h"
#include "settings/sexp_reader.h"

namespace robinhoist::controller {
namespace {
using namespace std::chrono_literals;

const char* to_string(rollout::OrderKind kind) {
  static const char* const words[] = {"start", "drain", "stop"};
  return words[static_cast<int>(kind)];
}
}  // namespace

Controller::Controller(net::Loop& loop, const Settings& settings, const log::Logger& log,
                       Orders orders, Told told, Voted voted)
    : loop_(loop),
      settings_(settings),
      log_(log),
      orders_(std::move(orders)),
      told_(std::move(told)),
      voted_(std::move(voted)),
      catalog_(settings.history),
      told_objects_(settings.history),
      members_([&] {
        membership::Settings members = settings.members;
        members.expected = settings.proxies;
        return members;
      }()),
      tokens_(settings.tokens),
      requests_(settings.requests_per_s, 2 * settings.requests_per_s),
      timers_(loop),
      server_(std::make_unique<http::Server>(loop, settings.server,
                                             [this](const http::ExchangePtr& e) { handle(e); })) {
  settings_.rollout.gated = !settings.steps_target.empty();
  if (!settings.journal.empty()) {
    journal_ = std::make_unique<journal::Journal>(settings.journal);
    if (auto text = journal_->state("rollout")) {
      core_ =
          std::make_unique<rollout::Rollout>(settings_.rollout, settings.places, settings.proxies,
                                             rollout::decoded_kept(*text), loop.now());
      log_.info("goes on", {{"build", log::text(core_->news(loop.now()).build)},
                            {"wave", log::text(core_->news(loop.now()).stage)},
                            {"phase", rollout::to_string(core_->news(loop.now()).phase)}});
    }
  }
  if (!core_)
    core_ = std::make_unique<rollout::Rollout>(settings_.rollout, settings.places, settings.build,
                                               settings.proxies);
  restore_objects();
  watches_ = std::make_unique<Watches>(loop, told_objects_, series_, settings.watches, told_);
  offer_pending();
  if (!settings.steps_target.empty()) {
    target_ = std::make_unique<migration::Target>(loop, settings.steps_target);
    migration::RunnerSettings runner;
    runner.holder = settings.who;
    runner.lease_length = settings.lease;
    runner.stages = static_cast<int>(settings.rollout.stages.size());
    runner_ = std::make_unique<migration::Runner>(loop, runner, *journal_, *target_, log);
    runner_->on_changed = [this] {
      if (tell_steps())
        timers_.in(Duration(0), [this] { pull(); });
      keep_soon();  // objects show steps
    };
  }
  // Objects before anybody can ask for them.
  look_at_members();
  pull();
}

Controller::~Controller() {
  loop_.cancel(look_);
  loop_.cancel(soon_);
  loop_.cancel(members_look_);
}

void Controller::trouble(Trouble trouble, double count_share) {
  trouble_ = trouble;
  count_share_ = count_share;
  if (trouble == Trouble::none)
    pull();
}

// What steps must know of releases, and what stages must know of steps; whether a gate has moved.
bool Controller::tell_steps() {
  if (!runner_)
    return false;
  const TimePoint now = loop_.now();
  const ReleaseUpdate news = core_->news(now);
  const int stages = static_cast<int>(settings_.rollout.stages.size());
  for (auto& [build, fate] : core_->fates()) {
    migration::ReleaseState old{.stage = stages - 1, .offered = true};
    old.rolled_back = old.rolling_back = fate != ReleasePhase::released;
    old.finalized = fate == ReleasePhase::released;
    runner_->set_release(build, old);
  }
  migration::ReleaseState present{.stage = core_->running_stage(), .offered = true};
  present.rolling_back = news.phase == ReleasePhase::rolling_back;
  present.rolled_back = news.phase == ReleasePhase::rolled_back;
  present.finalized = news.phase == ReleasePhase::released && !core_->can_go_back(now);
  runner_->set_release(news.build, present);
  bool moved = false;
  for (int stage = 0; stage < stages; ++stage) {
    const bool open = runner_->allows(news.build, stage);
    auto [at, fresh] = gates_.emplace(std::pair(news.build, stage), !open);
    if (at->second == open)
      continue;
    at->second = open;
    moved = true;
    core_->gate_open(news.build, stage, open);
  }
  return moved;
}

void Controller::pull() {
  loop_.cancel(look_);
  if (trouble_ != Trouble::none)
    return;  // it stands still
  const TimePoint now = loop_.now();
  // A release that has just come up must find its gates as its steps stand.
  std::vector<rollout::Order> decided;
  do {
    tell_steps();
    while (auto order = core_->next(now))
      decided.push_back(*order);
  } while (tell_steps());
  if (runner_)
    runner_->run_due_actions();
  try {
    keep(false);
  } catch (const journal::JournalError& bad) {
    log_.error("nothing is told or ordered: the journal takes nothing", {{"why", bad.what()}});
    untold_.insert(untold_.end(), decided.begin(), decided.end());
    look_ = loop_.in(500ms, [this] { pull(); });
    return;
  }
  untold_.insert(untold_.end(), decided.begin(), decided.end());
  decided.swap(untold_);
  untold_.clear();
  for (const rollout::Order& one : decided) {
    const rollout::Order* order = &one;
    log_.debug("order", {{"is", to_string(order->kind)},
                         {"machine", log::text(order->machine)},
                         {"place", log::text(order->place)},
                         {"build", log::text(order->build)}});
    if (orders_)
      orders_(*order);
    else
      untaken_.push_back(*order);
  }
  const auto& changes = core_->changes();
  for (; seen_changes_ < changes.size(); ++seen_changes_) {
    const rollout::Change& change = changes[seen_changes_];
    log_.info("release", {{"build", log::text(change.build)},
                          {"wave", log::text(change.stage)},
                          {"phase", rollout::to_string(change.phase)},
                          {"why", change.why}});
  }
  const std::pair stage(core_->news(now).build, core_->running_stage());
  if (stage != seen_stage_ && stage.second >= 0)
    log_.info("wave takes traffic",
              {{"build", log::text(stage.first)},
               {"wave", log::text(stage.second)},
               {"waited_for_steps_ms", log::text(core_->gate_waited().count() / 1000)}});
  seen_stage_ = stage;
  if (auto at = core_->next_look(now))
    look_ = loop_.at(*at, [this] { pull(); });
}

void Controller::orders(const Asked& asked) {
  json::Writer out;
  out.begin_object().begin_array("orders");
  for (const rollout::Order& order : untaken_)
    out.begin_object()
        .put("is", to_string(order.kind))
        .put("machine", order.machine)
        .put("place", order.place)
        .put("build", order.build)
        .end_object();
  untaken_.clear();
  asked.exchange->answer(http::json_response(200, out.end_array().end_object().text()));
}

void Controller::with_steps(const Asked& asked, const std::function<void()>& does) {
  if (!runner_)
    return asked.exchange->answer(http::text_response(404, "this controller runs no steps\n"));
  try {
    does();
  } catch (const json::DecodeError& bad) {
    asked.exchange->answer(http::text_response(422, std::string(bad.what()) + "\n"));
  } catch (const settings::ValidationError& bad) {
    asked.exchange->answer(http::text_response(422, std::string(bad.what()) + "\n"));
  } catch (const journal::JournalError& bad) {
    asked.exchange->answer(http::text_response(503, std::string(bad.what()) + "\n"));
  }
}

void Controller::take_plan(const Asked& asked) {
  with_steps(asked, [&] {
    const http::Request& request = asked.exchange->request;
    const std::string who(request.headers.get("X-Who"));
    const int build =
        runner_->accept_plan(request.body, "plan", who.empty() ? asked.caller.name : who);
    tell_steps();
    pull();
    asked.exchange->answer(http::json_response(
        200, json::Writer().begin_object().put("build", build).end_object().text()));
  });
}

void Controller::steps_status(const Asked& asked) {
  with_steps(asked, [&] { asked.exchange->answer(http::json_response(200, runner_->status_json())); });
}

void Controller::steps_verify(const Asked& asked) {
  with_steps(asked, [&] {
    runner_->verify([exchange = asked.exchange](const std::string& body) {
      exchange->answer(http::json_response(200, body));
    });
  });
}

void Controller::steps_say(const Asked& asked) {
  with_steps(asked, [&] {
    auto document = json::parse_object(asked.exchange->request.body);
    const std::string who = json::text_or(document, "who", asked.caller.name),
                      why = json::text_or(document, "why", "");
    const std::string what(
        asked.exchange->request.path().substr(std::string_view("/v1/steps/").size()));
    std::string refused;
    if (what == "pause" || what == "resume") {
      runner_->set_paused(what == "pause", who, why);
    } else {
      const int build = json::integer(document, "build");
      const std::string step = json::text(document, "step");
      refused = what == "retry" ? runner_->retry(build, step, who, why)
                                : runner_->skip(build, step, who, why);
    }
    pull();
    asked.exchange->answer(refused.empty() ? http::json_response(200, runner_->status_json())
                                           : http::text_response(409, refused + "\n"));
  });
}

void Controller::machine(const Asked& asked) {
  try {
    auto document = json::parse_object(asked.exchange->request.body);
    const int machine = json::integer(document, "machine");
    const bool up = json::enumerator<bool>(document, "state", {{"up", true}, {"gone", false}});
    if (up)
      core_->machine_up(machine, loop_.now());
    else
      core_->machine_gone(machine, loop_.now());
  } catch (const json::DecodeError& bad) {
    return asked.exchange->answer(http::text_response(422, std::string(bad.what()) + "\n"));
  }
  pull();
  asked.exchange->answer(http::json_response(200, "{}"));
}

const std::vector<Controller::Route>& Controller::routes() {
  using C = Controller;
  static const std::vector<Route> all{
      {"GET", "/v1", Role::read, &C::list_routes},
      {"GET", "/v1/releases", Role::read, &C::list},
      {"POST", "/v1/releases", Role::operate, &C::create},
      {"GET", "/v1/releases/{name}", Role::read, &C::get},
      {"PATCH", "/v1/releases/{name}", Role::operate, &C::patch},
      {"DELETE", "/v1/releases/{name}", Role::operate, &C::remove},
      {"POST", "/v1/releases/{name}/hold", Role::operate, &C::hold},
      {"POST", "/v1/releases/{name}/resume", Role::operate, &C::resume},
      {"POST", "/v1/releases/{name}/back", Role::operate, &C::back},
      {"POST", "/v1/releases/{name}/votes", Role::proxy, &C::vote},
      {"GET", "/v1/umpires", Role::read, &C::proxies},
      {"POST", "/v1/umpires/{name}/heartbeat", Role::proxy, &C::heartbeat},
      {"DELETE", "/v1/umpires/{name}", Role::proxy, &C::proxy_leaves},
      {"POST", "/v1/patients", Role::proxy, &C::client_outcomes},
      {"POST", "/v1/plans", Role::operate, &C::take_plan},
      {"GET", "/v1/steps", Role::read, &C::steps_status},
      {"POST", "/v1/steps/verify", Role::read, &C::steps_verify},
      {"POST", "/v1/steps/pause", Role::operate, &C::steps_say},
      {"POST", "/v1/steps/resume", Role::operate, &C::steps_say},
      {"POST", "/v1/steps/retry", Role::operate, &C::steps_say},
      {"POST", "/v1/steps/skip", Role::operate, &C::steps_say},
      {"GET", "/v1/orders", Role::operate, &C::orders},
      {"POST", "/v1/machines", Role::operate, &C::machine},
  };
  return all;
}

namespace {

// The name in a path that fits a pattern such as /v1/releases/{name}/hold; nothing when it does not
// fit.
std::optional<std::string> fits(std::string_view pattern, std::string_view path) {
  const std::size_t open = pattern.find("{name}");
  if (open == std::string_view::npos)
    return path == pattern ? std::optional<std::string>("") : std::nullopt;
  const std::string_view head = pattern.substr(0, open), tail = pattern.substr(open + 6);
  if (path.size() <= head.size() + tail.size() || path.substr(0, head.size()) != head ||
      path.substr(path.size() - tail.size()) != tail)
    return {};
  const std::string_view name = path.substr(head.size(), path.size() - head.size() - tail.size());
  if (name.find('/') != std::string_view::npos)
    return {};
  return http::percent_decoded(name);
}

}  // namespace

void Controller::handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  const std::string path(request.path());
  if (request.method == "GET" && path == "/health")
    return exchange->answer(http::text_response(200, "well\n"));
  const auto caller = tokens_.caller(request.headers.get("Authorization"));
  if (!caller) {
    http::Response response = problem(401, "not known", "no token, or none that is known here");
    response.headers.add("WWW-Authenticate", "Bearer");
    return exchange->answer(response);
  }
  if (auto wait = requests_.try_acquire(caller->name, loop_.now())) {
    http::Response response = problem(429, "too many requests", "of " + caller->name);
    response.headers.add("Retry-After", std::to_string(wait->count() / 1000000 + 1));
    return exchange->answer(response);
  }
  std::string allowed;
  for (const Route& route : routes()) {
    auto name = fits(route.path, path);
    if (!name)
      continue;
    if (request.method != route.method) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(route.method);
      continue;
    }
    if (!may(caller->role, route.role))
      return exchange->answer(problem(403, "not allowed", caller->name + " may not do that"));
    return (this->*route.does)({exchange, std::move(*name), *caller});
  }
  if (allowed.empty())
    return exchange->answer(problem(404, "no such thing here", "GET /v1 lists what there is"));
  http::Response response = problem(405, "no such method here", "allowed: " + allowed);
  response.headers.add("Allow", allowed);
  exchange->answer(response);
}

}  // namespace robinhoist::controller
