#include "emulator/fleet.h"

#include <algorithm>

#include "record/lines.h"

namespace robinhoist::emulator {
namespace {
constexpr Span lately_most = std::chrono::seconds(1);
// Wall clock of the record: any time will do that is not 'long ago'.
constexpr std::int64_t wall_us = 1'700'000'000'000'000;
}  // namespace

Fleet::Fleet(Engine& engine, const deployment::Deployment& deployment, Span memory,
             machine::Cancelled cancelled, unsigned salt, record::Writer* record)
    : engine_(engine), deployment_(deployment), cancelled_(cancelled), chance_(salt), record_(record),
      marks_(memory) {}

int Fleet::start(const BoxSpec& spec) {
  const Span started = spec.cold ? engine_.now() : long_ago;
  boxes_.push_back(std::make_unique<Box>(spec, static_cast<unsigned>(chance_()), started, &marks_, &harm_));
  Box& box = *boxes_.back();
  if (spec.cold) box.started = engine_.now() + Span(wall_us);
  if (record_)
    record::node_started(*record_, engine_.now(),
                         {spec.name, deployment_.zones[spec.zone], spec.cell, spec.build.number, box.started,
                          spec.cold, spec.capacity.cores, spec.capacity.speed});
  return size() - 1;
}

void Fleet::kill(int index) {
  Box& box = *boxes_[index];
  if (!box.runs) return;
  box.runs = false;
  engine_.cancel(box.timer);
  if (record_)
    record::node_stopped(*record_, engine_.now(), box.spec.name, box.machine.most_pushed(),
                         box.machine.fallen());
  box.open.clear();
  box.work_of.clear();
  box.connections = 0;
  if (killed) killed(index);
}

void Fleet::silence(int index) {
  boxes_[index]->silent = true;
  engine_.cancel(boxes_[index]->timer);
}

void Fleet::note(const Box& box, const char* what, const Sent& sent, std::int64_t id) {
  if (!record_) return;
  const std::string request_id = "umpire-" + std::to_string(sent.umpire) + "." + std::to_string(sent.request_id),
                    attempt = std::to_string(sent.attempt), try_id = std::to_string(sent.try_id),
                    work = std::to_string(sent.work.count());
  record::node_met(
      *record_, engine_.now(), what,
      {box.spec.name, box.spec.build.number, id, sent.request_class, request_id, attempt, try_id, sent.key, work});
}

void Fleet::arrive(int index, const Sent& sent) {
  Box& box = *boxes_[index];
  if (!box.runs) return;
  const std::int64_t id = next_work_++;
  const auto swallow = [&](const char* why) {
    note(box, why, sent, id);
    box.open[id] = {sent.id, -1, Span{}};
    box.work_of[sent.id] = id;
  };
  if (box.silent) return swallow("silent");
  const Way there = way ? way(sent.umpire, box.spec.zone) : Way{};
  if (there.cut) return swallow("cut");
  if (there.lost > 0 && std::uniform_real_distribution<double>(0, 1)(chance_) < there.lost) {
    note(box, "cut", sent, id);
    return answered(sent.id, {.is = Answer::Is::broken});
  }
  if (sent.poison) {
    note(box, "poison", sent, id);
    return answered(sent.id, {.is = Answer::Is::failed});
  }
  machine::Work work{.id = id, .request_class = sent.request_class, .work = sent.work, .key = {}, .effect = false};
  const Idempotency idempotency = deployment_.request_classes[sent.request_class].request_class.idempotency;
  work.effect = idempotency != Idempotency::idempotent;
  if (idempotency == Idempotency::idempotent_with_key) work.key = sent.key;
  const bool was_fallen = box.machine.fallen();
  const machine::Entry entry = box.machine.arrive(work, engine_.now());
  if (!was_fallen && box.machine.fallen()) note(box, "fell", sent, id);
  lately_.emplace_back(engine_.now(), box.spec.build.number);
  while (lately_.front().first < engine_.now() - lately_most) lately_.pop_front();
  if (entry == machine::Entry::down) {
    box.silent = true;  // for good
    return swallow("down");
  }
  if (entry == machine::Entry::full) {
    note(box, "refused", sent, id);
    return answered(sent.id, {.is = Answer::Is::full});
  }
  note(box, "taken", sent, id);
  box.open[id] = {sent.id, sent.request_class, there.by + (sent.first ? box.handshake : Span{})};
  box.work_of[sent.id] = id;
  plan(index);
}

void Fleet::gone(int index, std::uint64_t attempt) {
  Box& box = *boxes_[index];
  auto at = box.work_of.find(attempt);
  if (!box.runs || at == box.work_of.end()) return;
  const std::int64_t id = at->second;
  box.work_of.erase(at);
  box.open.erase(id);
  if (box.silent) return;
  box.machine.called_off(id, cancelled_ != machine::Cancelled::nothing, cancelled_ == machine::Cancelled::all,
                         engine_.now());
  plan(index);
}

void Fleet::plan(int index) {
  Box& box = *boxes_[index];
  engine_.cancel(box.timer);
  if (box.silent || !box.runs) return;
  if (auto at = box.machine.next_at()) box.timer = engine_.at(*at, [this, index] { finish(index); });
}

void Fleet::finish(int index) {
  Box& box = *boxes_[index];
  box.timer = {};
  while (auto done = box.machine.next(engine_.now())) {
    if (record_)
      record::node_ran(*record_, engine_.now(), box.spec.name, done->id, machine::word(done->how),
                       done->effect);
    auto at = box.open.find(done->id);
    if (at == box.open.end()) continue;  // nobody waits for it any more
    const Open open = at->second;
    box.open.erase(at);
    const Answer answer{done->how == machine::Ran::failed ? Answer::Is::failed : Answer::Is::well,
                        done->how != machine::Ran::wrong, box.machine.busy(), box.machine.held()};
    if (open.by == Span{}) {
      box.work_of.erase(open.id);
      answered(open.id, answer);
    } else {
      engine_.in(open.by, [this, index, id = open.id, answer] {
        if (!boxes_[index]->runs || boxes_[index]->work_of.erase(id) == 0) return;
        answered(id, answer);
      });
    }
  }
  plan(index);
}

double Fleet::share_of_traffic(int build, Span window) {
  while (!lately_.empty() && lately_.front().first < engine_.now() - window) lately_.pop_front();
  const auto its =
      std::count_if(lately_.begin(), lately_.end(), [&](auto& one) { return one.second == build; });
  return lately_.empty() ? 0 : static_cast<double>(its) / static_cast<double>(lately_.size());
}

}  // namespace robinhoist::emulator
