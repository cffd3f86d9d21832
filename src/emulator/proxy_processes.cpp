#include "emulator/proxy_processes.h"

#include "record/lines.h"

namespace robinhoist::emulator {

void ProxyProcesses::note(int proxy, const char* event) {
  if (simulation_.log.proxies)
    record::proxy_life(*simulation_.log.proxies, simulation_.engine.now(), proxy_name(proxy),
                       event);
}

void ProxyProcesses::start(int proxy) {
  SimulatedProxy& process = *simulation_.proxies[proxy];
  if (process.up())
    return;
  note(proxy, "start");
  process.start();
  simulation_.engine.in(2 * simulation_.network.way(),
                        [this, proxy] { registry_.notify_complete(proxy); });
  simulation_.engine.in(2 * simulation_.network.way(),
                        [this, proxy] { controller_.notify(proxy); });
  clients_.proxy_started(proxy);
}

void ProxyProcesses::kill(int proxy) {
  SimulatedProxy& process = *simulation_.proxies[proxy];
  if (!process.up())
    return;
  note(proxy, "killed");
  process.kill();
  clients_.proxy_stopped(proxy);
}

void ProxyProcesses::note_stopped() {
  for (int proxy = 0; proxy < static_cast<int>(simulation_.proxies.size()); ++proxy)
    if (simulation_.proxies[proxy]->up())
      note(proxy, "stopped");
}

}  // namespace robinhoist::emulator
