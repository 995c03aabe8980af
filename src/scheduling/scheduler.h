// The scheduler: decides which queued job may start now, and reserves capacity for one that can't
// start yet.
//
// Jobs wait in a bounded queue. Whatever fits starts at once. A job of a class that may reserve,
// and that fits nowhere now, gets a reservation: the worker that is expected to have room for it
// first. Other jobs still start there (backfill) if they are expected to end by then, or leave
// enough beside them, as in EASY backfill (Lifka 1995; Mu'alem and Feitelson 2001), with at most
// one reservation a worker. A job with a reservation still starts wherever else there is room
// first.
//
// No I/O and no clock: times are seconds on the caller's clock, which never runs backwards. Not
// thread-safe. Which of the workers that have room a job goes to is the balancer's choice.
#ifndef MILLETHOLLOW_SCHEDULING_SCHEDULER_H_
#define MILLETHOLLOW_SCHEDULING_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "scheduling/options.h"
#include "scheduling/resource_index.h"
#include "scheduling/runtime_estimator.h"

namespace millethollow::scheduling {

// Names a job for the scheduler; 0: none. A job that arrived later has a larger one.
using JobHandle = std::uint64_t;

struct Job {
  JobHandle handle = 0;
  int class_index = 0, tenant = 0;
  int kind = -1;  // of workers that can run it; -1: any
  Resources need;
  double bytes = 0;       // of its body
  double hint_s = 0;      // run time as the client expects it; 0: not known
  double arrived_at = 0;  // seconds on the caller's clock
  double start_by = 0;    // to meet its latency objective
  bool may_reserve = false;
};

// What the balancer knows of a worker.
struct WorkerState {
  int kind = 0;
  bool usable = false;             // listed, and not draining, in maintenance or ejected
  bool warming_up = false;         // in slow start: gets no reservations
  bool remote_zone = false;        // used by jobs that have waited, or while the queue is long
  Resources capacity{0, 0};        // 0 slots: not known, and then taken to be unlimited
  bool capacity_reported = false;  // else it is estimated
  double other_slots = 0;          // in use by jobs of other nodes
  bool operator==(const WorkerState&) const = default;
};

// Gauges first; the rest count from the start.
struct SchedulerStats {
  std::size_t waiting = 0, reservations = 0;
  double reserved_slots = 0;
  std::uint64_t waited = 0;               // started after a wait in the queue
  std::uint64_t backfilled = 0;           // started at a worker reserved for another job
  std::uint64_t broken_reservations = 0;  // ended without the start of their job there
  std::uint64_t rejected = 0;             // found the queue full
};

class Scheduler {
 public:
  Scheduler(Options options, std::uint64_t seed) : options_(std::move(options)), seed_(seed) {}

  void Configure(const Options& options);
  void SetTenants(std::vector<double> shares) { tenant_shares_ = std::move(shares); }
  // This node's part of all slots that the fleet may reserve, 0 to 1.
  void SetReservationShare(double share) { reservation_share_ = share; }
  RuntimeEstimator& runtimes() { return runtimes_; }

  // Workers keep the number that they got first.
  void SetWorker(std::size_t worker, const WorkerState& state);

  // Whether a job may start at that worker now, as far as resources and reservations go.
  bool MayStart(const Job& job, std::size_t worker, double now) const;
  // Some worker where it may start; -1: none now.
  int FindWorker(const Job& job, double now) const;
  // True: it exceeds the reported capacity of each worker that could run it.
  bool FitsNoWorker(const Job& job) const;

  // False: the queue is full, and the job is not kept.
  bool Enqueue(const Job& job, double now);
  bool IsQueued(JobHandle job) const { return queue_.contains(job); }
  void Dequeue(JobHandle job);  // does nothing if it is not queued
  // The balancer sent nothing there though there is room (its slow start does not allow it, say):
  // the worker counts as full until the next tick.
  void ExcludeUntilTick(std::size_t worker);

  // An attempt of the job was sent to the worker. The job leaves the queue.
  void OnStarted(const Job& job, std::size_t worker, double now);
  // An attempt there ended. `ran_s`: its run time, or negative if it did not run to its end.
  void OnEnded(JobHandle job, std::size_t worker, double ran_s);
  // The worker rejected an attempt although it seemed to have room: it counts as full for a while.
  void OnRejected(std::size_t worker, double now);
  // Slots there in use by this node's jobs since before `since`.
  double SlotsInUseSince(std::size_t worker, double since) const;

  struct Assignment {
    JobHandle job = 0;
    std::size_t worker = 0;
  };
  // The next queued job that may start, with a worker that has room; none: all must wait. The
  // caller then calls OnStarted or Dequeue for it, or ExcludeUntilTick for the worker.
  std::optional<Assignment> Next(double now);
  // To be called every kTickS while WantsTick: ends reservations that lasted too long, and brings
  // back excluded workers.
  static constexpr double kTickS = 0.05;
  bool WantsTick() const {
    return !queue_.empty() || !rejecting_workers_.empty() || !excluded_workers_.empty();
  }
  void Tick(double now);

  double ReservedSlots(std::size_t worker) const;
  SchedulerStats stats() const;
  std::map<int, std::size_t> QueuedByClass() const { return queued_by_class_; }
  // By class, in seconds, of queued jobs that started.
  const std::map<int, Quantiles>& wait_times() const { return wait_times_; }

 private:
  // For one reservation, or for a backfill.
  static constexpr std::size_t kMaxWorkersCompared = 32;
  // Jobs of one shape differ only where they have size hints: so many of them are tried.
  static constexpr int kMaxHintedTries = 4;

  struct RunningJob {
    JobHandle job = 0;
    Resources need;
    int class_index = 0;
    double hint_s = 0, started_at = 0;
  };
  struct Worker {
    WorkerState state;
    Resources used{0, 0};
    std::vector<RunningJob> running;
    JobHandle reserved_for = 0;
    // While it counts as full after a rejection: slots taken to be in use by others.
    double assumed_other_slots = 0, rejecting_until = 0;
    bool listed = false;    // SetWorker was called
    bool changed = false;   // is in changed_workers_
    bool excluded = false;  // is in excluded_workers_
  };
  // Queued jobs that are alike in class and need: if one does not fit, none does.
  struct Shape {
    std::set<std::pair<double, JobHandle>> timely;  // by the time to start by
    std::set<JobHandle> late;                       // can't start in time; by arrival
    void MoveLate(double now);                      // those whose time to start by has passed
  };
  using ShapeKey = std::tuple<int, int, int>;  // class, and slots and memory in steps
  struct QueuedJob {
    Job job;
    ShapeKey shape;
    int reserved_worker = -1;
    double reserved_since = 0, no_reservation_until = 0;
  };

  // Workers.
  Resources EffectiveNeed(const Worker& w, const Resources& need) const;
  Resources OtherUsage(const Worker& w) const;  // of other nodes
  Resources Available(const Worker& w) const;   // negative: nothing may start there
  bool MatchesKind(int kind, const Worker& w) const { return kind < 0 || kind == w.state.kind; }
  double ExpectedEnd(const Worker& w, const RunningJob& run, double now) const;
  double ShadowTime(const Worker& w, const Resources& need, double now) const;
  bool MayBackfill(const Worker& w, const Job& job, const Resources& need, double now) const;
  void UpdateIndex(std::size_t worker);  // after each change of what is available there
  void EndRejections(double now);

  // Zones.
  bool MayUseRemoteZone(const Job& job, double now) const;
  bool LocalZoneFits(const Job& job) const;
  // More jobs wait than the local zone frees slots within local_zone_wait_s.
  bool ExceedsLocalSupply(std::size_t queued) const;
  void TouchRemoteWorkers();

  // The queue.
  bool QueueHasCapacity(const Job& job) const;
  void AddToShape(QueuedJob* queued);
  void RemoveFromShape(QueuedJob* queued);
  JobHandle PickJob(Worker& w, std::size_t number, double now);

  // Reservations.
  void PlanReservations(double now);
  bool ReserveForTenant(int tenant, double now);
  bool WithinReservationLimits(int tenant, double slots) const;
  int FindReservationWorker(const Job& job, double now) const;
  bool MayReserveAt(const Worker& w) const;
  void Reserve(QueuedJob* queued, int worker, double now);
  void Unreserve(QueuedJob* queued, bool broken);
  void BreakOverdueReservations(double now);
  double ReservationLimitSlots() const;
  double ReservedByTenant(int tenant) const;

  Options options_;
  std::uint64_t seed_;
  double reservation_share_ = 1;
  std::vector<double> tenant_shares_;
  RuntimeEstimator runtimes_;
  std::vector<Worker> workers_;
  // What is neither in use nor reserved, by kind of worker (-1: any) and whether in a remote zone.
  std::map<std::pair<int, bool>, ResourceIndex> available_;
  std::map<int, Resources> largest_capacity_;  // ever known, by kind and -1 for any
  double fleet_slots_ = 0, local_zone_slots_ = 0, mean_run_s_ = 1;
  std::unordered_map<JobHandle, QueuedJob> queue_;
  std::map<ShapeKey, Shape> shapes_;
  // By tenant: jobs that may have a reservation and have none, by arrival.
  std::map<int, std::set<JobHandle>> unreserved_;
  std::set<int> reserved_workers_;
  std::map<int, double> reserved_by_tenant_;  // slots
  double reserved_slots_ = 0, queued_bytes_ = 0;
  std::map<int, std::size_t> queued_by_class_, queued_by_tenant_;
  std::deque<std::size_t> changed_workers_;
  std::vector<std::size_t> rejecting_workers_, excluded_workers_;
  bool plan_needed_ = false;
  std::uint64_t picks_ = 0, cursor_ = 0;
  SchedulerStats stats_;
  std::map<int, Quantiles> wait_times_;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_SCHEDULER_H_
