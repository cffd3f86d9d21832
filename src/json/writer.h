/// Writes a JSON text value by value.
#pragma once
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>
#include <string>
#include <string_view>

#include "time/time_types.h"

namespace robinhoist::json {

/// Writes objects and arrays. Values inside an object need a key; inside an array the key is
/// nullptr. Every begin_ call needs a matching end_ call before text() is read. Calls can be
/// chained.
class Writer {
 public:
  Writer& begin_object(const char* key = nullptr) {
    write_key(key);
    writer_.StartObject();
    return *this;
  }
  Writer& end_object() {
    writer_.EndObject();
    return *this;
  }
  Writer& begin_array(const char* key = nullptr) {
    write_key(key);
    writer_.StartArray();
    return *this;
  }
  Writer& end_array() {
    writer_.EndArray();
    return *this;
  }
  Writer& put(const char* key, std::string_view value) {
    write_key(key);
    writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    return *this;
  }
  Writer& put(const char* key, const char* value) { return put(key, std::string_view(value)); }
  Writer& put(const char* key, const std::string& value) {
    return put(key, std::string_view(value));
  }
  Writer& put(const char* key, bool value) {
    write_key(key);
    writer_.Bool(value);
    return *this;
  }
  Writer& put(const char* key, int value) {
    write_key(key);
    writer_.Int(value);
    return *this;
  }
  Writer& put(const char* key, long value) { return put(key, static_cast<long long>(value)); }
  Writer& put(const char* key, long long value) {
    write_key(key);
    writer_.Int64(value);
    return *this;
  }
  Writer& put(const char* key, unsigned long value) {
    write_key(key);
    writer_.Uint64(value);
    return *this;
  }
  /// A number that JSON cannot represent (infinity, NaN) is written as null.
  Writer& put(const char* key, double value) {
    write_key(key);
    if (std::isfinite(value))
      writer_.Double(value);
    else
      writer_.Null();
    return *this;
  }
  /// Writes a duration as milliseconds with a fraction.
  Writer& put_ms(const char* key, Duration value) {
    constexpr double us_per_ms = 1e3;
    return put(key, static_cast<double>(value.count()) / us_per_ms);
  }
  Writer& put(const char* key, const rapidjson::Value& value) {
    write_key(key);
    value.Accept(writer_);
    return *this;
  }
  Writer& put_null(const char* key) {
    write_key(key);
    writer_.Null();
    return *this;
  }
  /// The text written so far.
  std::string text() const { return {buffer_.GetString(), buffer_.GetSize()}; }

 private:
  void write_key(const char* key) {
    if (key)
      writer_.Key(key);
  }

  rapidjson::StringBuffer buffer_{};
  rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

}  // namespace robinhoist::json
