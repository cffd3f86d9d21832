/// Serialization of HTTP/1.1 messages.
#pragma once
#include <string>
#include <string_view>

#include "http/message.h"

namespace robinhoist::http {

/// Appends a request, with a Content-Length unless it is a GET or HEAD without a body.
void serialize(std::string& out, const Request& request, std::string_view host);

/// Appends a response, with a Content-Length unless its status allows no body. `head_only` omits
/// the body, as in the response to a HEAD.
void serialize(std::string& out, const Response& response, bool head_only);

/// Appends the status line and header section of a chunked response.
void serialize_head(std::string& out, const Response& response);
/// Appends one chunk. Appends nothing for empty `bytes`, because an empty chunk would end the body.
void serialize_chunk(std::string& out, std::string_view bytes);
/// Appends the last chunk, which ends the body.
void serialize_last_chunk(std::string& out);

}  // namespace robinhoist::http
