#include "cli/trace.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>

#include "cli/api_client.h"
#include "json/reader.h"
#include "json/writer.h"

namespace robinhoist::cli {
namespace {

struct Options {
  std::string id{}, output{"table"};
  std::vector<std::string> proxies{"127.0.0.1:8081"};
};

// Times are shown relative to `from_ms`, the beginning of the first trace.
void print_trace(const json::Value& trace, double from_ms) {
  std::cout << "txn " << json::text(trace, "txn") << ", trace " << json::text(trace, "trace")
            << ": " << json::text(trace, "outcome") << "\n";
  const double began = json::number(trace, "began_ms") - from_ms;
  for (auto& event : json::array(trace, "events").GetArray()) {
    std::printf("  %9.2f ms  %-10s", began + json::number(event, "at_ms"),
                json::text(event, "is").c_str());
    for (auto& field : event.GetObject()) {
      const std::string name = field.name.GetString();
      if (name != "at_ms" && name != "is")
        std::printf("  %s=%s", name.c_str(), field.value.GetString());
    }
    std::printf("\n");
  }
  if (json::number(trace, "events_dropped") > 0)
    std::printf("  and %.0f more that were dropped\n", json::number(trace, "events_dropped"));
}

int show(const Options& options) {
  std::vector<rapidjson::Document> traces;
  int unreachable = 0;
  for (const std::string& proxy : options.proxies) {
    http::Request request;
    request.target = "/txns/" + options.id;
    const ApiResponse response = send_request(proxy, request);
    if (response.status == 0) {
      ++unreachable;
      std::cerr << proxy << ": no response from the proxy\n";
    }
    if (response.status == 200)
      traces.push_back(json::parse_object(response.body));
  }
  if (traces.empty()) {
    if (unreachable == static_cast<int>(options.proxies.size()))
      return 2;
    std::cerr << "no proxy has a trace of " << options.id
              << ": it was not sampled, or has been evicted\n";
    return 1;
  }
  std::sort(traces.begin(), traces.end(), [](auto& a, auto& b) {
    return json::number(a, "began_ms") < json::number(b, "began_ms");
  });
  for (auto& trace : traces) {
    if (options.output == "json")
      std::cout << json::Writer().put(nullptr, trace).text() << "\n";
    else
      print_trace(trace, json::number(traces.front(), "began_ms"));
  }
  return 0;
}

}  // namespace

void add_trace(CLI::App& app, int& status) {
  auto options = std::make_shared<Options>();
  CLI::App* command = app.add_subcommand(
      "txn", "Show the trace of a request: its events, decisions, attempts and response");
  command
      ->add_option("ID", options->id,
                   "The trace's id (header Robinhoist-Trace), or the proxy's id of the request")
      ->required();
  command->add_option("--umpire", options->proxies, "Admin addresses of proxies, any number")
      ->capture_default_str();
  command->add_option("-o,--output", options->output, "table or json")
      ->check(CLI::IsMember({"table", "json"}))
      ->capture_default_str();
  command->callback([options, &status] { status = show(*options); });
}

}  // namespace robinhoist::cli
