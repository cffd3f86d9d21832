/// What revision 182850b wrote is read by this one: a scenario's record, a controller's journal and
/// a proxy's saved list (tests/compatibility/). Everything goes through the program, as at an
/// upgrade.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <thread>

#include "child_process.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;

const std::string fixtures = TESTS "/compatibility";

std::string content_of(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

std::string output_of(const std::string& command) {
  std::FILE* pipe = ::popen((command + " 2>&1").c_str(), "r");
  std::string output;
  char buffer[4096];
  while (const std::size_t got = std::fread(buffer, 1, sizeof buffer, pipe)) {
    output.append(buffer, got);
  }
  ::pclose(pipe);
  return output;
}

class Compatibility : public testing::Test {
 protected:
  void SetUp() override {
    folder_ =
        fs::temp_directory_path() / ("robinhoist-compatibility-" + std::to_string(::getpid()));
    fs::create_directories(folder_);
  }
  void TearDown() override { fs::remove_all(folder_); }

  std::string path(const std::string& name) const { return (folder_ / name).string(); }
  static std::string address(int port) { return "127.0.0.1:" + std::to_string(port); }

  void copy_fixture(const std::string& name) const {
    fs::copy_file(fixtures + "/" + name, path(name), fs::copy_options::overwrite_existing);
  }

  /// Starts a sub-command with a settings file of this content.
  std::unique_ptr<tests::ChildProcess> start(const std::string& command,
                                             const std::string& settings) {
    const std::string file = path(command + ".conf");
    std::ofstream(file) << "(include \"" ROOT "/deploy/example/booking.conf\")\n" << settings;
    return std::make_unique<tests::ChildProcess>(tests::Words{command, "--config", file},
                                                 path(command + ".log"));
  }

  /// Asks until the answer holds the text, ten seconds at most; the last answer.
  static std::string ask_until(const std::string& url, const std::string& text) {
    std::string answer;
    for (int attempt = 0; attempt < 100; ++attempt) {
      answer = output_of("curl -s -m 2 " + url);
      if (answer.find(text) != std::string::npos) {
        break;
      }
      std::this_thread::sleep_for(100ms);
    }
    return answer;
  }

  fs::path folder_;
};

TEST_F(Compatibility, RecordIsAuditedWithTheSameVerdict) {
  EXPECT_EQ(output_of(PROGRAM " audit " + fixtures + "/record"),
            content_of(fixtures + "/record-audit.txt"));
}

TEST_F(Compatibility, JournalBringsBackReleaseAndSteps) {
  copy_fixture("controller.journal");
  const int port = tests::free_port();
  const int no_target = tests::free_port();
  const auto controller =
      start("controller", "(controller (listen " + address(port) +
                              ") (places 4) (build 1) (journal \"" + path("controller.journal") +
                              "\") (steps (target " + address(no_target) + ") (lease 5s)))");
  const std::string release = ask_until(address(port) + "/v1/releases/booking-2", "\"uid\"");
  EXPECT_NE(release.find("\"uid\":\"76a445e39b739645\",\"generation\":1"), std::string::npos)
      << release;
  EXPECT_NE(
      release.find(
          "\"creationTimestamp\":\"2026-12-03T07:29:41.520Z\",\"labels\":{\"team\":\"booking\"}"),
      std::string::npos)
      << release;
  EXPECT_NE(release.find("\"spec\":{\"build\":2,\"description\":\"first\"},\"status\":{\"phase\":"
                         "\"trial\",\"stage\":1"),
            std::string::npos)
      << release;

  const std::string steps = output_of(PROGRAM " steps status --controller " + address(port));
  EXPECT_NE(steps.find("add-room             expand     applied"), std::string::npos) << steps;
  EXPECT_NE(steps.find("fill-room            migrate    applied                  at row 3"),
            std::string::npos)
      << steps;
  EXPECT_NE(steps.find("drop-chair           contract   not applied"), std::string::npos) << steps;
}

// Guards against a journal of before whose texts, shifted then, would be read as results.
TEST_F(Compatibility, StepOfAJournalWithShiftedTextsGoesOnWhereItStood) {
  copy_fixture("failed-step.journal");
  const int port = tests::free_port();
  const int no_target = tests::free_port();
  const auto controller =
      start("controller", "(controller (listen " + address(port) +
                              ") (places 4) (build 1) (journal \"" + path("failed-step.journal") +
                              "\") (steps (target " + address(no_target) + ") (lease 5s)))");
  const std::string steps = ask_until(address(port) + "/v1/steps", "not reached");
  EXPECT_NE(steps.find("\"state\":\"may be applied\""), std::string::npos) << steps;
  const std::string journal = content_of(path("failed-step.journal"));
  for (const char* text : {"garbled answer", "no answer in time", "called off"})
    EXPECT_NE(journal.find(text), std::string::npos) << text;
}

TEST_F(Compatibility, CreationIsNotRepeatedForAKeyOfTheJournal) {
  copy_fixture("controller.journal");
  const int port = tests::free_port();
  const auto controller = start("controller", "(controller (listen " + address(port) +
                                                  ") (places 4) (build 1) (journal \"" +
                                                  path("controller.journal") + "\"))");
  ask_until(address(port) + "/v1/releases/booking-2", "\"uid\"");
  const std::string again = output_of(
      "curl -s -m 2 -H 'Content-Type: application/json' -H 'Idempotency-Key: k1' -d "
      "'{\"metadata\":{\"name\":\"booking-2\",\"labels\":{\"team\":\"booking\"}},\"spec\": "
      "{\"build\": 2, "
      "\"description\":\"first\"}}' " +
      address(port) + "/v1/releases");
  EXPECT_NE(again.find("\"uid\":\"76a445e39b739645\""), std::string::npos) << again;
}

TEST_F(Compatibility, SavedListIsRoutedByWithoutARegistry) {
  copy_fixture("saved-list");
  const int front = tests::free_port();
  const int admin = tests::free_port();
  const std::string nowhere = address(tests::free_port());
  const auto proxy = start("umpire", "(umpire (name umpire-0) (listen " + address(front) +
                                         ") (admin " + address(admin) + ") (list-from " + nowhere +
                                         ") (releases-from " + nowhere + ") (zone room-a) " +
                                         "(saved-list \"" + path("saved-list") + "\"))");
  const std::string status = ask_until(address(admin) + "/status", "\"nodes\":[{");
  const std::string saved = content_of(fixtures + "/saved-list");
  int listed = 0;
  for (std::size_t at = saved.find("\"name\":\""); at != std::string::npos;
       at = saved.find("\"name\":\"", at + 1)) {
    const std::string name = saved.substr(at, saved.find('"', at + 8) + 1 - at);
    EXPECT_NE(status.find(name), std::string::npos) << name << "\n" << status;
    ++listed;
  }
  EXPECT_GT(listed, 0);
}

}  // namespace
}  // namespace robinhoist
