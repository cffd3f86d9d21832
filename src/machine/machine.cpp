#include "machine/machine.h"

#include <algorithm>

#include "time/units.h"

namespace robinhoist::machine {
namespace {
Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}
constexpr Duration quick_response_time = std::chrono::microseconds(300);  // errors, duplicates
}  // namespace

bool DedupStore::contains(const std::string& key, TimePoint arrived_at) {
  auto at = completed_at_.find(key);
  return at != completed_at_.end() && arrived_at < at->second + window_;
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
                 DedupStore* completed_keys, const SharedSlowdown* shared_slowdown)
    : capacity_(capacity),
      build_(build),
      random_(salt),
      started_(started),
      completed_keys_(completed_keys),
      shared_slowdown_(shared_slowdown) {}

bool Machine::draw(double probability) {
  return probability > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < probability;
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

// Factor on the time that work takes, relative to a warm and idle machine of the first build
// without faults.
double Machine::slowdown_factor(TimePoint now) const {
  double factor =
      slowdown_ / (build_.speed * capacity_.speed * warm_up_factor(now) * (1 - stolen_core_share_));
  if (build_.flaw == Flaw::slow)
    factor *= build_.severity;
  if (build_.flaw == Flaw::late && now >= started_ + build_.flaw_delay)
    factor *= build_.severity;
  if (build_.flaw == Flaw::load && utilization() > build_.flaw_utilization)
    factor *= build_.severity;
  if (shared_slowdown_)
    factor *= shared_slowdown_->factor;
  // More running requests than cores share the cores.
  double running = static_cast<double>(running_.size()) + 1;
  factor *= std::max(1.0, running / capacity_.cores);
  return factor * (1 + capacity_.contention * std::max(0.0, running - 2 * capacity_.cores));
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
    for (auto& [at, work_time] : cold_arrivals_)
      sum += work_time;
    const double limit =
        capacity_.collapse_multiple * available_cores(now) * to_seconds(capacity_.collapse_window);
    max_cold_load_ = std::max(max_cold_load_, to_seconds(sum) / limit);
    if (to_seconds(sum) > limit) {
      collapse(now);
      return Admission::collapsed;
    }
  }
  Job job{.work = work, .result = WorkResult::ok, .arrived_at = now};
  const bool flaw_acts = (build_.flaw == Flaw::late && now >= started_ + build_.flaw_delay) ||
                         (build_.flaw == Flaw::load && utilization() > build_.flaw_utilization);
  if (!work.key.empty() && completed_keys_ && completed_keys_->contains(work.key, now))
    job.result = WorkResult::duplicate;
  else if (draw(failure_share_) || (build_.flaw == Flaw::errors && draw(build_.severity)) ||
           (build_.flaw == Flaw::request_class && work.request_class == build_.request_class &&
            draw(build_.severity)) ||
           (flaw_acts && draw(build_.failure_share)))
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
  job.done_at =
      now + (job.quick ? quick_response_time : scaled(job.work.work, slowdown_factor(now)));
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
  auto matches = [id](const Job& job) { return job.work.id == id; };
  if (queued)
    queue_.erase(std::remove_if(queue_.begin(), queue_.end(), matches), queue_.end());
  if (running)
    running_.erase(std::remove_if(running_.begin(), running_.end(), matches), running_.end());
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
  // The key is stored when the effect takes place, so that of two concurrent runs with the same key
  // the second changes nothing.
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

const char* to_string(WorkResult result) {
  static const char* const names[] = {"well", "failed", "wrong", "repeat"};
  return names[static_cast<int>(result)];
}

}  // namespace robinhoist::machine
