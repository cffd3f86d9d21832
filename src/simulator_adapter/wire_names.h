/// Names of messages and fields in the simulator's wire protocol. The operators define them; the
/// rest of the code uses these constants. The names of enumerated values are in codec.cpp.
#pragma once

namespace robinhoist::simulator_adapter::wire {

/// Messages from the simulator.
namespace message {
inline constexpr char batch_begins[] = "tick";
inline constexpr char batch_ends[] = "your_turn";
inline constexpr char endpoint_bank[] = "sheet";
inline constexpr char instance_started[] = "hello";
inline constexpr char instance_stopped[] = "power_off";
inline constexpr char endpoints_updated[] = "directory_update";
inline constexpr char request_arrived[] = "demand";
inline constexpr char stream_began[] = "flowing";
inline constexpr char attempt_ended[] = "reply";
inline constexpr char client_disconnected[] = "expired";
inline constexpr char timer_expired[] = "wakeup";
inline constexpr char probe_ended[] = "probe_result";
inline constexpr char gossip[] = "peer_data";
inline constexpr char release_updated[] = "promotion";
inline constexpr char metrics[] = "metrics";
inline constexpr char wrong_answer[] = "flagged";
}  // namespace message

/// Messages to the simulator.
namespace decision {
inline constexpr char forward[] = "call_out";
inline constexpr char reject[] = "say_no";
inline constexpr char fail[] = "error";
inline constexpr char cancel[] = "abort_attempt";
inline constexpr char probe[] = "inspect";
inline constexpr char close[] = "close_idle";
inline constexpr char subscribe[] = "listen";
inline constexpr char fetch[] = "resolve";
inline constexpr char vote[] = "say_so";
inline constexpr char wake[] = "wake_at";
inline constexpr char log[] = "emit";
inline constexpr char end_of_reply[] = "eor";
}  // namespace decision

/// Fields of messages in both directions.
namespace field {
inline constexpr char time_ms[] = "time_ms";
inline constexpr char instance[] = "umpire";
inline constexpr char salt[] = "salt";
inline constexpr char settings[] = "params";
inline constexpr char request[] = "call";
inline constexpr char attempt[] = "seq_no";
inline constexpr char outcome[] = "outcome";
inline constexpr char succeeded[] = "settled";
inline constexpr char load_report[] = "pressure";
inline constexpr char endpoint[] = "box";
inline constexpr char bank[] = "bank";
inline constexpr char entries[] = "elements";
inline constexpr char zone[] = "failure_domain";
inline constexpr char cell[] = "cell";
inline constexpr char build[] = "build";
inline constexpr char endpoint_phase[] = "phase";
inline constexpr char size[] = "share";
inline constexpr char started_ms[] = "ready_at_ms";
inline constexpr char update_kind[] = "mode";
inline constexpr char request_class[] = "qos";
inline constexpr char tenant[] = "org";
inline constexpr char deadline_ms[] = "not_after_ms";
inline constexpr char cost_hint_ms[] = "work_hint_ms";
inline constexpr char key[] = "subject";
inline constexpr char is_retry[] = "retry";
inline constexpr char release_build[] = "ver";
inline constexpr char release_stage[] = "step";
inline constexpr char release_phase[] = "where_at";
inline constexpr char release_cap[] = "limit_share";
inline constexpr char since_ms[] = "since_ms";
inline constexpr char reason[] = "reason";  ///< of a release update; the verdict of a vote
inline constexpr char samples[] = "samples";
inline constexpr char bad_samples[] = "bad";
inline constexpr char wait_ms[] = "wait_time_ms";
inline constexpr char raw[] = "raw";
inline constexpr char timeout_ms[] = "cap_ms";
inline constexpr char retry_after_ms[] = "pause_ms";
inline constexpr char enable[] = "enable";
inline constexpr char delay_ms[] = "offset_ms";
inline constexpr char timer[] = "key_back";
inline constexpr char text[] = "body_text";
}  // namespace field

}  // namespace robinhoist::simulator_adapter::wire
