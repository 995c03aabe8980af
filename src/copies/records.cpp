#include "copies/records.h"

#include "encoding/fields.h"

namespace millethollow::copies {
namespace {

// Big-endian digits, so that keys lie in the order of their numbers.
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
  StoreKey parts{.log = 0, .type = key[17], .rest = key.substr(19)};
  for (const char c : key.substr(0, 16)) {
    const bool digit = c >= '0' && c <= '9';
    if (!digit && (c < 'a' || c > 'f')) return std::nullopt;
    parts.log = parts.log << 4 | static_cast<std::uint64_t>(digit ? c - '0' : c - 'a' + 10);
  }
  return parts;
}

std::string Encode(const LogHead& h) {
  encoding::Writer w;
  w.Number(1, h.applied);
  w.Number(2, h.applied_epoch);
  w.Number(3, h.epoch);
  w.Number(4, h.snapshot_generation);
  return w.Take();
}

std::optional<LogHead> DecodeLogHead(std::string_view bytes) {
  LogHead h;
  encoding::Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) h.applied = r.Raw<std::uint64_t>();
    if (r.field() == 2) h.applied_epoch = r.Raw<std::uint64_t>();
    if (r.field() == 3) h.epoch = r.Raw<std::uint64_t>();
    if (r.field() == 4) h.snapshot_generation = r.Raw<std::uint64_t>();
  }
  return r.ok() ? std::optional(h) : std::nullopt;
}

std::string Encode(const Operation& op) {
  encoding::Writer w;
  w.Number(1, op.sequence);
  w.Number(2, op.epoch);
  w.Text(3, op.key);
  w.Text(4, op.value);
  w.Number(5, static_cast<std::uint8_t>(op.erase));
  return w.Take();
}

std::optional<Operation> DecodeOperation(std::string_view bytes) {
  Operation op;
  encoding::Reader r(bytes);
  while (r.Next()) {
    if (r.field() == 1) op.sequence = r.Raw<std::uint64_t>();
    if (r.field() == 2) op.epoch = r.Raw<std::uint64_t>();
    if (r.field() == 3) op.key = r.value();
    if (r.field() == 4) op.value = r.value();
    if (r.field() == 5) op.erase = r.Raw<std::uint8_t>() != 0;
  }
  return r.ok() ? std::optional(std::move(op)) : std::nullopt;
}

}  // namespace millethollow::copies
