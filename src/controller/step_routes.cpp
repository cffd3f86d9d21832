#include "controller/step_routes.h"

#include "journal/journal.h"
#include "json/writer.h"
#include "settings/sexp_reader.h"

namespace robinhoist::controller {

void StepRoutes::handle_errors(const ApiRequest& request, const std::function<void()>& handle) {
  const auto answer = [&](int status, const std::string& text) {
    request.exchange->answer(http::text_response(status, text + "\n"));
  };
  if (!steps_) {
    answer(404, "this controller runs no steps");
    return;
  }
  try {
    handle();
  } catch (const json::DecodeError& error) {
    answer(422, error.what());
  } catch (const settings::ValidationError& error) {
    answer(422, error.what());
  } catch (const journal::JournalError& error) {
    answer(503, error.what());
  }
}

void StepRoutes::submit_plan(const ApiRequest& request) {
  handle_errors(request, [&] {
    const std::string author(request.http().headers.get("X-Who"));
    const int build = steps_->accept_plan(request.http().body, "plan",
                                          author.empty() ? request.caller.name : author);
    plan_accepted_();
    decide_();
    json::Writer out;
    out.begin_object().put("build", build).end_object();
    request.exchange->answer(http::json_response(200, out.text()));
  });
}

void StepRoutes::status(const ApiRequest& request) {
  handle_errors(request,
                [&] { request.exchange->answer(http::json_response(200, steps_->status_json())); });
}

void StepRoutes::verify(const ApiRequest& request) {
  handle_errors(request, [&] {
    steps_->verify([exchange = request.exchange](const std::string& body) {
      exchange->answer(http::json_response(200, body));
    });
  });
}

StepRoutes::Author StepRoutes::read_author(const ApiRequest& request, const json::Value& body) {
  return {json::text_or(body, "who", request.caller.name), json::text_or(body, "why", "")};
}

void StepRoutes::set_paused(const ApiRequest& request, bool paused) {
  handle_errors(request, [&] {
    const auto body = json::parse_object(request.http().body);
    const Author author = read_author(request, body);
    steps_->set_paused(paused, author.who, author.why);
    respond(request, "");
  });
}

void StepRoutes::apply_step_action(const ApiRequest& request, StepAction action) {
  handle_errors(request, [&] {
    const auto body = json::parse_object(request.http().body);
    const Author author = read_author(request, body);
    const int build = json::integer(body, "build");
    const std::string step = json::text(body, "step");
    respond(request, (steps_->*action)(build, step, author.who, author.why));
  });
}

void StepRoutes::pause(const ApiRequest& request) {
  set_paused(request, true);
}

void StepRoutes::resume(const ApiRequest& request) {
  set_paused(request, false);
}

void StepRoutes::retry(const ApiRequest& request) {
  apply_step_action(request, &migration::Runner::retry);
}

void StepRoutes::skip(const ApiRequest& request) {
  apply_step_action(request, &migration::Runner::skip);
}

void StepRoutes::respond(const ApiRequest& request, const std::string& rejection) {
  decide_();
  request.exchange->answer(rejection.empty() ? http::json_response(200, steps_->status_json())
                                             : http::text_response(409, rejection + "\n"));
}

}  // namespace robinhoist::controller
