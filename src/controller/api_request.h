/// A request of the REST API, and the parsing that its routes have in common.
#pragma once
#include <rapidjson/document.h>

#include <cstdint>
#include <string>

#include "controller/tokens.h"
#include "http/server.h"
#include "releases/catalog.h"

namespace robinhoist::controller {

struct ApiRequest {
  http::ExchangePtr exchange;
  /// The name of the object in the path; empty if the path has none.
  std::string name{};
  Caller caller{};

  const http::Request& http() const { return exchange->request; }
  std::string query(const char* parameter) const { return exchange->request.query(parameter); }
};

/// Parses a whole number from a query parameter or header. Throws an ApiError that calls it `what`.
std::int64_t parse_number(const std::string& text, const char* what);

/// The version in If-Match, "12" or W/"12"; no value if the header is absent or *. Throws ApiError.
releases::ExpectedVersion expected_version(const ApiRequest& request);

/// Whether the request is a dry run, which changes nothing. Throws ApiError.
bool is_dry_run(const ApiRequest& request);

/// Parses the body, which must be a JSON object. Throws ApiError.
rapidjson::Document read_body(const ApiRequest& request);

/// A response that contains an object, with its version as the ETag.
http::Response object_response(const objects::Snapshot& object, int status);

/// The response for a successful request without an object to return.
http::Response success_response(int status);

}  // namespace robinhoist::controller
