#include "http/server.h"

#include <unistd.h>

#include <optional>
#include <utility>

#include "http/server_connection.h"

namespace robinhoist::http {
namespace {

// A client chosen for eviction may just have sent a request; this limits how many are tried.
constexpr int max_eviction_attempts = 8;

}  // namespace

Server::Server(net::Loop& loop, const ServerSettings& settings, Handler handler)
    : loop_(loop),
      settings_(settings),
      handler_(std::move(handler)),
      listener_(std::make_unique<net::Listener>(
          loop, settings.listen, [this](int fd) { accept(fd); }, [this] { return may_accept(); })) {
}

Server::~Server() {
  reset_connections();
}

bool Server::may_accept() {
  if (!settings_.evict_idle || clients_.size() < settings_.max_clients || make_room())
    return true;
  ++counters_.deferrals;
  return false;
}

// A server that evicts clients accepts above the maximum only for the last clients of a drain.
void Server::accept(int fd) {
  if (!settings_.evict_idle && clients_.size() >= settings_.max_clients) {
    ++counters_.refused;
    ::close(fd);
    return;
  }
  ++counters_.accepted;
  const auto client = std::make_shared<ServerConnection>(*this, fd);
  clients_.insert(client);
  client->start();
}

// Evicts clients in the order of ServerConnection::Closable until one more can be accepted.
bool Server::make_room() {
  for (int attempt = 0; attempt < max_eviction_attempts && clients_.size() >= settings_.max_clients;
       ++attempt) {
    std::shared_ptr<ServerConnection> cheapest;
    std::optional<ServerConnection::Closable> lowest;
    for (const auto& client : clients_) {
      const auto closable = client->closable();
      if (!closable || (lowest && !(*closable < *lowest)))
        continue;
      cheapest = client;
      lowest = closable;
    }
    if (!cheapest)
      return false;
    cheapest->evict();
  }
  return clients_.size() < settings_.max_clients;
}

void Server::begin_shutdown() {
  shutdown_begun_ = true;
  close_idle(0);
}

void Server::drain() {
  close_idle(0);  // frees descriptors, so that all clients in the kernel's queue can be accepted
  draining_ = true;
  listener_->finish();
}

void Server::close_idle(std::size_t left) {
  const auto clients = clients_;
  for (const auto& client : clients)
    if (clients_.size() > left)
      client->close_if_idle();
}

void Server::reset_connections() {
  const auto clients = clients_;
  for (const auto& client : clients)
    client->close(true);
}

}  // namespace robinhoist::http
