#include "cli/lab.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <thread>

#include "emulator/run.h"
#include "lab/experiment_runner.h"
#include "lab/fault_search.h"

namespace robinhoist::cli {
namespace {

struct Options {
  std::string file{}, out{};
  int jobs = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
};

// Runs what is missing of an experiment, if `run`, and writes the report.
int experiment(const Options& options, bool run) {
  const lab::Experiment experiment = lab::read(options.file);
  const std::string folder = options.out.empty() ? "found/lab-" + experiment.name : options.out;
  std::filesystem::create_directories(folder);
  lab::Results results(folder + "/results.sqlite", experiment);
  if (run) {
    std::cerr << experiment.name << ": " << experiment.cells.size() << " cells, "
              << experiment.repetitions << " repetitions, on " << options.jobs << " threads\n";
    int last_report = -1;
    lab::run(experiment, results, options.jobs, [&](int done, int all, double seconds_left) {
      if (const int percent = 100 * done / all; percent / 5 != last_report) {
        last_report = percent / 5;
        std::fprintf(stderr, "  %d of %d, about %.0f s left\n", done, all, seconds_left);
      }
    });
  }
  std::cout << lab::table(experiment, results);
  const std::string report = folder + "/report.html";
  std::ofstream(report) << lab::html_report(experiment, results, folder);
  std::cout << "report written to " << report << "\n";
  return 0;
}

int search_faults(const Options& options, lab::FaultSearchSettings settings) {
  std::ifstream in(options.file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  const day::Scenario base = day::read(settings::SexpReader::from_text(text.str(), options.file));
  if (const std::string reason = emulator::unsupported_reason(base); !reason.empty())
    throw std::runtime_error(options.file + ": cannot be emulated: " + reason);
  settings.jobs = options.jobs;
  const auto print = [](const lab::FaultSearchResult& result) {
    std::string kinds;
    for (const day::Fault& fault : result.faults)
      kinds += std::string(" ") + day::to_string(fault.kind);
    std::printf("  after %d runs: revenue %.1f%%%s,%s\n", result.runs, result.priority_weight,
                result.broken_rules.empty() ? "" : (", " + result.broken_rules).c_str(),
                kinds.c_str());
    std::fflush(stdout);
  };
  const lab::FaultSearchResult worst = lab::find_worst_faults(base, settings, print);
  std::printf("shrunk, ");
  print(worst);
  const std::string out = options.out.empty() ? "found/hunted.day" : options.out;
  if (const auto folder = std::filesystem::path(out).parent_path(); !folder.empty())
    std::filesystem::create_directories(folder);
  char comment[200];
  std::snprintf(comment, sizeof comment,
                "Found by `robinhoist lab hunt` on %s, seed %ld: revenue %.1f%%%s.",
                options.file.c_str(), settings.seed, worst.priority_weight,
                worst.broken_rules.empty() ? "" : ", a rule broken");
  std::ofstream(out) << lab::scenario_text(text.str(), worst.faults, comment);
  std::printf("saved to %s; run it with --seed %ld\n", out.c_str(), settings.seed);
  return worst.broken_rules.empty() ? 0 : 1;
}

}  // namespace

void add_lab(CLI::App& app, int& status) {
  auto options = std::make_shared<Options>();
  CLI::App* lab = app.add_subcommand("lab", "Experiments in simulated time");
  lab->require_subcommand(1);
  for (const bool run : {true, false}) {
    CLI::App* sub =
        lab->add_subcommand(run ? "run" : "report",
                            run ? "Run an experiment, resuming where it was interrupted, and report"
                                : "Report the stored results without running anything");
    sub->add_option("FILE", options->file, "The experiment, as docs/lab.md describes")->required();
    sub->add_option("--out", options->out,
                    "Folder for results and report (default found/lab-NAME)");
    sub->add_option("--jobs", options->jobs, "Threads")
        ->check(CLI::Range(1, 1024))
        ->capture_default_str();
    sub->callback([options, run, &status] { status = experiment(*options, run); });
  }
  auto settings = std::make_shared<lab::FaultSearchSettings>();
  CLI::App* hunt = lab->add_subcommand(
      "hunt",
      "Search for the worst faults, which break a rule or lose the most revenue, then "
      "shrink them");
  hunt->add_option("DAY", options->file, "The base scenario, whose own faults are left out")
      ->required();
  hunt->add_option("--runs", settings->runs, "Runs in all")
      ->check(CLI::Range(20, 1000000))
      ->capture_default_str();
  hunt->add_option("--seed", settings->seed, "Seed of the search and of its runs")
      ->check(CLI::Range(1L, 1000000000L));
  hunt->add_option("--out", options->out, "File for the scenario found (default found/hunted.day)");
  hunt->add_option("--jobs", options->jobs, "Threads")
      ->check(CLI::Range(1, 1024))
      ->capture_default_str();
  hunt->callback([options, settings, &status] { status = search_faults(*options, *settings); });
}

}  // namespace robinhoist::cli
