#include "journal/journal.h"

#include <sqlite3.h>

#include <algorithm>
#include <chrono>

#include "journal/schema.h"
#include "journal/sqlite.h"

namespace robinhoist::journal {
namespace {

constexpr int busy_timeout_ms = 2000;
/// ObjectChange::change of an object that was deleted.
constexpr int change_deleted = 2;

constexpr const char* select_entries =
    "SELECT id, at_ms, build, step, what, direction, outcome, after, token, attempt, digest, who, "
    "why FROM entries ";

std::int64_t now_ms() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::vector<Entry> read_entries(Query& query) {
  std::vector<Entry> entries;
  while (query.next_row()) {
    Entry entry;
    entry.id = query.integer(0);
    entry.at_ms = query.integer(1);
    entry.build = static_cast<int>(query.integer(2));
    entry.step = query.text(3);
    entry.what = query.text(4);
    entry.direction = query.text(5);
    entry.outcome = query.text(6);
    entry.after = query.integer(7);
    entry.token = query.integer(8);
    entry.attempt = static_cast<int>(query.integer(9));
    entry.digest = query.text(10);
    entry.who = query.text(11);
    entry.why = query.text(12);
    entries.push_back(std::move(entry));
  }
  return entries;
}

/// What the entries of a step show about whether it is applied.
struct AppliedStep {
  std::string digest{};         ///< Digest of the last attempt to apply it; empty: no attempt.
  int unresolved_attempts = 0;  ///< Number of attempts that may have run.
};

/// Updates `step` by one entry. Returns whether the entry shows that no part of the step is
/// applied.
bool update_applied_step(AppliedStep& step, const Entry& entry) {
  const bool is_apply = entry.direction == "apply";
  if (entry.what == entry_kind::intent) {
    if (is_apply) {
      step.digest = entry.digest;
      ++step.unresolved_attempts;
    }
    return false;
  }
  if (entry.what == entry_kind::probe_result) {
    if (entry.outcome != "unknown")
      step.unresolved_attempts = 0;
    return false;
  }
  if (entry.what != entry_kind::run_result)
    return false;
  if (!is_apply)
    return entry.outcome == "done";
  if (entry.outcome == "done" || entry.outcome == "more")
    step.unresolved_attempts = 0;
  if (entry.outcome != "not-run")
    return false;
  // The result only covers the last attempt; an earlier one may still have run.
  step.unresolved_attempts = std::max(0, step.unresolved_attempts - 1);
  return step.unresolved_attempts == 0 && entry.after == 0;
}

}  // namespace

JournalError unreadable_entry(const Entry& entry, const char* field, const std::string& word) {
  return JournalError("entries, row " + std::to_string(entry.id) + ": " + field + " '" + word +
                      "' is not known to this version");
}

Journal::Journal(const std::string& file) : file_(file) {
  const int flags = SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE;
  if (sqlite3_open_v2(file.c_str(), &database_, flags, nullptr) != SQLITE_OK) {
    const std::string reason = database_ ? sqlite3_errmsg(database_) : "out of memory";
    sqlite3_close(database_);
    throw JournalError(file + ": cannot be opened: " + reason);
  }
  try {
    sqlite3_busy_timeout(database_, busy_timeout_ms);
    open_schema(database_);
  } catch (const JournalError& error) {
    sqlite3_close(database_);
    database_ = nullptr;
    throw JournalError(file + ": " + error.what());
  }
}

Journal::~Journal() {
  sqlite3_close(database_);
}

void Journal::execute(const std::string& sql) const {
  Query(database_, sql.c_str()).execute();
}

void Journal::append(const Entry& entry) {
  Query(database_,
        "INSERT INTO entries (at_ms, build, step, what, direction, outcome, after, token, attempt, "
        "digest, who, why) VALUES (?,?,?,?,?,?,?,?,?,?,?,?)")
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
      .execute();
}

std::vector<Entry> Journal::entries(int build) const {
  Query query(database_, (std::string(select_entries) + "WHERE build = ? ORDER BY id").c_str());
  query.bind(build);
  return read_entries(query);
}

std::vector<Entry> Journal::latest(std::size_t count) const {
  Query query(database_, (std::string(select_entries) + "ORDER BY id DESC LIMIT ?").c_str());
  query.bind(static_cast<std::int64_t>(count));
  return read_entries(query);
}

std::map<std::string, std::string> Journal::applied_digests() const {
  std::map<std::string, AppliedStep> steps;
  Query query(database_, (std::string(select_entries) + "ORDER BY id").c_str());
  for (const Entry& entry : read_entries(query)) {
    const std::string key = std::to_string(entry.build) + "/" + entry.step;
    if (update_applied_step(steps[key], entry))
      steps.erase(key);
  }
  std::map<std::string, std::string> digests;
  for (const auto& [key, step] : steps)
    if (!step.digest.empty())
      digests[key] = step.digest;
  return digests;
}

void Journal::save_plan(int build, const std::string& text, const std::string& who) {
  Query(database_,
        "INSERT INTO plans (build, text, at_ms, who) VALUES (?,?,?,?) ON CONFLICT (build) DO "
        "UPDATE SET text = excluded.text, at_ms = excluded.at_ms, who = excluded.who")
      .bind(build)
      .bind(text)
      .bind(now_ms())
      .bind(who)
      .execute();
}

std::map<int, std::string> Journal::plans() const {
  std::map<int, std::string> plans;
  Query query(database_, "SELECT build, text FROM plans");
  while (query.next_row())
    plans[static_cast<int>(query.integer(0))] = query.text(1);
  return plans;
}

std::optional<std::int64_t> Journal::acquire_lease(const std::string& holder, std::int64_t now_ms,
                                                   std::int64_t length_ms) {
  Transaction transaction(database_);
  std::int64_t token = 0;
  {
    Query query(database_, "SELECT holder, token, until_ms FROM lease");
    if (query.next_row()) {
      const std::int64_t until_ms = query.integer(2);
      const bool is_running = until_ms > now_ms && until_ms <= now_ms + 2 * length_ms;
      if (is_running && query.text(0) != holder)
        return {};
      token = query.integer(1);
    }
  }
  ++token;
  Query(database_,
        "INSERT INTO lease (id, holder, token, until_ms) VALUES (1,?,?,?) ON CONFLICT (id) DO "
        "UPDATE SET holder = excluded.holder, token = excluded.token, "
        "until_ms = excluded.until_ms")
      .bind(holder)
      .bind(token)
      .bind(now_ms + length_ms)
      .execute();
  transaction.commit();
  return token;
}

bool Journal::renew_lease(const std::string& holder, std::int64_t token, std::int64_t now_ms,
                          std::int64_t length_ms) {
  Query(database_, "UPDATE lease SET until_ms = ? WHERE holder = ? AND token = ?")
      .bind(now_ms + length_ms)
      .bind(holder)
      .bind(token)
      .execute();
  return sqlite3_changes(database_) == 1;
}

void Journal::write_change(const ObjectChange& change) {
  Query(database_, "INSERT INTO changes (version, change, name, body, before) VALUES (?,?,?,?,?)")
      .bind(change.version)
      .bind(change.change)
      .bind(change.name)
      .bind(change.body)
      .bind(change.before)
      .execute();
  if (change.change == change_deleted) {
    Query(database_, "DELETE FROM objects WHERE name = ?").bind(change.name).execute();
    return;
  }
  Query(database_,
        "INSERT INTO objects (name, body) VALUES (?,?) ON CONFLICT (name) DO UPDATE SET body = "
        "excluded.body")
      .bind(change.name)
      .bind(change.body)
      .execute();
}

void Journal::commit(const Commit& commit, std::size_t max_changes, std::int64_t key_lifetime_ms) {
  Transaction transaction(database_);
  for (const ObjectChange& change : commit.changes)
    write_change(change);
  if (!commit.changes.empty())
    Query(database_, "DELETE FROM changes WHERE version <= ?")
        .bind(commit.changes.back().version - static_cast<std::int64_t>(max_changes))
        .execute();
  if (commit.key) {
    Query(database_, "DELETE FROM requests WHERE at_ms < ?")
        .bind(now_ms() - key_lifetime_ms)
        .execute();
    Query(database_, "INSERT INTO requests (key, digest, name, at_ms) VALUES (?,?,?,?)")
        .bind(commit.key->key)
        .bind(commit.key->digest)
        .bind(commit.key->name)
        .bind(now_ms())
        .execute();
  }
  if (commit.state)
    set_state(commit.state->key, commit.state->value);
  transaction.commit();
}

std::map<std::string, std::string> Journal::objects() const {
  std::map<std::string, std::string> objects;
  Query query(database_, "SELECT name, body FROM objects");
  while (query.next_row())
    objects[query.text(0)] = query.text(1);
  return objects;
}

std::vector<ObjectChange> Journal::changes() const {
  std::vector<ObjectChange> changes;
  Query query(database_,
              "SELECT version, change, name, body, before FROM changes ORDER BY version");
  while (query.next_row())
    changes.push_back({.version = query.integer(0),
                       .change = static_cast<int>(query.integer(1)),
                       .name = query.text(2),
                       .body = query.text(3),
                       .before = query.text(4)});
  return changes;
}

std::int64_t Journal::object_version() const {
  Query query(database_, "SELECT max(version) FROM changes");
  query.next_row();
  return query.integer(0);
}

std::optional<IdempotencyKey> Journal::find_idempotency_key(const std::string& key) const {
  Query query(database_, "SELECT digest, name FROM requests WHERE key = ?");
  query.bind(key);
  if (!query.next_row())
    return {};
  return IdempotencyKey{key, query.text(0), query.text(1)};
}

void Journal::set_state(const std::string& key, const std::string& value) {
  Query(database_,
        "INSERT INTO state (key, value) VALUES (?,?) ON CONFLICT (key) DO UPDATE SET value = "
        "excluded.value")
      .bind(key)
      .bind(value)
      .execute();
}

std::optional<std::string> Journal::state(const std::string& key) const {
  Query query(database_, "SELECT value FROM state WHERE key = ?");
  query.bind(key);
  if (!query.next_row())
    return {};
  return query.text(0);
}

void Journal::begin_batch() {
  execute("BEGIN");
}

void Journal::end_batch() {
  execute("COMMIT");
}

void Journal::limit_growth(int pages) {
  Query count(database_, "PRAGMA page_count");
  count.next_row();
  execute("PRAGMA max_page_count=" + std::to_string(count.integer(0) + pages));
}

}  // namespace robinhoist::journal
