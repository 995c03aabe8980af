// Tests of what a node may do with its endpoint list, on real sockets: the test controls when the
// discovery server responds, and counts the requests that reach each worker.
#include <gtest/gtest.h>

#include <map>

#include "support/node_harness.h"

namespace millethollow {
namespace {

// One node of a number of nodes, its workers, and the discovery server that lists them.
struct NodeEndpointList : testing::Test {
  void StartNode(int nodes) {
    LogLevel() = Level::kError;
    for (int i = 0; i < 2; ++i) workers.push_back(std::make_unique<FakeWorker>(&host));
    discovery.on_request = [this](const FakeWorker::ReceivedRequest& call) {
      discovery_calls.push_back(call);
      on_discovery_call(call);
    };
    std::string text =
        TestConfig({workers[0]->address(), workers[1]->address()},
                   R"("admin":"127.0.0.1:0","discovery":")" + discovery.address() + R"(",)");
    const std::string single_node = R"("balancers":1)";
    text.replace(text.find(single_node), single_node.size(),
                 R"("balancers":)" + std::to_string(nodes));
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
  std::string SendAndReadStatus(const std::string& bytes, const std::string& address = "") {
    RawClient client(&host, address.empty() ? node->http_address() : address);
    client.Write(bytes);
    Until([&] { return client.received.find("\r\n\r\n") != std::string::npos || client.ended; });
    return client.received.substr(0, 12);
  }
  std::string Health() {
    return SendAndReadStatus("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n");
  }
  std::string Healthcheck() {
    return SendAndReadStatus("GET /healthcheck HTTP/1.1\r\nConnection: close\r\n\r\n",
                             node->admin_address());
  }
  std::string Entry(int worker, const std::string& state) {
    return R"({"id":"w)" + std::to_string(worker) + R"(","addr":")" +
           workers[static_cast<std::size_t>(worker)]->address() +
           R"(","zone":"q","kind":"k","state":")" + state + R"(","started_ms":0})";
  }
  void RespondWithList(const FakeWorker::ReceivedRequest& call, int version,
                       const std::string& entries) {
    const std::string body = R"({"version":)" + std::to_string(version) +
                             R"(,"full":false,"servers":[)" + entries + "]}";
    call.from->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
  }
  std::size_t RequestsAt(std::size_t worker) const { return workers[worker]->requests.size(); }

  Loop host;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  FakeWorker discovery{&host};
  std::vector<FakeWorker::ReceivedRequest> discovery_calls;
  std::function<void(const FakeWorker::ReceivedRequest&)> on_discovery_call =
      [](const FakeWorker::ReceivedRequest&) {};
  std::unique_ptr<Node> node;
};

// The last known list of a new process may contain workers that ended long ago, so it accepts no
// requests before it has received a list. This holds too if the settings say that lists are pushed,
// as they do here, since over HTTP they are polled.
TEST_F(NodeEndpointList, ANewProcessSendsNothingBeforeItsFirstList) {
  for (const int nodes : {2, 30}) {
    if (node) node.reset();
    workers.clear(), discovery_calls.clear();
    StartNode(nodes);
    ASSERT_TRUE(Until([&] { return discovery_calls.size() == 1; })) << nodes;
    EXPECT_EQ(Health(), "HTTP/1.1 503");
    EXPECT_EQ(Healthcheck(), "HTTP/1.1 503");
    EXPECT_EQ(SendAndReadStatus(Post("a1", "look")), "HTTP/1.1 503");
    RespondWithList(discovery_calls[0], 2, Entry(0, "terminating"));
    ASSERT_TRUE(Until([&] { return node->counters().endpoint_lists == 1; }));
    EXPECT_EQ(Health(), "HTTP/1.1 200");
    EXPECT_EQ(Healthcheck(), "HTTP/1.1 200");
    for (int i = 0; i < 8; ++i)
      EXPECT_EQ(SendAndReadStatus(Post("b" + std::to_string(i), "look")), "HTTP/1.1 200");
    EXPECT_EQ(RequestsAt(0), 0u) << "it was draining before this process started";
    EXPECT_EQ(RequestsAt(1), 8u);
  }
}

// If discovery is down, a node becomes ready after its first failed call, or, with many nodes,
// within 10 s.
TEST_F(NodeEndpointList, AProcessBecomesReadyWithoutDiscovery) {
  for (const int nodes : {2, 30}) {
    if (node) node.reset();
    workers.clear(), discovery_calls.clear();
    on_discovery_call = [](const FakeWorker::ReceivedRequest& call) {
      call.from->Write("HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n");
    };
    const double started_at = host.Now();
    StartNode(nodes);
    ASSERT_TRUE(Until([&] { return Health() == "HTTP/1.1 200"; }, 10)) << nodes;
    EXPECT_LT(host.Now() - started_at, nodes == 2 ? 1.0 : 8.0);
    EXPECT_EQ(SendAndReadStatus(Post("a1", "look")), "HTTP/1.1 200");
  }
}

// A change right after a response counts as known to the node. With many nodes, if the next
// response is late, attempts wait for it, since it may report that a worker is draining, as it does
// here.
TEST_F(NodeEndpointList, NothingIsSentWhileTheListIsOverdue) {
  StartNode(300);
  std::vector<FakeWorker::ReceivedRequest> held_calls;
  on_discovery_call = [&](const FakeWorker::ReceivedRequest& call) {
    if (discovery_calls.size() == 1) return RespondWithList(call, 2, Entry(0, "in_service"));
    // The call that follows at once is rejected, so that the call after the next response comes
    // later.
    if (discovery_calls.size() == 2)
      return call.from->Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    if (discovery_calls.size() == 3) return RespondWithList(call, 3, Entry(0, "in_service"));
    held_calls.push_back(call);
  };
  ASSERT_TRUE(Until([&] { return node->counters().endpoint_lists == 2; }, 8));
  const double list_received_at = host.Now();
  EXPECT_EQ(SendAndReadStatus(Post("a1", "look")), "HTTP/1.1 200");
  const std::size_t requests_before = RequestsAt(0) + RequestsAt(1),
                    draining_worker_requests_before = RequestsAt(0);
  Until([&] { return host.Now() - list_received_at > 1.95; });
  ASSERT_EQ(held_calls.size(), 1u);
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 6; ++i) {
    clients.push_back(std::make_unique<RawClient>(&host, node->http_address()));
    clients.back()->Write(Post("c" + std::to_string(i), "look"));
  }
  EXPECT_FALSE(Until([&] { return RequestsAt(0) + RequestsAt(1) > requests_before; }, 0.2));
  RespondWithList(held_calls[0], 4, Entry(0, "terminating"));
  ASSERT_TRUE(Until([&] {
    return std::all_of(clients.begin(), clients.end(),
                       [](const auto& client) { return client->received.ends_with("ok"); });
  }));
  EXPECT_EQ(RequestsAt(0), draining_worker_requests_before);
}

}  // namespace
}  // namespace millethollow
