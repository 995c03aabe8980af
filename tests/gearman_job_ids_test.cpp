// The ids that the Gearman front makes: the handles of jobs, and the request ids and idempotency
// keys of their attempts. Workers and clients take equal ids for the same job, so no other process
// may make an id again: not the next one of the same node, and not one that runs beside it.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "support/node_harness.h"

namespace millethollow {
namespace {

using gearman::Type;

constexpr int kJobsPerProcess = 8;

// HTTP workers that share the results of charges by their idempotency key, and answer a repeat with
// the result of the first run.
class DeduplicatingWorkers {
 public:
  explicit DeduplicatingWorkers(NodeHarness* harness) {
    for (auto& worker : harness->workers) {
      worker->on_request = [this](const FakeWorker::ReceivedRequest& request) { Run(request); };
    }
  }
  static std::string ResultOf(const std::string& body) { return "receipt of " + body; }
  std::multiset<std::string> request_ids;  // of all attempts
  std::size_t runs = 0;                    // attempts that were no repeats

 private:
  void Run(const FakeWorker::ReceivedRequest& request) {
    request_ids.insert(*request.head.Get("Request-Id"));
    const std::string* key = request.head.Get("Idempotency-Key");
    const std::string result = ResultOf(request.body);
    const bool is_repeat = key != nullptr && results_.contains(*key);
    runs += !is_repeat;
    if (key == nullptr) return FakeWorker::RespondWithResult(request, result);
    FakeWorker::RespondWithResult(request, results_.emplace(*key, result).first->second);
  }
  std::map<std::string, std::string> results_;  // by idempotency key
};

class GearmanJobIds : public testing::Test {
 public:
  GearmanJobIds() : harness(2, kGearmanConfig, folder_), workers(&harness) {}
  ~GearmanJobIds() override { std::filesystem::remove_all(folder_); }

 protected:
  void RestartNode() {
    harness.node.reset();
    harness.node = std::make_unique<Node>(harness.config);
    ASSERT_TRUE(IsOk(harness.node->Start()));
  }
  // Submits jobs without a unique id to the node, one after the other. Each must be served with the
  // result of its own run.
  void ExpectOwnResults(const Node& node, const std::string& function) {
    GearmanPeer client(&harness.host, node.gearman_address());
    for (int i = 0; i < kJobsPerProcess; ++i) {
      const std::string order = "order-" + std::to_string(++submitted_);
      client.messages.clear();
      client.Send(Type::kSubmitJob, {function, "", order});
      ASSERT_TRUE(harness.Until([&] { return client.messages.size() == 2; })) << order;
      const std::string handle = client.ResponsesOf(Type::kJobCreated).at(0);
      ASSERT_EQ(client.ResponsesOf(Type::kWorkComplete).size(), 1u) << order << " was not served";
      EXPECT_EQ(client.ResponsesOf(Type::kWorkComplete)[0],
                handle + '\0' + DeduplicatingWorkers::ResultOf(order));
      EXPECT_TRUE(handles_.insert(handle).second) << handle << " is the handle of two jobs";
    }
  }
  // Submits charges without a unique id in the background. Each must run.
  void ExpectBackgroundRuns() {
    GearmanPeer client(&harness.host, harness.node->gearman_address());
    const std::size_t runs_before = workers.runs;
    for (int i = 0; i < kJobsPerProcess; ++i) {
      client.Send(Type::kSubmitJobBg, {"charge", "", "order-" + std::to_string(++submitted_)});
    }
    harness.Until([&] { return workers.runs == runs_before + kJobsPerProcess; });
    EXPECT_EQ(workers.runs, runs_before + kJobsPerProcess);
  }
  void ExpectDistinctRequestIds() const {
    const std::set<std::string> distinct(workers.request_ids.begin(), workers.request_ids.end());
    EXPECT_EQ(distinct.size(), workers.request_ids.size());
    EXPECT_EQ(distinct.size(), static_cast<std::size_t>(submitted_));
  }

 private:
  static std::string MakeFolder() {
    char path[] = "/tmp/gearman-job-ids-XXXXXX";
    EXPECT_NE(mkdtemp(path), nullptr);
    return path;
  }
  const std::string folder_ = MakeFolder();
  std::set<std::string> handles_;
  int submitted_ = 0;

 protected:
  NodeHarness harness;
  DeduplicatingWorkers workers;
};

// Guards against charges that get the request ids and keys of charges from before a restart: the
// workers took them for repeats, and the clients were answered with the other charges' results.
TEST_F(GearmanJobIds, ChargesAfterARestartGetTheirOwnResults) {
  ExpectOwnResults(*harness.node, "charge");
  RestartNode();
  ExpectOwnResults(*harness.node, "charge");
  ExpectDistinctRequestIds();
}

// Guards against the same for charges in the background, which were dropped as repeats.
TEST_F(GearmanJobIds, BackgroundChargesAfterARestartRun) {
  ExpectBackgroundRuns();
  RestartNode();
  ExpectBackgroundRuns();
  ExpectDistinctRequestIds();
}

// Guards against the same for a class that has no keys: its request ids were used twice.
TEST_F(GearmanJobIds, LookUpsAfterARestartHaveRequestIdsOfTheirOwn) {
  ExpectOwnResults(*harness.node, "look");
  RestartNode();
  ExpectOwnResults(*harness.node, "look");
  ExpectDistinctRequestIds();
}

// Guards against jobs that a new process names like those of the process that it replaces: it
// refused their ids, which it had been handed over, and answered WORK_FAIL without a send.
TEST_F(GearmanJobIds, JobsAfterAnUpgradeAreServed) {
  ExpectOwnResults(*harness.node, "charge");
  ASSERT_TRUE(harness.StartSuccessor());
  harness.Until([] { return false; }, 0.05);  // until the old process accepts no more
  ExpectOwnResults(*harness.successor, "charge");
  ExpectDistinctRequestIds();
}

// Guards against two nodes of one name that give the same ids to their jobs.
TEST_F(GearmanJobIds, NodesOfTheSameNameGiveDifferentIds) {
  harness.config.handover_directory.clear();
  ASSERT_TRUE(harness.StartSuccessor());
  ExpectOwnResults(*harness.node, "charge");
  ExpectOwnResults(*harness.successor, "charge");
  ExpectDistinctRequestIds();
}

// Guards against a worker's late result for a job of the process before a restart that is taken for
// the result of the job which the new process assigned to it.
class GearmanLateResults : public testing::Test {
 public:
  GearmanLateResults() : harness(0, kGearmanConfig) { ConnectWorker(); }

 protected:
  void ConnectWorker() {
    worker = harness.Gearman();
    worker->on_message = [this](const gearman::Message& message) {
      if (message.type == Type::kNoop) worker->Send(Type::kGrabJob, {});
    };
    worker->Send(Type::kCanDo, {"look"});
    worker->Send(Type::kPreSleep, {});
    harness.Until([] { return false; }, 0.05);
  }
  // Waits until the worker has a job, and returns its handle.
  std::string AwaitAssignment() {
    EXPECT_TRUE(harness.Until([&] { return !worker->ResponsesOf(Type::kJobAssign).empty(); }));
    const std::string assignment = worker->ResponsesOf(Type::kJobAssign).at(0);
    return assignment.substr(0, assignment.find('\0'));
  }
  void RestartNode() {
    harness.node = std::make_unique<Node>(harness.config);
    ASSERT_TRUE(IsOk(harness.node->Start()));
    ConnectWorker();
  }
  NodeHarness harness;
  std::unique_ptr<GearmanPeer> worker;
};

TEST_F(GearmanLateResults, AreNotTakenForAGearmanClientsJob) {
  auto client = harness.Gearman();
  client->Send(Type::kSubmitJob, {"look", "", "first"});
  const std::string first_handle = AwaitAssignment();
  RestartNode();
  client = harness.Gearman();
  client->Send(Type::kSubmitJob, {"look", "", "second"});
  const std::string second_handle = AwaitAssignment();
  worker->Send(Type::kWorkComplete, {first_handle, "result of first"});
  worker->Send(Type::kWorkComplete, {second_handle, "result of second"});
  ASSERT_TRUE(harness.Until([&] { return !client->ResponsesOf(Type::kWorkComplete).empty(); }));
  EXPECT_TRUE(client->ResponsesOf(Type::kWorkComplete)[0].ends_with("result of second"));
}

TEST_F(GearmanLateResults, AreNotTakenForAnHttpClientsRequest) {
  auto client = harness.Client();
  client->Write(Post("first", "look"));
  const std::string first_handle = AwaitAssignment();
  RestartNode();
  client = harness.Client();
  client->Write(Post("second", "look"));
  const std::string second_handle = AwaitAssignment();
  worker->Send(Type::kWorkComplete, {first_handle, "result of first"});
  worker->Send(Type::kWorkComplete, {second_handle, "result of second"});
  ASSERT_TRUE(
      harness.Until([&] { return client->received.find("result of") != std::string::npos; }));
  EXPECT_TRUE(client->received.ends_with("result of second")) << client->received;
}

}  // namespace
}  // namespace millethollow
