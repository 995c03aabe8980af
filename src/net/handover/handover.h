// Replacing the process under load: the link between the old process and the new one, and what
// goes over it. Messages with descriptors (SCM_RIGHTS) can't pass through a bufferevent; this is a
// socket of packets with an event of its own.
#ifndef MILLETHOLLOW_NET_HANDOVER_HANDOVER_H_
#define MILLETHOLLOW_NET_HANDOVER_HANDOVER_H_

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "net/link/frame.h"
#include "net/loop.h"

namespace millethollow::handover {

// One end. Packets keep their bounds and order; none is larger than kMaxPacketBytes.
class Link {
 public:
  static constexpr std::size_t kMaxPacketBytes = 48 * 1024;
  // `fd` is the descriptor that came with it, the callee's to close, or -1.
  using OnFrame = std::function<void(link::Reader& frame, int fd)>;

  Link(Loop* loop, int fd) : loop_(loop), fd_(fd) {}
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  // To the process that listens at `path`; null if there is none.
  static std::unique_ptr<Link> To(Loop* loop, const std::string& path);

  // Before Start: waits up to `until` on the loop's clock, without turning it. False if the other
  // end is lost or stays silent.
  bool Receive(const OnFrame& on_frame, const std::function<bool()>& done, double until,
               const std::function<void()>& while_waiting);
  void Start(OnFrame on_frame, std::function<void()> on_lost);
  // `fd`, if there is one, is closed once it is on its way.
  void Send(std::string frame, int fd = -1);
  bool Flushed() const { return queue_.empty(); }
  bool lost() const { return lost_; }

 private:
  enum class Got : std::uint8_t { kFrame, kNothing, kEnd };
  Got ReceiveOne(const OnFrame& on_frame);
  void Readable();
  void Flush();
  void Lose();
  Loop* loop_;
  int fd_;
  bool lost_ = false;
  EventPtr readable_, writable_;
  OnFrame on_frame_;
  std::function<void()> on_lost_;
  std::deque<std::pair<std::string, int>> queue_;
};

// Where the process that will replace this one finds it.
class Server {
 public:
  using Accepted = std::function<void(std::unique_ptr<Link>)>;
  Server(Loop* loop, Accepted accepted) : loop_(loop), accepted_(std::move(accepted)) {}
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  bool Listen(const std::string& path);  // in place of whoever listened there

 private:
  Loop* loop_;
  Accepted accepted_;
  int fd_ = -1;
  EventPtr readable_;
};

}  // namespace millethollow::handover

#endif  // MILLETHOLLOW_NET_HANDOVER_HANDOVER_H_
