// Hot restart: saved state, and two sibling processes that run as one dispatcher.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(StateTransferTest, RestoresSavedStateAndRejectsDamagedState) {
  const Settings settings = TestSettings();
  LoadBalancer old_process(settings, 1);
  Actions actions;
  const auto endpoints = MakeEndpoints(2);
  const auto make_arrival = [](const std::string& id) {
    RequestArrived event;
    event.id = id;
    event.expires_s = 6;
    return event;
  };
  old_process.Handle(1, DispatcherStarted{}, &actions);
  old_process.Handle(1, EndpointsUpdated{EndpointListKind::kSnapshot, &endpoints}, &actions);
  for (int i = 0; i < 20; ++i) {  // every attempt at w0 fails to connect
    const std::string id = "j" + std::to_string(i);
    actions.clear();
    old_process.Handle(1.0 + i * 0.01, make_arrival(id), &actions);
    for (const SendAttempt& send : ActionsOf<SendAttempt>(actions)) {
      AttemptEnded ended;
      ended.id = id;
      ended.status =
          send.worker == "w0" ? AttemptStatus::kConnectFailed : AttemptStatus::kSucceeded;
      Actions unused_actions;
      old_process.Handle(1.0 + i * 0.01, ended, &unused_actions);
    }
  }
  EXPECT_TRUE(old_process.Excludes("w0"));
  const std::string state = old_process.SaveState();
  LoadBalancer new_process(settings, 2), damaged(settings, 2);
  ASSERT_TRUE(new_process.RestoreState(state, {0, 1, 2}));
  new_process.Handle(2, EndpointsUpdated{EndpointListKind::kRestored, &endpoints}, &actions);
  EXPECT_TRUE(new_process.Excludes("w0"));
  EXPECT_FALSE(new_process.Excludes("w1"));
  for (std::size_t size = 0; size < state.size(); size += 7) {
    EXPECT_FALSE(damaged.RestoreState(std::string_view(state).substr(0, size), {0, 1, 2}));
  }
  EXPECT_TRUE(
      damaged.Excludes("w0"));  // the state is unchanged: w0 is still unknown, and thus excluded
  Settings other_settings = settings;
  other_settings.tenants.resize(3);
  EXPECT_FALSE(LoadBalancer(other_settings, 1).RestoreState(state, {0, 1, 2}));
}

TEST(StateTransferTest, SiblingsCountEachOthersSlotsAndDrainingOneAvoidsSlowStart) {
  Settings settings = TestSettings();
  settings.dispatcher_count = 2;
  settings.peers = true;
  TestDispatcher leaving(settings), staying(settings);
  std::vector<Endpoint> endpoints = MakeEndpoints(2);
  endpoints[0].started_at_s = 99;
  leaving.UpdateEndpoints(endpoints);
  leaving.AdvanceTime(15);
  const std::vector<SendPeerMessage> messages =
      ActionsOf<SendPeerMessage>(leaving.Handle(SiblingProcess{true, true}));
  ASSERT_EQ(messages.size(), 1u);
  EXPECT_EQ(messages[0].recipient,
            settings.dispatcher_index);  // to its sibling, and from now on to no other peer
  for (const SendPeerMessage& message : ActionsOf<SendPeerMessage>(leaving.AdvanceTime(2)))
    EXPECT_EQ(message.recipient, settings.dispatcher_index);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "a" + std::to_string(i);
    leaving.SendRequest(id);
    for (const std::string& worker : leaving.attempts[id]) EXPECT_EQ(worker, "w1");
  }
  staying.UpdateEndpoints(MakeEndpoints(2));
  staying.Handle(SiblingProcess{true, false});
  staying.Handle(PeerMessage{settings.dispatcher_index,
                             ActionsOf<SendPeerMessage>(leaving.AdvanceTime(1)).back().body});
  std::size_t size_with_sibling = 0;  // reports to peers contain the slots of both siblings
  for (const SendPeerMessage& message : ActionsOf<SendPeerMessage>(staying.AdvanceTime(0.5))) {
    if (message.recipient != settings.dispatcher_index)
      size_with_sibling = std::max(size_with_sibling, message.body.size());
  }
  TestDispatcher alone(settings);
  alone.UpdateEndpoints(MakeEndpoints(2));
  std::size_t size_alone = 0;
  for (const SendPeerMessage& message : ActionsOf<SendPeerMessage>(alone.AdvanceTime(0.5)))
    size_alone = std::max(size_alone, message.body.size());
  EXPECT_GT(size_with_sibling, size_alone);
}

}  // namespace
}  // namespace millethollow::balancing
