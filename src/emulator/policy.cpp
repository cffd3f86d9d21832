#include "emulator/policy.h"

#include <algorithm>
#include <map>

namespace robinhoist::emulator {
namespace {

using namespace std::chrono_literals;

class Module : public Policy {
 public:
  Module(unsigned salt, const EndpointSettings& endpoints, const CanaryQuotaSettings& canary_quota,
         const AnalysisSettings& analysis, const RequestSettings& requests)
      : policy_(salt, endpoints, canary_quota, analysis, requests) {}
  void endpoints_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                         TimePoint now) override {
    policy_.endpoints_updated(kind, entries, now);
  }
  void request_arrived(const RequestInfo& request, TimePoint now) override {
    policy_.request_arrived(request, now);
  }
  void attempt_ended(int request, int attempt, Outcome outcome, bool succeeded,
                     const LoadReport& load, TimePoint now) override {
    policy_.attempt_ended(request, attempt, outcome, succeeded, load, now);
  }
  void client_disconnected(int request) override { policy_.client_disconnected(request); }
  void release_updated(const ReleaseUpdate& release, TimePoint now) override {
    policy_.release_updated(release, now);
  }
  void vote_answered(Outcome outcome, TimePoint now) override {
    policy_.vote_answered(outcome, now);
  }
  void answer_found_wrong(int endpoint) override { policy_.answer_found_wrong(endpoint); }
  std::optional<Decision> next(TimePoint now) override { return policy_.next(now); }
  bool knows(int request) const override { return policy_.knows(request); }

 private:
  DecisionEngine policy_;
};

// One attempt for each request, to a listed endpoint by the book; what fails is failed, nothing is
// sent again or rejected. A part of the requests equal to the cap goes to the release as a canary.
// Where it votes by a threshold, it says 'back' when the canary's failures of the last seconds pass
// a fixed share.
class Baseline : public Policy {
 public:
  Baseline(const PolicySpec& spec, unsigned salt) : spec_(spec), random_(salt) {}

  void endpoints_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                         TimePoint) override {
    if (kind == EndpointUpdateKind::failed)
      return;
    if (kind != EndpointUpdateKind::incremental)
      endpoints_.clear();
    for (const EndpointInfo& one : entries) {
      if (one.phase == EndpointPhase::ready)
        endpoints_[one.endpoint] = one.build;
      else
        endpoints_.erase(one.endpoint);
    }
  }
  void request_arrived(const RequestInfo& request, TimePoint) override {
    requests_[request.request_id] = {.asked = request};
    ready_.push_back(request.request_id);
  }
  void attempt_ended(int request, int, Outcome outcome, bool succeeded, const LoadReport&,
                     TimePoint now) override {
    auto at = requests_.find(request);
    if (at == requests_.end())
      return;
    --out_[at->second.endpoint];
    if (release_ && at->second.build == release_->build && release_->phase == ReleasePhase::canary)
      trial_.emplace_back(now, outcome != Outcome::ok);
    if (succeeded || at->second.left)
      requests_.erase(at);
    else
      ended_.push_back(request);
  }
  void client_disconnected(int request) override {
    auto at = requests_.find(request);
    if (at == requests_.end())
      return;
    if (at->second.endpoint < 0)
      requests_.erase(at);
    else
      at->second.left = true;
  }
  void release_updated(const ReleaseUpdate& release, TimePoint) override {
    if (!release_ || release_->build != release.build) {
      trial_.clear();
      voted_ = false;
    }
    release_ = release;
  }
  void vote_answered(Outcome outcome, TimePoint) override {
    voted_ = voted_ && outcome == Outcome::ok;
  }
  void answer_found_wrong(int) override {}
  bool knows(int request) const override { return requests_.count(request) > 0; }

  std::optional<Decision> next(TimePoint now) override {
    while (!ready_.empty()) {
      const int id = ready_.front();
      ready_.pop_front();
      auto at = requests_.find(id);
      if (at == requests_.end())
        continue;
      const int endpoint = choose();
      if (endpoint < 0) {
        requests_.erase(at);
        return Decision{.action = Action::fail, .request_id = id};
      }
      at->second.endpoint = endpoint;
      at->second.build = endpoints_.at(endpoint);
      ++out_[endpoint];
      return Decision{.action = Action::forward, .request_id = id, .endpoint = endpoint};
    }
    if (!ended_.empty()) {
      const int id = ended_.front();
      ended_.pop_front();
      requests_.erase(id);
      return Decision{.action = Action::fail, .request_id = id};
    }
    return vote(now);
  }

 private:
  struct Held {
    RequestInfo asked{};
    int endpoint = -1, build = -1;
    bool left = false;
  };
  static constexpr Duration window = 5s;
  static constexpr std::size_t enough = 20;
  static constexpr double failed_most = 0.1;

  double uniform_sample() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  int choose() {
    const bool trial = release_ && release_->phase != ReleasePhase::released;
    const bool young = !trial || uniform_sample() < release_->cap;
    std::vector<int> among;
    for (auto& [endpoint, build] : endpoints_)
      if (!trial || (build == release_->build) == young)
        among.push_back(endpoint);
    // Nobody of that sort: the older build's, but never the canary's beyond its cap.
    if (among.empty() && young)
      for (auto& [endpoint, build] : endpoints_)
        if (build != release_->build)
          among.push_back(endpoint);
    if (among.empty())
      return -1;
    if (spec_.routing == RoutingPolicy::random)
      return among[static_cast<std::size_t>(uniform_sample() * static_cast<double>(among.size()))];
    if (spec_.routing == RoutingPolicy::round_robin)
      return among[turn_++ % among.size()];
    return *std::min_element(among.begin(), among.end(),
                             [&](int a, int b) { return out_[a] < out_[b]; });
  }

  std::optional<Decision> vote(TimePoint now) {
    if (!release_ || release_->phase != ReleasePhase::canary || voted_ ||
        spec_.voting == VotingPolicy::never)
      return {};
    while (!trial_.empty() && trial_.front().first < now - window)
      trial_.pop_front();
    const auto failed =
        std::count_if(trial_.begin(), trial_.end(), [](auto& one) { return one.second; });
    const bool bad =
        spec_.voting == VotingPolicy::always ||
        (trial_.size() >= enough &&
         static_cast<double>(failed) > failed_most * static_cast<double>(trial_.size()));
    if (!bad)
      return {};
    voted_ = true;
    return Decision{.action = Action::vote,
                    .build = release_->build,
                    .stage = release_->stage,
                    .verdict = Verdict::roll_back};
  }

  PolicySpec spec_;
  std::minstd_rand random_;
  std::map<int, int> endpoints_{};  // build, by endpoint
  std::map<int, int> out_{};
  std::unordered_map<int, Held> requests_{};
  std::deque<int> ready_{}, ended_{};
  std::deque<std::pair<TimePoint, bool>> trial_{};
  std::optional<ReleaseUpdate> release_{};
  std::size_t turn_ = 0;
  bool voted_ = false;
};

}  // namespace

std::optional<PolicySpec> parse_policy(const std::string& word) {
  PolicySpec spec;
  const std::size_t slash = word.find('/');
  const std::string route = word.substr(0, slash),
                    votes = slash == std::string::npos ? "threshold" : word.substr(slash + 1);
  if (route == "module")
    return slash == std::string::npos ? std::optional(spec) : std::nullopt;
  if (route == "random")
    spec.routing = RoutingPolicy::random;
  else if (route == "round-robin")
    spec.routing = RoutingPolicy::round_robin;
  else if (route == "least-requests")
    spec.routing = RoutingPolicy::least_requests;
  else
    return {};
  if (votes == "never")
    spec.voting = VotingPolicy::never;
  else if (votes == "always")
    spec.voting = VotingPolicy::always;
  else if (votes != "threshold")
    return {};
  return spec;
}

std::unique_ptr<Policy> make_policy(const PolicySpec& spec, unsigned salt,
                                    const EndpointSettings& endpoints,
                                    const CanaryQuotaSettings& canary_quota,
                                    const AnalysisSettings& analysis,
                                    const RequestSettings& requests) {
  if (spec.routing == RoutingPolicy::module)
    return std::make_unique<Module>(salt, endpoints, canary_quota, analysis, requests);
  return std::make_unique<Baseline>(spec, salt);
}

}  // namespace robinhoist::emulator
