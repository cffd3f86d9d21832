#include "http/memory_budget.h"

#include <algorithm>
#include <utility>

#include "time/units.h"

namespace robinhoist::http {
namespace {

// Accepted requests may use this part of the limit; the remainder is for their responses.
constexpr std::size_t open_request_divisor = 2;
// Added to the time for which memory has been held, so that new holders also compare by size.
constexpr Duration min_holding_time = std::chrono::milliseconds(1);

// The cost of memory that is held for some time, in byte-seconds.
double holding_cost(std::size_t bytes, Duration time) {
  return static_cast<double>(bytes) * to_seconds(time + min_holding_time);
}

}  // namespace

bool MemoryBudget::admit_request(std::size_t bytes) {
  const bool admitted = used(MemoryUse::open_request) + bytes <= limit_ / open_request_divisor;
  if (!admitted)
    ++rejections_;
  return admitted;
}

void MemoryBudget::enforce(TimePoint now) {
  while (is_exceeded()) {
    MemoryHolder* holder = costliest(now);
    if (!holder)
      return;
    ++releases_;
    holder->release_memory();
  }
}

MemoryHolder* MemoryBudget::costliest(TimePoint now) const {
  MemoryHolder* costliest = nullptr;
  double highest_cost = 0;
  for (MemoryHolder* holder : holders_) {
    const auto since = holder->releasable_since();
    if (!since)
      continue;
    const double cost = holding_cost(holder->held_bytes(), now - *since);
    if (cost <= highest_cost)
      continue;
    costliest = holder;
    highest_cost = cost;
  }
  return costliest;
}

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}

MemoryCharge::~MemoryCharge() {
  set(use_, 0);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : budget_(std::move(other.budget_)), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  std::swap(budget_, other.budget_);
  std::swap(use_, other.use_);
  std::swap(bytes_, other.bytes_);
  return *this;
}

void MemoryCharge::set(MemoryUse use, std::size_t bytes) {
  if (budget_) {
    budget_->used_by_.at(static_cast<std::size_t>(use_)) -= bytes_;
    budget_->used_by_.at(static_cast<std::size_t>(use)) += bytes;
    budget_->used_ = budget_->used_ - bytes_ + bytes;
    budget_->peak_ = std::max(budget_->peak_, budget_->used_);
  }
  use_ = use;
  bytes_ = bytes;
}

RegisteredMemoryHolder::RegisteredMemoryHolder(std::shared_ptr<MemoryBudget> budget)
    : budget_(std::move(budget)) {
  if (budget_)
    position_ = budget_->holders_.insert(budget_->holders_.end(), this);
}

RegisteredMemoryHolder::~RegisteredMemoryHolder() {
  if (budget_)
    budget_->holders_.erase(position_);
}

void RegisteredMemoryHolder::enforce_memory_limit(const net::Loop& loop) {
  if (budget_ && budget_->is_exceeded())
    budget_->enforce(loop.now());
}

}  // namespace robinhoist::http
