#include "core/request_ledger.h"

#include <algorithm>
#include <utility>

namespace millethollow {

bool LedgerEntry::MayHaveRun() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const LedgerAttempt& attempt) { return attempt.may_have_run; });
}

bool LedgerEntry::HasOpenAttempt() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const LedgerAttempt& attempt) { return attempt.open; });
}

bool RequestLedger::ReserveWireId(const std::string& wire_id) {
  return wire_id.empty() || wire_ids_.insert(wire_id).second;
}

void RequestLedger::MarkWireIdUsed(const std::string& wire_id) {
  if (wire_ids_.insert(wire_id).second) KeepEndedWireId(wire_id);
}

std::vector<std::string> RequestLedger::WireIds() const {
  std::vector<std::string> ids(ended_wire_ids_.begin(), ended_wire_ids_.end());
  for (const auto& [id, entry] : entries_) {
    if (!entry.wire_id.empty()) ids.push_back(entry.wire_id);
  }
  return ids;
}

LedgerEntry* RequestLedger::Find(RequestId id) {
  const auto it = entries_.find(id);
  return it == entries_.end() ? nullptr : &it->second;
}

LedgerAttempt* RequestLedger::FindOpenAttempt(RequestId id, int attempt) {
  LedgerEntry* entry = Find(id);
  const auto index = static_cast<std::size_t>(attempt);
  if (entry == nullptr || attempt < 0 || index >= entry->attempts.size()) return nullptr;
  return entry->attempts[index].open ? &entry->attempts[index] : nullptr;
}

void RequestLedger::EraseIfComplete(RequestId id) {
  LedgerEntry* entry = Find(id);
  if (entry == nullptr || !entry->answered || entry->HasOpenAttempt()) return;
  if (!entry->wire_id.empty()) KeepEndedWireId(std::move(entry->wire_id));
  entries_.erase(id);
}

std::vector<RequestId> RequestLedger::RequestsOfForwarder(std::uint64_t forwarder) const {
  std::vector<RequestId> ids;
  for (const auto& [id, entry] : entries_) {
    if (ForwarderOf(id) == forwarder) ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

bool RequestLedger::UsesClass(int class_index) const {
  return std::any_of(entries_.begin(), entries_.end(), [class_index](const auto& entry) {
    return entry.second.class_index == class_index;
  });
}

void RequestLedger::KeepEndedWireId(std::string wire_id) {
  ended_wire_ids_.push_back(std::move(wire_id));
  if (ended_wire_ids_.size() <= kMaxEndedWireIds) return;
  wire_ids_.erase(ended_wire_ids_.front());
  ended_wire_ids_.pop_front();
}

}  // namespace millethollow
