// Runs an experiment on all cores, keeps each run's measures in SQLite, goes on where it stopped,
// and tells what came of it as a table and as one page with plots.
#pragma once
#include <functional>
#include <map>
#include <string>

#include "lab/experiment.h"
#include "lab/stats.h"

struct sqlite3;

namespace robinhoist::lab {

using MeasureValues =
    std::map<std::string, double>;  // by measure; one that has no meaning in a run is left out

// Results of one experiment. Throws std::runtime_error when the file is another experiment's or
// can't be used.
class Results {
 public:
  Results(const std::string& file, const Experiment& experiment);
  ~Results();
  Results(const Results&) = delete;
  Results& operator=(const Results&) = delete;
  bool contains(int cell, int repetition) const;
  void store(int cell, int repetition, const MeasureValues& values);
  // By repetition.
  std::map<int, MeasureValues> runs_of(int cell) const;

 private:
  sqlite3* db_ = nullptr;
};

MeasureValues play(const Cell& cell, long seed);
// `told` hears of progress, from whichever thread; the runs that were played now.
int run(const Experiment& experiment, Results& results, int jobs,
        const std::function<void(int done, int all, double left_s)>& told);

std::string table(const Experiment& experiment, const Results& results);
// One HTML page that stands for itself; plots by gnuplot, left out with a word where it is missing.
std::string page(const Experiment& experiment, const Results& results, const std::string& folder);

}  // namespace robinhoist::lab
