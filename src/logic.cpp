// All decisions of robinhoist. The interface is in logic.h, the plain types in state.h.
// How to call it: make one Proxy for each instance, tell it what happens (txn_arrived,
// submission_ended, release_news, ...), then pull next(now) until it returns nothing and carry out
// what it says. Inputs only note; every choice is made in next().
#include "logic.h"

#include <set>

namespace robinhoist {
namespace {

using namespace std::chrono_literals;

// Endpoints
constexpr std::size_t results_kept = 16, took_kept = 64, sent_kept = 40;
constexpr Duration result_life = 5s;  // health goes by results no older than this
constexpr Duration first_bench =
    500ms;  // an endpoint that lost two in a row rests so long, then doubling
constexpr Duration failing_rest = 2s,
                   full_rest = 100ms;  // after a failure; after work turned away, doubling
constexpr double cold_margin = 0.6,
                 cold_least = 8;  // part of what may be sent; requests a window of all
constexpr Duration report_life = 1s,
                   thin_life = 1s;  // how long a load report tells, and one answer alone
constexpr double reach_pace = 2;  // attempts a second that an proxy's endpoint should get from it,
constexpr std::size_t reach_least = 4,
                      reach_refused = 2;  // but so many endpoints at least, or so few
constexpr double refused_part = 0.15;     // when this part of all connections is refused
constexpr std::size_t draw_from = 64,
                      draws_most = 16;  // drawn one by one: of more endpoints than this
constexpr Duration ask_pause_least = 400ms, ask_pause_most = 3s;
}  // namespace

EndpointSet::EndpointSet(const EndpointSettings& settings,
                         const std::vector<RequestClass>& request_classes)
    : settings_(settings),
      request_classes_(request_classes),
      took_(request_classes.size(), QuantileWindow(took_kept)),
      per_hint_(took_),
      sent_(sent_kept),
      refused_(sent_kept),
      ask_pause_(ask_pause_least) {}

void EndpointSet::news(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                       TimePoint now) {
  if (kind == EndpointUpdateKind::failed) {
    asked_ = false;
    ask_at_ = now + ask_pause_;
    ask_pause_ = std::min(2 * ask_pause_, ask_pause_most);
    return;
  }
  warm();  // as the list was
  if (kind != EndpointUpdateKind::cached)
    ask_pause_ = ask_pause_least;
  if (kind != EndpointUpdateKind::incremental)
    for (EndpointState& endpoint : endpoints_)
      endpoint.phase = EndpointPhase::removed;
  for (const EndpointInfo& entry : entries) {
    if (entry.endpoint >= static_cast<int>(endpoints_.size()))
      endpoints_.resize(entry.endpoint + 1);
    EndpointState& endpoint = endpoints_[entry.endpoint];
    // A new start or another build is another process: what was known of the old one says nothing.
    if (!endpoint.listed || endpoint.started != entry.started || endpoint.build != entry.build) {
      endpoint.results = SlidingWindow<Result>(results_kept);
      endpoint.recent.reset();
      endpoint.dead_run = endpoint.full_run = 0;
      endpoint.heard_at = endpoint.full_at = endpoint.back_at = endpoint.cold_sent = long_ago;
      endpoint.told = now;
    }
    static_cast<EndpointInfo&>(endpoint) = entry;
    endpoint.listed = true;
    if (!settings_.sized || entry.size <= 0)
      endpoint.size = 1;
  }
  std::vector<int> ordered;
  for (int n = 0; n < static_cast<int>(endpoints_.size()); ++n)
    if (open(n))
      ordered.push_back(n);
  std::sort(ordered.begin(), ordered.end(), [&](int a, int b) {
    return std::pair(endpoints_[a].order, a) < std::pair(endpoints_[b].order, b);
  });
  newest_ = -1;
  for (int n : ordered)
    newest_ = std::max(newest_, endpoints_[n].build);
  for (auto* ring : {&rings_[0][0], &rings_[0][1], &rings_[1][0], &rings_[1][1]})
    ring->clear();
  for (int n : ordered)
    rings_[endpoints_[n].build == newest_][near(n)].push_back(n);
}

bool EndpointSet::open(int n) const {
  return endpoints_[n].listed && endpoints_[n].phase == EndpointPhase::ready;
}

// An endpoint that answers again after it was lost has probably started anew, whatever the list
// still says: guards against pushing over machines whose restart is told late. After a mere cut it
// costs some seconds of care.
double EndpointSet::warmth(int n, TimePoint now) const {
  const EndpointState& endpoint = endpoints_[n];
  TimePoint started =
      std::max(endpoint.started == TimePoint{} ? long_ago : endpoint.started, endpoint.back_at);
  if (now >= started + settings_.cold_for)
    return 1;
  double age = std::max(0.0, to_seconds(now - started) / to_seconds(settings_.cold_for));
  return settings_.cold_from + (1 - settings_.cold_from) * age;
}

void EndpointSet::sent(int n, TimePoint now) {
  endpoints_[n].out.push_back(now);
  sent_.push(now);
  if (warmth(n, now) >= 1)
    return;
  endpoints_[n].sends.push_back(now);
  endpoints_[n].cold_sent = now;
}

void EndpointSet::ended(const Attempt& attempt, Outcome outcome, const RequestInfo& request,
                        TimePoint now) {
  EndpointState& endpoint = endpoints_[attempt.endpoint];
  auto at = std::find(endpoint.out.begin(), endpoint.out.end(), attempt.sent);
  if (at != endpoint.out.end())
    endpoint.out.erase(at);
  Duration took = now - attempt.sent;
  bool unheard = endpoint.heard_at < attempt.sent && took > patience();
  if (outcome == Outcome::obsolete || (outcome == Outcome::cancelled && !unheard))
    return;
  // A connection that broke is no silence: something there has ended it. A dead process refuses the
  // next.
  if (lost(outcome) || outcome == Outcome::cancelled) {
    if (endpoint.heard_at < attempt.sent && outcome != Outcome::reset) {
      ++endpoint.dead_run;
      endpoint.dead_at = now;
    }
  } else {
    if (endpoint.dead_run >= 2)
      endpoint.back_at = now;
    endpoint.dead_run = 0;
    endpoint.heard_at = now;
  }
  refused_.push(outcome == Outcome::connect_failure);
  squeezed_ = count(refused_) > std::max(2.0, refused_part * refused_.size());
  endpoint.full_run = outcome == Outcome::rejected ? endpoint.full_run + 1 : 0;
  if (outcome == Outcome::rejected)
    return void(endpoint.full_at = now);
  // A late answer of an endpoint that answers others is a matter of load, not of health.
  bool well =
      outcome == Outcome::ok || (outcome == Outcome::timeout && endpoint.heard_at >= attempt.sent);
  endpoint.results.push({now, well, ratio(request.request_class, took, request.cost_hint_ms), took,
                         attempt.in_hand, outcome != Outcome::error});
  endpoint.recent.reset();
  if (outcome != Outcome::ok)
    return;
  // What one warm endpoint carries: those gone since count too, else a fleet being swapped looks
  // far more able.
  if (warmth(attempt.endpoint, attempt.sent) < 1)
    return;
  successes_.push_back({now, attempt.endpoint});
  ++endpoint.succeeded;
  while (successes_.front().first < now - settings_.fall_window) {
    --endpoints_[successes_.front().second].succeeded;
    successes_.pop_front();
  }
  warm_asked_ = now;
}

// How many endpoints were warm when the last answer came.
int EndpointSet::warm() {
  if (!warm_asked_)
    return warm_;
  warm_ = 0;
  for (int n = 0; n < static_cast<int>(endpoints_.size()); ++n)
    warm_ += endpoints_[n].succeeded > 0 || (open(n) && warmth(n, *warm_asked_) >= 1);
  warm_asked_.reset();
  return warm_;
}

void EndpointSet::learn(int request_class, Duration took, double cost_hint_ms) {
  took_[request_class].push(to_millis(took));
  if (cost_hint_ms > 0)
    per_hint_[request_class].push(to_millis(took) / cost_hint_ms);
}

double EndpointSet::usual_ms(int request_class, double part) {
  return took_[request_class].empty()
             ? to_millis(request_classes_[request_class].latency_objective) / 4
             : took_[request_class].at(part);
}

double EndpointSet::ratio(int request_class, Duration took, double cost_hint_ms) {
  if (cost_hint_ms <= 0 || per_hint_[request_class].empty())
    return to_millis(took) / usual_ms(request_class, 0.5);
  return to_millis(took) / cost_hint_ms / per_hint_[request_class].at(0.5);
}

double EndpointSet::objective_ratio(int request_class, Duration took) const {
  return to_millis(took) / to_millis(request_classes_[request_class].latency_objective);
}
void EndpointSet::report(int n, const Load& load, TimePoint now) {
  if (load.held || load.busy)
    endpoints_[n].load = load, endpoints_[n].load_at = now;
}

// The longest that an answer may keep us waiting before its endpoint is taken to be silent.
Duration EndpointSet::patience() {
  double most = 0;
  for (int p = 0; p < static_cast<int>(request_classes_.size()); ++p)
    most = std::max(most, std::max(2 * usual_ms(p, 0.95),
                                   to_millis(request_classes_[p].latency_objective) / 2));
  return from_millis(most);
}

// Rule 4. Each proxy keeps to its own part: what its warm endpoints carry, times what a cold one
// may be sent. A short ring is reached by more of the proxies than a long one. Where the part is
// less than one request a window, it waits longer between two, from a point of its own: guards
// against the sum of many small allowances.
bool EndpointSet::has_room(int n, TimePoint now) {
  EndpointState& endpoint = endpoints_[n];
  if (warmth(n, now) >= 1)
    return true;
  while (!endpoint.sends.empty() && endpoint.sends.front() < now - settings_.fall_window)
    endpoint.sends.pop_front();
  double then =
      warmth(n, std::max({endpoint.started, endpoint.back_at, now - settings_.fall_window / 2}));
  double ring = static_cast<double>(rings_[endpoint.build == newest_][near(n)].size());
  double reached_by = std::min(1.0, reach(now) / std::max(1.0, ring));
  double most = cold_margin * settings_.fall_multiple * then * endpoint.size * successes_.size() /
                (std::max(1, warm()) * reached_by);
  most = std::max(most, std::min(1.0, cold_least / (settings_.proxies * reached_by)));
  if (most >= 1)
    return endpoint.sends.size() + 1 <= most;
  Duration gap = from_millis(to_millis(settings_.fall_window) / most);
  return now >=
         std::max(endpoint.cold_sent + gap,
                  endpoint.told + from_millis(to_millis(gap) * golden_part(settings_.me + n)));
}

// An endpoint that lost two in a row, without a word between, rests; then one request at a time
// tries it.
bool EndpointSet::resting(int n, TimePoint now) const {
  const EndpointState& endpoint = endpoints_[n];
  if (endpoint.dead_run < 2)
    return false;
  Duration rest = first_bench * (1 << std::min(endpoint.dead_run - 2, 3));
  return now < endpoint.dead_at + rest || !endpoint.out.empty();
}

// Of the last results those that are young enough to tell of the endpoint's health.
const RecentResults& EndpointSet::recent_results(int n, TimePoint now) {
  EndpointState& endpoint = endpoints_[n];
  if (endpoint.recent && now <= endpoint.recent->until)
    return *endpoint.recent;
  RecentResults sum{.last_failed = long_ago, .until = TimePoint::max()};
  for (std::size_t i = 0;
       i < endpoint.results.size() && endpoint.results.back(i).at >= now - result_life; ++i) {
    const Result& result = endpoint.results.back(i);
    ++sum.young;
    sum.until = result.at + result_life;
    sum.ratios +=
        result.timed ? std::clamp(result.ratio, 0.3, 8.0) : 1;  // a quick error is no sign of speed
    sum.took += result.timed ? to_seconds(result.took) : 0;
    sum.in_hand += result.timed ? result.in_hand : 0;
    if (result.ok)
      continue;
    ++sum.failed;
    sum.last_failed = std::max(sum.last_failed, result.at);
  }
  return endpoint.recent.emplace(sum);
}

// Guards against endpoints that swallow, fail or turn away work; when all are poorly the least bad
// serve.
bool EndpointSet::well(int n, TimePoint now) {
  EndpointState& endpoint = endpoints_[n];
  if (endpoint.full_run > 0 &&
      now < endpoint.full_at + full_rest * (1 << std::min(endpoint.full_run - 1, 4)))
    return false;
  if (!endpoint.out.empty() && endpoint.heard_at < endpoint.out.front() &&
      now - endpoint.out.front() > patience())
    return false;
  const RecentResults& sum = recent_results(n, now);
  if (sum.failed >= 3 && sum.failed * 4 >= sum.young)
    return now > sum.last_failed + failing_rest && endpoint.out.empty();
  return true;
}

// What the endpoints in use are able to do, in usual endpoints.
double EndpointSet::able(TimePoint now) const {
  double sum = 0;
  for (int n = 0; n < static_cast<int>(endpoints_.size()); ++n)
    if (open(n) && !resting(n, now))
      sum += endpoints_[n].size * warmth(n, now);
  return sum;
}

// Own requests in flight, weighed by size, warmth and how slow the endpoint's last answers were.
double EndpointSet::cost(int n, TimePoint now) {
  const EndpointState& endpoint = endpoints_[n];
  const RecentResults& sum = recent_results(n, now);
  double slow = std::max(1.0, (3 + sum.ratios) / (3 + static_cast<double>(sum.young)) / 1.3);
  // A fresh report tells of others' work there; half of it counts, as all proxies hear the same and
  // late.
  double own = static_cast<double>(endpoint.out.size());
  const Load load = now < endpoint.load_at + report_life ? endpoint.load : Load{};
  double others = std::max(0.0, load.held.value_or(own) - own) / 2;
  slow *= 1 + load.busy.value_or(0) / 2;
  return (own + 1 + others) * slow / (endpoint.size * warmth(n, now));
}

// How long one more request would take there: by Little's law, own requests in hand over the pace
// of late. Guards against queues that no answer survives, whatever fills them. It may shed too
// early on few answers.
Duration EndpointSet::wait(int n, TimePoint now) {
  const EndpointState& endpoint = endpoints_[n];
  const RecentResults& sum = recent_results(n, now);
  if (sum.in_hand < results_kept / 4 &&
      (sum.in_hand == 0 || endpoint.results.back(0).at < now - thin_life))
    return Duration{};
  return from_millis(1e3 * (endpoint.out.size() + 1) * sum.took / sum.in_hand);
}

int EndpointSet::better_of_two(const std::vector<int>& among, TimePoint now,
                               RandomGenerator& random) {
  if (among.empty())
    return -1;
  int a = among[static_cast<std::size_t>(uniform_sample(random) * among.size())];
  if (among.size() == 1)
    return a;
  int b = a;
  while (b == a)
    b = among[static_cast<std::size_t>(uniform_sample(random) * among.size())];
  return cost(b, now) < cost(a, now) ? b : a;
}

// How many endpoints this proxy spreads over. One of many proxies that sent everywhere would know
// nothing young of any endpoint and open a connection for nearly every request; so each keeps to a
// few, more the more it sends, and to two where connections are refused right and left: then
// endpoints take only so many proxies.
std::size_t EndpointSet::reach(TimePoint now) const {
  return std::max(
      squeezed_ ? reach_refused : reach_least,
      static_cast<std::size_t>(std::ceil(pace(now) / reach_pace / (squeezed_ ? 5 : 1))));
}

// Two random choices among the well endpoints of the proxy's own stretch of the ring, in the own
// zone, or abroad where that is clearly better. All proxies see the endpoints in the same order and
// begin at points spread evenly (golden section), so that the stretches load all endpoints alike;
// what rests is stepped over.
int EndpointSet::choose(bool young, const std::function<bool(int)>& may, bool careful,
                        Duration longest, TimePoint now, RandomGenerator& random) {
  std::vector<int> found[2], poorly;
  std::size_t usable = 0;
  const std::size_t most = reach(now);
  for (bool close : {true, false}) {
    const std::vector<int>& ring = rings_[young][close];
    const std::size_t start = static_cast<std::size_t>(golden_part(settings_.me) * ring.size());
    std::size_t used = 0, poor = 0;
    // On a long stretch it draws until it has met two that will do: the same choice, at a cost that
    // does not grow with the fleet.
    const std::size_t length = std::min(most, ring.size());
    for (std::size_t i = 0; length > draw_from && i < draws_most && poor < 2; ++i) {
      int n =
          ring[(start + static_cast<std::size_t>(uniform_sample(random) * length)) % ring.size()];
      if (!may(n) || !has_room(n, now) || resting(n, now))
        continue;
      if (!well(n, now) || (careful && endpoints_[n].dead_run > 0))
        ++poor;
      else if (wait(n, now) <= longest && (found[close].empty() || found[close][0] != n))
        found[close].push_back(n);
      if (found[close].size() == 2)
        break;
    }
    if (found[close].size() == 2) {
      usable += ring.size();
      continue;
    }
    found[close].clear();
    for (std::size_t i = 0; i < ring.size() && used < most; ++i) {
      int n = ring[(start + i) % ring.size()];
      if (!may(n) || !has_room(n, now) || resting(n, now))
        continue;
      const bool sound = well(n, now) && !(careful && endpoints_[n].dead_run > 0);
      used += sound;
      if (!sound)
        poorly.push_back(n);
      else if (wait(n, now) <= longest)
        found[close].push_back(n);
    }
    usable += used;
  }
  if (poorly.size() > 2 * usable)
    return better_of_two(poorly, now, random);
  int a = better_of_two(found[1], now, random), b = better_of_two(found[0], now, random);
  if (a < 0 || b < 0)
    return a < 0 ? b : a;
  return cost(a, now) > 1.3 * cost(b, now) + 1 ? b : a;
}

// Where the list must be asked for: subscribe at once, again after a failure with growing pauses.
std::optional<Decision> EndpointSet::next(TimePoint now, RandomGenerator& random) {
  if (!settings_.must_ask || asked_ || now < ask_at_)
    return {};
  asked_ = true;
  ask_pause_ += from_millis(uniform_sample(random) * 200);
  return Decision{.action = Action::subscribe};
}

// Exposure

CanaryQuota::CanaryQuota(const CanaryQuotaSettings& settings, int request_classes, Duration tick)
    : settings_(settings), tick_(tick), counts_(settings.by_request_class ? request_classes : 1) {}

void CanaryQuota::news(const ReleaseUpdate& release) {
  if (release.phase == ReleasePhase::rolling_back || release.phase == ReleasePhase::rolled_back)
    moved_keys_.clear();
  release_ = release;
}

CanaryQuota::Count& CanaryQuota::count(int request_class) {
  return counts_[settings_.by_request_class ? request_class : 0];
}

// Sends are kept a tick longer than requests taken, so that either way of reading the window's ends
// holds.
void CanaryQuota::trim(Count& count, TimePoint now) const {
  while (!count.taken.empty() && count.taken.front() <= now - settings_.window + tick_)
    count.taken.pop_front();
  while (!count.sent.empty() && count.sent.front() < now - settings_.window - tick_)
    count.sent.pop_front();
}

void CanaryQuota::taken(int request_class, TimePoint now) {
  count(request_class).taken.push_back(now);
  trim(count(request_class), now);
}

void CanaryQuota::answered(const std::string& key, int build) {
  if (settings_.one_way && !key.empty() && is_canary(build))
    moved_keys_[key] = build;
}

bool CanaryQuota::is_canary(int build) const {
  return release_ && (build > release_->build ||
                      (build == release_->build && release_->phase != ReleasePhase::released));
}

// A build that no news has named counts as in the first stage; one on its way back takes nothing.
double CanaryQuota::cap(int build) const {
  if (build > release_->build)
    return settings_.caps.empty() ? 0 : settings_.caps.front();
  return release_->phase == ReleasePhase::canary ? release_->cap : 0;
}

bool CanaryQuota::allows(const RequestInfo& request, int build, Idempotency idempotency,
                         TimePoint now) {
  if (settings_.one_way && !request.key.empty()) {
    auto moved = moved_keys_.find(request.key);
    if (moved != moved_keys_.end() && build < moved->second)
      return false;
  }
  if (!is_canary(build))
    return true;
  double most = cap(build);
  if (most <= 0)
    return false;
  int stage = build > release_->build ? 0 : release_->stage;
  if (idempotency != Idempotency::idempotent && stage < settings_.safe_only_stages)
    return false;
  Count& of = count(request.request_class);
  trim(of, now);
  return of.sent.size() + 1 <= settings_.free + most * of.taken.size();
}

// Trial
namespace {
constexpr std::size_t fresh_kept = 600, older_kept = 800, fleet_enough = 30;
constexpr double min_attempts = 10;  // the source's minimum before a stage is judged
constexpr double most_compared =
    0.9;  // of the cap: beyond, the older machines are idle or on their way out
constexpr Duration same_time = 2s;     // outcomes of both builds are compared in durations of this
constexpr Duration least_window = 4s;  // from the latest start in the stage
constexpr double failure_threshold = 0.03, flood_threshold = 0.2,
                 flood_least = 8;  // beside older ones, and without
constexpr double false_alarm_rate = 0.001,
                 max_significance = 0.03;  // of failures: for one vote, and at most for many
constexpr double aged_slow = 1.6;          // times the older build's latency
constexpr double machine_spread = 0.22;    // of the logarithm of a machine's latency, load included
// How much slower the whole fleet must be, for twice so long, at what load, and than what it may be
// before.
constexpr double shared_slow = 1.7, shared_load = 1.3, shared_before = 1.4;
constexpr Duration shared_window = 1500ms, fleet_most = 8s;
constexpr Duration clock_lag =
    500ms;  // a step is near its end so long after latest start and step time
constexpr Duration stage_start_gap = 1s;  // machines of two stages start so far apart
constexpr Duration poorly_memory = 10s;   // machines of the older build that were poorly so lately
constexpr Duration hold_few = 1s,
                   hold_most = 4s;  // the longest hold, for few figures and for doubtful ones
bool nobody(const Sample&) {
  return false;
}
bool poorly(const Counts& c) {
  return c.n >= 3 && c.failed + c.lost >= std::max(2.0, 0.12 * c.n);
}
}  // namespace

CanaryAnalysis::CanaryAnalysis(const AnalysisSettings& settings, int request_classes)
    : settings_(settings),
      request_classes_(request_classes),
      fresh_(fresh_kept),
      older_(older_kept),
      significance_(false_alarm_rate) {
  // Where many votes must stand, one proxy may be less sure: their number guards against a false
  // alarm. It would not if all erred alike, so there is a most.
  while (significance_ < max_significance &&
         poisson_upper_tail(settings_.votes_to_roll_back, 8 * settings_.proxies * significance_) <
             4 * false_alarm_rate)
    significance_ *= 2;
}

void CanaryAnalysis::news(const ReleaseUpdate& release, TimePoint now) {
  bool moved = !release_ || release_->build != release.build || release_->stage != release.stage ||
               release_->phase != release.phase;
  if (!release_ || release_->build != release.build) {
    seen_as_canary_ = false;
    condemned_ = {};
    usual_part_.reset();
  }
  if (release.phase == ReleasePhase::canary)
    seen_as_canary_ = true;
  if (moved) {
    // Counters reset per stage, as in the source.
    stage_at_ = now - release.since;
    look_at_fleet_ = true;
    held_from_ = long_ago;
    if (many_votes())
      condemned_ = {};  // false alarms of many proxies would add up over the stages
    // What is too little to judge a stage by is carried into the next: else quiet proxies never see
    // enough.
    bool next =
        release_ && release_->build == release.build && release.phase == ReleasePhase::canary;
    if (!next || !many_votes() || fresh_.size() >= min_attempts) {
      fresh_.clear();
      counted_from_ = stage_at_;
    }
  }
  release_ = release;
}

// Whether the build is the one being judged: as a canary, or released under our eyes and still to
// be rolled back.
bool CanaryAnalysis::watched(int build) const {
  return release_ && build >= release_->build &&
         (build > release_->build || release_->phase != ReleasePhase::released || seen_as_canary_);
}

void CanaryAnalysis::noted(int build, const Sample& sample) {
  (watched(build) ? fresh_ : older_).push(sample);
}

void CanaryAnalysis::tally(Arm& arm, const SlidingWindow<Sample>& samples, TimePoint from,
                           const std::function<bool(const Sample&)>& skip, Arm* beside) const {
  arm.by_request_class.resize(request_classes_);
  for (std::size_t i = 0; i < samples.size(); ++i) {
    const Sample& sample = samples.back(i);
    if (sample.at < from)
      break;
    if (skip(sample))
      continue;
    // By when it was sent: errors come at once and answers later, so a new arm shows its errors
    // first.
    long time = sample.sent.time_since_epoch() / same_time;
    const Counts then = beside ? beside->by_time[time] : Counts{};
    bool near = !beside || then.n >= 3;
    double usual = beside && then.timed > 0 ? then.sum / then.timed : 0;
    double log_ratio = std::log(std::clamp(sample.ratio, 0.05, 20.0)) - usual;
    for (Counts* counts :
         {&arm.by_endpoint[sample.endpoint], &arm.by_request_class[sample.request_class],
          &arm.by_tenant[sample.tenant], &arm.by_time[time], &arm.all}) {
      counts->add(sample, near, near ? (then.failed + then.lost) / std::max(1.0, then.n) : 0);
      if (sample.warm && (!beside || then.timed >= 3))
        counts->time(log_ratio, sample.objective_ratio);
    }
    if (sample.warm)
      arm.objective_ratios.push_back(sample.objective_ratio);
  }
}

// Guards against harm that a release does to the whole fleet, which looks well beside the older
// build: nearly all machines answer much slower than before the offer, though no more arrives and
// they did not in stage 0. It errs where other proxies' traffic jumps during a canary and ours does
// not.
bool CanaryAnalysis::shared_harm(double load, bool compared, TimePoint now) const {
  Arm fleet;
  tally(fleet, older_, since(older_, now), nobody);
  if (!compared)
    tally(fleet, fresh_, since(fresh_, now), nobody);
  if (!usual_part_ || release_->stage == 0 || fleet.all.timed < answers_enough())
    return false;
  double more = std::max(1.0, load / usual_load_);
  if (more > shared_load)
    return false;
  // Queues grow faster than the load: so much more is asked of the slowness.
  double slower = std::log(shared_slow * more * more);
  int slow = 0, seen = 0;
  for (auto& [endpoint, counts] : fleet.by_endpoint) {
    if (counts.timed < 2)
      continue;
    ++seen;
    slow += counts.mean_log_objective_ratio() > *usual_part_ + slower / 2;
  }
  return fleet.all.mean_log_objective_ratio() > *usual_part_ + slower && 5 * slow >= 4 * seen;
}

// A build that turns bad with age does so first at the machines of its earlier stages, and few as
// they are, each might pass for a machine's own trouble. The chance that trouble picks just them;
// the least over the stages.
double CanaryAnalysis::aged(const std::vector<EndpointState>& endpoints, const Arm& young) const {
  std::vector<std::pair<TimePoint, int>> seen;
  for (auto& [n, c] : young.by_endpoint)
    if (c.n >= 3 && endpoints[n].build == release_->build)
      seen.push_back(
          {endpoints[n].started, poorly(c) || (c.timed >= 3 && c.mean() > std::log(aged_slow))});
  std::sort(seen.begin(), seen.end());
  const int all = static_cast<int>(seen.size());
  int bad = 0, both = 0;
  for (auto& [started, is_bad] : seen)
    bad += is_bad;
  double p_value = 1;
  for (int i = 0; i + 1 < all; ++i) {
    both += seen[i].second;
    if (seen[i + 1].first - seen[i].first < stage_start_gap || both < 2 || 4 * both < 3 * (i + 1))
      continue;
    p_value = std::min(p_value, hypergeometric_upper_tail(all, i + 1, bad, both));
  }
  return p_value;
}

// From when on the fleet is looked at: a short while, or longer where answers are few.
TimePoint CanaryAnalysis::since(const SlidingWindow<Sample>& of, TimePoint now) const {
  TimePoint enough = !many_votes()              ? now
                     : of.size() < fleet_enough ? long_ago
                                                : of.back(fleet_enough - 1).at;
  return std::clamp(enough, now - fleet_most, now - shared_window);
}

double CanaryAnalysis::Arm::machines(double least) const {
  auto tells = [=](auto& c) { return c.second.timed >= least; };
  return std::max(
      1.0, static_cast<double>(std::count_if(by_endpoint.begin(), by_endpoint.end(), tells)));
}

double CanaryAnalysis::answers_enough() const {
  return fleet_enough * (many_votes() ? 0.6 : 1);
}

AnalysisResult CanaryAnalysis::condemn(const std::string& why) {
  return condemned_ = {Verdict::roll_back, why};
}

AnalysisResult CanaryAnalysis::judge(const std::vector<EndpointState>& endpoints,
                                     double canary_requests_per_s, double load, TimePoint now) {
  if (!release_ || (release_->phase != ReleasePhase::canary &&
                    !(release_->phase == ReleasePhase::released && seen_as_canary_)))
    return {};
  if (condemned_.verdict == Verdict::roll_back)
    return condemned_;
  const bool compared = release_->phase == ReleasePhase::canary && release_->cap < most_compared;
  if (look_at_fleet_ && release_->phase == ReleasePhase::canary && release_->stage <= 1) {
    Arm before;
    tally(before, older_, since(older_, now - shared_window), nobody);
    bool known = before.all.timed >= answers_enough() && load > 0;
    double part = known ? before.all.mean_log_objective_ratio() : 0;
    if (release_->stage == 0 && known)
      usual_load_ = load, usual_part_ = part;
    // Slow before the build had much traffic: something else is going on.
    if (release_->stage == 1 && usual_part_ && part > *usual_part_ + std::log(shared_before))
      usual_part_.reset();
  }
  look_at_fleet_ = false;
  if (fresh_.size() < min_attempts / 2 || !(compared || many_votes()) ||
      !shared_harm(load, compared, now))
    slow_from_ = now;
  if (now - slow_from_ >= 2 * shared_window)
    return condemn(figures("all slower; load", load, usual_load_));
  // A tenant whose requests fail at the older build, as others' do not, tells nothing of the new
  // one: guards against floods that fail anywhere. Kept from full queues first, they gather at a
  // canary's machines.
  Arm lately, old, young;
  tally(lately, older_, now - poorly_memory, nobody);
  std::set<int> left_out;
  for (auto& [tenant, c] : lately.by_tenant)
    if (c.failed >= 3 &&
        c.failed * (lately.all.n - c.n + 10) > 3 * (lately.all.failed - c.failed + 1) * c.n)
      left_out.insert(tenant);
  auto skip = [&](const Sample& sample) { return left_out.count(sample.tenant) > 0; };
  tally(old, older_, counted_from_, skip);
  if (old.all.n < 2 * min_attempts) {
    old = {};
    tally(old, older_, long_ago, skip);
  }
  tally(young, fresh_, counted_from_, skip, &old);

  const double aging = aged(endpoints, young);
  if (aging < significance_)
    return condemn(figures("early machines alone are poorly, by chance", aging, significance_));
  // Trouble of a machine is not the build's: where older machines are poorly too, or the canary has
  // many, a small part of its own that is poorly is left out. It hurts where a bad build and
  // machine trouble meet.
  auto poorly_in = [&](const Arm& arm) {
    return std::count_if(arm.by_endpoint.begin(), arm.by_endpoint.end(),
                         [&](auto& c) { return poorly(c.second); });
  };
  auto most_left_out =
      std::max<long>(1, static_cast<long>(young.by_endpoint.size() / (compared ? 5 : 2.5)));
  bool few_of_many = static_cast<long>(young.by_endpoint.size()) >= 5 * poorly_in(young);
  if ((poorly_in(lately) > 0 || few_of_many) && poorly_in(young) <= most_left_out) {
    std::map<int, Counts> by_endpoint = young.by_endpoint;
    young = {};
    tally(
        young, fresh_, counted_from_,
        [&](const Sample& one) { return skip(one) || poorly(by_endpoint[one.endpoint]); }, &old);
  }

  // Failures: over the threshold, and more than the older build's rate and chance explain.
  bool doubtful = aging < 0.01;
  // Each is set against the older build's at the same time. Without older machines beside it only a
  // flood of errors speaks, on many machines: a few fail by themselves, and overload and cut links
  // lose answers too.
  const bool wide = 10 * std::count_if(young.by_endpoint.begin(), young.by_endpoint.end(),
                                       [](auto& c) { return c.second.failed > 0; }) >
                    3 * static_cast<long>(young.by_endpoint.size());
  auto failing = [&](const Counts& c, const Counts& base) {
    bool beside = compared && 2 * c.near >= c.n;
    double failed = c.failed + beside * c.lost;
    double usual = std::max(0.01, (base.failed + beside * base.lost + 0.5) / (base.n + 25));
    double p_value = poisson_upper_tail(failed, std::max(usual * c.n, beside * c.due));
    doubtful |= failed >= 2 && p_value < 0.03;
    // Before the minimum only failures far beyond chance: the routing would soon leave such a build
    // alone.
    double significance = c.n >= min_attempts ? significance_ : significance_ / 10;
    bool many = beside ? failed >= 3 && failed > failure_threshold * c.n
                       : wide && failed >= flood_least &&
                             failed > flood_threshold / (many_votes() ? 2 : 1) * c.n;
    return many && p_value < significance;
  };
  if (failing(young.all, old.all))
    return condemn(figures("failures", young.all.failed + young.all.lost, young.all.n));
  for (int p = 0; p < request_classes_; ++p)
    if (failing(young.by_request_class[p], old.by_request_class[p]))
      return condemn(figures("failures of a product",
                             young.by_request_class[p].failed + young.by_request_class[p].lost,
                             young.by_request_class[p].n));

  // Answers found wrong come seconds late, so they are counted by build and not by stage.
  auto [given, wrong] = answers_[release_->build];
  double old_given = 0, old_wrong = 0;
  for (auto& [build, counts] : answers_) {
    if (build >= release_->build)
      continue;
    old_given += counts.first;
    old_wrong += counts.second;
  }
  double p_value = poisson_upper_tail(wrong, given * (old_wrong + 1) / (old_given + 250));
  doubtful |= wrong >= 1 && p_value < 0.1;
  bool many = wrong > 0.5 * failure_threshold * settings_.wrong_answer_report_share * given;
  if (wrong >= (many_votes() ? 1 : 3) && many && p_value < std::max(0.002, significance_))
    return condemn(figures("wrong answers", wrong, given));

  TimePoint latest = stage_at_;
  int canary_endpoints = 0, baseline_endpoints = 0;
  for (const EndpointState& endpoint : endpoints) {
    if (!endpoint.listed || endpoint.phase == EndpointPhase::removed)
      continue;
    if (endpoint.build == release_->build)
      latest = std::max(latest, endpoint.started);
    canary_endpoints += endpoint.build == release_->build;
    baseline_endpoints +=
        endpoint.build < release_->build && endpoint.phase == EndpointPhase::ready;
  }
  // Where the clock's step is shorter than the window, the step is the window: it must be over in
  // time.
  Duration length = settings_.promotion_mode == PromotionMode::clock
                        ? std::min(least_window, settings_.step)
                        : least_window;
  bool window = now >= latest + std::max(length, settings_.bake);
  bool judged = young.all.n >= min_attempts && window;

  // Slowness, on warm machines only: the p99 against its ceiling, the latency objective, then the
  // whole distribution against the older build's, which sees it long before a p99 of a few answers
  // can.
  if (compared && 2 * baseline_endpoints >= canary_endpoints && young.all.timed >= min_attempts &&
      old.all.timed >= 2 * min_attempts) {
    double young_p99 = quantile(young.objective_ratios, 0.99),
           old_p99 = quantile(old.objective_ratios, 0.99);
    // Of a build spread thinly over many machines one answer each must do.
    const double few =
        many_votes() && young.all.timed < 3 * static_cast<double>(young.by_endpoint.size()) ? 1 : 3;
    // A build slows all its machines, a slow machine only itself. One machine alone tells nothing
    // while one of the older build is as slow.
    auto slow = [](double least, double answers) {
      return [=](auto& c) {
        return c.second.timed >= answers && c.second.sum > std::log(least) * c.second.timed;
      };
    };
    long slow_ones =
        std::count_if(young.by_endpoint.begin(), young.by_endpoint.end(), slow(1.3, few));
    bool most_slow = young.machines(few) * (few > 1 ? 0.75 : 0.6) <= slow_ones &&
                     (slow_ones > 1 || std::none_of(lately.by_endpoint.begin(),
                                                    lately.by_endpoint.end(), slow(1.5, 2)));
    double apart = young.all.mean();  // as tallied, against the older build's at the same time
    // Machines differ among themselves: few machines tell little, however many answers they gave.
    double machines =
        machine_spread * machine_spread * (1 / young.machines(few) + 1 / old.machines(few));
    double error = std::sqrt(young.all.doubt() + old.all.doubt() + machines);
    const double sure = std::sqrt(std::log(significance_) / std::log(false_alarm_rate));
    // A p99 of so few answers is one machine's bad second; the middle must have moved too.
    if (young.all.timed >= 100 && young_p99 > 1 && young_p99 > 2 * old_p99 && apart > 0.42 &&
        window && most_slow)
      return condemn(figures("p99 in SLA times", young_p99, old_p99));
    doubtful |= apart > 0.4 && apart > 1.7 * error;
    if (most_slow && ((window && apart > 0.42 && apart - 2 * sure * error > 0.28) ||
                      apart - 3 * sure * error > 0.35))
      return condemn(figures("times the older's latency", std::exp(apart), std::exp(error)));
  }

  if (release_->phase == ReleasePhase::released)
    return {Verdict::none, "released"};
  if (settings_.promotion_mode != PromotionMode::clock) {
    if (judged && !doubtful)
      return {Verdict::promote, figures("failures", young.all.failed, young.all.n)};
    return {};
  }
  // An proxy too quiet to reach the minimum soon does not hold the others up.
  double lacking = min_attempts - young.all.n;
  bool soon = lacking <= 0 || lacking < 0.5 * canary_requests_per_s;
  bool near_end = now >= latest + settings_.step + clock_lag;
  if (near_end && ((lacking > 0 && soon) || doubtful)) {
    if (held_from_ == long_ago)
      held_from_ = now;
    if (now < held_from_ + (doubtful ? hold_most : hold_few))
      return {Verdict::hold, figures("held at", young.all.n, young.all.failed)};
  }
  return {Verdict::none, figures("failures", young.all.failed, young.all.n)};
}

// Ballot

VoteScheduler::VoteScheduler(const AnalysisSettings& settings) : settings_(settings) {}

void VoteScheduler::news(const ReleaseUpdate& release) {
  if (release.build != build_ || release.stage != stage_ || release.phase != phase_)
    stands_ = Verdict::none;
  build_ = release.build;
  stage_ = release.stage;
  phase_ = release.phase;
}

// A decided proxy draws once per vote life, in the time of twice the votes needed; a hold ends at
// once.
void VoteScheduler::wants(Verdict verdict, TimePoint now, RandomGenerator& random) {
  if (verdict == want_)
    return;
  want_ = verdict;
  const int needed[] = {0, settings_.votes_to_promote, settings_.votes_to_hold,
                        settings_.votes_to_roll_back};
  const int voters = std::min(settings_.proxies, 2 * needed[static_cast<int>(verdict)]);
  draw_at_ = now + from_millis(1e3 * uniform_sample(random) * voters /
                               std::max(1.0, settings_.votes_per_s));
}

void VoteScheduler::answered(Outcome outcome, TimePoint now) {
  waiting_ = false;
  if (outcome == Outcome::ok) {
    stands_ = asked_;
    stands_until_ = asked_at_ + settings_.vote_lifetime;
  } else {
    retry_at_ = now + (outcome == Outcome::obsolete ? 500ms : 250ms);
  }
}

std::optional<Decision> VoteScheduler::next(TimePoint now, RandomGenerator& random) {
  // An answer that never came: twice the longest wait is enough.
  if (waiting_ && now < asked_at_ + 2 * settings_.call_timeout)
    return {};
  if (now >= stands_until_)
    stands_ = Verdict::none;
  bool renew = stands_ == want_ && want_ != Verdict::none &&
               now >= stands_until_ - settings_.vote_lifetime / 4;
  if ((stands_ == want_ && !renew) || now < draw_at_ || now < retry_at_)
    return {};
  double chosen =
      settings_.votes_per_s * to_seconds(settings_.vote_lifetime) / std::max(1, settings_.proxies);
  if (want_ != Verdict::none && chosen < 1 && uniform_sample(random) >= chosen) {
    draw_at_ = now + settings_.vote_lifetime;
    return {};
  }
  waiting_ = true;
  asked_ = want_;
  asked_at_ = now;
  return Decision{.action = Action::vote, .build = build_, .stage = stage_, .verdict = want_};
}

// Requests
namespace {
constexpr double cap_used = 0.9;   // part of the cap that first attempts fill
constexpr double most_load = 1.0;  // a canary machine's load against a usual machine's
constexpr std::size_t again_kept = 100, tenants_kept = 200, slow_kept = 8;
constexpr double share_slack = 1.1;
constexpr int max_hedges = 8,
              again_most = 20;  // of the last hundred attempts, so many may be repeats
constexpr double wait_least = 0.45,
                 wait_more = 0.3;  // of the latency objective, by the request's priority weight
constexpr int few_rejections = 5;  // of the last hundred requests
constexpr double slow_part = 0.4, over_share_power = 3, open_least = 0.05, open_full = 0.9;
constexpr double jam_part = 0.75, jam_falls = 1.25, jam_rises = 0.25, least_pace = 16;
}  // namespace

RequestScheduler::RequestScheduler(const RequestSettings& settings, EndpointSet& endpoints,
                                   CanaryQuota& canary_quota, RandomGenerator& random)
    : settings_(settings),
      endpoints_(endpoints),
      canary_quota_(canary_quota),
      random_(random),
      again_(again_kept),
      rejections_(again_kept),
      tenants_(tenants_kept),
      slow_(slow_kept) {}

void RequestScheduler::arrived(const RequestInfo& info) {
  tenants_.push(info.tenant);
  requests_[info.request_id] = ScheduledRequest{.info = info};
  ready_.push_back(info.request_id);
}

const ScheduledRequest* RequestScheduler::find(int id) const {
  auto at = requests_.find(id);
  return at == requests_.end() ? nullptr : &at->second;
}

void RequestScheduler::streaming(int id) {
  auto at = requests_.find(id);
  if (at != requests_.end())
    at->second.streaming = true;
}

// How much is let in follows the proxy's own answers, pooled over endpoints: it falls while many
// come late or are turned away and rises while they don't, as AIMD does. Guards against jams that
// no proxy can see at a endpoint, of whose work each brings a small part. It may shed for a moment
// when silent endpoints swallow requests.
void RequestScheduler::felt(const Attempt& one, Outcome outcome, int request_class, TimePoint now) {
  const bool full = outcome == Outcome::rejected, ok = outcome == Outcome::ok;
  const double part = endpoints_.objective_ratio(request_class, now - one.sent);
  if (endpoints_.warmth(one.endpoint, one.sent) < 1 || !endpoints_.near(one.endpoint))
    return;
  if (ok)
    slow_.push(part > slow_part);
  // A request that its client gave up early tells nothing, nor does one lost while those answered
  // come quickly.
  bool jam = full || part > jam_part;
  if (!ok && !full &&
      (!jam || outcome != Outcome::timeout || 2 * count(slow_) < static_cast<int>(slow_.size())))
    return;
  // Where answers are few it rises by the clock: guards against an proxy that lets in little, hears
  // little of it and so stays shut.
  const double pace = endpoints_.pace(now), step = 1 / std::max(least_pace, pace);
  const double rise = pace < least_pace ? std::min(1.0, to_seconds(now - felt_at_)) : step;
  felt_at_ = now;
  open_ = jam ? std::max(open_least, open_ * (1 - jam_falls * step))
              : std::min(1.0, open_ + jam_rises * rise);
}

void RequestScheduler::ended(int id, int attempt, Outcome outcome, bool succeeded, TimePoint now) {
  auto at = requests_.find(id);
  if (at == requests_.end() || attempt >= static_cast<int>(at->second.attempts.size()))
    return;
  ScheduledRequest& request = at->second;
  Attempt& one = request.attempts[attempt];
  one.out = false;
  one.never_ran = proves_not_run(outcome);
  one.failed = outcome == Outcome::error;
  one.unreached = outcome == Outcome::connect_failure;
  felt(one, outcome, request.info.request_class, now);
  if (succeeded && !request.over) {
    request.over = true;
    if (settings_.cancelling && !request.streaming)
      for (std::size_t i = 0; i < request.attempts.size(); ++i)
        if (request.attempts[i].out)
          cancels_.push_back({id, static_cast<int>(i)});
  }
  if (request.over)
    forget(id);
  else
    ready_.push_back(id);
}

void RequestScheduler::left(int id) {
  auto at = requests_.find(id);
  if (at == requests_.end())
    return;
  at->second.over = true;
  forget(id);
}

void RequestScheduler::forget(int id) {
  auto at = requests_.find(id);
  for (const Attempt& one : at->second.attempts)
    if (one.out)
      return;
  requests_.erase(at);
}

void RequestScheduler::look(int id, ScheduledRequest& request, TimePoint at) {
  if (request.look_at != TimePoint{} && request.look_at <= at)
    return;
  request.look_at = at;
  looks_.push({at, id});
}

std::optional<Decision> RequestScheduler::next(TimePoint now) {
  while (!cancels_.empty()) {
    auto [id, attempt] = cancels_.front();
    cancels_.pop_front();
    const ScheduledRequest* request = find(id);  // it may have come back in the meantime
    if (request && request->attempts[attempt].out)
      return Decision{.action = Action::cancel, .request_id = id, .attempt = attempt};
  }
  while (!looks_.empty() && looks_.top().first <= now) {
    int id = looks_.top().second;
    looks_.pop();
    auto at = requests_.find(id);
    if (at == requests_.end() || at->second.look_at > now)
      continue;
    at->second.look_at = TimePoint{};
    ready_.push_back(id);
  }
  while (!ready_.empty()) {
    int id = ready_.front();
    ready_.pop_front();
    auto at = requests_.find(id);
    if (at == requests_.end() || at->second.over || at->second.streaming)
      continue;
    if (auto decision = decide(id, at->second, now))
      return decision;
  }
  return {};
}

// The share of first attempts that the newest build is to get: 0.9 of the cap, but no more than its
// machines can carry without working harder than `most_load` times a usual machine; they count by
// their warmth.
double RequestScheduler::canary_share(TimePoint now) {
  int newest = endpoints_.newest();
  if (!endpoints_.older())
    return 1;
  const auto& endpoints = endpoints_.all();
  double young = 0, old = 0, all = 0;
  for (int n = 0; n < static_cast<int>(endpoints.size()); ++n) {
    if (!endpoints_.open(n))
      continue;
    all += endpoints[n].size;
    if (endpoints[n].build != newest)
      old += endpoints[n].size;
    else if (!endpoints_.resting(n, now) && endpoints_.well(n, now))
      young += endpoints[n].size * endpoints_.warmth(n, now);
  }
  // While requests are rejected all machines share alike: full ones would look slow beside idle
  // ones.
  double places =
      canary_quota_.in_place() || count(rejections_) > few_rejections ? all : std::max(old, young);
  double able = std::min(1.0, most_load * young / places);
  return canary_quota_.is_canary(newest) ? std::min(cap_used * canary_quota_.cap(newest), able)
                                         : able;
}

// Rule 2: where a request that may have run can go again.
bool RequestScheduler::may_go(const ScheduledRequest& request, int endpoint, TimePoint now) const {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  if (request_class.idempotency == Idempotency::idempotent)
    return true;
  for (const Attempt& one : request.attempts) {
    if (one.never_ran)
      continue;
    if (request_class.idempotency == Idempotency::non_idempotent ||
        now + settings_.tick >= one.sent + request_class.dedup_window)
      return false;
    const EndpointState &there = endpoints_.all()[endpoint],
                        &before = endpoints_.all()[one.endpoint];
    if (request_class.dedup_scope == DedupScope::zone && there.zone != before.zone)
      return false;
    if (request_class.dedup_scope == DedupScope::cell && there.cell != before.cell)
      return false;
  }
  return true;
}

// Shedding by priority weight: the less a request brings, the shorter the queue that it may join.
Duration RequestScheduler::longest_wait(const ScheduledRequest& request, TimePoint now) const {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  double most = 0;
  Duration latency_objective = request_class.latency_objective;
  for (const RequestClass& other : settings_.request_classes) {
    most = std::max(most, other.priority_weight);
    if (other.priority_weight >= request_class.priority_weight)
      latency_objective = std::min(latency_objective, other.latency_objective);
  }
  double part = wait_least + wait_more * (most > 0 ? request_class.priority_weight / most : 1);
  // In an overload what a tenant sends beyond its share is worth little: it joins shorter queues.
  if (count(rejections_) > few_rejections && over_share(request.info.tenant))
    part *= 0.7;
  return std::min(from_millis(part * to_millis(latency_objective)), request.info.deadline - now);
}

// Whether a tenant takes more of our requests than its part of all allowances: only meant for an
// overload.
bool RequestScheduler::over_share(int tenant) const {
  if (tenant >= static_cast<int>(settings_.tenants.size()))
    return false;
  double all = 0, its = 0;
  for (const Tenant& other : settings_.tenants)
    all += other.allowance_per_s;
  for (std::size_t i = 0; i < tenants_.size(); ++i)
    its += tenants_.back(i) == tenant;
  return its * all > share_slack * settings_.tenants[tenant].allowance_per_s * tenants_.size();
}

bool RequestScheduler::shedding() const {
  return open_ < open_full;
}

int RequestScheduler::place(const ScheduledRequest& request, TimePoint now) {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  const int newest = endpoints_.newest();
  // A repeat goes to the older build where there is one: the canary's allowance is for first
  // attempts.
  bool young = request.attempts.empty() && uniform_sample(random_) < canary_share(now);
  for (bool arm : {young, !young}) {
    // What the older build has no room for is not heaped on a canary: its machines would look slow.
    if (arm && !young && canary_quota_.is_canary(newest))
      continue;
    if (arm && !canary_quota_.allows(request.info, newest, request_class.idempotency, now))
      continue;
    auto may = [&](int n) {
      for (const Attempt& one : request.attempts)
        if (one.endpoint == n && !one.never_ran)
          return false;
      return may_go(request, n, now) &&
             (arm || canary_quota_.allows(request.info, endpoints_.all()[n].build,
                                          request_class.idempotency, now));
    };
    int endpoint =
        endpoints_.choose(arm, may, request_class.idempotency == Idempotency::non_idempotent,
                          longest_wait(request, now), now, random_);
    if (endpoint >= 0)
      return endpoint;
  }
  return -1;
}

std::optional<Decision> RequestScheduler::forward(int id, ScheduledRequest& request, int endpoint,
                                                  TimePoint now) {
  int build = endpoints_.all()[endpoint].build;
  bool canary = canary_quota_.is_canary(build),
       unreached = !request.attempts.empty() && request.attempts.back().unreached;
  request.attempts.push_back(
      {.endpoint = endpoint,
       .build = build,
       .sent = now,
       .in_hand = static_cast<int>(endpoints_.all()[endpoint].out.size()) + 1});
  endpoints_.sent(endpoint, now);
  if (canary)
    canary_quota_.sent(request.info.request_class, now);
  again_.push(request.attempts.size() > 1 && !unreached);
  if (request.attempts.size() == 1)
    rejections_.push(false);
  ready_.push_back(id);
  return Decision{.action = Action::forward, .request_id = id, .endpoint = endpoint};
}

// Declining tells the client that it may safely come again, so it needs rule 2; else the request is
// failed.
std::optional<Decision> RequestScheduler::finish(int id, ScheduledRequest& request, Duration pause,
                                                 TimePoint now) {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  bool repeatable = request_class.idempotency == Idempotency::idempotent ||
                    (request_class.idempotency == Idempotency::idempotent_with_key &&
                     request_class.dedup_scope == DedupScope::all);
  bool reject = now < request.info.deadline &&
                (repeatable || std::all_of(request.attempts.begin(), request.attempts.end(),
                                           [](auto& one) { return one.never_ran; }));
  if (request.attempts.empty())
    rejections_.push(true);
  request.over = true;
  forget(id);
  if (!reject)
    return Decision{.action = Action::fail, .request_id = id};
  return Decision{
      .action = Action::reject, .request_id = id, .span = settings_.advice ? pause : Duration{}};
}

std::optional<Decision> RequestScheduler::decide(int id, ScheduledRequest& request, TimePoint now) {
  const RequestClass& request_class = settings_.request_classes[request.info.request_class];
  bool out = std::any_of(request.attempts.begin(), request.attempts.end(),
                         [](auto& one) { return one.out; });
  bool more = static_cast<int>(request.attempts.size()) < settings_.max_attempts;
  Duration left = request.info.deadline - now;
  if (out) {
    // A hedged request guards against a silent or slow endpoint; it is waste, so copies are
    // rationed.
    if (!settings_.hedging || request_class.idempotency == Idempotency::non_idempotent ||
        request_class.stream)
      return {};
    if (request.attempts.size() > 1 || !more)
      return {};
    const Attempt& one = request.attempts.back();
    Duration late = from_millis(std::max(endpoints_.usual_ms(request.info.request_class, 0.95),
                                         0.35 * to_millis(request_class.latency_objective)));
    // An endpoint that goes on answering others works on it: a copy would only do long work twice.
    TimePoint heard = endpoints_.all()[one.endpoint].heard_at;
    TimePoint due =
        heard > one.sent ? std::max(one.sent + late, heard + late / 2) : one.sent + late;
    if (now < due)
      return look(id, request, due), std::nullopt;
    if (count(again_) >= max_hedges ||
        to_millis(left) < endpoints_.usual_ms(request.info.request_class, 0.5))
      return {};
    int endpoint = place(request, now);
    return endpoint < 0 ? std::nullopt : forward(id, request, endpoint, now);
  }
  if (left <= 2 * settings_.tick)
    return finish(id, request, {}, now);
  // Repeats are rationed: in an overload they would feed it.
  bool worth_it =
      request.attempts.empty()
          ? let_in(request.info, now)
          : (request.attempts.back().unreached || count(again_) < again_most * open_) &&
                to_millis(left) > 0.5 * endpoints_.usual_ms(request.info.request_class, 0.5);
  int endpoint = more && worth_it ? place(request, now) : -1;
  return endpoint >= 0 ? forward(id, request, endpoint, now)
                       : finish(id, request, settings_.max_pause, now);
}

// While the proxy sheds: by priority weight; what is beyond a tenant's share or whose client will
// hardly wait last.
bool RequestScheduler::let_in(const RequestInfo& info, TimePoint now) {
  if (!shedding())
    return true;
  double mean = 0;
  for (const RequestClass& each : settings_.request_classes)
    mean += each.priority_weight / settings_.request_classes.size();
  double power =
      mean / std::max(0.1, settings_.request_classes[info.request_class].priority_weight);
  bool hasty = to_millis(info.deadline - now) < endpoints_.usual_ms(info.request_class, 0.9);
  return uniform_sample(random_) <=
         std::pow(open_, hasty || over_share(info.tenant) ? power * over_share_power : power);
}

// Proxy
namespace {
constexpr Duration judge_every = 50ms, look_every = 100ms;
constexpr std::size_t firsts_kept = 40;
}  // namespace

DecisionEngine::DecisionEngine(unsigned salt, const EndpointSettings& endpoints,
                               const CanaryQuotaSettings& canary_quota,
                               const AnalysisSettings& analysis, const RequestSettings& requests)
    : random_(salt),
      endpoints_(endpoints, requests.request_classes),
      canary_quota_(canary_quota, static_cast<int>(requests.request_classes.size()), requests.tick),
      analysis_(analysis, static_cast<int>(requests.request_classes.size())),
      vote_scheduler_(analysis),
      requests_(requests, endpoints_, canary_quota_, random_),
      firsts_(firsts_kept) {}

void DecisionEngine::request_arrived(const RequestInfo& request, TimePoint now) {
  canary_quota_.taken(request.request_class, now);
  if (!request.is_retry)
    firsts_.push(now);
  requests_.arrived(request);
}

void DecisionEngine::attempt_ended(int id, int index, Outcome outcome, bool succeeded,
                                   const Load& load, TimePoint now) {
  const ScheduledRequest* request = requests_.find(id);
  if (!request || index >= static_cast<int>(request->attempts.size()))
    return;
  const Attempt one = request->attempts[index];
  const RequestInfo info = request->info;
  Duration took = now - one.sent;
  // What another endpoint has failed already tells nothing of this one or its build: guards against
  // requests that fail anywhere, which as repeats would gather at the machines with room.
  bool failed_before = std::any_of(request->attempts.begin(), request->attempts.end(),
                                   [](auto& s) { return s.failed; });
  const Outcome tells = failed_before && outcome == Outcome::error ? Outcome::obsolete : outcome;
  endpoints_.ended(one, tells, info, now);
  endpoints_.report(one.endpoint, load, now);
  const EndpointState& endpoint = endpoints_.all()[one.endpoint];
  // What a machine swallows once it stops answering counts as one failure of the build. Late
  // answers of cold machines, or on the way to another zone, tell nothing.
  bool warm = endpoints_.warmth(one.endpoint, one.sent) >= 1;
  bool counts = tells == Outcome::ok || tells == Outcome::error ||
                (lost(outcome) && endpoint.dead_run <= 1 && warm && endpoints_.near(one.endpoint));
  if (counts && endpoint.build == one.build) {
    analysis_.noted(one.build, {now, one.sent, one.endpoint, info.request_class, info.tenant,
                                outcome == Outcome::error, lost(outcome), warm,
                                endpoints_.ratio(info.request_class, took, info.cost_hint_ms),
                                endpoints_.objective_ratio(info.request_class, took)});
    if (outcome == Outcome::ok && warm && !analysis_.watched(one.build))
      endpoints_.learn(info.request_class, took, info.cost_hint_ms);
  }
  if (outcome == Outcome::ok) {
    analysis_.succeeded(one.build);
    canary_quota_.answered(info.key, one.build);
  }
  requests_.ended(id, index, outcome, succeeded, now);
}

void DecisionEngine::release_updated(const ReleaseUpdate& release, TimePoint now) {
  canary_quota_.news(release);
  analysis_.news(release, now);
  vote_scheduler_.news(release);
}

std::optional<Decision> DecisionEngine::next(TimePoint now) {
  if (now >= judged_at_ + judge_every) {
    judged_at_ = now;
    const double pace = rate_of(firsts_, now), load = pace / std::max(0.1, endpoints_.able(now));
    AnalysisResult found =
        analysis_.judge(endpoints_.all(), pace * requests_.canary_share(now), load, now);
    vote_scheduler_.wants(found.verdict, now, random_);
    std::string mode = mode_text(found.verdict, analysis_.release());
    if (mode != mode_)
      log_.push_back(mode + (found.why.empty() ? "" : ": " + found.why));
    mode_ = mode;
  }
  if (!log_.empty()) {
    Decision decision{.action = Action::log, .text = log_.front()};
    log_.pop_front();
    return decision;
  }
  if (auto decision = endpoints_.next(now, random_))
    return decision;
  if (auto decision = vote_scheduler_.next(now, random_))
    return decision;
  if (auto decision = requests_.next(now))
    return decision;
  TimePoint due = now + look_every;
  if (auto look = requests_.next_look())
    due = std::min(due, *look);
  if (wake_at_ > now && wake_at_ <= due)
    return {};
  wake_at_ = std::max(due, now + Duration(1));
  return Decision{.action = Action::wake, .span = wake_at_ - now};
}

}  // namespace robinhoist
