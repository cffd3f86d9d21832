#include "proxy/mode_text.h"

#include <cstdio>

namespace robinhoist::proxy {
namespace {

constexpr std::size_t max_reason_length = 96;

const char* wire_name(Verdict verdict) {
  switch (verdict) {
    case Verdict::promote:
      return "on";
    case Verdict::hold:
      return "hold";
    case Verdict::roll_back:
      return "back";
    case Verdict::none:
      break;
  }
  return "watching";
}

const char* wire_name(ReleasePhase phase) {
  switch (phase) {
    case ReleasePhase::canary:
      return "trial";
    case ReleasePhase::rolling_back:
      return "going back";
    case ReleasePhase::released:
      return "released";
    case ReleasePhase::rolled_back:
      break;
  }
  return "withdrawn";
}

// Nothing for reasons without figures.
const char* wire_name(AnalysisReason reason) {
  switch (reason) {
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
    case AnalysisReason::ageing:
      return "early machines alone are poorly, by chance";
    case AnalysisReason::hold:
      return "held at";
    case AnalysisReason::none:
    case AnalysisReason::released:
      break;
  }
  return nullptr;
}

std::string reason_text(const AnalysisResult& result) {
  if (result.reason == AnalysisReason::released)
    return ": released";
  const char* name = wire_name(result.reason);
  if (!name)
    return "";
  char text[max_reason_length];
  std::snprintf(text, sizeof text, ": %s %.3g against %.3g", name, result.observed,
                result.reference);
  return text;
}

}  // namespace

std::string mode_text(const AnalysisReport& report) {
  std::string text = wire_name(report.result.verdict);
  if (report.release) {
    text += " build " + std::to_string(report.release->build);
    text += " stage " + std::to_string(report.release->stage);
    text += std::string(" ") + wire_name(report.release->phase);
  }
  return text + reason_text(report.result);
}

}  // namespace robinhoist::proxy
