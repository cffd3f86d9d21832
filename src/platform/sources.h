// Where an proxy on the operators' platform hears of endpoints (discovery) and of releases (the
// release API): a watch each, one JSON object a line, taken up again where it broke; and its votes.
#pragma once
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "http/connection_pool.h"
#include "http/stream_client.h"
#include "json/framer.h"
#include "log/logger.h"
#include "platform/config.h"
#include "proxy/sources.h"
#include "retry/backoff.h"
#include "time/time_types.h"

namespace robinhoist::platform {

// One endless answer after the other, object by object: only what has come whole is told. An object
// that makes no sense ends the connection it came on; silence does too; then comes another, after a
// pause that grows with each failure.
class Watch {
 public:
  struct Settings {
    std::string what{};  // for the log
    http::StreamClient::SilenceLimits silence{};
    Duration pause_most{};
    unsigned salt = 1;
  };
  using Target = std::function<std::string()>;
  using Event = std::function<void(const json::Value& object)>;  // throws json::DecodeError
  Watch(net::Loop& loop, const std::string& address, const Settings& settings,
        const log::Logger& log);
  ~Watch();
  void start(Target target, Event event);
  void again();  // at once
  // From now on there; what was open to the old address is closed.
  void move(const std::string& address);

 private:
  void ask();
  bool take(std::string& body);
  void ended();
  void broken(const std::string& why);

  net::Loop& loop_;
  std::string address_;
  Settings settings_;
  const log::Logger& log_;
  std::unique_ptr<http::StreamClient> stream_{};
  retry::Backoff backoff_;
  Target target_{};
  Event event_{};
  json::Framer framer_;
  net::Loop::Timer timer_ = net::Loop::no_timer;
  bool failing_ = false;
};

class Discovery : public proxy::EndpointSource {
 public:
  static Watch::Settings watching(unsigned salt);
  // From the version of a list that is known already.
  Discovery(net::Loop& loop, const std::string& address, std::int64_t version,
            const Watch::Settings& watch, const log::Logger& log);
  void start(Heard heard) override;
  void refresh() override;
  void move(const std::string& address) { watch_.move(address); }

 private:
  void told(const registry::Update& news);

  net::Loop& loop_;
  std::int64_t version_;
  std::optional<TimePoint>
      older_from_{};  // since when only versions older than the one held are told
  Heard heard_{};
  Watch watch_;
};

class ReleaseApi : public proxy::ReleaseSource {
 public:
  using Flagged = std::function<void(const std::string& endpoint, Duration ago)>;
  static Watch::Settings watching(unsigned salt);
  ReleaseApi(net::Loop& loop, const std::string& address, const ReleaseUpdate& known,
             Duration vote_within, unsigned salt, const log::Logger& log);
  void start(Heard heard) override;
  void vote(int build, int stage, Verdict verdict, Answered answered) override;
  void client_outcomes(long, long) override {}  // this platform does not ask
  void on_flagged(Flagged flagged) { flagged_ = std::move(flagged); }
  void move(const std::string& address);

 private:
  void told(const ReleaseUpdate& release);

  net::Loop& loop_;
  Duration vote_within_;
  ReleaseUpdate known_;
  TimePoint known_from_;  // when it came to stand so
  std::unique_ptr<http::ConnectionPool> caller_;
  std::vector<std::unique_ptr<http::ConnectionPool>>
      leaving_{};  // with votes out to an address given up
  Watch watch_;
  Heard heard_{};
  Flagged flagged_{};
};

}  // namespace robinhoist::platform
