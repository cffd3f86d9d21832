/// The HTTP protocol of the operators' clients and endpoints.
///
/// The first path segment selects the request class. A request states the time that is left for it,
/// and each attempt passes on what remains. An endpoint that rejects a request states whether it
/// had started it.
#pragma once
#include <optional>
#include <string>

#include "module_settings/module_settings.h"
#include "proxy/protocol.h"
#include "time/time_types.h"

namespace robinhoist::platform {

class PlatformProtocol : public proxy::Protocol {
 public:
  explicit PlatformProtocol(const module_settings::ModuleSettings& module_settings)
      : module_settings_(module_settings) {}
  std::optional<http::Response> admin_response(const http::Request& request,
                                               bool ready) const override;
  proxy::ParsedRequest read(http::Exchange& exchange, int request_id) const override;
  void prepare_attempt(http::Request& forwarded, std::size_t attempt,
                       Duration timeout) const override;
  proxy::AttemptResult classify(http::CallResult how,
                                const http::Response& response) const override;
  http::Response rejected_before_routing(const proxy::Rejection& rejection) const override;
  http::Response succeeded(http::Response&& from, const std::string& endpoint,
                           int build) const override;
  http::Response rejected(Duration retry_after, const std::string& reason) const override;
  http::Response failed(bool timed_out, const std::string& reason) const override;

 private:
  const RequestClass& class_of(const RequestInfo& info) const;
  std::optional<proxy::Rejection> read_class(const http::Request& request, RequestInfo& info) const;
  std::optional<proxy::Rejection> read_headers(const http::Exchange& exchange,
                                               proxy::ParsedRequest& parsed) const;
  void read_hints(std::string_view header, RequestInfo& info) const;

  module_settings::ModuleSettings module_settings_;
};

}  // namespace robinhoist::platform
