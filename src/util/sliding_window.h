// The last few samples of something, oldest overwritten first. The owner says how many are kept.
#pragma once
#include <algorithm>
#include <cstddef>
#include <vector>

namespace robinhoist {

template <class T>
class SlidingWindow {
 public:
  explicit SlidingWindow(std::size_t most) : most_(most) {}
  void push(const T& sample) {
    if (kept_.size() < most_) {
      kept_.push_back(sample);
    } else {
      kept_[next_] = sample;
      next_ = (next_ + 1) % most_;
    }
  }
  void clear() {
    kept_.clear();
    next_ = 0;
  }
  std::size_t size() const { return kept_.size(); }
  // 0 is the newest.
  const T& back(std::size_t age) const {
    return kept_[(next_ + kept_.size() - 1 - age) % kept_.size()];
  }

 private:
  std::size_t most_;
  std::size_t next_ = 0;
  std::vector<T> kept_;
};

// The last few of some figure, and what lies so far up among them; sorted anew only now and then.
class QuantileWindow {
 public:
  explicit QuantileWindow(std::size_t most) : most_(most), last_(most) {}
  void push(double value) {
    last_.push(value);
    ++unsorted_;
  }
  bool empty() const { return last_.size() == 0; }
  double at(double part) {
    if (unsorted_ > most_ / 8 || sorted_.size() < most_ / 8) {
      sorted_.clear();
      for (std::size_t i = 0; i < last_.size(); ++i)
        sorted_.push_back(last_.back(i));
      std::sort(sorted_.begin(), sorted_.end());
      unsorted_ = 0;
    }
    return sorted_[std::min(sorted_.size() - 1, static_cast<std::size_t>(part * sorted_.size()))];
  }

 private:
  std::size_t most_, unsorted_ = 0;
  SlidingWindow<double> last_;
  std::vector<double> sorted_{};
};

}  // namespace robinhoist
