/// The release objects of the controller: kept as the rollout stands, written to the journal before
/// anybody is notified of a change, and published to lists and watches.
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

/// The wall clock at the resolution of objects.
releases::WallMillis wall_clock_ms();
/// A random id of 16 hexadecimal digits.
std::string random_id();

/// Owns the catalog, the published store and the watches.
class ReleaseObjects {
 public:
  /// What it needs of the controller. All must outlive it; the journal may be null.
  struct Dependencies {
    net::Loop& loop;
    const Settings& settings;
    const log::Logger& log;
    journal::Journal* journal;
    const rollout::Rollout& rollout;
    const ReleaseStatusBuilder& status;
    const FaultInjector& faults;
  };

  /// Restores the objects from the journal; a journal of before there were objects has none.
  ReleaseObjects(const Dependencies& dependencies, Watches::NotifiedCallback notified);
  ~ReleaseObjects();
  ReleaseObjects(const ReleaseObjects&) = delete;
  ReleaseObjects& operator=(const ReleaseObjects&) = delete;

  /// Writes the rollout's state, and the objects that proxies go by, if they have changed; what
  /// else has changed is written a little later. Throws journal::JournalError, and then nothing has
  /// changed.
  void update() { update(Scope::urgent); }
  /// Writes all that has changed a little later.
  void schedule_update();
  /// Writes a draft, with the key of the request that made it, and publishes it. Throws
  /// journal::JournalError.
  void commit(const releases::Draft& draft, std::optional<journal::IdempotencyKey> key = {});
  /// Delays what is published from here on.
  void set_publish_delay(Duration delay) { publish_delay_ = delay; }

  /// The releases as they were written last.
  const releases::Catalog& catalog() const { return catalog_; }
  /// The objects as they were published last.
  const objects::Store& published() const { return published_; }
  /// Identifies the sequence that the objects' versions belong to.
  const std::string& series() const { return series_; }
  Watches& watches() { return *watches_; }

 private:
  enum class Scope { urgent, all };
  struct PendingChanges {
    std::vector<releases::Draft> drafts{};
    bool urgent = false;
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
  std::string written_state_{};                 // of the rollout, without its time
  std::optional<std::string> pending_state_{};  // to be written with the next commit
  Duration publish_delay_{};
  TimePoint last_publication_{};
  std::unique_ptr<Watches> watches_{};
  net::Loop::Timer update_timer_ = net::Loop::no_timer;
  net::Timers timers_;
};

}  // namespace robinhoist::controller
