// Membership on several processes with network, disk and process faults. CI runs the short forms;
// with LONG=1 in the environment (make cluster-test) faults last for minutes.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "net/cluster/frame.h"
#include "support/cluster_harness.h"

namespace millethollow::cluster_test {
namespace {

bool LongRun() { return std::getenv("LONG") != nullptr; }
double Duration(double in_ci, double whole) { return LongRun() ? whole : in_ci; }

struct ClusterNodes : ::testing::Test {
  void StartCluster(const ClusterHarness::Options& options = {}) {
    harness = std::make_unique<ClusterHarness>(options);
    harness->StartAll();
    ASSERT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 20)) << Describe();
  }
  void TearDown() override {
    if (!harness) return;
    EXPECT_EQ(harness->violations(), std::vector<std::string>{});
    if (HasFailure()) std::printf("%s\n", Describe().c_str());
    harness.reset();
  }
  std::string Describe() {
    std::string all;
    for (std::size_t i = 0; i < harness->size(); ++i) {
      all += ClusterHarness::Name(i) + ": " + harness->polled(i).response.dump() + "\n" +
             harness->LogOf(i);
    }
    return all;
  }
  bool AllReport(std::size_t of, const std::string& state, const std::vector<std::size_t>& at) {
    return std::all_of(at.begin(), at.end(),
                       [&](std::size_t i) { return harness->StateSeenBy(i, of) == state; });
  }
  std::uint64_t AllFailureReports() {
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < harness->size(); ++i) n += harness->FailureReports(i);
    return n;
  }
  std::unique_ptr<ClusterHarness> harness;
};

TEST_F(ClusterNodes, AKilledMemberIsFailedEverywhereWithinThreeSecondsAndRejoins) {
  StartCluster();
  harness->Kill(4);
  const double at = harness->now();
  EXPECT_TRUE(harness->RunUntil([&] { return AllReport(4, "failed", {0, 1, 2, 3}); }, 5));
  EXPECT_LT(harness->now() - at, 3.0);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 10))
      << "in a view without it";
  harness->Start(4);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 20))
      << "in a view with it again";
}

TEST_F(ClusterNodes, AMajoritySurvivesTheKillOfTheLeaderAndAnotherMember) {
  StartCluster({.members = 5, .voters = 5, .seed = 2});
  const std::string leader = harness->polled(0).response["leader"];
  const auto first = static_cast<std::size_t>(leader[0] - 'a');
  harness->Kill(first);
  harness->Kill((first + 1) % 5);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 20));
  harness->StartAll();
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 20));
}

TEST_F(ClusterNodes, WithoutAMajorityNoMemberHoldsALease) {
  StartCluster({.members = 4, .voters = 3, .seed = 3});
  harness->Kill(0);
  harness->Kill(1);
  EXPECT_TRUE(
      harness->RunUntil([&] { return !harness->HoldsLease(2) && !harness->HoldsLease(3); }, 8));
  const std::uint64_t epoch = harness->highest_epoch();
  harness->RunFor(2);
  EXPECT_EQ(harness->highest_epoch(), epoch) << "no view without a majority";
  harness->StartAll();
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 20));
}

TEST_F(ClusterNodes, AllKilledRestartFromTheirStoresOneOfThemMuchLater) {
  StartCluster({.members = 5, .voters = 3, .seed = 4});
  const std::uint64_t epoch = harness->highest_epoch();
  for (std::size_t i = 0; i < 5; ++i) harness->Kill(i);
  for (const std::size_t i : {3UL, 1UL, 4UL, 0UL}) harness->Start(i);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 25));
  EXPECT_GT(harness->highest_epoch(), epoch) << "epochs continue from those on the disks";
  harness->Start(2);  // a voter with old votes
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 20));
}

TEST_F(ClusterNodes, ABlockedLinkBetweenTwoMembersThatReachAThirdFailsNoMember) {
  StartCluster({.members = 4, .voters = 3, .seed = 5});
  const std::uint64_t epoch = harness->highest_epoch();
  harness->link(0, 1).blocked = harness->link(1, 0).blocked = true;
  harness->RunFor(Duration(5, 60));
  harness->link(2, 3).blocked = true;  // in one direction only
  harness->RunFor(Duration(5, 60));
  EXPECT_EQ(AllFailureReports(), 0U);
  EXPECT_EQ(harness->highest_epoch(), epoch);
}

TEST_F(ClusterNodes, AMemberThatCanOnlyReceiveLosesItsLeaseAndLeavesTheView) {
  StartCluster({.members = 4, .voters = 3, .seed = 6});
  for (std::size_t to = 0; to < 3; ++to) harness->link(3, to).blocked = true;
  EXPECT_TRUE(harness->RunUntil([&] { return AllReport(3, "failed", {0, 1, 2}); }, 5));
  EXPECT_TRUE(harness->RunUntil([&] { return !harness->HoldsLease(3); }, 6));
  EXPECT_TRUE(
      harness->RunUntil([&] { return !harness->polled(0).response["members"][3]["in_view"]; }, 10));
  harness->Heal();
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 20));
}

TEST_F(ClusterNodes, AMemberThatCanOnlySendLosesItsLeaseAndLeavesTheView) {
  StartCluster({.members = 4, .voters = 3, .seed = 17});
  for (std::size_t from = 0; from < 3; ++from) harness->link(from, 3).blocked = true;
  EXPECT_TRUE(harness->RunUntil([&] { return AllReport(3, "failed", {0, 1, 2}); }, 5));
  EXPECT_TRUE(harness->RunUntil([&] { return !harness->HoldsLease(3); }, 6));
  EXPECT_TRUE(
      harness->RunUntil([&] { return !harness->polled(0).response["members"][3]["in_view"]; }, 10))
      << "its lease requests arrive, but no grant reaches it";
  harness->Heal();
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 20));
}

TEST_F(ClusterNodes, AStepOfTheWallClockHasNoEffect) {
  StartCluster({.members = 3, .voters = 3, .seed = 18, .shim = true});
  const std::uint64_t epoch = harness->highest_epoch();
  std::vector<std::uint64_t> reads;
  for (std::size_t i = 0; i < 3; ++i) reads.push_back(harness->shim(i).wall_clock_reads);
  for (const std::int64_t offset_s : {-3600, 3600, 0}) {
    for (std::size_t i = 0; i < 3; ++i)
      harness->shim(i).wall_clock_offset_s = i == 0 ? offset_s : i == 1 ? -offset_s : 0;
    EXPECT_FALSE(harness->RunUntil([&] { return !harness->Converged(); }, Duration(2.5, 20)))
        << offset_s;
  }
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(harness->Metric(i, "app.cluster.lapses"), 0) << i;
    EXPECT_GT(harness->shim(i).wall_clock_reads.load(), reads[i])
        << "the process never read the shifted clock";
  }
  EXPECT_EQ(harness->highest_epoch(), epoch);
  EXPECT_EQ(AllFailureReports(), 0U);
}

TEST_F(ClusterNodes, AMemberWhoseDiskFailsStopsVotingAndNothingElse) {
  StartCluster({.members = 4, .voters = 3, .seed = 19, .shim = true});
  harness->shim(2).fail_syncs = 1;
  harness->Kill(3);  // so that a view without it must be written
  EXPECT_TRUE(harness->RunUntil(
      [&] {
        return harness->polled(2).response.is_object() &&
               harness->polled(2).response["vote"] == "stopped";
      },
      15));
  EXPECT_GT(harness->shim(2).failed_syncs.load(), 0U);
  harness->shim(2).fail_syncs = 0;  // a disk that failed once is not used again
  harness->Start(3);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 25))
      << "two voters are a majority";
  EXPECT_EQ(harness->polled(2).response["vote"], "stopped");
  EXPECT_NE(harness->LogOf(2).find("cluster store-failed"), std::string::npos);
  harness->Kill(2);
  harness->Start(2);
  EXPECT_TRUE(harness->RunUntil(
      [&] { return harness->Converged() && harness->polled(2).response["vote"] == "voting"; }, 25))
      << "restarted, it votes with the votes on its disk, or is readmitted";
}

TEST_F(ClusterNodes, APartitionLeavesTheMajorityAlsoWhenItChangesBeforeItHeals) {
  StartCluster({.members = 5, .voters = 5, .seed = 7});
  harness->Partition({0, 0, 0, 1, 1});
  EXPECT_TRUE(
      harness->RunUntil([&] { return !harness->HoldsLease(3) && !harness->HoldsLease(4); }, 8));
  EXPECT_TRUE(
      harness->RunUntil([&] { return !harness->polled(0).response["members"][4]["in_view"]; }, 10));
  EXPECT_TRUE(harness->HoldsLease(0) && harness->HoldsLease(1) && harness->HoldsLease(2));
  harness->Partition({0, 1, 1, 1, 0});  // before the members have converged
  EXPECT_TRUE(harness->RunUntil(
      [&] {
        return harness->HoldsLease(1) && harness->HoldsLease(2) && harness->HoldsLease(3) &&
               !harness->HoldsLease(0);
      },
      25));
  harness->Partition({0, 0, 1, 1, 2});
  EXPECT_TRUE(harness->RunUntil(
      [&] {
        return !harness->HoldsLease(0) && !harness->HoldsLease(1) && !harness->HoldsLease(2) &&
               !harness->HoldsLease(3) && !harness->HoldsLease(4);
      },
      10))
      << "2|2|1: no group has a majority";
  harness->Heal();
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 60));
}

TEST_F(ClusterNodes, APartitionThatAlternatesEverySecondDoesNotMakeViewsFlap) {
  StartCluster({.members = 5, .voters = 3, .seed = 8});
  const std::uint64_t epoch = harness->highest_epoch();
  const int seconds = static_cast<int>(Duration(8, 60));
  for (int s = 0; s < seconds; ++s) {
    if (s % 2 == 0) harness->Partition({0, 0, 0, 1, 1});
    if (s % 2 == 1) harness->Heal();
    harness->RunFor(1);
  }
  harness->Heal();
  EXPECT_LE(harness->highest_epoch() - epoch, 24U) << "12 changes for each of the two members";
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 60));
}

TEST_F(ClusterNodes, AShortPauseFailsNoMemberAndALongOneEndsTheLease) {
  StartCluster({.members = 4, .voters = 3, .seed = 9});
  for (int i = 0; i < 4; ++i) {
    harness->Stop(3);
    harness->RunFor(0.5);
    harness->Continue(3);
    harness->RunFor(1);
  }
  EXPECT_EQ(AllFailureReports(), 0U) << "half a second";
  harness->Stop(3);
  EXPECT_TRUE(harness->RunUntil(
      [&] { return harness->polled(0).response["members"][3]["in_view"] == false; }, 15));
  const std::uint64_t without = harness->Epoch(0);
  harness->Continue(3);
  // From its first response on, its lease must have expired by its own clock, until a later view
  // contains it again.
  std::uint64_t wrongly_leased = 0;
  EXPECT_TRUE(harness->RunUntil(
      [&] {
        if (harness->HoldsLease(3) && harness->Epoch(3) <= without) wrongly_leased += 1;
        return harness->Converged();
      },
      25));
  EXPECT_EQ(wrongly_leased, 0U)
      << "responses that claim a lease although a later view is without this member";
}

TEST_F(ClusterNodes, AVoterWithAnEmptyStoreIsReadmittedBeforeItVotes) {
  StartCluster({.members = 3, .voters = 3, .seed = 10});
  harness->Kill(1);
  harness->RemoveStore(1);
  harness->Kill(2);  // so that only one voter with its votes is there
  harness->Start(1);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->polled(1).response.is_object(); }, 5));
  harness->RunFor(6);
  EXPECT_NE(harness->polled(1).response["vote"], "voting")
      << "a single voter with its votes is no majority";
  harness->Start(2);
  EXPECT_TRUE(harness->RunUntil(
      [&] { return harness->Converged() && harness->polled(1).response["vote"] == "voting"; }, 25));
}

TEST_F(ClusterNodes, OfTwoProcessesWithOneIdTheLaterYields) {
  StartCluster({.members = 3, .voters = 3, .seed = 11});
  harness->StartDuplicate(2);
  EXPECT_TRUE(harness->RunUntil(
      [&] { return harness->DuplicateLog().find("cluster yield") != std::string::npos; }, 15));
  EXPECT_EQ(harness->LogOf(2).find("cluster yield"), std::string::npos)
      << "the first process stays";
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 10));
}

TEST_F(ClusterNodes, PacketLossOfTwentyPercentFailsNoMember) {
  StartCluster({.members = 5, .voters = 3, .seed = 12});
  harness->ForEachLink([](LinkFaults* l) {
    l->loss = 0.2;
    l->jitter_s = 0.01;
  });
  harness->RunFor(Duration(10, 60));
  EXPECT_EQ(AllFailureReports(), 0U);
}

TEST_F(ClusterNodes, InvalidFramesAreCountedAndHaveNoEffect) {
  StartCluster({.members = 3, .voters = 3, .seed = 13});
  const std::uint64_t epoch = harness->highest_epoch();
  harness->ForEachLink([](LinkFaults* l) { l->corrupted = l->truncated = l->duplicated = 0.1; });
  for (int i = 0; i < 2000; ++i) {
    std::string random_bytes(harness->random().Below(1500), '\0');
    for (char& c : random_bytes) c = static_cast<char>(harness->random().NextUint64());
    harness->Inject(0, random_bytes);
    if (i % 50 == 0) harness->RunFor(0.005);
  }
  for (const std::string& captured : harness->CapturedDatagrams()) harness->Inject(0, captured);
  harness->Inject(
      0, cluster::Encode({.cluster = 7, .from = 7, .process_incarnation = 7, .sequence = 1},
                         membership::SwimMessage{}));
  harness->RunFor(Duration(3, 30));
  EXPECT_GT(harness->Metric(0, "app.cluster.refused.garbled"), 1000);
  EXPECT_GT(harness->Metric(0, "app.cluster.refused.replayed"), 0);
  EXPECT_EQ(harness->Metric(0, "app.cluster.refused.other_cluster"), 1);
  EXPECT_EQ(harness->highest_epoch(), epoch);
  EXPECT_EQ(AllFailureReports(), 0U);
  EXPECT_TRUE(harness->Converged());
}

TEST_F(ClusterNodes, AMemberThatLeavesIsNotSuspected) {
  StartCluster({.members = 4, .voters = 3, .seed = 14});
  harness->Terminate(3);
  EXPECT_TRUE(harness->RunUntil([&] { return AllReport(3, "left", {0, 1, 2}); }, 3));
  EXPECT_TRUE(harness->RunUntil([&] { return !harness->Running(3); }, 5));
  EXPECT_EQ(harness->ExitCode(3), 0);
  EXPECT_EQ(AllFailureReports(), 0U);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 5))
      << "it returned its lease, so the others need not wait for it to expire";
}

TEST_F(ClusterNodes, AMemberWithAFullDiskStopsVotingAndNothingElse) {
  StartCluster({.members = 3, .voters = 3, .seed = 15});
  harness->Kill(2);
  harness->LimitFileSize(2, 20);
  harness->Start(2);
  EXPECT_TRUE(harness->RunUntil(
      [&] { return harness->polled(2).response.is_object() && harness->HoldsLease(2); }, 20))
      << "a member that does not vote may hold a lease";
  // The view that contains it is the first vote that it must write.
  EXPECT_TRUE(
      harness->RunUntil([&] { return harness->polled(2).response["vote"] == "stopped"; }, 15));
  harness->RunFor(3);
  EXPECT_TRUE(harness->Running(2) && harness->HoldsLease(2)) << "it remains a member";
}

TEST_F(ClusterNodes, AMaintenanceCallReturnsOnceAnotherDiskHasItHoweverSlow) {
  StartCluster({.members = 3, .voters = 3, .seed = 20, .workers = 1, .shim = true});
  for (const std::size_t i : {1UL, 2UL})
    harness->shim(i).sync_delay_ms = 400;  // the change is sent again meanwhile
  const double at = harness->now();
  EXPECT_NE(harness->AdminRequest(0, "PUT /workers/w0/maint").find("done\n"), std::string::npos);
  EXPECT_GT(harness->now() - at, 0.4);
}

// Sends requests to every node: none may use a worker that was put into maintenance at one of them,
// also after restarts and after a partition.
TEST_F(ClusterNodes, MaintenanceHoldsAtAllNodesSurvivesRestartsAndMergesAfterAPartition) {
  StartCluster({.members = 4, .voters = 3, .seed = 16, .workers = 2});
  const FakeWorker& first = harness->worker(0);
  const auto send_requests_to_all = [&] {
    for (std::size_t i = 0; i < harness->size(); ++i) {
      if (!harness->Running(i)) continue;
      for (int n = 0; n < 6; ++n) {
        RawClient client(&harness->loop(), harness->http_address(i));
        client.Write(Post("r" + std::to_string(harness->random().NextUint64()), "look"));
        const auto answered = [&] {
          return client.ended || client.received.find("\r\n\r\n") != std::string::npos;
        };
        EXPECT_TRUE(harness->RunUntil(answered, 5)) << client.received;
        EXPECT_TRUE(client.received.starts_with("HTTP/1.1 200")) << client.received;
      }
    }
  };
  const auto is_unused = [&] {
    const std::size_t before = first.requests.size();
    send_requests_to_all();
    return first.requests.size() == before;
  };
  EXPECT_FALSE(is_unused());
  EXPECT_NE(harness->AdminRequest(0, "PUT /workers/w0/maint").find("done\n"), std::string::npos);
  harness->RunFor(0.5);
  EXPECT_TRUE(is_unused()) << "no node may use it";
  harness->Kill(0);
  EXPECT_TRUE(is_unused()) << "the node that was called is killed";
  harness->Start(0);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 10));
  EXPECT_TRUE(is_unused()) << "the node that was called has restarted";
  for (std::size_t i = 0; i < 4; ++i)
    harness->Kill(i);  // all at once: the change is on their disks
  std::filesystem::remove(harness->Folder(2) + "/store/copies.db-wal");
  std::ofstream(harness->Folder(2) + "/store/copies.db") << std::string(9000, 'x');
  for (const std::size_t i : {3UL, 2UL, 1UL, 0UL}) harness->Start(i);
  EXPECT_TRUE(harness->RunUntil([&] { return harness->Converged(); }, 25));
  EXPECT_TRUE(is_unused()) << "all nodes have restarted";
  EXPECT_NE(harness->LogOf(2).find("cluster store-damaged"), std::string::npos)
      << "and received the change from other members";
  harness->Partition({0, 0, 1, 1});
  harness->RunFor(3);
  EXPECT_NE(harness->AdminRequest(3, "PUT /workers/w0/ready").find("200 OK"), std::string::npos);
  EXPECT_NE(harness->AdminRequest(0, "PUT /workers/w0/maint").find("200 OK"), std::string::npos);
  const auto has_in_maintenance = [&](std::size_t i, std::size_t workers) {
    const auto& response = harness->polled(i).response;
    return response.is_object() && response["workers_out"].size() == workers;
  };
  EXPECT_TRUE(
      harness->RunUntil([&] { return has_in_maintenance(3, 0) && has_in_maintenance(0, 1); }, 5))
      << "cut";
  harness->Heal();
  EXPECT_TRUE(harness->RunUntil(
      [&] {
        return has_in_maintenance(0, 1) && has_in_maintenance(1, 1) && has_in_maintenance(2, 1) &&
               has_in_maintenance(3, 1);
      },
      20));
  EXPECT_TRUE(is_unused()) << "concurrent changes on both sides: maintenance wins";
  EXPECT_NE(harness->AdminRequest(2, "PUT /workers/w0/ready").find("200 OK"), std::string::npos);
  EXPECT_TRUE(
      harness->RunUntil([&] { return has_in_maintenance(0, 0) && has_in_maintenance(3, 0); }, 5));
  // Like a worker that has just started, it gets its share of requests only gradually.
  const double until = harness->now() + 15;
  bool used = false;
  while (!used && harness->now() < until) used = !is_unused();
  EXPECT_TRUE(used) << "out of maintenance";
}

}  // namespace
}  // namespace millethollow::cluster_test
