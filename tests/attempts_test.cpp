// Attempts and final answers of a request: retries by idempotency, deadline, limits.
#include <gtest/gtest.h>

#include <set>
#include <string>
#include <utility>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(AttemptsTest, FinalAnswerFollowsAttemptStatusAndIdempotency) {
  // A single attempt, so the first outcome decides the final answer.
  Settings settings = TestSettings();
  settings.max_attempts = 1;
  for (const auto& [status, may_have_run] : {std::pair{AttemptStatus::kServerError, true},
                                             {AttemptStatus::kRejected, false},
                                             {AttemptStatus::kNoResponse, true},
                                             {AttemptStatus::kConnectFailed, false},
                                             {AttemptStatus::kConnectionLost, true},
                                             {AttemptStatus::kCancelled, true},
                                             {AttemptStatus::kNotSent, false}}) {
    TestDispatcher dispatcher(settings);
    dispatcher.UpdateEndpoints(MakeEndpoints(6));
    for (int class_index = 0; class_index < 3; ++class_index) {
      const std::string id = "j" + std::to_string(class_index);
      dispatcher.SendRequest(id, class_index);
      dispatcher.EndAttempt(id, 0, status);
      // Clients may retry after a rejection, so a retry must be safe.
      EXPECT_EQ(dispatcher.final_answers[id],
                class_index == 0 || !may_have_run ? "rejected" : "failed")
          << "class " << class_index << " status " << static_cast<int>(status);
    }
  }
}

TEST(AttemptsTest, NonIdempotentRequestThatMayHaveRunIsNotRetried) {
  for (const AttemptStatus status : {AttemptStatus::kServerError, AttemptStatus::kNoResponse,
                                     AttemptStatus::kConnectionLost, AttemptStatus::kCancelled}) {
    TestDispatcher dispatcher(TestSettings());
    dispatcher.UpdateEndpoints(MakeEndpoints(6));
    dispatcher.SendRequest("a", 2);
    dispatcher.AdvanceTime(3);
    dispatcher.EndAttempt("a", 0, status);
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
  // The cell has no third worker: there is no safe candidate left.
  dispatcher.EndAttempt("a", 1, AttemptStatus::kConnectionLost);
  EXPECT_EQ(dispatcher.attempts["a"].size(), 2u);
  EXPECT_EQ(dispatcher.final_answers["a"], "failed");

  dispatcher.SendRequest("b", 1, 0, 30);
  dispatcher.now += 4;  // the window has passed: repeats are no longer dropped
  dispatcher.EndAttempt("b", 0, AttemptStatus::kServerError);
  EXPECT_EQ(dispatcher.attempts["b"].size(), 1u);
  EXPECT_EQ(dispatcher.final_answers["b"], "failed");
}

TEST(AttemptsTest, RequestIsAnsweredAtItsDeadline) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.UpdateEndpoints(MakeEndpoints(3));
  for (int class_index = 0; class_index < 3; ++class_index)
    dispatcher.SendRequest("j" + std::to_string(class_index), class_index, 0, 1.0);
  dispatcher.now += 1.0;
  for (int class_index = 0; class_index < 3; ++class_index) {
    const std::string id = "j" + std::to_string(class_index);
    for (std::size_t attempt_index = 0; attempt_index < dispatcher.attempts[id].size();
         ++attempt_index) {
      dispatcher.EndAttempt(id, static_cast<int>(attempt_index), AttemptStatus::kNoResponse);
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
  Settings settings = TestSettings();
  settings.allow_hedging = false;
  settings.workers_notify_start = true;
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(6));
  int ended_attempts = 0;
  dispatcher.SendRequest("a");
  for (int i = 0; i < 40; ++i) {
    const Actions actions = dispatcher.AdvanceTime(0.1);
    for (const CancelAttempt& cancel : ActionsOf<CancelAttempt>(actions)) {
      EXPECT_EQ(cancel.attempt, ended_attempts);
      dispatcher.EndAttempt("a", ended_attempts++, AttemptStatus::kCancelled);
    }
    EXPECT_LE(static_cast<int>(dispatcher.attempts["a"].size()), ended_attempts + 1);
  }
  EXPECT_GE(dispatcher.attempts["a"].size(),
            2u);  // the attempt at the unresponsive worker was given up
}

}  // namespace
}  // namespace millethollow::balancing
