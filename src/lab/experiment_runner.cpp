#include "lab/experiment_runner.h"

#include <spawn.h>
#include <sqlite3.h>
#include <sys/wait.h>
#include <xxhash.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <thread>

#include "emulator/run.h"
#include "util/quantile.h"

extern char** environ;

namespace robinhoist::lab {
namespace {

[[noreturn]] void throw_error(sqlite3* db, const std::string& file) {
  throw std::runtime_error(file + ": " + (db ? sqlite3_errmsg(db) : "out of memory"));
}

std::string digest_of(const std::string& text) {
  const XXH128_hash_t sum = XXH3_128bits(text.data(), text.size());
  char hex[33];
  std::snprintf(hex, sizeof hex, "%016llx%016llx", static_cast<unsigned long long>(sum.high64),
                static_cast<unsigned long long>(sum.low64));
  return hex;
}

std::string label(const Experiment& experiment, const Cell& cell) {
  std::string text;
  for (std::size_t i = 0; i < cell.values.size(); ++i)
    text += (i > 0 ? ", " : "") + experiment.parameters[i].name + "=" + cell.values[i];
  return text;
}

std::string to_text(double value) {
  char text[32];
  std::snprintf(text, sizeof text,
                std::abs(value) >= 100  ? "%.0f"
                : std::abs(value) >= 10 ? "%.1f"
                                        : "%.2f",
                value);
  return text;
}

std::string to_text(const Mean& mean) {
  if (mean.count == 0)
    return "-";
  return to_text(mean.mean) + (mean.count < 2 ? "" : " +- " + to_text(mean.half_width));
}

// A measure's values in two cells, for the repetitions that both have.
std::pair<std::vector<double>, std::vector<double>> paired_values(
    const std::map<int, MeasureValues>& a, const std::map<int, MeasureValues>& b,
    const char* measure) {
  std::pair<std::vector<double>, std::vector<double>> paired;
  for (auto& [repetition, values] : a) {
    auto other = b.find(repetition);
    if (other == b.end() || values.count(measure) == 0 || other->second.count(measure) == 0)
      continue;
    paired.first.push_back(values.at(measure));
    paired.second.push_back(other->second.at(measure));
  }
  return paired;
}

std::vector<double> values_of(const std::map<int, MeasureValues>& runs, const char* measure) {
  std::vector<double> values;
  for (auto& [repetition, run_values] : runs)
    if (auto at = run_values.find(measure); at != run_values.end())
      values.push_back(at->second);
  return values;
}

std::string html_escaped(const std::string& text) {
  std::string out;
  for (char c : text)
    out += c == '<' ? "&lt;" : c == '>' ? "&gt;" : c == '&' ? "&amp;" : std::string(1, c);
  return out;
}

// Runs gnuplot and returns the SVG; empty when gnuplot is not installed or fails.
std::string plot(const std::string& script, const std::string& folder, const std::string& name) {
  const std::string svg = folder + "/" + name + ".svg", file = folder + "/" + name + ".gp";
  std::ofstream(file) << "set terminal svg size 720,420 font 'sans,11'\nset output '" << svg
                      << "'\n"
                      << script;
  const char* arguments[] = {"gnuplot", file.c_str(), nullptr};
  pid_t pid = 0;
  if (posix_spawnp(&pid, "gnuplot", nullptr, nullptr, const_cast<char**>(arguments), environ) != 0)
    return "";
  int status = 0;
  ::waitpid(pid, &status, 0);
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0)
    return "";
  std::ifstream in(svg);
  std::ostringstream text;
  text << in.rdbuf();
  const std::size_t from = text.str().find("<svg");
  return from == std::string::npos ? "" : text.str().substr(from);
}

}  // namespace

Results::Results(const std::string& file, const Experiment& experiment) {
  if (sqlite3_open(file.c_str(), &db_) != SQLITE_OK)
    throw_error(db_, file);
  sqlite3_busy_timeout(db_, 5000);
  const std::string digest = digest_of(experiment.digest_input);
  const char* schema =
      "CREATE TABLE IF NOT EXISTS experiment (digest TEXT PRIMARY KEY);"
      "CREATE TABLE IF NOT EXISTS runs (cell INTEGER, repetition INTEGER, measure TEXT, value "
      "REAL, PRIMARY "
      "KEY (cell, "
      "repetition, measure))";
  if (sqlite3_exec(db_, schema, nullptr, nullptr, nullptr) != SQLITE_OK)
    throw_error(db_, file);
  std::string stored_digest;
  sqlite3_exec(
      db_, "SELECT digest FROM experiment",
      [](void* to, int, char** values, char**) {
        *static_cast<std::string*>(to) = values[0];
        return 0;
      },
      &stored_digest, nullptr);
  // Results that were measured under other settings must not be mixed in.
  if (!stored_digest.empty() && stored_digest != digest)
    throw std::runtime_error(
        file +
        ": holds the results of another experiment, or of this one before it was changed; "
        "choose another folder");
  if (stored_digest.empty() &&
      sqlite3_exec(db_, ("INSERT INTO experiment VALUES ('" + digest + "')").c_str(), nullptr,
                   nullptr, nullptr) != SQLITE_OK)
    throw_error(db_, file);
}

Results::~Results() {
  sqlite3_close(db_);
}

bool Results::contains(int cell, int repetition) const {
  sqlite3_stmt* query = nullptr;
  sqlite3_prepare_v2(db_, "SELECT 1 FROM runs WHERE cell = ? AND repetition = ? LIMIT 1", -1,
                     &query, nullptr);
  sqlite3_bind_int(query, 1, cell);
  sqlite3_bind_int(query, 2, repetition);
  const bool found = sqlite3_step(query) == SQLITE_ROW;
  sqlite3_finalize(query);
  return found;
}

void Results::store(int cell, int repetition, const MeasureValues& values) {
  // One transaction for each run, so that an interrupted run is repeated as a whole.
  std::string sql = "BEGIN;";
  for (auto& [measure, value] : values) {
    char text[160];
    std::snprintf(text, sizeof text, "INSERT OR REPLACE INTO runs VALUES (%d,%d,'%s',%.17g);", cell,
                  repetition, measure.c_str(), value);
    sql += text;
  }
  if (sqlite3_exec(db_, (sql + "COMMIT").c_str(), nullptr, nullptr, nullptr) != SQLITE_OK) {
    sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
    throw_error(db_, "results");
  }
}

std::map<int, MeasureValues> Results::runs_of(int cell) const {
  std::map<int, MeasureValues> runs;
  sqlite3_stmt* query = nullptr;
  sqlite3_prepare_v2(db_, "SELECT repetition, measure, value FROM runs WHERE cell = ?", -1, &query,
                     nullptr);
  sqlite3_bind_int(query, 1, cell);
  while (sqlite3_step(query) == SQLITE_ROW)
    runs[sqlite3_column_int(query, 0)]
        [reinterpret_cast<const char*>(sqlite3_column_text(query, 1))] =
            sqlite3_column_double(query, 2);
  sqlite3_finalize(query);
  return runs;
}

MeasureValues run_cell(const Cell& cell, long seed) {
  const emulator::Summary summary = emulator::run(cell.scenario, seed, "", {}, cell.policy);
  MeasureValues values;
  const double tries = std::max(1.0, static_cast<double>(summary.client_attempts));
  values["revenue"] =
      summary.weight_offered > 0 ? 100 * summary.weight_in_time / summary.weight_offered : 0;
  values["declined"] = 100 * static_cast<double>(summary.rejected) / tries;
  values["voided"] = 100 * static_cast<double>(summary.failed) / tries;
  values["submissions"] = static_cast<double>(summary.proxy_attempts) / tries;
  if (!summary.latencies_ms.empty()) {
    values["p50"] = quantile(summary.latencies_ms, 0.5);
    values["p99"] = quantile(summary.latencies_ms, 0.99);
  }
  std::map<int, TimePoint> begun, rolled_back;
  for (const auto& verdict : summary.release_changes) {
    if (verdict.phase == "trial")
      begun.emplace(verdict.build, verdict.at);
    // A rollback because the next release was created is no verdict on the build.
    if (verdict.phase == "going-back" && verdict.reason != "the next build is offered")
      rolled_back.emplace(verdict.build, verdict.at);
  }
  int good = 0, good_rolled_back = 0, bad = 0, bad_rolled_back = 0;
  double seconds_to_rollback = 0;
  for (const day::ScheduledRelease& release : cell.scenario.releases) {
    const int build = release.build.number;
    if (begun.count(build) == 0)
      continue;
    const bool is_rolled_back = rolled_back.count(build) > 0;
    if (release.build.flaw == machine::Flaw::none) {
      ++good;
      good_rolled_back += is_rolled_back;
    } else {
      ++bad;
      bad_rolled_back += is_rolled_back;
      if (is_rolled_back)
        seconds_to_rollback +=
            std::chrono::duration<double>(rolled_back[build] - begun[build]).count();
    }
  }
  if (good > 0)
    values["good-sent-back"] = 100.0 * good_rolled_back / good;
  if (bad > 0)
    values["bad-sent-back"] = 100.0 * bad_rolled_back / bad;
  if (bad_rolled_back > 0)
    values["bad-known-after"] = seconds_to_rollback / bad_rolled_back;
  return values;
}

int run(const Experiment& experiment, Results& results, int jobs,
        const std::function<void(int done, int all, double seconds_left)>& on_progress) {
  struct Job {
    int cell, repetition;
  };
  std::vector<Job> pending;
  // In order of repetitions, so that all cells have about as many runs when it is interrupted.
  for (int repetition = 0; repetition < experiment.repetitions; ++repetition)
    for (int cell = 0; cell < static_cast<int>(experiment.cells.size()); ++cell)
      if (!results.contains(cell, repetition))
        pending.push_back({cell, repetition});
  std::atomic<std::size_t> next{0};
  std::mutex mutex;
  int done = 0;
  std::string error;
  const auto start = std::chrono::steady_clock::now();
  const auto run_jobs = [&] {
    for (std::size_t at; (at = next++) < pending.size();) {
      const Job job = pending[at];
      try {
        const MeasureValues values = run_cell(experiment.cells[static_cast<std::size_t>(job.cell)],
                                              experiment.seed + job.repetition);
        std::lock_guard lock(mutex);
        results.store(job.cell, job.repetition, values);
        ++done;
        const double elapsed =
            std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        if (on_progress)
          on_progress(done, static_cast<int>(pending.size()),
                      elapsed / done * static_cast<double>(pending.size() - done));
      } catch (const std::exception& exception) {
        std::lock_guard lock(mutex);
        error = exception.what();
        next = pending.size();
      }
    }
  };
  std::vector<std::thread> threads;
  for (int i = 0; i < std::max(1, jobs); ++i)
    threads.emplace_back(run_jobs);
  for (std::thread& thread : threads)
    thread.join();
  if (!error.empty())
    throw std::runtime_error(error);
  return done;
}

std::string table(const Experiment& experiment, const Results& results) {
  std::ostringstream out;
  out << experiment.name << ": " << experiment.cells.size() << " cells, " << experiment.repetitions
      << " repetitions; means with 95% confidence intervals; differences from the first cell, or "
         "from the first policy under the same settings, paired by seed\n";
  // With several policies the baseline of a cell is the first policy's cell of the same settings.
  const bool has_policies =
      !experiment.parameters.empty() && experiment.parameters.back().path.empty();
  const std::size_t cells_per_policy =
      has_policies ? experiment.cells.size() / experiment.parameters.back().values.size()
                   : experiment.cells.size();
  for (std::size_t c = 0; c < experiment.cells.size(); ++c) {
    const auto runs = results.runs_of(static_cast<int>(c));
    const std::size_t baseline = has_policies ? c % cells_per_policy : 0;
    const auto baseline_runs = results.runs_of(static_cast<int>(baseline));
    out << label(experiment, experiment.cells[c]) << " (" << runs.size() << " runs)\n";
    for (const Measure& measure : measures()) {
      const std::vector<double> values = values_of(runs, measure.name);
      if (values.empty())
        continue;
      char line[200];
      std::snprintf(line, sizeof line, "  %-16s %18s %-6s", measure.name,
                    to_text(mean_of(values)).c_str(), measure.unit);
      out << line;
      if (c != baseline) {
        const auto [a, b] = paired_values(baseline_runs, runs, measure.name);
        const PairedComparison paired = compare(a, b, measure.more_is_better);
        std::snprintf(line, sizeof line, "  %18s  %s", to_text(paired.difference).c_str(),
                      to_string(paired.verdict));
        out << line;
        if (paired.additional_pairs)
          out << ", " << *paired.additional_pairs << " more runs would likely decide it";
      }
      out << "\n";
    }
  }
  return out.str();
}

std::string html_report(const Experiment& experiment, const Results& results,
                        const std::string& folder) {
  std::ostringstream html;
  html << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>"
       << html_escaped(experiment.name)
       << "</title><style>body{font:14px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 "
          "1em}pre{overflow:auto}svg{max-width:100%;background:#fff}</style><h1>"
       << html_escaped(experiment.name) << "</h1>";
  // One plot for each measure over the first parameter, if its values are numbers, with one line
  // for each combination of the others.
  std::vector<std::map<int, MeasureValues>> runs;
  for (std::size_t c = 0; c < experiment.cells.size(); ++c)
    runs.push_back(results.runs_of(static_cast<int>(c)));
  for (const Measure& measure : measures()) {
    std::map<std::string, std::map<double, Mean>> lines;
    for (std::size_t c = 0; c < experiment.cells.size(); ++c) {
      const Cell& cell = experiment.cells[c];
      const auto x = settings::parse_number(cell.values[0]);
      const std::vector<double> values = values_of(runs[c], measure.name);
      if (!x || values.empty())
        continue;
      std::string others;
      for (std::size_t i = 1; i < cell.values.size(); ++i)
        others +=
            (others.empty() ? "" : ", ") + experiment.parameters[i].name + "=" + cell.values[i];
      lines[others][*x] = mean_of(values);
    }
    if (lines.empty())
      continue;
    std::ostringstream script;
    script << "set xlabel '" << experiment.parameters[0].name << "'\nset ylabel '" << measure.name
           << " (" << measure.unit << ")'\nset grid\nset xtics rotate by -45\nset key "
           << (lines.size() > 1 ? "below maxcols 2" : "off") << "\n";
    int number = 0;
    for (auto& [others, points] : lines) {
      script << "$d" << number++ << " << EOD\n";
      for (auto& [x, mean] : points)
        script << x << " " << mean.mean << " "
               << (std::isfinite(mean.half_width) ? mean.half_width : 0) << "\n";
      script << "EOD\n";
    }
    script << "plot ";
    number = 0;
    for (auto& [others, points] : lines) {
      script << (number > 0 ? ", " : "") << "$d" << number
             << " using 1:2:3 with yerrorlines title '" << others << "'";
      ++number;
    }
    const std::string svg = plot(script.str() + "\n", folder, std::string("plot-") + measure.name);
    html << "<h2>" << measure.name << "</h2>"
         << (svg.empty() ? "<p>no plot: gnuplot is not available</p>" : svg);
  }
  html << "<h2>Figures</h2><pre>" << html_escaped(table(experiment, results))
       << "</pre><h2>Scenario of the first cell</h2><pre>"
       << html_escaped(experiment.cells.front().scenario_text) << "</pre></html>\n";
  return html.str();
}

}  // namespace robinhoist::lab
