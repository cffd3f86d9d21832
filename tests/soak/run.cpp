#include "run.h"

#include <sys/wait.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <numeric>

#include "../child_process.h"
#include "../platform_fixture.h"
#include "audit/audit.h"
#include "clients.h"
#include "endpoints.h"
#include "faults/fault_proxy.h"
#include "faults/floods.h"
#include "http/connection_pool.h"
#include "http/status.h"
#include "observer.h"
#include "plan.h"
#include "services.h"
#include "unsound_clients.h"

namespace robinhoist::soak {
namespace {

using namespace std::chrono_literals;

// The platform sends no SIGHUP in the first second of a process.
constexpr Duration min_start_time = 1100ms;
constexpr Duration max_start_time = 30s;
constexpr Duration exit_check_interval = 5ms;
constexpr Duration readiness_interval = 10ms;
constexpr int bad_client_count = 300;  // more than the 256 descriptors of the configuration
constexpr int max_descriptors = 256;
// With the usual clients no more than the descriptors for clients.
constexpr int partial_request_count = 60;
constexpr int usual_memory_mb = 64;
// Less than the partial requests together.
constexpr int small_memory_mb = 4;
constexpr Duration memory_check_interval = 10ms;
// Of split links.
constexpr std::size_t max_piece = 61;
constexpr Duration piece_interval = 1ms;
constexpr long kib_per_mib = 1024;

class Run {
 public:
  Run(long seed, std::string folder)
      : folder_(std::move(folder)),
        plan_(draw_plan(seed)),
        observer_(loop_, folder_, seed),
        endpoints_(loop_, plan_, observer_),
        list_(observer_),
        release_(loop_, plan_, observer_,
                 [this](const std::string& line) { return write_release_watches(line); }),
        bad_clients_(loop_, port_, observer_, plan_.seed + 2),
        unsound_clients_(loop_, port_, observer_, plan_.seed + 3) {
    for (std::size_t i = 0; i < endpoints_.count(); ++i)
      list_.add({.name = endpoints_.name(i),
                 .address = "127.0.0.1:" + std::to_string(reachable_port(i)),
                 .zone = "here",
                 .build = endpoints_.build(i)});
    add_services();
    write_config(whole_config());
  }

  RunResult execute() {
    proxy_ = std::make_unique<tests::ChildProcess>(
        tests::Words{"platform", "--config", config_file()}, folder_ + "/proxy.log",
        static_cast<rlim_t>(max_descriptors));
    observer_.proxy_started();
    const TimePoint started = loop_.now();
    when_ready([this, started] { start_traffic(std::max(loop_.now(), started + min_start_time)); });
    start_limit_ = loop_.in(max_start_time, [this] {
      observer_.add_breach("the program was not ready after 30 s");
      loop_.stop();
    });
    loop_.run();
    return finish();
  }

 private:
  // The port at which the program reaches an endpoint.
  int reachable_port(std::size_t endpoint) {
    if (!plan_.has_split_links)
      return endpoints_.port(endpoint);
    endpoint_links_.push_back(std::make_unique<faults::FaultProxy>(
        loop_, endpoints_.port(endpoint),
        faults::LinkFaults{.max_piece = max_piece, .piece_interval = piece_interval}));
    return endpoint_links_.back()->port();
  }

  std::string config_file() const { return folder_ + "/config.json"; }

  void add_services() { services_.push_back(std::make_unique<Services>(loop_, list_, release_)); }

  std::string whole_config() const {
    const std::string address = services_.back()->address();
    std::string text = tests::replace_once(tests::config_text(), "127.0.0.1:0",
                                           "127.0.0.1:" + std::to_string(port_));
    text = tests::replace_once(text, "127.0.0.1:1", address);
    text = tests::replace_once(text, R"("memory_mb": 64)",
                               R"("memory_mb": )" + std::to_string(memory_mb()));
    text = tests::replace_once(text, "127.0.0.1:1", address);
    return plan_.canary ? with_canary(text) : text;
  }

  // The release is rolled back by two votes of three, whose answers may take 1.2 s.
  std::string with_canary(std::string text) const {
    const std::size_t news = text.find(R"("news": )") + std::string_view(R"("news": )").size();
    text.replace(news, text.find('}', news) + 1 - news, release_.announced_json());
    text = tests::replace_once(text, R"("balancers": 1)", R"("balancers": 3)");
    text = tests::replace_once(text, R"("call_timeout_ms": 200.0)", R"("call_timeout_ms": 1200.0)");
    return tests::replace_once(text, R"("votes_to_revert": 1)", R"("votes_to_revert": 2)");
  }

  bool write_release_watches(const std::string& line) {
    bool any = false;
    for (const auto& services : services_)
      any = services->write_release_watches(line) || any;
    return any;
  }

  int memory_mb() const { return plan_.partial_requests_at ? small_memory_mb : usual_memory_mb; }

  void write_config(const std::string& text) const {
    std::ofstream(config_file() + ".new") << text;
    std::filesystem::rename(config_file() + ".new", config_file());
  }

  void when_ready(const std::function<void()>& task) {
    http::Request request;
    request.target = "/up";
    readiness_.call(
        request, 100ms, [this, task](http::CallResult result, const http::Response& response) {
          if (result == http::CallResult::answered && response.status == http::status_ok)
            task();
          else
            timers_.in(readiness_interval, [this, task] { when_ready(task); });
        });
  }

  void start_traffic(TimePoint start) {
    loop_.cancel(start_limit_);
    for (int i = 0; i < plan_.clients; ++i)
      timers_.at(start, [this, start, i] {
        clients_.push_back(std::make_unique<Client>(
            loop_, port_, plan_, observer_, start, static_cast<std::uint32_t>(i),
            [this](const std::string& bytes) { repeat_request(bytes); }));
      });
    for (const SignalEvent& signal : plan_.signals)
      timers_.at(start + signal.at, [this, &signal] { send_signal(signal); });
    for (const DrainEvent& drain : plan_.drains)
      timers_.at(start + drain.at, [this, drain] { begin_drain(drain.endpoint); });
    for (const Duration reset : plan_.resets)
      timers_.at(start + reset, [this] { endpoints_.reset_some(); });
    for (const Duration close : plan_.idle_closes)
      timers_.at(start + close, [this] { endpoints_.close_some_idle(); });
    if (plan_.list_stall) {
      timers_.at(start + *plan_.list_stall, [this] { services_.back()->stall_list_watches(); });
      timers_.at(start + *plan_.list_stall + max_change_delay, [this] { list_.record_sent(true); });
    }
    if (plan_.bad_clients_at)
      timers_.at(start + *plan_.bad_clients_at, [this] { bad_clients_.connect(bad_client_count); });
    if (plan_.partial_requests_at)
      timers_.at(start + *plan_.partial_requests_at,
                 [this] { bad_clients_.send_large_partial_requests(partial_request_count); });
    if (plan_.has_unsound_clients)
      timers_.at(start, [this] { unsound_clients_.start(); });
    if (plan_.flood)
      timers_.at(start + *plan_.flood_at, [this] {
        flooder_ = std::make_unique<faults::Flooder>(port_, faults::floods()[*plan_.flood].next);
      });
    release_.start(start);
    watch_memory();
    terminate_at_ = start + plan_.terminate;
    timers_.at(start + plan_.kill, [this] { kill_proxy(); });
    watch_for_exit();
  }

  // Another client sends the request of one that has left.
  void repeat_request(const std::string& bytes) {
    if (plan_.has_unsound_clients)
      unsound_clients_.repeat(bytes);
  }

  void send_signal(const SignalEvent& signal) {
    if (signal.config == ConfigChange::move) {
      services_.back()->shut_down();
      add_services();
      write_config(whole_config());
    } else if (signal.config == ConfigChange::unreadable) {
      write_config(whole_config().substr(0, 200));
    }
    if (proxy_->pid > 0)
      ::kill(proxy_->pid, signal.number);
  }

  void begin_drain(std::size_t endpoint) {
    list_.set_draining(endpoint);
    for (const auto& services : services_)
      services->push_change();
  }

  void watch_memory() {
    const long used_kb = proxy_->pid > 0 ? tests::anonymous_memory_kb(proxy_->pid) : 0;
    if (used_kb > memory_mb() * kib_per_mib) {
      observer_.add_breach("the program holds " + std::to_string(used_kb) + " KiB of " +
                           std::to_string(memory_mb()) + " MiB");
      return;
    }
    timers_.in(memory_check_interval, [this] { watch_memory(); });
  }

  void watch_for_exit() {
    int status = 0;
    if (::waitpid(proxy_->pid, &status, WNOHANG) != proxy_->pid) {
      timers_.in(exit_check_interval, [this] { watch_for_exit(); });
      return;
    }
    proxy_->pid = 0;
    observer_.proxy_ended();
    exited_before_kill_ = true;
    if (loop_.now() < terminate_at_)
      observer_.add_breach("the program ended before SIGTERM");
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
      observer_.add_breach("the program ended with wait status " + std::to_string(status));
  }

  void kill_proxy() {
    for (const auto& client : clients_)
      client->check_no_open_request();
    if (!exited_before_kill_) {
      proxy_->end(SIGKILL);
      observer_.proxy_ended();
    }
    loop_.stop();
  }

  RunResult finish() {
    observer_.flush();
    if (observer_.outcome_counts().count("settled") == 0)
      observer_.add_breach("no request succeeded");
    RunResult result{.description = plan_.describe(),
                     .outcome_counts = observer_.outcome_counts(),
                     .breaches = observer_.breaches(),
                     .exited_before_kill = exited_before_kill_,
                     .longest_stall = observer_.stalls().longest()};
    const audit::Report report = audit::audit(folder_);
    for (const audit::RuleReport& rule : report.rules)
      if (!rule.passed())
        result.breaches.push_back(std::string(rule.name) + ": broken " +
                                  std::to_string(rule.violations) +
                                  " times, first: " + rule.first_violation);
    return result;
  }

  std::string folder_;
  Plan plan_;
  net::Loop loop_{net::steady_now()};
  net::Timers timers_{loop_};
  const int port_ = tests::free_port();
  http::ConnectionPool readiness_{
      loop_, Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(port_)), {}};
  Observer observer_;
  Endpoints endpoints_;
  EndpointList list_;
  Release release_;
  std::vector<std::unique_ptr<Services>> services_{};
  std::vector<std::unique_ptr<Client>> clients_{};
  BadClients bad_clients_;
  UnsoundClients unsound_clients_;
  std::unique_ptr<faults::Flooder> flooder_{};
  std::vector<std::unique_ptr<faults::FaultProxy>> endpoint_links_{};
  std::unique_ptr<tests::ChildProcess> proxy_{};
  net::Loop::Timer start_limit_ = net::Loop::no_timer;
  TimePoint terminate_at_{};
  bool exited_before_kill_ = false;
};

}  // namespace

int RunResult::requests() const {
  return std::accumulate(outcome_counts.begin(), outcome_counts.end(), 0,
                         [](int sum, const auto& end) { return sum + end.second; });
}

RunResult execute_run(long seed, const std::string& folder) {
  std::filesystem::create_directories(folder);
  return Run(seed, folder).execute();
}

}  // namespace robinhoist::soak
