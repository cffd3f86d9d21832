/// The problems of a settings file, which are collected and thrown together.
#pragma once
#include <stdexcept>
#include <string>
#include <vector>

namespace robinhoist::settings {

/// All problems of a file, one per line: `FILE:LINE: PATH: VALUE is not ALLOWED`.
struct ValidationError : std::runtime_error {
  ValidationError(const std::string& text, int count) : std::runtime_error(text), problems(count) {}

  int problems;  ///< The number of problems.
};

/// Throws a ValidationError for a text that cannot be parsed.
[[noreturn]] void throw_syntax_error(const std::string& file, int line, const std::string& what);

/// The files that a text is read from, and the problems found so far.
class ProblemList {
 public:
  /// Adds a file and returns its index, which Sexp::file refers to.
  int add_file(const std::string& name);
  std::size_t file_count() const { return files_.size(); }
  /// Adds a problem. `path` is the dotted path of the key and may be empty.
  void add(int file, int line, const std::string& path, const std::string& what);
  /// Throws the problems as a ValidationError; does nothing when there are none.
  void throw_if_any() const;

 private:
  std::vector<std::string> files_{};
  std::vector<std::string> problems_{};
};

}  // namespace robinhoist::settings
