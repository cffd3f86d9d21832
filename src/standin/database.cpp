#include "standin/database.h"

#include <sqlite3.h>

#include <csignal>
#include <iostream>

#include "json/reader.h"
#include "json/writer.h"
#include "log/logger.h"
#include "net/signals.h"

namespace robinhoist::standin {
namespace {

using namespace std::chrono_literals;

struct StatementError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void execute_sql(sqlite3* db, const std::string& sql) {
  char* error = nullptr;
  if (sqlite3_exec(db, sql.c_str(), nullptr, nullptr, &error) == SQLITE_OK)
    return;
  const std::string message = error ? error : "failed";
  sqlite3_free(error);
  throw StatementError(message);
}

// Executes statements with named parameters. Returns the first value that is not null, if any.
std::optional<double> execute_with_values(
    sqlite3* db, const std::string& sql,
    std::initializer_list<std::pair<const char*, std::int64_t>> values,
    const std::string& mark = "") {
  const char* rest = sql.c_str();
  std::optional<double> first;
  while (*rest) {
    sqlite3_stmt* statement = nullptr;
    if (sqlite3_prepare_v2(db, rest, -1, &statement, &rest) != SQLITE_OK)
      throw StatementError(sqlite3_errmsg(db));
    if (!statement)
      break;
    for (auto& [name, value] : values)
      if (int at = sqlite3_bind_parameter_index(statement, name))
        sqlite3_bind_int64(statement, at, value);
    if (int at = sqlite3_bind_parameter_index(statement, ":mark"))
      sqlite3_bind_text(statement, at, mark.c_str(), -1, SQLITE_TRANSIENT);
    int code;
    while ((code = sqlite3_step(statement)) == SQLITE_ROW)
      if (!first && sqlite3_column_type(statement, 0) != SQLITE_NULL)
        first = sqlite3_column_double(statement, 0);
    sqlite3_finalize(statement);
    if (code != SQLITE_DONE)
      throw StatementError(sqlite3_errmsg(db));
  }
  return first;
}

// The value of a query, 0 if there is none; nullopt when it fails.
std::optional<double> try_query(sqlite3* db, const std::string& statement) {
  try {
    return execute_with_values(db, statement, {}).value_or(0);
  } catch (const StatementError&) {
    return {};
  }
}

}  // namespace

Database::Database(net::Loop& loop, const http::ServerSettings& server, const std::string& file,
                   record::Writer* record)
    : loop_(loop), record_(record) {
  if (sqlite3_open(file.empty() ? ":memory:" : file.c_str(), &db_) != SQLITE_OK)
    throw std::runtime_error("cannot open " + file);
  sqlite3_busy_timeout(db_, 1000);
  execute_sql(db_, "PRAGMA journal_mode=WAL");
  // The data has to survive the kill of a process, but not a power loss.
  execute_sql(db_, "PRAGMA synchronous=OFF");
  execute_sql(
      db_,
      "CREATE TABLE IF NOT EXISTS rh_marks (mark TEXT PRIMARY KEY, digest TEXT, after INTEGER, "
      "whole "
      "INTEGER);"
      "CREATE TABLE IF NOT EXISTS rh_fence (id INTEGER PRIMARY KEY CHECK (id = 1), token INTEGER);"
      "INSERT OR IGNORE INTO rh_fence VALUES (1, 0)");
  server_ = std::make_unique<http::Server>(loop, server,
                                           [this](const http::ExchangePtr& e) { handle(e); });
}

Database::~Database() {
  server_.reset();
  sqlite3_close(db_);
}

void Database::inject_fault(DatabaseFault fault, int count, Duration delay) {
  fault_ = fault;
  remaining_faults_ = count;
  fault_delay_ = delay;
}

std::optional<double> Database::query(const std::string& statement) const {
  return try_query(db_, statement);
}

DatabaseReader::DatabaseReader(const std::string& file) {
  if (sqlite3_open_v2(file.c_str(), &db_, SQLITE_OPEN_READONLY, nullptr) != SQLITE_OK)
    throw std::runtime_error("cannot open " + file);
}

DatabaseReader::~DatabaseReader() {
  sqlite3_close(db_);
}

std::optional<double> DatabaseReader::query(const std::string& statement) const {
  return try_query(db_, statement);
}

bool Database::execute(const std::string& statements) {
  try {
    execute_sql(db_, statements);
    return true;
  } catch (const StatementError&) {
    return false;
  }
}

void Database::record_run(const std::string& mark, bool undo, const char* result,
                          std::int64_t after) {
  const std::string run = mark + (undo ? " undo" : " apply");
  if (history_.empty() || history_.back() != run || std::string(result) != "more")
    history_.push_back(run);
  if (record_)
    record_->write_line(json::Writer()
                            .begin_object()
                            .put("t", static_cast<long>(loop_.now().time_since_epoch().count()))
                            .put("mark", mark)
                            .put("undo", undo)
                            .put("how", result)
                            .put("after", static_cast<long>(after))
                            .end_object()
                            .text());
}

http::Response Database::timed_run(const std::string& body) {
  const TimePoint from = loop_.now();
  http::Response response = run_in_transaction(body);
  busy_us_ += (loop_.now() - from).count();
  return response;
}

// Checks the fencing token, runs the statement or one batch of it, and writes the mark, all in one
// transaction unless the step is not transactional. Responds with 200, 409, 422 or 500.
http::Response Database::run_in_transaction(const std::string& body) {
  auto document = json::parse_object(body);
  const auto token = static_cast<std::int64_t>(json::number(document, "token"));
  const std::string mark = json::text(document, "mark"),
                    statement = json::text(document, "statement");
  const bool undo = json::boolean(document, "undo"),
             transactional = json::boolean(document, "transactional");
  const bool is_data_step = json::has_value(document, "table");
  std::int64_t after = static_cast<std::int64_t>(json::number_or(document, "after", 0));
  bool complete = true;
  std::int64_t last = 0;
  try {
    execute_sql(db_, "BEGIN IMMEDIATE");
    if (execute_with_values(db_, "SELECT token FROM rh_fence", {}).value_or(0) >
        static_cast<double>(token)) {
      execute_sql(db_, "ROLLBACK");
      return http::json_response(409, "{\"result\":\"fenced\"}");
    }
    execute_with_values(db_, "UPDATE rh_fence SET token = :token", {{":token", token}});
    if (!transactional)
      execute_sql(db_, "COMMIT");
    if (is_data_step) {
      const std::string table = json::text(document, "table"), key = json::text(document, "key");
      const int batch = json::integer(document, "batch", 1);
      const auto integer_of = [&](const std::string& query) {
        auto value = execute_with_values(db_, query, {{":after", after}, {":batch", batch}});
        return value ? std::optional(static_cast<std::int64_t>(*value)) : std::nullopt;
      };
      const std::string from = " FROM " + table + " WHERE ",
                        keys = "(SELECT " + key + " AS k" + from;
      last = integer_of("SELECT max(" + key + ") FROM " + table).value_or(0);
      if (undo) {
        // Batches are undone in descending order of keys: each ends where the next one begins.
        const std::string below = key + " > 0 AND " + key + " <= :after";
        auto lowest = integer_of("SELECT min(k) FROM " + keys + below + " ORDER BY " + key +
                                 " DESC LIMIT :batch)");
        if (lowest)
          execute_with_values(db_, statement, {{":after", *lowest - 1}, {":upto", after}});
        after = lowest ? *lowest - 1 : 0;
        complete = !integer_of("SELECT 1" + from + below + " LIMIT 1");
        if (complete)
          after = 0;
      } else if (auto upto = integer_of("SELECT max(k) FROM " + keys + key + " > :after ORDER BY " +
                                        key + " LIMIT :batch)")) {
        execute_with_values(db_, statement, {{":after", after}, {":upto", *upto}});
        after = *upto;
        complete = !integer_of("SELECT 1" + from + key + " > :after LIMIT 1");
      }
    } else {
      execute_sql(db_, statement);
    }
    if (fault_ == DatabaseFault::error_in_transaction && remaining_faults_ > 0) {
      --remaining_faults_;
      throw StatementError("told to fail");
    }
    if (transactional) {
      if (undo && complete)
        execute_with_values(db_, "DELETE FROM rh_marks WHERE mark = :mark", {}, mark);
      else
        execute_with_values(
            db_,
            "INSERT INTO rh_marks VALUES (:mark, '', :after, :whole) ON CONFLICT (mark) DO "
            "UPDATE SET after "
            "= excluded.after, whole = excluded.whole",
            {{":after", after}, {":whole", complete && !undo}}, mark);
      execute_sql(db_, "COMMIT");
    }
  } catch (const StatementError& error) {
    if (sqlite3_get_autocommit(db_) == 0)
      execute_sql(db_, "ROLLBACK");
    // 422 means that nothing was changed. That is not known of a statement that failed outside a
    // transaction.
    return http::json_response(
        transactional ? 422 : 500,
        json::Writer().begin_object().put("why", error.what()).end_object().text());
  }
  record_run(mark, undo, complete ? "done" : "more", after);
  return http::json_response(200, json::Writer()
                                      .begin_object()
                                      .put("result", complete ? "done" : "more")
                                      .put("after", static_cast<long>(after))
                                      .put("last", static_cast<long>(last))
                                      .end_object()
                                      .text());
}

void Database::run_step(const http::ExchangePtr& exchange) {
  const DatabaseFault fault = remaining_faults_ > 0 ? fault_ : DatabaseFault::none;
  if (fault != DatabaseFault::none && fault != DatabaseFault::error_in_transaction)
    --remaining_faults_;
  switch (fault) {
    case DatabaseFault::hang:
      exchange->on_disconnect = [keep = exchange]() mutable { keep.reset(); };
      return;
    case DatabaseFault::refuse:
      return exchange->answer(http::json_response(422, "{\"why\":\"told to refuse\"}"));
    case DatabaseFault::lock_timeout:
      return exchange->answer(
          http::json_response(422, "{\"why\":\"the lock did not come in time\"}"));
    case DatabaseFault::disconnect_after_commit:
      timed_run(exchange->request.body);
      return exchange->abort_connection();
    case DatabaseFault::delayed_response: {
      auto response = timed_run(exchange->request.body);
      loop_.in(fault_delay_, [exchange, response] { exchange->answer(response); });
      return;
    }
    default:
      return exchange->answer(timed_run(exchange->request.body));
  }
}

void Database::handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  const std::string path(request.path());
  try {
    if (request.method == "GET" && path == "/health")
      return exchange->answer(http::text_response(200, "well\n"));
    if (path == "/v1/steps/run")
      return run_step(exchange);
    auto document = json::parse_object(request.body);
    if (path == "/v1/steps/mark") {
      const std::string mark = json::text(document, "mark");
      const auto complete =
          execute_with_values(db_, "SELECT whole FROM rh_marks WHERE mark = :mark", {}, mark);
      const auto after =
          execute_with_values(db_, "SELECT after FROM rh_marks WHERE mark = :mark", {}, mark);
      return exchange->answer(
          http::json_response(200, json::Writer()
                                       .begin_object()
                                       .put("applied", complete.value_or(0) != 0)
                                       .put("after", static_cast<long>(after.value_or(0)))
                                       .end_object()
                                       .text()));
    }
    if (path == "/v1/query") {
      const auto value = execute_with_values(db_, json::text(document, "statement"), {});
      return exchange->answer(http::json_response(
          200, json::Writer().begin_object().put("value", value.value_or(0)).end_object().text()));
    }
    if (path == "/faults") {
      const DatabaseFault kind = json::enumerator<DatabaseFault>(
          document, "is",
          {{"none", DatabaseFault::none},
           {"hang", DatabaseFault::hang},
           {"refuse", DatabaseFault::refuse},
           {"error-inside", DatabaseFault::error_in_transaction},
           {"drop-on-commit", DatabaseFault::disconnect_after_commit},
           {"late", DatabaseFault::delayed_response},
           {"locked", DatabaseFault::lock_timeout}});
      inject_fault(kind, json::integer(document, "times"),
                   json::duration_from_ms(json::number_or(document, "by_ms", 0)));
      return exchange->answer(http::json_response(200, "{}"));
    }
  } catch (const StatementError& error) {
    return exchange->answer(http::json_response(
        422, json::Writer().begin_object().put("why", error.what()).end_object().text()));
  } catch (const json::DecodeError& error) {
    return exchange->answer(http::json_response(
        422, json::Writer().begin_object().put("why", error.what()).end_object().text()));
  }
  exchange->answer(http::text_response(404, "no such thing here\n"));
}

int run_database(const std::string& listen, const std::string& file, const std::string& setup) {
  log::Logger log("standin-db");
  net::Loop loop(net::steady_now());
  net::Signals signals(loop, {SIGTERM, SIGINT}, [&](int) { loop.quit(); });
  std::signal(SIGPIPE, SIG_IGN);
  http::ServerSettings server;
  server.listen = listen;
  Database database(loop, server, file, nullptr);
  if (!setup.empty() && !database.execute(setup)) {
    std::cerr << "standin-db: the setup statements failed\n";
    return 2;
  }
  log.info("serves", {{"port", log::text(database.port())}});
  loop.run();
  return 0;
}

}  // namespace robinhoist::standin
