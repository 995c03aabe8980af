// The workers that a planner knows, with their last endpoint state, drains and maintenance.
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

// A known worker. Times are seconds on the loop's clock; -1 means that the state does not apply.
struct RegisteredWorker {
  balancing::Endpoint endpoint;
  double drain_notified_at = -1;  // when it was first reported to be draining or gone
  double maintenance_since = -1;  // when an operator put it in maintenance
  bool local = false;             // it connects to a forwarder itself and is on no endpoint list
  std::uint64_t forwarder = 0;    // number of that forwarder, if local

  bool draining() const { return drain_notified_at >= 0; }
  bool in_maintenance() const { return maintenance_since >= 0; }
};

// State of a worker of the endpoint list that a process hands to the one that replaces it.
struct WorkerSnapshot {
  balancing::Endpoint endpoint;
  double drain_notified_at = -1, maintenance_since = -1;
};

// Maintenance overrides all endpoint lists and lasts until an operator ends it.
//
// Not thread-safe. Workers are enumerated in the order of their names.
class WorkerRegistry {
 public:
  struct Counts {
    std::size_t listed = 0;       // workers that are not gone
    std::size_t unavailable = 0;  // those of them that get no new requests
  };

  // Applies an entry of an endpoint list.
  void Update(const balancing::Endpoint& endpoint, double now);
  // Applies a change of a worker that is connected to `forwarder`.
  void UpdateLocal(const balancing::Endpoint& endpoint, std::uint64_t forwarder, double now);
  // Marks all non-local workers as gone that the full list lacks. Returns the list with the local
  // workers added.
  std::vector<balancing::Endpoint> ApplySnapshot(const std::vector<balancing::Endpoint>& listed,
                                                 double now);
  // Returns false if no such worker was ever listed. Sets `*changed` to whether the state changed.
  bool SetMaintenance(const std::string& worker, bool in_maintenance, double now, bool* changed);
  // Erases gone workers for which `keep` is false, except for local ones and those in maintenance.
  void EraseGone(const std::function<bool(std::string_view worker)>& keep);

  // Returns null if the worker is unknown.
  const RegisteredWorker* Find(const std::string& worker) const;
  // Whether the worker is known and connects to a forwarder itself.
  bool IsLocal(const std::string& worker) const;
  // Names of the workers in maintenance.
  std::vector<std::string> InMaintenance() const;
  // The workers that are connected to `forwarder`.
  std::vector<balancing::Endpoint> LocalEndpoints(std::uint64_t forwarder) const;
  // `is_excluded`: whether a worker gets no new requests.
  Counts Count(const std::function<bool(const std::string& worker)>& is_excluded) const;

  // State of all non-local workers, for hot restart.
  std::vector<WorkerSnapshot> Export() const;
  // Adds the workers of a predecessor's export. Call before any other update.
  void Import(const std::vector<WorkerSnapshot>& snapshots);

 private:
  std::map<std::string, RegisteredWorker> workers_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_WORKER_REGISTRY_H_
