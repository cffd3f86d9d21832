#include "objects/selector.h"

#include <algorithm>
#include <cctype>

namespace robinhoist::objects {
namespace {

constexpr std::size_t longest = 63, longest_prefix = 253;

bool word_of(std::string_view text, std::string_view also) {
  return std::all_of(text.begin(), text.end(), [&](unsigned char c) {
    return std::isalnum(c) || also.find(static_cast<char>(c)) != std::string_view::npos;
  });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ')
    text.remove_suffix(1);
  return text;
}

// Parts between commas that stand outside parentheses.
std::vector<std::string_view> parts_of(std::string_view text) {
  std::vector<std::string_view> parts;
  std::size_t from = 0;
  int depth = 0;
  for (std::size_t i = 0; i <= text.size(); ++i) {
    if (i == text.size() || (text[i] == ',' && depth == 0)) {
      parts.push_back(trimmed(text.substr(from, i - from)));
      from = i + 1;
    } else {
      depth += text[i] == '(' ? 1 : text[i] == ')' ? -1 : 0;
    }
  }
  return parts;
}

}  // namespace

bool label_name(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash != std::string_view::npos) {
    const std::string_view prefix = text.substr(0, slash);
    if (prefix.empty() || prefix.size() > longest_prefix || !word_of(prefix, ".-"))
      return false;
    text.remove_prefix(slash + 1);
  }
  return !text.empty() && text.size() <= longest && word_of(text, "._-");
}

bool label_value(std::string_view text) {
  return text.size() <= longest && word_of(text, "._-");
}

bool object_name(std::string_view text) {
  return !text.empty() && text.size() <= longest && text.front() != '-' && text.back() != '-' &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::islower(c) || std::isdigit(c) || c == '-';
         });
}

std::vector<Selector::Need> Selector::parse(std::string_view text) {
  std::vector<Need> needs;
  if (trimmed(text).empty())
    return needs;
  for (std::string_view part : parts_of(text)) {
    const auto bad = [&](const char* why) {
      return BadSelector("'" + std::string(part) + "' " + why);
    };
    if (part.empty())
      throw bad("is empty");
    Need need;
    std::string_view key = part, values;
    if (const std::size_t open = part.find('('); open != std::string_view::npos) {
      if (part.back() != ')')
        throw bad("lacks its closing parenthesis");
      std::string_view head = trimmed(part.substr(0, open));
      values = part.substr(open + 1, part.size() - open - 2);
      const std::size_t space = head.rfind(' ');
      const std::string_view op = space == std::string_view::npos ? head : head.substr(space + 1);
      if (op != "in" && op != "notin")
        throw bad("has none of in, notin before its values");
      need.op = op == "in" ? Op::in : Op::not_in;
      key = space == std::string_view::npos ? std::string_view() : trimmed(head.substr(0, space));
      for (std::string_view value : parts_of(values))
        need.values.emplace_back(value);
    } else if (const std::size_t equals = part.find('='); equals != std::string_view::npos) {
      const bool differs = equals > 0 && part[equals - 1] == '!';
      std::size_t value = equals + 1;
      if (!differs && value < part.size() && part[value] == '=')
        ++value;
      need.op = differs ? Op::not_in : Op::in;
      key = trimmed(part.substr(0, equals - (differs ? 1 : 0)));
      need.values.emplace_back(trimmed(part.substr(value)));
    } else if (part.front() == '!') {
      need.op = Op::not_there;
      key = trimmed(part.substr(1));
    }
    if (!label_name(key))
      throw bad("does not begin with a name");
    for (const std::string& value : need.values)
      if (!label_value(value))
        throw bad("has a value that no label can have");
    need.key = key;
    needs.push_back(std::move(need));
  }
  return needs;
}

Selector::Selector(std::string_view labels, std::string_view fields)
    : labels_(parse(labels)), fields_(parse(fields)) {}

bool Selector::met(const Need& need, const Fields& of) {
  auto at = of.find(need.key);
  const bool there = at != of.end();
  if (need.op == Op::there || need.op == Op::not_there)
    return there == (need.op == Op::there);
  const bool among =
      there && std::find(need.values.begin(), need.values.end(), at->second) != need.values.end();
  return among == (need.op == Op::in);
}

bool Selector::takes(const Fields& labels, const Fields& fields) const {
  return std::all_of(labels_.begin(), labels_.end(), [&](auto& n) { return met(n, labels); }) &&
         std::all_of(fields_.begin(), fields_.end(), [&](auto& n) { return met(n, fields); });
}

}  // namespace robinhoist::objects
