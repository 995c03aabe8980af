// Socket addresses as text.
#ifndef MILLETHOLLOW_CONFIG_ADDRESS_H_
#define MILLETHOLLOW_CONFIG_ADDRESS_H_

#include <netinet/in.h>

#include <optional>
#include <string_view>

namespace millethollow {

// Reads an IPv4 `address:port`. None: it is not one.
std::optional<sockaddr_in> ParseAddress(std::string_view text);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_ADDRESS_H_
