#include "proxy/in_flight_requests.h"

#include <limits>
#include <utility>

namespace robinhoist::proxy {

std::size_t heap_bytes(const InFlightRequest& request) {
  // The entries of the tables in which the proxy and the decision engine keep a request.
  constexpr std::size_t bookkeeping = 1024;
  return bookkeeping + http::heap_bytes(request.exchange->request) +
         http::heap_bytes(request.forwarded) + robinhoist::heap_bytes(request.client_id);
}

int InFlightRequests::next_request_id() {
  do {
    const bool at_end = last_request_id_ == std::numeric_limits<int>::max();
    last_request_id_ = at_end ? 1 : last_request_id_ + 1;
  } while (requests_.contains(last_request_id_));
  return last_request_id_;
}

bool InFlightRequests::client_id_in_use(const std::string& client_id) const {
  return open_client_ids_.contains(client_id);
}

void InFlightRequests::add(int request_id, InFlightRequest request) {
  if (!request.client_id.empty())
    open_client_ids_.insert(request.client_id);
  requests_.emplace(request_id, std::move(request));
  ++unanswered_;
}

InFlightRequest* InFlightRequests::find(int request_id) {
  const auto found = requests_.find(request_id);
  return found == requests_.end() ? nullptr : &found->second;
}

std::vector<AttemptId> InFlightRequests::open_attempts() const {
  std::vector<AttemptId> open;
  for (const auto& [request_id, request] : requests_)
    for (std::size_t i = 0; i < request.attempts.size(); ++i)
      if (!request.attempts[i].ended)
        open.push_back({request_id, i});
  return open;
}

void InFlightRequests::mark_answered(InFlightRequest& request) {
  request.answered = true;
  request.forwarded = {};  // no attempt starts after the answer
  request.memory.set(http::MemoryUse::open_request, 0);
  open_client_ids_.erase(request.client_id);
  --unanswered_;
}

}  // namespace robinhoist::proxy
