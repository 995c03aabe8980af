// The encoding of membership messages on the wire, and of the voter state on disk: numbered fields
// (encoding/fields.h). A field with its default value is left out.
#ifndef MILLETHOLLOW_CODEC_MEMBERSHIP_H_
#define MILLETHOLLOW_CODEC_MEMBERSHIP_H_

#include <optional>
#include <string>
#include <string_view>

#include "membership/membership_node.h"

namespace millethollow::codec {

// Limits of a decoded message, which bound the memory that a peer can make this process use.
constexpr std::size_t kMaxMembers = 4096, kMaxVoters = 16, kMaxFailureDomainBytes = 64,
                      kMaxWorkerNameBytes = 256, kMaxDecisionsPerWorker = 64;

std::uint64_t Hash(std::string_view text);  // XXH3, 64 bits; never 0

// Each Decode function returns nothing if the bytes are damaged.
std::string Encode(const membership::PersistentVoterState& state);
std::optional<membership::PersistentVoterState> DecodeVoterState(std::string_view bytes);
std::string Encode(const membership::SwimMessage& message);
std::optional<membership::SwimMessage> DecodeSwimMessage(std::string_view bytes);
std::string Encode(const membership::MaintenanceGossip& gossip);
std::optional<membership::MaintenanceGossip> DecodeMaintenanceGossip(std::string_view bytes);
std::string Encode(const membership::AgreementMessage& message);
std::optional<membership::AgreementMessage> DecodeAgreementMessage(std::string_view bytes);

}  // namespace millethollow::codec

#endif  // MILLETHOLLOW_CODEC_MEMBERSHIP_H_
