#include "endpoint_cache/endpoint_cache.h"

#include <fcntl.h>
#include <unistd.h>
#include <xxhash.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <sstream>

namespace robinhoist::endpoint_cache {
namespace {

constexpr const char* form = "robinhoist-saved 1 %016llx %zu\n";

std::string failed(const std::string& what, const std::string& file) {
  return what + " " + file + ": " + std::strerror(errno);
}

bool write_all(int fd, const std::string& bytes) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    ssize_t put = ::write(fd, bytes.data() + at, bytes.size() - at);
    if (put < 0 && errno == EINTR)
      continue;
    if (put <= 0)
      return false;
    at += static_cast<std::size_t>(put);
  }
  return true;
}

}  // namespace

std::string write(const std::string& file, const std::string& content) {
  char header[80];
  std::snprintf(header, sizeof header, form,
                static_cast<unsigned long long>(XXH64(content.data(), content.size(), 0)),
                content.size());
  const std::string beside = file + ".new";
  int fd = ::open(beside.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
  if (fd < 0)
    return failed("can't open", beside);
  const bool whole = write_all(fd, header + content) && ::fsync(fd) == 0;
  std::string why = whole ? "" : failed("can't write", beside);
  ::close(fd);
  if (!whole) {
    ::unlink(beside.c_str());
    return why;
  }
  if (::rename(beside.c_str(), file.c_str()) != 0)
    return failed("can't rename", beside);
  std::size_t slash = file.rfind('/');
  int dir = ::open(slash == std::string::npos ? "." : file.substr(0, slash + 1).c_str(),
                   O_RDONLY | O_CLOEXEC);
  if (dir >= 0) {
    ::fsync(dir);
    ::close(dir);
  }
  return "";
}

std::optional<std::string> read(const std::string& file, std::string& why) {
  why.clear();
  std::ifstream in(file, std::ios::binary);
  if (!in)
    return {};
  std::ostringstream text;
  text << in.rdbuf();
  std::string all = text.str();
  unsigned long long sum = 0;
  std::size_t length = 0, end = all.find('\n');
  if (end == std::string::npos ||
      std::sscanf(all.c_str(), "robinhoist-saved 1 %16llx %zu", &sum, &length) != 2) {
    why = file + ": not a saved file of a version known here";
    return {};
  }
  std::string content = all.substr(end + 1);
  if (content.size() != length || XXH64(content.data(), content.size(), 0) != sum) {
    why = file + ": cut short or altered";
    return {};
  }
  return content;
}

CacheWriter::CacheWriter(std::string file) : file_(std::move(file)), thread_([this] { run(); }) {}

CacheWriter::~CacheWriter() {
  {
    std::lock_guard lock(mutex_);
    over_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void CacheWriter::keep(std::string content) {
  {
    std::lock_guard lock(mutex_);
    next_ = std::move(content);
  }
  wake_.notify_one();
}

void CacheWriter::run() {
  std::unique_lock lock(mutex_);
  while (true) {
    wake_.wait(lock, [this] { return next_ || over_; });
    if (!next_)
      return;
    std::string content = std::move(*next_);
    next_.reset();
    lock.unlock();
    if (!write(file_, content).empty())
      ++failed_;
    lock.lock();
  }
}

}  // namespace robinhoist::endpoint_cache
