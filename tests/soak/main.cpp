// The soak: seeded runs of the program on the operators' platform, from its start to SIGKILL. Each
// run is audited by its network traffic and reported as a table row. Exit status: 0 if all rules
// were kept, 1 if some were broken, 2 for a command line error.
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

#include "options.h"
#include "run.h"

namespace {

using namespace robinhoist::soak;

constexpr const char* table_head =
    "| seed | series | requests | succeeded | rejected | failed | left | unreached | ended by | "
    "rules |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |";

int count_of(const RunResult& result, const char* outcome) {
  const auto found = result.outcome_counts.find(outcome);
  return found == result.outcome_counts.end() ? 0 : found->second;
}

void print_row(long seed, const RunResult& result) {
  std::printf("| %ld | %s | %d | %d | %d | %d | %d | %d | %s | %s |\n", seed,
              result.description.c_str(), result.requests(), count_of(result, "settled"),
              count_of(result, "declined"), count_of(result, "voided"), count_of(result, "left"),
              count_of(result, "unreached"), result.exited_before_kill ? "itself" : "SIGKILL",
              result.breaches.empty() ? "kept" : "BROKEN");
  for (const std::string& breach : result.breaches)
    std::printf("  seed %ld: %s\n", seed, breach.c_str());
  std::fflush(stdout);
}

std::string record_folder(const Options& options) {
  if (!options.folder.empty())
    return options.folder;
  const std::string name = "robinhoist-soak-" + std::to_string(::getpid());
  return (std::filesystem::temp_directory_path() / name).string();
}

int run_seeds(const Options& options) {
  if (options.check_only) {
    std::printf("%ld %ld\n", options.first_seed, options.last_seed);
    return 0;
  }
  const std::string folder = record_folder(options);
  if (!options.rows_only)
    std::puts(table_head);
  long broken = 0;
  for (long seed = options.first_seed; seed <= options.last_seed; ++seed) {
    const RunResult result = execute_run(seed, folder + "/" + std::to_string(seed));
    print_row(seed, result);
    broken += result.breaches.empty() ? 0 : 1;
  }
  const long runs = options.last_seed - options.first_seed + 1;
  if (!options.rows_only)
    std::printf("%ld runs, %ld with a broken rule\n", runs, broken);
  if (options.folder.empty() && broken == 0)
    std::filesystem::remove_all(folder);
  else if (broken > 0)
    std::printf("records in %s\n", folder.c_str());
  return broken == 0 ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return run_seeds(parse_options(std::vector<std::string>(argv + 1, argv + argc)));
  } catch (const UsageError& error) {
    std::fprintf(stderr, "soak: %s\n", error.what());
    return 2;
  }
}
