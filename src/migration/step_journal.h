/// What the migration runner writes to the journal, and how a plan's state is rebuilt from it.
#pragma once
#include <cstdint>
#include <deque>
#include <string>

#include "journal/journal.h"
#include "migration/plan_state_machine.h"

namespace robinhoist::migration {

/// Writes the entries of one runner. Entries that the journal has not taken, for the disk is full
/// or failing, are kept and written first, in their order, with the next one.
class StepJournal {
 public:
  /// `holder` is the runner, named in each entry that no operator is named in.
  StepJournal(journal::Journal& journal, std::string holder);

  /// Each returns once the entry is durable and throws journal::JournalError when it cannot be
  /// written; the entry is then pending.
  void write_intent(const Plan& plan, const Action& action, std::int64_t token);
  void write_run_result(const Plan& plan, const Action& action, StepResult result,
                        std::int64_t cursor, const std::string& reason, std::int64_t token);
  void write_probe_result(const Plan& plan, const Action& action, ProbeResult result,
                          std::int64_t cursor, const std::string& reason, std::int64_t token);
  void write_skip(const Plan& plan, int step, const std::string& operator_name,
                  const std::string& reason, std::int64_t token);

  /// Writes the pending entries. Throws journal::JournalError when the journal does not take them.
  void flush();
  /// Forgets the pending entries.
  void discard_pending() { pending_.clear(); }

  /// Why the journal takes nothing at present; empty when it works.
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

/// Applies one entry of the journal to the state of its plan. Entries of steps that the plan does
/// not have are ignored. Throws journal::JournalError, with the row, for one that makes no sense.
void replay(PlanStateMachine& machine, const journal::Entry& entry);

}  // namespace robinhoist::migration
