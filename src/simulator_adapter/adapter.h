/// Adapter between the operators' simulator and the decision module.
///
/// The simulator sends one JSON object per line. A batch starts with a message that carries the
/// time, continues with events for proxy instances, and ends with a message that requests the
/// reply: the decisions of all instances that had an event in the batch.
#pragma once
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "json/reader.h"
#include "simulator_adapter/instance.h"
#include "simulator_adapter/messages.h"

namespace robinhoist::simulator_adapter {

/// Reads messages line by line and collects the reply to each batch.
class Adapter {
 public:
  /// Reads one line. Returns the reply, of one or more lines, if this line ended a batch. Throws
  /// json::DecodeError, which names the message and the field, if the line is not valid; the
  /// adapter must not be used after that.
  std::optional<std::string> read(const std::string& line);

 private:
  using EventHandler = void (Adapter::*)(Instance&, const json::Value&);

  void begin_batch(const json::Value& fields);
  std::string end_batch();
  /// Handles a message within a batch.
  void handle(const std::string& message, const json::Value& fields);
  void handle_event(const std::string& message, Instance& instance, const json::Value& fields);
  void start_instance(const std::string& name, const json::Value& fields);
  void stop_instance(const std::string& name);
  Instance& find_instance(const std::string& name);
  void mark_for_reply(const std::string& name);

  // Events for one instance.
  void endpoints_updated(Instance& instance, const json::Value& fields);
  void request_arrived(Instance& instance, const json::Value& fields);
  void stream_began(Instance& instance, const json::Value& fields);
  void attempt_ended(Instance& instance, const json::Value& fields);
  void client_disconnected(Instance& instance, const json::Value& fields);
  void timer_expired(Instance& instance, const json::Value& fields);
  void probe_ended(Instance& instance, const json::Value& fields);
  void gossip(Instance& instance, const json::Value& fields);
  void release_updated(Instance& instance, const json::Value& fields);
  void metrics(Instance& instance, const json::Value& fields);
  void wrong_answer(Instance& instance, const json::Value& fields);

  struct Slot {
    std::unique_ptr<Instance> instance{};
    bool had_event = false;  // in this batch
  };

  bool batch_open_ = false;
  TimePoint now_{};
  std::unordered_map<std::string, Slot> instances_{};  // by name
  std::vector<std::string> reply_order_{};  // instances, ordered by first event in the batch
  std::array<EndpointBank, bank_count> banks_{};
};

}  // namespace robinhoist::simulator_adapter
