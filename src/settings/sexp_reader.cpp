#include "settings/sexp_reader.h"

#include <sfsexp/sexp.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <cstring>
#include <fstream>
#include <iterator>
#include <sstream>

namespace robinhoist::settings {
namespace {

constexpr int deepest = 64;
constexpr std::size_t largest = 4u << 20;

[[noreturn]] void refuse(const std::string& file, int line, const std::string& what) {
  throw ValidationError(file + ":" + std::to_string(line) + ": " + what, 1);
}

// The line of each element, in the order in which a parser meets them; refuses what does not
// balance, so that the parser only sees whole forms.
std::vector<int> lines_of(const std::string& text, const std::string& file) {
  std::vector<int> lines, open;
  int line = 1;
  bool in_atom = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    char c = text[i];
    if (c == '\n')
      ++line;
    if (c == ';') {
      while (i + 1 < text.size() && text[i + 1] != '\n')
        ++i;
      in_atom = false;
    } else if (std::isspace(static_cast<unsigned char>(c))) {
      in_atom = false;
    } else if (c == '(') {
      in_atom = false;
      lines.push_back(line);
      open.push_back(line);
      if (open.size() > deepest)
        refuse(file, line, "forms nested deeper than " + std::to_string(deepest));
    } else if (c == ')') {
      in_atom = false;
      if (open.empty())
        refuse(file, line, "a ) closes nothing");
      open.pop_back();
    } else if (c == '"') {
      if (in_atom)
        refuse(file, line, "a quote inside a word");
      int from = line;
      lines.push_back(line);
      for (++i; i < text.size() && text[i] != '"'; ++i) {
        if (text[i] == '\n')
          ++line;
        if (text[i] == '\\')
          ++i;
      }
      if (i >= text.size())
        refuse(file, from, "a quoted text never ends");
      if (i + 1 < text.size() && !std::isspace(static_cast<unsigned char>(text[i + 1])) &&
          !std::strchr("();", text[i + 1]))
        refuse(file, line, "something stands straight after a quoted text");
    } else if (c == '\'' || c == '#' || c == '\\' || static_cast<unsigned char>(c) < ' ' ||
               static_cast<unsigned char>(c) >= 0x7f) {
      refuse(file, line, "a character that has no meaning here; put text in quotes");
    } else if (!in_atom) {
      in_atom = true;
      lines.push_back(line);
    }
  }
  if (!open.empty())
    refuse(file, open.back(), "a ( that nothing closes");
  return lines;
}

void take(const sexp_t* from, Value& into, int file, const std::vector<int>& lines,
          std::size_t& next) {
  into.file = file;
  into.line = next < lines.size() ? lines[next] : 0;
  ++next;
  into.list = from->ty == SEXP_LIST;
  if (!into.list) {
    into.quoted = from->aty == SEXP_DQUOTE;
    into.atom = from->val ? std::string(from->val) : "";
    return;
  }
  for (const sexp_t* at = from->list; at; at = at->next) {
    into.items.emplace_back();
    take(at, into.items.back(), file, lines, next);
  }
}

std::string shown(const Value& value) {
  if (!value.list)
    return value.quoted ? "\"" + value.atom + "\"" : value.atom;
  return value.items.empty()
             ? "()"
             : "(" + shown(value.items[0]) + (value.items.size() > 1 ? " ...)" : ")");
}

bool keyed(const Value& value) {
  return value.list && !value.items.empty() && !value.items[0].list && !value.items[0].quoted;
}

std::string plain(double value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

std::string plain(Duration span) {
  double ms = std::chrono::duration<double, std::milli>(span).count();
  return ms >= 1000 ? plain(ms / 1000) + "s" : plain(ms) + "ms";
}

}  // namespace

std::optional<double> parse_number(const std::string& word) {
  double value = 0;
  auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  if (error != std::errc{} || end != word.data() + word.size() || !std::isfinite(value))
    return {};
  return value;
}

std::optional<Duration> parse_duration(const std::string& word) {
  static constexpr std::pair<const char*, double> units[] = {
      {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 6e7}, {"h", 3.6e9}};
  for (auto& [unit, us] : units) {
    std::size_t length = std::strlen(unit);
    if (word.size() <= length || word.compare(word.size() - length, length, unit) != 0)
      continue;
    auto value = parse_number(word.substr(0, word.size() - length));
    if (value && std::abs(*value * us) < 1e15)
      return Duration(std::llround(*value * us));
  }
  return {};
}

namespace {

std::string content_of(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()) || in.bad())
    throw ValidationError(file + ": can't be read", 1);
  return text.str();
}

// The forms of a text, after the empty key in front; includes are put in their place.
Value parsed(const std::string& text, const std::string& name, Source& source) {
  if (source.files.size() > 16)
    throw ValidationError(name + ": more than 16 files include each other", 1);
  source.files.push_back(name);
  const int file = static_cast<int>(source.files.size()) - 1;
  if (text.size() > largest)
    throw ValidationError(name + ": larger than 4 MiB", 1);
  std::vector<int> lines = lines_of(text, name);
  if (lines.empty())
    throw ValidationError(name + ": holds nothing", 1);
  std::string whole = "(" + text + "\n)";
  sexp_t* tree = parse_sexp(whole.data(), whole.size());
  if (!tree)
    throw ValidationError(name + ": does not parse", 1);
  Value root;
  lines.insert(lines.begin(), 1);
  std::size_t next = 0;
  take(tree, root, file, lines, next);
  destroy_sexp(tree);
  if (next != lines.size())
    throw ValidationError(name + ": does not parse", 1);
  Value out{.line = 1, .file = file, .list = true};
  out.items.push_back(Value{.line = 1, .file = file});  // in place of a key
  for (Value& item : root.items) {
    if (!keyed(item) || item.items[0].atom != "include") {
      out.items.push_back(std::move(item));
      continue;
    }
    if (item.items.size() != 2 || item.items[1].list)
      refuse(name, item.line, "include: wants one file name");
    std::string other = item.items[1].atom;
    const std::size_t slash = name.rfind('/');
    if (other.substr(0, 1) != "/" && slash != std::string::npos)
      other = name.substr(0, slash + 1) + other;
    Value inner = parsed(content_of(other), other, source);
    std::move(inner.items.begin() + 1, inner.items.end(), std::back_inserter(out.items));
  }
  return out;
}

}  // namespace

SexpReader SexpReader::from_file(const std::string& file) {
  return from_text(content_of(file), file);
}

SexpReader SexpReader::from_text(const std::string& text, const std::string& name) {
  auto source = std::make_shared<Source>();
  auto root = std::make_shared<Value>(parsed(text, name, *source));
  return SexpReader(root, root.get(), source, "", true);
}

SexpReader::SexpReader(std::shared_ptr<Value> root, const Value* value,
                       std::shared_ptr<Source> source, std::string path, bool top)
    : root_(std::move(root)),
      value_(value),
      source_(std::move(source)),
      path_(std::move(path)),
      top_(top) {}

SexpReader SexpReader::inner(const Value* value, const std::string& path) {
  return SexpReader(root_, value, source_, path_.empty() ? path : path_ + "." + path, false);
}

void SexpReader::report(const Value& at, const std::string& path, const std::string& what) const {
  source_->problems.push_back(source_->files.at(at.file) + ":" + std::to_string(at.line) + ": " +
                              (path.empty() ? "" : path + ": ") + what);
}

void SexpReader::wrong(const Value& at, const std::string& key, const std::string& allowed) const {
  report(at, path_.empty() ? key : path_ + "." + key, shown(at) + " is not " + allowed);
}

void SexpReader::add_problem(const std::string& what) const {
  report(*value_, path_, what);
}

void SexpReader::add_problem(const char* key, const std::string& what) const {
  for (const Value& item : value_->items)
    if (keyed(item) && item.items[0].atom == key)
      return report(item, path_.empty() ? key : path_ + "." + key, what);
  add_problem(what);
}

bool SexpReader::has(const char* key) const {
  return std::any_of(value_->items.begin() + 1, value_->items.end(),
                     [&](const Value& item) { return keyed(item) && item.items[0].atom == key; });
}

namespace {
void write(const Value& value, std::string& to) {
  if (value.list) {
    to += '(';
    for (const Value& item : value.items) {
      if (to.back() != '(')
        to += ' ';
      write(item, to);
    }
    to += ')';
  } else if (!value.quoted) {
    to += value.atom;
  } else {
    to += '"';
    for (char c : value.atom) {
      if (c == '"' || c == '\\')
        to += '\\';
      to += c;
    }
    to += '"';
  }
}
}  // namespace

std::string SexpReader::to_text(const char* key) const {
  std::string text;
  for (std::size_t i = 1; i < value_->items.size() && text.empty(); ++i)
    if (keyed(value_->items[i]) && value_->items[i].items[0].atom == key)
      write(value_->items[i], text);
  return text;
}

std::string SexpReader::to_text() const {
  std::string text;
  for (std::size_t i = 1; i < value_->items.size(); ++i) {
    write(value_->items[i], text);
    text += '\n';
  }
  return text;
}

std::string SexpReader::to_text_without(const char* key, const char* left_out) const {
  std::string text, last;
  for (std::size_t i = 1; i < value_->items.size(); ++i) {
    const Value& item = value_->items[i];
    if (!keyed(item) || item.items[0].atom != key) {
      write(item, text);
      text += '\n';
      continue;
    }
    Value rest = item;
    std::erase_if(rest.items,
                  [&](const Value& one) { return keyed(one) && one.items[0].atom == left_out; });
    write(rest, last);
  }
  return text + last + "\n";
}

bool SexpReader::override_value(const std::string& path, const std::string& words) {
  Value* at = root_.get();
  std::istringstream steps(path);
  std::string step;
  std::vector<std::string> all;
  while (std::getline(steps, step, '.'))
    all.push_back(step);
  if (all.empty())
    return false;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const std::size_t open = all[i].find('[');
    const std::string key = all[i].substr(0, open);
    const std::string own =
        open == std::string::npos ? "" : all[i].substr(open + 1, all[i].size() - open - 2);
    Value* found = nullptr;
    for (std::size_t k = 1; k < at->items.size() && !found; ++k) {
      Value& item = at->items[k];
      if (!keyed(item) || item.items[0].atom != key)
        continue;
      if (own.empty() || (item.items.size() > 1 && item.items[1].atom == own))
        found = &item;
    }
    const bool last = i + 1 == all.size();
    if (!found && (!last || !own.empty()))
      return false;
    if (!found) {
      Value added;
      added.list = true;
      added.line = at->line;
      added.file = at->file;
      Value name;
      name.atom = key;
      added.items.push_back(name);
      at->items.push_back(added);
      found = &at->items.back();
    }
    if (last) {
      // The name stays, the words after it are replaced.
      found->items.resize(1);
      std::istringstream in(words);
      for (std::string word; in >> word;) {
        Value value;
        value.line = found->line;
        value.file = found->file;
        value.atom = word;
        found->items.push_back(value);
      }
    }
    at = found;
  }
  return true;
}

const Value* SexpReader::one(const char* key, bool needed) {
  const Value* value = scalar(key, needed);
  if (value && value->items.size() == 2 && !value->items[1].list)
    return &value->items[1];
  if (value)
    wrong(*value, key, "(" + std::string(key) + " VALUE)");
  return nullptr;
}

const Value* SexpReader::scalar(const char* key, bool needed) {
  asked_.push_back(key);
  const Value* found = nullptr;
  for (std::size_t i = 1; i < value_->items.size(); ++i) {
    const Value& item = value_->items[i];
    if (!keyed(item) || item.items[0].atom != key)
      continue;
    if (found) {
      report(item, path_.empty() ? key : path_ + "." + key,
             "given twice; first on line " + std::to_string(found->line));
      continue;
    }
    found = &item;
  }
  if (!found && needed)
    report(*value_, path_.empty() ? key : path_ + "." + key, "is missing");
  return found;
}

std::string SexpReader::text(const char* key, std::optional<std::string> absent) {
  const Value* value = one(key, !absent);
  if (!value)
    return absent.value_or("");
  if (value->atom.empty() && !absent)
    wrong(*value, key, "a text");
  return value->atom;
}

double SexpReader::number(const char* key, double least, double most,
                          std::optional<double> absent) {
  const Value* value = one(key, !absent);
  if (!value)
    return absent.value_or(least);
  auto read = value->quoted ? std::nullopt : parse_number(value->atom);
  if (read && *read >= least && *read <= most)
    return *read;
  wrong(*value, key, "a number from " + plain(least) + " to " + plain(most));
  return least;
}

int SexpReader::integer(const char* key, int least, int most, std::optional<int> absent) {
  const Value* value = one(key, !absent);
  if (!value)
    return absent.value_or(least);
  auto read = value->quoted ? std::nullopt : parse_number(value->atom);
  if (read && *read >= least && *read <= most && *read == std::floor(*read))
    return static_cast<int>(*read);
  wrong(*value, key,
        "a whole number from " + std::to_string(least) + " to " + std::to_string(most));
  return least;
}

Duration SexpReader::duration(const char* key, Duration least, Duration most,
                              std::optional<Duration> absent) {
  const Value* value = one(key, !absent);
  if (!value)
    return absent.value_or(least);
  auto read = value->quoted ? std::nullopt : parse_duration(value->atom);
  if (read && *read >= least && *read <= most)
    return *read;
  wrong(*value, key, "a span such as 250ms, from " + plain(least) + " to " + plain(most));
  return least;
}

bool SexpReader::boolean(const char* key, std::optional<bool> absent) {
  return enumerator<bool>(key, {{"no", false}, {"yes", true}}, absent);
}

std::vector<double> SexpReader::numbers(const char* key, double least, double most,
                                        std::size_t least_count) {
  std::vector<double> read;
  const Value* value = scalar(key, least_count > 0);
  if (!value)
    return read;
  for (std::size_t i = 1; i < value->items.size(); ++i) {
    const Value& item = value->items[i];
    auto number = item.list || item.quoted ? std::nullopt : parse_number(item.atom);
    if (number && *number >= least && *number <= most)
      read.push_back(*number);
    else
      wrong(item, key, "a number from " + plain(least) + " to " + plain(most));
  }
  if (read.size() < least_count)
    wrong(*value, key, "a list of " + std::to_string(least_count) + " or more");
  return read;
}

SexpReader SexpReader::child(const char* key) {
  const Value* value = scalar(key, true);
  static const Value nothing{.list = true, .items = {Value{}}};
  // What a missing form lacks is not reported once more, key by key.
  if (!value) {
    SexpReader empty = inner(&nothing, key);
    empty.source_ = std::make_shared<Source>(Source{.files = {""}});
    return empty;
  }
  return inner(value, key);
}

std::optional<SexpReader> SexpReader::optional_child(const char* key) {
  const Value* value = scalar(key, false);
  if (!value)
    return {};
  return inner(value, key);
}

std::vector<SexpReader> SexpReader::children(const char* key, std::size_t least_count) {
  asked_.push_back(key);
  std::vector<SexpReader> found;
  for (std::size_t i = 1; i < value_->items.size(); ++i) {
    const Value& item = value_->items[i];
    if (!keyed(item) || item.items[0].atom != key)
      continue;
    std::string name = item.items.size() > 1 && !item.items[1].list ? item.items[1].atom
                                                                    : std::to_string(found.size());
    found.push_back(inner(&item, std::string(key) + "[" + name + "]"));
  }
  if (found.size() < least_count)
    report(*value_, path_.empty() ? key : path_ + "." + key,
           std::to_string(found.size()) + " given, " + std::to_string(least_count) +
               " needed at least");
  return found;
}

std::size_t SexpReader::positional_count() const {
  std::size_t count = 0;
  for (std::size_t i = 1; i < value_->items.size(); ++i)
    count += !value_->items[i].list;
  return count;
}

std::string SexpReader::positional(std::size_t index, const char* what) {
  for (std::size_t i = 1; i < value_->items.size(); ++i) {
    if (value_->items[i].list)
      continue;
    if (index-- == 0)
      return value_->items[i].atom;
  }
  add_problem(std::string("lacks ") + what);
  return "";
}

std::vector<std::pair<std::string, SexpReader>> SexpReader::all_children() {
  std::vector<std::pair<std::string, SexpReader>> forms;
  for (std::size_t i = 1; i < value_->items.size(); ++i) {
    const Value& item = value_->items[i];
    if (!item.list)
      continue;
    if (!keyed(item)) {
      report(item, path_, shown(item) + " is not a (key ...) form");
      continue;
    }
    asked_.push_back(item.items[0].atom);
    forms.emplace_back(item.items[0].atom, inner(&item, item.items[0].atom));
  }
  return forms;
}

void SexpReader::finish() {
  for (std::size_t i = 1; i < value_->items.size(); ++i) {
    const Value& item = value_->items[i];
    if (!item.list && !top_)
      continue;
    if (!keyed(item)) {
      report(item, path_, shown(item) + " is not a (key value) form");
    } else if (std::find(asked_.begin(), asked_.end(), item.items[0].atom) == asked_.end()) {
      report(item, path_.empty() ? item.items[0].atom : path_ + "." + item.items[0].atom,
             "unknown key");
    }
  }
  if (!top_ || source_->problems.empty())
    return;
  std::string all;
  for (const std::string& problem : source_->problems)
    all += (all.empty() ? "" : "\n") + problem;
  throw ValidationError(all, static_cast<int>(source_->problems.size()));
}

}  // namespace robinhoist::settings
