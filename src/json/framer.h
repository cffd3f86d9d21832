// Cuts a stream of JSON objects into whole ones, however they are laid out and in whatever pieces
// they come. Whether an object makes sense is the parser's to say. Free of I/O.
#pragma once
#include <cstddef>
#include <string_view>

namespace robinhoist::json {

enum class FrameStatus { more, object, bad };

class Framer {
 public:
  // An object longer than `most` is none.
  explicit Framer(std::size_t most) : most_(most) {}

  // Looks on through what has come, from where it stopped. After `object` that is in object();
  // `bad`: what comes between objects is no space.
  FrameStatus next(std::string_view in) {
    for (; at_ < in.size(); ++at_) {
      const char c = in[at_];
      if (depth_ == 0) {
        lines_ += c == '\n';
        if (c == ' ' || c == '\t' || c == '\r' || c == '\n')
          continue;
        if (c != '{')
          return FrameStatus::bad;
        begin_ = at_;
        depth_ = 1;
      } else if (at_ - begin_ >= most_) {
        return FrameStatus::bad;
      } else if (escaped_) {
        escaped_ = false;
      } else if (quoted_) {
        escaped_ = c == '\\';
        quoted_ = c != '"';
      } else if (c == '"') {
        quoted_ = true;
      } else if (c == '{' || c == '[') {
        ++depth_;
      } else if ((c == '}' || c == ']') && --depth_ == 0) {
        object_ = in.substr(begin_, ++at_ - begin_);
        return FrameStatus::object;
      }
    }
    return FrameStatus::more;
  }
  std::string_view object() const { return object_; }
  // How many lines have ended between objects.
  std::size_t lines() const { return lines_; }
  // What lies before is done with; the caller takes it off the front.
  std::size_t done() {
    const std::size_t done = depth_ > 0 ? begin_ : at_;
    at_ -= done;
    begin_ = 0;
    return done;
  }

 private:
  std::size_t most_, at_ = 0, begin_ = 0, depth_ = 0, lines_ = 0;
  bool quoted_ = false, escaped_ = false;
  std::string_view object_{};
};

}  // namespace robinhoist::json
