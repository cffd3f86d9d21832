// What the runners share: plays are text files, a line a step, `#` opens a comment.
#pragma once
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

namespace robinhoist::tests {

using Words = std::vector<std::string>;

// Words apart by blanks; a "quoted" one may hold blanks and \r \n \0.
inline Words words_of(const std::string& line) {
  Words words;
  for (std::size_t i = 0; i < line.size();) {
    if (line[i] == ' ') {
      ++i;
    } else if (line[i] == '#') {
      break;
    } else if (line[i] == '"') {
      std::string word;
      for (++i; i < line.size() && line[i] != '"'; ++i) {
        if (line[i] != '\\' || i + 1 >= line.size()) {
          word += line[i];
          continue;
        }
        const char c = line[++i];
        word += c == 'r' ? '\r' : c == 'n' ? '\n' : c == '0' ? '\0' : c;
      }
      ++i;
      words.push_back(word);
    } else {
      std::size_t end = line.find(' ', i);
      words.push_back(line.substr(i, end - i));
      i = end == std::string::npos ? line.size() : end;
    }
  }
  return words;
}

inline std::vector<std::string> files_in(const std::string& folder, const std::string& extension) {
  std::vector<std::string> files;
  for (auto& entry : std::filesystem::directory_iterator(folder))
    if (entry.path().extension() == extension)
      files.push_back(entry.path().string());
  std::sort(files.begin(), files.end());
  return files;
}

inline std::string stem(const testing::TestParamInfo<std::string>& info) {
  std::string name = std::filesystem::path(info.param).stem().string();
  for (char& c : name)
    if (!std::isalnum(static_cast<unsigned char>(c)))
      c = '_';
  return name;
}

// Plays a file: `step` gets each line's words and throws what it does not understand.
template <class Step>
void play(const std::string& file, Step step) {
  std::ifstream in(file);
  std::string line;
  for (int number = 1; std::getline(in, line); ++number) {
    Words words = words_of(line);
    if (words.empty())
      continue;
    SCOPED_TRACE(file + ":" + std::to_string(number) + ": " + line);
    try {
      step(words);
    } catch (const std::exception& bad) {
      ADD_FAILURE() << bad.what();
      return;
    }
  }
}

inline bool compares(double a, const std::string& how, double b) {
  if (how == "=")
    return a == b;
  if (how == "<")
    return a < b;
  if (how == ">")
    return a > b;
  throw std::runtime_error("no comparison: " + how);
}

}  // namespace robinhoist::tests
