// Settings and other files of the program, written as S-expressions: (key value ...) forms, `;`
// comments, "quoted" text, durations such as 250ms, 1.5s or 2m. A Form is read key by key; what is
// wrong is gathered, each with file, line, path of the key, the value and what is allowed, and
// thrown together by finish(). A top (include "other.conf") stands for the forms of that file,
// whose name is relative to its own. sfsexp parses; it keeps no positions, so the lines come from a
// scan of the same text.
#pragma once
#include <chrono>
#include <initializer_list>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "time/time_types.h"

namespace robinhoist::settings {

struct Value {
  int line = 0, file = 0;  // file: its place among the source's
  bool list = false, quoted = false;
  std::string atom{};
  std::vector<Value> items{};
};

// All that is wrong with a file, one problem a line.
struct ValidationError : std::runtime_error {
  ValidationError(std::string text, int count)
      : std::runtime_error(std::move(text)), problems(count) {}
  int problems;
};

struct Source {
  std::vector<std::string> files{};
  std::vector<std::string> problems{};
};

class SexpReader {
 public:
  // The file's forms as one form; throws Invalid when the text does not parse or the file can't be
  // read.
  static SexpReader from_file(const std::string& file);
  static SexpReader from_text(const std::string& text, const std::string& name);

  // Each reads (key value), once. Without `absent` the key must be there.
  std::string text(const char* key, std::optional<std::string> absent = {});
  double number(const char* key, double least, double most, std::optional<double> absent = {});
  int integer(const char* key, int least, int most, std::optional<int> absent = {});
  Duration duration(const char* key, Duration least, Duration most,
                    std::optional<Duration> absent = {});
  bool boolean(const char* key, std::optional<bool> absent = {});
  std::vector<double> numbers(const char* key, double least, double most, std::size_t least_count);
  template <class T>
  T enumerator(const char* key, std::initializer_list<std::pair<const char*, T>> words,
               std::optional<T> absent = {}) {
    std::string allowed;
    const Value* value = one(key, !absent);
    if (!value)
      return absent.value_or(words.begin()->second);
    for (auto& [name, meant] : words) {
      if (value->atom == name)
        return meant;
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    wrong(*value, key, "one of " + allowed);
    return words.begin()->second;
  }

  // The one form (key ...), or each of those with that key; the words straight after the key are
  // `name(i)`.
  SexpReader child(const char* key);
  std::optional<SexpReader> optional_child(const char* key);
  std::vector<SexpReader> children(const char* key, std::size_t least_count = 0);
  // The form's own words, those that are no (key value) forms: (node a1 ...) has word 0 "a1".
  std::string positional(std::size_t index, const char* what);
  std::size_t positional_count() const;
  // All forms in their order, as (key, form); for notations where order matters.
  std::vector<std::pair<std::string, SexpReader>> all_children();

  // Something that only the caller can see to be wrong, such as two settings at odds.
  void add_problem(const std::string& what) const;
  void add_problem(const char* key, const std::string& what) const;
  int line() const { return value_->line; }
  bool has(const char* key) const;
  // The form (key ...) as text that reads back the same; empty when there is none.
  std::string to_text(const char* key) const;
  // All of the file's forms as text, with what set() has changed in it.
  std::string to_text() const;
  // The same with the form `key` last, and without its forms `left_out`.
  std::string to_text_without(const char* key, const char* left_out) const;
  // Before anything is read: puts words, apart by blanks, in place of those at a path such as
  // day.load.rate or deployment.request class[book].sla, where the word in brackets is the form's
  // own first. A key that is not there is added to the form before it; false when that form is not
  // there either.
  bool override_value(const std::string& path, const std::string& words);
  // Reports keys that nobody asked for. Called on the file's form it throws what was gathered.
  void finish();

 private:
  SexpReader(std::shared_ptr<Value> root, const Value* value, std::shared_ptr<Source> source,
             std::string path, bool top);
  const Value* one(const char* key, bool needed);
  const Value* scalar(const char* key, bool needed);
  void wrong(const Value& at, const std::string& key, const std::string& allowed) const;
  void report(const Value& at, const std::string& path, const std::string& what) const;
  SexpReader inner(const Value* value, const std::string& path);

  std::shared_ptr<Value> root_;
  const Value* value_;
  std::shared_ptr<Source> source_;
  std::string path_;
  bool top_;
  std::vector<std::string> asked_{};
};

// 250ms, 1.5s, 2m, 1h, 40us; nothing when it is none.
std::optional<Duration> parse_duration(const std::string& word);
std::optional<double> parse_number(const std::string& word);

}  // namespace robinhoist::settings
