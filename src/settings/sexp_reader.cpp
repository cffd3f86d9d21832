#include "settings/sexp_reader.h"

#include <algorithm>
#include <cmath>

#include "settings/sexp_parser.h"

namespace robinhoist::settings {

SexpReader SexpReader::from_file(const std::string& file) {
  return from_text(read_file(file), file);
}

SexpReader SexpReader::from_text(const std::string& text, const std::string& name) {
  auto problems = std::make_shared<ProblemList>();
  auto root = std::make_shared<Sexp>(parse_sexp_text(text, name, *problems));
  const Sexp* form = root.get();
  return {std::move(root), form, std::move(problems), "", true};
}

SexpReader::SexpReader(std::shared_ptr<Sexp> root, const Sexp* form,
                       std::shared_ptr<ProblemList> problems, std::string path, bool is_root)
    : root_(std::move(root)),
      form_(form),
      problems_(std::move(problems)),
      path_(std::move(path)),
      is_root_(is_root) {}

SexpReader SexpReader::reader_of(const Sexp* form, const std::string& key) const {
  return {root_, form, problems_, path_of(key), false};
}

std::string SexpReader::path_of(const std::string& key) const {
  return path_.empty() ? key : path_ + "." + key;
}

void SexpReader::add_problem_at(const Sexp& value, const std::string& path,
                                const std::string& what) const {
  problems_->add(value.file, value.line, path, what);
}

void SexpReader::add_wrong_value(const Sexp& value, const std::string& key,
                                 const std::string& allowed) const {
  add_problem_at(value, path_of(key), abbreviated(value) + " is not " + allowed);
}

void SexpReader::add_problem(const std::string& what) const {
  add_problem_at(*form_, path_, what);
}

void SexpReader::add_problem(const char* key, const std::string& what) const {
  const auto found = std::find_if(form_->items.begin(), form_->items.end(),
                                  [&](const Sexp& item) { return item.has_key(key); });
  if (found != form_->items.end())
    add_problem_at(*found, path_of(key), what);
  else
    add_problem(what);
}

bool SexpReader::has(const char* key) const {
  return std::any_of(form_->items.begin() + 1, form_->items.end(),
                     [&](const Sexp& item) { return item.has_key(key); });
}

std::string SexpReader::to_text(const char* key) const {
  const auto found = std::find_if(form_->items.begin() + 1, form_->items.end(),
                                  [&](const Sexp& item) { return item.has_key(key); });
  return found == form_->items.end() ? "" : settings::to_text(*found);
}

std::string SexpReader::to_text() const {
  std::string text;
  for (std::size_t i = 1; i < form_->items.size(); ++i)
    text += settings::to_text(form_->items[i]) + '\n';
  return text;
}

std::string SexpReader::to_text_without(const char* key, const char* left_out) const {
  std::string text;
  std::string last;
  for (std::size_t i = 1; i < form_->items.size(); ++i) {
    const Sexp& item = form_->items[i];
    if (!item.has_key(key)) {
      text += settings::to_text(item) + '\n';
      continue;
    }
    Sexp reduced = item;
    std::erase_if(reduced.items, [&](const Sexp& inner) { return inner.has_key(left_out); });
    last += settings::to_text(reduced);
  }
  return text + last + "\n";
}

bool SexpReader::override_value(const std::string& path, const std::string& words) {
  return settings::override_value(*root_, path, words);
}

/// Returns the form with that key, and reports a duplicate.
const Sexp* SexpReader::find_form(const char* key, bool is_required) {
  read_keys_.emplace_back(key);
  const Sexp* found = nullptr;
  for (std::size_t i = 1; i < form_->items.size(); ++i) {
    const Sexp& item = form_->items[i];
    if (!item.has_key(key))
      continue;
    if (found)
      add_problem_at(item, path_of(key),
                     "duplicate key; first given on line " + std::to_string(found->line));
    else
      found = &item;
  }
  if (!found && is_required)
    add_problem_at(*form_, path_of(key), "is missing");
  return found;
}

/// Returns the value of (key VALUE).
const Sexp* SexpReader::find_value(const char* key, bool is_required) {
  const Sexp* form = find_form(key, is_required);
  if (!form)
    return nullptr;
  if (form->items.size() == 2 && !form->items[1].is_list)
    return &form->items[1];
  add_wrong_value(*form, key, "(" + std::string(key) + " VALUE)");
  return nullptr;
}

std::string SexpReader::text(const char* key, const std::optional<std::string>& fallback) {
  const Sexp* value = find_value(key, !fallback);
  if (!value)
    return fallback.value_or("");
  if (value->atom.empty() && !fallback)
    add_wrong_value(*value, key, "a non-empty string");
  return value->atom;
}

double SexpReader::number(const char* key, double min, double max, std::optional<double> fallback) {
  const Sexp* value = find_value(key, !fallback);
  if (!value)
    return fallback.value_or(min);
  const auto number = value->is_quoted ? std::nullopt : parse_number(value->atom);
  if (number && *number >= min && *number <= max)
    return *number;
  add_wrong_value(*value, key, "a number from " + format_number(min) + " to " + format_number(max));
  return min;
}

int SexpReader::integer(const char* key, int min, int max, std::optional<int> fallback) {
  const Sexp* value = find_value(key, !fallback);
  if (!value)
    return fallback.value_or(min);
  const auto number = value->is_quoted ? std::nullopt : parse_number(value->atom);
  if (number && *number >= min && *number <= max && *number == std::floor(*number))
    return static_cast<int>(*number);
  add_wrong_value(*value, key,
                  "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
  return min;
}

Duration SexpReader::duration(const char* key, Duration min, Duration max,
                              std::optional<Duration> fallback) {
  const Sexp* value = find_value(key, !fallback);
  if (!value)
    return fallback.value_or(min);
  const auto duration = value->is_quoted ? std::nullopt : parse_duration(value->atom);
  if (duration && *duration >= min && *duration <= max)
    return *duration;
  add_wrong_value(
      *value, key,
      "a duration such as 250ms, from " + format_duration(min) + " to " + format_duration(max));
  return min;
}

bool SexpReader::boolean(const char* key, std::optional<bool> fallback) {
  return enumerator<bool>(key, {{"no", false}, {"yes", true}}, fallback);
}

std::vector<double> SexpReader::numbers(const char* key, double min, double max,
                                        std::size_t min_count) {
  std::vector<double> numbers;
  const Sexp* form = find_form(key, min_count > 0);
  if (!form)
    return numbers;
  for (std::size_t i = 1; i < form->items.size(); ++i) {
    const Sexp& item = form->items[i];
    const bool is_word = !item.is_list && !item.is_quoted;
    const auto number = is_word ? parse_number(item.atom) : std::nullopt;
    if (number && *number >= min && *number <= max)
      numbers.push_back(*number);
    else
      add_wrong_value(item, key,
                      "a number from " + format_number(min) + " to " + format_number(max));
  }
  if (numbers.size() < min_count)
    add_wrong_value(*form, key, "a list of at least " + std::to_string(min_count) + " numbers");
  return numbers;
}

SexpReader SexpReader::child(const char* key) {
  if (const Sexp* form = find_form(key, true))
    return reader_of(form, key);
  // Reads an empty form instead of the missing one, and discards the problems found in it.
  static const Sexp empty_form{.is_list = true, .items = {Sexp{}}};
  SexpReader reader = reader_of(&empty_form, key);
  reader.problems_ = std::make_shared<ProblemList>();
  reader.problems_->add_file("");
  return reader;
}

std::optional<SexpReader> SexpReader::optional_child(const char* key) {
  const Sexp* form = find_form(key, false);
  if (!form)
    return {};
  return reader_of(form, key);
}

std::vector<SexpReader> SexpReader::children(const char* key, std::size_t min_count) {
  read_keys_.emplace_back(key);
  std::vector<SexpReader> children;
  for (std::size_t i = 1; i < form_->items.size(); ++i) {
    const Sexp& item = form_->items[i];
    if (!item.has_key(key))
      continue;
    const bool has_name = item.items.size() > 1 && !item.items[1].is_list;
    const std::string name = has_name ? item.items[1].atom : std::to_string(children.size());
    children.push_back(reader_of(&item, std::string(key) + "[" + name + "]"));
  }
  if (children.size() < min_count)
    add_problem_at(*form_, path_of(key),
                   std::to_string(children.size()) + " given, at least " +
                       std::to_string(min_count) + " required");
  return children;
}

std::size_t SexpReader::positional_count() const {
  return static_cast<std::size_t>(std::count_if(form_->items.begin() + 1, form_->items.end(),
                                                [](const Sexp& item) { return !item.is_list; }));
}

std::string SexpReader::positional(std::size_t index, const char* what) {
  for (std::size_t i = 1; i < form_->items.size(); ++i) {
    const Sexp& item = form_->items[i];
    if (item.is_list)
      continue;
    if (index == 0)
      return item.atom;
    --index;
  }
  add_problem(std::string("lacks ") + what);
  return "";
}

void SexpReader::finish() {
  for (std::size_t i = 1; i < form_->items.size(); ++i) {
    const Sexp& item = form_->items[i];
    if (!item.is_list && !is_root_)
      continue;
    if (!item.has_key()) {
      add_problem_at(item, path_, abbreviated(item) + " is not a (key value) form");
      continue;
    }
    if (std::find(read_keys_.begin(), read_keys_.end(), item.key()) == read_keys_.end())
      add_problem_at(item, path_of(item.key()), "unknown key");
  }
  if (is_root_)
    problems_->throw_if_any();
}

}  // namespace robinhoist::settings
