#include "json/fields.h"
#include "rollout/names.h"
#include "rollout/rollout.h"

namespace robinhoist::rollout {
namespace {
constexpr int form = 1;
ReleasePhase phase_of(const json::Json& object, const char* field) {
  return static_cast<ReleasePhase>(json::whole(object, field, 0, 3));
}
}  // namespace

std::string encoded(const Kept& kept) {
  json::Out out;
  out.open()
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
  out.open_list("machines");
  for (auto& [id, machine] : kept.machines)
    out.open()
        .put("id", id)
        .put("place", machine.place)
        .put("build", machine.build)
        .put("phase", static_cast<int>(machine.phase))
        .close();
  out.close_list().open_list("fates");
  for (auto& [build, fate] : kept.fates)
    out.open().put("build", build).put("phase", static_cast<int>(fate)).close();
  return out.close_list().close().text();
}

Kept decoded_kept(const std::string& text) {
  auto document = json::object_of(text);
  if (json::whole(document, "form") != form)
    throw json::BadInput("kept in a form that is not known here");
  Kept kept;
  kept.build = json::whole(document, "build");
  kept.stage = json::whole(document, "stage");
  kept.baseline = json::whole(document, "baseline");
  kept.newest_offered = json::whole(document, "newest_offered");
  kept.next_machine = json::whole(document, "next_machine");
  kept.version = json::whole(document, "version");
  kept.phase = phase_of(document, "phase");
  kept.since = json::duration_of(document, "since_ms");
  kept.begun = json::truth(document, "begun");
  kept.operator_holds = json::truth(document, "operator_holds");
  if (json::present(document, "queued"))
    kept.queued = json::whole(document, "queued");
  for (auto& each : json::array(document, "machines").GetArray())
    kept.machines[json::whole(each, "id")] = {
        json::whole(each, "place"), json::whole(each, "build"),
        static_cast<MachinePhase>(json::whole(each, "phase", 0, 3)), TimePoint{}};
  for (auto& each : json::array(document, "fates").GetArray())
    kept.fates[json::whole(each, "build")] = phase_of(each, "phase");
  return kept;
}

}  // namespace robinhoist::rollout
