// Random faults on several processes under a load of requests and durable jobs; at the end all
// faults are healed. Guards against promises to clients that are broken, and nodes that do not
// converge again. The faults follow from a seed,  and a failure prints them. With SEEDS in the
// environment there are as many runs, and longer ones, from the seed SEED on.
#include <gtest/gtest.h>

#include "support/history.h"
#include "support/job_history.h"
#include "support/seeded_runs.h"

namespace millethollow::cluster_test {
namespace {

class RandomFaultRun {
 public:
  RandomFaultRun(std::uint64_t seed, double length_s)
      : members_(3 + seed % 3),
        random_(seed * 7919 + 1),
        harness_(
            {.members = members_, .voters = 3, .seed = seed, .workers = kWorkers, .gearman = true}),
        history_(&harness_, kWorkers),
        jobs_(&harness_, kWorkers) {
    for (std::size_t w = 0; w < kWorkers; ++w) {
      harness_.worker(w).on_request = [this](const FakeWorker::ReceivedRequest& got) {
        jobs_.completed_bodies.insert(got.body);
        FakeWorker::RespondWithResult(got, "ok");
      };
    }
    harness_.StartAll();
    if (!RunUnderLoad([this] { return harness_.Converged(); }, 25)) {
      AddError("no first view was agreed on");
      return;
    }
    const double until = harness_.now() + length_s;
    while (harness_.now() < until) {
      InjectFault();
      RunUnderLoad([] { return false; }, 0.2 + 1.3 * random_.Unit());
    }
    Record("heal all");
    harness_.Heal();
    for (std::size_t i = 0; i < members_; ++i) {
      harness_.Continue(i);
      harness_.Start(i);
    }
    const auto converged = [this] {
      for (std::size_t i = 0; i < members_; ++i)
        harness_.Start(i);  // one may have been terminating
      return harness_.Converged() && SameWorkersInMaintenance();
    };
    if (!RunUnderLoad(converged, 60)) AddError("the nodes do not converge");
    sends_requests_ = false;
    if (!RunUnderLoad([this] { return history_.AllAnswered() && jobs_.AllAnswered(); }, 15))
      AddError("a client got no response");
    double next_check_at = 0;
    const auto done = [&] {
      if (harness_.now() < next_check_at) return false;
      next_check_at = harness_.now() + 0.5;
      return jobs_.HeldJobs() == 0 && jobs_.Violations().empty();
    };
    if (!harness_.RunUntil(done, 30)) AddError("durable jobs are left");
    for (const std::string& w : jobs_.Violations()) AddError(w);
    for (const std::string& w : history_.Violations()) AddError(w);
    for (const std::string& w : harness_.violations()) AddError(w);
  }
  const std::string& errors() const { return errors_; }
  const std::string& fault_log() const { return fault_log_; }
  std::size_t requests() const { return history_.requests_sent(); }
  std::size_t durable_jobs() const { return jobs_.accepted(); }
  std::string Describe() {
    std::string all;
    for (std::size_t i = 0; i < members_; ++i) {
      all += ClusterHarness::Name(i) + ": " + harness_.polled(i).response.dump() + "\n" +
             harness_.LogOf(i);
    }
    return all;
  }

 private:
  static constexpr std::size_t kWorkers = 3;
  static constexpr double kRequestIntervalS = 0.04;

  void AddError(const std::string& what) { errors_ += "\n" + what; }
  void Record(const std::string& what) {
    fault_log_ += std::to_string(harness_.now()) + " " + what + "\n";
  }
  // Runs the nodes under load until `done`; false on timeout.
  template <typename Done>
  bool RunUnderLoad(Done done, double timeout_s) {
    return harness_.RunUntil(
        [&] {
          if (sends_requests_ && harness_.now() >= next_request_at_) {
            next_request_at_ = harness_.now() + kRequestIntervalS;
            history_.SendRequest();
            if (history_.requests_sent() % 2 == 0) jobs_.SubmitAny();
          }
          history_.CollectResponses();
          jobs_.CollectAnswers();
          return done();
        },
        timeout_s);
  }
  bool SameWorkersInMaintenance() {
    for (std::size_t i = 0; i < members_; ++i) {
      if (!harness_.polled(i).response.is_object()) return false;
      if (harness_.polled(i).response["workers_out"] != harness_.polled(0).response["workers_out"])
        return false;
    }
    return true;
  }
  std::size_t AnyMember() { return random_.Below(members_); }
  std::size_t OtherMember(std::size_t than) {
    return (than + 1 + random_.Below(members_ - 1)) % members_;
  }
  // At most one voter may lose its store, because a majority must keep its votes.
  bool OtherVotersHaveVotes(std::size_t i) {
    for (std::size_t v = 0; v < 3; ++v) {
      const auto& response = harness_.polled(v).response;
      if (v != i && (!harness_.Running(v) || !response.is_object() || response["vote"] != "voting"))
        return false;
    }
    return true;
  }
  // At most copies_least - 1 stores may be lost at a time: what was lost before must be replicated
  // again.
  bool AllLogsReplicated() {
    if (!harness_.Converged() || harness_.now() - store_removed_at_ < 8) return false;
    for (const auto& log : harness_.polled(0).response["logs"]) {
      if (log["holders"].size() < 2 || log["owner"] == "-") return false;
    }
    return true;
  }
  void InjectFault() {
    const std::size_t a = AnyMember(), b = OtherMember(a);
    const std::string one = ClusterHarness::Name(a), pair = one + ClusterHarness::Name(b);
    switch (random_.Below(14)) {
      case 0:
        Record("kill " + one);
        return harness_.Kill(a);
      case 1:
        if (!OtherVotersHaveVotes(a) || !AllLogsReplicated()) return;
        store_removed_at_ = harness_.now();
        Record("kill, removing its store " + one);
        harness_.Kill(a);
        return harness_.RemoveStore(a);
      case 2:
        Record("terminate " + one);
        return harness_.Terminate(a);
      case 3:
        Record("stop " + one);
        return harness_.Stop(a);
      case 4: {
        std::vector<int> group;
        std::string members;
        for (std::size_t i = 0; i < members_; ++i) {
          group.push_back(static_cast<int>(random_.Below(2)));
          members += std::to_string(group.back());
        }
        Record("partition " + members);
        return harness_.Partition(group);
      }
      case 5:
        Record("block one way " + pair);
        harness_.link(a, b).blocked = true;
        return;
      case 6:
        Record("lose, duplicate, reorder, corrupt");
        return harness_.ForEachLink([](LinkFaults* l) {
          l->loss = 0.15, l->duplicated = 0.1, l->jitter_s = 0.02, l->corrupted = 0.02;
        });
      case 7:
        Record("delay, throttle, reset " + pair);
        harness_.link(a, b).delay_s = 0.15;
        harness_.link(a, b).bytes_per_s = 2000;
        harness_.link(b, a).reset_streams = true;
        return;
      case 8: {
        const std::string w = "w" + std::to_string(1 + random_.Below(kWorkers - 1));
        const bool out = random_.Below(2) == 0;
        if (!harness_.Serves(a)) return;
        Record(w + (out ? " into maintenance at " : " out of maintenance at ") + one);
        harness_.AdminRequest(a, "PUT /workers/" + w + (out ? "/maint" : "/ready"));
        return;
      }
      case 9:
      case 10:
        Record("continue and start");
        for (std::size_t i = 0; i < members_; ++i) {
          harness_.Continue(i);
          harness_.Start(i);
        }
        return;
      default:
        Record("heal");
        harness_.Heal();
    }
  }

  std::size_t members_;
  membership::Random random_;
  ClusterHarness harness_;
  History history_;
  JobHistory jobs_;
  std::string fault_log_, errors_;
  bool sends_requests_ = true;
  double next_request_at_ = 0, store_removed_at_ = -10;
};

TEST(ProcessDays, KeepEveryPromiseToClientsAndConverge) {
  const std::uint64_t first_seed = FromEnvironment("SEED", 1),
                      run_count = FromEnvironment("SEEDS", 0);
  const std::uint64_t count = run_count == 0 ? 2 : run_count;
  std::size_t requests = 0, durable_jobs = 0;
  for (std::uint64_t seed = first_seed; seed < first_seed + count; ++seed) {
    RandomFaultRun run(seed, run_count == 0 ? 6 : 25);
    EXPECT_EQ(run.errors(), "") << "seed " << seed << "\n" << run.fault_log() << run.Describe();
    requests += run.requests();
    durable_jobs += run.durable_jobs();
  }
  EXPECT_GT(requests, 100U * count);
  EXPECT_GT(durable_jobs, 10U * count);
  std::printf("%lu runs, %zu requests, %zu durable jobs\n", count, requests, durable_jobs);
}

}  // namespace
}  // namespace millethollow::cluster_test
