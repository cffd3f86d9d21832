#include "controller/machine_routes.h"

#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::controller {
namespace {

// Field names of the API that differ from the terms used in the code.
namespace field {
constexpr const char* commands = "orders";
constexpr const char* kind = "is";
constexpr const char* slot = "place";
}  // namespace field

}  // namespace

void MachineRoutes::fetch_commands(const ApiRequest& request) {
  json::Writer out;
  out.begin_object();
  out.begin_array(field::commands);
  for (const rollout::Command& command : commands_) {
    out.begin_object();
    out.put(field::kind, rollout::to_string(command.kind));
    out.put("machine", command.machine);
    out.put(field::slot, command.slot);
    out.put("build", command.build);
    out.end_object();
  }
  out.end_array();
  out.end_object();
  commands_.clear();
  request.exchange->answer(http::json_response(200, out.text()));
}

void MachineRoutes::report(const ApiRequest& request) {
  try {
    const auto body = json::parse_object(request.http().body);
    const int machine = json::integer(body, "machine");
    const bool is_up = json::enumerator<bool>(body, "state", {{"up", true}, {"gone", false}});
    if (is_up)
      rollout_.machine_started(machine, loop_.now());
    else
      rollout_.machine_stopped(machine, loop_.now());
  } catch (const json::DecodeError& error) {
    request.exchange->answer(http::text_response(422, std::string(error.what()) + "\n"));
    return;
  }
  decide_();
  request.exchange->answer(http::json_response(200, "{}"));
}

}  // namespace robinhoist::controller
