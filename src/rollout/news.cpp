#include "rollout/news.h"

#include "json/fields.h"

namespace robinhoist::rollout {

const char* word(RelPhase phase) {
  static const char* const words[] = {"trial", "going-back", "released", "withdrawn"};
  return words[static_cast<int>(phase)];
}

const char* word(Verdict verdict) {
  static const char* const words[] = {"none", "on", "hold", "back"};
  return words[static_cast<int>(verdict)];
}

const char* word(Outcome outcome) {
  static const char* const words[] = {"ok",    "error",     "full", "timeout", "no-connection",
                                      "reset", "cancelled", "moot", "unknown"};
  return words[static_cast<int>(outcome)];
}

std::string encoded(const News& news) {
  return json::Out()
      .open()
      .put("series", news.series)
      .put("version", static_cast<long>(news.version))
      .put("build", news.rel.build)
      .put("stage", news.rel.stage)
      .put("phase", word(news.rel.phase))
      .put("cap", news.rel.cap)
      .put_ms("since_ms", news.rel.since)
      .close()
      .text();
}

News decoded(const std::string& text) {
  auto document = json::object_of(text);
  News news;
  news.series = json::text(document, "series");
  news.version = static_cast<std::int64_t>(json::number(document, "version"));
  news.rel.build = json::whole(document, "build", 0, 65535);
  news.rel.stage = json::whole(document, "stage", 0, 1000);
  news.rel.phase = json::word<RelPhase>(document, "phase",
                                        {{"trial", RelPhase::trial},
                                         {"going-back", RelPhase::going_back},
                                         {"released", RelPhase::released},
                                         {"withdrawn", RelPhase::withdrawn}});
  news.rel.cap = json::number(document, "cap");
  if (!(news.rel.cap >= 0 && news.rel.cap <= 1)) json::mistyped("cap", "a share from 0 to 1");
  news.rel.since = json::time_of(document, "since_ms");
  return news;
}

}  // namespace robinhoist::rollout
