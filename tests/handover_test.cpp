// The process replaced under load: nobody is turned away, and what was known goes on.
#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <random>

#include "support/rig.h"

namespace millethollow {
namespace {

struct Folder {
  Folder() { EXPECT_NE(mkdtemp(path), nullptr); }
  ~Folder() { std::filesystem::remove_all(path); }
  char path[32] = "/tmp/handover-XXXXXX";
};

struct Replace : testing::Test {
  Replace() : rig(3, "", folder.path) {}
  // On a connection that stays: the answer to one request.
  std::string Ask(Raw* client, const std::string& id, const std::string& cls = "look") {
    client->in.clear();
    client->Write(Post(id, cls, cls == "charge" ? "Idempotency-Key: " + id + "\r\n" : ""));
    EXPECT_TRUE(rig.Until([&] { return client->in.find("\r\n\r\n") != std::string::npos; })) << id;
    return client->in.substr(0, 12);
  }
  void Served(Raw* client, const std::string& id) {
    EXPECT_EQ(Ask(client, id), "HTTP/1.1 200") << id;
  }
  std::uint64_t Taken(const std::unique_ptr<Node>& node) { return node->counters().received; }
  Folder folder;
  Rig rig;
};

TEST_F(Replace, RestingClientsGoOnAtTheNewProcessAndNewOnesArriveThere) {
  auto resting = rig.Client(), waiting = rig.Client();
  Served(resting.get(), "a");
  std::vector<ToyWorker::Got> held;
  for (auto& w : rig.workers) {
    w->act = [&](const ToyWorker::Got& g) {
      if (*g.head.Get("Request-Id") == "b") return held.push_back(g);  // copies too
      ToyWorker::Done(g, "ok");
    };
  }
  waiting->Write(Post("b", "look"));
  ASSERT_TRUE(rig.Until([&] { return !held.empty(); }));
  ASSERT_TRUE(rig.StartNext());
  Served(resting.get(), "c");
  auto fresh = rig.Client();
  Served(fresh.get(), "d");
  EXPECT_EQ(Taken(rig.node), 2u);  // counts begin at 0 in each process
  EXPECT_EQ(Taken(rig.next), 2u);
  rig.node->BeginStop();
  rig.Until([] { return false; }, 0.7);  // past the time at which it would close idle ones
  for (const ToyWorker::Got& g : held) ToyWorker::Done(g, "late");
  ASSERT_TRUE(rig.Until([&] { return waiting->in.find("late") != std::string::npos; }));
  EXPECT_EQ(waiting->in.find("Connection: close"), std::string::npos);
  Served(waiting.get(), "e");
  rig.node->Run();  // it has nothing left, and ends
  rig.node.reset();
  Served(resting.get(), "f");
  EXPECT_EQ(Taken(rig.next), 4u);
  EXPECT_FALSE(resting->ended || waiting->ended || fresh->ended);
}

TEST_F(Replace, BansDrainsAndIdsHoldForBoth) {
  auto client = rig.Client();
  Served(client.get(), "a");
  ASSERT_TRUE(rig.node->SetMaintenance("w0", true));
  ASSERT_TRUE(rig.StartNext());
  EXPECT_EQ(Ask(client.get(), "a"), "HTTP/1.1 409");
  ASSERT_TRUE(rig.node->SetMaintenance("w1", true));  // staff may ask either
  rig.Until([] { return false; }, 0.05);
  const std::size_t before = rig.workers[0]->got.size() + rig.workers[1]->got.size();
  auto again = rig.Client();
  for (int i = 0; i < 8; ++i) Served(again.get(), "b" + std::to_string(i));
  EXPECT_EQ(rig.workers[0]->got.size() + rig.workers[1]->got.size(), before);
  ASSERT_TRUE(rig.next->SetMaintenance("w0", false));
  rig.Until([] { return false; }, 0.05);
  const std::size_t there = rig.workers[0]->got.size();
  const double back = rig.host.Now();
  for (int i = 0; rig.workers[0]->got.size() == there && rig.host.Now() < back + 5; ++i) {
    Served(again.get(), "c" + std::to_string(i));
    rig.Until([] { return false; }, 0.02);
  }
  EXPECT_GT(rig.workers[0]->got.size(), there);
}

TEST_F(Replace, AnOldProcessThatSaysNothingOrIsGoneKeepsNoneFromItsStart) {
  const std::string path =
      std::string(folder.path) + "/millethollow-t-" + rig.config.listen + ".sock";
  std::vector<std::unique_ptr<handover::Link>> taken;
  handover::Server silent(&rig.host, [&](auto link) { taken.push_back(std::move(link)); });
  ASSERT_TRUE(silent.Listen(path));
  const double began = rig.host.Now();
  ASSERT_TRUE(rig.StartNext());
  EXPECT_LT(rig.host.Now() - began, 3);
  rig.next.reset();
  rig.node.reset();  // leaves its socket's file behind
  ASSERT_TRUE(rig.StartNext());
}

TEST_F(Replace, TheOldProcessGoesOnWhereTheNewOneNeverServesOrDies) {
  auto client = rig.Client();
  Served(client.get(), "a");
  const std::string path =
      std::string(folder.path) + "/millethollow-t-" + rig.config.listen + ".sock";
  auto never = handover::Link::To(&rig.host, path);
  ASSERT_NE(never, nullptr);
  never->Send(link::Writer(link::Kind::kHello).I32(1).Done());
  rig.Until([] { return false; }, 0.05);
  Served(client.get(), "b");
  never.reset();
  rig.Until([] { return false; }, 0.05);
  ASSERT_TRUE(rig.StartNext());
  rig.Until([] { return false; }, 0.05);
  rig.next.reset();
  rig.Until([] { return false; }, 0.05);
  auto fresh = rig.Client();
  Served(fresh.get(), "c");
  EXPECT_EQ(Taken(rig.node), 3u);
}

// Whatever comes over the link, the process that serves goes on serving.
TEST_F(Replace, GarbageOverTheLinkHarmsNobody) {
  const std::string path =
      std::string(folder.path) + "/millethollow-t-" + rig.config.listen + ".sock";
  std::mt19937 random(11);
  auto client = rig.Client();
  for (int round = 0; round < 40; ++round) {
    auto link = handover::Link::To(&rig.host, path);
    ASSERT_NE(link, nullptr);
    for (int i = 0; i < 8; ++i) {
      std::string bytes(4 + random() % 60, '\0');
      for (char& c : bytes) c = static_cast<char>(random());
      if (bytes.size() > 4)
        bytes[4] = static_cast<char>(64 + random() % 16);  // a kind that is known
      if (bytes.size() > 4 && bytes[4] == static_cast<char>(link::Kind::kServing)) bytes[4] = 0;
      link->Send(bytes);
    }
    rig.Until([] { return false; }, 0.005);
  }
  rig.Until([] { return false; }, 0.05);
  Served(client.get(), "a");
}

TEST_F(Replace, OneAfterAnother) {
  auto client = rig.Client();
  for (int i = 0; i < 4; ++i) {
    Served(client.get(), "a" + std::to_string(i));
    ASSERT_TRUE(rig.StartNext());
    rig.Until([] { return false; }, 0.05);
    rig.node->BeginStop();
    rig.node->Run();
    rig.node = std::move(rig.next);
  }
  Served(client.get(), "z");
  EXPECT_FALSE(client->ended);
}

}  // namespace
}  // namespace millethollow
