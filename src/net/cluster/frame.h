// A frame between members: who speaks, for which cluster, and that it is whole. The header:
//   'm' 'h', version, kind, body's length (4), cluster (8), sender (8), life (8), number (8),
//   the body, and the XXH3 hash of all that (8); little-endian.
// A version that is not ours is refused; a kind that is not known is skipped.
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
constexpr std::size_t kMaxDatagramBytes = 1200;     // what is longer goes by TCP
constexpr std::size_t kMaxFrameBytes = 256 * 1024;  // and more than this not at all
constexpr std::uint8_t kVersion = 1;

struct Header {
  std::uint64_t cluster = 0;  // hash of its name
  membership::NodeId from = 0;
  membership::ProcessIncarnation process_incarnation = 0;
  std::uint64_t number = 0;  // rises with each frame that the sender makes for this receiver
};

enum class Fault : std::uint8_t { kNone, kShort, kGarbled, kOtherVersion, kUnknownKind };

// All that members say to each other.
using Body = std::variant<membership::Frame, copies::ReplicationMessage, quota::Message>;

std::string Encode(const Header& header, const Body& body);
Fault Decode(std::string_view bytes, Header* header, Body* body);
// Of a frame whose first kHeaderBytes are here: how long it is; 0: it is none.
std::size_t LengthOf(std::string_view header);

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_FRAME_H_
