#include "http/message.h"

#include <algorithm>
#include <array>
#include <boost/beast/http.hpp>
#include <cctype>
#include <utility>

namespace robinhoist::http {
namespace beast = boost::beast::http;
namespace {

constexpr int hexadecimal = 16;

constexpr std::array<std::string_view, 12> hop_by_hop_headers = {"Connection",
                                                                 "Keep-Alive",
                                                                 "Proxy-Connection",
                                                                 "TE",
                                                                 "Trailer",
                                                                 "Transfer-Encoding",
                                                                 "Upgrade",
                                                                 "Host",
                                                                 "Expect",
                                                                 "Content-Length",
                                                                 "Proxy-Authorization",
                                                                 "Proxy-Authenticate"};

constexpr std::string_view blanks = " \t";

std::string_view trimmed(std::string_view word) {
  const std::size_t begin = word.find_first_not_of(blanks);
  if (begin == std::string_view::npos)
    return {};
  return word.substr(begin, word.find_last_not_of(blanks) - begin + 1);
}

// Whether a comma-separated list has this item.
bool list_has(std::string_view list, std::string_view item) {
  for (std::size_t at = 0; at < list.size();) {
    const std::size_t end = std::min(list.find(',', at), list.size());
    if (equals_ignoring_case(trimmed(list.substr(at, end - at)), item))
      return true;
    at = end + 1;
  }
  return false;
}

bool is_hex_digit(char c) {
  return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

Response response_of(int status, std::string_view content_type, std::string body) {
  Response response;
  response.status = status;
  response.headers.add("Content-Type", content_type);
  response.body = std::move(body);
  return response;
}

}  // namespace

std::size_t heap_bytes(const Headers& headers) {
  std::size_t bytes = headers.capacity() * sizeof(Header);
  for (const Header& field : headers.all())
    bytes += robinhoist::heap_bytes(field.name) + robinhoist::heap_bytes(field.value);
  return bytes;
}

std::size_t heap_bytes(const Request& request) {
  return robinhoist::heap_bytes(request.method) + robinhoist::heap_bytes(request.target) +
         robinhoist::heap_bytes(request.body) + heap_bytes(request.headers) +
         heap_bytes(request.trailers);
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
           return std::tolower(x) == std::tolower(y);
         });
}

void Headers::set(std::string_view name, std::string_view value) {
  std::erase_if(fields_,
                [&](const Header& field) { return equals_ignoring_case(field.name, name); });
  add(name, value);
}

std::string_view Headers::get(std::string_view name) const {
  for (const Header& field : fields_)
    if (equals_ignoring_case(field.name, name))
      return field.value;
  return {};
}

bool Headers::has(std::string_view name) const {
  return std::any_of(fields_.begin(), fields_.end(),
                     [&](const Header& field) { return equals_ignoring_case(field.name, name); });
}

std::string percent_decoded(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && is_hex_digit(text[i + 1]) &&
        is_hex_digit(text[i + 2])) {
      const std::string digits(text.substr(i + 1, 2));
      decoded += static_cast<char>(std::stoi(digits, nullptr, hexadecimal));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

std::string Request::query(std::string_view name) const {
  std::size_t at = target.find('?');
  while (at != std::string::npos && at + 1 < target.size()) {
    const std::size_t end = target.find('&', at + 1);
    const std::string_view pair =
        std::string_view(target).substr(at + 1, end == std::string::npos ? end : end - at - 1);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name)
      return equals == std::string_view::npos ? "" : percent_decoded(pair.substr(equals + 1));
    at = end;
  }
  return {};
}

std::string_view reason_phrase(int status) {
  const auto text = beast::obsolete_reason(beast::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

bool is_connection_option(const Headers& headers, std::string_view name) {
  return std::any_of(headers.all().begin(), headers.all().end(), [&](const Header& field) {
    return equals_ignoring_case(field.name, "Connection") && list_has(field.value, name);
  });
}

void copy_end_to_end_headers(const Headers& from, Headers& to) {
  for (const Header& field : from.all()) {
    const bool hop_by_hop =
        std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                    [&](std::string_view name) { return equals_ignoring_case(name, field.name); });
    if (!hop_by_hop && !is_connection_option(from, field.name))
      to.add(field.name, field.value);
  }
}

Response text_response(int status, std::string_view text) {
  return response_of(status, "text/plain; charset=utf-8", std::string(text));
}

Response json_response(int status, std::string body) {
  return response_of(status, "application/json", std::move(body));
}

}  // namespace robinhoist::http
