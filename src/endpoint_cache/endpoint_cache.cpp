#include "endpoint_cache/endpoint_cache.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

namespace robinhoist::endpoint_cache {
namespace {

// First line of the file: version, checksum and length of the rest.
constexpr const char* header_format = "robinhoist-saved 1 %016llx %zu\n";
constexpr const char* header_scan_format = "robinhoist-saved 1 %16llx %zu";
constexpr mode_t file_mode = 0640;

CacheError system_error(const std::string& what, const std::string& file) {
  return CacheError(what + " " + file + ": " + std::strerror(errno));
}

unsigned long long checksum(const std::string& content) {
  return XXH64(content.data(), content.size(), 0);
}

// An open file descriptor, closed by the destructor.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  ~Descriptor() {
    if (fd_ >= 0)
      ::close(fd_);
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  bool valid() const { return fd_ >= 0; }
  bool write_all(const std::string& bytes) const;
  bool sync() const { return ::fsync(fd_) == 0; }

 private:
  int fd_;
};

bool Descriptor::write_all(const std::string& bytes) const {
  std::size_t done = 0;
  while (done < bytes.size()) {
    const ssize_t written = ::write(fd_, bytes.data() + done, bytes.size() - done);
    if (written < 0 && errno == EINTR)
      continue;
    if (written <= 0)
      return false;
    done += static_cast<std::size_t>(written);
  }
  return true;
}

void write_synced(const std::string& file, const std::string& bytes) {
  const Descriptor output(
      ::open(file.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode));
  if (!output.valid())
    throw system_error("cannot open", file);
  if (output.write_all(bytes) && output.sync())
    return;
  const CacheError error = system_error("cannot write", file);
  ::unlink(file.c_str());
  throw error;
}

// Makes a rename durable, if the file system supports that.
void sync_folder_of(const std::string& file) {
  const std::size_t slash = file.rfind('/');
  const std::string folder = slash == std::string::npos ? "." : file.substr(0, slash + 1);
  const Descriptor descriptor(::open(folder.c_str(), O_RDONLY | O_CLOEXEC));
  if (descriptor.valid())
    descriptor.sync();
}

}  // namespace

void write(const std::string& file, const std::string& content) {
  char header[80];
  std::snprintf(header, sizeof header, header_format, checksum(content), content.size());
  const std::string new_file = file + ".new";
  write_synced(new_file, header + content);
  if (::rename(new_file.c_str(), file.c_str()) != 0)
    throw system_error("cannot rename", new_file);
  sync_folder_of(file);
}

std::optional<std::string> read(const std::string& file) {
  std::ifstream input(file, std::ios::binary);
  if (!input)
    return {};
  std::ostringstream text;
  text << input.rdbuf();
  const std::string all = text.str();
  const std::size_t header_end = all.find('\n');
  unsigned long long stated_checksum = 0;
  std::size_t stated_length = 0;
  // An overflow in the header is detected by the checks of length and checksum below.
  const int fields = std::sscanf(all.c_str(), header_scan_format, &stated_checksum, &stated_length);
  if (header_end == std::string::npos || fields != 2)
    throw CacheError(file + ": not an endpoint cache file of a supported version");
  std::string content = all.substr(header_end + 1);
  if (content.size() != stated_length || checksum(content) != stated_checksum)
    throw CacheError(file + ": truncated or corrupted");
  return content;
}

CacheWriter::CacheWriter(std::string file) : file_(std::move(file)), thread_([this] { run(); }) {}

CacheWriter::~CacheWriter() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void CacheWriter::write_later(std::string content) {
  {
    const std::lock_guard lock(mutex_);
    pending_ = std::move(content);
  }
  changed_.notify_one();
}

void CacheWriter::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    changed_.wait(lock, [this] { return pending_ || stopping_; });
    if (!pending_)
      return;
    const std::string content = std::move(*pending_);
    pending_.reset();
    lock.unlock();
    write_now(content);
    lock.lock();
  }
}

void CacheWriter::write_now(const std::string& content) {
  try {
    write(file_, content);
  } catch (const CacheError&) {
    ++failures_;
  }
}

}  // namespace robinhoist::endpoint_cache
