/// One simulated proxy instance: its decision engine, and the simulator's names behind the indices
/// that the engine works with.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/decision_engine.h"
#include "simulator_adapter/messages.h"

namespace robinhoist::simulator_adapter {

/// Maps names to indices and hands typed messages to the engine. Lives from the message that starts
/// the instance to the one that stops it or starts it anew.
class Instance {
 public:
  explicit Instance(const InstanceStarted& started);

  /// What the instance's requests must lie within.
  const RequestLimits& limits() const { return limits_; }

  /// `bank` holds the entries, unless the update failed.
  void endpoints_updated(EndpointUpdateKind kind, const EndpointBank& bank, TimePoint now);
  void request_arrived(const RequestArrived& arrived, TimePoint now);
  /// The next three ignore a request that is not known any more.
  void stream_began(const std::string& request);
  void attempt_ended(const AttemptEnded& ended, TimePoint now);
  void client_disconnected(const std::string& request);
  void release_updated(const ReleaseMessage& message, TimePoint now);
  /// `endpoint` as endpoint_index() returned it.
  void probe_ended(int endpoint, const LoadReport& load, TimePoint now);
  void wrong_answer_reported(int endpoint);
  /// Index of a listed endpoint; throws json::DecodeError for one that was never listed.
  int endpoint_index(const std::string& name) const;

  /// Appends all decisions that are due to `reply`, one line each, under this instance's name.
  void append_decisions(const std::string& instance_name, TimePoint now, std::string& reply);

 private:
  std::optional<int> request_id(const std::string& name) const;
  int add_endpoint(const std::string& name);
  void forget_if_done(int request_id);

  DecisionEngine engine_;
  RequestLimits limits_;
  std::vector<std::string> endpoint_names_{};  // by index
  std::unordered_map<std::string, int> endpoint_indices_{};
  std::unordered_map<std::string, int> request_ids_{};
  std::unordered_map<int, std::string> request_names_{};
  int next_request_id_ = 0;
};

}  // namespace robinhoist::simulator_adapter
