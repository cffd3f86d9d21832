// Checks a played day's record against the five rules: from what endpoints received, what clients
// got and what each proxy had been told and when. It trusts nothing that an proxy says of itself.
#pragma once
#include <array>
#include <map>
#include <string>
#include <vector>

#include "record/meta.h"
#include "time/time_types.h"

namespace robinhoist::audit {

struct Rule {
  const char* name = "";
  long checked = 0, broken = 0, excused = 0;
  std::string first{};  // the first case, in words
  bool kept() const { return broken == 0; }
};

struct ClassStatistics {
  long asked = 0, succeeded_in_time = 0;
  std::vector<double> latencies_ms{};  // of succeeded tries
};

struct Release {
  TimePoint at;
  int build, stage;
  std::string phase, why;
};

struct Report {
  std::array<Rule, 5> rules{};
  Rule steps{.name = "steps in order"};  // of releases: beside the five rules
  long asked = 0, tries = 0, succeeded = 0, rejected = 0, failed = 0, rejected_before_routing = 0,
       unreached = 0, lost = 0, left = 0;
  long wrong = 0, attempts = 0, votes = 0;
  double weight_offered = 0, weight_in_time = 0, most_exposed = 0, most_pushed = 0;
  std::vector<ClassStatistics> request_classes{};
  std::vector<Release> releases{};
  std::vector<std::string> notes{};
  record::Meta meta{};
  bool kept() const;
};

// Throws json::DecodeError when the record can't be read.
Report check(const std::string& folder);
// One line for each rule, then the figures.
std::string shown(Report& report);

}  // namespace robinhoist::audit
