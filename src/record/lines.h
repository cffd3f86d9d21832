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
struct NodeStart {
  std::string_view endpoint, zone;
  int cell, build;
  WallTime started;  // since 1970; 0: long ago
  bool cold;
  int cores;
  double speed;
};
void node_started(Writer& to, TimePoint at, const NodeStart& endpoint);
void node_stopped(Writer& to, TimePoint at, std::string_view endpoint, double most_pushed,
                  bool fell);

// An attempt as an endpoint met it: taken, refused, cut, ...
struct Met {
  std::string_view endpoint;
  int build;
  std::int64_t id;
  int request_class;
  std::string_view request_name, attempt, try_id, key, work;
};
void node_met(Writer& to, TimePoint at, const char* what, const Met& met);
void node_ran(Writer& to, TimePoint at, std::string_view endpoint, std::int64_t id, const char* how,
              bool effect);

// What proxies were told and said.
void told_list(Writer& to, TimePoint at, std::string_view proxy,
               const std::vector<registry::Endpoint>& entries, bool whole);
void told_news(Writer& to, TimePoint at, std::string_view proxy, int build, int stage,
               std::string_view phase, double cap);
void voted(Writer& to, TimePoint at, std::string_view proxy, int build, int stage,
           const char* verdict, const char* outcome);
void release_moved(Writer& to, TimePoint at, int build, int stage, const char* phase,
                   std::string_view why);
void proxy_life(Writer& to, TimePoint at, std::string_view proxy, const char* what);

// One try of a client's, and its end.
struct Tried {
  TimePoint from, to, until;
  std::int64_t id, first;
  int number, request_class, tenant;
  std::string_view proxy, key;
  bool poison;
  const char* end;
  int status;
  std::string_view why, endpoint;
  double build;  // -1: none
  bool right;
};
void tried(Writer& to, const Tried& one);

}  // namespace robinhoist::record
