// The socket between planners: what goes out, what comes in, and that all that is dropped is
// counted.
#include "net/peers.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/node_harness.h"

namespace millethollow {
namespace {

// A UDP socket on loopback, at a port of the system's choice.
class Datagrams {
 public:
  Datagrams() : fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in any = *ParseAddress("127.0.0.1:0");
    EXPECT_EQ(bind(fd_, reinterpret_cast<const sockaddr*>(&any), sizeof any), 0);
  }
  ~Datagrams() { close(fd_); }
  Datagrams(const Datagrams&) = delete;
  Datagrams& operator=(const Datagrams&) = delete;
  std::string address() const { return AddressOf(fd_); }
  static std::string AddressOf(int fd) {
    sockaddr_in own{};
    socklen_t size = sizeof own;
    EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&own), &size), 0);
    return "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
  }
  void SendTo(const std::string& address, const std::string& body) const {
    const sockaddr_in to = *ParseAddress(address);
    EXPECT_EQ(
        sendto(fd_, body.data(), body.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to),
        std::ssize(body));
  }

 private:
  int fd_;
};

struct PeersTest : testing::Test {
  PeersTest()
      : peers(
            &loop,
            [this](int sender, const std::string& body) { received.emplace_back(sender, body); },
            &counters) {}
  void Open(const std::vector<std::string>& addresses) {
    std::string error;
    ASSERT_TRUE(peers.Open(-1, "127.0.0.1:0", addresses, "", &error)) << error;
  }
  std::string address() const { return Datagrams::AddressOf(peers.descriptor()); }
  Loop loop;
  PeerCounters counters;
  std::vector<std::pair<int, std::string>> received;
  Peers peers;
};

TEST_F(PeersTest, CountsWhatGoesOutAndWhatIsDropped) {
  Datagrams other;
  Open({other.address()});
  peers.SendMessage(0, std::string(256, 'a'));
  peers.SendMessage(-1, "abc");
  EXPECT_EQ(counters.messages_out, 2u);
  EXPECT_EQ(counters.bytes_out, 259u);
  peers.SendMessage(0, std::string(257, 'a'));
  EXPECT_EQ(counters.too_long, 1u);
  peers.SendMessage(1, "abc");
  EXPECT_EQ(counters.no_address, 1u);
  EXPECT_EQ(counters.not_sent, 0u);
  EXPECT_EQ(counters.messages_out, 2u);
}

TEST_F(PeersTest, CountsWhatTheSocketDoesNotTake) {
  Open({"127.0.0.1:0"});  // nothing can be sent to port 0
  peers.SendMessage(0, "abc");
  EXPECT_EQ(counters.not_sent, 1u);
  EXPECT_EQ(counters.messages_out, 0u);
  EXPECT_EQ(counters.bytes_out, 0u);
}

TEST_F(PeersTest, HearsPeersAloneAndCountsWhatItCannotRead) {
  Datagrams peer, stranger;
  Open({"127.0.0.1:1", peer.address()});
  stranger.SendTo(address(), "from a stranger");
  stranger.SendTo(address(), std::string(300, 's'));
  peer.SendTo(address(), std::string(257, 'a'));
  peer.SendTo(address(), std::string(256, 'b'));
  EXPECT_TRUE(TurnUntil(loop, [&] { return !received.empty(); }));
  ASSERT_EQ(received.size(), 1u);
  EXPECT_EQ(received[0], std::pair(1, std::string(256, 'b')));
  EXPECT_EQ(counters.strangers, 2u);
  EXPECT_EQ(counters.unreadable, 1u);
}

std::string Replaced(std::string text, const std::string& what, const std::string& by) {
  EXPECT_NE(text.find(what), std::string::npos) << what;
  return text.replace(text.find(what), what.size(), by);
}

// The same figures of a node, with what its decision module refuses.
TEST(PeersOfANode, TheirCountersAreAmongTheFigures) {
  LogLevel() = Level::kError;
  Datagrams peer, stranger;
  const std::string listen = Datagrams().address();  // free again from here on
  std::string text = TestConfig({}, R"("peer_listen":")" + listen + R"(","peers":[")" + listen +
                                        R"(",")" + peer.address() + R"("],)");
  text = Replaced(text, R"("balancers":1)", R"("balancers":2)");
  text = Replaced(text, R"("limits":{)", R"("limits":{"peers":true,)");
  Config config;
  std::string error;
  ASSERT_TRUE(ReadConfig(text, &config, &error)) << error;
  Node node(config);
  ASSERT_TRUE(IsOk(node.Start()));
  const auto has = [&](const std::string& line) {
    return ("\n" + node.Figures()).find("\napp.peers." + line + "\n") != std::string::npos;
  };
  for (const char* cause :
       {"too_long", "no_address", "not_sent", "unreadable", "strangers", "refused"}) {
    EXPECT_TRUE(has("dropped." + std::string(cause) + ":0|c")) << cause;
  }
  stranger.SendTo(listen, "from a stranger");
  peer.SendTo(listen, std::string(257, 'a'));
  peer.SendTo(listen, "nothing that a dispatcher says");
  peer.SendTo(listen, std::string("D\x03 cut", 6));
  EXPECT_TRUE(TurnUntil(node.loop(), [&] { return has("dropped.refused:2|c"); }));
  EXPECT_TRUE(has("dropped.strangers:1|c"));
  EXPECT_TRUE(has("dropped.unreadable:1|c"));
  EXPECT_TRUE(has("messages_in:2|c"));
  EXPECT_TRUE(TurnUntil(node.loop(), [&] { return !has("messages_out:0|c"); }));  // it reports, too
  EXPECT_FALSE(has("bytes_out:0|c"));
}

}  // namespace
}  // namespace millethollow
