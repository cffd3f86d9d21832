#include "log/logger.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace robinhoist::log {
namespace {

/// Appends a value in logfmt: quoted when it is empty or contains spaces, quotes, equals signs,
/// backslashes or control characters. Control characters are replaced by spaces, so that an entry
/// stays on one line.
void append_value(std::string& line, std::string_view value) {
  const bool needs_no_quotes =
      !value.empty() && value.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
  if (needs_no_quotes) {
    line += value;
    return;
  }
  line += '"';
  for (char c : value) {
    if (c == '"' || c == '\\')
      line += '\\';
    line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  line += '"';
}

}  // namespace

Logger::Logger(const std::string& component, const std::string& level, const std::string& file)
    : component_(component) {
  spdlog::sink_ptr sink;
  if (file.empty())
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  else
    sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  sink_ = std::make_shared<spdlog::logger>(component, sink);
  sink_->set_pattern("ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
  sink_->set_level(spdlog::level::from_str(level));
  sink_->flush_on(spdlog::level::info);
}

void Logger::write_line(int level, std::string_view message,
                        std::initializer_list<Field> fields) const {
  const auto spdlog_level = static_cast<spdlog::level::level_enum>(level);
  if (!sink_->should_log(spdlog_level))
    return;
  std::string line = "who=";
  append_value(line, component_);
  line += " msg=";
  append_value(line, message);
  for (const auto& [key, value] : fields) {
    line += ' ';
    line += key;
    line += '=';
    append_value(line, value);
  }
  sink_->log(spdlog_level, "{}", line);
}

void Logger::debug(std::string_view message, std::initializer_list<Field> fields) const {
  write_line(spdlog::level::debug, message, fields);
}

void Logger::info(std::string_view message, std::initializer_list<Field> fields) const {
  write_line(spdlog::level::info, message, fields);
}

void Logger::warn(std::string_view message, std::initializer_list<Field> fields) const {
  write_line(spdlog::level::warn, message, fields);
}

void Logger::error(std::string_view message, std::initializer_list<Field> fields) const {
  write_line(spdlog::level::err, message, fields);
}

}  // namespace robinhoist::log
