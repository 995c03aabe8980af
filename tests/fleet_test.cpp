// What only the sum over a large tier shows, on a virtual clock: no bench, no I/O.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <vector>

#include "floor.h"
#include "membership/call_pace.h"

namespace millethollow {
namespace {

// One server for all: serves call after call, each for `service_s`, and fails those that have
// waited `patience_s`, also the one it is serving, whose work is then lost.
struct Crowd {
  int served = 0, failed = 0;
  double all_served_at = -1;

  Crowd(int nodes, double service_s, double until) {
    constexpr double kPatienceS = 2.0, kStep = 0.002;
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<membership::CallPace> pace(static_cast<std::size_t>(nodes), {nodes, 10.0});
    std::vector<double> asks;  // when each does next; those that wait or are done: never
    for (const auto& p : pace) asks.push_back(p.AtStart(unit(random)));
    std::deque<std::pair<std::size_t, double>> queue;  // who, since when
    double busy_until = -1;
    for (double now = 0; now < until && all_served_at < 0; now += kStep) {
      for (std::size_t n = 0; n < asks.size(); ++n) {
        if (asks[n] > now) continue;
        asks[n] = 1e9;
        queue.emplace_back(n, now);
      }
      if (queue.empty()) continue;
      if (busy_until < 0) busy_until = now + service_s;
      if (now < busy_until) continue;
      const auto [node, since] = queue.front();
      queue.pop_front();
      busy_until = -1;
      if (now - since <= kPatienceS) {
        if (++served == nodes) all_served_at = now;
        continue;
      }
      ++failed;
      asks[node] = now + pace[node].AfterFailure(unit(random));
    }
  }
};

// Seventy nodes came back together and called again and again at a pace that discovery could not
// bear: every call waited until it failed, for the rest of the day.
TEST(Fleet, NodesThatReturnTogetherAllGetTheirList) {
  const Crowd slow(100, 0.08, 60);  // 12 calls a second
  EXPECT_GT(slow.all_served_at, 0);
  EXPECT_LT(slow.all_served_at, 30);
  EXPECT_LT(slow.failed, 200);
  // Seventy of them, as after a release: no call need fail where the first are spread enough.
  const Crowd some(70, 0.08, 60);
  EXPECT_LT(some.all_served_at, 8);
  EXPECT_LT(some.failed, 5);
  const Crowd quick(100, 0.005, 60);  // no need to keep away from a quick one
  EXPECT_GT(quick.all_served_at, 0);
  EXPECT_LT(quick.all_served_at, 7);
  EXPECT_EQ(quick.failed, 0);
}

TEST(Fleet, ListsAreAskedForWithinTheTimeAllowed) {
  membership::CallPace pace(100, 10.0);
  double wait = 0;
  for (int i = 0; i < 20; ++i) wait = pace.AfterFailure(1.0);
  EXPECT_LT(wait + 2, 40);  // four times as long after a failed call
  for (int i = 0; i < 20; ++i) EXPECT_LT(pace.AfterAnswer(1.0), 10);
  EXPECT_LT(pace.AfterAnswer(1.0), 1.6);  // and back to news that is soon heard
}

// Sixty nodes, and workers of two kinds that nobody told them of: half with 5 slots, half with 3
// that take 1.8 times as long. Together 80 seconds of work a second, and 52 are asked for.
struct Tier {
  static constexpr int kNodes = 60, kWorkers = 24;
  static constexpr double kAimS = 0.25, kStretch = 1.75;
  Floor floor;
  std::mt19937_64 random{9};
  std::map<int, std::vector<std::pair<double, double>>> work;  // sent to a worker: when, how much

  static decksail::Settings Settings() {
    decksail::Settings s;
    s.classes.resize(1);
    s.classes[0] = {.aim_s = kAimS, .stretch = kStretch, .give_up_s = 12};
    s.tenants = {{.share = 1, .quota_rps = 60}};
    s.tick_s = 0.005;
    s.most_tries = 4;
    s.kinds = 2;
    s.probing = s.tells_start = s.may_duplicate = true;
    s.report_source = decksail::ReportSource::kOnProbe;
    s.report_columns = {decksail::Column::kFreeSlots, decksail::Column::kFreeMemory};
    s.price_probe = 0.01;
    s.price_peer = 0.0081;
    s.drain_grace_s = 2;
    s.cold_share = 0.33;
    s.cold_s = 8.6;
    s.fall_multiple = 3;
    s.overload_for_s = 3;
    return s;
  }
  Tier() : floor(kNodes, Settings(), {}) {
    for (int w = 0; w < kWorkers; ++w) {
      const bool large = w % 2 == 0;
      floor.AddWorker({large ? 5.0 : 3.0, 100}, 6, false, large ? 0 : 1, large ? 1.0 : 1.8);
    }
    floor.now = 100;
    floor.Start();
  }
  // Jobs at random moments at random nodes, until `until`.
  void Serve(double until) {
    std::exponential_distribution<double> gap(52), run(1.0);
    std::uniform_int_distribution<std::size_t> node(0, kNodes - 1);
    while (floor.now < until) {
      floor.Run(floor.now + gap(random));
      floor.Ask(node(random), 0, {1, 1}, run(random), 12);
    }
    floor.Run(until + 12);
  }
  double InTime(double from, double until) const {
    int all = 0, good = 0;
    for (const auto& [id, a] : floor.asked) {
      if (a.at < from || a.at >= until) continue;
      all += 1;
      good += a.served && a.took_s <= kAimS + kStretch * a.run_s;
    }
    return static_cast<double>(good) / all;
  }
};

// Each node sees a job a second: by itself it can't tell the kinds apart, and too many jobs went to
// the slow workers while the able ones had room.
TEST(Fleet, ManyNodesLearnTogetherWhatEachKindCanDo) {
  Tier tier;
  tier.Serve(125);
  EXPECT_TRUE(tier.floor.faults.empty());
  EXPECT_GT(tier.InTime(105, 125), 0.9);
  EXPECT_LT(tier.floor.probes, 2 * tier.floor.asked.size());
}

// Parts of jobs can't add up over nodes that send a worker less than one in all its cold time: half
// the nodes sent a small job each at once, and nobody a large one.
TEST(Fleet, ColdWorkersAreInSumNeitherFloodedNorStarved) {
  Tier tier;
  std::map<int, double> born;
  tier.floor.At(106, [&] {
    for (int w = 0; w < Tier::kWorkers / 2; ++w) {
      tier.floor.members[static_cast<std::size_t>(w)].born_s = born[w] = 106;
      tier.floor.List(w, decksail::Readiness::kReady);
    }
  });
  tier.Serve(120);
  std::map<int, double> sent;  // while cold
  std::map<int, std::map<int, int>> seconds;  // jobs, of a second each on average
  for (const auto& [id, a] : tier.floor.asked) {
    if (a.at < 106 || a.at >= 106 + 8.6) continue;
    for (const int w : a.sent_to) {
      const bool large = w % 2 == 0;
      sent[w] += a.run_s * (large ? 1.0 : 1.8);
      seconds[w][static_cast<int>(a.at - 106)] += 1;
    }
  }
  double cold = 0, warm = 0;
  for (int w = 0; w < Tier::kWorkers; ++w) {
    (born.contains(w) ? cold : warm) += sent[w];
    if (!born.contains(w)) continue;
    const double rate = w % 2 == 0 ? 5 : 3 / 1.8;
    for (int from = 0; from + 3 <= 9; ++from) {
      int span = 0;
      for (int s = from; s < from + 3; ++s) span += seconds[w][s];
      const double chance = 3;
      EXPECT_LT(span, 3 * 3 * rate * (0.33 + 0.67 * from / 8.6) + chance) << w << " from " << from;
    }
  }
  EXPECT_GT(cold, 0.5 * warm);
  EXPECT_GT(tier.InTime(106, 118), 0.85);
}

// Reports come late in a large tier, and its rate rose a step with each: jobs were refused for ten
// seconds and more at workers that had room again.
TEST(Fleet, ATierWhoseWorkersAreBackSoonAdmitsAllAgain) {
  Tier tier;
  const auto list = [&](decksail::Readiness readiness) {
    for (int w = 0; w < 20; ++w) tier.floor.List(w, readiness);
  };
  tier.floor.At(104, [&] { list(decksail::Readiness::kDraining); });
  tier.floor.At(110, [&] { list(decksail::Readiness::kReady); });
  tier.Serve(122);
  int during = 0, after = 0, asked = 0;
  for (const auto& [id, a] : tier.floor.asked) {
    during += a.refused && a.at > 105 && a.at < 110;
    asked += a.at > 114;
    after += a.refused && a.at > 114;
  }
  EXPECT_GT(during, 50);  // a sixth of the workers can't serve them all
  EXPECT_LT(after, 0.03 * asked);
}

// A zone was lost, and the queues of all other workers filled with work that ended late, for ten
// seconds after the zone was back.
TEST(Fleet, AFullTierRefusesAtOnceInsteadOfFillingEveryQueue) {
  Tier tier;
  tier.floor.At(104, [&] {
    for (int w = 0; w < 16; ++w) tier.floor.List(w, decksail::Readiness::kDraining);
  });
  tier.Serve(116);
  int served = 0, late = 0;
  for (const auto& [id, a] : tier.floor.asked) {
    if (a.at < 107 || !a.served) continue;
    served += 1;
    late += a.took_s > Tier::kAimS + Tier::kStretch * a.run_s;
  }
  EXPECT_GT(served - late, 100);
  EXPECT_LT(late, 0.4 * served);
}

// What peers have learned comes with their reports: one that is cut, of another form, or from nobody
// in the tier teaches nothing and is not answered.
TEST(Fleet, DamagedAndForeignReportsAreIgnored) {
  decksail::Settings s = Tier::Settings();
  s.dispatchers = 100;
  s.peers = true;
  const auto told = [](decksail::Balancer& node, double now, const decksail::Event& event) {
    std::vector<std::string> bodies;
    decksail::Actions actions;
    node.Handle(now, event, &actions);
    for (const decksail::Action& a : actions) {
      if (const auto* tell = std::get_if<decksail::TellPeer>(&a)) bodies.push_back(tell->body);
    }
    return bodies;
  };
  decksail::Balancer hears(s, 1);
  s.ordinal = 1;
  decksail::Balancer tells(s, 2);
  for (decksail::Balancer* node : {&hears, &tells}) told(*node, 100, decksail::Started{});
  told(hears, 105, decksail::TimerFired{1});
  const auto reports = told(tells, 105, decksail::TimerFired{1});
  ASSERT_FALSE(reports.empty());
  const std::string good = reports[0];
  ASSERT_LE(good.size(), 256u);
  const std::size_t fixed = 9 + 4 * static_cast<std::size_t>(static_cast<unsigned char>(good[3]));
  for (std::size_t n = 0; n < fixed; ++n) {
    EXPECT_TRUE(told(hears, 106, decksail::PeerMessage{1, good.substr(0, n)}).empty()) << n;
  }
  std::string older = good;  // fewer figures, as the program before this one sends
  older[3] = static_cast<char>(older[3] - 7);
  EXPECT_TRUE(told(hears, 106, decksail::PeerMessage{1, older}).empty());
  EXPECT_TRUE(told(hears, 106, decksail::PeerMessage{100, good}).empty());
  EXPECT_FALSE(told(hears, 106, decksail::PeerMessage{1, good}).empty());  // it asks, having none yet
}

}  // namespace
}  // namespace millethollow
