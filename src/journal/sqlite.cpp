#include "journal/sqlite.h"

#include <sqlite3.h>

#include "journal/journal.h"

namespace robinhoist::journal {

Query::Query(sqlite3* database, const char* sql) : database_(database) {
  if (sqlite3_prepare_v2(database, sql, -1, &statement_, nullptr) != SQLITE_OK)
    throw_error();
}

Query::~Query() {
  sqlite3_finalize(statement_);
}

Query& Query::bind(std::int64_t value) {
  sqlite3_bind_int64(statement_, ++bound_, value);
  return *this;
}

Query& Query::bind(const std::string& value) {
  sqlite3_bind_text(statement_, ++bound_, value.data(), static_cast<int>(value.size()),
                    SQLITE_TRANSIENT);
  return *this;
}

bool Query::next_row() {
  const int code = sqlite3_step(statement_);
  if (code != SQLITE_ROW && code != SQLITE_DONE)
    throw_error();
  return code == SQLITE_ROW;
}

void Query::execute() {
  while (next_row()) {
  }
}

std::int64_t Query::integer(int column) const {
  return sqlite3_column_int64(statement_, column);
}

std::string Query::text(int column) const {
  const unsigned char* text = sqlite3_column_text(statement_, column);
  return text ? std::string(reinterpret_cast<const char*>(text)) : "";
}

void Query::throw_error() {
  const std::string reason = sqlite3_errmsg(database_);
  sqlite3_finalize(statement_);
  statement_ = nullptr;
  throw JournalError("the journal: " + reason);
}

Transaction::Transaction(sqlite3* database) : database_(database) {
  Query(database, "BEGIN IMMEDIATE").execute();
}

Transaction::~Transaction() {
  if (!committed_)
    sqlite3_exec(database_, "ROLLBACK", nullptr, nullptr, nullptr);
}

void Transaction::commit() {
  Query(database_, "COMMIT").execute();
  committed_ = true;
}

}  // namespace robinhoist::journal
