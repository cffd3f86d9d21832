#include "emulator/proxy_processes.h"

#include "record/lines.h"

namespace robinhoist::emulator {

void ProxyProcesses::record_event(int proxy, const char* event) {
  if (simulation_.log.proxies)
    record::proxy_process_event(*simulation_.log.proxies, simulation_.engine.now(),
                                proxy_name(proxy), event);
}

void ProxyProcesses::start(int proxy) {
  SimulatedProxy& process = *simulation_.proxies[proxy];
  if (process.up())
    return;
  record_event(proxy, "start");
  process.start();
  simulation_.engine.in(2 * simulation_.network.sample_delay(),
                        [this, proxy] { registry_.notify_complete(proxy); });
  simulation_.engine.in(2 * simulation_.network.sample_delay(),
                        [this, proxy] { controller_.notify(proxy); });
  clients_.proxy_started(proxy);
}

void ProxyProcesses::kill(int proxy) {
  SimulatedProxy& process = *simulation_.proxies[proxy];
  if (!process.up())
    return;
  record_event(proxy, "killed");
  process.kill();
  clients_.proxy_stopped(proxy);
}

void ProxyProcesses::record_stops() {
  for (int proxy = 0; proxy < static_cast<int>(simulation_.proxies.size()); ++proxy)
    if (simulation_.proxies[proxy]->up())
      record_event(proxy, "stopped");
}

}  // namespace robinhoist::emulator
