// Encoding and incremental decoding of Gearman's binary packets and of the lines of its
// administrative text protocol. It performs no I/O.
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

// Packet types of the binary protocol.
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

// Whether nobody waits for the result of a job submitted by this packet.
constexpr bool IsBackground(Type type) {
  return type == Type::kSubmitJobBg || type == Type::kSubmitJobHighBg ||
         type == Type::kSubmitJobLowBg;
}

// A binary packet or a line of the text protocol.
struct Message {
  // A packet with the magic code \0REQ or \0RES, or a text line.
  enum class Form : std::uint8_t { kRequest, kResponse, kLine };
  Form form = Form::kRequest;
  Type type = Type::kNoop;
  std::string data;  // a packet's arguments, or a line without its line end
};

// Parses one message at a time: feed bytes, then Take() the message when it is complete.
class Parser {
 public:
  explicit Parser(std::size_t max_data_bytes) : max_data_bytes_(max_data_bytes) {}
  // Consumes bytes up to the end of one message and returns how many. Consumes none after an error,
  // or while a complete message has not been taken.
  std::size_t Feed(std::string_view bytes);
  std::optional<Message> Take();                               // the complete message, if any
  bool idle() const { return buffer_.empty() && !complete_; }  // no byte of a message is held
  const char* error() const { return error_; }  // an error code for the peer, or null

 private:
  std::size_t max_data_bytes_;
  std::string buffer_;
  std::size_t data_bytes_ = 0;  // data bytes of the current packet, once its header is complete
  std::optional<Message> complete_;
  const char* error_ = nullptr;
};

// Splits a packet's data into `count` arguments, which refer to `data`. The last argument takes the
// rest, NUL bytes included, unless `last_is_text`: a further separator is an error then. Returns
// nothing if the data is malformed.
std::optional<std::vector<std::string_view>> SplitArguments(std::string_view data,
                                                            std::size_t count,
                                                            bool last_is_text = false);

// Encodes a packet, with the arguments separated by NUL bytes.
std::string EncodePacket(Message::Form form, Type type,
                         std::initializer_list<std::string_view> arguments);

}  // namespace millethollow::gearman

#endif  // MILLETHOLLOW_NET_GEARMAN_PACKET_H_
