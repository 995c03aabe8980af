// Ejection of workers and their return.
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
    for (int attempt_index = 0; attempt_index < 4; ++attempt_index)
      dispatcher.EndAttempt(id, attempt_index, AttemptStatus::kConnectFailed);
    EXPECT_FALSE(dispatcher.attempts[id].empty());  // some worker is always tried
  }
}

// If they were ejected one by one, the 30 workers of a zone would cost at least 30 failures.
TEST(OutlierDetectionTest, FailedZoneIsEjectedAsAWhole) {
  Settings settings = TestSettings();
  settings.zones = 2;
  TestDispatcher dispatcher(settings);
  std::vector<Endpoint> endpoints = MakeEndpoints(60);
  for (std::size_t i = 0; i < endpoints.size(); ++i) endpoints[i].zone = static_cast<int>(i % 2);
  dispatcher.UpdateEndpoints(endpoints);
  int failed_attempts = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id);
    dispatcher.EndAllAttempts(id, [&](int worker) {
      failed_attempts += worker % 2 == 1;
      return worker % 2 == 1 ? AttemptStatus::kConnectFailed : AttemptStatus::kSucceeded;
    });
    dispatcher.AdvanceTime(0.02);
  }
  EXPECT_LE(failed_attempts, 20);  // less than one failure per worker of the zone
}

TEST(OutlierDetectionTest, EjectedWorkerReturnsWithOneIdempotentRequestAtATime) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  int request_count = 0;
  while (dispatcher.attempts.empty() || dispatcher.attempts.rbegin()->second[0] != "w0") {
    dispatcher.attempts.clear();
    const std::string id = "j" + std::to_string(request_count++);
    dispatcher.SendRequest(id);
    if (dispatcher.attempts[id][0] == "w0") break;
    dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
  }
  const std::string failed_id = dispatcher.attempts.begin()->first;
  dispatcher.EndAttempt(failed_id, 0, AttemptStatus::kConnectFailed);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "e" + std::to_string(i);
    dispatcher.SendRequest(id);
    EXPECT_EQ(dispatcher.attempts[id][0], "w1");  // w0 is ejected
    dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
  }
  dispatcher.AdvanceTime(5);
  int trials = 0;
  for (int i = 0; i < 60; ++i) {
    const std::string id = "t" + std::to_string(i);
    dispatcher.SendRequest(id, i % 2 == 0 ? 2 : 0);
    if (dispatcher.attempts[id][0] != "w0") continue;
    ++trials;
    EXPECT_EQ(i % 2, 1) << "a non-idempotent request was sent to a worker in probation";
  }
  EXPECT_EQ(trials, 1);  // one at a time until one succeeds
}

// A worker that does not notify the start of a request is probed. If it does not answer, the
// request is retried elsewhere.
TEST(OutlierDetectionTest, WorkerThatAnswersNoHealthCheckIsEjected) {
  Settings settings = TestSettings();
  settings.probing = settings.workers_notify_start = true;
  settings.load_report_source = LoadReportSource::kOnProbe;
  settings.price_probe = 1;  // no probes for placement
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(3));
  dispatcher.SendRequest("a");
  ASSERT_EQ(dispatcher.attempts["a"].size(), 1u);
  const std::string unresponsive = dispatcher.attempts["a"][0];
  const auto probes = ActionsOf<Probe>(dispatcher.AdvanceTime(0.8));
  ASSERT_EQ(probes.size(), 1u);
  EXPECT_EQ(probes[0].worker, unresponsive);
  dispatcher.Handle(ProbeAnswered{.worker = unresponsive, .status = AttemptStatus::kNoResponse});
  dispatcher.AdvanceTime(0.6);
  ASSERT_EQ(dispatcher.attempts["a"].size(), 2u);
  EXPECT_NE(dispatcher.attempts["a"][1], unresponsive);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "b" + std::to_string(i);
    dispatcher.SendRequest(id);
    EXPECT_NE(dispatcher.attempts[id].at(0), unresponsive);
  }
}

TEST(OutlierDetectionTest, OneConnectionResetEjectsNoWorker) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  for (int i = 0; i < 60; ++i) {
    const std::string id = "a" + std::to_string(i);
    dispatcher.SendRequest(id);
    for (std::size_t attempt_index = 0;
         attempt_index < dispatcher.attempts[id].size() && !dispatcher.final_answers.contains(id);
         ++attempt_index) {
      dispatcher.EndAttempt(id, static_cast<int>(attempt_index),
                            i == 20 && attempt_index == 0 ? AttemptStatus::kConnectionLost
                                                          : AttemptStatus::kSucceeded);
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
