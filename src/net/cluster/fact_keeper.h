// What was said by hand, on this member's disk: read at the start, written at each change.
#ifndef MILLETHOLLOW_NET_CLUSTER_FACT_KEEPER_H_
#define MILLETHOLLOW_NET_CLUSTER_FACT_KEEPER_H_

#include <vector>

#include "membership/maintenance_registry.h"
#include "net/cluster/async_record_store.h"

namespace millethollow::cluster {

class FactKeeper {
 public:
  explicit FactKeeper(AsyncRecordStore* store) : store_(store) {}
  // Damaged records are left out: others have them. No more than Facts::kMaxWorkers, those that
  // are out first.
  std::vector<membership::MaintenanceRecord> Load();
  // `then` once these and all that were given before are on the disk; none may be given.
  void Keep(const std::vector<membership::MaintenanceRecord>& changed, AsyncRecordStore::Then then);

 private:
  AsyncRecordStore* store_;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_FACT_KEEPER_H_
