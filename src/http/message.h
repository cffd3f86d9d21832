// HTTP/1.1 messages (RFC 9110, 9112) as plain values, and their framing on plain buffers by
// Boost.Beast's parser. No sockets here.
#pragma once
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace robinhoist::http {

class Headers {
 public:
  void add(std::string_view name, std::string_view value) { all_.emplace_back(name, value); }
  void set(std::string_view name, std::string_view value);
  // The first of that name, whatever its case; empty when there is none.
  std::string_view get(std::string_view name) const;
  bool has(std::string_view name) const;
  void clear() { all_.clear(); }
  const std::vector<std::pair<std::string, std::string>>& all() const { return all_; }

 private:
  std::vector<std::pair<std::string, std::string>> all_{};
};

struct Request {
  std::string method{"GET"}, target{"/"}, body{};
  Headers headers{};
  bool keep_alive = true;

  std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
  // The value of a query parameter, percent-decoded; empty when there is none.
  std::string query(std::string_view name) const;
};

struct Response {
  int status = 200;
  Headers headers{};
  std::string body{};
  bool keep_alive = true;
};

struct MessageLimits {
  std::size_t max_header_bytes = 16 * 1024, max_body_bytes = 1024 * 1024;  // bytes
  bool require_length =
      false;  // an answer whose end is only the connection's is none: it can't be told from a part
};

std::string_view reason(int status);
bool equals_ignoring_case(std::string_view a, std::string_view b);  // whatever the case
std::string percent_decoded(std::string_view text);

// Appends a message; the length is stated unless the status has no body.
void serialize(std::string& out, const Request& request, std::string_view host);
void serialize(std::string& out, const Response& response, bool head_only);
// Chunked: a head first, then each piece, then the end.
void serialize_head(std::string& out, const Response& response);
void serialize_chunk(std::string& out, std::string_view piece);
void serialize_last_chunk(std::string& out);

// Copies what belongs to the message itself and not to the hop (RFC 9110, 7.6.1).
void copy_end_to_end(const Headers& from, Headers& to);

enum class ParseResult { incomplete, complete, invalid };

// What is wrong with what a peer sent, and the status that tells it so.
struct ParseError {
  int status = 0;
  std::string why{};
};

// Reads one request after another from a buffer whose front it consumes.
class RequestReader {
 public:
  explicit RequestReader(MessageLimits limits);
  ~RequestReader();
  // After `whole`, take() gives the request and the next read() begins another.
  ParseResult read(std::string& in);
  Request take();
  const ParseError& error() const { return error_; }
  bool begun() const;     // some of a message has come
  bool wants_continue();  // true once, when the head asks to be told to go on
 private:
  struct Parser;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  ParseError error_{};
};

class ResponseReader {
 public:
  explicit ResponseReader(MessageLimits limits);
  ~ResponseReader();
  // Before each answer; the answer to a HEAD has no body.
  void expect(bool head_only);
  // `ended`: the peer has closed, which ends an answer without a length.
  ParseResult read(std::string& in, bool ended = false);
  Response take();
  const ParseError& error() const { return error_; }
  bool begun() const { return begun_; }  // some of the answer has come

 private:
  struct Parser;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  ParseError error_{};
  bool begun_ = false, head_only_ = false;
};

// Reads chunks of an endless answer (a watch) as they come: bytes of body, not messages.
class StreamReader {
 public:
  explicit StreamReader(MessageLimits limits);
  ~StreamReader();
  ParseResult read(std::string& in);  // `whole` at the end
  int status() const;                 // 0 before the head
  std::string& body() { return body_; }

 private:
  struct Parser;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  std::string body_{};
};

}  // namespace robinhoist::http
