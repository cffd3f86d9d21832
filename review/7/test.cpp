// One proxy on the platform, the other four played by the platform's stand-in. Build 42 is on trial and gives
// some wrong answers. When its second stage has begun, the proxy votes to roll it back, and so does another one a
// moment later: the build goes back. The answer to the proxy's vote takes 0.9 s; the news of the rollback is
// written 0.78 s after the rollback, and repeated every 2 s. From 150 ms after the news the build may get nothing.
// With TROUBLE=0 the vote is answered at once.
#include "../lib-2/harness.h"

using namespace harness;

namespace {

constexpr int old_boxes = 6;
constexpr int new_boxes = 2;
constexpr double told_late_ms = 780;    // of a change of the release; the page: 0.15 to 0.78 s
constexpr double stage_told_ms = 150;   // of the second stage
constexpr double vote_answer_ms = 900;  // the page: up to call_timeout_ms, 1200
constexpr double list_told_ms = 4500;   // that the boxes of the rolled back build drain; the page: 0.56 to 4.8 s
constexpr double push_ms = 2000;

const char* const settings = R"({
  "balancers": 5, "me": 0, "zone": 0, "tick_ms": 5.0, "weights": "silent", "registry_mode": "automatic",
  "over_share_worth": 0.1, "tenants": [], "failure_domains": ["almaty-room"], "worth_by": "request",
  "family": "rollout", "layer": 0, "layers": ["booking-nodes"], "kinds": ["std-2core"], "clients": {"marks_retry": false},
  "bounds": {"cancelling": true, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
    "keepalive_ms": 30000.0, "max_attempts": 5, "max_retry_after_ms": 2000.0, "open_cap": 20000, "peers": false,
    "probes": true, "retry_after": true, "second_copies": true, "streams_per_conn": 100},
  "classes": [
    {"deadline_ms": 750.0, "dedup_window_ms": 5000.0, "effect": "free", "goal_time_ms": 300.0, "group": "all",
     "late_share": 0.2, "name": "free-slots", "streaming": false, "worth": 2.0},
    {"deadline_ms": 1500.0, "dedup_window_ms": 5000.0, "effect": "free", "goal_time_ms": 600.0, "group": "all",
     "late_share": 0.0, "name": "chair-week", "streaming": false, "worth": 3.0},
    {"deadline_ms": 750.0, "dedup_window_ms": 1500.0, "effect": "guarded", "goal_time_ms": 300.0, "group": "all",
     "late_share": 0.2, "name": "book-visit", "streaming": false, "worth": 2.0}],
  "family_info": {"bake_ms": 3000.0, "call_timeout_ms": 1200.0, "calls_per_s": 20.0,
    "caps": [0.068, 0.17, 0.425, 0.935, 1.0], "counts": "each_class", "damage_price": 3.0, "flag_share": 0.3,
    "free": 1.0, "gate_mode": "automatic", "hold_votes": 1, "metrics_period_ms": 1000.0, "moves_after_ms": 4000.0,
    "one_way": false, "push_ms": 2000.0, "replace_mode": "parallel", "safe_only_stages": 0,
    "stage_share": [0.04, 0.1, 0.25, 0.55, 1.0], "stale_build_price": 0.35, "tally_sample": 0.4, "to_advance": 0,
    "vote_stands_ms": 10000.0, "votes_to_revert": 2, "warm_keys": false, "window_ms": 4000.0},
  "load_report": {"names": ["cpu_share"], "source": "piggyback"},
  "safety": {"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.3, "cold_ms": 4900.0, "fall_ms": 1500.0,
    "fall_multiple": 4.0, "stop_sending_within_ms": 1000.0}})";

std::mutex mutex;

// ---- The platform: where build 42 stands. Guarded by `mutex`.

struct Phase {
  const char* state;
  int wave;
  double cap;
  double since_ms;
};

Phase phase{"IN_PROGRESS", 0, 0.068, -1000};
Phase told = phase;               // as written to watches
std::vector<int> release_watches; // connections
double vote_in_second_stage_ms = -1;
double vote_answered_ms = -1;
double rolled_back_ms = -1;
double news_written_ms = -1;
int wrong_answers = 0;

std::string to_json(const Phase& at) {
  char text[256];
  std::snprintf(text, sizeof text, "{\"Revision\":42,\"Wave\":%d,\"State\":\"%s\",\"MaxShare\":%.3f,\"AgeMs\":%.1f}", at.wave,
                at.state, at.cap, now_ms() - at.since_ms);
  return text;
}

std::string chunk(const std::string& line) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
  return size + line + "\n\r\n";
}

void write_watches(std::vector<int>& watches, const std::string& line) {
  for (const int fd : watches)
    send_all(fd, chunk(line));
}

void write_release(const Phase& at) {
  const std::string line = "{\"type\":\"ROLLOUT\",\"object\":" + to_json(at) + "}";
  note("platform writes news: " + line);
  write_watches(release_watches, line);
}

std::string serve_platform(const Message& request, int fd) {
  if (request.target() == "/v1/watch") {
    const std::lock_guard lock(mutex);
    send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    release_watches.push_back(fd);
    send_all(fd, chunk("{\"type\":\"ROLLOUT\",\"object\":" + to_json(told) + "}"));
    return "\n";  // no further call goes on this connection; never used
  }
  if (request.target() != "/v1/verdicts")
    return response(400, "{\"error\":\"invalid\"}");
  std::string answer;
  double delay = 0;
  {
    const std::lock_guard lock(mutex);
    note("vote: " + request.body);
    const bool is_current = json_number(request.body, "Revision") == 42 &&
                            (json_number(request.body, "Wave") == phase.wave ||
                             request.body.find("\"stop\"") != std::string::npos ||
                             request.body.find("\"blank\"") != std::string::npos);
    if (!is_current || std::string(phase.state) != "IN_PROGRESS")
      answer = response(409, "{\"error\":\"conflict\"}");
    else
      answer = response(200, to_json(phase));
    const bool decisive = phase.wave == 1 && request.body.find("\"stop\"") != std::string::npos && vote_in_second_stage_ms < 0;
    if (decisive) {
      vote_in_second_stage_ms = now_ms();
      if (trouble())
        delay = vote_answer_ms;
    }
  }
  sleep_ms(delay);
  {
    const std::lock_guard lock(mutex);
    note("vote answered after " + std::to_string(static_cast<int>(delay)) + " ms: " + answer.substr(answer.find("\r\n\r\n") + 4));
    if (delay > 0)
      vote_answered_ms = now_ms();
  }
  return answer;
}

// ---- Discovery. Guarded by `mutex`.

std::vector<int> box_ports;
bool new_boxes_drain = false;
int revision = 41;
std::vector<int> list_watches;

std::string members(bool only_new) {
  std::string text;
  for (int i = only_new ? old_boxes : 0; i < old_boxes + new_boxes; ++i) {
    const bool is_new = i >= old_boxes;
    text += text.empty() ? "" : ",";
    text += "{\"id\":\"s-" + std::to_string(i) + "\",\"host_port\":\"127.0.0.1:" + std::to_string(box_ports[i]) +
            "\",\"locality\":\"almaty-room\",\"flavor\":\"std-2core\",\"cell\":0,\"phase\":\"" +
            (is_new && new_boxes_drain ? "draining" : "ready") + "\",\"size\":1.0,\"up_since_ms\":0,\"build\":" +
            (is_new ? "42" : "41") + "}";
  }
  return text;
}

std::string list(bool complete) {
  return "{\"revision\":" + std::to_string(revision) + ",\"complete\":" + (complete ? "true" : "false") + ",\"members\":[" +
         members(!complete) + "]}";
}

std::string serve_discovery(const Message& request, int fd) {
  const std::lock_guard lock(mutex);
  if (request.target().find("watch=1") == std::string::npos)
    return response(200, list(true));
  send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
  send_all(fd, chunk(list(true)));
  list_watches.push_back(fd);
  return "\n";
}

// ---- Boxes

struct Arrival {
  double at_ms;
  int box;
};
std::vector<Arrival> canary_arrivals;  // guarded by `mutex`
int baseline_arrivals = 0;
int taken = 0;
int served = 0;
int wrong_after_news = 0;  // wrong answers that clients got for requests sent later than 150 ms after the news

std::string serve_box(int box, const Message& request) {
  const std::string id = request.header("request-id");
  bool is_wrong = false;
  {
    const std::lock_guard lock(mutex);
    if (box < old_boxes) {
      ++baseline_arrivals;
    } else {
      canary_arrivals.push_back({now_ms(), box});
      is_wrong = canary_arrivals.size() % 6 == 0;  // 17% of its answers; the page: 3 to 24%
      if (news_written_ms >= 0)
        note("box of build 42 gets " + id);
    }
  }
  sleep_ms(20);
  if (is_wrong) {
    const std::lock_guard lock(mutex);
    if (wrong_answers++ % 4 == 0)  // clients report a quarter of them; the page: 30%
      std::thread([box] {
        sleep_ms(500);
        const std::lock_guard lock(mutex);
        write_watches(release_watches, "{\"type\":\"DISPUTE\",\"object\":{\"InstanceId\":\"s-" + std::to_string(box) +
                                           "\",\"Lane\":\"free-slots\",\"AgeMs\":520}}");
      }).detach();
  }
  return response(200, is_wrong ? "{\"slots\":[3]}" : "{\"slots\":[9,10,11]}", "Server-Load: cpu_share=0.20\r\n");
}

// ---- Clients

std::atomic<bool> clients_run{true};

void run_client(int number, int port) {
  int fd = -1;
  std::string rest;
  for (int i = 0; clients_run; ++i) {
    if (fd < 0) {
      fd = connect_to(port);
      rest.clear();
    }
    char id[40];
    std::snprintf(id, sizeof id, "%08x%08x", number + 1, i + 1);
    const double sent = now_ms();
    Message message;
    const bool answered =
        fd >= 0 && send_all(fd, "GET /free-slots HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: " + std::string(id) +
                                    "\r\nRequest-Timeout: 750m\r\n\r\n") &&
        read_message(fd, rest, message, 1000, true);
    {
      const std::lock_guard lock(mutex);
      ++taken;
      served += answered && message.status() == 200;
      wrong_after_news += news_written_ms >= 0 && sent > news_written_ms + 150 && message.body == "{\"slots\":[3]}";
    }
    if (!answered || message.header("connection") == "close") {
      ::close(fd);
      fd = -1;
    }
    sleep_ms(std::max(1.0, 150 - (now_ms() - sent)));
  }
}

}  // namespace

int main(int, char** argv) {
  const std::string folder = argv[1];
  open_record(argv[2]);
  std::vector<std::unique_ptr<Server>> boxes;
  for (int i = 0; i < old_boxes + new_boxes; ++i) {
    boxes.push_back(std::make_unique<Server>(0, [i](const Message& request, int) { return serve_box(i, request); }));
    box_ports.push_back(boxes.back()->port());
  }
  const auto forever = [](std::string (*serve)(const Message&, int)) {
    return [serve](const Message& request, int fd) {
      const std::string bytes = serve(request, fd);
      if (bytes != "\n")
        return bytes;
      for (;;)  // a watch: stays open, written to from elsewhere
        sleep_ms(3600e3);
    };
  };
  const Server discovery(0, forever(serve_discovery));
  const Server platform(0, forever(serve_platform));
  const int port = free_ports(1)[0];
  {
    const std::lock_guard lock(mutex);
    write_file(folder + "/config.json",
               "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + std::to_string(port) + "\",\"discovery\":\"127.0.0.1:" +
                   std::to_string(discovery.port()) +
                   "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                   "\"release_api\":{\"address\":\"127.0.0.1:" +
                   std::to_string(platform.port()) + "\",\"news\":" + to_json(phase) + "},\"known\":" + list(true) +
                   ",\"settings\":" + settings + "}");
  }
  spawn("proxy", "ROUTER_CONFIG=" + folder + "/config.json exec build/robinhoist platform", folder + "/proxy.log");
  if (!wait_until(10000, [&] { return call(port, "GET", "/up").status == 200; }))
    finish(2, "the proxy did not become ready");

  // Signs of life of both watches, and the repeated news.
  std::thread([] {
    double next_push = now_ms() + push_ms;
    for (int i = 0;; ++i) {
      sleep_ms(1000);
      const std::lock_guard lock(mutex);
      write_watches(release_watches, "{}");
      if (i % 2)
        write_watches(list_watches, "");
      if (now_ms() >= next_push) {
        next_push += push_ms;
        write_release(told);
      }
    }
  }).detach();
  std::vector<std::thread> clients;
  for (int i = 0; i < 24; ++i)
    clients.emplace_back(run_client, i, port);

  // The first stage; then the second by the clock.
  sleep_ms(5000);
  {
    const std::lock_guard lock(mutex);
    phase = {"IN_PROGRESS", 1, 0.17, now_ms()};
    note("stage 1 begins");
  }
  sleep_ms(stage_told_ms);
  {
    const std::lock_guard lock(mutex);
    told = phase;
    write_release(told);
  }
  const bool voted = wait_until(3000, [] {
    const std::lock_guard lock(mutex);
    return vote_in_second_stage_ms >= 0;
  });
  if (!voted)
    finish(2, "the proxy did not vote in the second stage");
  // Another umpire votes, too: the build goes back. The news of it comes as late as the page allows.
  sleep_ms(300);
  {
    const std::lock_guard lock(mutex);
    phase = {"ROLLING_BACK", 1, 0, now_ms()};
    rolled_back_ms = now_ms();
    note("another umpire's vote: build 42 goes back");
  }
  sleep_ms(told_late_ms);
  {
    const std::lock_guard lock(mutex);
    told = phase;
    write_release(told);
    news_written_ms = now_ms();
  }
  // Its boxes drain; discovery tells that late, too.
  sleep_ms(list_told_ms - told_late_ms);
  double list_written_ms = 0;
  {
    const std::lock_guard lock(mutex);
    new_boxes_drain = true;
    ++revision;
    note("discovery writes that the boxes of build 42 drain");
    write_watches(list_watches, list(false));
    list_written_ms = now_ms();
  }
  sleep_ms(500);
  clients_run = false;
  for (std::thread& client : clients)
    client.join();

  const std::lock_guard lock(mutex);
  int before = 0;
  int after = 0;
  for (const Arrival& arrival : canary_arrivals) {
    before += arrival.at_ms < news_written_ms;
    after += arrival.at_ms > news_written_ms + 150;
  }
  note("requests sent: " + std::to_string(taken) + ", served: " + std::to_string(served));
  note("stage 1 began " + std::to_string(static_cast<int>(vote_in_second_stage_ms)) + " - vote; vote answered at " +
       std::to_string(static_cast<int>(vote_answered_ms)) + "; build went back at " + std::to_string(static_cast<int>(rolled_back_ms)) +
       "; news of it written at " + std::to_string(static_cast<int>(news_written_ms)) + "; list written at " +
       std::to_string(static_cast<int>(list_written_ms)));
  note("attempts at boxes of build 42: " + std::to_string(before) + " before the news, " + std::to_string(after) +
       " later than 150 ms after it; at the others: " + std::to_string(baseline_arrivals));
  note("wrong answers to clients whose request came later than that: " + std::to_string(wrong_after_news));
  if (served < taken * 9 / 10 || before < 10)
    finish(2, "the day did not go as planned");
  // Cap 0 shuts the build. 'free' is 1, and 2 attempts above the cap pass.
  if (after > 3)
    finish(1, std::to_string(after) + " attempts at build 42 after the proxy was told that it goes back; " +
                  std::to_string(wrong_after_news) + " of them gave a client a wrong answer");
  finish(0, "no more attempts at build 42 after the news: " + std::to_string(after));
}
