#include "policy/retry_budget.h"

namespace robinhoist {

namespace {
constexpr std::size_t attempt_window = 100;
constexpr int max_repeats_to_hedge = 8;   // in the window
constexpr int max_repeats_to_retry = 20;  // in the window, at full admission rate
}  // namespace

RetryBudget::RetryBudget() : repeats_(attempt_window) {}

bool RetryBudget::allows_hedge() const {
  return repeats_.count() < max_repeats_to_hedge;
}

bool RetryBudget::allows_retry(double admission_rate) const {
  return repeats_.count() < max_repeats_to_retry * admission_rate;
}

}  // namespace robinhoist
