/// Creation requests with an Idempotency-Key: a repeated request returns the release that the first
/// one created. Keys are scoped to a caller and stored in the journal; without a journal they have
/// no effect.
#pragma once
#include <optional>

#include "controller/api_request.h"
#include "journal/journal.h"
#include "objects/store.h"

namespace robinhoist::controller {

/// The key of a creation request, with a digest of the body; no value if the request has no key.
/// Throws ApiError.
std::optional<journal::IdempotencyKey> idempotency_key(const ApiRequest& request);

/// The response to a request whose key was used before; no value if it was not. Throws ApiError if
/// the key was used with a different body. The journal may be null.
std::optional<http::Response> replay(const ApiRequest& request, const journal::IdempotencyKey& key,
                                     const journal::Journal* journal,
                                     const objects::Store& objects);

}  // namespace robinhoist::controller
