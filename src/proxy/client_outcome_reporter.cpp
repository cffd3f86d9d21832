#include "proxy/client_outcome_reporter.h"

#include <chrono>

namespace robinhoist::proxy {
namespace {

constexpr Duration report_interval = std::chrono::seconds(1);

}  // namespace

void ClientOutcomeReporter::report() {
  const long requests = counters_.succeeded + counters_.rejected + counters_.failed;
  const long unsuccessful = counters_.late + counters_.rejected + counters_.failed;
  if (requests > reported_requests_)
    releases_.report_client_outcomes({.requests = requests - reported_requests_,
                                      .unsuccessful = unsuccessful - reported_unsuccessful_});
  reported_requests_ = requests;
  reported_unsuccessful_ = unsuccessful;
  timer_ = loop_.in(report_interval, [this] { report(); });
}

}  // namespace robinhoist::proxy
