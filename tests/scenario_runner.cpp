#include "scenario_runner.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include "scenario_names.h"

namespace robinhoist {

namespace {

constexpr double tick_ms = 5;
constexpr double default_deadline_ms = 750;
constexpr unsigned engine_seed = 7;

// Events that must never occur.
const char* const forwarded_after_end = "sent after end";
const char* const ended_twice = "ended twice";

Duration milliseconds(double value) {
  return Duration(static_cast<long long>(value * 1e3));
}

// The word at this index as a number; 0 if the line is shorter.
double number_at(const ScenarioRunner::Words& words, std::size_t index) {
  return words.size() > index ? std::atof(words[index].c_str()) : 0;
}

int integer_at(const ScenarioRunner::Words& words, std::size_t index) {
  return static_cast<int>(number_at(words, index));
}

std::vector<std::string> split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);)
    parts.push_back(part);
  return parts;
}

}  // namespace

ScenarioRunner::ScenarioRunner() : now_(milliseconds(100000)) {
  endpoint_settings_.warm_up_time = milliseconds(4000);
  endpoint_settings_.collapse_window = milliseconds(1500);
  endpoint_settings_.initial_warm_up_factor = 0.3;
  endpoint_settings_.collapse_multiple = 2;

  canary_quota_settings_.window = milliseconds(4000);
  canary_quota_settings_.uncapped_attempts = 1;
  canary_quota_settings_.caps = {0.1, 0.3, 1};

  analysis_settings_.promotion_mode = PromotionMode::clock;
  analysis_settings_.bake = milliseconds(2000);
  analysis_settings_.step = milliseconds(4000);
  analysis_settings_.vote_lifetime = milliseconds(8000);
  analysis_settings_.call_timeout = milliseconds(1000);
  analysis_settings_.votes_per_s = 20;
  analysis_settings_.wrong_answer_report_share = 0.3;
  analysis_settings_.proxies = 1;
  analysis_settings_.votes_to_promote = 1;
  analysis_settings_.votes_to_hold = 1;
  analysis_settings_.votes_to_roll_back = 1;

  request_settings_.max_attempts = 5;
  request_settings_.hedging = true;
  request_settings_.cancelling = true;
  request_settings_.retry_after = true;
  request_settings_.retry_delay = milliseconds(2000);
  request_settings_.tick = milliseconds(tick_ms);
}

void ScenarioRunner::execute(const Words& words) {
  static const std::map<std::string, Command> settings = {
      {"set", &ScenarioRunner::set_setting},
      {"product", &ScenarioRunner::add_request_class},
      {"tenant", &ScenarioRunner::add_tenant}};
  static const std::map<std::string, Command> steps = {
      {"node", &ScenarioRunner::update_endpoints},
      {"list_failed", &ScenarioRunner::fail_endpoint_list},
      {"release", &ScenarioRunner::update_release},
      {"reply", &ScenarioRunner::set_reply_rule},
      {"traffic", &ScenarioRunner::replace_traffic},
      {"also", &ScenarioRunner::add_traffic},
      {"run", &ScenarioRunner::run},
      {"txn", &ScenarioRunner::send_request},
      {"answer", &ScenarioRunner::end_named_attempt},
      {"votes", &ScenarioRunner::set_vote_outcome},
      {"flag", &ScenarioRunner::report_wrong_answers},
      {"mark", &ScenarioRunner::reset_counts},
      {"expect", &ScenarioRunner::check_expectation}};
  const auto setting = settings.find(words.at(0));
  if (setting != settings.end()) {
    (this->*setting->second)(words);
    return;
  }
  const auto step = steps.find(words.at(0));
  if (step == steps.end())
    throw std::runtime_error("unknown command " + words.at(0));
  start_engine();
  (this->*step->second)(words);
}

double ScenarioRunner::protocol_violations() const {
  double violations = 0;
  for (const char* event : {forwarded_after_end, ended_twice}) {
    const auto found = counts_.find(event);
    violations += found == counts_.end() ? 0 : found->second;
  }
  return violations;
}

void ScenarioRunner::start_engine() {
  if (!engine_)
    engine_ =
        std::make_unique<DecisionEngine>(engine_seed, endpoint_settings_, canary_quota_settings_,
                                         analysis_settings_, request_settings_);
}

void ScenarioRunner::set_setting(const Words& words) {
  const std::string& key = words.at(1);
  const double value = number_at(words, 2);
  if (key == "must_ask")
    endpoint_settings_.subscribes_to_list = true;
  else if (key == "fall_multiple")
    endpoint_settings_.collapse_multiple = value;
  else if (key == "by_product")
    canary_quota_settings_.by_request_class = true;
  else if (key == "one_way")
    canary_quota_settings_.sticky_keys = true;
  else if (key == "in_place")
    canary_quota_settings_.in_place = true;
  else if (key == "safe_only_stages")
    canary_quota_settings_.idempotent_only_stages = static_cast<int>(value);
  else if (key == "no_copies")
    request_settings_.hedging = false;
  else if (key == "umpires")
    analysis_settings_.proxies = endpoint_settings_.proxy_count = static_cast<int>(value);
  else if (key == "to_revert")
    analysis_settings_.votes_to_roll_back = static_cast<int>(value);
  else if (key == "step")
    analysis_settings_.step = milliseconds(value);
  else if (key == "gate")
    analysis_settings_.promotion_mode = enumerator(words.at(2), promotion_mode_names);
  else
    throw std::runtime_error("unknown setting " + key);
}

// product inquiry|referenced|once [MEMORY_MS] [all|zone|cell]
void ScenarioRunner::add_request_class(const Words& words) {
  RequestClass request_class{};
  request_class.latency_objective = milliseconds(300);
  request_class.deadline = milliseconds(default_deadline_ms);
  request_class.dedup_window = milliseconds(number_at(words, 2));
  request_class.idempotency = enumerator(words.at(1), idempotency_names);
  request_class.dedup_scope =
      words.size() > 3 ? enumerator(words[3], dedup_scope_names) : DedupScope::all;
  request_class.priority_weight = 1;
  request_settings_.request_classes.push_back(request_class);
}

// tenant ALLOWANCE_PER_S
void ScenarioRunner::add_tenant(const Words& words) {
  request_settings_.tenants.push_back({.share = 0.5, .allowance_per_s = number_at(words, 1)});
}

// node NAME[,NAME ...] BUILD in|lame|out [AGE_S|-] [ZONE] [CELL]
void ScenarioRunner::update_endpoints(const Words& words) {
  for (const std::string& name : split(words.at(1), ','))
    update_endpoint(name, words);
}

void ScenarioRunner::update_endpoint(const std::string& name, const Words& words) {
  const auto [entry, is_new] = endpoints_.try_emplace(name, static_cast<int>(builds_.size()));
  if (is_new)
    builds_.push_back(0);
  const int endpoint = entry->second;
  builds_[endpoint] = integer_at(words, 2);
  const bool has_age = words.size() > 4 && words[4] != "-";
  EndpointInfo info{};
  info.endpoint = endpoint;
  info.zone = integer_at(words, 5);
  info.cell = integer_at(words, 6);
  info.build = builds_[endpoint];
  info.phase = enumerator(words.at(3), endpoint_phase_names);
  info.size = 1;
  info.started = has_age ? now_ - milliseconds(1e3 * number_at(words, 4)) : TimePoint{};
  engine_->endpoints_updated(EndpointUpdateKind::incremental, {info}, now_);
}

// list_failed
void ScenarioRunner::fail_endpoint_list(const Words& /*words*/) {
  engine_->endpoints_updated(EndpointUpdateKind::failed, {}, now_);
}

// release BUILD STAGE trial|back|released|withdrawn CAP
void ScenarioRunner::update_release(const Words& words) {
  ReleaseUpdate release{};
  release.build = integer_at(words, 1);
  release.stage = integer_at(words, 2);
  release.phase = enumerator(words.at(3), release_phase_names);
  release.cap = number_at(words, 4);
  engine_->release_updated(release, now_);
}

// reply NODE|buildN|tenantN never, or AFTER_MS OUTCOME [EVERY]
void ScenarioRunner::set_reply_rule(const Words& words) {
  ReplyRule rule;
  rule.never = words.at(2) == "never";
  if (!rule.never) {
    rule.after_ms = number_at(words, 2);
    rule.outcome = enumerator(words.at(3), outcome_names);
  }
  if (words.size() > 4)
    rule.every = integer_at(words, 4);
  reply_rules_[words.at(1)] = rule;
}

// traffic PRODUCT EVERY_MS [TENANT]; an interval of 0 stops the traffic
void ScenarioRunner::replace_traffic(const Words& words) {
  traffic_.clear();
  add_traffic(words);
}

// also PRODUCT EVERY_MS [TENANT]
void ScenarioRunner::add_traffic(const Words& words) {
  const double interval_ms = number_at(words, 2);
  if (interval_ms > 0)
    traffic_.push_back({integer_at(words, 1), integer_at(words, 3), interval_ms, now_});
}

// run MS
void ScenarioRunner::run(const Words& words) {
  const TimePoint until = now_ + milliseconds(number_at(words, 1));
  while (now_ < until) {
    now_ += milliseconds(tick_ms);
    deliver_due_replies();
    for (TrafficStream& stream : traffic_) {
      while (stream.next_at <= now_) {
        request_arrives({"", stream.request_class, stream.tenant, default_deadline_ms, ""});
        stream.next_at += milliseconds(stream.interval_ms);
      }
    }
    carry_out_decisions();
  }
}

void ScenarioRunner::deliver_due_replies() {
  for (std::size_t index = 0; index < pending_replies_.size();) {
    const PendingReply reply = pending_replies_[index];
    if (reply.due_at > now_) {
      ++index;
      continue;
    }
    pending_replies_.erase(pending_replies_.begin() + static_cast<long>(index));
    end_attempt(reply.request_id, reply.attempt, reply.outcome);
  }
}

// txn NAME PRODUCT [EXPIRY_MS] [KEY]
void ScenarioRunner::send_request(const Words& words) {
  ScenarioRequest request{};
  request.name = words.at(1);
  request.request_class = integer_at(words, 2);
  request.deadline_ms = words.size() > 3 ? number_at(words, 3) : default_deadline_ms;
  request.key = words.size() > 4 ? words[4] : "";
  request_arrives(request);
}

void ScenarioRunner::request_arrives(const ScenarioRequest& request) {
  RequestInfo info{};
  info.request_id = next_request_id_++;
  info.request_class = request.request_class;
  info.tenant = request.tenant;
  info.deadline = now_ + milliseconds(request.deadline_ms);
  info.key = request.key;
  if (!request.name.empty())
    request_ids_[request.name] = info.request_id;
  tenant_of_[info.request_id] = request.tenant;
  engine_->request_arrived(info, now_);
  carry_out_decisions();
}

// answer NAME SUBMISSION OUTCOME
void ScenarioRunner::end_named_attempt(const Words& words) {
  end_attempt(request_ids_.at(words.at(1)), integer_at(words, 2),
              enumerator(words.at(3), outcome_names));
  carry_out_decisions();
}

void ScenarioRunner::end_attempt(int request_id, int attempt, Outcome outcome) {
  const bool succeeded = outcome == Outcome::ok || ended_requests_.count(request_id) > 0;
  if (outcome == Outcome::ok)
    ended_requests_.insert(request_id);
  engine_->attempt_ended(request_id, attempt, outcome, succeeded, {}, now_);
}

// votes OUTCOME
void ScenarioRunner::set_vote_outcome(const Words& words) {
  vote_outcome_ = enumerator(words.at(1), outcome_names);
}

// flag NODE COUNT
void ScenarioRunner::report_wrong_answers(const Words& words) {
  for (int reports = 0; reports < number_at(words, 2); ++reports)
    engine_->wrong_answer_reported(endpoints_.at(words.at(1)));
}

// mark
void ScenarioRunner::reset_counts(const Words& /*words*/) {
  counts_.clear();
}

// expect WHAT... =|<|> NUMBER
void ScenarioRunner::check_expectation(const Words& words) {
  std::string event = words.at(1);
  for (std::size_t index = 2; index + 2 < words.size(); ++index)
    event += " " + words[index];
  const std::string& comparison = words[words.size() - 2];
  const double expected = std::atof(words.back().c_str());
  const double actual = counts_[event];
  const bool met = comparison == "="   ? actual == expected
                   : comparison == "<" ? actual < expected
                                       : actual > expected;
  EXPECT_TRUE(met) << event << " is " << actual << ", expected " << comparison << " " << expected;
}

void ScenarioRunner::carry_out_decisions() {
  while (const auto decision = engine_->next(now_))
    carry_out(*decision);
}

void ScenarioRunner::carry_out(const Decision& decision) {
  switch (decision.action) {
    case Action::forward:
      forward(decision);
      break;
    case Action::reject:
    case Action::fail:
      finish(decision);
      break;
    case Action::vote:
      count(std::string("vote ") + verdict_name(decision.verdict));
      engine_->vote_answered(vote_outcome_, now_);
      break;
    case Action::subscribe:
      count("subscribed");
      break;
    case Action::cancel:
      count("cancelled");
      break;
    default:
      break;
  }
}

void ScenarioRunner::forward(const Decision& decision) {
  if (ended_requests_.count(decision.request_id) > 0)
    count(forwarded_after_end);
  const int attempt = attempts_[decision.request_id]++;
  count("submissions");
  count("submissions " + request_name(decision.request_id));
  count("sent " + endpoint_name(decision.endpoint));
  count("sent build " + std::to_string(builds_[decision.endpoint]));
  ReplyRule* rule = reply_rule(decision);
  if (rule == nullptr || rule->never)
    return;
  const bool by_rule = ++rule->attempts % rule->every == 0;
  pending_replies_.push_back({now_ + milliseconds(rule->after_ms), decision.request_id, attempt,
                              by_rule ? rule->outcome : Outcome::ok});
}

// The request has been rejected or has failed.
void ScenarioRunner::finish(const Decision& decision) {
  if (!ended_requests_.insert(decision.request_id).second)
    count(ended_twice);
  const std::string event = decision.action == Action::reject ? "declined" : "voided";
  count(event);
  count(event + " " + request_name(decision.request_id));
  count("ended tenant " + std::to_string(tenant_of_[decision.request_id]));
  if (decision.duration > Duration{})
    count("advice");
}

// The tenant's rule takes precedence over the endpoint's, and that over the build's.
ScenarioRunner::ReplyRule* ScenarioRunner::reply_rule(const Decision& decision) {
  const std::string keys[] = {"tenant" + std::to_string(tenant_of_[decision.request_id]),
                              endpoint_name(decision.endpoint),
                              "build" + std::to_string(builds_[decision.endpoint])};
  for (const std::string& key : keys) {
    const auto found = reply_rules_.find(key);
    if (found != reply_rules_.end())
      return &found->second;
  }
  return nullptr;
}

std::string ScenarioRunner::endpoint_name(int endpoint) const {
  for (const auto& [name, index] : endpoints_)
    if (index == endpoint)
      return name;
  return "?";
}

std::string ScenarioRunner::request_name(int request_id) const {
  for (const auto& [name, id] : request_ids_)
    if (id == request_id)
      return name;
  return "";
}

}  // namespace robinhoist
