/// Runs the cells of an experiment in parallel, stores the measures of each run in SQLite, so that
/// an interrupted experiment resumes, and reports them as a table and as an HTML page with plots.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "lab/experiment.h"
#include "lab/stats.h"

struct sqlite3;

namespace robinhoist::lab {

/// By measure. One that is undefined for a run is missing.
using MeasureValues = std::map<std::string, double>;

/// The stored results of one experiment. Throws std::runtime_error when the file cannot be used or
/// holds the results of another experiment.
class Results {
 public:
  Results(const std::string& file, const Experiment& experiment);
  ~Results();
  Results(const Results&) = delete;
  Results& operator=(const Results&) = delete;
  bool contains(int cell, int repetition) const;
  void store(int cell, int repetition, const MeasureValues& values);
  /// By repetition.
  std::map<int, MeasureValues> runs_of(int cell) const;

 private:
  sqlite3* db_ = nullptr;
};

MeasureValues run_cell(const Cell& cell, long seed);
/// Runs what is not in `results` yet, on `jobs` threads, and returns how many runs that were.
/// `on_progress` may be empty; it is called from any of the threads, by one at a time.
int run(const Experiment& experiment, Results& results, int jobs,
        const std::function<void(int done, int all, double seconds_left)>& on_progress);

std::string table(const Experiment& experiment, const Results& results);
/// A self-contained HTML page. Plots are drawn by gnuplot, whose files go to `folder`; without
/// gnuplot the page says that they are missing.
std::string html_report(const Experiment& experiment, const Results& results,
                        const std::string& folder);

}  // namespace robinhoist::lab
