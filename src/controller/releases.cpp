// The controller's REST API of releases and proxies. What a request may change is decided in
// releases::Catalog, who counts in membership::Members; here requests are read, changes written
// down, answers given.
#include <algorithm>
#include <cmath>
#include <random>

#include "controller/controller.h"
#include "controller/problem.h"
#include "json/reader.h"
#include "json/writer.h"
#include "rollout/names.h"

namespace robinhoist::controller {
namespace {
using namespace std::chrono_literals;

constexpr Duration soon =
    200ms;  // what only tells of votes and acknowledgements waits for more of it
constexpr int most_items = 500;

std::int64_t wall_ms() {
  return net::wall_now().time_since_epoch().count() / 1000;
}

struct Refused {
  http::Response response;
};

std::int64_t number_of(const std::string& text, const char* what) {
  if (text.empty() || text.size() > 18 || text.find_first_not_of("0123456789") != std::string::npos)
    throw Refused{problem(400, "the request makes no sense",
                          std::string(what) + " is '" + text + "', which is no whole number")};
  return std::stoll(text);
}

// "12" or W/"12" in If-Match; * is any.
releases::Believed believed_of(const http::Request& request) {
  std::string_view text = request.headers.get("If-Match");
  if (text.empty() || text == "*")
    return {};
  if (text.substr(0, 2) == "W/")
    text.remove_prefix(2);
  if (text.size() < 2 || text.front() != '"' || text.back() != '"')
    throw Refused{problem(400, "the request makes no sense", "If-Match holds no quoted version")};
  return number_of(std::string(text.substr(1, text.size() - 2)), "If-Match");
}

bool dry(const http::Request& request) {
  const std::string word = request.query("dryRun");
  if (word.empty() || word == "false")
    return false;
  if (word == "All" || word == "true")
    return true;
  throw Refused{
      problem(400, "the request makes no sense", "dryRun is '" + word + "', not All or true")};
}

rapidjson::Document body_of(const http::Request& request) {
  const std::string_view type = request.headers.get("Content-Type");
  const std::string_view kind = type.substr(0, type.find(';'));
  if (kind != "application/json" && kind != "application/merge-patch+json")
    throw Refused{problem(415, "the body is of another type",
                          "Content-Type is '" + std::string(type) + "', not application/json")};
  try {
    return releases::strict(request.body);
  } catch (const json::DecodeError& bad) {
    throw Refused{problem(400, "the body makes no sense", bad.what())};
  }
}

template <class Act>
void guarded(const http::ExchangePtr& exchange, Act act) {
  try {
    act();
  } catch (const Refused& refused) {
    exchange->answer(refused.response);
  } catch (const json::DecodeError& bad) {
    exchange->answer(problem(422, "the body makes no sense", bad.what()));
  } catch (const objects::BadSelector& bad) {
    exchange->answer(problem(400, "the selector makes no sense", bad.what()));
  } catch (const journal::JournalError& bad) {
    exchange->answer(problem(503, "the journal takes nothing", bad.what()));
  }
}

http::Response retry_later(Duration after, const std::string& what) {
  http::Response response = problem(429, "too many requests", what);
  response.headers.add("Retry-After", std::to_string((after.count() + 999999) / 1000000));
  return response;
}

http::Response shown(const objects::Snapshot& object, int status) {
  http::Response response = http::json_response(status, object.full);
  response.headers.add("ETag", "\"" + std::to_string(object.version) + "\"");
  return response;
}

}  // namespace

std::string Controller::fresh_id() {
  std::random_device source;
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", source(), source());
  return text;
}

// From the journal; a controller without one, or with one from before there were objects, begins
// with none.
void Controller::restore_objects() {
  series_ = fresh_id();
  if (journal_) {
    if (auto series = journal_->state("series"))
      series_ = *series;
    else
      journal_->set_state("series", series_);
    std::map<std::string, releases::Release> all;
    for (auto& [name, body] : journal_->objects())
      all[name] = releases::decoded(body);
    std::deque<objects::Event> events;
    std::int64_t oldest = journal_->object_version();
    for (const journal::ObjectChange& one : journal_->changes()) {
      if (events.empty())
        oldest = one.version - 1;
      const auto before =
          one.before.empty() ? nullptr : releases::snapshot(releases::decoded(one.before));
      events.push_back({static_cast<objects::Change>(one.change),
                        releases::snapshot(releases::decoded(one.body)), before});
    }
    catalog_.restore(std::move(all), journal_->object_version(), oldest, std::move(events));
  }
  told_objects_ = catalog_.store();
}

// A release that was written down, but not offered before the process ended.
void Controller::offer_pending() {
  std::vector<const releases::Release*> pending;
  for (auto& [name, release] : catalog_.all())
    if (release.build > core_->newest_offered() && release.deleting_ms == 0)
      pending.push_back(&release);
  std::sort(pending.begin(), pending.end(), [](auto* a, auto* b) { return a->build < b->build; });
  for (const releases::Release* one : pending)
    core_->offer(one->build, loop_.now());
}

releases::Status Controller::status_of(const releases::Release& release, TimePoint now) const {
  releases::Status status;
  const ReleaseUpdate news = core_->news(now);
  const auto& fates = core_->fates();
  const bool present = release.build == news.build;
  status.why = release.status.why;
  status.since_ms = wall_ms();
  if (present) {
    status.phase = rollout::to_string(news.phase);
    status.stage = news.stage;
    status.cap = news.cap;
    status.since_ms = wall_ms() - news.since.count() / 1000;
    status.held = core_->held(now);
  } else if (auto fate = fates.find(release.build); fate != fates.end()) {
    status.phase = rollout::to_string(fate->second);
    status.stage = release.status.stage;
    status.cap = fate->second == ReleasePhase::released ? 1 : 0;
  } else if (core_->queued() != release.build && release.build <= core_->newest_offered()) {
    status.phase = "withdrawn";
    status.why = "a newer release took its place before it began";
  }
  const auto& changes = core_->changes();
  for (auto change = changes.rbegin(); change != changes.rend(); ++change)
    if (change->build == release.build) {
      status.why = change->why;
      break;
    }
  for (auto& [id, machine] : core_->machines()) {
    if (machine.build != release.build)
      continue;
    ++status.machines;
    status.machines_up += machine.phase == rollout::MachinePhase::up;
  }
  if (runner_)
    for (auto& [id, phase, state] : runner_->step_summaries(release.build))
      status.steps.push_back({id, phase, state});
  const auto& stages = settings_.rollout.stages;
  std::string missing;
  const int running = present ? core_->running_stage() : status.stage;
  for (int stage = 0; stage < static_cast<int>(stages.size()); ++stage) {
    const char* state = "not reached";
    if (status.phase == "released" || stage < running)
      state = "done";
    else if (present && stage == running && status.phase == "trial")
      state = "running";
    else if (stage == running && status.phase != "pending")
      state = "sent back";
    else if (present && status.phase == "trial" && stage == running + 1) {
      const auto reason = runner_ ? runner_->blocking_reason(release.build, stage) : std::nullopt;
      if (reason && missing.empty())
        missing = *reason;
      state = reason ? "waiting for steps" : "next";
    }
    status.stages.push_back({stages[stage], settings_.rollout.caps[stage], state});
  }
  if (present) {
    const auto votes = core_->votes(now);
    for (auto& [name, member] : members_.all()) {
      releases::ProxyReport says{.proxy = name, .vote = "none"};
      if (auto vote = votes.find(name); vote != votes.end())
        says.vote = rollout::to_string(vote->second.verdict);
      if (member.acknowledged && member.acknowledged->build == release.build) {
        says.cap = member.acknowledged->cap;
        says.stage = member.acknowledged->stage;
        says.at_ms = wall_ms() - (now - member.acknowledged->at).count() / 1000;
        // To the millisecond, and not one off for the clocks' grain.
        for (const releases::ProxyReport& old : release.status.proxies)
          if (old.proxy == name && old.cap == says.cap && old.stage == says.stage)
            says.at_ms = old.at_ms;
      }
      status.proxies.push_back(says);
    }
  } else {
    status.proxies = release.status.proxies;
  }
  const bool trial = status.phase == "trial",
             back = status.phase == "going-back" || status.phase == "withdrawn";
  const std::int64_t ms = wall_ms();
  status.condition("Progressing", trial && !status.held && missing.empty(),
                   status.held        ? "Held"
                   : !missing.empty() ? "StepsMissing"
                   : trial            ? "OnTrial"
                                      : "Settled",
                   status.held ? status.why : missing, ms);
  status.condition(
      "Available", status.machines > 0 && status.machines_up == status.machines,
      status.machines == 0                    ? "NoMachines"
      : status.machines_up == status.machines ? "AllUp"
                                              : "SomeDown",
      std::to_string(status.machines_up) + " of " + std::to_string(status.machines) + " up", ms);
  status.condition("SentBack", back, back ? "Back" : "NotSentBack", back ? status.why : "", ms);
  return status;
}

// What the objects don't show yet. `urgent`: proxies go by some of it.
std::vector<releases::Draft> Controller::observed(bool& urgent) {
  std::vector<releases::Draft> drafts;
  const TimePoint now = loop_.now();
  const int build = core_->news(now).build;
  // One that is withdrawn and has no object has been deleted.
  if (!catalog_.of_build(build) && core_->news(now).phase != ReleasePhase::rolled_back)
    drafts.push_back(catalog_.found(build, fresh_id(), wall_ms()));
  for (auto& [name, release] : catalog_.all()) {
    const std::string& phase = release.status.phase;
    const bool succeeded = (phase == "withdrawn" || phase == "released") &&
                           release.build != build && release.status.machines == 0 &&
                           release.deleting_ms == 0;
    if (succeeded)
      continue;
    if (auto draft = catalog_.observe(name, status_of(release, now), wall_ms())) {
      urgent |= catalog_.urgent(*draft);
      drafts.push_back(std::move(*draft));
    }
  }
  urgent |= !drafts.empty() && drafts.front().change == objects::Change::added;
  return drafts;
}

// On disk before anybody hears of it. `all`: also what need not be told at once.
void Controller::keep(bool all) {
  bool urgent = all;
  std::vector<releases::Draft> drafts = observed(urgent);
  rollout::Kept kept = core_->kept(loop_.now());
  kept.since = kept.since / 1000000 * 1000000;  // to the second: time alone is no reason to write
  rollout::Kept timeless = kept;
  timeless.since = Duration{};
  const std::string text = rollout::encoded(timeless);
  const bool moved = text != kept_;
  if (!urgent && !drafts.empty()) {
    keep_soon();
    drafts.clear();
  }
  if (!moved && drafts.empty())
    return;
  if (urgent)
    loop_.cancel(soon_);
  if (journal_ && moved) {
    // State and objects in one: a reader of either never sees the one without the other.
    pending_state_ = journal::StateValue{"rollout", rollout::encoded(kept)};
  }
  commit(std::move(drafts));
  kept_ = text;
  // One that had no object before has one now, and its state with it.
  if (urgent && !all) {
    bool more = false;
    if (auto rest = observed(more); !rest.empty() && more)
      commit(std::move(rest));
  }
}

void Controller::keep_soon() {
  if (soon_ != net::Loop::no_timer)
    return;
  soon_ = loop_.in(soon, [this] {
    soon_ = net::Loop::no_timer;
    try {
      if (trouble_ == Trouble::none)
        keep(true);
    } catch (const journal::JournalError& bad) {
      log_.error("objects are not told: the journal takes nothing", {{"why", bad.what()}});
    }
  });
}

void Controller::commit(std::vector<releases::Draft> drafts,
                        std::optional<journal::RequestKey> key) {
  std::int64_t version = catalog_.store().version();
  journal::Journal::Commit commit;
  std::vector<objects::SnapshotPtr> snapshots;
  for (releases::Draft& draft : drafts) {
    draft.release.version = ++version;
    snapshots.push_back(releases::snapshot(draft.release));
    if (!journal_)
      continue;
    const auto before = catalog_.store().find(draft.release.name);
    commit.changes.push_back({version, static_cast<int>(draft.change), draft.release.name,
                              snapshots.back()->full, before ? before->full : ""});
  }
  if (journal_) {
    commit.key = std::move(key);
    commit.state = std::exchange(pending_state_, std::nullopt);
    if (!commit.changes.empty() || commit.key || commit.state)
      journal_->commit(commit, settings_.history, settings_.keys_for.count() / 1000);
  }
  if (settings_.point && !drafts.empty())
    settings_.point("written");
  for (std::size_t i = 0; i < drafts.size(); ++i)
    publish(catalog_.committed(drafts[i], snapshots[i]));
}

// Told after the lag that holds now, and never before what was said earlier.
void Controller::publish(objects::Event event) {
  const TimePoint now = loop_.now();
  last_due_ = std::max(last_due_, now + lag_);
  if (last_due_ <= now) {
    told_objects_.take(std::move(event));
    watches_->wake();
    return;
  }
  timers_.at(last_due_, [this, event = std::move(event)] {
    told_objects_.take(event);
    watches_->wake();
  });
}

void Controller::list_routes(const Asked& asked) {
  json::Writer out;
  out.begin_object().begin_array("routes");
  for (const Route& one : routes())
    out.begin_object().put("method", one.method).put("path", one.path).end_object();
  asked.exchange->answer(http::json_response(200, out.end_array().end_object().text()));
}

void Controller::list(const Asked& asked) {
  const http::Request& request = asked.exchange->request;
  guarded(asked.exchange, [&] {
    objects::Selector selector(request.query("labelSelector"), request.query("fieldSelector"));
    const std::string watching = request.query("watch");
    if (watching == "1" || watching == "true")
      return watch(asked, std::move(selector));
    const std::string limit = request.query("limit"), on = request.query("continue");
    const std::int64_t most =
        limit.empty() ? most_items
                      : std::clamp<std::int64_t>(number_of(limit, "limit"), 1, most_items);
    std::int64_t version = told_objects_.version();
    std::string last;
    if (!on.empty()) {
      const std::size_t dot = on.find('.');
      version = number_of(on.substr(0, dot), "continue");
      if (dot != std::string::npos)
        last = on.substr(dot + 1);
      // A watch from the first page's version must still tell what the pages missed.
      if (told_objects_.since(version) != objects::Since::held)
        throw Refused{problem(410, "the list has expired",
                              "what changed since its first page is no longer known: list anew")};
    }
    std::vector<objects::SnapshotPtr> items;
    std::size_t left = 0;
    for (auto at = told_objects_.objects().upper_bound(last); at != told_objects_.objects().end();
         ++at) {
      if (!selector.takes(at->second->labels, at->second->fields))
        continue;
      if (static_cast<std::int64_t>(items.size()) < most)
        items.push_back(at->second);
      else
        ++left;
    }
    json::Writer metadata;
    metadata.begin_object().put("resourceVersion", std::to_string(version)).put("series", series_);
    if (left > 0)
      metadata.put("continue", std::to_string(version) + "." + items.back()->name)
          .put("remainingItemCount", left);
    std::string body = "{\"kind\":\"ReleaseList\",\"apiVersion\":\"v1\",\"metadata\":" +
                       metadata.end_object().text() + ",\"items\":[";
    for (std::size_t i = 0; i < items.size(); ++i)
      body += (i > 0 ? "," : "") + items[i]->full;
    asked.exchange->answer(http::json_response(200, body + "]}"));
  });
}

void Controller::watch(const Asked& asked, objects::Selector selector) {
  const http::Request& request = asked.exchange->request;
  WatchAsk ask;
  ask.selector = std::move(selector);
  ask.brief = request.query("view") == "brief";
  ask.proxy = request.query("umpire");
  if (!ask.proxy.empty() && !may(asked.caller.role, Role::proxy))
    throw Refused{problem(403, "not allowed", "this token may not watch as an umpire")};
  const std::string since = request.query("resourceVersion"),
                    within = request.query("timeoutSeconds"), series = request.query("series");
  if (!since.empty())
    ask.since = number_of(since, "resourceVersion");
  if (!within.empty())
    ask.within = std::chrono::seconds(number_of(within, "timeoutSeconds") % 1000000);
  if (ask.since && ((!series.empty() && series != series_) ||
                    told_objects_.since(*ask.since) != objects::Since::held))
    throw Refused{
        problem(410, "the version has expired",
                "what changed since then is no longer known: list anew and watch from there")};
  if (!watches_->add(asked.exchange, std::move(ask)))
    throw Refused{retry_later(1s, std::to_string(settings_.watches.most) + " watches are open")};
}

void Controller::get(const Asked& asked) {
  if (const auto release = catalog_.store().find(asked.name))
    return asked.exchange->answer(shown(*release, 200));
  reply(asked, catalog_.act(asked.name, {}));
}

void Controller::reply(const Asked& asked, const releases::Reply& reply) {
  if (reply.status >= 300)
    return asked.exchange->answer(
        problem(reply.status, reply.title, reply.detail, reply.problems, reply.present_version));
  if (const auto release = catalog_.store().find(reply.name))
    return asked.exchange->answer(shown(*release, reply.status));
  asked.exchange->answer(
      http::json_response(reply.status, "{\"kind\":\"Status\",\"status\":\"Success\"}"));
}

// Writes a request's change down; false when it was a dry run, which is answered here.
bool Controller::finish(const Asked& asked, releases::Reply& what,
                        std::optional<journal::RequestKey> key) {
  if (what.status >= 300) {
    reply(asked, what);
    return false;
  }
  if (dry(asked.exchange->request)) {
    if (what.draft)
      asked.exchange->answer(shown(*releases::snapshot(what.draft->release), what.status));
    else
      reply(asked, what);
    return false;
  }
  if (what.draft)
    commit({*what.draft}, std::move(key));
  return true;
}

void Controller::create(const Asked& asked) {
  guarded(asked.exchange, [&] {
    const http::Request& request = asked.exchange->request;
    const auto body = body_of(request);
    std::optional<journal::RequestKey> key;
    if (const std::string given(request.headers.get("Idempotency-Key")); !given.empty()) {
      if (given.size() > 255)
        throw Refused{
            problem(400, "the request makes no sense", "Idempotency-Key is longer than 255 bytes")};
      key = journal::RequestKey{asked.caller.name + "/" + given, sha256(request.body), ""};
      const auto before = journal_ ? journal_->find_request_key(key->key) : std::nullopt;
      if (before && before->digest != key->digest)
        throw Refused{problem(422, "the key was used for another request",
                              "Idempotency-Key " + given + " came with another body")};
      if (before) {
        http::Response again =
            problem(410, "the release is gone", "it was created by this key and deleted since");
        if (const auto release = catalog_.store().find(before->name))
          again = shown(*release, 201);
        again.headers.add("Idempotency-Replayed", "true");
        return asked.exchange->answer(again);
      }
    }
    releases::Reply made = catalog_.create(body, fresh_id(), core_->newest_offered(), wall_ms());
    if (key)
      key->name = made.name;
    if (!finish(asked, made, std::move(key)))
      return;
    log_.info("release created", {{"name", made.name},
                                  {"build", log::text(made.draft->release.build)},
                                  {"who", asked.caller.name}});
    core_->offer(made.draft->release.build, loop_.now());
    pull();
    reply(asked, made);
  });
}

bool Controller::offer(int build, const std::string& who) {
  const auto body = json::parse_object("{\"spec\":{\"build\":" + std::to_string(build) + "}}");
  const releases::Reply made =
      catalog_.create(body, fresh_id(), core_->newest_offered(), wall_ms());
  if (!made.draft)
    return false;
  commit({*made.draft});
  log_.info("release created", {{"name", made.name}, {"build", log::text(build)}, {"who", who}});
  core_->offer(build, loop_.now());
  pull();
  return true;
}

void Controller::patch(const Asked& asked) {
  guarded(asked.exchange, [&] {
    const auto body = body_of(asked.exchange->request);
    releases::Reply made = catalog_.patch(asked.name, body, believed_of(asked.exchange->request));
    if (finish(asked, made))
      reply(asked, made);
  });
}

void Controller::remove(const Asked& asked) {
  guarded(asked.exchange, [&] {
    releases::Reply made =
        catalog_.remove(asked.name, believed_of(asked.exchange->request), wall_ms());
    const releases::Release* release = catalog_.find(asked.name);
    const int build = release ? release->build : 0;
    if (!finish(asked, made))
      return;
    // One as a canary goes back first; its object goes when none of its machines runs.
    if (build == core_->news(loop_.now()).build)
      core_->back("deleted by " + asked.caller.name, loop_.now());
    log_.info("release deleted", {{"name", asked.name}, {"who", asked.caller.name}});
    pull();
    reply(asked, made);
  });
}

void Controller::act(const Asked& asked, const std::string& what) {
  guarded(asked.exchange, [&] {
    const auto body = body_of(asked.exchange->request);
    const std::string reason = json::text(body, "reason");
    const std::string author = json::text_or(body, "author", asked.caller.name);
    if (reason.empty() || author.empty())
      json::throw_wrong_type(reason.empty() ? "reason" : "author", "a word");
    const releases::Reply may = catalog_.act(asked.name, believed_of(asked.exchange->request));
    if (may.status != 200)
      return reply(asked, may);
    const TimePoint now = loop_.now();
    const std::string why = reason + " (" + author + ")";
    const bool present = catalog_.find(asked.name)->build == core_->news(now).build;
    if (dry(asked.exchange->request))
      return reply(asked, may);
    const bool done =
        present && (what == "back" ? core_->back(why, now) : core_->hold(what == "hold", why, now));
    if (!done)
      throw Refused{problem(409, "the release is not in a state for that",
                            "it is " + catalog_.find(asked.name)->status.phase +
                                (catalog_.find(asked.name)->status.held ? ", held" : ""),
                            {}, catalog_.find(asked.name)->version)};
    log_.info("operator",
              {{"says", what}, {"release", asked.name}, {"why", reason}, {"who", author}});
    pull();
    reply(asked, {.name = asked.name});
  });
}

// Silent or failing, as told to be for trying it out.
bool Controller::in_trouble(const http::ExchangePtr& exchange) {
  if (trouble_ == Trouble::none)
    return false;
  if (trouble_ == Trouble::errors) {
    exchange->answer(http::text_response(503, "out of order\n"));
  } else {
    // Never answered; it goes when the proxy hangs up.
    exchange->on_disconnect = [keep = exchange]() mutable { keep.reset(); };
  }
  return true;
}

void Controller::vote(const Asked& asked) {
  guarded(asked.exchange, [&] {
    const auto body = body_of(asked.exchange->request);
    const std::string proxy = json::text(body, "umpire"), session = json::text(body, "session");
    const int stage = json::integer(body, "stage", 0, 1000);
    const Verdict verdict = json::enumerator<Verdict>(body, "verdict",
                                                      {{"none", Verdict::none},
                                                       {"on", Verdict::promote},
                                                       {"hold", Verdict::hold},
                                                       {"back", Verdict::roll_back}});
    if (proxy.empty())
      json::throw_wrong_type("umpire", "a name");
    const releases::Release* release = catalog_.find(asked.name);
    if (!release)
      return reply(asked, catalog_.act(asked.name, {}));
    const int build = release->build;
    const TimePoint now = loop_.now();
    const bool counts = trouble_ == Trouble::none ||
                        (trouble_ == Trouble::silent &&
                         std::uniform_real_distribution<double>(0, 1)(random_) < count_share_);
    Outcome outcome = Outcome::error;
    bool superseded = false;
    if (counts) {
      // A vote says as much as a heartbeat that the proxy is there.
      superseded = members_.heard(proxy, session, now) == membership::Heard::superseded;
      look_at_members();
      outcome = superseded ? Outcome::obsolete : core_->vote(proxy, build, stage, verdict, now);
    }
    if (voted_)
      voted_(proxy, build, stage, verdict, outcome);
    if (in_trouble(asked.exchange))
      return;
    if (superseded)
      asked.exchange->answer(problem(409, "superseded", "another process votes by that name"));
    else if (outcome == Outcome::rejected)
      asked.exchange->answer(retry_later(1s, "too many votes"));
    else if (outcome == Outcome::obsolete)
      asked.exchange->answer(
          problem(409, "moot", "the release is not in that wave, or such a vote has no meaning"));
    else
      asked.exchange->answer(http::json_response(200, "{\"result\":\"ok\"}"));
    pull();
  });
}

void Controller::look_at_members() {
  const TimePoint now = loop_.now();
  members_.canary_running(core_->news(now).phase == ReleasePhase::canary);
  if (members_.tick(now))
    log_.info("umpires", {{"live", log::text(members_.live())},
                          {"known", log::text(members_.known())},
                          {"counted_to_go_on", log::text(members_.to_go_on())},
                          {"counted_to_go_back", log::text(members_.to_go_back())}});
  core_->proxies(members_.to_go_on(), members_.to_go_back());
  loop_.cancel(members_look_);
  if (auto at = members_.next_look())
    members_look_ = loop_.at(std::max(*at, now + 1ms), [this] {
      members_look_ = net::Loop::no_timer;
      look_at_members();
      pull();
    });
}

void Controller::heartbeat(const Asked& asked) {
  if (in_trouble(asked.exchange))
    return;
  guarded(asked.exchange, [&] {
    const auto body = body_of(asked.exchange->request);
    const std::string session = json::text(body, "session");
    if (!objects::label_value(asked.name) || session.empty())
      json::throw_wrong_type("session", "a word");
    const TimePoint now = loop_.now();
    const membership::Heard heard = members_.heard(asked.name, session, now);
    if (heard != membership::Heard::renewed)
      log_.info("umpire", {{"name", asked.name}, {"is", membership::to_string(heard)}});
    if (heard == membership::Heard::superseded)
      throw Refused{problem(409, "superseded", "another process has taken the name " + asked.name)};
    if (json::has_value(body, "acknowledged")) {
      const json::Value& told = json::nested_object(body, "acknowledged");
      membership::Acknowledged what{
          json::integer(told, "build", 0, 65535), json::integer(told, "stage", 0, 1000),
          json::number(told, "cap"), static_cast<std::int64_t>(json::number(told, "version")), now};
      members_.acknowledges(asked.name, session, what);
    }
    look_at_members();
    pull();
    asked.exchange->answer(
        http::json_response(200, json::Writer()
                                     .begin_object()
                                     .put("leaseMs", settings_.members.lease.count() / 1000)
                                     .put("known", members_.known())
                                     .put("live", members_.live())
                                     .end_object()
                                     .text()));
  });
}

void Controller::proxy_leaves(const Asked& asked) {
  if (!members_.leaves(asked.name, asked.exchange->request.query("session")))
    return asked.exchange->answer(
        problem(404, "no such umpire", "no umpire " + asked.name + " of that session"));
  log_.info("umpire", {{"name", asked.name}, {"is", "gone by its own word"}});
  look_at_members();
  pull();
  asked.exchange->answer(http::json_response(200, "{\"kind\":\"Status\",\"status\":\"Success\"}"));
}

void Controller::proxies(const Asked& asked) {
  const TimePoint now = loop_.now();
  json::Writer out;
  out.begin_object()
      .put("kind", "UmpireList")
      .put("known", members_.known())
      .put("live", members_.live());
  out.put("countedToGoOn", members_.to_go_on()).put("countedToGoBack", members_.to_go_back());
  out.put("watches", watches_->count()).put("watchesCut", watches_->cut()).begin_array("items");
  for (auto& [name, member] : members_.all()) {
    out.begin_object().put("name", name).put("live", member.live).put("restarts", member.restarts);
    out.put_ms("heardMsAgo", now - member.heard).put_ms("hereForMs", now - member.since);
    if (member.acknowledged)
      out.begin_object("acknowledged")
          .put("build", member.acknowledged->build)
          .put("stage", member.acknowledged->stage)
          .put("cap", member.acknowledged->cap)
          .put("version", static_cast<long>(member.acknowledged->version))
          .put_ms("msAgo", now - member.acknowledged->at)
          .end_object();
    out.end_object();
  }
  asked.exchange->answer(http::json_response(200, out.end_array().end_object().text()));
}

void Controller::client_outcomes(const Asked& asked) {
  guarded(asked.exchange, [&] {
    const auto body = releases::strict(asked.exchange->request.body);
    const int requests = json::integer(body, "txns"), unsuccessful = json::integer(body, "poorly");
    if (runner_ && settings_.throttle)
      runner_->on_client_outcomes(requests, unsuccessful);
    asked.exchange->answer(http::json_response(200, "{}"));
  });
}

}  // namespace robinhoist::controller
