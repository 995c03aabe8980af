// What only the sum over a large tier shows, on a virtual clock: no bench, no I/O.
#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <random>
#include <vector>

#include "membership/call_pace.h"

namespace millethollow {
namespace {

// One server for all: serves call after call, each for `service_s`, and fails those that have
// waited `patience_s`, also the one it is serving, whose work is then lost.
struct Crowd {
  int served = 0, failed = 0;
  double all_served_at = -1;

  Crowd(int nodes, double service_s, double until) {
    constexpr double kPatienceS = 2.0, kStep = 0.002;
    std::mt19937_64 random(5);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<membership::CallPace> pace(static_cast<std::size_t>(nodes), {nodes, 10.0});
    std::vector<double> asks;  // when each does next; those that wait or are done: never
    for (const auto& p : pace) asks.push_back(p.AtStart(unit(random)));
    std::deque<std::pair<std::size_t, double>> queue;  // who, since when
    double busy_until = -1;
    for (double now = 0; now < until && all_served_at < 0; now += kStep) {
      for (std::size_t n = 0; n < asks.size(); ++n) {
        if (asks[n] > now) continue;
        asks[n] = 1e9;
        queue.emplace_back(n, now);
      }
      if (queue.empty()) continue;
      if (busy_until < 0) busy_until = now + service_s;
      if (now < busy_until) continue;
      const auto [node, since] = queue.front();
      queue.pop_front();
      busy_until = -1;
      if (now - since <= kPatienceS) {
        if (++served == nodes) all_served_at = now;
        continue;
      }
      ++failed;
      asks[node] = now + pace[node].AfterFailure(unit(random));
    }
  }
};

// Seventy nodes came back together and called again and again at a pace that discovery could not
// bear: every call waited until it failed, for the rest of the day.
TEST(Fleet, NodesThatReturnTogetherAllGetTheirList) {
  const Crowd slow(100, 0.08, 60);  // 12 calls a second
  EXPECT_GT(slow.all_served_at, 0);
  EXPECT_LT(slow.all_served_at, 30);
  EXPECT_LT(slow.failed, 200);
  const Crowd quick(100, 0.005, 60);  // no need to keep away from a quick one
  EXPECT_GT(quick.all_served_at, 0);
  EXPECT_LT(quick.all_served_at, 4);
  EXPECT_EQ(quick.failed, 0);
}

TEST(Fleet, ListsAreAskedForWithinTheTimeAllowed) {
  membership::CallPace pace(100, 10.0);
  double wait = 0;
  for (int i = 0; i < 20; ++i) wait = pace.AfterFailure(1.0);
  EXPECT_LT(wait + 2, 40);  // four times as long after a failed call
  for (int i = 0; i < 20; ++i) EXPECT_LT(pace.AfterAnswer(1.0), 10);
  EXPECT_LT(pace.AfterAnswer(1.0), 1.6);  // and back to news that is soon heard
}

}  // namespace
}  // namespace millethollow
