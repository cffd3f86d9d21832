/// Tests of the journal: leases, invalid files, upgrades, and a full disk.
#include "journal/journal.h"

#include <gtest/gtest.h>
#include <sqlite3.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "net/loop.h"
#include "standin/database.h"

namespace robinhoist::journal {
namespace {

namespace fs = std::filesystem;

/// Provides a journal file that is removed before and after each test.
class JournalTest : public testing::Test {
 protected:
  JournalTest() { fs::remove(file_); }
  ~JournalTest() override { fs::remove(file_); }

  const std::string file_ =
      (fs::temp_directory_path() / ("robinhoist-journal-" + std::to_string(::getpid()))).string();
};

TEST_F(JournalTest, LeasesGoToOneHolderAndTokensOnlyGrow) {
  Journal a(file_);
  Journal b(file_);
  const auto first = a.acquire_lease("a", 1000, 500);
  ASSERT_TRUE(first);
  EXPECT_FALSE(b.acquire_lease("b", 1400, 500));
  const auto second = b.acquire_lease("b", 1600, 500);
  ASSERT_TRUE(second);
  EXPECT_GT(*second, *first);
  EXPECT_FALSE(a.renew_lease("a", *first, 1700, 500));
  EXPECT_TRUE(b.renew_lease("b", *second, 1700, 500));
  // A lease whose expiry is implausibly late because a clock jumped must not block others forever.
  b.renew_lease("b", *second, 900000, 500);
  EXPECT_TRUE(a.acquire_lease("a", 2000, 500));
}

void expect_open_fails(const std::string& file, const char* reason) {
  try {
    Journal journal(file);
    ADD_FAILURE() << "the file was opened; expected the error: " << reason;
  } catch (const JournalError& error) {
    EXPECT_NE(std::string(error.what()).find(reason), std::string::npos) << error.what();
  }
}

Entry apply_entry(const char* what, const char* outcome = "") {
  Entry entry;
  entry.build = 2;
  entry.step = "s";
  entry.what = what;
  entry.direction = "apply";
  entry.outcome = outcome;
  entry.digest = "d";
  return entry;
}

// Guards against a step that may be edited although an attempt before the last one may have run.
TEST_F(JournalTest, AnAttemptThatDidNotRunDoesNotResolveEarlierOnes) {
  const std::map<std::string, std::string> kept = {{"2/s", "d"}};
  Journal journal(file_);
  journal.append(apply_entry(entry_kind::intent));
  journal.append(apply_entry(entry_kind::run_result, "unknown"));
  journal.append(apply_entry(entry_kind::intent));
  journal.append(apply_entry(entry_kind::run_result, "not-run"));
  EXPECT_EQ(journal.applied_digests(), kept);
  journal.append(apply_entry(entry_kind::probe_result, "no"));
  journal.append(apply_entry(entry_kind::intent));
  EXPECT_EQ(journal.applied_digests(), kept);
  journal.append(apply_entry(entry_kind::run_result, "not-run"));
  EXPECT_TRUE(journal.applied_digests().empty());
}

TEST_F(JournalTest, RejectsFilesThatAreNotAJournal) {
  std::ofstream(file_) << std::string(5000, 'x');
  expect_open_fails(file_, "not a database");
  fs::remove(file_);
  net::Loop loop;
  { standin::Database other(loop, http::ServerSettings{}, file_, nullptr); }
  expect_open_fails(file_, "a database of something else");
  fs::remove(file_);
  { Journal(file_).set_state("k", "v"); }
  Entry entry;
  entry.step = "s";
  for (int i = 0; i < 200; ++i)
    Journal(file_).append(entry);
  {
    constexpr std::size_t page_size = 4096;
    std::fstream damaged(file_, std::ios::in | std::ios::out | std::ios::binary);
    damaged.seekp(std::streamoff{page_size * 2});
    damaged << std::string(page_size, '\xff');
  }
  expect_open_fails(file_, "damaged");
}

TEST_F(JournalTest, UpgradesAnOlderVersionAndRejectsANewer) {
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(file_.c_str(), &db), SQLITE_OK);
  const char* first_version =
      "PRAGMA application_id=1919902313; PRAGMA user_version=1; "
      "CREATE TABLE entries (id INTEGER PRIMARY KEY, at_ms INTEGER NOT NULL, "
      "build INTEGER NOT NULL, step TEXT NOT NULL, what TEXT NOT NULL, direction TEXT NOT NULL, "
      "outcome TEXT NOT NULL, after INTEGER NOT NULL, token INTEGER NOT NULL, "
      "attempt INTEGER NOT NULL, digest TEXT NOT NULL); "
      "CREATE TABLE plans (build INTEGER PRIMARY KEY, text TEXT NOT NULL, at_ms INTEGER NOT NULL); "
      "CREATE TABLE lease (id INTEGER PRIMARY KEY CHECK (id = 1), holder TEXT NOT NULL, "
      "token INTEGER NOT NULL, until_ms INTEGER NOT NULL); "
      "CREATE TABLE state (key TEXT PRIMARY KEY, value TEXT NOT NULL); "
      "INSERT INTO entries VALUES (1, 5, 2, 'a', 'intent', 'apply', '', 0, 1, 1, 'd')";
  ASSERT_EQ(sqlite3_exec(db, first_version, nullptr, nullptr, nullptr), SQLITE_OK)
      << sqlite3_errmsg(db);
  {
    Journal journal(file_);
    ASSERT_EQ(journal.entries(2).size(), 1u);
    EXPECT_EQ(journal.entries(2)[0].step, "a");
    EXPECT_EQ(journal.entries(2)[0].who, "");
  }
  ASSERT_EQ(sqlite3_exec(db, "PRAGMA user_version=9", nullptr, nullptr, nullptr), SQLITE_OK);
  sqlite3_close(db);
  expect_open_fails(file_, "of version 9, newer than");
}

TEST_F(JournalTest, ReportsAFullDiskAndKeepsWrittenEntries) {
  Journal journal(file_);
  journal.limit_growth(2);
  Entry entry;
  entry.build = 2;
  entry.why = std::string(3000, 'x');
  std::size_t written = 0;
  try {
    for (;; ++written)
      journal.append(entry);
  } catch (const JournalError& error) {
    EXPECT_NE(std::string(error.what()).find("full"), std::string::npos) << error.what();
  }
  EXPECT_EQ(journal.entries(2).size(), written);
}

/// The statements that created the tables, as stored by SQLite.
std::string stored_schema(const std::string& file) {
  sqlite3* db = nullptr;
  EXPECT_EQ(sqlite3_open_v2(file.c_str(), &db, SQLITE_OPEN_READONLY, nullptr), SQLITE_OK);
  std::string schema;
  const auto append_row = [](void* text, int, char** values, char**) {
    *static_cast<std::string*>(text) += std::string(values[0] ? values[0] : "") + "\n";
    return 0;
  };
  EXPECT_EQ(
      sqlite3_exec(db, "SELECT sql FROM sqlite_master ORDER BY name", append_row, &schema, nullptr),
      SQLITE_OK);
  sqlite3_close(db);
  return schema;
}

TEST_F(JournalTest, StoresTheSchemaOfRevision182850b) {
  const std::string older = file_ + "-older";
  fs::copy_file(TESTS "/compatibility/controller.journal", older,
                fs::copy_options::overwrite_existing);
  { Journal journal(file_); }
  const std::string expected = stored_schema(older);
  EXPECT_FALSE(expected.empty());
  EXPECT_EQ(stored_schema(file_), expected);
  fs::remove(older);
}

}  // namespace
}  // namespace robinhoist::journal
