#include "lab/fault_search.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <filesystem>
#include <random>
#include <sstream>
#include <thread>

#include "audit/audit.h"
#include "emulator/run.h"

namespace robinhoist::lab {
namespace {

using namespace std::chrono_literals;
using day::Fault;
using day::FaultKind;
namespace fs = std::filesystem;

// The limits of what is drawn for a kind of fault, and the keys of its figures in the notation.
struct FaultRange {
  FaultKind kind;
  const char *magnitude_key, *extra_key;  // null: the kind has no such figure
  double min_magnitude, max_magnitude, min_extra, max_extra;
  bool has_target_share;
  bool magnitude_is_duration;  // in seconds
};
constexpr FaultRange fault_ranges[] = {
    {FaultKind::crash, nullptr, nullptr, 0, 0, 0, 0, true, false},
    {FaultKind::vanish, nullptr, nullptr, 0, 0, 0, 0, true, false},
    {FaultKind::slow, "times", nullptr, 1.5, 10, 0, 0, true, false},
    {FaultKind::fast_errors, "share", nullptr, 0.1, 0.95, 0, 0, true, false},
    {FaultKind::neighbour, "share", "every", 0.2, 0.9, 0.2, 3, true, false},
    {FaultKind::connection_squeeze, "connections-an-umpire", nullptr, 2, 40, 0, 0, true, false},
    {FaultKind::slow_handshakes, "by", nullptr, 0.02, 0.4, 0, 0, true, true},
    {FaultKind::burst, "times", nullptr, 1.2, 4, 0, 0, false, false},
    {FaultKind::hot_caller, "share", nullptr, 0.2, 0.9, 0, 0, true, false},
    {FaultKind::stale_list, "by", nullptr, 0.5, 10, 0, 0, false, true},
    {FaultKind::proxy_crash, nullptr, nullptr, 0, 0, 0, 0, true, false},
    {FaultKind::proxy_roll, "batch", "down", 0.2, 1, 0.2, 1.5, true, false},
    {FaultKind::controller_crash, nullptr, nullptr, 0, 0, 0, 0, false, false},
};

// At most half of the servers or proxies are hit: a run in which all of them are down tells
// nothing about the policy.
constexpr double min_target_share = 0.05, max_target_share = 0.5;

const FaultRange& range_of(FaultKind kind) {
  return *std::find_if(std::begin(fault_ranges), std::end(fault_ranges),
                       [&](auto& range) { return range.kind == kind; });
}

class FaultGenerator {
 public:
  FaultGenerator(const day::Scenario& base, long seed)
      : base_(base), random_(static_cast<unsigned>(seed)) {}
  // At least 0, below `count`.
  int sample_index(std::size_t count) {
    return static_cast<int>(uniform_sample() * static_cast<double>(count));
  }
  Fault draw() {
    const FaultRange& range = fault_ranges[sample_index(std::size(fault_ranges))];
    Fault fault{.kind = range.kind};
    fault.at = sample_between(0ms, base_.length * 8 / 10);
    fault.duration = sample_between(200ms, base_.length / 2);
    if (range.has_target_share)
      fault.target_share =
          std::round(sample_between(min_target_share, max_target_share) * 100) / 100;
    if (range.magnitude_key)
      fault.magnitude =
          std::round(sample_between(range.min_magnitude, range.max_magnitude) * 100) / 100;
    if (range.extra_key)
      fault.extra = std::round(sample_between(range.min_extra, range.max_extra) * 100) / 100;
    return fault;
  }
  // Adds, removes, replaces, moves or resizes one fault.
  std::vector<Fault> mutate(std::vector<Fault> faults, int max_faults) {
    const double choice = uniform_sample();
    if (faults.empty() || (choice < 0.2 && static_cast<int>(faults.size()) < max_faults)) {
      faults.push_back(draw());
    } else if (choice < 0.3 && faults.size() > 1) {
      faults.erase(faults.begin() + sample_index(faults.size()));
    } else {
      Fault& fault = faults[static_cast<std::size_t>(sample_index(faults.size()))];
      if (choice < 0.5)
        fault = draw();
      else if (choice < 0.7)
        fault.at = std::clamp<Duration>(fault.at + sample_between(0ms, 3s) - 1500ms, 0ms,
                                        base_.length * 9 / 10);
      else if (choice < 0.85)
        fault.duration = std::clamp<Duration>(fault.duration * (50 + sample_index(150)) / 100,
                                              100ms, base_.length);
      else if (range_of(fault.kind).has_target_share)
        fault.target_share = std::clamp(fault.target_share + sample_between(-0.3, 0.3),
                                        min_target_share, max_target_share);
    }
    return faults;
  }

 private:
  double uniform_sample() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  double sample_between(double min, double max) { return min + uniform_sample() * (max - min); }
  Duration sample_between(Duration min, Duration max) {
    return std::chrono::milliseconds(static_cast<long>(
        sample_between(static_cast<double>(min / 1ms), static_cast<double>(max / 1ms))));
  }

  const day::Scenario& base_;
  std::minstd_rand random_;
};

FaultSearchResult evaluate(const day::Scenario& base, std::vector<Fault> faults, long seed,
                           const std::string& folder) {
  day::Scenario scenario = base;
  scenario.faults = faults;
  FaultSearchResult result;
  result.faults = std::move(faults);
  const emulator::Summary summary = emulator::run(scenario, seed, folder);
  result.priority_weight =
      summary.weight_offered > 0 ? 100 * summary.weight_in_time / summary.weight_offered : 100;
  audit::Report report = audit::audit(folder);
  if (!report.passed()) {
    std::istringstream lines(audit::to_text(report));
    for (std::string line; std::getline(lines, line);)
      if (line.find("broken") != std::string::npos)
        result.broken_rules += (result.broken_rules.empty() ? "" : "; ") + line;
  }
  return result;
}

// Evaluates the candidates in parallel. Results are in the order of the candidates.
std::vector<FaultSearchResult> evaluate_all(const day::Scenario& base,
                                            const std::vector<std::vector<Fault>>& candidates,
                                            const FaultSearchSettings& settings,
                                            const std::string& folder) {
  std::vector<FaultSearchResult> results(candidates.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (int job = 0; job < std::max(1, settings.jobs); ++job)
    threads.emplace_back([&, job] {
      for (std::size_t at; (at = next++) < candidates.size();)
        results[at] =
            evaluate(base, candidates[at], settings.seed, folder + "/" + std::to_string(job));
    });
  for (std::thread& thread : threads)
    thread.join();
  return results;
}

std::string to_text(Duration duration) {
  return std::to_string(duration / 1ms) + "ms";
}

std::string to_text(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

// Figures in seconds are written as durations.
std::string seconds_to_text(double seconds) {
  return to_text(Duration(static_cast<long>(seconds * 1e6)));
}

}  // namespace

FaultSearchResult find_worst_faults(const day::Scenario& base, const FaultSearchSettings& settings,
                                    const std::function<void(const FaultSearchResult&)>& on_worse) {
  const std::string folder =
      (fs::temp_directory_path() / ("robinhoist-hunt-" + std::to_string(::getpid()))).string();
  FaultGenerator generator(base, settings.seed);
  FaultSearchResult worst = evaluate(base, {}, settings.seed, folder + "/0");
  int runs = 1;
  const auto try_candidates = [&](const std::vector<std::vector<Fault>>& candidates) {
    runs += static_cast<int>(candidates.size());
    bool found_worse = false;
    for (FaultSearchResult& result : evaluate_all(base, candidates, settings, folder)) {
      if (!result.is_worse_than(worst))
        continue;
      worst = std::move(result);
      found_worse = true;
    }
    if (found_worse) {
      worst.runs = runs;
      if (on_worse)
        on_worse(worst);
    }
  };
  // A third of the runs samples at random, the next ones are a hill climb from the worst result,
  // the last quarter is for shrinking.
  const int batch = std::max(4, 2 * settings.jobs);
  while (runs + batch <= settings.runs / 3) {
    std::vector<std::vector<Fault>> candidates;
    for (int i = 0; i < batch; ++i) {
      std::vector<Fault> faults;
      for (int n = 1 + generator.sample_index(static_cast<std::size_t>(settings.max_faults)); n > 0;
           --n)
        faults.push_back(generator.draw());
      candidates.push_back(std::move(faults));
    }
    try_candidates(candidates);
  }
  while (runs + batch <= settings.runs * 3 / 4) {
    std::vector<std::vector<Fault>> candidates;
    for (int i = 0; i < batch; ++i)
      candidates.push_back(generator.mutate(worst.faults, settings.max_faults));
    try_candidates(candidates);
  }
  // Shrinking removes or reduces a fault as long as the result stays as bad: it still breaks a
  // rule, or it loses at least 95% of the weight that the worst result lost.
  const double max_priority_weight = 100 - 0.95 * (100 - worst.priority_weight);
  const bool breaks_a_rule = !worst.broken_rules.empty();
  const auto is_as_bad = [&](const FaultSearchResult& result) {
    return breaks_a_rule ? !result.broken_rules.empty()
                         : result.priority_weight <= max_priority_weight;
  };
  for (bool shrunk = true; shrunk && runs < settings.runs;) {
    shrunk = false;
    std::vector<std::vector<Fault>> candidates;
    for (std::size_t i = 0; i < worst.faults.size(); ++i) {
      std::vector<Fault> fewer = worst.faults;
      fewer.erase(fewer.begin() + static_cast<long>(i));
      candidates.push_back(fewer);
    }
    for (std::size_t i = 0; i < worst.faults.size(); ++i) {
      std::vector<Fault> reduced = worst.faults;
      if (reduced[i].duration > 400ms) {
        reduced[i].duration = reduced[i].duration * 7 / 10;
        candidates.push_back(reduced);
      }
      reduced = worst.faults;
      if (range_of(reduced[i].kind).has_target_share && reduced[i].target_share > 0.15) {
        reduced[i].target_share = std::round(reduced[i].target_share * 70) / 100;
        candidates.push_back(reduced);
      }
    }
    runs += static_cast<int>(candidates.size());
    for (FaultSearchResult& result : evaluate_all(base, candidates, settings, folder)) {
      if (!is_as_bad(result))
        continue;
      worst = std::move(result);
      shrunk = true;
      break;  // candidates with fewer faults come first
    }
  }
  worst.runs = runs;
  fs::remove_all(folder);
  return worst;
}

std::string scenario_text(const std::string& base, const std::vector<Fault>& faults,
                          const std::string& comment) {
  settings::SexpReader form = settings::SexpReader::from_text(base, "base");
  std::string text = "; " + comment + "\n" + form.to_text_without("day", "trouble");
  // The (day ...) form is written last, so the last parenthesis of the text closes it.
  const std::size_t end = text.rfind(')');
  std::string added;
  for (const Fault& fault : faults) {
    const FaultRange& range = range_of(fault.kind);
    added += "\n  (trouble " + std::string(day::to_string(fault.kind)) + " (at " +
             to_text(fault.at) + ") (for " + to_text(fault.duration) + ")";
    if (range.has_target_share)
      added += " (part " + to_text(fault.target_share) + ")";
    if (range.magnitude_key)
      added += " (" + std::string(range.magnitude_key) + " " +
               (range.magnitude_is_duration ? seconds_to_text(fault.magnitude)
                                            : to_text(fault.magnitude)) +
               ")";
    if (range.extra_key)
      added += " (" + std::string(range.extra_key) + " " + seconds_to_text(fault.extra) + ")";
    added += ")";
  }
  text.insert(end, added);
  return text;
}

}  // namespace robinhoist::lab
