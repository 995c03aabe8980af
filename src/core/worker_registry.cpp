#include "core/worker_registry.h"

#include <unordered_set>

namespace millethollow {

using balancing::Endpoint;
using balancing::Readiness;

namespace {

void SetEndpoint(const Endpoint& endpoint, double now, RegisteredWorker* worker) {
  worker->endpoint = endpoint;
  if (endpoint.readiness == Readiness::kReady) {
    worker->drain_notified_at = -1;
  } else if (!worker->draining()) {
    worker->drain_notified_at = now;
  }
}

}  // namespace

void WorkerRegistry::Update(const Endpoint& endpoint, double now) {
  RegisteredWorker& worker = workers_[endpoint.worker];
  worker.local = false;
  worker.forwarder = 0;
  SetEndpoint(endpoint, now, &worker);
}

void WorkerRegistry::UpdateLocal(const Endpoint& endpoint, std::uint64_t forwarder, double now) {
  RegisteredWorker& worker = workers_[endpoint.worker];
  worker.local = true;
  worker.forwarder = forwarder;
  SetEndpoint(endpoint, now, &worker);
}

std::vector<Endpoint> WorkerRegistry::ApplySnapshot(const std::vector<Endpoint>& listed,
                                                    double now) {
  std::vector<Endpoint> complete_list = listed;
  std::unordered_set<std::string_view> names;
  for (const Endpoint& endpoint : listed) names.insert(endpoint.worker);
  for (auto& [name, worker] : workers_) {
    if (worker.local) {
      complete_list.push_back(worker.endpoint);
    } else if (!names.contains(name)) {
      worker.endpoint.readiness = Readiness::kGone;
      if (!worker.draining()) worker.drain_notified_at = now;
    }
  }
  return complete_list;
}

bool WorkerRegistry::SetMaintenance(const std::string& worker, bool in_maintenance, double now,
                                    bool* changed) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return false;
  *changed = in_maintenance != it->second.in_maintenance();
  if (*changed) it->second.maintenance_since = in_maintenance ? now : -1;
  return true;
}

void WorkerRegistry::EraseGone(const std::function<bool(std::string_view)>& keep) {
  std::erase_if(workers_, [&](const auto& entry) {
    const RegisteredWorker& worker = entry.second;
    return !worker.local && !worker.in_maintenance() &&
           worker.endpoint.readiness == Readiness::kGone && !keep(entry.first);
  });
}

const RegisteredWorker* WorkerRegistry::Find(const std::string& worker) const {
  const auto it = workers_.find(worker);
  return it == workers_.end() ? nullptr : &it->second;
}

bool WorkerRegistry::IsLocal(const std::string& worker) const {
  const RegisteredWorker* registered = Find(worker);
  return registered != nullptr && registered->local;
}

std::vector<std::string> WorkerRegistry::InMaintenance() const {
  std::vector<std::string> names;
  for (const auto& [name, worker] : workers_) {
    if (worker.in_maintenance()) names.push_back(name);
  }
  return names;
}

std::vector<Endpoint> WorkerRegistry::LocalEndpoints(std::uint64_t forwarder) const {
  std::vector<Endpoint> endpoints;
  for (const auto& [name, worker] : workers_) {
    if (worker.local && worker.forwarder == forwarder) endpoints.push_back(worker.endpoint);
  }
  return endpoints;
}

WorkerRegistry::Counts WorkerRegistry::Count(
    const std::function<bool(const std::string&)>& is_excluded) const {
  Counts counts;
  for (const auto& [name, worker] : workers_) {
    if (worker.endpoint.readiness == Readiness::kGone) continue;
    counts.listed += 1;
    counts.unavailable += is_excluded(name);
  }
  return counts;
}

std::vector<WorkerSnapshot> WorkerRegistry::Export() const {
  std::vector<WorkerSnapshot> snapshots;
  for (const auto& [name, worker] : workers_) {
    if (worker.local) continue;
    snapshots.push_back({worker.endpoint, worker.drain_notified_at, worker.maintenance_since});
  }
  return snapshots;
}

void WorkerRegistry::Import(const std::vector<WorkerSnapshot>& snapshots) {
  for (const WorkerSnapshot& snapshot : snapshots) {
    RegisteredWorker& worker = workers_[snapshot.endpoint.worker];
    worker.endpoint = snapshot.endpoint;
    worker.drain_notified_at = snapshot.drain_notified_at;
    worker.maintenance_since = snapshot.maintenance_since;
  }
}

}  // namespace millethollow
