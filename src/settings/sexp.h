/// S-expressions as a tree, with the position of each value in its file.
#pragma once
#include <string>
#include <vector>

namespace robinhoist::settings {

/// A list of values, or an atom: a word or a quoted string.
struct Sexp {
  int line = 0;
  int file = 0;  ///< Index of the file in the ProblemList.
  bool is_list = false;
  bool is_quoted = false;
  std::string atom{};
  std::vector<Sexp> items{};

  /// Whether the value is a list that begins with an unquoted word, its key.
  bool has_key() const;
  /// Whether the value is a list with that key.
  bool has_key(const std::string& key) const;
  const std::string& key() const { return items[0].atom; }
};

/// Formats a value as text that parses to the same value.
std::string to_text(const Sexp& value);

/// A short text for error messages, which shows only the first item of a list.
std::string abbreviated(const Sexp& value);

/// Replaces the words of the form at a dotted path, such as day.load.rate or
/// deployment.product[book].sla, by `words`, which are separated by whitespace. A name in brackets
/// selects the form whose first word it is. If only the form of the last key is missing, it is
/// added. Returns false when a form earlier in the path does not exist.
bool override_value(Sexp& root, const std::string& path, const std::string& words);

}  // namespace robinhoist::settings
