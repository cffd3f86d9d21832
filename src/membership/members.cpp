#include "membership/members.h"

#include <algorithm>

namespace robinhoist::membership {

Heard Members::heard(const std::string& name, const std::string& session, TimePoint now) {
  auto former = former_.find(name);
  if (former != former_.end() && former->second == session)
    return Heard::superseded;
  auto [at, fresh] = members_.try_emplace(name);
  Member& member = at->second;
  Heard how = fresh ? Heard::fresh : Heard::renewed;
  if (!fresh && member.session != session) {
    how = Heard::restarted;
    former_[name] = member.session;
    ++member.restarts;
    member.acknowledged.reset();
  }
  if (how != Heard::renewed) {
    member.session = session;
    member.since = now;
  }
  member.heard = now;
  member.live = true;
  return how;
}

bool Members::acknowledges(const std::string& name, const std::string& session,
                           const Acknowledged& what) {
  auto at = members_.find(name);
  if (at == members_.end() || at->second.session != session)
    return false;
  auto& held = at->second.acknowledged;
  // Late or twice, it changes nothing.
  if (held && (held->version > what.version || *held == what))
    return true;
  held = what;
  return true;
}

bool Members::leaves(const std::string& name, const std::string& session) {
  auto at = members_.find(name);
  if (at == members_.end() || at->second.session != session)
    return false;
  members_.erase(at);
  former_.erase(name);
  return true;
}

bool Members::tick(TimePoint now) {
  const int live_before = live(), known_before = known();
  for (auto& [name, member] : members_)
    if (now >= member.heard + settings_.lease)
      member.live = false;
  if (!canary_running_) {
    for (auto at = members_.begin(); at != members_.end();) {
      if (now < at->second.heard + settings_.memory) {
        ++at;
        continue;
      }
      former_.erase(at->first);
      at = members_.erase(at);
    }
  }
  return live() != live_before || known() != known_before;
}

std::optional<TimePoint> Members::next_look() const {
  std::optional<TimePoint> at;
  const auto by = [&](TimePoint when) {
    if (!at || when < *at)
      at = when;
  };
  for (auto& [name, member] : members_) {
    if (member.live)
      by(member.heard + settings_.lease);
    else if (!canary_running_)
      by(member.heard + settings_.memory);
  }
  return at;
}

int Members::known() const {
  return std::max(settings_.expected, static_cast<int>(members_.size()));
}

int Members::live() const {
  return static_cast<int>(
      std::count_if(members_.begin(), members_.end(), [](auto& each) { return each.second.live; }));
}

int Members::to_go_back() const {
  return std::max(live(), (known() + 1) / 2);
}

bool Members::votes(const std::string& name, const std::string& session) const {
  auto at = members_.find(name);
  return at != members_.end() && at->second.live && at->second.session == session;
}

const char* to_string(Heard heard) {
  static const char* const words[] = {"new", "renewed", "restarted", "superseded"};
  return words[static_cast<int>(heard)];
}

}  // namespace robinhoist::membership
