#include "platform/watch.h"

#include <chrono>
#include <utility>

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

constexpr Duration min_retry_delay = 50ms;
constexpr std::size_t max_header_bytes = std::size_t{8} * 1024;

}  // namespace

http::MessageLimits service_limits(std::size_t max_object_bytes) {
  return {.max_header_bytes = max_header_bytes,
          .max_body_bytes = max_object_bytes,
          .require_length = true};
}

Watch::Watch(net::Loop& loop, const std::string& address, const Settings& settings,
             const log::Logger& log)
    : loop_(loop),
      address_(address),
      settings_(settings),
      log_(log),
      backoff_(min_retry_delay, settings.max_retry_delay, settings.seed),
      framer_(settings.max_object_bytes) {}

Watch::~Watch() {
  loop_.cancel(timer_);
}

void Watch::start(Target target, OnObject on_object) {
  target_ = std::move(target);
  on_object_ = std::move(on_object);
  request();
}

void Watch::restart() {
  if (stream_)
    stream_->stop();
  loop_.cancel(timer_);
  timer_ = loop_.in(0s, [this] { request(); });
}

void Watch::set_address(const std::string& address) {
  if (address == address_)
    return;
  address_ = address;
  backoff_.reset();
  restart();
}

void Watch::request() {
  loop_.cancel(timer_);
  http::Request request;
  request.target = target_();
  stream_ = std::make_unique<http::StreamClient>(loop_, Poco::Net::SocketAddress(address_),
                                                 service_limits(settings_.max_object_bytes));
  framer_ = json::Framer(settings_.max_object_bytes);
  stream_->start(
      request, settings_.timeouts, [this](std::string& body) { return read_objects(body); },
      [this](int, const std::string&) { failed("the stream ended or timed out"); });
}

// Returns whether a complete object or an empty keepalive line was received.
bool Watch::read_objects(std::string& body) {
  const std::size_t lines_before = framer_.lines();
  std::size_t objects = 0;
  try {
    objects = deliver_objects(body);
  } catch (const json::DecodeError& error) {
    stream_->stop();
    failed(error.what());
    return false;
  }
  body.erase(0, framer_.consume());
  const bool received = objects > 0 || framer_.lines() > lines_before;
  if (received)
    succeeded();
  return received;
}

// Returns the number of complete objects. Those behind an object whose handler restarts the watch
// are not delivered.
std::size_t Watch::deliver_objects(std::string& body) {
  for (std::size_t objects = 0;; ++objects) {
    const json::FrameStatus framed = framer_.next(body);
    if (framed == json::FrameStatus::malformed)
      throw json::DecodeError("received data is not a JSON object");
    if (framed == json::FrameStatus::incomplete)
      return objects;
    on_object_(json::parse_object(framer_.object()));
    if (!stream_->running())
      return objects + 1;
  }
}

void Watch::succeeded() {
  backoff_.reset();
  if (failing_)
    log_.info("watch re-established", {{"of", settings_.resource}, {"address", address_}});
  failing_ = false;
}

void Watch::failed(const std::string& reason) {
  if (!failing_)
    log_.warn("watch lost",
              {{"of", settings_.resource}, {"address", address_}, {"reason", reason}});
  failing_ = true;
  loop_.cancel(timer_);
  timer_ = loop_.in(backoff_.next_delay(), [this] { request(); });
}

}  // namespace robinhoist::platform
