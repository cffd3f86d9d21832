#include "cli/release.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <thread>

#include "cli/ask.h"
#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::cli {
namespace {

using namespace std::chrono_literals;
using json::Value;

struct Words {
  std::string controller{"127.0.0.1:8091"}, who{}, why{}, name{}, description{}, key{}, selector{},
      fields{};
  std::string output{"table"}, version{};
  std::vector<std::string> labels{};
  int build = 0;
  bool until_done = false, dry = false;
  bool as_json() const { return output == "json"; }
};

std::string escaped(const std::string& text) {
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

http::Request request_of(const std::string& method, const std::string& target,
                         const std::string& body = "") {
  http::Request request;
  request.method = method;
  request.target = target;
  request.body = body;
  if (!body.empty())
    request.headers.add("Content-Type", "application/json");
  return request;
}

std::string target_of(const Words& words) {
  return "/v1/releases/" + escaped(words.name);
}

// What the controller has against it, in words.
int refused(const Words& words, const Asked& asked) {
  if (asked.status == 0) {
    std::cerr << words.controller << ": no controller answers\n";
    return 2;
  }
  try {
    const auto problem = json::parse_object(asked.body);
    std::cerr << json::text(problem, "title") << ": " << json::text(problem, "detail") << "\n";
    if (json::has_value(problem, "errors"))
      for (auto& one : json::array(problem, "errors").GetArray())
        std::cerr << "  " << json::text(one, "pointer") << " " << json::text(one, "detail") << "\n";
  } catch (const json::DecodeError&) {
    std::cerr << asked.body << "\n";
  }
  return asked.status == 409 || asked.status == 410 || asked.status == 429 ? 1 : 2;
}

std::string held(const Value& status) {
  return json::boolean(status, "held") ? ", held" : "";
}

// "canary, stage 1 of 3, cap 0.30".
std::string stands(const Value& status) {
  const std::string phase = json::text(status, "phase");
  std::string text = phase + held(status);
  if (phase == "trial") {
    char cap[32];
    std::snprintf(cap, sizeof cap, "%.2f", json::number(status, "cap"));
    text += ", wave " + std::to_string(json::integer(status, "stage")) + ", cap " + cap;
  }
  return text;
}

void row(const Value& release) {
  const Value &status = json::nested_object(release, "status"),
              &machines = json::nested_object(status, "machines");
  int on = 0, hold = 0, back = 0;
  for (auto& one : json::array(status, "umpires").GetArray()) {
    const std::string vote = json::text(one, "vote");
    on += vote == "on", hold += vote == "hold", back += vote == "back";
  }
  const std::string votes =
      std::to_string(on) + "/" + std::to_string(hold) + "/" + std::to_string(back);
  const std::string up = std::to_string(json::integer(machines, "up")) + "/" +
                         std::to_string(json::integer(machines, "all"));
  std::printf("%-20s %6d  %-30s %9s  %13s  %s\n",
              json::text(json::nested_object(release, "metadata"), "name").c_str(),
              json::integer(json::nested_object(release, "spec"), "build"), stands(status).c_str(),
              up.c_str(), votes.c_str(), json::text(status, "why").c_str());
}

void head() {
  std::printf("%-20s %6s  %-30s %9s  %13s  %s\n", "NAME", "BUILD", "STANDS", "MACHINES",
              "ON/HOLD/BACK", "WHY");
}

int show(const Words& words, const Asked& asked) {
  if (asked.status < 200 || asked.status >= 300)
    return refused(words, asked);
  if (words.as_json()) {
    std::cout << asked.body << "\n";
    return 0;
  }
  const auto release = json::parse_object(asked.body);
  if (json::text(release, "kind") != "Release") {
    std::cout << "done\n";
    return 0;
  }
  head();
  row(release);
  return 0;
}

int list(const Words& words) {
  Asked asked;
  std::string on;
  // Page by page, so that no answer grows without end.
  bool first = true;
  do {
    asked =
        ask(words.controller,
            request_of("GET", "/v1/releases?limit=200&labelSelector=" + escaped(words.selector) +
                                  "&fieldSelector=" + escaped(words.fields) +
                                  "&continue=" + escaped(on)));
    if (asked.status != 200)
      return refused(words, asked);
    const auto page = json::parse_object(asked.body);
    on = json::text_or(json::nested_object(page, "metadata"), "continue", "");
    if (first && !words.as_json())
      head();
    first = false;
    for (auto& release : json::array(page, "items").GetArray()) {
      if (words.as_json())
        std::cout << json::Writer().put(nullptr, release).text() << "\n";
      else
        row(release);
    }
  } while (!on.empty());
  return 0;
}

int describe(const Words& words) {
  const Asked asked = ask(words.controller, request_of("GET", target_of(words)));
  if (asked.status != 200)
    return refused(words, asked);
  if (words.as_json())
    return std::cout << asked.body << "\n", 0;
  const auto release = json::parse_object(asked.body);
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
  std::cout << "\nStands:       " << stands(status) << ", since " << json::text(status, "since")
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
  std::cout << "Umpires:\n";
  for (auto& one : json::array(status, "umpires").GetArray()) {
    std::printf("  %-20s vote %-5s", json::text(one, "name").c_str(),
                json::text(one, "vote").c_str());
    if (json::has_value(one, "acknowledgedCap"))
      std::printf("  goes by cap %.2f of wave %d since %s", json::number(one, "acknowledgedCap"),
                  json::integer(one, "stage"), json::text(one, "acknowledgedAt").c_str());
    std::printf("\n");
  }
  std::cout << "Conditions:\n";
  for (auto& one : json::array(status, "conditions").GetArray())
    std::printf("  %-12s %-6s %-14s %s  %s\n", json::text(one, "type").c_str(),
                json::text(one, "status").c_str(), json::text(one, "reason").c_str(),
                json::text(one, "lastTransitionTime").c_str(), json::text(one, "message").c_str());
  return 0;
}

// Follows it through breaks of the connection and ends of the controller.
int watch(const Words& words) {
  std::string series, name = words.name, phase;
  std::int64_t version = 0;
  bool begun = false, over = false;
  if (!words.as_json())
    head();
  std::fflush(stdout);
  for (int failed = 0; !over && failed < 60;) {
    std::string target = "/v1/releases?watch=1&labelSelector=" + escaped(words.selector);
    if (!name.empty())
      target += "&fieldSelector=" + escaped("metadata.name=" + name);
    if (begun)
      target += "&series=" + series + "&resourceVersion=" + std::to_string(version);
    Asked asked;
    const bool well =
        follow(words.controller, request_of("GET", target), asked, [&](const std::string& text) {
          const auto event = json::parse_object(text);
          const std::string type = json::text(event, "type");
          if (type == "ERROR") {
            begun = json::number(json::nested_object(event, "object"), "code") != 410;
            return false;
          }
          version = static_cast<std::int64_t>(json::number(event, "version"));
          if (type == "BOOKMARK") {
            series = json::text(event, "series");
            begun = true;
            return true;
          }
          const Value& release = json::nested_object(event, "object");
          if (words.as_json()) {
            std::cout << text << "\n";
          } else {
            row(release);
            if (type == "DELETED")
              std::printf("%-20s deleted\n",
                          json::text(json::nested_object(release, "metadata"), "name").c_str());
          }
          std::fflush(stdout);
          phase = type == "DELETED" ? "withdrawn"
                                    : json::text(json::nested_object(release, "status"), "phase");
          over = words.until_done && !name.empty() && (phase == "released" || phase == "withdrawn");
          return !over;
        });
    if (over)
      break;
    if (well) {
      failed = 0;
      continue;
    }
    if (asked.status == 410)
      begun = false;
    else if (asked.status != 0 && asked.status != 200)
      return refused(words, asked);
    ++failed;
    std::this_thread::sleep_for(1s);
  }
  if (!over)
    return refused(words, {});
  return phase == "released" ? 0 : 3;
}

int create(const Words& words) {
  json::Writer out;
  out.begin_object().begin_object("metadata");
  if (!words.name.empty())
    out.put("name", words.name);
  out.begin_object("labels");
  for (const std::string& label : words.labels) {
    const std::size_t equals = label.find('=');
    if (equals == std::string::npos) {
      std::cerr << "--label " << label << ": is no NAME=VALUE\n";
      return 2;
    }
    out.put(label.substr(0, equals).c_str(), label.substr(equals + 1));
  }
  out.end_object().end_object().begin_object("spec").put("build", words.build);
  if (!words.description.empty())
    out.put("description", words.description);
  http::Request request =
      request_of("POST", std::string("/v1/releases") + (words.dry ? "?dryRun=All" : ""),
                 out.end_object().end_object().text());
  if (!words.key.empty())
    request.headers.add("Idempotency-Key", words.key);
  return show(words, ask(words.controller, request));
}

int act(const Words& words, const std::string& what) {
  http::Request request = request_of("POST", target_of(words) + "/" + what,
                                     json::Writer()
                                         .begin_object()
                                         .put("reason", words.why)
                                         .put("author", words.who)
                                         .end_object()
                                         .text());
  if (!words.version.empty())
    request.headers.add("If-Match", "\"" + words.version + "\"");
  return show(words, ask(words.controller, request));
}

}  // namespace

void add_release(CLI::App& app, int& status) {
  auto words = std::make_shared<Words>();
  const char* user = std::getenv("USER");
  words->who = user ? user : "operator";
  CLI::App* release =
      app.add_subcommand("release", "Releases: create, see, watch, hold, send back");
  release->require_subcommand(1);
  const auto add = [&](const char* name, const char* what, std::function<int()> run) {
    CLI::App* sub = release->add_subcommand(name, what);
    sub->callback([run, &status] { status = run(); });
    sub->add_option("--controller", words->controller, "The controller's address")
        ->capture_default_str();
    sub->add_option("-o,--output", words->output, "table or json")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();
    return sub;
  };
  const auto of = [&](CLI::App* sub) {
    sub->add_option("NAME", words->name, "The release")->required();
    return sub;
  };
  CLI::App* made =
      add("create", "Create a release and offer its build", [words] { return create(*words); });
  made->add_option("--build", words->build, "Its build")->required();
  made->add_option("--name", words->name, "Its name; build-N without");
  made->add_option("--label", words->labels, "NAME=VALUE, any number of times");
  made->add_option("--description", words->description, "In your words");
  made->add_option("--key", words->key, "The same key makes no second release");
  made->add_flag("--dry-run", words->dry, "Check only");
  of(add("get", "One release in a line", [words] {
    return show(*words, ask(words->controller, request_of("GET", target_of(*words))));
  }));
  CLI::App* all = add("list", "All releases", [words] { return list(*words); });
  CLI::App* watches =
      add("watch", "Releases, or one, as they change", [words] { return watch(*words); });
  watches->add_option("NAME", words->name, "One release only");
  watches->add_flag("--until-done", words->until_done,
                    "End once it is released (0) or withdrawn (3)");
  for (CLI::App* sub : {all, watches})
    sub->add_option("-l,--selector", words->selector, "By labels: a=b, a!=b, a in (b,c), a, !a");
  all->add_option("--field-selector", words->fields, "By status.phase, spec.build, metadata.name");
  of(add("describe", "All about one", [words] { return describe(*words); }));
  for (const auto& [name, what] :
       {std::pair("hold", "Hold its wave"), std::pair("resume", "Let it go on"),
        std::pair("back", "Send it back")}) {
    CLI::App* sub =
        of(add(name, what, [words, name = std::string(name)] { return act(*words, name); }));
    sub->add_option("--reason", words->why, "Why")->required();
    sub->add_option("--who", words->who, "Who says so")->capture_default_str();
    sub->add_option("--if-version", words->version, "Only if it is of this version");
  }
  of(add("delete", "Send it back if it is on trial, and delete it", [words] {
    return show(*words, ask(words->controller, request_of("DELETE", target_of(*words))));
  }));
}

}  // namespace robinhoist::cli
