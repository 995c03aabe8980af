// Hot restart: saved state, and two processes that run as one dispatcher.
#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

TEST(StateTransferTest, RestoresSavedStateAndRejectsDamagedState) {
  const Settings s = TestSettings();
  LoadBalancer old(s, 1);
  Actions actions;
  const auto members = MakeEndpoints(2);
  const auto make_arrival = [](const std::string& id) {
    RequestArrived e;
    e.id = id;
    e.expires_s = 6;
    return e;
  };
  old.Handle(1, DispatcherStarted{}, &actions);
  old.Handle(1, EndpointsUpdated{EndpointListKind::kSnapshot, &members}, &actions);
  for (int i = 0; i < 20; ++i) {  // every send to w0 finds nobody there
    const std::string id = "j" + std::to_string(i);
    actions.clear();
    old.Handle(1.0 + i * 0.01, make_arrival(id), &actions);
    for (const SendAttempt& send : ActionsOf<SendAttempt>(actions)) {
      AttemptEnded end;
      end.id = id;
      end.status = send.worker == "w0" ? AttemptStatus::kConnectFailed : AttemptStatus::kSucceeded;
      Actions more;
      old.Handle(1.0 + i * 0.01, end, &more);
    }
  }
  EXPECT_TRUE(old.Excludes("w0"));
  const std::string text = old.SaveState();
  LoadBalancer next(s, 2), damaged(s, 2);
  ASSERT_TRUE(next.RestoreState(text, {0, 1, 2}));
  next.Handle(2, EndpointsUpdated{EndpointListKind::kRestored, &members}, &actions);
  EXPECT_TRUE(next.Excludes("w0"));
  EXPECT_FALSE(next.Excludes("w1"));
  for (std::size_t cut = 0; cut < text.size(); cut += 7) {
    EXPECT_FALSE(damaged.RestoreState(std::string_view(text).substr(0, cut), {0, 1, 2}));
  }
  EXPECT_TRUE(damaged.Excludes("w0"));  // nothing was taken, not even that there is such a worker
  Settings other = s;
  other.tenants.resize(3);
  EXPECT_FALSE(LoadBalancer(other, 1).RestoreState(text, {0, 1, 2}));
}

TEST(StateTransferTest, SiblingsCountEachOthersSlotsAndDrainingOneAvoidsSlowStart) {
  Settings s = TestSettings();
  s.dispatcher_count = 2;
  s.peers = true;
  TestDispatcher leaving(s), staying(s);
  std::vector<Endpoint> list = MakeEndpoints(2);
  list[0].started_at_s = 99;
  leaving.UpdateEndpoints(list);
  leaving.AdvanceTime(15);
  const std::vector<SendPeerMessage> said =
      ActionsOf<SendPeerMessage>(leaving.Handle(SiblingProcess{true, true}));
  ASSERT_EQ(said.size(), 1u);
  EXPECT_EQ(said[0].recipient,
            s.dispatcher_index);  // to its sibling, and to no other peer from now on
  for (const SendPeerMessage& t : ActionsOf<SendPeerMessage>(leaving.AdvanceTime(2)))
    EXPECT_EQ(t.recipient, s.dispatcher_index);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "a" + std::to_string(i);
    leaving.SendRequest(id);
    for (const std::string& worker : leaving.attempts[id]) EXPECT_EQ(worker, "w1");
  }
  staying.UpdateEndpoints(MakeEndpoints(2));
  staying.Handle(SiblingProcess{true, false});
  staying.Handle(PeerMessage{s.dispatcher_index,
                             ActionsOf<SendPeerMessage>(leaving.AdvanceTime(1)).back().body});
  std::size_t told = 0;  // what it tells its peers holds the slots of both
  for (const SendPeerMessage& t : ActionsOf<SendPeerMessage>(staying.AdvanceTime(0.5))) {
    if (t.recipient != s.dispatcher_index) told = std::max(told, t.body.size());
  }
  TestDispatcher alone(s);
  alone.UpdateEndpoints(MakeEndpoints(2));
  std::size_t without = 0;
  for (const SendPeerMessage& t : ActionsOf<SendPeerMessage>(alone.AdvanceTime(0.5)))
    without = std::max(without, t.body.size());
  EXPECT_GT(told, without);
}

}  // namespace
}  // namespace millethollow::balancing
