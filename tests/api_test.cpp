/// Tests of the API over loopback: the scripts in tests/api, watches, and a consistency check of
/// the history of concurrent clients.
#include <fstream>
#include <set>

#include "api_fixture.h"
#include "api_history_run.h"
#include "json/reader.h"
#include "scripted_test.h"

namespace robinhoist {
namespace {

using namespace std::chrono_literals;
using tests::Answer;
using tests::ApiServerFixture;
using tests::Words;

Duration milliseconds(const std::string& word) {
  return std::chrono::milliseconds(std::stol(word));
}

bool contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// Polls a condition for up to three seconds.
template <class Condition>
bool eventually(Condition condition) {
  for (int i = 0; i < 300; ++i) {
    if (condition())
      return true;
    std::this_thread::sleep_for(10ms);
  }
  return false;
}

// --- Scenarios

class ApiScenario : public testing::TestWithParam<std::string> {
 protected:
  void step(const Words& words) {
    const auto found = steps().find(words[0]);
    if (found == steps().end())
      throw std::runtime_error("unknown step: " + words[0]);
    Words filled = words;
    for (std::string& word : filled)
      word = with_saved_values(word);
    (this->*found->second)(filled);
  }

 private:
  using Step = void (ApiScenario::*)(const Words&);
  static const std::map<std::string, Step>& steps() {
    static const std::map<std::string, Step> all{{"settings", &ApiScenario::settings},
                                                 {"start", &ApiScenario::start},
                                                 {"restart", &ApiScenario::restart},
                                                 {"as", &ApiScenario::use_token},
                                                 {"header", &ApiScenario::add_header},
                                                 {"ask", &ApiScenario::request},
                                                 {"until", &ApiScenario::request_until},
                                                 {"has", &ApiScenario::expect_in_answer},
                                                 {"lacks", &ApiScenario::expect_not_in_answer},
                                                 {"keep", &ApiScenario::save_version},
                                                 {"watch", &ApiScenario::open_watch},
                                                 {"breaks", &ApiScenario::close_watch},
                                                 {"sees", &ApiScenario::expect_received},
                                                 {"unseen", &ApiScenario::expect_not_received},
                                                 {"ends", &ApiScenario::expect_watch_end},
                                                 {"run", &ApiScenario::wait}};
    return all;
  }

  std::string with_saved_values(std::string text) const {
    for (const auto& [name, value] : saved_)
      for (std::size_t at; (at = text.find("$" + name)) != std::string::npos;)
        text.replace(at, name.size() + 1, value);
    return text;
  }
  std::string authorization() const {
    return token_.empty() ? "" : "Authorization: Bearer " + token_ + "\r\n";
  }

  void settings(const Words& words) { server_.set_extra_settings(words[1]); }
  void start(const Words&) { server_.start(); }
  void restart(const Words&) { server_.restart(); }
  void use_token(const Words& words) { token_ = words[1]; }
  void add_header(const Words& words) { headers_ += words[1] + ": " + words[2] + "\r\n"; }

  // Arguments: METHOD PATH STATUS [BODY]
  void request(const Words& words) {
    const std::string body = words.size() > 4 ? words[4] : "";
    answer_ = server_.request(words[1], words[2], body, headers_ + authorization());
    headers_.clear();
    EXPECT_EQ(answer_.status, std::stoi(words[3])) << answer_.text;
  }

  // Arguments: PATH TEXT
  void request_until(const Words& words) {
    const bool found = eventually([&] {
      answer_ = server_.request("GET", words[1], "", authorization());
      return contains(answer_.text, words[2]);
    });
    EXPECT_TRUE(found) << answer_.text;
  }

  void expect_in_answer(const Words& words) {
    EXPECT_TRUE(contains(answer_.text, words[1])) << answer_.text;
  }
  void expect_not_in_answer(const Words& words) {
    EXPECT_FALSE(contains(answer_.text, words[1])) << answer_.text;
  }

  // Saves the version in the last response under a name.
  void save_version(const Words& words) {
    const std::string tag = answer_.header("ETag");
    saved_[words[1]] = tag.substr(1, tag.size() - 2);
  }

  void open_watch(const Words& words) { server_.open_watch(words[1], words[2], token_); }
  void close_watch(const Words& words) { server_.close_watch(words[1]); }

  void expect_received(const Words& words) {
    EXPECT_TRUE(eventually([&] { return contains(server_.received(words[1]), words[2]); }))
        << server_.received(words[1]);
  }
  void expect_not_received(const Words& words) {
    const std::string received = server_.received(words[1]);
    EXPECT_FALSE(contains(received, words[2])) << received;
  }

  // Arguments: NAME STATUS TEXT
  void expect_watch_end(const Words& words) {
    EXPECT_TRUE(eventually([&] { return server_.watch_status(words[1]) >= 0; }));
    EXPECT_EQ(server_.watch_status(words[1]), std::stoi(words[2]));
    const std::string body = server_.watch_last_body(words[1]);
    EXPECT_TRUE(contains(body, words[3])) << body;
  }

  void wait(const Words& words) { std::this_thread::sleep_for(milliseconds(words[1])); }

  ApiServerFixture server_{};
  Answer answer_{};
  std::string headers_{};
  std::string token_{};
  std::map<std::string, std::string> saved_{};
};

TEST_P(ApiScenario, BehavesAsWritten) {
  tests::run_script(GetParam(), [this](const Words& words) { step(words); });
}
INSTANTIATE_TEST_SUITE_P(All, ApiScenario, testing::ValuesIn(tests::files_in(TESTS "/api", ".txt")),
                         tests::script_name);

// docs/openapi.json must describe exactly the paths and methods that the server serves.
TEST(Api, ServesTheRoutesInItsOpenApiDescription) {
  ApiServerFixture server;
  server.start();
  const auto body = json::parse_object(server.request("GET", "/v1").body);
  std::set<std::string> served;
  for (const auto& route : json::array(body, "routes").GetArray())
    served.insert(json::text(route, "method") + " " + json::text(route, "path"));
  std::ifstream file(ROOT "/docs/openapi.json");
  std::stringstream text;
  text << file.rdbuf();
  const auto description = json::parse_object(text.str());
  std::set<std::string> described;
  for (const auto& path : json::nested_object(description, "paths").GetObject())
    for (const auto& entry : path.value.GetObject()) {
      std::string method = entry.name.GetString();
      for (char& c : method)
        c = static_cast<char>(std::toupper(c));
      described.insert(method + " " + path.name.GetString());
    }
  EXPECT_EQ(described, served);
}

// --- Watches

const std::string watch_request = "GET /v1/releases?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n";

std::string description_patch(int number) {
  return R"({"spec":{"description":")" + std::to_string(number) + std::string(4000, 'x') + "\"}}";
}

// Reads from a socket until a text is received or the socket times out.
std::string receive_until(Poco::Net::StreamSocket& socket, const std::string& end_text) {
  std::string text;
  char buffer[65536];
  socket.setReceiveTimeout(Poco::Timespan(5, 0));
  while (!contains(text, end_text)) {
    const int count = socket.receiveBytes(buffer, sizeof buffer);
    if (count <= 0)
      break;
    text.append(buffer, static_cast<std::size_t>(count));
  }
  return text;
}

std::size_t count_of(const std::string& part, const std::string& text) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
    ++count;
  return count;
}

TEST(Watches, DisconnectOnlyTheSlowClient) {
  ApiServerFixture server;
  server.start();
  server.open_watch("fast", "/v1/releases?watch=1");
  Poco::Net::StreamSocket slow = server.connect();
  slow.sendBytes(watch_request.data(), static_cast<int>(watch_request.size()));
  const auto dropped = [&] {
    return contains(server.request("GET", "/v1/umpires").body, "\"watchesCut\":1");
  };
  int patches = 0;
  for (; patches < 8000 && !(patches % 100 == 99 && dropped()); ++patches) {
    const Answer answer =
        server.request("PATCH", "/v1/releases/build-1", description_patch(patches));
    ASSERT_EQ(answer.status, 200);
  }
  EXPECT_TRUE(dropped());
  const std::string last_change = "\"description\":\"" + std::to_string(patches - 1) + "x";
  EXPECT_TRUE(eventually([&] { return contains(server.received("fast"), last_change); }));
  EXPECT_GE(count_of("\"description\":\"", server.received("fast")),
            static_cast<std::size_t>(patches));
  // The response to the slow client ends with the reason for the disconnection.
  const std::string reason = "\"reason\":\"TooSlow\"";
  EXPECT_TRUE(contains(receive_until(slow, reason), reason));
}

TEST(Watches, AreRemovedWhenClientsDisconnect) {
  ApiServerFixture server;
  server.start();
  for (int i = 0; i < 10000; ++i) {
    Poco::Net::StreamSocket client = server.connect();
    client.sendBytes(watch_request.data(), static_cast<int>(watch_request.size()));
    client.setLinger(true, 0);
  }
  std::string proxies;
  EXPECT_TRUE(eventually([&] {
    proxies = server.request("GET", "/v1/umpires").body;
    return contains(proxies, "\"watches\":0");
  })) << proxies;
}

// --- A history of concurrent clients

class HistoryTest : public testing::Test {
 protected:
  static constexpr int min_restarts = 3;

  // Applies a change to a copy of a history and returns the contradiction that the checker finds.
  template <class Change>
  static std::string contradiction_after(const tests::ApiHistory& history, Change change) {
    tests::ApiHistory changed = history;
    change(changed);
    return tests::contradiction(changed);
  }

  // Makes a read return a version that an earlier write had already replaced.
  static void inject_stale_read(tests::ApiHistory& history) {
    using tests::OperationKind;
    for (auto& read : history.operations)
      for (const auto& write : history.operations) {
        const bool follows = read.kind == OperationKind::read && read.succeeded &&
                             write.kind == OperationKind::write && write.succeeded &&
                             write.name == read.name && write.end < read.begin;
        if (follows && write.version > history.watches[0].front().version &&
            replace_with_older_version(history, read, write.version))
          return;
      }
  }

  // Makes a confirmed write one that no watch has received.
  static void inject_lost_write(tests::ApiHistory& history) {
    for (auto& operation : history.operations)
      if (operation.kind == tests::OperationKind::write && operation.succeeded) {
        operation.write_id = "never";
        return;
      }
  }

 private:
  static bool replace_with_older_version(const tests::ApiHistory& history, tests::Operation& read,
                                         std::int64_t version) {
    for (const auto& change : history.watches[0])
      if (change.name == read.name && change.version < version) {
        read.version = change.version;
        return true;
      }
    return false;
  }
};

TEST_F(HistoryTest, HasOneOrderThatAllWatchesReceived) {
  tests::HistoryRun run({.min_duration = 3s, .min_restarts = min_restarts, .max_duration = 60s});
  const tests::ApiHistory history = run.run();
  EXPECT_EQ(tests::contradiction(history), "");
  EXPECT_GT(history.operations.size(), 200u);
  EXPECT_GT(history.restarts, min_restarts);
  std::printf("operations: %zu, changes: %zu, restarts of the controller: %d\n",
              history.operations.size(), history.watches[0].size(), history.restarts);
  // The checker detects injected errors.
  EXPECT_NE(
      contradiction_after(history, [](auto& h) { h.watches[1].erase(h.watches[1].begin() + 20); }),
      "")
      << "a lost event";
  EXPECT_NE(
      contradiction_after(history, [](auto& h) { std::swap(h.watches[2][10], h.watches[2][11]); }),
      "")
      << "two swapped events";
  EXPECT_NE(
      contradiction_after(history, [](auto& h) { h.watches[0].push_back(h.watches[0].back()); }),
      "")
      << "a duplicate event";
  EXPECT_NE(contradiction_after(history, inject_stale_read), "") << "a stale read";
  EXPECT_NE(contradiction_after(history, inject_lost_write), "")
      << "a write that no watch received";
}

}  // namespace
}  // namespace robinhoist
