#include "journal/journal.h"

#include <sqlite3.h>

#include <chrono>

namespace robinhoist::journal {
namespace {

constexpr int deleted = 2;                            // of ObjectChange::change
constexpr int version = 3, application = 0x726f6269;  // "robi"

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// A prepared statement: values in order, then rows.
class Query {
 public:
  Query(sqlite3* db, const char* sql) : db_(db) {
    if (sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr) != SQLITE_OK)
      fail();
  }
  ~Query() { sqlite3_finalize(statement_); }
  Query(const Query&) = delete;
  Query& operator=(const Query&) = delete;
  Query& bind(std::int64_t value) {
    sqlite3_bind_int64(statement_, ++bound_, value);
    return *this;
  }
  Query& bind(const std::string& value) {
    sqlite3_bind_text(statement_, ++bound_, value.data(), static_cast<int>(value.size()),
                      SQLITE_TRANSIENT);
    return *this;
  }
  bool row() {
    const int code = sqlite3_step(statement_);
    if (code != SQLITE_ROW && code != SQLITE_DONE)
      fail();
    return code == SQLITE_ROW;
  }
  void done() {
    while (row()) {
    }
  }
  std::int64_t number(int column) { return sqlite3_column_int64(statement_, column); }
  std::string text(int column) {
    const unsigned char* at = sqlite3_column_text(statement_, column);
    return at ? std::string(reinterpret_cast<const char*>(at)) : "";
  }

 private:
  [[noreturn]] void fail() {
    const std::string why = sqlite3_errmsg(db_);
    sqlite3_finalize(statement_);
    statement_ = nullptr;
    throw Failed("the journal: " + why);
  }
  sqlite3* db_;
  sqlite3_stmt* statement_ = nullptr;
  int bound_ = 0;
};

// All or nothing.
class Transaction {
 public:
  explicit Transaction(sqlite3* db) : db_(db) { Query(db, "BEGIN IMMEDIATE").done(); }
  ~Transaction() {
    if (!over_)
      sqlite3_exec(db_, "ROLLBACK", nullptr, nullptr, nullptr);
  }
  void commit() {
    Query(db_, "COMMIT").done();
    over_ = true;
  }

 private:
  sqlite3* db_;
  bool over_ = false;
};

}  // namespace

Journal::Journal(const std::string& file) : file_(file) {
  if (sqlite3_open_v2(file.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr) !=
      SQLITE_OK) {
    const std::string why = db_ ? sqlite3_errmsg(db_) : "out of memory";
    sqlite3_close(db_);
    throw Failed(file + ": can't be opened: " + why);
  }
  try {
    sqlite3_busy_timeout(db_, 2000);
    // Each statement ends before the next: one that is still open keeps the mode from being
    // changed.
    const auto number = [&](const char* sql) {
      Query query(db_, sql);
      query.row();
      return query.number(0);
    };
    const std::int64_t kind = number("PRAGMA application_id");
    const int found = static_cast<int>(number("PRAGMA user_version"));
    const bool fresh = number("SELECT count(*) FROM sqlite_master") == 0;
    if (!fresh && kind != application)
      throw Failed("is a database of something else");
    if (found > version)
      throw Failed("is of version " + std::to_string(found) + ", newer than this program's " +
                   std::to_string(version));
    if (!fresh) {
      Query check(db_, "PRAGMA quick_check(1)");
      check.row();
      if (check.text(0) != "ok")
        throw Failed("is damaged: " + check.text(0));
    }
    run("PRAGMA journal_mode=WAL");
    run("PRAGMA synchronous=FULL");
    migrate(fresh ? 0 : found);
  } catch (const Failed& bad) {
    sqlite3_close(db_);
    db_ = nullptr;
    throw Failed(file + ": " + bad.what());
  }
}

Journal::~Journal() {
  sqlite3_close(db_);
}

void Journal::run(const std::string& sql) const {
  Query(db_, sql.c_str()).done();
}

void Journal::migrate(int from) {
  if (from == version)
    return;
  Transaction all(db_);
  if (from < 1) {
    run("PRAGMA application_id=" + std::to_string(application));
    run("CREATE TABLE entries (id INTEGER PRIMARY KEY, at_ms INTEGER NOT NULL, build INTEGER NOT "
        "NULL, step "
        "TEXT NOT "
        "NULL, what TEXT NOT NULL, direction TEXT NOT NULL, outcome TEXT NOT NULL, after INTEGER "
        "NOT NULL, "
        "token "
        "INTEGER NOT NULL, attempt INTEGER NOT NULL, digest TEXT NOT NULL)");
    run("CREATE TABLE plans (build INTEGER PRIMARY KEY, text TEXT NOT NULL, at_ms INTEGER NOT "
        "NULL)");
    run("CREATE TABLE lease (id INTEGER PRIMARY KEY CHECK (id = 1), holder TEXT NOT NULL, token "
        "INTEGER NOT "
        "NULL, "
        "until_ms INTEGER NOT NULL)");
    run("CREATE TABLE state (key TEXT PRIMARY KEY, value TEXT NOT NULL)");
  }
  if (from < 2) {
    run("ALTER TABLE entries ADD COLUMN who TEXT NOT NULL DEFAULT ''");
    run("ALTER TABLE entries ADD COLUMN why TEXT NOT NULL DEFAULT ''");
    run("ALTER TABLE plans ADD COLUMN who TEXT NOT NULL DEFAULT ''");
    run("CREATE INDEX entries_by_build ON entries (build, id)");
  }
  if (from < 3) {
    run("CREATE TABLE objects (name TEXT PRIMARY KEY, body TEXT NOT NULL)");
    run("CREATE TABLE changes (version INTEGER PRIMARY KEY, change INTEGER NOT NULL, name TEXT NOT "
        "NULL, body "
        "TEXT NOT NULL, before TEXT NOT NULL)");
    run("CREATE TABLE requests (key TEXT PRIMARY KEY, digest TEXT NOT NULL, name TEXT NOT NULL, "
        "at_ms INTEGER "
        "NOT NULL)");
    run("CREATE INDEX requests_by_age ON requests (at_ms)");
  }
  run("PRAGMA user_version=" + std::to_string(version));
  all.commit();
}

void Journal::write(const Entry& entry) {
  Query(db_,
        "INSERT INTO entries (at_ms, build, step, what, direction, outcome, after, token, attempt, "
        "digest, "
        "who, "
        "why) VALUES (?,?,?,?,?,?,?,?,?,?,?,?)")
      .bind(now_ms())
      .bind(entry.build)
      .bind(entry.step)
      .bind(entry.what)
      .bind(entry.direction)
      .bind(entry.outcome)
      .bind(entry.after)
      .bind(entry.token)
      .bind(entry.attempt)
      .bind(entry.digest)
      .bind(entry.who)
      .bind(entry.why)
      .done();
}

namespace {
constexpr const char* columns =
    "SELECT id, at_ms, build, step, what, direction, outcome, after, token, attempt, digest, who, "
    "why FROM "
    "entries ";

std::vector<Entry> read(Query& query) {
  std::vector<Entry> entries;
  while (query.row()) {
    Entry one;
    one.id = query.number(0);
    one.at_ms = query.number(1);
    one.build = static_cast<int>(query.number(2));
    one.step = query.text(3);
    one.what = query.text(4);
    one.direction = query.text(5);
    one.outcome = query.text(6);
    one.after = query.number(7);
    one.token = query.number(8);
    one.attempt = static_cast<int>(query.number(9));
    one.digest = query.text(10);
    one.who = query.text(11);
    one.why = query.text(12);
    entries.push_back(std::move(one));
  }
  return entries;
}
}  // namespace

std::vector<Entry> Journal::entries(int build) const {
  Query query(db_, (std::string(columns) + "WHERE build = ? ORDER BY id").c_str());
  query.bind(build);
  return read(query);
}

std::vector<Entry> Journal::latest(std::size_t count) const {
  Query query(db_, (std::string(columns) + "ORDER BY id DESC LIMIT ?").c_str());
  query.bind(static_cast<std::int64_t>(count));
  return read(query);
}

// A step that is known to have changed nothing, or was undone, may still be written anew.
std::map<std::string, std::string> Journal::applied() const {
  std::map<std::string, std::string> digests;
  Query query(db_,
              "SELECT build, step, digest, what, direction, outcome, after FROM entries WHERE what "
              "IN ('intent', "
              "'ended') ORDER BY id");
  while (query.row()) {
    const std::string step = query.text(0) + "/" + query.text(1);
    const bool apply = query.text(4) == "apply";
    if (query.text(3) == "intent") {
      if (apply)
        digests[step] = query.text(2);
    } else if (apply ? query.text(5) == "not-run" && query.number(6) == 0
                     : query.text(5) == "done") {
      digests.erase(step);
    }
  }
  return digests;
}

void Journal::keep_plan(int build, const std::string& text, const std::string& who) {
  Query(db_,
        "INSERT INTO plans (build, text, at_ms, who) VALUES (?,?,?,?) ON CONFLICT (build) DO "
        "UPDATE SET text = "
        "excluded.text, at_ms = excluded.at_ms, who = excluded.who")
      .bind(build)
      .bind(text)
      .bind(now_ms())
      .bind(who)
      .done();
}

std::map<int, std::string> Journal::plans() const {
  std::map<int, std::string> plans;
  Query query(db_, "SELECT build, text FROM plans");
  while (query.row())
    plans[static_cast<int>(query.number(0))] = query.text(1);
  return plans;
}

std::optional<std::int64_t> Journal::take_lease(const std::string& who, std::int64_t now,
                                                std::int64_t span) {
  Transaction all(db_);
  std::int64_t token = 0;
  {
    Query query(db_, "SELECT holder, token, until_ms FROM lease");
    if (query.row()) {
      const bool runs = query.number(2) > now && query.number(2) <= now + 2 * span;
      if (runs && query.text(0) != who)
        return {};
      token = query.number(1);
    }
  }
  ++token;
  Query(db_,
        "INSERT INTO lease (id, holder, token, until_ms) VALUES (1,?,?,?) ON CONFLICT (id) DO "
        "UPDATE SET "
        "holder = "
        "excluded.holder, token = excluded.token, until_ms = excluded.until_ms")
      .bind(who)
      .bind(token)
      .bind(now + span)
      .done();
  all.commit();
  return token;
}

bool Journal::renew_lease(const std::string& who, std::int64_t token, std::int64_t now,
                          std::int64_t span) {
  Query(db_, "UPDATE lease SET until_ms = ? WHERE holder = ? AND token = ?")
      .bind(now + span)
      .bind(who)
      .bind(token)
      .done();
  return sqlite3_changes(db_) == 1;
}

void Journal::commit(const Commit& commit, std::size_t keep, std::int64_t keys_for_ms) {
  Transaction all(db_);
  for (const ObjectChange& one : commit.changes) {
    Query(db_, "INSERT INTO changes (version, change, name, body, before) VALUES (?,?,?,?,?)")
        .bind(one.version)
        .bind(one.change)
        .bind(one.name)
        .bind(one.body)
        .bind(one.before)
        .done();
    if (one.change == deleted)
      Query(db_, "DELETE FROM objects WHERE name = ?").bind(one.name).done();
    else
      Query(db_,
            "INSERT INTO objects (name, body) VALUES (?,?) ON CONFLICT (name) DO UPDATE SET body = "
            "excluded.body")
          .bind(one.name)
          .bind(one.body)
          .done();
  }
  if (!commit.changes.empty())
    Query(db_, "DELETE FROM changes WHERE version <= ?")
        .bind(commit.changes.back().version - static_cast<std::int64_t>(keep))
        .done();
  if (commit.key) {
    Query(db_, "DELETE FROM requests WHERE at_ms < ?").bind(now_ms() - keys_for_ms).done();
    Query(db_, "INSERT INTO requests (key, digest, name, at_ms) VALUES (?,?,?,?)")
        .bind(commit.key->key)
        .bind(commit.key->digest)
        .bind(commit.key->name)
        .bind(now_ms())
        .done();
  }
  if (commit.state)
    put(commit.state->first, commit.state->second);
  all.commit();
}

std::map<std::string, std::string> Journal::objects() const {
  std::map<std::string, std::string> objects;
  Query query(db_, "SELECT name, body FROM objects");
  while (query.row())
    objects[query.text(0)] = query.text(1);
  return objects;
}

std::vector<ObjectChange> Journal::changes() const {
  std::vector<ObjectChange> changes;
  Query query(db_, "SELECT version, change, name, body, before FROM changes ORDER BY version");
  while (query.row())
    changes.push_back({query.number(0), static_cast<int>(query.number(1)), query.text(2),
                       query.text(3), query.text(4)});
  return changes;
}

std::int64_t Journal::object_version() const {
  Query query(db_, "SELECT max(version) FROM changes");
  query.row();
  return query.number(0);
}

std::optional<RequestKey> Journal::request(const std::string& key) const {
  Query query(db_, "SELECT digest, name FROM requests WHERE key = ?");
  query.bind(key);
  if (!query.row())
    return {};
  return RequestKey{key, query.text(0), query.text(1)};
}

void Journal::put(const std::string& key, const std::string& value) {
  Query(db_,
        "INSERT INTO state (key, value) VALUES (?,?) ON CONFLICT (key) DO UPDATE SET value = "
        "excluded.value")
      .bind(key)
      .bind(value)
      .done();
}

std::optional<std::string> Journal::get(const std::string& key) const {
  Query query(db_, "SELECT value FROM state WHERE key = ?");
  query.bind(key);
  if (!query.row())
    return {};
  return query.text(0);
}

void Journal::batch(bool begin) {
  run(begin ? "BEGIN" : "COMMIT");
}

void Journal::limit_pages(int more) {
  Query count(db_, "PRAGMA page_count");
  count.row();
  run("PRAGMA max_page_count=" + std::to_string(count.number(0) + more));
}

}  // namespace robinhoist::journal
