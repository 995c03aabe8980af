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
  std::vector<Endpoint> endpoints = MakeEndpoints(4);
  dispatcher.UpdateEndpoints(endpoints);
  std::vector<Endpoint> changed = {endpoints[0], endpoints[1]};
  changed[0].readiness = Readiness::kDraining;
  changed[1].readiness = Readiness::kGone;
  dispatcher.UpdateEndpoints(changed, EndpointListKind::kIncremental);
  endpoints.erase(endpoints.begin(), endpoints.begin() + 2);
  for (int i = 0; i < 100; ++i) dispatcher.SendRequest("j" + std::to_string(i));
  for (const auto& [id, workers] : dispatcher.attempts) {
    for (const std::string& worker : workers)
      EXPECT_TRUE(worker == "w2" || worker == "w3") << worker;
  }
  // A worker missing from a complete list is gone.
  endpoints.pop_back();
  dispatcher.UpdateEndpoints(endpoints);
  dispatcher.SendRequest("last");
  EXPECT_EQ(dispatcher.attempts["last"], std::vector<std::string>{"w2"});
}

TEST(EndpointDiscoveryTest, RequestIsRejectedWhereNoWorkerIsReady) {
  TestDispatcher dispatcher(TestSettings());
  dispatcher.SendRequest("early");
  EXPECT_EQ(dispatcher.final_answers["early"], "rejected");
  std::vector<Endpoint> endpoints = MakeEndpoints(2);
  for (Endpoint& endpoint : endpoints) endpoint.readiness = Readiness::kDraining;
  dispatcher.UpdateEndpoints(endpoints);
  for (int class_index = 0; class_index < 3; ++class_index) {
    const std::string id = "j" + std::to_string(class_index);
    dispatcher.SendRequest(id, class_index);
    EXPECT_EQ(dispatcher.final_answers[id], "rejected");
    EXPECT_TRUE(dispatcher.attempts[id].empty());
  }
}

// The worker was restarted while it was out of service. The endpoint list may report the restart
// late or with an earlier time.
TEST(EndpointDiscoveryTest, WorkerOutOfServiceStaysOutAndReturnsInSlowStart) {
  Settings settings = TestSettings();
  TestDispatcher dispatcher(settings);
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  int id = 0;
  // Sends all requests at the same time.
  const auto sent_to_w0 = [&](int n) {
    int count = 0;
    for (int i = 0; i < n; ++i) {
      const std::string request_id = "j" + std::to_string(++id);
      dispatcher.SendRequest(request_id);
      count +=
          !dispatcher.attempts[request_id].empty() && dispatcher.attempts[request_id][0] == "w0";
      dispatcher.EndAllAttempts(request_id, [](int) { return AttemptStatus::kSucceeded; });
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
  dispatcher.AdvanceTime(settings.slow_start_s + 1);
  EXPECT_GT(sent_to_w0(30), 8);
}

TEST(EndpointDiscoveryTest, SubscribesAtStartAndAfterEachFailure) {
  Settings settings = TestSettings();
  settings.polls_discovery = true;
  settings.max_poll_interval_s = 10;
  LoadBalancer balancer(settings, 3);
  Actions actions;
  balancer.Handle(1, DispatcherStarted{}, &actions);
  EXPECT_EQ(ActionsOf<Subscribe>(actions).size(), 1u);
  TestDispatcher dispatcher(settings);
  for (int i = 0; i < 5; ++i) {
    dispatcher.Handle(EndpointsUpdated{EndpointListKind::kUnavailable, nullptr});
    EXPECT_EQ(ActionsOf<Subscribe>(dispatcher.AdvanceTime(4)).size(), 1u);
  }
  dispatcher.UpdateEndpoints(MakeEndpoints(2));
  EXPECT_TRUE(ActionsOf<Subscribe>(dispatcher.AdvanceTime(60))
                  .empty());  // with a subscription further polls would only add load
}

// Deployments replace workers under new names, so names must not accumulate. Fractions of slots do
// not add up exactly (0.1 + 0.2 + 0.3 - 0.1 - 0.2 - 0.3 > 0): the residue must not count as a
// request in flight.
TEST(EndpointDiscoveryTest, WorkersGoneForLongAreForgottenUnlessRequestsAreInFlightThere) {
  struct Case {
    std::vector<double> slots;   // of the requests sent to the first worker
    bool end_after_replacement;  // they end only after the workers have been replaced
  };
  for (const Case& test_case : {Case{{1.0}, true}, Case{{0.1, 0.2, 0.3}, false}}) {
    TestDispatcher dispatcher(TestSettings());
    std::vector<Endpoint> endpoints = MakeEndpoints(1);
    dispatcher.UpdateEndpoints(endpoints);
    const auto is_known = [&](const std::string& name) {
      const std::vector<WorkerView> views = dispatcher.Workers();
      return std::ranges::any_of(views,
                                 [&](const WorkerView& view) { return view.worker == name; });
    };
    const auto end_all = [&] {
      for (std::size_t i = 0; i < test_case.slots.size(); ++i) {
        dispatcher.EndAttempt("f" + std::to_string(i), 0, AttemptStatus::kSucceeded);
      }
    };
    for (std::size_t i = 0; i < test_case.slots.size(); ++i) {
      RequestArrived event;
      const std::string id = "f" + std::to_string(i);
      event.id = id;
      event.slots = test_case.slots[i];
      event.expires_s = dispatcher.now + 1e6;
      dispatcher.now += 0.01;
      ASSERT_EQ(ActionsOf<SendAttempt>(dispatcher.Handle(event)).size(), 1u) << id;
    }
    if (!test_case.end_after_replacement) end_all();
    for (int i = 0; i < 2000; ++i) {  // replaces a worker every 10 s, for 20,000 s
      dispatcher.now += 10;
      endpoints.erase(endpoints.begin());
      endpoints.push_back({.worker = "n" + std::to_string(i)});
      dispatcher.UpdateEndpoints(endpoints);
    }
    EXPECT_LE(dispatcher.Workers().size(),
              1u + 300 / 10 + 1 + 1);  // listed; gone for up to 300 s; with requests in flight
    EXPECT_EQ(is_known("w0"), test_case.end_after_replacement);
    for (const Endpoint& endpoint : endpoints) EXPECT_TRUE(is_known(endpoint.worker));
    if (test_case.end_after_replacement) end_all();
    dispatcher.now += 400;
    endpoints.push_back({.worker = "after"});
    dispatcher.UpdateEndpoints(endpoints);
    EXPECT_FALSE(is_known("w0"));
  }
}

}  // namespace
}  // namespace millethollow::balancing
