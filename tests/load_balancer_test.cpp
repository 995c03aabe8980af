// The decision module as a whole: unexpected events, unusual settings, determinism.
#include <gtest/gtest.h>

#include <string>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(LoadBalancerTest, DuplicateAndUnknownEventsAreIgnored) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(3));
  dispatcher.SendRequest("a");
  dispatcher.EndAttempt("a", 0, AttemptStatus::kSucceeded);
  EXPECT_TRUE(dispatcher.EndAttempt("a", 0, AttemptStatus::kSucceeded).empty());
  EXPECT_TRUE(dispatcher.Handle(RequestCancelled{"a"}).empty());
  EXPECT_TRUE(dispatcher.Handle(RequestCancelled{"never"}).empty());
  EXPECT_TRUE(dispatcher.Handle(TimerFired{999}).empty());
  EXPECT_TRUE(dispatcher.Handle(StreamStarted{"never", 0}).empty());
  EXPECT_TRUE(dispatcher.Handle(AttemptProgress{"never", 3, ProgressKind::kProgress, 0.5}).empty());
}

TEST(LoadBalancerTest, UnusualSettingsAreHandled) {
  // No tenants, probing without load report metrics, a worker kind without workers, no peers and a
  // single dispatcher. Below: tenants with zero quotas.
  Settings settings = TestSettings();
  settings.probing = true;
  settings.load_report_source = LoadReportSource::kOnProbe;
  settings.classes[2].kind = 3;
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(4));
  for (int i = 0; i < 30; ++i) dispatcher.SendRequest("j" + std::to_string(i), i % 3);
  dispatcher.AdvanceTime(1);
  EXPECT_FALSE(dispatcher.attempts["j0"].empty());
  EXPECT_EQ(dispatcher.final_answers["j2"], "rejected");  // no worker can run it
  Settings zero_quotas = TestSettings();
  zero_quotas.tenants.resize(3);
  TestDispatcher zero_quota_dispatcher(zero_quotas);
  zero_quota_dispatcher.UpdateEndpoints(MakeEndpoints(4));
  for (int i = 0; i < 30; ++i) {
    const std::string id = "j" + std::to_string(i);
    zero_quota_dispatcher.SendRequest(id, 0, i % 3);
    for (int attempt_index = 0; attempt_index < 4; ++attempt_index)
      zero_quota_dispatcher.EndAttempt(id, attempt_index, AttemptStatus::kRejected);
    zero_quota_dispatcher.AdvanceTime(0.1);
  }
  EXPECT_FALSE(zero_quota_dispatcher.attempts["j0"].empty());
}

TEST(LoadBalancerTest, EqualEventsGiveEqualActions) {
  const auto run = [] {
    Settings settings = TestSettings();
    settings.peers = true;
    settings.dispatcher_count = 5;
    TestDispatcher dispatcher(settings, 11);
    dispatcher.UpdateEndpoints(MakeEndpoints(12));
    std::string log;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "j" + std::to_string(i);
      dispatcher.SendRequest(id, i % 3);
      dispatcher.AdvanceTime(0.01);
      for (const std::string& worker : dispatcher.attempts[id]) log += worker + " ";
      dispatcher.EndAttempt(id, 0,
                            i % 7 == 0 ? AttemptStatus::kRejected : AttemptStatus::kSucceeded);
    }
    return log;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace millethollow::balancing
