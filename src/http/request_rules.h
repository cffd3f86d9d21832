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

/// Checks the lines of a header section (with the request line) or of a trailer section, as
/// received.
std::optional<ParseError> check_field_lines(std::string_view section);
/// Checks how the end of a message's body is given. It must be the same for all who read the
/// message, or another message could be hidden in it (RFC 9112, 6).
std::optional<ParseError> check_framing(const Headers& headers, unsigned version);
/// Checks the request line and the header fields of a request.
std::optional<ParseError> check_header(const Request& request);
/// Checks trailer fields: framing, routing and request modifiers belong to the header section,
/// where they are known before the body is read (RFC 9110, 6.5.1).
std::optional<ParseError> check_trailers(const Headers& trailers);
/// Checks that a request that is to be forwarded has a Host. Simple health checks may come without.
std::optional<ParseError> check_host_present(const Request& request);
/// Checks the header fields on which the handling of a request depends. None of them may stand in
/// the trailers or be named as a connection option: it would be handled by one recipient and
/// removed for the next.
std::optional<ParseError> check_header_placement(const Request& request,
                                                 std::initializer_list<std::string_view> names);

/// Whether these bytes behind a request may be the beginning of another one. If not, the length of
/// the request was wrong, or its client does not speak HTTP.
bool may_begin_request(std::string_view bytes);

}  // namespace robinhoist::http
