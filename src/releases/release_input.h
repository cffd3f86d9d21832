/// Parses and validates the request bodies that create or change a release.
#pragma once
#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <string_view>

#include "json/reader.h"
#include "releases/release.h"
#include "releases/request_error.h"

namespace robinhoist::releases {

/// Parses a JSON object strictly. Throws json::DecodeError on invalid syntax or encoding, on
/// numbers out of range, and on excessive nesting.
rapidjson::Document parse_document(std::string_view text);

/// Parses `{metadata: {name, labels}, spec: {build, description}}` as a new release. If the name is
/// absent, it is derived from the build. Throws RequestError with all errors found.
Release parse_creation(const json::Value& body);

/// A release with a merge patch (RFC 7396) applied.
struct PatchedRelease {
  Release release;
  /// The metadata.resourceVersion in the patch.
  std::optional<std::int64_t> expected_version;
};

/// Applies a patch. Read-only fields must be absent from the patch or unchanged. Throws
/// RequestError with all errors found.
PatchedRelease apply_patch(const Release& release, const json::Value& patch);

}  // namespace robinhoist::releases
