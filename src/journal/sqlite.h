/// Thin RAII wrappers around the SQLite C API: prepared statements and transactions.
#pragma once
#include <cstdint>
#include <string>

struct sqlite3;
struct sqlite3_stmt;

namespace robinhoist::journal {

/// A prepared statement. Values are bound in order, then rows are read. All functions throw
/// JournalError with SQLite's message.
class Query {
 public:
  Query(sqlite3* database, const char* sql);
  ~Query();
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;

  Query& bind(std::int64_t value);
  Query& bind(const std::string& value);
  /// Moves on to the next row; false when there is none.
  bool next_row();
  /// Runs the statement to its end.
  void execute();

  /// The columns of the present row, from 0. NULL reads as 0 and as "".
  std::int64_t integer(int column) const;
  std::string text(int column) const;

 private:
  [[noreturn]] void throw_error();

  sqlite3* database_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

/// Begins a write transaction, and rolls it back unless commit() was called.
class Transaction {
 public:
  explicit Transaction(sqlite3* database);
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;

  /// Durable when it returns.
  void commit();

 private:
  sqlite3* database_;
  bool committed_ = false;
};

}  // namespace robinhoist::journal
