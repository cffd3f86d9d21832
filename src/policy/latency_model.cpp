#include "policy/latency_model.h"

#include <algorithm>

#include "time/units.h"

namespace robinhoist {

namespace {
constexpr std::size_t latency_window = 64;  // answers kept for each request class
}  // namespace

LatencyModel::LatencyModel(const std::vector<RequestClass>& request_classes)
    : request_classes_(request_classes),
      latency_ms_(request_classes.size(), QuantileWindow(latency_window)),
      latency_per_cost_hint_(latency_ms_) {}

void LatencyModel::record(int request_class, Duration latency, double cost_hint_ms) {
  latency_ms_[request_class].push(to_millis(latency));
  if (cost_hint_ms > 0)
    latency_per_cost_hint_[request_class].push(to_millis(latency) / cost_hint_ms);
}

double LatencyModel::typical_ms(int request_class, double fraction) {
  if (latency_ms_[request_class].empty())
    return to_millis(request_classes_[request_class].latency_objective) / 4;
  return latency_ms_[request_class].at(fraction);
}

double LatencyModel::latency_ratio(int request_class, Duration latency, double cost_hint_ms) {
  if (cost_hint_ms <= 0 || latency_per_cost_hint_[request_class].empty())
    return to_millis(latency) / typical_ms(request_class, 0.5);
  return to_millis(latency) / cost_hint_ms / latency_per_cost_hint_[request_class].at(0.5);
}

double LatencyModel::objective_ratio(int request_class, Duration latency) const {
  return to_millis(latency) / to_millis(request_classes_[request_class].latency_objective);
}

Duration LatencyModel::response_timeout() {
  double max_ms = 0;
  for (int i = 0; i < static_cast<int>(request_classes_.size()); ++i) {
    const double objective_ms = to_millis(request_classes_[i].latency_objective);
    max_ms = std::max(max_ms, std::max(2 * typical_ms(i, 0.95), objective_ms / 2));
  }
  return from_millis(max_ms);
}

}  // namespace robinhoist
