// Plays every file in tests/scenarios: *.txt against the module, *.wire against the adapter.
// The notation is described in tests/scenarios/README.md.
#include <gtest/gtest.h>
#include <sys/wait.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

#include "policy/decision_engine.h"

namespace robinhoist {
namespace {

namespace fs = std::filesystem;
using Words = std::vector<std::string>;

Duration ms(double value) {
  return Duration(static_cast<long long>(value * 1e3));
}

template <class T>
T one_of(const std::string& word, std::initializer_list<std::pair<const char*, T>> words) {
  for (auto& [name, value] : words)
    if (word == name)
      return value;
  throw std::runtime_error("unknown word " + word);
}

Outcome outcome(const std::string& word) {
  return one_of<Outcome>(word, {{"ok", Outcome::ok},
                                {"error", Outcome::error},
                                {"full", Outcome::rejected},
                                {"timeout", Outcome::timeout},
                                {"noconn", Outcome::connect_failure},
                                {"reset", Outcome::reset},
                                {"cancelled", Outcome::cancelled},
                                {"moot", Outcome::obsolete},
                                {"unknown", Outcome::unknown}});
}

struct Play {
  EndpointSettings endpoints{0,
                             ms(4000),
                             ms(1500),
                             ms(10000),
                             ms(1000),
                             0.3,
                             2,
                             false,
                             false,
                             false,
                             LoadReportSource::none};
  CanaryQuotaSettings canary_quota{ms(4000), 1, false, false, false, 0, {0.1, 0.3, 1}};
  AnalysisSettings analysis{
      PromotionMode::clock, ms(2000), ms(4000), ms(8000), ms(1000), 20, 0.3, 1, 1, 1, 1};
  RequestSettings requests{{}, {}, 5, 1, true, true, true, ms(2000), ms(20), ms(5), 0.1};
  unsigned salt = 7;

  struct Reply {
    double after;
    Outcome outcome;
    int every;  // each so-manyth submission ends like that, the others well
    int seen = 0;
    bool never;
  };
  struct Due {
    TimePoint at;
    int request_id, attempt;
    Outcome outcome;
  };
  struct Stream {
    int request_class, tenant;
    double every_ms, deadline;
    TimePoint next;
  };

  std::unique_ptr<DecisionEngine> engine;
  TimePoint now{ms(100000)};
  std::map<std::string, int> names, request_names;
  std::vector<int> builds;
  std::map<std::string, Reply> replies;
  std::vector<Due> dues;
  std::vector<Stream> streams;
  std::map<int, int> sends, tenant_of;
  std::set<int> ended;
  std::map<std::string, double> counts;
  Outcome vote_answer = Outcome::ok;
  int next_request_id = 0;

  void note(const std::string& what) { counts[what] += 1; }

  std::string endpoint_name(int endpoint) {
    for (auto& [name, index] : names)
      if (index == endpoint)
        return name;
    return "?";
  }

  void pull() {
    while (auto d = engine->next(now)) {
      std::string who;
      for (auto& [name, id] : request_names)
        if (id == d->request_id)
          who = name;
      switch (d->action) {
        case Action::forward: {
          if (ended.count(d->request_id))
            note("sent after end");
          int attempt = sends[d->request_id]++;
          note("submissions");
          note("submissions " + who);
          note("sent " + endpoint_name(d->endpoint));
          note("sent build " + std::to_string(builds[d->endpoint]));
          Reply* reply = nullptr;
          for (const std::string& key :
               {"tenant" + std::to_string(tenant_of[d->request_id]), endpoint_name(d->endpoint),
                "build" + std::to_string(builds[d->endpoint])})
            if (!reply && replies.count(key))
              reply = &replies[key];
          if (!reply || reply->never)
            break;
          bool as_said = ++reply->seen % reply->every == 0;
          dues.push_back({now + ms(reply->after), d->request_id, attempt,
                          as_said ? reply->outcome : Outcome::ok});
          break;
        }
        case Action::reject:
        case Action::fail:
          if (!ended.insert(d->request_id).second)
            note("ended twice");
          note(d->action == Action::reject ? "declined" : "voided");
          note((d->action == Action::reject ? "declined " : "voided ") + who);
          note("ended tenant " + std::to_string(tenant_of[d->request_id]));
          if (d->duration > Duration{})
            note("advice");
          break;
        case Action::vote: {
          const char* verdicts[] = {"none", "on", "hold", "back"};
          note(std::string("vote ") + verdicts[static_cast<int>(d->verdict)]);
          engine->vote_answered(vote_answer, now);
          break;
        }
        case Action::subscribe:
          note("subscribed");
          break;
        case Action::cancel:
          note("cancelled");
          break;
        default:
          break;
      }
    }
  }

  void end(int request_id, int attempt, Outcome how) {
    bool succeeded = how == Outcome::ok || ended.count(request_id) > 0;
    if (how == Outcome::ok)
      ended.insert(request_id);
    engine->attempt_ended(request_id, attempt, how, succeeded, {}, now);
  }

  void arrive(const std::string& name, int request_class, double deadline, const std::string& key,
              int tenant = 0) {
    int id = next_request_id++;
    if (!name.empty())
      request_names[name] = id;
    tenant_of[id] = tenant;
    engine->request_arrived({id, request_class, tenant, now + ms(deadline), 0, key, false}, now);
    pull();
  }

  void run(double length) {
    TimePoint until = now + ms(length);
    while (now < until) {
      now += ms(5);
      for (std::size_t i = 0; i < dues.size(); ++i) {
        if (dues[i].at > now)
          continue;
        Due due = dues[i];
        dues.erase(dues.begin() + static_cast<long>(i--));
        end(due.request_id, due.attempt, due.outcome);
      }
      for (Stream& stream : streams)
        for (; stream.next <= now; stream.next += ms(stream.every_ms))
          arrive("", stream.request_class, stream.deadline, "", stream.tenant);
      pull();
    }
  }

  void set(const Words& w) {
    double v = w.size() > 2 ? std::atof(w[2].c_str()) : 0;
    const std::string& key = w[1];
    if (key == "must_ask")
      endpoints.polls_list = true;
    else if (key == "fall_multiple")
      endpoints.collapse_multiple = v;
    else if (key == "by_product")
      canary_quota.by_request_class = true;
    else if (key == "one_way")
      canary_quota.one_way = true;
    else if (key == "in_place")
      canary_quota.in_place = true;
    else if (key == "safe_only_stages")
      canary_quota.safe_only_stages = static_cast<int>(v);
    else if (key == "no_copies")
      requests.hedging = false;
    else if (key == "umpires")
      analysis.proxies = requests.proxies = endpoints.proxy_count = static_cast<int>(v);
    else if (key == "to_revert")
      analysis.votes_to_roll_back = static_cast<int>(v);
    else if (key == "step")
      analysis.step = ms(v);
    else if (key == "gate")
      analysis.promotion_mode = one_of<PromotionMode>(w[2], {{"first", PromotionMode::first_vote},
                                                             {"count", PromotionMode::count},
                                                             {"clock", PromotionMode::clock}});
    else
      throw std::runtime_error("unknown setting " + key);
  }

  void command(const Words& w) {
    auto num = [&](std::size_t i) { return w.size() > i ? std::atof(w[i].c_str()) : 0; };
    if (w[0] == "set")
      return set(w);
    if (w[0] == "product") {
      Idempotency idempotency =
          one_of<Idempotency>(w[1], {{"inquiry", Idempotency::idempotent},
                                     {"referenced", Idempotency::idempotent_with_key},
                                     {"once", Idempotency::non_idempotent}});
      DedupScope dedup_scope = w.size() > 3 ? one_of<DedupScope>(w[3], {{"all", DedupScope::all},
                                                                        {"zone", DedupScope::zone},
                                                                        {"cell", DedupScope::cell}})
                                            : DedupScope::all;
      requests.request_classes.push_back(
          {ms(300), ms(750), ms(num(2)), idempotency, dedup_scope, 1, 0, false});
      return;
    }
    if (w[0] == "tenant") {  // tenant ALLOWANCE_PER_S
      requests.tenants.push_back({0.5, num(1)});
      return;
    }
    if (!engine)
      engine = std::make_unique<DecisionEngine>(salt, endpoints, canary_quota, analysis, requests);
    if (w[0] == "node") {  // node NAME BUILD in|lame|out [started seconds ago] [zone] [cell]
      if (auto comma = w[1].find(','); comma != std::string::npos) {
        for (Words part = w;
             const std::string& name : {w[1].substr(0, comma), w[1].substr(comma + 1)})
          part[1] = name, command(part);
        return;
      }
      auto [at, fresh] = names.try_emplace(w[1], static_cast<int>(builds.size()));
      if (fresh)
        builds.push_back(0);
      builds[at->second] = static_cast<int>(num(2));
      EndpointPhase phase = one_of<EndpointPhase>(w[3], {{"in", EndpointPhase::ready},
                                                         {"lame", EndpointPhase::draining},
                                                         {"out", EndpointPhase::removed}});
      TimePoint started = w.size() > 4 && w[4] != "-" ? now - ms(1e3 * num(4)) : TimePoint{};
      engine->endpoints_updated(EndpointUpdateKind::incremental,
                                {{at->second, static_cast<int>(num(5)), static_cast<int>(num(6)),
                                  builds[at->second], phase, 1, started}},
                                now);
    } else if (w[0] == "list_failed") {
      engine->endpoints_updated(EndpointUpdateKind::failed, {}, now);
    } else if (w[0] == "release") {  // release BUILD STAGE trial|back|released|withdrawn CAP
      ReleasePhase phase = one_of<ReleasePhase>(w[3], {{"trial", ReleasePhase::canary},
                                                       {"back", ReleasePhase::rolling_back},
                                                       {"released", ReleasePhase::released},
                                                       {"withdrawn", ReleasePhase::rolled_back}});
      engine->release_updated(
          {static_cast<int>(num(1)), static_cast<int>(num(2)), phase, num(4), Duration{}}, now);
    } else if (w[0] == "reply") {  // reply NODE|buildN never, or AFTER_MS OUTCOME [EVERY]
      bool never = w[2] == "never";
      replies[w[1]] = {num(2), never ? Outcome::ok : outcome(w[3]),
                       w.size() > 4 ? static_cast<int>(num(4)) : 1, 0, never};
    } else if (w[0] == "traffic" ||
               w[0] == "also") {  // traffic|also PRODUCT EVERY_MS [TENANT]; 0 stops it
      if (w[0] == "traffic")
        streams.clear();
      if (num(2) > 0)
        streams.push_back({static_cast<int>(num(1)), static_cast<int>(num(3)), num(2), 750, now});
    } else if (w[0] == "run") {
      run(num(1));
    } else if (w[0] == "txn") {  // txn NAME PRODUCT [EXPIRY_MS] [KEY]
      arrive(w[1], static_cast<int>(num(2)), w.size() > 3 ? num(3) : 750, w.size() > 4 ? w[4] : "");
    } else if (w[0] == "answer") {  // answer TXN SUBMISSION OUTCOME
      end(request_names.at(w[1]), static_cast<int>(num(2)), outcome(w[3]));
      pull();
    } else if (w[0] == "votes") {  // votes end with this outcome from now on
      vote_answer = outcome(w[1]);
    } else if (w[0] == "flag") {  // flag NODE COUNT
      for (int i = 0; i < num(2); ++i)
        engine->answer_found_wrong(names.at(w[1]));
    } else if (w[0] == "mark") {
      counts.clear();
    } else if (w[0] == "expect") {  // expect WHAT... =|<|> NUMBER
      std::string what = w[1];
      for (std::size_t i = 2; i + 2 < w.size(); ++i)
        what += " " + w[i];
      double seen = counts[what], wanted = std::atof(w.back().c_str());
      const std::string& op = w[w.size() - 2];
      EXPECT_TRUE(op == "="   ? seen == wanted
                  : op == "<" ? seen < wanted
                              : seen > wanted)
          << what << " is " << seen << ", wanted " << op << " " << wanted;
    } else {
      throw std::runtime_error("unknown command " + w[0]);
    }
  }
};

std::vector<std::string> lines_of(const fs::path& path) {
  std::ifstream in(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);)
    lines.push_back(line);
  return lines;
}

class Scenario : public testing::TestWithParam<std::string> {};

TEST_P(Scenario, Plays) {
  Play play;
  int number = 0;
  for (std::string line : lines_of(fs::path(SCENARIOS) / (GetParam() + ".txt"))) {
    ++number;
    SCOPED_TRACE("line " + std::to_string(number) + ": " + line);
    std::istringstream in(line.substr(0, line.find('#')));
    Words words{std::istream_iterator<std::string>(in), {}};
    if (words.empty())
      continue;
    ASSERT_NO_THROW(play.command(words));
  }
  EXPECT_EQ(play.counts["sent after end"] + play.counts["ended twice"], 0);
}

class Wire : public testing::TestWithParam<std::string> {};

// A *.wire file opens with 'refuse LINE WORD', the plain message wanted, or 'accept COUNT TEXT',
// how often TEXT stands in the replies; @hello stands for a first message. The rest is what the
// adapter reads.
TEST_P(Wire, IsRead) {
  auto lines = lines_of(fs::path(SCENARIOS) / (GetParam() + ".wire"));
  std::istringstream first(lines.at(0));
  std::string verb, count, word;
  first >> verb >> count >> word;
  fs::path in = fs::path(testing::TempDir()) / (GetParam() + ".in");
  std::ofstream out(in);
  for (std::size_t i = 1; i < lines.size(); ++i)
    out << (lines[i] == "@hello" ? lines_of(fs::path(SCENARIOS) / "hello.json").at(0) : lines[i])
        << "\n";
  out.close();
  std::FILE* pipe = popen((std::string(BENCHLINK) + " < " + in.string() + " 2>&1").c_str(), "r");
  std::string text;
  for (int c; (c = std::fgetc(pipe)) != EOF;)
    text += static_cast<char>(c);
  int code = WEXITSTATUS(pclose(pipe));
  if (verb == "refuse") {
    EXPECT_NE(code, 0);
    EXPECT_EQ(text.rfind("line " + count + ": ", 0), 0u) << text;
    EXPECT_NE(text.find(word), std::string::npos) << text;
    EXPECT_EQ(text.find("eor"), std::string::npos) << text;
  } else {
    EXPECT_EQ(code, 0) << text;
    int seen = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1))
      ++seen;
    EXPECT_EQ(seen, std::atoi(count.c_str())) << text;
  }
}

std::vector<std::string> files(const std::string& ending) {
  std::set<std::string> names;
  for (auto& entry : fs::directory_iterator(SCENARIOS))
    if (entry.path().extension() == ending)
      names.insert(entry.path().stem().string());
  return {names.begin(), names.end()};
}

auto name_of = [](const testing::TestParamInfo<std::string>& info) { return info.param; };
INSTANTIATE_TEST_SUITE_P(All, Scenario, testing::ValuesIn(files(".txt")), name_of);
INSTANTIATE_TEST_SUITE_P(All, Wire, testing::ValuesIn(files(".wire")), name_of);

}  // namespace
}  // namespace robinhoist
