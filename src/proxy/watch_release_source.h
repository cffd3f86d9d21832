/// Releases from this project's controller by its REST API: a watch that is resumed after a
/// disconnect, a heartbeat that acknowledges the cap in force, and votes.
#pragma once
#include <optional>
#include <string>

#include "http/connection_pool.h"
#include "http/stream_client.h"
#include "log/logger.h"
#include "proxy/release_source.h"
#include "releases/follower.h"
#include "retry/backoff.h"
#include "time/time_types.h"

namespace robinhoist::proxy {

class WatchReleaseSource : public ReleaseSource {
 public:
  struct Settings {
    std::string address{};  ///< of the controller
    std::string proxy{};    ///< this proxy's name
    std::string token{};    ///< bearer token; empty if none is sent
    Duration vote_timeout{};
    unsigned seed = 1;  ///< of the jitter of retry delays
  };
  WatchReleaseSource(net::Loop& loop, const Settings& settings, const log::Logger& log);
  ~WatchReleaseSource() override;
  WatchReleaseSource(const WatchReleaseSource&) = delete;
  WatchReleaseSource& operator=(const WatchReleaseSource&) = delete;

  void start(OnUpdate on_update) override;
  void vote(const Vote& vote, OnVoteResult on_result) override;
  void report_client_outcomes(const ClientOutcomes& outcomes) override;

 private:
  void watch();
  bool read_events(std::string& body);
  bool read_lines(std::string& body);
  void apply_newest();
  void watch_ended(int status);

  void send_heartbeat();
  void heartbeat_ended(http::CallResult how, const http::Response& response);

  http::Request post(const std::string& target, const std::string& body) const;

  net::Loop& loop_;
  Settings settings_;
  const log::Logger& log_;
  http::ConnectionPool connections_;
  http::StreamClient stream_;
  retry::Backoff backoff_;
  releases::Follower follower_{};
  std::string incarnation_;       // unique to this process
  std::string newest_release_{};  // name of the release in force
  std::optional<releases::Follower::Update> acknowledged_{};
  OnUpdate on_update_{};
  Duration heartbeat_interval_;
  net::Loop::Timer watch_timer_ = net::Loop::no_timer;
  net::Loop::Timer heartbeat_timer_ = net::Loop::no_timer;
  bool failing_ = false;
  bool superseded_ = false;  // another process uses the name of this proxy
};

}  // namespace robinhoist::proxy
