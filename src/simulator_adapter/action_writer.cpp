// Names in the code and on the wire. Each field is given as the member of the action, followed by
// its name on the wire where that differs:
//
//   action           message         fields
//   SendAttempt      HAND_OFF        id msg_id, worker, timeout_s try_for_s
//   RejectRequest    REFUSE          id msg_id, retry_after_s wait_s
//   FailRequest      GIVE_UP         id msg_id
//   CancelAttempt    ABORT_ATTEMPT   id msg_id, attempt hop
//   SetTimer         SET_TIMER       timer_id mark, after_s sleep_for_s
//   Probe            POLL            worker
//   SendPeerMessage  SIGNAL          recipient whom, body
//   Subscribe        FOLLOW          enable
//   FetchEndpoints   QUERY_ALL       -
//   Log              DEBUG           line
#include "simulator_adapter/action_writer.h"

#include <array>
#include <charconv>
#include <variant>

#include "simulator_adapter/base64.h"
#include "simulator_adapter/wire_line.h"

namespace millethollow::simulator_adapter {
namespace {

// Appends messages about one instance to a reply.
class LineWriter {
 public:
  LineWriter(std::int64_t instance, std::string* reply) : instance_(instance), reply_(reply) {}

  // Starts a line with the name of its message and the instance.
  LineWriter& Begin(std::string_view message) {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), instance_).ptr;
    const auto length = static_cast<std::size_t>(end - digits.data());
    reply_->append(message).append(" scheduler=").append(digits.data(), length);
    return *this;
  }
  LineWriter& Field(std::string_view name, std::string_view value) {
    reply_->append(" ").append(name).append("=").append(value);
    return *this;
  }
  // Appends a duration; leaves out 0, the default.
  LineWriter& SecondsAboveZero(std::string_view name, double seconds) {
    return seconds > 0 ? Field(name, FormatSeconds(seconds)) : *this;
  }
  void End() { reply_->append("\n"); }

 private:
  std::int64_t instance_;
  std::string* reply_;
};

void Write(const balancing::SendAttempt& action, LineWriter* line) {
  line->Begin("HAND_OFF")
      .Field("msg_id", action.id)
      .Field("worker", action.worker)
      .SecondsAboveZero("try_for_s", action.timeout_s)
      .End();
}

void Write(const balancing::RejectRequest& action, LineWriter* line) {
  line->Begin("REFUSE")
      .Field("msg_id", action.id)
      .SecondsAboveZero("wait_s", action.retry_after_s)
      .End();
}

void Write(const balancing::FailRequest& action, LineWriter* line) {
  line->Begin("GIVE_UP").Field("msg_id", action.id).End();
}

void Write(const balancing::CancelAttempt& action, LineWriter* line) {
  line->Begin("ABORT_ATTEMPT")
      .Field("msg_id", action.id)
      .Field("hop", std::to_string(action.attempt))
      .End();
}

void Write(const balancing::SetTimer& action, LineWriter* line) {
  line->Begin("SET_TIMER")
      .Field("mark", std::to_string(action.timer_id))
      .Field("sleep_for_s", FormatSeconds(action.after_s))
      .End();
}

void Write(const balancing::Probe& action, LineWriter* line) {
  line->Begin("POLL").Field("worker", action.worker).End();
}

void Write(const balancing::SendPeerMessage& action, LineWriter* line) {
  line->Begin("SIGNAL")
      .Field("whom", std::to_string(action.recipient))
      .Field("body", EncodeBase64(action.body))
      .End();
}

void Write(const balancing::Subscribe& action, LineWriter* line) {
  line->Begin("FOLLOW").Field("enable", action.enable ? "1" : "0").End();
}

void Write(const balancing::FetchEndpoints&, LineWriter* line) { line->Begin("QUERY_ALL").End(); }

void Write(const balancing::AwaitCapacity&, LineWriter*) {}

void Write(const balancing::Log& action, LineWriter* line) {
  line->Begin("DEBUG").Field("line", action.line).End();
}

}  // namespace

void AppendAction(std::int64_t instance, const balancing::Action& action, std::string* reply) {
  LineWriter line(instance, reply);
  std::visit([&line](const auto& typed_action) { Write(typed_action, &line); }, action);
}

void AppendInstanceFailure(std::int64_t instance, std::string_view error, std::string* reply) {
  LineWriter(instance, reply).Begin("DIE").Field("line", error).End();
}

}  // namespace millethollow::simulator_adapter
