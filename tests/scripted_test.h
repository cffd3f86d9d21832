/// Scripted tests: text files that a test runs line by line.
///
/// A line is a sequence of words separated by blanks; `#` begins a comment. The test that runs a
/// script defines the meaning of its words.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace robinhoist::tests {

using Words = std::vector<std::string>;

/// The character for the second character of an escape such as \n.
inline char unescaped(char c) {
  switch (c) {
    case 'r':
      return '\r';
    case 'n':
      return '\n';
    case '0':
      return '\0';
    default:
      return c;
  }
}

/// Reads the quoted word that begins at `position`, and advances `position` to its closing quote.
inline std::string read_quoted_word(const std::string& line, std::size_t& position) {
  std::string word;
  for (++position; position < line.size() && line[position] != '"'; ++position) {
    const bool is_escape = line[position] == '\\' && position + 1 < line.size();
    word += is_escape ? unescaped(line[++position]) : line[position];
  }
  return word;
}

/// Splits a line into words. A "quoted" word may contain blanks and the escapes \r \n \0.
inline Words split_words(const std::string& line) {
  Words words;
  for (std::size_t i = 0; i < line.size();) {
    if (line[i] == ' ') {
      ++i;
    } else if (line[i] == '#') {
      break;
    } else if (line[i] == '"') {
      words.push_back(read_quoted_word(line, i));
      ++i;
    } else {
      const std::size_t end = line.find(' ', i);
      words.push_back(line.substr(i, end - i));
      i = end == std::string::npos ? line.size() : end;
    }
  }
  return words;
}

/// The files of a folder with an extension such as ".txt", sorted: the parameters of a test suite.
inline std::vector<std::string> files_in(const std::string& folder, const std::string& extension) {
  std::vector<std::string> files;
  for (const auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().extension() == extension)
      files.push_back(entry.path().string());
  std::sort(files.begin(), files.end());
  return files;
}

/// Names a parameterized test after its script's file.
inline std::string script_name(const testing::TestParamInfo<std::string>& info) {
  std::string name = std::filesystem::path(info.param).stem().string();
  for (char& c : name)
    if (!std::isalnum(static_cast<unsigned char>(c)))
      c = '_';
  return name;
}

/// Runs a script: calls `run_line` with the words of each line that is not empty. An exception
/// fails the test and ends the script.
template <class RunLine>
void run_script(const std::string& file, RunLine run_line) {
  std::ifstream in(file);
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    const Words words = split_words(line);
    if (words.empty())
      continue;
    SCOPED_TRACE(testing::Message() << file << ":" << number << ": " << line);
    try {
      run_line(words);
    } catch (const std::exception& error) {
      ADD_FAILURE() << error.what();
      return;
    }
  }
}

/// Evaluates `left OPERATOR right`, where the operator is =, < or >.
inline bool compare(double left, const std::string& comparison, double right) {
  if (comparison == "=")
    return left == right;
  if (comparison == "<")
    return left < right;
  if (comparison == ">")
    return left > right;
  throw std::runtime_error("unknown comparison: " + comparison);
}

}  // namespace robinhoist::tests
