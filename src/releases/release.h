// The release object of the API: its shape, what may be written to it, and how it reads as JSON.
// Free of I/O and clocks. Times are wall clock, in ms since 1970; shares are 0 to 1.
//
// Like a Kubernetes object it has metadata (name, uid, generation, resourceVersion, labels,
// finalizers), a spec that its author writes and a status that only the controller writes.
// `generation` grows with the spec.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "json/reader.h"
#include "objects/store.h"

namespace robinhoist::releases {

// What is wrong with one field of what a client sent: a JSON pointer (RFC 6901) and words.
struct Problem {
  std::string pointer, detail;
};

struct Condition {
  std::string type{}, reason{}, message{};
  bool status = false;
  std::int64_t at_ms = 0;  // when it last turned
  bool operator==(const Condition&) const = default;
};

struct Stage {
  double share = 0, cap = 0;
  std::string state{};  // done, running, next, waiting for steps, not reached
  bool operator==(const Stage&) const = default;
};

// What one proxy has said: of the cap that it keeps to, and its vote.
struct ProxyReport {
  std::string proxy{}, vote{};
  int stage = -1;
  std::optional<double> cap{};
  std::int64_t at_ms = 0;
  bool operator==(const ProxyReport&) const = default;
};

struct StepSeen {
  std::string id{}, phase{}, state{};
  bool operator==(const StepSeen&) const = default;
};

struct Status {
  std::string phase{"pending"};  // pending, canary, going-back, withdrawn, released
  int stage = 0;
  double cap = 0;
  std::int64_t since_ms = 0;
  bool held = false;
  std::string why{};  // of the last change
  std::int64_t observed_generation = 0;
  int machines = 0, machines_up = 0;
  std::vector<Stage> stages{};
  std::vector<ProxyReport> proxies{};
  std::vector<StepSeen> steps{};  // of its plan, in the order in which they run
  std::vector<Condition> conditions{};
  // Sets a condition; its time moves only when it turns.
  void condition(const std::string& type, bool status, const std::string& reason,
                 const std::string& message, std::int64_t now_ms);
  bool operator==(const Status&) const = default;
};

struct Release {
  std::string name{}, uid{};
  std::int64_t generation = 1, version = 0, created_ms = 0, deleting_ms = 0;
  objects::Fields labels{};
  std::vector<std::string> finalizers{};
  int build = 0;
  std::string description{};
  Status status{};
};

// A release whose machines run is not gone before they are.
constexpr const char* machines_run = "robinhoist/machines-run";

// What a client wants made: {metadata: {name, labels}, spec: {build, description}}. The name may be
// left out. Nothing when there are problems.
std::optional<Release> created(const json::Value& body, std::vector<Problem>& problems);
// A merge patch (RFC 7396) on what a client may write; what it may not write must be left out or as
// it is. `version`: the metadata.resourceVersion that the patch names, if it names one.
std::optional<Release> patched(const Release& from, const json::Value& patch,
                               std::optional<std::int64_t>& version,
                               std::vector<Problem>& problems);

std::string encoded(const Release& release);
// Without what changes with each proxy's word: votes, acknowledgements, conditions.
std::string encoded_brief(const Release& release);
Release decoded(const std::string& text);  // what encoded() gave; throws json::DecodeError
objects::SnapshotPtr snapshot(const Release& release);

std::string rfc3339(std::int64_t ms);  // "" for 0

// A document read as strictly as the API needs: throws json::DecodeError on bad syntax or encoding,
// on numbers out of range, and on nesting too deep to be meant.
rapidjson::Document strict(std::string_view text);

}  // namespace robinhoist::releases
