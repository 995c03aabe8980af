// Tests of the balancer combined with the scheduler: in a simulated fleet on a virtual clock, and
// in a node on loopback.
#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>

#include "support/node_harness.h"
#include "support/simulated_fleet.h"

namespace millethollow {
namespace {

using scheduling::Options;
using scheduling::Resources;

constexpr int kLookupClass = 0, kChargeClass = 1;

balancing::Settings TestSettings() {
  balancing::Settings settings;
  settings.classes.resize(2);
  settings.classes[kLookupClass] = {.latency_objective_s = 0.25,
                                    .latency_objective_stretch = 1.75,
                                    .client_timeout_s = 6,
                                    .priority_weight = 1};
  settings.classes[kChargeClass] = {.latency_objective_s = 2,
                                    .latency_objective_stretch = 1.75,
                                    .client_timeout_s = 25,
                                    .priority_weight = 8,
                                    .idempotency = balancing::Idempotency::kIdempotentWithKey,
                                    .deduplication_scope = balancing::DeduplicationScope::kCell,
                                    .deduplication_window_s = 40};
  settings.tenants = {{.share = 0.6, .quota_rps = 1000}, {.share = 0.4, .quota_rps = 1000}};
  ApplyPlatformSettings(&settings);
  settings.retry_after = true;
  settings.max_retry_after_s = 2;
  return settings;
}

Options SchedulingOn() {
  Options options;
  options.on = true;
  return options;
}

// Results of the requests of one class.
struct ClassResults {
  double requests = 0, in_time = 0, rejected = 0;
  double share() const { return requests > 0 ? in_time / requests : 0; }
};

// Simulates a load of charges that use a third of the fleet, and of lookups that need `lookup_load`
// times the whole fleet. Returns the results by class.
std::vector<ClassResults> RunLoad(int nodes, const Options& options, std::uint32_t seed,
                                  double lookup_load, SimulatedFleet** kept_fleet = nullptr) {
  static std::unique_ptr<SimulatedFleet> fleet;
  fleet = std::make_unique<SimulatedFleet>(nodes, TestSettings(), options);
  for (int worker = 0; worker < 4; ++worker) fleet->AddWorker({4, 4}, 8);
  fleet->Start();
  std::mt19937 random(seed);
  constexpr double kLookupRunS = 0.45, kChargeRunS = 2.7, kSlots = 16, kDurationS = 40;
  for (const int class_index : {kLookupClass, kChargeClass}) {
    const double rate = class_index == kLookupClass ? lookup_load * kSlots / kLookupRunS
                                                    : 0.33 * kSlots / kChargeRunS / 1.5;
    std::exponential_distribution<double> interarrival_s(rate);
    std::lognormal_distribution<double> run_time_factor(-0.2, 0.63);
    for (double arrives_at = interarrival_s(random); arrives_at < kDurationS;
         arrives_at += interarrival_s(random)) {
      const Resources need =
          class_index == kLookupClass ? Resources{1, 0.4} : Resources{1, 1 + random() % 3 * 0.5};
      const double run_s =
          (class_index == kLookupClass ? kLookupRunS : kChargeRunS) * run_time_factor(random);
      const std::size_t node = random() % static_cast<std::uint32_t>(nodes);
      const int tenant = static_cast<int>(random() % 2);
      fleet->ScheduleAt(arrives_at, [=, fleet_pointer = fleet.get()] {
        fleet_pointer->SendRequest(node, class_index, need, run_s,
                                   class_index == kLookupClass ? 6 : 25, tenant);
      });
    }
  }
  fleet->Run(kDurationS + 30);
  std::vector<ClassResults> results(2);
  for (const auto& [id, request] : fleet->requests) {
    ClassResults& class_results = results[static_cast<std::size_t>(request.class_index)];
    const double latency_objective_s =
        (request.class_index == kLookupClass ? 0.25 : 2) + 1.75 * request.run_time_s;
    class_results.requests += 1;
    class_results.in_time += request.served && request.latency_s <= latency_objective_s;
    class_results.rejected += request.rejected;
    EXPECT_TRUE(request.answered) << id;
  }
  for (const WorkerModel& worker : fleet->workers)
    EXPECT_EQ(worker.running() + worker.waiting(), 0u);
  EXPECT_EQ(fleet->violations, std::vector<std::string>{});
  if (kept_fleet != nullptr) *kept_fleet = fleet.get();
  return results;
}

TEST(SchedulingBalancer, ChargesMeetTheirLatencyObjectiveUnderOverload) {
  double charges_with = 0, charges_without = 0, lookups_with = 0, lookups_without = 0;
  for (const std::uint32_t seed : {1u, 2u, 3u}) {
    const auto without_scheduling = RunLoad(1, {}, seed, 0.8),
               with_scheduling = RunLoad(1, SchedulingOn(), seed, 0.8);
    charges_without += without_scheduling[kChargeClass].share() / 3;
    charges_with += with_scheduling[kChargeClass].share() / 3;
    lookups_without += without_scheduling[kLookupClass].share() / 3;
    lookups_with += with_scheduling[kLookupClass].share() / 3;
  }
  std::cout << "charges in time " << charges_without << " -> " << charges_with << ", lookups "
            << lookups_without << " -> " << lookups_with << "\n";
  EXPECT_GE(charges_with, 0.95);
  EXPECT_GT(charges_with, charges_without);
  EXPECT_GE(lookups_with, 0.9 * lookups_without);
}

// Prints the table in docs/room.md. Takes too long for every run: use
// --gtest_also_run_disabled_tests.
TEST(SchedulingBalancer, DISABLED_TableOfOverloads) {
  for (const int nodes : {1, 3}) {
    for (const double lookup_load : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0}) {
      double share[2][2] = {};
      for (const int with_scheduling : {0, 1}) {
        for (const std::uint32_t seed : {1u, 2u, 3u, 4u}) {
          const auto results =
              RunLoad(nodes, with_scheduling == 1 ? SchedulingOn() : Options{}, seed, lookup_load);
          for (const int class_index : {kLookupClass, kChargeClass}) {
            share[with_scheduling][class_index] +=
                results[static_cast<std::size_t>(class_index)].share() / 4;
          }
        }
      }
      std::printf("| %d | %.1f | %.3f -> %.3f | %.3f -> %.3f |\n", nodes, lookup_load,
                  share[0][kChargeClass], share[1][kChargeClass], share[0][kLookupClass],
                  share[1][kLookupClass]);
    }
  }
}

TEST(SchedulingBalancer, NodesThatShareWorkersServeBothClasses) {
  SimulatedFleet* fleet = nullptr;
  const auto without_scheduling = RunLoad(3, {}, 4, 0.7),
             with_scheduling = RunLoad(3, SchedulingOn(), 4, 0.7, &fleet);
  std::cout << "three nodes: charges " << without_scheduling[kChargeClass].share() << " -> "
            << with_scheduling[kChargeClass].share() << ", lookups "
            << without_scheduling[kLookupClass].share() << " -> "
            << with_scheduling[kLookupClass].share() << "\n";
  EXPECT_GE(with_scheduling[kChargeClass].share(), without_scheduling[kChargeClass].share());
  EXPECT_GE(with_scheduling[kLookupClass].share(), 0.9 * without_scheduling[kLookupClass].share());
  for (const WorkerModel& worker : fleet->workers)
    EXPECT_EQ(worker.max_used(), 4) << "each worker was used fully at some time";
}

// A fleet of `worker_count` workers whose slots are all in use by jobs that run for two seconds.
struct BusyFleet {
  explicit BusyFleet(int worker_count, double slots = 1, const Options& options = SchedulingOn(),
                     int nodes = 1)
      : fleet(nodes, TestSettings(), options) {
    for (int worker = 0; worker < worker_count; ++worker) fleet.AddWorker({slots, slots}, 4);
    fleet.Start();
    for (int i = 0; i < worker_count * static_cast<int>(slots); ++i) {
      running.push_back(fleet.SendRequest(0, kLookupClass, {1, 0.5}, 2, 6));
    }
    fleet.Run(0.01);
  }
  int WorkerWithReservation(std::size_t node = 0) const {
    for (std::size_t worker = 0; worker < fleet.workers.size(); ++worker) {
      if (fleet.dispatchers[node]->scheduler().ReservedSlots(worker) > 0)
        return static_cast<int>(worker);
    }
    return -1;
  }
  scheduling::SchedulerStats stats() const { return fleet.dispatchers[0]->scheduler().stats(); }
  SimulatedFleet fleet;
  std::vector<std::string> running;
};

struct WorkerLoss {
  const char* name;
  std::function<void(BusyFleet&, int)> apply;
};
TEST(SchedulingBalancer, AReservationMovesFromALostWorkerWithoutDelay) {
  using balancing::Readiness;
  const WorkerLoss kLosses[] = {
      WorkerLoss{"drains",
                 [](BusyFleet& busy, int worker) {
                   busy.fleet.SetReadiness(worker, Readiness::kDraining);
                 }},
      WorkerLoss{"is gone", [](BusyFleet& busy,
                               int worker) { busy.fleet.SetReadiness(worker, Readiness::kGone); }},
      WorkerLoss{"is put in maintenance",
                 [](BusyFleet& busy, int worker) {
                   busy.fleet.Handle(
                       0, balancing::MaintenanceChanged{SimulatedFleet::WorkerName(worker), true});
                 }},
      WorkerLoss{"fails and is ejected",
                 [](BusyFleet& busy, int worker) {
                   for (const std::string& id : busy.running) {
                     if (busy.fleet.requests.at(id).sent_to.front() != worker) continue;
                     busy.fleet.Handle(
                         0, balancing::AttemptEnded{
                                .id = id, .status = balancing::AttemptStatus::kConnectFailed});
                   }
                 }},
  };
  for (const WorkerLoss& loss : kLosses) {
    BusyFleet busy(3);
    const std::string charge = busy.fleet.SendRequest(0, kChargeClass, {1, 1}, 1, 25);
    const int reserved_worker = busy.WorkerWithReservation();
    ASSERT_GE(reserved_worker, 0) << loss.name;
    loss.apply(busy, reserved_worker);
    EXPECT_NE(busy.WorkerWithReservation(), reserved_worker) << loss.name;
    EXPECT_GE(busy.WorkerWithReservation(), 0) << loss.name << ": it moves at once";
    busy.fleet.Run(10);
    const SimulatedFleet::RequestRecord& request = busy.fleet.requests.at(charge);
    EXPECT_TRUE(request.served) << loss.name;
    EXPECT_LT(request.latency_s, 3.1)
        << loss.name << ": it waits 2 s for the next free slot and runs for 1 s";
    EXPECT_NE(request.sent_to.front(), reserved_worker) << loss.name;
  }
}

TEST(SchedulingBalancer, CancellingAQueuedRequestReleasesItsReservationAtOnce) {
  BusyFleet busy(1, 2);
  const std::string charge = busy.fleet.SendRequest(0, kChargeClass, {2, 2}, 1, 25);
  EXPECT_EQ(busy.WorkerWithReservation(), 0);
  const std::string lookup = busy.fleet.SendRequest(0, kLookupClass, {1, 0.5}, 9, 20);
  EXPECT_EQ(busy.stats().waiting, 2u);
  busy.fleet.CancelByClient(0, charge);
  EXPECT_EQ(busy.WorkerWithReservation(), -1);
  EXPECT_EQ(busy.stats().reserved_slots, 0);
  busy.fleet.Run(2.1);
  EXPECT_EQ(busy.stats().waiting, 0u) << "the lookup started when the first two ended";
  EXPECT_TRUE(busy.fleet.requests.at(charge).sent_to.empty());
}

TEST(SchedulingBalancer, ARequestThatFitsNoWorkerFailsAtOnce) {
  BusyFleet busy(2, 2);
  for (const Resources need : {Resources{3, 1}, Resources{1, 2.5}}) {
    const std::string id = busy.fleet.SendRequest(0, kChargeClass, need, 1, 25);
    EXPECT_TRUE(busy.fleet.requests.at(id).failed);
    EXPECT_EQ(busy.fleet.requests.at(id).latency_s, 0);
    EXPECT_TRUE(busy.fleet.requests.at(id).sent_to.empty());
  }
}

TEST(SchedulingBalancer, AFullQueueRejectsAtOnce) {
  Options options = SchedulingOn();
  options.max_queued_jobs = 2;
  options.max_tenant_share = 1;
  BusyFleet busy(1, 1, options);
  std::vector<std::string> ids;
  for (int i = 0; i < 3; ++i)
    ids.push_back(busy.fleet.SendRequest(0, kLookupClass, {1, 0.5}, 0.1, 6));
  EXPECT_TRUE(busy.fleet.requests.at(ids[2]).rejected);
  EXPECT_FALSE(busy.fleet.requests.at(ids[0]).answered);
  EXPECT_EQ(busy.stats().rejected, 1u);
  busy.fleet.Run(5);
  EXPECT_TRUE(busy.fleet.requests.at(ids[0]).served);
  EXPECT_TRUE(busy.fleet.requests.at(ids[1]).served);
}

TEST(SchedulingBalancer, AJobThatCannotStartIsRejectedBeforeItsTimeout) {
  BusyFleet busy(1);
  const std::string id = busy.fleet.SendRequest(0, kLookupClass, {1, 0.5}, 0.1, 1);
  busy.fleet.Run(0.999);
  EXPECT_TRUE(busy.fleet.requests.at(id).rejected);
  EXPECT_EQ(busy.stats().waiting, 0u);
  EXPECT_TRUE(busy.fleet.requests.at(id).sent_to.empty());
}

// Guards against a burst of queued jobs at a worker that has just restarted and is in slow start.
TEST(SchedulingBalancer, QueuedJobsRespectTheSlowStartOfAWorker) {
  const auto max_in_a_second = [](const Options& options) {
    SimulatedFleet fleet(1, TestSettings(), options);
    for (int worker = 0; worker < 3; ++worker) fleet.AddWorker({4, 4}, 16);
    fleet.Start();
    std::mt19937 random(5);
    for (int i = 0; i < 600; ++i) {
      fleet.ScheduleAt(0.05 * i, [&fleet, &random] {
        fleet.SendRequest(0, random() % 4 == 0 ? kChargeClass : kLookupClass, {1, 0.5}, 0.6, 6);
      });
    }
    fleet.Run(12);
    fleet.endpoints[2].started_at_s = fleet.now;
    fleet.SetReadiness(2, balancing::Readiness::kReady);
    const double ready_at = fleet.now;
    std::map<std::string, std::size_t> attempts_before;
    for (const auto& [id, request] : fleet.requests) attempts_before[id] = request.sent_to.size();
    fleet.Run(ready_at + 1);
    int sent = 0;
    for (const auto& [id, request] : fleet.requests) {
      for (std::size_t i = attempts_before.contains(id) ? attempts_before[id] : 0;
           i < request.sent_to.size(); ++i) {
        sent += request.sent_to[i] == 2;
      }
    }
    EXPECT_EQ(fleet.violations, std::vector<std::string>{});
    return sent;
  };
  const int without_scheduling = max_in_a_second({}),
            with_scheduling = max_in_a_second(SchedulingOn());
  EXPECT_LE(with_scheduling, without_scheduling + 1)
      << "the balancer's slow start limits queued jobs too";
  EXPECT_GT(with_scheduling, 0);
}

TEST(SchedulingBalancer, TwoNodesDoNotBothReserveAWholeWorker) {
  BusyFleet busy(2, 2, SchedulingOn(), 2);
  busy.fleet.Run(1);  // the nodes have exchanged usage reports
  busy.fleet.SendRequest(0, kChargeClass, {2, 2}, 1, 25);
  busy.fleet.Run(1.4);
  busy.fleet.SendRequest(1, kChargeClass, {2, 2}, 1, 25);
  busy.fleet.Run(1.5);
  EXPECT_GE(busy.WorkerWithReservation(0), 0);
  EXPECT_NE(busy.WorkerWithReservation(0), busy.WorkerWithReservation(1));
}

TEST(SchedulingBalancer, ReloadedSettingsKeepQueuedJobsAndReservations) {
  BusyFleet busy(1);
  const std::string charge = busy.fleet.SendRequest(0, kChargeClass, {1, 1}, 1, 25);
  EXPECT_EQ(busy.WorkerWithReservation(), 0);
  balancing::Settings settings = TestSettings();
  settings.dispatcher_count = 1;
  settings.classes.push_back({.latency_objective_s = 1,
                              .client_timeout_s = 5,
                              .priority_weight = 20});  // an even higher weight
  const std::vector<int> added_classes{2};
  balancing::Actions actions;
  busy.fleet.dispatchers[0]->Handle(
      busy.fleet.now, balancing::SettingsChanged{&settings, &added_classes}, &actions);
  EXPECT_EQ(busy.WorkerWithReservation(), 0);
  EXPECT_EQ(busy.stats().waiting, 1u);
  busy.fleet.Run(4);
  EXPECT_TRUE(busy.fleet.requests.at(charge).served);
}

TEST(SchedulingBalancer, KeepsNoStateOfEndedJobs) {
  SimulatedFleet* fleet = nullptr;
  RunLoad(2, SchedulingOn(), 9, 1.2, &fleet);
  for (const auto& balancer : fleet->dispatchers) {
    EXPECT_EQ(balancer->scheduler().stats().waiting, 0u);
    EXPECT_EQ(balancer->open_jobs(), 0u);
    EXPECT_EQ(balancer->scheduler().stats().reserved_slots, 0);
  }
}

// ---- the node on loopback ----

// An HTTP worker with slots, memory and a FIFO queue.
struct SlotWorker {
  SlotWorker(Loop* loop, Resources capacity, std::size_t queue)
      : model(capacity, queue), http_worker(loop), loop(loop) {
    http_worker.on_request = [this](const FakeWorker::ReceivedRequest& request) {
      const std::string id = *request.head.Get("Request-Id");
      double run_s = 0, memory = 0;
      if (std::sscanf(request.body.c_str(), "%lf %lf", &run_s, &memory) != 2) return;
      if (!model.Submit({id, {1, memory}, run_s, 0})) {
        request.from->Write("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        return;
      }
      requests.emplace(id, request);
      request.from->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      StartJobs();
    };
  }
  static void WriteChunk(const FakeWorker::ReceivedRequest& request, const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    request.from->Write(size + line + "\n\r\n");
  }
  void StartJobs() {
    for (const WorkerModel::Job& job : model.Begin(loop->Now())) {
      WriteChunk(requests.at(job.id), FakeWorker::StateLine(requests.at(job.id), "started"));
      loop->deadlines().At(job.ends_at, [this] {
        for (const WorkerModel::Job& done : model.End(loop->Now())) {
          const FakeWorker::ReceivedRequest& request = requests.at(done.id);
          std::string line = FakeWorker::StateLine(request, "done");
          line.insert(line.size() - 1, R"(,"result":"ok")");
          WriteChunk(request, line);
          request.from->Write("0\r\n\r\n");
        }
        StartJobs();
      });
    }
  }
  WorkerModel model;
  FakeWorker http_worker;
  Loop* loop;
  std::map<std::string, FakeWorker::ReceivedRequest> requests;
};

// A node and its HTTP workers, on two event loops: `host` runs the workers and the clients.
struct SlotHarness {
  SlotHarness(int worker_count, Resources capacity, const std::string& scheduling,
              const std::string& handover = "") {
    LogLevel() = Level::kError;
    std::vector<std::string> addresses;
    for (int i = 0; i < worker_count; ++i) {
      workers.push_back(std::make_unique<SlotWorker>(&host, capacity, 8));
      addresses.push_back(workers.back()->http_worker.address());
    }
    config_text = TestConfig(addresses, scheduling);
    const std::string state_field = R"("state":"in_service")";
    const std::string state_and_capacity = state_field + R"(,"slots":)" +
                                           std::to_string(capacity.slots) + R"(,"memory":)" +
                                           std::to_string(capacity.memory);
    for (std::size_t position = config_text.find(state_field); position != std::string::npos;
         position = config_text.find(state_field, position + state_and_capacity.size())) {
      config_text.replace(position, state_field.size(), state_and_capacity);
    }
    std::string error;
    EXPECT_TRUE(ReadConfig(config_text, &config, &error)) << error;
    config.handover_directory = handover;
    node = std::make_unique<Node>(config);
    EXPECT_TRUE(IsOk(node->Start()));
  }
  template <typename Done>
  bool Until(Done done, double timeout_s = 10) {
    const double until = host.Now() + timeout_s;
    while (!done() && host.Now() < until) {
      for (Loop* loop : {&host, &node->loop(), successor ? &successor->loop() : nullptr}) {
        if (loop == nullptr) continue;
        loop->deadlines().At(loop->Now() + 0.001, [] {});
        loop->Turn();
      }
    }
    return done();
  }
  // Starts a second node with the same configuration, as in a hot restart.
  bool StartSuccessor() {
    successor = std::make_unique<Node>(config);
    successor->run_predecessor = [this] {
      node->loop().deadlines().At(node->loop().Now() + 0.001, [] {});
      node->loop().Turn();
    };
    return successor->Start().has_value();
  }
  struct Call {
    std::unique_ptr<RawClient> client;
    int class_index = 0;
    double run_s = 0, sent_at = 0, latency_s = -1;  // -1: not answered yet
    int status() const {
      return client->received.size() > 12 ? std::atoi(client->received.c_str() + 9) : 0;
    }
  };
  // Sends a request on a connection of its own.
  Call* SendRequest(int class_index, double run_s, double memory, int timeout_ms) {
    auto owned_call = std::make_unique<Call>();
    Call* call = owned_call.get();
    call->class_index = class_index;
    call->run_s = run_s;
    call->sent_at = host.Now();
    call->client = std::make_unique<RawClient>(&host, node->http_address());
    call->client->on_read = [this, call] {
      if (call->latency_s < 0 && call->client->received.find("\r\n\r\n") != std::string::npos) {
        call->latency_s = host.Now() - call->sent_at;
      }
    };
    const std::string id = "r" + std::to_string(calls.size());
    call->client->Write(
        Post(id, class_index == kLookupClass ? "look" : "charge",
             "Request-Info: memory=" + std::to_string(memory) + "\r\n" +
                 (class_index == kChargeClass ? "Idempotency-Key: " + id + "\r\n" : std::string()),
             std::to_string(run_s) + " " + std::to_string(memory), timeout_ms));
    calls.push_back(std::move(owned_call));
    return call;
  }
  std::string Metric(const std::string& name) const {
    const std::string metrics = node->Metrics();
    const auto position = metrics.find(name + ":");
    return position == std::string::npos
               ? ""
               : metrics.substr(position + name.size() + 1,
                                metrics.find('|', position) - position - name.size() - 1);
  }
  Loop host;
  std::string config_text;
  Config config;
  std::vector<std::unique_ptr<SlotWorker>> workers;
  std::unique_ptr<Node> node, successor;
  std::vector<std::unique_ptr<Call>> calls;
};

const std::string kSchedulingOn = R"("scheduling":{"enabled":true},)";

// Compares a load above the capacity without and with scheduling.
TEST(SchedulingOnLoopback, ChargesMeetTheirLatencyObjectiveUnderOverload) {
  double in_time[2][2] = {}, request_counts[2][2] = {};
  for (const int scheduling_on : {0, 1}) {
    SlotHarness harness(2, {3, 3}, scheduling_on == 1 ? kSchedulingOn : "");
    std::mt19937 random(21);
    std::exponential_distribution<double> interarrival(1);
    const double start = harness.host.Now();
    // Six slots. Lookups of 90 ms need 1.6 times all of them, charges of 240 ms a fifth.
    for (const auto& [class_index, rate] :
         {std::pair{kLookupClass, 1.6 * 6 / 0.09}, {kChargeClass, 0.2 * 6 / 0.24}}) {
      for (double arrives_after_s = interarrival(random) / rate; arrives_after_s < 3;
           arrives_after_s += interarrival(random) / rate) {
        const double run_s =
            (class_index == kLookupClass ? 0.09 : 0.24) * (0.7 + 0.6 * (random() % 100) / 100.0);
        harness.host.deadlines().At(
            start + arrives_after_s, [&harness, class_index = class_index, run_s] {
              harness.SendRequest(class_index, run_s, class_index == kLookupClass ? 0.5 : 1,
                                  class_index == kLookupClass ? 1200 : 4000);
            });
      }
    }
    ASSERT_TRUE(harness.Until([&] { return harness.host.Now() > start + 3; }));
    ASSERT_TRUE(harness.Until([&] {
      return std::all_of(harness.calls.begin(), harness.calls.end(),
                         [](const auto& call) { return call->latency_s >= 0; });
    }));
    for (const auto& call : harness.calls) {
      request_counts[scheduling_on][call->class_index] += 1;
      in_time[scheduling_on][call->class_index] +=
          call->status() == 200 &&
          call->latency_s < (call->class_index == kLookupClass ? 0.35 : 1.0) + call->run_s;
    }
    EXPECT_EQ(harness.node->counters().blocked, 0u);
  }
  const auto share = [&](int scheduling_on, int class_index) {
    return in_time[scheduling_on][class_index] / request_counts[scheduling_on][class_index];
  };
  std::cout << "loopback: charges " << share(0, kChargeClass) << " -> " << share(1, kChargeClass)
            << ", lookups " << share(0, kLookupClass) << " -> " << share(1, kLookupClass) << "\n";
  EXPECT_GE(share(1, kChargeClass), 0.9);  // allows for delays on a busy machine
  EXPECT_GE(share(1, kLookupClass), 0.9 * share(0, kLookupClass));
}

TEST(SchedulingOnLoopback, ADisconnectedClientReleasesItsReservation) {
  SlotHarness harness(1, {2, 2}, kSchedulingOn);
  for (int i = 0; i < 2; ++i) harness.SendRequest(kLookupClass, 5, 0.5, 9000);
  ASSERT_TRUE(harness.Until([&] { return harness.workers[0]->model.running() == 2; }));
  SlotHarness::Call* charge = harness.SendRequest(kChargeClass, 1, 2, 9000);
  ASSERT_TRUE(harness.Until([&] { return harness.Metric("app.scheduling.reservations") == "1"; }));
  EXPECT_EQ(harness.Metric("app.scheduling.charge.waiting"), "1");
  charge->client.reset();
  ASSERT_TRUE(
      harness.Until([&] { return harness.Metric("app.scheduling.reservations") == "0"; }, 1));
  EXPECT_EQ(harness.Metric("app.scheduling.waiting"), "0");
  EXPECT_EQ(harness.workers[0]->requests.size(), 2u) << "it was not sent to a worker";
}

TEST(SchedulingOnLoopback, SigtermCompletesQueuedRequests) {
  SlotHarness harness(1, {1, 1}, kSchedulingOn);
  harness.SendRequest(kLookupClass, 0.2, 0.5, 5000);
  ASSERT_TRUE(harness.Until([&] { return harness.workers[0]->model.running() == 1; }));
  for (int i = 0; i < 3; ++i)
    harness.SendRequest(i == 0 ? kChargeClass : kLookupClass, 0.1, 0.5, 5000);
  ASSERT_TRUE(harness.Until([&] { return harness.Metric("app.scheduling.waiting") == "3"; }));
  harness.node->BeginStop();
  ASSERT_TRUE(harness.Until([&] {
    return std::all_of(harness.calls.begin(), harness.calls.end(),
                       [](const auto& call) { return call->latency_s >= 0; });
  }));
  for (const auto& call : harness.calls) EXPECT_EQ(call->status(), 200);
  EXPECT_EQ(harness.node->counters().completed, 4u);
}

// In a hot restart the old process completes its queued requests, and the new one learns of the
// slots that are in use and reserved.
TEST(SchedulingOnLoopback, AReplacedProcessCompletesItsQueuedRequests) {
  char folder[] = "/tmp/room-XXXXXX";
  ASSERT_NE(mkdtemp(folder), nullptr);
  SlotHarness harness(1, {1, 1}, kSchedulingOn, folder);
  harness.SendRequest(kLookupClass, 0.3, 0.5, 5000);
  ASSERT_TRUE(harness.Until([&] { return harness.workers[0]->model.running() == 1; }));
  for (int i = 0; i < 3; ++i)
    harness.SendRequest(i == 0 ? kChargeClass : kLookupClass, 0.1, 0.5, 5000);
  ASSERT_TRUE(harness.Until([&] { return harness.Metric("app.scheduling.waiting") == "3"; }));
  ASSERT_TRUE(harness.StartSuccessor());
  harness.node->BeginStop();
  ASSERT_TRUE(harness.Until([&] {
    return std::all_of(harness.calls.begin(), harness.calls.end(),
                       [](const auto& call) { return call->latency_s >= 0; });
  }));
  for (const auto& call : harness.calls) {
    EXPECT_EQ(call->status(), 200);
    EXPECT_EQ(call->client->received.find("HTTP/1.1", 1), std::string::npos)
        << "more than one response";
  }
  EXPECT_EQ(harness.node->counters().completed, 4u);
  std::filesystem::remove_all(folder);
}

// 200 jobs at once for two workers: all of them can run within their timeout, and none may fail.
TEST(SchedulingOnLoopback, GearmanJobsAreQueuedInsteadOfFailing) {
  NodeHarness harness(
      0, kSchedulingOn +
             R"("gearman":{"listen":"127.0.0.1:0","functions":{"f":{"class":"charge"}}},)");
  std::vector<std::unique_ptr<GearmanPeer>> workers;
  for (int i = 0; i < 2; ++i) {
    workers.push_back(harness.Gearman());
    workers.back()->ServeJobs("f", "done");
  }
  harness.Until([&] { return harness.node->Metrics().find("app.members:2") != std::string::npos; });
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
