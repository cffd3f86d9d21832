#include "http/request_rules.h"

#include <algorithm>
#include <array>

namespace robinhoist::http {
namespace {

constexpr std::array<std::string_view, 18> header_only_fields = {
    "Authorization",  "Cache-Control",    "Connection",   "Content-Encoding",
    "Content-Length", "Content-Range",    "Content-Type", "Expect",
    "Host",           "Keep-Alive",       "Max-Forwards", "Proxy-Authorization",
    "Range",          "Proxy-Connection", "TE",           "Trailer",
    "Upgrade",        "Transfer-Encoding"};

constexpr std::array<std::string_view, 3> framing_fields = {"Content-Length", "Host",
                                                            "Transfer-Encoding"};

// A line that begins with a blank continues the field before it (RFC 9112, 5.2).
bool has_folded_line(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

}  // namespace

std::optional<ParseError> check_header(const Headers& headers) {
  for (const std::string_view name : framing_fields)
    if (is_connection_option(headers, name))
      return ParseError{400, "the field " + std::string(name) + " is named as a connection option"};
  return {};
}

std::optional<ParseError> check_trailer_section(std::string_view section) {
  if (has_folded_line(section))
    return ParseError{400, "a trailer field is folded"};
  return {};
}

std::optional<ParseError> check_trailers(const Headers& trailers) {
  for (const Header& field : trailers.all()) {
    const bool is_header_only =
        std::any_of(header_only_fields.begin(), header_only_fields.end(),
                    [&](std::string_view name) { return equals_ignoring_case(name, field.name); });
    if (is_header_only)
      return ParseError{400, "the field " + field.name + " stands in the trailers"};
  }
  return {};
}

std::optional<ParseError> check_header_placement(const Request& request,
                                                 std::initializer_list<std::string_view> names) {
  for (const std::string_view name : names) {
    if (request.trailers.has(name))
      return ParseError{400, "the field " + std::string(name) + " stands in the trailers"};
    if (is_connection_option(request.headers, name))
      return ParseError{400, "the field " + std::string(name) + " is named as a connection option"};
  }
  return {};
}

}  // namespace robinhoist::http
