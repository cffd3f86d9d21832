/// Why a request on releases is rejected. Made by the functions below alone, thrown by the catalog
/// and by what reads the requests' bodies, and answered as problem+json at the edge of the API.
#pragma once
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace robinhoist::releases {

struct Release;

/// What is wrong with one field of a body: a JSON pointer (RFC 6901) and the reason.
struct FieldError {
  std::string pointer;
  std::string detail;
};

/// A request that is rejected; what() is the detail for the client.
class RequestError : public std::runtime_error {
 public:
  enum class Kind { not_found, conflict, invalid };

  RequestError(Kind kind, std::string title, const std::string& detail)
      : std::runtime_error(detail), kind(kind), title(std::move(title)) {}

  Kind kind;
  std::string title;
  std::vector<FieldError> field_errors{};
  /// With a conflict: the version that the object has; else 0.
  std::int64_t present_version = 0;
};

RequestError no_such_release(const std::string& name);
RequestError version_conflict(const Release& release, std::int64_t expected);
RequestError name_taken(const Release& release);
RequestError invalid_release(std::vector<FieldError> errors);
RequestError invalid_patch(std::vector<FieldError> errors);
RequestError build_not_newer(int newest_build);

}  // namespace robinhoist::releases
