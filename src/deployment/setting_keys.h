/// Keys and values of a (deployment ...) form in settings files and scenario files. They are part
/// of the file format. All of these literals are defined here and nowhere else in the code.
#pragma once

namespace robinhoist::deployment {

/// Keys.
namespace key {
// (deployment ...)
inline constexpr char request_class[] = "product";
inline constexpr char tenant[] = "tenant";
inline constexpr char zones[] = "zones";
inline constexpr char proxies[] = "umpires";
inline constexpr char uses_sizes[] = "sized-nodes";
inline constexpr char over_quota_weight[] = "over-share-revenue";
inline constexpr char load_reports[] = "load-reports";
inline constexpr char rules[] = "rules";
inline constexpr char rollout[] = "rollout";
// (product ...)
inline constexpr char latency_objective[] = "sla";
inline constexpr char deadline[] = "expiry";
inline constexpr char priority_weight[] = "revenue";
inline constexpr char late_weight_share[] = "late-share";
inline constexpr char idempotency[] = "effect";
inline constexpr char dedup_scope[] = "group";
inline constexpr char dedup_window[] = "memory";
inline constexpr char match[] = "match";
// (tenant ...)
inline constexpr char tenant_share[] = "share";
inline constexpr char tenant_allowance[] = "allowance";
// (rules ...)
inline constexpr char drain_grace[] = "drain-grace";
inline constexpr char initial_warm_up_factor[] = "cold-from";
inline constexpr char warm_up_time[] = "cold-for";
inline constexpr char collapse_multiple[] = "fall-multiple";
inline constexpr char collapse_window[] = "fall-window";
inline constexpr char quota_window[] = "exposure-window";
inline constexpr char uncapped_attempts[] = "exposure-free";
inline constexpr char by_request_class[] = "exposure-counts";
inline constexpr char sticky_keys[] = "one-way";
inline constexpr char idempotent_only_stages[] = "safe-only-waves";
inline constexpr char max_attempts[] = "max-submissions";
inline constexpr char hedging[] = "second-copies";
inline constexpr char retry_after[] = "advice";
inline constexpr char retry_delay[] = "max-pause";
// (rollout ...)
inline constexpr char stages[] = "waves";
inline constexpr char caps[] = "caps";
inline constexpr char promotion_mode[] = "gate";
inline constexpr char bake[] = "bake";
inline constexpr char step[] = "step";
inline constexpr char settle[] = "settle";
inline constexpr char launch_within[] = "launch-within";
inline constexpr char drain[] = "drain";
inline constexpr char rollback_window[] = "back-for";
inline constexpr char vote_lifetime[] = "vote-life";
inline constexpr char promote_share[] = "advance-share";
inline constexpr char hold_share[] = "hold-share";
inline constexpr char roll_back_share[] = "back-share";
inline constexpr char votes_per_s[] = "votes-per-s";
inline constexpr char style[] = "style";
inline constexpr char vote_timeout[] = "vote-timeout";
inline constexpr char wrong_answer_report_share[] = "reports-share";
}  // namespace key

/// Values of enumerations.
namespace value {
inline constexpr char idempotent[] = "inquiry";
inline constexpr char idempotent_with_key[] = "referenced";
inline constexpr char non_idempotent[] = "once-only";
inline constexpr char scope_all[] = "all";
inline constexpr char scope_zone[] = "zone";
inline constexpr char scope_cell[] = "cell";
inline constexpr char count_all[] = "all";
inline constexpr char count_by_request_class[] = "each-product";
inline constexpr char first_vote[] = "first-vote";
inline constexpr char count[] = "count";
inline constexpr char clock[] = "clock";
inline constexpr char side_by_side[] = "beside";
inline constexpr char in_place[] = "in-place";
inline constexpr char reports_none[] = "none";
inline constexpr char reports_with_answers[] = "answers";
}  // namespace value

}  // namespace robinhoist::deployment
