/// The scenario's figures that the auditor needs to judge a record.
#pragma once
#include "day/scenario.h"
#include "record/meta.h"

namespace robinhoist::day {

record::Meta meta_of(const Scenario& scenario, long seed);

}  // namespace robinhoist::day
