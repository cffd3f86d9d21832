/// The routes of migration plans and their steps. Unlike the other routes, they return errors as
/// plain text.
#pragma once
#include <functional>

#include "controller/api_request.h"
#include "json/reader.h"
#include "migration/runner.h"

namespace robinhoist::controller {

/// The handlers of /v1/plans and /v1/steps.
class StepRoutes {
 public:
  /// `steps` may be null: every route then answers 404. `plan_accepted` is called after a plan is
  /// accepted, `decide` after each change so that the rollout acts on it.
  StepRoutes(migration::Runner* steps, std::function<void()> plan_accepted,
             std::function<void()> decide)
      : steps_(steps), plan_accepted_(std::move(plan_accepted)), decide_(std::move(decide)) {}

  /// Submits a new or edited plan, an S-expression. The X-Who header names its author.
  void submit_plan(const ApiRequest& request);
  void status(const ApiRequest& request);
  /// Checks with the target whether the applied steps are still in effect; answers once all were
  /// checked.
  void verify(const ApiRequest& request);
  /// Commands of operators; a rejected one is answered with 409 and the reason.
  void pause(const ApiRequest& request);
  void resume(const ApiRequest& request);
  void retry(const ApiRequest& request);
  void skip(const ApiRequest& request);

 private:
  // The author of a change and the reason for it, from the request body.
  struct Author {
    std::string who;
    std::string why;
  };
  static Author read_author(const ApiRequest& request, const json::Value& body);
  // An action on a step. Returns an empty text, or the reason why the action was rejected.
  using StepAction = std::string (migration::Runner::*)(int build, const std::string& step,
                                                        const std::string& who,
                                                        const std::string& why);

  void handle_errors(const ApiRequest& request, const std::function<void()>& handle);
  void set_paused(const ApiRequest& request, bool paused);
  void apply_step_action(const ApiRequest& request, StepAction action);
  void respond(const ApiRequest& request, const std::string& rejection);

  migration::Runner* steps_;
  std::function<void()> plan_accepted_;
  std::function<void()> decide_;
};

}  // namespace robinhoist::controller
