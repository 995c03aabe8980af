#include "copies/records.h"

#include "encoding/fields.h"

namespace millethollow::copies {
namespace {

// Big-endian digits, so that the order of the keys is that of the numbers.
std::string Digits(std::uint64_t number) {
  std::string text(16, '0');
  for (std::size_t i = 16; i-- > 0; number >>= 4) text[i] = "0123456789abcdef"[number & 15];
  return text;
}

}  // namespace

std::string LogPrefix(LogId log) { return Digits(log) + "/"; }
std::string HeadKey(LogId log) { return LogPrefix(log) + "h/"; }
std::string OperationKey(LogId log, SequenceNumber sequence) {
  return LogPrefix(log) + "o/" + Digits(sequence);
}
std::string EntryPrefix(LogId log, std::uint64_t snapshot_generation) {
  return LogPrefix(log) + "e/" + Digits(snapshot_generation) + "/";
}
std::string EntryKey(LogId log, std::uint64_t snapshot_generation, std::string_view key) {
  return EntryPrefix(log, snapshot_generation) + std::string(key);
}

std::optional<StoreKey> ParseStoreKey(std::string_view key) {
  if (key.size() < 19 || key[16] != '/' || key[18] != '/') return std::nullopt;
  StoreKey parsed{.log = 0, .type = key[17], .rest = key.substr(19)};
  for (const char c : key.substr(0, 16)) {
    const bool digit = c >= '0' && c <= '9';
    if (!digit && (c < 'a' || c > 'f')) return std::nullopt;
    parsed.log = parsed.log << 4 | static_cast<std::uint64_t>(digit ? c - '0' : c - 'a' + 10);
  }
  return parsed;
}

std::string Encode(const LogHead& head) {
  encoding::Writer writer;
  writer.Number(1, head.applied);
  writer.Number(2, head.applied_epoch);
  writer.Number(3, head.epoch);
  writer.Number(4, head.snapshot_generation);
  return writer.Take();
}

std::optional<LogHead> DecodeLogHead(std::string_view bytes) {
  LogHead head;
  encoding::Reader reader(bytes);
  while (reader.Next()) {
    if (reader.field() == 1) head.applied = reader.Raw<std::uint64_t>();
    if (reader.field() == 2) head.applied_epoch = reader.Raw<std::uint64_t>();
    if (reader.field() == 3) head.epoch = reader.Raw<std::uint64_t>();
    if (reader.field() == 4) head.snapshot_generation = reader.Raw<std::uint64_t>();
  }
  return reader.ok() ? std::optional(head) : std::nullopt;
}

std::string Encode(const Operation& operation) {
  encoding::Writer writer;
  writer.Number(1, operation.sequence);
  writer.Number(2, operation.epoch);
  writer.Text(3, operation.key);
  writer.Text(4, operation.value);
  writer.Number(5, static_cast<std::uint8_t>(operation.erase));
  return writer.Take();
}

std::optional<Operation> DecodeOperation(std::string_view bytes) {
  Operation operation;
  encoding::Reader reader(bytes);
  while (reader.Next()) {
    if (reader.field() == 1) operation.sequence = reader.Raw<std::uint64_t>();
    if (reader.field() == 2) operation.epoch = reader.Raw<std::uint64_t>();
    if (reader.field() == 3) operation.key = reader.value();
    if (reader.field() == 4) operation.value = reader.value();
    if (reader.field() == 5) operation.erase = reader.Raw<std::uint8_t>() != 0;
  }
  return reader.ok() ? std::optional(std::move(operation)) : std::nullopt;
}

}  // namespace millethollow::copies
