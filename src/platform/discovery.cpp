#include "platform/discovery.h"

#include <chrono>
#include <utility>

#include "platform/config.h"
#include "platform/wire_names.h"

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

// A change counts as known to this proxy that long after it was made, whether or not it came. A
// broken watch has to be noticed and replaced in that time, though a connection or two hang.
constexpr Duration propagation_deadline = 6s;
// The service writes an empty line every two seconds.
constexpr Duration max_silence = propagation_deadline / 2;
// The service's agent runs on this machine and answers at once.
constexpr Duration first_response_timeout = 1s;
constexpr Duration max_retry_delay = 500ms;

}  // namespace

Watch::Settings Discovery::watch_settings(unsigned seed) {
  return {.what = "endpoints",
          .silence = {.first = first_response_timeout, .next = max_silence},
          .max_retry_delay = max_retry_delay,
          .seed = seed};
}

Discovery::Discovery(net::Loop& loop, const std::string& address, std::int64_t version,
                     const Watch::Settings& watch, const log::Logger& log)
    : loop_(loop), version_(version), watch_(loop, address, watch, log) {}

void Discovery::start(OnUpdate on_update) {
  on_update_ = std::move(on_update);
  watch_.start([this] { return wire_names::discovery_path + std::to_string(version_); },
               [this](const json::Value& object) { accept(decode_endpoints(object)); });
}

void Discovery::refresh() {
  version_ = 0;
  watch_.restart();
}

void Discovery::accept(const registry::Update& update) {
  if (update.version < version_)
    check_older(update);
  only_older_since_.reset();
  version_ = update.version;
  on_update_(update);
}

// A list older than the known one is refused, until nothing else has come for as long as a change
// may take: then discovery has begun a new series of versions.
void Discovery::check_older(const registry::Update& update) {
  if (!only_older_since_)
    only_older_since_ = loop_.now();
  const bool is_new_series =
      update.complete && loop_.now() >= *only_older_since_ + propagation_deadline;
  if (!is_new_series)
    throw json::DecodeError("revision " + std::to_string(update.version) +
                            " is older than the one held, " + std::to_string(version_));
}

}  // namespace robinhoist::platform
