// Load of workers that have just started.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(SlowStartTest, StartingWorkerGetsASmallShareOfTheLoad) {
  Settings s = TestSettings();
  s.dispatcher_count = 1;
  TestDispatcher dispatcher(s);
  std::vector<Endpoint> fleet = MakeEndpoints(10);
  dispatcher.UpdateEndpoints(fleet);
  int n = 0;
  const auto run = [&](double span) {
    std::map<std::string, int> got;
    for (double t = 0; t < span; t += 0.02) {
      const std::string id = "j" + std::to_string(n++);
      dispatcher.SendRequest(id);
      for (const std::string& w : dispatcher.attempts[id]) ++got[w];
      dispatcher.AdvanceTime(0.02);
      dispatcher.EndAttempt(id, 0, AttemptStatus::kSucceeded);
    }
    return got;
  };
  run(10);
  fleet[0].started_at_s = dispatcher.now;
  dispatcher.UpdateEndpoints({fleet[0]}, EndpointListKind::kIncremental);
  const auto got = run(3);
  const int warm = (got.at("w1") + got.at("w2") + got.at("w3")) / 3;
  const int cold = got.contains("w0") ? got.at("w0") : 0;
  EXPECT_LE(cold, warm * 0.1 * 3 + 1);
}

}  // namespace
}  // namespace millethollow::balancing
