#include "migration/step_journal.h"

#include <initializer_list>
#include <utility>

namespace robinhoist::migration {
namespace {

// Returns the enumerator that a field of an entry names. Throws journal::JournalError with the row
// and the field if the name is unknown.
template <class Enumerator>
Enumerator enumerator_named(const std::string& name, std::initializer_list<Enumerator> known,
                            const journal::Entry& entry, const char* field) {
  for (const Enumerator each : known)
    if (name == to_string(each))
      return each;
  throw journal::unreadable_entry(entry, field, name);
}

Direction direction_of(const journal::Entry& entry) {
  return enumerator_named(entry.direction, {Direction::apply, Direction::rollback}, entry,
                          "direction");
}

ProbeResult probe_result_of(const journal::Entry& entry) {
  return enumerator_named(entry.outcome, {ProbeResult::yes, ProbeResult::no, ProbeResult::unknown},
                          entry, "outcome");
}

StepResult run_result_of(const journal::Entry& entry) {
  return enumerator_named(entry.outcome,
                          {StepResult::done, StepResult::more, StepResult::not_run,
                           StepResult::unknown, StepResult::fenced},
                          entry, "outcome");
}

}  // namespace

StepJournal::StepJournal(journal::Journal& journal, std::string holder)
    : journal_(journal), holder_(std::move(holder)) {}

journal::Entry StepJournal::entry_for(const Plan& plan, int step, const char* kind,
                                      Direction direction, std::int64_t token) const {
  journal::Entry entry;
  entry.build = plan.build;
  entry.step = plan.steps[step].id;
  entry.what = kind;
  entry.direction = to_string(direction);
  entry.token = token;
  entry.digest = plan.steps[step].digest;
  entry.who = holder_;
  return entry;
}

void StepJournal::write_intent(const Plan& plan, const Action& action, std::int64_t token) {
  journal::Entry entry =
      entry_for(plan, action.step, journal::entry_kind::intent, action.direction, token);
  entry.after = action.cursor;
  entry.attempt = action.attempt;
  append(std::move(entry));
}

void StepJournal::write_run_result(const Plan& plan, const Action& action, StepResult result,
                                   std::int64_t cursor, const std::string& reason,
                                   std::int64_t token) {
  journal::Entry entry =
      entry_for(plan, action.step, journal::entry_kind::run_result, action.direction, token);
  entry.outcome = to_string(result);
  entry.after = cursor;
  entry.attempt = action.attempt;
  entry.why = reason;
  append(std::move(entry));
}

void StepJournal::write_probe_result(const Plan& plan, const Action& action, ProbeResult result,
                                     std::int64_t cursor, const std::string& reason,
                                     std::int64_t token) {
  journal::Entry entry =
      entry_for(plan, action.step, journal::entry_kind::probe_result, action.direction, token);
  entry.outcome = to_string(result);
  entry.after = cursor;
  entry.why = reason;
  append(std::move(entry));
}

void StepJournal::write_skip(const Plan& plan, int step, const std::string& operator_name,
                             const std::string& reason, std::int64_t token) {
  journal::Entry entry = entry_for(plan, step, journal::entry_kind::skip, Direction::apply, token);
  if (!operator_name.empty())
    entry.who = operator_name;
  entry.why = reason;
  append(std::move(entry));
}

void StepJournal::append(journal::Entry entry) {
  pending_.push_back(std::move(entry));
  flush();
  error_.clear();
}

void StepJournal::flush() {
  while (!pending_.empty()) {
    journal_.append(pending_.front());
    pending_.pop_front();
  }
}

void replay(PlanStateMachine& machine, const journal::Entry& entry) {
  const int step = machine.find_step(entry.step);
  if (step < 0)
    return;
  if (entry.what == journal::entry_kind::intent)
    machine.replay_intent(step, direction_of(entry));
  else if (entry.what == journal::entry_kind::skip)
    machine.replay_skip(step);
  else if (entry.what == journal::entry_kind::probe_result)
    machine.replay_probe_result(step, probe_result_of(entry), entry.after);
  else if (entry.what == journal::entry_kind::run_result)
    machine.replay_run_result(step, direction_of(entry), run_result_of(entry), entry.after);
  else
    throw journal::unreadable_entry(entry, "what", entry.what);
}

}  // namespace robinhoist::migration
