#include "http/server.h"

#include <unistd.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "http/server_connection.h"

namespace robinhoist::http {
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

// Evicts clients in the order of ServerConnection::Closable until one more can be accepted. One
// that has just sent a request stays, and the next one is tried.
bool Server::make_room() {
  struct Candidate {
    ServerConnection::Closable closable;
    std::shared_ptr<ServerConnection> client;
  };
  std::vector<Candidate> candidates;
  for (const auto& client : clients_)
    if (const auto closable = client->closable())
      candidates.push_back({*closable, client});
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) { return a.closable < b.closable; });
  for (const Candidate& candidate : candidates) {
    if (clients_.size() < settings_.max_clients)
      break;
    candidate.client->evict();
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
  close_idle(0);
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
