#include "log/log.h"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace robinhoist::log {
namespace {

void put(std::string& to, std::string_view value) {
  const bool plain =
      !value.empty() && value.find_first_of(" \"=\\\n\r\t") == std::string_view::npos;
  if (plain) {
    to += value;
    return;
  }
  to += '"';
  for (char c : value) {
    if (c == '"' || c == '\\')
      to += '\\';
    to += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  to += '"';
}

}  // namespace

Log::Log(const std::string& who, const std::string& level, const std::string& file) : who_(who) {
  spdlog::sink_ptr sink;
  if (file.empty())
    sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
  else
    sink = std::make_shared<spdlog::sinks::basic_file_sink_mt>(file);
  to_ = std::make_shared<spdlog::logger>(who, sink);
  to_->set_pattern("ts=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v", spdlog::pattern_time_type::utc);
  to_->set_level(spdlog::level::from_str(level));
  to_->flush_on(spdlog::level::info);
}

void Log::line(int level, std::string_view what, std::initializer_list<Field> fields) const {
  const auto as = static_cast<spdlog::level::level_enum>(level);
  if (!to_->should_log(as))
    return;
  std::string text = "who=";
  put(text, who_);
  text += " msg=";
  put(text, what);
  for (auto& [key, value] : fields) {
    text += ' ';
    text += key;
    text += '=';
    put(text, value);
  }
  to_->log(as, "{}", text);
}

void Log::debug(std::string_view what, std::initializer_list<Field> f) const {
  line(spdlog::level::debug, what, f);
}
void Log::info(std::string_view what, std::initializer_list<Field> f) const {
  line(spdlog::level::info, what, f);
}
void Log::warn(std::string_view what, std::initializer_list<Field> f) const {
  line(spdlog::level::warn, what, f);
}
void Log::error(std::string_view what, std::initializer_list<Field> f) const {
  line(spdlog::level::err, what, f);
}

}  // namespace robinhoist::log
