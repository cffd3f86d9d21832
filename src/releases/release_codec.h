/// Release objects as JSON, for clients, watches and the journal.
#pragma once
#include <string>

#include "json/reader.h"
#include "releases/release.h"

namespace robinhoist::releases {

/// The whole object.
std::string encode(const Release& release);

/// Without what changes with each proxy's report: votes, acknowledgements, conditions.
std::string encode_brief(const Release& release);

/// Reads what encode() gave, as far as the controller needs it after a restart: stages, proxies and
/// steps of the status are left out. Throws json::DecodeError.
Release decode(const std::string& text);

/// The name of a phase in the API; nothing is a release that is pending.
const char* phase_name(const std::optional<ReleasePhase>& phase);

/// Reads the field `phase` of a status; nothing for a release that is pending. Throws
/// json::DecodeError.
std::optional<ReleasePhase> decode_phase(const json::Value& status);

/// The object as the store and watches have it.
objects::SnapshotPtr make_snapshot(const Release& release);

/// A time as in RFC 3339, in UTC with milliseconds; empty for the epoch.
std::string rfc3339(WallMillis time);

}  // namespace robinhoist::releases
