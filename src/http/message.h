/// HTTP/1.1 messages (RFC 9110, 9112) as plain values. parser.h reads them from a buffer and
/// serializer.h writes them to one; neither uses sockets.
#pragma once
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "util/heap_bytes.h"

namespace robinhoist::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;
};

/// Header fields in the order in which they were received. Names are case-insensitive.
class Headers {
 public:
  void add(std::string_view name, std::string_view value) {
    fields_.push_back({std::string(name), std::string(value)});
  }
  /// Replaces all fields of that name.
  void set(std::string_view name, std::string_view value);
  /// The value of the first field with that name; empty when there is none.
  std::string_view get(std::string_view name) const;
  bool has(std::string_view name) const;
  void clear() { fields_.clear(); }
  const std::vector<Header>& all() const { return fields_; }
  /// The number of fields for which memory is allocated.
  std::size_t capacity() const { return fields_.capacity(); }

 private:
  std::vector<Header> fields_{};
};

/// A version of HTTP, as major times ten plus minor.
inline constexpr unsigned http_1_1 = 11;

struct Request {
  std::string method{"GET"};
  std::string target{"/"};
  std::string body{};
  Headers headers{};
  /// Fields behind a chunked body. They are never treated as header fields.
  Headers trailers{};
  unsigned version = http_1_1;
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

/// Size limits of a received message; a message that exceeds one is rejected.
struct MessageLimits {
  std::size_t max_header_bytes = std::size_t{16} * 1024;
  /// A field takes many times the memory of its bytes if they are few.
  std::size_t max_header_fields = 100;
  std::size_t max_body_bytes = std::size_t{1024} * 1024;
  /// Rejects a response that is delimited only by the close of its connection: it cannot be
  /// distinguished from a truncated response.
  bool require_length = false;
  /// Empty lines before a request. Some clients send one behind the body of the request before.
  std::size_t max_empty_lines = 16;
};

/// The heap memory of the header fields.
std::size_t heap_bytes(const Headers& headers);
/// The heap memory of the request.
std::size_t heap_bytes(const Request& request);

/// The standard reason phrase of a status; empty for an unknown one.
std::string_view reason_phrase(int status);

/// Compares ASCII strings without regard to case.
bool equals_ignoring_case(std::string_view a, std::string_view b);

/// Decodes %XX and + of a query or a path segment; an invalid escape is copied unchanged.
std::string percent_decoded(std::string_view text);

/// Whether a Connection field names this header, which makes it a hop-by-hop header.
bool is_connection_option(const Headers& headers, std::string_view name);

/// Copies the end-to-end header fields and leaves out the hop-by-hop ones (RFC 9110, 7.6.1).
void copy_end_to_end_headers(const Headers& from, Headers& to);

/// A text/plain response.
Response text_response(int status, std::string_view text);
/// An application/json response.
Response json_response(int status, std::string body);

}  // namespace robinhoist::http
