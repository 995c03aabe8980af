// What a node may do by the list it has, on real sockets: a discovery that answers when the test
// says so, workers that count what reaches them.
#include <gtest/gtest.h>

#include <map>

#include "support/node_harness.h"

namespace millethollow {
namespace {

// A node of so many, its workers, and the discovery that all of them are on.
struct Listed : testing::Test {
  void Make(int nodes) {
    LogLevel() = Level::kError;
    for (int i = 0; i < 2; ++i) workers.push_back(std::make_unique<FakeWorker>(&host));
    discovery.on_request = [this](const FakeWorker::ReceivedRequest& g) {
      calls.push_back(g);
      on_call(g);
    };
    std::string text =
        TestConfig({workers[0]->address(), workers[1]->address()},
                   R"("admin":"127.0.0.1:0","discovery":")" + discovery.address() + R"(",)");
    const std::string one = R"("balancers":1)";
    text.replace(text.find(one), one.size(), R"("balancers":)" + std::to_string(nodes));
    Config config;
    std::string error;
    ASSERT_TRUE(ReadConfig(text, &config, &error)) << error;
    node = std::make_unique<Node>(config);
    ASSERT_TRUE(IsOk(node->Start()));
  }
  template <typename Done>
  bool Until(Done done, double timeout_s = 5) {
    const double until = host.Now() + timeout_s;
    while (!done() && host.Now() < until) {
      for (Loop* loop : {&host, &node->loop()}) {
        loop->deadlines().At(loop->Now() + 0.001, [] {});
        loop->Turn();
      }
    }
    return done();
  }
  std::string Ask(const std::string& bytes, const std::string& at = "") {
    RawClient client(&host, at.empty() ? node->http_address() : at);
    client.Write(bytes);
    Until([&] { return client.received.find("\r\n\r\n") != std::string::npos || client.ended; });
    return client.received.substr(0, 12);
  }
  std::string Health() { return Ask("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"); }
  std::string Healthcheck() {
    return Ask("GET /healthcheck HTTP/1.1\r\nConnection: close\r\n\r\n", node->admin_address());
  }
  std::string Entry(int w, const std::string& state) {
    return R"({"id":"w)" + std::to_string(w) + R"(","addr":")" +
           workers[static_cast<std::size_t>(w)]->address() +
           R"(","zone":"q","kind":"k","state":")" + state + R"(","started_ms":0})";
  }
  void Tell(const FakeWorker::ReceivedRequest& g, int version, const std::string& entries) {
    const std::string body = R"({"version":)" + std::to_string(version) +
                             R"(,"full":false,"servers":[)" + entries + "]}";
    g.from->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                  body);
  }
  std::size_t Got(std::size_t w) const { return workers[w]->requests.size(); }

  Loop host;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  FakeWorker discovery{&host};
  std::vector<FakeWorker::ReceivedRequest> calls;
  std::function<void(const FakeWorker::ReceivedRequest&)> on_call =
      [](const FakeWorker::ReceivedRequest&) {};
  std::unique_ptr<Node> node;
};

// What a new process last knew may name servers that ended long ago: it takes nothing before its
// first list is here. Also where the settings say that lists are pushed, as these do: over HTTP it
// must call.
TEST_F(Listed, ANewProcessSendsNothingBeforeItsFirstList) {
  for (const int nodes : {2, 30}) {
    if (node) node.reset();
    workers.clear(), calls.clear();
    Make(nodes);
    ASSERT_TRUE(Until([&] { return calls.size() == 1; })) << nodes;
    EXPECT_EQ(Health(), "HTTP/1.1 503");
    EXPECT_EQ(Healthcheck(), "HTTP/1.1 503");
    EXPECT_EQ(Ask(Post("a1", "look")), "HTTP/1.1 503");
    Tell(calls[0], 2, Entry(0, "terminating"));
    ASSERT_TRUE(Until([&] { return node->counters().endpoint_lists == 1; }));
    EXPECT_EQ(Health(), "HTTP/1.1 200");
    EXPECT_EQ(Healthcheck(), "HTTP/1.1 200");
    for (int i = 0; i < 8; ++i)
      EXPECT_EQ(Ask(Post("b" + std::to_string(i), "look")), "HTTP/1.1 200");
    EXPECT_EQ(Got(0), 0u) << "it was to end before this process began";
    EXPECT_EQ(Got(1), 8u);
  }
}

// With discovery down there is no list to be had: a node of few is ready with its first failed
// call, one of many within 10 s.
TEST_F(Listed, AProcessIsReadyThoughDiscoveryIsDown) {
  for (const int nodes : {2, 30}) {
    if (node) node.reset();
    workers.clear(), calls.clear();
    on_call = [](const FakeWorker::ReceivedRequest& g) {
      g.from->Write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    };
    const double began = host.Now();
    Make(nodes);
    ASSERT_TRUE(Until([&] { return Health() == "HTTP/1.1 200"; }, 10)) << nodes;
    EXPECT_LT(host.Now() - began, nodes == 2 ? 1.0 : 8.0);
    EXPECT_EQ(Ask(Post("a1", "look")), "HTTP/1.1 200");
  }
}

// A change that came right after an answer counts as told. Where many call, and the next answer is
// late, sends wait for it: here it ends the server that nothing may reach any more.
TEST_F(Listed, NothingGoesByAListThatIsOverdue) {
  Make(300);
  std::vector<FakeWorker::ReceivedRequest> held;
  on_call = [&](const FakeWorker::ReceivedRequest& g) {
    if (calls.size() == 1) return Tell(g, 2, Entry(0, "in_service"));
    // What follows at once is turned away, so that the call after the next answer comes later.
    if (calls.size() == 2) return g.from->Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    if (calls.size() == 3) return Tell(g, 3, Entry(0, "in_service"));
    held.push_back(g);
  };
  ASSERT_TRUE(Until([&] { return node->counters().endpoint_lists == 2; }, 8));
  const double answered = host.Now();
  EXPECT_EQ(Ask(Post("a1", "look")), "HTTP/1.1 200");
  const std::size_t before = Got(0) + Got(1), before0 = Got(0);
  Until([&] { return host.Now() - answered > 1.95; });
  ASSERT_EQ(held.size(), 1u);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(std::make_unique<RawClient>(&host, node->http_address()));
    clients.back()->Write(Post("c" + std::to_string(i), "look"));
  }
  EXPECT_FALSE(Until([&] { return Got(0) + Got(1) > before; }, 0.2));
  Tell(held[0], 4, Entry(0, "terminating"));
  ASSERT_TRUE(Until([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& c) { return c->received.ends_with("ok"); });
  }));
  EXPECT_EQ(Got(0), before0);
}

}  // namespace
}  // namespace millethollow
