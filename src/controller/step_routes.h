/// The routes of migration plans and their steps. Their errors are plain text, unlike those of the
/// other routes.
#pragma once
#include <functional>

#include "controller/api_request.h"
#include "json/reader.h"
#include "migration/runner.h"

namespace robinhoist::controller {

/// The handlers of /v1/plans and /v1/steps.
class StepRoutes {
 public:
  /// `steps` may be null: every route then answers 404. `plan_taken` is called after a new plan,
  /// `decide` lets the rollout act on what has changed.
  StepRoutes(migration::Runner* steps, std::function<void()> plan_taken,
             std::function<void()> decide)
      : steps_(steps), plan_taken_(std::move(plan_taken)), decide_(std::move(decide)) {}

  /// Takes a new or edited plan, an S-expression; X-Who names its author.
  void take_plan(const ApiRequest& request);
  void status(const ApiRequest& request);
  /// Asks the target whether the applied steps still are; answers when all were asked.
  void verify(const ApiRequest& request);
  /// The operators' commands; 409 with the reason when one is rejected.
  void pause(const ApiRequest& request);
  void resume(const ApiRequest& request);
  void retry(const ApiRequest& request);
  void skip(const ApiRequest& request);

 private:
  // Who asks for a change, and why, as the body has it.
  struct Author {
    std::string who;
    std::string why;
  };
  static Author read_author(const ApiRequest& request, const json::Value& body);
  // What has to be done with a step; gives an empty text, or why it was not done.
  using StepAction = std::string (migration::Runner::*)(int build, const std::string& step,
                                                        const std::string& who,
                                                        const std::string& why);

  void answer_errors(const ApiRequest& request, const std::function<void()>& handle);
  void set_paused(const ApiRequest& request, bool paused);
  void act_on_step(const ApiRequest& request, StepAction action);
  void respond(const ApiRequest& request, const std::string& rejection);

  migration::Runner* steps_;
  std::function<void()> plan_taken_;
  std::function<void()> decide_;
};

}  // namespace robinhoist::controller
