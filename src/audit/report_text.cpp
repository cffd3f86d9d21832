#include <algorithm>
#include <array>
#include <cstdio>

#include "audit/audit.h"
#include "audit/rules.h"
#include "util/quantile.h"

namespace robinhoist::audit {
namespace {

constexpr std::size_t max_line = 512;

std::string percent(double part, double whole) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f%%", whole > 0 ? 100 * part / whole : 0.0);
  return text.data();
}

std::string describe_violations(const RuleReport& rule) {
  if (rule.passed())
    return "\n";
  return ": " + std::to_string(rule.violations) + " times, first: " + rule.first_violation + "\n";
}

std::string rule_line(std::size_t number, const RuleReport& rule) {
  std::array<char, max_line> text{};
  std::snprintf(text.data(), text.size(), "rule %zu %-24s %s (%ld checked", number, rule.name,
                rule.passed() ? "kept" : "BROKEN", rule.checked);
  std::string line = text.data();
  if (rule.excused > 0) {
    line += ", ";
    line += std::to_string(rule.excused);
    line += " excused";
  }
  line += ")";
  line += describe_violations(rule);
  return line;
}

std::string steps_line(const RuleReport& steps) {
  return std::string(steps.name) + (steps.passed() ? " kept (" : " BROKEN (") +
         std::to_string(steps.checked) + " runs at the database)" + describe_violations(steps);
}

std::string counts_line(const RequestCounts& counts) {
  std::array<char, max_line> text{};
  std::snprintf(
      text.data(), text.size(),
      "asked %ld, tries %ld: settled %ld (wrong %ld), declined %ld, voided %ld, not taken "
      "%ld, unreached %ld, lost with an umpire %ld, left %ld\n",
      counts.requested, counts.attempts, counts.succeeded, counts.wrong, counts.rejected,
      counts.failed, counts.rejected_before_routing, counts.unreached, counts.lost,
      counts.client_disconnected);
  return text.data();
}

std::string totals_line(const Report& report) {
  std::array<char, max_line> text{};
  std::snprintf(
      text.data(), text.size(),
      "revenue in time %s; submissions %ld; votes %ld; most exposed %.2f of the cap; cold "
      "nodes pushed to %.2f of their limit\n",
      percent(report.weight_in_time, report.weight_offered).c_str(), report.proxy_attempts,
      report.votes, report.max_quota_use, report.max_slow_start_use);
  return text.data();
}

std::string class_line(const std::string& name, const ClassStatistics& statistics) {
  const std::string in_time = percent(static_cast<double>(statistics.succeeded_in_time),
                                      static_cast<double>(statistics.requested));
  std::array<char, max_line> text{};
  std::snprintf(text.data(), text.size(),
                "%-16s asked %ld, settled in time %s, p50 %.1f ms, p99 %.1f ms\n", name.c_str(),
                statistics.requested, in_time.c_str(), quantile(statistics.latencies_ms, 0.5),
                quantile(statistics.latencies_ms, 0.99));
  return text.data();
}

std::string release_line(const ReleaseChange& change) {
  return "build " + std::to_string(change.build) + " wave " + std::to_string(change.stage) + " " +
         change.phase + " at " + to_text(change.at) + ": " + change.reason + "\n";
}

}  // namespace

std::string to_text(const Report& report) {
  std::string text;
  for (std::size_t i = 0; i < report.rules.size(); ++i)
    text += rule_line(i + 1, report.rules[i]);
  if (!report.meta.steps.empty())
    text += steps_line(report.steps);
  text += counts_line(report.requests);
  text += totals_line(report);
  for (std::size_t i = 0; i < report.request_classes.size(); ++i)
    text += class_line(report.meta.request_classes[i].name, report.request_classes[i]);
  for (const ReleaseChange& change : report.releases)
    text += release_line(change);
  for (const std::string& note : report.notes)
    text += "note: " + note + "\n";
  return text;
}

}  // namespace robinhoist::audit
