// The core without any wire: deadlines, the ledger and its last-line checks.
#include "core/planner.h"

#include <gtest/gtest.h>

#include "config/config.h"
#include "net/discovery.h"
#include "support/support.h"

namespace millethollow {
namespace {

TEST(Deadlines, SweepInOrderAndLeaveWhatIsSetMeanwhile) {
  Deadlines deadlines;
  std::string ran;
  deadlines.At(2, [&] { ran += "b"; });
  deadlines.At(1, [&] {
    ran += "a";
    deadlines.At(1, [&] { ran += "d"; });
  });
  auto dropped = deadlines.At(1.5, [&] { ran += "x"; });
  deadlines.At(3, [&] { ran += "c"; });
  deadlines.Drop(&dropped);
  deadlines.Sweep(2);
  EXPECT_EQ(ran, "ab");
  EXPECT_EQ(*deadlines.Next(), 1);
  deadlines.Sweep(3);
  EXPECT_EQ(ran, "abdc");
}

// Callbacks that never stop coming once kept a turn from its end, and every deadline from its
// sweep.
TEST(Loop, SweepsDeadlinesUnderSteadyLoad) {
  Loop loop;
  bufferevent* busy = bufferevent_socket_new(loop.base(), -1, BEV_OPT_DEFER_CALLBACKS);
  const auto again = [](bufferevent* b, void*) {
    bufferevent_trigger(b, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
  };
  bufferevent_setcb(busy, again, nullptr, nullptr, nullptr);
  again(busy, nullptr);
  bool swept = false;
  loop.deadlines().At(loop.Now() + 0.01, [&] { swept = true; });
  EXPECT_TRUE(TurnUntil(loop, [&] { return swept; }));
  bufferevent_setcb(busy, nullptr, nullptr, nullptr, nullptr);
  bufferevent_free(busy);
  loop.Turn();  // a callback still under way holds it until then
}

struct Port : ForwarderPort {
  struct Sent {
    RequestId id;
    int attempt;
    std::string worker;
  };
  void Send(RequestId id, int attempt, const std::string& worker) override {
    sent.push_back({id, attempt, worker});
  }
  void Cancel(RequestId, int) override { ++cancelled; }
  void Probe(const std::string&) override {}
  void Answer(RequestId, const FinalAnswer& a) override { answers.push_back(a); }
  std::vector<Sent> sent;
  std::vector<FinalAnswer> answers;
  int cancelled = 0;
};

struct PlannerHarness : PlannerEnvironment {
  PlannerHarness() {
    std::string error;
    EXPECT_TRUE(
        ReadConfig(TestConfig({"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}), &config, &error));
    ServerList list;
    EXPECT_TRUE(ReadServerList(config.known, config.zones, config.kinds, &list, &error));
    planner = std::make_unique<Planner>(config.settings, 1, &deadlines, this, &counters);
    number = planner->AddForwarder(&port, true);
    planner->Start(list.Members());
  }
  double Now() override { return now; }
  bool EndpointsOverdue() override { return overdue; }
  RequestId Take(int cls, double timeout = 5) {
    Request e;
    e.id = number << kForwarderShift | ++last;
    e.cls = cls;
    e.expires_at = now + timeout;
    planner->OnRequest(e);
    return e.id;
  }
  double now = 1000;
  bool overdue = false;
  Config config;
  Deadlines deadlines;
  Counters counters;
  Port port;
  std::uint64_t number = 0, last = 0;
  std::unique_ptr<Planner> planner;
};

// Sends by a list that is overdue wait for the next word of it, and go to no server that it ends.
// Who left meanwhile, or ran out of time, was never sent.
TEST(Planner, SendsWaitForAListThatIsOverdue) {
  PlannerHarness w;
  w.overdue = true;
  const RequestId stays = w.Take(0), leaves = w.Take(0);
  w.Take(1, 0.5);
  ASSERT_EQ(w.port.sent.size(), 0u);
  w.planner->OnRequestCancelled(leaves);
  w.now += 0.6;
  w.deadlines.Sweep(w.now);
  ASSERT_EQ(w.port.answers.size(), 1u);
  EXPECT_EQ(w.port.answers[0].kind, FinalAnswer::Kind::kRejected);
  std::vector<balancing::Endpoint> list;
  for (const char* name : {"w0", "w1", "w2"}) {
    list.push_back({.worker = name});
    if (list.size() < 3) list.back().readiness = balancing::Readiness::kDraining;
  }
  w.planner->OnEndpointsUpdated(balancing::EndpointListKind::kIncremental, list);
  EXPECT_EQ(w.port.sent.size(), 0u) << "still overdue";
  w.overdue = false;
  w.planner->OnEndpointsUpdated(balancing::EndpointListKind::kUnavailable, {});
  ASSERT_EQ(w.port.sent.size(), 1u);
  EXPECT_EQ(w.port.sent[0].id, stays);
  EXPECT_EQ(w.port.sent[0].worker, "w2");
}

TEST(Planner, GivesExactlyOneFinalAnswer) {
  PlannerHarness w;
  const RequestId id = w.Take(0);
  ASSERT_EQ(w.port.sent.size(), 1u);
  w.planner->OnAttemptEnded(id, 0, {.status = AttemptStatus::kSucceeded});
  w.planner->OnAttemptEnded(id, 0, {.status = AttemptStatus::kSucceeded});
  w.planner->OnRequestCancelled(id);
  w.now += 10;
  w.deadlines.Sweep(w.now);
  ASSERT_EQ(w.port.answers.size(), 1u);
  EXPECT_EQ(w.port.answers[0].kind, FinalAnswer::Kind::kCompleted);
  EXPECT_EQ(w.planner->open_requests(), 0u);
}

// Two requests of one name could not be told apart at a worker, whichever forwarder has them.
TEST(Planner, RejectsTheNameOfAnotherRequest) {
  PlannerHarness w;
  Port other;
  const std::uint64_t second = w.planner->AddForwarder(&other, false);
  Request e;
  e.wire_id = "one";
  e.expires_at = w.now + 5;
  e.id = w.number << kForwarderShift | 1;
  w.planner->OnRequest(e);
  const std::size_t sent = w.port.sent.size();
  ASSERT_EQ(sent, 1u);
  e.id = second << kForwarderShift | 1;
  w.planner->OnRequest(e);
  ASSERT_EQ(other.answers.size(), 1u);
  EXPECT_EQ(other.answers[0].kind, FinalAnswer::Kind::kDuplicateId);
  EXPECT_TRUE(w.port.answers.empty());
  EXPECT_TRUE(other.sent.empty());
  w.planner->OnAttemptEnded(w.port.sent[0].id, 0, {.status = AttemptStatus::kSucceeded});
  w.planner->OnRequest(e);  // names are new for each: a worker would turn this one away
  EXPECT_EQ(other.answers.size(), 2u);
  EXPECT_TRUE(other.sent.empty());
}

TEST(Planner, EndsTheAttemptAndAnswersAtExpiry) {
  for (const int cls : {0, 1}) {
    PlannerHarness w;
    w.Take(cls, 0.5);
    w.now += 0.5;
    w.deadlines.Sweep(w.now);
    EXPECT_EQ(w.port.cancelled, 1);
    ASSERT_EQ(w.port.answers.size(), 1u);
    EXPECT_EQ(w.port.answers[0].kind,
              cls == 0 ? FinalAnswer::Kind::kRejected : FinalAnswer::Kind::kFailed);
    EXPECT_EQ(w.planner->open_requests(), 0u);
  }
}

TEST(Planner, SendsNothingWhereAllAreToldToDrainOrMissingFromAFullList) {
  PlannerHarness w;
  w.planner->OnEndpointsUpdated(balancing::EndpointListKind::kSnapshot, {});
  w.now += 3;
  w.Take(0);
  EXPECT_TRUE(w.port.sent.empty());
  ASSERT_EQ(w.port.answers.size(), 1u);
  EXPECT_EQ(w.port.answers[0].kind, FinalAnswer::Kind::kRejected);
  EXPECT_LE(w.port.answers[0].retry_after_s, w.config.settings.max_retry_after_s);
}

// Workers replaced under new names, as each deploy does: the planner forgets with the module, and
// keeps the one with a request out and the one out by hand.
TEST(Planner, ForgetsWorkersGoneLongAgoButNotOneInUseOrOutByHand) {
  PlannerHarness w;
  const RequestId id = w.Take(0, 1e6);
  ASSERT_EQ(w.port.sent.size(), 1u);
  const std::string busy = w.port.sent[0].worker;
  std::vector<balancing::Endpoint> list;
  for (const Planner::WorkerSnapshot& k : w.planner->ExportWorkers()) list.push_back(k.member);
  const std::string by_hand = list[0].worker == busy ? list[1].worker : list[0].worker;
  ASSERT_TRUE(w.planner->SetMaintenance(by_hand, true));
  for (int i = 0; i < 2000; ++i) {  // one replaced every 10 s, for 20,000 s
    w.now += 10;
    list.erase(list.begin());
    balancing::Endpoint m;
    m.worker = "127.0.1." + std::to_string(i % 250) + ":" + std::to_string(1000 + i);
    list.push_back(m);
    w.planner->OnEndpointsUpdated(balancing::EndpointListKind::kSnapshot, list);
  }
  const std::vector<Planner::WorkerSnapshot> known = w.planner->ExportWorkers();
  EXPECT_LE(known.size(), 3u + 300 / 10 + 1 + 2);  // listed, gone within 300 s, busy, by hand
  const auto has = [&](const std::string& name) {
    return std::any_of(known.begin(), known.end(),
                       [&](const Planner::WorkerSnapshot& k) { return k.member.worker == name; });
  };
  EXPECT_TRUE(has(busy));
  EXPECT_TRUE(has(by_hand));
  w.planner->OnAttemptEnded(id, 0, {.status = AttemptStatus::kSucceeded});
  w.now += 10;
  list.push_back({.worker = "127.0.2.1:1000"});  // a new one takes the place that the module frees
  w.planner->OnEndpointsUpdated(balancing::EndpointListKind::kSnapshot, list);
  const std::vector<Planner::WorkerSnapshot> after = w.planner->ExportWorkers();
  EXPECT_FALSE(std::any_of(after.begin(), after.end(), [&](const Planner::WorkerSnapshot& k) {
    return k.member.worker == busy;
  }));
}

// Names of ended requests are remembered 4,096 at most: the last 4,096 are refused, the one before
// them may come again.
TEST(Planner, RemembersTheLast4096NamesAndNoMore) {
  PlannerHarness w;
  const auto take = [&](int n) {
    Request e;
    e.id = w.number << kForwarderShift | ++w.last;
    e.wire_id = "r" + std::to_string(n);
    e.expires_at = w.now + 5;
    const std::size_t answers = w.port.answers.size();
    w.planner->OnRequest(e);
    if (w.port.answers.size() > answers &&
        w.port.answers.back().kind == FinalAnswer::Kind::kDuplicateId) {
      return false;  // refused as a name already used
    }
    w.planner->OnAttemptEnded(e.id, 0, {.status = AttemptStatus::kSucceeded});
    w.now += 0.01;
    return true;
  };
  for (int n = 0; n <= 4096; ++n) ASSERT_TRUE(take(n)) << n;
  EXPECT_FALSE(take(1));  // among the last 4,096
  EXPECT_FALSE(take(4096));
  EXPECT_TRUE(take(0));  // the 4,097th from the end: forgotten
}

TEST(Planner, ALostForwardersRequestsAreClosed) {
  PlannerHarness w;
  w.Take(1);
  w.planner->OnForwarderLost(w.number);
  EXPECT_EQ(w.planner->open_requests(), 0u);
}

// A watch that goes on must be asked for within 200 ms, and after a failure the list may not be
// left unasked for longer than allowed, whether or not the module asks.
TEST(Discovery, ChainsItsWatchesAndAsksAgainAfterAFailure) {
  Loop loop;
  ToyWorker server(&loop);
  std::vector<double> asked;
  server.act = [&](const ToyWorker::Got& g) {
    asked.push_back(loop.Now());
    if (asked.size() == 3) return g.from->Close("test");
    const std::string body = R"({"version":)" + std::to_string(4 + asked.size()) + R"(,"full":)" +
                             (asked.size() == 1 ? "true" : "false") +
                             R"(,"servers":[{"id":"w","addr":"127.0.0.1:9"}]})";
    if (asked.size() < 4) {
      g.from->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                    "\r\n\r\n" + body);
    }
  };
  std::vector<balancing::EndpointListKind> known;
  int unavailable = 0;
  Discovery discovery(
      &loop,
      {.address = server.address(), .max_poll_interval_s = 1, .zones = {}, .kinds = {}, .seed = 3},
      {.on_list = [&](balancing::EndpointListKind k, const ServerList&) { known.push_back(k); },
       .on_unavailable = [&] { ++unavailable; }});
  discovery.SetVersion(2);
  discovery.Subscribe(true);
  ASSERT_TRUE(TurnUntil(loop, [&] { return asked.size() == 4; }));
  EXPECT_EQ(server.got[0].head.target, "/catalog/members?after=2&wait_ms=0");
  EXPECT_EQ(server.got[1].head.target, "/catalog/members?after=5&wait_ms=1000");
  EXPECT_EQ(server.got[2].head.target, "/catalog/members?after=6&wait_ms=1000");
  EXPECT_LT(asked[1] - asked[0], 0.2);
  EXPECT_LT(asked[2] - asked[1], 0.2);
  EXPECT_LT(asked[3] - asked[2], 1.0);
  EXPECT_EQ(known, (std::vector{balancing::EndpointListKind::kSnapshot,
                                balancing::EndpointListKind::kIncremental}));
  EXPECT_EQ(unavailable, 1);
}

// A discovery that the test answers for, call by call, and one client of it.
struct Called {
  Loop loop;
  ToyWorker server{&loop};
  std::vector<double> asked;
  std::vector<std::string> targets;
  std::vector<balancing::EndpointListKind> known;
  int unavailable = 0;
  std::function<void(const ToyWorker::Got&, std::size_t nth)> act;
  std::unique_ptr<Discovery> discovery;

  explicit Called(int nodes, double max_poll_interval_s = 10, std::uint64_t seed = 3,
                  double drain_grace_s = 2) {
    LogLevel() = Level::kError;
    server.act = [this](const ToyWorker::Got& g) {
      asked.push_back(loop.Now());
      targets.push_back(g.head.target);
      act(g, asked.size());
    };
    discovery = std::make_unique<Discovery>(
        &loop,
        Discovery::Options{.address = server.address(),
                           .max_poll_interval_s = max_poll_interval_s,
                           .zones = {},
                           .kinds = {},
                           .seed = seed,
                           .drain_grace_s = drain_grace_s,
                           .nodes = nodes},
        Discovery::Hooks{.on_list = [this](balancing::EndpointListKind k,
                                           const ServerList&) { known.push_back(k); },
                         .on_unavailable =
                             [this] {
                               ++unavailable;
                               loop.deadlines().At(loop.Now() + 0.1,
                                                   [this] { discovery->Subscribe(true); });
                             }});
    discovery->SetVersion(2);
  }
  static void Tell(const ToyWorker::Got& g, int version, bool full = false) {
    const std::string body = R"({"version":)" + std::to_string(version) + R"(,"full":)" +
                             (full ? "true" : "false") +
                             R"(,"servers":[{"id":"w","addr":"127.0.0.1:9"}]})";
    g.from->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                  body);
  }
  bool Asked(std::size_t n, double timeout_s = 5) {
    return TurnUntil(
        loop, [&] { return asked.size() >= n; }, timeout_s);
  }
};

// Short watches of many nodes once kept discovery so busy that most of their calls failed.
TEST(Discovery, ManyNodesWatchForLongerAndKeepAwayAfterAFailure) {
  Called d(48, 1);
  d.act = [](const ToyWorker::Got& g, std::size_t nth) {
    if (nth == 1) g.from->Close("test");
    if (nth == 2) Called::Tell(g, 2);  // nothing new
  };
  const double began = d.loop.Now();
  d.discovery->Subscribe(true);
  ASSERT_TRUE(d.Asked(3));
  EXPECT_LT(d.asked[0] - began, 3.0);  // all start at once: not all ask at once
  // The first does not wait, so that it says at once what was missed; then one waits.
  EXPECT_EQ(d.targets[0], "/catalog/members?after=2&wait_ms=0");
  EXPECT_GT(d.asked[1] - d.asked[0], 0.45);  // although the module asks sooner
  EXPECT_EQ(d.targets[1], "/catalog/members?after=2&wait_ms=0");
  EXPECT_LT(d.asked[2] - d.asked[1], 0.2);  // the watch goes on
  const std::string watch = "/catalog/members?after=2&wait_ms=";
  ASSERT_TRUE(d.targets[2].starts_with(watch)) << d.targets[2];
  const int wait_ms = std::stoi(d.targets[2].substr(watch.size()));
  EXPECT_GE(wait_ms, 8000);   // not so short that watches alone keep discovery busy
  EXPECT_LE(wait_ms, 12000);  // nor so long that silence goes unnoticed
  EXPECT_EQ(d.unavailable, 1);
}

// After news the watch goes on at once, in a crowd too: a later call would be a new watch, which
// many nodes' discovery cannot bear for each change.
TEST(Discovery, OfManyNodesEachLetsItsWatchGoOnAfterNews) {
  Called d(300);
  d.act = [&](const ToyWorker::Got& g, std::size_t nth) {
    if (nth <= 3) Called::Tell(g, 2 + static_cast<int>(nth));
  };
  d.discovery->Subscribe(true);
  ASSERT_TRUE(d.Asked(4, 8));
  for (std::size_t call = 1; call < 4; ++call) {
    EXPECT_LT(d.asked[call] - d.asked[call - 1], 0.2) << call;
    const std::string watch = "/catalog/members?after=" + std::to_string(2 + call) + "&wait_ms=";
    ASSERT_TRUE(d.targets[call].starts_with(watch)) << d.targets[call];
    EXPECT_GE(std::stoi(d.targets[call].substr(watch.size())), 8000) << call;
  }
  EXPECT_FALSE(d.discovery->IsOverdue());
}

// What changes within 200 ms of an answer counts as told. Where discovery turns away what follows
// an answer at once, a crowd's next call comes later, and until its answer is here nothing may go
// by a list that is older than the drain grace.
TEST(Discovery, OfManyNodesOneWhoseAnswerIsLateSaysThatItsListIsOverdue) {
  Called d(300);
  ToyWorker::Got last;
  d.act = [&](const ToyWorker::Got& g, std::size_t nth) {
    if (nth == 1) Called::Tell(g, 3);
    if (nth == 2) g.from->Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    if (nth == 3) Called::Tell(g, 4);
    last = g;
  };
  d.discovery->Subscribe(true);
  ASSERT_TRUE(d.Asked(4, 12));  // and this one is not answered yet
  EXPECT_LT(d.asked[1] - d.asked[0], 0.2);
  EXPECT_LT(d.asked[3] - d.asked[2], 1.4);
  EXPECT_GT(d.asked[3] - d.asked[2], 0.2);
  EXPECT_FALSE(d.discovery->IsOverdue());
  ASSERT_TRUE(TurnUntil(
      d.loop, [&] { return d.discovery->IsOverdue(); }, 3));
  EXPECT_LT(d.loop.Now() - d.asked[2], 2.0);
  EXPECT_GT(d.loop.Now() - d.asked[2], 1.7);
  Called::Tell(last, 4);
  ASSERT_TRUE(TurnUntil(d.loop, [&] { return d.known.size() == 3; }));
  EXPECT_FALSE(d.discovery->IsOverdue());
  ASSERT_TRUE(d.Asked(5));  // nothing new: from here on a watch is out
  EXPECT_FALSE(TurnUntil(
      d.loop, [&] { return d.discovery->IsOverdue(); }, 2.2));
}

// The same where the drain grace is shorter than the wait until the next call: a worker that ended
// right after the answer was sent to until that call's answer came. With this seed the wait is 1.59
// s after two calls turned away.
TEST(Discovery, OfManyNodesOneThatCallsLaterThanAShortDrainGraceSaysSoToo) {
  constexpr double kGraceS = 1.5;
  Called d(300, 10, 2197, kGraceS);
  ToyWorker::Got last;
  d.act = [&](const ToyWorker::Got& g, std::size_t nth) {
    if (nth == 1) Called::Tell(g, 3);
    if (nth == 2 || nth == 3) g.from->Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    if (nth == 4) Called::Tell(g, 4);
    last = g;
  };
  d.discovery->Subscribe(true);
  ASSERT_TRUE(d.Asked(4, 12));
  ASSERT_TRUE(TurnUntil(d.loop, [&] { return d.known.size() == 2; }));
  EXPECT_FALSE(d.discovery->IsOverdue());
  EXPECT_TRUE(TurnUntil(
      d.loop, [&] { return d.discovery->IsOverdue() || d.asked.size() == 5; }, 3));
  EXPECT_EQ(d.asked.size(), 4U) << "overdue before the next call";
  EXPECT_LT(d.loop.Now() - d.asked[3], kGraceS);
  ASSERT_TRUE(d.Asked(5));
  EXPECT_GT(d.asked[4] - d.asked[3], kGraceS) << "or the case was not met";
  EXPECT_TRUE(d.discovery->IsOverdue());
  Called::Tell(last, 4);
  ASSERT_TRUE(TurnUntil(d.loop, [&] { return d.known.size() == 3; }));
  EXPECT_FALSE(d.discovery->IsOverdue());
}

// A watch that falls silent is given up soon after its wait, and the next call does not wait.
TEST(Discovery, ASilentWatchIsFollowedByACallAtOnce) {
  for (const int nodes : {3, 7}) {
    Called d(nodes);
    d.act = [](const ToyWorker::Got& g, std::size_t nth) {
      if (nth != 2) Called::Tell(g, 2);
    };
    d.discovery->Subscribe(true);
    ASSERT_TRUE(d.Asked(3, 8)) << nodes;
    EXPECT_LT(d.asked[2] - d.asked[1], 6.0) << nodes;  // when what it missed counts as told
    EXPECT_EQ(d.targets[2], "/catalog/members?after=2&wait_ms=0");
  }
}

// A whole list may have been written before what the watch has told since.
TEST(Discovery, AWholeListOlderThanTheWatchIsAskedForAgain) {
  Called d(1);
  ToyWorker::Got whole{};
  d.act = [&](const ToyWorker::Got& g, std::size_t) {
    if (g.head.target == "/catalog/members") {
      whole.from == nullptr ? void(whole = g) : Called::Tell(g, 7, true);
    } else if (g.head.target.ends_with("wait_ms=0")) {
      Called::Tell(g, 6);
    }
  };
  d.discovery->Fetch();
  ASSERT_TRUE(d.Asked(1));
  d.discovery->Subscribe(true);
  ASSERT_TRUE(TurnUntil(d.loop, [&] { return d.known.size() == 1; }));
  Called::Tell(whole, 5, true);  // crosses the watch's answer
  ASSERT_TRUE(TurnUntil(d.loop, [&] { return d.known.size() == 2; }));
  EXPECT_EQ(d.discovery->version(), 7);
  EXPECT_EQ(std::count(d.targets.begin(), d.targets.end(), "/catalog/members"), 2);
}

// A discovery that does not wait, or whose lists have no version, is not called without end.
TEST(Discovery, OneThatDoesNotWaitIsNotCalledWithoutEnd) {
  Called d(1);
  d.act = [](const ToyWorker::Got& g, std::size_t) { Called::Tell(g, 2); };
  d.discovery->Subscribe(true);
  TurnUntil(
      d.loop, [] { return false; }, 0.5);
  EXPECT_GE(d.asked.size(), 3u);
  EXPECT_LT(d.asked.size(), 9u);
}

// Indented lists are read, cut ones and numbers that fit nowhere do no harm.
TEST(Discovery, ReadsIndentedListsAndOutlivesBadOnes) {
  ServerList list;
  std::string error;
  EXPECT_TRUE(
      ReadServerList("{\n  \"version\": 4,\n  \"full\": true,\n  \"servers\": [\n    {\n \"id\": "
                     "\"s\"\n}\n  ]\n}\n",
                     {}, {}, &list, &error));
  EXPECT_EQ(list.entries.size(), 1u);
  for (const char* bad :
       {"{\"version\":4,\"servers\":[{\"id\":\"s\"", "", "[]", "{\"servers\":{}}"}) {
    EXPECT_FALSE(ReadServerList(bad, {}, {}, &list, &error)) << bad;
  }
  EXPECT_TRUE(
      ReadServerList(R"({"version":1e300,"servers":[{"id":"s","cell":-1e300,"started_ms":1e308}]})",
                     {}, {}, &list, &error));
}

TEST(Config, SaysInOneLineWhatIsWrong) {
  const std::string good = TestConfig({});
  const auto error_of = [](std::string text, const std::string& from, const std::string& to) {
    if (!from.empty()) text.replace(text.find(from), from.size(), to);
    Config config;
    std::string line;
    EXPECT_FALSE(ReadConfig(text, &config, &line)) << to;
    EXPECT_EQ(line.find('\n'), std::string::npos);
    return line;
  };
  EXPECT_NE(error_of("[]", "", "").find("JSON"), std::string::npos);
  EXPECT_NE(error_of(good, R"("name":"t")", R"("name":7)").find("name"), std::string::npos);
  EXPECT_NE(error_of(good, R"("most_tries":4)", R"("most_tries":0)").find("most_tries"),
            std::string::npos);
  EXPECT_NE(error_of(good, R"("by_key")", R"("by_luck")").find("semantics"), std::string::npos);
  EXPECT_NE(
      error_of(good, R"("name":"t")", R"("gearman":{"functions":{"f":{"class":"?"}}})").find('f'),
      std::string::npos);
}

TEST(ServerList, ReadsStatesAndStarts) {
  ServerList list;
  std::string error;
  ASSERT_TRUE(ReadServerList(R"({"version":43,"full":false,"servers":[{"id":"s","addr":"1.2.3.4:5",
      "zone":"b","kind":"m2","cell":3,"state":"terminating","started_ms":1500},{"nameless":1},
      {"id":"t","state":"odd"}]})",
                             {"a", "b"}, {"m1", "m2"}, &list, &error));
  ASSERT_EQ(list.entries.size(), 2u);
  EXPECT_EQ(list.entries[0].member.zone, 1);
  EXPECT_EQ(list.entries[0].member.kind, 1);
  EXPECT_EQ(list.entries[0].member.started_at_s, 1.5);
  EXPECT_EQ(list.entries[1].member.readiness, balancing::Readiness::kDraining);
  EXPECT_FALSE(ReadServerList("{}", {}, {}, &list, &error));
}

}  // namespace
}  // namespace millethollow
