// What the API says when it refuses: problem+json (RFC 9457).
#pragma once
#include <string>
#include <vector>

#include "http/server.h"
#include "json/reader.h"
#include "json/writer.h"
#include "releases/release.h"

namespace robinhoist::controller {

// `present`: the object's version, told with a 409; 0: none.
inline http::Response problem(int status, const std::string& title, const std::string& detail,
                              const std::vector<releases::Problem>& problems = {},
                              std::int64_t present = 0) {
  json::Writer out;
  out.begin_object()
      .put("type", "about:blank")
      .put("title", title)
      .put("status", status)
      .put("detail", detail);
  if (present > 0)
    out.put("presentVersion", std::to_string(present));
  if (!problems.empty()) {
    out.begin_array("errors");
    for (const releases::Problem& one : problems)
      out.begin_object().put("pointer", one.pointer).put("detail", one.detail).end_object();
    out.end_array();
  }
  http::Response response = http::json_response(status, out.end_object().text());
  response.headers.set("Content-Type", "application/problem+json");
  return response;
}

}  // namespace robinhoist::controller
