// What it costs to make room for a new connection when the descriptors are used up.
#include <dlfcn.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include "support/node_harness.h"

namespace {

std::size_t looks = 0;  // at what waits in the system, of all connections

}  // namespace

// Counts calls that look at a socket's input without taking it.
extern "C" ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto next =
      reinterpret_cast<ssize_t (*)(int, void*, size_t, int)>(dlsym(RTLD_NEXT, "recv"));
  if ((flags & MSG_PEEK) != 0) ++looks;
  return next(fd, buffer, size, flags);
}

namespace millethollow {
namespace {

// Hundreds of idle connections and a flood of new ones: each new one closes another. A call to the
// system for each idle one, for each that came, kept nodes so busy that they heard of drains 5 s
// late.
TEST(MakeRoom, LooksAtTheConnectionToBeClosedOnly) {
  NodeHarness harness(1, R"("limits":{"sockets":264},)");  // room for 100 clients
  const auto rests = harness.Client();
  rests->Write(Post("a1", "look"));
  ASSERT_TRUE(harness.Until([&] { return rests->received.ends_with("ok"); }));
  std::vector<std::unique_ptr<RawClient>> silent;
  const auto flood = [&](std::size_t connections) {
    for (std::size_t i = 0; i < connections; ++i) {
      silent.push_back(harness.Client());
      if (i % 20 == 19) harness.TurnAll();
    }
    harness.Until([&] { return false; }, 0.2);
  };
  flood(150);
  const std::size_t before = looks;
  flood(200);
  EXPECT_GE(looks - before, 150u) << "the one to be closed is looked at";
  EXPECT_LE(looks - before, 450u) << "and hardly any other";
  // The one that was served still rests.
  rests->received.clear();
  rests->Write(Post("a2", "look"));
  EXPECT_TRUE(harness.Until([&] { return rests->received.ends_with("ok"); }));
}

// A request that waits in the system is not closed over, whoever is the longest idle.
TEST(MakeRoom, ClosesNoRestingConnectionWithARequestUnread) {
  NodeHarness harness(1, R"("limits":{"sockets":96},)");  // room for 16 clients
  std::vector<std::unique_ptr<RawClient>> resting;
  for (int i = 0; i < 14; ++i) {
    resting.push_back(harness.Client());
    resting.back()->Write(Post("a" + std::to_string(i), "look"));
    ASSERT_TRUE(harness.Until([&] { return resting.back()->received.ends_with("ok"); })) << i;
  }
  // The longest idle one asks again while others come, all within one turn of the node.
  resting[0]->received.clear();
  resting[0]->Write(Post("b0", "look"));
  std::vector<std::unique_ptr<RawClient>> fresh;
  for (int i = 0; i < 4; ++i) fresh.push_back(harness.Client());
  for (int i = 0; i < 20; ++i) harness.host.Turn();
  EXPECT_TRUE(harness.Until([&] { return resting[0]->received.ends_with("ok"); }));
  EXPECT_FALSE(resting[0]->ended);
}

}  // namespace
}  // namespace millethollow
