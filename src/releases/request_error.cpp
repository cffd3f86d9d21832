#include "releases/request_error.h"

#include "releases/release.h"

namespace robinhoist::releases {
namespace {

constexpr const char* invalid_release_title = "the release makes no sense";

}  // namespace

RequestError release_not_found(const std::string& name) {
  return {RequestError::Kind::not_found, "no such release", "there is no release " + name};
}

RequestError version_conflict(const Release& release, std::int64_t expected) {
  RequestError error{
      RequestError::Kind::conflict, "the release has changed",
      "it is of version " + std::to_string(release.version) + ", not " + std::to_string(expected)};
  error.current_version = release.version;
  return error;
}

RequestError name_taken(const Release& release) {
  RequestError error{RequestError::Kind::conflict, "the name is taken",
                     "there is a release " + release.name + " already"};
  error.current_version = release.version;
  return error;
}

RequestError invalid_release(std::vector<FieldError> errors) {
  RequestError error{RequestError::Kind::invalid, invalid_release_title, "see errors"};
  error.field_errors = std::move(errors);
  return error;
}

RequestError invalid_patch(std::vector<FieldError> errors) {
  RequestError error{RequestError::Kind::invalid, "the patch makes no sense", "see errors"};
  error.field_errors = std::move(errors);
  return error;
}

RequestError build_not_newer(int newest_build) {
  RequestError error{RequestError::Kind::invalid, invalid_release_title, "builds only grow"};
  error.field_errors = {{"/spec/build", "is not newer than " + std::to_string(newest_build)}};
  return error;
}

}  // namespace robinhoist::releases
