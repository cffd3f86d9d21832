/// The events of a scenario's event log, as the audit needs them.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "record/meta.h"
#include "time/time_types.h"

namespace robinhoist::audit {

/// Result of one attempt of a client.
enum class ClientResult {
  succeeded,
  rejected,
  failed,
  rejected_before_routing,
  unreached,
  client_disconnected,  ///< the client disconnected before a response came
  lost                  ///< any other end without a response
};

/// One attempt of a client.
struct ClientRequest {
  TimePoint sent;
  TimePoint ended;
  TimePoint deadline;
  long id;
  long first_id;  ///< of the first attempt of the same request
  std::string proxy;
  ClientResult result;
  std::string result_name;  ///< as in the event log
  int request_class;
  bool correct;
  bool poison;  ///< fails at every server
};

/// An attempt of a proxy as it reached a server.
struct AttemptArrival {
  TimePoint at;
  std::string server;
  std::string proxy;
  bool refused;  ///< rejected by the server without processing
  int build;
  int request_class;
  long work_id;  ///< assigned by the server
  long client_request_id;
  Duration work;
};

/// A run of a request at a server that changed data.
struct Effect {
  long work_id;
  TimePoint at;
};

/// The start of a server's process.
struct ServerStart {
  TimePoint at;
  std::string zone;
  int cell;
  long started;  ///< as in the registry
};

/// A server that collapsed under load while it was warming up.
struct Collapse {
  TimePoint at;
  std::string server;
};

struct NotifiedEndpoint {
  std::string name;
  std::string phase;
  long started;
};

/// An endpoint list that a proxy was notified of.
struct EndpointNotification {
  TimePoint at;
  bool complete;
  std::vector<NotifiedEndpoint> endpoints;
};

/// A release state that a proxy was notified of.
struct ReleaseNotification {
  TimePoint at;
  int build;
  int stage;
  std::string phase;
  double cap;
};

/// The lifetime of a proxy's process.
struct ProxyLife {
  TimePoint from;
  TimePoint to;
};

/// A run of a migration step at the database.
struct StepRun {
  TimePoint at;
  std::string step;  ///< "build/id"
  bool rollback;
  bool done;  ///< false: a batch with more to follow
};

/// A response of a server while the tables that its build needs were missing.
struct UnreadyAnswer {
  TimePoint at;
  std::string server;
};

/// A change of phase or stage of a release.
struct ReleaseChange {
  TimePoint at;
  int build;
  int stage;
  std::string phase;
  std::string reason;
};

/// All events of an event log, each kind in order of time.
struct Events {
  record::Meta meta{};
  std::vector<ClientRequest> requests{};
  std::vector<AttemptArrival> arrivals{};
  std::vector<Effect> effects{};
  std::vector<Collapse> collapses{};
  std::vector<StepRun> step_runs{};
  std::vector<UnreadyAnswer> unready_answers{};
  std::map<std::string, std::vector<ServerStart>> server_starts{};
  std::map<std::string, std::vector<EndpointNotification>> endpoint_notifications{};  ///< by proxy
  std::map<std::string, std::vector<ReleaseNotification>> release_notifications{};    ///< by proxy
  std::map<std::string, std::vector<ProxyLife>> proxy_lives{};
  std::vector<ReleaseChange> release_changes{};
  long votes = 0;
  double max_slow_start_use =
      0;              ///< of the load limit of a server that is warming up; 1: all of it
  int cut_files = 0;  ///< files whose last line is cut short
  std::map<std::string, long> unsolicited{};  ///< responses that no client waited for, by proxy
};

/// Reads the event log in a folder. Throws json::DecodeError, with file and line, when it is
/// invalid.
Events read_events(const std::string& folder);

}  // namespace robinhoist::audit
