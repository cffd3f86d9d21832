#include "json/reader.h"
#include "json/writer.h"
#include "rollout/rollout_state.h"

namespace robinhoist::rollout {
namespace {

// The version of the format below. Other versions are rejected.
constexpr int format_version = 1;
constexpr int last_phase = 3;  // the largest value of both ReleasePhase and MachinePhase

// Field names in the journal. Some of them predate the terms used in the code.
namespace field {
constexpr const char* format_version = "form";
constexpr const char* build = "build";
constexpr const char* stage = "stage";
constexpr const char* baseline = "baseline";
constexpr const char* newest_build = "newest_offered";
constexpr const char* next_machine = "next_machine";
constexpr const char* version = "version";
constexpr const char* phase = "phase";
constexpr const char* phase_age = "since_ms";
constexpr const char* stage_started = "begun";
constexpr const char* held_by_operator = "operator_holds";
constexpr const char* queued_build = "queued";
constexpr const char* machines = "machines";
constexpr const char* machine_id = "id";
constexpr const char* machine_slot = "place";
constexpr const char* past_outcomes = "fates";
}  // namespace field

ReleasePhase read_release_phase(const json::Value& object) {
  return static_cast<ReleasePhase>(json::integer(object, field::phase, 0, last_phase));
}

Machine read_machine(const json::Value& object) {
  const int slot = json::integer(object, field::machine_slot);
  const int build = json::integer(object, field::build);
  const int phase = json::integer(object, field::phase, 0, last_phase);
  return {slot, build, static_cast<MachinePhase>(phase), TimePoint{}};
}

void write_machines(json::Writer& out, const std::map<int, Machine>& machines) {
  out.begin_array(field::machines);
  for (const auto& [id, machine] : machines) {
    out.begin_object();
    out.put(field::machine_id, id);
    out.put(field::machine_slot, machine.slot);
    out.put(field::build, machine.build);
    out.put(field::phase, static_cast<int>(machine.phase));
    out.end_object();
  }
  out.end_array();
}

void write_past_outcomes(json::Writer& out, const std::map<int, ReleasePhase>& past_outcomes) {
  out.begin_array(field::past_outcomes);
  for (const auto& [build, phase] : past_outcomes) {
    out.begin_object();
    out.put(field::build, build);
    out.put(field::phase, static_cast<int>(phase));
    out.end_object();
  }
  out.end_array();
}

}  // namespace

std::string encode(const RolloutState& state) {
  json::Writer out;
  out.begin_object();
  out.put(field::format_version, format_version);
  out.put(field::build, state.build);
  out.put(field::stage, state.stage);
  out.put(field::baseline, state.baseline);
  out.put(field::newest_build, state.newest_build);
  out.put(field::next_machine, state.next_machine);
  out.put(field::version, state.version);
  out.put(field::phase, static_cast<int>(state.phase));
  out.put_ms(field::phase_age, state.phase_age);
  out.put(field::stage_started, state.stage_started);
  out.put(field::held_by_operator, state.held_by_operator);
  if (state.queued_build)
    out.put(field::queued_build, *state.queued_build);
  write_machines(out, state.machines);
  write_past_outcomes(out, state.past_outcomes);
  out.end_object();
  return out.text();
}

RolloutState decode_state(const std::string& text) {
  const auto document = json::parse_object(text);
  if (json::integer(document, field::format_version) != format_version)
    throw json::DecodeError("unsupported rollout state format version");
  RolloutState state;
  state.build = json::integer(document, field::build);
  state.stage = json::integer(document, field::stage);
  state.baseline = json::integer(document, field::baseline);
  state.newest_build = json::integer(document, field::newest_build);
  state.next_machine = json::integer(document, field::next_machine);
  state.version = json::integer(document, field::version);
  state.phase = read_release_phase(document);
  state.phase_age = json::duration(document, field::phase_age);
  state.stage_started = json::boolean(document, field::stage_started);
  state.held_by_operator = json::boolean(document, field::held_by_operator);
  if (json::has_value(document, field::queued_build))
    state.queued_build = json::integer(document, field::queued_build);
  for (const auto& item : json::array(document, field::machines).GetArray())
    state.machines[json::integer(item, field::machine_id)] = read_machine(item);
  for (const auto& item : json::array(document, field::past_outcomes).GetArray())
    state.past_outcomes[json::integer(item, field::build)] = read_release_phase(item);
  return state;
}

}  // namespace robinhoist::rollout
