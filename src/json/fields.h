// Checked reading of JSON objects: what is missing or of the wrong type is told by the field's
// name.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <chrono>
#include <cmath>
#include <initializer_list>
#include <limits>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

#include "time/time_types.h"

namespace robinhoist::json {

using Json = rapidjson::Value;
// What is wrong with the input; the caller adds the place.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline const Json& member(const Json& object, const char* field) {
  auto at = object.FindMember(field);
  if (at == object.MemberEnd())
    throw BadInput(std::string("missing field ") + field);
  return at->value;
}

[[noreturn]] inline void mistyped(const char* field, const char* wanted) {
  throw BadInput(std::string("field ") + field + " is not " + wanted);
}

inline bool present(const Json& object, const char* field) {
  auto at = object.FindMember(field);
  return at != object.MemberEnd() && !at->value.IsNull();
}

inline double number(const Json& object, const char* field) {
  const Json& value = member(object, field);
  if (!value.IsNumber())
    mistyped(field, "a number");
  return value.GetDouble();
}

// Null or absent reads as `absent`.
inline double number_or(const Json& object, const char* field, double absent) {
  return present(object, field) ? number(object, field) : absent;
}

inline int whole(const Json& object, const char* field, int least = 0,
                 int most = std::numeric_limits<int>::max()) {
  double value = number(object, field);
  if (value != std::floor(value) || value < least || value > most)
    mistyped(field, "a whole number in range");
  return static_cast<int>(value);
}

inline bool truth(const Json& object, const char* field) {
  const Json& value = member(object, field);
  if (!value.IsBool())
    mistyped(field, "true or false");
  return value.GetBool();
}

inline std::string text(const Json& object, const char* field) {
  const Json& value = member(object, field);
  if (!value.IsString())
    mistyped(field, "a string");
  return {value.GetString(), value.GetStringLength()};
}

inline std::string text_or(const Json& object, const char* field, std::string absent) {
  return present(object, field) ? text(object, field) : std::move(absent);
}

inline const Json& inner(const Json& object, const char* field) {
  const Json& value = member(object, field);
  if (!value.IsObject())
    mistyped(field, "an object");
  return value;
}

inline const Json& array(const Json& object, const char* field) {
  const Json& value = member(object, field);
  if (!value.IsArray())
    mistyped(field, "an array");
  return value;
}

inline Duration span(double ms) {
  return Duration(std::llround(ms * 1e3));
}
inline Duration duration_of(const Json& object, const char* field) {
  return span(number(object, field));
}

template <class T>
T enumerator(const Json& object, const char* field,
             std::initializer_list<std::pair<const char*, T>> words) {
  std::string given = text(object, field);
  for (auto& [name, value] : words)
    if (given == name)
      return value;
  throw BadInput(std::string("field ") + field + " holds the unknown word '" + given + "'");
}

// One JSON object as a document; BadInput says what is wrong and where.
inline rapidjson::Document object_of(std::string_view text) {
  rapidjson::Document document;
  // Iterative: guards against a stack used up by deep nesting.
  document.Parse<rapidjson::kParseIterativeFlag | rapidjson::kParseValidateEncodingFlag>(
      text.data(), text.size());
  if (document.HasParseError())
    throw BadInput("at byte " + std::to_string(document.GetErrorOffset()) + ": " +
                   rapidjson::GetParseError_En(document.GetParseError()));
  if (!document.IsObject())
    throw BadInput("not a JSON object");
  return document;
}

// Writes objects; keys and values in turn.
class Out {
 public:
  Out& open(const char* key = nullptr) { return name(key), writer_.StartObject(), *this; }
  Out& close() { return writer_.EndObject(), *this; }
  Out& open_list(const char* key = nullptr) { return name(key), writer_.StartArray(), *this; }
  Out& close_list() { return writer_.EndArray(), *this; }
  Out& put(const char* key, std::string_view value) {
    name(key);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    return *this;
  }
  Out& put(const char* key, const char* value) { return put(key, std::string_view(value)); }
  Out& put(const char* key, const std::string& value) { return put(key, std::string_view(value)); }
  Out& put(const char* key, bool value) { return name(key), writer_.Bool(value), *this; }
  Out& put(const char* key, int value) { return name(key), writer_.Int(value), *this; }
  Out& put(const char* key, long value) { return name(key), writer_.Int64(value), *this; }
  Out& put(const char* key, long long value) { return name(key), writer_.Int64(value), *this; }
  Out& put(const char* key, unsigned long value) { return name(key), writer_.Uint64(value), *this; }
  Out& put(const char* key, double value) {
    name(key);
    if (std::isfinite(value))
      writer_.Double(value);
    else
      writer_.Null();
    return *this;
  }
  Out& put_ms(const char* key, Duration value) {
    return put(key, static_cast<double>(value.count()) / 1e3);
  }
  Out& put(const char* key, const Json& value) { return name(key), value.Accept(writer_), *this; }
  Out& put_null(const char* key) { return name(key), writer_.Null(), *this; }
  std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  void name(const char* key) {
    if (key)
      writer_.Key(key);
  }
  rapidjson::StringBuffer buffer_{};
  rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

}  // namespace robinhoist::json
