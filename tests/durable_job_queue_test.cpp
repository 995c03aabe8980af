// Durable jobs under seeded random faults: the real queue on real replicated logs, with workers
// that are slow or reject jobs at random. Guards against jobs that are lost, end twice, or run
// where their class does not allow it; checked after each run and each end. SEEDS sets the number
// of seeds.
#include "copies/durable_job_queue.h"

#include <gtest/gtest.h>

#include "support/replication_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::copies {
namespace {

// Injected faults: a check that does not find them proves nothing.
struct JobFaults {
  bool accepts_before_commit = false, sends_before_commit = false, drops_end_writes = false;
};

class JobSimulation {
 public:
  static constexpr double kWindowS = 20;

  explicit JobSimulation(std::uint64_t seed, JobFaults injected = {})
      : injected_(injected),
        random_(seed * 131 + 7),
        faults_(seed * 7919 + 3),
        replication_(seed, 3 + seed % 3, {}),
        world_(replication_.world),
        nodes_(replication_.world.size()) {
    replication_.observer = {
        .on_start = [this](std::size_t i) { Start(i); },
        .on_kill = [this](std::size_t i) { nodes_[i].jobs.reset(); },
        .on_acquired =
            [this](std::size_t i, LogId log, const std::vector<Operation>& entries) {
              nodes_[i].jobs->OnLogAcquired(world_.now(), log, entries);
            },
        .on_released =
            [this](std::size_t i, LogId log) {
              if (nodes_[i].jobs) nodes_[i].jobs->OnLogReleased(log);
            },
        .on_committed =
            [this](std::size_t i, LogId log, SequenceNumber sequence) {
              if (nodes_[i].jobs) nodes_[i].jobs->OnCommitted(world_.now(), log, sequence);
            }};
    world_.StartAll();
    world_.RunUntil(8);
    double fault_at = 8;
    while (world_.now() < 45 && NoViolations()) {
      if (world_.now() >= fault_at) {
        fault_at += 3 * faults_.Unit();
        const std::size_t i = faults_.Below(world_.size());
        const auto kind = faults_.Below(8);
        if (kind == 0 && replication_.CanLoseStore(i)) replication_.LoseStore(i);
        if (kind == 1) replication_.SetWriteLatency(i, faults_.Below(2) == 0 ? 0.2 : 0.002);
        if (kind > 1) world_.InjectRandomFault(&faults_, 8);
      }
      Submit(random_.Below(world_.size()));
      world_.RunUntil(world_.now() + 0.02 + 0.08 * random_.Unit());
    }
    world_.Heal();
    world_.StartAll();
    for (std::size_t i = 0; i < world_.size(); ++i) replication_.SetWriteLatency(i, 0.002);
    for (const double until = world_.now() + 90;
         UnfinishedJobs() > 0 && world_.now() < until && NoViolations();) {
      world_.RunUntil(world_.now() + 0.5);
    }
    if (NoViolations() && UnfinishedJobs() > 0)
      ReportViolation(std::to_string(UnfinishedJobs()) + " accepted jobs have not ended");
  }
  bool NoViolations() const { return world_.violations().empty(); }
  const std::vector<std::string>& broken() const { return world_.violations(); }
  std::size_t accepted = 0, recovered = 0, rejected = 0, reruns = 0, failed = 0, aborted = 0;

 private:
  struct Node {
    std::unique_ptr<DurableJobQueue> jobs;
  };
  // The history of one job, as observed from outside the queue.
  struct ObservedJob {
    bool at_most_once = false, accepted = false, ended = false, end_appended = false;
    std::string worker;  // where an at-most-once job ran first
    double first_at = -1;
    std::size_t runs = 0;
  };

  void ReportViolation(const std::string& what) { world_.ReportViolation(what); }
  std::size_t UnfinishedJobs() const {
    return static_cast<std::size_t>(
        std::count_if(histories_.begin(), histories_.end(), [this](const auto& history) {
          if (!history.second.accepted || history.second.ended) return false;
          // Its end may be committed although the node that wrote it failed before it reported it.
          return !history.second.end_appended ||
                 std::any_of(nodes_.begin(), nodes_.end(),
                             [&](const Node& n) { return n.jobs && n.jobs->Has(history.first); });
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
                  if (erase && injected_.drops_end_writes)
                    return replication_.AppendOperation(i, log, "none", "", true, error);
                  const SequenceNumber sequence =
                      replication_.AppendOperation(i, log, key, value, erase, error);
                  if (erase && sequence != 0) histories_[key].end_appended = true;
                  if (injected_.accepts_before_commit && !erase && sequence != 0)
                    histories_[key].accepted = true;
                  return sequence;
                },
            .may_act = [this, i](LogId log) { return replication_.MayAct(i, log); },
            .open = [this, i](LogId log) { replication_.Open(i, log); },
            .close = [this, i](LogId log) { replication_.Close(i, log); },
            .max_age_s =
                [this, i](LogId log, SequenceNumber sequence) {
                  return replication_.LogsOf(i)->MaxAge(world_.now(), log, sequence);
                },
            .run = [this, i](const DurableJobQueue::Round& round) { RunRound(i, round); },
            .abort = [this](const std::string&) { aborted += 1; },
            .on_ended = [this](const JobRecord& job,
                               DurableJobQueue::RoundOutcome outcome) { OnEnded(job, outcome); }});
    TickLoop(i);
  }
  void TickLoop(std::size_t i) {
    if (!nodes_[i].jobs) return;
    nodes_[i].jobs->OnLease(world_.now(), world_.HoldsLease(i));
    nodes_[i].jobs->Tick(world_.now());
    world_.Schedule(world_.now() + 0.02, i, [this, i] { TickLoop(i); });
  }
  void Submit(std::size_t i) {
    if (!world_.IsRunning(i) || !nodes_[i].jobs) return;
    JobRecord job;
    job.handle = nodes_[i].jobs->NewHandle("H:");
    job.function = random_.Below(2) == 0 ? "charge" : "look";
    job.tenant = "t" + std::to_string(random_.Below(3));
    job.body = "b";
    ObservedJob& history = histories_[job.handle];
    history.at_most_once = job.function == "charge";
    nodes_[i].jobs->Submit(
        world_.now(), std::move(job),
        [this](const std::string& handle, DurableJobQueue::RejectReason reason, double) {
          histories_[handle].accepted |= reason == DurableJobQueue::RejectReason::kNone;
          (reason == DurableJobQueue::RejectReason::kNone ? accepted : rejected) += 1;
        });
  }
  // As the planner does: an at-most-once job that may have run is sent to the same worker within
  // its window, or fails.
  void RunRound(std::size_t i, const DurableJobQueue::Round& round) {
    const JobRecord& job = *round.job;
    std::string worker = "w" + std::to_string(random_.Below(4));
    std::vector<std::string> ran_at;
    for (const AttemptRecord& attempt : job.attempts) ran_at.push_back(attempt.worker);
    double age_s = -1e9, started_at = world_.now();
    if (job.function == "charge" && !job.attempts.empty()) {
      age_s = *std::max_element(round.ages_s.begin(), round.ages_s.end());
      recovered += 1;
      worker = job.attempts[0].worker;
    }
    After(i, 0.01 * random_.Unit(),
          [this, i, handle = job.handle, worker, ran_at, age_s, started_at,
           at_most_once = job.function == "charge"] {
            if (!nodes_[i].jobs || !nodes_[i].jobs->Has(handle)) return;
            const auto send = [this, i, handle, worker, ran_at, age_s, started_at](bool recorded) {
              if (age_s + world_.now() - started_at > kWindowS)
                return EndRound(i, handle, DurableJobQueue::RoundOutcome::kFailed);
              if (!recorded || !nodes_[i].jobs->MayAct(handle))
                return EndRound(i, handle, DurableJobQueue::RoundOutcome::kRejected, ran_at);
              ExecuteAtWorker(i, handle, worker);
            };
            if (!at_most_once || injected_.sends_before_commit) return send(true);
            nodes_[i].jobs->RecordAttempt(world_.now(), handle, worker, false, send);
          });
  }
  void ExecuteAtWorker(std::size_t i, const std::string& handle, const std::string& worker) {
    ObservedJob& history = histories_[handle];
    if (history.ended) ReportViolation(handle + " runs after its end was written");
    if (history.runs++ > 0) {
      reruns += 1;
      if (history.at_most_once && worker != history.worker)
        ReportViolation(handle + " ran at " + history.worker + " and at " + worker);
      if (history.at_most_once && world_.now() > history.first_at + kWindowS)
        ReportViolation(handle + " ran again after its window");
    } else {
      history.worker = worker;
      history.first_at = world_.now();
    }
    const auto roll = random_.Below(20);
    const DurableJobQueue::RoundOutcome outcome = roll == 0 ? DurableJobQueue::RoundOutcome::kFailed
                                                  : roll < 3 && !history.at_most_once
                                                      ? DurableJobQueue::RoundOutcome::kRejected
                                                      : DurableJobQueue::RoundOutcome::kCompleted;
    After(i, 0.3 * random_.Unit(), [this, i, handle, outcome] { EndRound(i, handle, outcome); });
  }
  void EndRound(std::size_t i, const std::string& handle, DurableJobQueue::RoundOutcome outcome,
                const std::vector<std::string>& ran_at = {}) {
    if (nodes_[i].jobs) nodes_[i].jobs->OnRoundEnded(world_.now(), handle, outcome, 0.1, ran_at);
  }
  void OnEnded(const JobRecord& job, DurableJobQueue::RoundOutcome outcome) {
    ObservedJob& history = histories_[job.handle];
    if (history.ended) ReportViolation(job.handle + " ended twice");
    if (outcome == DurableJobQueue::RoundOutcome::kCompleted && history.runs == 0)
      ReportViolation(job.handle + " is reported as completed, but no worker ran it");
    failed += outcome == DurableJobQueue::RoundOutcome::kFailed;
    history.ended = true;
  }
  // Runs the event later, if the process still runs then.
  template <typename Event>
  void After(std::size_t i, double in_s, Event event) {
    world_.Schedule(world_.now() + in_s, i, [event] { event(); });
  }

  const JobFaults injected_;
  Random random_, faults_;
  ReplicationSimulation replication_;
  MembershipSimulation& world_;
  std::vector<Node> nodes_;
  std::map<std::string, ObservedJob> histories_;
};

TEST(DurableJobSimulation, EveryAcceptedJobEndsOnceByTheRulesOfItsClass) {
  std::size_t accepted = 0, recovered = 0, rejected = 0, reruns = 0, failed = 0, aborted = 0;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  for (std::uint64_t seed = from; seed <= std::max(from, FromEnvironment("SEEDS", 40)); ++seed) {
    const JobSimulation simulation(seed);
    ASSERT_TRUE(simulation.NoViolations()) << "seed " << seed << " " << simulation.broken()[0];
    accepted += simulation.accepted, recovered += simulation.recovered,
        rejected += simulation.rejected, reruns += simulation.reruns;
    failed += simulation.failed, aborted += simulation.aborted;
  }
  std::printf(
      "%zu accepted, %zu rejected, %zu that may have run recovered, %zu reruns, %zu "
      "failed, %zu aborted\n",
      accepted, rejected, recovered, reruns, failed, aborted);
  EXPECT_GT(accepted, 100U);
  EXPECT_GT(reruns + recovered + aborted, 2U) << "no fault interrupted a job";
}

TEST(DurableJobSimulation, FindsInjectedFaults) {
  const JobFaults injected[] = {
      {.accepts_before_commit = true}, {.sends_before_commit = true}, {.drops_end_writes = true}};
  for (const JobFaults& fault : injected) {
    EXPECT_NE(FirstFailingSeed(
                  200, [&](std::uint64_t seed) { return JobSimulation(seed, fault).broken(); }),
              0U);
  }
}

// A queue that accepts no jobs has no timer. A queue whose log is never assigned requests another
// one at intervals, not on every tick.
TEST(DurableJobQueue, RequestsALogOnlyIfItAcceptsJobsAndAtIntervals) {
  for (const bool accepts : {false, true}) {
    std::vector<LogId> opened;
    DurableJobQueue::Limits limits;
    limits.accepts_jobs = accepts;
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
      EXPECT_GT(jobs.NextTickAt(), now);
    }
    EXPECT_EQ(opened.size(), accepts ? 2U : 0U);
    jobs.Stop();
    EXPECT_GT(jobs.NextTickAt(), 1e9);
  }
}

}  // namespace
}  // namespace millethollow::copies
