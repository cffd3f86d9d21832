#include "proxy/mode_names.h"

#include <array>
#include <cstdio>

namespace robinhoist::proxy {
namespace {

const char* api_name(Verdict verdict) {
  switch (verdict) {
    case Verdict::none:
      return "watching";
    case Verdict::promote:
      return "on";
    case Verdict::hold:
      return "hold";
    case Verdict::roll_back:
      return "back";
  }
  return "unknown";
}

const char* api_name(ReleasePhase phase) {
  switch (phase) {
    case ReleasePhase::canary:
      return "trial";
    case ReleasePhase::rolling_back:
      return "going back";
    case ReleasePhase::released:
      return "released";
    case ReleasePhase::rolled_back:
      return "withdrawn";
  }
  return "unknown";
}

const char* api_name(AnalysisReason reason) {
  switch (reason) {
    case AnalysisReason::none:
      return "";
    case AnalysisReason::failures:
      return "failures";
    case AnalysisReason::request_class_failures:
      return "failures of a product";
    case AnalysisReason::wrong_answers:
      return "wrong answers";
    case AnalysisReason::fleet_slowdown:
      return "all slower; load";
    case AnalysisReason::p99_latency:
      return "p99 in SLA times";
    case AnalysisReason::latency:
      return "times the older's latency";
    case AnalysisReason::answer_rate:
      return "answers against the older's rate";
    case AnalysisReason::ageing:
      return "early machines alone are poorly, by chance";
    case AnalysisReason::hold:
      return "held at";
    case AnalysisReason::released:
      return "released";
  }
  return "unknown";
}

std::string describe(const AnalysisResult& result) {
  std::string name = api_name(result.reason);
  if (result.reason == AnalysisReason::none || result.reason == AnalysisReason::released)
    return name;
  std::array<char, 64> figures{};
  std::snprintf(figures.data(), figures.size(), " %.3g against %.3g", result.observed,
                result.reference);
  return name + figures.data();
}

}  // namespace

std::string api_mode(const AnalysisReport& report) {
  std::string mode = api_name(report.result.verdict);
  if (report.release) {
    mode += " build " + std::to_string(report.release->build);
    mode += " stage " + std::to_string(report.release->stage);
    mode += " ";
    mode += api_name(report.release->phase);
  }
  const std::string reason = describe(report.result);
  return reason.empty() ? mode : mode + ": " + reason;
}

}  // namespace robinhoist::proxy
