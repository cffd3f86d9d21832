#include "controller/api_error.h"

#include "json/writer.h"
#include "releases/release_codec.h"

namespace robinhoist::controller {
namespace {

constexpr const char* malformed_request_title = "the request makes no sense";
constexpr const char* invalid_body_title = "the body makes no sense";
constexpr const char* superseded_title = "superseded";

int status_of(releases::RequestError::Kind kind) {
  switch (kind) {
    case releases::RequestError::Kind::not_found:
      return 404;
    case releases::RequestError::Kind::conflict:
      return 409;
    case releases::RequestError::Kind::invalid:
      return 422;
  }
  return 500;
}

}  // namespace

http::Response to_response(const ApiError& error) {
  json::Writer out;
  out.begin_object();
  out.put("type", "about:blank");
  out.put("title", error.title);
  out.put("status", error.status);
  out.put("detail", error.what());
  if (error.current_version > 0)
    out.put("presentVersion", std::to_string(error.current_version));
  if (!error.field_errors.empty()) {
    out.begin_array("errors");
    for (const releases::FieldError& field : error.field_errors)
      out.begin_object().put("pointer", field.pointer).put("detail", field.detail).end_object();
    out.end_array();
  }
  out.end_object();
  http::Response response = http::json_response(error.status, out.text());
  response.headers.set("Content-Type", "application/problem+json");
  for (const ApiError::Header& header : error.headers)
    response.headers.add(header.name, header.value);
  return response;
}

ApiError to_api_error(const releases::RequestError& error) {
  ApiError api_error{status_of(error.kind), error.title, error.what()};
  api_error.field_errors = error.field_errors;
  api_error.current_version = error.current_version;
  return api_error;
}

ApiError malformed_request(const std::string& detail) {
  return {400, malformed_request_title, detail};
}

ApiError malformed_body(const std::string& detail) {
  return {400, invalid_body_title, detail};
}

ApiError invalid_body(const std::string& detail) {
  return {422, invalid_body_title, detail};
}

ApiError invalid_selector(const std::string& detail) {
  return {400, "the selector makes no sense", detail};
}

ApiError unsupported_media_type(const std::string& type) {
  return {415, "the body is of another type",
          "Content-Type is '" + type + "', not application/json"};
}

ApiError unauthenticated() {
  ApiError error{401, "not known", "no token, or none that is known here"};
  error.headers.push_back({"WWW-Authenticate", "Bearer"});
  return error;
}

ApiError forbidden(const std::string& detail) {
  return {403, "not allowed", detail};
}

ApiError path_not_found() {
  return {404, "no such thing here", "GET /v1 lists what there is"};
}

ApiError method_not_allowed(const std::string& allowed) {
  ApiError error{405, "no such method here", "allowed: " + allowed};
  error.headers.push_back({"Allow", allowed});
  return error;
}

ApiError too_many_requests(const std::string& detail, std::int64_t retry_after_s) {
  ApiError error{429, "too many requests", detail};
  error.headers.push_back({"Retry-After", std::to_string(retry_after_s)});
  return error;
}

ApiError journal_unavailable(const std::string& detail) {
  return {503, "the journal takes nothing", detail};
}

ApiError list_expired() {
  return {410, "the list has expired",
          "what changed since its first page is no longer known: list anew"};
}

ApiError version_expired() {
  return {410, "the version has expired",
          "what changed since then is no longer known: list anew and watch from there"};
}

ApiError idempotency_key_reused(const std::string& key) {
  return {422, "the key was used for another request",
          "Idempotency-Key " + key + " came with another body"};
}

ApiError created_release_deleted() {
  return {410, "the release is gone", "it was created by this key and deleted since"};
}

ApiError wrong_state(const releases::Release& release) {
  const std::string held = release.status.held ? ", held" : "";
  ApiError error{409, "the release is not in a state for that",
                 std::string("it is ") + releases::phase_name(release.status.phase) + held};
  error.current_version = release.version;
  return error;
}

ApiError superseded(const std::string& detail) {
  return {409, superseded_title, detail};
}

ApiError obsolete_vote() {
  return {409, "moot", "the release is not in that wave, or such a vote has no meaning"};
}

ApiError proxy_not_found(const std::string& name) {
  return {404, "no such umpire", "no umpire " + name + " of that session"};
}

}  // namespace robinhoist::controller
