/// The endpoints that this proxy knows: list updates, warm-up, health, and the choice among them.
#pragma once
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

#include "policy/decision.h"
#include "policy/endpoint.h"
#include "policy/request.h"
#include "policy/statistics.h"
#include "time/time_types.h"
#include "util/sliding_window.h"

namespace robinhoist {

struct Result {
  TimePoint at;
  bool ok;
  double ratio;  // latency over the request class's usual one
  Duration took;
  int in_hand;  // own requests that the endpoint held when this one was sent, itself included
  bool timed;   // not an error: those may come at once
};

// Sums over an endpoint's young results, newest first; kept until one of them grows old or another
// comes.
struct RecentResults {
  std::size_t failed = 0, young = 0;
  TimePoint last_failed{}, until{};
  double took = 0, in_hand = 0, ratios = 0;
};

struct EndpointState : EndpointInfo {
  bool listed = false;
  int dead_run = 0;              // attempts lost in a row without any reply
  int full_run = 0;              // attempts turned away in a row
  int succeeded = 0;             // answers of late, while warm
  TimePoint back_at = long_ago;  // answered again after it was taken for dead
  TimePoint told = long_ago,
            cold_sent = long_ago;  // when its start was heard of, and last sent to while cold
  TimePoint dead_at = long_ago, heard_at = long_ago, full_at = long_ago;
  std::vector<TimePoint> out{};   // when the attempts still out were sent
  std::deque<TimePoint> sends{};  // sends within the rule's window while cold
  SlidingWindow<Result> results{0};
  std::optional<RecentResults> recent{};
  LoadReport load{};
  TimePoint load_at = long_ago;
};

// The list of endpoints: health, warmth and drains.
class EndpointSet {
 public:
  EndpointSet(const EndpointSettings& settings, const std::vector<RequestClass>& request_classes);
  void news(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries, TimePoint now);
  void sent(int endpoint, TimePoint now);
  void ended(const Attempt& attempt, Outcome outcome, const RequestInfo& request, TimePoint now);
  void learn(int request_class, Duration took, double cost_hint_ms);
  void report(int endpoint, const LoadReport& load, TimePoint now);
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
             TimePoint now, std::minstd_rand& random);
  std::optional<Decision> next(TimePoint now, std::minstd_rand& random);
  const std::vector<EndpointState>& all() const { return endpoints_; }

 private:
  std::size_t reach(TimePoint now) const;
  int better_of_two(const std::vector<int>& among, TimePoint now, std::minstd_rand& random);
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

}  // namespace robinhoist
