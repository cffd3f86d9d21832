// The operators' protocol, as clients and endpoints speak it (they say servers): a request class is
// the path's first part, the time left comes with each request, an endpoint says itself whether it
// has begun a request.
#pragma once
#include "module_settings/module_settings.h"
#include "proxy/protocol.h"
#include "time/time_types.h"

namespace robinhoist::platform {

class PlatformProtocol : public proxy::Protocol {
 public:
  explicit PlatformProtocol(const module_settings::ModuleSettings& module_settings)
      : module_settings_(module_settings) {}
  std::optional<http::Response> admin_response(const http::Request& request,
                                               bool routes) const override;
  proxy::ParsedRequest read(http::Exchange& exchange, int request_id) const override;
  void prepare_attempt(http::Request& onward, std::size_t number, Duration within) const override;
  proxy::AttemptResult classify(http::CallResult how,
                                const http::Response& response) const override;
  http::Response rejected_before_routing(const proxy::Rejection& rejection) const override;
  http::Response succeeded(http::Response&& from, const std::string& endpoint,
                           int build) const override;
  http::Response rejected(Duration pause, const std::string& why) const override;
  http::Response failed(bool late, const std::string& why) const override;

 private:
  module_settings::ModuleSettings module_settings_;
};

}  // namespace robinhoist::platform
