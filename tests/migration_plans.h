/// Helper of the migration tests: parses plans.
#pragma once
#include <string>

#include "migration/plan.h"
#include "settings/sexp_reader.h"

namespace robinhoist::tests {

/// Parses a plan for a rollout of three stages. Throws settings::ValidationError.
inline migration::Plan parse_plan(const std::string& text) {
  auto reader = settings::SexpReader::from_text(text, "plan");
  migration::Plan plan = migration::read_plan(reader.child("plan"), 3);
  reader.finish();
  return plan;
}

}  // namespace robinhoist::tests
