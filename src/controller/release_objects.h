/// The release objects of the controller. They are updated from the state of the rollout, written
/// to the journal, and only then published to lists and watches.
#pragma once
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "controller/fault_injection.h"
#include "controller/release_status.h"
#include "controller/settings.h"
#include "controller/watches.h"
#include "journal/journal.h"
#include "log/logger.h"
#include "net/loop.h"
#include "releases/catalog.h"
#include "rollout/rollout.h"

namespace robinhoist::controller {

/// The wall-clock time at the resolution used by objects.
releases::WallMillis wall_clock_ms();
/// A random id of 16 hexadecimal digits.
std::string random_id();

/// Owns the catalog, the published store and the watches.
class ReleaseObjects {
 public:
  /// The parts of the controller that are used. All must outlive this object; the journal may be
  /// null.
  struct Dependencies {
    net::Loop& loop;
    const Settings& settings;
    const log::Logger& log;
    journal::Journal* journal;
    const rollout::Rollout& rollout;
    const ReleaseStatusBuilder& status;
    const FaultInjector& faults;
  };

  /// Restores the objects from the journal. A journal written before objects were introduced has
  /// none.
  ReleaseObjects(const Dependencies& dependencies, Watches::NotifiedCallback notified);
  ~ReleaseObjects();
  ReleaseObjects(const ReleaseObjects&) = delete;
  ReleaseObjects& operator=(const ReleaseObjects&) = delete;

  /// Writes changes to the rollout's state and to the objects that affect routing by proxies at
  /// once; other changes are written after a short delay. Throws journal::JournalError, in which
  /// case nothing has changed.
  void update() { update(Scope::routing); }
  /// Schedules the writing of all changes after a short delay.
  void schedule_update();
  /// Writes a draft together with the idempotency key of its request, and publishes it. Throws
  /// journal::JournalError.
  void commit(const releases::Draft& draft, std::optional<journal::IdempotencyKey> key = {});
  /// Delays the publication of all later changes.
  void set_publish_delay(Duration delay) { publish_delay_ = delay; }

  /// The releases as last written.
  const releases::Catalog& catalog() const { return catalog_; }
  /// The objects as last published.
  const objects::Store& published() const { return published_; }
  /// Identifies the sequence that the objects' versions belong to.
  const std::string& series() const { return series_; }
  Watches& watches() { return *watches_; }

 private:
  enum class Scope { routing, all };
  struct PendingChanges {
    std::vector<releases::Draft> drafts{};
    bool affects_routing = false;
  };

  void restore();
  void update(Scope scope);
  PendingChanges pending_changes() const;
  void commit(std::vector<releases::Draft> drafts, std::optional<journal::IdempotencyKey> key);
  void publish(objects::Event event);

  net::Loop& loop_;
  const Settings& settings_;
  const log::Logger& log_;
  journal::Journal* journal_;
  const rollout::Rollout& rollout_;
  const ReleaseStatusBuilder& status_;
  const FaultInjector& faults_;

  releases::Catalog catalog_;
  objects::Store published_;
  std::string series_{};
  std::string written_state_{};                 // the rollout state as last written, without times
  std::optional<std::string> pending_state_{};  // written with the next commit
  Duration publish_delay_{};
  TimePoint last_publication_{};
  std::unique_ptr<Watches> watches_{};
  net::Loop::Timer update_timer_ = net::Loop::no_timer;
  net::Timers timers_;
};

}  // namespace robinhoist::controller
