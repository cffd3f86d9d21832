/// Runs one scenario of tests/scenarios against the decision engine, line by line.
///
/// The notation is described in tests/scenarios/README.md. The runner acts as the engine's host: it
/// passes in requests, endpoint lists and release updates, carries out the engine's decisions and
/// counts them for the `expect` lines.
#pragma once
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "policy/decision_engine.h"

namespace robinhoist {

/// The state of one scenario. Time is simulated in ticks of 5 ms.
class ScenarioRunner {
 public:
  using Words = std::vector<std::string>;

  ScenarioRunner();

  /// Executes one line, split into words. An `expect` line that is not met fails the test. Throws
  /// std::runtime_error or std::out_of_range for an invalid line.
  void execute(const Words& words);

  /// The number of times that a request was forwarded after its end, or ended twice. Must be 0.
  double protocol_violations() const;

 private:
  /// How attempts end at an endpoint, at a build or for a tenant.
  struct ReplyRule {
    double after_ms = 0;
    Outcome outcome = Outcome::ok;
    int every = 1;  // every n-th attempt has this outcome, the others succeed
    int attempts = 0;
    bool never = false;
  };
  struct PendingReply {
    TimePoint due_at;
    int request_id;
    int attempt;
    Outcome outcome;
  };
  struct TrafficStream {
    int request_class;
    int tenant;
    double interval_ms;
    TimePoint next_at;
  };
  struct ScenarioRequest {
    std::string name;
    int request_class;
    int tenant = 0;
    double deadline_ms;
    std::string key;
  };
  using Command = void (ScenarioRunner::*)(const Words&);

  // Lines of the notation.
  void set_setting(const Words& words);
  void add_request_class(const Words& words);
  void add_tenant(const Words& words);
  void update_endpoints(const Words& words);
  void fail_endpoint_list(const Words& words);
  void update_release(const Words& words);
  void set_reply_rule(const Words& words);
  void replace_traffic(const Words& words);
  void add_traffic(const Words& words);
  void run(const Words& words);
  void send_request(const Words& words);
  void end_named_attempt(const Words& words);
  void set_vote_outcome(const Words& words);
  void report_wrong_answers(const Words& words);
  void reset_counts(const Words& words);
  void check_expectation(const Words& words);

  void start_engine();
  void update_endpoint(const std::string& name, const Words& words);
  void request_arrives(const ScenarioRequest& request);
  void end_attempt(int request_id, int attempt, Outcome outcome);
  void deliver_due_replies();
  void carry_out_decisions();
  void carry_out(const Decision& decision);
  void forward(const Decision& decision);
  void finish(const Decision& decision);
  ReplyRule* reply_rule(const Decision& decision);
  std::string endpoint_name(int endpoint) const;
  std::string request_name(int request_id) const;
  void count(const std::string& event) { counts_[event] += 1; }

  EndpointSettings endpoint_settings_{};
  CanaryQuotaSettings canary_quota_settings_{};
  AnalysisSettings analysis_settings_{};
  RequestSettings request_settings_{};
  std::unique_ptr<DecisionEngine> engine_{};  // created by the first line that is not a setting

  TimePoint now_;
  std::map<std::string, int> endpoints_{};  // index by name
  std::vector<int> builds_{};               // by endpoint
  std::map<std::string, int> request_ids_{};
  std::map<int, int> attempts_{};   // number of attempts, by request
  std::map<int, int> tenant_of_{};  // by request
  std::set<int> ended_requests_{};
  int next_request_id_ = 0;
  std::map<std::string, ReplyRule> reply_rules_{};
  std::vector<PendingReply> pending_replies_{};
  std::vector<TrafficStream> traffic_{};
  Outcome vote_outcome_ = Outcome::ok;
  std::map<std::string, double> counts_{};  // by event, under its name in `expect` lines
};

}  // namespace robinhoist
