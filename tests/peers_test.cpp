// The socket between planners: sending, receiving, and the counters of dropped messages.
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

// A UDP socket on loopback, at a port that the kernel chooses.
class UdpSocket {
 public:
  UdpSocket() : socket_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    sockaddr_in any_port = *ParseAddress("127.0.0.1:0");
    EXPECT_EQ(bind(socket_, reinterpret_cast<const sockaddr*>(&any_port), sizeof any_port), 0);
  }
  ~UdpSocket() { close(socket_); }
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;
  std::string address() const { return AddressOf(socket_); }
  static std::string AddressOf(int fd) {
    sockaddr_in own_address{};
    socklen_t size = sizeof own_address;
    EXPECT_EQ(getsockname(fd, reinterpret_cast<sockaddr*>(&own_address), &size), 0);
    return "127.0.0.1:" + std::to_string(ntohs(own_address.sin_port));
  }
  void SendTo(const std::string& address, const std::string& body) const {
    const sockaddr_in to = *ParseAddress(address);
    EXPECT_EQ(sendto(socket_, body.data(), body.size(), 0, reinterpret_cast<const sockaddr*>(&to),
                     sizeof to),
              std::ssize(body));
  }

 private:
  int socket_;
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
  std::string address() const { return UdpSocket::AddressOf(peers.descriptor()); }
  Loop loop;
  PeerCounters counters;
  std::vector<std::pair<int, std::string>> received;
  Peers peers;
};

TEST_F(PeersTest, CountsSentAndDroppedMessages) {
  UdpSocket other;
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

TEST_F(PeersTest, CountsMessagesThatTheSocketRejects) {
  Open({"127.0.0.1:0"});  // nothing can be sent to port 0
  peers.SendMessage(0, "abc");
  EXPECT_EQ(counters.not_sent, 1u);
  EXPECT_EQ(counters.messages_out, 0u);
  EXPECT_EQ(counters.bytes_out, 0u);
}

TEST_F(PeersTest, ReceivesFromPeersOnlyAndCountsUnreadableMessages) {
  UdpSocket peer, unknown_sender;
  Open({"127.0.0.1:1", peer.address()});
  unknown_sender.SendTo(address(), "from a stranger");
  unknown_sender.SendTo(address(), std::string(300, 's'));
  peer.SendTo(address(), std::string(257, 'a'));
  peer.SendTo(address(), std::string(256, 'b'));
  EXPECT_TRUE(TurnUntil(loop, [&] { return !received.empty(); }));
  ASSERT_EQ(received.size(), 1u);
  EXPECT_EQ(received[0], std::pair(1, std::string(256, 'b')));
  EXPECT_EQ(counters.unknown_senders, 2u);
  EXPECT_EQ(counters.unreadable, 1u);
}

std::string Replace(std::string text, const std::string& old_text, const std::string& new_text) {
  EXPECT_NE(text.find(old_text), std::string::npos) << old_text;
  return text.replace(text.find(old_text), old_text.size(), new_text);
}

// The same counters in the statistics of a node, and the messages that its planner rejects.
TEST(NodePeersTest, PeerCountersAreInTheStatistics) {
  LogLevel() = Level::kError;
  UdpSocket peer, unknown_sender;
  const std::string listen = UdpSocket().address();  // the port is free again after this line
  std::string text = TestConfig({}, R"("peer_listen":")" + listen + R"(","peers":[")" + listen +
                                        R"(",")" + peer.address() + R"("],)");
  text = Replace(text, R"("balancers":1)", R"("balancers":2)");
  text = Replace(text, R"("limits":{)", R"("limits":{"peers":true,)");
  Config config;
  std::string error;
  ASSERT_TRUE(ReadConfig(text, &config, &error)) << error;
  Node node(config);
  ASSERT_TRUE(IsOk(node.Start()));
  const auto stats_have = [&](const std::string& line) {
    return ("\n" + node.Metrics()).find("\napp.peers." + line + "\n") != std::string::npos;
  };
  for (const char* cause :
       {"too_long", "no_address", "not_sent", "unreadable", "strangers", "refused"}) {
    EXPECT_TRUE(stats_have("dropped." + std::string(cause) + ":0|c")) << cause;
  }
  unknown_sender.SendTo(listen, "from a stranger");
  peer.SendTo(listen, std::string(257, 'a'));
  peer.SendTo(listen, "nothing that a dispatcher says");
  peer.SendTo(listen, std::string("D\x03 cut", 6));
  EXPECT_TRUE(TurnUntil(node.loop(), [&] { return stats_have("dropped.refused:2|c"); }));
  EXPECT_TRUE(stats_have("dropped.strangers:1|c"));
  EXPECT_TRUE(stats_have("dropped.unreadable:1|c"));
  EXPECT_TRUE(stats_have("messages_in:2|c"));
  // The node sends load reports, too.
  EXPECT_TRUE(TurnUntil(node.loop(), [&] { return !stats_have("messages_out:0|c"); }));
  EXPECT_FALSE(stats_have("bytes_out:0|c"));
}

}  // namespace
}  // namespace millethollow
