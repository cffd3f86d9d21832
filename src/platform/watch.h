/// A watch of the operators' platform: an unbounded HTTP response with a sequence of JSON objects.
///
/// Only complete objects are delivered. The connection is closed on an invalid object or an idle
/// timeout; it is opened again after a delay that grows with each failure.
#pragma once
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "http/stream_client.h"
#include "json/framer.h"
#include "json/reader.h"
#include "log/logger.h"
#include "retry/backoff.h"
#include "time/time_types.h"

namespace robinhoist::platform {

/// Message limits of a connection to one of the platform's services. `max_object_bytes` limits a
/// JSON object.
http::MessageLimits service_limits(std::size_t max_object_bytes);

class Watch {
 public:
  struct Settings {
    std::string resource{};  ///< name of what is watched, for the log
    http::StreamClient::InactivityLimits timeouts{};
    Duration max_retry_delay{};
    std::size_t max_object_bytes = std::size_t{64} * 1024;
    unsigned seed = 1;  ///< of the jitter of retry delays
  };
  /// Returns the target of the next request.
  using Target = std::function<std::string()>;
  /// Handles an object; throws json::DecodeError if it is not valid.
  using OnObject = std::function<void(const json::Value& object)>;

  /// `address` is host:port.
  Watch(net::Loop& loop, const std::string& address, const Settings& settings,
        const log::Logger& log);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void start(Target target, OnObject on_object);
  /// Replaces the current request by a new one without delay. Nothing more is delivered from the
  /// current one.
  void restart();
  /// Closes the connection and watches another address.
  void set_address(const std::string& address);

 private:
  void request();
  bool read_objects(std::string& body);
  std::size_t deliver_objects(std::string& body);
  void succeeded();
  void failed(const std::string& reason);

  net::Loop& loop_;
  std::string address_;
  Settings settings_;
  const log::Logger& log_;
  std::unique_ptr<http::StreamClient> stream_{};
  retry::Backoff backoff_;
  Target target_{};
  OnObject on_object_{};
  json::Framer framer_;
  net::Loop::Timer timer_ = net::Loop::no_timer;
  bool failing_ = false;
};

}  // namespace robinhoist::platform
