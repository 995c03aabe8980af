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
  return wire_id.empty() || reservations_.try_emplace(wire_id, 1).second;
}

void RequestLedger::MarkWireIdUsed(const std::string& wire_id, double now) {
  const auto [reservation, is_new] = reservations_.try_emplace(wire_id, 0);
  reservation->second += 1;
  KeepEndedWireId(wire_id, now, is_new ? &never_ran_ : &may_have_run_);
}

std::vector<std::string> RequestLedger::WireIds() const {
  std::vector<std::string> ids;
  for (const EndedWireId& ended : never_ran_) ids.push_back(ended.wire_id);
  const auto add_as_run = [&ids](const std::string& id) { ids.insert(ids.end(), 2, id); };
  for (const EndedWireId& ended : may_have_run_) add_as_run(ended.wire_id);
  for (const auto& [id, entry] : entries_) {
    if (!entry.wire_id.empty()) add_as_run(entry.wire_id);
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

void RequestLedger::EraseIfComplete(RequestId id, double now) {
  LedgerEntry* entry = Find(id);
  if (entry == nullptr || !entry->answered || entry->HasOpenAttempt()) return;
  if (!entry->wire_id.empty()) {
    EndedWireIds* kept = entry->MayHaveRun() ? &may_have_run_ : &never_ran_;
    KeepEndedWireId(std::move(entry->wire_id), now, kept);
  }
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

void RequestLedger::KeepEndedWireId(std::string wire_id, double now, EndedWireIds* kept) {
  kept->push_back({std::move(wire_id), now});
  while (!MustKeepOldest(*kept, now)) {
    const auto oldest = reservations_.find(kept->front().wire_id);
    oldest->second -= 1;
    if (oldest->second == 0) reservations_.erase(oldest);
    kept->pop_front();
  }
}

bool RequestLedger::MustKeepOldest(const EndedWireIds& kept, double now) const {
  if (kept.size() <= kMaxEndedWireIds) return true;
  return &kept == &may_have_run_ && kept.size() <= kMaxRetainedWireIds &&
         kept.front().ended_at + retention_s_ > now;
}

}  // namespace millethollow
