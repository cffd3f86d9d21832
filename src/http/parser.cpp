#include "http/parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <iterator>
#include <limits>
#include <optional>
#include <utility>

#include "http/stepped_body.h"

namespace robinhoist::http {
namespace beast = boost::beast::http;
namespace {

using Error = boost::beast::error_code;

// Links, lengths and separators that Beast stores beside the text of a header field.
constexpr std::size_t header_field_overhead = 80;

std::string_view view(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

// Feeds a parser from the front of a buffer. The header section is fed separately from the body: if
// both were fed in one call, Beast would lose the error that the body exceeds the limit, allocate
// the whole announced length and go on reading.
template <class BeastParser>
Error feed_header(BeastParser& parser, std::string& input) {
  Error error;
  if (parser.is_header_done() || input.empty())
    return error;
  input.erase(0, parser.put(boost::asio::buffer(input), error));
  return error;
}

template <class BeastParser>
Error feed_body(BeastParser& parser, std::string& input, std::size_t max_body_bytes) {
  Error error;
  if (!parser.is_header_done() || parser.is_done())
    return error;
  if (parser.content_length().value_or(0) > max_body_bytes)
    return beast::error::body_limit;
  parser.eager(true);
  std::size_t consumed = 0;
  while (!parser.is_done() && consumed < input.size()) {
    error = {};
    const std::size_t used =
        parser.put(boost::asio::buffer(input.data() + consumed, input.size() - consumed), error);
    consumed += used;
    if (error || used == 0)
      break;
  }
  input.erase(0, consumed);
  return error;
}

template <class BeastParser>
Error feed(BeastParser& parser, std::string& input, std::size_t max_body_bytes) {
  const Error error = feed_header(parser, input);
  return error ? error : feed_body(parser, input, max_body_bytes);
}

template <class BeastParser>
bool has_too_many_fields(const BeastParser& parser, const MessageLimits& limits) {
  const auto& message = parser.get();
  const auto fields = std::distance(message.begin(), message.end());
  return static_cast<std::size_t>(fields) > limits.max_header_fields;
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
  for (const auto& field : from)
    to.add(view(field.name_string()), view(field.value()));
}

template <class BeastParser>
void set_limits(BeastParser& parser, const MessageLimits& limits) {
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  parser.body_limit(limits.max_body_bytes);
}

// The heap memory of the message that a parser has read so far. Beast keeps each header field in a
// block of its own.
template <class BeastParser>
std::size_t memory_of(const std::optional<BeastParser>& parser) {
  if (!parser)
    return 0;
  const auto& message = parser->get();
  std::size_t bytes = robinhoist::heap_bytes(message.body());
  for (const auto& field : message)
    bytes += field.name_string().size() + field.value().size() + header_field_overhead;
  return bytes;
}

// Skips empty lines before a request (RFC 9112, 2.2) and returns their number.
std::size_t skip_empty_lines(std::string& input) {
  std::size_t blank = 0;
  while (input.compare(blank, 2, "\r\n") == 0)
    blank += 2;
  input.erase(0, blank);
  return blank / 2;
}

}  // namespace

// The request that is being read. Its header fields are taken out of Beast's message once they are
// complete, so that the fields found there afterwards are the trailers.
struct RequestReader::Parser {
  explicit Parser(const MessageLimits& limits) : limits(limits) {}

  void begin() {
    request = {};
    empty_lines = 0;
    header_taken = false;
    begun = true;
    expects_continue = false;
    rule_error.reset();
    beast_parser.emplace();
    set_limits(*beast_parser, limits);
    beast_parser->on_chunk_header(on_chunk_header);
  }

  Error feed(std::string& input) {
    if (const Error error = check_header_lines(input))
      return error;
    if (const Error error = feed_header(*beast_parser, input))
      return error;
    if (beast_parser->is_header_done() && !header_taken)
      if (const Error error = take_header())
        return error;
    unparsed_body = input;
    if (const Error error = feed_body(*beast_parser, input, limits.max_body_bytes))
      return error;
    return beast_parser->is_done() ? take_body_and_trailers() : Error{};
  }

  // Beast reads a header section once it is complete. Its lines are checked before, as received,
  // because Beast unfolds them.
  Error check_header_lines(const std::string& input) {
    const std::size_t end = input.find("\r\n\r\n");
    if (header_taken || end == std::string::npos)
      return {};
    if (const auto error = check_field_lines(std::string_view(input).substr(0, end)))
      return broken_rule(*error);
    return {};
  }

  // Moves the request line and the header fields out of Beast's message.
  Error take_header() {
    auto& message = beast_parser->get();
    if (has_too_many_fields(*beast_parser, limits))
      return beast::error::header_limit;
    request.method = view(message.method_string());
    request.target = view(message.target());
    request.version = message.version();
    request.keep_alive = message.keep_alive();
    copy_headers(message, request.headers);
    if (const auto error = check_header(request))
      return broken_rule(*error);
    expects_continue = message.version() >= 11 &&
                       equals_ignoring_case(view(message[beast::field::expect]), "100-continue");
    message.clear();
    header_taken = true;
    return {};
  }

  Error take_body_and_trailers() {
    auto& message = beast_parser->get();
    request.body = std::move(message.body());
    if (has_too_many_fields(*beast_parser, limits))
      return beast::error::header_limit;
    copy_headers(message, request.trailers);
    if (const auto error = check_trailers(request.trailers))
      return broken_rule(*error);
    return {};
  }

  // Beast parses the trailers together with the last chunk, whose extensions it passes as a view
  // into the input. They are checked as received, because Beast unfolds them.
  void check_trailers_behind(boost::beast::string_view extensions, Error& error) {
    const std::size_t begin =
        static_cast<std::size_t>(extensions.data() - unparsed_body.data()) + extensions.size();
    const std::size_t end = unparsed_body.find("\r\n\r\n", begin);
    if (const auto violation = check_field_lines(unparsed_body.substr(begin, end - begin)))
      error = broken_rule(*violation);
  }

  // Keeps the reason of an error that is not Beast's.
  Error broken_rule(ParseError error) {
    rule_error = std::move(error);
    return beast::error::bad_value;
  }

  MessageLimits limits;
  std::optional<beast::request_parser<SteppedBody>> beast_parser{};
  Request request{};
  std::size_t empty_lines = 0;  // before the request
  bool header_taken = false;
  bool begun = false;
  bool expects_continue = false;
  std::string_view unparsed_body{};  // while it is being parsed
  std::optional<ParseError> rule_error{};
  std::function<void(std::uint64_t, boost::beast::string_view, Error&)> on_chunk_header =
      [this](std::uint64_t size, boost::beast::string_view extensions, Error& error) {
        if (size == 0)
          check_trailers_behind(extensions, error);
      };
};

RequestReader::RequestReader(MessageLimits limits)
    : limits_(limits), parser_(std::make_unique<Parser>(limits)) {}

RequestReader::~RequestReader() = default;

bool RequestReader::begun() const {
  return parser_->begun;
}

void RequestReader::discard() {
  parser_->beast_parser.reset();
  parser_->request = {};
  parser_->begun = false;
}

std::size_t RequestReader::memory() const {
  return heap_bytes(parser_->request) + memory_of(parser_->beast_parser);
}

ParseResult RequestReader::read(std::string& input) {
  if (error_.status != 0)
    return ParseResult::invalid;
  if (!parser_->beast_parser) {
    parser_->empty_lines += skip_empty_lines(input);
    if (parser_->empty_lines > limits_.max_empty_lines) {
      error_ = {400, "too many empty lines before the request"};
      return ParseResult::invalid;
    }
    if (input.empty())
      return ParseResult::incomplete;
    parser_->begin();
  }
  Error error = parser_->feed(input);
  if (error == beast::error::need_more) {
    // The unparsed rest is one incomplete line, of the header section or before a chunk. Its length
    // is limited.
    if (input.size() <= limits_.max_header_bytes)
      return ParseResult::incomplete;
    error = beast::error::header_limit;
  }
  if (error) {
    error_ = parser_->rule_error.value_or(parse_error_of(error));
    return ParseResult::invalid;
  }
  return parser_->beast_parser->is_done() ? ParseResult::complete : ParseResult::incomplete;
}

bool RequestReader::wants_continue() {
  const bool body_is_missing = parser_->beast_parser && !parser_->beast_parser->is_done();
  return body_is_missing && std::exchange(parser_->expects_continue, false);
}

Request RequestReader::take() {
  parser_->beast_parser.reset();
  parser_->begun = false;
  return std::exchange(parser_->request, {});
}

// The header fields are taken out of Beast's message once they are complete; those found there
// afterwards are trailers, which are dropped.
struct ResponseReader::Parser {
  std::optional<beast::response_parser<SteppedBody>> beast_parser{};
  Response response{};
  bool header_taken = false;
  ParseError rule_error{};

  void clear() {
    beast_parser.reset();
    response = {};
    header_taken = false;
    rule_error = {};
  }

  Error feed(std::string& input, const MessageLimits& limits) {
    if (const Error error = feed_header(*beast_parser, input))
      return error;
    if (beast_parser->is_header_done() && !header_taken)
      if (const Error error = take_header(limits))
        return error;
    const Error error = feed_body(*beast_parser, input, limits.max_body_bytes);
    return !error && has_too_many_fields(*beast_parser, limits) ? beast::error::header_limit
                                                                : error;
  }

  Error take_header(const MessageLimits& limits) {
    auto& message = beast_parser->get();
    if (has_too_many_fields(*beast_parser, limits))
      return beast::error::header_limit;
    response.status = static_cast<int>(message.result_int());
    response.keep_alive = message.keep_alive();
    copy_headers(message, response.headers);
    message.clear();
    header_taken = true;
    if (const auto error = check_framing(response.headers, message.version())) {
      rule_error = *error;
      return beast::error::bad_value;
    }
    return {};
  }

  bool is_interim() const {
    return header_taken && response.status >= 100 && response.status < 200 &&
           response.status != 101;
  }
};

ResponseReader::ResponseReader(MessageLimits limits)
    : limits_(limits), parser_(std::make_unique<Parser>()) {}

ResponseReader::~ResponseReader() = default;

std::size_t ResponseReader::memory() const {
  return heap_bytes(parser_->response.headers) + memory_of(parser_->beast_parser);
}

void ResponseReader::expect(bool head_only) {
  head_only_ = head_only;
  begun_ = false;
  error_ = {};
  parser_->clear();
  auto& parser = parser_->beast_parser;
  parser.emplace();
  set_limits(*parser, limits_);
  if (head_only)
    parser->skip(true);
}

ParseResult ResponseReader::read(std::string& input, bool ended) {
  if (error_.status != 0)
    return ParseResult::invalid;
  auto& parser = *parser_->beast_parser;
  Error error;
  if (!input.empty()) {
    begun_ = true;
    error = parser_->feed(input, limits_);
    if (error == beast::error::need_more) {
      error = {};
      if (input.size() > limits_.max_header_bytes)
        error = beast::error::header_limit;
    }
  }
  if (!error && ended && !parser.is_done())
    parser.put_eof(error);
  if (error) {
    error_ = parser_->rule_error.status != 0 ? parser_->rule_error : parse_error_of(error);
    return ParseResult::invalid;
  }
  if (limits_.require_length && parser.is_header_done() && parser.need_eof()) {
    error_ = {400, "an answer without a length"};
    return ParseResult::invalid;
  }
  if (!parser.is_done())
    return ParseResult::incomplete;
  if (!parser_->is_interim())
    return ParseResult::complete;
  expect(head_only_);
  return input.empty() ? ParseResult::incomplete : read(input, ended);
}

Response ResponseReader::take() {
  Response response = std::move(parser_->response);
  response.body = std::move(parser_->beast_parser->get().body());
  parser_->clear();
  return response;
}

struct StreamReader::Parser {
  beast::response_parser<beast::string_body> beast_parser{};
};

StreamReader::StreamReader(MessageLimits limits)
    : limits_(limits), parser_(std::make_unique<Parser>()) {
  auto& parser = parser_->beast_parser;
  parser.header_limit(static_cast<std::uint32_t>(limits.max_header_bytes));
  // The body is unlimited. In Beast 1.74 boost::none would compare as less than any length, so the
  // limit is the largest integer.
  parser.body_limit(std::numeric_limits<std::uint64_t>::max());
}

StreamReader::~StreamReader() = default;

int StreamReader::status() const {
  const auto& parser = parser_->beast_parser;
  return parser.is_header_done() ? static_cast<int>(parser.get().result_int()) : 0;
}

ParseResult StreamReader::read(std::string& input) {
  auto& parser = parser_->beast_parser;
  if (!input.empty()) {
    const Error error = feed(parser, input, limits_.max_body_bytes);
    if (error && error != beast::error::need_more)
      return ParseResult::invalid;
  }
  if (input.size() > limits_.max_header_bytes)
    return ParseResult::invalid;  // an incomplete line that is too long
  if (parser.is_header_done()) {
    body_ += parser.get().body();
    parser.get().body().clear();
  }
  return parser.is_done() ? ParseResult::complete : ParseResult::incomplete;
}

}  // namespace robinhoist::http
