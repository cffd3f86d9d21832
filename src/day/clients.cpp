#include "day/clients.h"

#include <algorithm>

#include "record/lines.h"
#include "time/units.h"

namespace robinhoist::day {
namespace {
using namespace std::chrono_literals;

http::ConnectionPoolSettings pool_settings() {
  http::ConnectionPoolSettings settings;
  settings.max_connections = 4000;
  settings.connect_timeout = 1s;
  return settings;
}
}  // namespace

Clients::Clients(net::Loop& loop, const Scenario& scenario, unsigned salt,
                 const std::vector<ProxyPorts>& proxies, record::Writer& record)
    : loop_(loop),
      scenario_(scenario),
      load_(scenario.load, salt),
      random_(salt + 1),
      record_(record) {
  for (const ProxyPorts& ports : proxies) {
    const auto address = [](int port) {
      return Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(port));
    };
    service_pools_.push_back(
        std::make_unique<http::ConnectionPool>(loop, address(ports.service), pool_settings()));
    admin_pools_.push_back(
        std::make_unique<http::ConnectionPool>(loop, address(ports.admin), pool_settings()));
  }
}

void Clients::start(TimePoint start_time) {
  start_time_ = start_time;
  begun_ = true;
  for (const Fault& fault : scenario_.faults)
    loop_.at(start_time + fault.at, [this, &fault] { begin_fault(fault); });
  send_due();
}

void Clients::set_proxy_up(int number, bool up) {
  load_.set_proxy_up(number, up, now());
}

void Clients::begin_fault(const Fault& fault) {
  const auto at_end = [&](std::function<void()> undo) {
    loop_.in(fault.duration, std::move(undo));
  };
  const auto& deployment = scenario_.deployment;
  switch (fault.kind) {
    case FaultKind::burst:
      load_.set_rate_factor(fault.magnitude);
      at_end([this] { load_.set_rate_factor(1); });
      break;
    case FaultKind::hot_caller: {
      std::vector<int> chosen;
      const int count =
          std::max(1, static_cast<int>(fault.target_share * deployment.proxies + 0.5));
      for (int i = 0; i < count; ++i)
        chosen.push_back((i * 7 + 1) % deployment.proxies);  // spread over the zones
      load_.concentrate_on_proxies(chosen, fault.magnitude);
      at_end([this] { load_.concentrate_on_proxies({}, 0); });
      break;
    }
    case FaultKind::bad_requests:
      load_.set_poison_share(fault.tenant.empty() ? -1 : deployment.tenant_index(fault.tenant),
                             fault.magnitude);
      at_end([this] { load_.set_poison_share(-1, 0); });
      break;
    case FaultKind::retry_abuse:
      load_.set_retry_abuse(deployment.tenant_index(fault.tenant),
                            static_cast<int>(fault.magnitude), fault.extra);
      at_end([this] { load_.set_retry_abuse(-1, 0, 1); });
      break;
    default:
      break;  // a fault of the servers, the controller or the proxies
  }
}

void Clients::send_due() {
  loop_.cancel(timer_);
  if (!begun_)
    return;
  while (auto client_try = load_.next(now()))
    send(*client_try);
  if (auto at = load_.next_at())
    timer_ = loop_.at(loop_time(*at), [this] { send_due(); });
}

void Clients::send(const load::ClientAttempt& client_try) {
  const auto& request_class = scenario_.deployment.request_classes[client_try.request_class];
  const deployment::RequestMatcher& match = request_class.matchers.front();
  http::Request request;
  request.method = match.method;
  request.target = match.prefix ? match.path + "?n=" + std::to_string(client_try.id) : match.path;
  request.headers.add("X-Try", std::to_string(client_try.id));
  request.headers.add("X-Work-Us", std::to_string(client_try.work.count()));
  const Duration left = client_try.deadline - now();
  request.headers.add(
      "X-Remaining-Ms",
      std::to_string(static_cast<double>(std::max(Duration(1), left).count()) / 1e3));
  if (!scenario_.deployment.tenants.empty())
    request.headers.add("X-Tenant", scenario_.deployment.tenants[client_try.tenant].name);
  if (!client_try.key.empty())
    request.headers.add("Idempotency-Key", client_try.key);
  if (client_try.poison)
    request.headers.add("X-Poison", "1");
  if (request.method != "GET")
    request.body = "{\"txn\":" + std::to_string(client_try.first_id) + "}";
  // The client waits longer than it announced, so that responses past the deadline are recorded.
  const auto call = service_pools_[client_try.proxy]->call(
      request, std::max(Duration(1), left) + 2 * scenario_.answer_slack,
      [this, client_try](http::CallResult result, http::Response&& response) {
        finish(client_try, result, response);
      });
  calls_[client_try.id] = {client_try.proxy, call};
  if (client_try.disconnects_at == TimePoint{})
    return;
  loop_.at(loop_time(client_try.disconnects_at), [this, client_try] {
    auto at = calls_.find(client_try.id);
    if (at == calls_.end())
      return;
    service_pools_[at->second.first]->cancel(at->second.second);
    finish(client_try, http::CallResult::cancelled, {});
  });
}

void Clients::finish(const load::ClientAttempt& client_try, http::CallResult result,
                     const http::Response& response) {
  if (calls_.erase(client_try.id) == 0)
    return;
  load::ClientResult end = load::ClientResult::connection_lost;
  const std::string_view outcome = response.headers.get("Robinhoist-Outcome");
  if (http::proves_not_sent(result))
    end = load::ClientResult::unreached;
  if (result == http::CallResult::timed_out)
    end = load::ClientResult::timed_out;
  if (result == http::CallResult::cancelled)
    end = load::ClientResult::client_disconnected;
  if (result == http::CallResult::answered)
    end = outcome == "settled"    ? load::ClientResult::succeeded
          : outcome == "declined" ? load::ClientResult::rejected
          : outcome == "voided"   ? load::ClientResult::failed
                                  : load::ClientResult::rejected_before_routing;
  bool right = true;
  if (end == load::ClientResult::succeeded &&
      response.body.find("\"right\":false") != std::string::npos)
    right = false;
  const std::string node(response.headers.get("Robinhoist-Node"));
  auto pause =
      settings::parse_number(std::string(response.headers.get("Robinhoist-Retry-After-Ms")));
  const std::string proxy = "umpire-" + std::to_string(client_try.proxy);
  record::client_attempt_ended(
      record_,
      {.sent = loop_time(client_try.at),
       .ended = loop_.now(),
       .deadline = loop_time(client_try.deadline),
       .id = client_try.id,
       .first_id = client_try.first_id,
       .number = client_try.number,
       .request_class = client_try.request_class,
       .tenant = client_try.tenant,
       .proxy = proxy,
       .key = client_try.key,
       .poison = client_try.poison,
       .result = load::to_string(end),
       .status = response.status,
       .reason = response.headers.get("Robinhoist-Why"),
       .endpoint = node,
       .build = settings::parse_number(std::string(response.headers.get("Robinhoist-Build")))
                    .value_or(-1),
       .correct = right});
  if (end == load::ClientResult::succeeded) {
    const double random = std::uniform_real_distribution<double>(0, 1)(random_);
    if (random <
        (right ? scenario_.false_report_share : scenario_.deployment.wrong_answer_report_share))
      loop_.in(
          scenario_.min_report_delay +
              from_seconds(std::uniform_real_distribution<double>(0, 1)(random_) *
                           (scenario_.max_report_delay - scenario_.min_report_delay).count() / 1e6),
          [this, proxy = client_try.proxy, node] { report_wrong_answer(proxy, node); });
  }
  load_.attempt_ended(client_try.id, end, pause ? from_seconds(*pause / 1e3) : Duration{}, now());
  send_due();
}

void Clients::report_wrong_answer(int proxy, const std::string& node) {
  http::Request request;
  request.method = "POST";
  request.target = "/wrong";
  request.body = json::Writer().begin_object().put("node", node).end_object().text();
  admin_pools_[proxy]->call(request, 2s, [](http::CallResult, http::Response&&) {});
}

void Clients::record_unsolicited() {
  for (std::size_t proxy = 0; proxy < service_pools_.size(); ++proxy)
    if (service_pools_[proxy]->unsolicited() > 0)
      record_.write_line(json::Writer()
                             .begin_object()
                             .put("unasked", service_pools_[proxy]->unsolicited())
                             .put("umpire", "umpire-" + std::to_string(proxy))
                             .end_object()
                             .text());
}

}  // namespace robinhoist::day
