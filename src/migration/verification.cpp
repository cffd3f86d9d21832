#include "migration/verification.h"

#include <utility>

#include "json/writer.h"

namespace robinhoist::migration {
namespace {

std::string text_of(ProbeResult result) {
  switch (result) {
    case ProbeResult::yes:
      return "holds";
    case ProbeResult::no:
      return "does not hold";
    case ProbeResult::unknown:
      break;
  }
  return "not answered";
}

/// The state that is reported without a query to the target; empty for a step that was applied.
std::string known_state(const Progress& progress) {
  if (progress.skipped)
    return "skipped";
  return progress.state == StepState::applied ? "" : to_string(progress.state);
}

}  // namespace

Verification::Verification(Target& target, const Lease& lease, DoneHandler done)
    : target_(target), lease_(lease), done_(std::move(done)) {}

void Verification::add_plan(const PlanStateMachine& machine) {
  const Plan& plan = machine.plan();
  for (std::size_t i = 0; i < plan.steps.size(); ++i)
    items_.push_back({plan.build, plan.steps[i], known_state(machine.progress()[i])});
}

void Verification::start() {
  verify_next();
}

void Verification::verify_next() {
  for (; next_ < items_.size(); ++next_) {
    Item& item = items_[next_];
    if (!item.state.empty())
      continue;
    const bool has_check = !item.step.check_query.empty();
    if (!has_check && !item.step.transactional) {
      item.state = "nothing can tell";
      continue;
    }
    const auto handler = [self = shared_from_this()](const ProbeOutcome& outcome) {
      self->on_answer(outcome);
    };
    if (has_check)
      target_.run_check(item.step, handler);
    else
      target_.query_marker(item.build, item.step, lease_.token(), handler);
    return;
  }
  done_(to_json());
}

void Verification::on_answer(const ProbeOutcome& outcome) {
  Item& item = items_[next_];
  item.state = text_of(outcome.applied);
  item.reason = outcome.reason;
  ++next_;
  verify_next();
}

std::string Verification::to_json() const {
  json::Writer json;
  json.begin_object().begin_array("steps");
  for (const Item& item : items_)
    json.begin_object()
        .put("build", item.build)
        .put("id", item.step.id)
        .put("state", item.state)
        .put("why", item.reason)
        .end_object();
  return json.end_array().end_object().text();
}

}  // namespace robinhoist::migration
