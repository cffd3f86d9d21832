// The bench's wire: its names and words, and how they are read and written. Nothing here decides.
#pragma once
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "json/reader.h"
#include "json/writer.h"
#include "module_settings/module_settings.h"
#include "policy/decision_engine.h"
#include "time/time_types.h"

namespace robinhoist::benchlink {

using json::Value;

using json::DecodeError;

// One instance, with the words that stand for its indices.
struct Instance {
  std::unique_ptr<DecisionEngine> engine;
  std::vector<std::string> endpoint_names;
  std::unordered_map<std::string, int> endpoints, requests;
  std::unordered_map<int, std::string> request_names;
  int next_request_id = 0, request_classes = 0, tenants = 0;
  bool touched = false;
};

// Reads events line by line and gathers the reply of a batch.
class Wire {
 public:
  // Reads one line; returns true when it closed a batch and `reply` holds what to write.
  bool read(std::string& line, std::string& reply);

 private:
  using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

  void event(const std::string& name, const Value& fields);
  void hello(const std::string& who, const Value& fields);
  void list(Instance& instance, const Value& fields);
  void demand(Instance& instance, const Value& fields);
  void promotion(Instance& instance, const Value& fields);
  Instance& known(const std::string& who, bool touch);
  void answer(const std::string& who, Instance& instance);
  void write(const std::string& who, Instance& instance, const Decision& decision);

  bool open_ = false;
  TimePoint now_{};
  std::unordered_map<std::string, std::unique_ptr<Instance>> instances_;
  std::vector<std::string> touched_;
  std::vector<EndpointInfo> banks_[16];
  std::vector<std::string> bank_names_[16];
  rapidjson::StringBuffer out_;
};

}  // namespace robinhoist::benchlink
