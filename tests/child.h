// The program as a process of its own, for the runners that need one.
#pragma once
#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "plays.h"

namespace robinhoist::tests {

// A process of the program, with its own limits.
struct Child {
  pid_t pid;
  Child(const Words& words, const std::string& log_file, rlim_t files = 0) : pid(::fork()) {
    if (pid != 0)
      return;
    if (files > 0) {
      rlimit limit{files, files};
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    const int log = ::open(log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 2);
    std::vector<char*> argv{const_cast<char*>(PROGRAM)};
    for (const std::string& word : words)
      argv.push_back(const_cast<char*>(word.c_str()));
    argv.push_back(nullptr);
    ::execv(PROGRAM, argv.data());
    ::_exit(127);
  }
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;
  ~Child() { end(SIGKILL); }
  int end(int signal) {
    if (pid <= 0)
      return 0;
    ::kill(pid, signal);
    int status = 0;
    ::waitpid(pid, &status, 0);
    pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
  }
};

inline int port_free() {
  int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof at;
  ::bind(fd, reinterpret_cast<sockaddr*>(&at), length);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
  ::close(fd);
  return ntohs(at.sin_port);
}

}  // namespace robinhoist::tests
