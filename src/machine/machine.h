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
  int slots = 16;         // requests in work at once
  int waiting_room = 64;  // further ones wait; beyond that they are turned away unseen
  double speed = 1;       // work done in a second by one core, in seconds of a standard core
  double crowding = 0;    // work grows by this part for each request in work beyond twice the cores
  double cold_from = 0.3;    // of the capacity, at its start
  Duration cold_for{};       // until it is warm; rises evenly
  double fall_multiple = 4;  // sent so many times what it can do,
  Duration fall_window{};    // for so long while cold, it falls over for good; 0: never
};

enum class Flaw { none, errors, slow, request_class, load, late, wrong, shared };

struct Build {
  int number = 0;
  double speed = 1;  // against the first build
  Flaw flaw = Flaw::none;
  double strength = 0;     // share of requests that fail or are wrong; for slow, load, late and
                           // shared: times the work
  double failing = 0;      // load and late: the share that fails meanwhile
  int request_class = -1;  // for request class
  Duration after{};        // late: from so long after the machine's start
  double busy = 0;         // load: while over this part of its cores is busy
};

struct Work {
  std::int64_t id = 0;
  int request_class = 0;
  Duration work{};    // on one standard core
  std::string key{};  // against repeats; empty: none
  bool effect = false;
};

enum class Entry { taken, full, down };
// What a server stops when its client has left.
enum class Cancelled { nothing, queued, all };
enum class Ran { well, failed, wrong, repeat };
const char* to_string(Ran how);

struct Done {
  std::int64_t id;
  Ran how;
  bool effect;  // whether it changed data now
};

// The marks that a group of machines keeps of keyed work done, against repeats: what reaches one of
// them within the memory of a mark is a repeat, however long it then waits for its turn.
class Marks {
 public:
  explicit Marks(Duration memory) : memory_(memory) {}
  bool known(const std::string& key, TimePoint arrived);
  void done(const std::string& key, TimePoint now);

 private:
  static constexpr Duration waits_most = std::chrono::seconds(60);
  Duration memory_;
  std::unordered_map<std::string, TimePoint> at_{};
  std::deque<std::pair<TimePoint, std::string>> order_{};
};

// How much a build that harms all machines slows them, by the traffic that it gets.
struct SharedHarm {
  double factor = 1;
};

class Machine {
 public:
  Machine(const Capacity& capacity, const Build& build, unsigned salt, TimePoint started,
          Marks* marks, const SharedHarm* harm = nullptr);

  Entry arrive(const Work& work, TimePoint now);
  // The client no longer waits. Waiting work is dropped when `queued`, running work when `running`.
  void called_off(std::int64_t id, bool queued, bool running, TimePoint now);
  // What is done by now, one by one.
  std::optional<Done> next(TimePoint now);
  std::optional<TimePoint> next_at() const;

  // Troubles from outside.
  void slowed(double times) { slowed_ = times; }        // 1: none
  void failing(double share) { failing_ = share; }      // fails at once
  void neighbour(double share) { neighbour_ = share; }  // of the cores taken by another program
  void fall(TimePoint now);

  double warmth(TimePoint now) const;
  bool fallen() const { return fallen_; }
  int held() const { return static_cast<int>(running_.size() + waiting_.size()); }
  int waiting() const { return static_cast<int>(waiting_.size()); }
  double busy() const;
  // What it can do now, in standard cores.
  double able(TimePoint now) const;
  const Build& build() const { return build_; }
  TimePoint started() const { return started_; }
  // Work sent to it while cold over what it may be sent in a window, at most so far.
  double most_pushed() const { return most_pushed_; }

 private:
  struct Job {
    Work work;
    Ran how;
    TimePoint arrived{}, done{};
    bool quick = false;
  };
  bool uniform_sample(double share);
  void begin(Job job, TimePoint now);
  void fill(TimePoint now);
  double slowness(TimePoint now) const;

  Capacity capacity_;
  Build build_;
  std::minstd_rand random_;
  TimePoint started_;
  Marks* marks_;
  const SharedHarm* harm_;
  std::vector<Job> running_{};
  std::deque<Job> waiting_{};
  std::deque<std::pair<TimePoint, Duration>> pushed_{};  // while cold: when, and how much work
  double slowed_ = 1, failing_ = 0, neighbour_ = 0, most_pushed_ = 0;
  bool fallen_ = false;
};

}  // namespace robinhoist::machine
