/// Creations with an Idempotency-Key: a request that is repeated gets the release that the first
/// one made. Keys are of one caller; the journal remembers them, and without a journal nothing
/// does.
#pragma once
#include <optional>

#include "controller/api_request.h"
#include "journal/journal.h"
#include "objects/store.h"

namespace robinhoist::controller {

/// The key of a creation, with a digest of what it asks for; nothing when the request has none.
/// Throws ApiError.
std::optional<journal::IdempotencyKey> idempotency_key(const ApiRequest& request);

/// The answer to a request whose key was used before; nothing when it was not. Throws ApiError when
/// the key came with another body. The journal may be null.
std::optional<http::Response> replay(const ApiRequest& request, const journal::IdempotencyKey& key,
                                     const journal::Journal* journal,
                                     const objects::Store& objects);

}  // namespace robinhoist::controller
