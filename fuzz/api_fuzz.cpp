// Fuzz target: what clients and proxies read of the controller's API. Creations and patches,
// watches in two pieces, selectors. What is taken must come back the same when it is written and
// read again.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "json/reader.h"
#include "releases/follower.h"
#include "releases/release.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  namespace release = robinhoist::releases;
  const std::string all(reinterpret_cast<const char*>(data), size);
  try {
    const auto body = release::strict(all);
    std::vector<release::Problem> problems;
    if (auto made = release::created(body, problems)) {
      const std::string text = release::encoded(*made);
      if (release::encoded(release::decoded(text)) != text)
        std::abort();
    }
    problems.clear();
    std::optional<std::int64_t> version;
    release::Release from;
    from.name = "b";
    from.build = 2;
    if (auto patched = release::patched(from, body, version, problems);
        patched && patched->build != 2)
      std::abort();
  } catch (const robinhoist::json::DecodeError&) {
    // Refused, as it should be.
  }
  try {
    const robinhoist::objects::Selector selector(all, all);
    selector.takes({{"team", "front"}}, {});
  } catch (const robinhoist::objects::BadSelector&) {
    // The same.
  }
  release::Follower follower;
  follower.begins(true);
  std::string in;
  const robinhoist::TimePoint now{robinhoist::Duration(1000000)};
  for (const std::string& piece : {all.substr(0, size / 2), all.substr(size / 2)}) {
    in += piece;
    while (follower.take(in, now) != release::Follower::Line::none) {
    }
    if (auto news = follower.news(now); news && !(news->release.cap >= 0 && news->release.cap <= 1))
      std::abort();
  }
  return 0;
}
