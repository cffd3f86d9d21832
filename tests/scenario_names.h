/// The names of enumerators in the notation of tests/scenarios (see README.md there).
#pragma once
#include <map>
#include <stdexcept>
#include <string>

#include "policy/endpoint.h"
#include "policy/release.h"
#include "policy/request.h"

namespace robinhoist {

/// The enumerators of one enumeration by their names in the notation.
template <class T>
using Names = std::map<std::string, T>;

/// The value with this name; throws std::runtime_error for an unknown name.
template <class T>
T enumerator(const std::string& name, const Names<T>& names) {
  const auto found = names.find(name);
  if (found == names.end())
    throw std::runtime_error("unknown name " + name);
  return found->second;
}

inline const Names<Outcome> outcome_names = {{"ok", Outcome::ok},
                                             {"error", Outcome::error},
                                             {"full", Outcome::rejected},
                                             {"timeout", Outcome::timeout},
                                             {"noconn", Outcome::connect_failure},
                                             {"reset", Outcome::reset},
                                             {"cancelled", Outcome::cancelled},
                                             {"moot", Outcome::obsolete},
                                             {"unknown", Outcome::unknown}};
inline const Names<Idempotency> idempotency_names = {
    {"inquiry", Idempotency::idempotent},
    {"referenced", Idempotency::idempotent_with_key},
    {"once", Idempotency::non_idempotent}};
inline const Names<DedupScope> dedup_scope_names = {
    {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};
inline const Names<EndpointPhase> endpoint_phase_names = {{"in", EndpointPhase::ready},
                                                          {"lame", EndpointPhase::draining},
                                                          {"out", EndpointPhase::removed}};
inline const Names<ReleasePhase> release_phase_names = {{"trial", ReleasePhase::canary},
                                                        {"back", ReleasePhase::rolling_back},
                                                        {"released", ReleasePhase::released},
                                                        {"withdrawn", ReleasePhase::rolled_back}};
inline const Names<PromotionMode> promotion_mode_names = {{"first", PromotionMode::first_vote},
                                                          {"count", PromotionMode::count},
                                                          {"clock", PromotionMode::clock}};

/// The name of a verdict in the notation.
inline const char* verdict_name(Verdict verdict) {
  switch (verdict) {
    case Verdict::none:
      return "none";
    case Verdict::promote:
      return "on";
    case Verdict::hold:
      return "hold";
    case Verdict::roll_back:
      return "back";
  }
  return "?";
}

}  // namespace robinhoist
