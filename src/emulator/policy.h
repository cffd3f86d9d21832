/// The policy of a proxy in simulated time: the decision module, or a textbook baseline to compare
/// it with. Baselines observe no rule but the canary's cap, and are not part of the product.
#pragma once
#include <memory>
#include <string>

#include "policy/decision_engine.h"
#include "time/time_types.h"

namespace robinhoist::emulator {

class Policy {
 public:
  virtual ~Policy() = default;
  virtual void endpoints_updated(EndpointUpdateKind kind, const std::vector<EndpointInfo>& entries,
                                 TimePoint now) = 0;
  virtual void request_arrived(const RequestInfo& request, TimePoint now) = 0;
  virtual void attempt_ended(int request_id, int attempt, Outcome outcome, bool succeeded,
                             const LoadReport& load, TimePoint now) = 0;
  virtual void client_disconnected(int request_id) = 0;
  virtual void release_updated(const ReleaseUpdate& release, TimePoint now) = 0;
  virtual void vote_answered(Outcome outcome, TimePoint now) = 0;
  virtual void wrong_answer_reported(int endpoint) = 0;
  virtual std::optional<Decision> next(TimePoint now) = 0;
  virtual bool has_request(int request_id) const = 0;
};

enum class RoutingPolicy { module, random, round_robin, least_requests };
/// Of baselines; always: votes to roll back every release.
enum class VotingPolicy { never, always, threshold };

struct PolicySpec {
  RoutingPolicy routing = RoutingPolicy::module;
  VotingPolicy voting = VotingPolicy::threshold;
};

/// Parses "module", or a baseline such as "least-requests", "random/never" or "round-robin/always".
/// Returns nothing for any other text.
std::optional<PolicySpec> parse_policy(const std::string& text);

std::unique_ptr<Policy> make_policy(const PolicySpec& spec, unsigned salt,
                                    const EndpointSettings& endpoints,
                                    const CanaryQuotaSettings& canary_quota,
                                    const AnalysisSettings& analysis,
                                    const RequestSettings& requests);

}  // namespace robinhoist::emulator
