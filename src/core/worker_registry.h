// The workers that a planner knows: their last endpoint state, drains and maintenance.
#ifndef MILLETHOLLOW_CORE_WORKER_REGISTRY_H_
#define MILLETHOLLOW_CORE_WORKER_REGISTRY_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow {

// Times are seconds on the loop's clock; -1: not so.
struct RegisteredWorker {
  balancing::Endpoint endpoint;
  double drain_notified_at = -1;  // when it was first reported as draining or gone
  double maintenance_since = -1;  // when an operator took it out of service
  bool local = false;             // it connected to a forwarder itself, and is on no list
  std::uint64_t forwarder = 0;    // that forwarder

  bool draining() const { return drain_notified_at >= 0; }
  bool in_maintenance() const { return maintenance_since >= 0; }
};

// What a process hands to the one that replaces it, for each worker of the endpoint list.
struct WorkerSnapshot {
  balancing::Endpoint endpoint;
  double drain_notified_at = -1, maintenance_since = -1;
};

// Maintenance overrides every endpoint list: it lasts until an operator ends it.
//
// Not thread-safe. Iteration is by name.
class WorkerRegistry {
 public:
  struct Counts {
    std::size_t listed = 0;       // not gone
    std::size_t unavailable = 0;  // of these, those that get no new requests
  };

  // From an endpoint list.
  void Update(const balancing::Endpoint& endpoint, double now);
  // Of a worker that is connected to `forwarder`.
  void UpdateLocal(const balancing::Endpoint& endpoint, std::uint64_t forwarder, double now);
  // Marks all as gone that a full list lacks, except for local ones. Returns the list with the
  // local workers added.
  std::vector<balancing::Endpoint> ApplySnapshot(const std::vector<balancing::Endpoint>& listed,
                                                 double now);
  // False: no such worker was ever listed. `*changed`: it was not in that state already.
  bool SetMaintenance(const std::string& worker, bool in_maintenance, double now, bool* changed);
  // Drops gone workers that `keep` does not name, except for local ones and those in maintenance.
  void EraseGone(const std::function<bool(std::string_view worker)>& keep);

  const RegisteredWorker* Find(const std::string& worker) const;  // null: unknown
  bool IsLocal(const std::string& worker) const;
  std::vector<std::string> InMaintenance() const;
  // Of workers connected to `forwarder`.
  std::vector<balancing::Endpoint> LocalTo(std::uint64_t forwarder) const;
  Counts Count(const std::function<bool(const std::string& worker)>& excluded) const;

  std::vector<WorkerSnapshot> Export() const;
  void Import(const std::vector<WorkerSnapshot>& snapshots);

 private:
  std::map<std::string, RegisteredWorker> workers_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_WORKER_REGISTRY_H_
