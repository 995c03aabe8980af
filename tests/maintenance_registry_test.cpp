// Maintenance records on a virtual clock.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/membership_simulation.h"

namespace millethollow::membership {
namespace {

// Who takes a worker out or puts it back, at which of four nodes, cut in two or not; and is it out
// then?
TEST(MaintenanceRegistry, OutWinsUntilItIsCalledBackLater) {
  struct Call {
    std::size_t at;
    bool out;
  };
  struct Case {
    const char* what;
    std::vector<Call> before, cut, after;
    bool out;
  };
  const Case cases[] = {
      {"out", {{0, true}}, {}, {}, true},
      {"out and back elsewhere", {{0, true}, {3, false}}, {}, {}, false},
      {"out twice, one call back", {{0, true}, {1, true}, {2, false}}, {}, {}, false},
      {"back in the cut, by one who knew", {{0, true}}, {{3, false}}, {}, false},
      {"out and back on two sides", {}, {{0, true}, {3, false}}, {}, true},
      {"out again and back on two sides", {{0, true}}, {{0, true}, {3, false}}, {}, true},
      {"out on both sides, back on one", {}, {{0, true}, {3, true}, {3, false}}, {}, true},
      {"and called back later", {}, {{0, true}, {3, false}}, {{2, false}}, false},
  };
  for (const Case& c : cases) {
    MembershipSimulation simulation(5, {.members = 4, .voters = 3, .loss = 0.1});
    simulation.StartAll();
    simulation.RunUntil(5);
    const auto call = [&](const std::vector<Call>& calls) {
      for (const Call& each : calls) {
        simulation.Say(each.at, "w", each.out);
        simulation.RunUntil(simulation.now() + 2);
      }
    };
    call(c.before);
    if (!c.cut.empty()) simulation.Split({0, 0, 1, 1});
    call(c.cut);
    simulation.Heal();
    EXPECT_TRUE(simulation.RunUntil([&] { return simulation.FactsAgree(); }, 20)) << c.what;
    simulation.RunUntil(simulation.now() + 2);
    call(c.after);
    EXPECT_TRUE(simulation.RunUntil([&] { return simulation.FactsAgree(); }, 20)) << c.what;
    for (std::size_t i = 0; i < 4; ++i)
      EXPECT_EQ(simulation.Out(i, "w"), c.out) << c.what << " at " << i;
  }
}

TEST(MaintenanceRegistry, SurviveWhoSaidThemAndReachWhoStartsLater) {
  MembershipSimulation simulation(6, {.members = 4, .voters = 3});
  simulation.StartAll();
  simulation.RunUntil(5);
  for (int i = 0; i < 100; ++i) simulation.Say(0, "w" + std::to_string(i), true);
  simulation.RunUntil(simulation.now() + 0.5);
  simulation.Kill(0);
  simulation.Kill(1);
  simulation.RunUntil(simulation.now() + 5);
  simulation.Start(0);
  EXPECT_TRUE(
      simulation.RunUntil([&] { return simulation.node(0).cluster->maintenance().synced(); }, 2));
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(simulation.Out(0, "w" + std::to_string(i))) << i;
}

}  // namespace
}  // namespace millethollow::membership
