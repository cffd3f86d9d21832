// Release objects: plays of who counts among umpires (tests/members), of what an umpire makes of a
// watch (tests/follower) and of the API on loopback (tests/api), and a history of concurrent
// clients that must have one order that explains it.
#include <Poco/ErrorHandler.h>
#include <Poco/Net/StreamSocket.h>
#include <unistd.h>

#include <thread>

#include "controller/process.h"
#include "history.h"
#include "http/stream_client.h"
#include "json/reader.h"
#include "releases/follower.h"
#include "rollout/names.h"
#include "scripted_test.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
namespace fs = std::filesystem;
using tests::Words;

struct MembersStage {
  std::unique_ptr<membership::Members> members{};
  TimePoint now{};
  void step(const Words& w) {
    if (w[0] == "settings") {  // EXPECTED LEASE_MS MEMORY_MS
      members = std::make_unique<membership::Members>(membership::Settings{
          std::stoi(w[1]), Duration(std::stol(w[2]) * 1000), Duration(std::stol(w[3]) * 1000)});
    } else if (w[0] == "heard") {
      EXPECT_EQ(membership::to_string(members->heard(w[1], w[2], now)), w[3]);
    } else if (w[0] == "leaves") {
      EXPECT_EQ(members->leaves(w[1], w[2]), w[3] == "yes");
    } else if (w[0] == "votes") {
      EXPECT_EQ(members->votes(w[1], w[2]), w[3] == "yes");
    } else if (w[0] == "acknowledges") {  // NAME SESSION CAP VERSION, and the cap that it then has
      members->acknowledges(w[1], w[2], {2, 0, std::stod(w[3]), std::stol(w[4]), now});
      EXPECT_EQ(members->all().at(w[1]).acknowledged->cap, std::stod(w[5]));
    } else if (w[0] == "trial") {
      members->canary_running(w[1] == "on");
    } else if (w[0] == "run") {
      now += Duration(std::stol(w[1]) * 1000);
      members->tick(now);
    } else if (w[0] == "expect") {
      const int figure = w[1] == "known"  ? members->known()
                         : w[1] == "live" ? members->live()
                         : w[1] == "on"   ? members->to_go_on()
                                          : members->to_go_back();
      EXPECT_TRUE(tests::compare(figure, w[2], std::stod(w[3]))) << figure;
    } else {
      throw std::runtime_error("no such line");
    }
  }
};

class MembersPlay : public testing::TestWithParam<std::string> {};
TEST_P(MembersPlay, goes_as_written) {
  MembersStage stage;
  tests::run_script(GetParam(), [&](const Words& words) { stage.step(words); });
}
INSTANTIATE_TEST_SUITE_P(All, MembersPlay,
                         testing::ValuesIn(tests::files_in(TESTS "/members", ".txt")),
                         tests::script_name);

struct FollowerStage {
  releases::Follower follower{};
  std::string body{};
  TimePoint now{Duration(1000000)};
  // A line as the controller writes it: TYPE VERSION AGE_MS NAME BUILD STAGE PHASE CAP.
  static std::string line(const Words& w, std::size_t at) {
    if (w[at] == "BOOKMARK")
      return R"({"type":"BOOKMARK","version":)" + w[at + 1] + R"(,"series":"s"})" + "\n";
    return R"({"type":")" + w[at] + R"(","version":)" + w[at + 1] + R"(,"ageMs":)" + w[at + 2] +
           R"(,"object":{"metadata":{"name":")" + w[at + 3] + R"("},"spec":{"build":)" + w[at + 4] +
           R"(},"status":{"stage":)" + w[at + 5] + R"(,"phase":")" + w[at + 6] + R"(","cap":)" +
           w[at + 7] + "}}}\n";
  }
  void take(const std::string& wanted) {
    static const char* const words[] = {"none", "taken", "begin-anew", "senseless"};
    EXPECT_EQ(words[static_cast<int>(follower.take(body, now))], wanted);
  }
  void step(const Words& w) {
    if (w[0] == "begins") {
      follower.begins(w[1] == "anew");
      body.clear();
    } else if (w[0] == "line") {
      body += line(w, 1);
      take("taken");
    } else if (w[0] == "half") {
      const std::string whole = line(w, 1);
      body += whole.substr(0, whole.size() / 2);
      take("none");
    } else if (w[0] == "bytes") {  // TEXT RESULT
      body += w[1];
      take(w[2]);
    } else if (w[0] == "run") {
      now += Duration(std::stol(w[1]) * 1000);
    } else if (w[0] == "news") {  // none | BUILD STAGE PHASE CAP SINCE_MS
      const auto news = follower.news(now);
      if (w[1] == "none") {
        EXPECT_FALSE(news);
        return;
      }
      ASSERT_TRUE(news);
      EXPECT_EQ(news->release.build, std::stoi(w[1]));
      EXPECT_EQ(news->release.stage, std::stoi(w[2]));
      EXPECT_EQ(rollout::to_string(news->release.phase), w[3]);
      EXPECT_EQ(news->release.cap, std::stod(w[4]));
      EXPECT_EQ(news->release.since, Duration(std::stol(w[5]) * 1000));
    } else if (w[0] == "version") {
      EXPECT_EQ(follower.version(), std::stol(w[1]));
    } else {
      throw std::runtime_error("no such line");
    }
  }
};

class FollowerPlay : public testing::TestWithParam<std::string> {};
TEST_P(FollowerPlay, goes_as_written) {
  FollowerStage stage;
  tests::run_script(GetParam(), [&](const Words& words) { stage.step(words); });
}
INSTANTIATE_TEST_SUITE_P(All, FollowerPlay,
                         testing::ValuesIn(tests::files_in(TESTS "/follower", ".txt")),
                         tests::script_name);

TEST(Selector, takes_what_it_says) {
  const objects::Fields labels{{"team", "front"}, {"tier", "a"}}, fields{{"status.phase", "trial"}};
  const auto takes = [&](const char* text, const char* field = "") {
    return objects::Selector(text, field).takes(labels, fields);
  };
  for (const char* text : {"", "team", "team=front", "team==front", "team in (back, front)", "!old",
                           "tier notin (b),team", "zone!=x", "zone notin (x)"})
    EXPECT_TRUE(takes(text)) << text;
  for (const char* text :
       {"zone", "team=back", "team!=front", "team in (back)", "!team", "team,zone"})
    EXPECT_FALSE(takes(text)) << text;
  EXPECT_TRUE(takes("", "status.phase=trial"));
  EXPECT_FALSE(takes("", "status.phase!=trial"));
  for (const char* text :
       {"=x", "team in (a", "team among (a)", "a,,b", "te am=x", "team=a b", "in (a)"})
    EXPECT_THROW(takes(text), objects::BadSelector) << text;
}

const char* const deployment_text = R"((deployment (zones here) (umpires 2)
  (product look (match GET /look) (sla 100ms) (expiry 300ms) (effect inquiry))
  (rules (drain-grace 50ms) (cold-from 0.3) (cold-for 1s) (fall-multiple 4) (fall-window 1s) (exposure-window 1s)
         (exposure-free 1))
  (rollout (waves 0.5 1) (caps 0.3 1) (gate clock) (bake 50ms) (step 60s) (settle 10ms) (drain 50ms) (vote-life 4s)
           (hold-share 0.5) (back-share 0.5) (votes-per-s 100))))";

// A controller whose machines come up and stop as ordered, on a loop of its own; ended and started
// anew on the same port and journal.
struct ApiStage {
  fs::path folder = fs::temp_directory_path() / ("robinhoist-api-" + std::to_string(::getpid()));
  net::Loop loop{net::steady_now()};
  std::thread thread{[this] { loop.run(); }};
  log::Logger log{"test", "off"};
  std::string extra{};
  std::unique_ptr<controller::Controller> controller{};
  std::function<void(const char*)> point{};
  int port = 0;

  ApiStage() {
    fs::remove_all(folder);
    fs::create_directories(folder);
  }
  ~ApiStage() {
    stop();
    loop.quit();
    thread.join();
    fs::remove_all(folder);
  }
  void stop() {
    loop.call([&] {
      watches.clear();
      controller.reset();
    });
  }
  void start() {
    loop.call([this] { start_here(); });
  }
  void start_here() {
    auto form = settings::SexpReader::from_text(
        std::string(deployment_text) + "(controller (listen 127.0.0.1:" + std::to_string(port) +
            ") (places 4) (build 1) (journal \"" + (folder / "journal").string() + "\")" + extra +
            ")",
        "test");
    controller::Settings settings = controller::read(form);
    settings.point = point;
    controller = std::make_unique<controller::Controller>(
        loop, settings, log, [this](const rollout::Order& order) {
          if (order.kind == rollout::OrderKind::drain)
            return;
          loop.in(Duration(1000), [this, order] {
            if (!controller)
              return;
            if (order.kind == rollout::OrderKind::start)
              controller->core().machine_up(order.machine, loop.now());
            else
              controller->core().machine_gone(order.machine, loop.now());
            controller->pull();
          });
        });
    port = controller->port();
  }

  struct Answer {
    int status = 0;  // 0: none came
    std::string text{}, body{};
    std::string header(const std::string& name) const {
      const std::size_t at = text.find("\r\n" + name + ": ");
      if (at == std::string::npos)
        return "";
      const std::size_t from = at + name.size() + 4;
      return text.substr(from, text.find("\r\n", from) - from);
    }
  };
  Answer ask(const std::string& method, const std::string& path, const std::string& body,
             const std::string& headers) const {
    Answer answer;
    try {
      Poco::Net::StreamSocket socket(
          Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)));
      socket.setReceiveTimeout(Poco::Timespan(5, 0));
      const std::string type = headers.find("Content-Type") == std::string::npos && !body.empty()
                                   ? "Content-Type: application/json\r\n"
                                   : "";
      const std::string text = method + " " + path +
                               " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + type + headers +
                               "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
      socket.sendBytes(text.data(), static_cast<int>(text.size()));
      char buffer[65536];
      for (int got; (got = socket.receiveBytes(buffer, sizeof buffer)) > 0;)
        answer.text.append(buffer, static_cast<std::size_t>(got));
    } catch (const Poco::Exception&) {
      return answer;
    }
    const std::size_t end = answer.text.find("\r\n\r\n");
    if (end == std::string::npos)
      return answer;
    answer.status = std::atoi(answer.text.c_str() + 9);
    answer.body = answer.text.substr(end + 4);
    return answer;
  }

  struct Watch {
    std::unique_ptr<http::StreamClient> caller{};
    std::string got{}, end{};
    int status = -1;  // once ended
  };
  std::map<std::string, std::unique_ptr<Watch>> watches{};
  void watch(const std::string& name, const std::string& path, const std::string& token) {
    loop.call([&] {
      auto one = std::make_unique<Watch>();
      Watch* at = one.get();
      at->caller = std::make_unique<http::StreamClient>(
          loop, Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(port)),
          http::MessageLimits{});
      http::Request request;
      request.target = path;
      if (!token.empty())
        request.headers.add("Authorization", "Bearer " + token);
      at->caller->start(
          request, {10s, 10s},
          [at](std::string& body) {
            at->got += body;
            body.clear();
            return true;
          },
          [at](int status, const std::string& body) {
            at->status = status;
            at->end = body;
          });
      watches[name] = std::move(one);
    });
  }

  Answer answer{};
  std::string headers{}, token{};
  std::map<std::string, std::string> kept{};
  std::string filled(std::string text) const {
    for (auto& [name, value] : kept)
      for (std::size_t at; (at = text.find("$" + name)) != std::string::npos;)
        text.replace(at, name.size() + 1, value);
    return text;
  }
  template <class Until>
  bool within(Until until) {
    for (int i = 0; i < 300; ++i) {
      bool there = false;
      loop.call([&] { there = until(); });
      if (there)
        return true;
      std::this_thread::sleep_for(10ms);
    }
    return false;
  }
  void step(const Words& words) {
    Words w = words;
    for (std::string& word : w)
      word = filled(word);
    if (w[0] == "settings") {
      extra = w[1];
    } else if (w[0] == "start") {
      start();
    } else if (w[0] == "restart") {
      loop.call([&] { controller.reset(); });
      start();
    } else if (w[0] == "as") {
      token = w[1];
    } else if (w[0] == "header") {
      headers += w[1] + ": " + w[2] + "\r\n";
    } else if (w[0] == "ask") {  // METHOD PATH STATUS [BODY]
      if (!token.empty())
        headers += "Authorization: Bearer " + token + "\r\n";
      answer = ask(w[1], w[2], w.size() > 4 ? w[4] : "", headers);
      headers.clear();
      EXPECT_EQ(answer.status, std::stoi(w[3])) << answer.text;
    } else if (w[0] == "until") {  // PATH TEXT: asked again until it says so
      for (int i = 0; i < 300; ++i, std::this_thread::sleep_for(10ms)) {
        answer =
            ask("GET", w[1], "", token.empty() ? "" : "Authorization: Bearer " + token + "\r\n");
        if (answer.text.find(w[2]) != std::string::npos)
          return;
      }
      ADD_FAILURE() << answer.text;
    } else if (w[0] == "has" || w[0] == "lacks") {
      EXPECT_EQ(answer.text.find(w[1]) != std::string::npos, w[0] == "has") << answer.text;
    } else if (w[0] == "keep") {  // NAME: the version of what was answered last
      kept[w[1]] = answer.header("ETag").substr(1);
      kept[w[1]].pop_back();
    } else if (w[0] == "watch") {
      watch(w[1], w[2], token);
    } else if (w[0] == "breaks") {
      loop.call([&] { watches.erase(w[1]); });
    } else if (w[0] == "sees") {
      EXPECT_TRUE(within([&] { return watches.at(w[1])->got.find(w[2]) != std::string::npos; }))
          << watches.at(w[1])->got;
    } else if (w[0] == "unseen") {
      loop.call([&] {
        EXPECT_EQ(watches.at(w[1])->got.find(w[2]), std::string::npos) << watches.at(w[1])->got;
      });
    } else if (w[0] == "ends") {  // NAME STATUS TEXT
      EXPECT_TRUE(within([&] { return watches.at(w[1])->status >= 0; }));
      EXPECT_EQ(watches.at(w[1])->status, std::stoi(w[2]));
      EXPECT_NE(watches.at(w[1])->end.find(w[3]), std::string::npos) << watches.at(w[1])->end;
    } else if (w[0] == "run") {
      std::this_thread::sleep_for(std::chrono::milliseconds(std::stol(w[1])));
    } else {
      throw std::runtime_error("no such line");
    }
  }
};

class ApiPlay : public testing::TestWithParam<std::string> {};
TEST_P(ApiPlay, goes_as_written) {
  ApiStage stage;
  tests::run_script(GetParam(), [&](const Words& words) { stage.step(words); });
}
INSTANTIATE_TEST_SUITE_P(All, ApiPlay, testing::ValuesIn(tests::files_in(TESTS "/api", ".txt")),
                         tests::script_name);

// One that does not read is cut, and says so last; one that reads misses nothing for it.
TEST(Watches, a_slow_one_is_cut_and_no_other_suffers) {
  ApiStage stage;
  stage.start();
  stage.watch("fast", "/v1/releases?watch=1", "");
  Poco::Net::StreamSocket slow(
      Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(stage.port)));
  const std::string request = "GET /v1/releases?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n";
  slow.sendBytes(request.data(), static_cast<int>(request.size()));
  int patches = 0;
  const auto cut = [&] {
    return stage.ask("GET", "/v1/umpires", "", "").body.find("\"watchesCut\":1") !=
           std::string::npos;
  };
  for (; patches < 8000 && !(patches % 100 == 99 && cut()); ++patches)
    ASSERT_EQ(stage
                  .ask("PATCH", "/v1/releases/build-1",
                       R"({"spec":{"description":")" + std::to_string(patches) +
                           std::string(4000, 'x') + "\"}}",
                       "")
                  .status,
              200);
  EXPECT_TRUE(cut());
  EXPECT_TRUE(stage.within([&] {
    const std::string& got = stage.watches.at("fast")->got;
    return got.find("\"description\":\"" + std::to_string(patches - 1) + "x") != std::string::npos;
  }));
  std::size_t seen = 0;
  stage.loop.call([&] {
    const std::string& got = stage.watches.at("fast")->got;
    for (std::size_t at = 0; (at = got.find("\"description\":\"", at)) != std::string::npos; ++at)
      ++seen;
  });
  EXPECT_GE(seen, static_cast<std::size_t>(patches));
  // What the slow one reads at last ends with whole events and the word that it was too slow.
  std::string text;
  char buffer[65536];
  slow.setReceiveTimeout(Poco::Timespan(5, 0));
  while (text.find("TooSlow") == std::string::npos) {
    const int got = slow.receiveBytes(buffer, sizeof buffer);
    if (got <= 0)
      break;
    text.append(buffer, static_cast<std::size_t>(got));
  }
  EXPECT_NE(text.find("\"reason\":\"TooSlow\""), std::string::npos);
}

// Clients that open a watch and leave, ten thousand times.
TEST(Watches, that_come_and_go_leave_nothing_behind) {
  ApiStage stage;
  stage.start();
  const std::string request = "GET /v1/releases?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n";
  for (int i = 0; i < 10000; ++i) {
    Poco::Net::StreamSocket one(
        Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(stage.port)));
    one.sendBytes(request.data(), static_cast<int>(request.size()));
    one.setLinger(true, 0);
  }
  std::string told;
  for (int i = 0; i < 300; ++i, std::this_thread::sleep_for(10ms)) {
    told = stage.ask("GET", "/v1/umpires", "", "").body;
    if (told.find("\"watches\":0") != std::string::npos)
      break;
  }
  EXPECT_NE(told.find("\"watches\":0"), std::string::npos) << told;
}

// docs/openapi.json and the server name the same paths and methods.
TEST(Api, is_as_its_description_says) {
  ApiStage stage;
  stage.start();
  const auto served = json::parse_object(stage.ask("GET", "/v1", "", "").body);
  std::set<std::string> real, told;
  for (auto& route : json::array(served, "routes").GetArray())
    real.insert(json::text(route, "method") + " " + json::text(route, "path"));
  std::ifstream in(ROOT "/docs/openapi.json");
  std::stringstream text;
  text << in.rdbuf();
  const auto description = json::parse_object(text.str());
  for (auto& path : json::nested_object(description, "paths").GetObject())
    for (auto& method : path.value.GetObject()) {
      std::string name = method.name.GetString();
      for (char& c : name)
        c = static_cast<char>(std::toupper(c));
      told.insert(name + " " + path.name.GetString());
    }
  EXPECT_EQ(told, real);
}

// The end of a controller between writing a change down and telling it.
struct Ended : std::exception {};
struct Quiet : Poco::ErrorHandler {
  void exception(const Poco::Exception&) override {}
  void exception(const std::exception&) override {}
  void exception() override {}
};

// Clients create, patch, delete and read, watchers follow and break off, and the controller ends
// now and then right after it has written a change down.
history::History played(int seconds_tenths) {
  static Quiet quiet;
  Poco::ErrorHandler::set(&quiet);
  ApiStage stage;
  stage.extra = " (history 100000)";
  int writes = 0;
  bool dying = false;
  stage.point = [&](const char*) {
    if (dying || ++writes % 37 != 0)
      return;
    dying = true;
    stage.loop.in(Duration(500), [&] {
      stage.controller.reset();
      dying = false;
      stage.start_here();
    });
    throw Ended();
  };
  stage.start();
  history::History all;
  std::mutex mutex;
  std::atomic<bool> over = false;
  std::atomic<int> build = 1;
  const auto now = [&] { return stage.loop.now().time_since_epoch().count(); };
  std::vector<std::thread> threads;
  for (int client = 0; client < 3; ++client)
    threads.emplace_back([&, client] {
      std::minstd_rand chance(static_cast<unsigned>(client + 5));
      for (int n = 0; !over; ++n) {
        history::Op op;
        const int names = std::max(1, build.load());
        op.name = "build-" + std::to_string(1 + chance() % static_cast<unsigned>(names));
        const unsigned kind = chance() % 10;
        op.mark = std::to_string(client) + "." + std::to_string(n);
        op.from = now();
        ApiStage::Answer answer;
        if (kind == 0) {
          const int mine = ++build;
          op.name = "build-" + std::to_string(mine);
          op.kind = history::Kind::write;
          answer = stage.ask("POST", "/v1/releases",
                             R"({"metadata":{"labels":{"mark":")" + op.mark +
                                 R"("}},"spec":{"build":)" + std::to_string(mine) + "}}",
                             "");
        } else if (kind < 5) {
          op.kind = history::Kind::write;
          answer = stage.ask("PATCH", "/v1/releases/" + op.name,
                             R"({"metadata":{"labels":{"mark":")" + op.mark + R"("}}})", "");
        } else if (kind == 5) {
          op.kind = history::Kind::other;
          answer = stage.ask("DELETE", "/v1/releases/" + op.name, "", "");
        } else {
          op.kind = history::Kind::read;
          answer = stage.ask("GET", "/v1/releases/" + op.name, "", "");
        }
        op.to = now();
        op.done = answer.status >= 200 && answer.status < 300;
        op.missing = answer.status == 404;
        if (op.done && answer.header("ETag").size() > 2)
          op.version = std::atol(answer.header("ETag").c_str() + 1);
        std::lock_guard lock(mutex);
        all.ops.push_back(op);
      }
    });
  // Watchers break off by a time of their own and go on from where they stood.
  for (int w = 0; w < 3; ++w)
    threads.emplace_back([&, w] {
      std::vector<history::Seen> seen;
      std::int64_t version = 0;
      while (true) {
        const bool last = over;
        const auto answer = stage.ask(
            "GET",
            "/v1/releases?watch=1&resourceVersion=" + std::to_string(version) + "&timeoutSeconds=1",
            w == 0 ? "" : "", "");
        for (const history::Seen& one : history::seen_in(answer.body)) {
          seen.push_back(one);
          version = one.version;
        }
        if (last && answer.status == 200)
          break;
      }
      std::lock_guard lock(mutex);
      all.watchers.push_back(seen);
    });
  std::this_thread::sleep_for(std::chrono::milliseconds(100 * seconds_tenths));
  over = true;
  for (std::thread& thread : threads)
    thread.join();
  all.restarts = writes / 37;
  return all;
}

TEST(History, has_one_order_that_all_saw) {
  const history::History all = played(30);
  EXPECT_EQ(history::wrong_with(all), "");
  EXPECT_GT(all.ops.size(), 200u);
  EXPECT_GT(all.restarts, 3);
  std::printf("ops: %zu, changes: %zu, ends of the controller: %d\n", all.ops.size(),
              all.watchers[0].size(), all.restarts);
  // The checker sees what is planted.
  const auto broken = [&](auto change) {
    history::History other = all;
    change(other);
    return history::wrong_with(other);
  };
  EXPECT_NE(broken([](auto& h) { h.watchers[1].erase(h.watchers[1].begin() + 20); }), "")
      << "a lost event";
  EXPECT_NE(broken([](auto& h) { std::swap(h.watchers[2][10], h.watchers[2][11]); }), "")
      << "two swapped";
  EXPECT_NE(broken([](auto& h) { h.watchers[0].push_back(h.watchers[0].back()); }), "")
      << "one told twice";
  EXPECT_NE(broken([](auto& h) {
              // A read that gives what an earlier write had long replaced.
              for (auto& read : h.ops)
                if (read.kind == history::Kind::read && read.done)
                  for (auto& write : h.ops)
                    if (write.kind == history::Kind::write && write.done &&
                        write.name == read.name && write.to < read.from &&
                        write.version > h.watchers[0].front().version) {
                      for (auto& old : h.watchers[0])
                        if (old.name == read.name && old.version < write.version) {
                          read.version = old.version;
                          return;
                        }
                    }
            }),
            "")
      << "a stale read";
  EXPECT_NE(broken([](auto& h) {
              for (auto& op : h.ops)
                if (op.kind == history::Kind::write && op.done) {
                  op.mark = "never";
                  return;
                }
            }),
            "")
      << "a write that nobody saw";
}

}  // namespace
}  // namespace robinhoist
