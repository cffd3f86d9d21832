/// The migration runner's journal entries: writing them, and rebuilding the state of a plan from
/// them.
#pragma once
#include <cstdint>
#include <deque>
#include <string>

#include "journal/journal.h"
#include "migration/plan_state_machine.h"

namespace robinhoist::migration {

/// Writes the entries of one runner. Entries that could not be written, for example because the
/// disk was full, stay pending; they are written in order before the next entry.
class StepJournal {
 public:
  /// `holder` is the name of the runner, recorded in each entry that does not name an operator.
  StepJournal(journal::Journal& journal, std::string holder);

  /// Each of these returns once the entry is durable. When the entry cannot be written, it stays
  /// pending and journal::JournalError is thrown.
  void write_intent(const Plan& plan, const Action& action, std::int64_t token);
  void write_run_result(const Plan& plan, const Action& action, StepResult result,
                        std::int64_t cursor, const std::string& reason, std::int64_t token);
  void write_probe_result(const Plan& plan, const Action& action, ProbeResult result,
                          std::int64_t cursor, const std::string& reason, std::int64_t token);
  void write_skip(const Plan& plan, int step, const std::string& operator_name,
                  const std::string& reason, std::int64_t token);

  /// Writes the pending entries. Throws journal::JournalError when one cannot be written.
  void flush();
  /// Drops the pending entries.
  void discard_pending() { pending_.clear(); }

  /// Why entries cannot be written at present; empty when the journal works.
  const std::string& error() const { return error_; }
  void set_error(const std::string& error) { error_ = error; }

 private:
  journal::Entry entry_for(const Plan& plan, int step, const char* kind, Direction direction,
                           std::int64_t token) const;
  void append(journal::Entry entry);

  journal::Journal& journal_;
  std::string holder_;
  std::deque<journal::Entry> pending_{};
  std::string error_{};
};

/// Applies one journal entry to the state of its plan. Ignores entries of steps that the plan does
/// not have. Throws journal::JournalError, which names the row, for an entry with an unknown word.
void replay(PlanStateMachine& machine, const journal::Entry& entry);

}  // namespace robinhoist::migration
