#include "releases/request_error.h"

#include "releases/release.h"

namespace robinhoist::releases {
namespace {

constexpr const char* invalid_release_title = "invalid release";

}  // namespace

RequestError release_not_found(const std::string& name) {
  return {RequestError::Kind::not_found, "release not found", "there is no release named " + name};
}

RequestError version_conflict(const Release& release, std::int64_t expected) {
  RequestError error{
      RequestError::Kind::conflict, "the release has changed",
      "its version is " + std::to_string(release.version) + ", not " + std::to_string(expected)};
  error.current_version = release.version;
  return error;
}

RequestError name_taken(const Release& release) {
  RequestError error{RequestError::Kind::conflict, "the name is already in use",
                     "a release named " + release.name + " already exists"};
  error.current_version = release.version;
  return error;
}

RequestError invalid_release(std::vector<FieldError> errors) {
  RequestError error{RequestError::Kind::invalid, invalid_release_title,
                     "one or more fields are invalid"};
  error.field_errors = std::move(errors);
  return error;
}

RequestError invalid_patch(std::vector<FieldError> errors) {
  RequestError error{RequestError::Kind::invalid, "invalid patch",
                     "one or more fields are invalid"};
  error.field_errors = std::move(errors);
  return error;
}

RequestError build_not_newer(int newest_build) {
  RequestError error{RequestError::Kind::invalid, invalid_release_title,
                     "the build must be newer than all earlier builds"};
  error.field_errors = {{"/spec/build", "is not newer than " + std::to_string(newest_build)}};
  return error;
}

}  // namespace robinhoist::releases
