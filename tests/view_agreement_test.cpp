// View agreement on a virtual clock. SEEDS in the environment plays more days than CI does.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "support/days.h"
#include "support/membership_simulation.h"

namespace millethollow::membership {
namespace {

std::uint64_t Seeds(std::uint64_t usual) { return FromEnvironment("SEEDS", usual); }

// A day of faults from a seed: kills, emptied folders, stops, cuts of every form, losses, slow
// disks. At its end all is healed, and the members must come together again.
struct Day {
  explicit Day(std::uint64_t seed, Planted planted = {}, double length_s = 60)
      : faults(seed * 7919 + 1),
        simulation(seed, {.members = 3 + seed % 5,
                          .voters = 3 + seed % 5 >= 5 && seed % 2 == 0 ? 5UL : 3UL,
                          .loss = seed % 3 == 0 ? 0.1 : 0.0,
                          .doubled = 0.02,
                          .planted = planted}) {
    voters = 3 + seed % 5 >= 5 && seed % 2 == 0 ? 5 : 3;
    simulation.StartAll();
    while (simulation.now() < length_s && simulation.broken().empty()) {
      simulation.RunUntil(simulation.now() + 2.5 * faults.Unit());
      Fault();
    }
    if (!simulation.broken().empty()) return;
    simulation.Heal();
    simulation.SetLoss(0);
    simulation.StartAll();
    whole =
        simulation.RunUntil([this] { return simulation.Whole() && simulation.FactsAgree(); }, 60);
  }
  std::size_t Any() { return faults.Below(simulation.size()); }
  bool Remembers(std::size_t i) {  // also after a kill
    return simulation.up(i) && simulation.node(i).cluster->agreement().voter().voting() &&
           simulation.node(i).disk.storage_identity ==
               simulation.node(i).cluster->agreement().voter_state().storage_identity;
  }
  // One voter at most may be without its memory: a majority that lost it can't be made good.
  void EmptyFolder(std::size_t i) {
    for (std::size_t v = 0; v < voters; ++v) {
      if (v != i && !Remembers(v)) return;
    }
    simulation.Kill(i);
    simulation.Wipe(i);
  }
  void Fault() {
    switch (faults.Below(13)) {
      case 12:
        return simulation.Say(Any(), "w" + std::to_string(faults.Below(30)), faults.Below(3) > 0);
      case 0:
      case 1:
        return simulation.Kill(Any());
      case 2:
        return EmptyFolder(Any());
      case 3:
      case 4:
        return simulation.StartAll();
      case 5:
        return simulation.Pause(Any(), 8 * faults.Unit());
      case 6: {
        std::vector<int> group;
        for (std::size_t i = 0; i < simulation.size(); ++i)
          group.push_back(static_cast<int>(faults.Below(3)));
        return simulation.Split(group);
      }
      case 7:
        return simulation.Cut(Any(), Any(), true);
      case 8:
        return simulation.CutBoth(Any(), Any(), true);
      case 9:
        return simulation.SetLoss(faults.Below(2) == 0 ? 0.2 : 0);
      case 10:
        simulation.node(Any()).write_s = faults.Below(2) == 0 ? 0.3 : 0.001;
        return;
      default:
        simulation.Heal();
    }
  }
  Random faults;
  std::size_t voters = 3;
  MembershipSimulation simulation;
  bool whole = false;
};

TEST(AgreementDays, KeepEveryPromiseAndComeTogetherAgain) {
  for (std::uint64_t seed = FromEnvironment("SEED", 1); seed <= Seeds(150); ++seed) {
    Day day(seed);
    ASSERT_TRUE(day.simulation.broken().empty())
        << "seed " << seed << " " << day.simulation.broken()[0] << day.simulation.Told();
    ASSERT_TRUE(day.whole) << "seed " << seed << " does not come together" << day.simulation.Told();
  }
  // Days that found a fault once (docs/design/membership.md).
  for (const std::uint64_t seed : {371U, 451U, 646U, 662U, 2878U, 5164U, 8263U}) {
    const Day day(seed);
    EXPECT_TRUE(day.whole) << "seed " << seed << " " << day.simulation.Told();
  }
}

std::uint64_t FoundAt(const Planted& planted, std::uint64_t most) {
  return FirstSeed(most,
                   [&](std::uint64_t seed) { return Day(seed, planted).simulation.broken(); });
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
                                 .known_identities = {},
                                 .writes = 2};
      for (NodeId other = 1; other <= 3; ++other) {
        if (other != id) votes.known_identities.push_back({other, {1, other}});
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
      const AgreementMessage& message = s.flight[at].message;
      const bool asks = std::holds_alternative<LeaderLossQuery>(message) ||
                        std::holds_alternative<LeaderLossReply>(message);
      asks ? Deliver(&s, at) : void(++at);
      if (asks) at = 0;
    }
    for (const std::size_t i : {0UL, 1UL}) {
      while (!s.writes[i].empty()) Store(&s, i);
    }
    std::erase_if(s.flight,
                  [](const Flight& f) { return !std::holds_alternative<Prepare>(f.message); });
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

TEST(ViewAgreement, AllStartInAnyOrderAndFoundOneView) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MembershipSimulation simulation(seed, {.members = 5, .voters = 3});
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    for (std::size_t i = 5; i > 1; --i)
      std::swap(order[i - 1], order[simulation.random().Below(i)]);
    for (const std::size_t i : order) {
      simulation.RunUntil(simulation.now() + 2 * simulation.random().Unit());
      simulation.Start(i);
    }
    EXPECT_TRUE(simulation.RunUntil([&] { return simulation.Whole(); }, 10)) << "seed " << seed;
    EXPECT_EQ(simulation.broken(), std::vector<std::string>{});
  }
}

}  // namespace
}  // namespace millethollow::membership
