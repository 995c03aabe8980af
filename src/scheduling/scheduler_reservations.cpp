// The scheduler's reservations: who gets one, where, and for how long.
#include <algorithm>
#include <limits>
#include <utility>

#include "scheduling/mix.h"
#include "scheduling/scheduler.h"

namespace millethollow::scheduling {
namespace {

constexpr double kInf = std::numeric_limits<double>::infinity();
constexpr double kMinTenantShare = 1e-3;

}  // namespace

double Scheduler::ReservationLimitSlots() const {
  return options_.max_reserved_fleet_share * fleet_slots_ * reservation_share_;
}

void Scheduler::BreakOverdueReservations(double now) {
  std::vector<JobHandle> overdue;
  for (const int worker : reserved_workers_) {
    const JobHandle job = workers_[static_cast<std::size_t>(worker)].reserved_for;
    if (now - queue_.at(job).reserved_since > options_.reservation_timeout_s) {
      overdue.push_back(job);
    }
  }
  for (const JobHandle job : overdue) {
    QueuedJob& queued = queue_.at(job);
    queued.no_reservation_until = now + options_.reservation_timeout_s;  // others' turn
    Unreserve(&queued, true);
  }
}

void Scheduler::Unreserve(QueuedJob* queued, bool broken) {
  const auto number = static_cast<std::size_t>(std::exchange(queued->reserved_worker, -1));
  Worker& w = workers_[number];
  w.reserved_for = 0;
  reserved_workers_.erase(static_cast<int>(number));
  reserved_slots_ -= queued->job.need.slots;
  reserved_by_tenant_[queued->job.tenant] -= queued->job.need.slots;
  if (reserved_workers_.empty()) {
    reserved_slots_ = 0;
    reserved_by_tenant_.clear();
  }
  stats_.broken_reservations += broken;
  unreserved_[queued->job.tenant].insert(queued->job.handle);
  plan_needed_ = true;
  UpdateIndex(number);
}

// Reservations go to the tenant that has least for its share, in turn, until the limit is reached.
void Scheduler::PlanReservations(double now) {
  plan_needed_ = false;
  std::set<int> done;
  while (true) {
    int next = -1;
    double least = kInf;
    for (const auto& [tenant, jobs] : unreserved_) {
      if (done.contains(tenant)) continue;
      const auto t = static_cast<std::size_t>(tenant);
      const bool has_share = t < tenant_shares_.size() && tenant_shares_[t] > 0;
      const double share = has_share ? tenant_shares_[t] : kMinTenantShare;
      const double reserved = ReservedByTenant(tenant) / share;
      if (reserved < least) {
        least = reserved;
        next = tenant;
      }
    }
    if (next < 0) return;
    if (!ReserveForTenant(next, now)) done.insert(next);
  }
}

double Scheduler::ReservedByTenant(int tenant) const {
  const auto it = reserved_by_tenant_.find(tenant);
  return it == reserved_by_tenant_.end() ? 0 : it->second;
}

// Reserves for the tenant's oldest job that may have a reservation; false: none was made.
bool Scheduler::ReserveForTenant(int tenant, double now) {
  int tries = 0;
  for (const JobHandle handle : unreserved_.at(tenant)) {
    QueuedJob& queued = queue_.at(handle);
    if (queued.no_reservation_until > now) continue;
    if (!WithinReservationLimits(tenant, queued.job.need.slots)) return false;
    const int worker = FindReservationWorker(queued.job, now);
    cursor_ += kMaxWorkersCompared;
    if (worker >= 0) {
      Reserve(&queued, worker, now);
      return true;
    }
    if (++tries >= kMaxHintedTries) break;
  }
  return false;
}

// The first reservation is made whatever the limit, unless that is 0: a small fleet has few slots.
// A tenant may have twice its share.
bool Scheduler::WithinReservationLimits(int tenant, double slots) const {
  const double limit = ReservationLimitSlots();
  if (limit <= 0 || (reserved_slots_ > 0 && reserved_slots_ + slots > limit)) return false;
  const auto t = static_cast<std::size_t>(tenant);
  const double share = t < tenant_shares_.size() ? tenant_shares_[t] : 1.0;
  const double reserved = ReservedByTenant(tenant);
  return reserved <= 0 || reserved + slots <= 2 * share * limit;
}

// The worker that is expected to have room first, of some that are looked at in turn; -1: none.
int Scheduler::FindReservationWorker(const Job& job, double now) const {
  int best = -1;
  double earliest = kInf;
  std::uint64_t best_rank = 0;
  const std::size_t n = workers_.size();
  const std::size_t last = std::min(n, 4 * kMaxWorkersCompared);
  for (std::size_t i = 0, compared = 0; i < last && compared < kMaxWorkersCompared; ++i) {
    const std::size_t number = n <= kMaxWorkersCompared ? i : (cursor_ + i) % n;
    const Worker& w = workers_[number];
    if (!MayReserveAt(w) || !MatchesKind(job.kind, w)) continue;
    ++compared;
    const Resources need = EffectiveNeed(w, job.need);
    const double max_slots = options_.max_reserved_worker_share * w.state.capacity.slots;
    if (need.slots > max_slots + kRounding) continue;
    const double shadow = ShadowTime(w, need, now);
    if (shadow == kInf) continue;
    // Ties go by a rank of each node's own, so that nodes with the same view choose apart.
    const std::uint64_t rank = Mix(seed_, number);
    if (best < 0 || shadow < earliest || (shadow == earliest && rank < best_rank)) {
      best = static_cast<int>(number);
      earliest = shadow;
      best_rank = rank;
    }
  }
  return best;
}

bool Scheduler::MayReserveAt(const Worker& w) const {
  return w.state.usable && !w.excluded && !w.state.warming_up && w.reserved_for == 0 &&
         w.state.capacity.slots > 0;
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
