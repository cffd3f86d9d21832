/// The durable state of the controller, in one SQLite database (WAL, synchronous=FULL).
///
/// It holds the journal of migration steps, the plans, the lease of the migration runner, the API's
/// objects with their recent changes, and named values. It contains no decision logic.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

struct sqlite3;

namespace robinhoist::journal {

/// The journal cannot be read or written, is not a journal, or has a newer schema version. what()
/// gives the cause.
struct JournalError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The kinds of entries, as stored in Entry::what.
namespace entry_kind {
inline constexpr const char* intent = "intent";
inline constexpr const char* run_result = "ended";
inline constexpr const char* probe_result = "looked";
inline constexpr const char* skip = "skipped";
}  // namespace entry_kind

/// One entry of the journal of steps. The fields are named after the columns of its table.
struct Entry {
  std::int64_t id = 0;
  std::int64_t at_ms = 0;  ///< Since 1970.
  int build = 0;
  std::string step{};
  std::string what{};       ///< One of entry_kind.
  std::string direction{};  ///< "apply" or "undo".
  std::string outcome{};    ///< The result of a run, or the answer to a probe: yes, no, unknown.
  std::int64_t after = 0;   ///< Data steps: the cursor.
  std::int64_t token = 0;   ///< The fencing token of the lease.
  int attempt = 0;
  std::string digest{};
  std::string who{};
  std::string why{};
};

/// The error of an entry with an unknown word; names the row, the field and the word.
JournalError unreadable_entry(const Entry& entry, const char* field, const std::string& word);

/// A change of one of the API's objects. The previous body is kept for watches with a selector.
struct ObjectChange {
  std::int64_t version = 0;
  int change = 0;  ///< A value of objects::Change.
  std::string name{};
  std::string body{};
  std::string before{};
};

/// The idempotency key of a request that created an object.
struct IdempotencyKey {
  std::string key{};
  std::string digest{};  ///< Digest of the request's body.
  std::string name{};    ///< Name of the created object.
};

/// A named value of the controller's state.
struct StateValue {
  std::string key{};
  std::string value{};
};

/// Not thread-safe. All functions except the destructor may throw JournalError. Writes are durable
/// when the function returns.
class Journal {
 public:
  /// Opens the file. Creates it if it does not exist, and upgrades it from an older version.
  explicit Journal(const std::string& file);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  const std::string& file() const { return file_; }

  void append(const Entry& entry);
  /// The entries of a build, oldest first.
  std::vector<Entry> entries(int build) const;
  /// The last `count` entries of all builds, newest first.
  std::vector<Entry> latest(std::size_t count) const;
  /// The digests of the applied steps, by "build/id". Steps that are known to have changed nothing,
  /// or that were rolled back, are left out, because they may be edited.
  std::map<std::string, std::string> applied_digests() const;

  void save_plan(int build, const std::string& text, const std::string& who);
  std::map<int, std::string> plans() const;  ///< The texts of the plans, by build.

  /// Acquires the lease and returns its fencing token, which is larger than all earlier tokens.
  /// Returns nothing while another holder's lease is valid. Times are in ms since 1970. A lease
  /// that expires implausibly late, because a clock has jumped, is ignored.
  std::optional<std::int64_t> acquire_lease(const std::string& holder, std::int64_t now_ms,
                                            std::int64_t length_ms);
  /// Returns false when the lease is no longer held with that token.
  bool renew_lease(const std::string& holder, std::int64_t token, std::int64_t now_ms,
                   std::int64_t length_ms);

  /// Changes of objects, the key of the request that made them, and a named value, which are
  /// written in one transaction.
  struct Commit {
    std::vector<ObjectChange> changes{};
    std::optional<IdempotencyKey> key{};
    std::optional<StateValue> state{};
  };
  /// Writes a commit. Deletes all but the last `max_changes` changes, and, if the commit has a key,
  /// keys older than `key_lifetime_ms`.
  void commit(const Commit& commit, std::size_t max_changes, std::int64_t key_lifetime_ms);
  std::map<std::string, std::string> objects() const;  ///< The bodies of the objects, by name.
  std::vector<ObjectChange> changes() const;           ///< Oldest first.
  std::int64_t object_version() const;                 ///< The version of the last change.
  std::optional<IdempotencyKey> find_idempotency_key(const std::string& key) const;

  void set_state(const std::string& key, const std::string& value);
  std::optional<std::string> state(const std::string& key) const;

  /// Begin and end a transaction for many entries, as imports and benchmarks write them. The
  /// entries are durable once it has ended.
  void begin_batch();
  void end_batch();
  /// For tests: limits the further growth of the file to `pages` pages.
  void limit_growth(int pages);

 private:
  void execute(const std::string& sql) const;
  void write_change(const ObjectChange& change);

  std::string file_;
  sqlite3* database_ = nullptr;
};

}  // namespace robinhoist::journal
