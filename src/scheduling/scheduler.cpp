#include "scheduling/scheduler.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "scheduling/mix.h"

namespace millethollow::scheduling {
namespace {

constexpr double kInf = std::numeric_limits<double>::infinity();
constexpr Resources kUnlimited{1e12, 1e12};
// Quantiles of a job's remaining run time: of one that runs where room is reserved, and of one that
// is to be backfilled there and should not delay the reservation.
constexpr double kReservationQuantile = 0.5;
constexpr double kBackfillQuantile = 0.75;
// One pick in so many takes a job that can't start in time any more.
constexpr std::uint64_t kLatePickInterval = 16;
constexpr double kRejectionBackoffS = 0.2;  // a worker that rejected a job counts as full so long
constexpr double kMinRunS = 1e-4;
constexpr double kMeanRunWeight = 100;  // samples in the moving mean of run times

// Needs are rounded up to steps, so that there are few shapes: a quarter of a slot.
int SlotSteps(double slots) { return static_cast<int>(std::ceil(slots * 4 - kRounding)); }
// Even steps of memory up to two units, above that of a twentieth.
int MemorySteps(double memory) {
  if (memory <= 2) return static_cast<int>(std::ceil(memory * 32 - kRounding));
  return 64 + static_cast<int>(std::ceil(std::log(memory / 2) / std::log(1.05) - kRounding));
}
double MemoryOf(int steps) {
  return steps <= 64 ? steps / 32.0 : 2 * std::pow(1.05, static_cast<double>(steps) - 64);
}

}  // namespace

void Scheduler::Configure(const Options& options) {
  options_ = options;
  plan_needed_ = true;
}

// ---- workers ----

// An estimated capacity may be too low. A job larger than all of them counts as just fitting, so
// that it is tried on an idle worker.
Resources Scheduler::EffectiveNeed(const Worker& w, const Resources& need) const {
  if (w.state.capacity_reported || need.Within(largest_capacity_.at(w.state.kind))) return need;
  return {std::min(need.slots, w.state.capacity.slots),
          std::min(need.memory, w.state.capacity.memory)};
}

Resources Scheduler::OtherUsage(const Worker& w) const {
  // The memory that other nodes' jobs use is not known: their slots' part of it.
  const double unit =
      w.state.capacity.slots > 0 ? w.state.capacity.memory / w.state.capacity.slots : 0;
  const double slots = std::max(w.state.other_slots, w.assumed_other_slots);
  return {slots, slots * std::min(unit, options_.memory_per_slot)};
}

Resources Scheduler::Available(const Worker& w) const {
  if (!w.state.usable || w.excluded) return {-1, -1};
  if (w.state.capacity.slots <= 0) return kUnlimited;
  return w.state.capacity - OtherUsage(w) - w.used;
}

void Scheduler::SetWorker(std::size_t worker, const WorkerState& state) {
  if (worker >= workers_.size()) workers_.resize(worker + 1);
  Worker& w = workers_[worker];
  if (w.listed && w.state == state) return;
  const auto count = [this](const WorkerState& f, double sign) {
    const double slots = f.usable ? sign * f.capacity.slots : 0;
    fleet_slots_ += slots;
    local_zone_slots_ += f.remote_zone ? 0 : slots;
  };
  if (w.listed) count(w.state, -1);
  count(state, 1);
  const bool lost = w.listed && w.state.usable && !state.usable;
  if (w.listed && (w.state.kind != state.kind || w.state.remote_zone != state.remote_zone)) {
    for (const int kind : {-1, w.state.kind})
      available_[{kind, w.state.remote_zone}].Set(worker, {-1, -1});
  }
  w.state = state;
  w.listed = true;
  for (const int kind : {-1, state.kind}) {
    Resources& largest = largest_capacity_.try_emplace(kind, Resources{0, 0}).first->second;
    largest = {std::max(largest.slots, state.capacity.slots),
               std::max(largest.memory, state.capacity.memory)};
  }
  if (lost && w.reserved_for != 0) Unreserve(&queue_.at(w.reserved_for), true);
  // Reservations may be better placed now.
  plan_needed_ = true;
  UpdateIndex(worker);
}

void Scheduler::UpdateIndex(std::size_t worker) {
  Worker& w = workers_[worker];
  Resources available = Available(w);
  if (w.reserved_for != 0)
    available = available - EffectiveNeed(w, queue_.at(w.reserved_for).job.need);
  for (const int kind : {-1, w.state.kind})
    available_[{kind, w.state.remote_zone}].Set(worker, available);
  if (w.changed || queue_.empty() || !w.state.usable) return;
  w.changed = true;
  changed_workers_.push_back(worker);
}

double Scheduler::ExpectedEnd(const Worker& w, const RunningJob& run, double now) const {
  return now + runtimes_.Remaining(run.class_index, w.state.kind, run.hint_s, now - run.started_at,
                                   kReservationQuantile);
}

// The expected time at which `need` fits at the worker (the shadow time of EASY backfill). Jobs of
// other nodes are taken to end last.
double Scheduler::ShadowTime(const Worker& w, const Resources& need, double now) const {
  Resources available = Available(w);
  if (need.Within(available)) return now;
  std::vector<std::pair<double, Resources>> ends;
  for (const RunningJob& run : w.running) ends.emplace_back(ExpectedEnd(w, run, now), run.need);
  std::sort(ends.begin(), ends.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  double last = now;
  for (const auto& [at, freed] : ends) {
    available = available + freed;
    last = at;
    if (need.Within(available)) return at;
  }
  if (!need.Within(w.state.capacity)) return kInf;
  return last + mean_run_s_;
}

// Whether the job with the reservation at `w` would start as early with this one beside it.
bool Scheduler::MayBackfill(const Worker& w, const Job& job, const Resources& need,
                            double now) const {
  const QueuedJob& reserved = queue_.at(w.reserved_for);
  if (reserved.job.handle == job.handle) return true;
  const Resources reserved_need = EffectiveNeed(w, reserved.job.need);
  const Resources available = Available(w);
  if (need.Within(available - reserved_need)) return true;
  const double shadow = ShadowTime(w, reserved_need, now);
  if (now + runtimes_.Remaining(job.class_index, w.state.kind, job.hint_s, 0, kBackfillQuantile) <=
      shadow)
    return true;
  Resources at_shadow = available;
  for (const RunningJob& run : w.running) {
    if (ExpectedEnd(w, run, now) <= shadow) at_shadow = at_shadow + run.need;
  }
  return need.Within(at_shadow - reserved_need);
}

// Delay scheduling (Zaharia et al. 2010): a short wait for a slot in the local zone costs less than
// crossing, as long as few jobs wait for one.
bool Scheduler::MayUseRemoteZone(const Job& job, double now) const {
  return now - job.arrived_at >= options_.local_zone_wait_s || ExceedsLocalSupply(queue_.size());
}

// With room in both zones the balancer chooses: it weighs the cost of crossing.
bool Scheduler::LocalZoneFits(const Job& job) const {
  const auto near = available_.find({job.kind, false});
  return near != available_.end() && near->second.Find(job.need) >= 0;
}

bool Scheduler::ExceedsLocalSupply(std::size_t queued) const {
  const double freed_soon = local_zone_slots_ * options_.local_zone_wait_s / mean_run_s_;
  return static_cast<double>(queued) > freed_soon;
}

void Scheduler::TouchRemoteWorkers() {
  if (local_zone_slots_ >= fleet_slots_) return;
  for (std::size_t w = 0; w < workers_.size(); ++w) {
    if (workers_[w].state.remote_zone && Available(workers_[w]).slots > 0) UpdateIndex(w);
  }
}

bool Scheduler::MayStart(const Job& job, std::size_t worker, double now) const {
  if (worker >= workers_.size()) return false;
  const Worker& w = workers_[worker];
  if (!w.state.usable || w.excluded || !MatchesKind(job.kind, w)) return false;
  if (w.state.remote_zone && !MayUseRemoteZone(job, now) && !LocalZoneFits(job)) return false;
  const Resources need = EffectiveNeed(w, job.need);
  if (w.state.capacity.slots > 0 && !need.Within(Available(w))) return false;
  return w.reserved_for == 0 || MayBackfill(w, job, need, now);
}

int Scheduler::FindWorker(const Job& job, double now) const {
  const auto queued = queue_.find(job.handle);
  if (queued != queue_.end() && queued->second.reserved_worker >= 0 &&
      MayStart(job, static_cast<std::size_t>(queued->second.reserved_worker), now)) {
    return queued->second.reserved_worker;
  }
  for (const bool far : {false, true}) {
    const auto index = available_.find({job.kind, far});
    if (index == available_.end() || (far && !MayUseRemoteZone(job, now))) continue;
    const int found = index->second.Find(job.need, Mix(seed_, job.handle));
    if (found >= 0) return found;
  }
  std::size_t looked = 0;
  for (const int w : reserved_workers_) {
    if (++looked > kMaxWorkersCompared) break;
    if (MayStart(job, static_cast<std::size_t>(w), now)) return w;
  }
  // Larger than any capacity that was ever known: an idle worker may still take it.
  const auto largest = largest_capacity_.find(job.kind);
  if (largest == largest_capacity_.end() || job.need.Within(largest->second)) return -1;
  for (std::size_t w = 0; w < workers_.size(); ++w) {
    if (MayStart(job, w, now)) return static_cast<int>(w);
  }
  return -1;
}

bool Scheduler::FitsNoWorker(const Job& job) const {
  const auto largest = largest_capacity_.find(job.kind);
  if (largest == largest_capacity_.end() || job.need.Within(largest->second)) return false;
  bool any = false;
  for (const Worker& w : workers_) {
    if (!w.state.usable || !MatchesKind(job.kind, w)) continue;
    if (!w.state.capacity_reported || job.need.Within(w.state.capacity)) return false;
    any = true;
  }
  return any;
}

// ---- jobs ----

void Scheduler::AddToShape(QueuedJob* queued) {
  Shape& shape = shapes_[queued->shape];
  shape.timely.emplace(queued->job.start_by, queued->job.handle);
  if (queued->job.may_reserve && queued->reserved_worker < 0) {
    unreserved_[queued->job.tenant].insert(queued->job.handle);
    plan_needed_ = true;
  }
}

void Scheduler::RemoveFromShape(QueuedJob* queued) {
  const auto it = shapes_.find(queued->shape);
  if (it == shapes_.end()) return;
  it->second.timely.erase({queued->job.start_by, queued->job.handle});
  it->second.late.erase(queued->job.handle);
  if (it->second.timely.empty() && it->second.late.empty()) shapes_.erase(it);
  const auto mine = unreserved_.find(queued->job.tenant);
  if (mine == unreserved_.end()) return;
  mine->second.erase(queued->job.handle);
  if (mine->second.empty()) unreserved_.erase(mine);
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
  // From here on the job needs what its shape does.
  queued.job.need.memory = std::max(job.need.memory, MemoryOf(std::get<2>(queued.shape)));
  queued.no_reservation_until = now;
  queued_bytes_ += job.bytes;
  queued_by_class_[job.class_index] += 1;
  queued_by_tenant_[job.tenant] += 1;
  AddToShape(&queued);
  if (ExceedsLocalSupply(queue_.size()) && !ExceedsLocalSupply(queue_.size() - 1)) {
    TouchRemoteWorkers();
  }
  return true;
}

// Whatever its share, a tenant may have one job in the queue.
bool Scheduler::QueueHasCapacity(const Job& job) const {
  const auto of_tenant = queued_by_tenant_.find(job.tenant);
  const std::size_t jobs = of_tenant == queued_by_tenant_.end() ? 0 : of_tenant->second;
  const double max_jobs =
      std::max(1.0, options_.max_tenant_share * static_cast<double>(options_.max_queued_jobs));
  return queue_.size() < options_.max_queued_jobs && static_cast<double>(jobs) < max_jobs &&
         queued_bytes_ + job.bytes <= options_.max_queued_bytes;
}

void Scheduler::ExcludeUntilTick(std::size_t worker) {
  if (worker >= workers_.size() || workers_[worker].excluded) return;
  Worker& w = workers_[worker];
  w.excluded = true;
  excluded_workers_.push_back(worker);
  if (w.reserved_for != 0) Unreserve(&queue_.at(w.reserved_for), true);
  UpdateIndex(worker);
}

void Scheduler::Dequeue(JobHandle job) {
  const auto it = queue_.find(job);
  if (it == queue_.end()) return;
  QueuedJob& w = it->second;
  if (w.reserved_worker >= 0) Unreserve(&w, true);
  RemoveFromShape(&w);
  queued_bytes_ -= w.job.bytes;
  const auto drop = [](auto* counts, int key) {
    const auto at = counts->find(key);
    if (--at->second == 0) counts->erase(at);
  };
  drop(&queued_by_class_, w.job.class_index);
  drop(&queued_by_tenant_, w.job.tenant);
  queue_.erase(it);
}

void Scheduler::OnStarted(const Job& job, std::size_t worker, double now) {
  const auto it = queue_.find(job.handle);
  if (it != queue_.end()) {
    QueuedJob& w = it->second;
    stats_.waited += 1;
    wait_times_[w.job.class_index].Add(now - w.job.arrived_at);
    if (w.reserved_worker == static_cast<int>(worker)) Unreserve(&w, false);
    Dequeue(job.handle);
  }
  if (worker >= workers_.size()) return;
  Worker& w = workers_[worker];
  stats_.backfilled += w.reserved_for != 0;
  w.running.push_back({job.handle, EffectiveNeed(w, job.need), job.class_index, job.hint_s, now});
  w.used = w.used + w.running.back().need;
  UpdateIndex(worker);
}

void Scheduler::OnEnded(JobHandle job, std::size_t worker, double ran_s) {
  if (worker >= workers_.size()) return;
  Worker& w = workers_[worker];
  const auto run = std::find_if(w.running.begin(), w.running.end(),
                                [job](const RunningJob& r) { return r.job == job; });
  if (run == w.running.end()) return;
  if (ran_s >= 0) mean_run_s_ += (std::max(ran_s, kMinRunS) - mean_run_s_) / kMeanRunWeight;
  if (ran_s >= 0) runtimes_.AddSample(run->class_index, w.state.kind, run->hint_s, ran_s);
  w.used = w.used - run->need;
  w.running.erase(run);
  if (w.running.empty()) w.used = {0, 0};  // drops rounding errors
  UpdateIndex(worker);
}

double Scheduler::SlotsInUseSince(std::size_t worker, double since) const {
  double slots = 0;
  if (worker >= workers_.size()) return slots;
  for (const RunningJob& run : workers_[worker].running)
    slots += run.started_at < since ? run.need.slots : 0;
  return slots;
}

void Scheduler::OnRejected(std::size_t worker, double now) {
  if (worker >= workers_.size()) return;
  Worker& w = workers_[worker];
  if (w.state.capacity.slots <= 0) return;
  if (w.assumed_other_slots <= 0) rejecting_workers_.push_back(worker);
  w.assumed_other_slots = std::max(1e-3, w.state.capacity.slots - w.used.slots);
  w.rejecting_until = now + kRejectionBackoffS;
  UpdateIndex(worker);
}

// ---- the next job to start ----

void Scheduler::Shape::MoveLate(double now) {
  while (!timely.empty() && timely.begin()->first < now) {
    late.insert(timely.begin()->second);
    timely.erase(timely.begin());
  }
}

// The job with the earliest deadline that fits, or now and then the one that waits longest of those
// that are late.
JobHandle Scheduler::PickJob(Worker& w, std::size_t number, double now) {
  if (w.reserved_for != 0 && MayStart(queue_.at(w.reserved_for).job, number, now))
    return w.reserved_for;
  const Resources available = Available(w);
  JobHandle timely = 0, late = 0;
  double first = kInf;
  const auto fits = [&](JobHandle handle) { return MayStart(queue_.at(handle).job, number, now); };
  for (auto& [key, shape] : shapes_) {
    const auto some = shape.timely.empty() ? *shape.late.begin() : shape.timely.begin()->second;
    const Job& like = queue_.at(some).job;
    if (!MatchesKind(like.kind, w) || !EffectiveNeed(w, like.need).Within(available)) continue;
    shape.MoveLate(now);
    int tries = 0;
    for (auto it = shape.timely.begin(); it != shape.timely.end() && it->first < first; ++it) {
      if (fits(it->second)) {
        first = it->first;
        timely = it->second;
        break;
      }
      if (like.hint_s <= 0 || ++tries >= kMaxHintedTries) break;
    }
    tries = 0;
    for (auto it = shape.late.begin(); it != shape.late.end() && (late == 0 || *it < late); ++it) {
      if (fits(*it)) {
        late = *it;
        break;
      }
      if (like.hint_s <= 0 || ++tries >= kMaxHintedTries) break;
    }
  }
  if (timely == 0 || late == 0) return timely != 0 ? timely : late;
  return ++picks_ % kLatePickInterval == 0 ? late : timely;
}

std::optional<Scheduler::Assignment> Scheduler::Next(double now) {
  if (plan_needed_) PlanReservations(now);
  while (!changed_workers_.empty()) {
    const std::size_t number = changed_workers_.front();
    Worker& w = workers_[number];
    const JobHandle job = w.state.usable ? PickJob(w, number, now) : 0;
    if (job != 0) return Assignment{job, number};
    w.changed = false;
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
  TouchRemoteWorkers();  // some jobs may have waited long enough for the remote zone
  BreakOverdueReservations(now);
  if (!unreserved_.empty()) plan_needed_ = true;
}

void Scheduler::EndRejections(double now) {
  for (const std::size_t worker : std::exchange(rejecting_workers_, {})) {
    Worker& w = workers_[worker];
    if (w.rejecting_until > now) {
      rejecting_workers_.push_back(worker);
      continue;
    }
    w.assumed_other_slots = 0;
    UpdateIndex(worker);
  }
}

// ---- figures ----

double Scheduler::ReservedSlots(std::size_t worker) const {
  if (worker >= workers_.size() || workers_[worker].reserved_for == 0) return 0;
  return queue_.at(workers_[worker].reserved_for).job.need.slots;
}

SchedulerStats Scheduler::stats() const {
  SchedulerStats f = stats_;
  f.waiting = queue_.size();
  f.reservations = reserved_workers_.size();
  f.reserved_slots = reserved_slots_;
  return f;
}

}  // namespace millethollow::scheduling
