// Choice of the worker: probes, load reports, peers, key affinity.
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "balancing/support.h"
#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(PlacementTest, RequestWaitsBrieflyForProbesOfAFewWorkers) {
  Settings settings = TestSettings();
  settings.probing = true;
  settings.load_report_source = LoadReportSource::kOnProbe;
  settings.load_report_metrics = {LoadMetric::kFreeSlots, LoadMetric::kQueued,
                                  LoadMetric::kInFlight};
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(40));
  const auto probes = ActionsOf<Probe>(dispatcher.SendRequest("a"));
  ASSERT_EQ(probes.size(), 5u);
  EXPECT_TRUE(dispatcher.attempts["a"].empty());
  for (std::size_t i = 0; i < probes.size(); ++i) {
    ProbeAnswered event;
    event.worker = probes[i].worker;
    event.has_report = true;
    event.report[0] = i == 1 ? 4 : 0;  // only the second has free slots
    event.report[1] = i == 1 ? 0 : 5;
    dispatcher.Handle(event);
  }
  EXPECT_EQ(dispatcher.attempts["a"], std::vector<std::string>{probes[1].worker});
  // Without answers the request is sent nevertheless, to none of the probed workers.
  const auto unanswered = ActionsOf<Probe>(dispatcher.SendRequest("b"));
  dispatcher.AdvanceTime(0.3);
  ASSERT_GE(dispatcher.attempts["b"].size(), 1u);
  for (const Probe& probe : unanswered) EXPECT_NE(dispatcher.attempts["b"][0], probe.worker);
  // A request whose client leaves in the meantime is forgotten.
  dispatcher.SendRequest("c");
  dispatcher.Handle(RequestCancelled{"c"});
  dispatcher.AdvanceTime(0.3);
  EXPECT_TRUE(dispatcher.attempts["c"].empty());
  // Close to its deadline a request is placed without probes.
  EXPECT_TRUE(ActionsOf<Probe>(dispatcher.SendRequest("d", 0, 0, 0.1)).empty());
}

TEST(PlacementTest, KindOfWorkersThatRejectsIsChosenLess) {
  Settings settings = TestSettings();
  settings.kinds = 2;
  settings.max_attempts = 1;
  TestDispatcher dispatcher(settings);
  std::vector<Endpoint> endpoints = MakeEndpoints(400);
  for (std::size_t i = 0; i < endpoints.size(); ++i) endpoints[i].kind = static_cast<int>(i % 2);
  dispatcher.UpdateEndpoints(endpoints);
  int late_rejections = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id);
    dispatcher.EndAllAttempts(id, [&](int worker) {
      const bool full = worker % 2 == 1;
      late_rejections += full && i >= 100;
      return full ? AttemptStatus::kRejected : AttemptStatus::kSucceeded;
    });
    dispatcher.AdvanceTime(0.1);
  }
  EXPECT_LT(late_rejections, 40);  // half of the workers, but less than half of the requests
}

// Where load reports are outdated, more probes would only make every dispatcher choose the same
// worker, the last one seen free.
TEST(PlacementTest, FewerWorkersAreProbedWhereReportedFreeSlotsProveTaken) {
  const auto probe_count = [](double start_delay_s) {
    Settings settings = TestSettings();
    settings.probing = settings.workers_notify_start = true;
    settings.allow_hedging = false;
    settings.load_report_source = LoadReportSource::kOnProbe;
    settings.load_report_metrics = {LoadMetric::kInFlight, LoadMetric::kFreeSlots};
    TestDispatcher dispatcher(settings);
    dispatcher.UpdateEndpoints(MakeEndpoints(30));
    std::size_t last_count = 0;
    for (int i = 0; i < 60; ++i) {
      const std::string id = "j" + std::to_string(i);
      const auto probes = ActionsOf<Probe>(dispatcher.SendRequest(id));
      last_count = probes.size();
      for (const Probe& probe : probes) {
        dispatcher.Handle(ProbeAnswered{.worker = probe.worker,
                                        .status = AttemptStatus::kSucceeded,
                                        .has_report = true,
                                        .report = {0, 2}});
      }
      EXPECT_EQ(dispatcher.attempts[id].size(), 1u);
      dispatcher.AdvanceTime(start_delay_s);
      dispatcher.ReportStart(id, 0);
      dispatcher.AdvanceTime(0.1);
      dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
    }
    return last_count;
  };
  EXPECT_EQ(probe_count(0.005), 5u);
  EXPECT_EQ(probe_count(0.1), 2u);
}

// The load of a worker cannot be judged until a load report has shown the capacity of its kind.
TEST(PlacementTest, PeerSlotsInFlightCountLikeOwn) {
  Settings settings = TestSettings();
  settings.peers = settings.probing = true;
  settings.dispatcher_count = 2;
  settings.load_report_source = LoadReportSource::kOnProbe;
  settings.load_report_metrics = {LoadMetric::kFreeSlots};
  TestDispatcher own(settings);
  settings.dispatcher_index = 1;
  TestDispatcher peer(settings, 8);
  for (TestDispatcher* dispatcher : {&own, &peer}) {
    dispatcher->UpdateEndpoints(MakeEndpoints(3));
    for (const char* worker : {"w0", "w1"}) {
      dispatcher->Handle(ProbeAnswered{.worker = worker, .has_report = true, .report = {4}});
    }
    dispatcher->AdvanceTime(1);
  }
  for (int i = 0; i < 8; ++i) {  // fills two of three workers
    const std::string id = "p" + std::to_string(i);
    for (const Probe& probe : ActionsOf<Probe>(peer.SendRequest(id))) {
      const bool third = probe.worker == "w2";
      peer.Handle(
          ProbeAnswered{.worker = probe.worker, .has_report = true, .report = {third ? 0.0 : 4.0}});
    }
  }
  std::string report;
  for (const SendPeerMessage& message : ActionsOf<SendPeerMessage>(peer.AdvanceTime(0.4)))
    report = message.body;
  own.Handle(PeerMessage{1, report});
  std::set<std::string> used;
  for (const char* id : {"a", "b", "c"}) {
    own.SendRequest(id);
    own.AdvanceTime(0.1);  // no probe is answered: the peer's report decides
    ASSERT_FALSE(own.attempts[id].empty());
    used.insert(own.attempts[id][0]);
  }
  EXPECT_EQ(used, std::set<std::string>{"w2"});
}

// A single wrong report must not make a whole worker kind appear to have more capacity.
TEST(PlacementTest, OneWrongLoadReportOverloadsNoWorker) {
  Settings settings = TestSettings();
  settings.probing = true;
  settings.load_report_source = LoadReportSource::kOnProbe;
  settings.load_report_metrics = {LoadMetric::kFreeSlots};
  settings.price_probe = 1;
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(4));
  for (const auto& [worker, free] : {std::pair{"w0", 2.0},
                                     {"w1", 900.0},
                                     {"w1", 900.0},
                                     {"w2", 2.0},
                                     {"w1", -5.0},
                                     {"w3", 2.0}}) {
    dispatcher.Handle(ProbeAnswered{.worker = worker, .has_report = true, .report = {free}});
  }
  dispatcher.AdvanceTime(2);
  std::map<std::string, int> load;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "a" + std::to_string(i);
    dispatcher.SendRequest(id);
    load[dispatcher.attempts[id].at(0)] += 1;
  }
  for (const auto& [worker, count] : load) EXPECT_EQ(count, 2) << worker;
}

// Six workers with three slots each cache the data of their last two keys. A request whose key is
// not cached takes `fetch` seconds longer.
TEST(PlacementTest, KeysAreStickyOnlyWhereFetchingCostsTime) {
  struct Case {
    double fetch_s;
    double min_hit_share,
        max_hit_share;  // share of the requests in the second half whose key was cached
  };
  for (const Case test_case : {Case{0.15, 0.75, 1.0}, Case{0.0, 0.0, 0.35}}) {
    Settings settings = TestSettings();
    settings.workers_notify_start = true;
    TestDispatcher dispatcher(settings);
    std::vector<Endpoint> endpoints = MakeEndpoints(6);
    for (Endpoint& endpoint : endpoints) endpoint.slots = 3;
    dispatcher.UpdateEndpoints(endpoints);
    std::vector<std::deque<std::string>> cached_keys(6);  // the last two keys sent to each worker
    std::multimap<double, std::pair<std::string, int>>
        scheduled_ends;  // end time; request and attempt
    std::mt19937_64 random(5);
    int hits = 0, counted = 0;
    for (int i = 0; i < 800; ++i) {
      dispatcher.AdvanceTime(0.05);
      while (!scheduled_ends.empty() && scheduled_ends.begin()->first <= dispatcher.now) {
        const auto [id, attempt] = scheduled_ends.begin()->second;
        scheduled_ends.erase(scheduled_ends.begin());
        if (!dispatcher.final_answers.contains(id))
          dispatcher.EndAttempt(id, attempt, AttemptStatus::kSucceeded);
      }
      const std::string id = "j" + std::to_string(i);
      const std::string key = "k" + std::to_string(random() % 12);
      const RequestArrived event{.id = id,
                                 .expires_s = dispatcher.now + 5,
                                 .class_index = 0,
                                 .key = key,
                                 .size_hint_s = 0.1};
      dispatcher.Handle(event);
      for (std::size_t attempt_index = 0; attempt_index < dispatcher.attempts[id].size();
           ++attempt_index) {
        const int worker_index = std::stoi(dispatcher.attempts[id][attempt_index].substr(1));
        auto& keys = cached_keys[ToIndex(worker_index)];
        const bool hit = std::find(keys.begin(), keys.end(), key) != keys.end();
        std::erase(keys, key);
        keys.push_front(key);
        if (keys.size() > 2) keys.pop_back();
        if (i >= 400) hits += hit, counted += 1;
        dispatcher.ReportStart(id, static_cast<int>(attempt_index));
        scheduled_ends.emplace(dispatcher.now + 0.1 + (hit ? 0.0 : test_case.fetch_s),
                               std::pair{id, static_cast<int>(attempt_index)});
      }
    }
    const double share = static_cast<double>(hits) / std::max(counted, 1);
    EXPECT_GE(share, test_case.min_hit_share) << "fetch " << test_case.fetch_s;
    EXPECT_LE(share, test_case.max_hit_share) << "fetch " << test_case.fetch_s;
  }
}

// In a large tier peers do not report their slots in flight by worker.
TEST(PlacementTest, LargeTierEstimatesPeerSlotsFromOwnSlots) {
  for (const auto& [dispatcher_count, min_slots, max_slots] :
       {std::tuple{30, 20.0, 30.0}, {4, 0.0, 0.0}}) {
    Settings settings = TestSettings();
    settings.dispatcher_count = dispatcher_count;
    settings.peers = true;
    TestDispatcher dispatcher(settings);
    std::vector<Endpoint> endpoints = MakeEndpoints(2);
    for (Endpoint& endpoint : endpoints) endpoint.slots = 3;
    dispatcher.UpdateEndpoints(endpoints);
    dispatcher.SendRequest("a", 0, 0, 30);
    dispatcher.ReportStart("a", 0);  // it stays running
    dispatcher.AdvanceTime(4);
    const std::string& busy_worker = dispatcher.attempts["a"][0];
    for (const WorkerView& view : dispatcher.Workers()) {
      const bool is_busy = view.worker == busy_worker;
      EXPECT_GE(view.peer_slots_in_flight, is_busy ? min_slots : 0.0)
          << dispatcher_count << " " << view.worker;
      EXPECT_LE(view.peer_slots_in_flight, is_busy ? max_slots : 0.0)
          << dispatcher_count << " " << view.worker;
    }
  }
}

}  // namespace
}  // namespace millethollow::balancing
