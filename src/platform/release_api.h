/// Releases from the operators' release API, received by a watch and in the responses to votes.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/connection_pool.h"
#include "platform/release_tracker.h"
#include "platform/watch.h"
#include "proxy/release_source.h"

namespace robinhoist::platform {

class ReleaseApi : public proxy::ReleaseSource {
 public:
  /// A client reported that a response of this endpoint was wrong, this long ago.
  using OnWrongAnswer = std::function<void(const std::string& endpoint, Duration ago)>;

  static Watch::Settings watch_settings(unsigned seed);
  /// `known` is the release in the configuration file.
  ReleaseApi(net::Loop& loop, const std::string& address, const ReleaseUpdate& known,
             Duration vote_timeout, unsigned seed, const log::Logger& log);
  void start(OnUpdate on_update) override;
  void vote(const proxy::Vote& vote, OnVoteResult on_result) override;
  /// The platform has no API for such reports.
  void report_client_outcomes(const proxy::ClientOutcomes&) override {}
  void on_wrong_answer(OnWrongAnswer handler) { on_wrong_answer_ = std::move(handler); }
  /// Uses the API at a new address. Votes in flight are completed at the old one.
  void set_address(const std::string& address);
  /// Number of messages that were ignored because they describe an earlier state than the known
  /// one.
  long ignored() const { return ignored_; }

 private:
  void read_event(const json::Value& event);
  void vote_ended(http::CallResult how, const http::Response& response,
                  const OnVoteResult& on_result);
  void accept(const ReleaseUpdate& release, ReleaseMessageSource source);
  void ignore(const ReleaseUpdate& release, ReleaseMessageSource source);

  net::Loop& loop_;
  const log::Logger& log_;
  Duration vote_timeout_;
  ReleaseTracker tracker_;
  std::unique_ptr<http::ConnectionPool> connections_;
  std::vector<std::unique_ptr<http::ConnectionPool>> former_connections_{};  // with votes in flight
  Watch watch_;
  OnUpdate on_update_{};
  OnWrongAnswer on_wrong_answer_{};
  long ignored_ = 0;
};

}  // namespace robinhoist::platform
