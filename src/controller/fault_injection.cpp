#include "controller/fault_injection.h"

namespace robinhoist::controller {

void FaultInjector::set(Fault fault, double counted_votes) {
  fault_ = fault;
  counted_votes_ = counted_votes;
}

bool FaultInjector::counts_vote() {
  if (fault_ == Fault::none)
    return true;
  return fault_ == Fault::unresponsive &&
         std::uniform_real_distribution<double>(0, 1)(random_) < counted_votes_;
}

bool FaultInjector::intercept(const http::ExchangePtr& exchange) const {
  if (fault_ == Fault::none)
    return false;
  if (fault_ == Fault::errors) {
    exchange->answer(http::text_response(503, "out of order\n"));
    return true;
  }
  // The exchange owns itself until the proxy disconnects; released earlier, it would answer 500.
  exchange->on_disconnect = [self = exchange]() mutable { self.reset(); };
  return true;
}

}  // namespace robinhoist::controller
