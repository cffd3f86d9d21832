#include "controller/api_request.h"

#include <string_view>

#include "controller/api_error.h"
#include "json/reader.h"

namespace robinhoist::controller {
namespace {

constexpr std::size_t max_digits = 18;

}  // namespace

std::int64_t parse_number(const std::string& text, const char* what) {
  const bool is_number = !text.empty() && text.size() <= max_digits &&
                         text.find_first_not_of("0123456789") == std::string::npos;
  if (!is_number)
    throw malformed_request(std::string(what) + " is '" + text + "', which is no whole number");
  return std::stoll(text);
}

releases::ExpectedVersion expected_version(const ApiRequest& request) {
  std::string_view text = request.http().headers.get("If-Match");
  if (text.empty() || text == "*")
    return {};
  if (text.substr(0, 2) == "W/")
    text.remove_prefix(2);
  if (text.size() < 2 || text.front() != '"' || text.back() != '"')
    throw malformed_request("If-Match holds no quoted version");
  return parse_number(std::string(text.substr(1, text.size() - 2)), "If-Match");
}

bool is_dry_run(const ApiRequest& request) {
  const std::string value = request.query("dryRun");
  if (value.empty() || value == "false")
    return false;
  if (value == "All" || value == "true")
    return true;
  throw malformed_request("dryRun is '" + value + "', not All or true");
}

rapidjson::Document read_body(const ApiRequest& request) {
  const std::string_view type = request.http().headers.get("Content-Type");
  const std::string_view essence = type.substr(0, type.find(';'));
  if (essence != "application/json" && essence != "application/merge-patch+json")
    throw unsupported_media_type(std::string(type));
  try {
    return releases::parse_document(request.http().body);
  } catch (const json::DecodeError& error) {
    throw malformed_body(error.what());
  }
}

http::Response object_response(const objects::Snapshot& object, int status) {
  http::Response response = http::json_response(status, object.full);
  response.headers.add("ETag", "\"" + std::to_string(object.version) + "\"");
  return response;
}

http::Response success_response(int status) {
  return http::json_response(status, "{\"kind\":\"Status\",\"status\":\"Success\"}");
}

}  // namespace robinhoist::controller
