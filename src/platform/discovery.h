/// Endpoints from the operators' discovery service, by a watch that goes on from the version of the
/// list that is known.
#pragma once
#include <cstdint>
#include <optional>
#include <string>

#include "platform/watch.h"
#include "proxy/endpoint_source.h"

namespace robinhoist::platform {

class Discovery : public proxy::EndpointSource {
 public:
  static Watch::Settings watch_settings(unsigned seed);
  /// `version` is that of a list that is known already, or 0.
  Discovery(net::Loop& loop, const std::string& address, std::int64_t version,
            const Watch::Settings& watch, const log::Logger& log);
  void start(OnUpdate on_update) override;
  void refresh() override;
  /// The service is at another address from now on.
  void move(const std::string& address) { watch_.move(address); }

 private:
  void accept(const registry::Update& update);
  void check_older(const registry::Update& update);

  net::Loop& loop_;
  std::int64_t version_;
  std::optional<TimePoint> only_older_since_{};  // only versions below version_ have come since
  OnUpdate on_update_{};
  Watch watch_;
};

}  // namespace robinhoist::platform
