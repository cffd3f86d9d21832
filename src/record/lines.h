/// The lines of the event log that runs on sockets and in simulated time both write, so that one
/// auditor reads both. Times are those of the log; enum values are written under their API names.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "record/record.h"
#include "registry/registry.h"
#include "time/time_types.h"

namespace robinhoist::record {

/// The start of a server's process.
struct ServerStart {
  std::string_view endpoint, zone;
  int cell, build;
  WallTime started;  ///< since 1970; 0: long before the log begins
  bool cold;
  int cores;
  double speed;
};
void server_started(Writer& log, TimePoint at, const ServerStart& start);
void server_stopped(Writer& log, TimePoint at, std::string_view endpoint, double max_cold_load,
                    bool collapsed);

/// An attempt that reached a server.
struct Arrival {
  std::string_view endpoint;
  int build;
  std::int64_t work_id;
  int request_class;
  std::string_view request_name, attempt, client_attempt_id, key, work;
};
/// `event`: taken, refused, cut, ...
void request_arrived(Writer& log, TimePoint at, const char* event, const Arrival& arrival);
void work_completed(Writer& log, TimePoint at, std::string_view endpoint, std::int64_t work_id,
                    const char* result, bool changed_data);

// What proxies were notified of, and their votes.
void endpoints_notified(Writer& log, TimePoint at, std::string_view proxy,
                        const std::vector<registry::Endpoint>& endpoints, bool complete);
void release_notified(Writer& log, TimePoint at, std::string_view proxy, int build, int stage,
                      std::string_view phase, double cap);
void vote_received(Writer& log, TimePoint at, std::string_view proxy, int build, int stage,
                   const char* verdict, const char* outcome);
void release_changed(Writer& log, TimePoint at, int build, int stage, const char* phase,
                     std::string_view reason);
void proxy_process_event(Writer& log, TimePoint at, std::string_view proxy, const char* event);

/// One attempt of a client, and its result.
struct ClientAttempt {
  TimePoint sent, ended, deadline;
  std::int64_t id, first_id;
  int number, request_class, tenant;
  std::string_view proxy, key;
  bool poison;
  const char* result;
  int status;
  std::string_view reason, endpoint;
  double build;  ///< that responded; -1: none
  bool correct;
};
void client_attempt_ended(Writer& log, const ClientAttempt& attempt);

}  // namespace robinhoist::record
