/// Endpoints as their registry lists them, and the load that they report. Plain data.
#pragma once
#include <cstdint>
#include <optional>

#include "time/time_types.h"

namespace robinhoist {

enum class EndpointPhase { ready, draining, removed };

enum class EndpointUpdateKind { incremental, complete, cached, failed };

enum class LoadReportSource { none, answers, probes };

struct EndpointSettings {
  int zone;
  Duration cold_for, fall_window, ask_within, call_timeout;
  double cold_from, fall_multiple;
  bool must_ask, sized, probes;
  LoadReportSource reports;
  int me = 0, proxies = 1;  // the proxy's number among all
};

struct EndpointInfo {
  int endpoint, zone, cell, build;
  EndpointPhase phase;
  double size;
  TimePoint started;        // zero: long ago
  std::uint64_t order = 0;  // a digest of the id, the same at every proxy
};

// A load report; what it does not carry is absent.
struct LoadReport {
  std::optional<double> held, waiting, busy, service_ms, served_ps, failed_ps;
};

}  // namespace robinhoist
