// The decision module as a whole: stray events, unusual settings, determinism.
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
  // No tenants, probing without columns, a kind no worker has, zero quotas, peers off, one
  // dispatcher.
  Settings s = TestSettings();
  s.probing = true;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.classes[2].kind = 3;
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(4));
  for (int i = 0; i < 30; ++i) dispatcher.SendRequest("j" + std::to_string(i), i % 3);
  dispatcher.AdvanceTime(1);
  EXPECT_FALSE(dispatcher.attempts["j0"].empty());
  EXPECT_EQ(dispatcher.final_answers["j2"], "rejected");  // nobody runs it
  Settings zero = TestSettings();
  zero.tenants.resize(3);
  TestDispatcher other(zero);
  other.UpdateEndpoints(MakeEndpoints(4));
  for (int i = 0; i < 30; ++i) {
    const std::string id = "j" + std::to_string(i);
    other.SendRequest(id, 0, i % 3);
    for (int a = 0; a < 4; ++a) other.EndAttempt(id, a, AttemptStatus::kRejected);
    other.AdvanceTime(0.1);
  }
  EXPECT_FALSE(other.attempts["j0"].empty());
}

TEST(LoadBalancerTest, EqualEventsGiveEqualActions) {
  const auto run = [] {
    Settings s = TestSettings();
    s.peers = true;
    s.dispatcher_count = 5;
    TestDispatcher dispatcher(s, 11);
    dispatcher.UpdateEndpoints(MakeEndpoints(12));
    std::string log;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "j" + std::to_string(i);
      dispatcher.SendRequest(id, i % 3);
      dispatcher.AdvanceTime(0.01);
      for (const std::string& w : dispatcher.attempts[id]) log += w + " ";
      dispatcher.EndAttempt(id, 0,
                            i % 7 == 0 ? AttemptStatus::kRejected : AttemptStatus::kSucceeded);
    }
    return log;
  };
  EXPECT_EQ(run(), run());
}

}  // namespace
}  // namespace millethollow::balancing
