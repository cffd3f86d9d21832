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

constexpr std::array<std::string_view, 9> methods = {
    "CONNECT ", "DELETE ", "GET ", "HEAD ", "OPTIONS ", "PATCH ", "POST ", "PUT ", "TRACE "};

constexpr std::array<std::string_view, 3> framing_fields = {"Content-Length", "Host",
                                                            "Transfer-Encoding"};

// A line that begins with a blank continues the field before it (RFC 9112, 5.2).
bool has_folded_line(std::string_view lines) {
  return lines.find("\r\n ") != std::string_view::npos ||
         lines.find("\r\n\t") != std::string_view::npos;
}

bool is_digit(char c) {
  return c >= '0' && c <= '9';
}

bool is_hex_digit(char c) {
  return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

// The characters of a URI that stand for themselves (RFC 3986, 2.2 and 2.3).
bool is_unreserved_or_delimiter(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  constexpr std::string_view others = "-._~!$&'()*+,;=";
  return is_letter || is_digit(c) || (c != '\0' && others.find(c) != std::string_view::npos);
}

// Whether the text has only characters of a URI, complete escapes, and characters of `more`.
bool is_uri_text(std::string_view text, std::string_view more) {
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%') {
      if (i + 2 >= text.size() || !is_hex_digit(text[i + 1]) || !is_hex_digit(text[i + 2]))
        return false;
      i += 2;
    } else if (!is_unreserved_or_delimiter(text[i]) &&
               more.find(text[i]) == std::string_view::npos) {
      return false;
    }
  }
  return true;
}

// A host, which may be an address in brackets, and a port (RFC 9110, 7.2).
bool is_host_and_port(std::string_view text) {
  std::size_t host_end = std::min(text.find(':'), text.size());
  if (text.starts_with('[')) {
    const std::size_t bracket = text.find(']');
    if (bracket == std::string_view::npos || !is_uri_text(text.substr(1, bracket - 1), ":"))
      return false;
    host_end = bracket + 1;
  } else if (text.find(',') != std::string_view::npos ||
             !is_uri_text(text.substr(0, host_end), "")) {
    return false;
  }
  const std::string_view port = text.substr(host_end);
  return port.empty() ||
         (port.front() == ':' && std::all_of(port.begin() + 1, port.end(), is_digit));
}

// A target in origin or absolute form, or an asterisk (RFC 9112, 3.2).
bool is_target(std::string_view target) {
  constexpr std::string_view scheme = "http://";
  constexpr std::string_view path_delimiters = ":@/?";
  if (target == "*")
    return true;
  if (!target.starts_with(scheme))
    return is_uri_text(target, path_delimiters);
  target.remove_prefix(scheme.size());
  const std::size_t path = std::min(target.find_first_of("/?"), target.size());
  return is_host_and_port(target.substr(0, path)) &&
         is_uri_text(target.substr(path), path_delimiters);
}

std::size_t count(const Headers& headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(headers.all().begin(), headers.all().end(),
                    [&](const Header& field) { return equals_ignoring_case(field.name, name); }));
}

std::optional<ParseError> check_connection_options(const Headers& headers) {
  for (const std::string_view name : framing_fields)
    if (is_connection_option(headers, name))
      return ParseError{400, "the field " + std::string(name) + " is named as a connection option"};
  return {};
}

// The only expectation that is defined (RFC 9110, 10.1.1); HTTP/1.0 has none.
std::optional<ParseError> check_expectation(const Request& request) {
  const std::size_t expectations = count(request.headers, "Expect");
  if (expectations == 0 || request.version < http_1_1)
    return {};
  if (expectations > 1 || !equals_ignoring_case(request.headers.get("Expect"), "100-continue"))
    return ParseError{417, "Expect is not 100-continue"};
  return {};
}

std::optional<ParseError> check_host(const Headers& headers) {
  if (count(headers, "Host") > 1)
    return ParseError{400, "needs one Host"};
  if (!is_host_and_port(headers.get("Host")))
    return ParseError{400, "Host is not a host and a port"};
  return {};
}

}  // namespace

std::optional<ParseError> check_framing(const Headers& headers, unsigned version) {
  const std::string_view length = headers.get("Content-Length");
  if (count(headers, "Content-Length") > 1 || !std::all_of(length.begin(), length.end(), is_digit))
    return ParseError{400, "Content-Length is not one number"};
  const std::size_t codings = count(headers, "Transfer-Encoding");
  if (codings == 0)
    return {};
  if (codings > 1 || headers.has("Content-Length") || version < http_1_1)
    return ParseError{400, "where the body ends is not clear"};
  if (!equals_ignoring_case(headers.get("Transfer-Encoding"), "chunked"))
    return ParseError{501, "Transfer-Encoding is not chunked"};
  return {};
}

std::optional<ParseError> check_field_lines(std::string_view section) {
  if (has_folded_line(section))
    return ParseError{400, "a field is folded"};
  return {};
}

std::optional<ParseError> check_header(const Request& request) {
  if (!is_target(request.target))
    return ParseError{400, "the target is not a path and a query"};
  if (auto error = check_host(request.headers))
    return error;
  if (auto error = check_framing(request.headers, request.version))
    return error;
  if (auto error = check_expectation(request))
    return error;
  return check_connection_options(request.headers);
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

std::optional<ParseError> check_host_present(const Request& request) {
  if (request.version >= http_1_1 && !request.headers.has("Host"))
    return ParseError{400, "needs one Host"};
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

bool may_begin_request(std::string_view bytes) {
  while (bytes.starts_with("\r\n"))
    bytes.remove_prefix(2);
  if (bytes.empty() || bytes == "\r")
    return true;
  return std::any_of(methods.begin(), methods.end(), [&](std::string_view method) {
    const std::string_view begin = bytes.substr(0, method.size());
    return method.starts_with(begin);
  });
}

}  // namespace robinhoist::http
