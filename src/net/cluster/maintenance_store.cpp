#include "net/cluster/maintenance_store.h"

#include <algorithm>
#include <utility>

#include "codec/membership.h"
#include "logging/event_log.h"

namespace millethollow::cluster {
namespace {

// Maintenance records have the key of an entry in log 0; replicated logs never have that id.
constexpr copies::LogId kMaintenanceLog = 0;

copies::StoreWrite ToStoreWrite(const membership::MaintenanceRecord& record) {
  membership::MaintenanceGossip gossip;
  gossip.records.push_back(record);
  return {copies::StoreWrite::Kind::kPut, copies::EntryKey(kMaintenanceLog, 0, record.worker),
          codec::Encode(gossip)};
}

}  // namespace

std::vector<membership::MaintenanceRecord> MaintenanceStore::Load() {
  std::vector<membership::MaintenanceRecord> maintenance;
  AsyncRecordStore::Records stored;
  std::size_t damaged = 0;
  const std::string prefix = copies::EntryPrefix(kMaintenanceLog, 0);
  if (!store_->Load(prefix, &stored, &damaged)) return maintenance;
  for (const auto& [key, value] : stored) {
    const auto gossip = codec::DecodeMaintenanceGossip(value);
    if (gossip && gossip->records.size() == 1) maintenance.push_back(gossip->records[0]);
  }
  // Records of workers that no longer exist accumulate: those above the limit are removed from the
  // disk too.
  std::stable_partition(maintenance.begin(), maintenance.end(),
                        [](const auto& record) { return record.InMaintenance(); });
  if (maintenance.size() > membership::MaintenanceRegistry::kMaxWorkers) {
    maintenance.resize(membership::MaintenanceRegistry::kMaxWorkers);
  }
  if (damaged > 0) {
    Events().error("cluster records-damaged records={} will be received again from other members",
                   damaged);
  }
  if (maintenance.size() == stored.size() && damaged == 0) return maintenance;
  std::vector<copies::StoreWrite> batch{{copies::StoreWrite::Kind::kErasePrefix, prefix, ""}};
  for (const membership::MaintenanceRecord& record : maintenance)
    batch.push_back(ToStoreWrite(record));
  store_->Write(std::move(batch), [](bool) {});
  return maintenance;
}

void MaintenanceStore::Write(const std::vector<membership::MaintenanceRecord>& changed,
                             AsyncRecordStore::WriteCallback callback) {
  std::vector<copies::StoreWrite> batch;
  for (const membership::MaintenanceRecord& record : changed) batch.push_back(ToStoreWrite(record));
  store_->Write(std::move(batch), std::move(callback));
}

}  // namespace millethollow::cluster
