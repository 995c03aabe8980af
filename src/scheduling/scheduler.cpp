#include "scheduling/scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "scheduling/mix.h"

namespace millethollow::scheduling {
namespace {

constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr Resources kUnlimited{1e12, 1e12};  // slots, units of memory
// Quantiles of the remaining run time that are used for jobs that run at a worker with a
// reservation, and for jobs to be backfilled there, which should not delay the reserved job.
constexpr double kReservationQuantile = 0.5;
constexpr double kBackfillQuantile = 0.75;
// One in this many picks prefers a job that can no longer start in time, so that such jobs do not
// wait forever.
constexpr std::uint64_t kLatePickInterval = 16;
// Time for which a worker that rejected a job counts as full.
constexpr double kRejectionBackoffS = 0.2;
constexpr double kMinRunS = 1e-4;        // shorter run times count as this
constexpr double kMeanRunSamples = 100;  // time constant of the mean run time, in samples

// Needs are rounded up to steps, so that there are few shapes. A step of slots is a quarter of a
// slot.
int SlotSteps(double slots) { return static_cast<int>(std::ceil(slots * 4 - kRounding)); }
// Steps of memory are 1/32 unit wide up to two units, and grow by a twentieth each above that.
int MemorySteps(double memory) {
  if (memory <= 2) return static_cast<int>(std::ceil(memory * 32 - kRounding));
  return 64 + static_cast<int>(std::ceil(std::log(memory / 2) / std::log(1.05) - kRounding));
}
// The memory that corresponds to a number of steps.
double MemoryOf(int steps) {
  return steps <= 64 ? steps / 32.0 : 2 * std::pow(1.05, static_cast<double>(steps) - 64);
}

}  // namespace

void Scheduler::Configure(const Options& options) {
  options_ = options;
  reservations_outdated_ = true;
}

// ---- workers ----

// The need of a job as compared with the worker's capacity. An estimated capacity may be too low,
// so a job that exceeds all capacities is taken to need exactly this worker's: it is tried when the
// worker is idle.
Resources Scheduler::EffectiveNeed(const Worker& worker, const Resources& need) const {
  if (worker.state.capacity_reported || need.Within(largest_capacity_.at(worker.state.kind)))
    return need;
  return {std::min(need.slots, worker.state.capacity.slots),
          std::min(need.memory, worker.state.capacity.memory)};
}

Resources Scheduler::OtherUsage(const Worker& worker) const {
  // The memory that other nodes' jobs use is not known. It is estimated from their slots.
  const double memory_per_slot = worker.state.capacity.slots > 0
                                     ? worker.state.capacity.memory / worker.state.capacity.slots
                                     : 0;
  const double slots = std::max(worker.state.other_slots, worker.assumed_other_slots);
  return {slots, slots * std::min(memory_per_slot, options_.memory_per_slot)};
}

Resources Scheduler::Available(const Worker& worker) const {
  if (!worker.state.usable || worker.excluded) return {-1, -1};
  if (worker.state.capacity.slots <= 0) return kUnlimited;
  return worker.state.capacity - OtherUsage(worker) - worker.used;
}

void Scheduler::SetWorker(std::size_t worker, const WorkerState& state) {
  if (worker >= workers_.size()) workers_.resize(worker + 1);
  Worker& target = workers_[worker];
  if (target.listed && target.state == state) return;
  const auto count_slots = [this](const WorkerState& counted, double sign) {
    const double slots = counted.usable ? sign * counted.capacity.slots : 0;
    fleet_slots_ += slots;
    local_zone_slots_ += counted.remote_zone ? 0 : slots;
  };
  if (target.listed) count_slots(target.state, -1);
  count_slots(state, 1);
  const bool became_unusable = target.listed && target.state.usable && !state.usable;
  if (target.listed &&
      (target.state.kind != state.kind || target.state.remote_zone != state.remote_zone)) {
    for (const int kind : {-1, target.state.kind})
      available_[{kind, target.state.remote_zone}].Set(worker, {-1, -1});
  }
  target.state = state;
  target.listed = true;
  for (const int kind : {-1, state.kind}) {
    Resources& largest = largest_capacity_.try_emplace(kind, Resources{0, 0}).first->second;
    largest = {std::max(largest.slots, state.capacity.slots),
               std::max(largest.memory, state.capacity.memory)};
  }
  if (became_unusable && target.reserved_for != 0) Unreserve(&queue_.at(target.reserved_for), true);
  // Another worker may be better for a reservation now.
  reservations_outdated_ = true;
  UpdateIndex(worker);
}

void Scheduler::UpdateIndex(std::size_t worker) {
  Worker& target = workers_[worker];
  Resources available = Available(target);
  if (target.reserved_for != 0)
    available = available - EffectiveNeed(target, queue_.at(target.reserved_for).job.need);
  for (const int kind : {-1, target.state.kind})
    available_[{kind, target.state.remote_zone}].Set(worker, available);
  if (target.changed || queue_.empty() || !target.state.usable) return;
  target.changed = true;
  changed_workers_.push_back(worker);
}

double Scheduler::ExpectedEnd(const Worker& worker, const RunningJob& running_job,
                              double now) const {
  return now + runtimes_.Remaining(running_job.class_index, worker.state.kind, running_job.hint_s,
                                   now - running_job.started_at, kReservationQuantile);
}

// The expected time at which `need` fits at the worker (the shadow time of EASY backfill). Other
// nodes' jobs are assumed to end last.
double Scheduler::ShadowTime(const Worker& worker, const Resources& need, double now) const {
  Resources available = Available(worker);
  if (need.Within(available)) return now;
  std::vector<std::pair<double, Resources>> ends;
  for (const RunningJob& running_job : worker.running)
    ends.emplace_back(ExpectedEnd(worker, running_job, now), running_job.need);
  std::sort(ends.begin(), ends.end(),
            [](const auto& left, const auto& right) { return left.first < right.first; });
  double last_end = now;
  for (const auto& [ends_at, freed] : ends) {
    available = available + freed;
    last_end = ends_at;
    if (need.Within(available)) return ends_at;
  }
  if (!need.Within(worker.state.capacity)) return kInfinity;
  return last_end + mean_run_s_;
}

// Whether `job` can start at the worker without delaying the job that has the reservation there.
bool Scheduler::MayBackfill(const Worker& worker, const Job& job, const Resources& need,
                            double now) const {
  const QueuedJob& reserved = queue_.at(worker.reserved_for);
  if (reserved.job.handle == job.handle) return true;
  const Resources reserved_need = EffectiveNeed(worker, reserved.job.need);
  const Resources available = Available(worker);
  if (need.Within(available - reserved_need)) return true;
  const double shadow_time = ShadowTime(worker, reserved_need, now);
  if (now + runtimes_.Remaining(job.class_index, worker.state.kind, job.hint_s, 0,
                                kBackfillQuantile) <=
      shadow_time)
    return true;
  Resources available_at_shadow_time = available;
  for (const RunningJob& running_job : worker.running) {
    if (ExpectedEnd(worker, running_job, now) <= shadow_time)
      available_at_shadow_time = available_at_shadow_time + running_job.need;
  }
  return need.Within(available_at_shadow_time - reserved_need);
}

// Delay scheduling (Zaharia et al. 2010): as long as few jobs are queued, a short wait for a slot
// in the local zone costs less than the use of a remote zone.
bool Scheduler::MayUseRemoteZone(const Job& job, double now) const {
  return now - job.arrived_at >= options_.local_zone_wait_s || ExceedsLocalSupply(queue_.size());
}

// Whether a worker of the local zone has enough free resources. If so, the balancer may choose a
// remote one too, since it takes the cost into account.
bool Scheduler::LocalZoneFits(const Job& job) const {
  const auto local_zone = available_.find({job.kind, false});
  return local_zone != available_.end() && local_zone->second.Find(job.need) >= 0;
}

bool Scheduler::ExceedsLocalSupply(std::size_t queued) const {
  const double freed_soon = local_zone_slots_ * options_.local_zone_wait_s / mean_run_s_;
  return static_cast<double>(queued) > freed_soon;
}

void Scheduler::ReindexRemoteWorkers() {
  if (local_zone_slots_ >= fleet_slots_) return;
  for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
    if (workers_[worker].state.remote_zone && Available(workers_[worker]).slots > 0)
      UpdateIndex(worker);
  }
}

bool Scheduler::MayStart(const Job& job, std::size_t worker, double now) const {
  if (worker >= workers_.size()) return false;
  const Worker& target = workers_[worker];
  if (!target.state.usable || target.excluded || !MatchesKind(job.kind, target)) return false;
  if (target.state.remote_zone && !MayUseRemoteZone(job, now) && !LocalZoneFits(job)) return false;
  const Resources need = EffectiveNeed(target, job.need);
  if (target.state.capacity.slots > 0 && !need.Within(Available(target))) return false;
  return target.reserved_for == 0 || MayBackfill(target, job, need, now);
}

int Scheduler::FindWorker(const Job& job, double now) const {
  const auto queued = queue_.find(job.handle);
  if (queued != queue_.end() && queued->second.reserved_worker >= 0 &&
      MayStart(job, static_cast<std::size_t>(queued->second.reserved_worker), now)) {
    return queued->second.reserved_worker;
  }
  for (const bool remote_zone : {false, true}) {
    const auto index = available_.find({job.kind, remote_zone});
    if (index == available_.end() || (remote_zone && !MayUseRemoteZone(job, now))) continue;
    const int found = index->second.Find(job.need, Mix(seed_, job.handle));
    if (found >= 0) return found;
  }
  std::size_t compared = 0;
  for (const int worker : reserved_workers_) {
    if (++compared > kMaxWorkersCompared) break;
    if (MayStart(job, static_cast<std::size_t>(worker), now)) return worker;
  }
  // The job exceeds every capacity ever seen: an idle worker with an estimated capacity may take
  // it.
  const auto largest = largest_capacity_.find(job.kind);
  if (largest == largest_capacity_.end() || job.need.Within(largest->second)) return -1;
  for (std::size_t worker = 0; worker < workers_.size(); ++worker) {
    if (MayStart(job, worker, now)) return static_cast<int>(worker);
  }
  return -1;
}

bool Scheduler::FitsNoWorker(const Job& job) const {
  const auto largest = largest_capacity_.find(job.kind);
  if (largest == largest_capacity_.end() || job.need.Within(largest->second)) return false;
  bool found_matching = false;
  for (const Worker& worker : workers_) {
    if (!worker.state.usable || !MatchesKind(job.kind, worker)) continue;
    if (!worker.state.capacity_reported || job.need.Within(worker.state.capacity)) return false;
    found_matching = true;
  }
  return found_matching;
}

// ---- jobs ----

void Scheduler::AddToShape(QueuedJob* queued) {
  Shape& shape = shapes_[queued->shape];
  shape.timely.emplace(queued->job.start_by, queued->job.handle);
  if (queued->job.may_reserve && queued->reserved_worker < 0) {
    unreserved_[queued->job.tenant].insert(queued->job.handle);
    reservations_outdated_ = true;
  }
}

void Scheduler::RemoveFromShape(QueuedJob* queued) {
  const auto shape = shapes_.find(queued->shape);
  if (shape == shapes_.end()) return;
  shape->second.timely.erase({queued->job.start_by, queued->job.handle});
  shape->second.late.erase(queued->job.handle);
  if (shape->second.timely.empty() && shape->second.late.empty()) shapes_.erase(shape);
  const auto unreserved_of_tenant = unreserved_.find(queued->job.tenant);
  if (unreserved_of_tenant == unreserved_.end()) return;
  unreserved_of_tenant->second.erase(queued->job.handle);
  if (unreserved_of_tenant->second.empty()) unreserved_.erase(unreserved_of_tenant);
}

bool Scheduler::Enqueue(const Job& job, double now) {
  if (queue_.contains(job.handle)) return true;
  if (!QueueHasCapacity(job)) {
    stats_.rejected += 1;
    return false;
  }
  QueuedJob& queued = queue_[job.handle];
  queued.job = job;
  queued.shape = {job.class_index, SlotSteps(job.need.slots), MemorySteps(job.need.memory)};
  // In the queue the job needs as much memory as its shape.
  queued.job.need.memory = std::max(job.need.memory, MemoryOf(std::get<2>(queued.shape)));
  queued.may_reserve_from = now;
  queued_bytes_ += job.bytes;
  queued_by_class_[job.class_index] += 1;
  queued_by_tenant_[job.tenant] += 1;
  AddToShape(&queued);
  if (ExceedsLocalSupply(queue_.size()) && !ExceedsLocalSupply(queue_.size() - 1)) {
    ReindexRemoteWorkers();
  }
  return true;
}

// Whether the limits of the queue allow the job. A tenant may always have one queued job, however
// small its share.
bool Scheduler::QueueHasCapacity(const Job& job) const {
  const auto queued_of_tenant = queued_by_tenant_.find(job.tenant);
  const std::size_t tenant_jobs =
      queued_of_tenant == queued_by_tenant_.end() ? 0 : queued_of_tenant->second;
  const double max_tenant_jobs =
      std::max(1.0, options_.max_tenant_share * static_cast<double>(options_.max_queued_jobs));
  return queue_.size() < options_.max_queued_jobs &&
         static_cast<double>(tenant_jobs) < max_tenant_jobs &&
         queued_bytes_ + job.bytes <= options_.max_queued_bytes;
}

void Scheduler::ExcludeUntilTick(std::size_t worker) {
  if (worker >= workers_.size() || workers_[worker].excluded) return;
  Worker& target = workers_[worker];
  target.excluded = true;
  excluded_workers_.push_back(worker);
  if (target.reserved_for != 0) Unreserve(&queue_.at(target.reserved_for), true);
  UpdateIndex(worker);
}

void Scheduler::Dequeue(JobHandle job) {
  const auto it = queue_.find(job);
  if (it == queue_.end()) return;
  QueuedJob& queued = it->second;
  if (queued.reserved_worker >= 0) Unreserve(&queued, true);
  RemoveFromShape(&queued);
  queued_bytes_ -= queued.job.bytes;
  const auto decrement = [](auto* counts, int key) {
    const auto entry = counts->find(key);
    if (--entry->second == 0) counts->erase(entry);
  };
  decrement(&queued_by_class_, queued.job.class_index);
  decrement(&queued_by_tenant_, queued.job.tenant);
  queue_.erase(it);
}

void Scheduler::OnStarted(const Job& job, std::size_t worker, double now) {
  const auto it = queue_.find(job.handle);
  if (it != queue_.end()) {
    QueuedJob& queued = it->second;
    stats_.waited += 1;
    wait_times_[queued.job.class_index].Add(now - queued.job.arrived_at);
    if (queued.reserved_worker == static_cast<int>(worker)) Unreserve(&queued, false);
    Dequeue(job.handle);
  }
  if (worker >= workers_.size()) return;
  Worker& target = workers_[worker];
  stats_.backfilled += target.reserved_for != 0;
  target.running.push_back(
      {job.handle, EffectiveNeed(target, job.need), job.class_index, job.hint_s, now});
  target.used = target.used + target.running.back().need;
  UpdateIndex(worker);
}

void Scheduler::OnEnded(JobHandle job, std::size_t worker, double ran_s) {
  if (worker >= workers_.size()) return;
  Worker& target = workers_[worker];
  const auto running_job =
      std::find_if(target.running.begin(), target.running.end(),
                   [job](const RunningJob& candidate) { return candidate.job == job; });
  if (running_job == target.running.end()) return;
  if (ran_s >= 0) mean_run_s_ += (std::max(ran_s, kMinRunS) - mean_run_s_) / kMeanRunSamples;
  if (ran_s >= 0)
    runtimes_.AddSample(running_job->class_index, target.state.kind, running_job->hint_s, ran_s);
  target.used = target.used - running_job->need;
  target.running.erase(running_job);
  if (target.running.empty()) target.used = {0, 0};  // clears rounding errors
  UpdateIndex(worker);
}

double Scheduler::SlotsInUseSince(std::size_t worker, double since) const {
  double slots = 0;
  if (worker >= workers_.size()) return slots;
  for (const RunningJob& running_job : workers_[worker].running)
    slots += running_job.started_at < since ? running_job.need.slots : 0;
  return slots;
}

void Scheduler::OnRejected(std::size_t worker, double now) {
  if (worker >= workers_.size()) return;
  Worker& target = workers_[worker];
  if (target.state.capacity.slots <= 0) return;
  if (target.assumed_other_slots <= 0) rejecting_workers_.push_back(worker);
  target.assumed_other_slots = std::max(1e-3, target.state.capacity.slots - target.used.slots);
  target.rejecting_until = now + kRejectionBackoffS;
  UpdateIndex(worker);
}

// ---- the next job to start ----

void Scheduler::Shape::MoveLateJobs(double now) {
  while (!timely.empty() && timely.begin()->first < now) {
    late.insert(timely.begin()->second);
    timely.erase(timely.begin());
  }
}

// Picks a queued job that may start at the worker: the one with the earliest time to start by, or,
// in one of kLatePickInterval picks, the oldest of those that can no longer start in time.
JobHandle Scheduler::PickJob(Worker& worker, std::size_t worker_index, double now) {
  if (worker.reserved_for != 0 && MayStart(queue_.at(worker.reserved_for).job, worker_index, now))
    return worker.reserved_for;
  const Resources available = Available(worker);
  JobHandle timely = 0, late = 0;
  double earliest_start_by = kInfinity;
  const auto fits = [&](JobHandle handle) {
    return MayStart(queue_.at(handle).job, worker_index, now);
  };
  for (auto& [key, shape] : shapes_) {
    const auto any_handle =
        shape.timely.empty() ? *shape.late.begin() : shape.timely.begin()->second;
    const Job& representative = queue_.at(any_handle).job;
    if (!MatchesKind(representative.kind, worker) ||
        !EffectiveNeed(worker, representative.need).Within(available))
      continue;
    shape.MoveLateJobs(now);
    int tries = 0;
    for (auto it = shape.timely.begin(); it != shape.timely.end() && it->first < earliest_start_by;
         ++it) {
      if (fits(it->second)) {
        earliest_start_by = it->first;
        timely = it->second;
        break;
      }
      if (representative.hint_s <= 0 || ++tries >= kMaxHintedTries) break;
    }
    tries = 0;
    for (auto it = shape.late.begin(); it != shape.late.end() && (late == 0 || *it < late); ++it) {
      if (fits(*it)) {
        late = *it;
        break;
      }
      if (representative.hint_s <= 0 || ++tries >= kMaxHintedTries) break;
    }
  }
  if (timely == 0 || late == 0) return timely != 0 ? timely : late;
  return ++picks_ % kLatePickInterval == 0 ? late : timely;
}

std::optional<Scheduler::Assignment> Scheduler::Next(double now) {
  if (reservations_outdated_) PlanReservations(now);
  while (!changed_workers_.empty()) {
    const std::size_t worker_index = changed_workers_.front();
    Worker& worker = workers_[worker_index];
    const JobHandle job = worker.state.usable ? PickJob(worker, worker_index, now) : 0;
    if (job != 0) return Assignment{job, worker_index};
    worker.changed = false;
    changed_workers_.pop_front();
  }
  return std::nullopt;
}

void Scheduler::Tick(double now) {
  for (const std::size_t worker : std::exchange(excluded_workers_, {})) {
    workers_[worker].excluded = false;
    UpdateIndex(worker);
  }
  EndRejections(now);
  ReindexRemoteWorkers();  // jobs may have waited long enough for a remote zone
  CancelOverdueReservations(now);
  if (!unreserved_.empty()) reservations_outdated_ = true;
}

void Scheduler::EndRejections(double now) {
  for (const std::size_t worker : std::exchange(rejecting_workers_, {})) {
    Worker& target = workers_[worker];
    if (target.rejecting_until > now) {
      rejecting_workers_.push_back(worker);
      continue;
    }
    target.assumed_other_slots = 0;
    UpdateIndex(worker);
  }
}

// ---- statistics ----

double Scheduler::ReservedSlots(std::size_t worker) const {
  if (worker >= workers_.size() || workers_[worker].reserved_for == 0) return 0;
  return queue_.at(workers_[worker].reserved_for).job.need.slots;
}

SchedulerStats Scheduler::stats() const {
  SchedulerStats stats = stats_;
  stats.waiting = queue_.size();
  stats.reservations = reserved_workers_.size();
  stats.reserved_slots = reserved_slots_;
  return stats;
}

}  // namespace millethollow::scheduling
