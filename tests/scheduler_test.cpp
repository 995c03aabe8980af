// Tests of the scheduler and its estimators without sockets and clock, and of the section
// `scheduling` of the configuration.
#include "scheduling/scheduler.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "config/scheduling.h"
#include "scheduling/capacity_estimator.h"
#include "scheduling/scheduling_balancer.h"

namespace millethollow::scheduling {
namespace {

// ---- estimates ----

TEST(RuntimeEstimator, QuantilesFollowTheStream) {
  Quantiles quantiles;
  std::mt19937 random(7);
  std::uniform_real_distribution<double> uniform(0, 1);
  for (int i = 0; i < 2000; ++i) quantiles.Add(uniform(random));
  for (const double p : {0.1, 0.5, 0.9}) EXPECT_NEAR(quantiles.At(p), p, 0.06) << p;
  EXPECT_NEAR(quantiles.Below(0.25), 0.25, 0.06);
  EXPECT_NEAR(quantiles.Remaining(0.5, 0.5), 0.25, 0.06) << "half of the remaining range";
  EXPECT_NEAR(quantiles.Remaining(2, 0.5), 1, 1e-9)
      << "beyond all samples: half of the elapsed time";
  for (int i = 0; i < 2000; ++i) quantiles.Add(10 + uniform(random));
  EXPECT_GT(quantiles.At(0.05), 9) << "old samples are dropped";
}

TEST(RuntimeEstimator, FallsBackFromKindToClassToPrior) {
  RuntimeEstimator estimator;
  estimator.SetPrior(0, 0.25);
  EXPECT_DOUBLE_EQ(estimator.Remaining(0, 3, 0, 0, 0.5), 0.25);
  EXPECT_DOUBLE_EQ(estimator.Remaining(0, 3, 0, 0.1, 0.5), 0.15);
  EXPECT_DOUBLE_EQ(estimator.Remaining(0, 3, 2, 0, 0.5), 2) << "the job's size hint";
  for (int i = 0; i < 40; ++i) estimator.AddSample(0, 1, 0, 3);
  EXPECT_NEAR(estimator.Remaining(0, 3, 0, 0, 0.5), 3, 1e-9)
      << "no samples of this kind: those of the class";
  for (int i = 0; i < 40; ++i) estimator.AddSample(0, 2, 2, 8);
  EXPECT_NEAR(estimator.Remaining(0, 2, 1, 0, 0.5), 4, 1e-9) << "four times the size hint";
}

TEST(CapacityEstimator, IsAnUpperQuantileOfFreePlusUsedSlots) {
  CapacityEstimator estimator;
  estimator.OnReport(0, 1, 3, 0);
  estimator.OnReport(0, 2, 2, 0);
  EXPECT_EQ(estimator.SlotsOf(0), 0) << "two reports are not enough";
  for (const double slots_in_use : {3.0, 4.0, 4.0, 3.0, 4.0, 4.0})
    estimator.OnReport(0, 1, slots_in_use, 1);
  EXPECT_EQ(estimator.SlotsOf(0), 5);
  EXPECT_EQ(estimator.SlotsOf(1), 5) << "a kind without reports gets the mean of the others";
  estimator.OnReport(0, 1, 8, 1);
  EXPECT_EQ(estimator.SlotsOf(0), 5) << "a single outlier has no effect";
  for (const double invalid_report : {-1.0, 0.0, 1e9, std::nan("")})
    estimator.OnReport(1, invalid_report, 0, 1);
  EXPECT_EQ(estimator.SlotsOf(1), 5);
  for (int i = 0; i < 12; ++i) estimator.OnReport(0, 3, 0, 200);
  EXPECT_EQ(estimator.SlotsOf(0), 3) << "the capacity may become smaller";
}

// If no slots are free, jobs may be queued at the worker, so the least sum is only an upper bound.
TEST(CapacityEstimator, UsesAnUpperBoundForAKindThatNeverReportsFreeSlots) {
  CapacityEstimator estimator;
  for (const double slots_in_use : {7.0, 4.0, 9.0}) estimator.OnReport(0, 0, slots_in_use, 0);
  EXPECT_EQ(estimator.SlotsOf(0), 4);
  for (int i = 0; i < 3; ++i) estimator.OnReport(0, 2, 3, 0);
  EXPECT_EQ(estimator.SlotsOf(0), 5) << "an estimate replaces the bound";
}

TEST(ResourceIndex, AgreesWithAnExhaustiveSearch) {
  std::mt19937 random(11);
  for (int round = 0; round < 200; ++round) {
    ResourceIndex index;
    std::map<std::size_t, Resources> available;
    for (int i = 0; i < 60; ++i) {
      const std::size_t worker = random() % 100;
      available[worker] = {static_cast<double>(random() % 5), static_cast<double>(random() % 5)};
      index.Set(worker, available[worker]);
      const Resources need{static_cast<double>(random() % 6), static_cast<double>(random() % 6)};
      const int found = index.Find(need, random());
      const bool fits_anywhere =
          std::any_of(available.begin(), available.end(),
                      [&](const auto& entry) { return need.Within(entry.second); });
      ASSERT_EQ(found >= 0, fits_anywhere);
      if (found >= 0) ASSERT_TRUE(need.Within(available.at(static_cast<std::size_t>(found))));
    }
  }
}

// ---- the scheduler ----

constexpr int kSmall = 0, kLarge = 1;

struct SchedulerHarness {
  explicit SchedulerHarness(const Options& options = {}) : scheduler(options, 1) {
    scheduler.runtimes().SetPrior(kSmall, 0.5);
    scheduler.runtimes().SetPrior(kLarge, 3);
    scheduler.SetTenants({0.5, 0.5});
  }
  void AddWorkers(int count, double slots, double memory) {
    for (int worker = 0; worker < count; ++worker) SetWorker(worker, slots, memory);
  }
  void SetWorker(int worker, double slots, double memory, bool usable = true,
                 double other_slots = 0) {
    scheduler.SetWorker(static_cast<std::size_t>(worker), {.kind = 0,
                                                           .usable = usable,
                                                           .in_slow_start = false,
                                                           .capacity = {slots, memory},
                                                           .capacity_reported = true,
                                                           .other_slots = other_slots});
  }
  Job MakeJob(int class_index, Resources need, int tenant = 0) {
    Job job;
    job.handle = ++last_handle;
    job.class_index = class_index;
    job.tenant = tenant;
    job.need = need;
    job.arrived_at = now;
    job.start_by = now + (class_index == kLarge ? 4 : 0.6);
    job.may_reserve = class_index == kLarge;
    return jobs[last_handle] = job;
  }
  // Like SchedulingBalancer: starts the job if a worker has enough free resources, else queues it.
  int Submit(const Job& job) {
    const int worker = scheduler.FindWorker(job, now);
    if (worker >= 0) {
      Start(job.handle, worker);
    } else {
      scheduler.Enqueue(job, now);
    }
    return worker;
  }
  void Start(JobHandle job, int worker) {
    scheduler.OnStarted(jobs.at(job), static_cast<std::size_t>(worker), now);
    worker_of[job] = worker;
  }
  void End(JobHandle job) {
    scheduler.OnEnded(job, static_cast<std::size_t>(worker_of.at(job)), 1);
    worker_of.erase(job);
  }
  std::vector<JobHandle> StartQueuedJobs() {
    std::vector<JobHandle> started;
    while (const auto assignment = scheduler.Next(now)) {
      Start(assignment->job, static_cast<int>(assignment->worker));
      started.push_back(assignment->job);
    }
    return started;
  }
  Scheduler scheduler;
  double now = 0;
  JobHandle last_handle = 0;
  std::map<JobHandle, Job> jobs;
  std::map<JobHandle, int> worker_of;
};

TEST(Scheduler, ReservesForALargeJobAndBackfillsSmallOnes) {
  SchedulerHarness harness;
  harness.AddWorkers(1, 2, 2);
  const Job first = harness.MakeJob(kSmall, {1, 1}), second = harness.MakeJob(kSmall, {1, 1});
  EXPECT_EQ(harness.Submit(first), 0);
  EXPECT_EQ(harness.Submit(second), 0);
  const Job large = harness.MakeJob(kLarge, {2, 2});
  EXPECT_EQ(harness.Submit(large), -1);
  EXPECT_TRUE(harness.StartQueuedJobs().empty());
  EXPECT_EQ(harness.scheduler.ReservedSlots(0), 2);
  harness.now = 0.4;
  const Job later = harness.MakeJob(kSmall, {1, 1});
  harness.Submit(later);
  harness.End(first.handle);
  EXPECT_TRUE(harness.StartQueuedJobs().empty())
      << "it would run for longer than the remaining one";
  Job shorter = harness.MakeJob(kSmall, {1, 1});
  shorter.hint_s = 0.05;
  harness.jobs[shorter.handle] = shorter;
  EXPECT_EQ(harness.Submit(shorter), 0);
  EXPECT_EQ(harness.scheduler.stats().backfilled, 1u);
  harness.End(shorter.handle);
  harness.End(second.handle);
  EXPECT_EQ(harness.StartQueuedJobs(), std::vector<JobHandle>{large.handle});
  EXPECT_EQ(harness.scheduler.ReservedSlots(0), 0);
  harness.End(large.handle);
  EXPECT_EQ(harness.StartQueuedJobs(), std::vector<JobHandle>{later.handle});
}

// Resources that remain once the reserved job has started may be used by other jobs, however long
// these run.
TEST(Scheduler, BackfillsResourcesThatTheReservationLeaves) {
  SchedulerHarness harness;
  harness.AddWorkers(1, 4, 4);
  std::vector<JobHandle> small;
  for (int i = 0; i < 4; ++i) {
    small.push_back(harness.MakeJob(kSmall, {1, 1}).handle);
    harness.Submit(harness.jobs.at(small.back()));
  }
  harness.Submit(harness.MakeJob(kLarge, {2, 2}));
  harness.StartQueuedJobs();
  harness.now = 0.4;
  harness.End(small[0]);
  Job endless = harness.MakeJob(kSmall, {1, 1});
  endless.hint_s = 100;
  harness.jobs[endless.handle] = endless;
  EXPECT_EQ(harness.Submit(endless), 0);
}

TEST(Scheduler, StartsAtAnyWorkerBeforeTheReservedOne) {
  SchedulerHarness harness;
  harness.AddWorkers(2, 1, 1);
  const Job first = harness.MakeJob(kSmall, {1, 1}), second = harness.MakeJob(kSmall, {1, 1});
  harness.Submit(first);
  harness.Submit(second);
  const Job large = harness.MakeJob(kLarge, {1, 1});
  harness.Submit(large);
  harness.StartQueuedJobs();
  const int reserved_worker = harness.scheduler.ReservedSlots(0) > 0 ? 0 : 1;
  harness.End(harness.worker_of.at(first.handle) == reserved_worker ? second.handle : first.handle);
  EXPECT_EQ(harness.StartQueuedJobs(), std::vector<JobHandle>{large.handle})
      << "it must not wait for its reservation";
  EXPECT_EQ(harness.scheduler.stats().cancelled_reservations, 1u);
}

// The scheduler does not distinguish gone, draining, ejected workers and those in maintenance: they
// are all unusable.
TEST(Scheduler, MovesAReservationWhenItsWorkerBecomesUnusable) {
  SchedulerHarness harness;
  harness.AddWorkers(3, 1, 1);
  for (int i = 0; i < 3; ++i) harness.Submit(harness.MakeJob(kSmall, {1, 1}));
  const Job large = harness.MakeJob(kLarge, {1, 1});
  harness.Submit(large);
  harness.StartQueuedJobs();
  int reserved_worker = 0;
  while (harness.scheduler.ReservedSlots(static_cast<std::size_t>(reserved_worker)) == 0)
    ++reserved_worker;
  harness.SetWorker(reserved_worker, 1, 1, false);
  EXPECT_EQ(harness.scheduler.ReservedSlots(static_cast<std::size_t>(reserved_worker)), 0);
  harness.StartQueuedJobs();
  int moved = 0;
  while (moved < 3 && harness.scheduler.ReservedSlots(static_cast<std::size_t>(moved)) == 0)
    ++moved;
  ASSERT_LT(moved, 3);
  EXPECT_NE(moved, reserved_worker);
  for (const auto& [job, worker] : std::map(harness.worker_of)) {
    if (worker == moved) harness.End(job);
  }
  EXPECT_EQ(harness.StartQueuedJobs(), std::vector<JobHandle>{large.handle});
}

TEST(Scheduler, ReleasesAReservationWhenItsJobIsDequeued) {
  SchedulerHarness harness;
  harness.AddWorkers(1, 2, 2);
  const Job first = harness.MakeJob(kSmall, {1, 1}), second = harness.MakeJob(kSmall, {1, 1});
  harness.Submit(first);
  harness.Submit(second);
  const Job large = harness.MakeJob(kLarge, {2, 2});
  harness.Submit(large);
  harness.StartQueuedJobs();
  harness.End(first.handle);
  const Job small = harness.MakeJob(kSmall, {1, 1});
  harness.now = 0.1;
  EXPECT_EQ(harness.Submit(small), -1);
  harness.scheduler.Dequeue(large.handle);
  EXPECT_EQ(harness.StartQueuedJobs(), std::vector<JobHandle>{small.handle}) << "in the same turn";
  EXPECT_EQ(harness.scheduler.stats().reserved_slots, 0);
}

TEST(Scheduler, DetectsJobsThatFitNoWorker) {
  SchedulerHarness harness;
  harness.AddWorkers(2, 4, 4);
  EXPECT_FALSE(harness.scheduler.FitsNoWorker(harness.MakeJob(kLarge, {4, 4})));
  EXPECT_TRUE(harness.scheduler.FitsNoWorker(harness.MakeJob(kLarge, {5, 1})));
  EXPECT_TRUE(harness.scheduler.FitsNoWorker(harness.MakeJob(kLarge, {1, 4.5})));
  harness.scheduler.SetWorker(
      2, {.kind = 0, .usable = true, .capacity = {2, 2}, .capacity_reported = false});
  EXPECT_FALSE(harness.scheduler.FitsNoWorker(harness.MakeJob(kLarge, {5, 1})))
      << "an estimated capacity may be too low";
  EXPECT_EQ(harness.scheduler.FindWorker(harness.MakeJob(kLarge, {5, 1}), 0), 2)
      << "it is tried on an idle worker";
}

struct ResourceCase {
  const char* name = "";
  Resources in_use, need;
  bool starts = false;
};
TEST(Scheduler, SlotsAndMemoryLimitIndependently) {
  for (const ResourceCase& test_case :
       {ResourceCase{"memory fits, slots do not", {4, 1}, {1, 1}, false},
        ResourceCase{"slots fit, memory does not", {1, 4}, {1, 1}, false},
        ResourceCase{"both fit", {3, 3}, {1, 1}, true}}) {
    SchedulerHarness harness;
    harness.AddWorkers(1, 4, 4);
    harness.Submit(harness.MakeJob(kSmall, test_case.in_use));
    EXPECT_EQ(harness.Submit(harness.MakeJob(kSmall, test_case.need)) >= 0, test_case.starts)
        << test_case.name;
  }
}

TEST(Scheduler, CancelsAnOverdueReservationAndStartsOtherJobs) {
  Options options;
  options.reservation_timeout_s = 1;
  SchedulerHarness harness(options);
  harness.AddWorkers(1, 2, 2);
  const Job endless = harness.MakeJob(kSmall, {1, 1}), first = harness.MakeJob(kSmall, {1, 1});
  harness.Submit(endless);  // runs for longer than any estimate
  harness.Submit(first);
  const Job large = harness.MakeJob(kLarge, {2, 2});
  harness.Submit(large);
  harness.StartQueuedJobs();
  harness.now = 0.2;
  harness.End(first.handle);
  const Job small = harness.MakeJob(kSmall, {1, 1});
  harness.Submit(small);
  EXPECT_TRUE(harness.StartQueuedJobs().empty());
  harness.now = 1.1;
  harness.scheduler.Tick(harness.now);
  EXPECT_EQ(harness.StartQueuedJobs(), std::vector<JobHandle>{small.handle});
  EXPECT_EQ(harness.scheduler.stats().cancelled_reservations, 1u);
  harness.now = 2.2;
  harness.scheduler.Tick(harness.now);
  harness.StartQueuedJobs();
  EXPECT_EQ(harness.scheduler.ReservedSlots(0), 2) << "it may reserve again";
}

TEST(Scheduler, ReservationsFollowTenantShares) {
  Options options;
  options.max_reserved_fleet_share = 0.5;
  SchedulerHarness harness(options);
  harness.scheduler.SetTenants({0.8, 0.2});
  harness.AddWorkers(20, 1, 1);
  std::vector<JobHandle> running;
  for (int i = 0; i < 20; ++i) {
    running.push_back(harness.MakeJob(kSmall, {1, 1}).handle);
    harness.Submit(harness.jobs.at(running.back()));
  }
  for (int i = 0; i < 100; ++i)
    harness.Submit(harness.MakeJob(kLarge, {1, 1}, 1));  // far above its share
  harness.StartQueuedJobs();
  EXPECT_EQ(harness.scheduler.stats().reserved_slots, 4) << "twice its share of ten";
  for (int i = 0; i < 5; ++i) harness.Submit(harness.MakeJob(kLarge, {1, 1}, 0));
  harness.StartQueuedJobs();
  EXPECT_EQ(harness.scheduler.stats().reserved_slots, 9);
  harness.scheduler.SetReservationShare(0.25);  // other nodes have the rest
  harness.Submit(harness.MakeJob(kLarge, {1, 1}, 0));
  harness.StartQueuedJobs();
  EXPECT_EQ(harness.scheduler.stats().reserved_slots, 9) << "the limit is now a quarter of ten";
}

TEST(Scheduler, QueueIsLimitedByJobsBytesAndTenantShare) {
  Options options;
  options.max_queued_jobs = 4;
  options.max_queued_bytes = 100;
  options.max_tenant_share = 0.5;
  SchedulerHarness harness(options);
  harness.AddWorkers(1, 1, 1);
  harness.Submit(harness.MakeJob(kSmall, {1, 1}));
  const auto enqueue = [&](int tenant, double bytes) {
    Job job = harness.MakeJob(kSmall, {1, 1}, tenant);
    job.bytes = bytes;
    return harness.scheduler.Enqueue(job, 0);
  };
  EXPECT_FALSE(enqueue(0, 101)) << "bytes";
  EXPECT_TRUE(enqueue(0, 10));
  EXPECT_TRUE(enqueue(0, 10));
  EXPECT_FALSE(enqueue(0, 10)) << "tenant share";
  EXPECT_TRUE(enqueue(1, 10));
  EXPECT_TRUE(enqueue(1, 10));
  EXPECT_FALSE(enqueue(2, 10)) << "jobs";
  EXPECT_EQ(harness.scheduler.stats().rejected, 3u);
}

TEST(Scheduler, StartsLateJobsToo) {
  SchedulerHarness harness;
  harness.AddWorkers(1, 1, 1);
  const Job first_job = harness.MakeJob(kSmall, {1, 1});
  harness.Submit(first_job);
  const Job late_job = harness.MakeJob(kSmall, {1, 1});
  harness.Submit(late_job);
  harness.now = 5;  // long after its time to start by
  JobHandle running_handle = first_job.handle;
  int picks = 0;
  for (; harness.scheduler.IsQueued(late_job.handle) && picks < 40; ++picks) {
    harness.Submit(harness.MakeJob(kSmall, {1, 1}));
    harness.End(running_handle);
    const auto started = harness.StartQueuedJobs();
    ASSERT_EQ(started.size(), 1u);
    running_handle = started[0];
  }
  EXPECT_LE(picks, 16);
}

// A remote zone costs more, so a job waits for a slot in the local zone for a short time, unless
// many jobs wait.
TEST(Scheduler, PrefersTheLocalZoneWhileFewJobsWait) {
  Options options;
  options.local_zone_wait_s = 0.1;
  SchedulerHarness harness(options);
  harness.AddWorkers(1, 10, 10);  // with jobs of 1 s it frees one slot in that time
  harness.scheduler.SetWorker(1, {.kind = 0,
                                  .usable = true,
                                  .remote_zone = true,
                                  .capacity = {4, 4},
                                  .capacity_reported = true});
  std::vector<Job> jobs;
  for (int i = 0; i < 10; ++i) {
    jobs.push_back(harness.MakeJob(kSmall, {1, 1}));
    EXPECT_EQ(harness.Submit(jobs.back()), 0);
  }
  const Job briefly_waiting_job = harness.MakeJob(kSmall, {1, 1});
  EXPECT_EQ(harness.Submit(briefly_waiting_job), -1);
  EXPECT_TRUE(harness.StartQueuedJobs().empty());
  harness.End(jobs[0].handle);
  EXPECT_EQ(harness.StartQueuedJobs(), std::vector<JobHandle>{briefly_waiting_job.handle});
  EXPECT_EQ(harness.worker_of.at(briefly_waiting_job.handle), 0);
  const Job long_waiting_job = harness.MakeJob(kSmall, {1, 1});
  EXPECT_EQ(harness.Submit(long_waiting_job), -1);
  harness.now = 0.11;
  harness.scheduler.Tick(harness.now);
  EXPECT_EQ(harness.StartQueuedJobs(), std::vector<JobHandle>{long_waiting_job.handle})
      << "it has waited for local_zone_wait_s";
  EXPECT_EQ(harness.worker_of.at(long_waiting_job.handle), 1);
  EXPECT_EQ(harness.Submit(harness.MakeJob(kSmall, {1, 1})), -1);
  EXPECT_TRUE(harness.StartQueuedJobs().empty());
  harness.Submit(harness.MakeJob(kSmall, {1, 1}));
  EXPECT_EQ(harness.StartQueuedJobs().size(), 1u)
      << "two jobs wait, more than the local zone frees";
}

// Runs random steps and checks after each: no worker is used beyond its capacity, no job waits that
// fits at a worker without a reservation, and each job is counted once. `estimate_error`: factor by
// which run times differ from the estimates.
void RunRandomScenario(std::uint32_t seed, double estimate_error) {
  std::mt19937 random(seed);
  const auto random_below = [&](unsigned n) { return static_cast<int>(random() % n); };
  Options options;
  options.reservation_timeout_s = 0.5 + random_below(3);
  options.max_reserved_fleet_share = random_below(4) * 0.25;
  options.max_queued_jobs = 40;
  SchedulerHarness harness(options);
  const int workers = 1 + random_below(6);
  std::vector<Resources> capacity;
  std::vector<bool> usable;
  for (int worker = 0; worker < workers; ++worker) {
    capacity.push_back({1.0 + random_below(4), 1.0 + random_below(4)});
    usable.push_back(true);
    harness.SetWorker(worker, capacity.back().slots, capacity.back().memory);
  }
  std::set<JobHandle> waiting;
  std::map<JobHandle, double> end_times;
  std::size_t started = 0, dequeued = 0, rejected = 0, submitted = 0;
  const auto start_queued = [&] {
    for (const JobHandle job : harness.StartQueuedJobs()) {
      ASSERT_EQ(waiting.erase(job), 1u) << "started twice or was not queued";
      ++started;
      end_times[job] = harness.now + 0.1 * (1 + random_below(9)) * estimate_error;
    }
  };
  for (int step = 0; step < 120; ++step) {
    harness.now += 0.05 * random_below(4);
    const int choice = random_below(10);
    if (choice < 5) {
      const int class_index = random_below(4) == 0 ? kLarge : kSmall;
      const Resources need{class_index == kLarge ? 1.0 + random_below(2) : 1.0,
                           0.125 * (1 + random_below(12))};
      const Job job = harness.MakeJob(class_index, need, random_below(2));
      ++submitted;
      const int worker = harness.scheduler.FindWorker(job, harness.now);
      if (worker >= 0) {
        harness.Start(job.handle, worker);
        ++started;
        end_times[job.handle] = harness.now + 0.1 * (1 + random_below(9)) * estimate_error;
      } else if (harness.scheduler.Enqueue(job, harness.now)) {
        waiting.insert(job.handle);
      } else {
        ++rejected;
      }
    } else if (choice == 5 && !waiting.empty()) {
      const auto it =
          std::next(waiting.begin(), random_below(static_cast<unsigned>(waiting.size())));
      harness.scheduler.Dequeue(*it);
      waiting.erase(it);
      ++dequeued;
    } else if (choice == 6) {
      const auto worker = static_cast<std::size_t>(random_below(static_cast<unsigned>(workers)));
      usable[worker] = !usable[worker];
      harness.SetWorker(static_cast<int>(worker), capacity[worker].slots, capacity[worker].memory,
                        usable[worker]);
    } else if (choice == 7) {
      harness.scheduler.Tick(harness.now);
    } else {
      for (const auto& [job, ends_at] : std::map(end_times)) {
        if (ends_at > harness.now) continue;
        harness.End(job);
        end_times.erase(job);
      }
    }
    start_queued();
    std::vector<Resources> used(capacity.size(), {0, 0});
    for (const auto& [job, worker] : harness.worker_of) {
      used[static_cast<std::size_t>(worker)] =
          used[static_cast<std::size_t>(worker)] + harness.jobs.at(job).need;
    }
    for (std::size_t worker = 0; worker < capacity.size(); ++worker) {
      ASSERT_TRUE(used[worker].Within(capacity[worker])) << "seed " << seed << " step " << step;
      if (!usable[worker] || harness.scheduler.ReservedSlots(worker) > 0) continue;
      for (const JobHandle job : waiting) {
        ASSERT_FALSE(harness.jobs.at(job).need.Within(capacity[worker] - used[worker]))
            << "seed " << seed << " step " << step << " job " << job
            << " waits although it fits at a worker";
      }
    }
    ASSERT_EQ(harness.scheduler.stats().waiting, waiting.size());
    ASSERT_EQ(submitted, started + dequeued + rejected + waiting.size());
  }
}

TEST(Scheduler, KeepsItsInvariantsInRandomScenarios) {
  for (std::uint32_t seed = 0; seed < 2000 && !::testing::Test::HasFatalFailure(); ++seed) {
    RunRandomScenario(seed, 1);
  }
}
TEST(Scheduler, KeepsItsInvariantsWithEstimatesWrongByAFactorOfTen) {
  for (std::uint32_t seed = 0; seed < 500 && !::testing::Test::HasFatalFailure(); ++seed) {
    RunRandomScenario(seed, 10);
    RunRandomScenario(seed, 0.1);
  }
}

// ---- the section `scheduling` of the configuration ----

struct ScheduleSection {
  const char* text;
  const char* error;  // empty if it is accepted
};
TEST(SchedulingSection, IsValidatedAsAWhole) {
  const std::vector<std::string> classes{"look", "charge"};
  for (const ScheduleSection& section : {
           ScheduleSection{R"({})", ""},
           ScheduleSection{R"({"scheduling":{}})", ""},
           ScheduleSection{R"({"scheduling":{"waiting":{"jobs":10,"bytes":0,"tenant_share":1},
                     "hold":{"classes":["charge"],"of_worker":0.5,"of_fleet":0,"seconds":1},
                     "zone_patience_s":0,"memory_per_slot":0}})",
                           ""},
           ScheduleSection{R"([])", "configuration: not a JSON object"},
           ScheduleSection{R"({"scheduling":3})", "configuration: 'scheduling' is not an object"},
           ScheduleSection{R"({"scheduling":{"hold":{"clases":[]}}})",
                           "configuration: unknown key 'scheduling.hold.clases'"},
           ScheduleSection{R"({"scheduling":{"hold":{"of_fleet":1.5}}})",
                           "configuration: 'scheduling.hold.of_fleet' is not a number from 0 to 1"},
           ScheduleSection{
               R"({"scheduling":{"waiting":{"jobs":"10"}}})",
               "configuration: 'scheduling.waiting.jobs' is not a number from 1 to 1e+06"},
           ScheduleSection{R"({"scheduling":{"hold":{"classes":["nobody"]}}})",
                           "configuration: 'scheduling.hold.classes' names no class: nobody"},
           ScheduleSection{R"({"scheduling":{"hold":{"classes":"charge"}}})",
                           "configuration: 'scheduling.hold.classes' is not a list of names"},
           ScheduleSection{R"({"scheduling":{"enabled":1}})",
                           "configuration: 'scheduling.enabled' is not a flag"},
       }) {
    Options options;
    std::string error;
    const bool read = ReadScheduling(section.text, classes, &options, &error);
    EXPECT_EQ(read, error.empty()) << section.text;
    EXPECT_EQ(error, section.error);
    if (!error.empty()) EXPECT_FALSE(options.on) << "no part of it is applied";
  }
  Options options;
  std::string error;
  EXPECT_TRUE(
      ReadScheduling(R"({"scheduling":{"hold":{"seconds":7}}})", classes, &options, &error));
  EXPECT_TRUE(options.on);
  EXPECT_EQ(options.reservation_timeout_s, 7);
  EXPECT_TRUE(ReadScheduling(R"({"scheduling":{"enabled":false}})", classes, &options, &error));
  EXPECT_FALSE(options.on);
}

}  // namespace
}  // namespace millethollow::scheduling
