// The maintenance records of this member on its disk: read at the start, written at each change.
#ifndef MILLETHOLLOW_NET_CLUSTER_MAINTENANCE_STORE_H_
#define MILLETHOLLOW_NET_CLUSTER_MAINTENANCE_STORE_H_

#include <vector>

#include "membership/maintenance_registry.h"
#include "net/cluster/async_record_store.h"

namespace millethollow::cluster {

// Does not own the store. All calls and callbacks are on the loop's thread.
class MaintenanceStore {
 public:
  explicit MaintenanceStore(AsyncRecordStore* store) : store_(store) {}
  // Reads the records, blocking. Damaged ones are left out: other members have them. Returns at
  // most MaintenanceRegistry::kMaxWorkers, with workers in maintenance first, and removes the rest
  // from the disk.
  std::vector<membership::MaintenanceRecord> Load();
  // Calls `callback` once these records and all earlier writes are on the disk. `changed` may be
  // empty.
  void Write(const std::vector<membership::MaintenanceRecord>& changed,
             AsyncRecordStore::WriteCallback callback);

 private:
  AsyncRecordStore* store_;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_MAINTENANCE_STORE_H_
