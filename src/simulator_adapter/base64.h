// Base64 (RFC 4648) as the simulator's protocol uses it: the empty string is written as '-'.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_BASE64_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace millethollow::simulator_adapter {

// Returns nullopt if the text is not padded Base64.
std::optional<std::string> DecodeBase64(std::string_view text);
// Encodes bytes as padded Base64.
std::string EncodeBase64(std::string_view bytes);

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_BASE64_H_
