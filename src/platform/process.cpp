#include "platform/process.h"

#include <malloc.h>

#include <chrono>
#include <csignal>
#include <memory>

#include "net/signals.h"
#include "platform/discovery.h"
#include "platform/protocol.h"
#include "platform/release_api.h"
#include "platform/router_settings.h"

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

// New connections may still arrive for this long after SIGTERM.
constexpr Duration shutdown_grace = 600ms;
constexpr Duration statistics_interval = 5s;
constexpr std::size_t kibibyte = 1024;

// The process has one thread and little memory: it uses one arena and returns free memory to the
// system early.
void limit_allocator() {
  constexpr int trim_threshold = 512 * 1024;
  constexpr int mmap_threshold = 32 * 1024;  // larger blocks are returned as soon as they are freed
  mallopt(M_ARENA_MAX, 1);
  mallopt(M_TRIM_THRESHOLD, trim_threshold);
  mallopt(M_MMAP_THRESHOLD, mmap_threshold);
}

// The components of the process and the connections between them.
class Process {
 public:
  explicit Process(const std::string& config_file);
  int run();

 private:
  void on_signal(int signal);
  void reload();
  void shut_down();
  void log_start() const;
  void log_statistics(const char* message) const;
  void log_connections() const;
  void log_attempts() const;
  void log_memory() const;
  void log_statistics_periodically();

  std::string config_file_;
  Config config_;
  log::Logger log_;
  net::Loop loop_;
  Discovery endpoints_;
  ReleaseApi releases_;
  PlatformProtocol protocol_;
  proxy::Router router_;
  net::Signals signals_;
  bool stopping_ = false;
};

Process::Process(const std::string& config_file)
    : config_file_(config_file),
      config_(read_config(config_file)),
      log_(config_.name, "info"),
      loop_(net::steady_now()),
      endpoints_(loop_, config_.discovery, config_.known_endpoints.version,
                 Discovery::watch_settings(config_.seed + 1), log_),
      releases_(loop_, config_.release_api, config_.known_release,
                config_.module_settings.analysis.call_timeout, config_.seed + 2, log_),
      protocol_(config_.module_settings),
      router_(loop_, router_settings(config_), config_.module_settings, protocol_, log_, endpoints_,
              releases_),
      signals_(loop_, {SIGTERM, SIGINT, SIGHUP}, [this](int signal) { on_signal(signal); }) {
  releases_.on_wrong_answer([this](const std::string& endpoint, Duration ago) {
    router_.report_wrong_answer(endpoint, ago);
  });
}

void Process::on_signal(int signal) {
  if (signal == SIGHUP)
    reload();
  else
    shut_down();
}

void Process::reload() {
  try {
    const Config config = read_config(config_file_);
    endpoints_.set_address(config.discovery);
    releases_.set_address(config.release_api);
    log_.info("configuration reloaded",
              {{"discovery", config.discovery}, {"release_api", config.release_api}});
  } catch (const json::DecodeError& error) {
    log_.warn("configuration not reloaded: nothing changes", {{"reason", error.what()}});
  }
}

void Process::shut_down() {
  if (stopping_)
    return;
  stopping_ = true;
  router_.begin_shutdown();
  loop_.in(shutdown_grace, [this] { router_.drain([this] { loop_.quit(); }); });
}

int Process::run() {
  router_.start();
  router_.use_cached_endpoints(config_.known_endpoints);
  log_start();
  loop_.in(statistics_interval, [this] { log_statistics_periodically(); });
  loop_.run();
  log_connections();
  log_attempts();
  log_memory();
  log_statistics("stopped");
  return 0;
}

void Process::log_start() const {
  log_.info("serving", {{"listen", config_.listen},
                        {"endpoints_known", log::text(config_.known_endpoints.entries.size())},
                        {"sockets", log::text(config_.limits.sockets)},
                        {"memory_mb", log::text(config_.limits.memory_mb)},
                        {"cores", log::text(config_.limits.cores)}});
}

void Process::log_statistics(const char* message) const {
  const proxy::ProxyCounters& counters = router_.counters();
  log_.info(message,
            {{"accepted", log::text(counters.accepted)},
             {"rejected_before_routing", log::text(counters.rejected_before_routing)},
             {"dropped", log::text(counters.dropped)},
             {"succeeded", log::text(counters.succeeded)},
             {"late", log::text(counters.late)},
             {"rejected", log::text(counters.rejected)},
             {"failed", log::text(counters.failed)},
             {"client_disconnected", log::text(counters.client_disconnected)},
             {"attempts", log::text(counters.attempts)},
             {"release_updates_ignored", log::text(releases_.ignored())},
             {"wrong_answer_reports", log::text(counters.wrong_answer_reports)},
             {"outdated_wrong_answer_reports", log::text(counters.outdated_wrong_answer_reports)},
             {"open", log::text(router_.open_requests())},
             {"clients", log::text(router_.clients())},
             {"timer_late_us_p99", log::text(loop_.lateness(0.99).value_or(0))}});
}

void Process::log_connections() const {
  const http::ServerCounters& counters = router_.server_counters();
  log_.info("connections", {{"accepted", log::text(counters.accepted)},
                            {"refused", log::text(counters.refused)},
                            {"deferrals", log::text(counters.deferrals)},
                            {"closed_idle", log::text(counters.closed_idle)},
                            {"lost_with_request", log::text(counters.lost_with_request)},
                            {"pipelines_dropped", log::text(counters.pipelines_dropped)},
                            {"invalid_requests", log::text(counters.invalid_requests)},
                            {"timed_out_requests", log::text(counters.timed_out_requests)},
                            {"shed_requests", log::text(counters.shed_requests)}});
}

void Process::log_attempts() const {
  const proxy::ProxyCounters& counters = router_.counters();
  const auto ended = [&](Outcome outcome) {
    return log::text(counters.attempts_by_outcome.at(static_cast<std::size_t>(outcome)));
  };
  log_.info("attempts", {{"begun", log::text(counters.attempts)},
                         {"retries_and_hedges", log::text(counters.further_attempts)},
                         {"ok", ended(Outcome::ok)},
                         {"error", ended(Outcome::error)},
                         {"rejected", ended(Outcome::rejected)},
                         {"timeout", ended(Outcome::timeout)},
                         {"connect_failure", ended(Outcome::connect_failure)},
                         {"reset", ended(Outcome::reset)},
                         {"cancelled", ended(Outcome::cancelled)},
                         {"not_sent", ended(Outcome::obsolete)}});
}

void Process::log_memory() const {
  const http::MemoryBudget& memory = router_.memory();
  const auto used_kb = [&](http::MemoryUse use) { return log::text(memory.used(use) / kibibyte); };
  const auto heap = ::mallinfo2();
  log_.info("memory", {{"limit_kb", log::text(memory.limit() / kibibyte)},
                       {"used_kb", log::text(memory.used() / kibibyte)},
                       {"peak_kb", log::text(memory.peak() / kibibyte)},
                       {"partial_requests_kb", used_kb(http::MemoryUse::partial_request)},
                       {"open_requests_kb", used_kb(http::MemoryUse::open_request)},
                       {"attempts_kb", used_kb(http::MemoryUse::attempt)},
                       {"unread_responses_kb", used_kb(http::MemoryUse::unread_response)},
                       {"releases", log::text(memory.releases())},
                       {"rejections", log::text(memory.rejections())},
                       {"heap_used_kb", log::text((heap.uordblks + heap.hblkhd) / kibibyte)},
                       {"heap_free_kb", log::text(heap.fordblks / kibibyte)}});
}

void Process::log_statistics_periodically() {
  log_statistics("statistics");
  log_connections();
  log_attempts();
  log_memory();
  loop_.in(statistics_interval, [this] { log_statistics_periodically(); });
}

}  // namespace

int run(const std::string& config_file) {
  limit_allocator();
  std::signal(SIGPIPE, SIG_IGN);
  Process process(config_file);
  return process.run();
}

}  // namespace robinhoist::platform
