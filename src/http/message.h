/// HTTP/1.1 messages (RFC 9110, 9112) as plain values. No sockets here: parser.h reads them from a
/// buffer, serializer.h writes them into one.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace robinhoist::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;
};

/// Header fields in the order in which they came. Names are compared whatever their case.
class Headers {
 public:
  void add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
  }
  /// Replaces all fields of that name.
  void set(std::string_view name, std::string_view value);
  /// The first of that name; empty when there is none.
  std::string_view get(std::string_view name) const;
  bool has(std::string_view name) const;
  void clear() { fields_.clear(); }
  const std::vector<Header>& all() const { return fields_; }

 private:
  std::vector<Header> fields_{};
};

struct Request {
  std::string method{"GET"};
  std::string target{"/"};
  std::string body{};
  Headers headers{};
  bool keep_alive = true;

  /// The target without its query.
  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  /// The value of a query parameter, percent-decoded; empty when there is none.
  std::string query(std::string_view name) const;
};

struct Response {
  int status = 200;
  Headers headers{};
  std::string body{};
  bool keep_alive = true;
};

/// What is taken of a message; more is refused.
struct MessageLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  /// Refuses a response that ends with its connection only: it can't be told from a part of one.
  bool require_length = false;
};

/// The standard reason phrase of a status; empty for an unknown one.
std::string_view reason(int status);

/// Compares ASCII words whatever their case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Decodes %XX and + of a query or a path segment; what is no valid escape stays as it is.
std::string percent_decoded(std::string_view text);

/// Copies the fields that belong to the message itself and not to the hop (RFC 9110, 7.6.1).
void copy_end_to_end_headers(const Headers& from, Headers& to);

/// A response of plain text.
Response text_response(int status, std::string_view text);
/// A response of JSON text.
Response json_response(int status, std::string body);

}  // namespace robinhoist::http
