/// Endpoints as listed by the registry, their load reports, and the settings for them. Plain data.
#pragma once
#include <cstdint>
#include <optional>

#include "time/time_types.h"

namespace robinhoist {

/// The phase of an endpoint in the list: it accepts requests, it only finishes those in flight, or
/// it has been removed.
enum class EndpointPhase { ready, draining, removed };

/// The kind of an endpoint list update: changed entries only, the whole list, the whole list as
/// read from the proxy's endpoint cache, or a failure without entries.
enum class EndpointUpdateKind { incremental, complete, cached, failed };

/// The source of load reports: there are none, they arrive with answers, or with health checks.
enum class LoadReportSource { none, answers, probes };

/// The deployment's settings for endpoints, and this proxy's position among the proxies.
struct EndpointSettings {
  int zone;                       ///< the proxy's own zone
  Duration warm_up_time;          ///< from an endpoint's start until it is warm
  Duration collapse_window;       ///< over which the requests to a cold endpoint are counted
  double initial_warm_up_factor;  ///< capacity at the start, as part of the warm one; in (0, 1]
  double collapse_multiple;  ///< a cold endpoint collapses if all proxies together send it more
                             ///< than this multiple of its present capacity (rule 4 of
                             ///< audit/rules.h)
  bool subscribes_to_list;   ///< whether the proxy must subscribe to get the list
  bool uses_sizes;           ///< whether listed sizes are used; otherwise all sizes are 1
  LoadReportSource load_report_source;
  int proxy_index = 0;  ///< this proxy's number among all proxies, from 0
  int proxy_count = 1;
};

/// An entry of the endpoint list.
struct EndpointInfo {
  int endpoint;  ///< the endpoint's number, an index from 0
  int zone;
  int cell;  ///< the smallest scope of request deduplication
  int build;
  EndpointPhase phase;
  double size;                 ///< capacity relative to a usual endpoint
  TimePoint started;           ///< zero: long ago
  std::uint64_t sort_key = 0;  ///< a hash of the endpoint's id, identical at all proxies
};

/// A load report of an endpoint; values that it does not contain are absent.
struct LoadReport {
  std::optional<double> in_flight{};     ///< requests in progress, from all proxies
  std::optional<double> queued{};        ///< requests waiting at the endpoint; not used
  std::optional<double> utilization{};   ///< from 0, idle, to 1, fully busy
  std::optional<double> service_ms{};    ///< time to serve one request; not used
  std::optional<double> served_per_s{};  ///< not used
  std::optional<double> failed_per_s{};  ///< not used
};

}  // namespace robinhoist
