// The connection between the two processes of a hot restart. It passes file descriptors
// (SCM_RIGHTS), which a bufferevent can't do, so it is a SOCK_SEQPACKET Unix socket with events of
// its own. Everything here runs on the loop's thread.
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

// One end of the connection; owns its socket. Each packet is one frame, of at most kMaxPacketBytes;
// order is kept.
class SiblingConnection {
 public:
  static constexpr std::size_t kMaxPacketBytes = 48 * 1024;
  // `fd`: the descriptor that came with the frame, which the callee must close, or -1.
  using FrameHandler = std::function<void(link::Reader& frame, int fd)>;

  SiblingConnection(Loop* loop, int fd) : loop_(loop), fd_(fd) {}
  ~SiblingConnection();
  SiblingConnection(const SiblingConnection&) = delete;
  SiblingConnection& operator=(const SiblingConnection&) = delete;
  // Connects to the process that listens at `path`; null if there is none.
  static std::unique_ptr<SiblingConnection> ConnectTo(Loop* loop, const std::string& path);

  // Only before Start: blocks without running the loop until `done` or until `deadline`, in seconds
  // of the loop's clock. Calls `while_waiting` every few milliseconds. False on timeout, or if the
  // connection is lost.
  bool Receive(const FrameHandler& on_frame, const std::function<bool()>& done, double deadline,
               const std::function<void()>& while_waiting);
  // From now on the loop reads and writes. `on_lost` is called once, in a later turn of the loop.
  void Start(FrameHandler on_frame, std::function<void()> on_lost);
  // Queues a frame. Takes over `fd`, if there is one, and closes it after sending.
  void Send(std::string frame, int fd = -1);
  bool Flushed() const { return queue_.empty(); }
  bool lost() const { return lost_; }

 private:
  enum class ReceiveResult : std::uint8_t { kFrame, kNoData, kClosed };
  ReceiveResult ReceiveOne(const FrameHandler& on_frame);
  void OnReadable();
  void Flush();
  void MarkLost();
  Loop* loop_;
  int fd_;
  bool lost_ = false;
  EventPtr readable_, writable_;
  FrameHandler on_frame_;
  std::function<void()> on_lost_;
  std::deque<std::pair<std::string, int>> queue_;
};

// Listens for the process that will replace this one.
class SiblingListener {
 public:
  using AcceptHandler = std::function<void(std::unique_ptr<SiblingConnection>)>;
  SiblingListener(Loop* loop, AcceptHandler on_accept)
      : loop_(loop), on_accept_(std::move(on_accept)) {}
  ~SiblingListener();
  SiblingListener(const SiblingListener&) = delete;
  SiblingListener& operator=(const SiblingListener&) = delete;
  // Replaces the socket of any process that listened at `path` before.
  bool Listen(const std::string& path);

 private:
  Loop* loop_;
  AcceptHandler on_accept_;
  int fd_ = -1;
  EventPtr readable_;
};

}  // namespace millethollow::handover

#endif  // MILLETHOLLOW_NET_HANDOVER_HANDOVER_H_
