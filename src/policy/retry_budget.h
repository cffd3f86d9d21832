/// The budget of retries and hedged requests, which keeps them from amplifying an overload.
#pragma once
#include "util/sliding_window.h"

namespace robinhoist {

/// Counts the repeated attempts among the latest attempts. An attempt is a repeat if an earlier
/// attempt of the same request may have put load on an endpoint.
class RetryBudget {
 public:
  RetryBudget();

  /// Records an attempt that is being sent.
  void attempt_sent(bool is_repeat) { repeats_.push(is_repeat); }

  /// Whether a hedged request is within the budget.
  bool allows_hedge() const;

  /// Whether a retry is within the budget, which is proportional to the admission rate (0 to 1).
  bool allows_retry(double admission_rate) const;

 private:
  EventWindow repeats_;
};

}  // namespace robinhoist
