// Hedged requests, and cancellation of queued attempts.
#include <gtest/gtest.h>

#include <string>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(HedgingTest, OtherAttemptIsCancelledOnceOneHasStarted) {
  Settings settings = TestSettings();
  settings.workers_notify_start = true;
  TestDispatcher dispatcher(settings);
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

// Where load is reported, hedged requests whose cancel fails would only add load. A class that is
// not idempotent is never hedged.
TEST(HedgingTest, QueuedRequestIsHedgedOnlyWhereNoLoadIsReported) {
  const auto hedge_count = [](LoadReportSource source, int class_index) {
    Settings settings = TestSettings();
    settings.allow_hedging = settings.workers_notify_start = true;
    settings.load_report_source = source;
    TestDispatcher dispatcher(settings);
    dispatcher.UpdateEndpoints(MakeEndpoints(40));
    int hedges = 0;
    for (int i = 0; i < 200; ++i) {
      const std::string id = "j" + std::to_string(i);
      dispatcher.SendRequest(id, class_index);
      dispatcher.AdvanceTime(0.03);
      hedges += static_cast<int>(dispatcher.attempts[id].size()) - 1;
      for (const CancelAttempt& cancel :
           ActionsOf<CancelAttempt>(dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded))) {
        dispatcher.EndAttempt(id, cancel.attempt, AttemptStatus::kCancelled);
      }
    }
    return hedges;
  };
  EXPECT_GT(hedge_count(LoadReportSource::kOff, 0), 150);
  EXPECT_EQ(hedge_count(LoadReportSource::kOff, 2), 0);
  EXPECT_EQ(hedge_count(LoadReportSource::kInline, 0), 0);
}

// Requests are shed only as often as others start. Where cancels have no effect, no request starts
// and shedding ends.
TEST(HedgingTest, QueuedRequestThatWillBeLateIsCancelledInAnOverload) {
  const auto cancel_count = [](LoadReportSource source, bool some_start) {
    Settings settings = TestSettings();
    settings.allow_hedging = false;
    settings.workers_notify_start = true;
    settings.load_report_source = source;
    TestDispatcher dispatcher(settings);
    dispatcher.UpdateEndpoints(MakeEndpoints(40));
    std::size_t cancels = 0;
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
      for (const CancelAttempt& cancel : ActionsOf<CancelAttempt>(dispatcher.AdvanceTime(0.02))) {
        ++cancels;
        dispatcher.EndAttempt(cancel.id, cancel.attempt, AttemptStatus::kCancelled);
        EXPECT_EQ(dispatcher.final_answers[cancel.id],
                  "failed");  // it may have run, so it must not be answered as rejected
      }
    }
    return cancels;
  };
  EXPECT_GT(cancel_count(LoadReportSource::kOff, true), 30u);
  EXPECT_LE(cancel_count(LoadReportSource::kOff, false), 10u);  // the budget from the first starts
  EXPECT_EQ(cancel_count(LoadReportSource::kInline, true), 0u);
}

}  // namespace
}  // namespace millethollow::balancing
