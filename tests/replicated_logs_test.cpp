// Replicated logs under seeded random faults (crashes, lost stores, pauses, message loss), and
// under every order of the first events of a failover. Guards against lost committed operations,
// two owners at a time, and logs that do not recover. SEEDS sets the number of seeds, DEPTH the
// number of events.
#include <gtest/gtest.h>

#include <deque>

#include "support/replication_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::copies {
namespace {

struct ReplicationRun {
  explicit ReplicationRun(std::uint64_t seed, ReplicationFaults injected = {})
      : faults(seed * 7919 + 3), simulation(seed, 3 + seed % 3, injected), world(simulation.world) {
    world.StartAll();
    world.RunUntil(3);
    simulation.OpenLog(0);
    simulation.OpenLog(1);
    world.RunUntil(6);
    double fault_at = 6;
    while (world.now() < 40 && world.violations().empty()) {
      if (world.now() >= fault_at) {
        fault_at += 3 * faults.Unit();
        Fault(faults.Below(world.size()));
      }
      for (std::size_t i = 0; i < world.size(); ++i) simulation.Append(i);
      world.RunUntil(world.now() + 0.03 + 0.1 * faults.Unit());
    }
    world.Heal();
    world.StartAll();
    for (std::size_t i = 0; i < world.size(); ++i) simulation.SetWriteLatency(i, 0.002);
    for (const double until = world.now() + 60;
         !converged && world.now() < until && world.violations().empty();) {
      world.RunUntil(world.now() + 0.5);
      converged = simulation.Converged(3);
    }
  }
  void Fault(std::size_t i) {
    switch (faults.Below(8)) {
      case 0:
        if (simulation.CanLoseStore(i)) simulation.LoseStore(i);
        return;
      case 1:
        return simulation.SetWriteLatency(i, faults.Below(2) == 0 ? 0.2 : 0.002);
      case 2:
        return world.SetLoss(faults.Below(2) == 0 ? 0.2 : 0.02);
      default:
        world.InjectRandomFault(&faults, 8);
    }
  }
  Random faults;
  ReplicationSimulation simulation;
  MembershipSimulation& world;
  bool converged = false;
};

TEST(ReplicatedLogSimulation, LosesNoCommittedOperationAndConverges) {
  std::size_t committed = 0, rejected = 0, takeovers = 0, snapshot_transfers = 0;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  for (std::uint64_t seed = from; seed <= std::max(from, FromEnvironment("SEEDS", 40)); ++seed) {
    ReplicationRun run(seed);
    ASSERT_TRUE(run.world.violations().empty())
        << "seed " << seed << " " << run.world.violations()[0] << run.simulation.Describe();
    ASSERT_TRUE(run.converged) << "seed " << seed << " does not converge"
                               << run.simulation.Describe() << run.world.Describe();
    committed += run.simulation.committed;
    rejected += run.simulation.rejected;
    takeovers += run.simulation.takeovers;
    for (std::size_t i = 0; i < run.world.size(); ++i)
      run.world.Kill(i);  // snapshot transfers are counted when a process stops
    snapshot_transfers += run.simulation.snapshot_transfers;
  }
  std::printf("%zu committed, %zu rejected with too few replicas, %zu takeovers, %zu snapshots\n",
              committed, rejected, takeovers, snapshot_transfers);
  EXPECT_GT(committed, 100U);
  EXPECT_GT(rejected + takeovers, 2U);
}

TEST(ReplicatedLogSimulation, FindsInjectedFaults) {
  const ReplicationFaults injected[] = {
      {.acks_before_durable = true}, {.acts_without_lease = true}, {.truncates_snapshots = true}};
  for (const ReplicationFaults& fault : injected) {
    EXPECT_NE(FirstFailingSeed(200,
                               [&](std::uint64_t seed) {
                                 return ReplicationRun(seed, fault).world.violations();
                               }),
              0U);
  }
}

// An owner and two replicas with two operations in flight; at any moment the owner may be lost with
// its store, and the second node takes over. Explores every order of the first `depth` events
// (a message arrives, a write completes, the owner is lost), each followed by the remaining events
// in order, on copies of the real state machines.
struct ReplicationOrders {
  static constexpr LogId kLog = 9;
  struct MessageInFlight {
    NodeId to = 0, from = 0;
    ReplicationMessage frame;
  };
  struct State {
    std::vector<ReplicatedLogs> nodes;
    std::vector<StoreContents> stores{3};
    std::vector<std::deque<std::pair<std::uint64_t, std::vector<StoreWrite>>>> writes{3};
    std::vector<MessageInFlight> in_flight;
    std::vector<bool> active = std::vector<bool>(3, false);
    SequenceNumber committed = 0;
    int failover_step = 0;  // 1: the first owner is lost; 2: it is also removed from the replicas
    double now = 1;
  };
  std::uint64_t orders = 0, violations = 0, committed_total = 0, active = 0;
  bool acks_before_durable = false;  // injected

  static View ViewOf(int failover_step) {
    View view{.epoch = 2U + static_cast<std::uint64_t>(failover_step),
              .members = {},
              .settled_epoch = 0,
              .logs = {}};
    for (NodeId id = failover_step ? 2 : 1; id <= 3; ++id)
      view.members.push_back({id, 10 + id, "p", 1, 100 + id});
    const NodeId owner = failover_step ? 2 : 1;
    view.logs.push_back(
        {kLog, owner, 10 + owner, failover_step ? 3U : 2U, 1, {{2, 102}, {3, 103}}});
    if (failover_step < 2) view.logs[0].replicas.push_back({1, 101});
    return view;
  }
  void Perform(State* state, std::size_t i, ReplicatedLogs::Actions* actions) {
    for (auto& [to, frame] : actions->send)
      state->in_flight.push_back({to, i + 1, std::move(frame)});
    if (!actions->write.empty())
      state->writes[i].emplace_back(actions->ticket, std::move(actions->write));
    for (const auto& [log, sequence] : actions->committed)
      state->committed = std::max(state->committed, sequence);
    for (const LogId unused : actions->acquired) state->active[i] = unused == kLog;
  }
  template <typename Event>
  void Dispatch(State* state, std::size_t i, Event event) {
    if (i == 0 && state->failover_step) return;
    ReplicatedLogs::Actions view_actions, actions;
    state->nodes[i].OnView(state->now, ViewOf(state->failover_step), true, &view_actions);
    Perform(state, i, &view_actions);
    event(&state->nodes[i], &actions);
    Perform(state, i, &actions);
  }
  void Deliver(State* state, std::size_t position) {
    const MessageInFlight message = state->in_flight[position];
    state->in_flight.erase(state->in_flight.begin() + static_cast<std::ptrdiff_t>(position));
    Dispatch(state, message.to - 1, [&](ReplicatedLogs* logs, ReplicatedLogs::Actions* actions) {
      logs->OnMessage(state->now, message.from, message.frame, actions);
    });
  }
  void CompleteWrite(State* state, std::size_t i) {
    const auto [ticket, batch] = state->writes[i].front();
    state->writes[i].pop_front();
    if (!acks_before_durable || i != 1 || ticket == 1) WriteTo(&state->stores[i], batch);
    Dispatch(state, i,
             [&, ticket = ticket](ReplicatedLogs* logs, ReplicatedLogs::Actions* actions) {
               logs->OnStored(state->now, ticket, actions);
             });
  }
  // The owner is lost with its store.
  void LoseOwner(State* state) {
    state->failover_step = 1;
    state->stores[0].clear();
    state->writes[0].clear();
    std::erase_if(state->in_flight, [](const MessageInFlight& message) { return message.to == 1; });
    for (const std::size_t i : {1UL, 2UL})
      Dispatch(state, i, [](ReplicatedLogs*, ReplicatedLogs::Actions*) {});
  }
  void DeliverAll(State* state) {
    for (int n = 0; n < 300; ++n) {
      std::size_t i = 0;
      while (i < 3 && state->writes[i].empty()) ++i;
      if (i < 3)
        CompleteWrite(state, i);
      else if (!state->in_flight.empty())
        Deliver(state, 0);
      else
        return;
    }
  }
  bool HoldsCommitted(const State& state) const {
    if (!state.failover_step || !state.active[1]) return true;
    const auto head = state.stores[1].find(HeadKey(kLog));
    const SequenceNumber applied =
        head == state.stores[1].end() ? 0 : DecodeLogHead(head->second)->applied;
    for (SequenceNumber sequence = applied + 1; sequence <= state.committed; ++sequence) {
      if (!state.stores[1].contains(OperationKey(kLog, sequence))) return false;
    }
    for (SequenceNumber sequence = 1; sequence <= std::min(applied, state.committed); ++sequence) {
      if (!state.stores[1].contains(EntryKey(kLog, 0, "k" + std::to_string(sequence))))
        return false;
    }
    return true;
  }
  State InitialState() {
    State state;
    for (NodeId id = 1; id <= 3; ++id) {
      Options options;
      options.self = id, options.process_incarnation = 10 + id, options.store_id = 100 + id,
      options.replica_timeout_s = 1e9;
      state.nodes.emplace_back(options, std::vector<std::pair<std::string, std::string>>{});
    }
    for (int n = 0; n < 4; ++n) {
      for (std::size_t i = 0; i < 3; ++i)
        Dispatch(&state, i, [&](ReplicatedLogs* logs, ReplicatedLogs::Actions* actions) {
          logs->Tick(state.now, actions);
        });
      DeliverAll(&state);
      state.now += 0.3;
    }
    for (const char* key : {"k1", "k2"}) {
      Dispatch(&state, 0, [&](ReplicatedLogs* logs, ReplicatedLogs::Actions* actions) {
        ReplicatedLogs::AppendError reason{};
        EXPECT_GT(logs->Append(state.now, kLog, key, "v", false, &reason, actions), 0U)
            << static_cast<int>(reason);
      });
    }
    return state;
  }
  void Explore(const State& from, int depth) {
    if (depth == 0) {
      State state = from;
      DeliverAll(&state);
      if (state.failover_step == 0) LoseOwner(&state);
      DeliverAll(&state);
      state.failover_step = 2;
      for (int n = 0; n < 20; ++n) {
        state.now += 0.3;
        for (std::size_t i = 1; i < 3; ++i)
          Dispatch(&state, i, [&](ReplicatedLogs* logs, ReplicatedLogs::Actions* actions) {
            logs->Tick(state.now, actions);
          });
        DeliverAll(&state);
      }
      orders += 1;
      // Or it transfers the log to the third, which has more uncommitted operations.
      const auto requests = state.nodes[1].RequestedLogs();
      active += state.active[1] || (!requests.empty() && requests[0].owner == 3);
      committed_total += state.committed;
      violations += !HoldsCommitted(state);
      return;
    }
    for (std::size_t choice = 0; choice < from.in_flight.size() + 4; ++choice) {
      const std::size_t action = choice - std::min(choice, from.in_flight.size());
      State next = from;
      if (choice < from.in_flight.size()) {
        Deliver(&next, choice);
      } else if (action < 3) {
        if (from.writes[action].empty()) continue;
        CompleteWrite(&next, action);
      } else {
        if (from.failover_step > 0) continue;
        LoseOwner(&next);
      }
      violations += !HoldsCommitted(next);
      Explore(next, depth - 1);
    }
  }
};

TEST(ReplicationOrders, EveryOrderOfTheFirstEventsKeepsCommittedOperations) {
  ReplicationOrders orders;
  orders.Explore(orders.InitialState(), static_cast<int>(FromEnvironment("DEPTH", 6)));
  EXPECT_EQ(orders.violations, 0U);
  EXPECT_GT(orders.committed_total, 0U);
  EXPECT_EQ(orders.active, orders.orders)
      << "the second node takes over, or transfers the log to the third";
  ReplicationOrders injected;
  injected.acks_before_durable = true;
  injected.Explore(injected.InitialState(), 4);
  EXPECT_GT(injected.violations, 0U)
      << "the injected fault is not found, so the check proves nothing";
  std::printf(
      "%lu orders, %lu operations committed; injected fault: %lu violations in %lu orders\n",
      orders.orders, orders.committed_total, injected.violations, injected.orders);
}

// The store of a stopped process is replaced with an old copy of it, so that it lacks operations
// that the node acknowledged. The node must not count as a replica until it has received a
// snapshot.
TEST(ReplicatedLogs, AStoreRestoredFromAnOldCopyIsDetectedAndGetsASnapshot) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ReplicationSimulation simulation(seed, 3, {});
    simulation.world.StartAll();
    simulation.world.RunUntil(3);
    simulation.OpenLog(0);
    const auto append_until = [&simulation](double until) {
      while (simulation.world.now() < until && simulation.world.violations().empty()) {
        simulation.Append(0);
        simulation.world.RunUntil(simulation.world.now() + 0.05);
      }
    };
    append_until(8);
    simulation.SaveStore(1);
    append_until(12);
    simulation.RestoreSavedStore(1);
    simulation.world.Start(1);
    append_until(20);
    simulation.world.RunUntil(25);
    EXPECT_EQ(simulation.world.violations(), std::vector<std::string>{}) << seed;
    EXPECT_TRUE(simulation.Converged(3)) << seed << simulation.Describe();
    EXPECT_GT(simulation.abandoned_stores, 0U) << seed;
  }
}

}  // namespace
}  // namespace millethollow::copies
