// Reports and grants of quota leases as fields, for links.
#ifndef MILLETHOLLOW_CODEC_QUOTA_H_
#define MILLETHOLLOW_CODEC_QUOTA_H_

#include <optional>
#include <string>
#include <string_view>

#include "quota/types.h"

namespace millethollow::codec {

std::string Encode(const quota::Message& message);
// None where the bytes are not whole, or name more than quota::kMaxEntries entries. Whether the
// numbers make sense is for quota::Holder and quota::Allocator to say.
std::optional<quota::Message> DecodeQuota(std::string_view bytes);

}  // namespace millethollow::codec

#endif  // MILLETHOLLOW_CODEC_QUOTA_H_
