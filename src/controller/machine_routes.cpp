#include "controller/machine_routes.h"

#include "json/fields.h"

namespace robinhoist::controller {
namespace {

// The names of fields that differ from the terms used in the code.
namespace field {
constexpr const char* commands = "orders";
constexpr const char* kind = "is";
constexpr const char* slot = "place";
}  // namespace field

}  // namespace

void MachineRoutes::fetch_commands(const ApiRequest& request) {
  json::Out out;
  out.open();
  out.open_list(field::commands);
  for (const rollout::Command& command : commands_) {
    out.open();
    out.put(field::kind, rollout::to_string(command.kind));
    out.put("machine", command.machine);
    out.put(field::slot, command.slot);
    out.put("build", command.build);
    out.close();
  }
  out.close_list();
  out.close();
  commands_.clear();
  request.exchange->answer(http::json_response(200, out.text()));
}

void MachineRoutes::report(const ApiRequest& request) {
  try {
    const auto body = json::object_of(request.http().body);
    const int machine = json::whole(body, "machine");
    const bool is_up = json::enumerator<bool>(body, "state", {{"up", true}, {"gone", false}});
    if (is_up)
      rollout_.machine_started(machine, loop_.now());
    else
      rollout_.machine_stopped(machine, loop_.now());
  } catch (const json::BadInput& error) {
    request.exchange->answer(http::text_response(422, std::string(error.what()) + "\n"));
    return;
  }
  decide_();
  request.exchange->answer(http::json_response(200, "{}"));
}

}  // namespace robinhoist::controller
