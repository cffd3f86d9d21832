/// What happens in one run of the soak, drawn from its seed.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::soak {

/// The configuration file as a SIGHUP finds it.
enum class ConfigChange {
  none,
  move,       ///< the services are at other addresses
  unreadable  ///< half written
};

/// Times are since the traffic began.
struct SignalEvent {
  Duration at{};
  int number = 0;
  ConfigChange config = ConfigChange::none;
};

struct EndpointPlan {
  std::string name{};
  Duration min_delay{};
  Duration max_delay{};
  double hang_share = 0;    ///< of requests: never answered
  double reject_share = 0;  ///< of requests: turned away without being run
  double error_share = 0;   ///< of requests: run, and answered with an error
};

struct DrainEvent {
  Duration at{};
  std::size_t endpoint = 0;
};

struct Plan {
  std::uint32_t seed = 0;
  std::vector<EndpointPlan> endpoints{};
  std::vector<SignalEvent> signals{};  ///< in order of time
  std::vector<DrainEvent> drains{};
  std::vector<Duration> resets{};          ///< an endpoint breaks all of its connections
  std::vector<Duration> idle_closes{};     ///< an endpoint closes its idle connections
  std::optional<Duration> list_silence{};  ///< the open watches of the endpoint list fall silent
  std::optional<Duration> crowd{};         ///< a crowd of bad clients connects
  int clients = 0;
  double leave_share = 0;   ///< of requests whose client leaves before the answer
  Duration terminate{};     ///< the first SIGTERM
  Duration last_connect{};  ///< clients open new connections until then
  Duration kill{};

  /// The names of what is special about the run, for the table.
  std::string describe() const;
};

/// The time that clients give a request at most; the longest deadline of the settings.
inline constexpr Duration max_request_timeout = std::chrono::milliseconds(400);

/// A change of the endpoint list counts as told so long after the watch fell silent, whether or not
/// it came.
inline constexpr Duration max_change_delay = std::chrono::seconds(6);

Plan draw_plan(long seed);

}  // namespace robinhoist::soak
