/// The project's own HTTP protocol: the request class is selected by method and path, hints come in
/// request headers, and load reports in the header of Open Request Cost Aggregation (ORCA).
///
/// docs/operating-proxy.md lists the headers and statuses of responses to clients.
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
  void prepare_attempt(http::Request& forwarded, std::size_t attempt,
                       Duration timeout) const override;
  AttemptResult classify(http::CallResult how, const http::Response& response) const override;
  http::Response rejected_before_routing(const Rejection& rejection) const override;
  http::Response succeeded(http::Response&& from, const std::string& endpoint,
                           int build) const override;
  http::Response rejected(Duration retry_after, const std::string& reason) const override;
  http::Response failed(bool timed_out, const std::string& reason) const override;

 private:
  std::optional<Rejection> read_identity(const http::Request& request, ParsedRequest& parsed) const;
  std::optional<Rejection> read_hints(const http::Exchange& exchange, ParsedRequest& parsed) const;

  Settings settings_;
};

}  // namespace robinhoist::proxy
