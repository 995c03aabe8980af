// The process replaced under load: nobody is turned away, and what was known goes on.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <random>

#include "support/node_harness.h"

namespace millethollow {
namespace {

struct Folder {
  Folder() { EXPECT_NE(mkdtemp(path), nullptr); }
  ~Folder() { std::filesystem::remove_all(path); }
  char path[32] = "/tmp/handover-XXXXXX";
};

struct Replace : testing::Test {
  Replace() : harness(3, "", folder.path) {}
  // On a connection that stays: the answer to one request.
  std::string Ask(RawClient* client, const std::string& id, const std::string& cls = "look") {
    client->received.clear();
    client->Write(Post(id, cls, cls == "charge" ? "Idempotency-Key: " + id + "\r\n" : ""));
    EXPECT_TRUE(harness.Until([&] {
      return client->received.find("\r\n\r\n") != std::string::npos;
    })) << id;
    return client->received.substr(0, 12);
  }
  void Served(RawClient* client, const std::string& id) {
    EXPECT_EQ(Ask(client, id), "HTTP/1.1 200") << id;
  }
  std::uint64_t Taken(const std::unique_ptr<Node>& node) { return node->counters().received; }
  Folder folder;
  NodeHarness harness;
};

TEST_F(Replace, RestingClientsGoOnAtTheNewProcessAndNewOnesArriveThere) {
  auto resting = harness.Client(), waiting = harness.Client();
  Served(resting.get(), "a");
  std::vector<FakeWorker::ReceivedRequest> held;
  for (auto& w : harness.workers) {
    w->on_request = [&](const FakeWorker::ReceivedRequest& g) {
      if (*g.head.Get("Request-Id") == "b") return held.push_back(g);  // copies too
      FakeWorker::RespondWithResult(g, "ok");
    };
  }
  waiting->Write(Post("b", "look"));
  ASSERT_TRUE(harness.Until([&] { return !held.empty(); }));
  ASSERT_TRUE(harness.StartSuccessor());
  Served(resting.get(), "c");
  auto fresh = harness.Client();
  Served(fresh.get(), "d");
  EXPECT_EQ(Taken(harness.node), 2u);  // counts begin at 0 in each process
  EXPECT_EQ(Taken(harness.successor), 2u);
  harness.node->BeginStop();
  harness.Until([] { return false; }, 0.7);  // past the time at which it would close idle ones
  for (const FakeWorker::ReceivedRequest& g : held) FakeWorker::RespondWithResult(g, "late");
  ASSERT_TRUE(harness.Until([&] { return waiting->received.find("late") != std::string::npos; }));
  EXPECT_EQ(waiting->received.find("Connection: close"), std::string::npos);
  Served(waiting.get(), "e");
  harness.node->Run();  // it has nothing left, and ends
  harness.node.reset();
  Served(resting.get(), "f");
  EXPECT_EQ(Taken(harness.successor), 4u);
  EXPECT_FALSE(resting->ended || waiting->ended || fresh->ended);
}

TEST_F(Replace, BansDrainsAndIdsHoldForBoth) {
  auto client = harness.Client();
  Served(client.get(), "a");
  ASSERT_TRUE(harness.node->SetMaintenance("w0", true));
  ASSERT_TRUE(harness.StartSuccessor());
  EXPECT_EQ(Ask(client.get(), "a"), "HTTP/1.1 409");
  ASSERT_TRUE(harness.node->SetMaintenance("w1", true));  // staff may ask either
  harness.Until([] { return false; }, 0.05);
  const std::size_t before =
      harness.workers[0]->requests.size() + harness.workers[1]->requests.size();
  auto again = harness.Client();
  for (int i = 0; i < 8; ++i) Served(again.get(), "b" + std::to_string(i));
  EXPECT_EQ(harness.workers[0]->requests.size() + harness.workers[1]->requests.size(), before);
  ASSERT_TRUE(harness.successor->SetMaintenance("w0", false));
  harness.Until([] { return false; }, 0.05);
  const std::size_t there = harness.workers[0]->requests.size();
  const double back = harness.host.Now();
  for (int i = 0; harness.workers[0]->requests.size() == there && harness.host.Now() < back + 5;
       ++i) {
    Served(again.get(), "c" + std::to_string(i));
    harness.Until([] { return false; }, 0.02);
  }
  EXPECT_GT(harness.workers[0]->requests.size(), there);
}

TEST_F(Replace, AnOldProcessThatSaysNothingOrIsGoneKeepsNoneFromItsStart) {
  const std::string path =
      std::string(folder.path) + "/millethollow-t-" + harness.config.listen + ".sock";
  std::vector<std::unique_ptr<handover::Link>> taken;
  handover::Server silent(&harness.host, [&](auto link) { taken.push_back(std::move(link)); });
  ASSERT_TRUE(silent.Listen(path));
  const double began = harness.host.Now();
  ASSERT_TRUE(harness.StartSuccessor());
  EXPECT_LT(harness.host.Now() - began, 3);
  harness.successor.reset();
  harness.node.reset();  // leaves its socket's file behind
  ASSERT_TRUE(harness.StartSuccessor());
}

TEST_F(Replace, TheOldProcessGoesOnWhereTheNewOneNeverServesOrDies) {
  auto client = harness.Client();
  Served(client.get(), "a");
  const std::string path =
      std::string(folder.path) + "/millethollow-t-" + harness.config.listen + ".sock";
  auto never = handover::Link::To(&harness.host, path);
  ASSERT_NE(never, nullptr);
  never->Send(link::Writer(link::Kind::kHello).I32(1).Done());
  harness.Until([] { return false; }, 0.05);
  Served(client.get(), "b");
  never.reset();
  harness.Until([] { return false; }, 0.05);
  ASSERT_TRUE(harness.StartSuccessor());
  harness.Until([] { return false; }, 0.05);
  harness.successor.reset();
  harness.Until([] { return false; }, 0.05);
  auto fresh = harness.Client();
  Served(fresh.get(), "c");
  EXPECT_EQ(Taken(harness.node), 3u);
}

// Whatever comes over the link, the process that serves goes on serving.
TEST_F(Replace, GarbageOverTheLinkHarmsNobody) {
  const std::string path =
      std::string(folder.path) + "/millethollow-t-" + harness.config.listen + ".sock";
  std::mt19937 random(11);
  auto client = harness.Client();
  for (int round = 0; round < 40; ++round) {
    auto link = handover::Link::To(&harness.host, path);
    ASSERT_NE(link, nullptr);
    for (int i = 0; i < 8; ++i) {
      std::string bytes(4 + random() % 60, '\0');
      for (char& c : bytes) c = static_cast<char>(random());
      if (bytes.size() > 4)
        bytes[4] = static_cast<char>(64 + random() % 16);  // a kind that is known
      if (bytes.size() > 4 && bytes[4] == static_cast<char>(link::Kind::kServing)) bytes[4] = 0;
      link->Send(bytes);
    }
    harness.Until([] { return false; }, 0.005);
  }
  harness.Until([] { return false; }, 0.05);
  Served(client.get(), "a");
}

TEST_F(Replace, OneAfterAnother) {
  auto client = harness.Client();
  for (int i = 0; i < 4; ++i) {
    Served(client.get(), "a" + std::to_string(i));
    ASSERT_TRUE(harness.StartSuccessor());
    harness.Until([] { return false; }, 0.05);
    harness.node->BeginStop();
    harness.node->Run();
    harness.node = std::move(harness.successor);
  }
  Served(client.get(), "z");
  EXPECT_FALSE(client->ended);
}

}  // namespace
}  // namespace millethollow
