#include "umpire/sources.h"

#include "json/fields.h"

namespace robinhoist::umpire {
namespace {
using namespace std::chrono_literals;
constexpr net::Span poll_wait = 10s, poll_slack = 3s, pause_least = 100ms, pause_most = 2s;

http::CallerSettings few_connections() {
  http::CallerSettings settings;
  settings.most_connections = 4;
  settings.connect_within = 1s;
  settings.limits.body = 16u << 20;
  return settings;
}

std::string wait_ms() { return std::to_string(poll_wait.count() / 1000); }
}  // namespace

Poll::Poll(net::Loop& loop, const std::string& from, unsigned salt, const log::Log& log)
    : loop_(loop), caller_(loop, Poco::Net::SocketAddress(from), few_connections()),
      backoff_(pause_least, pause_most, salt), log_(log) {}

Poll::~Poll() { loop_.cancel(timer_); }

void Poll::start(std::function<std::string()> target, Answer answer) {
  target_ = std::move(target);
  answer_ = std::move(answer);
  ask();
}

void Poll::again() {
  caller_.cancel(call_);
  loop_.cancel(timer_);
  ask();
}

void Poll::ask() {
  http::Request request;
  request.target = target_();
  call_ = caller_.call(request, poll_wait + poll_slack, [this](http::Ended how, http::Response&& response) {
    const bool fine = how == http::Ended::answered && response.status == 200 && answer_(response);
    if (fine != !failing_) {
      failing_ = !fine;
      if (failing_)
        log_.warn("news can't be had", {{"from", caller_.peer().toString()},
                                        {"status", log::text(response.status)},
                                        {"ended", log::text(static_cast<int>(how))}});
      else log_.info("news comes again", {{"from", caller_.peer().toString()}});
    }
    if (fine) backoff_.worked();
    timer_ = loop_.in(fine ? net::Span(0) : backoff_.failed(), [this] { ask(); });
  });
}

HttpNodeSource::HttpNodeSource(net::Loop& loop, const std::string& from, const std::string& umpire,
                               unsigned salt, const log::Log& log)
    : umpire_(umpire), poll_(loop, from, salt, log) {}

void HttpNodeSource::start(Heard heard) {
  poll_.start(
      [this] {
        return "/v1/nodes?umpire=" + umpire_ + "&series=" + series_ + "&since=" + std::to_string(version_) +
               "&wait_ms=" + wait_ms();
      },
      [this, heard](const http::Response& response) {
        list::News news;
        try {
          news = list::decoded(response.body);
        } catch (const json::BadInput&) {
          return false;
        }
        if (news.series == series_ && news.version < version_) return true;  // older than what is held
        const bool fresh = news.whole || news.version > version_;
        series_ = news.series;
        version_ = news.version;
        if (fresh) heard(news);
        return true;
      });
}

void HttpNodeSource::refresh() {
  series_.clear();
  version_ = 0;
  poll_.again();
}

HttpReleaseSource::HttpReleaseSource(net::Loop& loop, const std::string& from, const std::string& umpire,
                                     net::Span vote_within, unsigned salt, const log::Log& log)
    : umpire_(umpire), vote_within_(vote_within), poll_(loop, from, salt, log) {}

// News that is older than what is held, come late or twice, changes nothing.
bool HttpReleaseSource::take(const std::string& text) {
  rollout::News news;
  try {
    news = rollout::decoded(text);
  } catch (const json::BadInput&) {
    return false;
  }
  if (news.series == series_ && news.version < version_) return true;
  series_ = news.series;
  version_ = news.version;
  heard_(news.rel);
  return true;
}

void HttpReleaseSource::start(Heard heard) {
  heard_ = std::move(heard);
  poll_.start(
      [this] {
        return "/v1/news?umpire=" + umpire_ + "&series=" + series_ + "&since=" + std::to_string(version_) +
               "&wait_ms=" + wait_ms();
      },
      [this](const http::Response& response) { return take(response.body); });
}

void HttpReleaseSource::vote(int build, int stage, Verdict verdict, Answered answered) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/votes";
  request.headers.add("Content-Type", "application/json");
  request.body = json::Out()
                     .open()
                     .put("umpire", umpire_)
                     .put("build", build)
                     .put("stage", stage)
                     .put("verdict", rollout::word(verdict))
                     .close()
                     .text();
  poll_.caller().call(request, vote_within_, [answered](http::Ended how, http::Response&& response) {
    if (how == http::Ended::unreached) return answered(Outcome::no_connection);
    if (how == http::Ended::timed_out) return answered(Outcome::timeout);
    if (how != http::Ended::answered) return answered(Outcome::reset);
    answered(response.status == 200   ? Outcome::ok
             : response.status == 409 ? Outcome::moot
             : response.status == 429 ? Outcome::full
                                      : Outcome::error);
  });
}

void HttpReleaseSource::patients(long txns, long poorly) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/patients";
  request.body =
      json::Out().open().put("umpire", umpire_).put("txns", txns).put("poorly", poorly).close().text();
  poll_.caller().call(request, 1s,
                      [](http::Ended, http::Response&&) {});  // the next word makes up for a lost one
}

}  // namespace robinhoist::umpire
