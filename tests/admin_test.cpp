// The admin address: its requests, its statistics, and maintenance of workers.
#include <gtest/gtest.h>

#include "support/node_harness.h"

namespace millethollow {
namespace {

const std::string kAdminSetting = R"("admin":"127.0.0.1:0",)";

struct AdminServerTest : testing::Test {
  AdminServerTest() : harness(3, kAdminSetting) {}
  std::string Request(const std::string& method, const std::string& path) {
    RawClient client(&harness.host, harness.node->admin_address());
    client.Write(method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(harness.Until([&] { return client.ended; })) << path;
    return client.received;
  }
  std::string Status(const std::string& method, const std::string& path) {
    return Request(method, path).substr(0, 12);
  }
  bool StatsHas(const std::string& line) {
    return Request("GET", "/stats").find("\n" + line + "\n") != std::string::npos;
  }
  std::string SendJob(const std::string& id, const std::string& cls = "look",
                      const std::string& headers = "") {
    return harness.Exchange(Post(id, cls, headers), "HTTP/1.1 ");
  }
  NodeHarness harness;
};

TEST_F(AdminServerTest, RespondsToEachRequestAndRejectsUnknownPathsAndMethods) {
  EXPECT_EQ(Status("GET", "/healthcheck"), "HTTP/1.1 200");
  EXPECT_EQ(Status("GET", "/stats"), "HTTP/1.1 200");
  EXPECT_EQ(Status("PUT", "/workers/w1/maint"), "HTTP/1.1 200");
  EXPECT_EQ(Status("PUT", "/workers/w1/ready"), "HTTP/1.1 200");
  for (const char* path :
       {"/", "/workers/w9/maint", "/workers//ready", "/workers/w1", "/nothing"}) {
    EXPECT_EQ(Status("PUT", path), "HTTP/1.1 404") << path;
  }
  EXPECT_EQ(Status("POST", "/stats"), "HTTP/1.1 405");
  EXPECT_EQ(Status("GET", "/workers/w1/maint"), "HTTP/1.1 405");
  harness.node->BeginStop();
  EXPECT_EQ(Status("GET", "/healthcheck"), "HTTP/1.1 503");
}

// Guards against connections that never finish a request occupying all the places of the admin
// address, which would lock operators out: more than the limit are open with half a request each.
TEST_F(AdminServerTest, UnfinishedRequestsDoNotLockOthersOut) {
  std::vector<std::unique_ptr<RawClient>> idle;
  for (std::size_t i = 0; i < 2 * admin::AdminServer::kMaxConnections; ++i) {
    idle.push_back(std::make_unique<RawClient>(&harness.host, harness.node->admin_address()));
    idle.back()->Write("GET /st");
  }
  const double sent_at = harness.host.Now();
  EXPECT_EQ(Status("GET", "/healthcheck"), "HTTP/1.1 200");
  EXPECT_LT(harness.host.Now() - sent_at, 1.0);
  const auto ended_count = [&] {
    return std::count_if(idle.begin(), idle.end(),
                         [](const auto& connection) { return connection->ended; });
  };
  EXPECT_TRUE(harness.Until([&] { return ended_count() == std::ssize(idle); }, 4));
}

TEST_F(AdminServerTest, CountsEachOutcomeOnceAndEveryClassFromTheStart) {
  EXPECT_TRUE(StatsHas("app.downstream_requests.charge.rejected:0|c"));
  SendJob("a");
  SendJob("b");
  harness.workers[0]->on_request = harness.workers[1]->on_request =
      harness.workers[2]->on_request = [](const FakeWorker::ReceivedRequest& request) {
        FakeWorker::RespondWithLines(request, {FakeWorker::StateLine(request, "failed")});
      };
  SendJob("c", "charge", "Idempotency-Key: k\r\n");
  EXPECT_TRUE(StatsHas("app.downstream_requests.look.completed:2|c"));
  EXPECT_TRUE(StatsHas("app.downstream_requests.charge.failed:1|c"));
  EXPECT_TRUE(StatsHas("app.upstream_requests:" + std::to_string(harness.RequestCount()) + "|c"));
  EXPECT_TRUE(StatsHas("app.pending:0|g"));
  EXPECT_TRUE(StatsHas("app.members:3|g"));
  for (auto& worker : harness.workers)
    worker->on_request = [](const FakeWorker::ReceivedRequest&) {};
  auto pending_client = harness.Client();
  pending_client->Write(Post("d", "look"));
  EXPECT_TRUE(harness.Until([&] { return StatsHas("app.pending:1|g"); }));
}

TEST_F(AdminServerTest, WorkerInMaintenanceGetsNoRequestsUntilItIsPutBack) {
  for (const char* worker : {"w0", "w1", "w1", "w0"})
    Status("PUT", std::string("/workers/") + worker + "/maint");
  EXPECT_TRUE(StatsHas("app.members_unavailable:2|g"));
  for (int i = 0; i < 6; ++i) SendJob("a" + std::to_string(i));
  EXPECT_EQ(harness.workers[2]->requests.size(), 6u);
  EXPECT_EQ(Status("PUT", "/workers/w1/ready"), "HTTP/1.1 200");
  EXPECT_TRUE(StatsHas("app.members_unavailable:1|g"));
  // It starts cold, but has to get requests within 5 s.
  const double restored_at = harness.host.Now();
  for (int i = 0; harness.workers[1]->requests.empty() && harness.host.Now() < restored_at + 5;
       ++i) {
    SendJob("b" + std::to_string(i));
    harness.Until([] { return false; }, 0.02);
  }
  EXPECT_TRUE(harness.workers[0]->requests.empty());
  EXPECT_FALSE(harness.workers[1]->requests.empty());
}

}  // namespace
}  // namespace millethollow
