#include "http/serializer.h"

#include <array>
#include <cstdio>

namespace robinhoist::http {
namespace {

void serialize_headers(std::string& out, const Headers& headers) {
  for (const Header& field : headers.all()) {
    out += field.name;
    out += ": ";
    out += field.value;
    out += "\r\n";
  }
}

void serialize_status(std::string& out, const Response& response) {
  out += "HTTP/1.1 ";
  out += std::to_string(response.status);
  out += ' ';
  out += reason_phrase(response.status);
  out += "\r\n";
  serialize_headers(out, response.headers);
  if (!response.keep_alive)
    out += "Connection: close\r\n";
}

void serialize_length(std::string& out, std::size_t length) {
  out += "Content-Length: ";
  out += std::to_string(length);
  out += "\r\n";
}

bool has_no_body(int status) {
  return status < 200 || status == 204 || status == 304;
}

}  // namespace

void serialize(std::string& out, const Request& request, std::string_view host) {
  out += request.method;
  out += ' ';
  out += request.target;
  out += " HTTP/1.1\r\nHost: ";
  out += host;
  out += "\r\n";
  serialize_headers(out, request.headers);
  if (!request.keep_alive)
    out += "Connection: close\r\n";
  if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
    serialize_length(out, request.body.size());
  out += "\r\n";
  out += request.body;
}

void serialize(std::string& out, const Response& response, bool head_only) {
  serialize_status(out, response);
  if (!has_no_body(response.status))
    serialize_length(out, response.body.size());
  out += "\r\n";
  if (!head_only && !has_no_body(response.status))
    out += response.body;
}

void serialize_head(std::string& out, const Response& response) {
  serialize_status(out, response);
  out += "Transfer-Encoding: chunked\r\n\r\n";
}

void serialize_chunk(std::string& out, std::string_view bytes) {
  if (bytes.empty())
    return;
  std::array<char, 20> size{};
  const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  out.append(size.data(), static_cast<std::size_t>(length));
  out += bytes;
  out += "\r\n";
}

void serialize_last_chunk(std::string& out) {
  out += "0\r\n\r\n";
}

}  // namespace robinhoist::http
