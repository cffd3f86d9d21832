/// Selectors of objects. They consist of requirements on labels and fields in Kubernetes syntax,
/// such as `team=front,tier!=test,zone in (a,b),zone notin (c),canary,!old`, or
/// `status.phase=released` for fields.
#pragma once
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace robinhoist::objects {

/// The labels or fields of an object, by name.
using Fields = std::map<std::string, std::string>;

/// A malformed selector; what() names the requirement and the reason.
struct SelectorError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A set of requirements, all of which an object must meet.
class Selector {
 public:
  /// Matches every object.
  Selector() = default;
  /// Parses requirements on labels and fields. Throws SelectorError.
  Selector(std::string_view labels, std::string_view fields);
  bool matches(const Fields& labels, const Fields& fields) const;

 private:
  enum class Operator { in, not_in, exists, does_not_exist };
  struct Requirement {
    std::string key{};
    Operator op = Operator::exists;
    std::vector<std::string> values{};
  };
  static std::vector<Requirement> parse(std::string_view text);
  static Requirement parse_requirement(std::string_view text);
  static Requirement parse_set(std::string_view text, std::size_t parenthesis);
  static Requirement parse_equality(std::string_view text, std::size_t equals);
  static bool satisfies(const Fields& fields, const Requirement& requirement);

  std::vector<Requirement> labels_{};
  std::vector<Requirement> fields_{};
};

/// Whether a text is a valid label name: 1 to 63 of [A-Za-z0-9._-], optionally after a prefix and a
/// slash.
bool is_label_name(std::string_view text);
/// Whether a text is a valid label value: at most 63 of [A-Za-z0-9._-].
bool is_label_value(std::string_view text);
/// Whether a text is a valid object name: 1 to 63 of [a-z0-9-], without a dash at either end.
bool is_object_name(std::string_view text);

}  // namespace robinhoist::objects
