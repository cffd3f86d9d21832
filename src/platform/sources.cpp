#include "platform/sources.h"

#include <algorithm>

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

constexpr net::Span pause_least = 50ms, pause_most = 2s;
// A sign of life is due every second (release API) or every two (discovery).
constexpr net::Span releases_silent = 3s, nodes_silent = 6s;
constexpr std::size_t longest_line = 1 << 20;
constexpr std::size_t votes_at_once = 4;
// Two words of one state differ by the way they took.
constexpr Span same_state = 100ms;

http::Limits api_limits() { return {.header = 8 * 1024, .body = longest_line, .framed = true}; }

http::CallerSettings for_votes() {
  http::CallerSettings settings;
  settings.most_connections = votes_at_once;
  settings.connect_within = 1s;
  settings.keep_for = 0s;  // votes are rare, and the platform closes what stands idle
  settings.limits = api_limits();
  return settings;
}

const char* word_of(Verdict verdict) {
  switch (verdict) {
    case Verdict::on:
      return "go";
    case Verdict::hold:
      return "stay";
    case Verdict::back:
      return "stop";
    case Verdict::none:
      break;
  }
  return "blank";
}

}  // namespace

Watch::Watch(net::Loop& loop, const std::string& address, const Settings& settings, const log::Log& log)
    : loop_(loop), address_(address), settings_(settings), log_(log),
      backoff_(pause_least, pause_most, settings.salt) {}

Watch::~Watch() { loop_.cancel(timer_); }

void Watch::start(Target target, Line line) {
  target_ = std::move(target);
  line_ = std::move(line);
  ask();
}

void Watch::again() {
  loop_.cancel(timer_);
  timer_ = loop_.in(0s, [this] { ask(); });
}

void Watch::move(const std::string& address) {
  if (address == address_) return;
  address_ = address;
  backoff_.worked();
  if (stream_) stream_->stop();
  again();
}

void Watch::ask() {
  loop_.cancel(timer_);
  http::Request request;
  request.target = target_();
  stream_ = std::make_unique<http::StreamCaller>(loop_, Poco::Net::SocketAddress(address_), api_limits());
  stream_->start(
      request, settings_.silent_most, [this](std::string& body) { take(body); },
      [this](int, const std::string&) { ended(); });
}

void Watch::take(std::string& body) {
  std::size_t at = 0;
  try {
    for (std::size_t end; (end = body.find('\n', at)) != std::string::npos; at = end + 1) {
      std::string_view line = std::string_view(body).substr(at, end - at);
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      line_(json::object_of(line));
    }
  } catch (const json::BadInput& bad) {
    stream_->stop();
    return broken(bad.what());
  }
  body.erase(0, at);
  backoff_.worked();
  if (failing_) log_.info("heard again", {{"of", settings_.what}, {"from", address_}});
  failing_ = false;
}

void Watch::ended() { broken("it ended or fell silent"); }

void Watch::broken(const std::string& why) {
  if (!failing_) log_.warn("not heard", {{"of", settings_.what}, {"from", address_}, {"why", why}});
  failing_ = true;
  loop_.cancel(timer_);
  timer_ = loop_.in(backoff_.failed(), [this] { ask(); });
}

Discovery::Discovery(net::Loop& loop, const std::string& address, std::int64_t version, unsigned salt,
                     const log::Log& log)
    : version_(version),
      watch_(loop, address, {.what = "nodes", .silent_most = nodes_silent, .salt = salt}, log) {}

void Discovery::start(Heard heard) {
  watch_.start([this] { return "/discovery/hosts?watch=1&from=" + std::to_string(version_); },
               [this, heard](const json::Json& object) {
                 list::News news = nodes_of(object);
                 if (!news.whole && news.version < version_) return;  // older than what is held
                 version_ = news.version;
                 heard(news);
               });
}

void Discovery::refresh() {
  version_ = 0;
  watch_.again();
}

ReleaseApi::ReleaseApi(net::Loop& loop, const std::string& address, const RelNews& known,
                       net::Span vote_within, unsigned salt, const log::Log& log)
    : loop_(loop), vote_within_(vote_within), known_(known), known_from_(loop.now() - known.since),
      caller_(std::make_unique<http::Caller>(loop, Poco::Net::SocketAddress(address), for_votes())),
      watch_(loop, address, {.what = "releases", .silent_most = releases_silent, .salt = salt}, log) {}

void ReleaseApi::start(Heard heard) {
  heard_ = std::move(heard);
  RelNews at_start = known_;
  at_start.since = std::max(Span{}, loop_.now() - known_from_);
  heard_(at_start);
  watch_.start([] { return "/v1/watch"; },
               [this](const json::Json& line) {
                 if (line.ObjectEmpty()) return;  // a sign of life
                 const std::string type = json::text(line, "type");
                 const json::Json& object = json::inner(line, "object");
                 if (type == "ROLLOUT") return told(rel_of(object));
                 if (type == "DISPUTE" && flagged_)
                   flagged_(json::text(object, "InstanceId"), json::time_of(object, "AgeMs"));
               });
}

// A vote's answer and the watch may overtake each other: what stood earlier is no news.
void ReleaseApi::told(const RelNews& rel) {
  const Span from = loop_.now() - rel.since;
  if (rel.build < known_.build || (rel.build == known_.build && from < known_from_ - same_state)) return;
  known_ = rel;
  known_from_ = from;
  heard_(rel);
}

void ReleaseApi::vote(int build, int stage, Verdict verdict, Answered answered) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/verdicts";
  request.headers.add("Content-Type", "application/json");
  request.body = json::Out()
                     .open()
                     .put("Revision", build)
                     .put("Wave", stage)
                     .put("Decision", word_of(verdict))
                     .close()
                     .text();
  caller_->call(request, vote_within_, [this, answered](http::Ended how, http::Response&& response) {
    if (how == http::Ended::unreached || how == http::Ended::withheld)
      return answered(Outcome::no_connection);
    if (how != http::Ended::answered) return answered(Outcome::timeout);
    if (response.status == 409) return answered(Outcome::moot);
    if (response.status == 429) return answered(Outcome::full);
    if (response.status != 200) return answered(Outcome::error);
    RelNews rel{};
    try {
      rel = rel_of(json::object_of(response.body));
    } catch (const json::BadInput&) {
      return answered(Outcome::timeout);  // it can't be read: the vote may count
    }
    answered(Outcome::ok);
    told(rel);
  });
}

void ReleaseApi::move(const std::string& address) {
  watch_.move(address);
  if (caller_->peer().toString() == Poco::Net::SocketAddress(address).toString()) return;
  leaving_.erase(std::remove_if(leaving_.begin(), leaving_.end(), [](auto& c) { return c->busy() == 0; }),
                 leaving_.end());
  leaving_.push_back(std::move(caller_));
  caller_ = std::make_unique<http::Caller>(loop_, Poco::Net::SocketAddress(address), for_votes());
}

}  // namespace robinhoist::platform
