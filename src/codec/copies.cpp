#include "codec/copies.h"

#include <utility>

#include "encoding/fields.h"

namespace millethollow::codec {
namespace {

using encoding::Reader;
using encoding::Writer;

constexpr auto kLast = copies::ReplicationMessage::Kind::kStaleStore;

}  // namespace

std::string Encode(const copies::ReplicationMessage& f) {
  Writer w;
  w.Raw(static_cast<std::uint8_t>(f.kind));
  w.Number(1, f.log);
  w.Number(2, f.epoch);
  w.Number(3, f.store_id);
  w.Number(4, f.sequence);
  w.Number(5, f.commit_index);
  w.Number(6, f.end_sequence);
  w.Number(7, f.sequence_epoch);
  w.Number(8, f.end_epoch);
  w.Number(9, f.query_number);
  w.Number(10, f.process_incarnation);
  w.Number(11, f.snapshot_id);
  w.Number(12, f.chunk);
  w.Number(13, static_cast<std::uint8_t>(f.last_chunk));
  w.Number(14, static_cast<std::uint8_t>(f.matched));
  for (const copies::Operation& op : f.operations) {
    Writer inner;
    inner.Number(1, op.sequence);
    inner.Number(2, op.epoch);
    inner.Text(3, op.key);
    inner.Text(4, op.value);
    inner.Number(5, static_cast<std::uint8_t>(op.erase));
    w.Nested(15, inner.bytes());
  }
  return w.Take();
}

std::optional<copies::ReplicationMessage> DecodeReplicationMessage(std::string_view bytes) {
  if (bytes.empty() || static_cast<std::uint8_t>(bytes[0]) > static_cast<std::uint8_t>(kLast)) {
    return std::nullopt;
  }
  copies::ReplicationMessage f;
  f.kind = static_cast<copies::ReplicationMessage::Kind>(bytes[0]);
  std::uint64_t* const words[] = {nullptr,
                                  &f.log,
                                  &f.epoch,
                                  &f.store_id,
                                  &f.sequence,
                                  &f.commit_index,
                                  &f.end_sequence,
                                  &f.sequence_epoch,
                                  &f.end_epoch,
                                  &f.query_number,
                                  &f.process_incarnation,
                                  &f.snapshot_id,
                                  &f.chunk};
  Reader r(bytes.substr(1));
  while (r.Next()) {
    if (r.field() >= 1 && r.field() <= 12) *words[r.field()] = r.Raw<std::uint64_t>();
    if (r.field() == 13) f.last_chunk = r.Raw<std::uint8_t>() != 0;
    if (r.field() == 14) f.matched = r.Raw<std::uint8_t>() != 0;
    if (r.field() != 15) continue;
    if (f.operations.size() >= kMaxOperations) return std::nullopt;
    copies::Operation& op = f.operations.emplace_back();
    Reader in(r.value());
    while (in.Next()) {
      if (in.field() == 1) op.sequence = in.Raw<std::uint64_t>();
      if (in.field() == 2) op.epoch = in.Raw<std::uint64_t>();
      if (in.field() == 3) op.key = in.value();
      if (in.field() == 4) op.value = in.value();
      if (in.field() == 5) op.erase = in.Raw<std::uint8_t>() != 0;
    }
    if (!in.ok() || op.key.size() > kMaxKeyBytes) return std::nullopt;
  }
  return r.ok() ? std::optional(std::move(f)) : std::nullopt;
}

}  // namespace millethollow::codec
