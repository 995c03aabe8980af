// When a node takes and sends requests, depending on the endpoint list that it has. On real
// sockets, with a discovery that the test answers for and workers that record their requests.
#include <gtest/gtest.h>

#include <map>

#include "support/node_harness.h"

namespace millethollow {
namespace {

// One node of a tier of the given size, its workers and its discovery.
struct EndpointListTest : testing::Test {
  void StartNode(int nodes) {
    LogLevel() = Level::kError;
    for (int i = 0; i < 2; ++i) workers.push_back(std::make_unique<ToyWorker>(&host));
    discovery.act = [this](const ToyWorker::Got& request) {
      polls.push_back(request);
      on_poll(request);
    };
    std::string text =
        TestConfig({workers[0]->address(), workers[1]->address()},
                   R"("admin":"127.0.0.1:0","discovery":")" + discovery.address() + R"(",)");
    const std::string one_node = R"("balancers":1)";
    text.replace(text.find(one_node), one_node.size(), R"("balancers":)" + std::to_string(nodes));
    Config config;
    std::string error;
    ASSERT_TRUE(ReadConfig(text, &config, &error)) << error;
    node = std::make_unique<Node>(config);
    ASSERT_TRUE(IsOk(node->Start()));
  }
  template <typename Done>
  bool Until(Done done, double timeout_s = 5) {
    const double deadline = host.Now() + timeout_s;
    while (!done() && host.Now() < deadline) {
      for (Loop* loop : {&host, &node->loop()}) {
        loop->deadlines().At(loop->Now() + 0.001, [] {});
        loop->Turn();
      }
    }
    return done();
  }
  std::string SendRequest(const std::string& bytes, const std::string& address = "") {
    RawClient client(&host, address.empty() ? node->http_address() : address);
    client.Write(bytes);
    Until([&] { return client.in.find("\r\n\r\n") != std::string::npos || client.ended; });
    return client.in.substr(0, 12);
  }
  std::string Health() { return SendRequest("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"); }
  std::string Healthcheck() {
    return SendRequest("GET /healthcheck HTTP/1.1\r\nConnection: close\r\n\r\n",
                       node->admin_address());
  }
  std::string Entry(int worker, const std::string& state) {
    return R"({"id":"w)" + std::to_string(worker) + R"(","addr":")" +
           workers[static_cast<std::size_t>(worker)]->address() +
           R"(","zone":"q","kind":"k","state":")" + state + R"(","started_ms":0})";
  }
  void SendList(const ToyWorker::Got& request, int version, const std::string& entries) {
    const std::string body = R"({"version":)" + std::to_string(version) +
                             R"(,"full":false,"servers":[)" + entries + "]}";
    request.from->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\n\r\n" + body);
  }
  std::size_t Got(std::size_t worker) const { return workers[worker]->got.size(); }

  Loop host;
  std::vector<std::unique_ptr<ToyWorker>> workers;
  ToyWorker discovery{&host};
  std::vector<ToyWorker::Got> polls;
  std::function<void(const ToyWorker::Got&)> on_poll = [](const ToyWorker::Got&) {};
  std::unique_ptr<Node> node;
};

// Guards against a new process sending to servers that terminated long ago, which the list that it
// was configured with may name: it takes no request before it has received its first list.
// This holds too where the settings say that lists are pushed, as here: with discovery over HTTP
// the process has to poll.
TEST_F(EndpointListTest, NewProcessTakesNoRequestsBeforeItsFirstList) {
  for (const int nodes : {2, 30}) {
    if (node) node.reset();
    workers.clear(), polls.clear();
    StartNode(nodes);
    ASSERT_TRUE(Until([&] { return polls.size() == 1; })) << nodes;
    EXPECT_EQ(Health(), "HTTP/1.1 503");
    EXPECT_EQ(Healthcheck(), "HTTP/1.1 503");
    EXPECT_EQ(SendRequest(Post("a1", "look")), "HTTP/1.1 503");
    SendList(polls[0], 2, Entry(0, "terminating"));
    ASSERT_TRUE(Until([&] { return node->counters().endpoint_lists == 1; }));
    EXPECT_EQ(Health(), "HTTP/1.1 200");
    EXPECT_EQ(Healthcheck(), "HTTP/1.1 200");
    for (int i = 0; i < 8; ++i)
      EXPECT_EQ(SendRequest(Post("b" + std::to_string(i), "look")), "HTTP/1.1 200");
    EXPECT_EQ(Got(0), 0u) << "it was terminating before this process started";
    EXPECT_EQ(Got(1), 8u);
  }
}

// Guards against a new process waiting forever for its first list while discovery is down: in a
// small tier it is ready after its first failed poll, in a large one within 10 s.
TEST_F(EndpointListTest, ProcessBecomesReadyWhileDiscoveryIsDown) {
  for (const int nodes : {2, 30}) {
    if (node) node.reset();
    workers.clear(), polls.clear();
    on_poll = [](const ToyWorker::Got& request) {
      request.from->Write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    };
    const double began_at = host.Now();
    StartNode(nodes);
    ASSERT_TRUE(Until([&] { return Health() == "HTTP/1.1 200"; }, 10)) << nodes;
    EXPECT_LT(host.Now() - began_at, nodes == 2 ? 1.0 : 8.0);
    EXPECT_EQ(SendRequest(Post("a1", "look")), "HTTP/1.1 200");
  }
}

// Guards against sending to a terminating server by an outdated list. A change right after an
// answer counts as delivered; in a large tier, where polls are spread out, the next answer may be
// late, so requests are held until it arrives. Here it says that one server is terminating.
TEST_F(EndpointListTest, HoldsRequestsWhileTheListIsOverdue) {
  StartNode(300);
  std::vector<ToyWorker::Got> unanswered;
  on_poll = [&](const ToyWorker::Got& request) {
    if (polls.size() == 1) return SendList(request, 2, Entry(0, "in_service"));
    // The poll that follows immediately is rejected, so that the poll after the next answer is
    // delayed.
    if (polls.size() == 2)
      return request.from->Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    if (polls.size() == 3) return SendList(request, 3, Entry(0, "in_service"));
    unanswered.push_back(request);
  };
  ASSERT_TRUE(Until([&] { return node->counters().endpoint_lists == 2; }, 8));
  const double answered_at = host.Now();
  EXPECT_EQ(SendRequest(Post("a1", "look")), "HTTP/1.1 200");
  const std::size_t total_before = Got(0) + Got(1), first_worker_before = Got(0);
  Until([&] { return host.Now() - answered_at > 1.95; });
  ASSERT_EQ(unanswered.size(), 1u);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(std::make_unique<RawClient>(&host, node->http_address()));
    clients.back()->Write(Post("c" + std::to_string(i), "look"));
  }
  EXPECT_FALSE(Until([&] { return Got(0) + Got(1) > total_before; }, 0.2));
  SendList(unanswered[0], 4, Entry(0, "terminating"));
  ASSERT_TRUE(Until([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& client) { return client->in.ends_with("ok"); });
  }));
  EXPECT_EQ(Got(0), first_worker_before);
}

}  // namespace
}  // namespace millethollow
