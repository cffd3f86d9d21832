/// Splits a stream of JSON objects into single objects.
///
/// The objects may span several lines and arrive in pieces of any size. The framer does not check
/// whether an object is valid JSON, and does no I/O.
#pragma once
#include <cstddef>
#include <string_view>

namespace robinhoist::json {

enum class FrameStatus {
  incomplete,  ///< More input is needed.
  object,      ///< Framer::object() returns a complete object.
  malformed,   ///< There is something other than whitespace between objects, or an object is too
               ///< long or has too many values.
};

/// Scans a buffer to which the caller appends input, and from whose front it removes the number of
/// bytes that consume() returns.
class Framer {
 public:
  /// An object longer than `max_object_size` bytes is malformed, and so is one with many values
  /// that are shorter than `min_bytes_per_value` on average: parsed values take much more memory.
  explicit Framer(std::size_t max_object_size)
      : max_object_size_(max_object_size), max_values_(max_object_size / min_bytes_per_value) {}

  /// Continues to scan the buffer where the last call stopped.
  FrameStatus next(std::string_view buffer) {
    for (; position_ < buffer.size(); ++position_) {
      const char c = buffer[position_];
      if (depth_ == 0) {
        if (c == '\n')
          ++lines_;
        if (is_whitespace(c))
          continue;
        if (c != '{')
          return FrameStatus::malformed;
        object_begin_ = position_;
        values_ = 1;
        depth_ = 1;
        continue;
      }
      if (position_ - object_begin_ >= max_object_size_ || values_ > max_values_)
        return FrameStatus::malformed;
      if (ends_object(c)) {
        ++position_;
        object_ = buffer.substr(object_begin_, position_ - object_begin_);
        return FrameStatus::object;
      }
    }
    return FrameStatus::incomplete;
  }

  /// The last complete object, as a view of the buffer passed to next().
  std::string_view object() const { return object_; }

  /// The number of line ends between objects so far.
  std::size_t lines() const { return lines_; }

  /// Returns the number of bytes at the front of the buffer that are no longer needed; the caller
  /// must remove them.
  std::size_t consume() {
    const std::size_t consumed = depth_ > 0 ? object_begin_ : position_;
    position_ -= consumed;
    object_begin_ = 0;
    return consumed;
  }

 private:
  static constexpr std::size_t min_bytes_per_value = 8;

  static bool is_whitespace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

  /// Scans one character inside an object; returns whether it is the last one of the object.
  bool ends_object(char c) {
    if (in_string_) {
      scan_string(c);
      return false;
    }
    if (c == '"')
      in_string_ = true;
    else if (c == '{' || c == '[')
      begin_container();
    else if (c == ',')
      ++values_;
    else if (c == '}' || c == ']')
      --depth_;
    return depth_ == 0;
  }

  void begin_container() {
    ++depth_;
    ++values_;
  }

  void scan_string(char c) {
    if (escaped_) {
      escaped_ = false;
      return;
    }
    escaped_ = c == '\\';
    in_string_ = c != '"';
  }

  std::size_t max_object_size_;
  std::size_t max_values_;
  std::size_t position_ = 0;
  std::size_t object_begin_ = 0;
  std::size_t depth_ = 0;
  std::size_t values_ = 0;  // in the current object so far: separators and containers
  std::size_t lines_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
  std::string_view object_{};
};

}  // namespace robinhoist::json
