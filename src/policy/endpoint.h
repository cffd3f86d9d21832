/// Endpoints as their registry lists them, the load that they report, and the settings that concern
/// them. Plain data.
#pragma once
#include <cstdint>
#include <optional>

#include "time/time_types.h"

namespace robinhoist {

/// What the endpoint list says of an endpoint: it takes requests, it finishes those it has, or it
/// is gone.
enum class EndpointPhase { ready, draining, removed };

/// How an endpoint list update is to be read: changed entries only, the whole list, the whole list
/// out of the proxy's endpoint cache, or a poll that failed and brings no entries.
enum class EndpointUpdateKind { incremental, complete, cached, failed };

/// Where load reports come from: nowhere, with each answer, or with health checks.
enum class LoadReportSource { none, answers, probes };

/// What a deployment says about its endpoints, and this proxy's place among the proxies.
struct EndpointSettings {
  int zone;                       ///< the proxy's own zone
  Duration warm_up_time;          ///< from an endpoint's start until it is warm
  Duration collapse_window;       ///< rule 4 counts the requests of this time
  double initial_warm_up_factor;  ///< of the warm capacity, at the start; in (0, 1]
  double collapse_multiple;       ///< rule 4: a cold endpoint falls over beyond this multiple of
                                  ///< what it is able to do
  bool subscribes_to_list;        ///< whether the list must be subscribed to
  bool uses_sizes;                ///< whether the endpoints' listed sizes count
  LoadReportSource load_report_source;
  int proxy_index = 0;  ///< this proxy's number among all, from 0
  int proxy_count = 1;
};

/// An endpoint as the list gives it.
struct EndpointInfo {
  int endpoint;  ///< its number, an index from 0
  int zone;
  int cell;  ///< the smallest scope of request deduplication
  int build;
  EndpointPhase phase;
  double size;                 ///< capacity in usual endpoints
  TimePoint started;           ///< zero: long ago
  std::uint64_t sort_key = 0;  ///< a digest of the id, the same at every proxy
};

/// A load report; what it does not carry is absent.
struct LoadReport {
  std::optional<double> in_flight{};     ///< requests that the endpoint works on, of all proxies
  std::optional<double> queued{};        ///< requests waiting there; not used
  std::optional<double> utilization{};   ///< 0 idle, 1 busy
  std::optional<double> service_ms{};    ///< time of one request; not used
  std::optional<double> served_per_s{};  ///< not used
  std::optional<double> failed_per_s{};  ///< not used
};

}  // namespace robinhoist
