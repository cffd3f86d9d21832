#include "platform/discovery.h"

#include <chrono>
#include <utility>

#include "platform/config.h"
#include "platform/wire_names.h"

namespace robinhoist::platform {
namespace {

using namespace std::chrono_literals;

// The platform assumes that a proxy knows a change this long after it was made, whether or not the
// change was delivered. A broken watch has to be detected and replaced within this time, even if up
// to two new connections hang.
constexpr Duration propagation_deadline = 6s;
// The service sends an empty line every two seconds as a keepalive.
constexpr Duration max_idle_time = propagation_deadline / 2;
// The service's agent runs on the same host and responds without delay.
constexpr Duration first_response_timeout = 1s;
constexpr Duration max_retry_delay = 500ms;
// A complete list of the largest fleets, indented.
constexpr std::size_t max_list_bytes = std::size_t{1} << 20;

}  // namespace

Watch::Settings Discovery::watch_settings(unsigned seed) {
  return {.resource = "endpoints",
          .timeouts = {.first = first_response_timeout, .next = max_idle_time},
          .max_retry_delay = max_retry_delay,
          .max_object_bytes = max_list_bytes,
          .seed = seed};
}

Discovery::Discovery(net::Loop& loop, const std::string& address, std::int64_t version,
                     const Watch::Settings& watch, const log::Logger& log)
    : loop_(loop), version_(version), watch_(loop, address, watch, log) {}

void Discovery::start(OnUpdate on_update) {
  on_update_ = std::move(on_update);
  watch_.start([this] { return target(); },
               [this](const json::Value& object) { accept(decode_endpoints(object)); });
}

void Discovery::refresh() {
  needs_complete_list_ = true;
  watch_.restart();
}

void Discovery::set_address(const std::string& address) {
  older_lists_.reset();
  watch_.set_address(address);
}

// A watch from version 0 begins with the complete list.
std::string Discovery::target() const {
  return wire_names::discovery_path + std::to_string(needs_complete_list_ ? 0 : version_);
}

void Discovery::accept(const registry::Update& update) {
  if (update.version < version_)
    reject_unless_new_series(update);
  older_lists_.reset();
  version_ = update.version;
  if (update.complete)
    needs_complete_list_ = false;
  on_update_(update);
}

// Throws for a list that is older than the known one. If only older lists arrive for longer than a
// change may take to propagate, the service has restarted with a new series of versions, and its
// next complete list is accepted. Lists with a long time between them are late ones: the watch is
// opened again at once after each, and a new series would be repeated.
void Discovery::reject_unless_new_series(const registry::Update& update) {
  const TimePoint now = loop_.now();
  const bool continues = older_lists_ && now <= older_lists_->last_at + max_idle_time;
  older_lists_ = {.first_at = continues ? older_lists_->first_at : now, .last_at = now};
  const bool is_new_series =
      update.complete && now >= older_lists_->first_at + propagation_deadline;
  if (!is_new_series)
    throw json::DecodeError("revision " + std::to_string(update.version) +
                            " is older than the one held, " + std::to_string(version_));
}

}  // namespace robinhoist::platform
