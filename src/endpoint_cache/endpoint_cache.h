// Small files that are whole or not there: a header with length and checksum (XXH64), written
// beside the old one, synced, then renamed over it. A reader gets the last whole content or
// nothing, with the reason.
#pragma once
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace robinhoist::endpoint_cache {

// Empty when it worked, else why not.
std::string write(const std::string& file, const std::string& content);
// Nothing where there is no whole file; `why` then says so, and is empty where there was none at
// all.
std::optional<std::string> read(const std::string& file, std::string& why);

// Writes in the background, only the latest content: nobody waits for the disk.
class CacheWriter {
 public:
  explicit CacheWriter(std::string file);
  ~CacheWriter();  // writes what is left
  void keep(std::string content);
  long failed() const { return failed_; }

 private:
  void run();
  std::string file_;
  std::mutex mutex_{};
  std::condition_variable wake_{};
  std::optional<std::string> next_{};
  bool over_ = false;
  std::atomic<long> failed_{0};
  std::thread thread_;
};

}  // namespace robinhoist::endpoint_cache
