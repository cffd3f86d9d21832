#include "lab/experiment.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "emulator/run.h"
#include "settings/form.h"

namespace robinhoist::lab {
namespace {

constexpr std::size_t cells_most = 10000;

std::string content_of(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()))
    throw settings::Invalid(file + ": can't be read", 1);
  return text.str();
}

std::string plain(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

using Row = std::vector<std::string>;

std::vector<Row> grid(const std::vector<Parameter>& parameters) {
  std::vector<Row> rows{{}};
  for (const Parameter& one : parameters) {
    std::vector<Row> longer;
    for (const Row& row : rows)
      for (const std::string& value : one.values) {
        longer.push_back(row);
        longer.back().push_back(value);
      }
    rows = std::move(longer);
    if (rows.size() > cells_most)
      break;
  }
  return rows;
}

// Each parameter's range in as many strata as there are rows: one draw in each, in an order of its
// own (latin), or anywhere (random).
std::vector<Row> drawn(const std::vector<Parameter>& parameters, int many, bool latin, long seed) {
  std::vector<Row> rows(static_cast<std::size_t>(many));
  std::minstd_rand chance(static_cast<unsigned>(seed));
  std::uniform_real_distribution<double> part(0, 1);
  for (const Parameter& one : parameters) {
    std::vector<double> at;
    for (int i = 0; i < many; ++i)
      at.push_back(latin ? (i + part(chance)) / many : part(chance));
    if (latin)
      std::shuffle(at.begin(), at.end(), chance);
    for (int i = 0; i < many; ++i) {
      const double p = at[static_cast<std::size_t>(i)];
      rows[static_cast<std::size_t>(i)].push_back(
          one.range ? plain(one.least + p * (one.most - one.least))
                    : one.values[std::min(
                          one.values.size() - 1,
                          static_cast<std::size_t>(p * static_cast<double>(one.values.size())))]);
    }
  }
  return rows;
}

}  // namespace

const std::vector<Measure>& measures() {
  static const std::vector<Measure> all{
      {"revenue", "%", true},         {"declined", "%", false},
      {"voided", "%", false},         {"p50", "ms", false},
      {"p99", "ms", false},           {"submissions", "a try", false},
      {"good-sent-back", "%", false}, {"bad-sent-back", "%", true},
      {"bad-known-after", "s", false}};
  return all;
}

Experiment read(const std::string& file) {
  settings::Form root = settings::Form::of_file(file);
  settings::Form form = root.sub("experiment");
  Experiment to;
  to.name = form.text("name");
  to.day_file = (std::filesystem::path(file).parent_path() / form.text("day")).string();
  to.repetitions = form.whole("repetitions", 1, 100000, 10);
  to.seed = form.whole("seed", 1, 1000000000, 1);
  int many = 0;
  bool latin = false;
  if (auto draw = form.maybe("draw")) {
    const std::string how = draw->own_words() > 0 ? draw->own_word(0, "how") : "";
    if (auto random = draw->maybe("random"))
      many = static_cast<int>(settings::number_of(random->own_word(0, "how many")).value_or(0));
    else if (auto square = draw->maybe("latin"))
      latin = true,
      many = static_cast<int>(settings::number_of(square->own_word(0, "how many")).value_or(0));
    else if (how != "grid")
      draw->problem("is none of grid, (random N), (latin N)");
    if (how != "grid" && (many < 1 || many > static_cast<int>(cells_most)))
      draw->problem("how many must be from 1 to 10000");
    draw->finish();
  }
  std::vector<std::string> policies;
  if (auto words = form.maybe("policies")) {
    for (std::size_t i = 0; i < words->own_words(); ++i) {
      policies.push_back(words->own_word(i, "a policy"));
      if (!emulator::policy_of(policies.back()))
        words->problem(
            policies.back() +
            " is none of module, and random, round-robin, least-requests, each alone or with "
            "/never, /always, /threshold");
    }
    words->finish();
  }
  if (policies.empty())
    policies.push_back("module");
  for (settings::Form& vary : form.each("vary", policies.size() > 1 ? 0 : 1)) {
    Parameter one;
    one.name = vary.own_word(0, "a name");
    one.at = vary.text("at");
    if (auto values = vary.maybe("values"))
      for (std::size_t i = 0; i < values->own_words(); ++i)
        one.values.push_back(values->own_word(i, "a value"));
    if (auto range = vary.maybe("from")) {
      one.range = true;
      one.least = settings::number_of(range->own_word(0, "the least")).value_or(0);
      one.most = settings::number_of(range->own_word(1, "the most")).value_or(0);
      if (!(one.least < one.most))
        range->problem("needs two numbers, the lesser first");
      if (many == 0)
        range->problem("a range can't be taken in a grid: give values, or draw");
    }
    if (one.values.empty() && !one.range)
      vary.problem("has neither (values ...) nor (from LEAST MOST)");
    vary.finish();
    to.parameters.push_back(std::move(one));
  }
  form.finish();
  root.finish();
  const std::string day_text = content_of(to.day_file);
  const std::vector<Row> rows =
      many > 0 ? drawn(to.parameters, many, latin, to.seed) : grid(to.parameters);
  if (rows.size() > cells_most)
    throw settings::Invalid(file + ": more than 10000 cells", 1);
  to.digest = to.name + "\n" + std::to_string(to.seed);
  // Policies come last among the parameters, so that plots have the first varied thing as their
  // axis.
  const std::size_t varied = to.parameters.size();
  if (policies.size() > 1)
    to.parameters.push_back({.name = "policy", .at = "", .values = policies});
  for (const std::string& policy : policies)
    for (const Row& row : rows) {
      Cell cell;
      cell.values = row;
      cell.policy = emulator::policy_of(policy).value_or(emulator::PolicySpec{});
      if (policies.size() > 1)
        cell.values.push_back(policy);
      settings::Form day = settings::Form::of_text(day_text, to.day_file);
      std::string label;
      for (std::size_t i = 0; i < varied; ++i) {
        label += (label.empty() ? "" : ", ") + to.parameters[i].name + "=" + row[i];
        if (!day.set(to.parameters[i].at, row[i]))
          throw settings::Invalid(
              file + ": " + to.parameters[i].at + " names nothing in " + to.day_file, 1);
      }
      cell.text = day.written();
      // Read anew from its text: what a cell makes wrong is told with the cell's name.
      cell.day = day::read(settings::Form::of_text(cell.text, to.day_file + " (" + label + ")"));
      if (const std::string why = emulator::why_not(cell.day); !why.empty())
        throw settings::Invalid(to.day_file + ": can't be emulated: " + why, 1);
      to.digest += "\n" + policy + "\n" + cell.text;
      to.cells.push_back(std::move(cell));
    }
  return to;
}

}  // namespace robinhoist::lab
