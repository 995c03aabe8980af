// Carries frames between members: datagrams up to kMaxDatagramBytes, longer ones each by a TCP
// connection of its own, at the same address and port; what is to come in order goes over one
// connection that stays. Nothing is acknowledged or sent again here: who needs that says it again.
// Bounded in connections, bytes and time.
#ifndef MILLETHOLLOW_NET_CLUSTER_TRANSPORT_H_
#define MILLETHOLLOW_NET_CLUSTER_TRANSPORT_H_

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "membership/types.h"
#include "net/listener.h"
#include "net/loop.h"

namespace millethollow::cluster {

class Stream;

struct TransportCounters {
  std::uint64_t frames_in = 0, frames_out = 0, bytes_in = 0, bytes_out = 0;
  std::uint64_t streams = 0, dropped = 0;  // dropped: too long, or no connection to be had
};

class Transport {
 public:
  // `source`: where a datagram came from; null for a stream.
  using FrameHandler = std::function<void(std::string_view frame, const sockaddr_in* source)>;
  Transport(Loop* loop, FrameHandler on_frame);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  bool Open(const std::string& address, std::string* error);
  void SetPeer(membership::NodeId id, const sockaddr_in& address) { peers_[id] = address; }
  // `ordered`: after what was sent so before it, as long as no connection breaks.
  void Send(membership::NodeId to, const std::string& frame, bool ordered = false);
  void SendTo(const sockaddr_in& to, const std::string& datagram);
  // Another process is there, or none: what goes in order to it goes over a new connection.
  void Renew(membership::NodeId to);
  const TransportCounters& counters() const { return counters_; }

 private:
  friend class Stream;
  void Receive();
  void SendOrdered(membership::NodeId to, const sockaddr_in& address, const std::string& frame);
  void Drop(Stream* stream);

  Loop* loop_;
  FrameHandler on_frame_;
  int fd_ = -1;
  EventPtr readable_;
  Listener listener_;
  std::map<membership::NodeId, sockaddr_in> peers_;
  std::map<Stream*, std::unique_ptr<Stream>> streams_;
  std::map<membership::NodeId, Stream*> lines_;  // of ordered frames
  std::size_t incoming_ = 0, outgoing_ = 0;
  TransportCounters counters_;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_TRANSPORT_H_
