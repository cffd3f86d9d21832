// What the runner of steps must not forget, in SQLite (WAL, synchronous=FULL): each intent before
// it acts, each outcome after; plans; the lease of the one runner, with a fencing token that only
// grows; and the state of the controller. Nothing here decides.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

struct sqlite3;

namespace robinhoist::journal {

// The journal can't be read or written, is of no known kind, or of a newer version; what() says
// which.
struct Failed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct Entry {
  std::int64_t id = 0, at_ms = 0;  // since 1970
  int build = 0;
  std::string step{}, what{};  // intent, ended, looked, skipped
  std::string direction{};     // apply, undo
  std::string outcome{};       // of ended: a result; of looked: yes, no, unknown
  std::int64_t after = 0, token = 0;
  int attempt = 0;
  std::string digest{}, who{}, why{};
};

// A change of an object of the API. What it was before is kept too, for those that watch by labels.
struct ObjectChange {
  std::int64_t version = 0;
  int change = 0;  // as objects::Change
  std::string name{}, body{}, before{};
};

// A request that must not make a second object: what it asked for, and what it made.
struct RequestKey {
  std::string key{}, digest{}, name{};
};

class Journal {
 public:
  explicit Journal(const std::string& file);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  void write(const Entry& entry);  // durable when it returns
  std::vector<Entry> entries(int build) const;
  std::vector<Entry> latest(std::size_t count) const;
  // The digests of steps that were applied, by "build/id".
  std::map<std::string, std::string> applied() const;

  void keep_plan(int build, const std::string& text, const std::string& who);
  std::map<int, std::string> plans() const;  // by build

  // The token of the lease that `who` now holds; nothing while another's is running. Times in ms
  // since 1970. A lease that ends implausibly late, for a clock has jumped, does not count.
  std::optional<std::int64_t> take_lease(const std::string& who, std::int64_t now_ms,
                                         std::int64_t for_ms);
  bool renew_lease(const std::string& who, std::int64_t token, std::int64_t now_ms,
                   std::int64_t for_ms);

  // Changes of objects, the key of the request that made one, and a state: all or nothing, durable
  // when it returns. Keys older than `keys_for_ms` are forgotten, and all but the last `keep`
  // changes let go.
  struct Commit {
    std::vector<ObjectChange> changes{};
    std::optional<RequestKey> key{};
    std::optional<std::pair<std::string, std::string>> state{};
  };
  void commit(const Commit& commit, std::size_t keep, std::int64_t keys_for_ms);
  std::map<std::string, std::string> objects() const;  // bodies by name
  std::vector<ObjectChange> changes() const;           // those kept, oldest first
  std::int64_t object_version() const;                 // of the last change ever
  std::optional<RequestKey> request(const std::string& key) const;

  void put(const std::string& key, const std::string& value);
  std::optional<std::string> get(const std::string& key) const;
  // Many writes as one, durable at the end: for imports and measurements, not for steps.
  void batch(bool begin);
  // For tests: the journal may grow to so many pages more.
  void limit_pages(int more);

 private:
  void run(const std::string& sql) const;
  void migrate(int from);
  sqlite3* db_ = nullptr;
  std::string file_;
};

}  // namespace robinhoist::journal
