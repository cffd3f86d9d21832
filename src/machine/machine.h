/// Model of one server machine, used in simulated and in real time.
///
/// It models cores, slots, a queue, the warm-up after a start, the collapse of a cold machine under
/// overload, and the flaws that a build can have. Free of I/O and clocks: the host passes in
/// arrivals and the current time, and fetches completed work.
#pragma once
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::machine {

struct Capacity {
  int cores = 2;
  int slots = 16;           // requests that run at once
  int queue_capacity = 64;  // further requests wait; those beyond are rejected unprocessed
  double speed = 1;         // of a core, relative to a standard core
  double contention = 0;    // growth of the work, by each running request beyond twice the cores
  double initial_warm_up_factor = 0.3;  // of the warm capacity, at the start
  Duration warm_up_time{};              // until it is warm; the capacity rises linearly
  // A cold machine collapses, for good, when the work sent to it in the window exceeds this
  // multiple of its capacity. Window 0: it never does.
  double collapse_multiple = 4;
  Duration collapse_window{};
};

enum class Flaw { none, errors, slow, request_class, load, late, wrong, shared };

struct Build {
  int number = 0;
  double speed = 1;  // relative to the first build
  Flaw flaw = Flaw::none;
  double severity = 0;          // share of requests that fail or get wrong answers; for slow, load,
                                // late and shared: factor on the work
  double failure_share = 0;     // load and late: share of requests that fail while the flaw acts
  int request_class = -1;       // flaw request_class: the one that it affects
  Duration flaw_delay{};        // late: time from the machine's start until the flaw acts
  double flaw_utilization = 0;  // load: the flaw acts above this share of busy cores
};

struct Work {
  std::int64_t id = 0;
  int request_class = 0;
  Duration work{};    // time on one standard core
  std::string key{};  // idempotency key; empty: none
  bool has_effect = false;
};

enum class Admission { accepted, full, collapsed };
/// Work that a server drops when its client has disconnected.
enum class CancellationMode { nothing, queued, all };
enum class WorkResult { ok, failed, wrong, duplicate };
const char* to_string(WorkResult result);

struct CompletedWork {
  std::int64_t id;
  WorkResult result;
  bool changed_data;  // by this run
};

/// Idempotency keys of completed work, shared by a group of machines. Work that arrives within the
/// window after its key was completed is a duplicate, however long it then waits in the queue.
class DedupStore {
 public:
  explicit DedupStore(Duration window) : window_(window) {}
  bool contains(const std::string& key, TimePoint arrived_at);
  void insert(const std::string& key, TimePoint now);

 private:
  static constexpr Duration max_queue_time = std::chrono::seconds(60);
  Duration window_;
  std::unordered_map<std::string, TimePoint> completed_at_{};
  std::deque<std::pair<TimePoint, std::string>> order_{};
};

/// Slowdown of all machines by a build with the flaw `shared`; grows with that build's traffic.
struct SharedSlowdown {
  double factor = 1;
};

class Machine {
 public:
  Machine(const Capacity& capacity, const Build& build, unsigned salt, TimePoint started,
          DedupStore* completed_keys, const SharedSlowdown* shared_slowdown = nullptr);

  Admission arrive(const Work& work, TimePoint now);
  /// The client has disconnected. Drops the work if it is queued and `queued` is set, or if it runs
  /// and `running` is set.
  void cancel(std::int64_t id, bool queued, bool running, TimePoint now);
  /// Returns the work that is completed by now, one item a call.
  std::optional<CompletedWork> next_completed(TimePoint now);
  std::optional<TimePoint> next_completion_at() const;

  // Injected faults.
  void set_slowdown(double factor) { slowdown_ = factor; }  // 1: none
  /// Share of requests that fail at once.
  void set_failure_share(double share) { failure_share_ = share; }
  /// Share of the cores that another program uses.
  void set_stolen_core_share(double share) { stolen_core_share_ = share; }
  void collapse(TimePoint now);

  double warm_up_factor(TimePoint now) const;
  bool has_collapsed() const { return collapsed_; }
  int in_flight() const { return static_cast<int>(running_.size() + queue_.size()); }
  int queued() const { return static_cast<int>(queue_.size()); }
  double utilization() const;
  /// Present capacity, in standard cores.
  double available_cores(TimePoint now) const;
  const Build& build() const { return build_; }
  TimePoint started() const { return started_; }
  /// Largest load in a collapse window while cold, relative to the load that makes it collapse.
  double max_cold_load() const { return max_cold_load_; }

 private:
  struct Job {
    Work work;
    WorkResult result;
    TimePoint arrived_at{}, done_at{};
    bool quick = false;
  };
  bool draw(double probability);
  void start(Job job, TimePoint now);
  void start_queued(TimePoint now);
  double slowdown_factor(TimePoint now) const;

  Capacity capacity_;
  Build build_;
  std::minstd_rand random_;
  TimePoint started_;
  DedupStore* completed_keys_;
  const SharedSlowdown* shared_slowdown_;
  std::vector<Job> running_{};
  std::deque<Job> queue_{};
  std::deque<std::pair<TimePoint, Duration>> cold_arrivals_{};  // time and work
  double slowdown_ = 1, failure_share_ = 0, stolen_core_share_ = 0, max_cold_load_ = 0;
  bool collapsed_ = false;
};

}  // namespace robinhoist::machine
