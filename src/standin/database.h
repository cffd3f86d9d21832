// A stand-in for the database that steps run against: SQLite behind a small HTTP server on loopback
// (steps/target.h has the requests), which can be told to fail. It keeps marks and a fence in
// tables of its own.
#pragma once
#include <atomic>
#include <string>

#include "http/server.h"
#include "record/record.h"
#include "time/time_types.h"

struct sqlite3;

namespace robinhoist::standin {

// The next so many runs of steps go wrong in this way.
enum class DatabaseFault {
  none,
  hang,
  refuse,
  error_in_transaction,
  disconnect_after_commit,
  late,
  locked
};

class Database {
 public:
  // An empty `file` is memory. `record` may be null.
  Database(net::Loop& loop, const http::ServerSettings& server, const std::string& file,
           record::Writer* record);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  int port() const { return server_->port(); }
  void inject_fault(DatabaseFault fault, int times, Duration by = {});
  // The first value of a query; nothing when it can't be asked.
  std::optional<double> query(const std::string& statement) const;
  bool execute(const std::string& statements);
  // What ran, in order: "mark apply" or "mark undo", batches of a step told once.
  const std::vector<std::string>& ran() const { return ran_; }
  // For how long steps have run in all; from any thread.
  Duration busy() const { return Duration(busy_us_.load()); }

 private:
  void handle(const http::ExchangePtr& exchange);
  void run(const http::ExchangePtr& exchange);
  http::Response run_now(const std::string& body);
  http::Response run_whole(const std::string& body);
  void note(const std::string& mark, bool undo, const char* how, std::int64_t after);

  net::Loop& loop_;
  sqlite3* db_ = nullptr;
  record::Writer* record_;
  DatabaseFault fault_ = DatabaseFault::none;
  int fault_times_ = 0;
  Duration fault_by_{};
  std::vector<std::string> ran_{};
  std::atomic<std::int64_t> busy_us_{0};
  std::unique_ptr<http::Server> server_;
};

// Reads the same file from another thread, without waiting for what runs there.
class Reader {
 public:
  explicit Reader(const std::string& file);
  ~Reader();
  Reader(const Reader&) = delete;
  Reader& operator=(const Reader&) = delete;
  std::optional<double> query(const std::string& statement) const;

 private:
  sqlite3* db_ = nullptr;
};

// `robinhoist standin-db`.
int run_database(const std::string& listen, const std::string& file, const std::string& setup);

}  // namespace robinhoist::standin
