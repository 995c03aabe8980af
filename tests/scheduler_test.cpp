// The scheduler alone, and behind the desk with the decision module: no sockets, no clock.
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
  Quantiles q;
  std::mt19937 random(7);
  std::uniform_real_distribution<double> even(0, 1);
  for (int i = 0; i < 2000; ++i) q.Add(even(random));
  for (const double p : {0.1, 0.5, 0.9}) EXPECT_NEAR(q.At(p), p, 0.06) << p;
  EXPECT_NEAR(q.Below(0.25), 0.25, 0.06);
  EXPECT_NEAR(q.Remaining(0.5, 0.5), 0.25, 0.06) << "half of what is left, having lasted so long";
  EXPECT_NEAR(q.Remaining(2, 0.5), 1, 1e-9) << "past all that was seen: half as much again";
  for (int i = 0; i < 2000; ++i) q.Add(10 + even(random));
  EXPECT_GT(q.At(0.05), 9) << "old samples are dropped";
}

TEST(RuntimeEstimator, FallBackFromKindToClassToWhatIsExpected) {
  RuntimeEstimator e;
  e.SetPrior(0, 0.25);
  EXPECT_DOUBLE_EQ(e.Remaining(0, 3, 0, 0, 0.5), 0.25);
  EXPECT_DOUBLE_EQ(e.Remaining(0, 3, 0, 0.1, 0.5), 0.15);
  EXPECT_DOUBLE_EQ(e.Remaining(0, 3, 2, 0, 0.5), 2) << "a job's own word";
  for (int i = 0; i < 40; ++i) e.AddSample(0, 1, 0, 3);
  EXPECT_NEAR(e.Remaining(0, 3, 0, 0, 0.5), 3, 1e-9) << "another kind: the class's";
  for (int i = 0; i < 40; ++i) e.AddSample(0, 2, 2, 8);
  EXPECT_NEAR(e.Remaining(0, 2, 1, 0, 0.5), 4, 1e-9) << "four times what was told";
}

TEST(CapacityEstimator, IsAnUpperQuantileOfWhatIsFreeAndTaken) {
  CapacityEstimator c;
  c.OnReport(0, 1, 3, 0);
  c.OnReport(0, 2, 2, 0);
  EXPECT_EQ(c.SlotsOf(0), 0) << "two reports prove nothing";
  for (const double taken : {3.0, 4.0, 4.0, 3.0, 4.0, 4.0}) c.OnReport(0, 1, taken, 1);
  EXPECT_EQ(c.SlotsOf(0), 5);
  EXPECT_EQ(c.SlotsOf(1), 5) << "a kind of which nothing is known is taken for like the others";
  c.OnReport(0, 1, 8, 1);
  EXPECT_EQ(c.SlotsOf(0), 5) << "a single figure strays";
  for (const double odd : {-1.0, 0.0, 1e9, std::nan("")}) c.OnReport(1, odd, 0, 1);
  EXPECT_EQ(c.SlotsOf(1), 5);
  for (int i = 0; i < 12; ++i) c.OnReport(0, 3, 0, 200);
  EXPECT_EQ(c.SlotsOf(0), 3) << "a release may bring smaller ones";
}

// With none free, what is out there may wait: the least of such sums is a bound.
TEST(CapacityEstimator, OfAKindThatIsNeverSeenWithAFreeSlotIsBounded) {
  CapacityEstimator c;
  for (const double taken : {7.0, 4.0, 9.0}) c.OnReport(0, 0, taken, 0);
  EXPECT_EQ(c.SlotsOf(0), 4);
  for (int i = 0; i < 3; ++i) c.OnReport(0, 2, 3, 0);
  EXPECT_EQ(c.SlotsOf(0), 5) << "better is known now";
}

TEST(ResourceIndex, FindsWhateverLookingAtAllWouldFind) {
  std::mt19937 random(11);
  for (int round = 0; round < 200; ++round) {
    ResourceIndex index;
    std::map<std::size_t, Resources> rooms;
    for (int i = 0; i < 60; ++i) {
      const std::size_t w = random() % 100;
      rooms[w] = {static_cast<double>(random() % 5), static_cast<double>(random() % 5)};
      index.Set(w, rooms[w]);
      const Resources need{static_cast<double>(random() % 6), static_cast<double>(random() % 6)};
      const int found = index.Find(need, random());
      const bool any = std::any_of(rooms.begin(), rooms.end(),
                                   [&](const auto& r) { return need.Within(r.second); });
      ASSERT_EQ(found >= 0, any);
      if (found >= 0) ASSERT_TRUE(need.Within(rooms.at(static_cast<std::size_t>(found))));
    }
  }
}

// ---- the scheduler ----

constexpr int kSmall = 0, kLarge = 1;

struct Bench {
  explicit Bench(const Options& options = {}) : scheduler(options, 1) {
    scheduler.runtimes().SetPrior(kSmall, 0.5);
    scheduler.runtimes().SetPrior(kLarge, 3);
    scheduler.SetTenants({0.5, 0.5});
  }
  void Workers(int n, double slots, double memory) {
    for (int w = 0; w < n; ++w) Set(w, slots, memory);
  }
  void Set(int w, double slots, double memory, bool usable = true, double others = 0) {
    scheduler.SetWorker(static_cast<std::size_t>(w), {.kind = 0,
                                                      .usable = usable,
                                                      .warming_up = false,
                                                      .capacity = {slots, memory},
                                                      .capacity_reported = true,
                                                      .other_slots = others});
  }
  Job Make(int cls, Resources need, int tenant = 0) {
    Job job;
    job.handle = ++last;
    job.class_index = cls;
    job.tenant = tenant;
    job.need = need;
    job.arrived_at = now;
    job.start_by = now + (cls == kLarge ? 4 : 0.6);
    job.may_reserve = cls == kLarge;
    return jobs[last] = job;
  }
  // As the desk does: starts where there is room, else waits.
  int Arrive(const Job& job) {
    const int w = scheduler.FindWorker(job, now);
    if (w >= 0) {
      Start(job.handle, w);
    } else {
      scheduler.Enqueue(job, now);
    }
    return w;
  }
  void Start(JobHandle job, int w) {
    scheduler.OnStarted(jobs.at(job), static_cast<std::size_t>(w), now);
    at[job] = w;
  }
  void End(JobHandle job) {
    scheduler.OnEnded(job, static_cast<std::size_t>(at.at(job)), 1);
    at.erase(job);
  }
  std::vector<JobHandle> RunWhatMay() {
    std::vector<JobHandle> started;
    while (const auto s = scheduler.Next(now)) {
      Start(s->job, static_cast<int>(s->worker));
      started.push_back(s->job);
    }
    return started;
  }
  Scheduler scheduler;
  double now = 0;
  JobHandle last = 0;
  std::map<JobHandle, Job> jobs;
  std::map<JobHandle, int> at;
};

TEST(Scheduler, HoldsRoomForALargeJobWhileSmallOnesFillTheGaps) {
  Bench b;
  b.Workers(1, 2, 2);
  const Job one = b.Make(kSmall, {1, 1}), two = b.Make(kSmall, {1, 1});
  EXPECT_EQ(b.Arrive(one), 0);
  EXPECT_EQ(b.Arrive(two), 0);
  const Job large = b.Make(kLarge, {2, 2});
  EXPECT_EQ(b.Arrive(large), -1);
  EXPECT_TRUE(b.RunWhatMay().empty());
  EXPECT_EQ(b.scheduler.ReservedSlots(0), 2);
  b.now = 0.4;
  const Job later = b.Make(kSmall, {1, 1});
  b.Arrive(later);
  b.End(one.handle);
  EXPECT_TRUE(b.RunWhatMay().empty()) << "it would outlast the one that runs";
  Job shorter = b.Make(kSmall, {1, 1});
  shorter.hint_s = 0.05;
  b.jobs[shorter.handle] = shorter;
  EXPECT_EQ(b.Arrive(shorter), 0);
  EXPECT_EQ(b.scheduler.stats().backfilled, 1u);
  b.End(shorter.handle);
  b.End(two.handle);
  EXPECT_EQ(b.RunWhatMay(), std::vector<JobHandle>{large.handle});
  EXPECT_EQ(b.scheduler.ReservedSlots(0), 0);
  b.End(large.handle);
  EXPECT_EQ(b.RunWhatMay(), std::vector<JobHandle>{later.handle});
}

// What is left beside the large job once it starts is anybody's, however long they run.
TEST(Scheduler, FillsWhatIsLeftBesideTheLargeJob) {
  Bench b;
  b.Workers(1, 4, 4);
  std::vector<JobHandle> small;
  for (int i = 0; i < 4; ++i) {
    small.push_back(b.Make(kSmall, {1, 1}).handle);
    b.Arrive(b.jobs.at(small.back()));
  }
  b.Arrive(b.Make(kLarge, {2, 2}));
  b.RunWhatMay();
  b.now = 0.4;
  b.End(small[0]);
  Job endless = b.Make(kSmall, {1, 1});
  endless.hint_s = 100;
  b.jobs[endless.handle] = endless;
  EXPECT_EQ(b.Arrive(endless), 0);
}

TEST(Scheduler, TakesRoomAnywhereElseBeforeTheRoomThatIsHeld) {
  Bench b;
  b.Workers(2, 1, 1);
  const Job first = b.Make(kSmall, {1, 1}), second = b.Make(kSmall, {1, 1});
  b.Arrive(first);
  b.Arrive(second);
  const Job large = b.Make(kLarge, {1, 1});
  b.Arrive(large);
  b.RunWhatMay();
  const int held = b.scheduler.ReservedSlots(0) > 0 ? 0 : 1;
  b.End(b.at.at(first.handle) == held ? second.handle : first.handle);
  EXPECT_EQ(b.RunWhatMay(), std::vector<JobHandle>{large.handle}) << "no reservation makes it wait";
  EXPECT_EQ(b.scheduler.stats().cancelled_reservations, 1u);
}

// A worker that is lost, drained, taken out or ejected is all one here: it is not usable.
TEST(Scheduler, MovesAReservationAtOnceWhenItsWorkerIsLost) {
  Bench b;
  b.Workers(3, 1, 1);
  for (int i = 0; i < 3; ++i) b.Arrive(b.Make(kSmall, {1, 1}));
  const Job large = b.Make(kLarge, {1, 1});
  b.Arrive(large);
  b.RunWhatMay();
  int held = 0;
  while (b.scheduler.ReservedSlots(static_cast<std::size_t>(held)) == 0) ++held;
  b.Set(held, 1, 1, false);
  EXPECT_EQ(b.scheduler.ReservedSlots(static_cast<std::size_t>(held)), 0);
  b.RunWhatMay();
  int moved = 0;
  while (moved < 3 && b.scheduler.ReservedSlots(static_cast<std::size_t>(moved)) == 0) ++moved;
  ASSERT_LT(moved, 3);
  EXPECT_NE(moved, held);
  for (const auto& [job, w] : std::map(b.at)) {
    if (w == moved) b.End(job);
  }
  EXPECT_EQ(b.RunWhatMay(), std::vector<JobHandle>{large.handle});
}

TEST(Scheduler, FreesHeldRoomWhenItsJobLeaves) {
  Bench b;
  b.Workers(1, 2, 2);
  const Job one = b.Make(kSmall, {1, 1}), two = b.Make(kSmall, {1, 1});
  b.Arrive(one);
  b.Arrive(two);
  const Job large = b.Make(kLarge, {2, 2});
  b.Arrive(large);
  b.RunWhatMay();
  b.End(one.handle);
  const Job small = b.Make(kSmall, {1, 1});
  b.now = 0.1;
  EXPECT_EQ(b.Arrive(small), -1);
  b.scheduler.Dequeue(large.handle);
  EXPECT_EQ(b.RunWhatMay(), std::vector<JobHandle>{small.handle}) << "in the same turn";
  EXPECT_EQ(b.scheduler.stats().reserved_slots, 0);
}

TEST(Scheduler, SaysWhatFitsNoWorker) {
  Bench b;
  b.Workers(2, 4, 4);
  EXPECT_FALSE(b.scheduler.FitsNoWorker(b.Make(kLarge, {4, 4})));
  EXPECT_TRUE(b.scheduler.FitsNoWorker(b.Make(kLarge, {5, 1})));
  EXPECT_TRUE(b.scheduler.FitsNoWorker(b.Make(kLarge, {1, 4.5})));
  b.scheduler.SetWorker(
      2, {.kind = 0, .usable = true, .capacity = {2, 2}, .capacity_reported = false});
  EXPECT_FALSE(b.scheduler.FitsNoWorker(b.Make(kLarge, {5, 1}))) << "a learned one may be wrong";
  EXPECT_EQ(b.scheduler.FindWorker(b.Make(kLarge, {5, 1}), 0), 2) << "tried at an idle one";
}

struct Binding {
  const char* name = "";
  Resources taken, need;
  bool starts = false;
};
TEST(Scheduler, SlotsAndMemoryBindEachForItself) {
  for (const Binding& c : {Binding{"memory fits, slots do not", {4, 1}, {1, 1}, false},
                           Binding{"slots fit, memory does not", {1, 4}, {1, 1}, false},
                           Binding{"both fit", {3, 3}, {1, 1}, true}}) {
    Bench b;
    b.Workers(1, 4, 4);
    b.Arrive(b.Make(kSmall, c.taken));
    EXPECT_EQ(b.Arrive(b.Make(kSmall, c.need)) >= 0, c.starts) << c.name;
  }
}

TEST(Scheduler, BreaksOffAHoldThatLastsTooLongAndLetsOthersHaveTheirTurn) {
  Options options;
  options.reservation_timeout_s = 1;
  Bench b(options);
  b.Workers(1, 2, 2);
  const Job endless = b.Make(kSmall, {1, 1}), one = b.Make(kSmall, {1, 1});
  b.Arrive(endless);  // overruns whatever was estimated
  b.Arrive(one);
  const Job large = b.Make(kLarge, {2, 2});
  b.Arrive(large);
  b.RunWhatMay();
  b.now = 0.2;
  b.End(one.handle);
  const Job small = b.Make(kSmall, {1, 1});
  b.Arrive(small);
  EXPECT_TRUE(b.RunWhatMay().empty());
  b.now = 1.1;
  b.scheduler.Tick(b.now);
  EXPECT_EQ(b.RunWhatMay(), std::vector<JobHandle>{small.handle});
  EXPECT_EQ(b.scheduler.stats().cancelled_reservations, 1u);
  b.now = 2.2;
  b.scheduler.Tick(b.now);
  b.RunWhatMay();
  EXPECT_EQ(b.scheduler.ReservedSlots(0), 2) << "and may hold again";
}

TEST(Scheduler, RoomFollowsTheTenantsShares) {
  Options options;
  options.max_reserved_fleet_share = 0.5;
  Bench b(options);
  b.scheduler.SetTenants({0.8, 0.2});
  b.Workers(20, 1, 1);
  std::vector<JobHandle> running;
  for (int i = 0; i < 20; ++i) {
    running.push_back(b.Make(kSmall, {1, 1}).handle);
    b.Arrive(b.jobs.at(running.back()));
  }
  for (int i = 0; i < 100; ++i) b.Arrive(b.Make(kLarge, {1, 1}, 1));  // far over its share
  b.RunWhatMay();
  EXPECT_EQ(b.scheduler.stats().reserved_slots, 4) << "twice its part of ten";
  for (int i = 0; i < 5; ++i) b.Arrive(b.Make(kLarge, {1, 1}, 0));
  b.RunWhatMay();
  EXPECT_EQ(b.scheduler.stats().reserved_slots, 9);
  b.scheduler.SetReservationShare(0.25);  // other nodes hold their parts
  b.Arrive(b.Make(kLarge, {1, 1}, 0));
  b.RunWhatMay();
  EXPECT_EQ(b.scheduler.stats().reserved_slots, 9) << "no more than a quarter of ten from here on";
}

TEST(Scheduler, TheWaitingRoomIsBoundedByJobsBytesAndTenant) {
  Options options;
  options.max_queued_jobs = 4;
  options.max_queued_bytes = 100;
  options.max_tenant_share = 0.5;
  Bench b(options);
  b.Workers(1, 1, 1);
  b.Arrive(b.Make(kSmall, {1, 1}));
  const auto wait = [&](int tenant, double bytes) {
    Job job = b.Make(kSmall, {1, 1}, tenant);
    job.bytes = bytes;
    return b.scheduler.Enqueue(job, 0);
  };
  EXPECT_FALSE(wait(0, 101)) << "bytes";
  EXPECT_TRUE(wait(0, 10));
  EXPECT_TRUE(wait(0, 10));
  EXPECT_FALSE(wait(0, 10)) << "a tenant's part";
  EXPECT_TRUE(wait(1, 10));
  EXPECT_TRUE(wait(1, 10));
  EXPECT_FALSE(wait(2, 10)) << "jobs";
  EXPECT_EQ(b.scheduler.stats().rejected, 3u);
}

TEST(Scheduler, LateJobsGetATurnToo) {
  Bench b;
  b.Workers(1, 1, 1);
  const Job running = b.Make(kSmall, {1, 1});
  b.Arrive(running);
  const Job old = b.Make(kSmall, {1, 1});
  b.Arrive(old);
  b.now = 5;  // far too late for it
  JobHandle at = running.handle;
  int turns = 0;
  for (; b.scheduler.IsQueued(old.handle) && turns < 40; ++turns) {
    b.Arrive(b.Make(kSmall, {1, 1}));
    b.End(at);
    const auto started = b.RunWhatMay();
    ASSERT_EQ(started.size(), 1u);
    at = started[0];
  }
  EXPECT_LE(turns, 16);
}

// Crossing zones has a price: a job waits a moment for a slot nearby, unless many do.
TEST(Scheduler, SparesTheOtherZoneWhileFewWait) {
  Options options;
  options.local_zone_wait_s = 0.1;
  Bench b(options);
  b.Workers(1, 10, 10);  // jobs of a second: it frees one slot in that time
  b.scheduler.SetWorker(1, {.kind = 0,
                            .usable = true,
                            .remote_zone = true,
                            .capacity = {4, 4},
                            .capacity_reported = true});
  std::vector<Job> jobs;
  for (int i = 0; i < 10; ++i) {
    jobs.push_back(b.Make(kSmall, {1, 1}));
    EXPECT_EQ(b.Arrive(jobs.back()), 0);
  }
  const Job waits = b.Make(kSmall, {1, 1});
  EXPECT_EQ(b.Arrive(waits), -1);
  EXPECT_TRUE(b.RunWhatMay().empty());
  b.End(jobs[0].handle);
  EXPECT_EQ(b.RunWhatMay(), std::vector<JobHandle>{waits.handle});
  EXPECT_EQ(b.at.at(waits.handle), 0);
  const Job patient = b.Make(kSmall, {1, 1});
  EXPECT_EQ(b.Arrive(patient), -1);
  b.now = 0.11;
  b.scheduler.Tick(b.now);
  EXPECT_EQ(b.RunWhatMay(), std::vector<JobHandle>{patient.handle}) << "it has waited long enough";
  EXPECT_EQ(b.at.at(patient.handle), 1);
  EXPECT_EQ(b.Arrive(b.Make(kSmall, {1, 1})), -1);
  EXPECT_TRUE(b.RunWhatMay().empty());
  b.Arrive(b.Make(kSmall, {1, 1}));
  EXPECT_EQ(b.RunWhatMay().size(), 1u) << "two wait: more than the zone will free";
}

// After each step of a random day: nobody over its room, no job waits while room that is held for
// nobody would take it, and every job ends once.
void RandomDay(std::uint32_t seed, double wrong) {
  std::mt19937 random(seed);
  const auto below = [&](unsigned n) { return static_cast<int>(random() % n); };
  Options options;
  options.reservation_timeout_s = 0.5 + below(3);
  options.max_reserved_fleet_share = below(4) * 0.25;
  options.max_queued_jobs = 40;
  Bench b(options);
  const int workers = 1 + below(6);
  std::vector<Resources> capacity;
  std::vector<bool> usable;
  for (int w = 0; w < workers; ++w) {
    capacity.push_back({1.0 + below(4), 1.0 + below(4)});
    usable.push_back(true);
    b.Set(w, capacity.back().slots, capacity.back().memory);
  }
  std::set<JobHandle> waiting;
  std::map<JobHandle, double> ends;
  std::size_t started = 0, left = 0, refused = 0, came = 0;
  const auto run = [&] {
    for (const JobHandle job : b.RunWhatMay()) {
      ASSERT_EQ(waiting.erase(job), 1u) << "started twice or never waited";
      ++started;
      ends[job] = b.now + 0.1 * (1 + below(9)) * wrong;
    }
  };
  for (int step = 0; step < 120; ++step) {
    b.now += 0.05 * below(4);
    const int what = below(10);
    if (what < 5) {
      const int cls = below(4) == 0 ? kLarge : kSmall;
      const Resources need{cls == kLarge ? 1.0 + below(2) : 1.0, 0.125 * (1 + below(12))};
      const Job job = b.Make(cls, need, below(2));
      ++came;
      const int w = b.scheduler.FindWorker(job, b.now);
      if (w >= 0) {
        b.Start(job.handle, w);
        ++started;
        ends[job.handle] = b.now + 0.1 * (1 + below(9)) * wrong;
      } else if (b.scheduler.Enqueue(job, b.now)) {
        waiting.insert(job.handle);
      } else {
        ++refused;
      }
    } else if (what == 5 && !waiting.empty()) {
      const auto it = std::next(waiting.begin(), below(static_cast<unsigned>(waiting.size())));
      b.scheduler.Dequeue(*it);
      waiting.erase(it);
      ++left;
    } else if (what == 6) {
      const auto w = static_cast<std::size_t>(below(static_cast<unsigned>(workers)));
      usable[w] = !usable[w];
      b.Set(static_cast<int>(w), capacity[w].slots, capacity[w].memory, usable[w]);
    } else if (what == 7) {
      b.scheduler.Tick(b.now);
    } else {
      for (const auto& [job, at] : std::map(ends)) {
        if (at > b.now) continue;
        b.End(job);
        ends.erase(job);
      }
    }
    run();
    std::vector<Resources> used(capacity.size(), {0, 0});
    for (const auto& [job, w] : b.at) {
      used[static_cast<std::size_t>(w)] = used[static_cast<std::size_t>(w)] + b.jobs.at(job).need;
    }
    for (std::size_t w = 0; w < capacity.size(); ++w) {
      ASSERT_TRUE(used[w].Within(capacity[w])) << "seed " << seed << " step " << step;
      if (!usable[w] || b.scheduler.ReservedSlots(w) > 0) continue;
      for (const JobHandle job : waiting) {
        ASSERT_FALSE(b.jobs.at(job).need.Within(capacity[w] - used[w]))
            << "seed " << seed << " step " << step << " job " << job
            << " waits before an open worker";
      }
    }
    ASSERT_EQ(b.scheduler.stats().waiting, waiting.size());
    ASSERT_EQ(came, started + left + refused + waiting.size());
  }
}

TEST(Scheduler, KeepsItsWordOnThousandsOfRandomDays) {
  for (std::uint32_t seed = 0; seed < 2000 && !::testing::Test::HasFatalFailure(); ++seed) {
    RandomDay(seed, 1);
  }
}
TEST(Scheduler, KeepsItsWordWhenEveryEstimateIsWrongByTenTimes) {
  for (std::uint32_t seed = 0; seed < 500 && !::testing::Test::HasFatalFailure(); ++seed) {
    RandomDay(seed, 10);
    RandomDay(seed, 0.1);
  }
}

// ---- the section of the operator's file ----

struct Section {
  const char* text;
  const char* error;  // empty: it is accepted
};
TEST(SchedulingSection, IsCheckedAsAWhole) {
  const std::vector<std::string> classes{"look", "charge"};
  for (const Section& c : {
           Section{R"({})", ""},
           Section{R"({"scheduling":{}})", ""},
           Section{R"({"scheduling":{"waiting":{"jobs":10,"bytes":0,"tenant_share":1},
                     "hold":{"classes":["charge"],"of_worker":0.5,"of_fleet":0,"seconds":1},
                     "zone_patience_s":0,"memory_per_slot":0}})",
                   ""},
           Section{R"([])", "configuration: not a JSON object"},
           Section{R"({"scheduling":3})", "configuration: 'scheduling' is not an object"},
           Section{R"({"scheduling":{"hold":{"clases":[]}}})",
                   "configuration: unknown key 'scheduling.hold.clases'"},
           Section{R"({"scheduling":{"hold":{"of_fleet":1.5}}})",
                   "configuration: 'scheduling.hold.of_fleet' is not a number from 0 to 1"},
           Section{R"({"scheduling":{"waiting":{"jobs":"10"}}})",
                   "configuration: 'scheduling.waiting.jobs' is not a number from 1 to 1e+06"},
           Section{R"({"scheduling":{"hold":{"classes":["nobody"]}}})",
                   "configuration: 'scheduling.hold.classes' names no class: nobody"},
           Section{R"({"scheduling":{"hold":{"classes":"charge"}}})",
                   "configuration: 'scheduling.hold.classes' is not a list of names"},
           Section{R"({"scheduling":{"enabled":1}})",
                   "configuration: 'scheduling.enabled' is not a flag"},
       }) {
    Options options;
    std::string error;
    const bool read = ReadScheduling(c.text, classes, &options, &error);
    EXPECT_EQ(read, error.empty()) << c.text;
    EXPECT_EQ(error, c.error);
    if (!error.empty()) EXPECT_FALSE(options.on) << "nothing is taken in part";
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
