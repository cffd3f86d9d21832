// What one server machine does, in simulated or real time alike: cores, slots and a waiting room, a
// cold start, falling over when pushed, and the forms in which a build can be bad. Free of I/O and
// clocks: the host says what arrives and when it is, then pulls what is done.
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
  int slots = 16;           // requests in work at once
  int queue_capacity = 64;  // further ones wait; beyond that they are turned away unseen
  double speed = 1;         // work done in a second by one core, in seconds of a standard core
  double contention = 0;  // work grows by this part for each request in work beyond twice the cores
  double initial_warm_up_factor = 0.3;  // of the capacity, at its start
  Duration warm_up_time{};              // until it is warm; rises evenly
  double collapse_multiple = 4;         // sent so many times what it can do,
  Duration collapse_window{};           // for so long while cold, it falls over for good; 0: never
};

enum class Flaw { none, errors, slow, request_class, load, late, wrong, shared };

struct Build {
  int number = 0;
  double speed = 1;  // against the first build
  Flaw flaw = Flaw::none;
  double severity = 0;       // share of requests that fail or are wrong; for slow, load, late and
                             // shared: times the work
  double failure_share = 0;  // load and late: the share that fails meanwhile
  int request_class = -1;    // for request class
  Duration flaw_delay{};     // late: from so long after the machine's start
  double flaw_utilization = 0;  // load: while over this part of its cores is busy
};

struct Work {
  std::int64_t id = 0;
  int request_class = 0;
  Duration work{};    // on one standard core
  std::string key{};  // against repeats; empty: none
  bool has_effect = false;
};

enum class Admission { accepted, full, collapsed };
// What a server stops when its client has left.
enum class CancellationMode { nothing, queued, all };
enum class WorkResult { ok, failed, wrong, duplicate };
const char* to_string(WorkResult how);

struct CompletedWork {
  std::int64_t id;
  WorkResult result;
  bool changed_data;  // whether it changed data now
};

// The marks that a group of machines keeps of keyed work done, against repeats: what reaches one of
// them within the memory of a mark is a repeat, however long it then waits for its turn.
class DedupStore {
 public:
  explicit DedupStore(Duration memory) : window_(memory) {}
  bool contains(const std::string& key, TimePoint arrived);
  void insert(const std::string& key, TimePoint now);

 private:
  static constexpr Duration max_queue_time = std::chrono::seconds(60);
  Duration window_;
  std::unordered_map<std::string, TimePoint> completed_at_{};
  std::deque<std::pair<TimePoint, std::string>> order_{};
};

// How much a build that harms all machines slows them, by the traffic that it gets.
struct SharedSlowdown {
  double factor = 1;
};

class Machine {
 public:
  Machine(const Capacity& capacity, const Build& build, unsigned salt, TimePoint started,
          DedupStore* marks, const SharedSlowdown* harm = nullptr);

  Admission arrive(const Work& work, TimePoint now);
  // The client no longer waits. Waiting work is dropped when `queued`, running work when `running`.
  void cancel(std::int64_t id, bool queued, bool running, TimePoint now);
  // What is done by now, one by one.
  std::optional<CompletedWork> next_completed(TimePoint now);
  std::optional<TimePoint> next_completion_at() const;

  // Troubles from outside.
  void set_slowdown(double times) { slowdown_ = times; }            // 1: none
  void set_failure_share(double share) { failure_share_ = share; }  // fails at once
  void set_stolen_core_share(double share) {
    stolen_core_share_ = share;
  }  // of the cores taken by another program
  void collapse(TimePoint now);

  double warm_up_factor(TimePoint now) const;
  bool has_collapsed() const { return collapsed_; }
  int in_flight() const { return static_cast<int>(running_.size() + queue_.size()); }
  int queued() const { return static_cast<int>(queue_.size()); }
  double utilization() const;
  // What it can do now, in standard cores.
  double available_cores(TimePoint now) const;
  const Build& build() const { return build_; }
  TimePoint started() const { return started_; }
  // Work sent to it while cold over what it may be sent in a window, at most so far.
  double max_cold_load() const { return max_cold_load_; }

 private:
  struct Job {
    Work work;
    WorkResult result;
    TimePoint arrived_at{}, done_at{};
    bool quick = false;
  };
  bool draw(double share);
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
  std::deque<std::pair<TimePoint, Duration>>
      cold_arrivals_{};  // while cold: when, and how much work
  double slowdown_ = 1, failure_share_ = 0, stolen_core_share_ = 0, max_cold_load_ = 0;
  bool collapsed_ = false;
};

}  // namespace robinhoist::machine
