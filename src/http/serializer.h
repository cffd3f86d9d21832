/// HTTP/1.1 messages as bytes.
#pragma once
#include <string>
#include <string_view>

#include "http/message.h"

namespace robinhoist::http {

/// Appends a request. Its length is stated, except for a GET or HEAD without a body.
void serialize(std::string& out, const Request& request, std::string_view host);

/// Appends a response. Its length is stated unless the status has no body; `head_only` leaves the
/// body out, as the answer to a HEAD does.
void serialize(std::string& out, const Response& response, bool head_only);

/// Appends the head of a chunked response, whose body follows in chunks.
void serialize_head(std::string& out, const Response& response);
/// Appends one chunk; nothing for an empty one, which would end the body.
void serialize_chunk(std::string& out, std::string_view bytes);
/// Appends the end of a chunked body.
void serialize_last_chunk(std::string& out);

}  // namespace robinhoist::http
