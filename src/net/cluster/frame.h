// Framing of the messages between members of a cluster. Encoding and decoding only: no sockets, no
// clock. A frame is:
//   'm' 'h', protocol version (1 byte), kind of the body (1), length of the body (4), cluster (8),
//   sender (8), the sender's process incarnation (8), sequence number (8), the body, and the XXH3
//   hash of all before it (8).
// Integers are little-endian. A frame with another version is rejected; one with an unknown kind is
// skipped.
#ifndef MILLETHOLLOW_NET_CLUSTER_FRAME_H_
#define MILLETHOLLOW_NET_CLUSTER_FRAME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "copies/records.h"
#include "membership/membership_node.h"
#include "quota/types.h"

namespace millethollow::cluster {

constexpr std::size_t kHeaderBytes = 40, kHashBytes = 8;
constexpr std::size_t kMaxDatagramBytes = 1200;     // longer frames go by TCP
constexpr std::size_t kMaxFrameBytes = 256 * 1024;  // longer frames are not sent at all
constexpr std::uint8_t kProtocolVersion = 1;

struct Header {
  std::uint64_t cluster = 0;  // hash of the cluster's name
  membership::NodeId from = 0;
  membership::ProcessIncarnation process_incarnation = 0;
  // Rises with each frame that the sender makes for this receiver; a number that was received
  // before marks a replayed frame.
  std::uint64_t sequence = 0;
};

enum class DecodeError : std::uint8_t { kNone, kTruncated, kCorrupt, kOtherVersion, kUnknownKind };

// The messages that members exchange.
using Body = std::variant<membership::Frame, copies::ReplicationMessage, quota::Message>;

std::string Encode(const Header& header, const Body& body);
// Decodes a whole frame. A body whose fields are not valid counts as kUnknownKind.
DecodeError Decode(std::string_view bytes, Header* header, Body* body);
// The length in bytes of the frame that begins with these kHeaderBytes; 0 if it is not a frame, or
// is longer than kMaxFrameBytes.
std::size_t FrameLength(std::string_view header);

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_FRAME_H_
