#include "net/cluster/frame.h"

#include <optional>
#include <utility>

#include "codec/copies.h"
#include "codec/membership.h"
#include "codec/quota.h"
#include "encoding/fields.h"

namespace millethollow::cluster {
namespace {

enum Kind : std::uint8_t { kProbe = 1, kMessage = 2, kFacts = 3, kCopies = 4, kQuota = 5 };

struct EncodedBody {
  std::uint8_t kind = 0;
  std::string fields;
};

EncodedBody EncodeBody(const membership::Frame& frame) {
  constexpr Kind kKinds[] = {kProbe, kMessage, kFacts};  // as the variant has them
  return {kKinds[frame.index()], std::visit([](const auto& f) { return codec::Encode(f); }, frame)};
}
EncodedBody EncodeBody(const copies::ReplicationMessage& frame) {
  return {kCopies, codec::Encode(frame)};
}
EncodedBody EncodeBody(const quota::Message& message) { return {kQuota, codec::Encode(message)}; }

template <typename T>
Fault Put(std::optional<T> read, Body* body) {
  if (!read) return Fault::kUnknownKind;
  *body = std::move(*read);
  return Fault::kNone;
}

std::uint64_t Word(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < size; ++i) {
    word |= std::uint64_t{static_cast<std::uint8_t>(bytes[at + i])} << (8 * i);
  }
  return word;
}

}  // namespace

std::string Encode(const Header& header, const Body& body) {
  const auto [kind, fields] = std::visit([](const auto& b) { return EncodeBody(b); }, body);
  encoding::Writer w;
  w.Bytes("mh");
  w.Raw(kVersion);
  w.Raw(kind);
  w.Raw(static_cast<std::uint32_t>(fields.size()));
  w.Raw(header.cluster);
  w.Raw(header.from);
  w.Raw(header.process_incarnation);
  w.Raw(header.number);
  w.Bytes(fields);
  w.Raw(codec::Hash(w.bytes()));
  return w.Take();
}

std::size_t LengthOf(std::string_view header) {
  if (header.size() < kHeaderBytes || header.substr(0, 2) != "mh") return 0;
  const std::size_t length = kHeaderBytes + Word(header, 4, 4) + kHashBytes;
  return length <= kMaxFrameBytes ? length : 0;
}

Fault Decode(std::string_view bytes, Header* header, Body* body) {
  if (bytes.size() < kHeaderBytes + kHashBytes) return Fault::kShort;
  if (LengthOf(bytes) != bytes.size()) return Fault::kGarbled;
  const std::string_view covered = bytes.substr(0, bytes.size() - kHashBytes);
  if (codec::Hash(covered) != Word(bytes, covered.size(), kHashBytes)) return Fault::kGarbled;
  if (static_cast<std::uint8_t>(bytes[2]) != kVersion) return Fault::kOtherVersion;
  header->cluster = Word(bytes, 8, 8);
  header->from = Word(bytes, 16, 8);
  header->process_incarnation = Word(bytes, 24, 8);
  header->number = Word(bytes, 32, 8);
  const std::string_view fields = covered.substr(kHeaderBytes);
  const auto member = [&](auto read) {
    std::optional<membership::Frame> frame;
    if (read) frame = std::move(*read);
    return Put(std::move(frame), body);
  };
  switch (bytes[3]) {
    case kProbe:
      return member(codec::DecodeSwimMessage(fields));
    case kMessage:
      return member(codec::DecodeAgreementMessage(fields));
    case kFacts:
      return member(codec::DecodeMaintenanceGossip(fields));
    case kCopies:
      return Put(codec::DecodeReplicationMessage(fields), body);
    case kQuota:
      return Put(codec::DecodeQuota(fields), body);
    default:
      return Fault::kUnknownKind;
  }
}

}  // namespace millethollow::cluster
