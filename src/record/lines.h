// The lines of a record that sockets and simulated time both write, for the one auditor that reads
// both. Times are of the record; words are those of the API.
#pragma once
#include <string>
#include <string_view>
#include <vector>

#include "record/record.h"
#include "registry/registry.h"
#include "time/time_types.h"

namespace robinhoist::record {

// Endpoints.
struct ServerStart {
  std::string_view endpoint, zone;
  int cell, build;
  WallTime started;  // since 1970; 0: long ago
  bool cold;
  int cores;
  double speed;
};
void server_started(Writer& to, TimePoint at, const ServerStart& endpoint);
void server_stopped(Writer& to, TimePoint at, std::string_view endpoint, double most_pushed,
                    bool fell);

// An attempt as an endpoint met it: taken, refused, cut, ...
struct Arrival {
  std::string_view endpoint;
  int build;
  std::int64_t work_id;
  int request_class;
  std::string_view request_name, attempt, client_attempt_id, key, work;
};
void request_arrived(Writer& to, TimePoint at, const char* what, const Arrival& met);
void work_completed(Writer& to, TimePoint at, std::string_view endpoint, std::int64_t id,
                    const char* how, bool effect);

// What proxies were told and said.
void endpoints_notified(Writer& to, TimePoint at, std::string_view proxy,
                        const std::vector<registry::Endpoint>& entries, bool whole);
void release_notified(Writer& to, TimePoint at, std::string_view proxy, int build, int stage,
                      std::string_view phase, double cap);
void vote_received(Writer& to, TimePoint at, std::string_view proxy, int build, int stage,
                   const char* verdict, const char* outcome);
void release_changed(Writer& to, TimePoint at, int build, int stage, const char* phase,
                     std::string_view why);
void proxy_process_event(Writer& to, TimePoint at, std::string_view proxy, const char* what);

// One try of a client's, and its end.
struct ClientAttempt {
  TimePoint sent, ended, deadline;
  std::int64_t id, first_id;
  int number, request_class, tenant;
  std::string_view proxy, key;
  bool poison;
  const char* result;
  int status;
  std::string_view reason, endpoint;
  double build;  // -1: none
  bool correct;
};
void client_attempt_ended(Writer& to, const ClientAttempt& one);

}  // namespace robinhoist::record
