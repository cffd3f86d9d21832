/// The command line. Exit status: 0 success, 1 a run that broke a rule or failed, 2 bad input.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>

#include "audit/audit.h"
#include "cli/lab.h"
#include "cli/release.h"
#include "cli/steps.h"
#include "cli/trace.h"
#include "controller/process.h"
#include "day/scenario_runner.h"
#include "emulator/run.h"
#include "json/reader.h"
#include "platform/process.h"
#include "proxy/process.h"
#include "standin/agent.h"
#include "standin/database.h"

namespace {

using robinhoist::settings::SexpReader;

// Validates a file; its top-level forms tell which kind of settings it holds.
int check(const std::string& file) {
  namespace rh = robinhoist;
  SexpReader root = SexpReader::from_file(file);
  const char* kind = "";
  if (root.has("umpire"))
    kind = "umpire", rh::proxy::read(root);
  else if (root.has("standin"))
    kind = "standin", rh::standin::read(root);
  else if (root.has("controller"))
    kind = "controller", rh::controller::read(root);
  else if (root.has("day"))
    kind = "day", rh::day::read(root);
  else if (root.has("list"))
    kind = "list", rh::controller::read_registry_settings(root);
  else {
    std::cerr << file
              << ":1: holds none of (umpire ...), (controller ...), (list ...), (standin ...), "
                 "(day ...)\n";
    return 2;
  }
  std::cout << file << ": valid (" << kind << " ...) settings\n";
  return 0;
}

// Prints the verdict. Returns 0 only if all five rules hold.
int audit(const std::string& folder) {
  try {
    robinhoist::audit::Report report = robinhoist::audit::audit(folder);
    std::cout << robinhoist::audit::to_text(report);
    return report.passed() ? 0 : 1;
  } catch (const robinhoist::json::DecodeError& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}

// Runs a scenario in simulated time.
int emulate(const std::string& file, long seed, std::string folder, bool no_record) {
  namespace rh = robinhoist;
  const rh::day::Scenario scenario = rh::day::read(SexpReader::from_file(file));
  if (folder.empty())
    folder = "found/emulated-" + std::to_string(seed);
  if (no_record)
    folder.clear();
  std::cout << file << ", seed " << seed << ", emulated: " << scenario.deployment.proxies
            << " proxies, " << scenario.server_slots << " servers, " << scenario.load.rate
            << " requests a second for " << std::chrono::duration<double>(scenario.length).count()
            << " s" << (folder.empty() ? "" : ", record in " + folder) << std::endl;
  const auto start = std::chrono::steady_clock::now();
  const rh::emulator::Summary summary = rh::emulator::run(scenario, seed, folder);
  const double elapsed =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
  const int status = folder.empty() ? 0 : audit(folder);
  std::vector<double> ms = summary.latencies_ms;
  std::sort(ms.begin(), ms.end());
  const auto percentile = [&](double p) {
    return ms.empty() ? 0 : ms[static_cast<std::size_t>(p * static_cast<double>(ms.size() - 1))];
  };
  std::printf(
      "tries %ld: settled %ld (wrong %ld), declined %ld, voided %ld, unreached %ld, broken %ld; "
      "revenue %.1f%%; p50 %.1f ms, p99 %.1f ms\n",
      summary.client_attempts, summary.succeeded, summary.wrong, summary.rejected, summary.failed,
      summary.unreached, summary.connection_lost,
      summary.weight_offered > 0 ? 100 * summary.weight_in_time / summary.weight_offered : 0,
      percentile(0.5), percentile(0.99));
  std::printf(
      "%.1f s of one core: %.2f million events a second, %ld decisions, %.1f simulated seconds a "
      "second\n",
      elapsed, static_cast<double>(summary.events) / elapsed / 1e6, summary.decisions,
      std::chrono::duration<double>(scenario.length).count() / elapsed);
  return status;
}

// Runs a scenario on loopback sockets.
int run_scenario(const std::string& file, long seed, std::string folder) {
  namespace rh = robinhoist;
  const rh::day::Scenario scenario = rh::day::read(SexpReader::from_file(file));
  if (folder.empty())
    folder = "found/day-" + std::to_string(seed);
  std::cout << file << ", seed " << seed << ": " << scenario.deployment.proxies << " proxies, "
            << scenario.server_slots << " stand-in servers, " << scenario.load.rate
            << " requests a second for " << std::chrono::duration<double>(scenario.length).count()
            << " s, record in " << folder << std::endl;
  const rh::day::RunResult result = rh::day::run_scenario(scenario, seed, folder, "/proc/self/exe");
  int status = audit(folder);
  if (!result.proxies_exited_cleanly) {
    std::cout << "proxies did not exit cleanly: " << result.problems << "\n";
    status = std::max(status, 1);
  }
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  namespace rh = robinhoist;
  CLI::App app{
      "robinhoist rolls out new builds on live traffic: proxies route requests to servers, compare "
      "the release on trial with its baseline and vote; a controller moves releases through their "
      "waves."};
  app.require_subcommand(1);
  app.set_help_all_flag("--help-all", "Help of all sub-commands");
  std::string config;
  auto add = [&](const char* name, const char* description) {
    CLI::App* sub = app.add_subcommand(name, description);
    sub->add_option("--config", config, "Settings as S-expressions")
        ->required()
        ->check(CLI::ExistingFile);
    return sub;
  };
  CLI::App* proxy = add(
      "proxy", "Run one proxy: an HTTP/1.1 reverse proxy that routes, analyses canaries and votes");
  proxy->alias("umpire");  // the command's former name
  CLI::App* platform = app.add_subcommand(
      "platform", "Run one proxy on the operators' platform, configured by its file alone");
  platform->add_option("--config", config, "The file, as JSON")
      ->envname("ROUTER_CONFIG")
      ->required();
  CLI::App* controller =
      add("controller", "Run the release controller: waves, caps, votes, commands to machines");
  CLI::App* list = add("list", "Run the endpoint registry that proxies watch");
  CLI::App* standin =
      add("standin", "Run stand-in servers: simulated machines behind real sockets");
  CLI::App* checks =
      app.add_subcommand("check", "Validate a settings file; prints all problems with their lines");
  checks->add_option("FILE", config, "Settings as S-expressions")->required();
  CLI::App* scenarios =
      app.add_subcommand("day", "Run a scenario on loopback sockets and audit its record");
  long seed = 1;
  std::string out;
  scenarios->add_option("FILE", config, "The scenario, in the notation of days/README.md")
      ->required();
  scenarios->add_option("--seed", seed, "Seed of everything random")
      ->check(CLI::Range(1L, 1000000000L));
  scenarios->add_option("--out", out, "Folder for the record (default found/day-SEED)");
  CLI::App* emulates =
      app.add_subcommand("emulate", "Run a scenario in simulated time and audit its record");
  bool no_record = false;
  emulates->add_option("FILE", config, "The scenario, in the notation of days/README.md")
      ->required();
  emulates->add_option("--seed", seed, "Seed of everything random")
      ->check(CLI::Range(1L, 1000000000L));
  emulates->add_option("--out", out, "Folder for the record (default found/emulated-SEED)");
  emulates->add_flag("--no-record", no_record,
                     "Only print the summary; faster, but there is no audit");
  CLI::App* audits =
      app.add_subcommand("audit", "Check the record of a run against the five rules");
  audits->add_option("DIR", config, "Folder of the record")->required();
  CLI::App* database = app.add_subcommand(
      "standin-db", "Run the stand-in database that migration steps run against");
  std::string listen = "127.0.0.1:8092", setup;
  database->add_option("--listen", listen, "Address to listen on")->capture_default_str();
  database->add_option("--file", out, "SQLite file (default in memory)");
  database->add_option("--setup", setup, "Statements to execute at the start");
  int steps_status = 0, release_status = 0, trace_status = 0, lab_status = 0;
  try {
    rh::cli::add_steps(app, steps_status);
    rh::cli::add_release(app, release_status);
    rh::cli::add_trace(app, trace_status);
    rh::cli::add_lab(app, lab_status);
    CLI11_PARSE(app, argc, argv);
    if (*app.get_subcommand("steps"))
      return steps_status;
    if (*app.get_subcommand("release"))
      return release_status;
    if (*app.get_subcommand("txn"))
      return trace_status;
    if (*app.get_subcommand("lab"))
      return lab_status;
    if (*database)
      return rh::standin::run_database(listen, out, setup);
    if (*platform)
      return rh::platform::run(config);
    if (*checks)
      return check(config);
    if (*audits)
      return audit(config);
    if (*scenarios)
      return run_scenario(config, seed, out);
    if (*emulates)
      return emulate(config, seed, out, no_record);
    SexpReader root = SexpReader::from_file(config);
    if (*proxy)
      return rh::proxy::run(rh::proxy::read(root));
    if (*controller)
      return rh::controller::run(rh::controller::read(root));
    if (*list)
      return rh::controller::run_registry(rh::controller::read_registry_settings(root));
    if (*standin)
      return rh::standin::run(rh::standin::read(root));
  } catch (const rh::json::DecodeError& error) {
    std::cerr << error.what() << "\n";
    return 2;
  } catch (const rh::settings::ValidationError& error) {
    std::cerr << error.what() << "\n";
    return 2;
  } catch (const std::exception& error) {
    std::cerr << "robinhoist: " << error.what() << "\n";
    return 2;
  }
  return 0;
}
