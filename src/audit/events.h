/// What a scenario's record holds, read for the audit.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "record/meta.h"
#include "time/time_types.h"

namespace robinhoist::audit {

/// How one attempt of a client ended, by the record's words.
enum class ClientResult {
  succeeded,
  rejected,
  failed,
  rejected_before_routing,
  unreached,
  client_disconnected,  ///< the client left first
  lost                  ///< anything else: no answer came
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
  std::string result_name;  ///< the record's word for it
  int request_class;
  bool correct;
  bool poison;  ///< fails wherever it goes
};

/// An attempt of a proxy as it reached a server.
struct AttemptArrival {
  TimePoint at;
  std::string server;
  std::string proxy;
  bool refused;  ///< the server turned it away without running it
  int build;
  int request_class;
  long work_id;  ///< the server's name for it
  long client_request_id;
  Duration work;
};

/// A run that changed data.
struct Effect {
  long work_id;
  TimePoint at;
};

/// A process of a server.
struct ServerStart {
  TimePoint at;
  std::string zone;
  int cell;
  long started;  ///< as the registry lists it
};

/// A server that fell over while it was warming up.
struct Collapse {
  TimePoint at;
  std::string server;
};

struct NotifiedEndpoint {
  std::string name;
  std::string phase;
  long started;
};

/// What a proxy was notified of: a list of endpoints.
struct EndpointNotification {
  TimePoint at;
  bool complete;
  std::vector<NotifiedEndpoint> endpoints;
};

/// What a proxy was notified of: where the release stands.
struct ReleaseNotification {
  TimePoint at;
  int build;
  int stage;
  std::string phase;
  double cap;
};

/// The life of a proxy's process.
struct ProxyLife {
  TimePoint from;
  TimePoint to;
};

/// A run of a migration step at the database.
struct StepRun {
  TimePoint at;
  std::string step;  ///< "build/id"
  bool rollback;
  bool done;  ///< false: a batch, and more are to follow
};

/// A server's answer without the tables that its build needs.
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

/// All events of a record, each kind in the order of time.
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
  double max_slow_start_use = 0;  ///< of what a server that warms up may be sent; 1: all of it
  int cut_files = 0;              ///< files that end in mid-line
  std::map<std::string, long> unsolicited{};  ///< answers that no client waited for, by proxy
};

/// Reads the record in a folder. Throws json::DecodeError, with file and line, when it makes no
/// sense.
Events read_events(const std::string& folder);

}  // namespace robinhoist::audit
