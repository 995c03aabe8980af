// Parsing of socket addresses.
#ifndef MILLETHOLLOW_CONFIG_ADDRESS_H_
#define MILLETHOLLOW_CONFIG_ADDRESS_H_

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace millethollow {

// Parses an IPv4 `address:port`. Returns nullopt if the text is anything else.
std::optional<sockaddr_in> ParseAddress(std::string_view text);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_ADDRESS_H_
