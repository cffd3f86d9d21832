/// The event log of a scenario: one JSON object a line, times in microseconds since the start.
/// Several threads write it; the auditor reads it back.
#pragma once
#include <cstdio>
#include <functional>
#include <mutex>
#include <string>

#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::record {

class Writer {
 public:
  /// Throws std::runtime_error when the file can't be written.
  explicit Writer(const std::string& file);
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;
  void write_line(const std::string& json);
  void flush();

 private:
  std::mutex mutex_{};
  std::FILE* file_;
};

/// Calls `line` with each line. A last line that is cut short is skipped; returns the number of
/// lines skipped. Throws json::DecodeError, with file and line number, for any other invalid line.
int read(const std::string& file, const std::function<void(const json::Value&)>& line);

}  // namespace robinhoist::record
