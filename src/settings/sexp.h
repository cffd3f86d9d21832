/// S-expressions as a tree, with the position of each value in its file.
#pragma once
#include <string>
#include <vector>

namespace robinhoist::settings {

/// A list of values, or an atom: a word or a quoted text.
struct Sexp {
  int line = 0;
  int file = 0;  ///< Index in the ProblemList.
  bool is_list = false;
  bool is_quoted = false;
  std::string atom{};
  std::vector<Sexp> items{};

  /// Whether it is a list that begins with an unquoted word, its key.
  bool has_key() const;
  /// Whether it is a list with that key.
  bool has_key(const std::string& key) const;
  const std::string& key() const { return items[0].atom; }
};

/// Text that parses to the same value.
std::string to_text(const Sexp& value);

/// A short form for error messages: of a list only its first item.
std::string abbreviated(const Sexp& value);

/// Replaces the words of the form at a dotted path, such as day.load.rate or
/// deployment.product[book].sla, by `words`, which blanks separate. A name in brackets selects the
/// form whose first word it is. When only the last key is missing, it is added. Returns false when
/// the form that would hold it does not exist.
bool override_value(Sexp& root, const std::string& path, const std::string& words);

}  // namespace robinhoist::settings
