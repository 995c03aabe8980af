// Framing of the messages between forwarders and planners, and between the two processes of a hot
// restart. Encoding and decoding only: no sockets, no clock, not thread-safe.
//
// A frame is the length of what follows (32 bits), the kind (8 bits) and the fields of that kind.
// Integers are big-endian; text is preceded by its length in bytes (16 bits). A frame that does not
// decode ends the connection. A planner and its forwarders run the same build on one machine.
#ifndef MILLETHOLLOW_NET_LINK_FRAME_H_
#define MILLETHOLLOW_NET_LINK_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/request.h"

namespace millethollow::link {

// The numbers are part of the protocol: a hot restart may join two different builds.
enum class FrameKind : std::uint8_t {
  // From a forwarder to its planner.
  kRequestReceived = 1,
  kRequestCancelled,
  kAttemptStarted,
  kAttemptEnded,
  kProbeAnswered,
  kWorkerChanged,
  // From a planner to a forwarder.
  kForwarderNumber = 32,  // the first frame of a connection
  kWorkerAddress,
  kSendAttempt,
  kCancelAttempt,
  kSendProbe,
  kFinalAnswer,
  // Between the sibling processes of a hot restart.
  kStateRequest = 64,  // from the new process, with the version of the protocol
  kSharedSocket,       // carries the descriptor of a listening socket or of the peer socket
  kClassName,
  kWorkerState,  // a worker with its address, drain and maintenance
  kWireIds,
  kPlannerState,
  kStateEnd,          // the last frame of the state, with the version of the endpoint list
  kSuccessorServing,  // from the new process: the old one may stop accepting
  kClientConnection,  // carries the descriptor of an idle client connection
  kWorkerConnection,  // carries the descriptor of an idle connection to a worker
  kPeerMessage,       // a message of one planner to the planner of the sibling process
  kDescriptorUse,     // numbers of descriptors in use
  kMaintenance,
  kWorkerDown,
  kWireIdUsed,
  kClockRequest,  // from the new process, before it asks for the state; older builds ignore it
  kClockOffset,   // the answer: what Loop::ClockOffset is there
};

// Encodes one frame.
class Writer {
 public:
  explicit Writer(FrameKind kind) : bytes_(4, '\0') { U8(static_cast<std::uint8_t>(kind)); }
  Writer& U8(std::uint8_t value) { return Number(value, 1); }
  Writer& U64(std::uint64_t value) { return Number(value, 8); }
  Writer& I32(int value) { return Number(static_cast<std::uint32_t>(value), 4); }
  Writer& F64(double value);
  Writer& Text(std::string_view value);  // at most 65535 bytes; the rest is cut off
  Writer& Put(const Outcome& outcome);
  Writer& Put(const balancing::Endpoint& endpoint);
  // Appends bytes without a length; only as the last field, read by Reader::Rest.
  Writer& Raw(std::string_view value);
  // Fills in the length and returns the frame. The writer must not be used afterwards.
  std::string Finish();

 private:
  Writer& Number(std::uint64_t value, int bytes);
  std::string bytes_;
};

// Decodes the fields of one frame, given without its length. A field that is missing or invalid
// clears ok() and reads as zero or empty. The frame's bytes must outlive the reader.
class Reader {
 public:
  explicit Reader(std::string_view frame) : unread_(frame) { kind_ = static_cast<FrameKind>(U8()); }
  FrameKind kind() const { return kind_; }
  std::uint8_t U8() { return static_cast<std::uint8_t>(Number(1)); }
  std::uint64_t U64() { return Number(8); }
  int I32() { return static_cast<int>(static_cast<std::uint32_t>(Number(4))); }
  double F64();  // a value that is not finite is invalid
  std::string Text();
  Outcome GetOutcome();
  balancing::Endpoint GetEndpoint();
  std::string Rest();  // all that has not been read yet
  bool ok() const { return ok_; }
  // Whether all fields were valid and the whole frame has been read.
  bool Complete() const { return ok_ && unread_.empty(); }
  void MarkInvalid() { ok_ = false; }

 private:
  std::uint64_t Number(std::size_t bytes);
  std::string_view unread_;
  FrameKind kind_;
  bool ok_ = true;
};

// Splits a byte stream into frames.
class FrameDecoder {
 public:
  static constexpr std::size_t kMaxFrameBytes = 64 * 1024;
  void Feed(std::string_view bytes) { buffer_.append(bytes); }
  // The kind and fields of the next frame; none if it is incomplete, or the stream is malformed.
  std::optional<std::string> Next();
  // Set for good by a frame whose length is 0 or above kMaxFrameBytes.
  bool malformed() const { return malformed_; }

 private:
  std::string buffer_;
  bool malformed_ = false;
};

}  // namespace millethollow::link

#endif  // MILLETHOLLOW_NET_LINK_FRAME_H_
