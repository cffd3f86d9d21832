/// Bounded windows of the latest samples: of any type, of boolean events, and of numbers with their
/// quantiles. The capacity must be greater than zero.
#pragma once
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace robinhoist {

/// The latest `capacity` samples; a new one overwrites the oldest.
template <class T>
class SlidingWindow {
 public:
  explicit SlidingWindow(std::size_t capacity) : capacity_(capacity) {}

  /// Adds the newest sample.
  void push(const T& sample) {
    if (samples_.size() < capacity_) {
      samples_.push_back(sample);
    } else {
      samples_[next_] = sample;
      next_ = (next_ + 1) % capacity_;
    }
  }

  /// Removes all samples.
  void clear() {
    samples_.clear();
    next_ = 0;
  }

  /// The number of samples in the window.
  std::size_t size() const { return samples_.size(); }

  /// The sample of this age, 0 being the newest. The age must be below size().
  const T& back(std::size_t age) const {
    return samples_[(next_ + samples_.size() - 1 - age) % samples_.size()];
  }

 private:
  std::size_t capacity_;
  std::size_t next_ = 0;
  std::vector<T> samples_;
};

/// The latest boolean events.
class EventWindow {
 public:
  explicit EventWindow(std::size_t capacity) : events_(capacity) {}

  /// Adds the newest event.
  void push(bool happened) { events_.push(happened ? 1 : 0); }

  /// The number of events in the window, true or false.
  std::size_t size() const { return events_.size(); }

  /// The number of events that are true.
  int count() const {
    int sum = 0;
    for (std::size_t age = 0; age < events_.size(); ++age)
      sum += events_.back(age);
    return sum;
  }

 private:
  SlidingWindow<std::uint8_t> events_;
};

/// The latest numbers and their quantiles. Quantiles are read from a sorted copy, which is updated
/// after more than an eighth of the capacity has been replaced, so they may lag slightly.
class QuantileWindow {
 public:
  explicit QuantileWindow(std::size_t capacity) : capacity_(capacity), latest_(capacity) {}

  /// Adds the newest value.
  void push(double value) {
    latest_.push(value);
    ++unsorted_;
  }

  bool empty() const { return latest_.size() == 0; }

  /// The value below which this fraction (0 to 1) of the values lies. The window must not be empty.
  double at(double fraction) {
    if (unsorted_ > capacity_ / 8 || sorted_.size() < capacity_ / 8)
      sort();
    const auto rank = static_cast<std::size_t>(fraction * static_cast<double>(sorted_.size()));
    return sorted_[std::min(sorted_.size() - 1, rank)];
  }

 private:
  void sort() {
    sorted_.clear();
    for (std::size_t age = 0; age < latest_.size(); ++age)
      sorted_.push_back(latest_.back(age));
    std::sort(sorted_.begin(), sorted_.end());
    unsorted_ = 0;
  }

  std::size_t capacity_;
  std::size_t unsorted_ = 0;  // values added since the last sort
  SlidingWindow<double> latest_;
  std::vector<double> sorted_{};
};

}  // namespace robinhoist
