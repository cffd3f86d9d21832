// The host of the release controller's core. Releases are objects (docs/releases.md, docs/api.md):
// created, read, patched, watched over HTTP; proxies follow them by a watch, say that they are
// there, and vote; orders go to whoever runs the machines. Nothing is told before it is written
// down. GET /v1 lists what can be asked for.
#pragma once
#include <functional>
#include <random>

#include "controller/tokens.h"
#include "controller/watches.h"
#include "http/server.h"
#include "journal/journal.h"
#include "limits/token_bucket.h"
#include "log/logger.h"
#include "membership/members.h"
#include "migration/runner.h"
#include "releases/catalog.h"
#include "rollout/rollout.h"
#include "time/time_types.h"

namespace robinhoist::controller {

struct Settings {
  http::ServerSettings server{};
  rollout::Settings rollout{};
  int places = 1, build = 1, proxies = 1;
  std::size_t history = 1000;  // changes kept for those that watch
  membership::Settings members{.lease = std::chrono::seconds(3),
                               .memory = std::chrono::minutes(10)};
  WatchSettings watches{};
  std::vector<Token> tokens{};
  double requests_per_s = 0;                   // of one client; 0: any number
  Duration keys_for = std::chrono::hours(24);  // Idempotency-Key of creations
  std::string journal{};                       // a file; empty: nothing outlives the process
  std::string steps_target{};                  // an address; empty: releases have no steps
  Duration lease{};
  bool throttle = true;  // backfills back off when clients fare poorly
  std::string who{"controller"};
  // Called between writing a change down and telling it, for tests that end the process there.
  std::function<void(const char* point)> point{};
};

// How the controller can fail its proxies, for trying it out.
enum class Trouble { none, silent, errors };

class Controller {
 public:
  using Told = Watches::Told;
  using Orders = std::function<void(const rollout::Order&)>;
  using Voted =
      std::function<void(const std::string& proxy, int build, int stage, Verdict, Outcome)>;

  // Orders go to `orders`; where there is none they wait to be fetched.
  Controller(net::Loop& loop, const Settings& settings, const log::Logger& log, Orders orders = {},
             Told told = {}, Voted voted = {});
  ~Controller();

  rollout::Rollout& core() { return *core_; }
  migration::Runner* runner() { return runner_.get(); }
  // Creates the release of a build and offers it; false when that is refused.
  bool offer(int build, const std::string& who);
  // To be called after anything told to the core from outside.
  void pull();
  // News is told so much later from here on; the clock stands still while silent or failing.
  void told_after(Duration lag) { lag_ = lag; }
  void trouble(Trouble trouble, double half_count);
  void break_connections() { server_->reset_connections(); }
  int port() const { return server_->port(); }

 private:
  struct Asked {  // a request, as far as routes have it read
    http::ExchangePtr exchange;
    std::string name{};  // of the object in the path
    Caller caller{};
  };
  struct Route {
    const char* method;
    const char* path;
    Role role;
    void (Controller::*does)(const Asked&);
  };
  static const std::vector<Route>& routes();
  void handle(const http::ExchangePtr& exchange);
  // Releases.
  void list_routes(const Asked& asked);
  void list(const Asked& asked);
  void create(const Asked& asked);
  void get(const Asked& asked);
  void patch(const Asked& asked);
  void remove(const Asked& asked);
  void hold(const Asked& asked) { act(asked, "hold"); }
  void resume(const Asked& asked) { act(asked, "resume"); }
  void back(const Asked& asked) { act(asked, "back"); }
  void act(const Asked& asked, const std::string& what);
  void vote(const Asked& asked);
  void watch(const Asked& asked, objects::Selector selector);
  void reply(const Asked& asked, const releases::Reply& reply);
  bool finish(const Asked& asked, releases::Reply& reply,
              std::optional<journal::RequestKey> key = {});
  // Proxies.
  void proxies(const Asked& asked);
  void heartbeat(const Asked& asked);
  void proxy_leaves(const Asked& asked);
  void client_outcomes(const Asked& asked);
  bool in_trouble(const http::ExchangePtr& exchange);
  // Steps and machines.
  void take_plan(const Asked& asked);
  void steps_status(const Asked& asked);
  void steps_verify(const Asked& asked);
  void steps_say(const Asked& asked);
  void machine(const Asked& asked);
  void orders(const Asked& asked);
  void with_steps(const Asked& asked, const std::function<void()>& does);

  bool tell_steps();
  // The objects as the rollout stands.
  void restore_objects();
  releases::Status status_of(const releases::Release& release, TimePoint now) const;
  std::vector<releases::Draft> observed(bool& urgent);
  void commit(std::vector<releases::Draft> drafts, std::optional<journal::RequestKey> key = {});
  void keep(bool all);
  void keep_soon();
  void offer_pending();
  void publish(objects::Event event);
  void look_at_members();
  std::string fresh_id();

  net::Loop& loop_;
  Settings settings_;
  const log::Logger& log_;
  std::unique_ptr<rollout::Rollout> core_;
  Orders orders_;
  Told told_;
  Voted voted_;
  std::vector<rollout::Order> untaken_{};  // for whoever fetches orders
  std::vector<rollout::Order> untold_{};   // decided, but not yet on disk
  std::size_t seen_changes_ = 0;
  std::pair<int, int> seen_stage_{-1, -1};  // build and stage
  Duration lag_{};
  TimePoint last_due_{};
  Trouble trouble_ = Trouble::none;
  double count_share_ = 0;
  std::minstd_rand random_{1};
  net::Loop::Timer look_ = net::Loop::no_timer;
  std::unique_ptr<journal::Journal> journal_{};
  std::unique_ptr<migration::Target> target_{};
  std::unique_ptr<migration::Runner> runner_{};
  std::map<std::pair<int, int>, bool> gates_{};  // by build and stage, as last told to the core
  std::string kept_{};
  std::optional<journal::StateValue> pending_state_{};  // to be written with the objects
  releases::Catalog catalog_;
  objects::Store
      told_objects_;  // as lists and watches have it: the catalog's store, later by the lag
  std::string series_{};
  membership::Members members_;
  Tokens tokens_;
  limits::TokenBucketLimiter requests_;
  std::unique_ptr<Watches> watches_{};
  net::Loop::Timer soon_ = net::Loop::no_timer, members_look_ = net::Loop::no_timer;
  net::Timers timers_;
  std::unique_ptr<http::Server> server_;
};

}  // namespace robinhoist::controller
