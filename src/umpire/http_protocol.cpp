#include "umpire/http_protocol.h"

#include <algorithm>
#include <cmath>

#include "figures.h"

namespace robinhoist::umpire {
namespace {

double number(std::string_view text, double absent) {
  if (text.empty()) return absent;
  return settings::number_of(std::string(text)).value_or(std::nan(""));
}

// Node's load from the header that proxies of the field use (Open Request Cost Aggregation, text form).
Load load_of(std::string_view header) {
  Load load;
  if (header.substr(0, 5) != "TEXT ") return load;
  header.remove_prefix(5);
  while (!header.empty()) {
    std::size_t end = std::min(header.find(','), header.size());
    std::string_view pair = header.substr(0, end);
    header.remove_prefix(std::min(end + 1, header.size()));
    while (!pair.empty() && pair.front() == ' ') pair.remove_prefix(1);
    std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    auto value = settings::number_of(std::string(pair.substr(equals + 1)));
    if (!value || *value < 0) continue;
    std::string_view name = pair.substr(0, equals);
    if (name == "cpu_utilization") load.busy = value;
    else if (name == "named_metrics.held") load.held = value;
    else if (name == "named_metrics.waiting") load.waiting = value;
    else if (name == "rps_fractional") load.served_ps = value;
    else if (name == "eps") load.failed_ps = value;
  }
  return load;
}

http::Response worded(http::Response&& response, const char* outcome, const std::string& why) {
  response.headers.add("Robinhoist-Outcome", outcome);
  if (!why.empty()) response.headers.add("Robinhoist-Why", why);
  return std::move(response);
}

}  // namespace

Asked HttpProtocol::read(http::Exchange& exchange, int number_of_txn) const {
  const http::Request& request = exchange.request;
  const deployment::Deployment& all = settings_.deployment;
  const HeaderNames& names = settings_.headers;
  Asked asked;
  auto refuse = [&](int status, const std::string& why) {
    asked.refusal = Refusal{status, why};
    return std::move(asked);
  };
  const int p = all.product_of(request.method, request.path());
  if (p < 0) return refuse(404, "no product takes " + request.method + " " + std::string(request.path()));
  const Product& product = all.products[p].product;
  Arrival& txn = asked.txn;
  txn.txn = number_of_txn;
  txn.product = p;
  if (!all.tenants.empty()) {
    txn.tenant = all.tenant(request.headers.get(names.tenant));
    if (txn.tenant < 0) return refuse(400, "header " + names.tenant + " names no known tenant");
  }
  asked.mark = request.headers.get(names.key);
  // Without its key no node could tell a repeat of it.
  if (product.effect == Effect::referenced && asked.mark.empty())
    return refuse(400, "product " + all.products[p].name + " needs the header " + names.key);
  std::string_view routing = request.headers.get(names.routing_key);
  txn.key = routing.empty() ? asked.mark : routing;
  const double most_ms = millis(product.expiry);
  const double remaining = number(request.headers.get(names.remaining), most_ms);
  if (!(remaining > 0)) return refuse(400, "header " + names.remaining + " is not a number above 0");
  txn.hint_ms = number(request.headers.get(names.cost), 0);
  if (!(txn.hint_ms >= 0)) return refuse(400, "header " + names.cost + " is not a number from 0");
  txn.repeat = request.headers.has(names.repeat);
  txn.expiry = exchange.at + from_millis(std::min(remaining, most_ms)) - settings_.reserve;
  asked.onward.method = request.method;
  asked.onward.target = request.target;
  http::copy_end_to_end(request.headers, asked.onward.headers);
  asked.onward.headers.set("Robinhoist-Txn", settings_.name + "." + std::to_string(txn.txn));
  asked.onward.body = std::move(exchange.request.body);
  return asked;
}

void HttpProtocol::submission(http::Request& onward, std::size_t number, Span) const {
  onward.headers.set("Robinhoist-Submission", std::to_string(number));
}

Classed HttpProtocol::classed(http::Ended how, const http::Response& response) const {
  const Outcome answered = response.status < 500 ? Outcome::ok
                           : response.status == 503 && response.headers.has(settings_.headers.not_run)
                               ? Outcome::full
                               : Outcome::error;
  return {outcome_of(how, answered), load_of(response.headers.get("endpoint-load-metrics"))};
}

http::Response HttpProtocol::not_taken(const Refusal& refusal) const {
  return worded(http::text_answer(refusal.status, refusal.why + "\n"), "not-taken", "");
}

http::Response HttpProtocol::settled(http::Response&& from, const std::string& node, int build) const {
  http::Response passed;
  passed.status = from.status;
  http::copy_end_to_end(from.headers, passed.headers);
  passed.headers.add("Robinhoist-Node", node);
  passed.headers.add("Robinhoist-Build", std::to_string(build));
  passed.body = std::move(from.body);
  return worded(std::move(passed), "settled", "answered");
}

http::Response HttpProtocol::declined(Span pause, const std::string& why) const {
  http::Response response = http::text_answer(503, "declined: it is safe to try again\n");
  if (pause > Span{}) {
    response.headers.add("Retry-After", std::to_string(static_cast<long>(std::ceil(seconds(pause)))));
    response.headers.add("Robinhoist-Retry-After-Ms", std::to_string(static_cast<long>(millis(pause))));
  }
  return worded(std::move(response), "declined", why);
}

http::Response HttpProtocol::voided(bool late, const std::string& why) const {
  return worded(http::text_answer(late ? 504 : 502, "voided: it may or may not have been carried out\n"),
                "voided", why);
}

}  // namespace robinhoist::umpire
