// The project's own protocol: products by method and path, figures in headers of our names, load in the
// header that proxies of the field use.
#pragma once
#include "umpire/protocol.h"
#include "umpire/settings.h"

namespace robinhoist::umpire {

class HttpProtocol : public Protocol {
 public:
  explicit HttpProtocol(const Settings& settings) : settings_(settings) {}
  std::optional<http::Response> aside(const http::Request&, bool) const override { return {}; }
  Asked read(http::Exchange& exchange, int txn) const override;
  void submission(http::Request& onward, std::size_t number, Span within) const override;
  Classed classed(http::Ended how, const http::Response& response) const override;
  http::Response not_taken(const Refusal& refusal) const override;
  http::Response settled(http::Response&& from, const std::string& node, int build) const override;
  http::Response declined(Span pause, const std::string& why) const override;
  http::Response voided(bool late, const std::string& why) const override;

 private:
  Settings settings_;
};

}  // namespace robinhoist::umpire
