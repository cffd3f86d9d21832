// Fuzz target: the parsers of the controller's API: creations, patches, selectors, and a watch that
// arrives in two pieces. An accepted creation must be the same after it is encoded and decoded.
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
      // Invalid input was rejected.
    }
    release::Release present;
    present.name = "b";
    present.build = 2;
    if (release::apply_patch(present, body).release.build != 2)
      std::abort();
  } catch (const robinhoist::json::DecodeError&) {
    // Invalid input was rejected.
  } catch (const release::RequestError&) {
    // Invalid input was rejected.
  }
  try {
    const robinhoist::objects::Selector selector(all, all);
    selector.matches({{"team", "front"}}, {});
  } catch (const robinhoist::objects::SelectorError&) {
    // Invalid input was rejected.
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
