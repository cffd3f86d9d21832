// Where an umpire hears of nodes and releases. Narrow on purpose: another registry or controller takes the
// place of these by giving the same two kinds of news.
#pragma once
#include <functional>
#include <memory>
#include <string>

#include "http/caller.h"
#include "list/registry.h"
#include "log/log.h"
#include "retry/backoff.h"
#include "rollout/news.h"

namespace robinhoist::umpire {

class NodeSource {
 public:
  virtual ~NodeSource() = default;
  using Heard = std::function<void(const list::News&)>;
  virtual void start(Heard heard) = 0;
  virtual void refresh() = 0;  // ask for the whole list soon
};

class ReleaseSource {
 public:
  virtual ~ReleaseSource() = default;
  using Heard = std::function<void(const RelNews&)>;
  using Answered = std::function<void(Outcome)>;
  virtual void start(Heard heard) = 0;
  // The answer may never come; then `answered` says timeout, and the vote may count.
  virtual void vote(int build, int stage, Verdict verdict, Answered answered) = 0;
  // How the umpire's txns did since its last word: all that ended, and those late, declined or voided. Steps
  // that run beside patients back off by it.
  virtual void patients(long txns, long poorly) = 0;
};

// One long poll after the other over HTTP: the service answers once there is something newer, or after the
// wait. Failures are tried again with growing pauses.
class Poll {
 public:
  using Answer = std::function<bool(const http::Response&)>;  // false: it made no sense
  Poll(net::Loop& loop, const std::string& from, unsigned salt, const log::Log& log);
  ~Poll();
  // `target` is asked for anew before each call.
  void start(std::function<std::string()> target, Answer answer);
  void again();  // at once, dropping the call that waits
  http::Caller& caller() { return caller_; }

 private:
  void ask();
  net::Loop& loop_;
  http::Caller caller_;
  retry::Backoff backoff_;
  const log::Log& log_;
  std::function<std::string()> target_{};
  Answer answer_{};
  http::Caller::Id call_ = 0;
  net::Loop::Timer timer_ = net::Loop::no_timer;
  bool failing_ = false;
};

class HttpNodeSource : public NodeSource {
 public:
  HttpNodeSource(net::Loop& loop, const std::string& from, const std::string& umpire, unsigned salt,
                 const log::Log& log);
  void start(Heard heard) override;
  void refresh() override;

 private:
  std::string umpire_, series_{};
  std::int64_t version_ = 0;
  Poll poll_;
};

class HttpReleaseSource : public ReleaseSource {
 public:
  HttpReleaseSource(net::Loop& loop, const std::string& from, const std::string& umpire,
                    net::Span vote_within, unsigned salt, const log::Log& log);
  void start(Heard heard) override;
  void vote(int build, int stage, Verdict verdict, Answered answered) override;
  void patients(long txns, long poorly) override;

 private:
  bool take(const std::string& text);
  std::string umpire_, series_{};
  std::int64_t version_ = 0;
  net::Span vote_within_;
  Heard heard_{};
  Poll poll_;
};

}  // namespace robinhoist::umpire
