#include "policy/analysis_report.h"

#include <cstdio>

namespace robinhoist {

namespace {

constexpr std::size_t max_reason_length = 128;

// Wording of the reason; both figures go in at %.3g.
const char* reason_format(AnalysisReason reason) {
  switch (reason) {
    case AnalysisReason::none:
      return "";
    case AnalysisReason::failures:
      return "failures %.3g of %.3g attempts";
    case AnalysisReason::request_class_failures:
      return "failures of one request class %.3g of %.3g attempts";
    case AnalysisReason::wrong_answers:
      return "wrong answers %.3g of %.3g";
    case AnalysisReason::fleet_slowdown:
      return "whole fleet slower, load %.3g against %.3g before";
    case AnalysisReason::p99_latency:
      return "p99 in latency objectives %.3g against %.3g";
    case AnalysisReason::latency:
      return "latency %.3g times the baseline's, uncertainty factor %.3g";
    case AnalysisReason::answer_rate:
      return "answers %.3g where the baseline's rate gives %.3g";
    case AnalysisReason::ageing:
      return "only the oldest canary endpoints are unhealthy, p-value %.3g against %.3g";
    case AnalysisReason::hold:
      return "held after %.3g attempts, %.3g failed";
    case AnalysisReason::released:
      return "analysis goes on until the next build";
  }
  return "";
}

}  // namespace

bool same_mode(const AnalysisReport& left, const AnalysisReport& right) {
  if (left.result.verdict != right.result.verdict)
    return false;
  if (!left.release || !right.release)
    return left.release.has_value() == right.release.has_value();
  return left.release->build == right.release->build &&
         left.release->stage == right.release->stage && left.release->phase == right.release->phase;
}

const char* to_string(Verdict verdict) {
  switch (verdict) {
    case Verdict::none:
      return "watching";
    case Verdict::promote:
      return "promote";
    case Verdict::hold:
      return "hold";
    case Verdict::roll_back:
      return "roll back";
  }
  return "unknown";
}

const char* to_string(ReleasePhase phase) {
  switch (phase) {
    case ReleasePhase::canary:
      return "canary";
    case ReleasePhase::rolling_back:
      return "rolling back";
    case ReleasePhase::released:
      return "released";
    case ReleasePhase::rolled_back:
      return "rolled back";
  }
  return "unknown";
}

std::string describe_reason(const AnalysisResult& result) {
  char text[max_reason_length];
  std::snprintf(text, sizeof text, reason_format(result.reason), result.observed, result.reference);
  return text;
}

std::string to_string(const AnalysisReport& report) {
  std::string line = to_string(report.result.verdict);
  if (report.release) {
    line += " build " + std::to_string(report.release->build);
    line += " stage " + std::to_string(report.release->stage);
    line += std::string(" ") + to_string(report.release->phase);
  }
  const std::string reason = describe_reason(report.result);
  if (!reason.empty())
    line += ": " + reason;
  return line;
}

}  // namespace robinhoist
