/// Runs every file in tests/scenarios: *.txt files with the decision engine, *.wire files with the
/// simulator adapter. The notation is described in tests/scenarios/README.md.
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "scenario_runner.h"

namespace robinhoist {
namespace {

namespace fs = std::filesystem;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

std::vector<std::string> lines_of(const fs::path& path) {
  std::ifstream in(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);)
    lines.push_back(line);
  return lines;
}

// The words of a line, without its comment, which starts with #.
ScenarioRunner::Words split_words(const std::string& line) {
  std::istringstream in(line.substr(0, line.find('#')));
  return {std::istream_iterator<std::string>(in), {}};
}

std::vector<std::string> scenario_names(const std::string& extension) {
  std::set<std::string> names;
  for (const auto& entry : fs::directory_iterator(SCENARIOS))
    if (entry.path().extension() == extension)
      names.insert(entry.path().stem().string());
  return {names.begin(), names.end()};
}

std::string scenario_name(const testing::TestParamInfo<std::string>& info) {
  return info.param;
}

class ScenarioTest : public testing::TestWithParam<std::string> {};

TEST_P(ScenarioTest, MeetsItsExpectations) {
  ScenarioRunner runner;
  int number = 0;
  for (const std::string& line : lines_of(fs::path(SCENARIOS) / (GetParam() + ".txt"))) {
    ++number;
    SCOPED_TRACE("line " + std::to_string(number) + ": " + line);
    const ScenarioRunner::Words words = split_words(line);
    if (words.empty())
      continue;
    ASSERT_NO_THROW(runner.execute(words));
  }
  EXPECT_EQ(runner.protocol_violations(), 0);
}

INSTANTIATE_TEST_SUITE_P(All, ScenarioTest, testing::ValuesIn(scenario_names(".txt")),
                         scenario_name);

// The expected result of a *.wire file, given by its first line: 'refuse LINE WORD' or 'accept
// COUNT TEXT'.
struct AdapterExpectation {
  bool refused;
  int number;  // of the refused line, or of the occurrences of the text in the replies
  std::string text;
};

struct AdapterRun {
  int exit_code;
  std::string output;  // standard output and error
};

class SimulatorAdapterTest : public testing::TestWithParam<std::string> {
 protected:
  SimulatorAdapterTest() : lines_(lines_of(fs::path(SCENARIOS) / (GetParam() + ".wire"))) {}

  AdapterExpectation expectation() const {
    std::istringstream first(lines_.at(0));
    std::string verb;
    AdapterExpectation expectation{};
    first >> verb >> expectation.number >> expectation.text;
    expectation.refused = verb == "refuse";
    return expectation;
  }

  // Runs the adapter on all lines but the first. @hello is replaced by the message in hello.json.
  AdapterRun run_adapter() const {
    const fs::path input = fs::path(testing::TempDir()) / (GetParam() + ".in");
    std::ofstream out(input);
    for (std::size_t index = 1; index < lines_.size(); ++index) {
      if (lines_[index] == "@hello")
        out << lines_of(fs::path(SCENARIOS) / "hello.json").at(0) << "\n";
      else
        out << lines_[index] << "\n";
    }
    out.close();
    const std::string command = std::string(BENCHLINK) + " < " + input.string() + " 2>&1";
    std::FILE* pipe = popen(command.c_str(), "r");
    AdapterRun run{};
    for (int byte = std::fgetc(pipe); byte != EOF; byte = std::fgetc(pipe))
      run.output += static_cast<char>(byte);
    run.exit_code = WEXITSTATUS(pclose(pipe));
    return run;
  }

  static int occurrences(const std::string& text, const std::string& part) {
    int seen = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
      ++seen;
    return seen;
  }

 private:
  std::vector<std::string> lines_;
};

TEST_P(SimulatorAdapterTest, AcceptsOrRefusesItsInput) {
  const AdapterExpectation expected = expectation();
  const AdapterRun run = run_adapter();
  if (expected.refused) {
    EXPECT_NE(run.exit_code, 0);
    EXPECT_THAT(run.output, StartsWith("line " + std::to_string(expected.number) + ": "));
    EXPECT_THAT(run.output, HasSubstr(expected.text));
    EXPECT_THAT(run.output, Not(HasSubstr("eor")));
  } else {
    EXPECT_EQ(run.exit_code, 0) << run.output;
    EXPECT_EQ(occurrences(run.output, expected.text), expected.number) << run.output;
  }
}

INSTANTIATE_TEST_SUITE_P(All, SimulatorAdapterTest, testing::ValuesIn(scenario_names(".wire")),
                         scenario_name);

}  // namespace
}  // namespace robinhoist
