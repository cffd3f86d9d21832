/// The JSON that the admin API's GET /status returns.
#pragma once
#include <string>

#include "net/loop.h"
#include "proxy/proxy_counters.h"
#include "proxy/upstream_pool.h"

namespace robinhoist::proxy {

/// What the report is made of; all of it outlives the call.
struct StatusSources {
  const std::string& proxy_name;
  const std::string& mode;  ///< the decision engine's view of the release
  std::size_t unanswered_requests;
  std::size_t tracked_requests;  ///< including answered ones with open attempts
  std::size_t clients;
  const ProxyCounters& counters;
  const net::Loop& loop;
  const UpstreamPool& upstreams;
};

std::string status_report(const StatusSources& sources);

}  // namespace robinhoist::proxy
