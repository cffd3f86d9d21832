/// A request of the REST API, and the reading of what its routes have in common.
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
  /// Of the object in the path; empty when the path has none.
  std::string name{};
  Caller caller{};

  const http::Request& http() const { return exchange->request; }
  std::string query(const char* parameter) const { return exchange->request.query(parameter); }
};

/// A whole number from a query or header; `what` names it in the ApiError that is thrown.
std::int64_t parse_number(const std::string& text, const char* what);

/// The version in If-Match, "12" or W/"12"; nothing for none and for *. Throws ApiError.
releases::ExpectedVersion expected_version(const ApiRequest& request);

/// Whether nothing shall be changed. Throws ApiError.
bool is_dry_run(const ApiRequest& request);

/// The body, which must be a JSON object. Throws ApiError.
rapidjson::Document read_body(const ApiRequest& request);

/// An object with its version as the ETag.
http::Response object_response(const objects::Snapshot& object, int status);

/// The answer when there is no object to show.
http::Response success_response(int status);

}  // namespace robinhoist::controller
