/// Checked reading of settings and other files that are written as S-expressions.
///
/// A file is a sequence of (key value ...) forms. A SexpReader reads one form key by key. Whatever
/// is wrong is collected, each problem with file, line, path of the key, value and what is allowed,
/// and finish() throws all of them together:
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

/// Reads one form. Copies share the text and its problems; the text lives as long as any of them.
class SexpReader {
 public:
  /// A reader of all forms of a file. Throws ValidationError when it cannot be read or parsed.
  static SexpReader from_file(const std::string& file);
  /// The same for a text; `name` stands for its file in messages.
  static SexpReader from_text(const std::string& text, const std::string& name);

  /// Each reads the value of the form (key VALUE), which may be given once. Without a `fallback`
  /// the key is required. After a problem they return some allowed value.
  std::string text(const char* key, const std::optional<std::string>& fallback = {});
  double number(const char* key, double min, double max, std::optional<double> fallback = {});
  int integer(const char* key, int min, int max, std::optional<int> fallback = {});
  Duration duration(const char* key, Duration min, Duration max,
                    std::optional<Duration> fallback = {});
  /// Written as yes or no.
  bool boolean(const char* key, std::optional<bool> fallback = {});
  /// The numbers of (key NUMBER ...); optional when `min_count` is 0.
  std::vector<double> numbers(const char* key, double min, double max, std::size_t min_count);
  /// A word that names one of the given values.
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

  /// The form (key ...). A missing one is reported once; its own keys are not.
  SexpReader child(const char* key);
  std::optional<SexpReader> optional_child(const char* key);
  /// All forms with that key, in their order.
  std::vector<SexpReader> children(const char* key, std::size_t min_count = 0);
  /// The words of this form that are no (key value) forms: of (node a1 (port 1)) the word 0 is a1.
  /// `what` names a missing one in its problem.
  std::string positional(std::size_t index, const char* what);
  std::size_t positional_count() const;

  bool has(const char* key) const;
  /// A problem that only the caller can see, such as two settings at odds; of this form or of one
  /// of its keys.
  void add_problem(const std::string& what) const;
  void add_problem(const char* key, const std::string& what) const;
  /// Reports keys that were not read. On the reader of the whole file it then throws a
  /// ValidationError if there were any problems.
  void finish();

  /// The form (key ...) as text that parses to the same; empty when there is none.
  std::string to_text(const char* key) const;
  /// All forms as text, a line each.
  std::string to_text() const;
  /// The same with the form `key` last, and without its forms `left_out`.
  std::string to_text_without(const char* key, const char* left_out) const;
  /// Changes a value before anything is read; see settings::override_value().
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

  std::shared_ptr<Sexp> root_;  ///< Owns form_.
  const Sexp* form_;
  std::shared_ptr<ProblemList> problems_;
  std::string path_;
  bool is_root_;
  std::vector<std::string> read_keys_{};
};

}  // namespace robinhoist::settings
