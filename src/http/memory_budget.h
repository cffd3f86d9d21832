/// A limit on the memory that peers can make a process hold: requests, responses and buffers of
/// their connections.
///
/// Whoever holds such memory charges its size to the budget. When the total is above the limit, the
/// budget makes holders release what they hold until it is not. Memory of accepted requests is
/// never released early; it is limited when a request is accepted.
#pragma once
#include <array>
#include <cstddef>
#include <list>
#include <memory>
#include <optional>

#include "net/loop.h"
#include "time/time_types.h"

namespace robinhoist::http {

/// The text of a rejection for lack of memory or connections, with status_service_unavailable.
inline constexpr const char* overload_message = "no room: come again";

/// What memory is held for.
enum class MemoryUse {
  partial_request,  ///< received parts of requests that are not complete
  open_request,     ///< accepted requests, until they are answered
  attempt,          ///< requests to be written to endpoints, and parts of their responses
  unread_response   ///< responses that clients have not read
};
constexpr std::size_t memory_use_count = 4;

/// Holds memory on behalf of a peer and can release it before the peer has finished.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  /// The bytes charged to the budget.
  virtual std::size_t held_bytes() const = 0;
  /// Since when the memory has been held; empty if it must be kept.
  virtual std::optional<TimePoint> releasable_since() const = 0;
  /// Releases the memory. Afterwards fewer bytes are held, or they must be kept.
  virtual void release_memory() = 0;
};

/// Adds up charges. Not thread-safe; all holders run on the thread of one event loop.
class MemoryBudget {
 public:
  /// `limit` is in bytes.
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  bool is_exceeded() const { return used_ > limit_; }
  std::size_t used(MemoryUse use) const { return used_by_.at(static_cast<std::size_t>(use)); }
  /// The largest total so far.
  std::size_t peak() const { return peak_; }
  /// How often a holder had to release its memory.
  long releases() const { return releases_; }
  /// How many requests were not accepted.
  long rejections() const { return rejections_; }

  /// Whether an accepted request of this size may be held. Counts a rejection if not.
  bool admit_request(std::size_t bytes);

  /// While the limit is exceeded, makes the holder release its memory that has the largest product
  /// of bytes and time. A peer that is merely large or merely slow is not affected first. Must be
  /// called from the event loop and not from within another holder's work.
  void enforce(TimePoint now);

 private:
  friend class MemoryCharge;
  friend class RegisteredMemoryHolder;
  MemoryHolder* costliest(TimePoint now) const;

  std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  std::array<std::size_t, memory_use_count> used_by_{};
  std::list<MemoryHolder*> holders_{};  // in the order in which they were registered
  long releases_ = 0;
  long rejections_ = 0;
};

/// A part of a budget that is in use. Returned to the budget on destruction.
class MemoryCharge {
 public:
  /// Without a budget, only the number of bytes is kept.
  explicit MemoryCharge(std::shared_ptr<MemoryBudget> budget = nullptr);
  ~MemoryCharge();
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;
  MemoryCharge(const MemoryCharge&) = delete;
  MemoryCharge& operator=(const MemoryCharge&) = delete;

  void set(MemoryUse use, std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  MemoryUse use_ = MemoryUse::partial_request;
  std::size_t bytes_ = 0;
};

/// A holder that a budget knows for as long as it exists.
class RegisteredMemoryHolder : public MemoryHolder {
 public:
  /// Without a budget, it is never asked to release memory.
  explicit RegisteredMemoryHolder(std::shared_ptr<MemoryBudget> budget);
  ~RegisteredMemoryHolder() override;
  RegisteredMemoryHolder(const RegisteredMemoryHolder&) = delete;
  RegisteredMemoryHolder& operator=(const RegisteredMemoryHolder&) = delete;

 protected:
  /// Enforces the limit of the budget, if there is one; see MemoryBudget::enforce().
  void enforce_memory_limit(const net::Loop& loop);

 private:
  std::shared_ptr<MemoryBudget> budget_;
  std::list<MemoryHolder*>::iterator position_{};
};

}  // namespace robinhoist::http
