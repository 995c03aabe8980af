// The wire encoding of usage reports and grants of quota leases: numbered fields
// (encoding/fields.h). A field with its default value is left out.
#ifndef MILLETHOLLOW_CODEC_QUOTA_H_
#define MILLETHOLLOW_CODEC_QUOTA_H_

#include <optional>
#include <string>
#include <string_view>

#include "quota/types.h"

namespace millethollow::codec {

std::string Encode(const quota::Message& message);
// Returns nothing if the bytes are truncated or have more than quota::kMaxEntries entries.
// quota::LeaseHolder and quota::Allocator validate the values.
std::optional<quota::Message> DecodeQuota(std::string_view bytes);

}  // namespace millethollow::codec

#endif  // MILLETHOLLOW_CODEC_QUOTA_H_
