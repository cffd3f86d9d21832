/// The lease that lets at most one migration runner act on a journal.
#pragma once
#include <cstdint>
#include <string>

#include "journal/journal.h"
#include "log/logger.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::migration {

/// Acquires and renews the lease in the journal. Each acquisition gets a larger fencing token. The
/// target checks the token as well, so that wrong clocks can only affect which runner tries to act.
class Lease {
 public:
  Lease(net::Loop& loop, journal::Journal& journal, const log::Logger& log, std::string holder,
        Duration length);

  /// Renews the lease if it is held; otherwise tries to acquire it. Throws journal::JournalError.
  void renew_or_acquire();
  /// Records that the lease was lost, because the target has seen a newer token.
  void lose() { token_ = 0; }

  bool is_held() const { return token_ > 0; }
  /// The fencing token; 0 when the lease is not held.
  std::int64_t token() const { return token_; }
  /// Whether the lease is held and has not expired by this process's clock. A process that was
  /// suspended for longer than the lease must not act on it.
  bool is_valid() const { return is_held() && loop_.now() < valid_until_; }

 private:
  net::Loop& loop_;
  journal::Journal& journal_;
  const log::Logger& log_;
  std::string holder_;
  Duration length_;
  std::int64_t token_ = 0;
  TimePoint valid_until_{};
};

}  // namespace robinhoist::migration
