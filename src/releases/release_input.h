/// What clients send to create or change a release, read and checked field by field.
#pragma once
#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <string_view>

#include "json/reader.h"
#include "releases/release.h"
#include "releases/request_error.h"

namespace robinhoist::releases {

/// Reads a JSON object as strictly as the API needs. Throws json::DecodeError on bad syntax or
/// encoding, on numbers out of range, and on nesting too deep to be meant.
rapidjson::Document parse_document(std::string_view text);

/// The release that `{metadata: {name, labels}, spec: {build, description}}` asks for; its name is
/// made from the build when it is left out. Throws RequestError with all that is wrong.
Release parse_creation(const json::Value& body);

/// A release with a merge patch (RFC 7396) applied.
struct PatchedRelease {
  Release release;
  /// The metadata.resourceVersion that the patch names.
  std::optional<std::int64_t> expected_version;
};

/// Applies a patch. What a client may not write must be left out of it or be as it is. Throws
/// RequestError with all that is wrong.
PatchedRelease apply_patch(const Release& release, const json::Value& patch);

}  // namespace robinhoist::releases
