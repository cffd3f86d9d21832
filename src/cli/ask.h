// One request from the command line, waited for.
#pragma once
#include <functional>
#include <string>

#include "http/message.h"

namespace robinhoist::cli {

struct Asked {
  int status = 0;  // 0: not reached
  std::string body{};
  http::Headers headers{};
};

Asked ask(const std::string& address, http::Request request);
// Follows a stream until it ends or `line` says false; false when it can't be had, with the answer
// in `asked`.
bool follow(const std::string& address, const http::Request& request, Asked& asked,
            const std::function<bool(const std::string& line)>& line);
// The token of the environment's ROBINHOIST_TOKEN, on every request.
void add_token(http::Request& request);

}  // namespace robinhoist::cli
