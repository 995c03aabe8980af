// Gearman's binary packets and admin lines. Pure: bytes in, messages out, no socket.
#ifndef MILLETHOLLOW_NET_GEARMAN_PACKET_H_
#define MILLETHOLLOW_NET_GEARMAN_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace millethollow::gearman {

enum class Type : std::uint32_t {
  kCanDo = 1,
  kCantDo = 2,
  kResetAbilities = 3,
  kPreSleep = 4,
  kNoop = 6,
  kSubmitJob = 7,
  kJobCreated = 8,
  kGrabJob = 9,
  kNoJob = 10,
  kJobAssign = 11,
  kWorkStatus = 12,
  kWorkComplete = 13,
  kWorkFail = 14,
  kGetStatus = 15,
  kEchoReq = 16,
  kEchoRes = 17,
  kSubmitJobBg = 18,
  kError = 19,
  kStatusRes = 20,
  kSubmitJobHigh = 21,
  kSetClientId = 22,
  kCanDoTimeout = 23,
  kAllYours = 24,
  kWorkException = 25,
  kOptionReq = 26,
  kOptionRes = 27,
  kWorkData = 28,
  kWorkWarning = 29,
  kGrabJobUniq = 30,
  kJobAssignUniq = 31,
  kSubmitJobHighBg = 32,
  kSubmitJobLow = 33,
  kSubmitJobLowBg = 34,
  kGetStatusUnique = 41,
  kStatusResUnique = 42,
};

struct Message {
  enum class Form : std::uint8_t { kRequest, kResponse, kLine };
  Form form = Form::kRequest;
  Type type = Type::kNoop;
  std::string data;  // a packet's arguments, or a line without its end
};

class Parser {
 public:
  explicit Parser(std::size_t max_data_bytes) : max_data_bytes_(max_data_bytes) {}
  // Takes in bytes up to the end of one message; returns how many. After an error, none.
  std::size_t Feed(std::string_view bytes);
  std::optional<Message> Take();                          // the message that is complete, once
  bool idle() const { return held_.empty() && !ready_; }  // between two messages
  const char* error() const { return error_; }            // null while all is well

 private:
  std::size_t max_data_bytes_;
  std::string held_;
  std::size_t need_ = 0;  // bytes of the packet under way, once its head is known
  std::optional<Message> ready_;
  const char* error_ = nullptr;
};

// Splits a packet's data into `count` arguments; the last takes all that is left. For packets whose
// last argument is not free data (`closed`), a further separator is a fault.
std::optional<std::vector<std::string_view>> Arguments(std::string_view data, std::size_t count,
                                                       bool closed = false);

std::string Packet(Message::Form form, Type type,
                   std::initializer_list<std::string_view> arguments);

}  // namespace millethollow::gearman

#endif  // MILLETHOLLOW_NET_GEARMAN_PACKET_H_
