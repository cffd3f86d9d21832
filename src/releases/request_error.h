/// Errors of requests on releases. They are created only by the functions below, thrown by the
/// catalog and the parsers of request bodies, and converted by ApiServer to problem+json responses.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace robinhoist::releases {

struct Release;

/// An error in one field of a request body: a JSON pointer (RFC 6901) and the reason.
struct FieldError {
  std::string pointer;
  std::string detail;
};

/// A rejected request; what() is the detail for the client.
class RequestError : public std::runtime_error {
 public:
  enum class Kind { not_found, conflict, invalid };

  RequestError(Kind kind, std::string title, const std::string& detail)
      : std::runtime_error(detail), kind(kind), title(std::move(title)) {}

  Kind kind;
  std::string title;
  std::vector<FieldError> field_errors{};
  /// For a conflict, the current version of the object; otherwise 0.
  std::int64_t current_version = 0;
};

RequestError release_not_found(const std::string& name);
RequestError version_conflict(const Release& release, std::int64_t expected);
RequestError name_taken(const Release& release);
RequestError invalid_release(std::vector<FieldError> errors);
RequestError invalid_patch(std::vector<FieldError> errors);
RequestError build_not_newer(int newest_build);

}  // namespace robinhoist::releases
