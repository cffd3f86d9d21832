#include "cli/steps.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/api_client.h"
#include "json/reader.h"
#include "json/writer.h"
#include "migration/plan.h"
#include "settings/sexp_reader.h"

namespace robinhoist::cli {
namespace {

using namespace std::chrono_literals;

std::string content_of(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf()))
    throw settings::ValidationError(file + ": cannot be read", 1);
  return text.str();
}

// Prints the steps of a plan in the order in which they would run, by the point they run before.
int show_plan(const std::string& file, int stages) {
  settings::SexpReader form = settings::SexpReader::from_file(file);
  migration::Plan plan = migration::read_plan(form.child("plan"), stages);
  form.finish();
  std::cout << "plan of build " << plan.build << ", " << plan.steps.size()
            << " steps; nothing is run\n";
  std::string group;
  int number = 0;
  for (const migration::Step& step : plan.steps) {
    const std::string due = step.phase == migration::Phase::expand ? "before wave 0"
                            : step.phase == migration::Phase::migrate
                                ? "before wave " + std::to_string(step.before_stage)
                                : "once the release can no longer be rolled back";
    if (due != group)
      std::cout << due << ":\n";
    group = due;
    std::cout << "  " << ++number << ". " << step.id << " ("
              << (step.kind == migration::StepKind::data ? "data" : "schema") << ", "
              << (step.transactional ? "marker in its transaction"
                  : step.check_query.empty()
                      ? step.idempotent ? "idempotent" : "waits for the operator when in doubt"
                      : "runs its check when in doubt")
              << ", " << (step.rollback_with_release ? "undone" : "kept") << " on rollback)\n";
  }
  return 0;
}

// For example "at row 120 (60%, 4 s left) ".
std::string progress_text(const json::Value& step) {
  const long after = static_cast<long>(json::number(step, "after"));
  if (after <= 0)
    return "";
  std::string text = "at row " + std::to_string(after);
  if (json::has_value(step, "part")) {
    text += " (" + std::to_string(static_cast<int>(100 * json::number(step, "part"))) + "%";
    if (json::has_value(step, "left_ms"))
      text += ", " + std::to_string(static_cast<long>(json::number(step, "left_ms") / 1000 + 1)) +
              " s left";
    text += ")";
  }
  return text + " ";
}

// Prints the result of each step's check. Returns the exit status.
int show_verification(const std::string& body, bool print) {
  auto document = json::parse_object(body);
  bool all_hold = true;
  for (auto& step : json::array(document, "steps").GetArray()) {
    const std::string state = json::text(step, "state");
    if (print)
      std::printf("  build %-5d %-20s %-16s %s\n", json::integer(step, "build"),
                  json::text(step, "id").c_str(), state.c_str(), json::text(step, "why").c_str());
    all_hold &= state == "holds" || state == "skipped" || state == "undone";
  }
  return all_hold ? 0 : 1;
}

// Prints the state of all steps. Returns the exit status.
int show_status(const std::string& body, bool print) {
  auto document = json::parse_object(body);
  bool any_open = false, any_waits = false;
  if (print)
    std::cout << (json::boolean(document, "holds_lease") ? "holds the lease"
                                                         : "does not hold the lease")
              << ", token " << json::number(document, "token") << ", journal "
              << json::text(document, "journal") << "\n";
  for (auto& plan : json::array(document, "plans").GetArray()) {
    if (print)
      std::cout << "build " << json::integer(plan, "build")
                << (json::boolean(plan, "paused") ? ", paused" : "")
                << (json::boolean(plan, "undoing") ? ", rolling back" : "") << "\n";
    for (auto& step : json::array(plan, "steps").GetArray()) {
      const std::string state = json::text(step, "state"), why = json::text(step, "why");
      if (print)
        std::printf("  %-20s %-10s %-24s %s%s\n", json::text(step, "id").c_str(),
                    json::text(step, "phase").c_str(), state.c_str(), progress_text(step).c_str(),
                    why.c_str());
      any_waits |= state == "waits for the operator";
      any_open |= state != "applied" && state != "skipped" && state != "undone";
    }
  }
  return any_waits ? 3 : any_open ? 1 : 0;
}

// Calls the controller, with POST if there is a body, and prints the response. Returns the exit
// status.
int call_controller(const std::string& controller, const std::string& path, const std::string& body,
                    const std::string& author, bool as_json = false) {
  http::Request request;
  request.method = body.empty() ? "GET" : "POST";
  request.target = path;
  request.body = body;
  request.headers.add("X-Who", author);
  const ApiResponse response = send_request(controller, request);
  if (response.status == 0) {
    std::cerr << controller << ": no response from the controller\n";
    return 2;
  }
  if (response.status == 200) {
    if (path == "/v1/plans" || as_json)
      std::cout << response.body << "\n";
    if (path == "/v1/plans")
      return 0;
    return path == "/v1/steps/verify" ? show_verification(response.body, !as_json)
                                      : show_status(response.body, !as_json);
  }
  std::cerr << response.body << (response.body.empty() || response.body.back() != '\n' ? "\n" : "");
  return response.status == 409 ? 1 : 2;
}

}  // namespace

void add_steps(CLI::App& app, int& status) {
  struct Options {
    std::string file{}, controller{"127.0.0.1:8091"}, author{}, reason{}, step{}, output{"table"};
    int build = 0, stages = 3;
  };
  auto options = std::make_shared<Options>();
  const char* user = std::getenv("USER");
  options->author = user ? user : "operator";
  CLI::App* steps = app.add_subcommand(
      "steps", "Check, run, inspect and control the migration steps of releases");
  steps->require_subcommand(1);
  auto add = [&](const char* name, const char* description, std::function<int()> run) {
    CLI::App* sub = steps->add_subcommand(name, description);
    sub->callback([run, &status] { status = run(); });
    return sub;
  };
  auto with_controller = [options](CLI::App* sub) {
    sub->add_option("--controller", options->controller, "The controller's address")
        ->capture_default_str();
    sub->add_option("--who", options->author, "Name of the operator")->capture_default_str();
    return sub;
  };
  CLI::App* plan =
      add("plan", "Dry run: check a plan, show the order of its steps and what they run before",
          [options] { return show_plan(options->file, options->stages); });
  plan->add_option("FILE", options->file)->required();
  plan->add_option("--waves", options->stages, "Number of waves of the rollout")
      ->capture_default_str();
  CLI::App* run = with_controller(add(
      "run", "Submit a plan, new or edited, to the controller, which runs the steps that are due",
      [options] {
        return call_controller(options->controller, "/v1/plans", content_of(options->file),
                               options->author);
      }));
  run->add_option("FILE", options->file)->required();
  const auto format = [options](CLI::App* sub) {
    sub->add_option("-o,--output", options->output, "table or json")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();
  };
  format(with_controller(add("status",
                             "Show the state of each step; exit status 0 only if all are done, 3 "
                             "if one waits for the operator",
                             [options] {
                               return call_controller(options->controller, "/v1/steps", "",
                                                      options->author, options->output == "json");
                             })));
  format(with_controller(
      add("verify", "Run the checks of all applied steps again; exit status 0 only if all hold",
          [options] {
            return call_controller(options->controller, "/v1/steps/verify", "{}", options->author,
                                   options->output == "json");
          })));
  for (const std::string name : {"pause", "resume"})
    with_controller(add(name.c_str(),
                        name == "pause" ? "Start no further step or batch" : "Resume after a pause",
                        [options, name] {
                          return call_controller(options->controller, "/v1/steps/" + name,
                                                 json::Writer()
                                                     .begin_object()
                                                     .put("who", options->author)
                                                     .put("why", options->reason)
                                                     .end_object()
                                                     .text(),
                                                 options->author);
                        }))
        ->add_option("--reason", options->reason);
  for (const std::string name : {"retry", "skip"}) {
    CLI::App* sub = with_controller(
        add(name.c_str(),
            name == "retry" ? "Run a step again, which must be safe" : "Treat a step as done",
            [options, name] {
              return call_controller(options->controller, "/v1/steps/" + name,
                                     json::Writer()
                                         .begin_object()
                                         .put("build", options->build)
                                         .put("step", options->step)
                                         .put("who", options->author)
                                         .put("why", options->reason)
                                         .end_object()
                                         .text(),
                                     options->author);
            }));
    sub->add_option("STEP", options->step)->required();
    sub->add_option("--build", options->build)->required();
    sub->add_option("--reason", options->reason)->required(name == "skip");
  }
}

}  // namespace robinhoist::cli
