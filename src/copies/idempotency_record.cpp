#include "copies/idempotency_record.h"

#include <utility>

#include "encoding/fields.h"

namespace millethollow::copies {
namespace {

constexpr std::uint64_t kHashSeed = 0x9e3779b97f4a7c15ULL;

enum Field : std::uint8_t { kClaim = 1, kAttempt = 2, kWindow = 3, kAnswered = 4, kResult = 5 };

std::string Encode(const ClaimId& claim) {
  encoding::Writer writer;
  writer.Raw(claim.node);
  writer.Raw(claim.process_incarnation);
  writer.Raw(claim.number);
  return writer.Take();
}

ClaimId TakeClaim(encoding::Reader* reader) {
  ClaimId claim;
  claim.node = reader->Raw<std::uint64_t>();
  claim.process_incarnation = reader->Raw<std::uint64_t>();
  claim.number = reader->Raw<std::uint64_t>();
  return claim;
}

}  // namespace

std::string Encode(const IdempotencyRecord& record) {
  encoding::Writer writer;
  if (record.claim.node != 0) writer.Nested(kClaim, Encode(record.claim));
  for (const AttemptRecord& attempt : record.attempts) writer.Nested(kAttempt, Encode(attempt));
  writer.Number(kWindow, record.window_s);
  writer.Number(kAnswered, static_cast<std::uint8_t>(record.answered));
  writer.Text(kResult, record.result);
  return writer.Take();
}

std::optional<IdempotencyRecord> DecodeIdempotencyRecord(std::string_view bytes) {
  IdempotencyRecord record;
  encoding::Reader reader(bytes);
  while (reader.Next()) {
    if (reader.field() == kClaim) record.claim = TakeClaim(&reader);
    if (reader.field() == kAttempt) {
      auto attempt = DecodeAttempt(reader.value());
      if (!attempt || record.attempts.size() >= kMaxAttempts) return std::nullopt;
      record.attempts.push_back(std::move(*attempt));
    }
    if (reader.field() == kWindow) record.window_s = reader.Raw<double>();
    if (reader.field() == kAnswered) record.answered = reader.Raw<std::uint8_t>() != 0;
    if (reader.field() == kResult) record.result = reader.value();
  }
  return reader.ok() ? std::optional(std::move(record)) : std::nullopt;
}

LogId LogOfKey(std::string_view key) {
  std::uint64_t hash = kHashSeed;
  for (const char c : key) hash = membership::Mix(hash ^ static_cast<std::uint8_t>(c));
  return (hash % kKeyLogs + 1) << 8 | static_cast<LogId>(LogKind::kKeys);
}

NodeId PreferredOpener(LogId log, const View& view) {
  NodeId best = 0;
  std::uint64_t best_weight = 0;
  for (const auto& member : view.members) {
    const std::uint64_t weight = membership::Mix(log ^ membership::Mix(member.id));
    if (member.store_id == 0 || (best != 0 && weight <= best_weight)) continue;
    best = member.id;
    best_weight = weight;
  }
  return best;
}

}  // namespace millethollow::copies
