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

struct Words {
  std::string file{}, out{};
  int jobs = static_cast<int>(std::max(1u, std::thread::hardware_concurrency()));
};

int experiment(const Words& words, bool play) {
  const lab::Experiment experiment = lab::read(words.file);
  const std::string folder = words.out.empty() ? "found/lab-" + experiment.name : words.out;
  std::filesystem::create_directories(folder);
  lab::Results results(folder + "/results.sqlite", experiment);
  if (play) {
    std::cerr << experiment.name << ": " << experiment.cells.size() << " cells, "
              << experiment.repetitions << " repetitions, on " << words.jobs << " threads\n";
    int shown = -1;
    lab::run(experiment, results, words.jobs, [&](int done, int all, double left_s) {
      if (const int part = 100 * done / all; part / 5 != shown) {
        shown = part / 5;
        std::fprintf(stderr, "  %d of %d, about %.0f s left\n", done, all, left_s);
      }
    });
  }
  std::cout << lab::table(experiment, results);
  const std::string page = folder + "/report.html";
  std::ofstream(page) << lab::page(experiment, results, folder);
  std::cout << "report in " << page << "\n";
  return 0;
}

int hunt(const Words& words, lab::HuntSettings settings) {
  std::ifstream in(words.file, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  const day::Scenario base = day::read(settings::SexpReader::from_text(text.str(), words.file));
  if (const std::string why = emulator::why_not(base); !why.empty())
    throw std::runtime_error(words.file + ": can't be emulated: " + why);
  settings.jobs = words.jobs;
  const auto shown = [](const lab::Found& found) {
    std::string faults;
    for (const day::Fault& one : found.faults)
      faults += std::string(" ") + day::to_string(one.kind);
    std::printf("  after %d runs: revenue %.1f%%%s,%s\n", found.runs, found.priority_weight,
                found.broken.empty() ? "" : (", " + found.broken).c_str(), faults.c_str());
    std::fflush(stdout);
  };
  const lab::Found found = lab::hunt(base, settings, shown);
  std::printf("shrunk, ");
  shown(found);
  const std::string out = words.out.empty() ? "found/hunted.day" : words.out;
  if (const auto folder = std::filesystem::path(out).parent_path(); !folder.empty())
    std::filesystem::create_directories(folder);
  char comment[200];
  std::snprintf(comment, sizeof comment,
                "Found by `robinhoist lab hunt` on %s, seed %ld: revenue %.1f%%%s.",
                words.file.c_str(), settings.seed, found.priority_weight,
                found.broken.empty() ? "" : ", a rule broken");
  std::ofstream(out) << lab::day_text(text.str(), found.faults, comment);
  std::printf("saved as %s: play it with --seed %ld\n", out.c_str(), settings.seed);
  return found.broken.empty() ? 0 : 1;
}

}  // namespace

void add_lab(CLI::App& app, int& status) {
  auto words = std::make_shared<Words>();
  CLI::App* lab = app.add_subcommand("lab", "Experiments in simulated time");
  lab->require_subcommand(1);
  for (const bool play : {true, false}) {
    CLI::App* sub = lab->add_subcommand(
        play ? "run" : "report",
        play ? "Play an experiment's runs, those that are not there yet, and report"
             : "Report what is there, without playing anything");
    sub->add_option("FILE", words->file, "The experiment, as docs/lab.md describes")->required();
    sub->add_option("--out", words->out, "Folder for results and report (default found/lab-NAME)");
    sub->add_option("--jobs", words->jobs, "Threads")
        ->check(CLI::Range(1, 1024))
        ->capture_default_str();
    sub->callback([words, play, &status] { status = experiment(*words, play); });
  }
  auto settings = std::make_shared<lab::HuntSettings>();
  CLI::App* hunts = lab->add_subcommand(
      "hunt", "Search for the worst day: a broken rule, or the least revenue; then shrink it");
  hunts->add_option("DAY", words->file, "The base day, whose own troubles are left out")
      ->required();
  hunts->add_option("--runs", settings->runs, "Runs in all")
      ->check(CLI::Range(20, 1000000))
      ->capture_default_str();
  hunts->add_option("--seed", settings->seed, "For all that is drawn")
      ->check(CLI::Range(1L, 1000000000L));
  hunts->add_option("--out", words->out, "The day found (default found/hunted.day)");
  hunts->add_option("--jobs", words->jobs, "Threads")
      ->check(CLI::Range(1, 1024))
      ->capture_default_str();
  hunts->callback([words, settings, &status] { status = hunt(*words, *settings); });
}

}  // namespace robinhoist::cli
