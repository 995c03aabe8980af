// Sends frames between the members of a cluster. Frames of up to kMaxDatagramBytes go by UDP;
// longer ones go by TCP to the same address and port, each on a connection of its own. Ordered
// frames share one TCP connection to each member, which stays open. There are no acknowledgements
// and no retransmissions here: protocols that need them send again. Connections, unsent bytes and
// times are bounded. Everything here runs on the loop's thread.
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
  // streams: TCP connections opened. dropped: frames that were too long, had no known address, or
  // exceeded the limits of connections or unsent bytes.
  std::uint64_t streams = 0, dropped = 0;
};

class Transport {
 public:
  // `source`: the sender's address of a datagram; null for a frame that came by TCP.
  using FrameHandler = std::function<void(std::string_view frame, const sockaddr_in* source)>;
  Transport(Loop* loop, FrameHandler on_frame);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  // Binds the UDP socket and listens for TCP at `address`; false, with a reason, if that fails.
  bool Open(const std::string& address, std::string* error);
  void SetPeer(membership::NodeId id, const sockaddr_in& address) { peers_[id] = address; }
  // Ordered frames to one member arrive in the order of sending as long as no connection breaks.
  void Send(membership::NodeId to, const std::string& frame, bool ordered = false);
  void SendDatagram(const sockaddr_in& to, const std::string& datagram);
  // To be called when the member's process was replaced or failed: the next ordered frame to it
  // opens a new connection.
  void ResetOrderedStream(membership::NodeId to);
  const TransportCounters& counters() const { return counters_; }

 private:
  friend class Stream;
  void OnReadable();
  void SendOrdered(membership::NodeId to, const sockaddr_in& address, const std::string& frame);
  void RemoveStream(Stream* stream);

  Loop* loop_;
  FrameHandler on_frame_;
  int fd_ = -1;
  EventPtr readable_;
  Listener listener_;
  std::map<membership::NodeId, sockaddr_in> peers_;
  std::map<Stream*, std::unique_ptr<Stream>> streams_;
  std::map<membership::NodeId, Stream*> ordered_streams_;    // by receiver
  std::size_t incoming_streams_ = 0, outgoing_streams_ = 0;  // numbers of streams
  TransportCounters counters_;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_TRANSPORT_H_
