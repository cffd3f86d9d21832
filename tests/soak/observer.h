/// Observes a run of the soak: writes the record for the auditor, and makes the checks that are not
/// among the auditor's five rules.
#pragma once
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "net/loop.h"
#include "policy/release.h"
#include "record/lines.h"
#include "record/record.h"
#include "time/time_types.h"

namespace robinhoist::soak {

/// The request classes of tests/platform/config.json, in the order of the file.
enum class RequestKind { idempotent, idempotent_with_key, non_idempotent };

/// Measures stalls of the test's own loop. After a stall, an event may have happened earlier than
/// its handler runs.
class StallMonitor {
 public:
  explicit StallMonitor(net::Loop& loop);
  ~StallMonitor();
  StallMonitor(const StallMonitor&) = delete;
  StallMonitor& operator=(const StallMonitor&) = delete;

  /// The earliest time at which an event that is handled now can have happened.
  TimePoint earliest() const { return before_last_; }
  Duration longest() const { return longest_; }

 private:
  void tick();

  net::Loop& loop_;
  net::Loop::Timer timer_ = net::Loop::no_timer;
  TimePoint last_;
  TimePoint before_last_;
  Duration longest_{};
};

struct ClientRequest {
  long id = 0;
  RequestKind kind{};
  std::string key{};
  TimePoint sent{};
  TimePoint deadline{};
};

/// An attempt as received by an endpoint.
struct Arrival {
  std::string endpoint{};
  int build = 0;
  std::string request_id{};
  std::string key{};
  RequestKind kind{};
  Duration timeout{};
};

class Observer {
 public:
  /// Writes the record into a folder, which must exist.
  Observer(net::Loop& loop, const std::string& folder, long seed);

  void proxy_started();
  void proxy_ended();
  void endpoint_started(const std::string& name, int build);
  void list_sent(const std::vector<registry::Endpoint>& entries, bool complete);
  /// A message about the release was sent to the proxy. One about an earlier state than another
  /// message before it changes nothing.
  void release_sent(const ReleaseUpdate& release);

  /// Returns the id of the attempt in the record.
  long attempt_arrived(const Arrival& arrival, bool rejected);
  void attempt_ran(const std::string& endpoint, long attempt_id, const char* how, bool effect);

  long next_request_id() { return next_request_id_++; }
  void request_sent(const ClientRequest& request);
  /// `outcome` is one of the names in the record.
  void request_ended(const ClientRequest& request, const char* outcome, int status, bool right);
  /// Whether an attempt of the request has reached an endpoint.
  bool was_forwarded(const ClientRequest& request) const;
  void client_disconnected(const ClientRequest& request);

  /// Reports that a rule did not hold, in addition to the rules of the auditor.
  void add_breach(const std::string& what);
  const std::vector<std::string>& breaches() const { return breaches_; }
  const std::map<std::string, int>& outcome_counts() const { return outcome_counts_; }
  const StallMonitor& stalls() const { return stalls_; }
  void flush();

 private:
  struct SentRequest {
    TimePoint sent;
    TimePoint deadline;
    TimePoint disconnected_at;  ///< zero while the client is connected
    bool forwarded = false;
  };
  TimePoint arrival_time(const Arrival& arrival) const;
  void check_arrival(const Arrival& arrival);
  void check_rollback(const Arrival& arrival);

  net::Loop& loop_;
  StallMonitor stalls_;
  record::Writer clients_;
  record::Writer endpoints_;
  record::Writer updates_;
  record::Writer proxies_;
  std::unordered_map<std::string, SentRequest> requests_{};
  std::map<std::string, int> outcome_counts_{};
  std::vector<std::string> breaches_{};
  std::optional<ReleaseUpdate> release_{};  // the latest state that was sent
  TimePoint release_sent_at_{};             // when it was first sent
  int attempts_after_rollback_ = 0;
  long next_attempt_id_ = 1;
  long next_request_id_ = 1;
};

}  // namespace robinhoist::soak
