#include "membership/maintenance_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace millethollow::membership {
namespace {

constexpr std::size_t kMaxUpdates = 64;  // queued; above it only updates made here are added
constexpr std::size_t kMaxDecidingProcesses = 64;  // in the record of one worker

// Covers only the decisions. Drain notices are gossiped but left out of anti-entropy: a member that
// drops one would otherwise learn it from another again and again.
std::uint64_t DigestOf(const MaintenanceRecord& record) {
  if (record.decisions.empty()) return 0;
  std::uint64_t hash = 0x9e3779b97f4a7c15ULL;
  for (const char c : record.worker) hash = Mix(hash + static_cast<unsigned char>(c));
  for (const auto& [process_incarnation, counts] : record.decisions) {
    hash =
        Mix(hash + process_incarnation) ^ (std::uint64_t{counts.taken_out} << 32 | counts.put_back);
  }
  return hash;
}

}  // namespace

bool MaintenanceRecord::InMaintenance() const {
  return std::any_of(decisions.begin(), decisions.end(), [](const auto& decision) {
    return decision.second.taken_out > decision.second.put_back;
  });
}

MaintenanceRegistry::MaintenanceRegistry(NodeId self, ProcessIncarnation process_incarnation,
                                         const MaintenanceTimings& timings, std::uint64_t seed,
                                         double now)
    : self_(self),
      process_incarnation_(process_incarnation),
      timings_(timings),
      random_(seed),
      update_at_(now),
      compare_at_(now) {}

double MaintenanceRegistry::NextTickAt() const {
  return updates_.empty() ? compare_at_ : std::min(update_at_, compare_at_);
}

bool MaintenanceRegistry::InMaintenance(const std::string& worker) const {
  const auto it = entries_.find(worker);
  return it != entries_.end() && it->second.record.InMaintenance();
}

std::vector<std::string> MaintenanceRegistry::WorkersInMaintenance() const {
  std::vector<std::string> workers;
  for (const auto& [worker, entry] : entries_) {
    if (entry.record.InMaintenance()) workers.push_back(worker);
  }
  return workers;
}

std::vector<MaintenanceRecord> MaintenanceRegistry::Records() const {
  std::vector<MaintenanceRecord> records;
  for (const auto& [worker, entry] : entries_) records.push_back(entry.record);
  return records;
}

// ---- records ----

MaintenanceRegistry::Entry* MaintenanceRegistry::FindOrCreate(double now,
                                                              const std::string& worker) {
  const auto found = entries_.find(worker);
  if (found != entries_.end()) return &found->second;
  if (entries_.size() >= kMaxWorkers && !EvictLeastRecentlyActive()) return nullptr;
  Entry& entry = entries_[worker];
  entry.record.worker = worker;
  entry.last_activity_at = now;
  digest_ ^= DigestOf(entry.record);
  return &entry;
}

// Evicts the least recently active entry that is not in maintenance.
bool MaintenanceRegistry::EvictLeastRecentlyActive() {
  auto oldest = entries_.end();
  for (auto it = entries_.begin(); it != entries_.end(); ++it) {
    if (it->second.record.InMaintenance()) continue;
    const bool older =
        oldest == entries_.end() || it->second.last_activity_at < oldest->second.last_activity_at;
    if (older) oldest = it;
  }
  if (oldest == entries_.end()) return false;
  digest_ ^= DigestOf(oldest->second.record);
  entries_.erase(oldest);
  return true;
}

void MaintenanceRegistry::UpdateDigest(const std::string& worker, std::uint64_t digest_before) {
  digest_ ^= digest_before ^ DigestOf(entries_[worker].record);
}

std::uint64_t MaintenanceRegistry::SetMaintenance(double now, const std::string& worker,
                                                  bool in_maintenance, Actions* actions) {
  Entry* entry = FindOrCreate(now, worker);
  if (entry == nullptr) return 0;
  MaintenanceRecord& record = entry->record;
  const bool was_in_maintenance = record.InMaintenance();
  const std::uint64_t digest_before = DigestOf(record);
  entry->last_activity_at = now;
  // Counted also if the worker is in maintenance already: a decision to put it back, made at
  // another member at the same time, does not revoke this one.
  if (in_maintenance) {
    DecisionCounts& own_counts = record.decisions[process_incarnation_];
    own_counts.taken_out = std::max(own_counts.taken_out, own_counts.put_back) + 1;
  } else {
    for (auto& [process_incarnation, counts] : record.decisions) {
      counts.put_back = std::max(counts.taken_out, counts.put_back);
    }
  }
  UpdateDigest(worker, digest_before);
  actions->changed.push_back(record);
  if (was_in_maintenance != in_maintenance)
    (in_maintenance ? actions->taken_out : actions->put_back).push_back(worker);
  StartUpdate(worker, true);
  update_at_ = now;
  return last_sequence_;
}

void MaintenanceRegistry::OnDrainNotice(double now, const std::string& worker, double started_at_s,
                                        bool gone) {
  Entry* entry = FindOrCreate(now, worker);
  if (entry == nullptr) return;
  entry->last_activity_at = now;
  MaintenanceRecord& record = entry->record;
  const DrainState state = gone ? DrainState::kGone : DrainState::kDraining;
  const bool newer =
      std::pair(started_at_s, state) > std::pair(record.started_at_s, record.drain_state);
  if (!newer) return;
  const std::uint64_t digest_before = DigestOf(record);
  record.started_at_s = started_at_s;
  record.drain_state = state;
  UpdateDigest(worker, digest_before);
  StartUpdate(worker, false);
  update_at_ = now;
}

void MaintenanceRegistry::Merge(double now, const MaintenanceRecord& record, Actions* actions) {
  Entry* entry = FindOrCreate(now, record.worker);
  if (entry == nullptr) return;
  MaintenanceRecord& local = entry->record;
  const MaintenanceRecord before = local;
  for (const auto& [process_incarnation, counts] : record.decisions) {
    const bool full = local.decisions.size() >= kMaxDecidingProcesses;
    if (full && !local.decisions.contains(process_incarnation)) continue;
    DecisionCounts& merged = local.decisions[process_incarnation];
    merged = {std::max(merged.taken_out, counts.taken_out),
              std::max(merged.put_back, counts.put_back)};
  }
  const bool newer_drain = std::pair(record.started_at_s, record.drain_state) >
                           std::pair(local.started_at_s, local.drain_state);
  if (newer_drain) {
    local.started_at_s = record.started_at_s;
    local.drain_state = record.drain_state;
  }
  if (local == before) return;
  entry->last_activity_at = now;
  UpdateDigest(record.worker, DigestOf(before));
  const bool in_maintenance = local.InMaintenance();
  if (before.InMaintenance() != in_maintenance) {
    (in_maintenance ? actions->taken_out : actions->put_back).push_back(record.worker);
  }
  if (newer_drain) actions->drains.push_back(local);
  if (before.decisions != local.decisions) actions->changed.push_back(local);
  StartUpdate(record.worker, false);
  update_at_ = std::min(update_at_, now);
}

void MaintenanceRegistry::Restore(double now, const MaintenanceRecord& record) {
  Entry* entry = FindOrCreate(now, record.worker);
  if (entry == nullptr) return;
  const std::uint64_t digest_before = DigestOf(entry->record);
  entry->record = record;
  UpdateDigest(record.worker, digest_before);
}

// ---- gossip ----

void MaintenanceRegistry::StartUpdate(const std::string& worker, bool is_local) {
  // Updates from other members are dropped if there are too many: anti-entropy makes up for it.
  if (updates_.size() >= kMaxUpdates && !is_local) return;
  std::erase_if(updates_,
                [&](const Update& update) { return update.worker == worker && !update.is_local; });
  updates_.push_back({++last_sequence_, worker, {}, timings_.max_transmissions, is_local});
}

MaintenanceGossip MaintenanceRegistry::NextRecords() const {
  MaintenanceGossip gossip;
  gossip.digest = digest_;
  auto it = entries_.upper_bound(last_sent_worker_);
  for (std::size_t n = 0; n < entries_.size(); ++n, ++it) {
    if (gossip.records.size() >= MaintenanceGossip::kMaxRecords) break;
    if (it == entries_.end()) it = entries_.begin();
    if (!it->second.record.decisions.empty()) gossip.records.push_back(it->second.record);
  }
  return gossip;
}

void MaintenanceRegistry::OnAck(NodeId from, std::uint64_t sequence, Actions* actions) {
  const auto update = std::find_if(updates_.begin(), updates_.end(),
                                   [&](const Update& sent) { return sent.sequence == sequence; });
  if (update == updates_.end()) return;
  update->acked_by.insert(from);
  if (std::exchange(update->is_local, false)) actions->replicated.push_back(sequence);
}

void MaintenanceRegistry::OnGossip(double now, NodeId from, const MaintenanceGossip& gossip,
                                   Actions* actions) {
  const std::size_t records = std::min(gossip.records.size(), MaintenanceGossip::kMaxRecords);
  for (std::size_t i = 0; i < records; ++i) Merge(now, gossip.records[i], actions);
  OnAck(from, gossip.acked_sequence, actions);
  // With equal digests the sender has no decision that is missing here.
  if (gossip.digest == digest_) synced_ = true;
  if (!gossip.request_all && gossip.sequence == 0) return;
  MaintenanceGossip reply;
  reply.digest = digest_;
  if (gossip.request_all && gossip.digest != digest_) {
    reply = NextRecords();
    if (!reply.records.empty()) last_sent_worker_ = reply.records.back().worker;
  }
  reply.acked_sequence = gossip.sequence;
  actions->send.emplace_back(from, std::move(reply));
}

void MaintenanceRegistry::SendUpdate(const std::vector<NodeId>& alive, Update* update,
                                     Actions* actions) {
  std::vector<NodeId> recipients;
  for (const NodeId id : alive) {
    if (!update->acked_by.contains(id)) recipients.push_back(id);
  }
  update->transmissions_left = recipients.empty() ? 0 : update->transmissions_left - 1;
  for (int n = 0; n < timings_.fanout && !recipients.empty(); ++n) {
    const std::size_t pick = random_.Below(recipients.size());
    MaintenanceGossip gossip;
    gossip.digest = digest_;
    gossip.sequence = update->sequence;
    gossip.records.push_back(entries_[update->worker].record);
    actions->send.emplace_back(recipients[pick], std::move(gossip));
    recipients[pick] = recipients.back();
    recipients.pop_back();
  }
}

void MaintenanceRegistry::SendUpdates(double now, const std::vector<NodeId>& alive,
                                      Actions* actions) {
  update_at_ = now + timings_.retransmit_interval_s;
  std::erase_if(updates_,
                [this](const Update& update) { return !entries_.contains(update.worker); });
  for (Update& update : updates_) SendUpdate(alive, &update, actions);
  std::erase_if(updates_, [](const Update& update) { return update.transmissions_left <= 0; });
}

void MaintenanceRegistry::CompareDigests(double now, const std::vector<NodeId>& alive,
                                         Actions* actions) {
  const double interval_s = synced_ ? timings_.digest_interval_s : timings_.retransmit_interval_s;
  compare_at_ = now + interval_s * (0.5 + random_.Unit());
  if (alive.empty()) {
    synced_ = true;  // there is no other member that could have more records
    return;
  }
  MaintenanceGossip gossip = NextRecords();
  if (!gossip.records.empty()) last_sent_worker_ = gossip.records.back().worker;
  if (synced_) gossip.records.clear();
  gossip.request_all = true;
  actions->send.emplace_back(alive[random_.Below(alive.size())], std::move(gossip));
}

void MaintenanceRegistry::DropExpiredDrainNotices(double now) {
  std::erase_if(entries_, [&](const auto& item) {
    const Entry& entry = item.second;
    const bool recent = now - entry.last_activity_at < timings_.drain_retention_s;
    return entry.record.decisions.empty() && !recent;
  });
}

void MaintenanceRegistry::Tick(double now, const std::vector<NodeId>& alive, Actions* actions) {
  if (!updates_.empty() && update_at_ <= now) SendUpdates(now, alive, actions);
  if (compare_at_ > now) return;
  CompareDigests(now, alive, actions);
  DropExpiredDrainNotices(now);
}

}  // namespace millethollow::membership
