// The wire encoding of replication messages: numbered fields (encoding/fields.h). A field with its
// default value is left out.
#ifndef MILLETHOLLOW_CODEC_COPIES_H_
#define MILLETHOLLOW_CODEC_COPIES_H_

#include <optional>
#include <string>
#include <string_view>

#include "copies/records.h"

namespace millethollow::codec {

// Limits of a decoded message, which bound the memory that a peer can make this process use.
constexpr std::size_t kMaxOperations = 4096, kMaxKeyBytes = 1024;

std::string Encode(const copies::ReplicationMessage& message);
// Returns nothing if the bytes are damaged or exceed a limit.
std::optional<copies::ReplicationMessage> DecodeReplicationMessage(std::string_view bytes);

}  // namespace millethollow::codec

#endif  // MILLETHOLLOW_CODEC_COPIES_H_
