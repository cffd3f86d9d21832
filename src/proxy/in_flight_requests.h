/// Registry of the requests that a proxy has accepted and still tracks.
///
/// A request is answered at most once, but is tracked until the decision engine has processed the
/// end of all its attempts. This module makes no decisions and does no I/O.
#pragma once
#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http/connection_pool.h"
#include "http/memory_budget.h"
#include "http/server.h"
#include "policy/request.h"
#include "time/time_types.h"
#include "tracing/trace_store.h"

namespace robinhoist::proxy {

/// One attempt at an endpoint.
struct InFlightAttempt {
  int endpoint;
  int build;  ///< of the endpoint at the time it was chosen
  http::ConnectionPool::Id call;
  bool ended;
};

/// One accepted request.
struct InFlightRequest {
  http::ExchangePtr exchange;  ///< null once answered or if the client disconnected
  http::Request forwarded;     ///< as sent to endpoints
  TimePoint received_at{};     ///< when it had been received completely
  TimePoint deadline{};
  int request_class = 0;
  std::vector<InFlightAttempt> attempts{};
  bool answered = false;  ///< a response was sent, or the client has disconnected
  Outcome last_outcome = Outcome::obsolete;
  std::string client_id{};  ///< empty if the protocol has none
  http::MemoryCharge memory{};
  tracing::TracePtr trace{};  ///< null if not traced
};

/// The heap memory of an accepted request, including what the decision engine keeps of it.
std::size_t heap_bytes(const InFlightRequest& request);

/// Identifies an attempt. Ordered by request, then by attempt.
struct AttemptId {
  int request_id;
  std::size_t attempt;
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return a.request_id != b.request_id ? a.request_id < b.request_id : a.attempt < b.attempt;
  }
};

class InFlightRequests {
 public:
  /// Returns an id from 1 that no tracked request has. Ids wrap around after the largest int.
  int next_request_id();
  /// Whether an open request has this client id. Always false for an empty id.
  bool client_id_in_use(const std::string& client_id) const;
  void add(int request_id, InFlightRequest request);

  /// Returns null if the request is not tracked. The pointer is valid until the request is
  /// forgotten.
  InFlightRequest* find(int request_id);
  /// For a request that is known to be tracked; throws std::out_of_range otherwise.
  InFlightRequest& at(int request_id) { return requests_.at(request_id); }
  /// All attempts of tracked requests that have not ended.
  std::vector<AttemptId> open_attempts() const;

  /// Marks that the request needs no response any more and frees its client id. To be called once
  /// for each request.
  void mark_answered(InFlightRequest& request);
  void forget(int request_id) { requests_.erase(request_id); }

  std::size_t unanswered() const { return unanswered_; }
  std::size_t size() const { return requests_.size(); }

 private:
  std::unordered_map<int, InFlightRequest> requests_{};
  std::unordered_set<std::string> open_client_ids_{};
  std::size_t unanswered_ = 0;
  int last_request_id_ = 0;
};

}  // namespace robinhoist::proxy
