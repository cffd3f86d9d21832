/// The release that the simulated platform announces in a run of the soak.
#pragma once
#include <functional>
#include <string>

#include "http/server.h"
#include "net/loop.h"
#include "observer.h"
#include "plan.h"
#include "policy/release.h"

namespace robinhoist::soak {

/// Without a canary in the plan, build 1 is released. With one, build 2 goes through two stages and
/// is rolled back after a vote in the second. Shared by the services at all addresses.
class Release {
 public:
  /// Writes a line to all open watches. Returns whether there was one.
  using WriteLine = std::function<bool(const std::string& line)>;
  Release(net::Loop& loop, const Plan& plan, Observer& observer, WriteLine write_line);
  ~Release();
  Release(const Release&) = delete;
  Release& operator=(const Release&) = delete;

  /// Schedules the stages relative to the start of the traffic.
  void start(TimePoint traffic_start);
  /// The state as last announced, as an object of the platform's protocol.
  std::string announced_json() const { return to_json(announced_); }
  /// The same as a line of the watch.
  std::string news_line() const;
  /// Records that the announced state was sent to the proxy.
  void record_news_sent() const { observer_.release_sent(announced_.update); }
  /// Counts a vote and answers it later, with the state of now.
  void answer_vote(const http::ExchangePtr& exchange);

 private:
  struct State {
    ReleaseUpdate update{};
    TimePoint began{};
  };
  std::string to_json(const State& state) const;
  void enter(int stage, ReleasePhase phase, double cap, Duration news_delay);
  void begin_second_stage();
  void roll_back();
  void announce() const;
  void repeat_news();
  void report_wrong_answers();

  net::Loop& loop_;
  net::Timers timers_;
  const Plan& plan_;
  Observer& observer_;
  WriteLine write_line_;
  State state_;
  State announced_;
};

}  // namespace robinhoist::soak
