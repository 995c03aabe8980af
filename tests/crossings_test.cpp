// Two events that cross, forced: one is in the system already, and the node has not had its turn
// yet, when the other comes. What docs/audit-findings.md lists under 'Crossings' has its test here.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include "support/node_harness.h"

namespace millethollow {
namespace {

struct Crossing : testing::Test {
  // The stand-ins have their turns, the node has none: what they send waits in the system.
  void HostOnly(double s) {
    const double until = harness.host.Now() + s;
    while (harness.host.Now() < until) {
      harness.host.deadlines().At(harness.host.Now() + 0.001, [] {});
      harness.host.Turn();
    }
  }
  // The node's deadlines fall due before it has read anything.
  void SweepOnly() { harness.node->loop().deadlines().Sweep(harness.node->loop().Now()); }
  std::unique_ptr<RawClient> Resting() {
    auto client = harness.Client();
    client->Write(Post("rest" + std::to_string(++rested), "look"));
    EXPECT_TRUE(harness.Until([&] { return client->received.ends_with("ok"); }));
    client->received.clear();
    return client;
  }
  // A connection that takes in little at a time, so that an answer stays with the node's system.
  int Narrow() {
    const sockaddr_in to = *ParseAddress(harness.node->http_address());
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), bytes = 4096;
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    EXPECT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    evutil_make_socket_nonblocking(fd);
    return fd;
  }
  int rested = 0;
  NodeHarness harness{1};
};

TEST_F(Crossing, ARequestThatCameBeforeTheStopClosedItsConnectionIsServed) {
  auto client = Resting();
  harness.node->BeginStop();
  HostOnly(0.52);
  client->Write(Post("a1", "look"));
  HostOnly(0.02);
  SweepOnly();  // the connection rests, for all that the node has read
  ASSERT_TRUE(harness.Until([&] { return client->ended; }));
  EXPECT_TRUE(client->received.starts_with("HTTP/1.1 200")) << client->received;
  EXPECT_NE(client->received.find("Connection: close"), std::string::npos);
}

TEST_F(Crossing, ARequestAfterTheEndOfItsConnectionIsNotSentOn) {
  auto client = Resting();
  const std::size_t before = harness.RequestCount();
  harness.node->BeginStop();
  HostOnly(0.52);
  SweepOnly();                        // our side has ended
  client->Write(Post("a1", "look"));  // and the client has not seen it
  HostOnly(0.02);
  ASSERT_TRUE(client->ended);
  harness.Until([] { return false; }, 0.2);
  EXPECT_EQ(harness.RequestCount(), before);
  EXPECT_EQ(client->received, "");
}

TEST_F(Crossing, AConnectionThatWaitedForItsAcceptWhenTheStopCameIsServed) {
  harness.node->BeginStop();
  HostOnly(0.45);
  auto client = harness.Client();
  client->Write(Post("a1", "look"));
  HostOnly(0.07);
  SweepOnly();  // the listener closes
  ASSERT_TRUE(harness.Until([&] { return client->ended; }));
  EXPECT_TRUE(client->received.starts_with("HTTP/1.1 200")) << client->received;
}

// A request whose end comes late after SIGTERM might be cut off by SIGKILL: refused, and sent
// nowhere.
TEST_F(Crossing, ARequestThatIsWholeOnlyLateAfterTheStopIsRefused) {
  auto client = Resting();
  const std::size_t before = harness.RequestCount();
  const std::string request = Post("a1", "look");
  client->Write(request.substr(0, 30));
  harness.Until([] { return false; }, 0.02);
  harness.node->BeginStop();
  harness.Until([] { return false; }, 0.7);
  client->Write(request.substr(30));
  ASSERT_TRUE(harness.Until([&] { return client->ended; }));
  EXPECT_TRUE(client->received.starts_with("HTTP/1.1 503")) << client->received;
  EXPECT_EQ(harness.RequestCount(), before);
}

// The last answer of a connection on which more has come: a close over bytes unread would reset the
// connection, and what the client has not taken in yet would be gone.
TEST_F(Crossing, ALastAnswerOutlivesTheBytesBehindItsRequest) {
  const std::string large(60000, 'x');
  harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) {
    FakeWorker::RespondWithResult(g, large);
  };
  const int client = Narrow();
  std::string request = Post("a1", "look");
  request.insert(request.find("\r\n\r\n"), "\r\nConnection: close");
  ASSERT_EQ(send(client, request.data(), request.size(), 0), static_cast<ssize_t>(request.size()));
  // The answer is with the node's system as far as it can be when more comes, and the node ends it.
  std::string in;
  const auto take = [&] {
    char some[2048];
    const ssize_t n = recv(client, some, sizeof some, 0);
    if (n > 0) in.append(some, static_cast<std::size_t>(n));
    return n == 0 || (n < 0 && errno != EAGAIN) ? (n == 0 ? 1 : 2) : 0;
  };
  const std::string more = Post("a2", "look");
  int end = 0;
  harness.Until([&] {
    if (harness.node->counters().completed == 1 && in.size() < 40000)
      (void)send(client, more.data(), more.size(), MSG_NOSIGNAL);
    end = take();
    return end != 0;
  });
  EXPECT_EQ(end, 1) << "reset";
  EXPECT_TRUE(in.ends_with(large)) << in.size();
  EXPECT_EQ(harness.RequestCount(), 1u);
  close(client);
}

// Of a client that has sent more than is read ahead, the end stands behind bytes that nobody reads.
TEST_F(Crossing, AClientThatFloodsAndLeavesHasLeft) {
  std::vector<FakeWorker::ReceivedRequest> held;
  harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) { held.push_back(g); };
  auto client = harness.Client();
  client->Write(Post("a1", "look", "", "{}", 60000) + std::string(300000, 'x'));
  ASSERT_TRUE(harness.Until([&] { return harness.RequestCount() == 1 && client->Drained(); }));
  harness.Until([] { return false; }, 0.3);  // it is all with the node's system, or read
  client->Close("test");
  EXPECT_TRUE(harness.Until([&] { return harness.node->counters().cancelled == 1; }, 0.1));
  EXPECT_TRUE(harness.Until([&] { return harness.workers[0]->AllConnectionsEnded(); }, 0.2));
}

// A second 'never begun' for one request, late, must not be taken for the answer to the next, which
// runs.
TEST_F(Crossing, ASecondAnswerIsNotTakenForThatOfTheNextRequest) {
  const std::string away = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
  FakeWorker::ReceivedRequest first{}, second{};
  harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) {
    if (first.from == nullptr) {
      first = g;
      g.from->Write(away);
    } else {
      second = g;
      first.from->Write(away);
    }
  };
  auto one = harness.Client(), two = harness.Client();
  one->Write(Post("a1", "charge", "Idempotency-Key: k1\r\n"));
  ASSERT_TRUE(harness.Until([&] { return one->received.starts_with("HTTP/1.1 503"); }));
  two->Write(Post("a2", "charge", "Idempotency-Key: k2\r\n"));
  ASSERT_TRUE(harness.Until([&] { return second.from != nullptr; }));
  harness.Until([&] { return !two->received.empty(); }, 0.1);
  EXPECT_EQ(two->received, "") << "it runs";
  FakeWorker::RespondWithResult(second, "ok");
  ASSERT_TRUE(harness.Until([&] { return two->received.ends_with("ok"); }));
}

// The worker has closed a resting connection, and no turn has seen it yet: the request goes out on
// another, and nothing bad is said of the worker.
TEST(StaleConnection, CarriesNoRequest) {
  struct Link : PlannerLink {
    void OnRequest(const Request&) override {}
    void OnRequestCancelled(RequestId) override {}
    void OnAttemptStarted(RequestId, int) override {}
    void OnAttemptEnded(RequestId, int, const Outcome& o) override { ended.push_back(o.status); }
    void OnProbeAnswered(const std::string&, const Outcome&) override {}
    void OnWorkerChanged(const balancing::Endpoint&) override {}
    std::vector<AttemptStatus> ended;
  };
  struct Client : ResponseHandler {
    void Answer(const ClientRequest&, const FinalAnswer&, const std::string&) override {}
  };
  for (const bool unasked : {false, true}) {
    LogLevel() = Level::kError;
    Loop host, loop;
    FakeWorker worker(&host);
    Link link;
    Client client;
    Forwarder forwarder(&loop);
    forwarder.SetLink(&link, 1);
    http::WorkerPool pool(&forwarder, {});
    forwarder.AddDriver(&pool);
    pool.SetAddress("w", worker.address());
    const auto ask = [&] {
      ClientRequest held;
      held.request.wire_id = "a" + std::to_string(link.ended.size());
      held.request.expires_at = loop.Now() + 5;
      held.target = "/api";
      const std::size_t then = link.ended.size();
      forwarder.Send(forwarder.Submit(held, &client), 0, "w");
      const double until = loop.Now() + 2;
      while (link.ended.size() == then && loop.Now() < until) {
        for (Loop* l : {&host, &loop}) {
          l->deadlines().At(l->Now() + 0.001, [] {});
          l->Turn();
        }
      }
    };
    ask();
    ASSERT_EQ(worker.requests.size(), 1u);
    unasked ? worker.requests[0].from->Write("HTTP/1.1 200 OK\r\n")
            : worker.requests[0].from->Close("test");
    for (int i = 0; i < 20; ++i) {
      host.deadlines().At(host.Now() + 0.001, [] {});
      host.Turn();
    }
    ask();
    EXPECT_EQ(link.ended, (std::vector{AttemptStatus::kSucceeded, AttemptStatus::kSucceeded}))
        << unasked;
  }
}

// A worker whose system makes connections late: its queue of them is full until the test lets one
// in.
struct LateWorker {
  LateWorker() {
    fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    EXPECT_EQ(bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at), 0);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    listen(fd, 0);
    for (int i = 0; i < 4; ++i) {
      fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
      (void)connect(fillers.back(), reinterpret_cast<sockaddr*>(&at), sizeof at);
    }
  }
  ~LateWorker() {
    for (const int f : fillers) close(f);
    for (const int f : accepted) close(f);
    close(fd);
  }
  // Lets in all that wait. The bytes that have come on any of them.
  std::size_t Bytes() {
    for (int a = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); a >= 0;
         a = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) {
      accepted.push_back(a);
    }
    std::size_t bytes = 0;
    char some[4096];
    for (const int a : accepted)
      bytes += static_cast<std::size_t>(std::max<ssize_t>(0, recv(a, some, sizeof some, MSG_PEEK)));
    return bytes;
  }
  sockaddr_in at{};
  int fd = -1;
  std::vector<int> fillers, accepted;
};

// Clients that leave, one or many at once, while the connection to the worker is being made: it
// comes up later, and nothing goes out on it, whether or not the settings let attempts be called
// off.
TEST(Leaving, NothingBeginsForClientsThatLeftWhileAConnectionWasMade) {
  for (const bool cancel : {true, false}) {
    for (const int clients : {1, 12}) {
      LogLevel() = Level::kError;
      LateWorker worker;
      Loop host;
      std::string text = TestConfig({AddressText(worker.at)}), error;
      const auto put = [&](const std::string& from, const std::string& to) {
        text.replace(text.find(from), from.size(), to);
      };
      put(R"("connect_timeout_s":0.25)", R"("connect_timeout_s":5)");
      if (!cancel) put(R"("cancel":true)", R"("cancel":false)");
      Config config;
      ASSERT_TRUE(ReadConfig(text, &config, &error)) << error;
      Node node(config);
      ASSERT_TRUE(IsOk(node.Start()));
      const auto until = [&](auto done, double timeout_s) {
        const double end = host.Now() + timeout_s;
        while (!done() && host.Now() < end) {
          for (Loop* loop : {&host, &node.loop()}) {
            loop->deadlines().At(loop->Now() + 0.001, [] {});
            loop->Turn();
          }
        }
        return done();
      };
      std::vector<std::unique_ptr<RawClient>> all;
      for (int i = 0; i < clients; ++i) {
        all.push_back(std::make_unique<RawClient>(&host, node.http_address()));
        all.back()->Write(Post("a" + std::to_string(i), "look"));
      }
      const auto count = static_cast<std::uint64_t>(clients);
      ASSERT_TRUE(until([&] { return node.counters().sent == count; }, 2));
      for (auto& client : all) client->Close("test");
      ASSERT_TRUE(until([&] { return node.counters().cancelled == count; }, 0.1));
      EXPECT_EQ(worker.Bytes(), 0u);  // from now on connections come up
      EXPECT_FALSE(until([&] { return worker.Bytes() > 0; }, 1.5))
          << "cancel " << cancel << ", " << clients;
      EXPECT_EQ(node.counters().sent, count);
    }
  }
}

// The client has left and no turn has seen it when its attempt ends: no further one begins.
TEST(Leaving, NoFurtherAttemptBeginsForAClientThatLeftAsOneEnded) {
  const std::string away = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string error = "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& answer : {away, error, std::string()}) {
    for (const bool client_first : {true, false}) {
      NodeHarness harness(3);
      std::vector<FakeWorker::ReceivedRequest> got;
      for (auto& w : harness.workers)
        w->on_request = [&](const FakeWorker::ReceivedRequest& g) { got.push_back(g); };
      auto client = harness.Client();
      client->Write(Post("a1", "look"));
      ASSERT_TRUE(harness.Until([&] { return got.size() == 1; }));
      const auto leave = [&] { client->Close("test"); };
      if (client_first) leave();
      answer.empty() ? got[0].from->Close("test") : got[0].from->Write(answer);
      harness.host.deadlines().At(harness.host.Now() + 0.001, [] {});
      harness.host.Turn();  // the node finds both in the same turn
      if (!client_first) leave();
      harness.Until([&] { return harness.node->counters().cancelled == 1; }, 1);
      const double left = harness.host.Now();
      const std::size_t then = harness.RequestCount();
      harness.Until([&] { return harness.host.Now() - left > 0.5; }, 1);
      EXPECT_EQ(harness.RequestCount(), then) << answer << client_first;
      EXPECT_LE(then, 2u);
    }
  }
}

// Bad answers of workers, one by one: what the client gets, and that the next client is served.
TEST(BadAnswers, EndWithAReasonAndHarmNobodyElse) {
  const auto chunk = [](const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    return size + line + "\r\n";
  };
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto done = [&](const FakeWorker::ReceivedRequest& g) {
    std::string line = FakeWorker::StateLine(g, "done");
    line.insert(line.size() - 1, R"(,"result":"ok")");
    return chunk(line + "\n");
  };
  struct Case {
    const char* name;
    std::function<void(const FakeWorker::ReceivedRequest&)> act;
    const char* status;
  };
  const Case cases[] = {
      {"never ends", [&](const auto& g) { g.from->Write(head + done(g)); }, "200"},
      {"bytes after the answer",
       [&](const auto& g) { g.from->Write(head + done(g) + "0\r\n\r\nmore"); }, "200"},
      {"answered twice",
       [&](const auto& g) {
         g.from->Write(head + done(g) + "0\r\n\r\n" + head + done(g) + "0\r\n\r\n");
       },
       "200"},
      {"half a line and an end",
       [&](const auto& g) {
         g.from->Write(head + chunk(FakeWorker::StateLine(g, "done").substr(0, 20)));
         g.from->EndAfterWriting();
       },
       "503"},
      {"a line of another request",
       [&](const auto& g) {
         g.from->Write(head + chunk("{\"id\":\"zz\",\"state\":\"done\",\"result\":\"no\"}\n"));
       },
       "503"},
      {"a line without end",
       [&](const auto& g) {
         g.from->Write(head + chunk(std::string(60000, 'x')) + chunk(std::string(60000, 'x')) +
                       chunk(std::string(60000, 'x')) + chunk(std::string(60000, 'x')) +
                       chunk(std::string(60000, 'x')));
       },
       "503"},
  };
  for (const Case& c : cases) {
    NodeHarness harness(1);
    harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) {
      harness.RequestCount() == 1 ? c.act(g) : FakeWorker::RespondWithResult(g, "ok");
    };
    const std::string in = harness.Exchange(Post("a1", "look", "", "{}", 1000), "\r\n\r\n");
    EXPECT_TRUE(in.starts_with(std::string("HTTP/1.1 ") + c.status)) << c.name << ": " << in;
    const std::string next = harness.Exchange(Post("a2", "look"), "\r\n\r\n");
    EXPECT_TRUE(next.starts_with("HTTP/1.1 200") || next.starts_with("HTTP/1.1 503"))
        << c.name << ": " << next;
    EXPECT_LE(harness.node->counters().completed + harness.node->counters().rejected +
                  harness.node->counters().failed,
              2u);
  }
}

// One byte at a time, from the client and from the worker, is slow but no fault.
TEST(BadAnswers, OneByteAtATimeIsRead) {
  NodeHarness harness(1);
  std::string answer;
  harness.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) {
    std::string line = FakeWorker::StateLine(g, "done");
    line.insert(line.size() - 1, R"(,"result":"ok")");
    answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(line.size() + 1) + "\r\n\r\n" +
             line + "\n";
    for (std::size_t i = 0; i < answer.size(); ++i) {
      harness.host.deadlines().At(
          harness.host.Now() + 0.002 * static_cast<double>(i),
          [from = g.from, c = answer[i]] { from->Write(std::string(1, c)); });
    }
  };
  auto client = harness.Client();
  const std::string request = Post("a1", "look");
  for (std::size_t i = 0; i < request.size(); ++i) {
    harness.host.deadlines().At(harness.host.Now() + 0.002 * static_cast<double>(i),
                                [&client, c = request[i]] { client->Write(std::string(1, c)); });
  }
  EXPECT_TRUE(harness.Until([&] { return client->received.ends_with("ok"); }));
}

}  // namespace
}  // namespace millethollow
