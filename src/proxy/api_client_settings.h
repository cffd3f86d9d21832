/// Connection settings for calls to the release controller and the endpoint registry.
#pragma once
#include <chrono>

#include "http/connection_pool.h"
#include "time/time_types.h"

namespace robinhoist::proxy {

inline constexpr Duration min_retry_delay = std::chrono::milliseconds(100);
inline constexpr Duration max_retry_delay = std::chrono::seconds(2);

/// A few connections, and a body limit that admits the complete endpoint list of a large
/// deployment.
inline http::ConnectionPoolSettings api_client_settings() {
  http::ConnectionPoolSettings settings;
  settings.max_connections = 4;
  settings.connect_timeout = std::chrono::seconds(1);
  settings.limits.max_body_bytes = std::size_t{16} << 20;
  return settings;
}

}  // namespace robinhoist::proxy
