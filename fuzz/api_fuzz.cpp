// Fuzz target: what clients and proxies read of the controller's API. Creations and patches,
// watches in two pieces, selectors. What is taken must come back the same when it is written and
// read again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "json/reader.h"
#include "releases/follower.h"
#include "releases/release_codec.h"
#include "releases/release_input.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace release = robinhoist::releases;
  const std::string all(reinterpret_cast<const char*>(data), size);
  try {
    const auto body = release::parse_document(all);
    try {
      const std::string text = release::encode(release::parse_creation(body));
      if (release::encode(release::decode(text)) != text)
        std::abort();
    } catch (const release::RequestError&) {
      // Rejected, as it should be.
    }
    release::Release present;
    present.name = "b";
    present.build = 2;
    if (release::apply_patch(present, body).release.build != 2)
      std::abort();
  } catch (const robinhoist::json::DecodeError&) {
    // Rejected, as it should be.
  } catch (const release::RequestError&) {
    // The same.
  }
  try {
    const robinhoist::objects::Selector selector(all, all);
    selector.matches({{"team", "front"}}, {});
  } catch (const robinhoist::objects::SelectorError&) {
    // The same.
  }
  release::Follower follower;
  follower.begin(true);
  std::string in;
  const robinhoist::TimePoint now{robinhoist::Duration(1000000)};
  for (const std::string& piece : {all.substr(0, size / 2), all.substr(size / 2)}) {
    in += piece;
    while (follower.consume_line(in, now) != release::Follower::Line::none) {
    }
    if (auto update = follower.next_update(now);
        update && !(update->release.cap >= 0 && update->release.cap <= 1))
      std::abort();
  }
  return 0;
}
