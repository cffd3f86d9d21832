#include "list/service.h"

#include <algorithm>

#include "json/fields.h"

namespace robinhoist::list {
namespace {
using namespace std::chrono_literals;
constexpr net::Span gather = 2ms, most_wait = 60s;  // changes that come together are told together

std::int64_t whole_or(const std::string& text, std::int64_t absent) {
  if (text.empty() || text.size() > 15 || text.find_first_not_of("0123456789") != std::string::npos)
    return absent;
  return std::stoll(text);
}
}  // namespace

Service::Service(net::Loop& loop, const http::ServerSettings& server, const std::string& series, Told told)
    : loop_(loop), registry_(series), told_(std::move(told)),
      server_(
          std::make_unique<http::Server>(loop, server, [this](const http::ExchangePtr& e) { handle(e); })) {}

Service::~Service() {
  loop_.cancel(wake_);
  for (Waiting& waiting : waiting_) {
    loop_.cancel(waiting.timer);
    waiting.exchange->on_gone = nullptr;
  }
}

void Service::later(std::function<bool()> change) {
  last_due_ = std::max(last_due_, loop_.now() + lag_);
  if (last_due_ <= loop_.now()) {
    if (change()) wake();
    return;
  }
  loop_.at(last_due_, [this, change] {
    if (change()) wake();
  });
}

void Service::put(const Entry& entry) {
  later([this, entry] { return registry_.put(entry); });
}
void Service::phase(const std::string& name, NodePhase phase) {
  later([this, name, phase] { return registry_.phase(name, phase); });
}
void Service::remove(const std::string& name) {
  later([this, name] { return registry_.remove(name); });
}

void Service::wake() {
  if (wake_.second != 0) return;
  wake_ = loop_.in(gather, [this] {
    wake_ = net::Loop::no_timer;
    auto waiting = std::move(waiting_);
    waiting_.clear();
    for (Waiting& one : waiting) answer(one);
  });
}

void Service::answer(Waiting& waiting) {
  loop_.cancel(waiting.timer);
  waiting.exchange->on_gone = nullptr;
  News news = registry_.since(waiting.series, waiting.since);
  if (told_) told_(waiting.umpire, news);
  waiting.exchange->answer(http::json_answer(200, encoded(news)));
}

void Service::ask(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  Waiting waiting{exchange, request.query("umpire"), request.query("series"),
                  whole_or(request.query("since"), 0)};
  const auto wait =
      std::min<net::Span>(most_wait, std::chrono::milliseconds(whole_or(request.query("wait_ms"), 0)));
  const News now = registry_.since(waiting.series, waiting.since);
  if (now.whole || !now.entries.empty() || wait <= net::Span{}) return answer(waiting);
  waiting_.push_back(std::move(waiting));
  auto at = std::prev(waiting_.end());
  at->timer = loop_.in(wait, [this, at] {
    Waiting due = std::move(*at);
    waiting_.erase(at);
    answer(due);
  });
  exchange->on_gone = [this, at] {
    loop_.cancel(at->timer);
    waiting_.erase(at);
  };
}

void Service::handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  const std::string path(request.path()), nodes = "/v1/nodes";
  if (request.method == "GET" && path == "/health") return exchange->answer(http::text_answer(200, "well\n"));
  if (path == nodes && request.method == "GET") return ask(exchange);
  if (path == nodes && request.method == "PUT") {
    try {
      News one = decoded("{\"series\":\"\",\"version\":0,\"whole\":false,\"nodes\":[" + request.body + "]}");
      for (const Entry& entry : one.entries) put(entry);
    } catch (const json::BadInput& bad) {
      return exchange->answer(http::text_answer(422, std::string(bad.what()) + "\n"));
    }
    return exchange->answer(http::json_answer(200, "{}"));
  }
  if (path.rfind(nodes + "/", 0) == 0 && request.method == "DELETE") {
    remove(http::percent_decoded(path.substr(nodes.size() + 1)));
    return exchange->answer(http::json_answer(200, "{}"));
  }
  exchange->answer(http::text_answer(404, "no such thing here\n"));
}

}  // namespace robinhoist::list
