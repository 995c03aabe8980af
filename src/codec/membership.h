// Views, votes, probes and messages of membership as fields, for links and disks.
#ifndef MILLETHOLLOW_CODEC_MEMBERSHIP_H_
#define MILLETHOLLOW_CODEC_MEMBERSHIP_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/membership_node.h"

namespace millethollow::codec {

// What bounds the memory that a frame can make us hold.
constexpr std::size_t kMaxMembers = 4096, kMaxVoters = 16, kMaxFailureDomain = 64, kMaxName = 256,
                      kMaxCallers = 64;

std::uint64_t Hash(std::string_view text);  // XXH3, 64 bits; never 0

std::string Encode(const membership::PersistentVoterState& votes);
std::optional<membership::PersistentVoterState> DecodeVoterState(std::string_view bytes);
std::string Encode(const membership::SwimMessage& probe);
std::optional<membership::SwimMessage> DecodeSwimMessage(std::string_view bytes);
std::string Encode(const membership::MaintenanceGossip& news);
std::optional<membership::MaintenanceGossip> DecodeMaintenanceGossip(std::string_view bytes);
std::string Encode(const membership::AgreementMessage& message);
std::optional<membership::AgreementMessage> DecodeAgreementMessage(std::string_view bytes);

}  // namespace millethollow::codec

#endif  // MILLETHOLLOW_CODEC_MEMBERSHIP_H_
