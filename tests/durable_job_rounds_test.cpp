// Rounds of durable jobs that end in the Gearman front before any attempt. Each must leave the
// attempts that earlier rounds and processes recorded as they were: a job that may have run goes
// again only to a worker that recognizes it.
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "copies/durable_job_queue.h"
#include "net/gearman/front.h"
#include "support/node_harness.h"

namespace millethollow {
namespace {

using copies::DurableJobQueue;
using gearman::Type;

// A real queue of durable jobs on a log in memory.
class QueueInMemory final : public DurableJobs {
 public:
  QueueInMemory(Loop* loop, DurableJobRunner* runner)
      : loop_(loop),
        queue_({}, 7,
               {.append = [this](copies::LogId, const std::string&, const std::string&, bool,
                                 copies::ReplicatedLogs::AppendError*) { return ++sequence_; },
                .may_act = [](copies::LogId) { return true; },
                .open = [](copies::LogId) {},
                .close = [](copies::LogId) {},
                .max_age_s = [](copies::LogId, copies::SequenceNumber) { return 1.0; },
                .run =
                    [this, runner](const DurableJobQueue::Round& round) {
                      rounds.push_back(round.job->attempts);
                      DurableJob job;
                      job.handle = round.job->handle;
                      job.wire_id = round.job->handle + std::to_string(round.number);
                      job.function = round.job->function;
                      job.unique = round.job->unique_id;
                      runner->Run(job);
                    },
                .abort = [](const std::string&) {}}) {}
  // Takes over a charge that another process has sent to w0. Its first round begins.
  void TakeOver(const std::string& handle) {
    copies::JobRecord job;
    job.function = "charge";
    job.unique_id = "u";
    job.attempts.emplace_back().worker = "w0";
    queue_.OnLogAcquired(loop_->Now(), 0x101,
                         {{.sequence = 1, .key = handle, .value = copies::Encode(job)}});
  }
  void StartNextRound() { queue_.Tick(loop_->Now() + 60); }
  std::vector<FinalAnswer> answers;                        // of all rounds
  std::vector<std::vector<copies::AttemptRecord>> rounds;  // the recorded attempts of each round

  void Accept(DurableJob, AcceptCallback) override {}
  std::string Find(std::string_view, std::string_view) const override { return {}; }
  bool Has(std::string_view handle) const override { return queue_.Has(std::string(handle)); }
  void RunNow(const std::string&) override {}
  bool MayAct(const std::string& handle) const override { return queue_.MayAct(handle); }
  void Complete(const std::string& handle, const FinalAnswer& answer) override {
    answers.push_back(answer);
    queue_.OnRoundEnded(loop_->Now(), handle, DurableJobQueue::RoundOutcome::kRejected,
                        answer.retry_after_s, answer.never_ran);
  }

 private:
  Loop* loop_;
  copies::SequenceNumber sequence_ = 1;
  DurableJobQueue queue_;
};

// A planner that takes every request and answers none.
struct SilentPlanner final : PlannerLink {
  void OnRequest(const Request&) override { ++requests; }
  void OnRequestCancelled(RequestId) override {}
  void OnAttemptStarted(RequestId, int) override {}
  void OnAttemptEnded(RequestId, int, const Outcome&) override {}
  void OnProbeAnswered(const std::string&, const Outcome&) override {}
  void OnWorkerChanged(const balancing::Endpoint&) override {}
  int requests = 0;
};

class DurableJobRounds : public testing::Test {
 protected:
  DurableJobRounds() : forwarder(&loop) {
    LogLevel() = Level::kError;
    std::string error;
    EXPECT_TRUE(ReadConfig(TestConfig({"127.0.0.1:1"}, kGearmanConfig), &config, &error)) << error;
    front = std::make_unique<gearman::Front>(&forwarder, config, &counters, 7);
    jobs = std::make_unique<QueueInMemory>(&loop, front.get());
    front->SetDurableJobs(jobs.get());
    forwarder.SetLink(&planner, 1);
  }
  // The round must end as rejected, and the next one know of the attempt at w0.
  void ExpectAttemptIsRemembered() {
    ASSERT_TRUE(TurnUntil(loop, [&] { return jobs->answers.size() == 1; }));
    EXPECT_EQ(jobs->answers[0].kind, FinalAnswer::Kind::kRejected);
    jobs->StartNextRound();
    ASSERT_EQ(jobs->rounds.size(), 2u);
    ASSERT_EQ(jobs->rounds[1].size(), 1u);
    EXPECT_EQ(jobs->rounds[1][0].worker, "w0");
  }
  Loop loop;
  Config config;
  Counters counters;
  SilentPlanner planner;
  Forwarder forwarder;
  std::unique_ptr<gearman::Front> front;
  std::unique_ptr<QueueInMemory> jobs;
};

TEST_F(DurableJobRounds, BeforeTheFirstListForgetNoAttempt) {
  forwarder.SetAccepting(false);
  jobs->TakeOver("H:1");
  ExpectAttemptIsRemembered();
}

TEST_F(DurableJobRounds, OfAFunctionThatIsNotMappedForgetNoAttempt) {
  config.gearman_functions.erase("charge");
  jobs->TakeOver("H:1");
  ExpectAttemptIsRemembered();
}

TEST_F(DurableJobRounds, BesideAJobWithTheSameUniqueIdForgetNoAttempt) {
  std::string error;
  ASSERT_TRUE(front->Listen("127.0.0.1:0", &error)) << error;
  GearmanPeer client(&loop, front->address());
  client.Send(Type::kSubmitJob, {"charge", "u", "b"});
  ASSERT_TRUE(TurnUntil(loop, [&] { return !client.ResponsesOf(Type::kJobCreated).empty(); }));
  jobs->TakeOver("H:1");
  ExpectAttemptIsRemembered();
}

TEST_F(DurableJobRounds, WithoutAPlannerForgetNoAttempt) {
  forwarder.SetLink(nullptr, 1);
  jobs->TakeOver("H:1");
  ExpectAttemptIsRemembered();
}

TEST_F(DurableJobRounds, WhosePlannerIsLostForgetNoAttempt) {
  jobs->TakeOver("H:1");
  ASSERT_TRUE(TurnUntil(loop, [&] { return planner.requests == 1; }));
  forwarder.OnPlannerLost();
  ExpectAttemptIsRemembered();
}

}  // namespace
}  // namespace millethollow
