// View agreement: in a simulated cluster with random faults, and with all orders of the first
// events of an election. SEEDS in the environment sets the number of runs.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "support/membership_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::membership {
namespace {

std::uint64_t Seeds(std::uint64_t default_count) { return FromEnvironment("SEEDS", default_count); }

// A run with random faults from a seed: killed and paused processes, wiped disks, cut links,
// partitions, lost datagrams, slow disks. Then all faults end, and the members must converge.
struct RandomFaultRun {
  explicit RandomFaultRun(std::uint64_t seed, InjectedFaults injected_faults = {},
                          double length_s = 60)
      : faults(seed * 7919 + 1),
        simulation(seed, {.members = 3 + seed % 5,
                          .voters = 3 + seed % 5 >= 5 && seed % 2 == 0 ? 5UL : 3UL,
                          .loss = seed % 3 == 0 ? 0.1 : 0.0,
                          .duplication = 0.02,
                          .injected_faults = injected_faults}) {
    voters = 3 + seed % 5 >= 5 && seed % 2 == 0 ? 5 : 3;
    simulation.StartAll();
    while (simulation.now() < length_s && simulation.violations().empty()) {
      simulation.RunUntil(simulation.now() + 2.5 * faults.Unit());
      InjectFault();
    }
    if (!simulation.violations().empty()) return;
    simulation.Heal();
    simulation.SetLoss(0);
    simulation.StartAll();
    converged = simulation.RunUntil(
        [this] { return simulation.HasConverged() && simulation.MaintenanceAgrees(); }, 60);
  }
  std::size_t RandomNode() { return faults.Below(simulation.size()); }
  // Whether the voter votes, and would after a restart.
  bool HasStoredVotes(std::size_t i) {
    return simulation.up(i) && simulation.node(i).membership->agreement().voter().voting() &&
           simulation.node(i).disk.storage_identity ==
               simulation.node(i).membership->agreement().voter_state().storage_identity;
  }
  // Wipes the disk unless another voter is without its votes: view agreement can recover those of a
  // minority only.
  void WipeDisk(std::size_t i) {
    for (std::size_t v = 0; v < voters; ++v) {
      if (v != i && !HasStoredVotes(v)) return;
    }
    simulation.Kill(i);
    simulation.Wipe(i);
  }
  void InjectFault() {
    switch (faults.Below(13)) {
      case 12:
        return simulation.SetMaintenance(RandomNode(), "w" + std::to_string(faults.Below(30)),
                                         faults.Below(3) > 0);
      case 0:
      case 1:
        return simulation.Kill(RandomNode());
      case 2:
        return WipeDisk(RandomNode());
      case 3:
      case 4:
        return simulation.StartAll();
      case 5:
        return simulation.Pause(RandomNode(), 8 * faults.Unit());
      case 6: {
        std::vector<int> group;
        for (std::size_t i = 0; i < simulation.size(); ++i)
          group.push_back(static_cast<int>(faults.Below(3)));
        return simulation.Partition(group);
      }
      case 7:
        return simulation.CutLink(RandomNode(), RandomNode(), true);
      case 8:
        return simulation.CutLinkBothWays(RandomNode(), RandomNode(), true);
      case 9:
        return simulation.SetLoss(faults.Below(2) == 0 ? 0.2 : 0);
      case 10:
        simulation.node(RandomNode()).write_s = faults.Below(2) == 0 ? 0.3 : 0.001;
        return;
      default:
        simulation.Heal();
    }
  }
  Random faults;
  std::size_t voters = 3;
  MembershipSimulation simulation;
  bool converged = false;
};

TEST(ViewAgreementSimulation, KeepsInvariantsAndConvergesAfterFaults) {
  for (std::uint64_t seed = FromEnvironment("SEED", 1); seed <= Seeds(150); ++seed) {
    RandomFaultRun run(seed);
    ASSERT_TRUE(run.simulation.violations().empty())
        << "seed " << seed << " " << run.simulation.violations()[0] << run.simulation.Describe();
    ASSERT_TRUE(run.converged) << "seed " << seed << " does not converge"
                               << run.simulation.Describe();
  }
  // Seeds that once found a fault (docs/design/membership.md).
  for (const std::uint64_t seed : {371U, 451U, 646U, 662U, 2878U, 5164U, 8263U}) {
    const RandomFaultRun run(seed);
    EXPECT_TRUE(run.converged) << "seed " << seed << " " << run.simulation.Describe();
  }
}

std::uint64_t FirstSeedDetecting(const InjectedFaults& injected_faults, std::uint64_t max_seeds) {
  return FirstFailingSeed(max_seeds, [&](std::uint64_t seed) {
    return RandomFaultRun(seed, injected_faults).simulation.violations();
  });
}

TEST(ViewAgreementSimulation, DetectsInjectedFaults) {
  const std::uint64_t vote_seed = FirstSeedDetecting({.vote_not_kept = true}, 400);
  const std::uint64_t lease_seed = FirstSeedDetecting({.lease_by_wall_clock = true}, 100);
  EXPECT_NE(vote_seed, 0U) << "a vote that is not kept";
  EXPECT_NE(lease_seed, 0U) << "a lease by a clock that does not count pauses";
  RecordProperty("vote_not_kept", static_cast<int>(vote_seed));
  RecordProperty("lease_by_wall_clock", static_cast<int>(lease_seed));
}

// Explores the orders of events of an election. Before a restart of three voters, only the first
// had accepted a view. Now two stand for election at once. All orders of the first `depth` events
// (a message arrives, a write completes) are executed on copies of the state, each followed by the
// remaining events in the order in which they arise.
struct OrderExplorer {
  struct InFlight {
    NodeId to = 0, from = 0;
    AgreementMessage message;
  };
  struct State {
    std::vector<ViewAgreement> nodes;
    std::vector<InFlight> in_flight;
    std::vector<std::vector<std::uint64_t>> pending_writes;
    double now = 10;
  };
  std::uint64_t orders = 0, failures = 0;
  std::size_t max_choices = 0;

  void ExecuteActions(State* state, std::size_t i, ViewAgreement::Actions* actions) {
    for (OutgoingMessage& sent : actions->send)
      state->in_flight.push_back({sent.to, i + 1, std::move(sent.message)});
    if (actions->write) state->pending_writes[i].push_back(actions->ticket);
  }
  void Deliver(State* state, std::size_t at) {
    const InFlight delivered = state->in_flight[at];
    state->in_flight.erase(state->in_flight.begin() + static_cast<std::ptrdiff_t>(at));
    ViewAgreement::Actions actions;
    state->nodes[delivered.to - 1].OnMessage(state->now, delivered.from, 10 + delivered.from,
                                             delivered.message, &actions);
    ExecuteActions(state, delivered.to - 1, &actions);
  }
  void CompleteWrite(State* state, std::size_t i) {
    ViewAgreement::Actions actions;
    const std::uint64_t ticket = state->pending_writes[i].front();
    state->pending_writes[i].erase(state->pending_writes[i].begin());
    state->nodes[i].OnStored(state->now, ticket, &actions);
    ExecuteActions(state, i, &actions);
  }
  void Tick(State* state, std::size_t i) {
    ViewAgreement::Actions actions;
    state->nodes[i].Tick(state->now, &actions);
    ExecuteActions(state, i, &actions);
  }
  // Completes all writes and delivers all messages, in the order in which they were sent.
  void DeliverAll(State* state) {
    for (int n = 0; n < 400; ++n) {
      std::size_t i = 0;
      while (i < 3 && state->pending_writes[i].empty()) ++i;
      if (i < 3) {
        CompleteWrite(state, i);
      } else if (!state->in_flight.empty()) {
        Deliver(state, 0);
      } else {
        return;
      }
    }
  }
  // Whether no two voters know different views of one epoch.
  bool IsConsistent(const State& state) {
    for (const ViewAgreement& first : state.nodes) {
      if (first.counters().conflicts > 0) return false;
      for (const ViewAgreement& second : state.nodes) {
        for (const View* view : {&second.view(), &second.leader().decided()}) {
          if (view->epoch > 0 && view->epoch == first.view().epoch && *view != first.view())
            return false;
        }
      }
    }
    return true;
  }
  State InitialState() {
    State state;
    state.pending_writes.resize(3);
    const View old_view{
        .epoch = 1, .members = {{1, 1, "p", 1}, {2, 2, "p", 1}}, .settled_epoch = 0};
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
        votes.accepted = old_view;
      }
      state.nodes.emplace_back(ViewAgreement::Options{.self = id,
                                                      .process_incarnation = 10 + id,
                                                      .voters = {1, 2, 3},
                                                      .members = {{1, "p"}, {2, "p"}, {3, "p"}},
                                                      .timings = {}},
                               votes, id, state.now);
    }
    for (std::size_t i = 0; i < 3; ++i) Tick(&state, i);
    DeliverAll(&state);
    state.now += 3;  // all election timeouts have passed
    for (const std::size_t i : {0UL, 1UL}) Tick(&state, i);
    // Both exchange their queries and stand for election, until only their Prepare messages are in
    // flight.
    for (std::size_t at = 0; at < state.in_flight.size();) {
      const AgreementMessage& message = state.in_flight[at].message;
      const bool is_query = std::holds_alternative<LeaderLossQuery>(message) ||
                            std::holds_alternative<LeaderLossReply>(message);
      is_query ? Deliver(&state, at) : void(++at);
      if (is_query) at = 0;
    }
    for (const std::size_t i : {0UL, 1UL}) {
      while (!state.pending_writes[i].empty()) CompleteWrite(&state, i);
    }
    std::erase_if(state.in_flight, [](const InFlight& sent) {
      return !std::holds_alternative<Prepare>(sent.message);
    });
    return state;
  }
  void Explore(const State& from, int depth) {
    const std::size_t messages = from.in_flight.size();
    if (depth == 0) {
      State state = from;
      for (int step = 0; step < 120 && IsConsistent(state); ++step) {
        DeliverAll(&state);
        state.now += 0.05;
        for (std::size_t i = 0; i < 3; ++i) Tick(&state, i);
      }
      orders += 1;
      failures += !IsConsistent(state) || state.nodes[0].view().epoch == 0;
      return;
    }
    max_choices = std::max(max_choices, messages);
    for (std::size_t choice = 0; choice < messages + 3; ++choice) {
      if (choice >= messages && from.pending_writes[choice - messages].empty()) continue;
      State next = from;
      choice < messages ? Deliver(&next, choice) : CompleteWrite(&next, choice - messages);
      failures += !IsConsistent(next);
      Explore(next, depth - 1);
    }
  }
};

TEST(ViewAgreementOrders, AllOrdersOfTheFirstEventsOfTwoCandidates) {
  OrderExplorer explorer;
  explorer.Explore(explorer.InitialState(), static_cast<int>(FromEnvironment("DEPTH", 6)));
  EXPECT_EQ(explorer.failures, 0U);
  EXPECT_GT(explorer.orders, 100U);
  std::printf("%lu orders, up to %zu messages to choose from\n", explorer.orders,
              explorer.max_choices);
}

TEST(ViewAgreement, FormsOneViewWhateverTheStartOrder) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    MembershipSimulation simulation(seed, {.members = 5, .voters = 3});
    std::vector<std::size_t> order{0, 1, 2, 3, 4};
    for (std::size_t i = 5; i > 1; --i)
      std::swap(order[i - 1], order[simulation.random().Below(i)]);
    for (const std::size_t i : order) {
      simulation.RunUntil(simulation.now() + 2 * simulation.random().Unit());
      simulation.Start(i);
    }
    EXPECT_TRUE(simulation.RunUntil([&] { return simulation.HasConverged(); }, 10))
        << "seed " << seed;
    EXPECT_EQ(simulation.violations(), std::vector<std::string>{});
  }
}

}  // namespace
}  // namespace millethollow::membership
