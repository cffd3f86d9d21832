#include "policy/endpoint_set.h"

#include <algorithm>
#include <cmath>

#include "policy/statistics.h"

namespace robinhoist {

using namespace std::chrono_literals;

namespace {

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
void EndpointSet::report(int n, const LoadReport& load, TimePoint now) {
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
  const LoadReport load = now < endpoint.load_at + report_life ? endpoint.load : LoadReport{};
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
                               std::minstd_rand& random) {
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
                        Duration longest, TimePoint now, std::minstd_rand& random) {
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
std::optional<Decision> EndpointSet::next(TimePoint now, std::minstd_rand& random) {
  if (!settings_.must_ask || asked_ || now < ask_at_)
    return {};
  asked_ = true;
  ask_pause_ += from_millis(uniform_sample(random) * 200);
  return Decision{.action = Action::subscribe};
}

}  // namespace robinhoist
