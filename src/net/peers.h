// Messages between the planners of a tier, as UDP datagrams.
//
// Everything here runs on the thread of the event loop.
#ifndef MILLETHOLLOW_NET_PEERS_H_
#define MILLETHOLLOW_NET_PEERS_H_

#include <netinet/in.h>

#include <functional>
#include <string>
#include <vector>

#include "core/request.h"
#include "net/loop.h"

namespace millethollow {

// Owns the socket to the other planners of the tier. Peers are numbered by their position in the
// configured list of addresses. The loop and the counters are not owned and must outlive the
// object.
class Peers {
 public:
  // Called for each message of a known peer with the index of that peer.
  using MessageHandler = std::function<void(int sender, const std::string& body)>;
  static constexpr std::size_t kMaxMessageBytes = balancing::kMaxPeerMessageBytes;
  Peers(Loop* loop, MessageHandler on_message, PeerCounters* counters)
      : loop_(loop), on_message_(std::move(on_message)), counters_(counters) {}
  ~Peers();
  Peers(const Peers&) = delete;
  Peers& operator=(const Peers&) = delete;

  // Opens the socket and starts receiving. `fd` is the bound socket of the process that this one
  // replaces, of which ownership is taken, or -1 to bind a new one to `listen`. Messages to all
  // peers go to the address `broadcast`, or to each peer separately if it is no valid address.
  // False, with `error`, if it fails.
  bool Open(int fd, const std::string& listen, const std::vector<std::string>& peers,
            const std::string& broadcast, std::string* error);
  int descriptor() const { return socket_; }
  // Receiving is disabled while another process reads from the same socket.
  void SetReceiving(bool enable);
  // Sends to one peer, or to all of them if `recipient` is -1. Best effort: a message that cannot
  // be sent is dropped and counted.
  void SendMessage(int recipient, const std::string& body);

 private:
  void SendTo(const sockaddr_in& to, const std::string& body);
  void Receive();
  int IndexOfPeer(const sockaddr_in& address) const;  // -1 if it belongs to no peer

  Loop* loop_;
  MessageHandler on_message_;
  PeerCounters* counters_;
  int socket_ = -1;
  EventPtr read_event_;
  std::vector<sockaddr_in> peers_;
  sockaddr_in broadcast_{};
  bool has_broadcast_ = false;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_PEERS_H_
