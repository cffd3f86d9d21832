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

// What may be drawn of each kind: the ranges of its part, size and extra, and the words that its
// notation has for them.
struct Range {
  FaultKind kind;
  const char *size_word, *extra_word;
  double size_least, size_most, extra_least, extra_most;
  bool part, spans;  // durations: size is in seconds
};
constexpr Range ranges[] = {
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

// A day on which everything is gone tells nothing: troubles of endpoints and proxies hit half of
// them at most.
constexpr double part_least = 0.05, part_most = 0.5;

const Range& range_of(FaultKind kind) {
  return *std::find_if(std::begin(ranges), std::end(ranges),
                       [&](auto& r) { return r.kind == kind; });
}

class Draw {
 public:
  Draw(const day::Scenario& base, long seed) : base_(base), chance_(static_cast<unsigned>(seed)) {}
  double part() { return std::uniform_real_distribution<double>(0, 1)(chance_); }
  double between(double least, double most) { return least + part() * (most - least); }
  int below(std::size_t count) { return static_cast<int>(part() * static_cast<double>(count)); }
  Duration within(Duration least, Duration most) {
    return std::chrono::milliseconds(static_cast<long>(
        between(static_cast<double>(least / 1ms), static_cast<double>(most / 1ms))));
  }
  Fault trouble() {
    const Range& range = ranges[below(std::size(ranges))];
    Fault one{.kind = range.kind};
    one.at = within(0ms, base_.length * 8 / 10);
    one.duration = within(200ms, base_.length / 2);
    if (range.part)
      one.target_share = std::round(between(part_least, part_most) * 100) / 100;
    if (range.size_word)
      one.magnitude = std::round(between(range.size_least, range.size_most) * 100) / 100;
    if (range.extra_word)
      one.extra = std::round(between(range.extra_least, range.extra_most) * 100) / 100;
    return one;
  }
  // One trouble moved, made anew, added or taken away.
  std::vector<Fault> changed(std::vector<Fault> all, int most) {
    const double how = part();
    if (all.empty() || (how < 0.2 && static_cast<int>(all.size()) < most)) {
      all.push_back(trouble());
    } else if (how < 0.3 && all.size() > 1) {
      all.erase(all.begin() + below(all.size()));
    } else {
      Fault& one = all[static_cast<std::size_t>(below(all.size()))];
      if (how < 0.5)
        one = trouble();
      else if (how < 0.7)
        one.at =
            std::clamp<Duration>(one.at + within(0ms, 3s) - 1500ms, 0ms, base_.length * 9 / 10);
      else if (how < 0.85)
        one.duration =
            std::clamp<Duration>(one.duration * (50 + below(150)) / 100, 100ms, base_.length);
      else if (range_of(one.kind).part)
        one.target_share = std::clamp(one.target_share + between(-0.3, 0.3), part_least, part_most);
    }
    return all;
  }

 private:
  const day::Scenario& base_;
  std::minstd_rand chance_;
};

Found judged(const day::Scenario& base, std::vector<Fault> faults, long seed,
             const std::string& folder) {
  day::Scenario day = base;
  day.faults = faults;
  Found found;
  found.faults = std::move(faults);
  const emulator::Summary summary = emulator::run(day, seed, folder);
  found.priority_weight =
      summary.max_weight > 0 ? 100 * summary.priority_weight / summary.max_weight : 100;
  audit::Report report = audit::audit(folder);
  if (!report.kept()) {
    std::istringstream lines(audit::to_text(report));
    for (std::string line; std::getline(lines, line);)
      if (line.find("broken") != std::string::npos)
        found.broken += (found.broken.empty() ? "" : "; ") + line;
  }
  return found;
}

// Each of some candidates on a thread of its own, in the order given.
std::vector<Found> all_judged(const day::Scenario& base,
                              const std::vector<std::vector<Fault>>& candidates,
                              const HuntSettings& settings, const std::string& folder) {
  std::vector<Found> found(candidates.size());
  std::atomic<std::size_t> next{0};
  std::vector<std::thread> threads;
  for (int job = 0; job < std::max(1, settings.jobs); ++job)
    threads.emplace_back([&, job] {
      for (std::size_t at; (at = next++) < candidates.size();)
        found[at] = judged(base, candidates[at], settings.seed, folder + "/" + std::to_string(job));
    });
  for (std::thread& thread : threads)
    thread.join();
  return found;
}

std::string spoken(Duration span) {
  return std::to_string(span / 1ms) + "ms";
}

std::string number(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

Found hunt(const day::Scenario& base, const HuntSettings& settings,
           const std::function<void(const Found&)>& told) {
  const std::string folder =
      (fs::temp_directory_path() / ("robinhoist-hunt-" + std::to_string(::getpid()))).string();
  Draw draw(base, settings.seed);
  Found worst = judged(base, {}, settings.seed, folder + "/0");
  int runs = 1;
  const auto look = [&](const std::vector<std::vector<Fault>>& candidates) {
    runs += static_cast<int>(candidates.size());
    bool better = false;
    for (Found& one : all_judged(base, candidates, settings, folder)) {
      if (!one.worse_than(worst))
        continue;
      worst = std::move(one);
      better = true;
    }
    if (better) {
      worst.runs = runs;
      if (told)
        told(worst);
    }
    return better;
  };
  // A third at random, then uphill from the worst, the last quarter for shrinking.
  const int batch = std::max(4, 2 * settings.jobs);
  while (runs + batch <= settings.runs / 3) {
    std::vector<std::vector<Fault>> some;
    for (int i = 0; i < batch; ++i) {
      std::vector<Fault> faults;
      for (int n = 1 + draw.below(static_cast<std::size_t>(settings.troubles_most)); n > 0; --n)
        faults.push_back(draw.trouble());
      some.push_back(std::move(faults));
    }
    look(some);
  }
  while (runs + batch <= settings.runs * 3 / 4) {
    std::vector<std::vector<Fault>> some;
    for (int i = 0; i < batch; ++i)
      some.push_back(draw.changed(worst.faults, settings.troubles_most));
    look(some);
  }
  // Shrinking: whatever can be left out or made smaller while the day stays as bad, give or take a
  // twentieth of the loss.
  const double bad_enough = 100 - 0.95 * (100 - worst.priority_weight);
  const bool breaks = !worst.broken.empty();
  const auto still = [&](const Found& one) {
    return breaks ? !one.broken.empty() : one.priority_weight <= bad_enough;
  };
  for (bool smaller = true; smaller && runs < settings.runs;) {
    smaller = false;
    std::vector<std::vector<Fault>> some;
    for (std::size_t i = 0; i < worst.faults.size(); ++i) {
      std::vector<Fault> fewer = worst.faults;
      fewer.erase(fewer.begin() + static_cast<long>(i));
      some.push_back(fewer);
    }
    for (std::size_t i = 0; i < worst.faults.size(); ++i) {
      std::vector<Fault> less = worst.faults;
      if (less[i].duration > 400ms) {
        less[i].duration = less[i].duration * 7 / 10;
        some.push_back(less);
      }
      less = worst.faults;
      if (range_of(less[i].kind).part && less[i].target_share > 0.15) {
        less[i].target_share = std::round(less[i].target_share * 70) / 100;
        some.push_back(less);
      }
    }
    runs += static_cast<int>(some.size());
    for (Found& one : all_judged(base, some, settings, folder)) {
      if (!still(one))
        continue;
      worst = std::move(one);
      smaller = true;
      break;  // the first that will do: leaving out comes before making smaller
    }
  }
  worst.runs = runs;
  fs::remove_all(folder);
  return worst;
}

std::string day_text(const std::string& base, const std::vector<Fault>& faults,
                     const std::string& comment) {
  settings::SexpReader form = settings::SexpReader::from_text(base, "base");
  std::string text = "; " + comment + "\n" + form.to_text_without("day", "trouble");
  // The (day ...) form is the last that is written: its end is the text's last parenthesis.
  const std::size_t end = text.rfind(')');
  std::string added;
  for (const Fault& one : faults) {
    const Range& range = range_of(one.kind);
    added += "\n  (trouble " + std::string(day::to_string(one.kind)) + " (at " + spoken(one.at) +
             ") (for " + spoken(one.duration) + ")";
    if (range.part)
      added += " (part " + number(one.target_share) + ")";
    if (range.size_word)
      added += " (" + std::string(range.size_word) + " " +
               (range.spans ? spoken(Duration(static_cast<long>(one.magnitude * 1e6)))
                            : number(one.magnitude)) +
               ")";
    if (range.extra_word)
      added += " (" + std::string(range.extra_word) + " " +
               spoken(Duration(static_cast<long>(one.extra * 1e6))) + ")";
    added += ")";
  }
  text.insert(end, added);
  return text;
}

}  // namespace robinhoist::lab
