// Views, votes, probes and messages of membership as fields, for links and disks.
#ifndef MILLETHOLLOW_CODEC_MEMBERSHIP_H_
#define MILLETHOLLOW_CODEC_MEMBERSHIP_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/cluster.h"

namespace millethollow::codec {

// What bounds the memory that a frame can make us hold.
constexpr std::size_t kMostMembers = 4096, kMostVoters = 16, kMostPlace = 64, kMostName = 256,
                      kMostCallers = 64;

std::uint64_t Hash(std::string_view text);  // XXH3, 64 bits; never 0

std::string Encode(const membership::Votes& votes);
std::optional<membership::Votes> DecodeVotes(std::string_view bytes);
std::string Encode(const membership::Probe& probe);
std::optional<membership::Probe> DecodeProbe(std::string_view bytes);
std::string Encode(const membership::FactNews& news);
std::optional<membership::FactNews> DecodeFacts(std::string_view bytes);
std::string Encode(const membership::Message& message);
std::optional<membership::Message> DecodeMessage(std::string_view bytes);

}  // namespace millethollow::codec

#endif  // MILLETHOLLOW_CODEC_MEMBERSHIP_H_
