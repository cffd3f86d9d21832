/// Reading HTTP/1.1 messages from buffers, framed by Boost.Beast's parser.
///
/// Each reader consumes the front of a buffer that its caller fills, in pieces of any size.
#pragma once
#include <memory>
#include <string>

#include "http/message.h"

namespace robinhoist::http {

/// How far a message has come.
enum class ParseResult { incomplete, complete, invalid };

/// What is wrong with what a peer sent, and the status that tells it so. Status 0: nothing is.
struct ParseError {
  int status = 0;
  std::string why{};
};

/// Reads one request after another.
class RequestReader {
 public:
  explicit RequestReader(MessageLimits limits);
  ~RequestReader();
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Consumes what it can of the buffer. After `complete`, take() gives the request and the next
  /// read() begins another; after `invalid`, error() says why, and nothing more is read.
  ParseResult read(std::string& input);
  Request take();
  const ParseError& error() const { return error_; }
  /// Whether some of a request has come.
  bool begun() const;
  /// True once for each request whose head asks for "100 Continue" before its body.
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

  /// Has to be called before each response. The response to a HEAD has no body.
  void expect(bool head_only);
  /// As RequestReader::read. `ended`: the peer has closed, which ends a response without a length.
  /// Interim responses (100, 103) are passed over.
  ParseResult read(std::string& input, bool ended = false);
  Response take();
  const ParseError& error() const { return error_; }
  /// Whether some of the response has come.
  bool begun() const { return begun_; }

 private:
  struct Parser;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  ParseError error_{};
  bool begun_ = false;
  bool head_only_ = false;
};

/// Reads the body of an endless response (a watch) as it comes.
class StreamReader {
 public:
  explicit StreamReader(MessageLimits limits);
  ~StreamReader();
  StreamReader(const StreamReader&) = delete;
  StreamReader& operator=(const StreamReader&) = delete;

  /// `complete` at the end of the body.
  ParseResult read(std::string& input);
  /// The response's status; 0 before its head has come.
  int status() const;
  /// The bytes of the body that have come and were not used yet; the caller erases what it has
  /// used.
  std::string& body() { return body_; }

 private:
  struct Parser;
  MessageLimits limits_;
  std::unique_ptr<Parser> parser_;
  std::string body_{};
};

}  // namespace robinhoist::http
