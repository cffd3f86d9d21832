/// Canary analysis: evidence on the release, stage by stage, and the verdict drawn from it.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "policy/cohort_statistics.h"
#include "policy/endpoint_set.h"
#include "util/sliding_window.h"

namespace robinhoist {

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

}  // namespace robinhoist
