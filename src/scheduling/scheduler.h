// The scheduler: decides which queued job may start now, and reserves capacity for jobs that can't
// start yet.
//
// Jobs wait in a bounded queue, and a job that fits at a worker starts at once. A job that fits
// nowhere gets a reservation, if its class may have one, at the worker that is expected to have
// enough free resources first. Other jobs may still start at that worker (backfill) if they are
// expected to end before the reserved job starts, or if the worker has enough resources for both.
// This is EASY backfill (Lifka 1995; Mu'alem and Feitelson 2001) with at most one reservation per
// worker. A job with a reservation starts at any other worker that has enough resources earlier.
//
// The balancer chooses among the workers with enough resources. No I/O and no clock: times are
// seconds on the caller's clock, which never goes backwards. Not thread-safe.
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

// Identifies a job; 0 means none. Jobs that arrive later have larger handles.
using JobHandle = std::uint64_t;

// A job as the scheduler sees it. Times are seconds on the caller's clock.
struct Job {
  JobHandle handle = 0;
  int class_index = 0, tenant = 0;
  int kind = -1;  // of the workers that can run it; -1 for any
  Resources need;
  double bytes = 0;   // length of the body
  double hint_s = 0;  // run time that the client expects, in seconds; 0 if not known
  double arrived_at = 0;
  double start_by = 0;  // the latest start that meets its latency objective
  bool may_reserve = false;
};

// The state of a worker as known to the balancer.
struct WorkerState {
  int kind = 0;
  bool usable = false;         // listed and not draining, in maintenance or ejected
  bool in_slow_start = false;  // no reservations are made there
  // In another zone: used by jobs that have waited, or while the queue is long.
  bool remote_zone = false;
  Resources capacity{0, 0};        // 0 slots if not known: then unlimited
  bool capacity_reported = false;  // by the worker; otherwise it is estimated
  double other_slots = 0;          // in use by other nodes' jobs
  bool operator==(const WorkerState&) const = default;
};

// Statistics of the scheduler, for metrics.
struct SchedulerStats {
  // Gauges.
  std::size_t waiting = 0, reservations = 0;
  double reserved_slots = 0;
  // Counters, since the start.
  std::uint64_t waited = 0;                  // started after waiting in the queue
  std::uint64_t backfilled = 0;              // started at a worker that is reserved for another job
  std::uint64_t cancelled_reservations = 0;  // ended without a start of the job there
  std::uint64_t rejected = 0;                // not queued, since the queue was full
};

// Workers are identified by their index.
class Scheduler {
 public:
  Scheduler(Options options, std::uint64_t seed) : options_(std::move(options)), seed_(seed) {}

  // Applies new options, to queued jobs too.
  void Configure(const Options& options);
  // Sets the tenants' shares of the reservations, by index.
  void SetTenants(std::vector<double> shares) { tenant_shares_ = std::move(shares); }
  // Sets this node's part of the slots that all nodes together may reserve, from 0 to 1.
  void SetReservationShare(double share) { reservation_share_ = share; }
  // The run time estimates, which the caller initializes by class.
  RuntimeEstimator& runtimes() { return runtimes_; }

  // Adds a worker or updates its state. A worker keeps its index.
  void SetWorker(std::size_t worker, const WorkerState& state);

  // Whether the resources and reservations of the worker allow the job to start there now.
  bool MayStart(const Job& job, std::size_t worker, double now) const;
  // Returns a worker where the job may start now, or -1.
  int FindWorker(const Job& job, double now) const;
  // Whether the job exceeds the reported capacity of every worker that could run it.
  bool FitsNoWorker(const Job& job) const;

  // Returns false if the queue is full; the job is then not queued.
  bool Enqueue(const Job& job, double now);
  bool IsQueued(JobHandle job) const { return queue_.contains(job); }
  // Removes the job from the queue if it is there.
  void Dequeue(JobHandle job);
  // Treats the worker as full until the next tick. To be called if the balancer does not send to it
  // although it has free resources, for example because of its slow start.
  void ExcludeUntilTick(std::size_t worker);

  // An attempt of the job has been sent to the worker. Removes the job from the queue.
  void OnStarted(const Job& job, std::size_t worker, double now);
  // An attempt at the worker has ended. `ran_s`: its run time in seconds, or a negative number if
  // it did not complete.
  void OnEnded(JobHandle job, std::size_t worker, double ran_s);
  // The worker has rejected an attempt although it seemed to have free resources. Treats it as full
  // for a short time.
  void OnRejected(std::size_t worker, double now);
  // The slots of the worker that are in use by this node's jobs that started before `since`.
  double SlotsInUseSince(std::size_t worker, double since) const;

  // A job that may start, and the worker to start it at.
  struct Assignment {
    JobHandle job = 0;
    std::size_t worker = 0;
  };
  // Returns the next queued job that may start, with a worker that has enough free resources, or
  // nullopt if all must wait. The caller must then call OnStarted or Dequeue for the job, or
  // ExcludeUntilTick for the worker.
  std::optional<Assignment> Next(double now);
  // Interval of Tick, in seconds.
  static constexpr double kTickS = 0.05;
  // Whether Tick must be called.
  bool WantsTick() const {
    return !queue_.empty() || !rejecting_workers_.empty() || !excluded_workers_.empty();
  }
  // Cancels reservations that have timed out, and ends the exclusion of workers.
  void Tick(double now);

  // Slots of the worker that are reserved for a queued job.
  double ReservedSlots(std::size_t worker) const;
  SchedulerStats stats() const;
  // Number of queued jobs by class.
  std::map<int, std::size_t> QueuedByClass() const { return queued_by_class_; }
  // Time in seconds that jobs waited in the queue before they started, by class.
  const std::map<int, Quantiles>& wait_times() const { return wait_times_; }

 private:
  // Workers that are compared for one reservation or one backfill.
  static constexpr std::size_t kMaxWorkersCompared = 32;
  // Jobs of one shape that are tried at a worker if they have size hints. Without hints the first
  // one decides for all of them, since their run times are estimated alike.
  static constexpr int kMaxHintedTries = 4;

  // A job of this node that runs at a worker.
  struct RunningJob {
    JobHandle job = 0;
    Resources need;
    int class_index = 0;
    double hint_s = 0, started_at = 0;
  };
  struct Worker {
    WorkerState state;
    Resources used{0, 0};  // by this node's jobs
    std::vector<RunningJob> running;
    JobHandle reserved_for = 0;
    // After a rejection, until `rejecting_until`: slots that are assumed to be in use by other
    // nodes.
    double assumed_other_slots = 0, rejecting_until = 0;
    bool listed = false;    // SetWorker was called for it
    bool changed = false;   // is in changed_workers_
    bool excluded = false;  // is in excluded_workers_
  };
  // Queued jobs of equal class and need: if one of them does not fit at a worker, none does.
  struct Shape {
    std::set<std::pair<double, JobHandle>> timely;  // by the time to start by
    std::set<JobHandle> late;                       // can no longer start in time; by arrival
    void MoveLateJobs(double now);                  // from `timely` to `late`
  };
  using ShapeKey = std::tuple<int, int, int>;  // class, steps of slots, steps of memory
  struct QueuedJob {
    Job job;
    ShapeKey shape;
    int reserved_worker = -1;  // -1 if none
    double reserved_since = 0, may_reserve_from = 0;
  };

  // Workers.
  Resources EffectiveNeed(const Worker& worker, const Resources& need) const;
  Resources OtherUsage(const Worker& worker) const;  // by other nodes
  Resources Available(const Worker& worker) const;   // negative if no job may start there
  bool MatchesKind(int kind, const Worker& worker) const {
    return kind < 0 || kind == worker.state.kind;
  }
  double ExpectedEnd(const Worker& worker, const RunningJob& running_job, double now) const;
  double ShadowTime(const Worker& worker, const Resources& need, double now) const;
  bool MayBackfill(const Worker& worker, const Job& job, const Resources& need, double now) const;
  void UpdateIndex(std::size_t worker);  // after each change of its available resources
  void EndRejections(double now);

  // Zones.
  bool MayUseRemoteZone(const Job& job, double now) const;
  bool LocalZoneFits(const Job& job) const;
  // Whether more jobs are queued than the local zone frees slots within local_zone_wait_s.
  bool ExceedsLocalSupply(std::size_t queued) const;
  void ReindexRemoteWorkers();

  // The queue.
  bool QueueHasCapacity(const Job& job) const;
  void AddToShape(QueuedJob* queued);
  void RemoveFromShape(QueuedJob* queued);
  JobHandle PickJob(Worker& worker, std::size_t worker_index, double now);

  // Reservations.
  void PlanReservations(double now);
  bool ReserveForTenant(int tenant, double now);
  bool WithinReservationLimits(int tenant, double slots) const;
  int FindReservationWorker(const Job& job, double now) const;
  bool MayReserveAt(const Worker& worker) const;
  void Reserve(QueuedJob* queued, int worker, double now);
  void Unreserve(QueuedJob* queued, bool cancelled);
  void CancelOverdueReservations(double now);
  double ReservationLimitSlots() const;
  double ReservedByTenant(int tenant) const;

  Options options_;
  std::uint64_t seed_;
  double reservation_share_ = 1;
  std::vector<double> tenant_shares_;
  RuntimeEstimator runtimes_;
  std::vector<Worker> workers_;
  // Resources that are neither in use nor reserved, by kind of worker (-1 for any) and whether it
  // is in a remote zone.
  std::map<std::pair<int, bool>, ResourceIndex> available_;
  std::map<int, Resources> largest_capacity_;  // ever seen, by kind, with -1 for any
  double fleet_slots_ = 0, local_zone_slots_ = 0, mean_run_s_ = 1;
  std::unordered_map<JobHandle, QueuedJob> queue_;
  std::map<ShapeKey, Shape> shapes_;
  // Jobs that may have a reservation and have none, by tenant, in the order of arrival.
  std::map<int, std::set<JobHandle>> unreserved_;
  std::set<int> reserved_workers_;
  std::map<int, double> reserved_by_tenant_;  // in slots
  double reserved_slots_ = 0, queued_bytes_ = 0;
  std::map<int, std::size_t> queued_by_class_, queued_by_tenant_;
  std::deque<std::size_t> changed_workers_;
  std::vector<std::size_t> rejecting_workers_, excluded_workers_;
  bool reservations_outdated_ = false;
  std::uint64_t picks_ = 0, search_start_ = 0;
  SchedulerStats stats_;
  std::map<int, Quantiles> wait_times_;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_SCHEDULER_H_
