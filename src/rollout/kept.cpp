#include "json/reader.h"
#include "json/writer.h"
#include "rollout/names.h"
#include "rollout/rollout.h"

namespace robinhoist::rollout {
namespace {
constexpr int form = 1;
ReleasePhase phase_of(const json::Value& object, const char* field) {
  return static_cast<ReleasePhase>(json::integer(object, field, 0, 3));
}
}  // namespace

std::string encoded(const Kept& kept) {
  json::Writer out;
  out.begin_object()
      .put("form", form)
      .put("build", kept.build)
      .put("stage", kept.stage)
      .put("baseline", kept.baseline);
  out.put("newest_offered", kept.newest_offered).put("next_machine", kept.next_machine);
  out.put("version", kept.version)
      .put("phase", static_cast<int>(kept.phase))
      .put_ms("since_ms", kept.since);
  out.put("begun", kept.begun).put("operator_holds", kept.operator_holds);
  if (kept.queued)
    out.put("queued", *kept.queued);
  out.begin_array("machines");
  for (auto& [id, machine] : kept.machines)
    out.begin_object()
        .put("id", id)
        .put("place", machine.place)
        .put("build", machine.build)
        .put("phase", static_cast<int>(machine.phase))
        .end_object();
  out.end_array().begin_array("fates");
  for (auto& [build, fate] : kept.fates)
    out.begin_object().put("build", build).put("phase", static_cast<int>(fate)).end_object();
  return out.end_array().end_object().text();
}

Kept decoded_kept(const std::string& text) {
  auto document = json::parse_object(text);
  if (json::integer(document, "form") != form)
    throw json::DecodeError("kept in a form that is not known here");
  Kept kept;
  kept.build = json::integer(document, "build");
  kept.stage = json::integer(document, "stage");
  kept.baseline = json::integer(document, "baseline");
  kept.newest_offered = json::integer(document, "newest_offered");
  kept.next_machine = json::integer(document, "next_machine");
  kept.version = json::integer(document, "version");
  kept.phase = phase_of(document, "phase");
  kept.since = json::duration(document, "since_ms");
  kept.begun = json::boolean(document, "begun");
  kept.operator_holds = json::boolean(document, "operator_holds");
  if (json::has_value(document, "queued"))
    kept.queued = json::integer(document, "queued");
  for (auto& each : json::array(document, "machines").GetArray())
    kept.machines[json::integer(each, "id")] = {
        json::integer(each, "place"), json::integer(each, "build"),
        static_cast<MachinePhase>(json::integer(each, "phase", 0, 3)), TimePoint{}};
  for (auto& each : json::array(document, "fates").GetArray())
    kept.fates[json::integer(each, "build")] = phase_of(each, "phase");
  return kept;
}

}  // namespace robinhoist::rollout
