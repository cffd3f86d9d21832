// Structured log lines in logfmt on standard error, by spdlog: time, level, who, what, and
// key=value figures.
#pragma once
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace spdlog {
class logger;
}

namespace robinhoist::log {

using Field = std::pair<std::string_view, std::string>;

class Log {
 public:
  // `who` names the part, such as proxy-3. An empty `file` is standard error.
  explicit Log(const std::string& who, const std::string& level = "info",
               const std::string& file = "");
  void debug(std::string_view what, std::initializer_list<Field> fields = {}) const;
  void info(std::string_view what, std::initializer_list<Field> fields = {}) const;
  void warn(std::string_view what, std::initializer_list<Field> fields = {}) const;
  void error(std::string_view what, std::initializer_list<Field> fields = {}) const;

 private:
  void line(int level, std::string_view what, std::initializer_list<Field> fields) const;
  std::string who_;
  std::shared_ptr<spdlog::logger> to_;
};

// Words for log fields.
template <class T>
std::string text(T value) {
  return std::to_string(value);
}

}  // namespace robinhoist::log
