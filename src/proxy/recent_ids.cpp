#include "proxy/recent_ids.h"

#include <xxhash.h>

#include <utility>

namespace robinhoist::proxy {

RecentIds::RecentIds(Duration retention, std::size_t max_ids, std::uint64_t seed)
    : retention_(retention), max_ids_(max_ids), seed_(seed) {}

bool RecentIds::insert(std::string_view id, TimePoint now) {
  begin_generation_if_due(now);
  const std::uint64_t hash = XXH64(id.data(), id.size(), seed_);
  return !previous_.contains(hash) && current_.insert(hash).second;
}

void RecentIds::begin_generation_if_due(TimePoint now) {
  const bool is_full = current_.size() >= max_ids_;
  const bool is_over = now >= generation_began_ + retention_;
  if (!is_full && !is_over)
    return;
  // Nothing of the current generation is remembered for longer than twice the retention.
  const bool is_outdated = now >= generation_began_ + 2 * retention_;
  previous_ = std::exchange(current_, {});
  if (is_outdated)
    previous_.clear();
  generation_began_ = now;
}

}  // namespace robinhoist::proxy
