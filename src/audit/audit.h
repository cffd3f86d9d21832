/// The auditor: checks a scenario's event log against the five rules.
///
/// The checks use what the servers received, what the clients got, and what each proxy was notified
/// of and when. They rely on nothing that a proxy reports about itself; the package links neither
/// the decision module nor the hosts.
#pragma once
#include <array>
#include <string>
#include <vector>

#include "audit/events.h"
#include "record/meta.h"

namespace robinhoist::audit {

/// How often one rule was checked, and what was found.
struct RuleReport {
  const char* name = "";
  long checked = 0;
  long violations = 0;
  long excused = 0;  ///< cases that the rule allows, such as requests lost with a killed proxy
  std::string first_violation{};  ///< description

  bool passed() const { return violations == 0; }
  /// Counts a violation; the description of the first one is stored.
  void add_violation(const std::string& what);
};

/// The five rules, as indices of Report::rules.
enum class Rule { no_request_lost, no_effect_twice, drains_kept, slow_start_kept, quota_kept };

struct ClassStatistics {
  long requested = 0;
  long succeeded_in_time = 0;
  std::vector<double> latencies_ms{};  ///< of requests that succeeded
};

/// Results that the clients got. A client may make several attempts for a request.
struct RequestCounts {
  long requested = 0;  ///< first attempts
  long attempts = 0;   ///< of the clients
  long succeeded = 0;
  long wrong = 0;  ///< of those that succeeded: with a wrong answer
  long rejected = 0;
  long failed = 0;
  long rejected_before_routing = 0;
  long unreached = 0;
  long lost = 0;
  long client_disconnected = 0;  ///< before a response came
};

struct Report {
  std::array<RuleReport, 5> rules{};
  RuleReport steps{
      .name = "steps in order"};  ///< of the releases' migrations; not one of the five rules
  RequestCounts requests{};
  long proxy_attempts = 0;  ///< attempts of the proxies, as the servers received them
  long votes = 0;
  double weight_offered = 0;
  double weight_in_time = 0;
  double max_quota_use = 0;  ///< of the canary quota; 1: all of it
  double max_slow_start_use =
      0;  ///< of the load limit of a server that is warming up; 1: all of it
  std::vector<ClassStatistics> request_classes{};
  std::vector<ReleaseChange> releases{};
  std::vector<std::string> notes{};
  record::Meta meta{};

  RuleReport& rule(Rule rule) { return rules[static_cast<std::size_t>(rule)]; }
  /// Whether all five rules hold and the steps ran in order.
  bool passed() const;
};

/// Audits the event log in a folder. Throws json::DecodeError, with file and line, when it can't be
/// read.
Report audit(const std::string& folder);

/// Formats a line for each rule, then the statistics.
std::string to_text(const Report& report);

}  // namespace robinhoist::audit
