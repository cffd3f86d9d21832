// What a record says of its day.
#pragma once
#include "day/scenario.h"
#include "record/meta.h"

namespace robinhoist::day {

record::Meta meta_of(const Scenario& day, long seed);

}  // namespace robinhoist::day
