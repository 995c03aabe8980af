// Choice of the worker: probes, load reports, peers, sticky keys.
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
  Settings s = TestSettings();
  s.probing = true;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.load_report_metrics = {LoadMetric::kFreeSlots, LoadMetric::kQueued, LoadMetric::kInFlight};
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(40));
  const auto probes = ActionsOf<Probe>(dispatcher.SendRequest("a"));
  ASSERT_EQ(probes.size(), 5u);
  EXPECT_TRUE(dispatcher.attempts["a"].empty());
  for (std::size_t i = 0; i < probes.size(); ++i) {
    ProbeAnswered e;
    e.worker = probes[i].worker;
    e.has_report = true;
    e.report[0] = i == 1 ? 4 : 0;  // only the second has free slots
    e.report[1] = i == 1 ? 0 : 5;
    dispatcher.Handle(e);
  }
  EXPECT_EQ(dispatcher.attempts["a"], std::vector<std::string>{probes[1].worker});
  // Without an answer the request is sent all the same, to none of the probed workers.
  const auto silent = ActionsOf<Probe>(dispatcher.SendRequest("b"));
  dispatcher.AdvanceTime(0.3);
  ASSERT_GE(dispatcher.attempts["b"].size(), 1u);
  for (const Probe& p : silent) EXPECT_NE(dispatcher.attempts["b"][0], p.worker);
  // One whose client leaves meanwhile is forgotten.
  dispatcher.SendRequest("c");
  dispatcher.Handle(RequestCancelled{"c"});
  dispatcher.AdvanceTime(0.3);
  EXPECT_TRUE(dispatcher.attempts["c"].empty());
  // Close to its deadline a request is placed without probes.
  EXPECT_TRUE(ActionsOf<Probe>(dispatcher.SendRequest("d", 0, 0, 0.1)).empty());
}

TEST(PlacementTest, KindOfWorkersThatRejectsIsChosenLess) {
  Settings s = TestSettings();
  s.kinds = 2;
  s.max_attempts = 1;
  TestDispatcher dispatcher(s);
  std::vector<Endpoint> fleet = MakeEndpoints(400);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].kind = static_cast<int>(i % 2);
  dispatcher.UpdateEndpoints(fleet);
  int late_half = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id);
    dispatcher.EndAllAttempts(id, [&](int worker) {
      const bool full = worker % 2 == 1;
      late_half += full && i >= 100;
      return full ? AttemptStatus::kRejected : AttemptStatus::kSucceeded;
    });
    dispatcher.AdvanceTime(0.1);
  }
  EXPECT_LT(late_half, 40);  // half of the workers, less than half of the requests
}

// Where reports are old, more probes only send every dispatcher to the worker last seen free.
TEST(PlacementTest, FewerWorkersAreProbedWhereReportedFreeSlotsProveTaken) {
  const auto asked = [](double start_after) {
    Settings s = TestSettings();
    s.probing = s.workers_notify_start = true;
    s.allow_hedging = false;
    s.load_report_source = LoadReportSource::kOnProbe;
    s.load_report_metrics = {LoadMetric::kInFlight, LoadMetric::kFreeSlots};
    TestDispatcher dispatcher(s);
    dispatcher.UpdateEndpoints(MakeEndpoints(30));
    std::size_t last = 0;
    for (int i = 0; i < 60; ++i) {
      const std::string id = "j" + std::to_string(i);
      const auto probes = ActionsOf<Probe>(dispatcher.SendRequest(id));
      last = probes.size();
      for (const Probe& p : probes) {
        dispatcher.Handle(ProbeAnswered{.worker = p.worker,
                                        .status = AttemptStatus::kSucceeded,
                                        .has_report = true,
                                        .report = {0, 2}});
      }
      EXPECT_EQ(dispatcher.attempts[id].size(), 1u);
      dispatcher.AdvanceTime(start_after);
      dispatcher.ReportStart(id, 0);
      dispatcher.AdvanceTime(0.1);
      dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
    }
    return last;
  };
  EXPECT_EQ(asked(0.005), 5u);
  EXPECT_EQ(asked(0.1), 2u);
}

// Before a load report has shown the capacity of its kind, a worker's load can't be judged.
TEST(PlacementTest, PeerSlotsInFlightCountLikeOwn) {
  Settings s = TestSettings();
  s.peers = s.probing = true;
  s.dispatcher_count = 2;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.load_report_metrics = {LoadMetric::kFreeSlots};
  TestDispatcher me(s);
  s.dispatcher_index = 1;
  TestDispatcher peer(s, 8);
  for (TestDispatcher* dispatcher : {&me, &peer}) {
    dispatcher->UpdateEndpoints(MakeEndpoints(3));
    for (const char* w : {"w0", "w1"}) {
      dispatcher->Handle(ProbeAnswered{.worker = w, .has_report = true, .report = {4}});
    }
    dispatcher->AdvanceTime(1);
  }
  for (int i = 0; i < 8; ++i) {  // fills two of three
    const std::string id = "p" + std::to_string(i);
    for (const Probe& p : ActionsOf<Probe>(peer.SendRequest(id))) {
      const bool third = p.worker == "w2";
      peer.Handle(
          ProbeAnswered{.worker = p.worker, .has_report = true, .report = {third ? 0.0 : 4.0}});
    }
  }
  std::string told;
  for (const SendPeerMessage& t : ActionsOf<SendPeerMessage>(peer.AdvanceTime(0.4))) told = t.body;
  me.Handle(PeerMessage{1, told});
  std::set<std::string> used;
  for (const char* id : {"a", "b", "c"}) {
    me.SendRequest(id);
    me.AdvanceTime(0.1);  // no probe is answered: the peer's report decides
    ASSERT_FALSE(me.attempts[id].empty());
    used.insert(me.attempts[id][0]);
  }
  EXPECT_EQ(used, std::set<std::string>{"w2"});
}

// One wrong report must not make its whole kind seem to have more capacity.
TEST(PlacementTest, OneWrongLoadReportOverloadsNoWorker) {
  Settings s = TestSettings();
  s.probing = true;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.load_report_metrics = {LoadMetric::kFreeSlots};
  s.price_probe = 1;
  TestDispatcher dispatcher(s);
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
  for (const auto& [worker, n] : load) EXPECT_EQ(n, 2) << worker;
}

// Six workers of three slots cache the data of their last two keys; a request whose key is not
// cached there takes `fetch` longer.
TEST(PlacementTest, KeysAreStickyOnlyWhereFetchingCostsTime) {
  struct Case {
    double fetch;
    double least_hits, most_hits;  // share of requests in the second half that found their key
  };
  for (const Case c : {Case{0.15, 0.75, 1.0}, Case{0.0, 0.0, 0.35}}) {
    Settings s = TestSettings();
    s.workers_notify_start = true;
    TestDispatcher dispatcher(s);
    std::vector<Endpoint> fleet = MakeEndpoints(6);
    for (Endpoint& m : fleet) m.slots = 3;
    dispatcher.UpdateEndpoints(fleet);
    std::vector<std::deque<std::string>> kept(6);             // the last two keys of each worker
    std::multimap<double, std::pair<std::string, int>> ends;  // when, request and attempt
    std::mt19937_64 random(5);
    int hits = 0, counted = 0;
    for (int i = 0; i < 800; ++i) {
      dispatcher.AdvanceTime(0.05);
      while (!ends.empty() && ends.begin()->first <= dispatcher.now) {
        const auto [id, attempt] = ends.begin()->second;
        ends.erase(ends.begin());
        if (!dispatcher.final_answers.contains(id))
          dispatcher.EndAttempt(id, attempt, AttemptStatus::kSucceeded);
      }
      const std::string id = "j" + std::to_string(i);
      const std::string key = "k" + std::to_string(random() % 12);
      const RequestArrived e{
          .id = id, .expires_s = dispatcher.now + 5, .cls = 0, .key = key, .size_hint_s = 0.1};
      dispatcher.Handle(e);
      for (std::size_t a = 0; a < dispatcher.attempts[id].size(); ++a) {
        const int w = std::stoi(dispatcher.attempts[id][a].substr(1));
        auto& keys = kept[ToIndex(w)];
        const bool hit = std::find(keys.begin(), keys.end(), key) != keys.end();
        std::erase(keys, key);
        keys.push_front(key);
        if (keys.size() > 2) keys.pop_back();
        if (i >= 400) hits += hit, counted += 1;
        dispatcher.ReportStart(id, static_cast<int>(a));
        ends.emplace(dispatcher.now + 0.1 + (hit ? 0.0 : c.fetch),
                     std::pair{id, static_cast<int>(a)});
      }
    }
    const double share = static_cast<double>(hits) / std::max(counted, 1);
    EXPECT_GE(share, c.least_hits) << "fetch " << c.fetch;
    EXPECT_LE(share, c.most_hits) << "fetch " << c.fetch;
  }
}

// In a large tier peers don't report their slots in flight by worker.
TEST(PlacementTest, LargeTierEstimatesPeerSlotsFromOwnSlots) {
  for (const auto& [dispatchers, least, most] : {std::tuple{30, 20.0, 30.0}, {4, 0.0, 0.0}}) {
    Settings s = TestSettings();
    s.dispatcher_count = dispatchers;
    s.peers = true;
    TestDispatcher dispatcher(s);
    std::vector<Endpoint> fleet = MakeEndpoints(2);
    for (Endpoint& m : fleet) m.slots = 3;
    dispatcher.UpdateEndpoints(fleet);
    dispatcher.SendRequest("a", 0, 0, 30);
    dispatcher.ReportStart("a", 0);  // it runs, and goes on running
    dispatcher.AdvanceTime(4);
    const std::string& at = dispatcher.attempts["a"][0];
    for (const WorkerView& v : dispatcher.Workers()) {
      const bool there = v.worker == at;
      EXPECT_GE(v.peer_slots_in_flight, there ? least : 0.0) << dispatchers << " " << v.worker;
      EXPECT_LE(v.peer_slots_in_flight, there ? most : 0.0) << dispatchers << " " << v.worker;
    }
  }
}

}  // namespace
}  // namespace millethollow::balancing
