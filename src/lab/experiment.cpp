#include "lab/experiment.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include "emulator/run.h"
#include "settings/sexp_reader.h"

namespace robinhoist::lab {
namespace {

constexpr std::size_t cells_most = 10000;

std::string content_of(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()))
    throw settings::ValidationError(file + ": can't be read", 1);
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
  settings::SexpReader root = settings::SexpReader::from_file(file);
  settings::SexpReader form = root.child("experiment");
  Experiment to;
  to.name = form.text("name");
  to.day_file = (std::filesystem::path(file).parent_path() / form.text("day")).string();
  to.repetitions = form.integer("repetitions", 1, 100000, 10);
  to.seed = form.integer("seed", 1, 1000000000, 1);
  int many = 0;
  bool latin = false;
  if (auto draw = form.optional_child("draw")) {
    const std::string how = draw->positional_count() > 0 ? draw->positional(0, "how") : "";
    if (auto random = draw->optional_child("random"))
      many =
          static_cast<int>(settings::parse_number(random->positional(0, "how many")).value_or(0));
    else if (auto square = draw->optional_child("latin"))
      latin = true,
      many =
          static_cast<int>(settings::parse_number(square->positional(0, "how many")).value_or(0));
    else if (how != "grid")
      draw->add_problem("is none of grid, (random N), (latin N)");
    if (how != "grid" && (many < 1 || many > static_cast<int>(cells_most)))
      draw->add_problem("how many must be from 1 to 10000");
    draw->finish();
  }
  std::vector<std::string> policies;
  if (auto words = form.optional_child("policies")) {
    for (std::size_t i = 0; i < words->positional_count(); ++i) {
      policies.push_back(words->positional(i, "a policy"));
      if (!emulator::policy_of(policies.back()))
        words->add_problem(
            policies.back() +
            " is none of module, and random, round-robin, least-requests, each alone or with "
            "/never, /always, /threshold");
    }
    words->finish();
  }
  if (policies.empty())
    policies.push_back("module");
  for (settings::SexpReader& vary : form.children("vary", policies.size() > 1 ? 0 : 1)) {
    Parameter one;
    one.name = vary.positional(0, "a name");
    one.at = vary.text("at");
    if (auto values = vary.optional_child("values"))
      for (std::size_t i = 0; i < values->positional_count(); ++i)
        one.values.push_back(values->positional(i, "a value"));
    if (auto range = vary.optional_child("from")) {
      one.range = true;
      one.least = settings::parse_number(range->positional(0, "the least")).value_or(0);
      one.most = settings::parse_number(range->positional(1, "the most")).value_or(0);
      if (!(one.least < one.most))
        range->add_problem("needs two numbers, the lesser first");
      if (many == 0)
        range->add_problem("a range can't be taken in a grid: give values, or draw");
    }
    if (one.values.empty() && !one.range)
      vary.add_problem("has neither (values ...) nor (from LEAST MOST)");
    vary.finish();
    to.parameters.push_back(std::move(one));
  }
  form.finish();
  root.finish();
  const std::string day_text = content_of(to.day_file);
  const std::vector<Row> rows =
      many > 0 ? drawn(to.parameters, many, latin, to.seed) : grid(to.parameters);
  if (rows.size() > cells_most)
    throw settings::ValidationError(file + ": more than 10000 cells", 1);
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
      settings::SexpReader day = settings::SexpReader::from_text(day_text, to.day_file);
      std::string label;
      for (std::size_t i = 0; i < varied; ++i) {
        label += (label.empty() ? "" : ", ") + to.parameters[i].name + "=" + row[i];
        if (!day.override_value(to.parameters[i].at, row[i]))
          throw settings::ValidationError(
              file + ": " + to.parameters[i].at + " names nothing in " + to.day_file, 1);
      }
      cell.text = day.to_text();
      // Read anew from its text: what a cell makes wrong is told with the cell's name.
      cell.day =
          day::read(settings::SexpReader::from_text(cell.text, to.day_file + " (" + label + ")"));
      if (const std::string why = emulator::why_not(cell.day); !why.empty())
        throw settings::ValidationError(to.day_file + ": can't be emulated: " + why, 1);
      to.digest += "\n" + policy + "\n" + cell.text;
      to.cells.push_back(std::move(cell));
    }
  return to;
}

}  // namespace robinhoist::lab
