#include "migration/lease.h"

#include <utility>

namespace robinhoist::migration {
namespace {

std::int64_t to_ms(std::chrono::microseconds duration) {
  return duration.count() / 1000;
}

std::int64_t wall_clock_ms() {
  return to_ms(net::wall_now().time_since_epoch());
}

}  // namespace

Lease::Lease(net::Loop& loop, journal::Journal& journal, const log::Logger& log, std::string holder,
             Duration length)
    : loop_(loop), journal_(journal), log_(log), holder_(std::move(holder)), length_(length) {}

void Lease::renew_or_acquire() {
  const std::int64_t length_ms = to_ms(length_);
  if (token_ > 0) {
    if (!journal_.renew_lease(holder_, token_, wall_clock_ms(), length_ms)) {
      log_.warn("another runner holds the lease", {{"token", log::text(token_)}});
      token_ = 0;
    }
  } else if (auto token = journal_.acquire_lease(holder_, wall_clock_ms(), length_ms)) {
    token_ = *token;
    log_.info("holds the lease", {{"token", log::text(token_)}});
  }
  if (token_ > 0)
    valid_until_ = loop_.now() + length_;
}

}  // namespace robinhoist::migration
