#include "membership/membership.h"

#include <algorithm>

namespace robinhoist::membership {
namespace {

bool same_state(const Acknowledgement& a, const Acknowledgement& b) {
  return a.build == b.build && a.stage == b.stage && a.cap == b.cap && a.version == b.version;
}

}  // namespace

const char* to_string(HeartbeatResult result) {
  static const char* const names[] = {"new", "renewed", "restarted", "superseded"};
  return names[static_cast<int>(result)];
}

HeartbeatResult Membership::heartbeat(const std::string& name, const std::string& incarnation,
                                      TimePoint now) {
  const auto replaced = superseded_.find(name);
  if (replaced != superseded_.end() && replaced->second == incarnation)
    return HeartbeatResult::superseded;
  const auto [found, is_new] = members_.try_emplace(name);
  Member& member = found->second;
  HeartbeatResult result = is_new ? HeartbeatResult::joined : HeartbeatResult::renewed;
  if (!is_new && member.incarnation != incarnation) {
    result = HeartbeatResult::restarted;
    superseded_[name] = member.incarnation;
    ++member.restarts;
    member.acknowledged.reset();
  }
  if (result != HeartbeatResult::renewed) {
    member.incarnation = incarnation;
    member.since = now;
  }
  member.last_heartbeat = now;
  member.live = true;
  return result;
}

Member* Membership::find(const std::string& name, const std::string& incarnation) {
  const auto found = members_.find(name);
  if (found == members_.end() || found->second.incarnation != incarnation)
    return nullptr;
  return &found->second;
}

bool Membership::acknowledge(const std::string& name, const std::string& incarnation,
                             const Acknowledgement& acknowledgement) {
  Member* member = find(name, incarnation);
  if (!member)
    return false;
  const auto& current = member->acknowledged;
  const bool stale_or_duplicate = current && (current->version > acknowledgement.version ||
                                              same_state(*current, acknowledgement));
  if (!stale_or_duplicate)
    member->acknowledged = acknowledgement;
  return true;
}

bool Membership::leave(const std::string& name, const std::string& incarnation) {
  if (!find(name, incarnation))
    return false;
  members_.erase(name);
  superseded_.erase(name);
  return true;
}

bool Membership::expire(TimePoint now) {
  const int live_before = live();
  const int known_before = known();
  for (auto& [name, member] : members_)
    if (now >= member.last_heartbeat + settings_.lease)
      member.live = false;
  if (!canary_running_) {
    for (auto at = members_.begin(); at != members_.end();) {
      if (now < at->second.last_heartbeat + settings_.retention) {
        ++at;
        continue;
      }
      superseded_.erase(at->first);
      at = members_.erase(at);
    }
  }
  return live() != live_before || known() != known_before;
}

std::optional<TimePoint> Membership::next_check_at() const {
  std::optional<TimePoint> earliest;
  for (const auto& [name, member] : members_) {
    if (!member.live && canary_running_)
      continue;
    const TimePoint due =
        member.last_heartbeat + (member.live ? settings_.lease : settings_.retention);
    if (!earliest || due < *earliest)
      earliest = due;
  }
  return earliest;
}

int Membership::known() const {
  return std::max(settings_.expected, static_cast<int>(members_.size()));
}

int Membership::live() const {
  return static_cast<int>(std::count_if(members_.begin(), members_.end(),
                                        [](const auto& each) { return each.second.live; }));
}

int Membership::rollback_electorate() const {
  const int half_of_known = (known() + 1) / 2;
  return std::max(live(), half_of_known);
}

bool Membership::may_vote(const std::string& name, const std::string& incarnation) const {
  const auto found = members_.find(name);
  return found != members_.end() && found->second.live && found->second.incarnation == incarnation;
}

}  // namespace robinhoist::membership
