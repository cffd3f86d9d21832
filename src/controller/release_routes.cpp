#include "controller/release_routes.h"

#include "controller/api_error.h"
#include "controller/idempotent_creation.h"
#include "controller/release_list.h"
#include "json/reader.h"
#include "releases/release_codec.h"

namespace robinhoist::controller {
namespace {

constexpr std::int64_t max_watch_timeout_s = 1000000;
constexpr std::int64_t retry_watch_after_s = 1;

int status_of(releases::Completion completion) {
  switch (completion) {
    case releases::Completion::done:
      return 200;
    case releases::Completion::created:
      return 201;
    case releases::Completion::accepted:
      return 202;
  }
  return 200;
}

const char* to_string(ReleaseRoutes::Action action) {
  static const char* const names[] = {"hold", "resume", "roll back"};
  return names[static_cast<int>(action)];
}

}  // namespace

void ReleaseRoutes::list(const ApiRequest& request) {
  objects::Selector selector(request.query("labelSelector"), request.query("fieldSelector"));
  const std::string watching = request.query("watch");
  if (watching == "1" || watching == "true") {
    watch(request, std::move(selector));
    return;
  }
  const ReleaseObjects& objects = deps_.objects;
  const ListPage page = read_page(request, objects.published());
  request.exchange->answer(
      http::json_response(200, encode_list(objects.published(), selector, page, objects.series())));
}

void ReleaseRoutes::watch(const ApiRequest& request, objects::Selector selector) {
  WatchOptions options;
  options.selector = std::move(selector);
  options.brief = request.query("view") == "brief";
  options.proxy = request.query("umpire");
  if (!options.proxy.empty() && !includes(request.caller.role, Role::proxy))
    throw forbidden("this token may not watch as an umpire");
  const std::string version = request.query("resourceVersion");
  const std::string timeout = request.query("timeoutSeconds");
  const std::string series = request.query("series");
  if (!version.empty())
    options.resume_after = parse_number(version, "resourceVersion");
  if (!timeout.empty())
    options.timeout =
        std::chrono::seconds(parse_number(timeout, "timeoutSeconds") % max_watch_timeout_s);
  if (options.resume_after) {
    const bool other_series = !series.empty() && series != deps_.objects.series();
    const auto history = deps_.objects.published().history_after(*options.resume_after);
    if (other_series || history != objects::History::available)
      throw version_expired();
  }
  if (!deps_.objects.watches().add(request.exchange, std::move(options)))
    throw too_many_requests(
        std::to_string(deps_.settings.watches.max_watches) + " watches are open",
        retry_watch_after_s);
}

void ReleaseRoutes::get(const ApiRequest& request) {
  const releases::Catalog& catalog = deps_.objects.catalog();
  catalog.get(request.name);
  request.exchange->answer(object_response(*catalog.store().find(request.name), 200));
}

void ReleaseRoutes::respond(const ApiRequest& request, const releases::ChangeResult& result) {
  const int status = status_of(result.completion);
  const auto release = deps_.objects.catalog().store().find(result.name);
  request.exchange->answer(release ? object_response(*release, status) : success_response(status));
}

// Commits a change and returns true, or answers a dry run and returns false.
bool ReleaseRoutes::commit_unless_dry_run(const ApiRequest& request,
                                          const releases::ChangeResult& result,
                                          std::optional<journal::IdempotencyKey> key) {
  if (is_dry_run(request)) {
    if (result.draft)
      request.exchange->answer(object_response(*releases::make_snapshot(result.draft->release),
                                               status_of(result.completion)));
    else
      respond(request, result);
    return false;
  }
  if (result.draft)
    deps_.objects.commit(*result.draft, std::move(key));
  return true;
}

void ReleaseRoutes::create(const ApiRequest& request) {
  const auto body = read_body(request);
  const releases::Catalog& catalog = deps_.objects.catalog();
  auto key = idempotency_key(request);
  if (key) {
    if (const auto response = replay(request, *key, deps_.journal, catalog.store())) {
      request.exchange->answer(*response);
      return;
    }
  }
  const releases::ChangeResult result =
      catalog.create(body, random_id(), deps_.rollout.newest_build(), wall_clock_ms());
  if (key)
    key->name = result.name;
  if (!commit_unless_dry_run(request, result, std::move(key)))
    return;
  submit(*result.draft, request.caller.name);
  respond(request, result);
}

bool ReleaseRoutes::create_release(int build, const std::string& author) {
  const auto body = json::parse_object("{\"spec\":{\"build\":" + std::to_string(build) + "}}");
  try {
    const releases::ChangeResult result = deps_.objects.catalog().create(
        body, random_id(), deps_.rollout.newest_build(), wall_clock_ms());
    deps_.objects.commit(*result.draft);
    submit(*result.draft, author);
    return true;
  } catch (const releases::RequestError&) {
    return false;
  }
}

// Submits a committed release to the rollout.
void ReleaseRoutes::submit(const releases::Draft& draft, const std::string& author) {
  const int build = draft.release.build;
  deps_.log.info("release created",
                 {{"name", draft.release.name}, {"build", log::text(build)}, {"author", author}});
  deps_.rollout.submit(build, deps_.loop.now());
  deps_.decide();
}

void ReleaseRoutes::patch(const ApiRequest& request) {
  const auto body = read_body(request);
  const releases::ChangeResult result =
      deps_.objects.catalog().patch(request.name, body, expected_version(request));
  if (commit_unless_dry_run(request, result))
    respond(request, result);
}

void ReleaseRoutes::remove(const ApiRequest& request) {
  const releases::Catalog& catalog = deps_.objects.catalog();
  const releases::ChangeResult result =
      catalog.remove(request.name, expected_version(request), wall_clock_ms());
  const int build = catalog.get(request.name).build;
  if (!commit_unless_dry_run(request, result))
    return;
  // A canary is rolled back first; its object is deleted once all its machines are gone.
  const TimePoint now = deps_.loop.now();
  if (build == deps_.rollout.release_update(now).build)
    deps_.rollout.roll_back("deleted by " + request.caller.name, now);
  deps_.log.info("release deleted", {{"name", request.name}, {"author", request.caller.name}});
  deps_.decide();
  respond(request, result);
}

void ReleaseRoutes::apply_action(const ApiRequest& request, Action action) {
  const auto body = read_body(request);
  const std::string reason = json::text(body, "reason");
  const std::string author = json::text_or(body, "author", request.caller.name);
  if (reason.empty() || author.empty())
    json::throw_wrong_type(reason.empty() ? "reason" : "author", "a word");
  const releases::Catalog& catalog = deps_.objects.catalog();
  const releases::Release& release = catalog.get(request.name, expected_version(request));
  if (is_dry_run(request)) {
    respond(request, {request.name});
    return;
  }
  const TimePoint now = deps_.loop.now();
  const std::string why = reason + " (" + author + ")";
  rollout::Rollout& rollout = deps_.rollout;
  bool done = false;
  if (release.build == rollout.release_update(now).build) {
    if (action == Action::roll_back)
      done = rollout.roll_back(why, now);
    else
      done = action == Action::hold ? rollout.hold(why, now) : rollout.resume(why, now);
  }
  if (!done)
    throw wrong_state(release);
  deps_.log.info("operator action", {{"action", to_string(action)},
                                     {"release", request.name},
                                     {"reason", reason},
                                     {"author", author}});
  deps_.decide();
  respond(request, {request.name});
}

}  // namespace robinhoist::controller
