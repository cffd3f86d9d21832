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

bool Marks::known(const std::string& key, TimePoint arrived) {
  auto at = at_.find(key);
  return at != at_.end() && arrived < at->second + memory_;
}

void Marks::done(const std::string& key, TimePoint now) {
  while (!order_.empty() && order_.front().first + memory_ + waits_most <= now) {
    auto old = at_.find(order_.front().second);
    if (old != at_.end() && old->second == order_.front().first)
      at_.erase(old);
    order_.pop_front();
  }
  at_[key] = now;
  order_.emplace_back(now, key);
}

Machine::Machine(const Capacity& capacity, const Build& build, unsigned salt, TimePoint started,
                 Marks* marks, const SharedHarm* harm)
    : capacity_(capacity),
      build_(build),
      random_(salt),
      started_(started),
      marks_(marks),
      harm_(harm) {}

bool Machine::uniform_sample(double share) {
  return share > 0 && std::uniform_real_distribution<double>(0, 1)(random_) < share;
}

double Machine::warmth(TimePoint now) const {
  if (capacity_.cold_for <= Duration{} || now >= started_ + capacity_.cold_for)
    return 1;
  double age = std::max(0.0, to_seconds(now - started_) / to_seconds(capacity_.cold_for));
  return capacity_.cold_from + (1 - capacity_.cold_from) * age;
}

double Machine::busy() const {
  return std::min(1.0, static_cast<double>(running_.size()) / std::max(1, capacity_.cores));
}

double Machine::able(TimePoint now) const {
  return capacity_.cores * capacity_.speed * warmth(now) * (1 - neighbour_) / slowed_;
}

// Times that work takes against a warm, empty, undisturbed machine of the first build.
double Machine::slowness(TimePoint now) const {
  double times = slowed_ / (build_.speed * capacity_.speed * warmth(now) * (1 - neighbour_));
  if (build_.flaw == Flaw::slow)
    times *= build_.strength;
  if (build_.flaw == Flaw::late && now >= started_ + build_.after)
    times *= build_.strength;
  if (build_.flaw == Flaw::load && busy() > build_.busy)
    times *= build_.strength;
  if (harm_)
    times *= harm_->factor;
  // More in work than there are cores share them.
  double crowd = static_cast<double>(running_.size()) + 1;
  times *= std::max(1.0, crowd / capacity_.cores);
  return times * (1 + capacity_.crowding * std::max(0.0, crowd - 2 * capacity_.cores));
}

void Machine::fall(TimePoint) {
  fallen_ = true;
  running_.clear();
  waiting_.clear();
}

Entry Machine::arrive(const Work& work, TimePoint now) {
  if (fallen_)
    return Entry::down;
  if (capacity_.fall_window > Duration{} && warmth(now) < 1) {
    pushed_.emplace_back(now, work.work);
    while (pushed_.front().first <= now - capacity_.fall_window)
      pushed_.pop_front();
    Duration sum{};
    for (auto& [at, much] : pushed_)
      sum += much;
    double most = capacity_.fall_multiple * able(now) * to_seconds(capacity_.fall_window);
    most_pushed_ = std::max(most_pushed_, to_seconds(sum) / most);
    if (to_seconds(sum) > most) {
      fall(now);
      return Entry::down;
    }
  }
  Job job{.work = work, .how = Ran::well, .arrived = now};
  const bool bad_now = (build_.flaw == Flaw::late && now >= started_ + build_.after) ||
                       (build_.flaw == Flaw::load && busy() > build_.busy);
  if (!work.key.empty() && marks_ && marks_->known(work.key, now))
    job.how = Ran::repeat;
  else if (uniform_sample(failing_) ||
           (build_.flaw == Flaw::errors && uniform_sample(build_.strength)) ||
           (build_.flaw == Flaw::request_class && work.request_class == build_.request_class &&
            uniform_sample(build_.strength)) ||
           (bad_now && uniform_sample(build_.failing)))
    job.how = Ran::failed;
  else if (build_.flaw == Flaw::wrong && uniform_sample(build_.strength))
    job.how = Ran::wrong;
  job.quick = job.how == Ran::repeat || job.how == Ran::failed;
  if (static_cast<int>(running_.size()) < capacity_.slots || job.quick) {
    begin(std::move(job), now);
  } else if (static_cast<int>(waiting_.size()) < capacity_.waiting_room) {
    waiting_.push_back(std::move(job));
  } else {
    return Entry::full;
  }
  return Entry::taken;
}

void Machine::begin(Job job, TimePoint now) {
  job.done = now + (job.quick ? quick_answer : times(job.work.work, slowness(now)));
  running_.push_back(std::move(job));
}

void Machine::fill(TimePoint now) {
  while (!waiting_.empty() && static_cast<int>(running_.size()) < capacity_.slots) {
    Job job = std::move(waiting_.front());
    waiting_.pop_front();
    begin(std::move(job), now);
  }
}

void Machine::called_off(std::int64_t id, bool queued, bool running, TimePoint now) {
  auto is = [id](const Job& job) { return job.work.id == id; };
  if (queued)
    waiting_.erase(std::remove_if(waiting_.begin(), waiting_.end(), is), waiting_.end());
  if (running)
    running_.erase(std::remove_if(running_.begin(), running_.end(), is), running_.end());
  fill(now);
}

std::optional<TimePoint> Machine::next_at() const {
  if (running_.empty())
    return {};
  return std::min_element(running_.begin(), running_.end(),
                          [](auto& a, auto& b) { return a.done < b.done; })
      ->done;
}

std::optional<Done> Machine::next(TimePoint now) {
  auto first = std::min_element(running_.begin(), running_.end(),
                                [](const Job& a, const Job& b) { return a.done < b.done; });
  if (first == running_.end() || first->done > now)
    return {};
  Job job = std::move(*first);
  running_.erase(first);
  Done done{job.work.id, job.how, false};
  // The mark is set in the moment of the effect: of two that ran side by side the second changes
  // nothing.
  if (job.work.effect && (job.how == Ran::well || job.how == Ran::wrong)) {
    if (!job.work.key.empty() && marks_ && marks_->known(job.work.key, job.arrived)) {
      done.how = Ran::repeat;
    } else {
      done.effect = true;
      if (!job.work.key.empty() && marks_)
        marks_->done(job.work.key, now);
    }
  }
  fill(job.done);
  return done;
}

const char* to_string(Ran how) {
  static const char* const words[] = {"well", "failed", "wrong", "repeat"};
  return words[static_cast<int>(how)];
}

}  // namespace robinhoist::machine
