#include "platform/sources.h"

#include <algorithm>
#include <utility>

#include "json/writer.h"

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

// What a watch misses counts as told so long after it fell silent, whether or not it came: by then
// the silence must be known, another watch be up and its list taken, though a connection or two
// hang on the way.
constexpr Duration told_after = 6s;
// An empty line is due every two seconds, and the agent is on this machine and answers at once.
constexpr Duration endpoints_silent = told_after / 2, endpoints_first = 1s, endpoints_pause = 500ms;
// A sign of life is due every second.
constexpr Duration releases_silent = 3s, releases_pause = 2s;
constexpr Duration pause_least = 50ms;
constexpr std::size_t longest_object = 1 << 20;
constexpr std::size_t votes_at_once = 4;
// Two words of one state differ by the way they took.
constexpr Duration same_state = 100ms;

http::MessageLimits api_limits() {
  return {.max_header_bytes = 8 * 1024, .max_body_bytes = longest_object, .require_length = true};
}

http::ConnectionPoolSettings for_votes() {
  http::ConnectionPoolSettings settings;
  settings.max_connections = votes_at_once;
  settings.connect_timeout = 1s;
  settings.idle_timeout = 0s;  // votes are rare, and the platform closes what stands idle
  settings.limits = api_limits();
  return settings;
}

const char* word_of(Verdict verdict) {
  switch (verdict) {
    case Verdict::promote:
      return "go";
    case Verdict::hold:
      return "stay";
    case Verdict::roll_back:
      return "stop";
    case Verdict::none:
      break;
  }
  return "blank";
}

// How far a build has come: a canary's stages, the release, the way back.
std::pair<int, int> place(const ReleaseUpdate& release) {
  switch (release.phase) {
    case ReleasePhase::canary:
      return {0, release.stage};
    case ReleasePhase::released:
      return {1, 0};
    case ReleasePhase::rolling_back:
      return {2, 0};
    case ReleasePhase::rolled_back:
      break;
  }
  return {3, 0};
}

}  // namespace

Watch::Watch(net::Loop& loop, const std::string& address, const Settings& settings,
             const log::Logger& log)
    : loop_(loop),
      address_(address),
      settings_(settings),
      log_(log),
      backoff_(pause_least, settings.pause_most, settings.salt),
      framer_(longest_object) {}

Watch::~Watch() {
  loop_.cancel(timer_);
}

void Watch::start(Target target, Event event) {
  target_ = std::move(target);
  event_ = std::move(event);
  ask();
}

void Watch::again() {
  loop_.cancel(timer_);
  timer_ = loop_.in(0s, [this] { ask(); });
}

void Watch::move(const std::string& address) {
  if (address == address_)
    return;
  address_ = address;
  backoff_.reset();
  if (stream_)
    stream_->stop();
  again();
}

void Watch::ask() {
  loop_.cancel(timer_);
  http::Request request;
  request.target = target_();
  stream_ =
      std::make_unique<http::StreamClient>(loop_, Poco::Net::SocketAddress(address_), api_limits());
  framer_ = json::Framer(longest_object);
  stream_->start(
      request, settings_.silence, [this](std::string& body) { return take(body); },
      [this](int, const std::string&) { ended(); });
}

bool Watch::take(std::string& body) {
  const std::size_t lines = framer_.lines();
  std::size_t objects = 0;
  try {
    json::FrameStatus framed;
    for (; (framed = framer_.next(body)) == json::FrameStatus::object; ++objects)
      event_(json::parse_object(framer_.object()));
    if (framed == json::FrameStatus::bad)
      throw json::DecodeError("what comes is no JSON object");
  } catch (const json::DecodeError& bad) {
    stream_->stop();
    broken(bad.what());
    return false;
  }
  body.erase(0, framer_.done());
  if (objects == 0 && framer_.lines() == lines)
    return false;
  backoff_.reset();
  if (failing_)
    log_.info("heard again", {{"of", settings_.what}, {"from", address_}});
  failing_ = false;
  return true;
}

void Watch::ended() {
  broken("it ended or fell silent");
}

void Watch::broken(const std::string& why) {
  if (!failing_)
    log_.warn("not heard", {{"of", settings_.what}, {"from", address_}, {"why", why}});
  failing_ = true;
  loop_.cancel(timer_);
  timer_ = loop_.in(backoff_.next_delay(), [this] { ask(); });
}

Watch::Settings Discovery::watching(unsigned salt) {
  return {.what = "nodes",
          .silence = {.first = endpoints_first, .next = endpoints_silent},
          .pause_most = endpoints_pause,
          .salt = salt};
}

Discovery::Discovery(net::Loop& loop, const std::string& address, std::int64_t version,
                     const Watch::Settings& watch, const log::Logger& log)
    : loop_(loop), version_(version), watch_(loop, address, watch, log) {}

void Discovery::start(Heard heard) {
  heard_ = std::move(heard);
  watch_.start([this] { return "/discovery/hosts?watch=1&from=" + std::to_string(version_); },
               [this](const json::Value& object) { told(endpoints_of(object)); });
}

// A list older than the one held is not believed, unless nothing else has been told for as long as
// a change may take: then discovery has begun anew.
void Discovery::told(const registry::Update& news) {
  if (news.version < version_) {
    if (!older_from_)
      older_from_ = loop_.now();
    if (!news.whole || loop_.now() < *older_from_ + told_after)
      throw json::DecodeError("revision " + std::to_string(news.version) +
                              " is older than the one held, " + std::to_string(version_));
  }
  older_from_.reset();
  version_ = news.version;
  heard_(news);
}

void Discovery::refresh() {
  version_ = 0;
  watch_.again();
}

Watch::Settings ReleaseApi::watching(unsigned salt) {
  return {.what = "releases",
          .silence = {.first = releases_silent, .next = releases_silent},
          .pause_most = releases_pause,
          .salt = salt};
}

ReleaseApi::ReleaseApi(net::Loop& loop, const std::string& address, const ReleaseUpdate& known,
                       Duration vote_within, unsigned salt, const log::Logger& log)
    : loop_(loop),
      vote_within_(vote_within),
      known_(known),
      known_from_(loop.now() - known.since),
      caller_(std::make_unique<http::ConnectionPool>(loop, Poco::Net::SocketAddress(address),
                                                     for_votes())),
      watch_(loop, address, watching(salt), log) {}

void ReleaseApi::start(Heard heard) {
  heard_ = std::move(heard);
  ReleaseUpdate at_start = known_;
  at_start.since = std::max(Duration{}, loop_.now() - known_from_);
  heard_(at_start);
  watch_.start([] { return "/v1/watch"; },
               [this](const json::Value& line) {
                 if (line.ObjectEmpty())
                   return;  // a sign of life
                 const std::string type = json::text(line, "type");
                 const json::Value& object = json::nested_object(line, "object");
                 if (type == "ROLLOUT")
                   return told(release_update_of(object));
                 if (type == "DISPUTE" && flagged_)
                   flagged_(json::text(object, "InstanceId"), json::duration(object, "AgeMs"));
               });
}

// A vote's answer and the watch may overtake each other, or come from an address given up: what
// stood earlier is no news. An answer that was long on its way seems younger than it is, by as much
// as a vote may take: guards against the cap of a stage that is over.
void ReleaseApi::told(const ReleaseUpdate& release) {
  const TimePoint from = loop_.now() - release.since;
  if (release.build < known_.build)
    return;
  if (release.build == known_.build) {
    const auto now = place(release), before = place(known_);
    if (from < known_from_ + (now < before ? vote_within_ : -same_state))
      return;
  }
  known_ = release;
  known_from_ = from;
  heard_(release);
}

void ReleaseApi::vote(int build, int stage, Verdict verdict, Answered answered) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/verdicts";
  request.headers.add("Content-Type", "application/json");
  request.body = json::Writer()
                     .begin_object()
                     .put("Revision", build)
                     .put("Wave", stage)
                     .put("Decision", word_of(verdict))
                     .end_object()
                     .text();
  caller_->call(request, vote_within_,
                [this, answered](http::CallResult how, http::Response&& response) {
                  if (how == http::CallResult::connect_failed || how == http::CallResult::not_sent)
                    return answered(Outcome::connect_failure);
                  if (how != http::CallResult::answered)
                    return answered(Outcome::timeout);
                  if (response.status == 409)
                    return answered(Outcome::obsolete);
                  if (response.status == 429)
                    return answered(Outcome::rejected);
                  if (response.status != 200)
                    return answered(Outcome::error);
                  ReleaseUpdate release{};
                  try {
                    release = release_update_of(json::parse_object(response.body));
                  } catch (const json::DecodeError&) {
                    return answered(Outcome::timeout);  // it can't be read: the vote may count
                  }
                  answered(Outcome::ok);
                  told(release);
                });
}

void ReleaseApi::move(const std::string& address) {
  watch_.move(address);
  if (caller_->peer().toString() == Poco::Net::SocketAddress(address).toString())
    return;
  leaving_.erase(
      std::remove_if(leaving_.begin(), leaving_.end(), [](auto& c) { return c->busy() == 0; }),
      leaving_.end());
  leaving_.push_back(std::move(caller_));
  caller_ =
      std::make_unique<http::ConnectionPool>(loop_, Poco::Net::SocketAddress(address), for_votes());
}

}  // namespace robinhoist::platform
