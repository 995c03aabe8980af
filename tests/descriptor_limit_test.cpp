// Eviction of idle connections when the process runs out of descriptors: its cost and its choice.
#include <dlfcn.h>
#include <gtest/gtest.h>
#include <sys/socket.h>

#include "support/node_harness.h"

namespace {

std::size_t peek_calls = 0;  // calls of recv with MSG_PEEK, on all connections

}  // namespace

// Replaces recv to count the calls that peek at a socket's input.
extern "C" ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto real_recv =
      reinterpret_cast<ssize_t (*)(int, void*, size_t, int)>(dlsym(RTLD_NEXT, "recv"));
  if ((flags & MSG_PEEK) != 0) ++peek_calls;
  return real_recv(fd, buffer, size, flags);
}

namespace millethollow {
namespace {

// Guards against eviction that makes a system call for every idle connection: with hundreds of idle
// connections and many new ones, each of which evicts another, nodes were so busy with these calls
// that they learned of drains 5 s late.
TEST(DescriptorLimit, ChecksOnlyTheConnectionToBeEvicted) {
  NodeHarness harness(1, R"("limits":{"sockets":264},)");  // room for 100 clients
  const auto served_client = harness.Client();
  served_client->Write(Post("a1", "look"));
  ASSERT_TRUE(harness.Until([&] { return served_client->received.ends_with("ok"); }));
  std::vector<std::unique_ptr<RawClient>> idle_clients;
  const auto connect_many = [&](std::size_t connections) {
    for (std::size_t i = 0; i < connections; ++i) {
      idle_clients.push_back(harness.Client());
      if (i % 20 == 19) harness.TurnAll();
    }
    harness.Until([&] { return false; }, 0.2);
  };
  connect_many(150);
  const std::size_t peek_calls_before = peek_calls;
  connect_many(200);
  EXPECT_GE(peek_calls - peek_calls_before, 150u) << "the connection to be evicted is checked";
  EXPECT_LE(peek_calls - peek_calls_before, 450u) << "and hardly any other is";
  // The connection that has carried a request is still open.
  served_client->received.clear();
  served_client->Write(Post("a2", "look"));
  EXPECT_TRUE(harness.Until([&] { return served_client->received.ends_with("ok"); }));
}

// Guards against evicting a connection whose request is in the kernel's buffer but not read yet,
// even if it is the one that has been idle for longest.
TEST(DescriptorLimit, EvictsNoIdleConnectionWithAnUnreadRequest) {
  NodeHarness harness(1, R"("limits":{"sockets":96},)");  // room for 16 clients
  std::vector<std::unique_ptr<RawClient>> idle_clients;
  for (int i = 0; i < 14; ++i) {
    idle_clients.push_back(harness.Client());
    idle_clients.back()->Write(Post("a" + std::to_string(i), "look"));
    ASSERT_TRUE(harness.Until([&] { return idle_clients.back()->received.ends_with("ok"); })) << i;
  }
  // The one that has been idle for longest sends a request while new clients connect, all within
  // one turn of the node's loop.
  idle_clients[0]->received.clear();
  idle_clients[0]->Write(Post("b0", "look"));
  std::vector<std::unique_ptr<RawClient>> new_clients;
  for (int i = 0; i < 4; ++i) new_clients.push_back(harness.Client());
  for (int i = 0; i < 20; ++i) harness.host.Turn();
  EXPECT_TRUE(harness.Until([&] { return idle_clients[0]->received.ends_with("ok"); }));
  EXPECT_FALSE(idle_clients[0]->ended);
}

// Guards against more clients than the memory limit has room for, where there are many descriptors.
TEST(DescriptorLimit, ClientsFollowTheMemoryLimitToo) {
  DescriptorBudget budget = DescriptorBudget::ForSocketLimit(4'096);
  budget.LimitClientsToMemory(96 * 1024 * 1024);
  EXPECT_EQ(budget.max_clients, 256u);
  budget.LimitClientsToMemory(1);
  EXPECT_EQ(budget.max_clients, 16u);
  NodeHarness harness(1, R"("limits":{"sockets":1024,"memory_mb":24},)");
  EXPECT_EQ(harness.node->loop().budget().max_clients, 64u);
}

}  // namespace
}  // namespace millethollow
