#include "settings/sexp_parser.h"

#include <sfsexp/sexp.h>

#include <cctype>
#include <cstring>
#include <fstream>
#include <iterator>
#include <memory>
#include <sstream>

namespace robinhoist::settings {
namespace {

constexpr int max_depth = 64;
constexpr std::size_t max_text_size = 4u << 20;
constexpr std::size_t max_files = 17;

bool is_space(char c) {
  return std::isspace(static_cast<unsigned char>(c)) != 0;
}

/// Finds the line of each value, in the order in which a parser reaches them, because sfsexp keeps
/// no positions. Also rejects unbalanced parentheses and text that sfsexp would misread.
class LineScanner {
 public:
  LineScanner(const std::string& text, const std::string& file) : text_(text), file_(file) {}

  std::vector<int> scan() {
    for (position_ = 0; position_ < text_.size(); ++position_)
      scan_character(text_[position_]);
    if (!open_lines_.empty())
      throw_syntax_error(file_, open_lines_.back(), "unclosed (");
    return std::move(value_lines_);
  }

 private:
  void scan_character(char c) {
    if (c == '\n')
      ++line_;
    if (is_space(c) || c == ';' || c == '(' || c == ')') {
      in_word_ = false;
      scan_delimiter(c);
    } else if (c == '"') {
      scan_quoted();
    } else if (is_invalid(c)) {
      throw_error("invalid character outside a quoted string");
    } else if (!in_word_) {
      in_word_ = true;
      value_lines_.push_back(line_);
    }
  }

  void scan_delimiter(char c) {
    if (c == ';') {
      while (position_ + 1 < text_.size() && text_[position_ + 1] != '\n')
        ++position_;
    } else if (c == '(') {
      value_lines_.push_back(line_);
      open_lines_.push_back(line_);
      if (open_lines_.size() > max_depth)
        throw_error("forms nested deeper than " + std::to_string(max_depth));
    } else if (c == ')') {
      if (open_lines_.empty())
        throw_error("unmatched )");
      open_lines_.pop_back();
    }
  }

  void scan_quoted() {
    if (in_word_)
      throw_error("quote inside a word");
    const int first_line = line_;
    value_lines_.push_back(line_);
    for (++position_; position_ < text_.size() && text_[position_] != '"'; ++position_) {
      if (text_[position_] == '\n')
        ++line_;
      if (text_[position_] == '\\')
        ++position_;
    }
    if (position_ >= text_.size())
      throw_syntax_error(file_, first_line, "unterminated quoted string");
    if (position_ + 1 < text_.size() && !may_follow_quoted(text_[position_ + 1]))
      throw_error("missing separator after a quoted string");
  }

  static bool may_follow_quoted(char c) { return is_space(c) || std::strchr("();", c); }

  static bool is_invalid(char c) {
    const auto code = static_cast<unsigned char>(c);
    return c == '\'' || c == '#' || c == '\\' || code < ' ' || code >= 0x7f;
  }

  [[noreturn]] void throw_error(const std::string& what) const {
    throw_syntax_error(file_, line_, what);
  }

  const std::string& text_;
  const std::string& file_;
  std::size_t position_ = 0;
  int line_ = 1;
  bool in_word_ = false;
  std::vector<int> value_lines_{};
  std::vector<int> open_lines_{};
};

/// Converts sfsexp's tree, taking the lines in the order of the scan.
class TreeConverter {
 public:
  TreeConverter(int file, const std::vector<int>& lines) : file_(file), lines_(lines) {}

  Sexp convert(const sexp_t* from) {
    Sexp value;
    value.file = file_;
    value.line = next_ < lines_.size() ? lines_[next_] : 0;
    ++next_;
    value.is_list = from->ty == SEXP_LIST;
    if (!value.is_list) {
      value.is_quoted = from->aty == SEXP_DQUOTE;
      value.atom = from->val ? std::string(from->val) : "";
      return value;
    }
    for (const sexp_t* item = from->list; item; item = item->next)
      value.items.push_back(convert(item));
    return value;
  }

  /// Whether each line has been assigned to a value.
  bool has_used_all_lines() const { return next_ == lines_.size(); }

 private:
  int file_;
  const std::vector<int>& lines_;
  std::size_t next_ = 0;
};

struct TreeDeleter {
  void operator()(sexp_t* tree) const { destroy_sexp(tree); }
};

/// Parses the forms of one file into one list.
Sexp parse_forms(const std::string& text, const std::string& name, int file) {
  if (text.size() > max_text_size)
    throw ValidationError(name + ": larger than 4 MiB", 1);
  std::vector<int> lines = LineScanner(text, name).scan();
  if (lines.empty())
    throw ValidationError(name + ": contains no forms", 1);
  std::string list = "(" + text + "\n)";
  const std::unique_ptr<sexp_t, TreeDeleter> tree(parse_sexp(list.data(), list.size()));
  if (!tree)
    throw ValidationError(name + ": does not parse", 1);
  lines.insert(lines.begin(), 1);
  TreeConverter converter(file, lines);
  Sexp forms = converter.convert(tree.get());
  if (!converter.has_used_all_lines())
    throw ValidationError(name + ": does not parse", 1);
  return forms;
}

/// The name of an included file, relative to the file that includes it.
std::string included_name(const Sexp& include, const std::string& name) {
  if (include.items.size() != 2 || include.items[1].is_list)
    throw_syntax_error(name, include.line, "include: expects one file name");
  const std::string& other = include.items[1].atom;
  const std::size_t slash = name.rfind('/');
  if (other.starts_with('/') || slash == std::string::npos)
    return other;
  return name.substr(0, slash + 1) + other;
}

}  // namespace

std::string read_file(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()) || in.bad())
    throw ValidationError(file + ": can't be read", 1);
  return text.str();
}

Sexp parse_sexp_text(const std::string& text, const std::string& name, ProblemList& problems) {
  if (problems.file_count() >= max_files)
    throw ValidationError(name + ": more than 16 included files", 1);
  const int file = problems.add_file(name);
  Sexp root{.line = 1, .file = file, .is_list = true};
  root.items.push_back(Sexp{.line = 1, .file = file});  // The empty key.
  for (Sexp& form : parse_forms(text, name, file).items) {
    if (!form.has_key("include")) {
      root.items.push_back(std::move(form));
      continue;
    }
    const std::string other = included_name(form, name);
    Sexp included = parse_sexp_text(read_file(other), other, problems);
    std::move(included.items.begin() + 1, included.items.end(), std::back_inserter(root.items));
  }
  return root;
}

}  // namespace robinhoist::settings
