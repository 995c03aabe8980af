// The second address: its calls, its figures, and workers taken out by hand.
#include <gtest/gtest.h>

#include "support/node_harness.h"

namespace millethollow {
namespace {

const std::string kAdmin = R"("admin":"127.0.0.1:0",)";

struct AdminServerTest : testing::Test {
  AdminServerTest() : harness(3, kAdmin) {}
  std::string Call(const std::string& method, const std::string& path) {
    RawClient caller(&harness.host, harness.node->admin_address());
    caller.Write(method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(harness.Until([&] { return caller.ended; })) << path;
    return caller.in;
  }
  std::string Status(const std::string& method, const std::string& path) {
    return Call(method, path).substr(0, 12);
  }
  bool Has(const std::string& line) {
    return Call("GET", "/stats").find("\n" + line + "\n") != std::string::npos;
  }
  std::string Job(const std::string& id, const std::string& cls = "look",
                  const std::string& more = "") {
    return harness.Ask(Post(id, cls, more), "HTTP/1.1 ");
  }
  NodeHarness harness;
};

TEST_F(AdminServerTest, AnswersEachCallAndSaysNoToWhatItDoesNotKnow) {
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

// Callers that finish no call once could have held every place, and so shut the staff out.
TEST_F(AdminServerTest, CallersThatFinishNothingShutNobodyOut) {
  std::vector<std::unique_ptr<RawClient>> idle;
  for (std::size_t i = 0; i < 2 * admin::AdminServer::kMaxConnections; ++i) {
    idle.push_back(std::make_unique<RawClient>(&harness.host, harness.node->admin_address()));
    idle.back()->Write("GET /st");
  }
  const double before = harness.host.Now();
  EXPECT_EQ(Status("GET", "/healthcheck"), "HTTP/1.1 200");
  EXPECT_LT(harness.host.Now() - before, 1.0);
  const auto ended = [&] {
    return std::count_if(idle.begin(), idle.end(), [](const auto& r) { return r->ended; });
  };
  EXPECT_TRUE(harness.Until([&] { return ended() == std::ssize(idle); }, 4));
}

TEST_F(AdminServerTest, CountsEachEndOnceAndEveryClassFromTheStart) {
  EXPECT_TRUE(Has("app.downstream_requests.charge.rejected:0|c"));
  Job("a");
  Job("b");
  harness.workers[0]->act = harness.workers[1]->act = harness.workers[2]->act =
      [](const ToyWorker::Got& g) { ToyWorker::Lines(g, {ToyWorker::Line(g, "failed")}); };
  Job("c", "charge", "Idempotency-Key: k\r\n");
  EXPECT_TRUE(Has("app.downstream_requests.look.completed:2|c"));
  EXPECT_TRUE(Has("app.downstream_requests.charge.failed:1|c"));
  EXPECT_TRUE(Has("app.upstream_requests:" + std::to_string(harness.Got()) + "|c"));
  EXPECT_TRUE(Has("app.pending:0|g"));
  EXPECT_TRUE(Has("app.members:3|g"));
  for (auto& w : harness.workers) w->act = [](const ToyWorker::Got&) {};
  auto waits = harness.Client();
  waits->Write(Post("d", "look"));
  EXPECT_TRUE(harness.Until([&] { return Has("app.pending:1|g"); }));
}

TEST_F(AdminServerTest, AWorkerOutByHandGetsNothingUntilOneCallBack) {
  for (const char* w : {"w0", "w1", "w1", "w0"})
    Status("PUT", std::string("/workers/") + w + "/maint");
  EXPECT_TRUE(Has("app.members_unavailable:2|g"));
  for (int i = 0; i < 6; ++i) Job("a" + std::to_string(i));
  EXPECT_EQ(harness.workers[2]->got.size(), 6u);
  EXPECT_EQ(Status("PUT", "/workers/w1/ready"), "HTTP/1.1 200");
  EXPECT_TRUE(Has("app.members_unavailable:1|g"));
  const double back = harness.host.Now();  // it is cold, but must be in use again within 5 s
  for (int i = 0; harness.workers[1]->got.empty() && harness.host.Now() < back + 5; ++i) {
    Job("b" + std::to_string(i));
    harness.Until([] { return false; }, 0.02);
  }
  EXPECT_TRUE(harness.workers[0]->got.empty());
  EXPECT_FALSE(harness.workers[1]->got.empty());
}

}  // namespace
}  // namespace millethollow
