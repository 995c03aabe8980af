// Several processes of the program, with faults between them. CI plays the short forms; LONG=1 in
// the environment (make cluster-test) plays whole minutes, and SEEDS more days.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "net/cluster/frame.h"
#include "support/cluster_harness.h"

namespace millethollow::rig {
namespace {

bool Long() { return std::getenv("LONG") != nullptr; }
double Span(double in_ci, double whole) { return Long() ? whole : in_ci; }

struct Nodes : ::testing::Test {
  void Begin(const ClusterHarness::Options& options = {}) {
    harness = std::make_unique<ClusterHarness>(options);
    harness->StartAll();
    ASSERT_TRUE(harness->Until([&] { return harness->Whole(); }, 20)) << Describe();
  }
  void TearDown() override {
    if (!harness) return;
    EXPECT_EQ(harness->broken(), std::vector<std::string>{});
    if (HasFailure()) std::printf("%s\n", Describe().c_str());
    harness.reset();
  }
  std::string Describe() {
    std::string all;
    for (std::size_t i = 0; i < harness->size(); ++i) {
      all += ClusterHarness::Name(i) + ": " + harness->polled(i).told.dump() + "\n" +
             harness->LogOf(i);
    }
    return all;
  }
  bool AllReport(std::size_t of, const std::string& state, const std::vector<std::size_t>& at) {
    return std::all_of(at.begin(), at.end(),
                       [&](std::size_t i) { return harness->StateAt(i, of) == state; });
  }
  std::uint64_t AllFailedCalls() {
    std::uint64_t n = 0;
    for (std::size_t i = 0; i < harness->size(); ++i) n += harness->FailedCalls(i);
    return n;
  }
  std::unique_ptr<ClusterHarness> harness;
};

TEST_F(Nodes, AKilledOneIsFailedAtAllWithinThreeSecondsAndComesBack) {
  Begin();
  harness->Kill(4);
  const double at = harness->now();
  EXPECT_TRUE(harness->Until([&] { return AllReport(4, "failed", {0, 1, 2, 3}); }, 5));
  EXPECT_LT(harness->now() - at, 3.0);
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 10)) << "a view without it";
  harness->Start(4);
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 20)) << "a view with it again";
}

TEST_F(Nodes, TheLeaderAndAnotherKilledLeaveAMajority) {
  Begin({.members = 5, .voters = 5, .seed = 2});
  const std::string leader = harness->polled(0).told["leader"];
  const auto first = static_cast<std::size_t>(leader[0] - 'a');
  harness->Kill(first);
  harness->Kill((first + 1) % 5);
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 20));
  harness->StartAll();
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 20));
}

TEST_F(Nodes, WithoutAMajorityNobodyHasALeaseUntilItReturns) {
  Begin({.members = 4, .voters = 3, .seed = 3});
  harness->Kill(0);
  harness->Kill(1);
  EXPECT_TRUE(harness->Until([&] { return !harness->Leased(2) && !harness->Leased(3); }, 8));
  const std::uint64_t epoch = harness->highest_epoch();
  harness->For(2);
  EXPECT_EQ(harness->highest_epoch(), epoch) << "no view without a majority";
  harness->StartAll();
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 20));
}

TEST_F(Nodes, AllKilledStartAgainFromTheirFoldersAndOneMuchLater) {
  Begin({.members = 5, .voters = 3, .seed = 4});
  const std::uint64_t epoch = harness->highest_epoch();
  for (std::size_t i = 0; i < 5; ++i) harness->Kill(i);
  for (const std::size_t i : {3UL, 1UL, 4UL, 0UL}) harness->Start(i);
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 25));
  EXPECT_GT(harness->highest_epoch(), epoch) << "epochs go on from what the disks hold";
  harness->Start(2);  // a voter, with an old file
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 20));
}

TEST_F(Nodes, ABrokenLinkBetweenTwoWhoReachAThirdFailsNobody) {
  Begin({.members = 4, .voters = 3, .seed = 5});
  const std::uint64_t epoch = harness->highest_epoch();
  harness->link(0, 1).cut = harness->link(1, 0).cut = true;
  harness->For(Span(5, 60));
  harness->link(2, 3).cut = true;  // and one way only
  harness->For(Span(5, 60));
  EXPECT_EQ(AllFailedCalls(), 0U);
  EXPECT_EQ(harness->highest_epoch(), epoch);
}

TEST_F(Nodes, OneThatHearsButCannotSpeakLosesItsLeaseAndItsPlace) {
  Begin({.members = 4, .voters = 3, .seed = 6});
  for (std::size_t to = 0; to < 3; ++to) harness->link(3, to).cut = true;
  EXPECT_TRUE(harness->Until([&] { return AllReport(3, "failed", {0, 1, 2}); }, 5));
  EXPECT_TRUE(harness->Until([&] { return !harness->Leased(3); }, 6));
  EXPECT_TRUE(
      harness->Until([&] { return !harness->polled(0).told["members"][3]["in_view"]; }, 10));
  harness->Heal();
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 20));
}

TEST_F(Nodes, OneThatSpeaksButCannotHearLosesItsLeaseAndItsPlace) {
  Begin({.members = 4, .voters = 3, .seed = 17});
  for (std::size_t from = 0; from < 3; ++from) harness->link(from, 3).cut = true;
  EXPECT_TRUE(harness->Until([&] { return AllReport(3, "failed", {0, 1, 2}); }, 5));
  EXPECT_TRUE(harness->Until([&] { return !harness->Leased(3); }, 6));
  EXPECT_TRUE(harness->Until([&] { return !harness->polled(0).told["members"][3]["in_view"]; }, 10))
      << "its renewals come, and no answer reaches it";
  harness->Heal();
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 20));
}

TEST_F(Nodes, AWallClockThatIsSetChangesNothing) {
  Begin({.members = 3, .voters = 3, .seed = 18, .shim = true});
  const std::uint64_t epoch = harness->highest_epoch();
  std::vector<std::uint64_t> reads;
  for (std::size_t i = 0; i < 3; ++i) reads.push_back(harness->shim(i).wall_reads);
  for (const std::int64_t off : {-3600, 3600, 0}) {
    for (std::size_t i = 0; i < 3; ++i)
      harness->shim(i).wall_off_s = i == 0 ? off : i == 1 ? -off : 0;
    EXPECT_FALSE(harness->Until([&] { return !harness->Whole(); }, Span(2.5, 20))) << off;
  }
  for (std::size_t i = 0; i < 3; ++i) {
    EXPECT_EQ(harness->Figure(i, "app.cluster.lapses"), 0) << i;
    EXPECT_GT(harness->shim(i).wall_reads.load(), reads[i]) << "or it was not set under it";
  }
  EXPECT_EQ(harness->highest_epoch(), epoch);
  EXPECT_EQ(AllFailedCalls(), 0U);
}

TEST_F(Nodes, ADiskThatFailsInAWriteEndsTheVoteAndNothingElse) {
  Begin({.members = 4, .voters = 3, .seed = 19, .shim = true});
  harness->shim(2).fail_syncs = 1;
  harness->Kill(3);  // a view without it is to be written
  EXPECT_TRUE(harness->Until(
      [&] {
        return harness->polled(2).told.is_object() && harness->polled(2).told["vote"] == "stopped";
      },
      15));
  EXPECT_GT(harness->shim(2).failed_syncs.load(), 0U);
  harness->shim(2).fail_syncs = 0;  // a disk that failed once is not believed again
  harness->Start(3);
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 25)) << "two voters are a majority";
  EXPECT_EQ(harness->polled(2).told["vote"], "stopped");
  EXPECT_NE(harness->LogOf(2).find("cluster store-failed"), std::string::npos);
  harness->Kill(2);
  harness->Start(2);
  EXPECT_TRUE(harness->Until(
      [&] { return harness->Whole() && harness->polled(2).told["vote"] == "voting"; }, 25))
      << "started anew it votes with what its disk holds, or is readmitted";
}

TEST_F(Nodes, ACutLeavesTheMajorityAndHealsAlsoWhenCutElsewhereMeanwhile) {
  Begin({.members = 5, .voters = 5, .seed = 7});
  harness->Split({0, 0, 0, 1, 1});
  EXPECT_TRUE(harness->Until([&] { return !harness->Leased(3) && !harness->Leased(4); }, 8));
  EXPECT_TRUE(
      harness->Until([&] { return !harness->polled(0).told["members"][4]["in_view"]; }, 10));
  EXPECT_TRUE(harness->Leased(0) && harness->Leased(1) && harness->Leased(2));
  harness->Split({0, 1, 1, 1, 0});  // before the healing is through
  EXPECT_TRUE(harness->Until(
      [&] {
        return harness->Leased(1) && harness->Leased(2) && harness->Leased(3) &&
               !harness->Leased(0);
      },
      25));
  harness->Split({0, 0, 1, 1, 2});
  EXPECT_TRUE(harness->Until(
      [&] {
        return !harness->Leased(0) && !harness->Leased(1) && !harness->Leased(2) &&
               !harness->Leased(3) && !harness->Leased(4);
      },
      10))
      << "2|2|1: nobody has a majority";
  harness->Heal();
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 60));
}

TEST_F(Nodes, ACutThatSwingsEverySecondDoesNotMakeViewsFlap) {
  Begin({.members = 5, .voters = 3, .seed = 8});
  const std::uint64_t epoch = harness->highest_epoch();
  const int seconds = static_cast<int>(Span(8, 60));
  for (int s = 0; s < seconds; ++s) {
    if (s % 2 == 0) harness->Split({0, 0, 0, 1, 1});
    if (s % 2 == 1) harness->Heal();
    harness->For(1);
  }
  harness->Heal();
  EXPECT_LE(harness->highest_epoch() - epoch, 24U) << "12 changes for each of the two members";
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 60));
}

TEST_F(Nodes, AShortStopFailsNobodyAndALongOneEndsTheLease) {
  Begin({.members = 4, .voters = 3, .seed = 9});
  for (int i = 0; i < 4; ++i) {
    harness->Stop(3);
    harness->For(0.5);
    harness->Continue(3);
    harness->For(1);
  }
  EXPECT_EQ(AllFailedCalls(), 0U) << "half a second";
  harness->Stop(3);
  EXPECT_TRUE(harness->Until(
      [&] { return harness->polled(0).told["members"][3]["in_view"] == false; }, 15));
  const std::uint64_t without = harness->Epoch(0);
  harness->Continue(3);
  // From the first that it tells: its lease is over, though nobody has told it, until a later view
  // has it again.
  std::uint64_t wrongly_leased = 0;
  EXPECT_TRUE(harness->Until(
      [&] {
        if (harness->Leased(3) && harness->Epoch(3) <= without) wrongly_leased += 1;
        return harness->Whole();
      },
      25));
  EXPECT_EQ(wrongly_leased, 0U)
      << "answers that claim a lease of a view that was followed by one without it";
}

TEST_F(Nodes, AVoterWithAnEmptyFolderIsReadmittedBeforeItVotes) {
  Begin({.members = 3, .voters = 3, .seed = 10});
  harness->Kill(1);
  harness->TakeFolder(1);
  harness->Kill(2);  // so that only one of those who remember is there
  harness->Start(1);
  EXPECT_TRUE(harness->Until([&] { return harness->polled(1).told.is_object(); }, 5));
  harness->For(6);
  EXPECT_NE(harness->polled(1).told["vote"], "voting") << "one who remembers is no majority";
  harness->Start(2);
  EXPECT_TRUE(harness->Until(
      [&] { return harness->Whole() && harness->polled(1).told["vote"] == "voting"; }, 25));
}

TEST_F(Nodes, OfTwoProcessesUnderOneIdOneYields) {
  Begin({.members = 3, .voters = 3, .seed = 11});
  harness->StartTwin(2);
  EXPECT_TRUE(harness->Until(
      [&] { return harness->TwinLog().find("cluster yield") != std::string::npos; }, 15));
  EXPECT_EQ(harness->LogOf(2).find("cluster yield"), std::string::npos)
      << "who was there first stays";
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 10));
}

TEST_F(Nodes, LossOfOneInFiveFailsNobody) {
  Begin({.members = 5, .voters = 3, .seed = 12});
  harness->EachLink([](LinkFaults* l) {
    l->loss = 0.2;
    l->jitter_s = 0.01;
  });
  harness->For(Span(10, 60));
  EXPECT_EQ(AllFailedCalls(), 0U);
}

TEST_F(Nodes, WhatIsNoFrameOfOursIsCountedAndChangesNothing) {
  Begin({.members = 3, .voters = 3, .seed = 13});
  const std::uint64_t epoch = harness->highest_epoch();
  harness->EachLink([](LinkFaults* l) { l->garbled = l->shortened = l->doubled = 0.1; });
  for (int i = 0; i < 2000; ++i) {
    std::string noise(harness->random().Below(1500), '\0');
    for (char& c : noise) c = static_cast<char>(harness->random().NextUint64());
    harness->Inject(0, noise);
    if (i % 50 == 0) harness->For(0.005);
  }
  for (const std::string& old : harness->Captured()) harness->Inject(0, old);
  harness->Inject(0,
                  cluster::Encode({.cluster = 7, .from = 7, .process_incarnation = 7, .number = 1},
                                  membership::SwimMessage{}));
  harness->For(Span(3, 30));
  EXPECT_GT(harness->Figure(0, "app.cluster.refused.garbled"), 1000);
  EXPECT_GT(harness->Figure(0, "app.cluster.refused.replayed"), 0);
  EXPECT_EQ(harness->Figure(0, "app.cluster.refused.other_cluster"), 1);
  EXPECT_EQ(harness->highest_epoch(), epoch);
  EXPECT_EQ(AllFailedCalls(), 0U);
  EXPECT_TRUE(harness->Whole());
}

TEST_F(Nodes, OneThatLeavesIsNotSuspected) {
  Begin({.members = 4, .voters = 3, .seed = 14});
  harness->Terminate(3);
  EXPECT_TRUE(harness->Until([&] { return AllReport(3, "left", {0, 1, 2}); }, 3));
  EXPECT_TRUE(harness->Until([&] { return !harness->Running(3); }, 5));
  EXPECT_EQ(harness->ExitCode(3), 0);
  EXPECT_EQ(AllFailedCalls(), 0U);
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 5))
      << "its lease was given back: no wait";
}

TEST_F(Nodes, AFullDiskEndsTheVoteAndNothingElse) {
  Begin({.members = 3, .voters = 3, .seed = 15});
  harness->Kill(2);
  harness->BoundFiles(2, 20);
  harness->Start(2);
  EXPECT_TRUE(
      harness->Until([&] { return harness->polled(2).told.is_object() && harness->Leased(2); }, 20))
      << "it needs no vote for a lease";
  // The view with it in is the first thing that it has to write.
  EXPECT_TRUE(harness->Until([&] { return harness->polled(2).told["vote"] == "stopped"; }, 15));
  harness->For(3);
  EXPECT_TRUE(harness->Running(2) && harness->Leased(2)) << "it lives on for the rest";
}

TEST_F(Nodes, ACallByHandIsDoneOnceAnotherDiskHasItTooHoweverSlow) {
  Begin({.members = 3, .voters = 3, .seed = 20, .workers = 1, .shim = true});
  for (const std::size_t i : {1UL, 2UL})
    harness->shim(i).slow_syncs_ms = 400;  // it is told again meanwhile
  const double at = harness->now();
  EXPECT_NE(harness->Ask(0, "PUT /workers/w0/maint").find("done\n"), std::string::npos);
  EXPECT_GT(harness->now() - at, 0.4);
}

// Every node is asked; none may use a worker that was taken out at one of them.
TEST_F(Nodes, AWorkerOutByHandIsOutAtAllSurvivesAndMergesAfterACut) {
  Begin({.members = 4, .voters = 3, .seed = 16, .workers = 2});
  const FakeWorker& first = harness->worker(0);
  const auto ask_all = [&] {
    for (std::size_t i = 0; i < harness->size(); ++i) {
      if (!harness->Running(i)) continue;
      for (int n = 0; n < 6; ++n) {
        RawClient client(&harness->loop(), harness->http_address(i));
        client.Write(Post("r" + std::to_string(harness->random().NextUint64()), "look"));
        const auto answered = [&] {
          return client.ended || client.received.find("\r\n\r\n") != std::string::npos;
        };
        EXPECT_TRUE(harness->Until(answered, 5)) << client.received;
        EXPECT_TRUE(client.received.starts_with("HTTP/1.1 200")) << client.received;
      }
    }
  };
  const auto unused = [&] {
    const std::size_t before = first.requests.size();
    ask_all();
    return first.requests.size() == before;
  };
  EXPECT_FALSE(unused());
  EXPECT_NE(harness->Ask(0, "PUT /workers/w0/maint").find("done\n"), std::string::npos);
  harness->For(0.5);
  EXPECT_TRUE(unused()) << "at none of the nodes";
  harness->Kill(0);
  EXPECT_TRUE(unused()) << "who said it is dead";
  harness->Start(0);
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 10));
  EXPECT_TRUE(unused()) << "who said it is back, and knows nothing";
  for (std::size_t i = 0; i < 4; ++i) harness->Kill(i);  // all at once: it is on their disks
  std::filesystem::remove(harness->Folder(2) + "/store/copies.db-wal");
  std::ofstream(harness->Folder(2) + "/store/copies.db") << std::string(9000, 'x');
  for (const std::size_t i : {3UL, 2UL, 1UL, 0UL}) harness->Start(i);
  EXPECT_TRUE(harness->Until([&] { return harness->Whole(); }, 25));
  EXPECT_TRUE(unused()) << "all were killed";
  EXPECT_NE(harness->LogOf(2).find("cluster store-damaged"), std::string::npos)
      << "and learned it from others";
  harness->Split({0, 0, 1, 1});
  harness->For(3);
  EXPECT_NE(harness->Ask(3, "PUT /workers/w0/ready").find("200 OK"), std::string::npos);
  EXPECT_NE(harness->Ask(0, "PUT /workers/w0/maint").find("200 OK"), std::string::npos);
  const auto held_out = [&](std::size_t i, std::size_t workers) {
    const auto& told = harness->polled(i).told;
    return told.is_object() && told["workers_out"].size() == workers;
  };
  EXPECT_TRUE(harness->Until([&] { return held_out(3, 0) && held_out(0, 1); }, 5)) << "cut";
  harness->Heal();
  EXPECT_TRUE(harness->Until(
      [&] { return held_out(0, 1) && held_out(1, 1) && held_out(2, 1) && held_out(3, 1); }, 20));
  EXPECT_TRUE(unused()) << "out on one side, back on the other: out";
  EXPECT_NE(harness->Ask(2, "PUT /workers/w0/ready").find("200 OK"), std::string::npos);
  EXPECT_TRUE(harness->Until([&] { return held_out(0, 0) && held_out(3, 0); }, 5));
  // It comes back as one that has just started, which has its part only by and by.
  const double until = harness->now() + 15;
  bool used = false;
  while (!used && harness->now() < until) used = !unused();
  EXPECT_TRUE(used) << "called back later";
}

}  // namespace
}  // namespace millethollow::rig
