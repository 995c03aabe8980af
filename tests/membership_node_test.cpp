// Shares of the fleet on a virtual clock. SEEDS in the environment plays more days than CI does.
#include <gtest/gtest.h>

#include <cmath>
#include <string>
#include <vector>

#include "balancing/agreed_share.h"
#include "support/days.h"
#include "support/membership_world.h"

namespace millethollow::membership {
namespace {

std::uint64_t Seeds(std::uint64_t usual) { return FromEnvironment("SEEDS", usual); }

// The real parts of real members, and the real reckoning of shares from what dispatchers report to
// each other over the same cut links: whatever is cut, killed or stopped, the shares never make
// more than one.
TEST(PartDays, SharesByDemandNeverComeToMoreThanTheWhole) {
  constexpr double kReportS = 0.25, kStaleS = 6 * kReportS;
  std::size_t by_demand = 0;
  for (std::uint64_t seed = 1; seed <= Seeds(100); ++seed) {
    const std::size_t n = 3 + seed % 3;
    World w(seed, {.members = n, .voters = 3, .loss = seed % 2 == 0 ? 0.1 : 0});
    Random faults(seed * 31 + 7);
    struct Dispatcher {
      balancing::AgreedShare agreed;
      double demand = 0, share = 0;
      std::vector<double> heard_at, told;
      std::vector<bool> hears_all;
      std::vector<std::uint8_t> view;
      double ran_at = 0;
    };
    const auto agree = [&w](std::size_t i, Dispatcher* d) {
      const bool stopped = w.now() - d->ran_at > balancing::AgreedShare::kStoppedS;
      d->ran_at = w.now();
      const int members = w.Leased(i) ? static_cast<int>(w.ViewOf(i).members.size()) : 0;
      d->agreed.Set({w.Part(i), members, w.ViewOf(i).epoch, stopped});
    };
    std::vector<Dispatcher> all(n);
    for (Dispatcher& d : all) {
      d.demand = 1 + 20 * faults.Unit() * faults.Unit();
      d.heard_at.assign(n, -1e9);
      d.told.assign(n, 0);
      d.hears_all.assign(n, false);
      d.view.assign(n, 0);
    }
    w.StartAll();
    for (int step = 0; step < 240; ++step) {
      for (std::size_t i = 0; i < n; ++i) {
        w.RunUntil(w.now() + kReportS / static_cast<double>(n));
        if (!w.up(i))
          all[i] = {{},
                    all[i].demand,
                    0,
                    std::vector<double>(n, -1e9),
                    std::vector<double>(n, 0),
                    std::vector<bool>(n, false),
                    std::vector<std::uint8_t>(n, 0),
                    0};
        if (!w.Runs(i)) continue;
        Dispatcher& d = all[i];
        agree(i, &d);
        for (std::size_t to = 0; to < n; ++to) {
          if (to == i || !w.Runs(to) || !w.Hears(i, to) || faults.Unit() < 0.05) continue;
          all[to].heard_at[i] = w.now();
          all[to].told[i] = d.demand;
          all[to].hears_all[i] = d.agreed.receives_all();
          all[to].view[i] = d.agreed.view();
        }
        double sum = d.demand;
        int heard = 0;
        bool others_hear = true;
        for (std::size_t p = 0; p < n; ++p) {
          if (p == i || w.now() - d.heard_at[p] >= kStaleS) continue;
          if (d.view[p] == 0 || d.view[p] != d.agreed.view()) continue;
          heard += 1;
          others_hear = others_hear && d.hears_all[p];
          sum += d.told[p];
        }
        const auto fleet =
            d.agreed.TierRates(w.now(), 8 * kReportS, {d.demand}, {sum}, heard, others_hear);
        d.share = d.demand / fleet[0];
        by_demand += std::abs(d.share - w.Part(i)) > 0.01;
      }
      double shares = 0;
      std::string told;
      for (std::size_t i = 0; i < n; ++i) {
        if (!w.Runs(i)) continue;
        told += "\n" + std::to_string(i + 1) + " share " + std::to_string(all[i].share) +
                " of demand " + std::to_string(all[i].demand) + " hears all " +
                std::to_string(all[i].agreed.receives_all());
        // A lease that ends between two reports ends the share with it, as Balancer::Agree has it.
        agree(i, &all[i]);
        all[i].share *= all[i].agreed.Factor(0);
        shares += all[i].share;
      }
      ASSERT_LE(shares, 1 + 1e-9) << "seed " << seed << " at " << w.now() << told << w.Told();
      if (step % 8 != 7) continue;
      w.Fault(&faults, 6);
    }
  }
  EXPECT_GT(by_demand, 1000U) << "or nothing was shown of that";
}

}  // namespace
}  // namespace millethollow::membership
