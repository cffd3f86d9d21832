// robinhoist: the command line. Exit status: 0 fine, 1 it ran and something was not kept, 2 bad
// input.
#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>

#include "audit/audit.h"
#include "cli/lab.h"
#include "cli/release.h"
#include "cli/steps.h"
#include "cli/txn.h"
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

// Which settings a file holds follows from its forms.
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
    kind = "list", rh::controller::read_list(root);
  else {
    std::cerr << file
              << ":1: holds none of (umpire ...), (controller ...), (list ...), (standin ...), "
                 "(day ...)\n";
    return 2;
  }
  std::cout << file << ": good settings of a " << kind << "\n";
  return 0;
}

// Prints the verdict; 0 only when all five rules hold.
int audit(const std::string& folder) {
  try {
    robinhoist::audit::Report report = robinhoist::audit::audit(folder);
    std::cout << robinhoist::audit::to_text(report);
    return report.kept() ? 0 : 1;
  } catch (const robinhoist::json::DecodeError& bad) {
    std::cerr << bad.what() << "\n";
    return 2;
  }
}

// The same in simulated time.
int emulate(const std::string& file, long seed, std::string folder, bool no_record) {
  namespace rh = robinhoist;
  const rh::day::Scenario day = rh::day::read(SexpReader::from_file(file));
  if (folder.empty())
    folder = "found/emulated-" + std::to_string(seed);
  if (no_record)
    folder.clear();
  std::cout << file << ", seed " << seed << ", emulated: " << day.deployment.proxies << " umpires, "
            << day.server_slots << " nodes, " << day.load.rate << " txns a second for "
            << std::chrono::duration<double>(day.length).count() << " s"
            << (folder.empty() ? "" : ", record in " + folder) << std::endl;
  const auto from = std::chrono::steady_clock::now();
  const rh::emulator::Summary summary = rh::emulator::run(day, seed, folder);
  const double took =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count();
  const int status = folder.empty() ? 0 : audit(folder);
  std::vector<double> ms = summary.took_ms;
  std::sort(ms.begin(), ms.end());
  const auto part = [&](double p) {
    return ms.empty() ? 0 : ms[static_cast<std::size_t>(p * static_cast<double>(ms.size() - 1))];
  };
  std::printf(
      "tries %ld: settled %ld (wrong %ld), declined %ld, voided %ld, unreached %ld, broken %ld; "
      "revenue "
      "%.1f%%; "
      "p50 %.1f ms, p99 %.1f ms\n",
      summary.tries, summary.succeeded, summary.wrong, summary.rejected, summary.failed,
      summary.unreached, summary.broken,
      summary.max_weight > 0 ? 100 * summary.priority_weight / summary.max_weight : 0, part(0.5),
      part(0.99));
  std::printf(
      "%.1f s of one core: %.2f million events a second, %ld decisions, %.1f simulated seconds a "
      "second\n",
      took, static_cast<double>(summary.events) / took / 1e6, summary.decisions,
      std::chrono::duration<double>(day.length).count() / took);
  return status;
}

int play(const std::string& file, long seed, std::string folder) {
  namespace rh = robinhoist;
  const rh::day::Scenario day = rh::day::read(SexpReader::from_file(file));
  if (folder.empty())
    folder = "found/day-" + std::to_string(seed);
  std::cout << file << ", seed " << seed << ": " << day.deployment.proxies << " umpires, "
            << day.server_slots << " stand-in nodes, " << day.load.rate << " txns a second for "
            << std::chrono::duration<double>(day.length).count() << " s, record in " << folder
            << std::endl;
  const rh::day::RunResult result = rh::day::run_scenario(day, seed, folder, "/proc/self/exe");
  int status = audit(folder);
  if (!result.proxies_exited_cleanly) {
    std::cout << "umpires did not end well: " << result.problems << "\n";
    status = std::max(status, 1);
  }
  return status;
}

}  // namespace

int main(int argc, char** argv) {
  namespace rh = robinhoist;
  CLI::App app{
      "robinhoist tries out new builds on live traffic: umpires route txns to nodes, judge the "
      "release on "
      "trial and vote; a controller moves releases through their waves."};
  app.require_subcommand(1);
  app.set_help_all_flag("--help-all", "Help of all sub-commands");
  std::string config;
  auto add = [&](const char* name, const char* what) {
    CLI::App* sub = app.add_subcommand(name, what);
    sub->add_option("--config", config, "Settings as S-expressions")
        ->required()
        ->check(CLI::ExistingFile);
    return sub;
  };
  CLI::App* proxy = add(
      "proxy", "Run one proxy: an HTTP/1.1 reverse proxy that routes, analyses canaries and votes");
  proxy->alias("umpire");  // the name of this command before
  CLI::App* platform = app.add_subcommand(
      "platform", "Run one umpire on the operators' platform, told all by its configuration file");
  platform->add_option("--config", config, "The file, as JSON")
      ->envname("ROUTER_CONFIG")
      ->required();
  CLI::App* controller =
      add("controller", "Run the release controller: waves, caps, votes, orders to machines");
  CLI::App* list = add("list", "Run the list of nodes that umpires watch");
  CLI::App* standin = add("standin", "Run stand-in nodes: simulated machines behind real sockets");
  CLI::App* checks =
      app.add_subcommand("check", "Check a file of settings; says all that is wrong, with lines");
  checks->add_option("FILE", config, "Settings as S-expressions")->required();
  CLI::App* days =
      app.add_subcommand("day", "Play a scripted day on loopback sockets and audit it");
  long seed = 1;
  std::string out;
  days->add_option("FILE", config, "The day, in the notation of days/README.md")->required();
  days->add_option("--seed", seed, "For all that is drawn")->check(CLI::Range(1L, 1000000000L));
  days->add_option("--out", out, "Folder for the record (default found/day-SEED)");
  CLI::App* emulates =
      app.add_subcommand("emulate", "Play a scripted day in simulated time, and audit its record");
  bool no_record = false;
  emulates->add_option("FILE", config, "The day, in the notation of days/README.md")->required();
  emulates->add_option("--seed", seed, "For all that is drawn")->check(CLI::Range(1L, 1000000000L));
  emulates->add_option("--out", out, "Folder for the record (default found/emulated-SEED)");
  emulates->add_flag("--no-record", no_record, "Figures only: quicker, and nothing to audit");
  CLI::App* audits = app.add_subcommand("audit", "Check a day's record against the five rules");
  audits->add_option("DIR", config, "The folder of the record")->required();
  CLI::App* database =
      app.add_subcommand("standin-db", "Run the stand-in database that steps run against");
  std::string listen = "127.0.0.1:8092", setup;
  database->add_option("--listen", listen, "Its address")->capture_default_str();
  database->add_option("--file", out, "An SQLite file; memory without");
  database->add_option("--setup", setup, "Statements to begin with");
  int steps = 0, release = 0, request_name = 0, lab = 0;
  try {
    rh::cli::add_steps(app, steps);
    rh::cli::add_release(app, release);
    rh::cli::add_trace(app, request_name);
    rh::cli::add_lab(app, lab);
    CLI11_PARSE(app, argc, argv);
    if (*app.get_subcommand("steps"))
      return steps;
    if (*app.get_subcommand("release"))
      return release;
    if (*app.get_subcommand("txn"))
      return request_name;
    if (*app.get_subcommand("lab"))
      return lab;
    if (*database)
      return rh::standin::run_database(listen, out, setup);
    if (*platform)
      return rh::platform::run(config);
    if (*checks)
      return check(config);
    if (*audits)
      return audit(config);
    if (*days)
      return play(config, seed, out);
    if (*emulates)
      return emulate(config, seed, out, no_record);
    SexpReader root = SexpReader::from_file(config);
    if (*proxy)
      return rh::proxy::run(rh::proxy::read(root));
    if (*controller)
      return rh::controller::run(rh::controller::read(root));
    if (*list)
      return rh::controller::run_list(rh::controller::read_list(root));
    if (*standin)
      return rh::standin::run(rh::standin::read(root));
  } catch (const rh::json::DecodeError& bad) {
    std::cerr << bad.what() << "\n";
    return 2;
  } catch (const rh::settings::ValidationError& invalid) {
    std::cerr << invalid.what() << "\n";
    return 2;
  } catch (const std::exception& failed) {
    std::cerr << "robinhoist: " << failed.what() << "\n";
    return 2;
  }
  return 0;
}
