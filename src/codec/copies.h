// Frames of the copies' logs as fields, for links.
#ifndef MILLETHOLLOW_CODEC_COPIES_H_
#define MILLETHOLLOW_CODEC_COPIES_H_

#include <optional>
#include <string>
#include <string_view>

#include "copies/records.h"

namespace millethollow::codec {

// What bounds the memory that a frame can make us hold.
constexpr std::size_t kMaxOperations = 4096, kMaxKeyBytes = 1024;

std::string Encode(const copies::ReplicationMessage& frame);
std::optional<copies::ReplicationMessage> DecodeReplicationMessage(std::string_view bytes);

}  // namespace millethollow::codec

#endif  // MILLETHOLLOW_CODEC_COPIES_H_
