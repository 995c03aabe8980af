// Days of copies from seeds, and every order of a few events. SEEDS plays more days.
#include <gtest/gtest.h>

#include <deque>

#include "support/days.h"
#include "support/replication_simulation.h"

namespace millethollow::copies {
namespace {

struct CopyDay {
  explicit CopyDay(std::uint64_t seed, CopyFaults planted = {})
      : faults(seed * 7919 + 3), copies(seed, 3 + seed % 3, planted), world(copies.world) {
    world.StartAll();
    world.RunUntil(3);
    copies.OpenLog(0);
    copies.OpenLog(1);
    world.RunUntil(6);
    double fault_at = 6;
    while (world.now() < 40 && world.broken().empty()) {
      if (world.now() >= fault_at) {
        fault_at += 3 * faults.Unit();
        Fault(faults.Below(world.size()));
      }
      for (std::size_t i = 0; i < world.size(); ++i) copies.Append(i);
      world.RunUntil(world.now() + 0.03 + 0.1 * faults.Unit());
    }
    world.Heal();
    world.StartAll();
    for (std::size_t i = 0; i < world.size(); ++i) copies.Slow(i, 0.002);
    for (const double until = world.now() + 60;
         !whole && world.now() < until && world.broken().empty();) {
      world.RunUntil(world.now() + 0.5);
      whole = copies.Whole(3);
    }
  }
  void Fault(std::size_t i) {
    switch (faults.Below(8)) {
      case 0:
        if (copies.MayLose(i)) copies.Wipe(i);
        return;
      case 1:
        return copies.Slow(i, faults.Below(2) == 0 ? 0.2 : 0.002);
      case 2:
        return world.SetLoss(faults.Below(2) == 0 ? 0.2 : 0.02);
      default:
        world.Fault(&faults, 8);
    }
  }
  Random faults;
  ReplicationSimulation copies;
  World& world;
  bool whole = false;
};

TEST(CopyDays, LoseNothingThatWasAnsweredAndComeTogetherAgain) {
  std::size_t answered = 0, refused = 0, adopted = 0, snapshot_transfers = 0;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  for (std::uint64_t seed = from; seed <= std::max(from, FromEnvironment("SEEDS", 40)); ++seed) {
    CopyDay day(seed);
    ASSERT_TRUE(day.world.broken().empty())
        << "seed " << seed << " " << day.world.broken()[0] << day.copies.Describe();
    ASSERT_TRUE(day.whole) << "seed " << seed << " does not come together" << day.copies.Describe()
                           << day.world.Told();
    answered += day.copies.answered;
    refused += day.copies.refused;
    adopted += day.copies.adopted;
    for (std::size_t i = 0; i < day.world.size(); ++i)
      day.world.Kill(i);  // snapshot transfers are counted at the end of a process
    snapshot_transfers += day.copies.snapshot_transfers;
  }
  std::printf("%zu answered, %zu refused for want of copies, %zu takeovers, %zu snapshots\n",
              answered, refused, adopted, snapshot_transfers);
  EXPECT_GT(answered, 100U);
  EXPECT_GT(refused + adopted, 2U);
}

TEST(CopyDays, FindPlantedFaults) {
  const CopyFaults planted[] = {{.answers_before_disk = true},
                                {.acts_without_lease = true},
                                {.loses_tail_of_snapshot = true}};
  for (const CopyFaults& fault : planted) {
    EXPECT_NE(
        FirstSeed(200, [&](std::uint64_t seed) { return CopyDay(seed, fault).world.broken(); }),
        0U);
  }
}

// An owner and two holders; two operations are on their way, and at any moment the owner may be
// gone with its disk and the second take over: every order of the first `depth` events (a frame
// comes, a write is done, the owner goes), and after each of them the rest as it comes. Copies of
// the real decisions.
struct CopyOrders {
  static constexpr LogId kLog = 9;
  struct Flight {
    NodeId to = 0, from = 0;
    ReplicationMessage frame;
  };
  struct State {
    std::vector<ReplicatedLogs> nodes;
    std::vector<Disk> disks{3};
    std::vector<std::deque<std::pair<std::uint64_t, std::vector<StoreWrite>>>> writes{3};
    std::vector<Flight> flight;
    std::vector<bool> begun = std::vector<bool>(3, false);
    SequenceNumber kept = 0;
    int gone = 0;  // the first owner; 2: and it is put out of the holders
    double now = 1;
  };
  std::uint64_t orders = 0, wrong = 0, answered = 0, begun = 0;
  bool answers_before_disk = false;  // planted

  static View ViewOf(int gone) {
    View v{.epoch = 2U + static_cast<std::uint64_t>(gone),
           .members = {},
           .settled_epoch = 0,
           .logs = {}};
    for (NodeId id = gone ? 2 : 1; id <= 3; ++id)
      v.members.push_back({id, 10 + id, "p", 1, 100 + id});
    const NodeId owner = gone ? 2 : 1;
    v.logs.push_back({kLog, owner, 10 + owner, gone ? 3U : 2U, 1, {{2, 102}, {3, 103}}});
    if (gone < 2) v.logs[0].replicas.push_back({1, 101});
    return v;
  }
  void Carry(State* s, std::size_t i, ReplicatedLogs::Actions* a) {
    for (auto& [to, frame] : a->send) s->flight.push_back({to, i + 1, std::move(frame)});
    if (!a->write.empty()) s->writes[i].emplace_back(a->ticket, std::move(a->write));
    for (const auto& [log, sequence] : a->committed) s->kept = std::max(s->kept, sequence);
    for (const LogId unused : a->acquired) s->begun[i] = unused == kLog;
  }
  template <typename Do>
  void On(State* s, std::size_t i, Do what) {
    if (i == 0 && s->gone) return;
    ReplicatedLogs::Actions look, a;
    s->nodes[i].OnView(s->now, ViewOf(s->gone), true, &look);
    Carry(s, i, &look);
    what(&s->nodes[i], &a);
    Carry(s, i, &a);
  }
  void Deliver(State* s, std::size_t at) {
    const Flight f = s->flight[at];
    s->flight.erase(s->flight.begin() + static_cast<std::ptrdiff_t>(at));
    On(s, f.to - 1, [&](ReplicatedLogs* c, ReplicatedLogs::Actions* a) {
      c->OnMessage(s->now, f.from, f.frame, a);
    });
  }
  void Store(State* s, std::size_t i) {
    const auto [ticket, batch] = s->writes[i].front();
    s->writes[i].pop_front();
    if (!answers_before_disk || i != 1 || ticket == 1) WriteTo(&s->disks[i], batch);
    On(s, i, [&, ticket = ticket](ReplicatedLogs* c, ReplicatedLogs::Actions* a) {
      c->OnStored(s->now, ticket, a);
    });
  }
  void Go(State* s) {  // the owner, with its disk
    s->gone = 1;
    s->disks[0].clear();
    s->writes[0].clear();
    std::erase_if(s->flight, [](const Flight& f) { return f.to == 1; });
    for (const std::size_t i : {1UL, 2UL})
      On(s, i, [](ReplicatedLogs*, ReplicatedLogs::Actions*) {});
  }
  void Settle(State* s) {
    for (int n = 0; n < 300; ++n) {
      std::size_t i = 0;
      while (i < 3 && s->writes[i].empty()) ++i;
      if (i < 3)
        Store(s, i);
      else if (!s->flight.empty())
        Deliver(s, 0);
      else
        return;
    }
  }
  bool Sound(const State& s) const {
    if (!s.gone || !s.begun[1]) return true;
    const auto head = s.disks[1].find(HeadKey(kLog));
    const SequenceNumber applied =
        head == s.disks[1].end() ? 0 : DecodeLogHead(head->second)->applied;
    for (SequenceNumber sequence = applied + 1; sequence <= s.kept; ++sequence) {
      if (!s.disks[1].contains(OperationKey(kLog, sequence))) return false;
    }
    for (SequenceNumber sequence = 1; sequence <= std::min(applied, s.kept); ++sequence) {
      if (!s.disks[1].contains(EntryKey(kLog, 0, "k" + std::to_string(sequence)))) return false;
    }
    return true;
  }
  State Begin() {
    State s;
    for (NodeId id = 1; id <= 3; ++id) {
      Options o;
      o.self = id, o.process_incarnation = 10 + id, o.store_id = 100 + id, o.replica_timeout_s = 1e9;
      s.nodes.emplace_back(o, std::vector<std::pair<std::string, std::string>>{});
    }
    for (int n = 0; n < 4; ++n) {
      for (std::size_t i = 0; i < 3; ++i)
        On(&s, i, [&](ReplicatedLogs* c, ReplicatedLogs::Actions* a) { c->Tick(s.now, a); });
      Settle(&s);
      s.now += 0.3;
    }
    for (const char* key : {"k1", "k2"}) {
      On(&s, 0, [&](ReplicatedLogs* c, ReplicatedLogs::Actions* a) {
        ReplicatedLogs::AppendError reason{};
        EXPECT_GT(c->Append(s.now, kLog, key, "v", false, &reason, a), 0U)
            << static_cast<int>(reason);
      });
    }
    return s;
  }
  void Explore(const State& from, int depth) {
    if (depth == 0) {
      State s = from;
      Settle(&s);
      if (s.gone == 0) Go(&s);
      Settle(&s);
      s.gone = 2;
      for (int n = 0; n < 20; ++n) {
        s.now += 0.3;
        for (std::size_t i = 1; i < 3; ++i)
          On(&s, i, [&](ReplicatedLogs* c, ReplicatedLogs::Actions* a) { c->Tick(s.now, a); });
        Settle(&s);
      }
      orders += 1;
      // Or it gives the log to the third, which has more of what was not answered.
      const auto wants = s.nodes[1].RequestedLogs();
      begun += s.begun[1] || (!wants.empty() && wants[0].owner == 3);
      answered += s.kept;
      wrong += !Sound(s);
      return;
    }
    for (std::size_t c = 0; c < from.flight.size() + 4; ++c) {
      const std::size_t beyond = c - std::min(c, from.flight.size());
      State next = from;
      if (c < from.flight.size()) {
        Deliver(&next, c);
      } else if (beyond < 3) {
        if (from.writes[beyond].empty()) continue;
        Store(&next, beyond);
      } else {
        if (from.gone > 0) continue;
        Go(&next);
      }
      wrong += !Sound(next);
      Explore(next, depth - 1);
    }
  }
};

TEST(CopyOrders, EveryOrderOfTheFirstEventsKeepsWhatWasAnswered) {
  CopyOrders o;
  o.Explore(o.Begin(), static_cast<int>(FromEnvironment("DEPTH", 6)));
  EXPECT_EQ(o.wrong, 0U);
  EXPECT_GT(o.answered, 0U);
  EXPECT_EQ(o.begun, o.orders) << "the second takes over, or gives it to the third";
  CopyOrders planted;
  planted.answers_before_disk = true;
  planted.Explore(planted.Begin(), 4);
  EXPECT_GT(planted.wrong, 0U) << "or it proves nothing";
  std::printf("%lu orders, %lu operations answered; planted: %lu of %lu wrong\n", o.orders,
              o.answered, planted.wrong, planted.orders);
}

// An hour-old copy of a folder is put back under a process that was down: it is noticed, and its
// disk is no holder any more until it has a new snapshot.
TEST(Copies, AFolderThatWasPutBackIsNoticedAndGetsASnapshot) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    ReplicationSimulation w(seed, 3, {});
    w.world.StartAll();
    w.world.RunUntil(3);
    w.OpenLog(0);
    const auto serve = [&w](double until) {
      while (w.world.now() < until && w.world.broken().empty()) {
        w.Append(0);
        w.world.RunUntil(w.world.now() + 0.05);
      }
    };
    serve(8);
    w.KeepOld(1);
    serve(12);
    w.PutBackOld(1);
    w.world.Start(1);
    serve(20);
    w.world.RunUntil(25);
    EXPECT_EQ(w.world.broken(), std::vector<std::string>{}) << seed;
    EXPECT_TRUE(w.Whole(3)) << seed << w.Describe();
    EXPECT_GT(w.given_up, 0U) << seed;
  }
}

}  // namespace
}  // namespace millethollow::copies
