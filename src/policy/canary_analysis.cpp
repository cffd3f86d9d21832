#include "policy/canary_analysis.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <set>

#include "policy/statistics.h"

namespace robinhoist {

using namespace std::chrono_literals;

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
std::string figures(const char* what, double a, double b) {
  char text[96];
  std::snprintf(text, sizeof text, "%s %.3g against %.3g", what, a, b);
  return text;
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

}  // namespace robinhoist
