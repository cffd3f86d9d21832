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

struct Refused : std::runtime_error {
  using std::runtime_error::runtime_error;
};

void run_sql(sqlite3* db, const std::string& sql) {
  char* error = nullptr;
  if (sqlite3_exec(db, sql.c_str(), nullptr, nullptr, &error) == SQLITE_OK)
    return;
  const std::string why = error ? error : "failed";
  sqlite3_free(error);
  throw Refused(why);
}

// One statement with named values; its first value, if any.
std::optional<double> run_bound(sqlite3* db, const std::string& sql,
                                std::initializer_list<std::pair<const char*, std::int64_t>> values,
                                const std::string& mark = "") {
  const char* rest = sql.c_str();
  std::optional<double> first;
  while (*rest) {
    sqlite3_stmt* statement = nullptr;
    if (sqlite3_prepare_v2(db, rest, -1, &statement, &rest) != SQLITE_OK)
      throw Refused(sqlite3_errmsg(db));
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
      throw Refused(sqlite3_errmsg(db));
  }
  return first;
}

std::optional<double> try_query(sqlite3* db, const std::string& statement) {
  try {
    return run_bound(db, statement, {}).value_or(0);
  } catch (const Refused&) {
    return {};
  }
}

}  // namespace

Database::Database(net::Loop& loop, const http::ServerSettings& server, const std::string& file,
                   record::Writer* record)
    : loop_(loop), record_(record) {
  if (sqlite3_open(file.empty() ? ":memory:" : file.c_str(), &db_) != SQLITE_OK)
    throw std::runtime_error("can't open " + file);
  sqlite3_busy_timeout(db_, 1000);
  run_sql(db_, "PRAGMA journal_mode=WAL");
  // It must outlive kills of processes, not of the machine.
  run_sql(db_, "PRAGMA synchronous=OFF");
  run_sql(
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

void Database::inject_fault(DatabaseFault fault, int times, Duration by) {
  fault_ = fault;
  fault_times_ = times;
  fault_by_ = by;
}

std::optional<double> Database::query(const std::string& statement) const {
  return try_query(db_, statement);
}

Reader::Reader(const std::string& file) {
  if (sqlite3_open_v2(file.c_str(), &db_, SQLITE_OPEN_READONLY, nullptr) != SQLITE_OK)
    throw std::runtime_error("can't open " + file);
}

Reader::~Reader() {
  sqlite3_close(db_);
}

std::optional<double> Reader::query(const std::string& statement) const {
  return try_query(db_, statement);
}

bool Database::execute(const std::string& statements) {
  try {
    run_sql(db_, statements);
    return true;
  } catch (const Refused&) {
    return false;
  }
}

void Database::note(const std::string& mark, bool undo, const char* how, std::int64_t after) {
  const std::string what = mark + (undo ? " undo" : " apply");
  if (ran_.empty() || ran_.back() != what || std::string(how) != "more")
    ran_.push_back(what);
  if (record_)
    record_->line(json::Writer()
                      .begin_object()
                      .put("t", static_cast<long>(loop_.now().time_since_epoch().count()))
                      .put("mark", mark)
                      .put("undo", undo)
                      .put("how", how)
                      .put("after", static_cast<long>(after))
                      .end_object()
                      .text());
}

http::Response Database::run_now(const std::string& body) {
  const TimePoint from = loop_.now();
  http::Response response = run_whole(body);
  busy_us_ += (loop_.now() - from).count();
  return response;
}

// Everything in one transaction: fence, mark, statement. Answers 200, 409 or 422.
http::Response Database::run_whole(const std::string& body) {
  auto document = json::parse_object(body);
  const auto token = static_cast<std::int64_t>(json::number(document, "token"));
  const std::string mark = json::text(document, "mark"),
                    statement = json::text(document, "statement");
  const bool undo = json::boolean(document, "undo"),
             transactional = json::boolean(document, "transactional");
  const bool data = json::has_value(document, "table");
  std::int64_t after = static_cast<std::int64_t>(json::number_or(document, "after", 0));
  bool whole = true;
  std::int64_t last = 0;
  try {
    run_sql(db_, "BEGIN IMMEDIATE");
    if (run_bound(db_, "SELECT token FROM rh_fence", {}).value_or(0) > static_cast<double>(token)) {
      run_sql(db_, "ROLLBACK");
      return http::json_response(409, "{\"result\":\"fenced\"}");
    }
    run_bound(db_, "UPDATE rh_fence SET token = :token", {{":token", token}});
    if (!transactional)
      run_sql(db_, "COMMIT");
    if (data) {
      const std::string table = json::text(document, "table"), key = json::text(document, "key");
      const int batch = json::integer(document, "batch", 1);
      const auto value = [&](const std::string& query) {
        auto first = run_bound(db_, query, {{":after", after}, {":batch", batch}});
        return first ? std::optional(static_cast<std::int64_t>(*first)) : std::nullopt;
      };
      const std::string from = " FROM " + table + " WHERE ",
                        keys = "(SELECT " + key + " AS k" + from;
      last = value("SELECT max(" + key + ") FROM " + table).value_or(0);
      if (undo) {
        // From the top down: a batch ends where the next begins.
        const std::string below = key + " > 0 AND " + key + " <= :after";
        auto lowest = value("SELECT min(k) FROM " + keys + below + " ORDER BY " + key +
                            " DESC LIMIT :batch)");
        if (lowest)
          run_bound(db_, statement, {{":after", *lowest - 1}, {":upto", after}});
        after = lowest ? *lowest - 1 : 0;
        whole = !value("SELECT 1" + from + below + " LIMIT 1");
        if (whole)
          after = 0;
      } else if (auto upto = value("SELECT max(k) FROM " + keys + key + " > :after ORDER BY " +
                                   key + " LIMIT :batch)")) {
        run_bound(db_, statement, {{":after", after}, {":upto", *upto}});
        after = *upto;
        whole = !value("SELECT 1" + from + key + " > :after LIMIT 1");
      }
    } else {
      run_sql(db_, statement);
    }
    if (fault_ == DatabaseFault::error_in_transaction && fault_times_ > 0) {
      --fault_times_;
      throw Refused("told to fail");
    }
    if (transactional) {
      if (undo && whole)
        run_bound(db_, "DELETE FROM rh_marks WHERE mark = :mark", {}, mark);
      else
        run_bound(db_,
                  "INSERT INTO rh_marks VALUES (:mark, '', :after, :whole) ON CONFLICT (mark) DO "
                  "UPDATE SET after "
                  "= excluded.after, whole = excluded.whole",
                  {{":after", after}, {":whole", whole && !undo}}, mark);
      run_sql(db_, "COMMIT");
    }
  } catch (const Refused& bad) {
    if (sqlite3_get_autocommit(db_) == 0)
      run_sql(db_, "ROLLBACK");
    // Outside a transaction nothing can be said of what was done before it failed.
    return http::json_response(
        transactional ? 422 : 500,
        json::Writer().begin_object().put("why", bad.what()).end_object().text());
  }
  note(mark, undo, whole ? "done" : "more", after);
  return http::json_response(200, json::Writer()
                                      .begin_object()
                                      .put("result", whole ? "done" : "more")
                                      .put("after", static_cast<long>(after))
                                      .put("last", static_cast<long>(last))
                                      .end_object()
                                      .text());
}

void Database::run(const http::ExchangePtr& exchange) {
  const DatabaseFault fault = fault_times_ > 0 ? fault_ : DatabaseFault::none;
  if (fault != DatabaseFault::none && fault != DatabaseFault::error_in_transaction)
    --fault_times_;
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
      run_now(exchange->request.body);
      return exchange->abort_connection();
    case DatabaseFault::delayed_response: {
      auto response = run_now(exchange->request.body);
      loop_.in(fault_by_, [exchange, response] { exchange->answer(response); });
      return;
    }
    default:
      return exchange->answer(run_now(exchange->request.body));
  }
}

void Database::handle(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request;
  const std::string path(request.path());
  try {
    if (request.method == "GET" && path == "/health")
      return exchange->answer(http::text_response(200, "well\n"));
    if (path == "/v1/steps/run")
      return run(exchange);
    auto document = json::parse_object(request.body);
    if (path == "/v1/steps/mark") {
      const std::string mark = json::text(document, "mark");
      const auto whole = run_bound(db_, "SELECT whole FROM rh_marks WHERE mark = :mark", {}, mark);
      const auto after = run_bound(db_, "SELECT after FROM rh_marks WHERE mark = :mark", {}, mark);
      return exchange->answer(
          http::json_response(200, json::Writer()
                                       .begin_object()
                                       .put("applied", whole.value_or(0) != 0)
                                       .put("after", static_cast<long>(after.value_or(0)))
                                       .end_object()
                                       .text()));
    }
    if (path == "/v1/query") {
      const auto value = run_bound(db_, json::text(document, "statement"), {});
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
  } catch (const Refused& bad) {
    return exchange->answer(http::json_response(
        422, json::Writer().begin_object().put("why", bad.what()).end_object().text()));
  } catch (const json::DecodeError& bad) {
    return exchange->answer(http::json_response(
        422, json::Writer().begin_object().put("why", bad.what()).end_object().text()));
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
    std::cerr << "standin-db: the set-up statements fail\n";
    return 2;
  }
  log.info("serves", {{"port", log::text(database.port())}});
  loop.run();
  return 0;
}

}  // namespace robinhoist::standin
