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

constexpr std::size_t max_cells = 10000;

std::string content_of(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()))
    throw settings::ValidationError(file + ": cannot be read", 1);
  return text.str();
}

std::string to_text(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

// The parameter values of one cell.
using Row = std::vector<std::string>;

std::vector<Row> grid(const std::vector<Parameter>& parameters) {
  std::vector<Row> rows{{}};
  for (const Parameter& parameter : parameters) {
    std::vector<Row> longer;
    for (const Row& row : rows)
      for (const std::string& value : parameter.values) {
        longer.push_back(row);
        longer.back().push_back(value);
      }
    rows = std::move(longer);
    if (rows.size() > max_cells)
      break;
  }
  return rows;
}

// Samples `count` rows. With Latin hypercube sampling each parameter's range is divided into as
// many strata, each sampled once, in an order of its own; otherwise samples are independent.
std::vector<Row> sample(const std::vector<Parameter>& parameters, int count, bool latin,
                        long seed) {
  std::vector<Row> rows(static_cast<std::size_t>(count));
  std::minstd_rand random(static_cast<unsigned>(seed));
  std::uniform_real_distribution<double> uniform(0, 1);
  for (const Parameter& parameter : parameters) {
    std::vector<double> positions;
    for (int i = 0; i < count; ++i)
      positions.push_back(latin ? (i + uniform(random)) / count : uniform(random));
    if (latin)
      std::shuffle(positions.begin(), positions.end(), random);
    for (int i = 0; i < count; ++i) {
      const double position = positions[static_cast<std::size_t>(i)];
      rows[static_cast<std::size_t>(i)].push_back(
          parameter.is_range ? to_text(parameter.min + position * (parameter.max - parameter.min))
                             : parameter.values[std::min(
                                   parameter.values.size() - 1,
                                   static_cast<std::size_t>(
                                       position * static_cast<double>(parameter.values.size())))]);
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
  Experiment experiment;
  experiment.name = form.text("name");
  experiment.scenario_file =
      (std::filesystem::path(file).parent_path() / form.text("day")).string();
  experiment.repetitions = form.integer("repetitions", 1, 100000, 10);
  experiment.seed = form.integer("seed", 1, 1000000000, 1);
  int sample_count = 0;  // 0: a grid
  bool latin = false;
  if (auto draw = form.optional_child("draw")) {
    const std::string how = draw->positional_count() > 0 ? draw->positional(0, "how") : "";
    if (auto random = draw->optional_child("random"))
      sample_count = static_cast<int>(
          settings::parse_number(random->positional(0, "a number of samples")).value_or(0));
    else if (auto square = draw->optional_child("latin"))
      latin = true,
      sample_count = static_cast<int>(
          settings::parse_number(square->positional(0, "a number of samples")).value_or(0));
    else if (how != "grid")
      draw->add_problem("is not one of grid, (random N), (latin N)");
    if (how != "grid" && (sample_count < 1 || sample_count > static_cast<int>(max_cells)))
      draw->add_problem("the number of samples must be from 1 to 10000");
    draw->finish();
  }
  std::vector<std::string> policies;
  if (auto names = form.optional_child("policies")) {
    for (std::size_t i = 0; i < names->positional_count(); ++i) {
      policies.push_back(names->positional(i, "a policy"));
      if (!emulator::parse_policy(policies.back()))
        names->add_problem(policies.back() +
                           " is not one of module, random, round-robin, least-requests; the last "
                           "three may be followed by /never, /always or /threshold");
    }
    names->finish();
  }
  if (policies.empty())
    policies.push_back("module");
  for (settings::SexpReader& vary : form.children("vary", policies.size() > 1 ? 0 : 1)) {
    Parameter parameter;
    parameter.name = vary.positional(0, "a name");
    parameter.path = vary.text("at");
    if (auto values = vary.optional_child("values"))
      for (std::size_t i = 0; i < values->positional_count(); ++i)
        parameter.values.push_back(values->positional(i, "a value"));
    if (auto range = vary.optional_child("from")) {
      parameter.is_range = true;
      parameter.min = settings::parse_number(range->positional(0, "a minimum")).value_or(0);
      parameter.max = settings::parse_number(range->positional(1, "a maximum")).value_or(0);
      if (!(parameter.min < parameter.max))
        range->add_problem("needs two numbers, the lesser first");
      if (sample_count == 0)
        range->add_problem(
            "a grid needs (values ...); a range needs (draw (random N)) or "
            "(draw (latin N))");
    }
    if (parameter.values.empty() && !parameter.is_range)
      vary.add_problem("needs (values ...) or (from MIN MAX)");
    vary.finish();
    experiment.parameters.push_back(std::move(parameter));
  }
  form.finish();
  root.finish();
  const std::string base_text = content_of(experiment.scenario_file);
  const std::vector<Row> rows =
      sample_count > 0 ? sample(experiment.parameters, sample_count, latin, experiment.seed)
                       : grid(experiment.parameters);
  if (rows.size() > max_cells)
    throw settings::ValidationError(file + ": more than 10000 cells", 1);
  experiment.digest_input = experiment.name + "\n" + std::to_string(experiment.seed);
  // The policy is the last parameter, because plots use the first one as their x axis.
  const std::size_t varied = experiment.parameters.size();
  if (policies.size() > 1)
    experiment.parameters.push_back({.name = "policy", .path = "", .values = policies});
  for (const std::string& policy : policies)
    for (const Row& row : rows) {
      Cell cell;
      cell.values = row;
      cell.policy = emulator::parse_policy(policy).value_or(emulator::PolicySpec{});
      if (policies.size() > 1)
        cell.values.push_back(policy);
      settings::SexpReader base =
          settings::SexpReader::from_text(base_text, experiment.scenario_file);
      std::string label;
      for (std::size_t i = 0; i < varied; ++i) {
        const Parameter& parameter = experiment.parameters[i];
        label += (label.empty() ? "" : ", ") + parameter.name + "=" + row[i];
        if (!base.override_value(parameter.path, row[i]))
          throw settings::ValidationError(
              file + ": there is no " + parameter.path + " in " + experiment.scenario_file, 1);
      }
      cell.scenario_text = base.to_text();
      // Read again from the changed text, so that messages name the cell.
      cell.scenario = day::read(settings::SexpReader::from_text(
          cell.scenario_text, experiment.scenario_file + " (" + label + ")"));
      if (const std::string reason = emulator::unsupported_reason(cell.scenario); !reason.empty())
        throw settings::ValidationError(
            experiment.scenario_file + ": cannot be emulated: " + reason, 1);
      experiment.digest_input += "\n" + policy + "\n" + cell.scenario_text;
      experiment.cells.push_back(std::move(cell));
    }
  return experiment;
}

}  // namespace robinhoist::lab
