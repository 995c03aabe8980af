// The scheduler's reservations: which jobs get one, at which workers, and for how long.
#include <algorithm>
#include <limits>
#include <utility>

#include "scheduling/mix.h"
#include "scheduling/scheduler.h"

namespace millethollow::scheduling {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kMinTenantShare = 1e-3;  // of a tenant without a share

}  // namespace

double Scheduler::ReservationLimitSlots() const {
  return options_.max_reserved_fleet_share * fleet_slots_ * reservation_share_;
}

void Scheduler::CancelOverdueReservations(double now) {
  std::vector<JobHandle> overdue;
  for (const int worker : reserved_workers_) {
    const JobHandle job = workers_[static_cast<std::size_t>(worker)].reserved_for;
    if (now - queue_.at(job).reserved_since > options_.reservation_timeout_s) {
      overdue.push_back(job);
    }
  }
  for (const JobHandle job : overdue) {
    QueuedJob& queued = queue_.at(job);
    queued.may_reserve_from = now + options_.reservation_timeout_s;  // let other jobs go first
    Unreserve(&queued, true);
  }
}

void Scheduler::Unreserve(QueuedJob* queued, bool cancelled) {
  const auto worker_index = static_cast<std::size_t>(std::exchange(queued->reserved_worker, -1));
  Worker& worker = workers_[worker_index];
  worker.reserved_for = 0;
  reserved_workers_.erase(static_cast<int>(worker_index));
  reserved_slots_ -= queued->job.need.slots;
  reserved_by_tenant_[queued->job.tenant] -= queued->job.need.slots;
  if (reserved_workers_.empty()) {
    reserved_slots_ = 0;
    reserved_by_tenant_.clear();
  }
  stats_.cancelled_reservations += cancelled;
  unreserved_[queued->job.tenant].insert(queued->job.handle);
  reservations_outdated_ = true;
  UpdateIndex(worker_index);
}

// Makes reservations until the limit is reached, each for the tenant with the least reserved slots
// relative to its share.
void Scheduler::PlanReservations(double now) {
  reservations_outdated_ = false;
  std::set<int> finished_tenants;
  while (true) {
    int next_tenant = -1;
    double least_reserved = kInfinity;
    for (const auto& [tenant, jobs] : unreserved_) {
      if (finished_tenants.contains(tenant)) continue;
      const auto tenant_index = static_cast<std::size_t>(tenant);
      const bool has_share =
          tenant_index < tenant_shares_.size() && tenant_shares_[tenant_index] > 0;
      const double share = has_share ? tenant_shares_[tenant_index] : kMinTenantShare;
      const double reserved = ReservedByTenant(tenant) / share;
      if (reserved < least_reserved) {
        least_reserved = reserved;
        next_tenant = tenant;
      }
    }
    if (next_tenant < 0) return;
    if (!ReserveForTenant(next_tenant, now)) finished_tenants.insert(next_tenant);
  }
}

double Scheduler::ReservedByTenant(int tenant) const {
  const auto it = reserved_by_tenant_.find(tenant);
  return it == reserved_by_tenant_.end() ? 0 : it->second;
}

// Makes a reservation for the tenant's oldest job that may have one. Returns false if none was
// made.
bool Scheduler::ReserveForTenant(int tenant, double now) {
  int tries = 0;
  for (const JobHandle handle : unreserved_.at(tenant)) {
    QueuedJob& queued = queue_.at(handle);
    if (queued.may_reserve_from > now) continue;
    if (!WithinReservationLimits(tenant, queued.job.need.slots)) return false;
    const int worker = FindReservationWorker(queued.job, now);
    search_start_ += kMaxWorkersCompared;
    if (worker >= 0) {
      Reserve(&queued, worker, now);
      return true;
    }
    if (++tries >= kMaxHintedTries) break;
  }
  return false;
}

// The first reservation is allowed whatever its size, unless the limit is 0, since a small fleet
// has few slots. A tenant may reserve up to twice its share.
bool Scheduler::WithinReservationLimits(int tenant, double slots) const {
  const double limit = ReservationLimitSlots();
  if (limit <= 0 || (reserved_slots_ > 0 && reserved_slots_ + slots > limit)) return false;
  const auto tenant_index = static_cast<std::size_t>(tenant);
  const double share = tenant_index < tenant_shares_.size() ? tenant_shares_[tenant_index] : 1.0;
  const double reserved = ReservedByTenant(tenant);
  return reserved <= 0 || reserved + slots <= 2 * share * limit;
}

// Returns the worker that is expected to have enough free resources first, or -1. Compares a
// bounded number of workers, starting at a different one in each call.
int Scheduler::FindReservationWorker(const Job& job, double now) const {
  int best = -1;
  double earliest_shadow_time = kInfinity;
  std::uint64_t best_rank = 0;
  const std::size_t worker_count = workers_.size();
  const std::size_t max_visited = std::min(worker_count, 4 * kMaxWorkersCompared);
  for (std::size_t offset = 0, compared = 0; offset < max_visited && compared < kMaxWorkersCompared;
       ++offset) {
    const std::size_t worker_index =
        worker_count <= kMaxWorkersCompared ? offset : (search_start_ + offset) % worker_count;
    const Worker& worker = workers_[worker_index];
    if (!MayReserveAt(worker) || !MatchesKind(job.kind, worker)) continue;
    ++compared;
    const Resources need = EffectiveNeed(worker, job.need);
    const double max_slots = options_.max_reserved_worker_share * worker.state.capacity.slots;
    if (need.slots > max_slots + kRounding) continue;
    const double shadow_time = ShadowTime(worker, need, now);
    if (shadow_time == kInfinity) continue;
    // Ties are broken by a rank that differs between nodes, so that nodes with the same view of the
    // workers choose different ones.
    const std::uint64_t rank = Mix(seed_, worker_index);
    if (best < 0 || shadow_time < earliest_shadow_time ||
        (shadow_time == earliest_shadow_time && rank < best_rank)) {
      best = static_cast<int>(worker_index);
      earliest_shadow_time = shadow_time;
      best_rank = rank;
    }
  }
  return best;
}

bool Scheduler::MayReserveAt(const Worker& worker) const {
  return worker.state.usable && !worker.excluded && !worker.state.in_slow_start &&
         worker.reserved_for == 0 && worker.state.capacity.slots > 0;
}

void Scheduler::Reserve(QueuedJob* queued, int worker, double now) {
  const Job& job = queued->job;
  workers_[static_cast<std::size_t>(worker)].reserved_for = job.handle;
  queued->reserved_worker = worker;
  queued->reserved_since = now;
  reserved_workers_.insert(worker);
  reserved_slots_ += job.need.slots;
  reserved_by_tenant_[job.tenant] += job.need.slots;
  const auto jobs = unreserved_.find(job.tenant);
  jobs->second.erase(job.handle);
  if (jobs->second.empty()) unreserved_.erase(jobs);
  UpdateIndex(static_cast<std::size_t>(worker));
}

}  // namespace millethollow::scheduling
