#include <algorithm>
#include <utility>

#include "audit/events.h"
#include "json/reader.h"
#include "record/record.h"

namespace robinhoist::audit {
namespace {

TimePoint time_of(const json::Value& line, const char* field) {
  return TimePoint(Duration(static_cast<long>(json::number(line, field))));
}

long whole_number(const json::Value& line, const char* field) {
  return static_cast<long>(json::number(line, field));
}

// A text field with a number, copied from a header; `fallback` for any other text.
long number_in_text(const json::Value& line, const char* field, long fallback) {
  const std::string text = json::text(line, field);
  const bool is_number = !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
  return is_number ? std::stol(text) : fallback;
}

ClientResult result_of(const std::string& name) {
  if (name == "settled")
    return ClientResult::succeeded;
  if (name == "declined")
    return ClientResult::rejected;
  if (name == "voided")
    return ClientResult::failed;
  if (name == "not-taken")
    return ClientResult::rejected_before_routing;
  if (name == "unreached")
    return ClientResult::unreached;
  return name == "left" ? ClientResult::client_disconnected : ClientResult::lost;
}

class EventReader {
 public:
  explicit EventReader(std::string folder) : folder_(std::move(folder)) {}

  Events read() {
    events_.meta = record::read_meta(folder_ + "/meta.json");
    read_file("clients.jsonl", [this](const json::Value& line) { read_client_line(line); });
    read_file("nodes.jsonl", [this](const json::Value& line) { read_server_line(line); });
    read_file("told.jsonl", [this](const json::Value& line) { read_notification(line); });
    read_file("umpires.jsonl", [this](const json::Value& line) { read_proxy_life(line); });
    std::stable_sort(events_.arrivals.begin(), events_.arrivals.end(),
                     [](const AttemptArrival& a, const AttemptArrival& b) { return a.at < b.at; });
    if (!events_.meta.steps.empty())
      record::read(folder_ + "/database.jsonl",
                   [this](const json::Value& line) { read_step_run(line); });
    return std::move(events_);
  }

 private:
  template <class ReadLine>
  void read_file(const char* name, ReadLine read_line) {
    events_.cut_files += record::read(folder_ + "/" + name, read_line);
  }

  void read_client_line(const json::Value& line) {
    if (line.HasMember("unasked")) {
      events_.unsolicited[json::text(line, "umpire")] += whole_number(line, "unasked");
      return;
    }
    const int last_class = static_cast<int>(events_.meta.request_classes.size()) - 1;
    ClientRequest request{};
    request.sent = time_of(line, "t");
    request.ended = time_of(line, "t1");
    request.deadline = time_of(line, "until");
    request.id = whole_number(line, "id");
    request.first_id = whole_number(line, "first");
    request.proxy = json::text(line, "umpire");
    request.request_class = json::integer(line, "product", 0, last_class);
    request.result_name = json::text(line, "end");
    request.result = result_of(request.result_name);
    request.correct = json::boolean(line, "right");
    request.poison = json::boolean(line, "poison");
    events_.requests.push_back(std::move(request));
  }

  void read_server_line(const json::Value& line) {
    const std::string event = json::text(line, "e");
    if (event == "ran") {
      read_run(line);
      return;
    }
    const std::string server = json::text(line, "node");
    const TimePoint at = time_of(line, "t");
    if (event == "start")
      events_.server_starts[server].push_back({at, json::text(line, "zone"),
                                               json::integer(line, "cell"),
                                               whole_number(line, "started")});
    else if (event == "stop")
      events_.max_slow_start_use =
          std::max(events_.max_slow_start_use, json::number(line, "most_pushed"));
    else if (event == "fell")
      events_.collapses.push_back({at, server});
    else
      read_arrival(line, server, event == "refused");
  }

  void read_run(const json::Value& line) {
    if (json::text_or(line, "how", "") == "unready")
      events_.unready_answers.push_back({time_of(line, "t"), json::text(line, "node")});
    if (json::boolean(line, "effect"))
      events_.effects.push_back({whole_number(line, "id"), time_of(line, "t")});
  }

  void read_arrival(const json::Value& line, const std::string& server, bool refused) {
    const std::string request_name = json::text(line, "txn");  // PROXY.NUMBER
    AttemptArrival arrival{};
    arrival.at = time_of(line, "t");
    arrival.server = server;
    arrival.proxy = request_name.substr(0, request_name.find('.'));
    arrival.refused = refused;
    arrival.build = json::integer(line, "build");
    arrival.request_class = json::integer(line, "product", -1);
    arrival.work_id = whole_number(line, "id");
    arrival.client_request_id = number_in_text(line, "try", -1);
    arrival.work = Duration(number_in_text(line, "work", 0));
    events_.arrivals.push_back(std::move(arrival));
  }

  void read_notification(const json::Value& line) {
    const std::string event = json::text(line, "e");
    if (event == "vote") {
      ++events_.votes;
      return;
    }
    const TimePoint at = time_of(line, "t");
    if (event == "release") {
      events_.release_changes.push_back({at, json::integer(line, "build"),
                                         json::integer(line, "stage"), json::text(line, "phase"),
                                         json::text(line, "why")});
      return;
    }
    const std::string proxy = json::text(line, "umpire");
    if (event == "news") {
      events_.release_notifications[proxy].push_back(
          {at, json::integer(line, "build"), json::integer(line, "stage"),
           json::text(line, "phase"), json::number(line, "cap")});
      return;
    }
    EndpointNotification notification{at, json::boolean(line, "whole"), {}};
    for (const json::Value& endpoint : json::array(line, "nodes").GetArray())
      notification.endpoints.push_back({json::text(endpoint, "name"), json::text(endpoint, "phase"),
                                        whole_number(endpoint, "started")});
    events_.endpoint_notifications[proxy].push_back(std::move(notification));
  }

  void read_proxy_life(const json::Value& line) {
    auto& lives = events_.proxy_lives[json::text(line, "umpire")];
    const TimePoint at = time_of(line, "t");
    if (json::text(line, "e") == "start")
      lives.push_back({at, TimePoint::max()});
    else if (!lives.empty() && lives.back().to == TimePoint::max())
      lives.back().to = at;
  }

  void read_step_run(const json::Value& line) {
    events_.step_runs.push_back({time_of(line, "t"), json::text(line, "mark"),
                                 json::boolean(line, "undo"), json::text(line, "how") == "done"});
  }

  std::string folder_;
  Events events_{};
};

}  // namespace

Events read_events(const std::string& folder) {
  return EventReader(folder).read();
}

}  // namespace robinhoist::audit
