// Drives the decision module by hand: no bench, no clock, no I/O.
#include "millethollow/balancing/load_balancer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "balancing/support.h"
#include "balancing/worker.h"

namespace millethollow::balancing {
namespace {

Settings Plain() {
  Settings s;
  s.classes.resize(3);
  s.classes[0].idempotency = Idempotency::kIdempotent;
  s.classes[1].idempotency = Idempotency::kIdempotentWithKey;
  s.classes[1].deduplication_scope = DeduplicationScope::kCell;
  s.classes[1].deduplication_window_s = 4;
  s.classes[2].idempotency = Idempotency::kNotIdempotent;
  for (ClassSettings& c : s.classes) {
    c.latency_objective_s = 0.2;
    c.client_timeout_s = 5;
  }
  s.tick_s = 0.005;
  s.max_attempts = 4;
  s.allow_hedging = true;
  s.slow_start_min_share = 0.1;
  s.slow_start_s = 20;
  s.drain_grace_s = 0.5;
  s.slow_start_load_multiple = 3;
  s.overload_for_s = 3;
  return s;
}

std::vector<Endpoint> Fleet(int n) {
  std::vector<Endpoint> members;
  for (int i = 0; i < n; ++i) {
    Endpoint m;
    m.worker = "w" + std::to_string(i);
    m.cell = i / 2;
    members.push_back(m);
  }
  return members;
}

template <typename T>
std::vector<T> Only(const Actions& actions) {
  std::vector<T> found;
  for (const Action& a : actions) {
    if (const T* t = std::get_if<T>(&a)) found.push_back(*t);
  }
  return found;
}

// One dispatcher with a clock and its timers; keeps what it did.
class Desk {
 public:
  explicit Desk(const Settings& s, std::uint64_t seed = 7) : balancer_(s, seed) {
    Do(DispatcherStarted{});
  }

  Actions Do(const Event& e) {
    Actions actions;
    balancer_.Handle(now, e, &actions);
    for (const SetTimer& t : Only<SetTimer>(actions)) timers_.emplace(now + t.after_s, t.timer_id);
    for (const SendAttempt& send : Only<SendAttempt>(actions)) {
      sends[send.id].push_back(send.worker);
      EXPECT_FALSE(ended.contains(send.id)) << "sent after its final answer";
    }
    for (const RejectRequest& r : Only<RejectRequest>(actions)) End(r.id, "refused");
    for (const FailRequest& f : Only<FailRequest>(actions)) End(f.id, "failed");
    return actions;
  }
  Actions List(const std::vector<Endpoint>& members,
               EndpointListKind kind = EndpointListKind::kSnapshot) {
    return Do(EndpointsUpdated{kind, &members});
  }
  Actions Job(const std::string& id, int cls = 0, int tenant = 0, double life = 5) {
    RequestArrived e;
    e.id = id;
    e.cls = cls;
    e.tenant = tenant;
    e.expires_s = now + life;
    return Do(e);
  }
  Actions End(const std::string& id, int attempt, AttemptStatus verdict, bool terminal = false) {
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.status = verdict;
    e.terminal = terminal || verdict == AttemptStatus::kSucceeded;
    if (e.terminal) ended[id] = "served";
    return Do(e);
  }
  Actions Note(const std::string& id, int attempt) {
    return Do(AttemptProgress{id, attempt, ProgressKind::kStarted, 0});
  }
  // Ends all attempts of a job, those sent meanwhile too, each as `verdict_of(worker)` says.
  template <typename VerdictOf>
  void EndAll(const std::string& id, VerdictOf verdict_of) {
    for (std::size_t a = 0; a < sends[id].size(); ++a) {
      End(id, static_cast<int>(a), verdict_of(std::stoi(sends[id][a].substr(1))));
    }
  }
  // Lets time pass, firing timers; returns everything done.
  Actions Pass(double span) {
    Actions all;
    const double until = now + span;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, mark] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      const Actions some = Do(TimerFired{mark});
      all.insert(all.end(), some.begin(), some.end());
    }
    now = until;
    return all;
  }

  std::vector<WorkerView> Workers() const { return balancer_.Workers(); }
  double now = 100;
  std::map<std::string, std::vector<std::string>> sends;
  std::map<std::string, std::string> ended;

 private:
  void End(const std::string& id, const std::string& how) {
    EXPECT_TRUE(ended.emplace(id, how).second) << id << " answered twice";
  }
  LoadBalancer balancer_;
  std::multimap<double, std::uint64_t> timers_;
};

TEST(BrainTest, EveryVerdictEndsEachClassAsItsSemanticsAllow) {
  // One try only, so the first outcome decides the answer.
  Settings s = Plain();
  s.max_attempts = 1;
  for (const auto& [verdict, ran] : {std::pair{AttemptStatus::kServerError, true},
                                     {AttemptStatus::kRejected, false},
                                     {AttemptStatus::kNoResponse, true},
                                     {AttemptStatus::kConnectFailed, false},
                                     {AttemptStatus::kConnectionLost, true},
                                     {AttemptStatus::kCancelled, true},
                                     {AttemptStatus::kNotSent, false}}) {
    Desk desk(s);
    desk.List(Fleet(6));
    for (int cls = 0; cls < 3; ++cls) {
      const std::string id = "j" + std::to_string(cls);
      desk.Job(id, cls);
      desk.End(id, 0, verdict);
      // A refusal promises that trying again is harmless: only where it surely is.
      EXPECT_EQ(desk.ended[id], cls == 0 || !ran ? "refused" : "failed")
          << "class " << cls << " verdict " << static_cast<int>(verdict);
    }
  }
}

TEST(BrainTest, UnsafeWorkThatMayHaveRunIsNeverSentAgain) {
  for (const AttemptStatus v : {AttemptStatus::kServerError, AttemptStatus::kNoResponse,
                                AttemptStatus::kConnectionLost, AttemptStatus::kCancelled}) {
    Desk desk(Plain());
    desk.List(Fleet(6));
    desk.Job("a", 2);
    desk.Pass(3);
    desk.End("a", 0, v);
    EXPECT_EQ(desk.sends["a"].size(), 1u);
    EXPECT_EQ(desk.ended["a"], "failed");
  }
}

TEST(BrainTest, UnsafeWorkTurnedAwayGoesElsewhere) {
  Desk desk(Plain());
  desk.List(Fleet(6));
  desk.Job("a", 2);
  desk.End("a", 0, AttemptStatus::kRejected);
  desk.End("a", 1, AttemptStatus::kConnectFailed);
  ASSERT_EQ(desk.sends["a"].size(), 3u);
  EXPECT_EQ(std::set<std::string>(desk.sends["a"].begin(), desk.sends["a"].end()).size(), 3u);
}

TEST(BrainTest, KeyedWorkThatMayHaveRunStaysInItsCellAndWindow) {
  Desk desk(Plain());
  desk.List(Fleet(8));
  desk.Job("a", 1);
  desk.End("a", 0, AttemptStatus::kConnectionLost);
  ASSERT_EQ(desk.sends["a"].size(), 2u);
  const int first = desk.sends["a"][0][1] - '0', second = desk.sends["a"][1][1] - '0';
  EXPECT_EQ(first / 2, second / 2);
  // The cell has no third worker: nothing harmless is left.
  desk.End("a", 1, AttemptStatus::kConnectionLost);
  EXPECT_EQ(desk.sends["a"].size(), 2u);
  EXPECT_EQ(desk.ended["a"], "failed");

  desk.Job("b", 1, 0, 30);
  desk.now += 4;  // the window is over: repeats are no longer dropped
  desk.End("b", 0, AttemptStatus::kServerError);
  EXPECT_EQ(desk.sends["b"].size(), 1u);
  EXPECT_EQ(desk.ended["b"], "failed");
}

TEST(BrainTest, NoAnswerAtTheDeadlineIsAnsweredAtOnce) {
  Desk desk(Plain());
  desk.List(Fleet(3));
  for (int cls = 0; cls < 3; ++cls) desk.Job("j" + std::to_string(cls), cls, 0, 1.0);
  desk.now += 1.0;
  for (int cls = 0; cls < 3; ++cls) {
    const std::string id = "j" + std::to_string(cls);
    for (std::size_t a = 0; a < desk.sends[id].size(); ++a) {
      desk.End(id, static_cast<int>(a), AttemptStatus::kNoResponse);
    }
    EXPECT_TRUE(desk.ended.contains(id));
  }
}

TEST(BrainTest, TriesLimitIsKept) {
  Desk desk(Plain());
  desk.List(Fleet(9));
  desk.Job("a");
  for (int i = 0; i < 6; ++i) desk.End("a", i, AttemptStatus::kRejected);
  EXPECT_EQ(desk.sends["a"].size(), 4u);
  EXPECT_EQ(desk.ended["a"], "refused");
}

TEST(BrainTest, WithoutLeaveForCopiesOneAttemptIsOutAtATime) {
  Settings s = Plain();
  s.allow_hedging = false;
  s.workers_notify_start = true;
  Desk desk(s);
  desk.List(Fleet(6));
  int out = 0;
  desk.Job("a");
  for (int i = 0; i < 40; ++i) {
    const Actions done = desk.Pass(0.1);
    for (const CancelAttempt& c : Only<CancelAttempt>(done)) {
      EXPECT_EQ(c.attempt, out);
      desk.End("a", out++, AttemptStatus::kCancelled);
    }
    EXPECT_LE(static_cast<int>(desk.sends["a"].size()), out + 1);
  }
  EXPECT_GE(desk.sends["a"].size(), 2u);  // the silent worker was left
}

TEST(BrainTest, RepeatedAndForgottenEventsAreIgnored) {
  Desk desk(Plain());
  desk.List(Fleet(3));
  desk.Job("a");
  desk.End("a", 0, AttemptStatus::kSucceeded);
  EXPECT_TRUE(desk.End("a", 0, AttemptStatus::kSucceeded).empty());
  EXPECT_TRUE(desk.Do(RequestCancelled{"a"}).empty());
  EXPECT_TRUE(desk.Do(RequestCancelled{"never"}).empty());
  EXPECT_TRUE(desk.Do(TimerFired{999}).empty());
  EXPECT_TRUE(desk.Do(StreamStarted{"never", 0}).empty());
  EXPECT_TRUE(desk.Do(AttemptProgress{"never", 3, ProgressKind::kProgress, 0.5}).empty());
}

TEST(BrainTest, NothingIsSentToDrainingOrGoneWorkers) {
  Desk desk(Plain());
  std::vector<Endpoint> fleet = Fleet(4);
  desk.List(fleet);
  std::vector<Endpoint> change = {fleet[0], fleet[1]};
  change[0].readiness = Readiness::kDraining;
  change[1].readiness = Readiness::kGone;
  desk.List(change, EndpointListKind::kIncremental);
  fleet.erase(fleet.begin(), fleet.begin() + 2);
  for (int i = 0; i < 100; ++i) desk.Job("j" + std::to_string(i));
  for (const auto& [id, workers] : desk.sends) {
    for (const std::string& w : workers) EXPECT_TRUE(w == "w2" || w == "w3") << w;
  }
  // A worker left out of a complete list is gone.
  fleet.pop_back();
  desk.List(fleet);
  desk.Job("last");
  EXPECT_EQ(desk.sends["last"], std::vector<std::string>{"w2"});
}

TEST(BrainTest, AnEmptyOrAllDrainingListRefusesUnsent) {
  Desk desk(Plain());
  desk.Job("early");
  EXPECT_EQ(desk.ended["early"], "refused");
  std::vector<Endpoint> fleet = Fleet(2);
  for (Endpoint& m : fleet) m.readiness = Readiness::kDraining;
  desk.List(fleet);
  for (int cls = 0; cls < 3; ++cls) {
    const std::string id = "j" + std::to_string(cls);
    desk.Job(id, cls);
    EXPECT_EQ(desk.ended[id], "refused");
    EXPECT_TRUE(desk.sends[id].empty());
  }
}

// The ban of an operator stands over what the list says, and its end is a fresh start: the worker
// was restarted meanwhile, which the list may tell late or with an older time.
TEST(BrainTest, AWorkerOutByHandStaysOutWhateverTheListSaysAndComesBackCold) {
  Settings s = Plain();
  Desk desk(s);
  desk.List(Fleet(2));
  int id = 0;
  const auto sent_to_w0 = [&](int n) {  // all at one moment
    int count = 0;
    for (int i = 0; i < n; ++i) {
      const std::string job = "j" + std::to_string(++id);
      desk.Job(job);
      count += !desk.sends[job].empty() && desk.sends[job][0] == "w0";
      desk.EndAll(job, [](int) { return AttemptStatus::kSucceeded; });
    }
    return count;
  };
  EXPECT_GT(sent_to_w0(30), 8);
  desk.Do(MaintenanceChanged{"w0", true});
  desk.Do(MaintenanceChanged{"w0", true});
  desk.List(Fleet(2));
  EXPECT_EQ(sent_to_w0(20), 0);
  desk.Do(MaintenanceChanged{"w0", false});
  std::vector<Endpoint> list = Fleet(2);
  list[0].started_at_s = desk.now - 5;
  desk.List(list);
  EXPECT_LT(sent_to_w0(30), 4);  // a burst that a cold worker must be spared
  desk.Pass(s.slow_start_s + 1);
  EXPECT_GT(sent_to_w0(30), 8);
}

// The process that replaces another goes on with what that one learned, or starts as new.
TEST(BrainTest, WhatWasLearnedGoesOnInTheNextProcess) {
  const Settings s = Plain();
  LoadBalancer old(s, 1);
  Actions actions;
  const auto members = Fleet(2);
  const auto Arrived = [](const std::string& id) {
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
    old.Handle(1.0 + i * 0.01, Arrived(id), &actions);
    for (const SendAttempt& send : Only<SendAttempt>(actions)) {
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

// Two processes that are one dispatcher: one must not fill, nor push over, what the other has sent
// to.
TEST(BrainTest, CountsTheSlotsOfItsOtherProcessAndSparesColdWorkersWhenItLeaves) {
  Settings s = Plain();
  s.dispatcher_count = 2;
  s.peers = true;
  Desk leaving(s), staying(s);
  std::vector<Endpoint> list = Fleet(2);
  list[0].started_at_s = 99;
  leaving.List(list);
  leaving.Pass(15);
  const std::vector<SendPeerMessage> said =
      Only<SendPeerMessage>(leaving.Do(SiblingProcess{true, true}));
  ASSERT_EQ(said.size(), 1u);
  EXPECT_EQ(said[0].recipient, s.dispatcher_index);  // to its mate, and to nobody else from now on
  for (const SendPeerMessage& t : Only<SendPeerMessage>(leaving.Pass(2)))
    EXPECT_EQ(t.recipient, s.dispatcher_index);
  for (int i = 0; i < 20; ++i) {
    const std::string id = "a" + std::to_string(i);
    leaving.Job(id);
    for (const std::string& worker : leaving.sends[id]) EXPECT_EQ(worker, "w1");
  }
  staying.List(Fleet(2));
  staying.Do(SiblingProcess{true, false});
  staying.Do(PeerMessage{s.dispatcher_index, Only<SendPeerMessage>(leaving.Pass(1)).back().body});
  std::size_t told = 0;  // what it tells its peers holds the slots of both
  for (const SendPeerMessage& t : Only<SendPeerMessage>(staying.Pass(0.5))) {
    if (t.recipient != s.dispatcher_index) told = std::max(told, t.body.size());
  }
  Desk alone(s);
  alone.List(Fleet(2));
  std::size_t without = 0;
  for (const SendPeerMessage& t : Only<SendPeerMessage>(alone.Pass(0.5)))
    without = std::max(without, t.body.size());
  EXPECT_GT(told, without);
}

TEST(BrainTest, ADyingWorkerIsLeftAloneButNeverTheWholeFleet) {
  Desk desk(Plain());
  desk.List(Fleet(10));
  for (int i = 0; i < 60; ++i) {
    const std::string id = "j" + std::to_string(i);
    desk.Job(id);
    for (int a = 0; a < 4; ++a) desk.End(id, a, AttemptStatus::kConnectFailed);
    EXPECT_FALSE(desk.sends[id].empty());  // there is always somebody to try
  }
}

TEST(BrainTest, ColdWorkersGetASmallPartOfWhatOthersCarry) {
  Settings s = Plain();
  s.dispatcher_count = 1;
  Desk desk(s);
  std::vector<Endpoint> fleet = Fleet(10);
  desk.List(fleet);
  int n = 0;
  const auto run = [&](double span) {
    std::map<std::string, int> got;
    for (double t = 0; t < span; t += 0.02) {
      const std::string id = "j" + std::to_string(n++);
      desk.Job(id);
      for (const std::string& w : desk.sends[id]) ++got[w];
      desk.Pass(0.02);
      desk.End(id, 0, AttemptStatus::kSucceeded);
    }
    return got;
  };
  run(10);
  fleet[0].started_at_s = desk.now;
  desk.List({fleet[0]}, EndpointListKind::kIncremental);
  const auto got = run(3);
  const int warm = (got.at("w1") + got.at("w2") + got.at("w3")) / 3;
  const int cold = got.contains("w0") ? got.at("w0") : 0;
  EXPECT_LE(cold, warm * 0.1 * 3 + 1);
}

TEST(BrainTest, DiscoveryIsAskedAtStartAndAgainAfterEachFailure) {
  Settings s = Plain();
  s.polls_discovery = true;
  s.max_poll_interval_s = 10;
  LoadBalancer balancer(s, 3);
  Actions actions;
  balancer.Handle(1, DispatcherStarted{}, &actions);
  EXPECT_EQ(Only<Subscribe>(actions).size(), 1u);
  Desk desk(s);
  for (int i = 0; i < 5; ++i) {
    desk.Do(EndpointsUpdated{EndpointListKind::kUnavailable, nullptr});
    EXPECT_EQ(Only<Subscribe>(desk.Pass(4)).size(), 1u);
  }
  desk.List(Fleet(2));
  EXPECT_TRUE(Only<Subscribe>(desk.Pass(60)).empty());  // subscribed: each call is a cost
}

// Customer 1: workers tell their load only when probed.
TEST(BrainTest, WhereLoadIsToldOnlyOnProbesAJobWaitsBrieflyForAFew) {
  Settings s = Plain();
  s.probing = true;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.load_report_metrics = {LoadMetric::kFreeSlots, LoadMetric::kQueued, LoadMetric::kInFlight};
  Desk desk(s);
  desk.List(Fleet(40));
  const auto probes = Only<Probe>(desk.Job("a"));
  ASSERT_EQ(probes.size(), 5u);
  EXPECT_TRUE(desk.sends["a"].empty());
  for (std::size_t i = 0; i < probes.size(); ++i) {
    ProbeAnswered e;
    e.worker = probes[i].worker;
    e.has_report = true;
    e.report[0] = i == 1 ? 4 : 0;  // only the second has room
    e.report[1] = i == 1 ? 0 : 5;
    desk.Do(e);
  }
  EXPECT_EQ(desk.sends["a"], std::vector<std::string>{probes[1].worker});
  // Silent workers: the job goes all the same, to none of them.
  const auto silent = Only<Probe>(desk.Job("b"));
  desk.Pass(0.3);
  ASSERT_GE(desk.sends["b"].size(), 1u);
  for (const Probe& p : silent) EXPECT_NE(desk.sends["b"][0], p.worker);
  // One whose client leaves meanwhile is forgotten.
  desk.Job("c");
  desk.Do(RequestCancelled{"c"});
  desk.Pass(0.3);
  EXPECT_TRUE(desk.sends["c"].empty());
  // Too late to ask around: the job is placed at once.
  EXPECT_TRUE(Only<Probe>(desk.Job("d", 0, 0, 0.1)).empty());
}

// Incident i4d7dd2: one kind was draining, untold, and turned jobs away; draws must go where jobs
// find room.
TEST(BrainTest, DrawsLeaveAKindThatTurnsJobsAway) {
  Settings s = Plain();
  s.kinds = 2;
  s.max_attempts = 1;
  Desk desk(s);
  std::vector<Endpoint> fleet = Fleet(400);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].kind = static_cast<int>(i % 2);
  desk.List(fleet);
  int late_half = 0;
  for (int i = 0; i < 200; ++i) {
    const std::string id = "j" + std::to_string(i);
    desk.Job(id);
    desk.EndAll(id, [&](int worker) {
      const bool full = worker % 2 == 1;
      late_half += full && i >= 100;
      return full ? AttemptStatus::kRejected : AttemptStatus::kSucceeded;
    });
    desk.Pass(0.1);
  }
  EXPECT_LT(late_half, 40);  // half of the workers, less than half of the jobs
}

// Incident ib4ba98: a zone was lost silently; one by one its workers took too long to find out.
TEST(BrainTest, ALostZoneIsLeftAsAWhole) {
  Settings s = Plain();
  s.zones = 2;
  Desk desk(s);
  std::vector<Endpoint> fleet = Fleet(60);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet[i].zone = static_cast<int>(i % 2);
  desk.List(fleet);
  int lost = 0;
  for (int i = 0; i < 100; ++i) {
    const std::string id = "j" + std::to_string(i);
    desk.Job(id);
    desk.EndAll(id, [&](int worker) {
      lost += worker % 2 == 1;
      return worker % 2 == 1 ? AttemptStatus::kConnectFailed : AttemptStatus::kSucceeded;
    });
    desk.Pass(0.02);
  }
  EXPECT_LE(lost, 20);  // 30 workers of the zone would have to be found out one by one
}

// Dakar's first overload: returning clients made sends three times demand and the cut cut nothing.
TEST(BrainTest, FullWorkersCutTheRateAndTenantsWithinQuotaAreServedFirst) {
  Settings s = Plain();
  s.max_attempts = 2;
  s.tenants = {{.share = 0.5, .quota_rps = 20}, {.share = 0.5, .quota_rps = 20}};
  Desk desk(s);
  desk.List(Fleet(10));
  int n = 0, sent[2] = {0, 0}, seen[2] = {0, 0};
  const auto arrive = [&](int tenant, bool count) {
    const std::string id = "j" + std::to_string(n++);
    desk.Job(id, 0, tenant);
    if (count) {
      ++seen[tenant];
      sent[tenant] += !desk.sends[id].empty();
    }
    // Every third job finds room nowhere.
    desk.EndAll(
        id, [&](int) { return n % 3 == 0 ? AttemptStatus::kRejected : AttemptStatus::kSucceeded; });
  };
  for (int i = 0; i < 1000; ++i) {  // 100 a second of tenant 0, 10 of tenant 1
    arrive(0, i > 500);
    if (i % 10 == 0) arrive(1, i > 500);
    desk.Pass(0.01);
  }
  EXPECT_GE(sent[1], seen[1] * 0.9);
  EXPECT_LE(sent[0], seen[0] * 0.7);
  EXPECT_GE(sent[0], seen[0] * 0.15);  // it keeps its quota
}

// Customer 2's quiet day: one late start of one job cut the rate of a tier with little traffic.
TEST(BrainTest, ALateJobOrTwoDoNotCutTheRate) {
  Settings s = Plain();
  s.workers_notify_start = true;
  s.dispatcher_count = 45;
  s.peers = true;
  Desk desk(s);
  desk.List(Fleet(35));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "j" + std::to_string(i);
    desk.Job(id, 2);
    EXPECT_EQ(desk.sends[id].size(), 1u) << "refused " << id;
    if (i % 10 != 9) desk.Note(id, 0);
    desk.Pass(0.8);
    if (i % 10 == 9) desk.Note(id, 0);  // two of all wait for their start
    desk.End(id, 0, AttemptStatus::kSucceeded);
  }
}

// A restarted dispatcher must not be held to one Nth while peers still count its old usage.
TEST(BrainTest, ARestartedDispatcherAsksAndIsAnsweredAtOnce) {
  Settings s = Plain();
  s.peers = true;
  s.dispatcher_count = 2;
  Desk old_one(s);
  old_one.List(Fleet(4));
  old_one.Job("a");
  old_one.Pass(2);
  s.dispatcher_index = 1;
  Desk fresh(s);
  fresh.List(Fleet(4));
  const auto told = Only<SendPeerMessage>(fresh.Pass(1));
  ASSERT_FALSE(told.empty());
  EXPECT_EQ(told[0].recipient, 0);
  const auto answer = Only<SendPeerMessage>(old_one.Do(PeerMessage{1, told[0].body}));
  ASSERT_EQ(answer.size(), 1u);
  EXPECT_EQ(answer[0].recipient, 1);
  fresh.Do(PeerMessage{0, answer[0].body});
  // Once heard, it no longer asks: its next report is not answered.
  const auto later = Only<SendPeerMessage>(fresh.Pass(1));
  ASSERT_FALSE(later.empty());
  EXPECT_TRUE(old_one.Do(PeerMessage{1, later[0].body}).empty());
}

TEST(BrainTest, ASecondCopyOfWaitingWorkIsDroppedOnceOneRuns) {
  Settings s = Plain();
  s.workers_notify_start = true;
  Desk desk(s);
  desk.List(Fleet(6));
  for (int i = 0; i < 30; ++i) {  // earn the right to a copy
    const std::string id = "j" + std::to_string(i);
    desk.Job(id);
    desk.Note(id, 0);
    desk.End(id, 0, AttemptStatus::kSucceeded);
  }
  desk.Job("a");
  desk.Job("once", 2);
  desk.Pass(0.03);
  ASSERT_EQ(desk.sends["a"].size(), 2u);
  EXPECT_NE(desk.sends["a"][0], desk.sends["a"][1]);
  EXPECT_EQ(desk.sends["once"].size(), 1u);  // never a copy of unsafe work
  const auto cancelled = Only<CancelAttempt>(desk.Note("a", 1));
  ASSERT_EQ(cancelled.size(), 1u);
  EXPECT_EQ(cancelled[0].attempt, 0);
  desk.End("a", 0, AttemptStatus::kCancelled);
  EXPECT_FALSE(desk.ended.contains("a"));
  desk.End("a", 1, AttemptStatus::kSucceeded);
  EXPECT_EQ(desk.sends["a"].size(), 2u);
}

// Where no load is told, a job that has not started at once is sent to a second worker as well,
// unless the class forbids it; where load is told it is not: a cancel may end nothing, then a copy
// is plain load.
TEST(BrainTest, WhereLoadIsNeverToldWaitingWorkIsCopied) {
  const auto copied = [](LoadReportSource source, int cls) {
    Settings s = Plain();
    s.allow_hedging = s.workers_notify_start = true;
    s.load_report_source = source;
    Desk desk(s);
    desk.List(Fleet(40));
    int copies = 0;
    for (int i = 0; i < 200; ++i) {
      const std::string id = "j" + std::to_string(i);
      desk.Job(id, cls);
      desk.Pass(0.03);
      copies += static_cast<int>(desk.sends[id].size()) - 1;
      for (const CancelAttempt& c :
           Only<CancelAttempt>(desk.End(id, 0, AttemptStatus::kSucceeded))) {
        desk.End(id, c.attempt, AttemptStatus::kCancelled);
      }
    }
    return copies;
  };
  EXPECT_GT(copied(LoadReportSource::kOff, 0), 150);
  EXPECT_EQ(copied(LoadReportSource::kOff, 2), 0);
  EXPECT_EQ(copied(LoadReportSource::kInline, 0), 0);
}

// A fleet whose queues are longer than the aim makes everything late. Work that waits past hope is
// called off while the fleet is full, but no more than starts: where a cancel ends nothing it must
// not go on.
TEST(BrainTest, WaitingWorkPastHopeIsCalledOffWhileTheFleetIsFull) {
  const auto called_off = [](LoadReportSource source, bool some_start) {
    Settings s = Plain();
    s.allow_hedging = false;
    s.workers_notify_start = true;
    s.load_report_source = source;
    Desk desk(s);
    desk.List(Fleet(40));
    std::size_t calls = 0;
    for (int i = 0; i < 400; ++i) {
      const std::string id = "j" + std::to_string(i);
      const bool starts = i < 20 || (some_start && i % 2 == 0);
      desk.Job(id, 2, 0, 30);
      if (desk.ended.contains(id)) continue;
      if (starts) {
        desk.Note(id, 0);
        desk.Pass(0.001);
        desk.End(id, 0, AttemptStatus::kSucceeded);
      }
      for (const CancelAttempt& c : Only<CancelAttempt>(desk.Pass(0.02))) {
        ++calls;
        desk.End(c.id, c.attempt, AttemptStatus::kCancelled);
        EXPECT_EQ(desk.ended[c.id], "failed");  // it may have run: nothing else is true
      }
    }
    return calls;
  };
  EXPECT_GT(called_off(LoadReportSource::kOff, true), 30u);
  EXPECT_LE(called_off(LoadReportSource::kOff, false), 10u);  // what the first starts earned
  EXPECT_EQ(called_off(LoadReportSource::kInline, true), 0u);
}

// In a tier of hundreds a bucket sees a job in ten seconds: a full bucket would outlast the
// overload. After a cut its jobs are drawn at the share that the fleet can take, and one that comes
// back is not drawn again.
TEST(BrainTest, InALargeTierACutBindsBucketsThatSeeLittle) {
  Settings s = Plain();
  s.dispatcher_count = 200;
  s.peers = true;
  s.tenants = {{.share = 1, .quota_rps = 20}};
  s.max_attempts = 2;
  Desk desk(s);
  desk.List(Fleet(10));
  int sent = 0, seen = 0, back = 0;
  for (int i = 0; i < 400; ++i) {
    const std::string id = "j" + std::to_string(i);
    desk.Job(id, i % 3);
    const bool full = i < 200 || i % 2 == 0;
    desk.EndAll(id,
                [&](int) { return full ? AttemptStatus::kRejected : AttemptStatus::kSucceeded; });
    if (i >= 200) {
      ++seen;
      sent += !desk.sends[id].empty();
      if (desk.sends[id].empty()) {
        RequestArrived again;
        const std::string again_id = id + "again";
        again.id = again_id;
        again.cls = i % 3;
        again.expires_s = desk.now + 5;
        again.retry = true;
        desk.Do(again);
        back += !desk.sends[again_id].empty();
      }
    }
    desk.Pass(1.0);
  }
  EXPECT_LT(sent, seen * 0.8);
  EXPECT_GT(sent, seen * 0.02);
  EXPECT_EQ(back, 0);
}

// A probed worker's queue tells that even the best of those asked will end the job late: where
// starts are not told this is the only word of an overload with deep waiting rooms.
TEST(BrainTest, ProbedQueuesThatMakeWorkLateCutTheRate) {
  const auto refused = [](double queued) {
    Settings s = Plain();
    s.probing = true;
    s.load_report_source = LoadReportSource::kOnProbe;
    s.load_report_metrics = {LoadMetric::kFreeSlots, LoadMetric::kQueued};
    s.tenants = {{.share = 1, .quota_rps = 5}};
    Desk desk(s);
    desk.List(Fleet(10));
    int lost = 0;
    for (int i = 0; i < 600; ++i) {
      const std::string id = "j" + std::to_string(i);
      RequestArrived e;
      e.id = id;
      e.expires_s = desk.now + 5;
      Actions done = desk.Do(e);
      for (const Probe& p : Only<Probe>(done)) {
        desk.Do(ProbeAnswered{.worker = p.worker,
                              .status = AttemptStatus::kSucceeded,
                              .has_report = true,
                              .report = {queued > 0 ? 0.0 : 2.0, queued}});
      }
      desk.Pass(0.05);
      if (!desk.sends[id].empty()) desk.End(id, 0, AttemptStatus::kSucceeded);
      lost += i > 200 && desk.sends[id].empty();
    }
    return lost;
  };
  EXPECT_EQ(refused(0), 0);
  EXPECT_GT(refused(9), 50);
}

// Customer 2's reports on probes are seconds old: asking more workers then only herds everybody on
// the one last seen free. Held requests stand for the queue where the queue is not told.
TEST(BrainTest, FewerAreAskedWhereAFreeSlotToldProvesTaken) {
  const auto asked = [](double start_after) {
    Settings s = Plain();
    s.probing = s.workers_notify_start = true;
    s.allow_hedging = false;
    s.load_report_source = LoadReportSource::kOnProbe;
    s.load_report_metrics = {LoadMetric::kInFlight, LoadMetric::kFreeSlots};
    Desk desk(s);
    desk.List(Fleet(30));
    std::size_t last = 0;
    for (int i = 0; i < 60; ++i) {
      const std::string id = "j" + std::to_string(i);
      const auto probes = Only<Probe>(desk.Job(id));
      last = probes.size();
      for (const Probe& p : probes) {
        desk.Do(ProbeAnswered{.worker = p.worker,
                              .status = AttemptStatus::kSucceeded,
                              .has_report = true,
                              .report = {0, 2}});
      }
      EXPECT_EQ(desk.sends[id].size(), 1u);
      desk.Pass(start_after);
      desk.Note(id, 0);
      desk.Pass(0.1);
      desk.End(id, 0, AttemptStatus::kSucceeded);
    }
    return last;
  };
  EXPECT_EQ(asked(0.005), 5u);
  EXPECT_EQ(asked(0.1), 2u);
}

TEST(BrainTest, AnEjectedWorkerReturnsWithOneRepeatableJobAtATime) {
  Desk desk(Plain());
  desk.List(Fleet(2));
  int i = 0;
  while (desk.sends.empty() || desk.sends.rbegin()->second[0] != "w0") {
    desk.sends.clear();
    const std::string id = "j" + std::to_string(i++);
    desk.Job(id);
    if (desk.sends[id][0] == "w0") break;
    desk.End(id, 0, AttemptStatus::kSucceeded);
  }
  const std::string lost = desk.sends.begin()->first;
  desk.End(lost, 0, AttemptStatus::kConnectFailed);
  for (int k = 0; k < 20; ++k) {
    const std::string id = "e" + std::to_string(k);
    desk.Job(id);
    EXPECT_EQ(desk.sends[id][0], "w1");  // ejected
    desk.End(id, 0, AttemptStatus::kSucceeded);
  }
  desk.Pass(5);
  int trials = 0;
  for (int k = 0; k < 60; ++k) {
    const std::string id = "t" + std::to_string(k);
    desk.Job(id, k % 2 == 0 ? 2 : 0);
    if (desk.sends[id][0] != "w0") continue;
    ++trials;
    EXPECT_EQ(k % 2, 1) << "unsafe work sent on trial";
  }
  EXPECT_EQ(trials, 1);  // one at a time until it is served
}

// Found on review: the table of peers is empty where peers are off, so a stray report must not
// reach it.
TEST(BrainTest, AReportIsIgnoredWherePeersAreOff) {
  Settings s = Plain();
  s.peers = true;
  s.dispatcher_count = 3;
  Desk talker(s);
  talker.List(Fleet(4));
  const auto told = Only<SendPeerMessage>(talker.Pass(1));
  ASSERT_FALSE(told.empty());
  s.peers = false;
  s.dispatcher_index = 1;
  Desk deaf(s);
  EXPECT_TRUE(deaf.Do(PeerMessage{0, told[0].body}).empty());
}

TEST(BrainTest, OddSettingsAreDecidedSanely) {
  // No tenants, probing without columns, a kind no worker has, zero quotas, peers off, one
  // dispatcher.
  Settings s = Plain();
  s.probing = true;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.classes[2].kind = 3;
  Desk desk(s);
  desk.List(Fleet(4));
  for (int i = 0; i < 30; ++i) desk.Job("j" + std::to_string(i), i % 3);
  desk.Pass(1);
  EXPECT_FALSE(desk.sends["j0"].empty());
  EXPECT_EQ(desk.ended["j2"], "refused");  // nobody runs it
  Settings zero = Plain();
  zero.tenants.resize(3);
  Desk other(zero);
  other.List(Fleet(4));
  for (int i = 0; i < 30; ++i) {
    const std::string id = "j" + std::to_string(i);
    other.Job(id, 0, i % 3);
    for (int a = 0; a < 4; ++a) other.End(id, a, AttemptStatus::kRejected);
    other.Pass(0.1);
  }
  EXPECT_FALSE(other.sends["j0"].empty());
}

TEST(BrainTest, EqualEventsGiveEqualActions) {
  const auto run = [] {
    Settings s = Plain();
    s.peers = true;
    s.dispatcher_count = 5;
    Desk desk(s, 11);
    desk.List(Fleet(12));
    std::string log;
    for (int i = 0; i < 300; ++i) {
      const std::string id = "j" + std::to_string(i);
      desk.Job(id, i % 3);
      desk.Pass(0.01);
      for (const std::string& w : desk.sends[id]) log += w + " ";
      desk.End(id, 0, i % 7 == 0 ? AttemptStatus::kRejected : AttemptStatus::kSucceeded);
    }
    return log;
  };
  EXPECT_EQ(run(), run());
}

// Peers tell what they have out: a worker that one of them has filled is no more idle than one we
// have filled ourselves. Until a report has told what its kind can hold, that can't be judged.
TEST(BrainTest, SlotsThatPeersHaveOutCountLikeOwn) {
  Settings s = Plain();
  s.peers = s.probing = true;
  s.dispatcher_count = 2;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.load_report_metrics = {LoadMetric::kFreeSlots};
  Desk me(s);
  s.dispatcher_index = 1;
  Desk peer(s, 8);
  for (Desk* desk : {&me, &peer}) {
    desk->List(Fleet(3));
    for (const char* w : {"w0", "w1"}) {
      desk->Do(ProbeAnswered{.worker = w, .has_report = true, .report = {4}});
    }
    desk->Pass(1);
  }
  for (int i = 0; i < 8; ++i) {  // fills two of three
    const std::string id = "p" + std::to_string(i);
    for (const Probe& p : Only<Probe>(peer.Job(id))) {
      const bool third = p.worker == "w2";
      peer.Do(ProbeAnswered{.worker = p.worker, .has_report = true, .report = {third ? 0.0 : 4.0}});
    }
  }
  std::string told;
  for (const SendPeerMessage& t : Only<SendPeerMessage>(peer.Pass(0.4))) told = t.body;
  me.Do(PeerMessage{1, told});
  std::set<std::string> used;
  for (const char* id : {"a", "b", "c"}) {
    me.Job(id);
    me.Pass(0.1);  // no worker answers the probes: what peers told decides
    ASSERT_FALSE(me.sends[id].empty());
    used.insert(me.sends[id][0]);
  }
  EXPECT_EQ(used, std::set<std::string>{"w2"});
}

// A worker that takes a job and says nothing is asked whether it lives; its silence is believed.
TEST(BrainTest, AWorkerThatAnswersNoProbeIsLeftAndItsJobSentElsewhere) {
  Settings s = Plain();
  s.probing = s.workers_notify_start = true;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.price_probe = 1;  // no probes for placement
  Desk desk(s);
  desk.List(Fleet(3));
  desk.Job("a");
  ASSERT_EQ(desk.sends["a"].size(), 1u);
  const std::string silent = desk.sends["a"][0];
  const auto asked = Only<Probe>(desk.Pass(0.8));
  ASSERT_EQ(asked.size(), 1u);
  EXPECT_EQ(asked[0].worker, silent);
  desk.Do(ProbeAnswered{.worker = silent, .status = AttemptStatus::kNoResponse});
  desk.Pass(0.6);
  ASSERT_EQ(desk.sends["a"].size(), 2u);
  EXPECT_NE(desk.sends["a"][1], silent);
  for (int i = 0; i < 10; ++i) {
    const std::string id = "b" + std::to_string(i);
    desk.Job(id);
    EXPECT_NE(desk.sends[id].at(0), silent);
  }
}

// Chance resets a connection now and then: one must not cost a worker its place, a second may.
TEST(BrainTest, OneResetLeavesNoWorkerOut) {
  Desk desk(Plain());
  desk.List(Fleet(2));
  for (int i = 0; i < 60; ++i) {
    const std::string id = "a" + std::to_string(i);
    desk.Job(id);
    for (std::size_t a = 0; a < desk.sends[id].size() && !desk.ended.contains(id); ++a) {
      desk.End(id, static_cast<int>(a),
               i == 20 && a == 0 ? AttemptStatus::kConnectionLost : AttemptStatus::kSucceeded);
    }
    if (i == 20) {
      EXPECT_EQ(desk.sends[id].size(), 2u);
      std::set<std::string> used;
      for (int j = 0; j < 20; ++j) {
        const std::string next = "b" + std::to_string(j);
        desk.Job(next);
        used.insert(desk.sends[next].at(0));
        desk.End(next, 0, AttemptStatus::kSucceeded);
      }
      EXPECT_EQ(used.size(), 2u);
    }
  }
}

// One worker whose report is wrong must not make its whole kind seem bottomless.
TEST(BrainTest, OneWrongReportFillsNoWorker) {
  Settings s = Plain();
  s.probing = true;
  s.load_report_source = LoadReportSource::kOnProbe;
  s.load_report_metrics = {LoadMetric::kFreeSlots};
  s.price_probe = 1;
  Desk desk(s);
  desk.List(Fleet(4));
  for (const auto& [worker, free] : {std::pair{"w0", 2.0},
                                     {"w1", 900.0},
                                     {"w1", 900.0},
                                     {"w2", 2.0},
                                     {"w1", -5.0},
                                     {"w3", 2.0}}) {
    desk.Do(ProbeAnswered{.worker = worker, .has_report = true, .report = {free}});
  }
  desk.Pass(2);
  std::map<std::string, int> load;
  for (int i = 0; i < 8; ++i) {
    const std::string id = "a" + std::to_string(i);
    desk.Job(id);
    load[desk.sends[id].at(0)] += 1;
  }
  for (const auto& [worker, n] : load) EXPECT_EQ(n, 2) << worker;
}

// Demand that goes and comes back, as when a node restarts, finds no rate that shrank with it.
TEST(BrainTest, DemandThatComesBackIsNotRefusedAtIdleWorkers) {
  Settings s = Plain();
  s.tenants = {{.share = 1, .quota_rps = 40}};
  Desk desk(s);
  desk.List(Fleet(2));
  int n = 0, refused = 0;
  const auto run = [&](double span, double gap, bool full) {
    refused = 0;
    for (double t = 0; t < span; t += gap) {
      const std::string id = "j" + std::to_string(n++);
      desk.Job(id);
      if (desk.sends[id].empty())
        ++refused;
      else if (full)
        desk.EndAll(id, [](int) { return AttemptStatus::kRejected; });
      else
        desk.End(id, 0, AttemptStatus::kSucceeded);
      desk.Pass(gap);
    }
  };
  run(6, 0.05, true);  // the rate is cut
  run(8, 2, false);
  run(2, 0.05, false);  // demand itself must be seen first
  run(3, 0.05, false);
  EXPECT_EQ(refused, 0);
}

// In an overload each class gives up the same share of a tenant's quota.
TEST(BrainTest, ClassesOfATenantGiveUpTheSameShare) {
  Settings s = Plain();
  s.tenants = {{.share = 1, .quota_rps = 20}};
  s.classes[1].priority_weight = 8;
  Desk desk(s);
  desk.List(Fleet(2));
  int refused[2] = {0, 0};
  for (int i = 0; i < 1600; ++i) {
    const std::string id = "j" + std::to_string(i);
    const int cls = i % 2;
    desk.Job(id, cls);
    if (!desk.sends[id].empty()) {  // every second finds no room anywhere
      if (i % 4 < 2)
        desk.EndAll(id, [](int) { return AttemptStatus::kRejected; });
      else
        desk.End(id, 0, AttemptStatus::kSucceeded);
    } else if (i > 400) {
      refused[cls] += 1;
    }
    desk.Pass(0.01);
  }
  EXPECT_GT(refused[0], 100);
  EXPECT_LT(std::abs(refused[0] - refused[1]), refused[0] / 3);
}

TEST(BrainTest, PeersAreToldBoundedMessagesAndForeignOnesAreIgnored) {
  for (const int tier : {3, 680}) {
    Settings s = Plain();
    s.peers = true;
    s.dispatcher_count = tier;
    s.tenants.resize(8);
    for (TenantSettings& t : s.tenants) t.share = 0.125;
    Desk desk(s);
    desk.List(Fleet(12));
    std::size_t told = 0;
    for (int i = 0; i < 100; ++i) {
      desk.Job("j" + std::to_string(i), i % 3, i % 8);
      for (const SendPeerMessage& t : Only<SendPeerMessage>(desk.Pass(0.1))) {
        EXPECT_LE(t.body.size(), 256u);
        EXPECT_NE(t.recipient, s.dispatcher_index);
        EXPECT_LT(t.recipient, tier);
        ++told;
      }
    }
    EXPECT_GT(told, 0u);
    EXPECT_LT(told, 200u);
    for (const char* body :
         {"", "D", "garbage that is long enough to be a message, but is not", "D\x02"}) {
      EXPECT_TRUE(desk.Do(PeerMessage{1, body}).empty());
    }
    EXPECT_TRUE(desk.Do(PeerMessage{-4, "x"}).empty());
  }
}

// Workers replaced under new names, as each deploy does: the module must not keep every name that a
// list ever carried, yet must keep one that still has work of ours out. Slots of a fraction do not
// add up exactly (0.1 + 0.2 + 0.3 - 0.1 - 0.2 - 0.3 > 0): that residue is no work out.
TEST(BrainTest, WorkersGoneLongAgoAreForgottenUnlessWorkIsOutThere) {
  struct Case {
    std::vector<double> slots;  // of jobs sent to the first worker
    bool out_meanwhile;         // they end only after the workers have been replaced
  };
  for (const Case& c : {Case{{1.0}, true}, Case{{0.1, 0.2, 0.3}, false}}) {
    Desk desk(Plain());
    std::vector<Endpoint> members = Fleet(1);
    desk.List(members);
    const auto has = [&](const std::string& name) {
      const std::vector<WorkerView> views = desk.Workers();
      return std::ranges::any_of(views, [&](const WorkerView& v) { return v.worker == name; });
    };
    const auto end_all = [&] {
      for (std::size_t i = 0; i < c.slots.size(); ++i) {
        desk.End("f" + std::to_string(i), 0, AttemptStatus::kSucceeded);
      }
    };
    for (std::size_t i = 0; i < c.slots.size(); ++i) {
      RequestArrived job;
      const std::string id = "f" + std::to_string(i);
      job.id = id;
      job.slots = c.slots[i];
      job.expires_s = desk.now + 1e6;
      desk.now += 0.01;
      ASSERT_EQ(Only<SendAttempt>(desk.Do(job)).size(), 1u) << id;
    }
    if (!c.out_meanwhile) end_all();
    for (int i = 0; i < 2000; ++i) {  // one replaced every 10 s, for 20,000 s
      desk.now += 10;
      members.erase(members.begin());
      members.push_back({.worker = "n" + std::to_string(i)});
      desk.List(members);
    }
    EXPECT_LE(desk.Workers().size(), 1u + 300 / 10 + 1 + 1);  // listed, gone within 300 s, busy
    EXPECT_EQ(has("w0"), c.out_meanwhile);
    for (const Endpoint& m : members) EXPECT_TRUE(has(m.worker));
    if (c.out_meanwhile) end_all();
    desk.now += 400;
    members.push_back({.worker = "after"});
    desk.List(members);
    EXPECT_FALSE(has("w0"));
  }
}

// Hints that are rough by a factor drawn in logs: the mean of time over hint is ruled by the
// smallest hints and made every job's time look three times longer than it was.
TEST(BrainTest, ARoughHintIsReadByALineInLogsNotByTheMeanRatio) {
  struct Case {
    double spread;  // of the hint around the work, in logs
    bool tells;     // the hint follows the work at all
  };
  for (const Case c : {Case{0.3, true}, Case{1.2, true}, Case{1.0, false}}) {
    std::mt19937_64 random(3);
    std::lognormal_distribution<double> work(std::log(0.25), 0.6), noise(0, c.spread);
    LogFit line;
    Mean ratio;
    std::vector<std::pair<double, double>> jobs;  // hint, time
    for (int i = 0; i < 4000; ++i) {
      const double w = work(random), other = work(random);
      const double hint = (c.tells ? w : other) * noise(random);
      jobs.emplace_back(hint, 2 * w);  // workers take twice the hinted work
      if (i < 200) continue;           // learn from the later ones, test on the first
      line.Add(hint, 2 * w, 200);
      ratio.Add(2 * w / hint, 200);
    }
    double sum = 0, by_line = 0, by_ratio = 0;
    for (int i = 0; i < 200; ++i) {
      sum += jobs[Idx(i)].second;
      by_line += line.At(jobs[Idx(i)].first, -1);
      by_ratio += jobs[Idx(i)].first * ratio.value;
    }
    EXPECT_NEAR(by_line / sum, 1.0, 0.25) << c.spread;
    if (c.spread > 1) EXPECT_GT(by_ratio / sum, 1.5) << "the old way, for contrast";
  }
  EXPECT_EQ(LogFit{}.At(0.3, 7.0), 7.0);  // nothing learned: the fallback
}

// Six workers of three slots keep the setups of their last two keys; a job whose key is not kept
// there takes `fetch` longer. Where a fetch costs, the jobs of a key go to few workers and mostly
// find it kept; where it costs nothing, nothing pulls them together.
TEST(BrainTest, KeysStayOnFewWorkersOnlyWhereAFetchIsSeenToCost) {
  struct Case {
    double fetch;
    double least_hits, most_hits;  // share of jobs in the second half that found their key
  };
  for (const Case c : {Case{0.15, 0.75, 1.0}, Case{0.0, 0.0, 0.35}}) {
    Settings s = Plain();
    s.workers_notify_start = true;
    Desk desk(s);
    std::vector<Endpoint> fleet = Fleet(6);
    for (Endpoint& m : fleet) m.slots = 3;
    desk.List(fleet);
    std::vector<std::deque<std::string>> kept(6);             // the last two keys of each worker
    std::multimap<double, std::pair<std::string, int>> ends;  // when, job and attempt
    std::mt19937_64 random(5);
    int hits = 0, counted = 0;
    for (int i = 0; i < 800; ++i) {
      desk.Pass(0.05);
      while (!ends.empty() && ends.begin()->first <= desk.now) {
        const auto [id, attempt] = ends.begin()->second;
        ends.erase(ends.begin());
        if (!desk.ended.contains(id)) desk.End(id, attempt, AttemptStatus::kSucceeded);
      }
      const std::string id = "j" + std::to_string(i);
      RequestArrived e{.id = id, .expires_s = desk.now + 5, .cls = 0, .size_hint_s = 0.1};
      const std::string key = "k" + std::to_string(random() % 12);
      e.key = key;
      desk.Do(e);
      for (std::size_t a = 0; a < desk.sends[id].size(); ++a) {
        const int w = std::stoi(desk.sends[id][a].substr(1));
        auto& keys = kept[Idx(w)];
        const bool hit = std::find(keys.begin(), keys.end(), key) != keys.end();
        std::erase(keys, key);
        keys.push_front(key);
        if (keys.size() > 2) keys.pop_back();
        if (i >= 400) hits += hit, counted += 1;
        desk.Note(id, static_cast<int>(a));
        ends.emplace(desk.now + 0.1 + (hit ? 0.0 : c.fetch), std::pair{id, static_cast<int>(a)});
      }
    }
    const double share = static_cast<double>(hits) / std::max(counted, 1);
    EXPECT_GE(share, c.least_hits) << "fetch " << c.fetch;
    EXPECT_LE(share, c.most_hits) << "fetch " << c.fetch;
  }
}

// Peers of a large tier don't say what they have out at each worker, so every node took a worker
// for as empty as its own slots out there said: all sent to the same homes of keys, and jobs waited
// behind one another while other workers had room. Now the others are taken to do as this one does.
TEST(BrainTest, InALargeTierOthersAtAWorkerAreTakenToDoAsThisOne) {
  for (const auto& [dispatchers, least, most] : {std::tuple{30, 20.0, 30.0}, {4, 0.0, 0.0}}) {
    Settings s = Plain();
    s.dispatcher_count = dispatchers;
    s.peers = true;
    Desk desk(s);
    std::vector<Endpoint> fleet = Fleet(2);
    for (Endpoint& m : fleet) m.slots = 3;
    desk.List(fleet);
    desk.Job("a", 0, 0, 30);
    desk.Note("a", 0);  // it runs, and goes on running
    desk.Pass(4);
    const std::string& at = desk.sends["a"][0];
    for (const WorkerView& v : desk.Workers()) {
      const bool there = v.worker == at;
      EXPECT_GE(v.peer_slots_in_flight, there ? least : 0.0) << dispatchers << " " << v.worker;
      EXPECT_LE(v.peer_slots_in_flight, there ? most : 0.0) << dispatchers << " " << v.worker;
    }
  }
}

// A report of free slots said little of what a worker holds, for a worker that is seldom idle: the
// kind of five slots was held to have none all day. Where a slot is free nothing waits, so all
// that it holds runs, and free and held together are its slots.
TEST(BrainTest, AReportWithASlotFreeTellsAllThatAWorkerHolds) {
  struct Case {
    double free, held, told;
  };
  for (const Case c : {Case{2, 3, 5}, Case{0, 7, 0}, Case{1.2, -1, 1}, Case{3, 0, 3}}) {
    Worker w;
    w.reported_free_slots = c.free;
    w.reported_in_flight = c.held;
    EXPECT_EQ(w.ImpliedSlots(), c.told) << c.free << " " << c.held;
  }
}

}  // namespace
}  // namespace millethollow::balancing
