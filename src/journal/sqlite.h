/// Thin RAII wrappers around the SQLite C API: prepared statements and transactions.
#pragma once
#include <cstdint>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace robinhoist::journal {

/// A prepared statement. Values are bound in order before rows are read. Failures are reported as
/// JournalError with SQLite's message.
class Query {
 public:
  Query(sqlite3* database, const char* sql);
  ~Query();
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;

  Query& bind(std::int64_t value);
  Query& bind(const std::string& value);
  /// Advances to the next row; returns false when there is none.
  bool next_row();
  /// Runs the statement to completion.
  void execute();

  /// The columns of the current row, counted from 0. NULL is returned as 0 or "".
  std::int64_t integer(int column) const;
  std::string text(int column) const;

 private:
  [[noreturn]] void throw_error();

  sqlite3* database_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

/// Begins a write transaction. The destructor rolls it back unless commit() was called.
class Transaction {
 public:
  explicit Transaction(sqlite3* database);
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;

  /// The changes are durable when it returns.
  void commit();

 private:
  sqlite3* database_;
  bool committed_ = false;
};

}  // namespace robinhoist::journal
