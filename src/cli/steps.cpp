#include "cli/steps.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

#include "cli/ask.h"
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
    throw settings::ValidationError(file + ": can't be read", 1);
  return text.str();
}

// The order in which it would run, and what waits for what.
int show_plan(const std::string& file, int stages) {
  settings::SexpReader form = settings::SexpReader::from_file(file);
  migration::Plan plan = migration::read_plan(form.child("plan"), stages);
  form.finish();
  std::cout << "plan of build " << plan.build << ", " << plan.steps.size()
            << " steps; nothing is run\n";
  std::string gate;
  int number = 0;
  for (const migration::Step& step : plan.steps) {
    const std::string before = step.phase == migration::Phase::expand ? "before wave 0"
                               : step.phase == migration::Phase::migrate
                                   ? "before wave " + std::to_string(step.before_stage)
                                   : "once it can't be sent back";
    if (before != gate)
      std::cout << before << ":\n";
    gate = before;
    std::cout << "  " << ++number << ". " << step.id << " ("
              << (step.kind == migration::StepKind::data ? "data" : "schema") << ", "
              << (step.transactional ? "marked in its transaction"
                  : step.check_query.empty()
                      ? step.idempotent ? "may run twice" : "asks the operator when in doubt"
                      : "checked when in doubt")
              << ", on back " << (step.rollback_with_release ? "undone" : "kept") << ")\n";
  }
  return 0;
}

// "at row 120 (60%, 4 s left) ".
std::string progress_of(const json::Value& step) {
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

// What the checks, asked again, say of each step.
int show_verified(const std::string& body, bool print) {
  auto document = json::parse_object(body);
  bool well = true;
  for (auto& step : json::array(document, "steps").GetArray()) {
    const std::string state = json::text(step, "state");
    if (print)
      std::printf("  build %-5d %-20s %-16s %s\n", json::integer(step, "build"),
                  json::text(step, "id").c_str(), state.c_str(), json::text(step, "why").c_str());
    well &= state == "holds" || state == "skipped" || state == "undone";
  }
  return well ? 0 : 1;
}

int show_status(const std::string& body, bool print) {
  auto document = json::parse_object(body);
  bool open = false, waits = false;
  if (print)
    std::cout << (json::boolean(document, "holds_lease") ? "holds the lease"
                                                         : "does not hold the lease")
              << ", token " << json::number(document, "token") << ", journal "
              << json::text(document, "journal") << "\n";
  for (auto& plan : json::array(document, "plans").GetArray()) {
    if (print)
      std::cout << "build " << json::integer(plan, "build")
                << (json::boolean(plan, "paused") ? ", paused" : "")
                << (json::boolean(plan, "undoing") ? ", going back" : "") << "\n";
    for (auto& step : json::array(plan, "steps").GetArray()) {
      const std::string state = json::text(step, "state"), why = json::text(step, "why");
      if (print)
        std::printf("  %-20s %-10s %-24s %s%s\n", json::text(step, "id").c_str(),
                    json::text(step, "phase").c_str(), state.c_str(), progress_of(step).c_str(),
                    why.c_str());
      waits |= state == "waits for the operator";
      open |= state != "applied" && state != "skipped" && state != "undone";
    }
  }
  return waits ? 3 : open ? 1 : 0;
}

int tell(const std::string& controller, const std::string& path, const std::string& body,
         const std::string& who, bool as_json = false) {
  http::Request request;
  request.method = body.empty() ? "GET" : "POST";
  request.target = path;
  request.body = body;
  request.headers.add("X-Who", who);
  const Asked asked = ask(controller, request);
  if (asked.status == 0) {
    std::cerr << controller << ": no controller answers\n";
    return 2;
  }
  if (asked.status == 200) {
    if (path == "/v1/plans" || as_json)
      std::cout << asked.body << "\n";
    if (path == "/v1/plans")
      return 0;
    return path == "/v1/steps/verify" ? show_verified(asked.body, !as_json)
                                      : show_status(asked.body, !as_json);
  }
  std::cerr << asked.body << (asked.body.empty() || asked.body.back() != '\n' ? "\n" : "");
  return asked.status == 409 ? 1 : 2;
}

}  // namespace

void add_steps(CLI::App& app, int& status) {
  struct Words {
    std::string file{}, controller{"127.0.0.1:8091"}, who{}, why{}, step{}, output{"table"};
    int build = 0, stages = 3;
  };
  auto words = std::make_shared<Words>();
  const char* user = std::getenv("USER");
  words->who = user ? user : "operator";
  CLI::App* steps = app.add_subcommand(
      "steps", "Schema and data steps of releases: plans, state, the operator's words");
  steps->require_subcommand(1);
  auto add = [&](const char* name, const char* what, std::function<int()> run) {
    CLI::App* sub = steps->add_subcommand(name, what);
    sub->callback([run, &status] { status = run(); });
    return sub;
  };
  auto to = [words](CLI::App* sub) {
    sub->add_option("--controller", words->controller, "The controller's address")
        ->capture_default_str();
    sub->add_option("--who", words->who, "Who says so")->capture_default_str();
    return sub;
  };
  CLI::App* plan = add("plan", "Dry run: check a plan, show its order and what each wave waits for",
                       [words] { return show_plan(words->file, words->stages); });
  plan->add_option("FILE", words->file)->required();
  plan->add_option("--waves", words->stages, "How many waves the rollout has")
      ->capture_default_str();
  CLI::App* run = to(
      add("run", "Give a plan, new or edited, to the controller, which runs what is due", [words] {
        return tell(words->controller, "/v1/plans", content_of(words->file), words->who);
      }));
  run->add_option("FILE", words->file)->required();
  const auto format = [words](CLI::App* sub) {
    sub->add_option("-o,--output", words->output, "table or json")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();
  };
  format(to(
      add("status", "Where each step stands; exit status 0 only when all is done, 3 when one waits",
          [words] {
            return tell(words->controller, "/v1/steps", "", words->who, words->output == "json");
          })));
  format(to(add("verify",
                "Ask the checks of all applied steps again; exit status 0 only when all hold",
                [words] {
                  return tell(words->controller, "/v1/steps/verify", "{}", words->who,
                              words->output == "json");
                })));
  for (const std::string name : {"pause", "resume"})
    to(add(name.c_str(), name == "pause" ? "Begin no further step or batch" : "Go on",
           [words, name] {
             return tell(words->controller, "/v1/steps/" + name,
                         json::Writer()
                             .begin_object()
                             .put("who", words->who)
                             .put("why", words->why)
                             .end_object()
                             .text(),
                         words->who);
           }))
        ->add_option("--reason", words->why);
  for (const std::string name : {"retry", "skip"}) {
    CLI::App* sub = to(
        add(name.c_str(),
            name == "retry" ? "Try a step again: you know that it is safe" : "Take a step as done",
            [words, name] {
              return tell(words->controller, "/v1/steps/" + name,
                          json::Writer()
                              .begin_object()
                              .put("build", words->build)
                              .put("step", words->step)
                              .put("who", words->who)
                              .put("why", words->why)
                              .end_object()
                              .text(),
                          words->who);
            }));
    sub->add_option("STEP", words->step)->required();
    sub->add_option("--build", words->build)->required();
    sub->add_option("--reason", words->why)->required(name == "skip");
  }
}

}  // namespace robinhoist::cli
