#include "http/connection_budget.h"

#include "http/client_connection.h"

namespace robinhoist::http {
namespace {

// An idle time counts as stale when more than one in `stale_fraction` of at least `min_reuses`
// reuses after a similar idle time failed.
constexpr int min_reuses = 8;
constexpr int stale_fraction = 4;

bool is_similar(Duration a, Duration b) {
  return 2 * a >= b && a <= 2 * b;
}

}  // namespace

bool ConnectionBudget::make_room() {
  if (open_ >= max_connections_ && !idle_.empty())
    idle_.front()->end(CallResult::cancelled);
  return open_ < max_connections_;
}

bool ConnectionBudget::is_stale(Duration idle) const {
  int similar = 0;
  int failed = 0;
  for (std::size_t i = 0; i < reuses_.size(); ++i) {
    const Reuse& reuse = reuses_.back(i);
    if (!is_similar(reuse.idle, idle))
      continue;
    ++similar;
    failed += reuse.failed ? 1 : 0;
  }
  return similar >= min_reuses && stale_fraction * failed > similar;
}

}  // namespace robinhoist::http
