/// The JSON body of the admin API's GET /status.
#pragma once
#include <string>

#include "net/loop.h"
#include "proxy/proxy_counters.h"
#include "proxy/upstream_pool.h"

namespace robinhoist::proxy {

/// The data of the report. The referenced objects must outlive the call.
struct StatusSources {
  const std::string& proxy_name;
  const std::string& mode;  ///< of the canary analysis
  std::size_t unanswered_requests;
  std::size_t tracked_requests;  ///< including answered ones with open attempts
  std::size_t clients;
  const ProxyCounters& counters;
  const net::Loop& loop;
  const UpstreamPool& upstreams;
};

std::string status_report(const StatusSources& sources);

}  // namespace robinhoist::proxy
