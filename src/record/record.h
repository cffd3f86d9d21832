// A played day's record: one JSON object a line, times in microseconds since the day's start.
// Written by several threads, read back whole by the auditor.
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
  explicit Writer(const std::string& file);  // throws std::runtime_error when it can't be written
  ~Writer();
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;
  void write_line(const std::string& json);
  void flush();

 private:
  std::mutex mutex_{};
  std::FILE* file_;
};

// Calls with each line; a last line cut short is passed over and told by the return value (how
// many). Throws json::DecodeError with file and line for anything else that makes no sense.
int read(const std::string& file, const std::function<void(const json::Value&)>& line);

}  // namespace robinhoist::record
