/// Helpers of the tests in review/6 to review/10: processes, a small HTTP client and server on loopback
/// sockets, and the record. Plain POSIX sockets and threads; nothing of the project is linked.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace harness {

using Clock = std::chrono::steady_clock;

inline const Clock::time_point started = Clock::now();

/// Milliseconds since the start of the test.
inline double now_ms() {
  return std::chrono::duration<double, std::milli>(Clock::now() - started).count();
}

inline void sleep_ms(double ms) {
  std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

// ---- The record

inline std::mutex record_mutex;
inline FILE* record_file = nullptr;

inline void open_record(const std::string& file) {
  record_file = std::fopen(file.c_str(), "w");
}

inline void note(const std::string& line) {
  const std::lock_guard lock(record_mutex);
  if (!record_file)
    return;
  std::fprintf(record_file, "%10.1f %s\n", now_ms(), line.c_str());
  std::fflush(record_file);
}

// ---- Processes

struct Child {
  pid_t pid = -1;
  std::string name;
  bool ended = false;
};

inline std::vector<std::shared_ptr<Child>> children;

[[noreturn]] inline void finish(int status, const std::string& why) {
  note("end: " + why + " -> " + std::to_string(status));
  std::printf("%s\n", why.c_str());
  std::fflush(stdout);
  for (const auto& child : children)
    if (!child->ended) {
      ::kill(child->pid, SIGCONT);
      ::kill(child->pid, SIGKILL);
      ::waitpid(child->pid, nullptr, 0);
    }
  std::_Exit(status);
}

/// Starts `/bin/sh -c COMMAND`; use exec in the command. Standard error and output go to `log`.
inline std::shared_ptr<Child> spawn(const std::string& name, const std::string& command, const std::string& log) {
  auto child = std::make_shared<Child>();
  child->name = name;
  const pid_t parent = ::getpid();
  child->pid = ::fork();
  if (child->pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      std::_Exit(127);
    const int fd = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    for (int other = 3; other < 1024; ++other)
      ::close(other);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    std::_Exit(127);
  }
  children.push_back(child);
  note("start " + name + ": " + command);
  return child;
}

inline bool running(Child& child) {
  if (!child.ended && ::waitpid(child.pid, nullptr, WNOHANG) == child.pid)
    child.ended = true;
  return !child.ended;
}

inline void signal_child(Child& child, int signal, const char* text) {
  note(std::string("signal ") + text + " to " + child.name);
  if (running(child))
    ::kill(child.pid, signal);
}

inline bool wait_ended(Child& child, double timeout_ms) {
  const double until = now_ms() + timeout_ms;
  while (running(child)) {
    if (now_ms() > until)
      return false;
    sleep_ms(5);
  }
  note("ended: " + child.name);
  return true;
}

// ---- Sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

inline int listen_on(int port, int& bound) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  socklen_t length = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
  bound = ntohs(address.sin_port);
  return fd;
}

/// A port that was free a moment ago. All are taken at once, so that they differ.
inline std::vector<int> free_ports(int count) {
  std::vector<int> fds;
  std::vector<int> ports;
  for (int i = 0; i < count; ++i) {
    int port = 0;
    fds.push_back(listen_on(0, port));
    ports.push_back(port);
  }
  for (const int fd : fds)
    ::close(fd);
  return ports;
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

inline void reset(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
  ::close(fd);
}

// ---- HTTP

struct Message {
  std::string first;  ///< request line or status line
  std::map<std::string, std::string> headers;  ///< names in lower case
  std::string body;
  int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
  std::string method() const { return first.substr(0, first.find(' ')); }
  std::string target() const {
    const auto from = first.find(' ') + 1;
    return first.substr(from, first.find(' ', from) - from);
  }
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

/// Reads one message with Content-Length (or chunked) from `fd`; `rest` holds bytes read ahead. False: the
/// connection ended, or nothing came in time.
inline bool read_message(int fd, std::string& rest, Message& message, double timeout_ms, bool is_response = false) {
  const double until = now_ms() + timeout_ms;
  const auto more = [&] {
    const double left = until - now_ms();
    if (left <= 0)
      return false;
    pollfd wait{fd, POLLIN, 0};
    if (::poll(&wait, 1, static_cast<int>(left) + 1) <= 0)
      return false;
    char buffer[65536];
    const ssize_t n = ::recv(fd, buffer, sizeof buffer, 0);
    if (n <= 0)
      return false;
    rest.append(buffer, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end;
  while ((end = rest.find("\r\n\r\n")) == std::string::npos)
    if (!more())
      return false;
  message = {};
  std::istringstream head(rest.substr(0, end));
  rest.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  if (!line.empty() && line.back() == '\r')
    line.pop_back();
  message.first = line;
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r')
      line.pop_back();
    const auto colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    std::size_t from = colon + 1;
    while (from < line.size() && line[from] == ' ')
      ++from;
    message.headers[name] = line.substr(from);
  }
  if (message.header("transfer-encoding") == "chunked") {
    for (;;) {
      std::size_t eol;
      while ((eol = rest.find("\r\n")) == std::string::npos)
        if (!more())
          return false;
      const std::size_t size = std::strtoul(rest.c_str(), nullptr, 16);
      while (rest.size() < eol + 2 + size + 2)
        if (!more())
          return false;
      message.body += rest.substr(eol + 2, size);
      rest.erase(0, eol + 2 + size + 2);
      if (size == 0)
        return true;
    }
  }
  const std::string length_text = message.header("content-length");
  if (length_text.empty() && is_response && message.status() != 204) {
    while (more()) {
    }
    message.body.swap(rest);
    return true;
  }
  const std::size_t length = std::strtoul(length_text.c_str(), nullptr, 10);
  while (rest.size() < length)
    if (!more())
      return false;
  message.body = rest.substr(0, length);
  rest.erase(0, length);
  return true;
}

struct Answer {
  int status = 0;  ///< 0: no answer
  std::string body;
  std::map<std::string, std::string> headers;
};

/// One request on a connection of its own.
inline Answer call(int port, const std::string& method, const std::string& target, const std::string& body = "",
                   const std::string& more_headers = "", double timeout_ms = 3000) {
  const int fd = connect_to(port);
  if (fd < 0)
    return {};
  std::string text = method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + more_headers;
  if (!body.empty() || method != "GET")
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += "\r\n" + body;
  Answer answer;
  Message message;
  std::string rest;
  if (send_all(fd, text) && read_message(fd, rest, message, timeout_ms, true)) {
    answer.status = message.status();
    answer.body = message.body;
    answer.headers = message.headers;
  }
  ::close(fd);
  return answer;
}

inline std::string response(int status, const std::string& body, const std::string& more_headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n" + more_headers + "\r\n" + body;
}

/// A server with one thread for each connection. The handler returns the bytes of the response; an empty
/// string ends the connection. It may also write to the connection itself.
class Server {
 public:
  using Handler = std::function<std::string(const Message&, int fd)>;
  Server(int port, Handler handler) : handler_(std::move(handler)) {
    fd_ = listen_on(port, port_);
    if (fd_ < 0)
      finish(2, "a stand-in could not listen");
    std::thread([this] { accept_all(); }).detach();
  }
  int port() const { return port_; }

 private:
  void accept_all() {
    for (;;) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread([this, fd] { serve(fd); }).detach();
    }
  }
  void serve(int fd) {
    std::string rest;
    Message message;
    while (read_message(fd, rest, message, 3600e3)) {
      const std::string bytes = handler_(message, fd);
      if (bytes.empty() || !send_all(fd, bytes))
        break;
    }
    ::close(fd);
  }
  Handler handler_;
  int fd_ = -1;
  int port_ = 0;
};

// ---- Small things

inline void write_file(const std::string& file, const std::string& text) {
  std::ofstream(file) << text;
}

inline std::string read_file(const std::string& file) {
  std::ifstream in(file);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

/// The number behind "NAME": in a JSON text; `absent` if there is none.
inline double json_number(const std::string& text, const std::string& name, double absent = -1) {
  const auto at = text.find("\"" + name + "\":");
  return at == std::string::npos ? absent : std::strtod(text.c_str() + at + name.size() + 3, nullptr);
}

inline std::string env(const char* name, const std::string& absent) {
  const char* value = std::getenv(name);
  return value ? value : absent;
}

/// With TROUBLE=0 the test leaves the disruption out.
inline bool trouble() {
  return env("TROUBLE", "1") != "0";
}

/// Waits until `condition` holds, for `timeout_ms` at most.
inline bool wait_until(double timeout_ms, const std::function<bool()>& condition) {
  const double until = now_ms() + timeout_ms;
  while (!condition()) {
    if (now_ms() > until)
      return false;
    sleep_ms(20);
  }
  return true;
}

}  // namespace harness
