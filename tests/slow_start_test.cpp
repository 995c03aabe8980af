// The load of workers in slow start.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(SlowStartTest, StartingWorkerGetsASmallShareOfTheLoad) {
  Settings settings = TestSettings();
  settings.dispatcher_count = 1;
  TestDispatcher dispatcher(settings);
  std::vector<Endpoint> endpoints = MakeEndpoints(10);
  dispatcher.UpdateEndpoints(endpoints);
  int request_count = 0;
  const auto count_attempts = [&](double duration_s) {
    std::map<std::string, int> sent;
    for (double elapsed_s = 0; elapsed_s < duration_s; elapsed_s += 0.02) {
      const std::string id = "j" + std::to_string(request_count++);
      dispatcher.SendRequest(id);
      for (const std::string& worker : dispatcher.attempts[id]) ++sent[worker];
      dispatcher.AdvanceTime(0.02);
      dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
    }
    return sent;
  };
  count_attempts(10);
  endpoints[0].started_at_s = dispatcher.now;
  dispatcher.UpdateEndpoints({endpoints[0]}, EndpointListKind::kIncremental);
  const auto sent_after_start = count_attempts(3);
  const int other_worker_attempts =
      (sent_after_start.at("w1") + sent_after_start.at("w2") + sent_after_start.at("w3")) / 3;
  const int slow_start_attempts = sent_after_start.contains("w0") ? sent_after_start.at("w0") : 0;
  EXPECT_LE(slow_start_attempts, other_worker_attempts * 0.1 * 3 + 1);
}

}  // namespace
}  // namespace millethollow::balancing
