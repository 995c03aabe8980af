// The endpoint list, maintenance, and which workers are known.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(EndpointDiscoveryTest, NothingIsSentToDrainingOrGoneWorkers) {
  TestDispatcher dispatcher(TestSettings());
  std::vector<Endpoint> fleet = MakeEndpoints(4);
  dispatcher.UpdateEndpoints(fleet);
  std::vector<Endpoint> change = {fleet[0], fleet[1]};
  change[0].readiness = Readiness::kDraining;
  change[1].readiness = Readiness::kGone;
  dispatcher.UpdateEndpoints(change, EndpointListKind::kIncremental);
  fleet.erase(fleet.begin(), fleet.begin() + 2);
  for (int i = 0; i < 100; ++i) dispatcher.SendRequest("j" + std::to_string(i));
  for (const auto& [id, workers] : dispatcher.attempts) {
    for (const std::string& w : workers) EXPECT_TRUE(w == "w2" || w == "w3") << w;
  }
  // A worker left out of a complete list is gone.
  fleet.pop_back();
  dispatcher.UpdateEndpoints(fleet);
  dispatcher.SendRequest("last");
  EXPECT_EQ(dispatcher.attempts["last"], std::vector<std::string>{"w2"});
}

TEST(EndpointDiscoveryTest, RequestIsRejectedWhereNoWorkerIsReady) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.SendRequest("early");
  EXPECT_EQ(dispatcher.final_answers["early"], "rejected");
  std::vector<Endpoint> fleet = MakeEndpoints(2);
  for (Endpoint& m : fleet) m.readiness = Readiness::kDraining;
  dispatcher.UpdateEndpoints(fleet);
  for (int cls = 0; cls < 3; ++cls) {
    const std::string id = "j" + std::to_string(cls);
    dispatcher.SendRequest(id, cls);
    EXPECT_EQ(dispatcher.final_answers[id], "rejected");
    EXPECT_TRUE(dispatcher.attempts[id].empty());
  }
}

// The worker was restarted while it was out of service, which the endpoint list may report late or
// with an older time.
TEST(EndpointDiscoveryTest, WorkerOutOfServiceStaysOutAndReturnsInSlowStart) {
  Settings s = TestSettings();
  TestDispatcher dispatcher(s);
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  int id = 0;
  const auto sent_to_w0 = [&](int n) {  // all at one moment
    int count = 0;
    for (int i = 0; i < n; ++i) {
      const std::string job = "j" + std::to_string(++id);
      dispatcher.SendRequest(job);
      count += !dispatcher.attempts[job].empty() && dispatcher.attempts[job][0] == "w0";
      dispatcher.EndAllAttempts(job, [](int) { return AttemptStatus::kSucceeded; });
    }
    return count;
  };
  EXPECT_GT(sent_to_w0(30), 8);
  dispatcher.Handle(MaintenanceChanged{"w0", true});
  dispatcher.Handle(MaintenanceChanged{"w0", true});
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  EXPECT_EQ(sent_to_w0(20), 0);
  dispatcher.Handle(MaintenanceChanged{"w0", false});
  std::vector<Endpoint> list = MakeEndpoints(2);
  list[0].started_at_s = dispatcher.now - 5;
  dispatcher.UpdateEndpoints(list);
  EXPECT_LT(sent_to_w0(30), 4);  // a burst would overload a worker in slow start
  dispatcher.AdvanceTime(s.slow_start_s + 1);
  EXPECT_GT(sent_to_w0(30), 8);
}

TEST(EndpointDiscoveryTest, SubscribesAtStartAndAfterEachFailure) {
  Settings s = TestSettings();
  s.polls_discovery = true;
  s.max_poll_interval_s = 10;
  LoadBalancer balancer(s, 3);
  Actions actions;
  balancer.Handle(1, DispatcherStarted{}, &actions);
  EXPECT_EQ(ActionsOf<Subscribe>(actions).size(), 1u);
  TestDispatcher dispatcher(s);
  for (int i = 0; i < 5; ++i) {
    dispatcher.Handle(EndpointsUpdated{EndpointListKind::kUnavailable, nullptr});
    EXPECT_EQ(ActionsOf<Subscribe>(dispatcher.AdvanceTime(4)).size(), 1u);
  }
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  EXPECT_TRUE(
      ActionsOf<Subscribe>(dispatcher.AdvanceTime(60)).empty());  // subscribed: each call is a cost
}

// Deploys replace workers under new names, so names must not accumulate. Fractions of slots do not
// add up exactly (0.1 + 0.2 + 0.3 - 0.1 - 0.2 - 0.3 > 0): that residue is no request in flight.
TEST(EndpointDiscoveryTest, WorkersGoneForLongAreForgottenUnlessRequestsAreInFlightThere) {
  struct Case {
    std::vector<double> slots;  // of requests sent to the first worker
    bool out_meanwhile;         // they end only after the workers have been replaced
  };
  for (const Case& c : {Case{{1.0}, true}, Case{{0.1, 0.2, 0.3}, false}}) {
    TestDispatcher dispatcher(TestSettings());
    std::vector<Endpoint> members = MakeEndpoints(1);
    dispatcher.UpdateEndpoints(members);
    const auto has = [&](const std::string& name) {
      const std::vector<WorkerView> views = dispatcher.Workers();
      return std::ranges::any_of(views, [&](const WorkerView& v) { return v.worker == name; });
    };
    const auto end_all = [&] {
      for (std::size_t i = 0; i < c.slots.size(); ++i) {
        dispatcher.EndAttempt("f" + std::to_string(i), 0, AttemptStatus::kSucceeded);
      }
    };
    for (std::size_t i = 0; i < c.slots.size(); ++i) {
      RequestArrived job;
      const std::string id = "f" + std::to_string(i);
      job.id = id;
      job.slots = c.slots[i];
      job.expires_s = dispatcher.now + 1e6;
      dispatcher.now += 0.01;
      ASSERT_EQ(ActionsOf<SendAttempt>(dispatcher.Handle(job)).size(), 1u) << id;
    }
    if (!c.out_meanwhile) end_all();
    for (int i = 0; i < 2000; ++i) {  // one replaced every 10 s, for 20,000 s
      dispatcher.now += 10;
      members.erase(members.begin());
      members.push_back({.worker = "n" + std::to_string(i)});
      dispatcher.UpdateEndpoints(members);
    }
    EXPECT_LE(dispatcher.Workers().size(),
              1u + 300 / 10 + 1 + 1);  // listed, gone within 300 s, busy
    EXPECT_EQ(has("w0"), c.out_meanwhile);
    for (const Endpoint& m : members) EXPECT_TRUE(has(m.worker));
    if (c.out_meanwhile) end_all();
    dispatcher.now += 400;
    members.push_back({.worker = "after"});
    dispatcher.UpdateEndpoints(members);
    EXPECT_FALSE(has("w0"));
  }
}

}  // namespace
}  // namespace millethollow::balancing
