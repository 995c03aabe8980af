// Frames of the link between forwarders and planners. Pure: bytes in, frames out, no socket.
//
// Form: length of the rest (32 bits), type (8 bits), fields. Numbers are big-endian, text has a
// 16-bit length before it. Both ends are of one build and on one machine; a frame that does not
// read right ends the link.
#ifndef MILLETHOLLOW_NET_LINK_FRAME_H_
#define MILLETHOLLOW_NET_LINK_FRAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "core/request.h"

namespace millethollow::link {

enum class Kind : std::uint8_t {
  // forwarder to planner
  kTaken = 1,
  kClientGone,
  kBegan,
  kEnded,
  kProbed,
  kWorker,
  // planner to forwarder
  kWelcome = 32,
  kAddress,
  kSend,
  kCancel,
  kProbe,
  kAnswer,
  // between two processes of one node, while one replaces the other
  kHello = 64,  // new to old: I am here, tell me
  kSocket,      // a listening or peer socket goes with it
  kClass,
  kKnown,  // a worker with its address, drain and maintenance
  kIds,
  kLearned,
  kStateEnd,     // end of the state; the list's version
  kServing,      // new to old: I serve
  kClient,       // a resting connection of a client, or
  kIdleWorker,   // of a worker, goes with it
  kPeerMessage,  // a planner's message to the planner of the sibling process
  kUse,          // descriptors in use
  kMaintenance,
  kDown,
  kId,
};

class Writer {
 public:
  explicit Writer(Kind kind) : bytes_(4, '\0') { U8(static_cast<std::uint8_t>(kind)); }
  Writer& U8(std::uint8_t v) { return Number(v, 1); }
  Writer& U64(std::uint64_t v) { return Number(v, 8); }
  Writer& I32(int v) { return Number(static_cast<std::uint32_t>(v), 4); }
  Writer& Real(double v);
  Writer& Text(std::string_view v);
  Writer& Put(const Outcome& o);
  Writer& Put(const balancing::Endpoint& m);
  Writer& Raw(std::string_view v);  // the rest of the frame
  std::string Done();

 private:
  Writer& Number(std::uint64_t v, int bytes);
  std::string bytes_;
};

// Reads the fields of one frame. A field that is not there leaves ok() false and reads as zero.
class Reader {
 public:
  explicit Reader(std::string_view frame) : rest_(frame) { kind_ = static_cast<Kind>(U8()); }
  Kind kind() const { return kind_; }
  std::uint8_t U8() { return static_cast<std::uint8_t>(Number(1)); }
  std::uint64_t U64() { return Number(8); }
  int I32() { return static_cast<int>(static_cast<std::uint32_t>(Number(4))); }
  double Real();  // finite, or the frame is bad
  std::string Text();
  Outcome GetOutcome();
  balancing::Endpoint GetMember();
  std::string Rest();
  bool ok() const { return ok_; }
  bool Whole() const { return ok_ && rest_.empty(); }  // all read, and nothing left over
  void Bad() { ok_ = false; }

 private:
  std::uint64_t Number(std::size_t bytes);
  std::string_view rest_;
  Kind kind_;
  bool ok_ = true;
};

// Splits a byte stream into frames.
class FrameDecoder {
 public:
  static constexpr std::size_t kMaxFrameBytes = 64 * 1024;
  void Feed(std::string_view bytes) { held_.append(bytes); }
  // The next frame's type and fields; none if it has not all come, or the stream is bad.
  std::optional<std::string> Next();
  bool bad() const { return bad_; }

 private:
  std::string held_;
  bool bad_ = false;
};

}  // namespace millethollow::link

#endif  // MILLETHOLLOW_NET_LINK_FRAME_H_
