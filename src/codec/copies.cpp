#include "codec/copies.h"

#include <utility>

#include "encoding/fields.h"

namespace millethollow::codec {
namespace {

using encoding::Reader;
using encoding::Writer;

constexpr auto kLastKind = copies::ReplicationMessage::Kind::kStaleStore;

}  // namespace

std::string Encode(const copies::ReplicationMessage& message) {
  Writer writer;
  writer.Raw(static_cast<std::uint8_t>(message.kind));
  writer.Number(1, message.log);
  writer.Number(2, message.epoch);
  writer.Number(3, message.store_id);
  writer.Number(4, message.sequence);
  writer.Number(5, message.commit_index);
  writer.Number(6, message.end_sequence);
  writer.Number(7, message.sequence_epoch);
  writer.Number(8, message.end_epoch);
  writer.Number(9, message.query_number);
  writer.Number(10, message.process_incarnation);
  writer.Number(11, message.snapshot_id);
  writer.Number(12, message.chunk);
  writer.Number(13, static_cast<std::uint8_t>(message.last_chunk));
  writer.Number(14, static_cast<std::uint8_t>(message.matched));
  for (const copies::Operation& operation : message.operations) {
    Writer operation_writer;
    operation_writer.Number(1, operation.sequence);
    operation_writer.Number(2, operation.epoch);
    operation_writer.Text(3, operation.key);
    operation_writer.Text(4, operation.value);
    operation_writer.Number(5, static_cast<std::uint8_t>(operation.erase));
    writer.Nested(15, operation_writer.bytes());
  }
  return writer.Take();
}

std::optional<copies::ReplicationMessage> DecodeReplicationMessage(std::string_view bytes) {
  if (bytes.empty() || static_cast<std::uint8_t>(bytes[0]) > static_cast<std::uint8_t>(kLastKind)) {
    return std::nullopt;
  }
  copies::ReplicationMessage message;
  message.kind = static_cast<copies::ReplicationMessage::Kind>(bytes[0]);
  std::uint64_t* const integers[] = {nullptr,
                                     &message.log,
                                     &message.epoch,
                                     &message.store_id,
                                     &message.sequence,
                                     &message.commit_index,
                                     &message.end_sequence,
                                     &message.sequence_epoch,
                                     &message.end_epoch,
                                     &message.query_number,
                                     &message.process_incarnation,
                                     &message.snapshot_id,
                                     &message.chunk};
  Reader reader(bytes.substr(1));
  while (reader.Next()) {
    if (reader.field() >= 1 && reader.field() <= 12)
      *integers[reader.field()] = reader.Raw<std::uint64_t>();
    if (reader.field() == 13) message.last_chunk = reader.Raw<std::uint8_t>() != 0;
    if (reader.field() == 14) message.matched = reader.Raw<std::uint8_t>() != 0;
    if (reader.field() != 15) continue;
    if (message.operations.size() >= kMaxOperations) return std::nullopt;
    copies::Operation& operation = message.operations.emplace_back();
    Reader operation_reader(reader.value());
    while (operation_reader.Next()) {
      if (operation_reader.field() == 1) operation.sequence = operation_reader.Raw<std::uint64_t>();
      if (operation_reader.field() == 2) operation.epoch = operation_reader.Raw<std::uint64_t>();
      if (operation_reader.field() == 3) operation.key = operation_reader.value();
      if (operation_reader.field() == 4) operation.value = operation_reader.value();
      if (operation_reader.field() == 5)
        operation.erase = operation_reader.Raw<std::uint8_t>() != 0;
    }
    if (!operation_reader.ok() || operation.key.size() > kMaxKeyBytes) return std::nullopt;
  }
  return reader.ok() ? std::optional(std::move(message)) : std::nullopt;
}

}  // namespace millethollow::codec
