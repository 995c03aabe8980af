// Fleet shares in a simulated cluster with random faults. SEEDS in the environment sets the number
// of runs.
#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "balancing/agreed_share.h"
#include "support/membership_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::membership {
namespace {

std::uint64_t Seeds(std::uint64_t default_count) { return FromEnvironment("SEEDS", default_count); }

// Dispatchers scale their fleet shares by the demand that they report to each other, over links
// that fail as those of membership do. Whatever links are cut and processes killed or paused, the
// shares must not sum to more than 1: dispatchers would otherwise overload the fleet together.
TEST(FleetShareSimulation, SharesByDemandNeverSumToMoreThanOne) {
  constexpr double kReportS = 0.25, kStaleS = 6 * kReportS;
  std::size_t by_demand = 0;
  for (std::uint64_t seed = 1; seed <= Seeds(100); ++seed) {
    const std::size_t size = 3 + seed % 3;
    MembershipSimulation simulation(
        seed, {.members = size, .voters = 3, .loss = seed % 2 == 0 ? 0.1 : 0});
    Random faults(seed * 31 + 7);
    struct Dispatcher {
      balancing::AgreedShare agreed;
      double demand = 0, share = 0;
      std::vector<double> report_arrived_at, reported_demand;
      std::vector<bool> receives_from_all;
      std::vector<std::uint8_t> view;
      double last_run_at = 0;
    };
    const auto update_share = [&simulation](std::size_t i, Dispatcher* dispatcher) {
      const bool stopped =
          simulation.now() - dispatcher->last_run_at > balancing::AgreedShare::kStoppedS;
      dispatcher->last_run_at = simulation.now();
      const int members =
          simulation.HoldsLease(i) ? static_cast<int>(simulation.ViewOf(i).members.size()) : 0;
      dispatcher->agreed.Set(
          {simulation.FleetShare(i), members, simulation.ViewOf(i).epoch, stopped});
    };
    std::vector<Dispatcher> dispatchers(size);
    for (Dispatcher& dispatcher : dispatchers) {
      dispatcher.demand = 1 + 20 * faults.Unit() * faults.Unit();
      dispatcher.report_arrived_at.assign(size, -1e9);
      dispatcher.reported_demand.assign(size, 0);
      dispatcher.receives_from_all.assign(size, false);
      dispatcher.view.assign(size, 0);
    }
    simulation.StartAll();
    for (int step = 0; step < 240; ++step) {
      for (std::size_t i = 0; i < size; ++i) {
        simulation.RunUntil(simulation.now() + kReportS / static_cast<double>(size));
        if (!simulation.up(i))
          dispatchers[i] = {{},
                            dispatchers[i].demand,
                            0,
                            std::vector<double>(size, -1e9),
                            std::vector<double>(size, 0),
                            std::vector<bool>(size, false),
                            std::vector<std::uint8_t>(size, 0),
                            0};
        if (!simulation.IsRunning(i)) continue;
        Dispatcher& dispatcher = dispatchers[i];
        update_share(i, &dispatcher);
        for (std::size_t to = 0; to < size; ++to) {
          if (to == i || !simulation.IsRunning(to) || !simulation.IsLinkUp(i, to) ||
              faults.Unit() < 0.05)
            continue;
          dispatchers[to].report_arrived_at[i] = simulation.now();
          dispatchers[to].reported_demand[i] = dispatcher.demand;
          dispatchers[to].receives_from_all[i] = dispatcher.agreed.receives_all();
          dispatchers[to].view[i] = dispatcher.agreed.view();
        }
        double total_demand = dispatcher.demand;
        int received = 0;
        bool others_receive = true;
        for (std::size_t peer = 0; peer < size; ++peer) {
          if (peer == i || simulation.now() - dispatcher.report_arrived_at[peer] >= kStaleS)
            continue;
          if (dispatcher.view[peer] == 0 || dispatcher.view[peer] != dispatcher.agreed.view())
            continue;
          received += 1;
          others_receive = others_receive && dispatcher.receives_from_all[peer];
          total_demand += dispatcher.reported_demand[peer];
        }
        const auto fleet =
            dispatcher.agreed.TierRates(simulation.now(), 8 * kReportS, {dispatcher.demand},
                                        {total_demand}, received, others_receive);
        dispatcher.share = dispatcher.demand / fleet[0];
        by_demand += std::abs(dispatcher.share - simulation.FleetShare(i)) > 0.01;
      }
      double share_sum = 0;
      std::string description;
      for (std::size_t i = 0; i < size; ++i) {
        if (!simulation.IsRunning(i)) continue;
        description += "\n" + std::to_string(i + 1) + " share " +
                       std::to_string(dispatchers[i].share) + " of demand " +
                       std::to_string(dispatchers[i].demand) + " receives from all " +
                       std::to_string(dispatchers[i].agreed.receives_all());
        // When a lease ends between two reports, the share must end with it.
        update_share(i, &dispatchers[i]);
        dispatchers[i].share *= dispatchers[i].agreed.Factor(0);
        share_sum += dispatchers[i].share;
      }
      ASSERT_LE(share_sum, 1 + 1e-9)
          << "seed " << seed << " at " << simulation.now() << description << simulation.Describe();
      if (step % 8 != 7) continue;
      simulation.InjectRandomFault(&faults, 6);
    }
  }
  EXPECT_GT(by_demand, 1000U) << "too few shares depended on demand";
}

}  // namespace
}  // namespace millethollow::membership
