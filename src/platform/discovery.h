/// Endpoints from the operators' discovery service, received by a watch that resumes from the
/// version of the last known list.
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
  /// `version` is the version of the list known at startup, or 0.
  Discovery(net::Loop& loop, const std::string& address, std::int64_t version,
            const Watch::Settings& watch, const log::Logger& log);
  void start(OnUpdate on_update) override;
  void refresh() override;
  /// Reconnects to the service at a new address.
  void set_address(const std::string& address);

 private:
  // An unbroken run of lists older than the known one.
  struct OlderLists {
    TimePoint first_at;
    TimePoint last_at;
  };
  std::string target() const;
  void accept(const registry::Update& update);
  void reject_unless_new_series(const registry::Update& update);

  net::Loop& loop_;
  std::int64_t version_;              // of the newest list
  bool needs_complete_list_ = false;  // requested by refresh() and not received yet
  std::optional<OlderLists> older_lists_{};
  OnUpdate on_update_{};
  Watch watch_;
};

}  // namespace robinhoist::platform
