#include "day/clients.h"

#include <algorithm>

#include "record/lines.h"
#include "time/units.h"

namespace robinhoist::day {
namespace {
using namespace std::chrono_literals;
http::ConnectionPoolSettings call_settings() {
  http::ConnectionPoolSettings settings;
  settings.max_connections = 4000;
  settings.connect_timeout = 1s;
  return settings;
}
}  // namespace

Clients::Clients(net::Loop& loop, const Scenario& day, unsigned salt,
                 const std::vector<ProxyPorts>& proxies, record::Writer& record)
    : loop_(loop), day_(day), load_(day.load, salt), random_(salt + 1), record_(record) {
  for (const ProxyPorts& ports : proxies) {
    auto at = [](int port) {
      return Poco::Net::SocketAddress("127.0.0.1:" + std::to_string(port));
    };
    fronts_.push_back(
        std::make_unique<http::ConnectionPool>(loop, at(ports.front), call_settings()));
    admins_.push_back(
        std::make_unique<http::ConnectionPool>(loop, at(ports.admin), call_settings()));
  }
}

void Clients::begin(TimePoint from) {
  from_ = from;
  begun_ = true;
  for (const Fault& trouble : day_.faults)
    loop_.at(from + trouble.at, [this, &trouble] { begin_trouble(trouble); });
  pull();
}

void Clients::proxy(int number, bool up) {
  load_.proxy(number, up, now());
}

void Clients::begin_trouble(const Fault& trouble) {
  const auto at_end = [&](std::function<void()> undo) {
    loop_.in(trouble.duration, std::move(undo));
  };
  const auto& d = day_.deployment;
  switch (trouble.kind) {
    case FaultKind::burst:
      load_.burst(trouble.magnitude);
      at_end([this] { load_.burst(1); });
      break;
    case FaultKind::hot_caller: {
      std::vector<int> some;
      const int many = std::max(1, static_cast<int>(trouble.target_share * d.proxies + 0.5));
      for (int u = 0; u < many; ++u)
        some.push_back((u * 7 + 1) % d.proxies);
      load_.hot(some, trouble.magnitude);
      at_end([this] { load_.hot({}, 0); });
      break;
    }
    case FaultKind::bad_requests:
      load_.poison(trouble.tenant.empty() ? -1 : d.tenant(trouble.tenant), trouble.magnitude);
      at_end([this] { load_.poison(-1, 0); });
      break;
    case FaultKind::retry_abuse:
      load_.abuse(d.tenant(trouble.tenant), static_cast<int>(trouble.magnitude), trouble.extra);
      at_end([this] { load_.abuse(-1, 0, 1); });
      break;
    default:
      break;
  }
}

void Clients::pull() {
  loop_.cancel(timer_);
  if (!begun_)
    return;
  while (auto one = load_.next(now()))
    send(*one);
  if (auto at = load_.next_at())
    timer_ = loop_.at(loop_time(*at), [this] { pull(); });
}

void Clients::send(const load::Try& one) {
  const auto& request_class = day_.deployment.request_classes[one.request_class];
  const deployment::Match& match = request_class.matches.front();
  http::Request request;
  request.method = match.method;
  request.target = match.prefix ? match.path + "?n=" + std::to_string(one.id) : match.path;
  request.headers.add("X-Try", std::to_string(one.id));
  request.headers.add("X-Work-Us", std::to_string(one.work.count()));
  const Duration left = one.until - now();
  request.headers.add(
      "X-Remaining-Ms",
      std::to_string(static_cast<double>(std::max(Duration(1), left).count()) / 1e3));
  if (!day_.deployment.tenants.empty())
    request.headers.add("X-Tenant", day_.deployment.tenants[one.tenant].name);
  if (!one.key.empty())
    request.headers.add("Idempotency-Key", one.key);
  if (one.poison)
    request.headers.add("X-Poison", "1");
  if (request.method != "GET")
    request.body = "{\"txn\":" + std::to_string(one.first) + "}";
  // A client listens a little longer than it told, so that an answer that comes too late is seen
  // to.
  const auto call = fronts_[one.proxy]->call(
      request, std::max(Duration(1), left) + 2 * day_.answer_slack,
      [this, one](http::CallResult how, http::Response&& response) { ended(one, how, response); });
  calls_[one.id] = {one.proxy, call};
  if (one.leaves == TimePoint{})
    return;
  loop_.at(loop_time(one.leaves), [this, one] {
    auto at = calls_.find(one.id);
    if (at == calls_.end())
      return;
    fronts_[at->second.first]->cancel(at->second.second);
    ended(one, http::CallResult::cancelled, {});
  });
}

void Clients::ended(const load::Try& one, http::CallResult how, const http::Response& response) {
  if (calls_.erase(one.id) == 0)
    return;
  load::End end = load::End::broken;
  const std::string_view said = response.headers.get("Robinhoist-Outcome");
  if (http::proves_not_sent(how))
    end = load::End::unreached;
  if (how == http::CallResult::timed_out)
    end = load::End::timed_out;
  if (how == http::CallResult::cancelled)
    end = load::End::left;
  if (how == http::CallResult::answered)
    end = said == "settled"    ? load::End::succeeded
          : said == "declined" ? load::End::rejected
          : said == "voided"   ? load::End::failed
                               : load::End::rejected_before_routing;
  bool right = true;
  if (end == load::End::succeeded && response.body.find("\"right\":false") != std::string::npos)
    right = false;
  const std::string node(response.headers.get("Robinhoist-Node"));
  auto pause =
      settings::parse_number(std::string(response.headers.get("Robinhoist-Retry-After-Ms")));
  const std::string proxy = "umpire-" + std::to_string(one.proxy);
  record::tried(
      record_,
      {.from = loop_time(one.at),
       .to = loop_.now(),
       .until = loop_time(one.until),
       .id = one.id,
       .first = one.first,
       .number = one.number,
       .request_class = one.request_class,
       .tenant = one.tenant,
       .proxy = proxy,
       .key = one.key,
       .poison = one.poison,
       .end = load::to_string(end),
       .status = response.status,
       .why = response.headers.get("Robinhoist-Why"),
       .endpoint = node,
       .build = settings::parse_number(std::string(response.headers.get("Robinhoist-Build")))
                    .value_or(-1),
       .right = right});
  if (end == load::End::succeeded) {
    const double random = std::uniform_real_distribution<double>(0, 1)(random_);
    if (random < (right ? day_.false_report_share : day_.deployment.wrong_answer_report_share))
      loop_.in(day_.min_report_delay +
                   from_seconds(std::uniform_real_distribution<double>(0, 1)(random_) *
                                (day_.max_report_delay - day_.min_report_delay).count() / 1e6),
               [this, proxy = one.proxy, node] { report(proxy, node); });
  }
  load_.ended(one.id, end, pause ? from_seconds(*pause / 1e3) : Duration{}, now());
  pull();
}

void Clients::report(int proxy, const std::string& node) {
  http::Request request;
  request.method = "POST";
  request.target = "/wrong";
  request.body = json::Writer().begin_object().put("node", node).end_object().text();
  admins_[proxy]->call(request, 2s, [](http::CallResult, http::Response&&) {});
}

void Clients::note_unasked() {
  for (std::size_t u = 0; u < fronts_.size(); ++u)
    if (fronts_[u]->unsolicited() > 0)
      record_.line(json::Writer()
                       .begin_object()
                       .put("unasked", fronts_[u]->unsolicited())
                       .put("umpire", "umpire-" + std::to_string(u))
                       .end_object()
                       .text());
}

}  // namespace robinhoist::day
