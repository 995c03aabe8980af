#include "net/cluster/frame.h"

#include <optional>
#include <utility>

#include "codec/copies.h"
#include "codec/membership.h"
#include "codec/quota.h"
#include "encoding/fields.h"

namespace millethollow::cluster {
namespace {

// The numbers are part of the protocol.
enum BodyKind : std::uint8_t {
  kSwim = 1,
  kAgreement = 2,
  kMaintenance = 3,
  kReplication = 4,
  kQuota = 5
};

struct EncodedBody {
  std::uint8_t kind = 0;
  std::string fields;
};

EncodedBody EncodeBody(const membership::Frame& frame) {
  // In the order of the variant's alternatives.
  constexpr BodyKind kMembershipKinds[] = {kSwim, kAgreement, kMaintenance};
  return {kMembershipKinds[frame.index()],
          std::visit([](const auto& message) { return codec::Encode(message); }, frame)};
}
EncodedBody EncodeBody(const copies::ReplicationMessage& frame) {
  return {kReplication, codec::Encode(frame)};
}
EncodedBody EncodeBody(const quota::Message& message) { return {kQuota, codec::Encode(message)}; }

template <typename T>
DecodeError AssignBody(std::optional<T> decoded, Body* body) {
  if (!decoded) return DecodeError::kUnknownKind;
  *body = std::move(*decoded);
  return DecodeError::kNone;
}

std::uint64_t ReadLittleEndian(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < size; ++i) {
    value |= std::uint64_t{static_cast<std::uint8_t>(bytes[at + i])} << (8 * i);
  }
  return value;
}

}  // namespace

std::string Encode(const Header& header, const Body& body) {
  const auto [kind, fields] =
      std::visit([](const auto& alternative) { return EncodeBody(alternative); }, body);
  encoding::Writer writer;
  writer.Bytes("mh");
  writer.Raw(kProtocolVersion);
  writer.Raw(kind);
  writer.Raw(static_cast<std::uint32_t>(fields.size()));
  writer.Raw(header.cluster);
  writer.Raw(header.from);
  writer.Raw(header.process_incarnation);
  writer.Raw(header.sequence);
  writer.Bytes(fields);
  writer.Raw(codec::Hash(writer.bytes()));
  return writer.Take();
}

std::size_t FrameLength(std::string_view header) {
  if (header.size() < kHeaderBytes || header.substr(0, 2) != "mh") return 0;
  const std::size_t length = kHeaderBytes + ReadLittleEndian(header, 4, 4) + kHashBytes;
  return length <= kMaxFrameBytes ? length : 0;
}

DecodeError Decode(std::string_view bytes, Header* header, Body* body) {
  if (bytes.size() < kHeaderBytes + kHashBytes) return DecodeError::kTruncated;
  if (FrameLength(bytes) != bytes.size()) return DecodeError::kCorrupt;
  const std::string_view covered = bytes.substr(0, bytes.size() - kHashBytes);
  if (codec::Hash(covered) != ReadLittleEndian(bytes, covered.size(), kHashBytes))
    return DecodeError::kCorrupt;
  if (static_cast<std::uint8_t>(bytes[2]) != kProtocolVersion) return DecodeError::kOtherVersion;
  header->cluster = ReadLittleEndian(bytes, 8, 8);
  header->from = ReadLittleEndian(bytes, 16, 8);
  header->process_incarnation = ReadLittleEndian(bytes, 24, 8);
  header->sequence = ReadLittleEndian(bytes, 32, 8);
  const std::string_view fields = covered.substr(kHeaderBytes);
  const auto decode_membership = [&](auto decoded) {
    std::optional<membership::Frame> frame;
    if (decoded) frame = std::move(*decoded);
    return AssignBody(std::move(frame), body);
  };
  switch (bytes[3]) {
    case kSwim:
      return decode_membership(codec::DecodeSwimMessage(fields));
    case kAgreement:
      return decode_membership(codec::DecodeAgreementMessage(fields));
    case kMaintenance:
      return decode_membership(codec::DecodeMaintenanceGossip(fields));
    case kReplication:
      return AssignBody(codec::DecodeReplicationMessage(fields), body);
    case kQuota:
      return AssignBody(codec::DecodeQuota(fields), body);
    default:
      return DecodeError::kUnknownKind;
  }
}

}  // namespace millethollow::cluster
