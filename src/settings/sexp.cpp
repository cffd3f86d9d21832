#include "settings/sexp.h"

#include <sstream>

namespace robinhoist::settings {
namespace {

void append_text(const Sexp& value, std::string& text) {
  if (value.is_list) {
    text += '(';
    for (const Sexp& item : value.items) {
      if (text.back() != '(')
        text += ' ';
      append_text(item, text);
    }
    text += ')';
    return;
  }
  if (!value.is_quoted) {
    text += value.atom;
    return;
  }
  text += '"';
  for (char c : value.atom) {
    if (c == '"' || c == '\\')
      text += '\\';
    text += c;
  }
  text += '"';
}

/// One part of a dotted path: a key, and the form's first word if it is given in brackets.
struct PathPart {
  std::string key;
  std::string name;
};

std::vector<PathPart> parse_path(const std::string& path) {
  std::vector<PathPart> parts;
  std::istringstream in(path);
  for (std::string text; std::getline(in, text, '.');) {
    const std::size_t bracket = text.find('[');
    PathPart part{text.substr(0, bracket), ""};
    if (bracket != std::string::npos)
      part.name = text.substr(bracket + 1, text.size() - bracket - 2);
    parts.push_back(part);
  }
  return parts;
}

Sexp* find_form(Sexp& parent, const PathPart& part) {
  for (std::size_t i = 1; i < parent.items.size(); ++i) {
    Sexp& item = parent.items[i];
    if (!item.has_key(part.key))
      continue;
    const bool has_name = item.items.size() > 1 && item.items[1].atom == part.name;
    if (part.name.empty() || has_name)
      return &item;
  }
  return nullptr;
}

Sexp word_at(const Sexp& place, const std::string& word) {
  return Sexp{.line = place.line, .file = place.file, .atom = word};
}

Sexp* add_form(Sexp& parent, const std::string& key) {
  Sexp form{.line = parent.line, .file = parent.file, .is_list = true};
  form.items.push_back(Sexp{.atom = key});
  parent.items.push_back(form);
  return &parent.items.back();
}

void replace_words(Sexp& form, const std::string& words) {
  form.items.resize(1);
  std::istringstream in(words);
  for (std::string word; in >> word;)
    form.items.push_back(word_at(form, word));
}

}  // namespace

bool Sexp::has_key() const {
  return is_list && !items.empty() && !items[0].is_list && !items[0].is_quoted;
}

bool Sexp::has_key(const std::string& key) const {
  return has_key() && items[0].atom == key;
}

std::string to_text(const Sexp& value) {
  std::string text;
  append_text(value, text);
  return text;
}

std::string abbreviated(const Sexp& value) {
  if (!value.is_list)
    return value.is_quoted ? "\"" + value.atom + "\"" : value.atom;
  if (value.items.empty())
    return "()";
  return "(" + abbreviated(value.items[0]) + (value.items.size() > 1 ? " ...)" : ")");
}

bool override_value(Sexp& root, const std::string& path, const std::string& words) {
  const std::vector<PathPart> parts = parse_path(path);
  if (parts.empty())
    return false;
  Sexp* form = &root;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    Sexp* found = find_form(*form, parts[i]);
    const bool may_be_added = i + 1 == parts.size() && parts[i].name.empty();
    if (!found && !may_be_added)
      return false;
    form = found ? found : add_form(*form, parts[i].key);
  }
  replace_words(*form, words);
  return true;
}

}  // namespace robinhoist::settings
