/// Tests how a runner reads the journal of steps, in particular entries with unknown words.
#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <functional>
#include <string>

#include "journal/journal.h"
#include "log/logger.h"
#include "migration/runner.h"
#include "net/loop.h"

namespace robinhoist::migration {
namespace {

namespace fs = std::filesystem;

constexpr int build = 2;
const char* const plan_text =
    R"P((plan (release 2) (step table (kind schema) (phase expand) (apply "A") (on-back keep))))P";

class StepJournalTest : public testing::Test {
 protected:
  StepJournalTest() { fs::remove(file_); }
  ~StepJournalTest() override { fs::remove(file_); }

  /// Writes a journal with two entries, the second of which `change` modifies, and returns the
  /// error of a runner that reads it; empty if there is none.
  std::string error_of_runner(const std::function<void(journal::Entry&)>& change) {
    journal::Journal journal(file_);
    journal.save_plan(build, plan_text, "test");
    journal::Entry entry{.build = build,
                         .step = "table",
                         .what = journal::entry_kind::intent,
                         .direction = to_string(Direction::apply)};
    journal.append(entry);
    entry.what = journal::entry_kind::run_result;
    entry.outcome = to_string(StepResult::done);
    change(entry);
    journal.append(entry);

    net::Loop loop(net::steady_now());
    const log::Logger log("test", "off");
    Target target(loop, "127.0.0.1:1");
    const RunnerSettings settings{.holder = "runner", .lease_length = std::chrono::seconds(10)};
    try {
      const Runner runner(loop, settings, journal, target, log);
    } catch (const journal::JournalError& error) {
      EXPECT_EQ(journal.entries(build).size(), 2u);
      return error.what();
    }
    return "";
  }

  const std::string file_ =
      (fs::temp_directory_path() / ("robinhoist-step-journal-" + std::to_string(::getpid())))
          .string();
};

TEST_F(StepJournalTest, ReadsValidEntries) {
  EXPECT_EQ(error_of_runner([](journal::Entry&) {}), "");
}

// Guards against an unknown word that is read as a known one, such as a rollback as an apply.
TEST_F(StepJournalTest, ReportsAnUnknownWordWithFileAndRow) {
  const std::string row = file_ + ": entries, row 2: ";
  EXPECT_EQ(error_of_runner([](journal::Entry& entry) { entry.what = "began"; }),
            row + "what 'began' is not known to this version");
  fs::remove(file_);
  EXPECT_EQ(error_of_runner([](journal::Entry& entry) { entry.direction = "back"; }),
            row + "direction 'back' is not known to this version");
  fs::remove(file_);
  EXPECT_EQ(error_of_runner([](journal::Entry& entry) { entry.outcome = "did"; }),
            row + "outcome 'did' is not known to this version");
}

}  // namespace
}  // namespace robinhoist::migration
