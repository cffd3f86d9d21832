#include "http/connection_pool.h"

#include <algorithm>
#include <utility>

#include "http/client_connection.h"

namespace robinhoist::http {

ConnectionPool::ConnectionPool(net::Loop& loop, const Poco::Net::SocketAddress& peer,
                               const ConnectionPoolSettings& settings)
    : loop_(loop), peer_(peer), host_(peer_.toString()), settings_(settings) {}

ConnectionPool::~ConnectionPool() {
  const auto connections = connections_;
  for (const auto& connection : connections)
    connection->close_silently();
}

ConnectionPool::Id ConnectionPool::call(Request request, Duration timeout, Done done,
                                        BeforeSend before_send) {
  const Id id = next_id_++;
  if (ClientConnection* idle = take_idle()) {
    ++reused_;
    idle->begin_reuse();
    idle->start_call(id, std::move(request), timeout, std::move(done), std::move(before_send));
    return id;
  }
  if (connections_.size() >= settings_.max_connections ||
      (settings_.budget && !settings_.budget->make_room())) {
    loop_.in(Duration(0), [done = std::move(done)] { done(CallResult::not_sent, {}); });
    return 0;
  }
  ++opened_;
  const auto connection = std::make_shared<ClientConnection>(*this);
  connections_.push_back(connection);
  connection->connect();
  connection->start_call(id, std::move(request), timeout, std::move(done), std::move(before_send));
  return id;
}

// Removes the most recently used idle connection that is still usable from the idle list and
// returns it; null when there is none. Closes the unusable ones that it finds.
ClientConnection* ConnectionPool::take_idle() {
  while (!idle_.empty()) {
    ClientConnection* last = idle_.back();
    idle_.pop_back();
    const bool usable =
        last->usable() && !(settings_.budget && settings_.budget->is_stale(last->idle_time()));
    if (usable)
      return last;
    last->end(CallResult::cancelled);
  }
  return nullptr;
}

std::shared_ptr<ClientConnection> ConnectionPool::find(Id id) const {
  if (id == 0)
    return nullptr;
  const auto found = std::find_if(connections_.begin(), connections_.end(),
                                  [id](const auto& connection) { return connection->id() == id; });
  return found == connections_.end() ? nullptr : *found;
}

void ConnectionPool::cancel(Id id) {
  if (const auto connection = find(id))
    connection->close_silently();
}

bool ConnectionPool::cancel_if_unsent(Id id) {
  const auto connection = find(id);
  if (!connection || connection->written())
    return false;
  connection->close_silently();
  return true;
}

void ConnectionPool::close_idle() {
  const auto idle = idle_;
  for (ClientConnection* connection : idle)
    connection->end(CallResult::cancelled);
}

std::size_t ConnectionPool::busy() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& connection) { return connection->busy(); }));
}

void ConnectionPool::remove(ClientConnection* connection) {
  std::erase(idle_, connection);
  std::erase_if(connections_, [&](const auto& each) { return each.get() == connection; });
}

}  // namespace robinhoist::http
