// Attempts and final answers of a request: retries by idempotency, deadline, limits.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(AttemptsTest, FinalAnswerFollowsAttemptStatusAndIdempotency) {
  // One try only, so the first outcome decides the answer.
  Settings s = TestSettings();
  s.max_attempts = 1;
  for (const auto& [status, ran] : {std::pair{AttemptStatus::kServerError, true},
                                    {AttemptStatus::kRejected, false},
                                    {AttemptStatus::kNoResponse, true},
                                    {AttemptStatus::kConnectFailed, false},
                                    {AttemptStatus::kConnectionLost, true},
                                    {AttemptStatus::kCancelled, true},
                                    {AttemptStatus::kNotSent, false}}) {
    TestDispatcher dispatcher(s);
    dispatcher.UpdateEndpoints(MakeEndpoints(6));
    for (int cls = 0; cls < 3; ++cls) {
      const std::string id = "j" + std::to_string(cls);
      dispatcher.SendRequest(id, cls);
      dispatcher.EndAttempt(id, 0, status);
      // Clients may retry after a rejection, so it must be safe.
      EXPECT_EQ(dispatcher.final_answers[id], cls == 0 || !ran ? "rejected" : "failed")
          << "class " << cls << " status " << static_cast<int>(status);
    }
  }
}

TEST(AttemptsTest, NonIdempotentRequestThatMayHaveRunIsNotRetried) {
  for (const AttemptStatus v : {AttemptStatus::kServerError, AttemptStatus::kNoResponse,
                                AttemptStatus::kConnectionLost, AttemptStatus::kCancelled}) {
    TestDispatcher dispatcher(TestSettings());
    dispatcher.UpdateEndpoints(MakeEndpoints(6));
    dispatcher.SendRequest("a", 2);
    dispatcher.AdvanceTime(3);
    dispatcher.EndAttempt("a", 0, v);
    EXPECT_EQ(dispatcher.attempts["a"].size(), 1u);
    EXPECT_EQ(dispatcher.final_answers["a"], "failed");
  }
}

TEST(AttemptsTest, RejectedNonIdempotentRequestIsRetriedElsewhere) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(6));
  dispatcher.SendRequest("a", 2);
  dispatcher.EndAttempt("a", 0, AttemptStatus::kRejected);
  dispatcher.EndAttempt("a", 1, AttemptStatus::kConnectFailed);
  ASSERT_EQ(dispatcher.attempts["a"].size(), 3u);
  EXPECT_EQ(std::set<std::string>(dispatcher.attempts["a"].begin(), dispatcher.attempts["a"].end())
                .size(),
            3u);
}

TEST(AttemptsTest, KeyedRequestIsRetriedWithinItsDeduplicationScopeAndWindow) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(8));
  dispatcher.SendRequest("a", 1);
  dispatcher.EndAttempt("a", 0, AttemptStatus::kConnectionLost);
  ASSERT_EQ(dispatcher.attempts["a"].size(), 2u);
  const int first = dispatcher.attempts["a"][0][1] - '0',
            second = dispatcher.attempts["a"][1][1] - '0';
  EXPECT_EQ(first / 2, second / 2);
  // The cell has no third worker: nothing harmless is left.
  dispatcher.EndAttempt("a", 1, AttemptStatus::kConnectionLost);
  EXPECT_EQ(dispatcher.attempts["a"].size(), 2u);
  EXPECT_EQ(dispatcher.final_answers["a"], "failed");

  dispatcher.SendRequest("b", 1, 0, 30);
  dispatcher.now += 4;  // the window is over: repeats are no longer dropped
  dispatcher.EndAttempt("b", 0, AttemptStatus::kServerError);
  EXPECT_EQ(dispatcher.attempts["b"].size(), 1u);
  EXPECT_EQ(dispatcher.final_answers["b"], "failed");
}

TEST(AttemptsTest, RequestIsAnsweredAtItsDeadline) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(3));
  for (int cls = 0; cls < 3; ++cls) dispatcher.SendRequest("j" + std::to_string(cls), cls, 0, 1.0);
  dispatcher.now += 1.0;
  for (int cls = 0; cls < 3; ++cls) {
    const std::string id = "j" + std::to_string(cls);
    for (std::size_t a = 0; a < dispatcher.attempts[id].size(); ++a) {
      dispatcher.EndAttempt(id, static_cast<int>(a), AttemptStatus::kNoResponse);
    }
    EXPECT_TRUE(dispatcher.final_answers.contains(id));
  }
}

TEST(AttemptsTest, MaxAttemptsIsKept) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(9));
  dispatcher.SendRequest("a");
  for (int i = 0; i < 6; ++i) dispatcher.EndAttempt("a", i, AttemptStatus::kRejected);
  EXPECT_EQ(dispatcher.attempts["a"].size(), 4u);
  EXPECT_EQ(dispatcher.final_answers["a"], "rejected");
}

TEST(AttemptsTest, WithoutHedgingOneAttemptIsInFlightAtATime) {
  Settings s = TestSettings();
  s.allow_hedging = false;
  s.workers_notify_start = true;
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(6));
  int out = 0;
  dispatcher.SendRequest("a");
  for (int i = 0; i < 40; ++i) {
    const Actions done = dispatcher.AdvanceTime(0.1);
    for (const CancelAttempt& c : ActionsOf<CancelAttempt>(done)) {
      EXPECT_EQ(c.attempt, out);
      dispatcher.EndAttempt("a", out++, AttemptStatus::kCancelled);
    }
    EXPECT_LE(static_cast<int>(dispatcher.attempts["a"].size()), out + 1);
  }
  EXPECT_GE(dispatcher.attempts["a"].size(), 2u);  // the silent worker was left
}

}  // namespace
}  // namespace millethollow::balancing
