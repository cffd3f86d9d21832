/// The errors of the REST API. Each is made by one function here, thrown by whoever finds it and
/// answered as problem+json (RFC 9457) at the edge, in ApiServer. Clients may read the texts.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "http/server.h"
#include "releases/release.h"
#include "releases/request_error.h"

namespace robinhoist::controller {

/// A request that is rejected; what() is the detail for the client.
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
  /// With a conflict: the version that the object has; else 0.
  std::int64_t present_version = 0;
  std::vector<Header> headers{};
};

http::Response to_response(const ApiError& error);

/// What the catalog rejects, with its status.
ApiError to_api_error(const releases::RequestError& error);

ApiError malformed_request(const std::string& detail);
ApiError malformed_body(const std::string& detail);
/// A body that is well-formed and has a field that is wrong.
ApiError invalid_body(const std::string& detail);
ApiError invalid_selector(const std::string& detail);
ApiError unsupported_media_type(const std::string& type);
ApiError unauthenticated();
ApiError forbidden(const std::string& detail);
ApiError unknown_path();
ApiError method_not_allowed(const std::string& allowed);
ApiError too_many_requests(const std::string& detail, std::int64_t retry_after_s);
ApiError journal_unavailable(const std::string& detail);
ApiError list_expired();
ApiError version_expired();
ApiError idempotency_key_reused(const std::string& key);
/// A creation that is repeated after the release it made was deleted.
ApiError created_release_gone();
/// An action that the release's state does not allow.
ApiError wrong_state(const releases::Release& release);
ApiError superseded(const std::string& detail);
ApiError obsolete_vote();
ApiError no_such_proxy(const std::string& name);

}  // namespace robinhoist::controller
