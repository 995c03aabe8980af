// Replication of maintenance decisions in a simulated cluster.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/membership_simulation.h"

namespace millethollow::membership {
namespace {

// Decisions to take a worker into maintenance (true) or put it back (false), made at four nodes
// before, during and after a partition {0, 1} | {2, 3}. A decision to put it back must not revoke
// one to take it out that its node did not know, or an operator's decision would be lost.
TEST(MaintenanceRegistry, PutBackRevokesOnlyKnownDecisions) {
  struct Decision {
    std::size_t node;
    bool in_maintenance;
  };
  struct Case {
    const char* name;
    std::vector<Decision> before, during, after;
    bool in_maintenance;
  };
  const Case cases[] = {
      {"out", {{0, true}}, {}, {}, true},
      {"put back at another node", {{0, true}, {3, false}}, {}, {}, false},
      {"taken out twice, put back once", {{0, true}, {1, true}, {2, false}}, {}, {}, false},
      {"put back during the partition", {{0, true}}, {{3, false}}, {}, false},
      {"taken out on one side, put back on the other", {}, {{0, true}, {3, false}}, {}, true},
      {"again taken out on one side, put back on the other",
       {{0, true}},
       {{0, true}, {3, false}},
       {},
       true},
      {"taken out on both sides, put back on one",
       {},
       {{0, true}, {3, true}, {3, false}},
       {},
       true},
      {"put back after the partition", {}, {{0, true}, {3, false}}, {{2, false}}, false},
  };
  for (const Case& test_case : cases) {
    MembershipSimulation simulation(5, {.members = 4, .voters = 3, .loss = 0.1});
    simulation.StartAll();
    simulation.RunUntil(5);
    const auto apply = [&](const std::vector<Decision>& decisions) {
      for (const Decision& decision : decisions) {
        simulation.SetMaintenance(decision.node, "w", decision.in_maintenance);
        simulation.RunUntil(simulation.now() + 2);
      }
    };
    apply(test_case.before);
    if (!test_case.during.empty()) simulation.Partition({0, 0, 1, 1});
    apply(test_case.during);
    simulation.Heal();
    EXPECT_TRUE(simulation.RunUntil([&] { return simulation.MaintenanceAgrees(); }, 20))
        << test_case.name;
    simulation.RunUntil(simulation.now() + 2);
    apply(test_case.after);
    EXPECT_TRUE(simulation.RunUntil([&] { return simulation.MaintenanceAgrees(); }, 20))
        << test_case.name;
    for (std::size_t i = 0; i < 4; ++i)
      EXPECT_EQ(simulation.InMaintenance(i, "w"), test_case.in_maintenance)
          << test_case.name << " at " << i;
  }
}

// A member takes 100 workers out and is killed half a second later. The others must have the
// decisions, and its next process must get them back from the others.
TEST(MaintenanceRegistry, DecisionsSurviveTheirMemberAndReachLaterStarts) {
  MembershipSimulation simulation(6, {.members = 4, .voters = 3});
  simulation.StartAll();
  simulation.RunUntil(5);
  for (int i = 0; i < 100; ++i) simulation.SetMaintenance(0, "w" + std::to_string(i), true);
  simulation.RunUntil(simulation.now() + 0.5);
  simulation.Kill(0);
  simulation.Kill(1);
  simulation.RunUntil(simulation.now() + 5);
  simulation.Start(0);
  EXPECT_TRUE(simulation.RunUntil(
      [&] { return simulation.node(0).membership->maintenance().synced(); }, 2));
  for (int i = 0; i < 100; ++i)
    EXPECT_TRUE(simulation.InMaintenance(0, "w" + std::to_string(i))) << i;
}

}  // namespace
}  // namespace millethollow::membership
