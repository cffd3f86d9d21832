/// Event loop in simulated time. Tasks run in the order of their times, ties in the order in which
/// they were scheduled, so that runs are reproducible bit for bit. An engine is used by one thread.
#pragma once
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <new>
#include <type_traits>
#include <utility>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::emulator {

class Engine {
 public:
  struct TaskId {
    std::uint32_t slot = none;
    std::uint32_t generation = 0;
  };
  Engine() = default;
  ~Engine() {
    for (Slot& slot : slots_)
      if (slot.invoke)
        slot.destroy(slot.storage);
  }
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  TimePoint now() const { return now_; }
  std::uint64_t events() const { return events_; }
  std::size_t pending_tasks() const { return heap_.size(); }

  /// Schedules a task. A time in the past counts as now.
  template <class Task>
  TaskId at(TimePoint when, Task task) {
    // Keeps captures small enough to be stored without an allocation for each event.
    static_assert(sizeof(Task) <= max_task_size && alignof(Task) <= alignof(std::max_align_t));
    std::uint32_t index;
    if (free_.empty()) {
      index = static_cast<std::uint32_t>(slots_.size());
      slots_.emplace_back();
    } else {
      index = free_.back();
      free_.pop_back();
    }
    Slot& slot = slots_[index];
    new (slot.storage) Task(std::move(task));
    slot.invoke = [](void* storage) { (*static_cast<Task*>(storage))(); };
    slot.destroy = [](void* storage) { static_cast<Task*>(storage)->~Task(); };
    heap_.push_back({std::max(when, now_), next_order_++, index, slot.generation});
    std::push_heap(heap_.begin(), heap_.end(), later);
    return {index, slot.generation};
  }
  template <class Task>
  TaskId in(Duration delay, Task task) {
    return at(now_ + delay, std::move(task));
  }

  void cancel(TaskId& id) {
    if (id.slot != none && slots_[id.slot].generation == id.generation && slots_[id.slot].invoke)
      release(id.slot);
    id = {};
  }

  /// Runs the next task that is due by `until`; returns false when there is none.
  bool step(TimePoint until) {
    while (!heap_.empty()) {
      const Entry next = heap_.front();
      if (next.at > until)
        return false;
      std::pop_heap(heap_.begin(), heap_.end(), later);
      heap_.pop_back();
      Slot& slot = slots_[next.slot];
      if (slot.generation != next.generation || !slot.invoke)
        continue;  // cancelled
      now_ = next.at;
      ++events_;
      // The task may append to slots_; references to a deque's elements stay valid.
      running_ = next.slot;
      slot.invoke(slot.storage);
      running_ = none;
      if (slot.generation == next.generation)
        release(next.slot);
      return true;
    }
    return false;
  }
  void run(TimePoint until) {
    while (step(until)) {
    }
    now_ = std::max(now_, until);
  }

 private:
  static constexpr std::uint32_t none = UINT32_MAX;
  static constexpr std::size_t max_task_size = 96;
  struct Slot {
    alignas(std::max_align_t) std::byte storage[max_task_size];
    void (*invoke)(void*) = nullptr;
    void (*destroy)(void*) = nullptr;
    std::uint32_t generation = 0;
  };
  struct Entry {
    TimePoint at;
    std::uint64_t order;
    std::uint32_t slot, generation;
  };
  static bool later(const Entry& a, const Entry& b) {
    return a.at != b.at ? a.at > b.at : a.order > b.order;
  }
  void release(std::uint32_t index) {
    if (index == running_)
      return;  // step() releases it when it returns
    Slot& slot = slots_[index];
    slot.destroy(slot.storage);
    slot.invoke = nullptr;
    ++slot.generation;
    free_.push_back(index);
  }

  TimePoint now_{};
  std::uint64_t next_order_ = 0, events_ = 0;
  std::uint32_t running_ = none;
  std::vector<Entry> heap_{};
  std::deque<Slot> slots_{};
  std::vector<std::uint32_t> free_{};
};

}  // namespace robinhoist::emulator
