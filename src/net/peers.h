// Short messages between the planners of a tier, by UDP.
#ifndef MILLETHOLLOW_NET_PEERS_H_
#define MILLETHOLLOW_NET_PEERS_H_

#include <netinet/in.h>

#include <functional>
#include <string>
#include <vector>

#include "core/request.h"
#include "net/loop.h"

namespace millethollow {

class Peers {
 public:
  using MessageHandler = std::function<void(int sender, const std::string& body)>;
  static constexpr std::size_t kMaxMessageBytes = balancing::kMaxPeerMessageBytes;
  Peers(Loop* loop, MessageHandler on_message, PeerCounters* counters)
      : loop_(loop), on_message_(std::move(on_message)), counters_(counters) {}
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // `fd`: the socket of the process that went before, or -1 for one of our own.
  bool Open(int fd, const std::string& listen, const std::vector<std::string>& peers,
            const std::string& broadcast, std::string* error);
  int descriptor() const { return fd_; }
  void SetReceiving(bool enable);  // off while another process reads the same socket
  // To everyone where `recipient` is -1. Best effort: what can't be sent is dropped and counted.
  void SendMessage(int recipient, const std::string& body);

 private:
  void SendTo(const sockaddr_in& to, const std::string& body);
  void Receive();
  int SenderAt(const sockaddr_in& address) const;  // -1: none of the peers
  Loop* loop_;
  MessageHandler on_message_;
  PeerCounters* counters_;
  int fd_ = -1;
  EventPtr readable_;
  std::vector<sockaddr_in> peers_;
  sockaddr_in broadcast_{};
  bool has_broadcast_ = false;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_PEERS_H_
