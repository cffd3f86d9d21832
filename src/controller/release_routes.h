/// The routes of releases: list, watch, read, create, patch, delete, and the operators' actions.
/// What a request may change is decided by releases::Catalog; here requests are read, changes
/// committed and answers given. Errors are thrown, and answered by ApiServer.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "controller/api_request.h"
#include "controller/release_objects.h"
#include "rollout/rollout.h"

namespace robinhoist::controller {

/// The handlers of /v1/releases and below, except for votes.
class ReleaseRoutes {
 public:
  /// All must outlive it; the journal may be null. `decide` lets the rollout act on what has
  /// changed.
  struct Dependencies {
    net::Loop& loop;
    const log::Logger& log;
    const Settings& settings;
    journal::Journal* journal;
    rollout::Rollout& rollout;
    ReleaseObjects& objects;
    std::function<void()> decide;
  };
  explicit ReleaseRoutes(Dependencies dependencies) : deps_(std::move(dependencies)) {}

  /// A page of the releases, or a watch.
  void list(const ApiRequest& request);
  /// One release, with its version as the ETag.
  void get(const ApiRequest& request);
  /// Creates a release and submits its build; repeatable with an Idempotency-Key.
  void create(const ApiRequest& request);
  /// Changes labels and description.
  void patch(const ApiRequest& request);
  /// Deletes a release, after rolling back its build where that is a canary.
  void remove(const ApiRequest& request);

  /// An operator's action on the present release, with a reason.
  enum class Action { hold, resume, roll_back };
  void act(const ApiRequest& request, Action action);

  /// Creates the release of a build and submits it, as `author`; false when it is rejected.
  bool create_release(int build, const std::string& author);

 private:
  void watch(const ApiRequest& request, objects::Selector selector);
  void respond(const ApiRequest& request, const releases::ChangeResult& result);
  bool commit_unless_dry_run(const ApiRequest& request, const releases::ChangeResult& result,
                             std::optional<journal::IdempotencyKey> key = {});
  void submit(const releases::Draft& draft, const std::string& author);

  Dependencies deps_;
};

}  // namespace robinhoist::controller
