#include "cli/release.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>

#include "cli/api_client.h"
#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::cli {
namespace {

using namespace std::chrono_literals;
using json::Value;

// The options of all sub-commands; each uses some of them.
struct Options {
  std::string controller{"127.0.0.1:8091"}, author{}, reason{}, name{}, description{},
      idempotency_key{}, label_selector{}, field_selector{};
  std::string output{"table"}, if_version{};
  std::vector<std::string> labels{};
  int build = 0;
  bool until_done = false, dry_run = false;
  bool as_json() const { return output == "json"; }
};

std::string percent_encoded(const std::string& text) {
  std::string out;
  for (unsigned char c : text) {
    if (std::isalnum(c) || c == '-' || c == '.' || c == '_') {
      out += static_cast<char>(c);
    } else {
      char hex[4];
      std::snprintf(hex, sizeof hex, "%%%02X", c);
      out += hex;
    }
  }
  return out;
}

http::Request make_request(const std::string& method, const std::string& target,
                           const std::string& body = "") {
  http::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!body.empty())
    request.headers.add("Content-Type", "application/json");
  return request;
}

std::string release_path(const Options& options) {
  return "/v1/releases/" + percent_encoded(options.name);
}

// Prints why a request failed. Returns the exit status.
int report_error(const Options& options, const ApiResponse& response) {
  if (response.status == 0) {
    std::cerr << options.controller << ": no response from the controller\n";
    return 2;
  }
  try {
    const auto problem = json::parse_object(response.body);
    std::cerr << json::text(problem, "title") << ": " << json::text(problem, "detail") << "\n";
    if (json::has_value(problem, "errors"))
      for (auto& error : json::array(problem, "errors").GetArray())
        std::cerr << "  " << json::text(error, "pointer") << " " << json::text(error, "detail")
                  << "\n";
  } catch (const json::DecodeError&) {
    std::cerr << response.body << "\n";
  }
  return response.status == 409 || response.status == 410 || response.status == 429 ? 1 : 2;
}

std::string held_suffix(const Value& status) {
  return json::boolean(status, "held") ? ", held" : "";
}

// For example "trial, held, wave 1, cap 0.30".
std::string state_text(const Value& status) {
  const std::string phase = json::text(status, "phase");
  std::string text = phase + held_suffix(status);
  if (phase == "trial") {
    char cap[32];
    std::snprintf(cap, sizeof cap, "%.2f", json::number(status, "cap"));
    text += ", wave " + std::to_string(json::integer(status, "stage")) + ", cap " + cap;
  }
  return text;
}

void print_row(const Value& release) {
  const Value &status = json::nested_object(release, "status"),
              &machines = json::nested_object(status, "machines");
  int promote = 0, hold = 0, roll_back = 0;
  for (auto& proxy : json::array(status, "umpires").GetArray()) {
    const std::string vote = json::text(proxy, "vote");
    promote += vote == "on", hold += vote == "hold", roll_back += vote == "back";
  }
  const std::string votes =
      std::to_string(promote) + "/" + std::to_string(hold) + "/" + std::to_string(roll_back);
  const std::string up = std::to_string(json::integer(machines, "up")) + "/" +
                         std::to_string(json::integer(machines, "all"));
  std::printf("%-20s %6d  %-30s %9s  %13s  %s\n",
              json::text(json::nested_object(release, "metadata"), "name").c_str(),
              json::integer(json::nested_object(release, "spec"), "build"),
              state_text(status).c_str(), up.c_str(), votes.c_str(),
              json::text(status, "why").c_str());
}

void print_header() {
  std::printf("%-20s %6s  %-30s %9s  %13s  %s\n", "NAME", "BUILD", "STANDS", "MACHINES",
              "ON/HOLD/BACK", "WHY");
}

int show(const Options& options, const ApiResponse& response) {
  if (response.status < 200 || response.status >= 300)
    return report_error(options, response);
  if (options.as_json()) {
    std::cout << response.body << "\n";
    return 0;
  }
  const auto release = json::parse_object(response.body);
  if (json::text(release, "kind") != "Release") {
    std::cout << "done\n";
    return 0;
  }
  print_header();
  print_row(release);
  return 0;
}

int list(const Options& options) {
  ApiResponse response;
  std::string continue_token;
  // In pages, so that the size of a response is limited.
  bool first = true;
  do {
    response = send_request(
        options.controller,
        make_request("GET", "/v1/releases?limit=200&labelSelector=" +
                                percent_encoded(options.label_selector) +
                                "&fieldSelector=" + percent_encoded(options.field_selector) +
                                "&continue=" + percent_encoded(continue_token)));
    if (response.status != 200)
      return report_error(options, response);
    const auto page = json::parse_object(response.body);
    continue_token = json::text_or(json::nested_object(page, "metadata"), "continue", "");
    if (first && !options.as_json())
      print_header();
    first = false;
    for (auto& release : json::array(page, "items").GetArray()) {
      if (options.as_json())
        std::cout << json::Writer().put(nullptr, release).text() << "\n";
      else
        print_row(release);
    }
  } while (!continue_token.empty());
  return 0;
}

int describe(const Options& options) {
  const ApiResponse response =
      send_request(options.controller, make_request("GET", release_path(options)));
  if (response.status != 200)
    return report_error(options, response);
  if (options.as_json())
    return std::cout << response.body << "\n", 0;
  const auto release = json::parse_object(response.body);
  const Value &metadata = json::nested_object(release, "metadata"),
              &status = json::nested_object(release, "status");
  std::cout << "Name:         " << json::text(metadata, "name") << "\n"
            << "Build:        " << json::integer(json::nested_object(release, "spec"), "build")
            << "\n"
            << "Description:  " << json::text(json::nested_object(release, "spec"), "description")
            << "\n"
            << "Created:      " << json::text(metadata, "creationTimestamp") << "\n";
  if (json::has_value(metadata, "deletionTimestamp"))
    std::cout << "Deleted:      " << json::text(metadata, "deletionTimestamp") << "\n";
  std::cout << "Version:      " << json::text(metadata, "resourceVersion") << " (generation "
            << json::number(metadata, "generation") << ")\nLabels:      ";
  for (auto& label : json::nested_object(metadata, "labels").GetObject())
    std::cout << " " << label.name.GetString() << "=" << label.value.GetString();
  std::cout << "\nState:        " << state_text(status) << ", since " << json::text(status, "since")
            << "\nWhy:          " << json::text(status, "why") << "\nWaves:\n";
  int number = 0;
  for (auto& stage : json::array(status, "waves").GetArray())
    std::printf("  %d  share %.2f  cap %.2f  %s\n", number++, json::number(stage, "share"),
                json::number(stage, "cap"), json::text(stage, "state").c_str());
  if (json::array(status, "steps").Size() > 0)
    std::cout << "Steps:\n";
  for (auto& step : json::array(status, "steps").GetArray())
    std::printf("  %-20s %-10s %s\n", json::text(step, "id").c_str(),
                json::text(step, "phase").c_str(), json::text(step, "state").c_str());
  std::cout << "Proxies:\n";
  for (auto& proxy : json::array(status, "umpires").GetArray()) {
    std::printf("  %-20s vote %-5s", json::text(proxy, "name").c_str(),
                json::text(proxy, "vote").c_str());
    if (json::has_value(proxy, "acknowledgedCap"))
      std::printf("  acknowledged cap %.2f of wave %d at %s",
                  json::number(proxy, "acknowledgedCap"), json::integer(proxy, "stage"),
                  json::text(proxy, "acknowledgedAt").c_str());
    std::printf("\n");
  }
  std::cout << "Conditions:\n";
  for (auto& condition : json::array(status, "conditions").GetArray())
    std::printf("  %-12s %-6s %-14s %s  %s\n", json::text(condition, "type").c_str(),
                json::text(condition, "status").c_str(), json::text(condition, "reason").c_str(),
                json::text(condition, "lastTransitionTime").c_str(),
                json::text(condition, "message").c_str());
  return 0;
}

// Reconnects when the connection breaks or the controller restarts, and resumes after the last
// event. Gives up after 60 failed attempts in a row, a second apart.
int watch(const Options& options) {
  std::string series, name = options.name, phase;
  std::int64_t version = 0;
  bool can_resume = false, over = false;
  if (!options.as_json())
    print_header();
  std::fflush(stdout);
  for (int failed = 0; !over && failed < 60;) {
    std::string target =
        "/v1/releases?watch=1&labelSelector=" + percent_encoded(options.label_selector);
    if (!name.empty())
      target += "&fieldSelector=" + percent_encoded("metadata.name=" + name);
    if (can_resume)
      target += "&series=" + series + "&resourceVersion=" + std::to_string(version);
    ApiResponse response;
    const bool has_streamed = follow_stream(
        options.controller, make_request("GET", target), response, [&](const std::string& text) {
          const auto event = json::parse_object(text);
          const std::string type = json::text(event, "type");
          if (type == "ERROR") {
            can_resume = json::number(json::nested_object(event, "object"), "code") != 410;
            return false;
          }
          version = static_cast<std::int64_t>(json::number(event, "version"));
          if (type == "BOOKMARK") {
            series = json::text(event, "series");
            can_resume = true;
            return true;
          }
          const Value& release = json::nested_object(event, "object");
          if (options.as_json()) {
            std::cout << text << "\n";
          } else {
            print_row(release);
            if (type == "DELETED")
              std::printf("%-20s deleted\n",
                          json::text(json::nested_object(release, "metadata"), "name").c_str());
          }
          std::fflush(stdout);
          phase = type == "DELETED" ? "withdrawn"
                                    : json::text(json::nested_object(release, "status"), "phase");
          over =
              options.until_done && !name.empty() && (phase == "released" || phase == "withdrawn");
          return !over;
        });
    if (over)
      break;
    if (has_streamed) {
      failed = 0;
      continue;
    }
    if (response.status == 410)
      can_resume = false;
    else if (response.status != 0 && response.status != 200)
      return report_error(options, response);
    ++failed;
    std::this_thread::sleep_for(1s);
  }
  if (!over)
    return report_error(options, {});
  return phase == "released" ? 0 : 3;
}

int create(const Options& options) {
  json::Writer out;
  out.begin_object().begin_object("metadata");
  if (!options.name.empty())
    out.put("name", options.name);
  out.begin_object("labels");
  for (const std::string& label : options.labels) {
    const std::size_t equals = label.find('=');
    if (equals == std::string::npos) {
      std::cerr << "--label " << label << ": must be NAME=VALUE\n";
      return 2;
    }
    out.put(label.substr(0, equals).c_str(), label.substr(equals + 1));
  }
  out.end_object().end_object().begin_object("spec").put("build", options.build);
  if (!options.description.empty())
    out.put("description", options.description);
  http::Request request =
      make_request("POST", std::string("/v1/releases") + (options.dry_run ? "?dryRun=All" : ""),
                   out.end_object().end_object().text());
  if (!options.idempotency_key.empty())
    request.headers.add("Idempotency-Key", options.idempotency_key);
  return show(options, send_request(options.controller, request));
}

int request_action(const Options& options, const std::string& action) {
  http::Request request = make_request("POST", release_path(options) + "/" + action,
                                       json::Writer()
                                           .begin_object()
                                           .put("reason", options.reason)
                                           .put("author", options.author)
                                           .end_object()
                                           .text());
  if (!options.if_version.empty())
    request.headers.add("If-Match", "\"" + options.if_version + "\"");
  return show(options, send_request(options.controller, request));
}

}  // namespace

void add_release(CLI::App& app, int& status) {
  auto options = std::make_shared<Options>();
  const char* user = std::getenv("USER");
  options->author = user ? user : "operator";
  CLI::App* release =
      app.add_subcommand("release", "Create, inspect, watch, hold, resume and roll back releases");
  release->require_subcommand(1);
  const auto add = [&](const char* name, const char* description, std::function<int()> run) {
    CLI::App* sub = release->add_subcommand(name, description);
    sub->callback([run, &status] { status = run(); });
    sub->add_option("--controller", options->controller, "The controller's address")
        ->capture_default_str();
    sub->add_option("-o,--output", options->output, "table or json")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();
    return sub;
  };
  const auto with_name = [&](CLI::App* sub) {
    sub->add_option("NAME", options->name, "Name of the release")->required();
    return sub;
  };
  CLI::App* creates = add("create", "Create a release and submit its build",
                          [options] { return create(*options); });
  creates->add_option("--build", options->build, "Number of the build")->required();
  creates->add_option("--name", options->name, "Name of the release (default build-N)");
  creates->add_option("--label", options->labels, "NAME=VALUE, any number of times");
  creates->add_option("--description", options->description, "Free text");
  creates->add_option("--key", options->idempotency_key,
                      "Idempotency key: the same key creates no second release");
  creates->add_flag("--dry-run", options->dry_run, "Validate without creating");
  with_name(add("get", "Show one release on a line", [options] {
    return show(*options,
                send_request(options->controller, make_request("GET", release_path(*options))));
  }));
  CLI::App* lists = add("list", "List releases", [options] { return list(*options); });
  CLI::App* watches =
      add("watch", "Print releases whenever they change", [options] { return watch(*options); });
  watches->add_option("NAME", options->name, "This release only");
  watches->add_flag("--until-done", options->until_done,
                    "Exit once the release is released (status 0) or withdrawn (status 3)");
  for (CLI::App* sub : {lists, watches})
    sub->add_option("-l,--selector", options->label_selector,
                    "Select by labels: a=b, a!=b, a in (b,c), a, !a");
  lists->add_option("--field-selector", options->field_selector,
                    "Select by status.phase, spec.build, metadata.name");
  with_name(
      add("describe", "Show all details of a release", [options] { return describe(*options); }));
  for (const auto& [name, description] : {std::pair("hold", "Hold a release at its wave"),
                                          std::pair("resume", "Resume a release that is held"),
                                          std::pair("back", "Roll a release back")}) {
    CLI::App* sub = with_name(add(name, description, [options, name = std::string(name)] {
      return request_action(*options, name);
    }));
    sub->add_option("--reason", options->reason, "The reason, for the log")->required();
    sub->add_option("--who", options->author, "Name of the operator")->capture_default_str();
    sub->add_option("--if-version", options->if_version, "Only if the release has this version");
  }
  with_name(add("delete", "Roll a release back if it is on trial, and delete it", [options] {
    return show(*options,
                send_request(options->controller, make_request("DELETE", release_path(*options))));
  }));
}

}  // namespace robinhoist::cli
