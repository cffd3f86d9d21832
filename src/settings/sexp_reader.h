/// Validating reader of settings and other files that are written as S-expressions.
///
/// A file is a sequence of (key value ...) forms. A SexpReader reads one form key by key. It
/// collects all problems, each with the file, line, path of the key, value and allowed values, and
/// finish() throws them together:
///
///     auto reader = SexpReader::from_file(file);
///     auto cache = reader.child("cache");
///     settings.size = cache.integer("size", 1, 1000, 100);
///     cache.finish();
///     reader.finish();
#pragma once
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "settings/scalar.h"
#include "settings/sexp.h"
#include "settings/validation_error.h"
#include "time/time_types.h"

namespace robinhoist::settings {

/// Reads one form. Copies share the text and its list of problems.
class SexpReader {
 public:
  /// A reader of the top-level forms of a file. Throws ValidationError when the file cannot be read
  /// or parsed.
  static SexpReader from_file(const std::string& file);
  /// The same for a text; messages name `name` as its file.
  static SexpReader from_text(const std::string& text, const std::string& name);

  /// Each of these reads the value of the form (key VALUE), which may be given once. Without a
  /// `fallback` the key is required. If there is a problem, they report it and return an arbitrary
  /// allowed value.
  std::string text(const char* key, const std::optional<std::string>& fallback = {});
  double number(const char* key, double min, double max, std::optional<double> fallback = {});
  int integer(const char* key, int min, int max, std::optional<int> fallback = {});
  Duration duration(const char* key, Duration min, Duration max,
                    std::optional<Duration> fallback = {});
  /// The value is written as yes or no.
  bool boolean(const char* key, std::optional<bool> fallback = {});
  /// The numbers of (key NUMBER ...). The key is optional when `min_count` is 0.
  std::vector<double> numbers(const char* key, double min, double max, std::size_t min_count);
  /// A word that is the name of one of the given values.
  template <class Enum>
  Enum enumerator(const char* key, std::initializer_list<std::pair<const char*, Enum>> names,
                  std::optional<Enum> fallback = {}) {
    const Sexp* value = find_value(key, !fallback);
    if (!value)
      return fallback.value_or(names.begin()->second);
    std::string allowed;
    for (const auto& [name, enumerator] : names) {
      if (value->atom == name)
        return enumerator;
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    add_wrong_value(*value, key, "one of " + allowed);
    return names.begin()->second;
  }

  /// The form (key ...). If it is missing, that is one problem; the keys that it lacks are not
  /// reported.
  SexpReader child(const char* key);
  std::optional<SexpReader> optional_child(const char* key);
  /// All forms with that key, in the order of the file.
  std::vector<SexpReader> children(const char* key, std::size_t min_count = 0);
  /// A word of this form outside its (key value) forms: word 0 of (node a1 (port 1)) is a1. `what`
  /// describes the word in the problem that is reported when it is missing.
  std::string positional(std::size_t index, const char* what);
  std::size_t positional_count() const;

  bool has(const char* key) const;
  /// Reports a problem of this form, or of one of its keys, that the caller has found, such as two
  /// settings that contradict each other.
  void add_problem(const std::string& what) const;
  void add_problem(const char* key, const std::string& what) const;
  /// Reports keys that were not read as unknown. On the top-level reader, it then throws a
  /// ValidationError if there are any problems.
  void finish();

  /// The form (key ...) as text that parses to the same value; empty when there is no such form.
  std::string to_text(const char* key) const;
  /// All forms as text, one per line.
  std::string to_text() const;
  /// The same with the form `key` last and without the forms `left_out` inside it.
  std::string to_text_without(const char* key, const char* left_out) const;
  /// Changes a value before any value is read; see settings::override_value().
  bool override_value(const std::string& path, const std::string& words);

 private:
  SexpReader(std::shared_ptr<Sexp> root, const Sexp* form, std::shared_ptr<ProblemList> problems,
             std::string path, bool is_root);
  const Sexp* find_value(const char* key, bool is_required);
  const Sexp* find_form(const char* key, bool is_required);
  SexpReader reader_of(const Sexp* form, const std::string& key) const;
  std::string path_of(const std::string& key) const;
  void add_wrong_value(const Sexp& value, const std::string& key, const std::string& allowed) const;
  void add_problem_at(const Sexp& value, const std::string& path, const std::string& what) const;

  std::shared_ptr<Sexp> root_;  ///< Owns the tree that form_ points into.
  const Sexp* form_;
  std::shared_ptr<ProblemList> problems_;
  std::string path_;
  bool is_root_;
  std::vector<std::string> read_keys_{};
};

}  // namespace robinhoist::settings
