/// Readers of HTTP/1.1 messages, based on Boost.Beast's parser.
///
/// Each reader consumes bytes from the front of a buffer, which its caller fills in pieces of any
/// size.
#pragma once
#include <memory>
#include <string>

#include "http/message.h"
#include "http/request_rules.h"

namespace robinhoist::http {

/// The state of the message being parsed.
enum class ParseResult { incomplete, complete, invalid };

/// Reads consecutive requests of one connection.
class RequestReader {
 public:
  explicit RequestReader(MessageLimits limits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Consumes as much of the buffer as it can parse. After `complete`, take() returns the request
  /// and the next read() begins another; after `invalid`, error() gives the reason and nothing more
  /// is read.
  ParseResult read(std::string& input);
  Request take();
  const ParseError& error() const { return error_; }
  /// Whether a part of a request has been read.
  bool begun() const;
  /// Releases the part of a request that has been read. Nothing more may be read afterwards.
  void discard();
  /// The heap memory of the part of a request that has been read.
  std::size_t memory() const;
  /// True once for each request that expects "100 Continue" before it sends its body.
  bool wants_continue();

 private:
  struct Parser;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  ParseError error_{};
};

/// Reads the response to one request at a time.
class ResponseReader {
 public:
  explicit ResponseReader(MessageLimits limits);
  ~ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Must be called before each response is read. `head_only`: the request was a HEAD, so the
  /// response has no body.
  void expect(bool head_only);
  /// As RequestReader::read(). `ended`: the peer has closed the connection, which ends a response
  /// without a length. Interim responses (100, 103) are skipped.
  ParseResult read(std::string& input, bool ended = false);
  Response take();
  const ParseError& error() const { return error_; }
  /// Whether a part of the response has been read.
  bool begun() const { return begun_; }
  /// The heap memory of the part of the response that has been read.
  std::size_t memory() const;

 private:
  struct Parser;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  ParseError error_{};
  bool begun_ = false;
  bool head_only_ = false;
};

/// Reads the body of a streaming response (a watch) as it arrives.
class StreamReader {
 public:
  explicit StreamReader(MessageLimits limits);
  ~StreamReader();
  StreamReader(const StreamReader&) = delete;
  StreamReader& operator=(const StreamReader&) = delete;

  /// Returns `complete` at the end of the body.
  ParseResult read(std::string& input);
  /// The status code of the response; 0 before its header section has been read.
  int status() const;
  /// The bytes of the body received so far; the caller erases those that it has processed.
  std::string& body() { return body_; }

 private:
  struct Parser;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  std::string body_{};
};

}  // namespace robinhoist::http
