#include "simulator_adapter/instance.h"

#include "simulator_adapter/codec.h"
#include "simulator_adapter/wire_names.h"

namespace robinhoist::simulator_adapter {

namespace {

// The engine's seed, which has half as many bits as the salt on the wire.
unsigned fold(std::uint64_t salt) {
  return static_cast<unsigned>(salt ^ (salt >> 32));
}

}  // namespace

Instance::Instance(const InstanceStarted& started)
    : engine_(fold(started.salt), started.settings.endpoints, started.settings.canary_quota,
              started.settings.analysis, started.settings.requests),
      limits_{static_cast<int>(started.settings.request_class_names.size()),
              static_cast<int>(started.settings.tenant_names.size())} {}

void Instance::endpoints_updated(EndpointUpdateKind kind, const EndpointBank& bank, TimePoint now) {
  std::vector<EndpointInfo> entries;
  if (kind != EndpointUpdateKind::failed)
    entries = bank.entries;
  for (std::size_t position = 0; position < entries.size(); ++position)
    entries[position].endpoint = add_endpoint(bank.names[position]);
  engine_.endpoints_updated(kind, entries, now);
}

void Instance::request_arrived(const RequestArrived& arrived, TimePoint now) {
  RequestInfo info = arrived.info;
  info.request_id = next_request_id_++;
  request_ids_[arrived.name] = info.request_id;
  request_names_[info.request_id] = arrived.name;
  engine_.request_arrived(info, now);
}

void Instance::stream_began(const std::string& request) {
  if (const auto id = request_id(request))
    engine_.stream_began(*id);
}

void Instance::attempt_ended(const AttemptEnded& ended, TimePoint now) {
  const auto id = request_id(ended.request);
  if (!id)
    return;
  engine_.attempt_ended(*id, ended.attempt, ended.outcome, ended.succeeded, ended.load, now);
  remove_if_done(*id);
}

void Instance::client_disconnected(const std::string& request) {
  const auto id = request_id(request);
  if (!id)
    return;
  engine_.client_disconnected(*id);
  remove_if_done(*id);
}

void Instance::release_updated(const ReleaseMessage& message, TimePoint now) {
  if (message.answers_vote)
    engine_.vote_answered(message.outcome, now);
  if (message.release)
    engine_.release_updated(*message.release, now);
}

void Instance::probe_ended(int endpoint, const LoadReport& load, TimePoint now) {
  engine_.probe_ended(endpoint, load, now);
}

void Instance::wrong_answer_reported(int endpoint) {
  engine_.wrong_answer_reported(endpoint);
}

int Instance::endpoint_index(const std::string& name) const {
  const auto found = endpoint_indices_.find(name);
  if (found == endpoint_indices_.end())
    throw json::DecodeError(std::string("field ") + wire::field::endpoint +
                            " names an endpoint that was never listed");
  return found->second;
}

void Instance::append_decisions(const std::string& instance_name, TimePoint now,
                                std::string& reply) {
  while (const auto decision = engine_.next(now)) {
    DecisionNames names{instance_name, {}, {}};
    if (decision->request_id >= 0)
      names.request = request_names_.at(decision->request_id);
    if (decision->endpoint >= 0)
      names.endpoint = endpoint_names_.at(decision->endpoint);
    reply += encode(*decision, names);
    if (decision->request_id >= 0)
      remove_if_done(decision->request_id);
  }
}

std::optional<int> Instance::request_id(const std::string& name) const {
  const auto found = request_ids_.find(name);
  if (found == request_ids_.end())
    return std::nullopt;
  return found->second;
}

int Instance::add_endpoint(const std::string& name) {
  const int next = static_cast<int>(endpoint_names_.size());
  const auto [entry, added] = endpoint_indices_.try_emplace(name, next);
  if (added)
    endpoint_names_.push_back(name);
  return entry->second;
}

void Instance::remove_if_done(int request_id) {
  if (engine_.has_request(request_id))
    return;
  const auto found = request_names_.find(request_id);
  if (found == request_names_.end())
    return;
  request_ids_.erase(found->second);
  request_names_.erase(found);
}

}  // namespace robinhoist::simulator_adapter
