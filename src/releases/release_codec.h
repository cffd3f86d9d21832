/// Encodes release objects as JSON for clients, watches and the journal, and decodes them.
#pragma once
#include <string>

#include "json/reader.h"
#include "releases/release.h"

namespace robinhoist::releases {

/// Encodes the complete object.
std::string encode(const Release& release);

/// Encodes the object without the parts that change with each report of a proxy: votes,
/// acknowledgements and conditions.
std::string encode_brief(const Release& release);

/// Decodes the output of encode() to the extent that the controller needs after a restart: the
/// stages, proxies and steps of the status are not restored. Throws json::DecodeError.
Release decode(const std::string& text);

/// The API name of a phase; no value stands for a pending release.
const char* phase_name(const std::optional<ReleasePhase>& phase);

/// Decodes the field `phase` of a status; no value for a pending release. Throws json::DecodeError.
std::optional<ReleasePhase> decode_phase(const json::Value& status);

/// Creates the snapshot of an object for the store and watches.
objects::SnapshotPtr make_snapshot(const Release& release);

/// Formats a time according to RFC 3339, in UTC with milliseconds; empty for the epoch.
std::string rfc3339(WallMillis time);

}  // namespace robinhoist::releases
