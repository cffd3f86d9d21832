// The last few samples of something, oldest overwritten first. The owner says how many are kept.
#pragma once
#include <cstddef>
#include <vector>

namespace robinhoist {

template <class T>
class Samples {
 public:
  explicit Samples(std::size_t most) : most_(most) {}
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
  const T& back(std::size_t age) const { return kept_[(next_ + kept_.size() - 1 - age) % kept_.size()]; }

 private:
  std::size_t most_;
  std::size_t next_ = 0;
  std::vector<T> kept_;
};

}  // namespace robinhoist
