#include "controller/idempotent_creation.h"

#include "controller/api_error.h"

namespace robinhoist::controller {
namespace {

constexpr const char* key_header = "Idempotency-Key";
constexpr const char* replayed_header = "Idempotency-Replayed";
constexpr std::size_t max_key_size = 255;

}  // namespace

std::optional<journal::IdempotencyKey> idempotency_key(const ApiRequest& request) {
  const std::string key(request.http().headers.get(key_header));
  if (key.empty())
    return {};
  if (key.size() > max_key_size)
    throw malformed_request("Idempotency-Key is longer than 255 bytes");
  return journal::IdempotencyKey{request.caller.name + "/" + key, sha256(request.http().body), ""};
}

std::optional<http::Response> replay(const ApiRequest& request, const journal::IdempotencyKey& key,
                                     const journal::Journal* journal,
                                     const objects::Store& objects) {
  const auto earlier = journal ? journal->find_idempotency_key(key.key) : std::nullopt;
  if (!earlier)
    return {};
  if (earlier->digest != key.digest)
    throw idempotency_key_reused(std::string(request.http().headers.get(key_header)));
  const auto release = objects.find(earlier->name);
  http::Response response =
      release ? object_response(*release, 201) : to_response(created_release_deleted());
  response.headers.add(replayed_header, "true");
  return response;
}

}  // namespace robinhoist::controller
