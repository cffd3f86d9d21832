/// The endpoints that a proxy knows, each with its connections, under the small indices by which
/// the decision engine names them.
///
/// The pool turns updates of the endpoint registry into input of the decision engine. Endpoints
/// come and go for ever, so the slot of one that left long ago is used again.
#pragma once
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

namespace robinhoist::proxy {

/// One endpoint: a name at an address. The same name at another address is another upstream.
struct Upstream {
  std::string key{};  ///< name@address
  std::string name{};
  int build = 0;
  EndpointPhase phase = EndpointPhase::removed;
  std::unique_ptr<http::ConnectionPool> connections{};
  int in_flight = 0;                 ///< attempts that have not ended
  TimePoint last_listed = long_ago;  ///< last update at which it was not removed
};

class UpstreamPool {
 public:
  /// `wall_start` is the wall-clock time of the loop's zero, to convert start times of endpoints.
  UpstreamPool(net::Loop& loop, http::ConnectionPoolSettings connection_settings,
               const module_settings::ModuleSettings& module_settings, const log::Logger& log,
               WallTime wall_start);

  /// Applies an update and returns it as the decision engine takes it. Idle connections to
  /// endpoints that were removed are closed. An endpoint with an unusable address is logged and
  /// left out.
  std::vector<EndpointInfo> apply(const registry::Update& update);

  Upstream& at(int endpoint) { return upstreams_[static_cast<std::size_t>(endpoint)]; }
  const Upstream& at(int endpoint) const { return upstreams_[static_cast<std::size_t>(endpoint)]; }
  /// All slots, including those of endpoints that were removed.
  const std::vector<Upstream>& slots() const { return upstreams_; }
  /// The endpoint of that name. Where a name has moved, the one that is listed now.
  std::optional<int> find(const std::string& name) const;

  /// The endpoints listed now, by name.
  const std::map<std::string, registry::Endpoint>& listed() const { return listed_; }
  /// The lowest build among the listed endpoints; there must be one.
  int lowest_listed_build() const;
  /// The whole list as of an update, for the endpoint cache.
  registry::Update snapshot(const registry::Update& as_of) const;

 private:
  std::optional<int> index_of(const registry::Endpoint& entry);
  std::optional<int> add(const registry::Endpoint& entry, const std::string& key);
  std::size_t free_slot();
  std::optional<EndpointInfo> remove_moved(const registry::Endpoint& entry);
  EndpointInfo info_of(int index, const registry::Endpoint& entry) const;
  void refresh_connections(bool complete, const std::vector<bool>& mentioned);

  net::Loop& loop_;
  http::ConnectionPoolSettings connection_settings_;
  const module_settings::ModuleSettings& module_settings_;
  const log::Logger& log_;
  WallTime wall_start_;
  std::vector<Upstream> upstreams_{};
  std::unordered_map<std::string, int> index_by_key_{};
  std::map<std::string, registry::Endpoint> listed_{};
};

}  // namespace robinhoist::proxy
