/// Cuts a stream of JSON objects into single objects.
///
/// The objects may be laid out over several lines and arrive in pieces of any size. Whether an
/// object is valid JSON is left to the parser. It does no I/O.
#pragma once
#include <cstddef>
#include <string_view>

namespace robinhoist::json {

enum class FrameStatus {
  incomplete,  ///< More input is needed.
  object,      ///< A whole object is in Framer::object().
  malformed,   ///< Something other than blanks stands between objects, or an object is too long.
};

/// Scans a buffer that grows at its end, and from whose front the caller removes what consume()
/// says.
class Framer {
 public:
  /// An object longer than `max_object_size` bytes is malformed.
  explicit Framer(std::size_t max_object_size) : max_object_size_(max_object_size) {}

  /// Goes on through the buffer from where the last call stopped.
  FrameStatus next(std::string_view buffer) {
    for (; position_ < buffer.size(); ++position_) {
      const char c = buffer[position_];
      if (depth_ == 0) {
        if (c == '\n')
          ++lines_;
        if (is_blank(c))
          continue;
        if (c != '{')
          return FrameStatus::malformed;
        object_begin_ = position_;
        depth_ = 1;
        continue;
      }
      if (position_ - object_begin_ >= max_object_size_)
        return FrameStatus::malformed;
      if (ends_object(c)) {
        ++position_;
        object_ = buffer.substr(object_begin_, position_ - object_begin_);
        return FrameStatus::object;
      }
    }
    return FrameStatus::incomplete;
  }

  /// The last whole object; a view of the buffer that next() got.
  std::string_view object() const { return object_; }

  /// How many line ends there were between objects.
  std::size_t lines() const { return lines_; }

  /// How many bytes at the front of the buffer are not needed any more. The caller removes them.
  std::size_t consume() {
    const std::size_t consumed = depth_ > 0 ? object_begin_ : position_;
    position_ -= consumed;
    object_begin_ = 0;
    return consumed;
  }

 private:
  static bool is_blank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

  /// Takes one character inside an object; true when it is the object's last.
  bool ends_object(char c) {
    if (in_string_) {
      scan_string(c);
      return false;
    }
    if (c == '"')
      in_string_ = true;
    else if (c == '{' || c == '[')
      ++depth_;
    else if (c == '}' || c == ']')
      --depth_;
    return depth_ == 0;
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
  std::size_t position_ = 0;
  std::size_t object_begin_ = 0;
  std::size_t depth_ = 0;
  std::size_t lines_ = 0;
  bool in_string_ = false;
  bool escaped_ = false;
  std::string_view object_{};
};

}  // namespace robinhoist::json
