// Fuzz target: the HTTP request and response readers, with input that arrives in two pieces, as on
// a socket.
#include <cstddef>
#include <cstdint>
#include <string>

#include "http/message.h"
#include "http/parser.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace http = robinhoist::http;
  if (size < 1)
    return 0;
  const std::string all(reinterpret_cast<const char*>(data) + 1, size - 1);
  const std::size_t cut = all.empty() ? 0 : data[0] % all.size();
  const http::MessageLimits limits{2048, 4096};
  http::RequestReader requests(limits);
  http::ResponseReader responses(limits);
  responses.expect(data[0] & 1);
  std::string in, out;
  for (const std::string& piece : {all.substr(0, cut), all.substr(cut)}) {
    in += piece;
    while (requests.read(in) == http::ParseResult::complete)
      requests.take();
    out += piece;
    while (responses.read(out) == http::ParseResult::complete) {
      http::Headers kept;
      http::copy_end_to_end_headers(responses.take().headers, kept);
      responses.expect(false);
    }
  }
  responses.read(out, true);
  return 0;
}
