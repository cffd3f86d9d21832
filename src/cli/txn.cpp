#include "cli/txn.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>

#include "cli/ask.h"
#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::cli {
namespace {

struct Words {
  std::string id{}, output{"table"};
  std::vector<std::string> proxies{"127.0.0.1:8081"};
};

void show(const json::Value& trace, double from_ms) {
  std::cout << "txn " << json::text(trace, "txn") << ", trace " << json::text(trace, "trace")
            << ": " << json::text(trace, "outcome") << "\n";
  const double began = json::number(trace, "began_ms") - from_ms;
  for (auto& event : json::array(trace, "events").GetArray()) {
    std::printf("  %9.2f ms  %-10s", began + json::number(event, "at_ms"),
                json::text(event, "is").c_str());
    for (auto& figure : event.GetObject()) {
      const std::string name = figure.name.GetString();
      if (name != "at_ms" && name != "is")
        std::printf("  %s=%s", name.c_str(), figure.value.GetString());
    }
    std::printf("\n");
  }
  if (json::number(trace, "events_dropped") > 0)
    std::printf("  and %.0f more that were not kept\n", json::number(trace, "events_dropped"));
}

int tell(const Words& words) {
  std::vector<rapidjson::Document> found;
  int silent = 0;
  for (const std::string& proxy : words.proxies) {
    http::Request request;
    request.target = "/txns/" + words.id;
    const Asked asked = ask(proxy, request);
    if (asked.status == 0) {
      ++silent;
      std::cerr << proxy << ": no umpire answers\n";
    }
    if (asked.status == 200)
      found.push_back(json::parse_object(asked.body));
  }
  if (found.empty()) {
    if (silent == static_cast<int>(words.proxies.size()))
      return 2;
    std::cerr << "no umpire asked has a trace of " << words.id
              << ": it was not sampled, or has been let go since\n";
    return 1;
  }
  std::sort(found.begin(), found.end(), [](auto& a, auto& b) {
    return json::number(a, "began_ms") < json::number(b, "began_ms");
  });
  for (auto& trace : found) {
    if (words.output == "json")
      std::cout << json::Writer().put(nullptr, trace).text() << "\n";
    else
      show(trace, json::number(found.front(), "began_ms"));
  }
  return 0;
}

}  // namespace

void add_trace(CLI::App& app, int& status) {
  auto words = std::make_shared<Words>();
  CLI::App* request_name =
      app.add_subcommand("txn", "One txn's way: client, decisions, submissions, answer");
  request_name
      ->add_option("ID", words->id,
                   "The trace's id (Robinhoist-Trace), or the umpire's name for the txn")
      ->required();
  request_name->add_option("--umpire", words->proxies, "Admin addresses of umpires, any number")
      ->capture_default_str();
  request_name->add_option("-o,--output", words->output, "table or json")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
  request_name->callback([words, &status] { status = tell(*words); });
}

}  // namespace robinhoist::cli
