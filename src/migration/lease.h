/// The lease that lets at most one migration runner act on a journal.
#pragma once
#include <cstdint>
#include <string>

#include "journal/journal.h"
#include "log/logger.h"
#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::migration {

/// Acquires and renews the lease in the journal. Each acquisition has a larger fencing token, which
/// the target checks too: clocks only decide who tries.
class Lease {
 public:
  Lease(net::Loop& loop, journal::Journal& journal, const log::Logger& log, std::string holder,
        Duration length);

  /// Renews the lease when it is held, else tries to acquire it. Throws journal::JournalError.
  void renew_or_acquire();
  /// The target has seen a newer token.
  void lose() { token_ = 0; }

  bool is_held() const { return token_ > 0; }
  /// The fencing token; 0 when the lease is not held.
  std::int64_t token() const { return token_; }
  /// Whether it is held and has not ended by this process's own clock: a process that was suspended
  /// for longer than the lease must not act on it.
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
