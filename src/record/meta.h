/// The parameters of a scenario that the reader of its event log needs: limits of the rules,
/// request classes and caps.
#pragma once
#include <string>
#include <vector>

#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"
#include "time/time_types.h"

namespace robinhoist::record {

struct Meta {
  struct RequestClass {
    std::string name{};
    Duration latency_objective{}, deadline{}, dedup_window{};
    Idempotency idempotency = Idempotency::idempotent;
    DedupScope dedup_scope = DedupScope::all;
    double priority_weight = 1;
  };
  std::vector<RequestClass> request_classes{};
  std::vector<std::string> tenants{};
  std::vector<double> caps{};
  /// Of all releases, "build/id", in the order in which they must run.
  std::vector<std::string> steps{};
  Duration length{}, drain_grace{}, quota_window{}, collapse_window{}, warm_up_time{},
      answer_slack{};
  double uncapped_attempts = 0, collapse_multiple = 0, initial_warm_up_factor = 0;
  bool by_request_class = false;
  int idempotent_only_stages = 0, proxies = 0, endpoints = 0;
  long seed = 0;
};

void write(const std::string& file, const Meta& meta);  // throws std::runtime_error
Meta read_meta(const std::string& file);                // throws json::DecodeError

}  // namespace robinhoist::record
