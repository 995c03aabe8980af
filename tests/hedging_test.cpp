// Hedged requests, and cancels of attempts that wait in a queue.
#include <gtest/gtest.h>

#include <string>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(HedgingTest, OtherAttemptIsCancelledOnceOneHasStarted) {
  Settings s = TestSettings();
  s.workers_notify_start = true;
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(6));
  for (int i = 0; i < 30; ++i) {  // fill the hedge budget
    const std::string id = "j" + std::to_string(i);
    dispatcher.SendRequest(id);
    dispatcher.ReportStart(id, 0);
    dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
  }
  dispatcher.SendRequest("a");
  dispatcher.SendRequest("once", 2);
  dispatcher.AdvanceTime(0.03);
  ASSERT_EQ(dispatcher.attempts["a"].size(), 2u);
  EXPECT_NE(dispatcher.attempts["a"][0], dispatcher.attempts["a"][1]);
  EXPECT_EQ(dispatcher.attempts["once"].size(), 1u);  // not idempotent
  const auto cancelled = ActionsOf<CancelAttempt>(dispatcher.ReportStart("a", 1));
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].attempt, 0);
  dispatcher.EndAttempt("a", 0, AttemptStatus::kCancelled);
  EXPECT_FALSE(dispatcher.final_answers.contains("a"));
  dispatcher.EndAttempt("a", 1, AttemptStatus::kSucceeded);
  EXPECT_EQ(dispatcher.attempts["a"].size(), 2u);
}

// Where load is reported, a hedged request whose cancel fails would only add load. A class that is
// not idempotent is never hedged.
TEST(HedgingTest, QueuedRequestIsHedgedOnlyWhereNoLoadIsReported) {
  const auto copied = [](LoadReportSource source, int cls) {
    Settings s = TestSettings();
    s.allow_hedging = s.workers_notify_start = true;
    s.load_report_source = source;
    TestDispatcher dispatcher(s);
    dispatcher.UpdateEndpoints(MakeEndpoints(40));
    int copies = 0;
    for (int i = 0; i < 200; ++i) {
      const std::string id = "j" + std::to_string(i);
      dispatcher.SendRequest(id, cls);
      dispatcher.AdvanceTime(0.03);
      copies += static_cast<int>(dispatcher.attempts[id].size()) - 1;
      for (const CancelAttempt& c :
           ActionsOf<CancelAttempt>(dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded))) {
        dispatcher.EndAttempt(id, c.attempt, AttemptStatus::kCancelled);
      }
    }
    return copies;
  };
  EXPECT_GT(copied(LoadReportSource::kOff, 0), 150);
  EXPECT_EQ(copied(LoadReportSource::kOff, 2), 0);
  EXPECT_EQ(copied(LoadReportSource::kInline, 0), 0);
}

// Cancels are bounded by the starts that were seen: where a cancel has no effect, they end.
TEST(HedgingTest, QueuedRequestThatWillBeLateIsCancelledInAnOverload) {
  const auto called_off = [](LoadReportSource source, bool some_start) {
    Settings s = TestSettings();
    s.allow_hedging = false;
    s.workers_notify_start = true;
    s.load_report_source = source;
    TestDispatcher dispatcher(s);
    dispatcher.UpdateEndpoints(MakeEndpoints(40));
    std::size_t calls = 0;
    for (int i = 0; i < 400; ++i) {
      const std::string id = "j" + std::to_string(i);
      const bool starts = i < 20 || (some_start && i % 2 == 0);
      dispatcher.SendRequest(id, 2, 0, 30);
      if (dispatcher.final_answers.contains(id)) continue;
      if (starts) {
        dispatcher.ReportStart(id, 0);
        dispatcher.AdvanceTime(0.001);
        dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
      }
      for (const CancelAttempt& c : ActionsOf<CancelAttempt>(dispatcher.AdvanceTime(0.02))) {
        ++calls;
        dispatcher.EndAttempt(c.id, c.attempt, AttemptStatus::kCancelled);
        EXPECT_EQ(dispatcher.final_answers[c.id],
                  "failed");  // it may have run: nothing else is true
      }
    }
    return calls;
  };
  EXPECT_GT(called_off(LoadReportSource::kOff, true), 30u);
  EXPECT_LE(called_off(LoadReportSource::kOff, false), 10u);  // what the first starts earned
  EXPECT_EQ(called_off(LoadReportSource::kInline, true), 0u);
}

}  // namespace
}  // namespace millethollow::balancing
