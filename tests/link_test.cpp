// The connection between planner and forwarder: its frames, and both processes joined by it.
#include <gtest/gtest.h>
#include <unistd.h>

#include <random>

#include "net/link/frame.h"
#include "support/node_harness.h"

namespace millethollow {
namespace {

using link::FrameDecoder;
using link::FrameKind;
using link::Reader;
using link::Writer;

TEST(LinkFrames, AreDecodedHoweverTheStreamIsSplit) {
  std::mt19937 random(20261201);
  Outcome outcome{.status = AttemptStatus::kRejected, .latency_s = 0.5, .has_report = true};
  outcome.report[3] = 7;
  const balancing::Endpoint member{.worker = "w",
                                   .readiness = balancing::Readiness::kDraining,
                                   .zone = 1,
                                   .kind = 2,
                                   .cell = -3,
                                   .capacity_hint = 0.5,
                                   .started_at_s = 9};
  const std::string stream =
      Writer(FrameKind::kAttemptEnded).U64(1ull << 60).I32(-4).Put(outcome).Finish() +
      Writer(FrameKind::kWorkerChanged).Put(member).Text(std::string(300, 'x')).Finish();
  for (int round = 0; round < 200; ++round) {
    FrameDecoder decoder;
    std::vector<std::string> frames;
    for (std::size_t at = 0; at < stream.size();) {
      const std::string_view part = std::string_view(stream).substr(at, 1 + random() % 30);
      decoder.Feed(part);
      at += part.size();
      while (const auto frame = decoder.Next()) frames.push_back(*frame);
    }
    ASSERT_EQ(frames.size(), 2u);
    Reader ended(frames[0]), worker(frames[1]);
    EXPECT_EQ(ended.kind(), FrameKind::kAttemptEnded);
    EXPECT_EQ(ended.U64(), 1ull << 60);
    EXPECT_EQ(ended.I32(), -4);
    EXPECT_EQ(ended.GetOutcome().report[3], 7);
    EXPECT_TRUE(ended.Complete());
    const balancing::Endpoint decoded = worker.GetEndpoint();
    EXPECT_EQ(decoded.cell, -3);
    EXPECT_EQ(decoded.readiness, balancing::Readiness::kDraining);
    EXPECT_FALSE(worker.Complete());
    EXPECT_EQ(worker.Text().size(), 300u);
    EXPECT_TRUE(worker.Complete());
    EXPECT_EQ(worker.U64(), 0u);
    EXPECT_FALSE(worker.ok());
  }
}

TEST(LinkFrames, DecodingSurvivesCorruptBytes) {
  std::mt19937 random(20261201);
  for (int round = 0; round < 2000; ++round) {
    std::string text = Writer(FrameKind::kRequestReceived).U64(1).Text("abc").F64(2).Finish();
    for (int corrupted_bytes = 1 + static_cast<int>(random() % 4); corrupted_bytes > 0;
         --corrupted_bytes) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    FrameDecoder decoder;
    decoder.Feed(text);
    while (const auto frame = decoder.Next()) {
      Reader reader(*frame);
      reader.GetEndpoint();
      reader.GetOutcome();
    }
  }
}

// A planner, a forwarder, and one worker, each on a loop of its own.
struct Levels {
  explicit Levels(const std::string& extra = "") : worker(&host) {
    LogLevel() = Level::kError;
    char folder[] = "/tmp/millethollow-test-XXXXXX";
    path = mkdtemp(folder);
    std::string error;
    EXPECT_TRUE(
        ReadConfig(TestConfig({worker.address()}, R"("levels":{"link":")" + path + "\"}," + extra),
                   &config, &error))
        << error;
    StartPlanner();
    StartForwarder();
    client = std::make_unique<RawClient>(&host, forwarder->http_address());
  }
  ~Levels() {
    unlink(PlannerSocketPath(config, 0).c_str());
    rmdir(path.c_str());
  }
  void StartPlanner() {
    planner = std::make_unique<Node>(config, Role{Role::Kind::kPlanner, 0});
    EXPECT_TRUE(IsOk(planner->Start()));
  }
  void StartForwarder() {
    forwarder = std::make_unique<Node>(config, Role{Role::Kind::kForwarder, 0});
    EXPECT_TRUE(IsOk(forwarder->Start()));
  }
  template <typename Done>
  bool Until(Done done, double timeout_s = 5) {
    const double until = host.Now() + timeout_s;
    while (!done() && host.Now() < until) {
      for (Loop* loop : {&host, &forwarder->loop(), planner ? &planner->loop() : &host}) {
        loop->deadlines().At(loop->Now() + 0.001, [] {});
        loop->Turn();
      }
    }
    return done();
  }
  // Sends one request and returns the response, head and body.
  std::string SendRequest(const std::string& bytes) {
    client->received.clear();
    client->Write(bytes);
    Until([&] { return client->received.find("\r\n\r\n") != std::string::npos; });
    return client->received;
  }
  bool Serving() {
    return Until(
        [&] { return SendRequest("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 200"); });
  }
  Loop host;
  FakeWorker worker;
  std::string path;
  Config config;
  std::unique_ptr<Node> planner, forwarder;
  std::unique_ptr<RawClient> client;
};

TEST(TwoLevels, ServeARequestAcrossTheLink) {
  Levels levels;
  ASSERT_TRUE(levels.Serving());
  EXPECT_TRUE(levels.SendRequest(Post("a1", "look")).ends_with("\r\n\r\nok"));
  EXPECT_EQ(levels.planner->counters().completed, 1u);
}

TEST(TwoLevels, LosingThePlannerFailsRequestsThatMayHaveRunAndRejectsNewOnes) {
  Levels levels;
  ASSERT_TRUE(levels.Serving());
  levels.worker.on_request = [](const FakeWorker::ReceivedRequest&) {};
  levels.client->received.clear();
  levels.client->Write(Post("a1", "look"));
  ASSERT_TRUE(levels.Until([&] { return levels.worker.requests.size() == 1; }));
  levels.planner.reset();
  ASSERT_TRUE(levels.Until([&] { return !levels.client->received.empty(); }));
  EXPECT_TRUE(levels.client->received.starts_with("HTTP/1.1 502")) << levels.client->received;
  EXPECT_TRUE(levels.SendRequest("GET /_health HTTP/1.1\r\n\r\n").starts_with("HTTP/1.1 503"));
  const std::string response = levels.SendRequest(Post("a2", "look"));
  EXPECT_TRUE(response.starts_with("HTTP/1.1 503")) << response;
  EXPECT_NE(response.find("Retry-After"), std::string::npos);
  // The forwarder reconnects to a planner that restarts.
  levels.StartPlanner();
  levels.worker.on_request = [](const FakeWorker::ReceivedRequest& attempt) {
    FakeWorker::RespondWithResult(attempt, "ok");
  };
  ASSERT_TRUE(levels.Serving());
  EXPECT_TRUE(levels.SendRequest(Post("a3", "look")).ends_with("\r\n\r\nok"));
}

// Guards against jobs that a restarted forwarder names like those from before: the planner, which
// ran on, refused their ids, and they were answered WORK_FAIL without being sent.
TEST(TwoLevels, GearmanJobsAreServedAfterTheForwarderRestarts) {
  Levels levels(kGearmanConfig);
  const auto submit_one = [&] {
    ASSERT_TRUE(levels.Serving());
    GearmanPeer submitter(&levels.host, levels.forwarder->gearman_address());
    submitter.Send(gearman::Type::kSubmitJob, {"charge", "", "order"});
    EXPECT_TRUE(levels.Until([&] {
      return submitter.ResponsesOf(gearman::Type::kWorkComplete).size() == 1;
    })) << submitter.ResponsesOf(gearman::Type::kWorkFail).size();
  };
  submit_one();
  levels.forwarder.reset();
  levels.StartForwarder();
  levels.client = std::make_unique<RawClient>(&levels.host, levels.forwarder->http_address());
  submit_one();
  EXPECT_EQ(levels.worker.requests.size(), 2u);
}

}  // namespace
}  // namespace millethollow
