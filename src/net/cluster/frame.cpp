#include "net/cluster/frame.h"

#include <utility>

#include "codec/fields.h"
#include "codec/membership.h"

namespace millethollow::cluster {
namespace {

enum Kind : std::uint8_t { kProbe = 1, kMessage = 2, kFacts = 3 };

std::uint64_t Word(std::string_view bytes, std::size_t at, std::size_t size) {
  std::uint64_t word = 0;
  for (std::size_t i = 0; i < size; ++i) {
    word |= std::uint64_t{static_cast<std::uint8_t>(bytes[at + i])} << (8 * i);
  }
  return word;
}

}  // namespace

std::string Encode(const Header& header, const membership::Frame& frame) {
  const std::string body = std::visit([](const auto& f) { return codec::Encode(f); }, frame);
  constexpr Kind kKinds[] = {kProbe, kMessage, kFacts};  // as the variant has them
  codec::Writer w;
  w.Bytes("mh");
  w.Raw(kVersion);
  w.Raw(static_cast<std::uint8_t>(kKinds[frame.index()]));
  w.Raw(static_cast<std::uint32_t>(body.size()));
  w.Raw(header.cluster);
  w.Raw(header.from);
  w.Raw(header.life);
  w.Raw(header.number);
  w.Bytes(body);
  w.Raw(codec::Hash(w.bytes()));
  return w.Take();
}

std::size_t LengthOf(std::string_view header) {
  if (header.size() < kHeaderBytes || header.substr(0, 2) != "mh") return 0;
  const std::size_t length = kHeaderBytes + Word(header, 4, 4) + kHashBytes;
  return length <= kMostFrame ? length : 0;
}

Fault Decode(std::string_view bytes, Header* header, membership::Frame* frame) {
  if (bytes.size() < kHeaderBytes + kHashBytes) return Fault::kShort;
  if (LengthOf(bytes) != bytes.size()) return Fault::kGarbled;
  const std::string_view covered = bytes.substr(0, bytes.size() - kHashBytes);
  if (codec::Hash(covered) != Word(bytes, covered.size(), kHashBytes)) return Fault::kGarbled;
  if (static_cast<std::uint8_t>(bytes[2]) != kVersion) return Fault::kOtherVersion;
  header->cluster = Word(bytes, 8, 8);
  header->from = Word(bytes, 16, 8);
  header->life = Word(bytes, 24, 8);
  header->number = Word(bytes, 32, 8);
  const std::string_view body = covered.substr(kHeaderBytes);
  if (bytes[3] == kProbe) {
    auto probe = codec::DecodeProbe(body);
    if (!probe) return Fault::kUnknownKind;
    *frame = std::move(*probe);
  } else if (bytes[3] == kMessage) {
    auto message = codec::DecodeMessage(body);
    if (!message) return Fault::kUnknownKind;
    *frame = std::move(*message);
  } else if (bytes[3] == kFacts) {
    auto facts = codec::DecodeFacts(body);
    if (!facts) return Fault::kUnknownKind;
    *frame = std::move(*facts);
  } else {
    return Fault::kUnknownKind;
  }
  return Fault::kNone;
}

}  // namespace millethollow::cluster
