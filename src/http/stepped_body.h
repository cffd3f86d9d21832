/// A body type for Beast's parsers.
#pragma once
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace robinhoist::http {

/// A body in a string whose capacity grows by a quarter. Beast's string_body doubles it and
/// reserves the announced length, so that a peer can make it hold much more memory than it sends.
// NOLINTBEGIN(readability-identifier-naming): Beast prescribes these names.
struct SteppedBody {
  using value_type = std::string;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  class reader {
   public:
    using Error = boost::beast::error_code;

    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body) : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, Error& error) { error = {}; }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, Error& error) {
      error = {};
      std::size_t bytes = 0;
      for (auto it = boost::asio::buffer_sequence_begin(buffers);
           it != boost::asio::buffer_sequence_end(buffers); ++it) {
        const boost::asio::const_buffer buffer(*it);
        append(static_cast<const char*>(buffer.data()), buffer.size());
        bytes += buffer.size();
      }
      return bytes;
    }

    void finish(Error& error) { error = {}; }

   private:
    void append(const char* data, std::size_t size) {
      const std::size_t needed = body_.size() + size;
      if (needed > body_.capacity()) {
        std::string grown;  // reserve() of a string that is not empty doubles the capacity
        grown.reserve(std::max(needed, body_.size() + body_.size() / 4));
        grown.append(body_);
        body_.swap(grown);
      }
      body_.append(data, size);
    }

    value_type& body_;
  };
};
// NOLINTEND(readability-identifier-naming): Beast prescribes these names.

}  // namespace robinhoist::http
