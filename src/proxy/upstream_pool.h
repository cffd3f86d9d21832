/// The endpoints known to a proxy with their connections, in slots whose indices identify endpoints
/// to the decision engine.
///
/// The pool converts updates of the endpoint registry into input of the decision engine. The slot
/// of an endpoint that was removed long ago is reused, so that the number of slots stays bounded.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/connection_pool.h"
#include "log/logger.h"
#include "module_settings/module_settings.h"
#include "policy/endpoint.h"
#include "registry/registry.h"
#include "time/time_types.h"
#include "time/wall_clock_offset.h"

namespace robinhoist::proxy {

/// An endpoint, identified by name and address. The same name at another address is a different
/// upstream.
struct Upstream {
  std::string key{};  ///< name@address
  std::string name{};
  int build = 0;
  EndpointPhase phase = EndpointPhase::removed;
  WallTime listed_start{};    ///< start of its present process, as listed
  TimePoint started{};        ///< the same in the time of this run; zero: long ago
  TimePoint build_started{};  ///< start of its first process with this build; zero: long ago
  std::unique_ptr<http::ConnectionPool> connections{};
  int in_flight = 0;                 ///< attempts that have not ended
  TimePoint last_listed = long_ago;  ///< time of the last update in which it was not removed

  /// Whether another build may have run here at this time.
  bool build_started_after(TimePoint time) const {
    return build_started != TimePoint{} && build_started > time;
  }
};

class UpstreamPool {
 public:
  using WallClock = std::function<WallTime()>;

  /// `wall_clock` is needed to convert the start times of endpoints; it may be stepped.
  /// At most `max_endpoints` are known; see apply().
  UpstreamPool(net::Loop& loop, http::ConnectionPoolSettings connection_settings,
               const module_settings::ModuleSettings& module_settings, const log::Logger& log,
               WallClock wall_clock, std::size_t max_endpoints);

  /// Applies an update and returns the changes as input of the decision engine. Idle connections to
  /// removed endpoints are closed. An endpoint with an invalid address is logged and skipped, and
  /// so are endpoints above the maximum number.
  std::vector<EndpointInfo> apply(const registry::Update& update);

  Upstream& at(int endpoint) { return upstreams_[static_cast<std::size_t>(endpoint)]; }
  const Upstream& at(int endpoint) const { return upstreams_[static_cast<std::size_t>(endpoint)]; }
  /// All slots, including those of removed endpoints.
  const std::vector<Upstream>& slots() const { return upstreams_; }
  /// The index of the endpoint with this name. If the name was listed with several addresses, the
  /// current one.
  std::optional<int> find(const std::string& name) const;

  /// The currently listed endpoints, by name.
  const std::map<std::string, registry::Endpoint>& listed() const { return listed_; }
  /// The lowest build among the listed endpoints. At least one endpoint must be listed.
  int lowest_listed_build() const;
  /// The complete list with the series and version of an update, for the endpoint cache.
  registry::Update snapshot(const registry::Update& as_of) const;

 private:
  std::optional<int> index_of(const registry::Endpoint& entry);
  std::optional<int> add(const registry::Endpoint& entry, const std::string& key);
  std::optional<std::size_t> free_slot();
  std::optional<std::size_t> reusable_slot(TimePoint removed_before) const;
  void list(const registry::Endpoint& entry);
  std::optional<EndpointInfo> remove_moved(const registry::Endpoint& entry);
  EndpointInfo info_of(int index, const registry::Endpoint& entry);
  void set_start(Upstream& upstream, WallTime listed_start);
  void remove_unlisted(const registry::Update& complete);
  void refresh_connections();

  net::Loop& loop_;
  http::ConnectionPoolSettings connection_settings_;
  const module_settings::ModuleSettings& module_settings_;
  const log::Logger& log_;
  WallClock wall_clock_;
  WallClockOffset wall_clock_offset_{};
  std::size_t max_endpoints_;
  std::size_t above_maximum_ = 0;  // entries of the current update that were skipped
  std::vector<Upstream> upstreams_{};
  std::unordered_map<std::string, int> index_by_key_{};
  std::map<std::string, registry::Endpoint> listed_{};
};

}  // namespace robinhoist::proxy
