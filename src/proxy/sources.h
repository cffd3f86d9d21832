// Where an proxy hears of endpoints and releases. Narrow on purpose: another registry or controller
// takes the place of these by giving the same two kinds of news.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "http/connection_pool.h"
#include "http/stream_client.h"
#include "log/logger.h"
#include "registry/registry.h"
#include "releases/follower.h"
#include "retry/backoff.h"
#include "time/time_types.h"

namespace robinhoist::proxy {

class EndpointSource {
 public:
  virtual ~EndpointSource() = default;
  using Heard = std::function<void(const registry::Update&)>;
  virtual void start(Heard heard) = 0;
  virtual void refresh() = 0;  // ask for the whole list soon
};

class ReleaseSource {
 public:
  virtual ~ReleaseSource() = default;
  using Heard = std::function<void(const ReleaseUpdate&)>;
  using Answered = std::function<void(Outcome)>;
  virtual void start(Heard heard) = 0;
  // The answer may never come; then `answered` says timeout, and the vote may count.
  virtual void vote(int build, int stage, Verdict verdict, Answered answered) = 0;
  // How the proxy's requests did since its last word: all that ended, and those late, rejected or
  // failed. Steps that run beside clients back off by it.
  virtual void client_outcomes(long requests, long unsuccessful) = 0;
};

// One long poll after the other over HTTP: the service answers once there is something newer, or
// after the wait. Failures are tried again with growing pauses.
class Poll {
 public:
  using Answer = std::function<bool(const http::Response&)>;  // false: it made no sense
  Poll(net::Loop& loop, const std::string& from, unsigned salt, const log::Logger& log);
  ~Poll();
  // `target` is asked for anew before each call.
  void start(std::function<std::string()> target, Answer answer);
  void again();  // at once, dropping the call that waits
  http::ConnectionPool& caller() { return caller_; }

 private:
  void ask();
  net::Loop& loop_;
  http::ConnectionPool caller_;
  retry::Backoff backoff_;
  const log::Logger& log_;
  std::function<std::string()> target_{};
  Answer answer_{};
  http::ConnectionPool::Id call_ = 0;
  net::Loop::Timer timer_ = net::Loop::no_timer;
  bool failing_ = false;
};

class HttpEndpointSource : public EndpointSource {
 public:
  HttpEndpointSource(net::Loop& loop, const std::string& from, const std::string& proxy,
                     unsigned salt, const log::Logger& log);
  void start(Heard heard) override;
  void refresh() override;

 private:
  std::string engine_, series_{};
  std::int64_t version_ = 0;
  Poll poll_;
};

// An ordinary client of the controller's API: follows releases by a watch that it takes up again
// where it broke, says that it is there and by which cap it goes, and votes.
class WatchReleaseSource : public ReleaseSource {
 public:
  struct Settings {
    std::string from{}, proxy{}, token{};
    Duration vote_within{};
    unsigned salt = 1;
  };
  WatchReleaseSource(net::Loop& loop, const Settings& settings, const log::Logger& log);
  ~WatchReleaseSource() override;
  void start(Heard heard) override;
  void vote(int build, int stage, Verdict verdict, Answered answered) override;
  void client_outcomes(long requests, long unsuccessful) override;

 private:
  void watch();
  bool take(std::string& body);
  void ended(int status);
  void beat();
  http::Request post(const std::string& target, const std::string& body) const;

  net::Loop& loop_;
  Settings settings_;
  const log::Logger& log_;
  http::ConnectionPool caller_;
  http::StreamClient stream_;
  retry::Backoff backoff_;
  releases::Follower follower_{};
  std::string session_{}, newest_{};  // of this process; the name of the release that it goes by
  std::optional<releases::Follower::Heard> acknowledged_{};
  Heard heard_{};
  Duration beat_every_{};
  net::Loop::Timer again_ = net::Loop::no_timer, beat_ = net::Loop::no_timer;
  bool failing_ = false, superseded_ = false;
};

}  // namespace robinhoist::proxy
