#include "journal/schema.h"

#include <sqlite3.h>

#include <cstdint>
#include <string>

#include "journal/journal.h"
#include "journal/sqlite.h"

namespace robinhoist::journal {
namespace {

/// Marks the file as a journal of this program: "robi" in ASCII.
constexpr std::int64_t application_id = 0x726f6269;
constexpr int schema_version = 3;

void execute(sqlite3* database, const std::string& sql) {
  Query(database, sql.c_str()).execute();
}

/// Returns the single value of a query. The statement is finalized before the next one begins,
/// because SQLite cannot change the journal mode while a statement is open.
std::int64_t query_integer(sqlite3* database, const char* sql) {
  Query query(database, sql);
  query.next_row();
  return query.integer(0);
}

// SQLite stores the text of these statements in the database; it must not change.

/// Creates the tables of migration steps and plans, the runner's lease and the controller's state.
void create_version_1(sqlite3* database) {
  execute(database, "PRAGMA application_id=" + std::to_string(application_id));
  execute(database,
          "CREATE TABLE entries (id INTEGER PRIMARY KEY, at_ms INTEGER NOT NULL, "
          "build INTEGER NOT NULL, step TEXT NOT NULL, what TEXT NOT NULL, "
          "direction TEXT NOT NULL, outcome TEXT NOT NULL, after INTEGER NOT NULL, "
          "token INTEGER NOT NULL, attempt INTEGER NOT NULL, digest TEXT NOT NULL)");
  execute(database,
          "CREATE TABLE plans (build INTEGER PRIMARY KEY, text TEXT NOT NULL, "
          "at_ms INTEGER NOT NULL)");
  execute(database,
          "CREATE TABLE lease (id INTEGER PRIMARY KEY CHECK (id = 1), holder TEXT NOT NULL, "
          "token INTEGER NOT NULL, until_ms INTEGER NOT NULL)");
  execute(database, "CREATE TABLE state (key TEXT PRIMARY KEY, value TEXT NOT NULL)");
}

/// Adds who made an entry or a plan, and why.
void upgrade_to_version_2(sqlite3* database) {
  execute(database, "ALTER TABLE entries ADD COLUMN who TEXT NOT NULL DEFAULT ''");
  execute(database, "ALTER TABLE entries ADD COLUMN why TEXT NOT NULL DEFAULT ''");
  execute(database, "ALTER TABLE plans ADD COLUMN who TEXT NOT NULL DEFAULT ''");
  execute(database, "CREATE INDEX entries_by_build ON entries (build, id)");
}

/// Adds the tables of the API's objects, their changes, and the idempotency keys of requests.
void upgrade_to_version_3(sqlite3* database) {
  execute(database, "CREATE TABLE objects (name TEXT PRIMARY KEY, body TEXT NOT NULL)");
  execute(database,
          "CREATE TABLE changes (version INTEGER PRIMARY KEY, change INTEGER NOT NULL, "
          "name TEXT NOT NULL, body TEXT NOT NULL, before TEXT NOT NULL)");
  execute(database,
          "CREATE TABLE requests (key TEXT PRIMARY KEY, digest TEXT NOT NULL, "
          "name TEXT NOT NULL, at_ms INTEGER NOT NULL)");
  execute(database, "CREATE INDEX requests_by_age ON requests (at_ms)");
}

void upgrade(sqlite3* database, int from) {
  if (from == schema_version)
    return;
  Transaction transaction(database);
  if (from < 1)
    create_version_1(database);
  if (from < 2)
    upgrade_to_version_2(database);
  if (from < 3)
    upgrade_to_version_3(database);
  execute(database, "PRAGMA user_version=" + std::to_string(schema_version));
  transaction.commit();
}

}  // namespace

void open_schema(sqlite3* database) {
  const std::int64_t found_application = query_integer(database, "PRAGMA application_id");
  const int found_version = static_cast<int>(query_integer(database, "PRAGMA user_version"));
  const bool is_empty = query_integer(database, "SELECT count(*) FROM sqlite_master") == 0;
  if (!is_empty && found_application != application_id)
    throw JournalError("is a database of something else");
  if (found_version > schema_version)
    throw JournalError("is of version " + std::to_string(found_version) +
                       ", newer than this program's " + std::to_string(schema_version));
  if (!is_empty) {
    Query check(database, "PRAGMA quick_check(1)");
    check.next_row();
    if (check.text(0) != "ok")
      throw JournalError("is damaged: " + check.text(0));
  }
  execute(database, "PRAGMA journal_mode=WAL");
  execute(database, "PRAGMA synchronous=FULL");
  upgrade(database, is_empty ? 0 : found_version);
}

}  // namespace robinhoist::journal
