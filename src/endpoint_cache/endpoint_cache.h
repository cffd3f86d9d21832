/// A file with the last known endpoint list, from which a restarted proxy starts. After a crash, it
/// has either the old or the new content, never a mix.
///
/// The file has a header with length and checksum (XXH64). Each version is written to a temporary
/// file, synced, and renamed over the old one.
#pragma once
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>

namespace robinhoist::endpoint_cache {

/// The file cannot be written, or its content is damaged or of an unsupported version. The message
/// has the name of the file.
struct CacheError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Replaces the file's content and returns once it is durable. Throws CacheError.
void write(const std::string& file, const std::string& content);
/// Returns the last written content, or nothing if there is no file. Throws CacheError if the file
/// is damaged.
std::optional<std::string> read(const std::string& file);

/// Writes a file on a separate thread, so that the caller does not wait for the disk. If several
/// contents are pending, only the latest is written.
class CacheWriter {
 public:
  explicit CacheWriter(std::string file);
  /// Writes the pending content, if any.
  ~CacheWriter();
  CacheWriter(const CacheWriter&) = delete;
  CacheWriter& operator=(const CacheWriter&) = delete;

  void write_later(std::string content);
  /// Number of failed writes so far.
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
