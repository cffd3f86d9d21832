/// A controller on loopback for tests of its API, with functions that send requests and open
/// watches.
#pragma once
#include <Poco/Net/StreamSocket.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>

#include "controller/controller.h"
#include "controller/process.h"
#include "http/stream_client.h"

namespace robinhoist::tests {

/// The response to a request; its status is 0 if there was none.
struct Answer {
  int status = 0;
  std::string text{};
  std::string body{};

  std::string header(const std::string& name) const {
    const std::string line_start = "\r\n" + name + ": ";
    const std::size_t at = text.find(line_start);
    if (at == std::string::npos)
      return "";
    const std::size_t begin = at + line_start.size();
    return text.substr(begin, text.find("\r\n", begin) - begin);
  }
};

/// What a watch has received.
struct WatchRecord {
  std::unique_ptr<http::StreamClient> client{};
  std::string received{};
  int status = -1;  // the HTTP status, set when the watch has ended
  std::string last_body{};
};

/// A controller with four slots whose machines start and stop as commanded, on its own loop. It can
/// be restarted on the same port and journal.
class ApiServerFixture {
 public:
  ApiServerFixture() {
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
  }
  ~ApiServerFixture() {
    loop_.call([&] {
      watches_.clear();
      controller_.reset();
    });
    loop_.quit();
    thread_.join();
    std::filesystem::remove_all(folder_);
  }
  ApiServerFixture(const ApiServerFixture&) = delete;
  ApiServerFixture& operator=(const ApiServerFixture&) = delete;

  net::Loop& loop() { return loop_; }
  /// Adds settings of the controller. Must be called before start().
  void set_extra_settings(const std::string& text) { extra_settings_ = text; }
  /// Sets a hook that is called on the loop's thread after each change is written to disk.
  void set_persisted_hook(std::function<void()> hook) { persisted_hook_ = std::move(hook); }

  void start() {
    loop_.call([this] { start_on_loop(); });
  }
  void restart() {
    loop_.call([this] { restart_on_loop(); });
  }
  void restart_on_loop() {
    controller_.reset();
    start_on_loop();
  }

  Poco::Net::StreamSocket connect() const { return Poco::Net::StreamSocket(address()); }

  /// Sends a request on a new connection. `headers` consists of complete header lines.
  Answer request(const std::string& method, const std::string& path, const std::string& body = "",
                 const std::string& headers = "") const {
    Answer answer;
    const bool has_type = headers.find("Content-Type") != std::string::npos;
    const std::string type = has_type || body.empty() ? "" : "Content-Type: application/json\r\n";
    const std::string text = method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
                             type + headers + "Content-Length: " + std::to_string(body.size()) +
                             "\r\n\r\n" + body;
    try {
      Poco::Net::StreamSocket socket = connect();
      socket.setReceiveTimeout(Poco::Timespan(5, 0));
      socket.sendBytes(text.data(), static_cast<int>(text.size()));
      char buffer[65536];
      for (int count; (count = socket.receiveBytes(buffer, sizeof buffer)) > 0;)
        answer.text.append(buffer, static_cast<std::size_t>(count));
    } catch (const Poco::Exception&) {
      return answer;
    }
    const std::size_t head_end = answer.text.find("\r\n\r\n");
    if (head_end == std::string::npos)
      return answer;
    const std::size_t status_begin = std::string_view("HTTP/1.1 ").size();
    answer.status = std::atoi(answer.text.c_str() + status_begin);
    answer.body = answer.text.substr(head_end + 4);
    return answer;
  }

  /// Opens a watch that later calls refer to by `name`.
  void open_watch(const std::string& name, const std::string& path, const std::string& token = "") {
    loop_.call([&] {
      auto watch = std::make_unique<WatchRecord>();
      WatchRecord* record = watch.get();
      watch->client = std::make_unique<http::StreamClient>(loop_, address(), http::MessageLimits{});
      http::Request request;
      request.target = path;
      if (!token.empty())
        request.headers.add("Authorization", "Bearer " + token);
      const Duration timeout = std::chrono::seconds(10);
      watch->client->start(
          request, {timeout, timeout},
          [record](std::string& body) {
            record->received += body;
            body.clear();
            return true;
          },
          [record](int status, const std::string& body) {
            record->status = status;
            record->last_body = body;
          });
      watches_[name] = std::move(watch);
    });
  }
  void close_watch(const std::string& name) {
    loop_.call([&] { watches_.erase(name); });
  }
  /// A copy of the text that a watch has received.
  std::string received(const std::string& name) {
    std::string text;
    loop_.call([&] { text = watches_.at(name)->received; });
    return text;
  }
  int watch_status(const std::string& name) {
    int status = 0;
    loop_.call([&] { status = watches_.at(name)->status; });
    return status;
  }
  std::string watch_last_body(const std::string& name) {
    std::string body;
    loop_.call([&] { body = watches_.at(name)->last_body; });
    return body;
  }

 private:
  static constexpr const char* deployment = R"((deployment (zones here) (umpires 2)
  (product look (match GET /look) (sla 100ms) (expiry 300ms) (effect inquiry))
  (rules (drain-grace 50ms) (cold-from 0.3) (cold-for 1s) (fall-multiple 4) (fall-window 1s) (exposure-window 1s)
         (exposure-free 1))
  (rollout (waves 0.5 1) (caps 0.3 1) (gate clock) (bake 50ms) (step 60s) (settle 10ms) (drain 50ms) (vote-life 4s)
           (hold-share 0.5) (back-share 0.5) (votes-per-s 100))))";

  Poco::Net::SocketAddress address() const {
    return {"127.0.0.1", static_cast<Poco::UInt16>(port_)};
  }

  controller::Settings read_settings() const {
    const std::string journal = (folder_ / "journal").string();
    const std::string text =
        std::string(deployment) + "(controller (listen 127.0.0.1:" + std::to_string(port_) +
        ") (places 4) (build 1) (journal \"" + journal + "\")" + extra_settings_ + ")";
    controller::Settings settings = controller::read(settings::SexpReader::from_text(text, "test"));
    settings.on_persisted = persisted_hook_;
    return settings;
  }

  void start_on_loop() {
    controller::ControllerCallbacks callbacks;
    callbacks.execute = [this](const rollout::Command& command) { execute(command); };
    controller_ = std::make_unique<controller::Controller>(loop_, read_settings(), log_, callbacks);
    port_ = controller_->port();
  }

  void execute(const rollout::Command& command) {
    if (command.kind == rollout::CommandKind::drain)
      return;
    loop_.in(std::chrono::milliseconds(1), [this, command] {
      if (!controller_)
        return;
      if (command.kind == rollout::CommandKind::start)
        controller_->rollout().machine_started(command.machine, loop_.now());
      else
        controller_->rollout().machine_stopped(command.machine, loop_.now());
      controller_->decide();
    });
  }

  std::filesystem::path folder_ =
      std::filesystem::temp_directory_path() / ("robinhoist-api-" + std::to_string(::getpid()));
  net::Loop loop_{net::steady_now()};
  std::thread thread_{[this] { loop_.run(); }};
  log::Logger log_{"test", "off"};
  std::string extra_settings_{};
  std::function<void()> persisted_hook_{};
  std::unique_ptr<controller::Controller> controller_{};
  std::map<std::string, std::unique_ptr<WatchRecord>> watches_{};
  int port_ = 0;
};

}  // namespace robinhoist::tests
