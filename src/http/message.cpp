#include "http/message.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <limits>
#include <optional>

namespace robinhoist::http {
namespace beast = boost::beast::http;
namespace {

using Error = boost::beast::error_code;

std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// Feeds a parser with the front of a buffer, head and body apart: going on eagerly from one to the
// other, it forgets that the body is over the limit, makes room for all that was claimed, and reads
// on.
template <class P>
void feed(P& parser, std::string& in, std::size_t most, Error& error) {
  std::size_t at = 0;
  do {
    error = {};
    if (parser.is_header_done()) {
      if (parser.content_length().value_or(0) > most)
        error = beast::error::body_limit;
      if (error)
        break;
      parser.eager(true);
    }
    std::size_t used = parser.put(boost::asio::buffer(in.data() + at, in.size() - at), error);
    at += used;
    if (error || used == 0)
      break;
  } while (!parser.is_done() && at < in.size());
  in.erase(0, at);
}

ParseError parse_error_of(const Error& error) {
  if (error == beast::error::body_limit)
    return {413, "the body is larger than allowed"};
  if (error == beast::error::header_limit)
    return {431, "the head is larger than allowed"};
  if (error == beast::error::bad_version)
    return {505, "not HTTP/1.0 or HTTP/1.1"};
  return {400, error.message()};
}

template <class Message>
void copy_headers(const Message& from, Headers& to) {
  for (auto& field : from)
    to.add(view(field.name_string()), view(field.value()));
}

void serialize_headers(std::string& out, const Headers& headers) {
  for (auto& [name, value] : headers.all()) {
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
  }
}

void serialize_status(std::string& out, const Response& response) {
  out += "HTTP/1.1 ";
  out += std::to_string(response.status);
  out += ' ';
  out += reason(response.status);
  out += "\r\n";
  serialize_headers(out, response.headers);
  if (!response.keep_alive)
    out += "Connection: close\r\n";
}

bool bodiless(int status) {
  return status < 200 || status == 204 || status == 304;
}

}  // namespace

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) {
           return std::tolower(x) == std::tolower(y);
         });
}

void Headers::set(std::string_view name, std::string_view value) {
  all_.erase(std::remove_if(all_.begin(), all_.end(),
                            [&](auto& h) { return equals_ignoring_case(h.first, name); }),
             all_.end());
  add(name, value);
}

std::string_view Headers::get(std::string_view name) const {
  for (auto& [key, value] : all_)
    if (equals_ignoring_case(key, name))
      return value;
  return {};
}

bool Headers::has(std::string_view name) const {
  return std::any_of(all_.begin(), all_.end(),
                     [&](auto& h) { return equals_ignoring_case(h.first, name); });
}

std::string percent_decoded(std::string_view text) {
  auto digit = [](char c) { return std::isxdigit(static_cast<unsigned char>(c)) != 0; };
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && digit(text[i + 1]) && digit(text[i + 2])) {
      out += static_cast<char>(std::stoi(std::string(text.substr(i + 1, 2)), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

std::string Request::query(std::string_view name) const {
  std::size_t at = target.find('?');
  while (at != std::string::npos && at + 1 < target.size()) {
    std::size_t end = target.find('&', at + 1);
    std::string_view pair =
        std::string_view(target).substr(at + 1, end == std::string::npos ? end : end - at - 1);
    std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name)
      return equals == std::string_view::npos ? "" : percent_decoded(pair.substr(equals + 1));
    at = end;
  }
  return {};
}

std::string_view reason(int status) {
  return view(beast::obsolete_reason(beast::int_to_status(static_cast<unsigned>(status))));
}

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
    out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  out += "\r\n";
  out += request.body;
}

void serialize(std::string& out, const Response& response, bool head_only) {
  serialize_status(out, response);
  if (!bodiless(response.status))
    out += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
  out += "\r\n";
  if (!head_only && !bodiless(response.status))
    out += response.body;
}

void serialize_head(std::string& out, const Response& response) {
  serialize_status(out, response);
  out += "Transfer-Encoding: chunked\r\n\r\n";
}

void serialize_chunk(std::string& out, std::string_view piece) {
  if (piece.empty())
    return;
  char size[20];
  int length = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
  out.append(size, static_cast<std::size_t>(length));
  out += piece;
  out += "\r\n";
}

void serialize_last_chunk(std::string& out) {
  out += "0\r\n\r\n";
}

void copy_end_to_end(const Headers& from, Headers& to) {
  static constexpr std::string_view hop[] = {"Connection",
                                             "Keep-Alive",
                                             "Proxy-Connection",
                                             "TE",
                                             "Trailer",
                                             "Transfer-Encoding",
                                             "Upgrade",
                                             "Host",
                                             "Expect",
                                             "Content-Length",
                                             "Proxy-Authorization",
                                             "Proxy-Authenticate"};
  std::string_view named = from.get("Connection");
  for (auto& [name, value] : from.all()) {
    bool skip = std::any_of(std::begin(hop), std::end(hop),
                            [&, &key = name](auto h) { return equals_ignoring_case(h, key); });
    // A field that Connection names belongs to the hop too.
    for (std::size_t at = 0; !skip && at < named.size();) {
      std::size_t end = std::min(named.find(',', at), named.size());
      std::string_view word = named.substr(at, end - at);
      while (!word.empty() && word.front() == ' ')
        word.remove_prefix(1);
      while (!word.empty() && word.back() == ' ')
        word.remove_suffix(1);
      skip = equals_ignoring_case(word, name);
      at = end + 1;
    }
    if (!skip)
      to.add(name, value);
  }
}

// Requests

struct RequestReader::Parser {
  std::optional<beast::request_parser<beast::string_body>> of{};
  bool begun = false, told_to_go_on = false;
};

RequestReader::RequestReader(MessageLimits limits)
    : limits_(limits), parser_(std::make_unique<Parser>()) {}
RequestReader::~RequestReader() = default;
bool RequestReader::begun() const {
  return parser_->begun;
}

ParseResult RequestReader::read(std::string& in) {
  if (error_.status != 0)
    return ParseResult::invalid;
  auto& parser = parser_->of;
  if (!parser) {
    // Empty lines before a request are to be passed over (RFC 9112, 2.2).
    std::size_t blank = 0;
    while (in.compare(blank, 2, "\r\n") == 0)
      blank += 2;
    in.erase(0, blank);
    if (in.empty())
      return ParseResult::incomplete;
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser->body_limit(limits_.max_body_bytes);
    parser_->begun = true;
    parser_->told_to_go_on = false;
  }
  if (in.empty())
    return ParseResult::incomplete;
  Error error;
  feed(*parser, in, limits_.max_body_bytes, error);
  if (error == beast::error::need_more) {
    // What the parser leaves is one line without its end, of the head or before a chunk: guards
    // against one that never ends.
    if (in.size() <= limits_.max_header_bytes)
      return ParseResult::incomplete;
    error = beast::error::header_limit;
  }
  if (error) {
    error_ = parse_error_of(error);
    return ParseResult::invalid;
  }
  if (parser->is_header_done()) {
    // Guards against two readings of where a request ends (RFC 9112, 6.1): one could hide another
    // in it.
    auto& message = parser->get();
    if (message.count(beast::field::transfer_encoding) > 0 &&
        (!parser->chunked() || message.count(beast::field::content_length) > 0)) {
      error_ = {400, "where the body ends is not clear"};
      return ParseResult::invalid;
    }
  }
  return parser->is_done() ? ParseResult::complete : ParseResult::incomplete;
}

bool RequestReader::wants_continue() {
  auto& parser = parser_->of;
  if (!parser || parser_->told_to_go_on || !parser->is_header_done() || parser->is_done())
    return false;
  auto& message = parser->get();
  if (message.version() < 11 ||
      !equals_ignoring_case(view(message[beast::field::expect]), "100-continue"))
    return false;
  return parser_->told_to_go_on = true;
}

Request RequestReader::take() {
  auto message = parser_->of->release();
  parser_->of.reset();
  parser_->begun = false;
  Request request;
  request.method = view(message.method_string());
  request.target = view(message.target());
  request.keep_alive = message.keep_alive();
  copy_headers(message, request.headers);
  request.body = std::move(message.body());
  return request;
}

// Responses

struct ResponseReader::Parser {
  std::optional<beast::response_parser<beast::string_body>> of{};
};

ResponseReader::ResponseReader(MessageLimits limits)
    : limits_(limits), parser_(std::make_unique<Parser>()) {}
ResponseReader::~ResponseReader() = default;

void ResponseReader::expect(bool head_only) {
  head_only_ = head_only;
  begun_ = false;
  error_ = {};
  parser_->of.emplace();
  parser_->of->header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
  parser_->of->body_limit(limits_.max_body_bytes);
  if (head_only)
    parser_->of->skip(true);
}

ParseResult ResponseReader::read(std::string& in, bool ended) {
  if (error_.status != 0)
    return ParseResult::invalid;
  auto& parser = *parser_->of;
  Error error;
  if (!in.empty()) {
    begun_ = true;
    feed(parser, in, limits_.max_body_bytes, error);
    if (error == beast::error::need_more) {
      error = {};
      if (in.size() > limits_.max_header_bytes)
        error = beast::error::header_limit;
    }
  }
  if (!error && ended && !parser.is_done())
    parser.put_eof(error);
  if (error) {
    error_ = parse_error_of(error);
    return ParseResult::invalid;
  }
  if (limits_.require_length && parser.is_header_done() && parser.need_eof()) {
    error_ = {400, "an answer without a length"};
    return ParseResult::invalid;
  }
  if (!parser.is_done())
    return ParseResult::incomplete;
  // An interim answer (100, 103) is not the answer.
  if (unsigned status = parser.get().result_int(); status >= 100 && status < 200 && status != 101) {
    expect(head_only_);
    return in.empty() ? ParseResult::incomplete : read(in, ended);
  }
  return ParseResult::complete;
}

Response ResponseReader::take() {
  auto message = parser_->of->release();
  parser_->of.reset();
  Response response;
  response.status = static_cast<int>(message.result_int());
  response.keep_alive = message.keep_alive();
  copy_headers(message, response.headers);
  response.body = std::move(message.body());
  return response;
}

// Streams

struct StreamReader::Parser {
  beast::response_parser<beast::string_body> of{};
};

StreamReader::StreamReader(MessageLimits limits)
    : limits_(limits), parser_(std::make_unique<Parser>()) {
  parser_->of.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  // No limit on all pieces together; none at all would read as less than any length (Beast 1.74).
  parser_->of.body_limit(std::numeric_limits<std::uint64_t>::max());
}
StreamReader::~StreamReader() = default;

int StreamReader::status() const {
  return parser_->of.is_header_done() ? static_cast<int>(parser_->of.get().result_int()) : 0;
}

ParseResult StreamReader::read(std::string& in) {
  Error error;
  if (!in.empty())
    feed(parser_->of, in, limits_.max_body_bytes, error);
  if (error && error != beast::error::need_more)
    return ParseResult::invalid;
  if (in.size() > limits_.max_header_bytes)
    return ParseResult::invalid;  // one line without its end
  if (parser_->of.is_header_done()) {
    body_ += parser_->of.get().body();
    parser_->of.get().body().clear();
  }
  return parser_->of.is_done() ? ParseResult::complete : ParseResult::incomplete;
}

}  // namespace robinhoist::http
