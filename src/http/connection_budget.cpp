#include "http/connection_budget.h"

#include "http/client_connection.h"

namespace robinhoist::http {
namespace {

// Connections of an age count as stale when more than one in `stale_fraction` of at least
// `min_reuses` broke.
constexpr int min_reuses = 8;
constexpr int stale_fraction = 4;

bool about_as_long(Duration a, Duration b) {
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
  int broke = 0;
  for (std::size_t i = 0; i < reuses_.size(); ++i) {
    const Reuse& reuse = reuses_.back(i);
    if (!about_as_long(reuse.idle, idle))
      continue;
    ++similar;
    broke += reuse.broke ? 1 : 0;
  }
  return similar >= min_reuses && stale_fraction * broke > similar;
}

}  // namespace robinhoist::http
