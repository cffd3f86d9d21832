/// Names in the operators' settings object for one proxy instance, which their simulator and their
/// platform share. The rest of the code uses these constants. The names of enumerated values are in
/// module_settings.cpp.
#pragma once

namespace robinhoist::module_settings {

/// Names of fields.
namespace field {
// The settings object itself.
inline constexpr char request_classes[] = "classes";
inline constexpr char tenants[] = "tenants";
inline constexpr char zones[] = "failure_domains";
inline constexpr char zone[] = "zone";
inline constexpr char proxy_index[] = "me";
inline constexpr char proxies[] = "balancers";
inline constexpr char tick_ms[] = "tick_ms";
inline constexpr char over_quota_weight[] = "over_share_worth";
inline constexpr char list_mode[] = "registry_mode";
inline constexpr char sizes[] = "weights";
inline constexpr char bounds[] = "bounds";
inline constexpr char safety[] = "safety";
inline constexpr char load_report[] = "load_report";
inline constexpr char release[] = "family_info";
// Entries of "classes" and "tenants".
inline constexpr char name[] = "name";
inline constexpr char latency_objective_ms[] = "goal_time_ms";
inline constexpr char deadline_ms[] = "deadline_ms";
inline constexpr char dedup_window_ms[] = "dedup_window_ms";
inline constexpr char idempotency[] = "effect";
inline constexpr char dedup_scope[] = "group";
inline constexpr char priority_weight[] = "worth";
inline constexpr char late_weight_share[] = "late_share";
inline constexpr char stream[] = "streaming";
inline constexpr char tenant_share[] = "fraction";
inline constexpr char tenant_allowance_per_s[] = "allowance_per_s";
// bounds
inline constexpr char max_attempts[] = "max_attempts";
inline constexpr char hedging[] = "second_copies";
inline constexpr char cancelling[] = "cancelling";
inline constexpr char retry_after[] = "retry_after";
inline constexpr char max_retry_after_ms[] = "max_retry_after_ms";
inline constexpr char probes[] = "probes";
inline constexpr char connect_timeout_ms[] = "connect_timeout_ms";
inline constexpr char idle_timeout_ms[] = "keepalive_ms";
// safety
inline constexpr char answer_slack_ms[] = "answer_slack_ms";
inline constexpr char warm_up_time_ms[] = "cold_ms";
inline constexpr char initial_warm_up_factor[] = "cold_from";
inline constexpr char collapse_window_ms[] = "fall_ms";
inline constexpr char collapse_multiple[] = "fall_multiple";
inline constexpr char poll_within_ms[] = "ask_within_ms";
// load_report
inline constexpr char load_report_source[] = "source";
// family_info
inline constexpr char quota_window_ms[] = "window_ms";
inline constexpr char uncapped_attempts[] = "free";
inline constexpr char quota_counts[] = "counts";
inline constexpr char sticky_keys[] = "one_way";
inline constexpr char replace_mode[] = "replace_mode";
inline constexpr char idempotent_only_stages[] = "safe_only_stages";
inline constexpr char caps[] = "caps";
inline constexpr char promotion_mode[] = "gate_mode";
inline constexpr char bake_ms[] = "bake_ms";
inline constexpr char step_ms[] = "moves_after_ms";
inline constexpr char vote_lifetime_ms[] = "vote_stands_ms";
inline constexpr char call_timeout_ms[] = "call_timeout_ms";
inline constexpr char votes_per_s[] = "calls_per_s";
inline constexpr char wrong_answer_report_share[] = "flag_share";
inline constexpr char votes_to_promote[] = "to_advance";
inline constexpr char votes_to_hold[] = "hold_votes";
inline constexpr char votes_to_roll_back[] = "votes_to_revert";
}  // namespace field

/// Names of the values in load reports.
namespace load {
inline constexpr char in_flight[] = "busy_reqs";
inline constexpr char queued[] = "pending";
inline constexpr char utilization[] = "cpu_share";
inline constexpr char service_ms[] = "svc_ms";
inline constexpr char served_per_s[] = "served_ps";
inline constexpr char failed_per_s[] = "failed_ps";
}  // namespace load

}  // namespace robinhoist::module_settings
