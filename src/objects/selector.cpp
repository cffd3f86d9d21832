#include "objects/selector.h"

#include <algorithm>
#include <cctype>

namespace robinhoist::objects {
namespace {

constexpr std::size_t max_name_size = 63;
constexpr std::size_t max_prefix_size = 253;

bool is_alphanumeric_or(std::string_view extra, std::string_view text) {
  return std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return std::isalnum(c) || extra.find(static_cast<char>(c)) != std::string_view::npos;
  });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ')
    text.remove_suffix(1);
  return text;
}

// Splits a text at commas outside parentheses.
std::vector<std::string_view> split_list(std::string_view text) {
  std::vector<std::string_view> parts;
  std::size_t begin = 0;
  int depth = 0;
  for (std::size_t i = 0; i <= text.size(); ++i) {
    if (i == text.size() || (text[i] == ',' && depth == 0)) {
      parts.push_back(trimmed(text.substr(begin, i - begin)));
      begin = i + 1;
    } else if (text[i] == '(') {
      ++depth;
    } else if (text[i] == ')') {
      --depth;
    }
  }
  return parts;
}

SelectorError error(std::string_view requirement, const char* what) {
  return SelectorError("'" + std::string(requirement) + "' " + what);
}

}  // namespace

bool is_label_name(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash != std::string_view::npos) {
    const std::string_view prefix = text.substr(0, slash);
    if (prefix.empty() || prefix.size() > max_prefix_size || !is_alphanumeric_or(".-", prefix))
      return false;
    text.remove_prefix(slash + 1);
  }
  return !text.empty() && is_label_value(text);
}

bool is_label_value(std::string_view text) {
  return text.size() <= max_name_size && is_alphanumeric_or("._-", text);
}

bool is_object_name(std::string_view text) {
  return !text.empty() && text.size() <= max_name_size && text.front() != '-' &&
         text.back() != '-' && std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::islower(c) || std::isdigit(c) || c == '-';
         });
}

std::vector<Selector::Requirement> Selector::parse(std::string_view text) {
  std::vector<Requirement> requirements;
  if (trimmed(text).empty())
    return requirements;
  for (const std::string_view part : split_list(text))
    requirements.push_back(parse_requirement(part));
  return requirements;
}

Selector::Requirement Selector::parse_requirement(std::string_view text) {
  if (text.empty())
    throw error(text, "is empty");
  Requirement requirement;
  if (const std::size_t open = text.find('('); open != std::string_view::npos) {
    requirement = parse_set(text, open);
  } else if (const std::size_t equals = text.find('='); equals != std::string_view::npos) {
    requirement = parse_equality(text, equals);
  } else if (text.front() == '!') {
    requirement.op = Operator::does_not_exist;
    requirement.key = trimmed(text.substr(1));
  } else {
    requirement.key = text;
  }
  if (!is_label_name(requirement.key))
    throw error(text, "does not begin with a name");
  if (!std::all_of(requirement.values.begin(), requirement.values.end(), is_label_value))
    throw error(text, "has a value that no label can have");
  return requirement;
}

// KEY in (VALUE, ...) or KEY notin (VALUE, ...)
Selector::Requirement Selector::parse_set(std::string_view text, std::size_t parenthesis) {
  if (text.back() != ')')
    throw error(text, "lacks its closing parenthesis");
  const std::string_view head = trimmed(text.substr(0, parenthesis));
  const std::string_view values = text.substr(parenthesis + 1, text.size() - parenthesis - 2);
  const std::size_t space = head.rfind(' ');
  const bool has_key = space != std::string_view::npos;
  const std::string_view op = has_key ? head.substr(space + 1) : head;
  if (op != "in" && op != "notin")
    throw error(text, "has none of in, notin before its values");
  Requirement requirement;
  requirement.op = op == "in" ? Operator::in : Operator::not_in;
  if (has_key)
    requirement.key = trimmed(head.substr(0, space));
  for (const std::string_view value : split_list(values))
    requirement.values.emplace_back(value);
  return requirement;
}

// KEY=VALUE, KEY==VALUE or KEY!=VALUE
Selector::Requirement Selector::parse_equality(std::string_view text, std::size_t equals) {
  const bool negated = equals > 0 && text[equals - 1] == '!';
  std::size_t value_begin = equals + 1;
  if (!negated && value_begin < text.size() && text[value_begin] == '=')
    ++value_begin;
  Requirement requirement;
  requirement.op = negated ? Operator::not_in : Operator::in;
  requirement.key = trimmed(text.substr(0, negated ? equals - 1 : equals));
  requirement.values.emplace_back(trimmed(text.substr(value_begin)));
  return requirement;
}

Selector::Selector(std::string_view labels, std::string_view fields)
    : labels_(parse(labels)), fields_(parse(fields)) {}

bool Selector::satisfies(const Fields& fields, const Requirement& requirement) {
  const auto found = fields.find(requirement.key);
  const bool exists = found != fields.end();
  const auto is_listed = [&] {
    const auto& values = requirement.values;
    return exists && std::find(values.begin(), values.end(), found->second) != values.end();
  };
  switch (requirement.op) {
    case Operator::exists:
      return exists;
    case Operator::does_not_exist:
      return !exists;
    case Operator::in:
      return is_listed();
    case Operator::not_in:
      return !is_listed();
  }
  return false;
}

bool Selector::matches(const Fields& labels, const Fields& fields) const {
  const auto all_satisfied = [](const std::vector<Requirement>& requirements,
                                const Fields& values) {
    return std::all_of(requirements.begin(), requirements.end(),
                       [&](const Requirement& each) { return satisfies(values, each); });
  };
  return all_satisfied(labels_, labels) && all_satisfied(fields_, fields);
}

}  // namespace robinhoist::objects
