#include "record/record.h"

#include <cerrno>
#include <cstring>
#include <fstream>

namespace robinhoist::record {

Writer::Writer(const std::string& file) : file_(std::fopen(file.c_str(), "we")) {
  if (!file_)
    throw std::runtime_error("can't write " + file + ": " + std::strerror(errno));
}

Writer::~Writer() {
  std::fclose(file_);
}

void Writer::write_line(const std::string& json) {
  std::lock_guard lock(mutex_);
  std::fwrite(json.data(), 1, json.size(), file_);
  std::fputc('\n', file_);
}

void Writer::flush() {
  std::lock_guard lock(mutex_);
  std::fflush(file_);
}

int read(const std::string& file, const std::function<void(const json::Value&)>& line) {
  std::ifstream in(file);
  if (!in)
    throw json::DecodeError(file + ": can't be read");
  std::string text;
  for (long number = 1; std::getline(in, text); ++number) {
    const bool last = in.eof();  // no line end: the line may be cut short
    try {
      line(json::parse_object(text));
    } catch (const json::DecodeError& error) {
      if (last)
        return 1;
      throw json::DecodeError(file + ":" + std::to_string(number) + ": " + error.what());
    }
  }
  return 0;
}

}  // namespace robinhoist::record
