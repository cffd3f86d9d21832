/// Rules of RFC 9110 and RFC 9112 for requests that Boost.Beast's parser does not enforce.
///
/// A server that accepts what breaks them, and passes it on in its own words, serves requests that
/// others understand differently or refuse.
#pragma once
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

#include "http/message.h"

namespace robinhoist::http {

/// Why a message is invalid, and the status code to answer with. Status 0 means no error.
struct ParseError {
  int status = 0;
  std::string reason{};
};

/// Versions of HTTP, as major times ten plus minor.
inline constexpr unsigned http_1_1 = 11;

/// Checks the header fields of a request.
std::optional<ParseError> check_header(const Headers& headers, unsigned version);
/// Checks the trailer section of a chunked request, as received and with its last line end.
std::optional<ParseError> check_trailer_section(std::string_view section);
/// Checks trailer fields: framing, routing and request modifiers belong to the header section,
/// where they are known before the body is read (RFC 9110, 6.5.1).
std::optional<ParseError> check_trailers(const Headers& trailers);
/// Checks the header fields on which the handling of a request depends. None of them may stand in
/// the trailers or be named as a connection option: it would be handled by one recipient and
/// removed for the next.
std::optional<ParseError> check_header_placement(const Request& request,
                                                 std::initializer_list<std::string_view> names);

}  // namespace robinhoist::http
