#include "simulator_adapter/adapter.h"

#include <map>
#include <utility>

#include "simulator_adapter/codec.h"
#include "simulator_adapter/wire_names.h"

namespace robinhoist::simulator_adapter {

using json::DecodeError;
using json::Value;
namespace field = wire::field;
namespace message = wire::message;

std::optional<std::string> Adapter::read(const std::string& line) {
  rapidjson::Document document;
  document.Parse(line.data(), line.size());
  if (document.HasParseError() || !document.IsObject() || document.MemberCount() != 1)
    throw DecodeError("not a message: expected a JSON object with exactly one key");
  const auto& member = *document.MemberBegin();
  const std::string name(member.name.GetString(), member.name.GetStringLength());
  if (!member.value.IsObject())
    throw DecodeError(name + ": the value is not an object");
  try {
    if (name == message::batch_begins) {
      begin_batch(member.value);
      return std::nullopt;
    }
    if (!batch_open_)
      throw DecodeError("message outside a batch");
    if (name != message::batch_ends) {
      handle(name, member.value);
      return std::nullopt;
    }
  } catch (const DecodeError& error) {
    throw DecodeError(name + ": " + error.what());
  }
  return end_batch();
}

void Adapter::begin_batch(const Value& fields) {
  if (batch_open_)
    throw DecodeError("the previous batch has not ended");
  now_ = TimePoint(json::duration(fields, field::time_ms));
  batch_open_ = true;
}

std::string Adapter::end_batch() {
  std::string reply;
  for (const std::string& name : reply_order_) {
    const auto found = instances_.find(name);
    if (found == instances_.end() || !found->second.had_event)
      continue;
    found->second.had_event = false;
    found->second.instance->append_decisions(name, now_, reply);
  }
  reply_order_.clear();
  batch_open_ = false;
  return reply + encode_end_of_reply();
}

void Adapter::handle(const std::string& name, const Value& fields) {
  if (name == message::endpoint_bank) {
    EndpointBank bank = decode_endpoint_bank(fields);
    banks_.at(bank.number) = std::move(bank);
    return;
  }
  const std::string instance_name = json::text(fields, field::instance);
  if (name == message::instance_started) {
    start_instance(instance_name, fields);
  } else if (name == message::instance_stopped) {
    stop_instance(instance_name);
  } else {
    Instance& instance = find_instance(instance_name);
    mark_for_reply(instance_name);
    handle_event(name, instance, fields);
  }
}

void Adapter::handle_event(const std::string& name, Instance& instance, const Value& fields) {
  static const std::map<std::string, EventHandler> handlers = {
      {message::endpoints_updated, &Adapter::endpoints_updated},
      {message::request_arrived, &Adapter::request_arrived},
      {message::stream_began, &Adapter::stream_began},
      {message::attempt_ended, &Adapter::attempt_ended},
      {message::client_disconnected, &Adapter::client_disconnected},
      {message::timer_expired, &Adapter::timer_expired},
      {message::probe_ended, &Adapter::probe_ended},
      {message::gossip, &Adapter::gossip},
      {message::release_updated, &Adapter::release_updated},
      {message::metrics, &Adapter::metrics},
      {message::wrong_answer, &Adapter::wrong_answer}};
  const auto handler = handlers.find(name);
  if (handler == handlers.end())
    throw DecodeError("unknown message");
  (this->*handler->second)(instance, fields);
}

void Adapter::start_instance(const std::string& name, const Value& fields) {
  instances_[name] = {std::make_unique<Instance>(decode_instance_started(fields)), false};
  mark_for_reply(name);
}

void Adapter::stop_instance(const std::string& name) {
  find_instance(name);
  instances_.erase(name);
}

Instance& Adapter::find_instance(const std::string& name) {
  const auto found = instances_.find(name);
  if (found == instances_.end())
    throw DecodeError(std::string("field ") + field::instance +
                      " names an instance that has not been started");
  return *found->second.instance;
}

void Adapter::mark_for_reply(const std::string& name) {
  Slot& slot = instances_.at(name);
  if (slot.had_event)
    return;
  slot.had_event = true;
  reply_order_.push_back(name);
}

void Adapter::endpoints_updated(Instance& instance, const Value& fields) {
  const EndpointsUpdated update = decode_endpoints_updated(fields);
  instance.endpoints_updated(update.kind, banks_.at(update.bank), now_);
}

void Adapter::request_arrived(Instance& instance, const Value& fields) {
  instance.request_arrived(decode_request_arrived(fields, instance.limits()), now_);
}

void Adapter::stream_began(Instance& instance, const Value& fields) {
  instance.stream_began(json::text(fields, field::request));
}

void Adapter::attempt_ended(Instance& instance, const Value& fields) {
  instance.attempt_ended(decode_attempt_ended(fields), now_);
}

void Adapter::client_disconnected(Instance& instance, const Value& fields) {
  instance.client_disconnected(json::text(fields, field::request));
}

// Only validated: the engine checks its timers at the end of the batch, by the time alone.
void Adapter::timer_expired(Instance& /*instance*/, const Value& fields) {
  json::number(fields, field::timer);
}

void Adapter::probe_ended(Instance& instance, const Value& fields) {
  decode_outcome(fields);
  const int endpoint = instance.endpoint_index(json::text(fields, field::endpoint));
  instance.probe_ended(endpoint, decode_load_report(fields), now_);
}

// Only validated; the decision module does not use it.
void Adapter::gossip(Instance& /*instance*/, const Value& fields) {
  json::text(fields, field::raw);
}

void Adapter::release_updated(Instance& instance, const Value& fields) {
  instance.release_updated(decode_release(fields), now_);
}

void Adapter::metrics(Instance& instance, const Value& fields) {
  check_metrics(fields, instance.limits().request_classes);
}

void Adapter::wrong_answer(Instance& instance, const Value& fields) {
  json::duration(fields, field::since_ms);
  instance.wrong_answer_reported(instance.endpoint_index(json::text(fields, field::endpoint)));
}

}  // namespace robinhoist::simulator_adapter
