#include "releases/release.h"

#include <algorithm>

namespace robinhoist::releases {

void Status::set_condition(const Condition& condition, WallMillis now) {
  auto found = std::find_if(conditions.begin(), conditions.end(),
                            [&](const Condition& each) { return each.type == condition.type; });
  if (found == conditions.end()) {
    found = conditions.insert(found, Condition{.type = condition.type});
    found->last_transition = now;
  } else if (found->status != condition.status) {
    found->last_transition = now;
  }
  found->status = condition.status;
  found->reason = condition.reason;
  found->message = condition.message;
}

}  // namespace robinhoist::releases
