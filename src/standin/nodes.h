// Stand-ins for the servers behind an proxy: HTTP servers on loopback, each doing what the machine
// model says. Simulated machines, real sockets.
#pragma once
#include <map>
#include <memory>
#include <string>

#include "deployment/deployment.h"
#include "http/server.h"
#include "machine/machine.h"
#include "record/record.h"
#include "time/time_types.h"

namespace robinhoist::standin {

struct NodeSpec {
  std::string name{}, zone{}, listen{"127.0.0.1:0"};
  int cell = 0;
  machine::Capacity capacity{};
  machine::Build build{};
  bool cold = true;
  std::string needs{};  // asked of `ready`; empty: nothing
};

using machine::Cancelled;

struct Shared {
  Duration memory{};             // for which the group drops repeats of a key
  std::vector<Duration> work{};  // by request class, where a request does not say
  Cancelled cancelled = Cancelled::nothing;
  std::size_t max_clients = 10000;  // connections that an endpoint takes
};

class Nodes {
 public:
  // `record` may be null.
  Nodes(net::Loop& loop, const deployment::Deployment& deployment, const Shared& shared,
        unsigned salt, record::Writer* record);
  ~Nodes();

  // Listens from here on; returns its port.
  int start(const NodeSpec& spec);
  // Breaks all connections at once and is gone.
  void kill(const std::string& name);
  bool runs(const std::string& name) const { return nodes_.count(name) > 0; }
  int port(const std::string& name) const;
  WallTime started(const std::string& name) const;  // since 1970; 0: long ago
  // Says nothing any more, takes connections and does nothing.
  void silence(const std::string& name);
  void slow(const std::string& name, double times);
  void fail(const std::string& name, double share);
  void neighbour(const std::string& name, double share);
  // Takes only so many connections from here on, closing those beyond.
  void squeeze(const std::string& name, std::size_t connections);
  // New connections are answered so much later.
  void slow_handshake(const std::string& name, Duration by);
  // Health calls fail though the endpoint serves.
  void fail_probes(const std::string& name, double share);
  // The way between an proxy and an endpoint: asked for each request, so that links can be cut,
  // slow or lossy.
  struct Way {
    bool cut = false;
    Duration by{};    // later, there and back together
    double lost = 0;  // share of requests whose connection breaks
  };
  // Whether what a build needs of its data is there; one that reads what is not answers wrongly.
  std::function<bool(const std::string& needs)> ready{};
  std::function<Way(const std::string& proxy, const std::string& zone)> way{};
  void harm_all(double factor) { harm_.factor = factor; }

  struct Figures {
    long arrived = 0, refused = 0, ran = 0, effects = 0, fell = 0;
    double most_pushed = 0;
  };
  Figures figures() const;
  double share_of_traffic(int build, Duration window);
  std::vector<std::string> names() const;

 private:
  struct Node;
  void handle(Node& node, const http::ExchangePtr& exchange);
  void finish(Node& node);
  void plan(Node& node);
  void note(const Node& node, const char* what, const http::Request& request, int request_class,
            std::int64_t id);

  net::Loop& loop_;
  deployment::Deployment deployment_;
  Shared shared_;
  std::minstd_rand random_;
  record::Writer* record_;
  machine::Marks marks_;
  machine::SharedHarm harm_{};
  std::map<std::string, std::unique_ptr<Node>> nodes_;
  std::deque<std::pair<TimePoint, int>> lately_{};
  std::int64_t next_id_ = 1;
  Figures figures_{};
};

}  // namespace robinhoist::standin
