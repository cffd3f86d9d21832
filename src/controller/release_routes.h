/// The routes of releases: list, watch, read, create, patch, delete, and operator actions.
/// releases::Catalog decides which changes a request may make; the routes parse requests, commit
/// changes and respond. Errors are thrown and converted to responses by ApiServer.
#pragma once
#include <functional>
#include <optional>
#include <string>

#include "controller/api_request.h"
#include "controller/release_objects.h"
#include "rollout/rollout.h"

namespace robinhoist::controller {

/// The handlers of /v1/releases and the paths below it, except for votes.
class ReleaseRoutes {
 public:
  /// The references must outlive the routes; the journal may be null. `decide` is called after each
  /// change so that the rollout acts on it.
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

  /// Returns a page of the releases, or starts a watch.
  void list(const ApiRequest& request);
  /// Returns one release, with its version as the ETag.
  void get(const ApiRequest& request);
  /// Creates a release and submits its build. Idempotent if the request has an Idempotency-Key.
  void create(const ApiRequest& request);
  /// Changes the labels and the description.
  void patch(const ApiRequest& request);
  /// Deletes a release, after rolling back its build if it is a canary.
  void remove(const ApiRequest& request);

  /// The actions that an operator can take on the current release. Each requires a reason.
  enum class Action { hold, resume, roll_back };
  void apply_action(const ApiRequest& request, Action action);

  /// Creates and submits the release of a build on behalf of `author`; returns false if it is
  /// rejected.
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
