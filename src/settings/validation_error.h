/// What is wrong with a settings file: problems are collected and thrown together.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

namespace robinhoist::settings {

/// All problems of a file, one a line: `FILE:LINE: PATH: VALUE is not ALLOWED`.
struct ValidationError : std::runtime_error {
  ValidationError(const std::string& text, int count) : std::runtime_error(text), problems(count) {}

  int problems;  ///< How many.
};

/// Throws the ValidationError of a text that cannot be parsed at all.
[[noreturn]] void throw_syntax_error(const std::string& file, int line, const std::string& what);

/// The files that a text is read from, and the problems found so far.
class ProblemList {
 public:
  /// Returns the index of the file, by which values name it.
  int add_file(const std::string& name);
  std::size_t file_count() const { return files_.size(); }
  /// `path` is the dotted path of the key; it may be empty.
  void add(int file, int line, const std::string& path, const std::string& what);
  /// Throws the problems as a ValidationError; does nothing when there are none.
  void throw_if_any() const;

 private:
  std::vector<std::string> files_{};
  std::vector<std::string> problems_{};
};

}  // namespace robinhoist::settings
