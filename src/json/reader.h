/// Validating reader of JSON objects.
///
/// A document is parsed with parse_object(); its fields are then read by name and type. A field
/// that is missing or has a different type is reported as a DecodeError that names the field. The
/// caller adds the origin of the document.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>

#include <chrono>
#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "time/time_types.h"

namespace robinhoist::json {

using Value = rapidjson::Value;

/// The input is not valid JSON, or does not have the expected fields. what() describes the problem.
struct DecodeError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// The value of a field. Throws DecodeError when the object does not have the field.
inline const Value& member(const Value& object, const char* field) {
  auto found = object.FindMember(field);
  if (found == object.MemberEnd())
    throw DecodeError(std::string("missing field ") + field);
  return found->value;
}

/// Throws a DecodeError for a field that is not of the `expected` kind.
[[noreturn]] inline void throw_wrong_type(const char* field, const char* expected) {
  throw DecodeError(std::string("field ") + field + " is not " + expected);
}

/// Whether the object has the field, with a value other than null.
inline bool has_value(const Value& object, const char* field) {
  auto found = object.FindMember(field);
  return found != object.MemberEnd() && !found->value.IsNull();
}

inline double number(const Value& object, const char* field) {
  const Value& value = member(object, field);
  if (!value.IsNumber())
    throw_wrong_type(field, "a number");
  return value.GetDouble();
}

/// A number, or `fallback` when the field is absent or null.
inline double number_or(const Value& object, const char* field, double fallback) {
  return has_value(object, field) ? number(object, field) : fallback;
}

/// A number without a fraction, from `min` to `max`.
inline int integer(const Value& object, const char* field, int min = 0,
                   int max = std::numeric_limits<int>::max()) {
  const double value = number(object, field);
  if (value != std::floor(value) || value < min || value > max)
    throw_wrong_type(field, "a whole number in range");
  return static_cast<int>(value);
}

inline bool boolean(const Value& object, const char* field) {
  const Value& value = member(object, field);
  if (!value.IsBool())
    throw_wrong_type(field, "true or false");
  return value.GetBool();
}

inline std::string text(const Value& object, const char* field) {
  const Value& value = member(object, field);
  if (!value.IsString())
    throw_wrong_type(field, "a string");
  return {value.GetString(), value.GetStringLength()};
}

/// A string, or `fallback` when the field is absent or null.
inline std::string text_or(const Value& object, const char* field, std::string fallback) {
  return has_value(object, field) ? text(object, field) : std::move(fallback);
}

inline const Value& nested_object(const Value& object, const char* field) {
  const Value& value = member(object, field);
  if (!value.IsObject())
    throw_wrong_type(field, "an object");
  return value;
}

inline const Value& array(const Value& object, const char* field) {
  const Value& value = member(object, field);
  if (!value.IsArray())
    throw_wrong_type(field, "an array");
  return value;
}

/// Converts milliseconds, which may have a fraction, to a duration.
inline Duration duration_from_ms(double ms) {
  constexpr double us_per_ms = 1e3;
  return Duration(std::llround(ms * us_per_ms));
}

/// A field that holds a number of milliseconds.
inline Duration duration(const Value& object, const char* field) {
  return duration_from_ms(number(object, field));
}

/// A string field that holds the name of one of the given values.
template <class Enum>
Enum enumerator(const Value& object, const char* field,
                std::initializer_list<std::pair<const char*, Enum>> names) {
  const std::string given = text(object, field);
  for (const auto& [name, value] : names)
    if (given == name)
      return value;
  throw DecodeError(std::string("field ") + field + " holds the unknown word '" + given + "'");
}

/// Parses a text that must be one JSON object. The DecodeError of a syntax error contains its
/// offset.
inline rapidjson::Document parse_object(std::string_view text) {
  rapidjson::Document document;
  // Iterative parsing prevents a stack overflow on deeply nested input.
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(
      text.data(), text.size());
  if (document.HasParseError())
    throw DecodeError("at byte " + std::to_string(document.GetErrorOffset()) + ": " +
                      rapidjson::GetParseError_En(document.GetParseError()));
  if (!document.IsObject())
    throw DecodeError("not a JSON object");
  return document;
}

}  // namespace robinhoist::json
