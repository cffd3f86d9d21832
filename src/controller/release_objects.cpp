#include "controller/release_objects.h"

#include <algorithm>
#include <cstdio>
#include <random>

#include "releases/release_codec.h"

namespace robinhoist::controller {
namespace {

using namespace std::chrono_literals;

// Votes and acknowledgements arrive one at a time; this delay batches their writes.
constexpr Duration update_delay = 200ms;

constexpr const char* series_key = "series";
constexpr const char* rollout_key = "rollout";

objects::Event to_event(const journal::ObjectChange& change) {
  objects::Event event{static_cast<objects::Change>(change.change),
                       releases::make_snapshot(releases::decode(change.body)), nullptr};
  if (!change.before.empty())
    event.before = releases::make_snapshot(releases::decode(change.before));
  return event;
}

}  // namespace

releases::WallMillis wall_clock_ms() {
  return std::chrono::time_point_cast<std::chrono::milliseconds>(net::wall_now());
}

std::string random_id() {
  std::random_device source;
  const unsigned high = source();
  const unsigned low = source();
  char text[17];
  std::snprintf(text, sizeof text, "%08x%08x", high, low);
  return text;
}

ReleaseObjects::ReleaseObjects(const Dependencies& dependencies, Watches::NotifiedCallback notified)
    : loop_(dependencies.loop),
      settings_(dependencies.settings),
      log_(dependencies.log),
      journal_(dependencies.journal),
      rollout_(dependencies.rollout),
      status_(dependencies.status),
      faults_(dependencies.faults),
      catalog_(settings_.max_events),
      published_(settings_.max_events),
      series_(random_id()),
      timers_(loop_) {
  if (journal_)
    restore();
  published_ = catalog_.store();
  watches_ =
      std::make_unique<Watches>(loop_, published_, series_, settings_.watches, std::move(notified));
}

ReleaseObjects::~ReleaseObjects() {
  loop_.cancel(update_timer_);
}

void ReleaseObjects::restore() {
  if (const auto series = journal_->state(series_key))
    series_ = *series;
  else
    journal_->set_state(series_key, series_);
  std::map<std::string, releases::Release> releases;
  for (const auto& [name, body] : journal_->objects())
    releases[name] = releases::decode(body);
  const std::vector<journal::ObjectChange> changes = journal_->changes();
  std::deque<objects::Event> events;
  for (const journal::ObjectChange& change : changes)
    events.push_back(to_event(change));
  const std::int64_t version = journal_->object_version();
  const std::int64_t oldest = changes.empty() ? version : changes.front().version - 1;
  catalog_.restore(std::move(releases), version, oldest, std::move(events));
}

// Collects the changes that the objects do not reflect yet.
ReleaseObjects::PendingChanges ReleaseObjects::pending_changes() const {
  PendingChanges pending;
  const TimePoint now = loop_.now();
  const ReleaseUpdate current = rollout_.release_update(now);
  // A release that was rolled back and has no object was deleted.
  if (!catalog_.find_build(current.build) && current.phase != ReleasePhase::rolled_back) {
    pending.drafts.push_back(catalog_.initial_release(current.build, random_id(), wall_clock_ms()));
    pending.affects_routing = true;
  }
  for (const auto& [name, release] : catalog_.all()) {
    const bool is_finished = release.status.is_final() && release.build != current.build &&
                             release.status.machines == 0 && !release.is_deleting();
    if (is_finished)
      continue;
    const releases::WallMillis wall_now = wall_clock_ms();
    auto draft = catalog_.update_status(name, status_.build(release, now, wall_now), wall_now);
    if (!draft)
      continue;
    if (catalog_.affects_routing(*draft))
      pending.affects_routing = true;
    pending.drafts.push_back(std::move(*draft));
  }
  return pending;
}

void ReleaseObjects::update(Scope scope) {
  PendingChanges pending = pending_changes();
  rollout::RolloutState state = rollout_.state(loop_.now());
  // The phase age is stored in whole seconds and left out of the comparison: the passage of time
  // alone does not cause a write.
  state.phase_age = std::chrono::duration_cast<std::chrono::seconds>(state.phase_age);
  rollout::RolloutState comparable = state;
  comparable.phase_age = Duration{};
  const std::string text = rollout::encode(comparable);
  const bool state_changed = text != written_state_;
  const bool write_objects = pending.affects_routing || scope == Scope::all;

  if (!write_objects && !pending.drafts.empty()) {
    schedule_update();
    pending.drafts.clear();
  }
  if (!state_changed && pending.drafts.empty())
    return;
  if (write_objects)
    loop_.cancel(update_timer_);
  // State and objects are written in one transaction so that neither is ever read without the
  // other.
  if (journal_ && state_changed)
    pending_state_ = rollout::encode(state);
  commit(std::move(pending.drafts), {});
  written_state_ = text;
  // An object created by this commit may need a status update as well.
  if (pending.affects_routing && scope == Scope::routing)
    if (PendingChanges more = pending_changes(); more.affects_routing)
      commit(std::move(more.drafts), {});
}

void ReleaseObjects::schedule_update() {
  if (update_timer_ != net::Loop::no_timer)
    return;
  update_timer_ = loop_.in(update_delay, [this] {
    update_timer_ = net::Loop::no_timer;
    try {
      if (!faults_.active())
        update(Scope::all);
    } catch (const journal::JournalError& error) {
      log_.error("status update failed: cannot write to the journal", {{"error", error.what()}});
    }
  });
}

void ReleaseObjects::commit(const releases::Draft& draft,
                            std::optional<journal::IdempotencyKey> key) {
  commit(std::vector<releases::Draft>{draft}, std::move(key));
}

void ReleaseObjects::commit(std::vector<releases::Draft> drafts,
                            std::optional<journal::IdempotencyKey> key) {
  std::int64_t version = catalog_.store().version();
  journal::Journal::Commit transaction;
  std::vector<objects::SnapshotPtr> snapshots;
  for (releases::Draft& draft : drafts) {
    draft.release.version = ++version;
    snapshots.push_back(releases::make_snapshot(draft.release));
    if (!journal_)
      continue;
    const auto before = catalog_.store().find(draft.release.name);
    transaction.changes.push_back({version, static_cast<int>(draft.change), draft.release.name,
                                   snapshots.back()->full, before ? before->full : ""});
  }
  if (journal_) {
    transaction.key = std::move(key);
    if (pending_state_)
      transaction.state =
          journal::StateValue{rollout_key, *std::exchange(pending_state_, std::nullopt)};
    const auto key_lifetime =
        std::chrono::duration_cast<std::chrono::milliseconds>(settings_.idempotency_key_lifetime);
    if (!transaction.changes.empty() || transaction.key || transaction.state)
      journal_->commit(transaction, settings_.max_events, key_lifetime.count());
  }
  if (settings_.on_persisted && !drafts.empty())
    settings_.on_persisted();
  for (std::size_t i = 0; i < drafts.size(); ++i)
    publish(catalog_.commit(drafts[i], snapshots[i]));
}

// Keeps publications in order even if the delay has become shorter.
void ReleaseObjects::publish(objects::Event event) {
  const TimePoint now = loop_.now();
  last_publication_ = std::max(last_publication_, now + publish_delay_);
  if (last_publication_ <= now) {
    published_.append(std::move(event));
    watches_->notify();
    return;
  }
  timers_.at(last_publication_, [this, event = std::move(event)] {
    published_.append(event);
    watches_->notify();
  });
}

}  // namespace robinhoist::controller
