/// Bookkeeping of the requests that a proxy has accepted and not yet forgotten.
///
/// A request is answered at most once, but stays here until the decision engine has seen the end
/// of all its attempts. Nothing here decides or does I/O.
#pragma once
#include <cstddef>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "http/connection_pool.h"
#include "http/server.h"
#include "policy/request.h"
#include "time/time_types.h"
#include "tracing/trace_store.h"

namespace robinhoist::proxy {

/// One attempt at an endpoint.
struct InFlightAttempt {
  int endpoint;
  int build;  ///< of the endpoint when it was chosen
  http::ConnectionPool::Id call;
  bool ended;
};

/// One accepted request.
struct InFlightRequest {
  http::ExchangePtr exchange;  ///< null once answered or disconnected
  http::Request forwarded;     ///< as endpoints get it
  TimePoint deadline{};
  int request_class = 0;
  std::vector<InFlightAttempt> attempts{};
  bool answered = false;  ///< or the client has disconnected: no response is due any more
  Outcome last_outcome = Outcome::obsolete;
  std::string client_id{};    ///< empty where the protocol has none
  tracing::TracePtr trace{};  ///< null: not traced
};

/// Names one attempt; ordered by request, then attempt.
struct AttemptId {
  int request_id;
  std::size_t attempt;
  friend bool operator<(const AttemptId& a, const AttemptId& b) {
    return a.request_id != b.request_id ? a.request_id < b.request_id : a.attempt < b.attempt;
  }
};

class InFlightRequests {
 public:
  /// A number from 1 that no request here has. Numbers are reused after two thousand million.
  int next_request_id();
  /// Whether an open request has this client id; never true for the empty one.
  bool client_id_in_use(const std::string& client_id) const;
  void add(int request_id, InFlightRequest request);

  /// Null when it is unknown or forgotten. The pointer is valid until the request is forgotten.
  InFlightRequest* find(int request_id);
  /// For a request that must be here; throws std::out_of_range.
  InFlightRequest& at(int request_id) { return requests_.at(request_id); }
  /// All attempts that have not ended.
  std::vector<AttemptId> open_attempts() const;

  /// No response is due any more; its client id may be used again. Once for each request.
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
