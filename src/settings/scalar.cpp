#include "settings/scalar.h"

#include <charconv>
#include <cmath>
#include <sstream>
#include <string_view>

namespace robinhoist::settings {
namespace {

struct Unit {
  std::string_view suffix;
  double microseconds;
};

/// In the order in which they are tried: "ms" before "s", because "ms" also ends in "s".
constexpr Unit units[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 6e7}, {"h", 3.6e9}};

/// Values of this size (about 31 years) or more are rejected.
constexpr double max_duration_us = 1e15;

}  // namespace

std::optional<double> parse_number(const std::string& word) {
  double value = 0;
  const char* const word_end = word.data() + word.size();
  const auto [end, error] = std::from_chars(word.data(), word_end, value);
  if (error != std::errc{} || end != word_end || !std::isfinite(value))
    return {};
  return value;
}

std::optional<Duration> parse_duration(const std::string& word) {
  for (const Unit& unit : units) {
    if (word.size() <= unit.suffix.size() || !word.ends_with(unit.suffix))
      continue;
    const auto value = parse_number(word.substr(0, word.size() - unit.suffix.size()));
    if (value && std::abs(*value * unit.microseconds) < max_duration_us)
      return Duration(std::llround(*value * unit.microseconds));
  }
  return {};
}

std::string format_number(double value) {
  std::ostringstream text;
  text << value;
  return text.str();
}

std::string format_duration(Duration duration) {
  const double ms = std::chrono::duration<double, std::milli>(duration).count();
  return ms >= 1000 ? format_number(ms / 1000) + "s" : format_number(ms) + "ms";
}

}  // namespace robinhoist::settings
