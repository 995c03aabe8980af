// Durable jobs under seeded random faults: the real queue on real replicated logs, with workers
// that are slow or reject jobs at random. Guards against jobs that are lost, end twice, or run
// where their class does not allow it; checked after each run and each end. SEEDS sets the number
// of seeds.
#include "copies/durable_job_queue.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <optional>
#include <set>

#include "support/replication_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::copies {
namespace {

// Injected faults: a check that does not find them proves nothing.
struct JobFaults {
  bool accepts_before_commit = false, sends_before_commit = false, drops_end_writes = false;
  bool forgets_attempts = false;  // those of a job whose round is rejected before the first list
};

// Most nodes are killed at once while discovery is down, and start again before it is back.
struct MassCrash {
  static constexpr double kKilledShare = 0.7, kDiscoveryDownS = 8, kRestartAfterS = 0.5;
  double at = std::numeric_limits<double>::infinity();
};

class JobSimulation {
 public:
  static constexpr double kWindowS = 20;

  explicit JobSimulation(std::uint64_t seed, JobFaults injected = {}, MassCrash mass_crash = {})
      : injected_(injected),
        mass_crash_(mass_crash),
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
      InjectMassCrash();
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
  std::size_t early_rejections = 0;  // of jobs that may have run, before the node's first list

 private:
  struct Node {
    std::unique_ptr<DurableJobQueue> jobs;
    double first_list_at = 0;  // rounds are rejected until then
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
  // Kills most nodes at once, and starts them again while discovery is down.
  void InjectMassCrash() {
    if (world_.now() >= mass_crash_.at) {
      mass_crash_.at = std::numeric_limits<double>::infinity();
      discovery_up_at_ = world_.now() + MassCrash::kDiscoveryDownS;
      restart_at_ = world_.now() + MassCrash::kRestartAfterS;
      const auto killed = static_cast<std::size_t>(
          std::ceil(MassCrash::kKilledShare * static_cast<double>(world_.size())));
      const std::size_t first = faults_.Below(world_.size());
      for (std::size_t n = 0; n < killed; ++n) world_.Kill((first + n) % world_.size());
    }
    if (world_.now() < restart_at_) return;
    restart_at_ = std::numeric_limits<double>::infinity();
    world_.StartAll();
  }
  void Start(std::size_t i) {
    nodes_[i].first_list_at = discovery_up_at_;
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
    if (world_.now() < nodes_[i].first_list_at) {
      early_rejections += !job.attempts.empty();
      if (injected_.forgets_attempts) forgotten_.insert(job.handle);
      After(i, 0, [this, i, handle = job.handle] {
        EndRound(i, handle, DurableJobQueue::RoundOutcome::kRejected);
      });
      return;
    }
    std::string worker = "w" + std::to_string(random_.Below(4));
    double age_s = -1e9, started_at = world_.now();
    if (job.function == "charge" && !job.attempts.empty() && !forgotten_.contains(job.handle)) {
      age_s = *std::max_element(round.ages_s.begin(), round.ages_s.end());
      recovered += 1;
      worker = job.attempts[0].worker;
    }
    After(i, 0.01 * random_.Unit(),
          [this, i, handle = job.handle, worker, age_s, started_at,
           at_most_once = job.function == "charge"] {
            if (!nodes_[i].jobs || !nodes_[i].jobs->Has(handle)) return;
            const auto send = [this, i, handle, worker, age_s, started_at](bool recorded) {
              if (age_s + world_.now() - started_at > kWindowS)
                return EndRound(i, handle, DurableJobQueue::RoundOutcome::kFailed);
              if (!recorded || !nodes_[i].jobs->MayAct(handle))
                return EndRound(i, handle, DurableJobQueue::RoundOutcome::kRejected, {kAttempt});
              ExecuteAtWorker(i, handle, worker);
            };
            if (!at_most_once || injected_.sends_before_commit) return send(true);
            nodes_[i].jobs->RecordAttempt(handle, {.worker = worker, .number = kAttempt}, send);
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
                const std::vector<int>& never_ran = {}) {
    if (nodes_[i].jobs) nodes_[i].jobs->OnRoundEnded(world_.now(), handle, outcome, 0.1, never_ran);
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

  static constexpr int kAttempt = 0;  // number of the only attempt of a round

  const JobFaults injected_;
  MassCrash mass_crash_;
  double discovery_up_at_ = 0, restart_at_ = std::numeric_limits<double>::infinity();
  std::set<std::string> forgotten_;  // handles
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

// Guards against an early rejection, before a restarted node's first list, that makes the queue
// forget where a job may have run: the job then ran again at any worker.
TEST(DurableJobSimulation, AttemptsAreRememberedWhenMostNodesCrashAndListsAreLate) {
  const auto mass_crash = [](std::uint64_t seed) {
    return MassCrash{.at = 12 + static_cast<double>(seed % 20)};
  };
  std::size_t early_rejections = 0, accepted = 0;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  for (std::uint64_t seed = from; seed <= std::max(from, FromEnvironment("SEEDS", 40)); ++seed) {
    const JobSimulation simulation(seed, {}, mass_crash(seed));
    ASSERT_TRUE(simulation.NoViolations()) << "seed " << seed << " " << simulation.broken()[0];
    early_rejections += simulation.early_rejections;
    accepted += simulation.accepted;
  }
  std::printf("%zu accepted, %zu rejected early that may have run\n", accepted, early_rejections);
  EXPECT_GT(early_rejections, 0U) << "no round was rejected before the first list";
  EXPECT_NE(FirstFailingSeed(40,
                             [&](std::uint64_t seed) {
                               const JobFaults forgets{.forgets_attempts = true};
                               return JobSimulation(seed, forgets, mass_crash(seed)).broken();
                             }),
            0U);
}

// A queue on a log that commits each operation when it is told to.
class DurableJobRecords : public testing::Test {
 protected:
  static constexpr LogId kLog = 0x101;
  DurableJobRecords()
      : jobs({}, 7,
             {.append = [this](LogId, const std::string&, const std::string&, bool,
                               ReplicatedLogs::AppendError*) { return ++last_sequence; },
              .may_act = [](LogId) { return true; },
              .open = [](LogId) {},
              .close = [](LogId) {},
              .max_age_s = [](LogId, SequenceNumber) { return 1.0; },
              .run = [this](const DurableJobQueue::Round& round) { last_round = *round.job; },
              .abort = [](const std::string&) {}}) {}
  // Takes over a log with a job that was sent to w0 by another process. Its first round begins.
  void TakeOverJob() {
    JobRecord job;
    job.function = "charge";
    job.unique_id = "u";
    job.attempts.emplace_back().worker = "w0";
    jobs.OnLogAcquired(now, kLog, {{.sequence = 1, .key = "H:1", .value = Encode(job)}});
  }
  void Record(const std::string& worker, int number) {
    jobs.RecordAttempt("H:1", {.worker = worker, .number = number}, [](bool) {});
    jobs.OnCommitted(now, kLog, last_sequence);
  }
  // Ends the round as rejected, and waits until the next one has begun.
  void RejectRound(const std::vector<int>& never_ran = {}) {
    jobs.OnRoundEnded(now, "H:1", DurableJobQueue::RoundOutcome::kRejected, 0.1, never_ran);
    last_round.reset();
    now += 10;
    jobs.Tick(now);
    ASSERT_TRUE(last_round.has_value());
  }
  std::vector<std::string> WorkersOfNextRound() const {
    std::vector<std::string> workers;
    for (const AttemptRecord& attempt : last_round->attempts) workers.push_back(attempt.worker);
    return workers;
  }
  double now = 100;
  SequenceNumber last_sequence = 1;
  std::optional<JobRecord> last_round;
  DurableJobQueue jobs;
};

// Guards against a round that ends before any attempt and erases what earlier processes recorded.
TEST_F(DurableJobRecords, ARoundThatLearnedNothingErasesNoAttempt) {
  TakeOverJob();
  for (int round = 0; round < 3; ++round) {
    RejectRound();
    EXPECT_EQ(WorkersOfNextRound(), std::vector<std::string>{"w0"}) << "round " << round;
  }
}

// Guards against the same for attempts of an earlier round of this process.
TEST_F(DurableJobRecords, OnlyAttemptsOfTheRoundThatNeverRanAreErased) {
  TakeOverJob();
  Record("w0", 1);
  Record("w1", 2);
  Record("w2", 3);
  RejectRound({1, 3});  // 0 is the attempt of the other process
  EXPECT_EQ(WorkersOfNextRound(), (std::vector<std::string>{"w0", "w1"}));
  RejectRound({0, 1, 2, 3});  // numbers of attempts that this round did not make
  EXPECT_EQ(WorkersOfNextRound(), (std::vector<std::string>{"w0", "w1"}));
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
