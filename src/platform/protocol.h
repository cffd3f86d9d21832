// The operators' protocol, as clients and nodes speak it (they say boxes): a product is the path's first
// part, the time left comes with each request, a node says itself whether it has begun a txn.
#pragma once
#include "params/params.h"
#include "umpire/protocol.h"

namespace robinhoist::platform {

class PlatformProtocol : public umpire::Protocol {
 public:
  explicit PlatformProtocol(const params::Params& params) : params_(params) {}
  std::optional<http::Response> aside(const http::Request& request, bool routes) const override;
  umpire::Asked read(http::Exchange& exchange, int txn) const override;
  void submission(http::Request& onward, std::size_t number, Span within) const override;
  umpire::Classed classed(http::Ended how, const http::Response& response) const override;
  http::Response not_taken(const umpire::Refusal& refusal) const override;
  http::Response settled(http::Response&& from, const std::string& node, int build) const override;
  http::Response declined(Span pause, const std::string& why) const override;
  http::Response voided(bool late, const std::string& why) const override;

 private:
  params::Params params_;
};

}  // namespace robinhoist::platform
