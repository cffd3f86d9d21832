/// A file that survives a crash either complete or not at all: the last list of endpoints, from
/// which a restarted proxy begins.
///
/// The file has a header with length and checksum (XXH64). It is written beside the old one,
/// synced, and renamed over it.
#pragma once
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace robinhoist::endpoint_cache {

/// The file can't be written, or its content is damaged or of an unknown version. Names the file.
struct CacheError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Replaces the file's content and returns once it is durable. Throws CacheError.
void write(const std::string& file, const std::string& content);
/// The content last written; nothing if there is no file. Throws CacheError if it is damaged.
std::optional<std::string> read(const std::string& file);

/// Writes a file on a thread of its own, so that nobody waits for the disk. Of several contents
/// only the latest is written.
class CacheWriter {
 public:
  explicit CacheWriter(std::string file);
  /// Writes what is left to write.
  ~CacheWriter();
  CacheWriter(const CacheWriter&) = delete;
  CacheWriter& operator=(const CacheWriter&) = delete;

  void write_later(std::string content);
  /// Writes that failed so far.
  long failures() const { return failures_; }

 private:
  void run();
  void write_now(const std::string& content);

  std::string file_;
  std::mutex mutex_{};
  std::condition_variable changed_{};
  std::optional<std::string> pending_{};  // guarded by mutex_
  bool stopping_ = false;                 // guarded by mutex_
  std::atomic<long> failures_{0};
  std::thread thread_;
};

}  // namespace robinhoist::endpoint_cache
