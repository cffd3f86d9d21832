/// A stand-in for the database that migration steps run against: SQLite behind an HTTP server on
/// the loopback interface, with faults on request.
///
/// migration/target.h describes the requests. The marks of applied steps and the fencing token are
/// in tables of its own.
#pragma once
#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "http/server.h"
#include "record/record.h"
#include "time/time_types.h"

struct sqlite3;

namespace robinhoist::standin {

/// How the next runs of a step fail.
enum class DatabaseFault {
  none,
  hang,                     ///< no response
  refuse,                   ///< rejected before anything is done
  error_in_transaction,     ///< fails after the statement, which is rolled back if transactional
  disconnect_after_commit,  ///< applied, but the connection is aborted
  delayed_response,
  lock_timeout
};

class Database {
 public:
  /// An empty `file` means an in-memory database. `record` may be null. Throws std::runtime_error
  /// when the file cannot be opened.
  Database(net::Loop& loop, const http::ServerSettings& server, const std::string& file,
           record::Writer* record);
  ~Database();
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  int port() const { return server_->port(); }
  /// The next `count` runs of steps fail.
  void inject_fault(DatabaseFault fault, int count, Duration delay = {});
  /// The first value of the first row, 0 if there is none; nullopt when the statement fails.
  std::optional<double> query(const std::string& statement) const;
  /// False when a statement fails.
  bool execute(const std::string& statements);
  /// The runs that succeeded, in order: "MARK apply" or "MARK undo". A batch that is not the step's
  /// last is listed only if the entry before it is of another step.
  const std::vector<std::string>& history() const { return history_; }
  /// The total time that steps have run for. May be called from any thread.
  Duration busy() const { return Duration(busy_us_.load()); }

 private:
  void handle(const http::ExchangePtr& exchange);
  void run_step(const http::ExchangePtr& exchange);
  http::Response timed_run(const std::string& body);
  http::Response run_in_transaction(const std::string& body);
  void record_run(const std::string& mark, bool undo, const char* result, std::int64_t after);

  net::Loop& loop_;
  sqlite3* db_ = nullptr;
  record::Writer* record_;
  DatabaseFault fault_ = DatabaseFault::none;
  int remaining_faults_ = 0;
  Duration fault_delay_{};
  std::vector<std::string> history_{};
  std::atomic<std::int64_t> busy_us_{0};
  std::unique_ptr<http::Server> server_;
};

/// A read-only connection to the same file, for another thread. It does not wait for running steps.
class DatabaseReader {
 public:
  /// Throws std::runtime_error when the file cannot be opened.
  explicit DatabaseReader(const std::string& file);
  ~DatabaseReader();
  DatabaseReader(const DatabaseReader&) = delete;
  DatabaseReader& operator=(const DatabaseReader&) = delete;
  /// As Database::query().
  std::optional<double> query(const std::string& statement) const;

 private:
  sqlite3* db_ = nullptr;
};

/// The process of `robinhoist standin-db`: runs until SIGTERM or SIGINT; returns the exit status.
int run_database(const std::string& listen, const std::string& file, const std::string& setup);

}  // namespace robinhoist::standin
