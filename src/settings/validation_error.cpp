#include "settings/validation_error.h"

namespace robinhoist::settings {

void throw_syntax_error(const std::string& file, int line, const std::string& what) {
  throw ValidationError(file + ":" + std::to_string(line) + ": " + what, 1);
}

int ProblemList::add_file(const std::string& name) {
  files_.push_back(name);
  return static_cast<int>(files_.size()) - 1;
}

void ProblemList::add(int file, int line, const std::string& path, const std::string& what) {
  problems_.push_back(files_.at(file) + ":" + std::to_string(line) + ": " +
                      (path.empty() ? "" : path + ": ") + what);
}

void ProblemList::throw_if_any() const {
  if (problems_.empty())
    return;
  std::string text;
  for (const std::string& problem : problems_)
    text += (text.empty() ? "" : "\n") + problem;
  throw ValidationError(text, static_cast<int>(problems_.size()));
}

}  // namespace robinhoist::settings
