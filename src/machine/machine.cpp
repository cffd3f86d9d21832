#include "machine/machine.h"

#include <algorithm>

#include "time/units.h"

namespace robinhoist::machine {
namespace {
Duration times(Duration s, double by) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(s.count()) * by));
}
constexpr Duration quick_answer = std::chrono::microseconds(300);  // an error or a known repeat
}  // namespace

bool DedupStore::contains(const std::string& key, TimePoint arrived) {
  auto at = completed_at_.find(key);
  return at != completed_at_.end() && arrived < at->second + window_;
}

void DedupStore::insert(const std::string& key, TimePoint now) {
  while (!order_.empty() && order_.front().first + window_ + max_queue_time <= now) {
    auto old = completed_at_.find(order_.front().second);
    if (old != completed_at_.end() && old->second == order_.front().first)
      completed_at_.erase(old);
    order_.pop_front();
  }
  completed_at_[key] = now;
  order_.emplace_back(now, key);
}

Machine::Machine(const Capacity& capacity, const Build& build, unsigned salt, TimePoint started,
                 DedupStore* marks, const SharedSlowdown* harm)
    : capacity_(capacity),
      build_(build),
      random_(salt),
      started_(started),
      completed_keys_(marks),
      shared_slowdown_(harm) {}

bool Machine::draw(double share) {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

double Machine::warm_up_factor(TimePoint now) const {
  if (capacity_.warm_up_time <= Duration{} || now >= started_ + capacity_.warm_up_time)
    return 1;
  double age = std::max(0.0, to_seconds(now - started_) / to_seconds(capacity_.warm_up_time));
  return capacity_.initial_warm_up_factor + (1 - capacity_.initial_warm_up_factor) * age;
}

double Machine::utilization() const {
  return std::min(1.0, static_cast<double>(running_.size()) / std::max(1, capacity_.cores));
}

double Machine::available_cores(TimePoint now) const {
  return capacity_.cores * capacity_.speed * warm_up_factor(now) * (1 - stolen_core_share_) /
         slowdown_;
}

// Times that work takes against a warm, empty, undisturbed machine of the first build.
double Machine::slowdown_factor(TimePoint now) const {
  double times =
      slowdown_ / (build_.speed * capacity_.speed * warm_up_factor(now) * (1 - stolen_core_share_));
  if (build_.flaw == Flaw::slow)
    times *= build_.severity;
  if (build_.flaw == Flaw::late && now >= started_ + build_.flaw_delay)
    times *= build_.severity;
  if (build_.flaw == Flaw::load && utilization() > build_.flaw_utilization)
    times *= build_.severity;
  if (shared_slowdown_)
    times *= shared_slowdown_->factor;
  // More in work than there are cores share them.
  double crowd = static_cast<double>(running_.size()) + 1;
  times *= std::max(1.0, crowd / capacity_.cores);
  return times * (1 + capacity_.contention * std::max(0.0, crowd - 2 * capacity_.cores));
}

void Machine::collapse(TimePoint) {
  collapsed_ = true;
  running_.clear();
  queue_.clear();
}

Admission Machine::arrive(const Work& work, TimePoint now) {
  if (collapsed_)
    return Admission::collapsed;
  if (capacity_.collapse_window > Duration{} && warm_up_factor(now) < 1) {
    cold_arrivals_.emplace_back(now, work.work);
    while (cold_arrivals_.front().first <= now - capacity_.collapse_window)
      cold_arrivals_.pop_front();
    Duration sum{};
    for (auto& [at, much] : cold_arrivals_)
      sum += much;
    double most =
        capacity_.collapse_multiple * available_cores(now) * to_seconds(capacity_.collapse_window);
    max_cold_load_ = std::max(max_cold_load_, to_seconds(sum) / most);
    if (to_seconds(sum) > most) {
      collapse(now);
      return Admission::collapsed;
    }
  }
  Job job{.work = work, .result = WorkResult::ok, .arrived_at = now};
  const bool bad_now = (build_.flaw == Flaw::late && now >= started_ + build_.flaw_delay) ||
                       (build_.flaw == Flaw::load && utilization() > build_.flaw_utilization);
  if (!work.key.empty() && completed_keys_ && completed_keys_->contains(work.key, now))
    job.result = WorkResult::duplicate;
  else if (draw(failure_share_) || (build_.flaw == Flaw::errors && draw(build_.severity)) ||
           (build_.flaw == Flaw::request_class && work.request_class == build_.request_class &&
            draw(build_.severity)) ||
           (bad_now && draw(build_.failure_share)))
    job.result = WorkResult::failed;
  else if (build_.flaw == Flaw::wrong && draw(build_.severity))
    job.result = WorkResult::wrong;
  job.quick = job.result == WorkResult::duplicate || job.result == WorkResult::failed;
  if (static_cast<int>(running_.size()) < capacity_.slots || job.quick) {
    start(std::move(job), now);
  } else if (static_cast<int>(queue_.size()) < capacity_.queue_capacity) {
    queue_.push_back(std::move(job));
  } else {
    return Admission::full;
  }
  return Admission::accepted;
}

void Machine::start(Job job, TimePoint now) {
  job.done_at = now + (job.quick ? quick_answer : times(job.work.work, slowdown_factor(now)));
  running_.push_back(std::move(job));
}

void Machine::start_queued(TimePoint now) {
  while (!queue_.empty() && static_cast<int>(running_.size()) < capacity_.slots) {
    Job job = std::move(queue_.front());
    queue_.pop_front();
    start(std::move(job), now);
  }
}

void Machine::cancel(std::int64_t id, bool queued, bool running, TimePoint now) {
  auto is = [id](const Job& job) { return job.work.id == id; };
  if (queued)
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(), is), queue_.end());
  if (running)
    running_.erase(std::remove_if(running_.begin(), running_.end(), is), running_.end());
  start_queued(now);
}

std::optional<TimePoint> Machine::next_completion_at() const {
  if (running_.empty())
    return {};
  return std::min_element(running_.begin(), running_.end(),
                          [](auto& a, auto& b) { return a.done_at < b.done_at; })
      ->done_at;
}

std::optional<CompletedWork> Machine::next_completed(TimePoint now) {
  auto first = std::min_element(running_.begin(), running_.end(),
                                [](const Job& a, const Job& b) { return a.done_at < b.done_at; });
  if (first == running_.end() || first->done_at > now)
    return {};
  Job job = std::move(*first);
  running_.erase(first);
  CompletedWork done{job.work.id, job.result, false};
  // The mark is set in the moment of the effect: of two that ran side by side the second changes
  // nothing.
  if (job.work.has_effect && (job.result == WorkResult::ok || job.result == WorkResult::wrong)) {
    if (!job.work.key.empty() && completed_keys_ &&
        completed_keys_->contains(job.work.key, job.arrived_at)) {
      done.result = WorkResult::duplicate;
    } else {
      done.changed_data = true;
      if (!job.work.key.empty() && completed_keys_)
        completed_keys_->insert(job.work.key, now);
    }
  }
  start_queued(job.done_at);
  return done;
}

const char* to_string(WorkResult how) {
  static const char* const words[] = {"well", "failed", "wrong", "repeat"};
  return words[static_cast<int>(how)];
}

}  // namespace robinhoist::machine
