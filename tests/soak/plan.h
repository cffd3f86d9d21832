/// The plan of events in one run of the soak, generated from its seed.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::soak {

inline constexpr int released_build = 1;
inline constexpr int canary_build = 2;
inline constexpr const char* canary_name = "canary";

/// The change of the configuration file before a SIGHUP.
enum class ConfigChange {
  none,
  move,       ///< the services have other addresses
  unreadable  ///< truncated
};

/// A signal to the program. All times of a plan are relative to the start of the traffic.
struct SignalEvent {
  Duration at{};
  int number = 0;
  ConfigChange config = ConfigChange::none;
};

struct EndpointPlan {
  std::string name{};
  int build = released_build;
  Duration min_delay{};
  Duration max_delay{};
  double hang_share = 0;    ///< of requests that are never answered
  double reject_share = 0;  ///< of requests that are rejected without being run
  double error_share = 0;   ///< of requests that run and are answered with an error
};

struct DrainEvent {
  Duration at{};
  std::size_t endpoint = 0;
};

/// A canary that is rolled back for wrong answers. The messages about it are late.
struct CanaryPlan {
  Duration second_stage{};    ///< when it begins
  Duration rollback_delay{};  ///< from the proxy's first vote in the second stage to the roll back
  Duration stage_news_delay{};
  Duration rollback_news_delay{};
  Duration vote_delay{};  ///< of the answers to votes
};

struct Plan {
  std::uint32_t seed = 0;
  std::vector<EndpointPlan> endpoints{};
  std::vector<SignalEvent> signals{};  ///< in order of time
  std::vector<DrainEvent> drains{};
  std::vector<Duration> resets{};       ///< an endpoint resets all of its connections
  std::vector<Duration> idle_closes{};  ///< an endpoint closes its idle connections
  /// The open watches of the endpoint list stop sending data.
  std::optional<Duration> list_stall{};
  std::optional<Duration> bad_clients_at{};  ///< many misbehaving clients connect
  bool has_unsound_clients = false;          ///< unsound requests, repeated ids, clients that leave
  std::optional<std::size_t> flood{};        ///< the kind that a client sends at full speed
  std::optional<Duration> flood_at{};
  bool has_split_links = false;  ///< bytes from and to endpoints arrive in small pieces
  /// Clients send most of a large request and stop; together more than the program's memory.
  std::optional<Duration> partial_requests_at{};
  std::optional<CanaryPlan> canary{};
  int clients = 0;
  double disconnect_share = 0;  ///< of requests whose client disconnects before the response
  Duration terminate{};         ///< the first SIGTERM
  Duration last_connect{};      ///< clients open new connections until then
  Duration kill{};

  /// The signals and faults of the run, for the table.
  std::string describe() const;
};

/// The longest timeout of a client's request, which is the longest deadline of the settings.
inline constexpr Duration max_request_timeout = std::chrono::milliseconds(400);

/// A change of the endpoint list counts as known to the proxy this long after the watch stalled,
/// whether or not it was received.
inline constexpr Duration max_change_delay = std::chrono::seconds(6);

Plan draw_plan(long seed);

}  // namespace robinhoist::soak
