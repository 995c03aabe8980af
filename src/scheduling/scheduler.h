// Which waiting job may start now, and where room is held for one that can't yet.
//
// Waiting jobs are kept in a bounded room. Whatever fits starts at once. A job of a class that may
// hold room, and that fits nowhere now, gets a reservation: the worker that is expected to have
// room for it first. Other jobs are still started there (backfill) if they are expected to end by
// then, or leave enough beside them, as EASY backfill has it (Lifka 1995; Mu'alem and Feitelson
// 2001), with one reservation a worker. Room that is free for a job anywhere else is always taken,
// so a reservation never makes its job wait.
//
// No I/O, no clock, no wire: times are seconds on the caller's clock, which never runs backwards.
// Which server of those that have room a job goes to is the decision module's (policy/).
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

using Handle = std::uint64_t;  // of a job; 0: none. A job that came later has a larger one.

struct Job {
  Handle handle = 0;
  int cls = 0, tenant = 0, kind = -1;  // kind of worker that runs it, -1: any
  Resources need;
  double bytes = 0, hint_s = 0;
  double arrived_at = 0;
  double start_by = 0;  // to be in time; later ones come after those that still can be
  bool may_reserve = false;
};

// What is known of a worker from outside.
struct WorkerState {
  int kind = 0;
  bool usable = false;       // may be sent to: listed, not drained, out by hand or ejected
  bool cold = false;         // too fresh to hold room at: its own budget bounds what it gets
  bool far = false;          // in another zone: only for who has waited, or while many wait
  Resources capacity{0, 0};  // no slots: not known, then it counts as bottomless
  bool told = false;         // the capacity is told, not learned
  double others = 0;         // slots taken there by jobs that are not ours
  bool operator==(const WorkerState&) const = default;
};

struct SchedulerStats {
  std::size_t waiting = 0, reservations = 0;
  double reserved_slots = 0;
  std::uint64_t waited = 0;               // jobs that had to wait and then started
  std::uint64_t backfilled = 0;           // started where room was held for another
  std::uint64_t broken_reservations = 0;  // reservations that ended without their job's start there
  std::uint64_t rejected = 0;             // found the waiting room full
};

class Scheduler {
 public:
  Scheduler(const Options& options, std::uint64_t seed) : options_(options), seed_(seed) {}

  void Configure(const Options& options);
  void SetTenants(std::vector<double> shares) { shares_ = std::move(shares); }
  // This node's part of all room that may be held, by what peers tell: 0 to 1.
  void SetPart(double part) { part_ = part; }
  RuntimeEstimator& runtimes() { return estimates_; }

  // Workers keep the number that they first got.
  void SetWorker(std::size_t worker, const WorkerState& facts);

  // A job that does not wait yet may start at that worker now, as far as room goes.
  bool MayStart(const Job& job, std::size_t worker, double now) const;
  // Some worker where it may start, -1: none now.
  int FindWorker(const Job& job, double now) const;
  // No worker that is listed could ever hold it, by what they told.
  bool FitsNoWorker(const Job& job) const;

  // Puts it into the waiting room; false, and nothing kept, if that is full.
  bool Enqueue(const Job& job, double now);
  bool IsQueued(Handle job) const { return waiting_.contains(job); }
  // Nothing could be sent there after all (its cold budget is used up, say): until the next tick no
  // room is seen there.
  void ExcludeUntilTick(std::size_t worker);
  void Dequeue(Handle job);  // it waits no longer
  void OnStarted(const Job& job, std::size_t worker, double now);
  // An attempt there is over; `ran_s` of one that came to its end, else negative.
  void OnEnded(Handle job, std::size_t worker, double ran_s);
  // Own slots that have been taken there since before `since`.
  double SlotsInUseSince(std::size_t worker, double since) const;
  // The worker had no room although it seemed so: it gets nothing more for a moment.
  void OnRejected(std::size_t worker, double now);

  struct Start {
    Handle job = 0;
    std::size_t worker = 0;
  };
  // The next waiting job that may start, with a worker that has room. The caller then reports
  // Started or Leave of it, or has the worker shunned.
  std::optional<Start> Next(double now);
  // Wanted every so often while jobs wait: holds that lasted too long end, shunned workers return.
  static constexpr double kTickS = 0.05;
  bool WantsTick() const { return !waiting_.empty() || !full_.empty() || !shunned_.empty(); }
  void Tick(double now);

  double ReservedSlots(std::size_t worker) const;  // slots
  SchedulerStats stats() const;
  std::map<int, std::size_t> WaitingByClass() const { return by_class_; }
  const std::map<int, Quantiles>& waits() const { return waits_; }  // by class, of those started

 private:
  struct Run {
    Handle job;
    Resources need;
    int cls;
    double hint_s, since;
  };
  struct Worker {
    WorkerState facts;
    Resources used{0, 0};
    std::vector<Run> runs;
    Handle held_for = 0;
    double full_others = 0, full_until = 0;  // turned a job away
    bool listed = false, dirty = false, shunned = false;
  };
  // Jobs alike in class and need: whatever holds for the first of them holds for all.
  struct Shape {
    std::set<std::pair<double, Handle>> timely;  // by when they must start
    std::set<Handle> late;                       // by arrival
  };
  using ShapeKey = std::tuple<int, int, int>;  // class, slots, memory in steps
  struct Waiting {
    Job job;
    ShapeKey shape;
    int held_at = -1;
    double held_since = 0, no_hold_until = 0;
  };

  Resources Clamped(const Worker& w, const Resources& need) const;
  Resources Others(const Worker& w) const;
  Resources Free(const Worker& w) const;
  bool KindFits(int kind, const Worker& w) const { return kind < 0 || kind == w.facts.kind; }
  bool MayCross(const Job& job, double now) const;
  bool RoomNear(const Job& job) const;
  bool Crowded(std::size_t waiting) const;
  void LookFar();
  double Shadow(const Worker& w, const Resources& need, double now) const;
  double EndOf(const Worker& w, const Run& run, double now) const;
  bool SparesHeld(const Worker& w, const Job& job, const Resources& need, double now) const;
  Handle PickFor(Worker& w, std::size_t number, double now);
  void Touch(std::size_t worker);  // its room has changed
  void AddToShape(Waiting* waiting);
  void RemoveFromShape(Waiting* waiting);
  void Plan(double now);
  bool PlanOne(int tenant, double now);
  void Unhold(Waiting* waiting, bool broken);
  double HoldCap() const;

  Options options_;
  std::uint64_t seed_;
  double part_ = 1;
  std::vector<double> shares_;
  RuntimeEstimator estimates_;
  std::vector<Worker> workers_;
  // By kind (-1: any) and whether far: room that is neither taken nor held.
  std::map<std::pair<int, bool>, ResourceIndex> open_;
  std::map<int, Resources> largest_;  // capacity ever known, by kind and -1 for any
  double fleet_slots_ = 0, near_slots_ = 0, mean_run_s_ = 1;
  std::unordered_map<Handle, Waiting> waiting_;
  std::map<ShapeKey, Shape> shapes_;
  std::map<int, std::set<Handle>> holdable_;  // by tenant: without a reservation, by arrival
  std::set<int> reserved_;                    // workers that room is held at
  std::map<int, double> held_;                // slots by tenant
  double held_total_ = 0, bytes_ = 0;
  std::map<int, std::size_t> by_class_, by_tenant_;
  std::deque<std::size_t> dirty_;
  std::vector<std::size_t> full_, shunned_;  // workers that turned jobs away, or were shunned
  bool plan_ = false;
  std::uint64_t turn_ = 0, cursor_ = 0;
  SchedulerStats figures_;
  std::map<int, Quantiles> waits_;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_SCHEDULER_H_
