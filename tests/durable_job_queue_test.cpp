// Days of promised jobs from seeds: the real decisions on the real logs, with workers that a seed
// makes late or deaf. After each run and each end the promises are checked. SEEDS plays more days.
#include "copies/durable_job_queue.h"

#include <gtest/gtest.h>

#include "support/days.h"
#include "support/replication_simulation.h"

namespace millethollow::copies {
namespace {

struct JobFaults {  // planted
  bool answered_before_kept = false, sent_before_written = false, end_not_written = false;
};

class JobDay {
 public:
  static constexpr double kWindowS = 20;

  explicit JobDay(std::uint64_t seed, JobFaults planted = {})
      : planted_(planted),
        random_(seed * 131 + 7),
        faults_(seed * 7919 + 3),
        copies_(seed, 3 + seed % 3, {}),
        world_(copies_.world),
        nodes_(copies_.world.size()) {
    copies_.ledger = {.start = [this](std::size_t i) { Start(i); },
                      .kill = [this](std::size_t i) { nodes_[i].jobs.reset(); },
                      .begun =
                          [this](std::size_t i, LogId log, const std::vector<Operation>& e) {
                            nodes_[i].jobs->OnLogAcquired(world_.now(), log, e);
                          },
                      .ended =
                          [this](std::size_t i, LogId log) {
                            if (nodes_[i].jobs) nodes_[i].jobs->OnLogReleased(log);
                          },
                      .kept =
                          [this](std::size_t i, LogId log, SequenceNumber sequence) {
                            if (nodes_[i].jobs) nodes_[i].jobs->OnCommitted(world_.now(), log, sequence);
                          }};
    world_.StartAll();
    world_.RunUntil(8);
    double fault_at = 8;
    while (world_.now() < 45 && Fine()) {
      if (world_.now() >= fault_at) {
        fault_at += 3 * faults_.Unit();
        const std::size_t i = faults_.Below(world_.size());
        const auto kind = faults_.Below(8);
        if (kind == 0 && copies_.MayLose(i)) copies_.Wipe(i);
        if (kind == 1) copies_.Slow(i, faults_.Below(2) == 0 ? 0.2 : 0.002);
        if (kind > 1) world_.Fault(&faults_, 8);
      }
      Submit(random_.Below(world_.size()));
      world_.RunUntil(world_.now() + 0.02 + 0.08 * random_.Unit());
    }
    world_.Heal();
    world_.StartAll();
    for (std::size_t i = 0; i < world_.size(); ++i) copies_.Slow(i, 0.002);
    for (const double until = world_.now() + 90; Open() > 0 && world_.now() < until && Fine();) {
      world_.RunUntil(world_.now() + 0.5);
    }
    if (Fine() && Open() > 0) Break(std::to_string(Open()) + " promised jobs have not ended");
  }
  bool Fine() const { return world_.broken().empty(); }
  const std::vector<std::string>& broken() const { return world_.broken(); }
  std::size_t promised = 0, adopted = 0, refused = 0, again = 0, failed = 0, lost = 0;

 private:
  struct Node {
    std::unique_ptr<DurableJobQueue> jobs;
  };
  struct Truth {  // of one job, as an onlooker sees it
    bool keyed = false, promised = false, ended = false, end_made = false;
    std::string worker;  // where a keyed one ran first
    double first_at = -1;
    std::size_t runs = 0;
  };

  void Break(const std::string& what) { world_.Broken(what); }
  std::size_t Open() const {
    return static_cast<std::size_t>(
        std::count_if(truth_.begin(), truth_.end(), [this](const auto& t) {
          if (!t.second.promised || t.second.ended) return false;
          // Its end may be on the disks, and whoever wrote it gone before it could say so.
          return !t.second.end_made ||
                 std::any_of(nodes_.begin(), nodes_.end(),
                             [&](const Node& n) { return n.jobs && n.jobs->Has(t.first); });
        }));
  }
  void Start(std::size_t i) {
    DurableJobQueue::Limits limits;
    limits.running = 8;
    nodes_[i].jobs = std::make_unique<DurableJobQueue>(
        limits, random_.NextUint64() | 1,
        DurableJobQueue::Hooks{
            .append =
                [this, i](LogId log, const std::string& key, const std::string& value, bool erase,
                          ReplicatedLogs::AppendError* error) {
                  if (erase && planted_.end_not_written)
                    return copies_.Put(i, log, "none", "", true, error);
                  const SequenceNumber sequence = copies_.Put(i, log, key, value, erase, error);
                  if (erase && sequence != 0) truth_[key].end_made = true;
                  if (planted_.answered_before_kept && !erase && sequence != 0)
                    truth_[key].promised = true;
                  return sequence;
                },
            .may_act = [this, i](LogId log) { return copies_.Acts(i, log); },
            .open = [this, i](LogId log) { copies_.Open(i, log); },
            .close = [this, i](LogId log) { copies_.Close(i, log); },
            .max_age_s =
                [this, i](LogId log, SequenceNumber sequence) {
                  return copies_.At(i)->MaxAge(world_.now(), log, sequence);
                },
            .run = [this, i](const DurableJobQueue::Round& round) { Run(i, round); },
            .abort = [this](const std::string&) { lost += 1; },
            .on_ended = [this](const JobRecord& job,
                            DurableJobQueue::JobOutcome outcome) { Ended(job, outcome); }});
    Beat(i);
  }
  void Beat(std::size_t i) {
    if (!nodes_[i].jobs) return;
    nodes_[i].jobs->OnLease(world_.now(), world_.Leased(i));
    nodes_[i].jobs->Tick(world_.now());
    world_.At(world_.now() + 0.02, i, [this, i] { Beat(i); });
  }
  void Submit(std::size_t i) {
    if (!world_.Runs(i) || !nodes_[i].jobs) return;
    JobRecord job;
    job.handle = nodes_[i].jobs->NewHandle("H:");
    job.function = random_.Below(2) == 0 ? "charge" : "look";
    job.tenant = "t" + std::to_string(random_.Below(3));
    job.body = "b";
    Truth& truth = truth_[job.handle];
    truth.keyed = job.function == "charge";
    nodes_[i].jobs->Submit(
        world_.now(), std::move(job),
        [this](const std::string& handle, DurableJobQueue::RejectReason reason, double) {
          truth_[handle].promised |= reason == DurableJobQueue::RejectReason::kNone;
          (reason == DurableJobQueue::RejectReason::kNone ? promised : refused) += 1;
        });
  }
  // As the planner does: a keyed job that may have run goes to the same worker within its window,
  // or fails.
  void Run(std::size_t i, const DurableJobQueue::Round& round) {
    const JobRecord& job = *round.job;
    std::string worker = "w" + std::to_string(random_.Below(4));
    std::vector<std::string> ran_at;
    for (const AttemptRecord& t : job.attempts) ran_at.push_back(t.worker);
    double age_s = -1e9, from = world_.now();
    if (job.function == "charge" && !job.attempts.empty()) {
      age_s = *std::max_element(round.ages_s.begin(), round.ages_s.end());
      adopted += 1;
      worker = job.attempts[0].worker;
    }
    Later(i, 0.01 * random_.Unit(),
          [this, i, handle = job.handle, worker, ran_at, age_s, from,
           keyed = job.function == "charge"] {
            if (!nodes_[i].jobs || !nodes_[i].jobs->Has(handle)) return;
            const auto go = [this, i, handle, worker, ran_at, age_s, from](bool may) {
              if (age_s + world_.now() - from > kWindowS)
                return Done(i, handle, DurableJobQueue::JobOutcome::kFailed);
              if (!may || !nodes_[i].jobs->MayAct(handle))
                return Done(i, handle, DurableJobQueue::JobOutcome::kRejected, ran_at);
              Work(i, handle, worker);
            };
            if (!keyed || planted_.sent_before_written) return go(true);
            nodes_[i].jobs->RecordAttempt(world_.now(), handle, worker, false, go);
          });
  }
  void Work(std::size_t i, const std::string& handle, const std::string& worker) {
    Truth& t = truth_[handle];
    if (t.ended) Break(handle + " runs after its end was written");
    if (t.runs++ > 0) {
      again += 1;
      if (t.keyed && worker != t.worker)
        Break(handle + " ran at " + t.worker + " and at " + worker);
      if (t.keyed && world_.now() > t.first_at + kWindowS)
        Break(handle + " ran again after its window");
    } else {
      t.worker = worker;
      t.first_at = world_.now();
    }
    const auto luck = random_.Below(20);
    const DurableJobQueue::JobOutcome outcome = luck == 0 ? DurableJobQueue::JobOutcome::kFailed
                                                : luck < 3 && !t.keyed
                                                    ? DurableJobQueue::JobOutcome::kRejected
                                                    : DurableJobQueue::JobOutcome::kCompleted;
    Later(i, 0.3 * random_.Unit(), [this, i, handle, outcome] { Done(i, handle, outcome); });
  }
  void Done(std::size_t i, const std::string& handle, DurableJobQueue::JobOutcome outcome,
            const std::vector<std::string>& ran_at = {}) {
    if (nodes_[i].jobs) nodes_[i].jobs->OnJobEnded(world_.now(), handle, outcome, 0.1, ran_at);
  }
  void Ended(const JobRecord& job, DurableJobQueue::JobOutcome outcome) {
    Truth& t = truth_[job.handle];
    if (t.ended) Break(job.handle + " ended twice");
    if (outcome == DurableJobQueue::JobOutcome::kCompleted && t.runs == 0)
      Break(job.handle + " is called served, and no worker had it");
    failed += outcome == DurableJobQueue::JobOutcome::kFailed;
    t.ended = true;
  }
  // In this process, if it is still there.
  template <typename Event>
  void Later(std::size_t i, double in_s, Event event) {
    world_.At(world_.now() + in_s, i, [event] { event(); });
  }

  const JobFaults planted_;
  Random random_, faults_;
  ReplicationSimulation copies_;
  World& world_;
  std::vector<Node> nodes_;
  std::map<std::string, Truth> truth_;
};

TEST(JobDays, WhatWasPromisedEndsOnceByItsClasssRules) {
  std::size_t promised = 0, adopted = 0, refused = 0, again = 0, failed = 0, lost = 0;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  for (std::uint64_t seed = from; seed <= std::max(from, FromEnvironment("SEEDS", 40)); ++seed) {
    const JobDay day(seed);
    ASSERT_TRUE(day.Fine()) << "seed " << seed << " " << day.broken()[0];
    promised += day.promised, adopted += day.adopted, refused += day.refused, again += day.again;
    failed += day.failed, lost += day.lost;
  }
  std::printf(
      "%zu promised, %zu refused, %zu of those that may have run adopted, %zu runs again, %zu "
      "failed, %zu called off\n",
      promised, refused, adopted, again, failed, lost);
  EXPECT_GT(promised, 100U);
  EXPECT_GT(again + adopted + lost, 2U) << "no fault came in between";
}

TEST(JobDays, FindPlantedFaults) {
  const JobFaults planted[] = {
      {.answered_before_kept = true}, {.sent_before_written = true}, {.end_not_written = true}};
  for (const JobFaults& fault : planted) {
    EXPECT_NE(FirstSeed(200, [&](std::uint64_t seed) { return JobDay(seed, fault).broken(); }), 0U);
  }
}

// One that takes none has nothing to wake up for; one whose log never comes asks for another, and
// not all the time.
TEST(DurableJobQueue, AskForALogOnlyWhereTheyTakeAnyAndNotAllTheTime) {
  for (const bool takes : {false, true}) {
    std::vector<LogId> opened;
    DurableJobQueue::Limits limits;
    limits.accepts_jobs = takes;
    DurableJobQueue jobs(limits, 7,
                         {.append = {},
                          .may_act = {},
                          .open = [&](LogId log) { opened.push_back(log); },
                          .close = {},
                          .max_age_s = {},
                          .run = {},
                          .abort = {}});
    jobs.OnLease(100, true);
    for (double now = 100; now < 150; now += 0.1) {
      jobs.Tick(now);
      EXPECT_GT(jobs.NextAt(), now);
    }
    EXPECT_EQ(opened.size(), takes ? 2U : 0U);
    jobs.Stop();
    EXPECT_GT(jobs.NextAt(), 1e9);
  }
}

}  // namespace
}  // namespace millethollow::copies
