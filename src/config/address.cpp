#include "config/address.h"

#include <arpa/inet.h>

#include <charconv>
#include <string>

namespace millethollow {

std::optional<sockaddr_in> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || parsed_to != end || port > 65535) return std::nullopt;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  if (inet_pton(AF_INET, std::string(text.substr(0, colon)).c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

}  // namespace millethollow
