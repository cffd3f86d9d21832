#include "emulator/policy.h"

#include <algorithm>
#include <map>

namespace robinhoist::emulator {
namespace {

using namespace std::chrono_literals;

class DecisionModulePolicy : public Policy {
 public:
  DecisionModulePolicy(unsigned salt, const EndpointSettings& endpoints,
                       const CanaryQuotaSettings& canary_quota, const AnalysisSettings& analysis,
                       const RequestSettings& requests)
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
  void wrong_answer_reported(int endpoint) override { policy_.wrong_answer_reported(endpoint); }
  std::optional<Decision> next(TimePoint now) override { return policy_.next(now); }
  bool has_request(int request) const override { return policy_.has_request(request); }

 private:
  DecisionEngine policy_;
};

// Makes one attempt for each request, at an endpoint picked by a textbook rule. Never retries or
// rejects. Sends a share of the requests equal to the cap to the canary. With threshold voting, it
// votes to roll back when the canary's failures in a window exceed a fixed share.
class BaselinePolicy : public Policy {
 public:
  BaselinePolicy(const PolicySpec& spec, unsigned salt) : spec_(spec), random_(salt) {}

  void endpoints_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                         TimePoint) override {
    if (kind == EndpointUpdateKind::failed)
      return;
    if (kind != EndpointUpdateKind::incremental)
      endpoints_.clear();
    for (const EndpointInfo& entry : entries) {
      if (entry.phase == EndpointPhase::ready)
        endpoints_[entry.endpoint] = entry.build;
      else
        endpoints_.erase(entry.endpoint);
    }
  }
  void request_arrived(const RequestInfo& request, TimePoint) override {
    requests_[request.request_id] = {.info = request};
    arrived_.push_back(request.request_id);
  }
  void attempt_ended(int request, int, Outcome outcome, bool succeeded, const LoadReport&,
                     TimePoint now) override {
    auto at = requests_.find(request);
    if (at == requests_.end())
      return;
    --in_flight_[at->second.endpoint];
    if (release_ && at->second.build == release_->build && release_->phase == ReleasePhase::canary)
      canary_results_.emplace_back(now, outcome != Outcome::ok);
    if (succeeded || at->second.client_disconnected)
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
      at->second.client_disconnected = true;
  }
  void release_updated(const ReleaseUpdate& release, TimePoint) override {
    if (!release_ || release_->build != release.build) {
      canary_results_.clear();
      voted_ = false;
    }
    release_ = release;
  }
  void vote_answered(Outcome outcome, TimePoint) override {
    voted_ = voted_ && outcome == Outcome::ok;
  }
  void wrong_answer_reported(int) override {}
  bool has_request(int request) const override { return requests_.count(request) > 0; }

  std::optional<Decision> next(TimePoint now) override {
    while (!arrived_.empty()) {
      const int id = arrived_.front();
      arrived_.pop_front();
      auto at = requests_.find(id);
      if (at == requests_.end())
        continue;
      const int endpoint = pick_endpoint();
      if (endpoint < 0) {
        requests_.erase(at);
        return Decision{.action = Action::fail, .request_id = id};
      }
      at->second.endpoint = endpoint;
      at->second.build = endpoints_.at(endpoint);
      ++in_flight_[endpoint];
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
  struct OpenRequest {
    RequestInfo info{};
    int endpoint = -1, build = -1;
    bool client_disconnected = false;
  };
  static constexpr Duration window = 5s;
  static constexpr std::size_t min_results = 20;
  static constexpr double max_failed_share = 0.1;

  double uniform_sample() { return std::uniform_real_distribution<double>(0, 1)(random_); }

  int pick_endpoint() {
    const bool in_progress = release_ && release_->phase != ReleasePhase::released;
    const bool use_canary = !in_progress || uniform_sample() < release_->cap;
    std::vector<int> candidates;
    for (auto& [endpoint, build] : endpoints_)
      if (!in_progress || (build == release_->build) == use_canary)
        candidates.push_back(endpoint);
    // Without canary endpoints the baseline takes the request; the canary never exceeds its cap.
    if (candidates.empty() && use_canary)
      for (auto& [endpoint, build] : endpoints_)
        if (build != release_->build)
          candidates.push_back(endpoint);
    if (candidates.empty())
      return -1;
    if (spec_.routing == RoutingPolicy::random)
      return candidates[static_cast<std::size_t>(uniform_sample() *
                                                 static_cast<double>(candidates.size()))];
    if (spec_.routing == RoutingPolicy::round_robin)
      return candidates[next_turn_++ % candidates.size()];
    return *std::min_element(candidates.begin(), candidates.end(),
                             [&](int a, int b) { return in_flight_[a] < in_flight_[b]; });
  }

  std::optional<Decision> vote(TimePoint now) {
    if (!release_ || release_->phase != ReleasePhase::canary || voted_ ||
        spec_.voting == VotingPolicy::never)
      return {};
    while (!canary_results_.empty() && canary_results_.front().first < now - window)
      canary_results_.pop_front();
    const auto failed = std::count_if(canary_results_.begin(), canary_results_.end(),
                                      [](auto& result) { return result.second; });
    const bool bad = spec_.voting == VotingPolicy::always ||
                     (canary_results_.size() >= min_results &&
                      static_cast<double>(failed) >
                          max_failed_share * static_cast<double>(canary_results_.size()));
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
  std::map<int, int> in_flight_{};
  std::unordered_map<int, OpenRequest> requests_{};
  std::deque<int> arrived_{}, ended_{};
  std::deque<std::pair<TimePoint, bool>> canary_results_{};
  std::optional<ReleaseUpdate> release_{};
  std::size_t next_turn_ = 0;
  bool voted_ = false;
};

}  // namespace

std::optional<PolicySpec> parse_policy(const std::string& text) {
  PolicySpec spec;
  const std::size_t slash = text.find('/');
  const std::string routing = text.substr(0, slash),
                    voting = slash == std::string::npos ? "threshold" : text.substr(slash + 1);
  if (routing == "module")
    return slash == std::string::npos ? std::optional(spec) : std::nullopt;
  if (routing == "random")
    spec.routing = RoutingPolicy::random;
  else if (routing == "round-robin")
    spec.routing = RoutingPolicy::round_robin;
  else if (routing == "least-requests")
    spec.routing = RoutingPolicy::least_requests;
  else
    return {};
  if (voting == "never")
    spec.voting = VotingPolicy::never;
  else if (voting == "always")
    spec.voting = VotingPolicy::always;
  else if (voting != "threshold")
    return {};
  return spec;
}

std::unique_ptr<Policy> make_policy(const PolicySpec& spec, unsigned salt,
                                    const EndpointSettings& endpoints,
                                    const CanaryQuotaSettings& canary_quota,
                                    const AnalysisSettings& analysis,
                                    const RequestSettings& requests) {
  if (spec.routing == RoutingPolicy::module)
    return std::make_unique<DecisionModulePolicy>(salt, endpoints, canary_quota, analysis,
                                                  requests);
  return std::make_unique<BaselinePolicy>(spec, salt);
}

}  // namespace robinhoist::emulator
