/// One simulated proxy instance: its decision engine, and the mapping between the simulator's names
/// and the engine's indices.
#pragma once
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "policy/decision_engine.h"
#include "simulator_adapter/messages.h"

namespace robinhoist::simulator_adapter {

/// Maps names to indices and passes typed messages to the engine. Exists from the message that
/// starts the instance until the one that stops or restarts it.
class Instance {
 public:
  explicit Instance(const InstanceStarted& started);

  /// The limits for the instance's requests.
  const RequestLimits& limits() const { return limits_; }

  /// `bank` contains the entries; it is ignored if the update failed.
  void endpoints_updated(EndpointUpdateKind kind, const EndpointBank& bank, TimePoint now);
  void request_arrived(const RequestArrived& arrived, TimePoint now);
  /// The next three functions ignore a request that is no longer tracked.
  void stream_began(const std::string& request);
  void attempt_ended(const AttemptEnded& ended, TimePoint now);
  void client_disconnected(const std::string& request);
  void release_updated(const ReleaseMessage& message, TimePoint now);
  /// `endpoint` is an index from endpoint_index(), also in the next function.
  void probe_ended(int endpoint, const LoadReport& load, TimePoint now);
  void wrong_answer_reported(int endpoint);
  /// The index of an endpoint. Throws json::DecodeError for one that was never listed.
  int endpoint_index(const std::string& name) const;

  /// Appends all due decisions to `reply`, one line each, under this instance's name.
  void append_decisions(const std::string& instance_name, TimePoint now, std::string& reply);

 private:
  std::optional<int> request_id(const std::string& name) const;
  int add_endpoint(const std::string& name);
  void remove_if_done(int request_id);

  DecisionEngine engine_;
  RequestLimits limits_;
  std::vector<std::string> endpoint_names_{};  // by index
  std::unordered_map<std::string, int> endpoint_indices_{};
  std::unordered_map<std::string, int> request_ids_{};
  std::unordered_map<int, std::string> request_names_{};
  int next_request_id_ = 0;
};

}  // namespace robinhoist::simulator_adapter
