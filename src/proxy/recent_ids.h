/// A set of the ids that were seen lately, in bounded memory.
#pragma once
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>

#include "time/time_types.h"

namespace robinhoist::proxy {

/// Remembers each id for at least `retention`, unless more than `max_ids` others have come since.
/// Ids are kept as hashes in two generations, of which the older one is dropped as a whole. It
/// reads no clock; the caller passes the time.
class RecentIds {
 public:
  /// `seed` makes the hashes unpredictable to those who choose the ids.
  RecentIds(Duration retention, std::size_t max_ids, std::uint64_t seed);

  /// Returns whether the id was not remembered yet, and remembers it.
  bool insert(std::string_view id, TimePoint now);
  std::size_t size() const { return current_.size() + previous_.size(); }

 private:
  void begin_generation_if_due(TimePoint now);

  Duration retention_;
  std::size_t max_ids_;
  std::uint64_t seed_;
  TimePoint generation_began_{};
  std::unordered_set<std::uint64_t> current_{};
  std::unordered_set<std::uint64_t> previous_{};
};

}  // namespace robinhoist::proxy
