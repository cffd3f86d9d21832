// The news of a release as JSON, for the way from the controller to the umpires.
#pragma once
#include <cstdint>
#include <string>

#include "state.h"

namespace robinhoist::rollout {

struct News {
  std::string series{};  // of versions, as in the node list
  std::int64_t version = 0;
  RelNews rel{};
};

std::string encoded(const News& news);
News decoded(const std::string& text);  // throws json::BadInput
const char* word(RelPhase phase);
const char* word(Verdict verdict);
const char* word(Outcome outcome);

}  // namespace robinhoist::rollout
