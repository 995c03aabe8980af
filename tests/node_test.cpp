// The node on loopback, with the stand-ins of support.h: the HTTP path, then both fronts together.
#include <gtest/gtest.h>

#include <cstdio>
#include <random>

#include "net/http/worker_pool.h"
#include "support/node_harness.h"

namespace millethollow {
namespace {

using gearman::Type;

const std::string kGearman =
    R"("gearman":{"listen":"127.0.0.1:0","functions":{
       "look":{"class":"look","tenant":"andes"},"charge":{"class":"charge","tenant":"andes"}}},)";

TEST(HttpFront, ServesWhatTheWorkerMadeAndPassesItOnUnchanged) {
  NodeHarness harness;
  const std::string in =
      harness.Exchange(Post("a1", "charge", "Idempotency-Key: k9\r\n", "{\"n\":1}"), "ok");
  EXPECT_TRUE(in.starts_with("HTTP/1.1 200 OK\r\n")) << in;
  EXPECT_TRUE(in.ends_with("\r\n\r\nok")) << in;
  ASSERT_EQ(harness.RequestCount(), 1u);
  for (const auto& w : harness.workers) {
    for (const auto& g : w->requests) {
      EXPECT_EQ(g.head.target, "/api?x=1");
      EXPECT_EQ(g.body, "{\"n\":1}");
      EXPECT_EQ(*g.head.Get("Request-Id"), "a1");
      EXPECT_EQ(*g.head.Get("Idempotency-Key"), "k9");
      EXPECT_LE(std::stoi(*g.head.Get("Request-Timeout-Ms")), 3000);
    }
  }
}

TEST(HttpFront, BadInputReachesNoWorker) {
  NodeHarness harness;
  const std::string good = Post("a1", "look");
  const auto without = [&](const std::string& line) {
    std::string text = good;
    return text.erase(text.find(line), line.size());
  };
  const std::pair<std::string, std::string> cases[] = {
      {without("Request-Id: a1\r\n"), "400"},
      {without("Request-Class: look\r\n"), "400"},
      {without("Tenant: andes\r\n"), "400"},
      {without("Request-Timeout-Ms: 3000\r\n"), "400"},
      {Post("a1", "nonesuch"), "400"},
      {Post("a1", "look", "Tenant: andes\r\n"), "400"},
      {Post("a1", "look", "Content-Length: 7\r\n"), "400"},
      {Post("a1", "look", "Transfer-Encoding: chunked\r\n"), "400"},
      {Post("a1", "charge"), "400"},
      {Post("a1", "look", "", "{}", 0), "400"},
      {Post("a1", "look", "", std::string(65537, 'x')), "413"},
      {Post("a1", "look", "X: " + std::string(20000, 'x') + "\r\n"), "431"},
      {"POST /apix HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "404"},
      {"GET /api HTTP/1.1\r\n\r\n", "405"},
      {"nonsense\r\n", "400"},
  };
  for (const auto& [bytes, status] : cases) {
    const std::string in = harness.Exchange(bytes, "\r\n\r\n");
    EXPECT_TRUE(in.starts_with("HTTP/1.1 " + status)) << bytes.substr(0, 300) << "\n" << in;
  }
  EXPECT_EQ(harness.RequestCount(), 0u);
  EXPECT_TRUE(
      harness.Exchange("GET /_health HTTP/1.1\r\n\r\n", "serving").starts_with("HTTP/1.1 200"));
}

// A worker's 4xx speaks of the request: no other is asked, and no worker is left out for it.
TEST(HttpFront, BlamesNoWorkerForABadRequest) {
  NodeHarness harness;
  for (auto& w : harness.workers) {
    w->on_request = [](const FakeWorker::ReceivedRequest& g) {
      g.from->Write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
    };
  }
  for (int i = 1; i <= 20; ++i) {
    const std::string in = harness.Exchange(Post("a" + std::to_string(i), "look"), "\r\n\r\n");
    EXPECT_TRUE(in.starts_with("HTTP/1.1 502")) << in;
    EXPECT_EQ(harness.RequestCount(), static_cast<std::size_t>(i));
  }
  for (const auto& w : harness.workers) EXPECT_FALSE(w->requests.empty());
}

// A client that asks again and again and reads nothing is held back, not stored.
TEST(HttpFront, HoldsBackAClientThatReadsNothing) {
  NodeHarness harness(1);
  const std::string large(60000, 'x');
  harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) {
    FakeWorker::RespondWithResult(g, large);
  };
  auto client = harness.Client();
  client->StopReading();
  std::string many;
  for (int i = 0; i < 400; ++i) many += Post("a" + std::to_string(i), "look", "", "{}", 60000);
  client->Write(many);
  std::uint64_t before = 0;
  harness.Until(
      [&] {
        harness.Until([] { return false; }, 0.2);
        return std::exchange(before, harness.node->counters().received) ==
               harness.node->counters().received;
      },
      30);
  EXPECT_GT(before, 0u);
  EXPECT_LT(before, 400u);
}

// A close or an error within 3 s of connecting, on both fronts; but who was served and rests stays.
TEST(BothFronts, CloseOnWhoSendsNothingOrHalfARequest) {
  NodeHarness harness(1, kGearman);
  auto rests = harness.Client(), silent = harness.Client(), half = harness.Client();
  auto mute = harness.Gearman(), part = harness.Gearman(), worker = harness.Gearman();
  rests->Write(Post("a1", "look"));
  half->Write("POST /api HTTP/1.1\r\nRequest-Id: a2\r\n");
  part->Write(std::string("\0RE", 3));
  worker->Send(Type::kCanDo, {"charge"});
  ASSERT_TRUE(
      harness.Until([&] { return silent->ended && half->ended && mute->ended && part->ended; }, 3));
  EXPECT_TRUE(half->received.starts_with("HTTP/1.1 408")) << half->received;
  EXPECT_FALSE(rests->ended || worker->ended);
  rests->received.clear();
  rests->Write(Post("a3", "look"));
  EXPECT_TRUE(harness.Until([&] { return rests->received.ends_with("ok"); }));
}

// Hundreds that connect and say nothing must shut nobody out, nor cost a usual client the
// connection that it rests on.
TEST(HttpFront, SilentConnectionsMakeRoomForThoseThatAsk) {
  NodeHarness harness(1, R"("limits":{"sockets":96},)");
  auto rests = harness.Client();
  for (const char* id : {"a1", "a2"}) {
    rests->received.clear();
    rests->Write(Post(id, "look"));
    ASSERT_TRUE(harness.Until([&] { return rests->received.ends_with("ok"); }));
  }
  std::vector<std::unique_ptr<RawClient>> silent;
  for (int i = 0; i < 60; ++i) silent.push_back(harness.Client());
  const double began = harness.host.Now();
  EXPECT_TRUE(harness.Exchange(Post("a3", "look"), "ok").ends_with("ok"));
  EXPECT_LT(harness.host.Now() - began, 1.0);
  rests->received.clear();
  rests->Write(Post("a4", "look"));
  EXPECT_TRUE(harness.Until([&] { return rests->received.ends_with("ok"); }));
}

TEST(HttpFront, RefusesTheIdOfAnOpenRequestAndReadsNoFurtherFromABadClient) {
  NodeHarness harness(1);
  FakeWorker::ReceivedRequest held;
  harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) { held = g; };
  auto first = harness.Client(), second = harness.Client();
  first->Write(Post("a1", "look"));
  ASSERT_TRUE(harness.Until([&] { return harness.RequestCount() == 1; }));
  second->Write(Post("a1", "look") + Post("a2", "look"));
  ASSERT_TRUE(harness.Until([&] { return second->ended; }));
  EXPECT_TRUE(second->received.starts_with("HTTP/1.1 409")) << second->received;
  EXPECT_EQ(second->received.find("HTTP/1.1", 1), std::string::npos);
  FakeWorker::RespondWithResult(held, "mine");
  EXPECT_TRUE(harness.Until([&] { return first->received.ends_with("mine"); }));
  EXPECT_EQ(harness.RequestCount(), 1u);
}

// 60 MB at full speed: the answer comes at the head, and what follows is not read to its end.
TEST(HttpFront, CutsOffABodyThatIsFarTooLarge) {
  NodeHarness harness(1);
  auto client = harness.Client();
  client->Write("POST /api HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" +
                std::string(8000000, 'x'));
  ASSERT_TRUE(harness.Until([&] { return client->ended; }, 2));
  EXPECT_GT(client->Unsent(), 0u);
}

TEST(HttpFront, EndsTheAttemptWhenTheClientLeaves) {
  NodeHarness harness;
  for (auto& w : harness.workers) w->on_request = [](const FakeWorker::ReceivedRequest&) {};
  auto client = harness.Client();
  client->Write(Post("a1", "charge", "Idempotency-Key: k\r\n"));
  ASSERT_TRUE(harness.Until([&] { return harness.RequestCount() == 1; }));
  client->Close("test");
  EXPECT_TRUE(harness.Until([&] {
    return std::all_of(harness.workers.begin(), harness.workers.end(),
                       [](const auto& w) { return w->AllConnectionsEnded(); });
  }));
  EXPECT_EQ(harness.node->counters().cancelled, 1u);
}

TEST(HttpFront, AnswersAtExpiryAndFailsAChargeThatMayHaveRun) {
  NodeHarness harness;
  for (auto& w : harness.workers) w->on_request = [](const FakeWorker::ReceivedRequest&) {};
  const double began = harness.host.Now();
  const std::string in =
      harness.Exchange(Post("a1", "charge", "Idempotency-Key: k\r\n", "{}", 150), "\r\n\r\n");
  EXPECT_TRUE(in.starts_with("HTTP/1.1 504")) << in;
  EXPECT_LT(harness.host.Now() - began, 1.0);
}

// The load report of Karachi's workers comes in the object that ends an attempt. It was never read
// there: the module learned nothing of free slots on real sockets, all day.
// A stall between a connection and word of it: the deadline of the connection is over, yet the
// whole charge is at the worker. Taken for never sent, it was sent to another group as well.
TEST(Worker, AChargeThatIsOutWhenItsConnectionTimesOutMayHaveRun) {
  for (int round = 0; round < 5; ++round) {
    NodeHarness harness(3);
    harness.node.reset();
    harness.config.connect_timeout_s = 1e-9;
    harness.node = std::make_unique<Node>(harness.config);
    ASSERT_TRUE(IsOk(harness.node->Start()));
    for (const auto& w : harness.workers)
      w->on_request = [](const FakeWorker::ReceivedRequest&) {};  // runs on and on
    const auto client = harness.Client();
    client->Write(Post("c", "charge", "Idempotency-Key: k\r\n", "{}", 200));
    harness.Until([&] { return client->received.find("\r\n\r\n") != std::string::npos; });
    const std::size_t first =
        harness.workers[0]->requests.size() + harness.workers[1]->requests.size();
    EXPECT_TRUE(first == 0 || harness.workers[2]->requests.empty()) << "in two groups";
    EXPECT_EQ(harness.RequestCount() > 0, !client->received.starts_with("HTTP/1.1 503"))
        << client->received;
  }
}

TEST(Worker, TheLoadReportThatEndsAnAttemptReachesThePlanner) {
  struct Planner : PlannerLink {
    std::vector<Outcome> ended;
    void OnRequest(const Request&) override {}
    void OnRequestCancelled(RequestId) override {}
    void OnAttemptStarted(RequestId, int) override {}
    void OnAttemptEnded(RequestId, int, const Outcome& outcome) override {
      ended.push_back(outcome);
    }
    void OnProbeAnswered(const std::string&, const Outcome&) override {}
    void OnWorkerChanged(const balancing::Endpoint&) override {}
  };
  struct Client : ResponseHandler {
    void Answer(const ClientRequest&, const FinalAnswer&, const std::string&) override {}
  };
  struct Case {
    std::string state, load, head;  // the last line's state and load, the answer's Server-Load
    AttemptStatus status;
    bool has_report;
    double x0, rif;
  };
  const Case kCases[] = {
      {"done", R"({"x0":2,"x1":0.5,"rif":3})", "", AttemptStatus::kSucceeded, true, 2, 3},
      {"returned", R"({"x0":0,"rif":9})", "", AttemptStatus::kRejected, true, 0, 9},
      {"done", "", "x0=4,rif=1", AttemptStatus::kSucceeded, true, 4, 1},
      {"done", "", "", AttemptStatus::kSucceeded, false, 0, 0},
      {"failed", R"({"x0":"many"})", "", AttemptStatus::kServerError, false, 0, 0}};
  for (const Case& c : kCases) {
    LogLevel() = Level::kError;
    Loop loop;
    FakeWorker worker(&loop);
    worker.on_request = [&c](const FakeWorker::ReceivedRequest& g) {
      std::string last = FakeWorker::StateLine(g, c.state);
      std::string more = R"(,"result":"r")";
      if (!c.load.empty()) more += R"(,"load":)" + c.load;
      last.insert(last.size() - 1, more);
      std::string out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
      if (!c.head.empty()) out += "Server-Load: " + c.head + "\r\n";
      char size[16];
      std::snprintf(size, sizeof size, "%zx\r\n", last.size() + 1);
      g.from->Write(out + "\r\n" + size + last + "\n\r\n0\r\n\r\n");
    };
    Forwarder forwarder(&loop);
    Planner planner;
    forwarder.SetLink(&planner, 1);
    http::WorkerPool pool(&forwarder, {.columns = {"x0", "x1", "rif"}});
    forwarder.AddDriver(&pool);
    pool.SetAddress("w", worker.address());
    ClientRequest held;
    held.request.wire_id = "a1";
    held.request.expires_at = loop.Now() + 5;
    held.target = "/api";
    Client client;
    const RequestId id = forwarder.Submit(held, &client);
    forwarder.Send(id, 0, "w");
    ASSERT_TRUE(TurnUntil(loop, [&] { return !planner.ended.empty(); })) << c.state;
    const Outcome& o = planner.ended[0];
    EXPECT_EQ(o.status, c.status) << c.state << c.load << c.head;
    EXPECT_EQ(o.has_report, c.has_report) << c.state << c.load << c.head;
    EXPECT_EQ(o.report[0], c.x0) << c.state << c.load << c.head;
    EXPECT_EQ(o.report[2], c.rif) << c.state << c.load << c.head;
  }
}

// A worker's nonsense, another's answer, or a broken line is an error, never an answer.
TEST(HttpFront, ServesNothingThatNoWorkerMadeForIt) {
  for (const std::string line : {R"({"id":"zz","state":"done","result":"x"})", "}{", "[1]"}) {
    NodeHarness harness(1);
    harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) {
      FakeWorker::RespondWithLines(g, {line});
    };
    const std::string in =
        harness.Exchange(Post("a1", "charge", "Idempotency-Key: k\r\n"), "\r\n\r\n");
    EXPECT_TRUE(in.starts_with("HTTP/1.1 502")) << in;
  }
}

// The group of a charge that may have run is one rack: the third worker, in another, never sees it.
TEST(HttpFront, KeepsAChargeThatMayHaveRunInItsGroup) {
  for (int round = 0; round < 12; ++round) {
    NodeHarness harness;
    std::vector<int> order;
    for (int i = 0; i < 3; ++i) {
      harness.workers[static_cast<std::size_t>(i)]->on_request =
          [&order, i](const FakeWorker::ReceivedRequest& g) {
            order.push_back(i);
            g.from->Close("test");
          };
    }
    const std::string id = "a" + std::to_string(round);
    const std::string in =
        harness.Exchange(Post(id, "charge", "Idempotency-Key: k\r\n"), "\r\n\r\n");
    EXPECT_TRUE(in.starts_with("HTTP/1.1 502")) << in;
    ASSERT_FALSE(order.empty());
    for (const int i : order) EXPECT_EQ(i / 2, order[0] / 2);
  }
}

TEST(HttpFront, TurnedAwayEverywhereIsRefusedWithATime) {
  NodeHarness harness;
  for (auto& w : harness.workers) {
    w->on_request = [](const FakeWorker::ReceivedRequest& g) {
      g.from->Write("HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    };
  }
  const std::string in =
      harness.Exchange(Post("a1", "charge", "Idempotency-Key: k\r\n"), "\r\n\r\n");
  EXPECT_TRUE(in.starts_with("HTTP/1.1 503")) << in;
  EXPECT_NE(in.find("Retry-After: "), std::string::npos) << in;
  EXPECT_EQ(harness.RequestCount(), 3u);
}

TEST(HttpFront, StopsOnlyWhenWhatItTookIsAnswered) {
  NodeHarness harness(1);
  FakeWorker::ReceivedRequest held;
  harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) { held = g; };
  auto busy = harness.Client(), idle = harness.Client();
  busy->Write(Post("a1", "look"));
  ASSERT_TRUE(harness.Until([&] { return harness.RequestCount() == 1; }));
  harness.node->BeginStop();
  ASSERT_TRUE(harness.Until([&] { return idle->ended; }));
  EXPECT_FALSE(busy->ended);
  FakeWorker::RespondWithResult(held, "late");
  ASSERT_TRUE(harness.Until([&] { return busy->ended; }));
  EXPECT_NE(busy->received.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(busy->received.ends_with("late"));
}

// That we have no descriptor left for one more connection says nothing of the worker.
TEST(HttpFront, ItsOwnShortageLeavesNoWorkerOut) {
  NodeHarness harness;
  harness.node->loop().budget().max_workers = 1;
  for (auto& w : harness.workers) w->on_request = [](const FakeWorker::ReceivedRequest&) {};
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 4; ++i) {
    clients.push_back(harness.Client());
    clients.back()->Write(Post("a" + std::to_string(i), "look", "", "{}", 300));
  }
  ASSERT_TRUE(harness.Until([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& c) { return !c->received.empty(); });
  }));
  EXPECT_EQ(harness.RequestCount(), 1u);
  harness.node->loop().budget().max_workers = 9;
  // The one that kept its request past its time is left out, and no other: two at once find two.
  for (auto& w : harness.workers) w->requests.clear();
  for (const char* id : {"b1", "b2"}) {
    clients.push_back(harness.Client());
    clients.back()->Write(Post(id, "look"));
  }
  ASSERT_TRUE(harness.Until([&] { return harness.RequestCount() == 2; }));
  const auto asked = [](const auto& w) { return !w->requests.empty(); };
  EXPECT_EQ(std::count_if(harness.workers.begin(), harness.workers.end(), asked), 2);
}

TEST(Gearman, ServesAJobFromSubmitToComplete) {
  NodeHarness harness(0, kGearman);
  auto worker = harness.Gearman(), client = harness.Gearman();
  worker->ServeJobs("look", "done!");
  client->Send(Type::kEchoReq, {"hi"});
  ASSERT_TRUE(harness.Until([&] { return client->ResponsesOf(Type::kEchoRes).size() == 1; }));
  client->Send(Type::kSubmitJobHigh, {"look", "u1", "body"});
  ASSERT_TRUE(harness.Until([&] { return client->ResponsesOf(Type::kWorkComplete).size() == 1; }));
  const std::string handle = client->ResponsesOf(Type::kJobCreated).at(0);
  EXPECT_EQ(client->ResponsesOf(Type::kWorkComplete)[0], handle + '\0' + "done!");
  EXPECT_EQ(worker->ResponsesOf(Type::kJobAssign).at(0), handle + '\0' + "look" + '\0' + "body");
  client->Send(Type::kGetStatus, {handle});
  ASSERT_TRUE(harness.Until([&] { return client->ResponsesOf(Type::kStatusRes).size() == 1; }));
}

TEST(Gearman, TellsFaultsOfPacketsApart) {
  NodeHarness harness(0, kGearman);
  auto peer = harness.Gearman();
  peer->Send(Type::kSubmitJob, {"nonesuch", "", ""});
  peer->Send(Type::kSubmitJob, {"look"});
  peer->Send(Type::kWorkComplete, {"H:x:1", "r"});
  peer->Send(static_cast<Type>(99), {});
  peer->Send(Type::kOptionReq, {"exceptions"});
  ASSERT_TRUE(harness.Until([&] { return peer->ResponsesOf(Type::kOptionRes).size() == 1; }));
  ASSERT_EQ(peer->ResponsesOf(Type::kError).size(), 4u);
  EXPECT_TRUE(peer->ResponsesOf(Type::kError)[0].starts_with("unknown_function"));
  EXPECT_TRUE(peer->ResponsesOf(Type::kError)[1].starts_with("bad_packet"));
  EXPECT_TRUE(peer->ResponsesOf(Type::kError)[2].starts_with("unknown_job"));
  peer->Write("GARBAGE THAT NO GEARMAN KNOWS\n");
  ASSERT_TRUE(
      harness.Until([&] { return peer->messages.back().form == gearman::Message::Form::kLine; }));
  EXPECT_TRUE(peer->messages.back().data.starts_with("ERR unknown_command"));
}

TEST(Gearman, RefusesAtOnceWithTheTimeToComeBack) {
  NodeHarness harness(0, kGearman);  // no worker at all
  auto client = harness.Gearman();
  client->Send(Type::kOptionReq, {"exceptions"});
  client->Send(Type::kSubmitJob, {"charge", "u1", "b"});
  ASSERT_TRUE(harness.Until([&] { return client->ResponsesOf(Type::kWorkFail).size() == 1; }, 1));
  ASSERT_EQ(client->ResponsesOf(Type::kWorkException).size(), 1u);
  EXPECT_NE(client->ResponsesOf(Type::kWorkException)[0].find("retry after"), std::string::npos);
}

// What an attempt sent ahead before it failed must not mix with the answer of the next.
TEST(Gearman, PassesOnTheDataOfTheAttemptThatSucceeded) {
  NodeHarness harness(0, kGearman);
  auto one = harness.Gearman(), two = harness.Gearman(), client = harness.Gearman();
  int assigned = 0;
  for (auto* w : {one.get(), two.get()}) {
    w->ServeJobs("look", "unused");
    w->on_message = [&assigned, w](const gearman::Message& m) {
      if (m.type == Type::kNoop) w->Send(Type::kGrabJob, {});
      if (m.type != Type::kJobAssign) return;
      const std::string handle = m.data.substr(0, m.data.find('\0'));
      const std::string part = ++assigned == 1 ? "lost" : "kept";
      w->Send(Type::kWorkStatus, {handle, "1", "2"});
      w->Send(Type::kWorkData, {handle, part});
      if (part == "lost") return w->Send(Type::kWorkFail, {handle});
      w->Send(Type::kWorkWarning, {handle, "w"});
      w->Send(Type::kWorkComplete, {handle, "end"});
    };
  }
  client->Send(Type::kSubmitJob, {"look", "u", "b"});
  ASSERT_TRUE(harness.Until([&] { return client->ResponsesOf(Type::kWorkComplete).size() == 1; }));
  EXPECT_EQ(assigned, 2);
  ASSERT_EQ(client->ResponsesOf(Type::kWorkData).size(), 1u);
  EXPECT_TRUE(client->ResponsesOf(Type::kWorkData)[0].ends_with("kept"));
  EXPECT_EQ(client->ResponsesOf(Type::kWorkWarning).size(), 1u);
  EXPECT_FALSE(client->ResponsesOf(Type::kWorkStatus).empty());
}

TEST(Gearman, KeepsABackgroundJobWhoseClientLeft) {
  NodeHarness harness(0, kGearman);
  auto worker = harness.Gearman(), client = harness.Gearman(), other = harness.Gearman();
  std::string handle;
  worker->ServeJobs("look", "unused");
  worker->on_message = [&](const gearman::Message& m) {
    if (m.type == Type::kNoop) worker->Send(Type::kGrabJob, {});
    if (m.type == Type::kJobAssign) handle = m.data.substr(0, m.data.find('\0'));
  };
  client->Send(Type::kSubmitJobLowBg, {"look", "u", "b"});
  ASSERT_TRUE(harness.Until([&] { return !handle.empty(); }));
  client->Close("test");
  harness.Until([] { return false; }, 0.05);
  other->Send(Type::kGetStatus, {handle});
  ASSERT_TRUE(harness.Until([&] { return other->ResponsesOf(Type::kStatusRes).size() == 1; }));
  EXPECT_EQ(other->ResponsesOf(Type::kStatusRes)[0].substr(handle.size() + 1, 3),
            std::string("1\0001", 3));
  worker->Send(Type::kWorkComplete, {handle, "r"});
  EXPECT_TRUE(harness.Until([&] { return harness.node->counters().completed == 1; }));
}

// The client of a running charge leaves and comes back: it finds the same charge, made once.
TEST(Gearman, AChargeWhoseClientLeavesMidRunIsMadeOnce) {
  NodeHarness harness(0, kGearman);
  auto one = harness.Gearman(), two = harness.Gearman(), client = harness.Gearman();
  std::string handle;
  for (auto* w : {one.get(), two.get()}) {
    w->ServeJobs("charge", "unused");
    w->on_message = [&handle, w](const gearman::Message& m) {
      if (m.type == Type::kNoop) w->Send(Type::kGrabJobUniq, {});
      if (m.type == Type::kJobAssignUniq) handle = m.data.substr(0, m.data.find('\0'));
    };
  }
  client->Send(Type::kSubmitJob, {"charge", "sub-7", "b"});
  ASSERT_TRUE(harness.Until([&] { return !handle.empty(); }));
  client->Close("test");
  auto again = harness.Gearman();
  harness.Until([] { return false; }, 0.05);  // the node must have seen it go
  again->Send(Type::kSubmitJob, {"charge", "sub-7", "b"});
  ASSERT_TRUE(harness.Until([&] { return again->ResponsesOf(Type::kJobCreated).size() == 1; }));
  for (auto* w : {one.get(), two.get()}) w->Send(Type::kWorkComplete, {handle, "paid"});
  ASSERT_TRUE(harness.Until([&] { return again->ResponsesOf(Type::kWorkComplete).size() == 1; }));
  auto late = harness.Gearman();  // and a repeat after the end still finds it
  late->Send(Type::kSubmitJob, {"charge", "sub-7", "b"});
  ASSERT_TRUE(harness.Until([&] { return late->ResponsesOf(Type::kWorkComplete).size() == 1; }));
  EXPECT_EQ(
      one->ResponsesOf(Type::kJobAssignUniq).size() + two->ResponsesOf(Type::kJobAssignUniq).size(),
      1u);
}

TEST(Gearman, AWorkerThatDiesMidChargeEndsItAndNoOtherGetsIt) {
  NodeHarness harness(0, kGearman);
  auto one = harness.Gearman(), two = harness.Gearman(), client = harness.Gearman();
  for (auto* w : {one.get(), two.get()}) {
    w->ServeJobs("charge", "unused");
    w->on_message = [w](const gearman::Message& m) {
      if (m.type == Type::kNoop) w->Send(Type::kGrabJob, {});
      if (m.type == Type::kJobAssign) w->Close("test");
    };
  }
  client->Send(Type::kOptionReq, {"exceptions"});
  client->Send(Type::kSubmitJob, {"charge", "u", "b"});
  ASSERT_TRUE(harness.Until([&] { return client->ResponsesOf(Type::kWorkFail).size() == 1; }));
  EXPECT_EQ(client->ResponsesOf(Type::kWorkException).at(0).find("retry after"), std::string::npos);
  EXPECT_EQ(one->ResponsesOf(Type::kJobAssign).size() + two->ResponsesOf(Type::kJobAssign).size(),
            1u);
}

// Jobs that wait at a worker that drains were never sent: another takes them, and the one that
// runs is finished where it is.
TEST(Gearman, ADrainingWorkerHandsOnWhatWaits) {
  NodeHarness harness(0, kGearman);
  auto old = harness.Gearman(), client = harness.Gearman(), admin = harness.Gearman();
  std::string running;
  old->on_message = [&](const gearman::Message& m) {
    if (m.type == Type::kNoop) old->Send(Type::kGrabJob, {});
    if (m.type == Type::kJobAssign) running = m.data.substr(0, m.data.find('\0'));
  };
  old->Send(Type::kSetClientId, {"old-roaster"});
  old->Send(Type::kCanDo, {"charge"});
  old->Send(Type::kPreSleep, {});
  ASSERT_TRUE(harness.Until([&] {
    client->Send(Type::kSubmitJob, {"charge", "first", "b"});
    harness.Until([] { return false; }, 0.02);
    return !running.empty();
  }));
  client->Send(Type::kSubmitJob, {"charge", "second", "b"});
  ASSERT_TRUE(harness.Until([&] { return client->ResponsesOf(Type::kJobCreated).size() >= 2; }));
  auto fresh = harness.Gearman();
  fresh->ServeJobs("charge", "fresh");
  harness.Until([] { return false; }, 0.05);
  admin->Write("drain old-roaster\n");
  ASSERT_TRUE(harness.Until([&] { return fresh->ResponsesOf(Type::kJobAssign).size() == 1; }));
  old->Send(Type::kWorkComplete, {running, "old"});
  const auto completed = [&] { return client->ResponsesOf(Type::kWorkComplete).size(); };
  ASSERT_TRUE(harness.Until([&] { return completed() >= 2; }));
  const std::size_t before = old->ResponsesOf(Type::kJobAssign).size();
  client->Send(Type::kSubmitJob, {"charge", "third", "b"});
  ASSERT_TRUE(harness.Until([&] { return completed() >= 3; }));
  EXPECT_EQ(old->ResponsesOf(Type::kJobAssign).size(), before);
}

// Both protocols at once, workers with random fates: whatever happens, the rules hold.
TEST(BothFronts, KeepTheRulesUnderMixedLoad) {
  NodeHarness harness(3, kGearman);
  std::mt19937 random(7);
  std::map<std::string, std::vector<std::size_t>> sent;  // by key or id: cells it may have run in
  std::map<std::string, int> tries;
  for (std::size_t i = 0; i < harness.workers.size(); ++i) {
    harness.workers[i]->on_request = [&, i](const FakeWorker::ReceivedRequest& g) {
      const std::string id = *g.head.Get("Request-Id");
      // A look-up over Gearman has a key as well, and may be made again anywhere.
      const std::string* key =
          *g.head.Get("Request-Class") == "charge" ? g.head.Get("Idempotency-Key") : nullptr;
      ++tries[id];
      switch (random() % 5) {
        case 0:
          return g.from->Write("HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        case 1:
          if (key) sent[*key].push_back(i / 2);
          return FakeWorker::RespondWithLines(g, {FakeWorker::StateLine(g, "failed")});
        case 2:
          if (key) sent[*key].push_back(i / 2);
          return g.from->Close("test");
        default:
          if (key) sent[*key].push_back(i / 2);
          return FakeWorker::RespondWithResult(g, id);
      }
    };
  }
  std::vector<std::unique_ptr<GearmanPeer>> gearman;
  for (int i = 0; i < 2; ++i) {
    gearman.push_back(harness.Gearman());
    gearman.back()->ServeJobs("look", "g");
    gearman.back()->ServeJobs("charge", "g");
  }
  auto submitter = harness.Gearman();
  std::vector<std::unique_ptr<RawClient>> clients;
  constexpr std::size_t kEach = 60;
  for (std::size_t i = 0; i < kEach; ++i) {
    const std::string id = "h" + std::to_string(i);
    clients.push_back(harness.Client());
    clients.back()->Write(i % 2 ? Post(id, "look")
                                : Post(id, "charge", "Idempotency-Key: " + id + "\r\n"));
    submitter->Send(Type::kSubmitJob, {i % 2 ? "look" : "charge", id, "b"});
    harness.Until([] { return false; }, 0.004);
  }
  const auto ends = [&] {
    return submitter->ResponsesOf(Type::kWorkComplete).size() +
           submitter->ResponsesOf(Type::kWorkFail).size();
  };
  const auto answered = [](const auto& c) {
    return c->received.find("\r\n\r\n") != std::string::npos;
  };
  EXPECT_TRUE(harness.Until(
      [&] { return ends() == kEach && std::all_of(clients.begin(), clients.end(), answered); }));
  harness.Until([] { return false; }, 0.05);  // time for a second answer, if there were one
  EXPECT_EQ(submitter->ResponsesOf(Type::kJobCreated).size(), kEach);
  EXPECT_EQ(ends(), kEach);
  for (std::size_t i = 0; i < kEach; ++i) {
    const std::string& in = clients[i]->received;
    EXPECT_EQ(in.find("HTTP/1.1 ", 1), std::string::npos) << in;
    if (in.starts_with("HTTP/1.1 200")) {
      EXPECT_TRUE(in.ends_with("\r\n\r\nh" + std::to_string(i)) || in.ends_with("\r\n\r\ng")) << in;
    } else if (in.starts_with("HTTP/1.1 503")) {  // says that nothing happened
      EXPECT_FALSE(sent.contains("h" + std::to_string(i))) << in;
    }
  }
  for (const auto& [key, cells] : sent) {
    for (const std::size_t cell : cells) EXPECT_EQ(cell, cells[0]) << key;
  }
  for (const auto& [id, n] : tries) EXPECT_LE(n, 4) << id;
  const Counters& c = harness.node->counters();
  EXPECT_EQ(c.received, 2 * kEach);
  EXPECT_EQ(c.completed + c.rejected + c.failed, 2 * kEach);
}

}  // namespace
}  // namespace millethollow
