// Membership on a virtual clock. SEEDS in the environment plays more days than CI does.
#include <gtest/gtest.h>

#include <cstdlib>

#include "balancing/agreed_share.h"
#include "net/cluster/frame.h"
#include "support/days.h"
#include "support/membership_world.h"

namespace millethollow::membership {
namespace {

std::uint64_t Seeds(std::uint64_t usual) { return FromEnvironment("SEEDS", usual); }

// A day of faults from a seed: kills, emptied folders, stops, cuts of every form, losses, slow
// disks. At its end all is healed, and the members must come together again.
struct Day {
  explicit Day(std::uint64_t seed, Planted planted = {}, double length_s = 60)
      : faults(seed * 7919 + 1),
        world(seed, {.members = 3 + seed % 5,
                     .voters = 3 + seed % 5 >= 5 && seed % 2 == 0 ? 5UL : 3UL,
                     .loss = seed % 3 == 0 ? 0.1 : 0.0,
                     .doubled = 0.02,
                     .planted = planted}) {
    voters = 3 + seed % 5 >= 5 && seed % 2 == 0 ? 5 : 3;
    world.StartAll();
    while (world.now() < length_s && world.broken().empty()) {
      world.RunUntil(world.now() + 2.5 * faults.Unit());
      Fault();
    }
    if (!world.broken().empty()) return;
    world.Heal();
    world.SetLoss(0);
    world.StartAll();
    whole = world.RunUntil([this] { return world.Whole() && world.FactsAgree(); }, 60);
  }
  std::size_t Any() { return faults.Below(world.size()); }
  bool Remembers(std::size_t i) {  // also after a kill
    return world.up(i) && world.node(i).cluster->agreement().voter().voting() &&
           world.node(i).disk.storage_identity ==
               world.node(i).cluster->agreement().voter_state().storage_identity;
  }
  // One voter at most may be without its memory: a majority that lost it can't be made good.
  void EmptyFolder(std::size_t i) {
    for (std::size_t v = 0; v < voters; ++v) {
      if (v != i && !Remembers(v)) return;
    }
    world.Kill(i);
    world.Wipe(i);
  }
  void Fault() {
    switch (faults.Below(13)) {
      case 12:
        return world.Say(Any(), "w" + std::to_string(faults.Below(30)), faults.Below(3) > 0);
      case 0:
      case 1:
        return world.Kill(Any());
      case 2:
        return EmptyFolder(Any());
      case 3:
      case 4:
        return world.StartAll();
      case 5:
        return world.Pause(Any(), 8 * faults.Unit());
      case 6: {
        std::vector<int> group;
        for (std::size_t i = 0; i < world.size(); ++i)
          group.push_back(static_cast<int>(faults.Below(3)));
        return world.Split(group);
      }
      case 7:
        return world.Cut(Any(), Any(), true);
      case 8:
        return world.CutBoth(Any(), Any(), true);
      case 9:
        return world.SetLoss(faults.Below(2) == 0 ? 0.2 : 0);
      case 10:
        world.node(Any()).write_s = faults.Below(2) == 0 ? 0.3 : 0.001;
        return;
      default:
        world.Heal();
    }
  }
  Random faults;
  std::size_t voters = 3;
  World world;
  bool whole = false;
};

TEST(AgreementDays, KeepEveryPromiseAndComeTogetherAgain) {
  for (std::uint64_t seed = FromEnvironment("SEED", 1); seed <= Seeds(150); ++seed) {
    Day day(seed);
    ASSERT_TRUE(day.world.broken().empty())
        << "seed " << seed << " " << day.world.broken()[0] << day.world.Told();
    ASSERT_TRUE(day.whole) << "seed " << seed << " does not come together" << day.world.Told();
  }
  // Days that found a fault once (docs/design/membership.md).
  for (const std::uint64_t seed : {371U, 451U, 646U, 662U, 2878U, 5164U, 8263U}) {
    const Day day(seed);
    EXPECT_TRUE(day.whole) << "seed " << seed << " " << day.world.Told();
  }
}

std::uint64_t FoundAt(const Planted& planted, std::uint64_t most) {
  return FirstSeed(most, [&](std::uint64_t seed) { return Day(seed, planted).world.broken(); });
}

TEST(AgreementDays, FindPlantedFaults) {
  const std::uint64_t vote = FoundAt({.vote_not_kept = true}, 400);
  const std::uint64_t lease = FoundAt({.lease_by_wall_clock = true}, 100);
  EXPECT_NE(vote, 0U) << "a vote that is not kept";
  EXPECT_NE(lease, 0U) << "a lease by a clock that does not count pauses";
  RecordProperty("vote_not_kept", static_cast<int>(vote));
  RecordProperty("lease_by_wall_clock", static_cast<int>(lease));
}

// Three voters, two of whom stand at once over a view that only the first had accepted before all
// were started again: every order of the first `depth` events (a message comes, a write is done),
// and after each of them the rest as it comes. Copies of the real decisions, so nothing is played
// twice.
struct Orders {
  struct Flight {
    NodeId to = 0, from = 0;
    AgreementMessage message;
  };
  struct State {
    std::vector<ViewAgreement> nodes;
    std::vector<Flight> flight;
    std::vector<std::vector<std::uint64_t>> writes;
    double now = 10;
  };
  std::uint64_t orders = 0, wrong = 0;
  std::size_t most_choices = 0;

  void Carry(State* s, std::size_t i, ViewAgreement::Actions* a) {
    for (OutgoingMessage& sent : a->send)
      s->flight.push_back({sent.to, i + 1, std::move(sent.message)});
    if (a->write) s->writes[i].push_back(a->ticket);
  }
  void Deliver(State* s, std::size_t at) {
    const Flight f = s->flight[at];
    s->flight.erase(s->flight.begin() + static_cast<std::ptrdiff_t>(at));
    ViewAgreement::Actions a;
    s->nodes[f.to - 1].OnMessage(s->now, f.from, 10 + f.from, f.message, &a);
    Carry(s, f.to - 1, &a);
  }
  void Store(State* s, std::size_t i) {
    ViewAgreement::Actions a;
    const std::uint64_t ticket = s->writes[i].front();
    s->writes[i].erase(s->writes[i].begin());
    s->nodes[i].OnStored(s->now, ticket, &a);
    Carry(s, i, &a);
  }
  void Tick(State* s, std::size_t i) {
    ViewAgreement::Actions a;
    s->nodes[i].Tick(s->now, &a);
    Carry(s, i, &a);
  }
  void Settle(State* s) {  // all that is under way, in the order that it was sent
    for (int n = 0; n < 400; ++n) {
      std::size_t i = 0;
      while (i < 3 && s->writes[i].empty()) ++i;
      if (i < 3) {
        Store(s, i);
      } else if (!s->flight.empty()) {
        Deliver(s, 0);
      } else {
        return;
      }
    }
  }
  bool Sound(const State& s) {
    for (const ViewAgreement& a : s.nodes) {
      if (a.counters().conflicts > 0) return false;
      for (const ViewAgreement& b : s.nodes) {
        for (const View* v : {&b.view(), &b.leader().decided()}) {
          if (v->epoch > 0 && v->epoch == a.view().epoch && *v != a.view()) return false;
        }
      }
    }
    return true;
  }
  State Begin() {
    State s;
    s.writes.resize(3);
    const View old{.epoch = 1, .members = {{1, 1, "p", 1}, {2, 2, "p", 1}}, .settled_epoch = 0};
    for (NodeId id = 1; id <= 3; ++id) {
      PersistentVoterState votes{.promised = {1, 1},
                                 .accepted_by = {},
                                 .accepted = {},
                                 .storage_identity = {1, id},
                                 .storage_identities = {},
                                 .writes = 2};
      for (NodeId other = 1; other <= 3; ++other) {
        if (other != id) votes.storage_identities.emplace_back(other, StorageIdentity{1, other});
      }
      if (id == 1) {
        votes.accepted_by = {1, 1};
        votes.accepted = old;
      }
      s.nodes.emplace_back(ViewAgreement::Options{.self = id,
                                                  .process_incarnation = 10 + id,
                                                  .voters = {1, 2, 3},
                                                  .members = {{1, "p"}, {2, "p"}, {3, "p"}},
                                                  .timings = {}},
                           votes, id, s.now);
    }
    for (std::size_t i = 0; i < 3; ++i) Tick(&s, i);
    Settle(&s);
    s.now += 3;  // by now each misses a leader
    for (const std::size_t i : {0UL, 1UL}) Tick(&s, i);
    // Both have asked around and stand: what is under way now are their ballots.
    for (std::size_t at = 0; at < s.flight.size();) {
      const auto kind = s.flight[at].message.kind;
      const bool asks =
          kind == AgreementMessage::Kind::kMiss || kind == AgreementMessage::Kind::kMissed;
      asks ? Deliver(&s, at) : void(++at);
      if (asks) at = 0;
    }
    for (const std::size_t i : {0UL, 1UL}) {
      while (!s.writes[i].empty()) Store(&s, i);
    }
    std::erase_if(s.flight, [](const Flight& f) {
      return f.message.kind != AgreementMessage::Kind::kPrepare;
    });
    return s;
  }
  void Explore(const State& from, int depth) {
    const std::size_t messages = from.flight.size();
    if (depth == 0) {
      State s = from;
      for (int step = 0; step < 120 && Sound(s); ++step) {
        Settle(&s);
        s.now += 0.05;
        for (std::size_t i = 0; i < 3; ++i) Tick(&s, i);
      }
      orders += 1;
      wrong += !Sound(s) || s.nodes[0].view().epoch == 0;
      return;
    }
    most_choices = std::max(most_choices, messages);
    for (std::size_t c = 0; c < messages + 3; ++c) {
      if (c >= messages && from.writes[c - messages].empty()) continue;
      State next = from;
      c < messages ? Deliver(&next, c) : Store(&next, c - messages);
      wrong += !Sound(next);
      Explore(next, depth - 1);
    }
  }
};

TEST(AgreementOrders, EveryOrderOfTheFirstEventsOfTwoWhoStandAtOnce) {
  Orders o;
  o.Explore(o.Begin(), static_cast<int>(FromEnvironment("DEPTH", 6)));
  EXPECT_EQ(o.wrong, 0U);
  EXPECT_GT(o.orders, 100U);
  std::printf("%lu orders, up to %zu messages to choose from\n", o.orders, o.most_choices);
}

// Members that never stop, on links that lose datagrams: whoever is called failed is called so
// falsely.
std::uint64_t FalseFailures(std::uint64_t seed, std::size_t members, double loss, double span_s,
                            Planted planted = {}) {
  World w(seed, {.members = members, .voters = 3, .loss = loss, .planted = planted});
  w.StartAll();
  w.RunUntil(span_s);
  return w.failures_said;
}

TEST(DetectorDays, OneDatagramInFiveLostFailsNobody) {
  for (std::uint64_t seed = 1; seed <= Seeds(20); ++seed) {
    EXPECT_EQ(FalseFailures(seed, 5, 0.2, 60), 0U) << "seed " << seed;
  }
}

TEST(DetectorDays, FindARefutationThatIsIgnored) {
  EXPECT_NE(FirstSeed(100,
                      [](std::uint64_t seed) {
                        const bool found =
                            FalseFailures(seed, 5, 0.2, 60, {.refutation_ignored = true}) > 0;
                        return std::vector<std::string>(found ? 1 : 0,
                                                        "a member is called failed falsely");
                      }),
            0U);
}

TEST(DetectorDays, BrokenLinksAndShortStopsFailNobody) {
  for (std::uint64_t seed = 1; seed <= Seeds(20); ++seed) {
    World w(seed, {.members = 5, .voters = 3});
    w.StartAll();
    w.RunUntil(5);
    w.CutBoth(0, 1, true);
    w.Cut(2, 3, true);
    for (int i = 0; i < 20; ++i) {
      w.RunUntil(w.now() + 1);
      w.Pause(4, 0.5);
    }
    EXPECT_EQ(w.failures_said, 0U) << "seed " << seed;
    EXPECT_EQ(w.broken(), std::vector<std::string>{});
  }
}

// As the program sends it: the frame, and the heads of UDP and IP.
std::size_t OnTheWire(const Frame& frame) { return 28 + cluster::Encode({}, frame).size(); }

struct Spread {
  std::vector<double> first, all;   // from the kill to 'failed' at one, and at all others
  double datagrams = 0, bytes = 0;  // of the detector, a member and second, before the kill
};

Spread Killed(std::size_t members, double loss, std::uint64_t seeds) {
  Spread spread;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    World w(seed, {.members = members, .voters = 3, .loss = loss, .check = members <= 10});
    w.size_of = OnTheWire;
    double at = 0;
    std::size_t said = 0;
    w.on_change = [&](std::size_t, const HealthChange& c) {
      if (c.member != members || c.health != Health::kFailed) return;
      if (++said == 1) spread.first.push_back(w.now() - at);
    };
    w.StartAll();
    w.RunUntil(5);
    std::uint64_t datagrams = 0, bytes = 0;
    for (std::size_t i = 0; i < members; ++i) {
      datagrams -= w.node(i).datagrams;
      bytes -= w.node(i).bytes;
    }
    w.RunUntil(10 + w.random().Unit());
    for (std::size_t i = 0; i < members; ++i) {
      datagrams += w.node(i).datagrams;
      bytes += w.node(i).bytes;
    }
    const double member_seconds = static_cast<double>(members) * (w.now() - 5);
    spread.datagrams +=
        static_cast<double>(datagrams) / member_seconds / static_cast<double>(seeds);
    spread.bytes += static_cast<double>(bytes) / member_seconds / static_cast<double>(seeds);
    at = w.now();
    w.Kill(members - 1);
    const bool all = w.RunUntil(
        [&] {
          for (std::size_t i = 0; i + 1 < members; ++i) {
            if (w.HealthAt(i, members - 1) != Health::kFailed) return false;
          }
          return true;
        },
        20);
    spread.all.push_back(all ? w.now() - at : 20);
  }
  std::sort(spread.first.begin(), spread.first.end());
  std::sort(spread.all.begin(), spread.all.end());
  return spread;
}

double At(const std::vector<double>& sorted, double share) {
  return sorted.empty()
             ? -1
             : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

TEST(DetectorDays, AKilledMemberIsFailedAtAllWithinThreeSeconds) {
  const Spread five = Killed(5, 0.05, Seeds(40));
  EXPECT_LT(At(five.all, 1), 3.0);
}

// Figures for docs/design/membership.md: make cluster-figures.
TEST(DetectorFigures, DISABLED_Print) {
  for (const std::size_t n : {5UL, 10UL, 100UL, 1000UL}) {
    const Spread s = Killed(n, 0, n >= 1000 ? 10 : 100);
    std::printf(
        "%4zu members: kill to failed at one p50 %.2f p99 %.2f s, at all p50 %.2f p99 %.2f s; "
        "%.1f datagrams, %.0f bytes a member and second\n",
        n, At(s.first, 0.5), At(s.first, 0.99), At(s.all, 0.5), At(s.all, 0.99), s.datagrams,
        s.bytes);
    std::fflush(stdout);
  }
  for (const std::size_t n : {10UL, 100UL, 1000UL}) {
    std::vector<double> heal, news;
    for (std::uint64_t seed = 1; seed <= (n >= 1000 ? 5 : 50); ++seed) {
      World w(seed, {.members = n, .voters = 5, .check = n <= 10});
      w.StartAll();
      const auto takes = [&w](auto done) {  // looked at each 10 ms: that is dear for a thousand
        const double began = w.now();
        while (!done() && w.now() < began + 60) w.RunUntil(w.now() + 0.01);
        return w.now() - began;
      };
      const auto whole = [&w] { return w.Whole(); };
      takes(whole);
      w.Say(n - 1, "w", true);
      news.push_back(takes([&w] { return w.FactsAgree(); }));
      std::vector<int> side(n, 0);  // two voters and two in five of the members are cut off
      for (std::size_t i = 0; i < n; ++i) side[i] = i == 3 || i == 4 || i >= n - 2 * n / 5 + 2;
      w.Split(side);
      w.RunUntil(w.now() + 15);
      w.Heal();
      heal.push_back(takes(whole));
    }
    std::sort(heal.begin(), heal.end());
    std::sort(news.begin(), news.end());
    std::printf(
        "%4zu members: word of a worker out to all p50 %.2f p99 %.2f s; from heal to one view p50 "
        "%.2f p99 %.2f s\n",
        n, At(news, 0.5), At(news, 0.99), At(heal, 0.5), At(heal, 0.99));
    std::fflush(stdout);
  }
  for (const double loss : {0.0, 0.05, 0.2}) {
    std::uint64_t calls = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) calls += FalseFailures(seed, 5, loss, 180);
    std::printf("loss %.2f: %lu false failures in an hour of five members\n", loss, calls);
    std::fflush(stdout);
  }
}

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
          all[to].hears_all[i] = d.agreed.hears_all();
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
                std::to_string(all[i].agreed.hears_all());
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

// Who takes a worker out or puts it back, at which of four nodes, cut in two or not; and is it out
// then?
TEST(Facts, OutWinsUntilItIsCalledBackLater) {
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
    World w(5, {.members = 4, .voters = 3, .loss = 0.1});
    w.StartAll();
    w.RunUntil(5);
    const auto call = [&](const std::vector<Call>& calls) {
      for (const Call& each : calls) {
        w.Say(each.at, "w", each.out);
        w.RunUntil(w.now() + 2);
      }
    };
    call(c.before);
    if (!c.cut.empty()) w.Split({0, 0, 1, 1});
    call(c.cut);
    w.Heal();
    EXPECT_TRUE(w.RunUntil([&] { return w.FactsAgree(); }, 20)) << c.what;
    w.RunUntil(w.now() + 2);
    call(c.after);
    EXPECT_TRUE(w.RunUntil([&] { return w.FactsAgree(); }, 20)) << c.what;
    for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(w.Out(i, "w"), c.out) << c.what << " at " << i;
  }
}

TEST(Facts, SurviveWhoSaidThemAndReachWhoStartsLater) {
  World w(6, {.members = 4, .voters = 3});
  w.StartAll();
  w.RunUntil(5);
  for (int i = 0; i < 100; ++i) w.Say(0, "w" + std::to_string(i), true);
  w.RunUntil(w.now() + 0.5);
  w.Kill(0);
  w.Kill(1);
  w.RunUntil(w.now() + 5);
  w.Start(0);
  EXPECT_TRUE(w.RunUntil([&] { return w.node(0).cluster->maintenance().synced(); }, 2));
  for (int i = 0; i < 100; ++i) EXPECT_TRUE(w.Out(0, "w" + std::to_string(i))) << i;
}

TEST(ViewAgreement, AllStartInAnyOrderAndFoundOneView) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    World w(seed, {.members = 5, .voters = 3});
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    for (std::size_t i = 5; i > 1; --i) std::swap(order[i - 1], order[w.random().Below(i)]);
    for (const std::size_t i : order) {
      w.RunUntil(w.now() + 2 * w.random().Unit());
      w.Start(i);
    }
    EXPECT_TRUE(w.RunUntil([&] { return w.Whole(); }, 10)) << "seed " << seed;
    EXPECT_EQ(w.broken(), std::vector<std::string>{});
  }
}

}  // namespace
}  // namespace millethollow::membership
