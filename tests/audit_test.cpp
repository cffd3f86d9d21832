// Tests the auditor with small event logs: each file of tests/audit/*.txt describes one that breaks
// one rule, or none. The notation is described in tests/audit/README.md.
#include "audit/audit.h"

#include <unistd.h>

#include <map>

#include "record/record.h"
#include "scripted_test.h"

namespace robinhoist::audit {
namespace {

using tests::Words;
namespace fs = std::filesystem;

struct TemporaryFolder {
  fs::path at = fs::temp_directory_path() / ("robinhoist-audit-" + std::to_string(::getpid()));
  TemporaryFolder() { fs::create_directories(at); }
  ~TemporaryFolder() { fs::remove_all(at); }
};

struct EventLogBuilder {
  TemporaryFolder folder{};
  record::Meta meta{};
  std::map<std::string, std::string> files{
      {"clients", ""}, {"nodes", ""}, {"told", ""}, {"umpires", ""}, {"database", ""}};
  std::map<std::string, std::string> expected{};
  long next_work = 1;
  bool cut = false;

  EventLogBuilder() {
    using namespace std::chrono_literals;
    meta.request_classes = {
        {"look", 300ms, 500ms, 0ms, Idempotency::idempotent, DedupScope::all, 1},
        {"book", 300ms, 500ms, 200ms, Idempotency::idempotent_with_key, DedupScope::all, 1},
        {"pay", 300ms, 500ms, 0ms, Idempotency::non_idempotent, DedupScope::all, 1},
        {"file", 300ms, 500ms, 200ms, Idempotency::idempotent_with_key, DedupScope::zone, 1}};
    meta.caps = {0.1, 1};
    meta.drain_grace = 1s;
    meta.quota_window = 2s;
    meta.collapse_window = 1s;
    meta.answer_slack = 20ms;
    meta.uncapped_attempts = 1;
    meta.length = 10s;
  }

  static long us(const std::string& ms) { return std::stol(ms) * 1000; }
  int request_class(const std::string& name) const {
    for (std::size_t p = 0; p < meta.request_classes.size(); ++p)
      if (meta.request_classes[p].name == name)
        return static_cast<int>(p);
    throw std::runtime_error("no product " + name);
  }

  // try ID UMPIRE PRODUCT AT END ENDED [FIRST]
  void add_client_attempt(const Words& w) {
    files["clients"] += json::Writer()
                            .begin_object()
                            .put("t", us(w[4]))
                            .put("t1", us(w[6]))
                            .put("until", us(w[4]) + 500000)
                            .put("id", std::stol(w[1]))
                            .put("first", std::stol(w.size() > 7 ? w[7] : w[1]))
                            .put("umpire", w[2])
                            .put("product", request_class(w[3]))
                            .put("tenant", 0)
                            .put("end", w[5])
                            .put("right", true)
                            .put("poison", false)
                            .end_object()
                            .text() +
                        "\n";
  }

  // sent TRY UMPIRE PRODUCT AT NODE BUILD WHAT [effect] [work MS]
  void add_arrival(const Words& w) {
    const long id = next_work++;
    long work = 10000;
    bool effect = false;
    for (std::size_t i = 8; i < w.size(); ++i) {
      if (w[i] == "effect")
        effect = true;
      if (w[i] == "work")
        work = us(w[i + 1]);
    }
    files["nodes"] += json::Writer()
                          .begin_object()
                          .put("t", us(w[4]))
                          .put("e", w[7])
                          .put("node", w[5])
                          .put("build", std::stoi(w[6]))
                          .put("id", id)
                          .put("product", request_class(w[3]))
                          .put("txn", w[2] + "." + w[1])
                          .put("submission", "0")
                          .put("try", w[1])
                          .put("work", std::to_string(work))
                          .end_object()
                          .text() +
                      "\n";
    if (effect)
      files["nodes"] += json::Writer()
                            .begin_object()
                            .put("t", us(w[4]) + 5000)
                            .put("e", "ran")
                            .put("id", id)
                            .put("effect", true)
                            .end_object()
                            .text() +
                        "\n";
  }

  void step(const Words& w) {
    if (w[0] == "life") {
      files["umpires"] += json::Writer()
                              .begin_object()
                              .put("t", us(w[3]))
                              .put("umpire", w[1])
                              .put("e", w[2])
                              .end_object()
                              .text() +
                          "\n";
    } else if (w[0] == "node") {  // node NAME AT ZONE
      files["nodes"] += json::Writer()
                            .begin_object()
                            .put("t", us(w[2]))
                            .put("e", "start")
                            .put("node", w[1])
                            .put("zone", w[3])
                            .put("cell", 0)
                            .put("started", us(w[2]))
                            .end_object()
                            .text() +
                        "\n";
    } else if (w[0] == "fell") {
      files["nodes"] += json::Writer()
                            .begin_object()
                            .put("t", us(w[2]))
                            .put("e", "fell")
                            .put("node", w[1])
                            .end_object()
                            .text() +
                        "\n";
    } else if (w[0] == "list") {  // list UMPIRE AT whole|changes NODE=PHASE:STARTED ...
      json::Writer out;
      out.begin_object()
          .put("t", us(w[2]))
          .put("e", "list")
          .put("umpire", w[1])
          .put("whole", w[3] == "whole")
          .begin_array("nodes");
      for (std::size_t i = 4; i < w.size(); ++i) {
        const std::size_t equals = w[i].find('='), colon = w[i].find(':');
        out.begin_object()
            .put("name", w[i].substr(0, equals))
            .put("phase", w[i].substr(equals + 1, colon - equals - 1));
        out.put("started", us(w[i].substr(colon + 1))).end_object();
      }
      files["told"] += out.end_array().end_object().text() + "\n";
    } else if (w[0] == "news") {  // news UMPIRE AT BUILD STAGE PHASE CAP
      files["told"] += json::Writer()
                           .begin_object()
                           .put("t", us(w[2]))
                           .put("e", "news")
                           .put("umpire", w[1])
                           .put("build", std::stoi(w[3]))
                           .put("stage", std::stoi(w[4]))
                           .put("phase", w[5])
                           .put("cap", std::stod(w[6]))
                           .end_object()
                           .text() +
                       "\n";
    } else if (w[0] == "try") {
      add_client_attempt(w);
    } else if (w[0] == "tries") {  // tries FROM COUNT UMPIRE PRODUCT AT EVERY: settled 10 ms later
      for (int i = 0; i < std::stoi(w[2]); ++i) {
        const long at = std::stol(w[5]) + i * std::stol(w[6]);
        add_client_attempt({"try", std::to_string(std::stol(w[1]) + i), w[3], w[4],
                            std::to_string(at), "settled", std::to_string(at + 10)});
      }
    } else if (w[0] == "sent") {
      add_arrival(w);
    } else if (w[0] == "steps") {
      meta.steps.assign(w.begin() + 1, w.end());
    } else if (w[0] == "database") {  // database MARK apply|undo AT
      files["database"] += json::Writer()
                               .begin_object()
                               .put("t", us(w[3]))
                               .put("mark", w[1])
                               .put("undo", w[2] == "undo")
                               .put("how", "done")
                               .put("after", 0)
                               .end_object()
                               .text() +
                           "\n";
    } else if (w[0] == "unready") {  // unready NODE AT
      files["nodes"] += json::Writer()
                            .begin_object()
                            .put("t", us(w[2]))
                            .put("e", "ran")
                            .put("node", w[1])
                            .put("how", "unready")
                            .put("effect", false)
                            .end_object()
                            .text() +
                        "\n";
    } else if (w[0] == "unasked") {
      files["clients"] +=
          json::Writer().begin_object().put("unasked", 1).put("umpire", w[1]).end_object().text() +
          "\n";
    } else if (w[0] == "cut") {
      cut = true;
    } else if (w[0] == "expect") {  // expect RULE kept|broken [WORDS]
      expected[w[1]] = w[2] + (w.size() > 3 ? " " + w[3] : "");
    } else {
      throw std::runtime_error("no such step");
    }
  }
};

class AuditScript : public testing::TestWithParam<std::string> {};

TEST_P(AuditScript, gives_the_expected_result) {
  EventLogBuilder builder;
  tests::run_script(GetParam(), [&](const Words& words) { builder.step(words); });
  record::write((builder.folder.at / "meta.json").string(), builder.meta);
  for (auto& [name, text] : builder.files) {
    if (builder.cut && !text.empty())
      text.resize(text.size() - 5);
    std::ofstream(builder.folder.at / (name + ".jsonl")) << text;
  }
  const Report report = audit(builder.folder.at.string());
  EXPECT_FALSE(builder.expected.empty());
  for (int r = 1; r <= 6; ++r) {
    const RuleReport& rule = r == 6 ? report.steps : report.rules[r - 1];
    auto expected = builder.expected.find(r == 6 ? "steps" : std::to_string(r));
    if (expected == builder.expected.end()) {
      EXPECT_TRUE(rule.passed()) << r << ": " << rule.first_violation;
      continue;
    }
    const std::string result = expected->second.substr(0, expected->second.find(' '));
    EXPECT_EQ(rule.passed(), result == "kept") << r << ": " << rule.first_violation;
    if (result != expected->second) {
      EXPECT_NE(rule.first_violation.find(expected->second.substr(result.size() + 1)),
                std::string::npos)
          << rule.first_violation;
    }
  }
}

INSTANTIATE_TEST_SUITE_P(All, AuditScript,
                         testing::ValuesIn(tests::files_in(TESTS "/audit", ".txt")),
                         tests::script_name);

}  // namespace
}  // namespace robinhoist::audit
