// The project's own protocol: request classes by method and path, figures in headers of our names,
// load in the header that proxies of the field use.
#pragma once
#include "proxy/protocol.h"
#include "proxy/settings.h"
#include "time/time_types.h"

namespace robinhoist::proxy {

class HttpProtocol : public Protocol {
 public:
  explicit HttpProtocol(const Settings& settings) : settings_(settings) {}
  std::optional<http::Response> admin_response(const http::Request&, bool) const override {
    return {};
  }
  ParsedRequest read(http::Exchange& exchange, int request_id) const override;
  void prepare_attempt(http::Request& onward, std::size_t number, Duration within) const override;
  AttemptResult classify(http::CallResult how, const http::Response& response) const override;
  http::Response rejected_before_routing(const Rejection& rejection) const override;
  http::Response succeeded(http::Response&& from, const std::string& endpoint,
                           int build) const override;
  http::Response rejected(Duration pause, const std::string& why) const override;
  http::Response failed(bool late, const std::string& why) const override;

 private:
  Settings settings_;
};

}  // namespace robinhoist::proxy
