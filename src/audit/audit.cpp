#include "audit/audit.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <unordered_map>

#include "record/record.h"

namespace robinhoist::audit {
namespace {

using namespace std::chrono_literals;

// Clocks agree, but threads notice late: what endpoints and clients saw is taken to be this
// uncertain. A rule counts as broken only where it is so whichever way the uncertainty falls.
constexpr Duration unsure = 30ms;
constexpr double no_cap = std::numeric_limits<double>::infinity();

struct Try {
  TimePoint at, ended, until;
  long id, first;
  std::string proxy, end;
  int request_class, tenant;
  bool right, poison;
};

struct AttemptArrival {
  TimePoint at;
  std::string endpoint, proxy, what;
  int build, request_class;
  long id, attempt, client_request_id;  // client_request_id: the client's try
  Duration work;
};

struct Start {
  TimePoint at;
  std::string zone;
  int cell;
  long started;
};

struct NotifiedEndpoint {
  std::string name, phase;
  long started;
};

struct Told {
  TimePoint at;
  bool news, whole = false;
  std::vector<NotifiedEndpoint> endpoints{};
  int build = 0, stage = 0;
  std::string phase{};
  double cap = 0;
};

struct Life {
  TimePoint from, to;
};

struct Record {
  std::vector<Try> tries{};
  std::vector<AttemptArrival> arrivals{};
  std::map<std::string, std::vector<Start>> starts{};
  std::vector<std::pair<TimePoint, std::string>> falls{};
  std::map<std::string, std::vector<Told>> told{};
  std::map<std::string, std::vector<Life>> lives{};
  struct Effect {
    std::string key;
    TimePoint at;
    long id;
  };
  std::map<long, long> arrival_of{};  // the endpoint's id of the work: place among the arrivals
  std::vector<std::pair<long, TimePoint>> effects{};
  std::map<std::string, long> unasked{};
};

TimePoint time_of(const json::Value& line, const char* field) {
  return TimePoint(Duration(static_cast<long>(json::number(line, field))));
}

long whole_of(const std::string& text, long absent) {
  return text.empty() || text.find_first_not_of("0123456789") != std::string::npos
             ? absent
             : std::stol(text);
}

std::string at_s(TimePoint at) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f s",
                std::chrono::duration<double>(at.time_since_epoch()).count());
  return text;
}

struct Checker {
  Report report{};
  Record record{};

  void broken(int rule, const std::string& what) {
    Rule& of = report.rules[rule - 1];
    if (of.broken++ == 0)
      of.first = what;
  }

  void read(const std::string& folder) {
    report.meta = record::read_meta(folder + "/meta.json");
    int cut = record::read(folder + "/clients.jsonl",
                           [&](const json::Value& line) { read_client(line); });
    cut += record::read(folder + "/nodes.jsonl",
                        [&](const json::Value& line) { read_endpoint(line); });
    cut += record::read(folder + "/told.jsonl", [&](const json::Value& line) { read_told(line); });
    cut += record::read(folder + "/umpires.jsonl", [&](const json::Value& line) {
      auto& lives = record.lives[json::text(line, "umpire")];
      const std::string what = json::text(line, "e");
      if (what == "start")
        lives.push_back({time_of(line, "t"), TimePoint::max()});
      else if (!lives.empty() && lives.back().to == TimePoint::max())
        lives.back().to = time_of(line, "t");
    });
    if (cut > 0)
      report.notes.push_back(std::to_string(cut) + " of the files end in mid-line");
    std::stable_sort(record.arrivals.begin(), record.arrivals.end(),
                     [](auto& a, auto& b) { return a.at < b.at; });
  }

  void read_client(const json::Value& line) {
    if (line.HasMember("unasked")) {
      record.unasked[json::text(line, "umpire")] +=
          static_cast<long>(json::number(line, "unasked"));
      return;
    }
    Try one;
    one.at = time_of(line, "t");
    one.ended = time_of(line, "t1");
    one.until = time_of(line, "until");
    one.id = static_cast<long>(json::number(line, "id"));
    one.first = static_cast<long>(json::number(line, "first"));
    one.proxy = json::text(line, "umpire");
    one.request_class =
        json::integer(line, "product", 0, static_cast<int>(report.meta.request_classes.size()) - 1);
    one.tenant = json::integer(line, "tenant");
    one.end = json::text(line, "end");
    one.right = json::boolean(line, "right");
    one.poison = json::boolean(line, "poison");
    record.tries.push_back(std::move(one));
  }

  void read_endpoint(const json::Value& line) {
    const std::string what = json::text(line, "e");
    if (what == "ran") {
      if (json::text_or(line, "how", "") == "unready") {
        Rule& rule = report.steps;
        if (rule.broken++ == 0)
          rule.first = json::text(line, "node") + " answered at " + at_s(time_of(line, "t")) +
                       " without the tables that its build needs";
      }
      if (json::boolean(line, "effect"))
        record.effects.emplace_back(static_cast<long>(json::number(line, "id")),
                                    time_of(line, "t"));
      return;
    }
    const std::string endpoint = json::text(line, "node");
    const TimePoint at = time_of(line, "t");
    if (what == "start") {
      record.starts[endpoint].push_back({at, json::text(line, "zone"), json::integer(line, "cell"),
                                         static_cast<long>(json::number(line, "started"))});
    } else if (what == "stop") {
      report.most_pushed = std::max(report.most_pushed, json::number(line, "most_pushed"));
    } else if (what == "fell") {
      record.falls.emplace_back(at, endpoint);
    } else {
      AttemptArrival one;
      one.at = at;
      one.endpoint = endpoint;
      one.what = what;
      one.build = json::integer(line, "build");
      one.request_class = json::integer(line, "product", -1);
      one.id = static_cast<long>(json::number(line, "id"));
      const std::string request_name = json::text(line, "txn");
      one.proxy = request_name.substr(0, request_name.find('.'));
      one.attempt = whole_of(json::text(line, "submission"), 0);
      one.client_request_id = whole_of(json::text(line, "try"), -1);
      one.work = Duration(whole_of(json::text(line, "work"), 0));
      record.arrivals.push_back(std::move(one));
    }
  }

  void read_told(const json::Value& line) {
    const std::string what = json::text(line, "e");
    if (what == "release") {
      report.releases.push_back({time_of(line, "t"), json::integer(line, "build"),
                                 json::integer(line, "stage"), json::text(line, "phase"),
                                 json::text(line, "why")});
      return;
    }
    if (what == "vote") {
      ++report.votes;
      return;
    }
    Told told{.at = time_of(line, "t"), .news = what == "news"};
    if (told.news) {
      told.build = json::integer(line, "build");
      told.stage = json::integer(line, "stage");
      told.phase = json::text(line, "phase");
      told.cap = json::number(line, "cap");
    } else {
      told.whole = json::boolean(line, "whole");
      for (auto& endpoint : json::array(line, "nodes").GetArray())
        told.endpoints.push_back({json::text(endpoint, "name"), json::text(endpoint, "phase"),
                                  static_cast<long>(json::number(endpoint, "started"))});
    }
    record.told[json::text(line, "umpire")].push_back(std::move(told));
  }

  // Whether the proxy was not running all the time from then to then.
  bool interrupted(const std::string& proxy, TimePoint from, TimePoint to) const {
    auto at = record.lives.find(proxy);
    if (at == record.lives.end())
      return true;
    return std::none_of(at->second.begin(), at->second.end(),
                        [&](const Life& life) { return life.from <= from && to <= life.to; });
  }

  // The told things of one life, those of the life in which `at` lies.
  TimePoint life_began(const std::string& proxy, TimePoint at) const {
    TimePoint began{};
    auto lives = record.lives.find(proxy);
    if (lives == record.lives.end())
      return began;
    for (const Life& life : lives->second)
      if (life.from <= at)
        began = life.from;
    return began;
  }

  // What the database ran: each step once, after those before it, and undone before those before
  // it.
  void steps(const std::string& folder) {
    if (report.meta.steps.empty())
      return;
    Rule& rule = report.steps;
    const auto wrong = [&](const std::string& what) {
      if (rule.broken++ == 0)
        rule.first = what;
    };
    std::map<std::string, std::size_t> place;
    for (std::size_t i = 0; i < report.meta.steps.size(); ++i)
      place[report.meta.steps[i]] = i;
    std::set<std::size_t> there;
    record::read(folder + "/database.jsonl", [&](const json::Value& line) {
      const std::string mark = json::text(line, "mark"), build = mark.substr(0, mark.find('/'));
      const bool undo = json::boolean(line, "undo"), done = json::text(line, "how") == "done";
      const std::string at = " at " + at_s(time_of(line, "t"));
      ++rule.checked;
      auto found = place.find(mark);
      if (found == place.end())
        return wrong(mark + " ran" + at + ", which is in no plan");
      const std::size_t i = found->second;
      if (!undo && there.count(i) > 0)
        wrong(mark + " ran twice, again" + at);
      for (std::size_t j = 0; j < report.meta.steps.size(); ++j) {
        const std::string& other = report.meta.steps[j];
        if (other.substr(0, other.find('/')) != build)
          continue;
        if (!undo && j < i && there.count(j) == 0)
          wrong(mark + " ran" + at + ", before " + other);
      }
      if (undo)
        there.erase(i);
      else if (done)
        there.insert(i);
    });
  }

  std::string who(const Try& one) const {
    return "try " + std::to_string(one.id) + " (" +
           report.meta.request_classes[one.request_class].name + ", " + one.proxy + ", sent at " +
           at_s(one.at) + ")";
  }

  void rule1_and_2() {
    std::unordered_map<long, std::vector<const AttemptArrival*>> sent;
    for (const AttemptArrival& arrival : record.arrivals)
      sent[arrival.client_request_id].push_back(&arrival);
    std::unordered_map<long, const Try*> by_id;
    for (const Try& one : record.tries) {
      if (!by_id.emplace(one.id, &one).second)
        broken(1, who(one) + " had two final answers");
      lost_or_late(one);
      auto at = sent.find(one.id);
      if (at == sent.end())
        continue;
      after_the_end(one, at->second);
      repeats(one, at->second);
    }
    for (auto& [proxy, count] : record.unasked)
      broken(1, proxy + " sent " + std::to_string(count) + " answers that no client waited for");
    // A mark is there against a second effect: none may have two while it holds.
    std::map<std::string, TimePoint> effect_at;
    std::unordered_map<long, const AttemptArrival*> by_work;
    for (const AttemptArrival& arrival : record.arrivals)
      by_work[arrival.id] = &arrival;
    std::map<long, TimePoint> once;
    for (auto& [id, at] : record.effects) {
      auto arrival = by_work.find(id);
      if (arrival == by_work.end())
        continue;
      auto of = by_id.find(arrival->second->client_request_id);
      if (of == by_id.end())
        continue;
      const auto& request_class = report.meta.request_classes[of->second->request_class];
      ++report.rules[1].checked;
      // The marks of an idempotent request class are the client's key, one for all its tries.
      const long what = request_class.idempotency == Idempotency::idempotent_with_key
                            ? of->second->first
                            : of->second->id;
      auto [before, fresh] = once.emplace(what, at);
      if (!fresh)
        broken(2, who(*of->second) + " had an effect at " + at_s(before->second) +
                      " and again at " + at_s(at));
    }
  }

  void lost_or_late(const Try& one) {
    Rule& rule = report.rules[0];
    ++rule.checked;
    const bool answered = one.end == "settled" || one.end == "declined" || one.end == "voided" ||
                          one.end == "not-taken";
    if (answered) {
      if (one.ended > one.until + report.meta.answer_slack)
        broken(1, who(one) + " was " + one.end + " " +
                      std::to_string((one.ended - one.until).count() / 1000) +
                      " ms after its client's time");
      return;
    }
    if (one.end == "left" || one.end == "unreached")
      return;
    if (interrupted(one.proxy, one.at - unsure, one.ended + unsure))
      ++rule.excused;
    else
      broken(1, who(one) + " got no answer: " + one.end + " after " +
                    std::to_string((one.ended - one.at).count() / 1000) + " ms");
  }

  void after_the_end(const Try& one, const std::vector<const AttemptArrival*>& sent) {
    if (one.end == "unreached" || one.end == "broken" || one.end == "timed-out" ||
        one.end == "left")
      return;
    for (const AttemptArrival* arrival : sent)
      if (arrival->at > one.ended + unsure)
        return broken(1, who(one) + " was " + one.end + " at " + at_s(one.ended) +
                             " and still sent to " + arrival->endpoint + " at " +
                             at_s(arrival->at));
  }

  void repeats(const Try& one, const std::vector<const AttemptArrival*>& sent) {
    const auto& request_class = report.meta.request_classes[one.request_class];
    ++report.rules[1].checked;
    if (one.end == "not-taken")
      return broken(2, who(one) + " was not taken, yet sent to " + sent.front()->endpoint);
    if (request_class.idempotency == Idempotency::idempotent)
      return;
    const AttemptArrival* ran = nullptr;
    for (const AttemptArrival* arrival : sent) {
      if (ran) {
        if (request_class.idempotency == Idempotency::non_idempotent)
          return broken(2, who(one) + " may have run at " + ran->endpoint + " at " + at_s(ran->at) +
                               " and was sent again, to " + arrival->endpoint + " at " +
                               at_s(arrival->at));
        if (arrival->at > ran->at + request_class.dedup_window)
          return broken(2, who(one) + " was sent again to " + arrival->endpoint + " " +
                               std::to_string((arrival->at - ran->at).count() / 1000) +
                               " ms after it may have run; repeats are remembered for " +
                               std::to_string(request_class.dedup_window.count() / 1000) + " ms");
        if (!same_group(request_class.dedup_scope, *ran, *arrival))
          return broken(2, who(one) + " was sent again to " + arrival->endpoint +
                               ", outside the group of " + ran->endpoint);
      }
      if (arrival->what != "refused" && !ran)
        ran = arrival;
    }
    if (ran && one.end == "declined" &&
        (request_class.idempotency == Idempotency::non_idempotent ||
         request_class.dedup_scope != DedupScope::all))
      broken(2, who(one) + " was declined though it may have run at " + ran->endpoint);
  }

  const Start* start_of(const std::string& endpoint, TimePoint at) const {
    auto starts = record.starts.find(endpoint);
    const Start* last = nullptr;
    if (starts != record.starts.end())
      for (const Start& start : starts->second)
        if (start.at <= at + 1ms)
          last = &start;
    return last;
  }

  bool same_group(DedupScope dedup_scope, const AttemptArrival& a, const AttemptArrival& b) const {
    if (dedup_scope == DedupScope::all)
      return true;
    const Start *x = start_of(a.endpoint, a.at), *y = start_of(b.endpoint, b.at);
    if (!x || !y)
      return true;
    return dedup_scope == DedupScope::zone ? x->zone == y->zone : x->cell == y->cell;
  }

  // What an proxy knew of endpoints, moved on in time.
  struct Known {
    std::size_t next = 0;
    TimePoint life{Duration(-1)};
    struct Node {
      std::string phase;
      TimePoint since;
      long started;
    };
    std::map<std::string, Node> endpoints{};
  };

  void move_on(Known& known, const std::string& proxy, TimePoint to) const {
    const TimePoint began = life_began(proxy, to);
    if (began != known.life) {
      known.life = began;
      known.endpoints.clear();
    }
    auto told = record.told.find(proxy);
    if (told == record.told.end())
      return;
    for (; known.next < told->second.size() && told->second[known.next].at <= to; ++known.next) {
      const Told& one = told->second[known.next];
      if (one.news || one.at < began)
        continue;
      std::set<std::string> named;
      for (const NotifiedEndpoint& endpoint : one.endpoints) {
        named.insert(endpoint.name);
        auto& at = known.endpoints[endpoint.name];
        if (at.phase != endpoint.phase)
          at = {endpoint.phase, one.at, endpoint.started};
        at.started = endpoint.started;
      }
      if (!one.whole)
        continue;
      for (auto& [name, endpoint] : known.endpoints)
        if (named.count(name) == 0 && endpoint.phase != "out")
          endpoint = {"out", one.at, endpoint.started};
    }
  }

  void rule3() {
    std::map<std::string, Known> proxies;
    for (const AttemptArrival& arrival : record.arrivals) {
      Known& known = proxies[arrival.proxy];
      move_on(known, arrival.proxy, arrival.at);
      auto at = known.endpoints.find(arrival.endpoint);
      ++report.rules[2].checked;
      if (at == known.endpoints.end() || at->second.phase == "in")
        continue;
      if (arrival.at > at->second.since + report.meta.drain_grace + unsure)
        broken(3, arrival.proxy + " sent new work to " + arrival.endpoint + " at " +
                      at_s(arrival.at) + ", told at " + at_s(at->second.since) + " that it is " +
                      at->second.phase);
    }
  }

  void rule4() {
    report.rules[3].checked = static_cast<long>(record.starts.size());
    for (auto& [at, endpoint] : record.falls) {
      const Start* start = start_of(endpoint, at);
      std::map<std::string, Known> proxies;
      Duration all{}, knowing{};
      for (const AttemptArrival& arrival : record.arrivals) {
        if (arrival.at > at)
          break;
        if (arrival.endpoint != endpoint || arrival.at <= at - report.meta.fall_window)
          continue;
        Known& known = proxies[arrival.proxy];
        move_on(known, arrival.proxy, arrival.at);
        auto told = known.endpoints.find(endpoint);
        all += arrival.work;
        if (told != known.endpoints.end() && start && told->second.started == start->started)
          knowing += arrival.work;
      }
      if (3 * knowing >= 2 * all)
        broken(4, endpoint + " fell over at " + at_s(at) + ", " +
                      std::to_string(all.count() / 1000) + " ms of work in its last window, " +
                      std::to_string(knowing.count() / 1000) +
                      " ms of it from umpires that knew of its start");
      else
        ++report.rules[3].excused;
    }
  }

  // The cap that binds an proxy for a build, as news moves on.
  struct Binding {
    double cap = no_cap, before = no_cap;
    TimePoint fell{Duration(-1)};
    int stage = 0;
  };

  static double cap_of(const std::optional<Told>& news, int build, const record::Meta& meta) {
    if (!news || build < news->build)
      return no_cap;
    if (build > news->build)
      return meta.caps.front();
    if (news->phase == "released")
      return no_cap;
    return news->phase == "trial" ? news->cap : 0;
  }

  void rule5() {
    Rule& rule = report.rules[4];
    const record::Meta& meta = report.meta;
    const int request_classes = static_cast<int>(meta.request_classes.size());
    std::map<std::string, std::vector<std::vector<TimePoint>>> taken;
    for (const Try& one : record.tries) {
      if (one.end == "unreached" || one.end == "not-taken")
        continue;
      auto& of = taken[one.proxy];
      of.resize(request_classes + 1);
      of[one.request_class].push_back(one.at);
      of[request_classes].push_back(one.at);
    }
    for (auto& [proxy, lists] : taken)
      for (auto& list : lists)
        std::sort(list.begin(), list.end());
    std::map<std::string, std::vector<const AttemptArrival*>> by_proxy;
    for (const AttemptArrival& arrival : record.arrivals)
      by_proxy[arrival.proxy].push_back(&arrival);
    std::set<int> builds;
    for (const AttemptArrival& arrival : record.arrivals)
      builds.insert(arrival.build);
    for (auto& [proxy, arrivals] : by_proxy) {
      const auto told = record.told.find(proxy);
      std::size_t next = 0;
      std::optional<Told> news;
      TimePoint life{Duration(-1)};
      std::map<int, Binding> bindings;
      std::map<std::pair<int, int>, std::vector<TimePoint>> sent;  // by build and request class
      auto& lists = taken[proxy];
      lists.resize(request_classes + 1);
      for (const AttemptArrival* arrival : arrivals) {
        const TimePoint began = life_began(proxy, arrival->at);
        if (began != life) {
          life = began;
          news.reset();
          bindings.clear();
          sent.clear();
        }
        auto rebind = [&](int build, bool first_word) {
          Binding& binding = bindings[build];
          const double cap = cap_of(news, build, meta);
          // The first word of a life is no fall: before it a build counts as in the first stage.
          if (cap < binding.cap && !first_word) {
            // A fall within the grace of another leaves the higher one standing as it was.
            if (binding.fell < TimePoint{} || news->at >= binding.fell + meta.drain_grace)
              binding.before = binding.cap;
            binding.fell = news->at;
          }
          binding.cap = cap;
          binding.stage = news && build == news->build ? news->stage : 0;
        };
        for (; told != record.told.end() && next < told->second.size() &&
               told->second[next].at <= arrival->at;
             ++next) {
          if (!told->second[next].news || told->second[next].at < began)
            continue;
          const bool first_word = !news;
          news = told->second[next];
          for (int build : builds)
            rebind(build, first_word);
        }
        if (!news)
          continue;
        const Binding& binding = bindings[arrival->build];
        const bool grace =
            binding.fell >= TimePoint{} && arrival->at <= binding.fell + meta.drain_grace + unsure;
        const double cap = grace ? std::max(binding.cap, binding.before) : binding.cap;
        if (cap == no_cap)
          continue;
        ++rule.checked;
        const int request_class =
            meta.by_request_class ? std::max(0, arrival->request_class) : request_classes;
        auto& list = sent[{arrival->build, request_class}];
        list.push_back(arrival->at);
        if (!grace && arrival->request_class >= 0 && binding.stage < meta.safe_only_stages &&
            meta.request_classes[arrival->request_class].idempotency != Idempotency::idempotent)
          broken(5, proxy + " sent a txn with an effect to build " +
                        std::to_string(arrival->build) + " at " + at_s(arrival->at) + ", in wave " +
                        std::to_string(binding.stage));
        TimePoint from = arrival->at - meta.window + unsure;
        if (binding.fell >= TimePoint{} && !grace)
          from = std::max(from, binding.fell + meta.drain_grace);
        const auto first = std::upper_bound(list.begin(), list.end(), from);
        const double count = static_cast<double>(list.end() - first);
        const auto& took = lists[request_class];
        const double of = static_cast<double>(
            std::upper_bound(took.begin(), took.end(), arrival->at + unsure) -
            std::lower_bound(took.begin(), took.end(), arrival->at - meta.window - unsure));
        const double most = meta.free + cap * of;
        if (cap > 0 && !grace)
          report.most_exposed = std::max(report.most_exposed, count / std::max(1.0, most));
        if (count > most + 1e-9)
          broken(5, proxy + " sent " + std::to_string(static_cast<long>(count)) +
                        " submissions to build " + std::to_string(arrival->build) +
                        " in the window up to " + at_s(arrival->at) + ", allowed are " +
                        std::to_string(meta.free) + " and " + std::to_string(cap) + " of " +
                        std::to_string(static_cast<long>(of)) + " txns");
      }
    }
  }

  void figures() {
    report.request_classes.resize(report.meta.request_classes.size());
    report.attempts = static_cast<long>(record.arrivals.size());
    std::unordered_map<long, const Try*> firsts, good;
    for (const Try& one : record.tries) {
      ++report.tries;
      if (one.end == "settled")
        ++report.succeeded;
      else if (one.end == "declined")
        ++report.rejected;
      else if (one.end == "voided")
        ++report.failed;
      else if (one.end == "not-taken")
        ++report.rejected_before_routing;
      else if (one.end == "unreached")
        ++report.unreached;
      else if (one.end == "left")
        ++report.left;
      else
        ++report.lost;
      if (one.end == "settled" && !one.right)
        ++report.wrong;
      if (one.end == "settled")
        report.request_classes[one.request_class].latencies_ms.push_back(
            (one.ended - one.at).count() / 1e3);
      if (one.poison)
        continue;
      auto [at, fresh] = firsts.emplace(one.first, &one);
      if (!fresh && one.at < at->second->at)
        at->second = &one;
      if (one.end == "settled" && one.right) {
        auto [best, new_one] = good.emplace(one.first, &one);
        if (!new_one && one.ended < best->second->ended)
          best->second = &one;
      }
    }
    for (auto& [first, one] : firsts) {
      const auto& request_class = report.meta.request_classes[one->request_class];
      ++report.asked;
      ++report.request_classes[one->request_class].asked;
      report.weight_offered += request_class.priority_weight;
      auto at = good.find(first);
      if (at == good.end() || at->second->ended > one->at + request_class.latency_objective)
        continue;
      ++report.request_classes[one->request_class].succeeded_in_time;
      report.weight_in_time += request_class.priority_weight;
    }
  }
};

double part(std::vector<double>& values, double at) {
  if (values.empty())
    return 0;
  auto nth = values.begin() + static_cast<long>(at * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

}  // namespace

bool Report::kept() const {
  return steps.kept() &&
         std::all_of(rules.begin(), rules.end(), [](const Rule& rule) { return rule.kept(); });
}

Report check(const std::string& folder) {
  Checker checker;
  const char* const names[] = {"no txn lost", "no effect twice", "drains kept",
                               "no cold node pushed over", "exposure within the cap"};
  for (int r = 0; r < 5; ++r)
    checker.report.rules[r].name = names[r];
  checker.read(folder);
  checker.rule1_and_2();
  checker.rule3();
  checker.rule4();
  checker.rule5();
  checker.steps(folder);
  checker.figures();
  return std::move(checker.report);
}

std::string shown(Report& report) {
  std::string text;
  char line[512];
  for (std::size_t r = 0; r < report.rules.size(); ++r) {
    const Rule& rule = report.rules[r];
    std::snprintf(line, sizeof line, "rule %zu %-24s %s (%ld checked", r + 1, rule.name,
                  rule.kept() ? "kept" : "BROKEN", rule.checked);
    text += line;
    if (rule.excused > 0)
      text += ", " + std::to_string(rule.excused) + " excused";
    text += ")";
    if (!rule.kept())
      text += ": " + std::to_string(rule.broken) + " times, first: " + rule.first;
    text += "\n";
  }
  if (!report.meta.steps.empty()) {
    text += std::string(report.steps.name) + (report.steps.kept() ? " kept (" : " BROKEN (") +
            std::to_string(report.steps.checked) + " runs at the database)";
    if (!report.steps.kept())
      text += ": " + std::to_string(report.steps.broken) + " times, first: " + report.steps.first;
    text += "\n";
  }
  std::snprintf(line, sizeof line,
                "asked %ld, tries %ld: settled %ld (wrong %ld), declined %ld, voided %ld, not "
                "taken %ld, unreached "
                "%ld, lost with an umpire %ld, left %ld\n",
                report.asked, report.tries, report.succeeded, report.wrong, report.rejected,
                report.failed, report.rejected_before_routing, report.unreached, report.lost,
                report.left);
  text += line;
  std::snprintf(
      line, sizeof line,
      "revenue in time %.1f%%; submissions %ld; votes %ld; most exposed %.2f of the cap; cold "
      "nodes "
      "pushed to %.2f of their limit\n",
      report.weight_offered > 0 ? 100 * report.weight_in_time / report.weight_offered : 0.0,
      report.attempts, report.votes, report.most_exposed, report.most_pushed);
  text += line;
  for (std::size_t p = 0; p < report.request_classes.size(); ++p) {
    ClassStatistics& figures = report.request_classes[p];
    std::snprintf(line, sizeof line,
                  "%-16s asked %ld, settled in time %.1f%%, p50 %.1f ms, p99 %.1f ms\n",
                  report.meta.request_classes[p].name.c_str(), figures.asked,
                  figures.asked > 0 ? 100.0 * static_cast<double>(figures.succeeded_in_time) /
                                          static_cast<double>(figures.asked)
                                    : 0.0,
                  part(figures.latencies_ms, 0.5), part(figures.latencies_ms, 0.99));
    text += line;
  }
  for (const Release& release : report.releases)
    text += "build " + std::to_string(release.build) + " wave " + std::to_string(release.stage) +
            " " + release.phase + " at " + at_s(release.at) + ": " + release.why + "\n";
  for (const std::string& note : report.notes)
    text += "note: " + note + "\n";
  return text;
}

}  // namespace robinhoist::audit
