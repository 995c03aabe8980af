// Which workers are ejected, and how they return.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <vector>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(OutlierDetectionTest, SomeWorkerIsTriedEvenIfAllFail) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(10));
  for (int i = 0; i < 60; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id);
    for (int a = 0; a < 4; ++a) dispatcher.EndAttempt(id, a, AttemptStatus::kConnectFailed);
    EXPECT_FALSE(dispatcher.attempts[id].empty());  // there is always somebody to try
  }
}

// Ejected one by one, 30 workers of a zone would cost 30 failures or more.
TEST(OutlierDetectionTest, FailedZoneIsEjectedAsAWhole) {
  Settings s = TestSettings();
  s.zones = 2;
  TestDispatcher dispatcher(s);
  std::vector<Endpoint> fleet = MakeEndpoints(60);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].zone = static_cast<int>(i % 2);
  dispatcher.UpdateEndpoints(fleet);
  int lost = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id);
    dispatcher.EndAllAttempts(id, [&](int worker) {
      lost += worker % 2 == 1;
      return worker % 2 == 1 ? AttemptStatus::kConnectFailed : AttemptStatus::kSucceeded;
    });
    dispatcher.AdvanceTime(0.02);
  }
  EXPECT_LE(lost, 20);  // 30 workers of the zone would have to be found out one by one
}

TEST(OutlierDetectionTest, EjectedWorkerReturnsWithOneIdempotentRequestAtATime) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  int i = 0;
  while (dispatcher.attempts.empty() || dispatcher.attempts.rbegin()->second[0] != "w0") {
    dispatcher.attempts.clear();
    const std::string id = "j" + std::to_string(i++);
    dispatcher.SendRequest(id);
    if (dispatcher.attempts[id][0] == "w0") break;
    dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
  }
  const std::string lost = dispatcher.attempts.begin()->first;
  dispatcher.EndAttempt(lost, 0, AttemptStatus::kConnectFailed);
  for (int k = 0; k < 20; ++k) {
    const std::string id = "e" + std::to_string(k);
    dispatcher.SendRequest(id);
    EXPECT_EQ(dispatcher.attempts[id][0], "w1");  // ejected
    dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
  }
  dispatcher.AdvanceTime(5);
  int trials = 0;
  for (int k = 0; k < 60; ++k) {
    const std::string id = "t" + std::to_string(k);
    dispatcher.SendRequest(id, k % 2 == 0 ? 2 : 0);
    if (dispatcher.attempts[id][0] != "w0") continue;
    ++trials;
    EXPECT_EQ(k % 2, 1) << "unsafe work sent on trial";
  }
  EXPECT_EQ(trials, 1);  // one at a time until it is served
}

// A worker that reports no start of a request is probed; without an answer the request is retried.
TEST(OutlierDetectionTest, WorkerThatAnswersNoHealthCheckIsEjected) {
  Settings s = TestSettings();
  s.probing = s.workers_notify_start = true;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.price_probe = 1;  // no probes for placement
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(3));
  dispatcher.SendRequest("a");
  ASSERT_EQ(dispatcher.attempts["a"].size(), 1u);
  const std::string silent = dispatcher.attempts["a"][0];
  const auto asked = ActionsOf<Probe>(dispatcher.AdvanceTime(0.8));
  ASSERT_EQ(asked.size(), 1u);
  EXPECT_EQ(asked[0].worker, silent);
  dispatcher.Handle(ProbeAnswered{.worker = silent, .status = AttemptStatus::kNoResponse});
  dispatcher.AdvanceTime(0.6);
  ASSERT_EQ(dispatcher.attempts["a"].size(), 2u);
  EXPECT_NE(dispatcher.attempts["a"][1], silent);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "b" + std::to_string(i);
    dispatcher.SendRequest(id);
    EXPECT_NE(dispatcher.attempts[id].at(0), silent);
  }
}

TEST(OutlierDetectionTest, OneConnectionResetEjectsNoWorker) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  for (int i = 0; i < 60; ++i) {
    const std::string id = "a" + std::to_string(i);
    dispatcher.SendRequest(id);
    for (std::size_t a = 0;
         a < dispatcher.attempts[id].size() && !dispatcher.final_answers.contains(id); ++a) {
      dispatcher.EndAttempt(
          id, static_cast<int>(a),
          i == 20 && a == 0 ? AttemptStatus::kConnectionLost : AttemptStatus::kSucceeded);
    }
    if (i == 20) {
      EXPECT_EQ(dispatcher.attempts[id].size(), 2u);
      std::set<std::string> used;
      for (int j = 0; j < 20; ++j) {
        const std::string next = "b" + std::to_string(j);
        dispatcher.SendRequest(next);
        used.insert(dispatcher.attempts[next].at(0));
        dispatcher.EndAttempt(next, 0, AttemptStatus::kSucceeded);
      }
      EXPECT_EQ(used.size(), 2u);
    }
  }
}

}  // namespace
}  // namespace millethollow::balancing
