/// Records a history of the API: clients create, patch, delete and read releases, watches end and
/// resume, and the controller is restarted periodically after it has written a change to disk but
/// before it has published the change.
#pragma once
#include <Poco/ErrorHandler.h>

#include <atomic>
#include <exception>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "api_fixture.h"
#include "api_history.h"

namespace robinhoist::tests {

/// The length of a run: at least `min_duration`, then until the controller has restarted more than
/// `min_restarts` times, but at most `max_duration`.
struct HistoryRunLimits {
  Duration min_duration;
  int min_restarts;
  Duration max_duration;
};

class HistoryRun {
 public:
  explicit HistoryRun(const HistoryRunLimits& limits) : limits_(limits) {
    static QuietErrorHandler quiet;
    Poco::ErrorHandler::set(&quiet);
  }

  ApiHistory run() {
    server_.set_extra_settings(" (history 100000)");
    server_.set_persisted_hook([this] { crash_controller_periodically(); });
    server_.start();
    std::vector<std::thread> threads;
    for (unsigned client = 0; client < clients; ++client)
      threads.emplace_back([this, client] { run_client(client); });
    for (int watch = 0; watch < watches; ++watch)
      threads.emplace_back([this] { run_watch(); });
    wait_until_finished();
    finished_ = true;
    for (std::thread& thread : threads)
      thread.join();
    history_.restarts = restarts_;
    return history_;
  }

 private:
  static constexpr unsigned clients = 3;
  static constexpr int watches = 3;
  static constexpr int writes_per_restart = 37;

  // Thrown to stop the controller between writing and publishing a change.
  struct ControllerCrash : std::exception {};
  struct QuietErrorHandler : Poco::ErrorHandler {
    void exception(const Poco::Exception&) override {}
    void exception(const std::exception&) override {}
    void exception() override {}
  };

  // Runs on the loop's thread.
  void crash_controller_periodically() {
    if (restart_pending_ || ++writes_ % writes_per_restart != 0)
      return;
    restart_pending_ = true;
    ++restarts_;
    server_.loop().in(Duration(500), [this] {
      restart_pending_ = false;
      server_.restart_on_loop();
    });
    throw ControllerCrash();
  }

  void wait_until_finished() const {
    const auto start = std::chrono::steady_clock::now();
    const auto lasted = [&] { return std::chrono::steady_clock::now() - start; };
    std::this_thread::sleep_for(limits_.min_duration);
    while (restarts_ <= limits_.min_restarts && lasted() < limits_.max_duration)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }

  void run_client(unsigned client) {
    std::minstd_rand random(client + 5);
    for (int n = 0; !finished_; ++n) {
      const std::string write_id = std::to_string(client) + "." + std::to_string(n);
      const Operation operation = random_operation(random, write_id);
      std::lock_guard lock(mutex_);
      history_.operations.push_back(operation);
    }
  }

  Operation random_operation(std::minstd_rand& random, const std::string& write_id) {
    Operation operation;
    const unsigned builds = static_cast<unsigned>(std::max(1, newest_build_.load()));
    operation.name = "build-" + std::to_string(1 + random() % builds);
    operation.write_id = write_id;
    const unsigned kind = random() % 10;
    operation.begin = server_.loop().now();
    Answer answer;
    if (kind == 0)
      answer = create(operation);
    else if (kind < 5)
      answer = patch(operation);
    else if (kind == 5)
      answer = remove(operation);
    else
      answer = read(operation);
    operation.end = server_.loop().now();
    operation.succeeded = answer.status >= 200 && answer.status < 300;
    const std::string tag = answer.header("ETag");
    if (operation.succeeded && tag.size() > 2)
      operation.version = std::atol(tag.c_str() + 1);
    return operation;
  }

  Answer create(Operation& operation) {
    const std::string build = std::to_string(++newest_build_);
    operation.name = "build-" + build;
    operation.kind = OperationKind::write;
    return server_.request("POST", "/v1/releases",
                           R"({"metadata":{"labels":{"mark":")" + operation.write_id +
                               R"("}},"spec":{"build":)" + build + "}}");
  }
  Answer patch(Operation& operation) {
    operation.kind = OperationKind::write;
    return server_.request("PATCH", "/v1/releases/" + operation.name,
                           R"({"metadata":{"labels":{"mark":")" + operation.write_id + R"("}}})");
  }
  Answer remove(Operation& operation) {
    operation.kind = OperationKind::other;
    return server_.request("DELETE", "/v1/releases/" + operation.name);
  }
  Answer read(Operation& operation) {
    operation.kind = OperationKind::read;
    return server_.request("GET", "/v1/releases/" + operation.name);
  }

  // Each response ends after a second; the next request resumes from the last version received.
  void run_watch() {
    std::vector<WatchedChange> changes;
    std::int64_t version = 0;
    while (true) {
      const bool last = finished_;
      const Answer answer =
          server_.request("GET", "/v1/releases?watch=1&resourceVersion=" + std::to_string(version) +
                                     "&timeoutSeconds=1");
      for (const WatchedChange& change : read_changes(answer.body)) {
        changes.push_back(change);
        version = change.version;
      }
      if (last && answer.status == 200)
        break;
    }
    std::lock_guard lock(mutex_);
    history_.watches.push_back(changes);
  }

  HistoryRunLimits limits_;
  std::atomic<bool> finished_ = false;
  std::atomic<int> newest_build_ = 1;
  std::atomic<int> restarts_ = 0;
  int writes_ = 0;                // on the loop's thread
  bool restart_pending_ = false;  // on the loop's thread
  std::mutex mutex_{};
  ApiHistory history_{};
  ApiServerFixture server_{};
};

}  // namespace robinhoist::tests
