// The interface of the decision module. One Proxy is one instance. Tell it what happens through the
// input functions, which only note what is known; then call next(now) until it returns nothing and
// carry out each decision it hands over. Everything it decides is in logic.cpp; its parts are
// declared here.
#pragma once
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <unordered_map>

#include "statistics.h"
#include "time/time_types.h"

namespace robinhoist {

using RandomGenerator = std::minstd_rand;

// The list of endpoints: health, warmth and drains.
class EndpointSet {
 public:
  EndpointSet(const EndpointSettings& settings, const std::vector<RequestClass>& request_classes);
  void news(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries, TimePoint now);
  void sent(int endpoint, TimePoint now);
  void ended(const Attempt& attempt, Outcome outcome, const RequestInfo& request, TimePoint now);
  void learn(int request_class, Duration took, double cost_hint_ms);
  void report(int endpoint, const Load& load, TimePoint now);
  double ratio(int request_class, Duration took, double cost_hint_ms);
  double objective_ratio(int request_class, Duration took) const;
  double usual_ms(int request_class, double part);
  bool open(int endpoint) const;
  bool near(int endpoint) const { return endpoints_[endpoint].zone == settings_.zone; }
  bool has_room(int endpoint, TimePoint now);
  bool resting(int endpoint, TimePoint now) const;
  bool well(int endpoint, TimePoint now);
  double warmth(int endpoint, TimePoint now) const;
  int newest() const { return newest_; }
  bool older() const { return !rings_[0][0].empty() || !rings_[0][1].empty(); }
  double able(TimePoint now) const;
  double cost(int endpoint, TimePoint now);
  Duration wait(int endpoint, TimePoint now);
  double pace(TimePoint now) const { return rate_of(sent_, now); }
  int choose(bool young, const std::function<bool(int)>& may, bool careful, Duration longest,
             TimePoint now, RandomGenerator& random);
  std::optional<Decision> next(TimePoint now, RandomGenerator& random);
  const std::vector<EndpointState>& all() const { return endpoints_; }

 private:
  std::size_t reach(TimePoint now) const;
  int better_of_two(const std::vector<int>& among, TimePoint now, RandomGenerator& random);
  Duration patience();
  const RecentResults& recent_results(int endpoint, TimePoint now);
  int warm();

  EndpointSettings settings_;
  std::vector<RequestClass> request_classes_;
  std::vector<EndpointState> endpoints_{};
  std::vector<QuantileWindow> took_,
      per_hint_;  // how long answers took: ms, and for each ms of hinted work
  std::deque<std::pair<TimePoint, int>> successes_{};
  int warm_ = 0, newest_ = -1;
  std::optional<TimePoint> warm_asked_{};
  std::vector<int> rings_[2]
                         [2]{};  // open endpoints by order: of the newest build or not, near or not
  SlidingWindow<TimePoint> sent_;
  SlidingWindow<char> refused_;
  bool squeezed_ = false;  // connections are refused right and left
  bool asked_ = false;
  Duration ask_pause_{};
  TimePoint ask_at_{};
};

// What may be sent to a release as a canary.
class CanaryQuota {
 public:
  CanaryQuota(const CanaryQuotaSettings& settings, int request_classes, Duration tick);
  void news(const ReleaseUpdate& release);
  void taken(int request_class, TimePoint now);
  void sent(int request_class, TimePoint now) { count(request_class).sent.push_back(now); }
  void answered(const std::string& key, int build);
  bool is_canary(int build) const;
  double cap(int build) const;
  bool allows(const RequestInfo& request, int build, Idempotency idempotency, TimePoint now);
  bool in_place() const { return settings_.in_place; }

 private:
  struct Count {
    std::deque<TimePoint> taken{}, sent{};
  };
  Count& count(int request_class);
  void trim(Count& count, TimePoint now) const;

  CanaryQuotaSettings settings_;
  Duration tick_;
  std::vector<Count> counts_;
  std::optional<ReleaseUpdate> release_{};
  std::unordered_map<std::string, int> moved_keys_{};
};

// Per-stage evidence on the release as a canary, and the verdict drawn from it.
class CanaryAnalysis {
 public:
  CanaryAnalysis(const AnalysisSettings& settings, int request_classes);
  void news(const ReleaseUpdate& release, TimePoint now);
  void noted(int build, const Sample& sample);
  void succeeded(int build) { answers_[build].first += 1; }
  void flagged(int build) { answers_[build].second += 1; }
  bool watched(int build) const;
  // A build once condemned stays so.
  AnalysisResult judge(const std::vector<EndpointState>& endpoints, double canary_requests_per_s,
                       double load, TimePoint now);
  const std::optional<ReleaseUpdate>& release() const { return release_; }

 private:
  struct Arm {
    std::map<int, Counts> by_endpoint{}, by_tenant{};
    std::map<long, Counts> by_time{};
    std::vector<Counts> by_request_class{};
    Counts all{};
    std::vector<double> objective_ratios{};
    double machines(double least) const;  // warm ones that gave so many answers
  };
  double answers_enough() const;  // of the fleet, to judge it by
  bool many_votes() const { return settings_.votes_to_roll_back > 1; }
  AnalysisResult condemn(const std::string& why);
  double aged(const std::vector<EndpointState>& endpoints, const Arm& young) const;
  bool shared_harm(double load, bool compared, TimePoint now) const;
  TimePoint since(const SlidingWindow<Sample>& of, TimePoint now) const;
  void tally(Arm& arm, const SlidingWindow<Sample>& samples, TimePoint from,
             const std::function<bool(const Sample&)>& skip, Arm* beside = nullptr) const;

  AnalysisSettings settings_;
  int request_classes_;
  std::optional<ReleaseUpdate> release_{};
  bool seen_as_canary_ = false;
  AnalysisResult condemned_{};
  TimePoint stage_at_{}, counted_from_{}, held_from_ = long_ago;
  SlidingWindow<Sample> fresh_, older_;
  double significance_;         // of chance, at which one proxy's figures speak
  bool look_at_fleet_ = false;  // a stage has begun
  std::optional<double>
      usual_part_{};  // the fleet before the offer: mean log of latency over latency objective,
  double usual_load_ = 1;  // and attempts for each endpoint's worth of capacity
  TimePoint slow_from_ = long_ago;
  std::map<int, std::pair<double, double>>
      answers_{};  // by build: answers passed on, and found wrong
};

// This proxy's standing vote.
class VoteScheduler {
 public:
  explicit VoteScheduler(const AnalysisSettings& settings);
  void news(const ReleaseUpdate& release);
  void wants(Verdict verdict, TimePoint now, RandomGenerator& random);
  void answered(Outcome outcome, TimePoint now);
  std::optional<Decision> next(TimePoint now, RandomGenerator& random);

 private:
  AnalysisSettings settings_;
  int build_ = -1, stage_ = -1;
  ReleasePhase phase_ = ReleasePhase::released;
  Verdict want_ = Verdict::none, stands_ = Verdict::none, asked_ = Verdict::none;
  TimePoint stands_until_ = long_ago, asked_at_ = long_ago, draw_at_{}, retry_at_ = long_ago;
  bool waiting_ = false;
};

// Requests: attempts, repeats, time-outs, rejects and final answers.
class RequestScheduler {
 public:
  RequestScheduler(const RequestSettings& settings, EndpointSet& endpoints,
                   CanaryQuota& canary_quota, RandomGenerator& random);
  void arrived(const RequestInfo& request);
  void streaming(int request_id);
  void ended(int request_id, int attempt, Outcome outcome, bool succeeded, TimePoint now);
  void left(int request_id);
  bool knows(int request_id) const { return requests_.count(request_id) > 0; }
  const ScheduledRequest* find(int request_id) const;
  std::optional<Decision> next(TimePoint now);
  std::optional<TimePoint> next_look() const {
    return looks_.empty() ? std::nullopt : std::optional<TimePoint>(looks_.top().first);
  }
  double canary_share(TimePoint now);
  bool shedding() const;

 private:
  std::optional<Decision> decide(int id, ScheduledRequest& request, TimePoint now);
  std::optional<Decision> forward(int id, ScheduledRequest& request, int endpoint, TimePoint now);
  std::optional<Decision> finish(int id, ScheduledRequest& request, Duration pause, TimePoint now);
  int place(const ScheduledRequest& request, TimePoint now);
  void felt(const Attempt& one, Outcome outcome, int request_class, TimePoint now);
  Duration longest_wait(const ScheduledRequest& request, TimePoint now) const;
  bool over_share(int tenant) const;
  bool let_in(const RequestInfo& info, TimePoint now);
  bool may_go(const ScheduledRequest& request, int endpoint, TimePoint now) const;
  void look(int id, ScheduledRequest& request, TimePoint at);
  void forget(int id);

  RequestSettings settings_;
  EndpointSet& endpoints_;
  CanaryQuota& canary_quota_;
  RandomGenerator& random_;
  std::unordered_map<int, ScheduledRequest> requests_{};
  std::deque<int> ready_{};
  std::deque<std::pair<int, int>> cancels_{};
  std::priority_queue<std::pair<TimePoint, int>, std::vector<std::pair<TimePoint, int>>,
                      std::greater<>>
      looks_{};
  SlidingWindow<char> again_, rejections_;
  SlidingWindow<int> tenants_;
  SlidingWindow<char> slow_;
  TimePoint felt_at_{};
  double open_ = 1;  // the part of requests that is let in
};

class DecisionEngine {
 public:
  DecisionEngine(unsigned salt, const EndpointSettings& endpoints,
                 const CanaryQuotaSettings& canary_quota, const AnalysisSettings& analysis,
                 const RequestSettings& requests);
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  void endpoints_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                         TimePoint now) {
    endpoints_.news(kind, entries, now);
  }
  void request_arrived(const RequestInfo& request, TimePoint now);
  void stream_began(int request_id) { requests_.streaming(request_id); }
  void attempt_ended(int request_id, int attempt, Outcome outcome, bool succeeded, const Load& load,
                     TimePoint now);
  void client_disconnected(int request_id) { requests_.left(request_id); }
  void release_updated(const ReleaseUpdate& release, TimePoint now);
  void vote_answered(Outcome outcome, TimePoint now) { vote_scheduler_.answered(outcome, now); }
  void answer_found_wrong(int endpoint) { analysis_.flagged(endpoints_.all()[endpoint].build); }
  void probe_ended(int endpoint, const Load& load, TimePoint now) {
    endpoints_.report(endpoint, load, now);
  }

  // The next decision, until there is none. Call again after each input and at each asked-for
  // wake-up.
  std::optional<Decision> next(TimePoint now);
  // Whether the request still matters: false once it has ended and all its attempts have come back.
  bool knows(int request_id) const { return requests_.knows(request_id); }

 private:
  RandomGenerator random_;
  EndpointSet endpoints_;
  CanaryQuota canary_quota_;
  CanaryAnalysis analysis_;
  VoteScheduler vote_scheduler_;
  RequestScheduler requests_;
  SlidingWindow<TimePoint> firsts_;
  TimePoint judged_at_ = long_ago, wake_at_ = long_ago;
  std::string mode_{};
  std::deque<std::string> log_{};
};

}  // namespace robinhoist
