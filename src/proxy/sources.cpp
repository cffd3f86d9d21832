#include "proxy/sources.h"

#include <unistd.h>

#include <algorithm>

#include "json/reader.h"
#include "json/writer.h"
#include "rollout/names.h"

namespace robinhoist::proxy {
namespace {
using namespace std::chrono_literals;
constexpr Duration poll_wait = 10s, poll_slack = 3s, pause_least = 100ms, pause_most = 2s;
// A watch without even a bookmark for so long is taken for dead.
constexpr Duration silent_most = 15s, beat_first = 1s, beat_least = 50ms, beat_most = 30s,
                   beat_within = 1s;

http::ConnectionPoolSettings few_connections() {
  http::ConnectionPoolSettings settings;
  settings.max_connections = 4;
  settings.connect_timeout = 1s;
  settings.limits.max_body_bytes = 16u << 20;
  return settings;
}

std::string wait_ms() {
  return std::to_string(poll_wait.count() / 1000);
}
}  // namespace

Poll::Poll(net::Loop& loop, const std::string& from, unsigned salt, const log::Logger& log)
    : loop_(loop),
      caller_(loop, Poco::Net::SocketAddress(from), few_connections()),
      backoff_(pause_least, pause_most, salt),
      log_(log) {}

Poll::~Poll() {
  loop_.cancel(timer_);
}

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
  call_ = caller_.call(
      request, poll_wait + poll_slack, [this](http::CallResult how, http::Response&& response) {
        const bool fine =
            how == http::CallResult::answered && response.status == 200 && answer_(response);
        if (fine != !failing_) {
          failing_ = !fine;
          if (failing_)
            log_.warn("news can't be had", {{"from", caller_.peer().toString()},
                                            {"status", log::text(response.status)},
                                            {"ended", log::text(static_cast<int>(how))}});
          else
            log_.info("news comes again", {{"from", caller_.peer().toString()}});
        }
        if (fine)
          backoff_.reset();
        timer_ = loop_.in(fine ? Duration(0) : backoff_.next_delay(), [this] { ask(); });
      });
}

HttpEndpointSource::HttpEndpointSource(net::Loop& loop, const std::string& from,
                                       const std::string& proxy, unsigned salt,
                                       const log::Logger& log)
    : engine_(proxy), poll_(loop, from, salt, log) {}

void HttpEndpointSource::start(Heard heard) {
  poll_.start(
      [this] {
        return "/v1/nodes?umpire=" + engine_ + "&series=" + series_ +
               "&since=" + std::to_string(version_) + "&wait_ms=" + wait_ms();
      },
      [this, heard](const http::Response& response) {
        registry::Update news;
        try {
          news = registry::decoded(response.body);
        } catch (const json::DecodeError&) {
          return false;
        }
        if (news.series == series_ && news.version < version_)
          return true;  // older than what is held
        const bool fresh = news.whole || news.version > version_;
        series_ = news.series;
        version_ = news.version;
        if (fresh)
          heard(news);
        return true;
      });
}

void HttpEndpointSource::refresh() {
  series_.clear();
  version_ = 0;
  poll_.again();
}

WatchReleaseSource::WatchReleaseSource(net::Loop& loop, const Settings& settings,
                                       const log::Logger& log)
    : loop_(loop),
      settings_(settings),
      log_(log),
      caller_(loop, Poco::Net::SocketAddress(settings.from), few_connections()),
      stream_(loop, Poco::Net::SocketAddress(settings.from), few_connections().limits),
      backoff_(pause_least, pause_most, settings.salt),
      beat_every_(beat_first) {
  // No two processes may have the same, not even with the same salt.
  session_ =
      std::to_string(::getpid()) + "-" + std::to_string(net::wall_now().time_since_epoch().count());
}

WatchReleaseSource::~WatchReleaseSource() {
  loop_.cancel(again_);
  loop_.cancel(beat_);
}

http::Request WatchReleaseSource::post(const std::string& target, const std::string& body) const {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.headers.add("Content-Type", "application/json");
  if (!settings_.token.empty())
    request.headers.add("Authorization", "Bearer " + settings_.token);
  request.body = body;
  return request;
}

void WatchReleaseSource::start(Heard heard) {
  heard_ = std::move(heard);
  watch();
  beat();
}

void WatchReleaseSource::watch() {
  http::Request request;
  request.target = "/v1/releases?watch=1&view=brief&umpire=" + settings_.proxy;
  const bool anew = !follower_.synced();
  if (!anew)
    request.target +=
        "&series=" + follower_.series() + "&resourceVersion=" + std::to_string(follower_.version());
  if (!settings_.token.empty())
    request.headers.add("Authorization", "Bearer " + settings_.token);
  follower_.begins(anew);
  stream_.start(
      request, {silent_most, silent_most}, [this](std::string& body) { return take(body); },
      [this](int status, const std::string&) { ended(status); });
}

bool WatchReleaseSource::take(std::string& body) {
  bool alive = false;
  for (;;) {
    const auto line = follower_.take(body, loop_.now());
    if (line == releases::Follower::Line::none)
      break;
    alive = true;
    if (line == releases::Follower::Line::taken)
      continue;
    // Told that it can't go on from there, or not understood: all of it again.
    follower_ = {};
    stream_.stop();
    ended(line == releases::Follower::Line::begin_anew ? 410 : 0);
    return false;
  }
  if (!alive)
    return false;
  if (failing_)
    log_.info("releases are heard of again", {{"from", stream_.peer().toString()}});
  failing_ = false;
  backoff_.reset();
  if (auto news = follower_.news(loop_.now())) {
    newest_ = news->name;
    heard_(news->release);
    acknowledged_ = news;
    beat();
  }
  return true;
}

void WatchReleaseSource::ended(int status) {
  if (status == 410)
    follower_ = {};
  if (!failing_ && status != 200)
    log_.warn("releases are not heard of",
              {{"from", stream_.peer().toString()}, {"status", log::text(status)}});
  failing_ = failing_ || status != 200;
  loop_.cancel(again_);
  again_ = loop_.in(backoff_.next_delay(), [this] { watch(); });
}

void WatchReleaseSource::beat() {
  loop_.cancel(beat_);
  json::Writer body;
  body.begin_object().put("session", session_);
  if (acknowledged_)
    body.begin_object("acknowledged")
        .put("build", acknowledged_->release.build)
        .put("stage", acknowledged_->release.stage)
        .put("cap", acknowledged_->release.cap)
        .put("version", static_cast<long>(acknowledged_->version))
        .end_object();
  caller_.call(post("/v1/umpires/" + settings_.proxy + "/heartbeat", body.end_object().text()),
               beat_within, [this](http::CallResult how, http::Response&& response) {
                 if (how != http::CallResult::answered)
                   return;
                 if (response.status == 409 && !superseded_)
                   log_.error("another process has this umpire's name: its votes don't count",
                              {{"name", settings_.proxy}});
                 superseded_ = response.status == 409;
                 if (response.status != 200)
                   return;
                 try {
                   beat_every_ =
                       std::clamp(json::duration(json::parse_object(response.body), "leaseMs") / 3,
                                  beat_least, beat_most);
                 } catch (const json::DecodeError&) {
                   // The next tells it again.
                 }
               });
  beat_ = loop_.in(beat_every_, [this] { beat(); });
}

void WatchReleaseSource::vote(int build, int stage, Verdict verdict, Answered answered) {
  if (newest_.empty() || !acknowledged_ || acknowledged_->release.build != build) {
    // It has heard of a newer release since.
    loop_.in(Duration(0), [answered] { answered(Outcome::obsolete); });
    return;
  }
  const std::string body = json::Writer()
                               .begin_object()
                               .put("umpire", settings_.proxy)
                               .put("session", session_)
                               .put("stage", stage)
                               .put("verdict", rollout::to_string(verdict))
                               .end_object()
                               .text();
  caller_.call(post("/v1/releases/" + newest_ + "/votes", body), settings_.vote_within,
               [answered](http::CallResult how, http::Response&& response) {
                 if (how == http::CallResult::connect_failed)
                   return answered(Outcome::connect_failure);
                 if (how == http::CallResult::timed_out)
                   return answered(Outcome::timeout);
                 if (how != http::CallResult::answered)
                   return answered(Outcome::reset);
                 answered(response.status == 200   ? Outcome::ok
                          : response.status == 409 ? Outcome::obsolete
                          : response.status == 429 ? Outcome::rejected
                                                   : Outcome::error);
               });
}

void WatchReleaseSource::client_outcomes(long requests, long unsuccessful) {
  // The next word makes up for a lost one.
  caller_.call(post("/v1/patients", json::Writer()
                                        .begin_object()
                                        .put("umpire", settings_.proxy)
                                        .put("txns", requests)
                                        .put("poorly", unsuccessful)
                                        .end_object()
                                        .text()),
               1s, [](http::CallResult, http::Response&&) {});
}

}  // namespace robinhoist::proxy
