#include "steps/target.h"

#include "json/fields.h"

namespace robinhoist::steps {
namespace {

using namespace std::chrono_literals;

http::ConnectionPoolSettings settings() {
  http::ConnectionPoolSettings to;
  to.max_connections = 4;
  to.connect_timeout = 2s;
  return to;
}

std::string mark_of(const Plan& plan, const Step& step) {
  return std::to_string(plan.build) + "/" + step.id;
}

http::Request post(const char* target, std::string body) {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.headers.add("Content-Type", "application/json");
  request.body = std::move(body);
  return request;
}

std::string why_of(http::CallResult how, const http::Response& response) {
  if (how == http::CallResult::answered)
    return "status " + std::to_string(response.status) + ": " + response.body;
  static const char* const words[] = {
      "", "not reached", "connection broke", "garbled answer", "no answer in time", "called off"};
  return words[static_cast<int>(how)];
}

}  // namespace

Target::Target(net::Loop& loop, const std::string& address)
    : caller_(loop, Poco::Net::SocketAddress(address), settings()) {}

void Target::run(const Plan& plan, const Step& step, Direction direction, std::int64_t after,
                 std::int64_t token, Ran ran) {
  const bool apply = direction == Direction::apply;
  json::Out body;
  body.open()
      .put("token", static_cast<long>(token))
      .put("mark", mark_of(plan, step))
      .put("digest", step.digest);
  body.put("undo", !apply)
      .put("statement", apply ? step.apply : step.undo)
      .put("transactional", step.transactional);
  if (step.kind == Kind::data && (apply || step.undo_in_batches))
    body.put("table", step.table)
        .put("key", step.key)
        .put("batch", step.batch)
        .put("after", static_cast<long>(after));
  body.put("lock_ms", static_cast<double>(step.lock_timeout.count()) / 1e3).close();
  caller_.call(post("/v1/steps/run", body.text()), step.timeout,
               [ran](http::CallResult how, http::Response&& response) {
                 const std::string why = why_of(how, response);
                 if (how == http::CallResult::connect_failed)
                   return ran({.result = Result::not_run, .why = why});
                 if (how != http::CallResult::answered)
                   return ran({.result = Result::unknown, .why = why});
                 if (response.status == 409)
                   return ran({.result = Result::fenced, .why = why});
                 if (response.status == 422)
                   return ran({.result = Result::not_run, .why = why});
                 try {
                   if (response.status != 200)
                     return ran({.result = Result::unknown, .why = why});
                   auto document = json::object_of(response.body);
                   const Result result = json::enumerator<Result>(
                       document, "result", {{"done", Result::done}, {"more", Result::more}});
                   ran({result, static_cast<std::int64_t>(json::number_or(document, "after", 0)),
                        static_cast<std::int64_t>(json::number_or(document, "last", 0)), ""});
                 } catch (const json::BadInput& bad) {
                   ran({.result = Result::unknown, .why = bad.what()});
                 }
               });
}

void Target::mark(const Plan& plan, const Step& step, std::int64_t token, Looked looked) {
  auto body = json::Out()
                  .open()
                  .put("token", static_cast<long>(token))
                  .put("mark", mark_of(plan, step))
                  .close()
                  .text();
  caller_.call(post("/v1/steps/mark", body), step.timeout,
               [looked](http::CallResult how, http::Response&& response) {
                 try {
                   if (how != http::CallResult::answered || response.status != 200)
                     return looked(Answer::unknown, 0, why_of(how, response));
                   auto document = json::object_of(response.body);
                   looked(json::truth(document, "applied") ? Answer::yes : Answer::no,
                          static_cast<std::int64_t>(json::number(document, "after")), "");
                 } catch (const json::BadInput& bad) {
                   looked(Answer::unknown, 0, bad.what());
                 }
               });
}

void Target::check(const Step& step, Looked looked) {
  auto body = json::Out().open().put("statement", step.check).close().text();
  caller_.call(post("/v1/query", body), step.timeout,
               [looked](http::CallResult how, http::Response&& response) {
                 try {
                   if (how != http::CallResult::answered ||
                       (response.status != 200 && response.status != 422))
                     return looked(Answer::unknown, 0, why_of(how, response));
                   // A check that can't even be asked, for a table is missing, says no.
                   if (response.status == 422)
                     return looked(Answer::no, 0, response.body);
                   auto document = json::object_of(response.body);
                   looked(json::number_or(document, "value", 0) != 0 ? Answer::yes : Answer::no, 0,
                          "");
                 } catch (const json::BadInput& bad) {
                   looked(Answer::unknown, 0, bad.what());
                 }
               });
}

}  // namespace robinhoist::steps
