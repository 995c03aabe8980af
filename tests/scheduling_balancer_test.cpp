// Room for large jobs with the decision module behind it: days on the virtual floor, and the node
// on loopback.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

#include "support/node_harness.h"
#include "support/simulated_fleet.h"

namespace millethollow {
namespace {

using scheduling::Options;
using scheduling::Resources;

constexpr int kLook = 0, kCharge = 1;

balancing::Settings Platform() {
  balancing::Settings s;
  s.classes.resize(2);
  s.classes[kLook] = {.latency_objective_s = 0.25,
                      .latency_objective_stretch = 1.75,
                      .client_timeout_s = 6,
                      .priority_weight = 1};
  s.classes[kCharge] = {.latency_objective_s = 2,
                        .latency_objective_stretch = 1.75,
                        .client_timeout_s = 25,
                        .priority_weight = 8,
                        .idempotency = balancing::Idempotency::kIdempotentWithKey,
                        .deduplication_scope = balancing::DeduplicationScope::kCell,
                        .deduplication_window_s = 40};
  s.tenants = {{.share = 0.6, .quota_rps = 1000}, {.share = 0.4, .quota_rps = 1000}};
  KeepPlatformRules(&s);
  s.retry_after = true;
  s.max_retry_after_s = 2;
  return s;
}

Options On() {
  Options o;
  o.on = true;
  return o;
}

struct Tally {
  double asked = 0, in_time = 0, refused = 0;
  double share() const { return asked > 0 ? in_time / asked : 0; }
};

// A morning: charges at a third of the fleet, lookups at `flood` times all of it. By class.
std::vector<Tally> Morning(int nodes, const Options& options, std::uint32_t seed, double flood,
                           SimulatedFleet** kept = nullptr) {
  static std::unique_ptr<SimulatedFleet> floor;
  floor = std::make_unique<SimulatedFleet>(nodes, Platform(), options);
  for (int w = 0; w < 4; ++w) floor->AddWorker({4, 4}, 8);
  floor->Start();
  std::mt19937 random(seed);
  constexpr double kLookS = 0.45, kChargeS = 2.7, kSlots = 16, kLength = 40;
  for (const int cls : {kLook, kCharge}) {
    const double rate = cls == kLook ? flood * kSlots / kLookS : 0.33 * kSlots / kChargeS / 1.5;
    std::exponential_distribution<double> gap(rate);
    std::lognormal_distribution<double> spread(-0.2, 0.63);
    for (double at = gap(random); at < kLength; at += gap(random)) {
      const Resources need =
          cls == kLook ? Resources{1, 0.4} : Resources{1, 1 + random() % 3 * 0.5};
      const double run = (cls == kLook ? kLookS : kChargeS) * spread(random);
      const std::size_t node = random() % static_cast<std::uint32_t>(nodes);
      const int tenant = static_cast<int>(random() % 2);
      floor->At(at, [=, f = floor.get()] {
        f->Ask(node, cls, need, run, cls == kLook ? 6 : 25, tenant);
      });
    }
  }
  floor->Run(kLength + 30);
  std::vector<Tally> tally(2);
  for (const auto& [id, a] : floor->asked) {
    Tally& t = tally[static_cast<std::size_t>(a.cls)];
    const double aim = (a.cls == kLook ? 0.25 : 2) + 1.75 * a.run_s;
    t.asked += 1;
    t.in_time += a.served && a.took_s <= aim;
    t.refused += a.refused;
    EXPECT_TRUE(a.answered) << id;
  }
  for (const WorkerModel& w : floor->workers) EXPECT_EQ(w.running() + w.waiting(), 0u);
  EXPECT_EQ(floor->faults, std::vector<std::string>{});
  if (kept != nullptr) *kept = floor.get();
  return tally;
}

TEST(Room, ChargesMeetTheirTimeUnderAFloodOfLookups) {
  double with = 0, without = 0, looks_with = 0, looks_without = 0;
  for (const std::uint32_t seed : {1u, 2u, 3u}) {
    const auto off = Morning(1, {}, seed, 0.8), on = Morning(1, On(), seed, 0.8);
    without += off[kCharge].share() / 3;
    with += on[kCharge].share() / 3;
    looks_without += off[kLook].share() / 3;
    looks_with += on[kLook].share() / 3;
  }
  std::cout << "charges in time " << without << " -> " << with << ", lookups " << looks_without
            << " -> " << looks_with << "\n";
  EXPECT_GE(with, 0.95);
  EXPECT_GT(with, without);
  EXPECT_GE(looks_with, 0.9 * looks_without);
}

// For docs/room.md, with --gtest_also_run_disabled_tests; too long for every run.
TEST(Room, DISABLED_TableOfFloods) {
  for (const int nodes : {1, 3}) {
    for (const double flood : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
      double share[2][2] = {};
      for (const int on : {0, 1}) {
        for (const std::uint32_t seed : {1u, 2u, 3u, 4u}) {
          const auto tally = Morning(nodes, on == 1 ? On() : Options{}, seed, flood);
          for (const int cls : {kLook, kCharge}) {
            share[on][cls] += tally[static_cast<std::size_t>(cls)].share() / 4;
          }
        }
      }
      std::printf("| %d | %.1f | %.3f -> %.3f | %.3f -> %.3f |\n", nodes, flood, share[0][kCharge],
                  share[1][kCharge], share[0][kLook], share[1][kLook]);
    }
  }
}

TEST(Room, NodesThatShareWorkersStarveNone) {
  SimulatedFleet* floor = nullptr;
  const auto off = Morning(3, {}, 4, 0.7), on = Morning(3, On(), 4, 0.7, &floor);
  std::cout << "three nodes: charges " << off[kCharge].share() << " -> " << on[kCharge].share()
            << ", lookups " << off[kLook].share() << " -> " << on[kLook].share() << "\n";
  EXPECT_GE(on[kCharge].share(), off[kCharge].share());
  EXPECT_GE(on[kLook].share(), 0.9 * off[kLook].share());
  for (const WorkerModel& w : floor->workers) EXPECT_EQ(w.max_used(), 4) << "all were used";
}

// A fleet of `n` workers of `slots`, all taken by jobs of two seconds.
struct Busy {
  explicit Busy(int n, double slots = 1, const Options& options = On(), int nodes = 1)
      : floor(nodes, Platform(), options) {
    for (int w = 0; w < n; ++w) floor.AddWorker({slots, slots}, 4);
    floor.Start();
    for (int i = 0; i < n * static_cast<int>(slots); ++i) {
      running.push_back(floor.Ask(0, kLook, {1, 0.5}, 2, 6));
    }
    floor.Run(0.01);
  }
  int Holding(std::size_t node = 0) const {
    for (std::size_t w = 0; w < floor.workers.size(); ++w) {
      if (floor.desks[node]->scheduler().ReservedSlots(w) > 0) return static_cast<int>(w);
    }
    return -1;
  }
  scheduling::SchedulerStats stats() const { return floor.desks[0]->scheduler().stats(); }
  SimulatedFleet floor;
  std::vector<std::string> running;
};

struct Loss {
  const char* name;
  std::function<void(Busy&, int)> happens;
};
TEST(Room, AReservationLeavesAWorkerThatIsLostAndItsJobIsNotLater) {
  using balancing::Readiness;
  const Loss kLosses[] = {
      Loss{"drains", [](Busy& b, int w) { b.floor.List(w, Readiness::kDraining); }},
      Loss{"is gone", [](Busy& b, int w) { b.floor.List(w, Readiness::kGone); }},
      Loss{"is taken out by hand",
           [](Busy& b, int w) {
             b.floor.Tell(0, balancing::MaintenanceChanged{SimulatedFleet::Name(w), true});
           }},
      Loss{"dies and is ejected",
           [](Busy& b, int w) {
             for (const std::string& id : b.running) {
               if (b.floor.asked.at(id).sent_to.front() != w) continue;
               b.floor.Tell(0, balancing::AttemptEnded{
                                   .id = id, .status = balancing::AttemptStatus::kConnectFailed});
             }
           }},
  };
  for (const Loss& loss : kLosses) {
    Busy b(3);
    const std::string charge = b.floor.Ask(0, kCharge, {1, 1}, 1, 25);
    const int held = b.Holding();
    ASSERT_GE(held, 0) << loss.name;
    loss.happens(b, held);
    EXPECT_NE(b.Holding(), held) << loss.name;
    EXPECT_GE(b.Holding(), 0) << loss.name << ": it moves in the same turn";
    b.floor.Run(10);
    const SimulatedFleet::Asked& a = b.floor.asked.at(charge);
    EXPECT_TRUE(a.served) << loss.name;
    EXPECT_LT(a.took_s, 3.1) << loss.name << ": the next end after two seconds, and its own run";
    EXPECT_NE(a.sent_to.front(), held) << loss.name;
  }
}

TEST(Room, AWaitingJobsClientThatLeavesFreesTheRoomInTheSameTurn) {
  Busy b(1, 2);
  const std::string charge = b.floor.Ask(0, kCharge, {2, 2}, 1, 25);
  EXPECT_EQ(b.Holding(), 0);
  const std::string look = b.floor.Ask(0, kLook, {1, 0.5}, 9, 20);
  EXPECT_EQ(b.stats().waiting, 2u);
  b.floor.Gone(0, charge);
  EXPECT_EQ(b.Holding(), -1);
  EXPECT_EQ(b.stats().reserved_slots, 0);
  b.floor.Run(2.1);
  EXPECT_EQ(b.stats().waiting, 0u) << "the lookup started when the first two ended";
  EXPECT_TRUE(b.floor.asked.at(charge).sent_to.empty());
}

TEST(Room, AChargeThatFitsNoWorkerFailsAtOnce) {
  Busy b(2, 2);
  for (const Resources need : {Resources{3, 1}, Resources{1, 2.5}}) {
    const std::string id = b.floor.Ask(0, kCharge, need, 1, 25);
    EXPECT_TRUE(b.floor.asked.at(id).failed);
    EXPECT_EQ(b.floor.asked.at(id).took_s, 0);
    EXPECT_TRUE(b.floor.asked.at(id).sent_to.empty());
  }
}

TEST(Room, AFullWaitingRoomTurnsAwayAtOnceAndSaysWhenToReturn) {
  Options options = On();
  options.max_queued_jobs = 2;
  options.max_tenant_share = 1;
  Busy b(1, 1, options);
  std::vector<std::string> ids;
  for (int i = 0; i < 3; ++i) ids.push_back(b.floor.Ask(0, kLook, {1, 0.5}, 0.1, 6));
  EXPECT_TRUE(b.floor.asked.at(ids[2]).refused);
  EXPECT_FALSE(b.floor.asked.at(ids[0]).answered);
  EXPECT_EQ(b.stats().rejected, 1u);
  b.floor.Run(5);
  EXPECT_TRUE(b.floor.asked.at(ids[0]).served);
  EXPECT_TRUE(b.floor.asked.at(ids[1]).served);
}

TEST(Room, AJobThatFindsNoRoomInItsTimeIsRefusedBeforeItIsOver) {
  Busy b(1);
  const std::string id = b.floor.Ask(0, kLook, {1, 0.5}, 0.1, 1);
  b.floor.Run(0.999);
  EXPECT_TRUE(b.floor.asked.at(id).refused);
  EXPECT_EQ(b.stats().waiting, 0u);
  EXPECT_TRUE(b.floor.asked.at(id).sent_to.empty());
}

// What waited for a worker that comes back cold must not reach it in one burst.
TEST(Room, AReleaseAtAColdWorkerStaysWithinItsBudget) {
  const auto max_in_a_second = [](const Options& options) {
    SimulatedFleet floor(1, Platform(), options);
    for (int w = 0; w < 3; ++w) floor.AddWorker({4, 4}, 16);
    floor.Start();
    std::mt19937 random(5);
    for (int i = 0; i < 600; ++i) {
      floor.At(0.05 * i, [&floor, &random] {
        floor.Ask(0, random() % 4 == 0 ? kCharge : kLook, {1, 0.5}, 0.6, 6);
      });
    }
    floor.Run(12);
    floor.members[2].started_at_s = floor.now;
    floor.List(2, balancing::Readiness::kReady);
    const double born = floor.now;
    std::map<std::string, std::size_t> before;
    for (const auto& [id, a] : floor.asked) before[id] = a.sent_to.size();
    floor.Run(born + 1);
    int sent = 0;
    for (const auto& [id, a] : floor.asked) {
      for (std::size_t i = before.contains(id) ? before[id] : 0; i < a.sent_to.size(); ++i) {
        sent += a.sent_to[i] == 2;
      }
    }
    EXPECT_EQ(floor.faults, std::vector<std::string>{});
    return sent;
  };
  const int off = max_in_a_second({}), on = max_in_a_second(On());
  EXPECT_LE(on, off + 1) << "the module's budget binds what is released, too";
  EXPECT_GT(on, 0);
}

TEST(Room, TwoNodesDoNotBothHoldTheWholeOfOneWorker) {
  Busy b(2, 2, On(), 2);
  b.floor.Run(1);  // they have heard of each other
  b.floor.Ask(0, kCharge, {2, 2}, 1, 25);
  b.floor.Run(1.4);
  b.floor.Ask(1, kCharge, {2, 2}, 1, 25);
  b.floor.Run(1.5);
  EXPECT_GE(b.Holding(0), 0);
  EXPECT_NE(b.Holding(0), b.Holding(1));
}

TEST(Room, SettingsThatChangeLeaveWaitingJobsTheirRules) {
  Busy b(1);
  const std::string charge = b.floor.Ask(0, kCharge, {1, 1}, 1, 25);
  EXPECT_EQ(b.Holding(), 0);
  balancing::Settings settings = Platform();
  settings.dispatcher_count = 1;
  settings.classes.push_back({.latency_objective_s = 1,
                              .client_timeout_s = 5,
                              .priority_weight = 20});  // worth more still
  const std::vector<int> begun{2};
  balancing::Actions actions;
  b.floor.desks[0]->Handle(b.floor.now, balancing::SettingsChanged{&settings, &begun}, &actions);
  EXPECT_EQ(b.Holding(), 0);
  EXPECT_EQ(b.stats().waiting, 1u);
  b.floor.Run(4);
  EXPECT_TRUE(b.floor.asked.at(charge).served);
}

TEST(Room, NothingIsLeftOfJobsThatEnded) {
  SimulatedFleet* floor = nullptr;
  Morning(2, On(), 9, 1.2, &floor);
  for (const auto& desk : floor->desks) {
    EXPECT_EQ(desk->scheduler().stats().waiting, 0u);
    EXPECT_EQ(desk->open_jobs(), 0u);
    EXPECT_EQ(desk->scheduler().stats().reserved_slots, 0);
  }
}

// ---- the node on loopback ----

// A worker on HTTP with slots, memory and a queue in order.
struct SlotWorker {
  SlotWorker(Loop* loop, Resources capacity, std::size_t queue)
      : model(capacity, queue), toy(loop), loop(loop) {
    toy.on_request = [this](const FakeWorker::ReceivedRequest& g) {
      const std::string id = *g.head.Get("Request-Id");
      double run = 0, memory = 0;
      if (std::sscanf(g.body.c_str(), "%lf %lf", &run, &memory) != 2) return;
      if (!model.Submit({id, {1, memory}, run, 0})) {
        g.from->Write("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      asked.emplace(id, g);
      g.from->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      Turn();
    };
  }
  static void Chunk(const FakeWorker::ReceivedRequest& g, const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    g.from->Write(size + line + "\n\r\n");
  }
  void Turn() {
    for (const WorkerModel::Job& job : model.Begin(loop->Now())) {
      Chunk(asked.at(job.id), FakeWorker::StateLine(asked.at(job.id), "started"));
      loop->deadlines().At(job.ends_at, [this] {
        for (const WorkerModel::Job& done : model.End(loop->Now())) {
          const FakeWorker::ReceivedRequest& g = asked.at(done.id);
          std::string line = FakeWorker::StateLine(g, "done");
          line.insert(line.size() - 1, R"(,"result":"ok")");
          Chunk(g, line);
          g.from->Write("0\r\n\r\n");
        }
        Turn();
      });
    }
  }
  WorkerModel model;
  FakeWorker toy;
  Loop* loop;
  std::map<std::string, FakeWorker::ReceivedRequest> asked;
};

struct SlotHarness {
  SlotHarness(int n, Resources capacity, const std::string& scheduling,
              const std::string& handover = "") {
    LogLevel() = Level::kError;
    std::vector<std::string> addresses;
    for (int i = 0; i < n; ++i) {
      workers.push_back(std::make_unique<SlotWorker>(&host, capacity, 8));
      addresses.push_back(workers.back()->toy.address());
    }
    text = TestConfig(addresses, scheduling);
    const std::string plain = R"("state":"in_service")";
    const std::string sized = plain + R"(,"slots":)" + std::to_string(capacity.slots) +
                              R"(,"memory":)" + std::to_string(capacity.memory);
    for (std::size_t at = text.find(plain); at != std::string::npos;
         at = text.find(plain, at + sized.size())) {
      text.replace(at, plain.size(), sized);
    }
    std::string error;
    EXPECT_TRUE(ReadConfig(text, &config, &error)) << error;
    config.handover = handover;
    node = std::make_unique<Node>(config);
    EXPECT_TRUE(IsOk(node->Start()));
  }
  template <typename Done>
  bool Until(Done done, double timeout_s = 10) {
    const double until = host.Now() + timeout_s;
    while (!done() && host.Now() < until) {
      for (Loop* loop : {&host, &node->loop(), next ? &next->loop() : nullptr}) {
        if (loop == nullptr) continue;
        loop->deadlines().At(loop->Now() + 0.001, [] {});
        loop->Turn();
      }
    }
    return done();
  }
  bool StartNext() {  // the same program once more beside itself
    next = std::make_unique<Node>(config);
    next->while_waiting = [this] {
      node->loop().deadlines().At(node->loop().Now() + 0.001, [] {});
      node->loop().Turn();
    };
    return next->Start().has_value();
  }
  struct Call {
    std::unique_ptr<RawClient> raw;
    int cls = 0;
    double run = 0, at = 0, took = -1;
    int status() const {
      return raw->received.size() > 12 ? std::atoi(raw->received.c_str() + 9) : 0;
    }
  };
  Call* Ask(int cls, double run, double memory, int timeout_ms) {
    auto call = std::make_unique<Call>();
    Call* c = call.get();
    c->cls = cls;
    c->run = run;
    c->at = host.Now();
    c->raw = std::make_unique<RawClient>(&host, node->http_address());
    c->raw->on_read = [this, c] {
      if (c->took < 0 && c->raw->received.find("\r\n\r\n") != std::string::npos) {
        c->took = host.Now() - c->at;
      }
    };
    const std::string id = "r" + std::to_string(calls.size());
    c->raw->Write(Post(id, cls == kLook ? "look" : "charge",
                       "Request-Info: memory=" + std::to_string(memory) + "\r\n" +
                           (cls == kCharge ? "Idempotency-Key: " + id + "\r\n" : std::string()),
                       std::to_string(run) + " " + std::to_string(memory), timeout_ms));
    calls.push_back(std::move(call));
    return c;
  }
  std::string Figure(const std::string& name) const {
    const std::string all = node->Figures();
    const auto at = all.find(name + ":");
    return at == std::string::npos
               ? ""
               : all.substr(at + name.size() + 1, all.find('|', at) - at - name.size() - 1);
  }
  Loop host;
  std::string text;
  Config config;
  std::vector<std::unique_ptr<SlotWorker>> workers;
  std::unique_ptr<Node> node, next;
  std::vector<std::unique_ptr<Call>> calls;
};

const std::string kOn = R"("scheduling":{"enabled":true},)";

// The figures of a flood on loopback, with and without, in one run.
TEST(RoomOnLoopback, ChargesKeepTheirTimeUnderAFlood) {
  double in_time[2][2] = {}, asked[2][2] = {};
  for (const int on : {0, 1}) {
    SlotHarness harness(2, {3, 3}, on == 1 ? kOn : "");
    std::mt19937 random(21);
    std::exponential_distribution<double> gap(1);
    const double start = harness.host.Now();
    // Six slots; lookups of 90 ms at 1.6 times all of them, charges of 240 ms at a fifth.
    for (const auto& [cls, rate] : {std::pair{kLook, 1.6 * 6 / 0.09}, {kCharge, 0.2 * 6 / 0.24}}) {
      for (double at = gap(random) / rate; at < 3; at += gap(random) / rate) {
        const double run = (cls == kLook ? 0.09 : 0.24) * (0.7 + 0.6 * (random() % 100) / 100.0);
        harness.host.deadlines().At(start + at, [&harness, cls = cls, run] {
          harness.Ask(cls, run, cls == kLook ? 0.5 : 1, cls == kLook ? 1200 : 4000);
        });
      }
    }
    ASSERT_TRUE(harness.Until([&] { return harness.host.Now() > start + 3; }));
    ASSERT_TRUE(harness.Until([&] {
      return std::all_of(harness.calls.begin(), harness.calls.end(),
                         [](const auto& c) { return c->took >= 0; });
    }));
    for (const auto& c : harness.calls) {
      asked[on][c->cls] += 1;
      in_time[on][c->cls] +=
          c->status() == 200 && c->took < (c->cls == kLook ? 0.35 : 1.0) + c->run;
    }
    EXPECT_EQ(harness.node->counters().blocked, 0u);
  }
  const auto share = [&](int on, int cls) { return in_time[on][cls] / asked[on][cls]; };
  std::cout << "loopback: charges " << share(0, kCharge) << " -> " << share(1, kCharge)
            << ", lookups " << share(0, kLook) << " -> " << share(1, kLook) << "\n";
  EXPECT_GE(share(1, kCharge), 0.9);  // a busy machine is allowed a few
  EXPECT_GE(share(1, kLook), 0.9 * share(0, kLook));
}

TEST(RoomOnLoopback, AClientThatLeavesFreesItsRoomWithinATurn) {
  SlotHarness harness(1, {2, 2}, kOn);
  for (int i = 0; i < 2; ++i) harness.Ask(kLook, 5, 0.5, 9000);
  ASSERT_TRUE(harness.Until([&] { return harness.workers[0]->model.running() == 2; }));
  SlotHarness::Call* charge = harness.Ask(kCharge, 1, 2, 9000);
  ASSERT_TRUE(harness.Until([&] { return harness.Figure("app.scheduling.reservations") == "1"; }));
  EXPECT_EQ(harness.Figure("app.scheduling.charge.waiting"), "1");
  charge->raw.reset();
  ASSERT_TRUE(
      harness.Until([&] { return harness.Figure("app.scheduling.reservations") == "0"; }, 1));
  EXPECT_EQ(harness.Figure("app.scheduling.waiting"), "0");
  EXPECT_EQ(harness.workers[0]->asked.size(), 2u) << "it never reached a worker";
}

TEST(RoomOnLoopback, SigtermServesWhatWaitsAndEndsOnce) {
  SlotHarness harness(1, {1, 1}, kOn);
  harness.Ask(kLook, 0.2, 0.5, 5000);
  ASSERT_TRUE(harness.Until([&] { return harness.workers[0]->model.running() == 1; }));
  for (int i = 0; i < 3; ++i) harness.Ask(i == 0 ? kCharge : kLook, 0.1, 0.5, 5000);
  ASSERT_TRUE(harness.Until([&] { return harness.Figure("app.scheduling.waiting") == "3"; }));
  harness.node->BeginStop();
  ASSERT_TRUE(harness.Until([&] {
    return std::all_of(harness.calls.begin(), harness.calls.end(),
                       [](const auto& c) { return c->took >= 0; });
  }));
  for (const auto& c : harness.calls) EXPECT_EQ(c->status(), 200);
  EXPECT_EQ(harness.node->counters().completed, 4u);
}

// The old process keeps what waits with it; the new one hears what is out and held there.
TEST(RoomOnLoopback, AReplacedProcessEndsWhatWaitsWithIt) {
  char folder[] = "/tmp/room-XXXXXX";
  ASSERT_NE(mkdtemp(folder), nullptr);
  SlotHarness harness(1, {1, 1}, kOn, folder);
  harness.Ask(kLook, 0.3, 0.5, 5000);
  ASSERT_TRUE(harness.Until([&] { return harness.workers[0]->model.running() == 1; }));
  for (int i = 0; i < 3; ++i) harness.Ask(i == 0 ? kCharge : kLook, 0.1, 0.5, 5000);
  ASSERT_TRUE(harness.Until([&] { return harness.Figure("app.scheduling.waiting") == "3"; }));
  ASSERT_TRUE(harness.StartNext());
  harness.node->BeginStop();
  ASSERT_TRUE(harness.Until([&] {
    return std::all_of(harness.calls.begin(), harness.calls.end(),
                       [](const auto& c) { return c->took >= 0; });
  }));
  for (const auto& c : harness.calls) {
    EXPECT_EQ(c->status(), 200);
    EXPECT_EQ(c->raw->received.find("HTTP/1.1", 1), std::string::npos) << "one answer";
  }
  EXPECT_EQ(harness.node->counters().completed, 4u);
  std::filesystem::remove_all(folder);
}

// 200 jobs at once for two workers: all could run within their time, and all do.
TEST(RoomOnLoopback, GearmanJobsWaitForAWorkerInPlaceOfAFailure) {
  NodeHarness harness(
      0, kOn + R"("gearman":{"listen":"127.0.0.1:0","functions":{"f":{"class":"charge"}}},)");
  std::vector<std::unique_ptr<GearmanPeer>> workers;
  for (int i = 0; i < 2; ++i) {
    workers.push_back(harness.Gearman());
    workers.back()->ServeJobs("f", "done");
  }
  harness.Until([&] { return harness.node->Figures().find("app.members:2") != std::string::npos; });
  const auto client = harness.Gearman();
  for (int i = 0; i < 200; ++i) {
    client->Send(gearman::Type::kSubmitJob, {"f", "u" + std::to_string(i), "x"});
  }
  harness.Until(
      [&] {
        return client->ResponsesOf(gearman::Type::kWorkComplete).size() +
                   client->ResponsesOf(gearman::Type::kWorkFail).size() ==
               200;
      },
      20);
  EXPECT_EQ(client->ResponsesOf(gearman::Type::kWorkComplete).size(), 200u);
  EXPECT_EQ(client->ResponsesOf(gearman::Type::kWorkFail).size(), 0u);
}

}  // namespace
}  // namespace millethollow
