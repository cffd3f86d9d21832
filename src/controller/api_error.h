/// The errors of the REST API. Each is created by a function below, thrown where it is detected and
/// converted by ApiServer to a problem+json response (RFC 9457). The texts are shown to clients.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "http/server.h"
#include "releases/release.h"
#include "releases/request_error.h"

namespace robinhoist::controller {

/// A rejected request; what() is the detail for the client.
class ApiError : public std::runtime_error {
 public:
  ApiError(int status, std::string title, const std::string& detail)
      : std::runtime_error(detail), status(status), title(std::move(title)) {}

  struct Header {
    std::string name;
    std::string value;
  };

  int status;
  std::string title;
  std::vector<releases::FieldError> field_errors{};
  /// For a conflict, the current version of the object; otherwise 0.
  std::int64_t current_version = 0;
  std::vector<Header> headers{};
};

http::Response to_response(const ApiError& error);

/// Converts an error of the catalog, adding its HTTP status.
ApiError to_api_error(const releases::RequestError& error);

ApiError malformed_request(const std::string& detail);
ApiError malformed_body(const std::string& detail);
/// The body is well-formed JSON with an invalid field.
ApiError invalid_body(const std::string& detail);
ApiError invalid_selector(const std::string& detail);
ApiError unsupported_media_type(const std::string& type);
ApiError unauthenticated();
ApiError forbidden(const std::string& detail);
ApiError path_not_found();
ApiError method_not_allowed(const std::string& allowed);
ApiError too_many_requests(const std::string& detail, std::int64_t retry_after_s);
ApiError journal_unavailable(const std::string& detail);
ApiError list_expired();
ApiError version_expired();
ApiError idempotency_key_reused(const std::string& key);
/// A creation request is repeated after the release that it created was deleted.
ApiError created_release_deleted();
/// The state of the release does not allow the action.
ApiError wrong_state(const releases::Release& release);
ApiError superseded(const std::string& detail);
ApiError obsolete_vote();
ApiError proxy_not_found(const std::string& name);

}  // namespace robinhoist::controller
