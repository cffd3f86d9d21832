/// The budget of retries and hedged requests, which keeps them from feeding an overload.
#pragma once
#include "util/sliding_window.h"

namespace robinhoist {

/// Owns what part of the latest attempts repeated an earlier one.
class RetryBudget {
 public:
  RetryBudget();

  /// Notes an attempt that is sent: whether it repeats one that may have burdened an endpoint.
  void attempt_sent(bool is_repeat) { repeats_.push(is_repeat); }

  /// Whether a hedged request is within the budget.
  bool allows_hedge() const;

  /// Whether a retry is within the budget, which shrinks with the admission rate (0 to 1).
  bool allows_retry(double admission_rate) const;

 private:
  EventWindow repeats_;
};

}  // namespace robinhoist
