// Benchmarks of migration steps: durable writes, recovery by the size of the journal, and a
// backfill. They do not run in CI.
#include <benchmark/benchmark.h>
#include <unistd.h>

#include <filesystem>
#include <thread>

#include "migration/runner.h"
#include "settings/sexp_reader.h"
#include "standin/database.h"

namespace {

using namespace robinhoist;
namespace fs = std::filesystem;

std::string fresh_file(const std::string& name) {
  std::string file =
      (fs::temp_directory_path() / ("robinhoist-bench-" + name + std::to_string(::getpid())))
          .string();
  for (const char* end : {"", "-wal", "-shm"})
    fs::remove(file + end);
  return file;
}

journal::Entry make_entry(int n) {
  journal::Entry entry;
  entry.build = 2;
  entry.step = "fill";
  entry.what = n % 2 == 0 ? "intent" : "ended";
  entry.direction = "apply";
  entry.outcome = n % 2 == 0 ? "" : "more";
  entry.after = n;
  return entry;
}

const char* const plan_text =
    "(plan (release 2) (step fill (kind data) (phase expand) (table t) (key id) (batch 1000) "
    "(on-back keep) "
    "(apply "
    "\"UPDATE t SET n = n + 1 WHERE id > :after AND id <= :upto\")))";

void durable_write(benchmark::State& state) {
  journal::Journal journal(fresh_file("write"));
  int n = 0;
  for (auto _ : state)
    journal.append(make_entry(n++));
  state.SetItemsProcessed(state.iterations());
}
BENCHMARK(durable_write)->UseRealTime();

// Opens the journal and reads the entries of a build. All but the last ten entries belong to an
// earlier release.
void recovery(benchmark::State& state) {
  const std::string file = fresh_file("recover");
  {
    journal::Journal journal(file);
    journal.begin_batch();
    for (int n = 0; n < state.range(0); ++n) {
      journal::Entry entry = make_entry(n);
      if (n + 10 < state.range(0))
        entry.build = 1;
      journal.append(entry);
    }
    journal.end_batch();
  }
  for (auto _ : state) {
    journal::Journal journal(file);
    benchmark::DoNotOptimize(journal.entries(2));
  }
}
BENCHMARK(recovery)->Arg(10)->Arg(1000)->Arg(100000)->Unit(benchmark::kMillisecond);

void backfill(benchmark::State& state) {
  const long rows = state.range(0);
  for (auto _ : state) {
    net::Loop loop(net::steady_now());
    log::Logger log("bench", "off");
    standin::Database database(loop, http::ServerSettings{}, "", nullptr);
    database.execute(
        "CREATE TABLE t (id INTEGER PRIMARY KEY, n INTEGER); WITH RECURSIVE c(i) AS (SELECT 1 "
        "UNION ALL "
        "SELECT i + 1 FROM c WHERE i < " +
        std::to_string(rows) + ") INSERT INTO t SELECT i, 0 FROM c");
    journal::Journal journal(fresh_file("fill"));
    migration::Target target(loop, "127.0.0.1:" + std::to_string(database.port()));
    migration::RunnerSettings settings;
    settings.holder = "bench";
    settings.lease_length = std::chrono::seconds(10);
    settings.stages = 3;
    migration::Runner runner(loop, settings, journal, target, log);
    runner.accept_plan(plan_text, "plan", "bench");
    runner.set_release(2, {.stage = -1, .offered = true});
    runner.on_changed = [&] {
      if (runner.allows(2, 0))
        loop.stop();
    };
    const auto from = std::chrono::steady_clock::now();
    loop.run();
    state.SetIterationTime(
        std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count());
  }
  state.SetItemsProcessed(state.iterations() * rows);
}
BENCHMARK(backfill)->Arg(1000000)->UseManualTime()->Iterations(1)->Unit(benchmark::kMillisecond);

}  // namespace

BENCHMARK_MAIN();
