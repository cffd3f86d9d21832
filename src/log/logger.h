/// Structured log lines in logfmt: time, level, component, message and key=value fields.
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

/// A key and its value. Values are quoted where logfmt requires it.
using Field = std::pair<std::string_view, std::string>;

/// Writes the log lines of one component, such as proxy-3. Thread-safe.
class Logger {
 public:
  /// `level` is the lowest level that is written, named as in spdlog ("debug", "info", "warn",
  /// "error", "off"). An empty `file` means standard error.
  explicit Logger(const std::string& component, const std::string& level = "info",
                  const std::string& file = "");
  void debug(std::string_view message, std::initializer_list<Field> fields = {}) const;
  void info(std::string_view message, std::initializer_list<Field> fields = {}) const;
  void warn(std::string_view message, std::initializer_list<Field> fields = {}) const;
  void error(std::string_view message, std::initializer_list<Field> fields = {}) const;

 private:
  void write_line(int level, std::string_view message, std::initializer_list<Field> fields) const;

  std::string component_;
  std::shared_ptr<spdlog::logger> sink_;
};

/// Formats a number as the value of a field.
template <class Number>
std::string text(Number value) {
  return std::to_string(value);
}

}  // namespace robinhoist::log
