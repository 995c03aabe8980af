#include "net/handover/handover.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <vector>

#include "logging/log.h"
#include "net/connection.h"

namespace millethollow::handover {
namespace {

// Backpressure limit: with more packets queued, the other end counts as lost.
constexpr std::size_t kMaxQueuedPackets = 8192;
constexpr int kMaxPacketsPerTurn = 64;
constexpr int kReceivePollMs = 5;

}  // namespace

SiblingConnection::~SiblingConnection() {
  readable_.reset();
  writable_.reset();
  for (const auto& [frame, fd] : queue_) {
    if (fd >= 0) close(fd);
  }
  if (fd_ >= 0) close(fd_);
}

std::unique_ptr<SiblingConnection> SiblingConnection::ConnectTo(Loop* loop,
                                                                const std::string& path) {
  const auto address = UnixAddress(path);
  const int fd = address ? socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
  if (fd < 0) return nullptr;
  // The socket file of a dead process refuses the connection at once. One of a process that hangs
  // accepts it; the timeout of Receive covers that.
  if (connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<SiblingConnection>(loop, fd);
}

bool SiblingConnection::Receive(const FrameHandler& on_frame, const std::function<bool()>& done,
                                double deadline, const std::function<void()>& while_waiting) {
  while (!done()) {
    const ReceiveResult result = ReceiveOne(on_frame);
    if (result == ReceiveResult::kClosed || loop_->Now() >= deadline) return false;
    if (result == ReceiveResult::kFrame) continue;
    pollfd poll_entry{.fd = fd_, .events = POLLIN, .revents = 0};
    poll(&poll_entry, 1, kReceivePollMs);
    if (while_waiting) while_waiting();
  }
  return true;
}

SiblingConnection::ReceiveResult SiblingConnection::ReceiveOne(const FrameHandler& on_frame) {
  std::vector<char> bytes(kMaxPacketBytes);
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))];
  iovec buffer{.iov_base = bytes.data(), .iov_len = bytes.size()};
  msghdr message{};
  message.msg_iov = &buffer;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t size = recvmsg(fd_, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (size < 0)
    return errno == EAGAIN || errno == EINTR ? ReceiveResult::kNoData : ReceiveResult::kClosed;
  int fd = -1;
  for (cmsghdr* header = CMSG_FIRSTHDR(&message); header != nullptr;
       header = CMSG_NXTHDR(&message, header)) {
    if (header->cmsg_level == SOL_SOCKET && header->cmsg_type == SCM_RIGHTS) {
      std::memcpy(&fd, CMSG_DATA(header), sizeof fd);
    }
  }
  if (size < 5 || (message.msg_flags & MSG_TRUNC) != 0) {  // a frame's length and kind are 5 bytes
    if (fd >= 0) close(fd);
    return ReceiveResult::kClosed;
  }
  link::Reader reader(std::string_view(bytes.data() + 4, static_cast<std::size_t>(size) - 4));
  on_frame(reader, fd);
  return ReceiveResult::kFrame;
}

void SiblingConnection::Start(FrameHandler on_frame, std::function<void()> on_lost) {
  on_frame_ = std::move(on_frame);
  on_lost_ = std::move(on_lost);
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) {
        static_cast<SiblingConnection*>(self)->OnReadable();
      },
      this));
  writable_.reset(event_new(
      loop_->base(), fd_, EV_WRITE,
      [](evutil_socket_t, short, void* self) { static_cast<SiblingConnection*>(self)->Flush(); },
      this));
  event_add(readable_.get(), nullptr);
  Flush();
}

void SiblingConnection::OnReadable() {
  for (int i = 0; i < kMaxPacketsPerTurn && !lost_; ++i) {
    const ReceiveResult result = ReceiveOne(on_frame_);
    if (result == ReceiveResult::kNoData) return;
    if (result == ReceiveResult::kClosed) return MarkLost();
  }
}

void SiblingConnection::Send(std::string frame, int fd) {
  if (lost_ || queue_.size() > kMaxQueuedPackets) {
    if (fd >= 0) close(fd);
    return MarkLost();
  }
  queue_.emplace_back(std::move(frame), fd);
  Flush();
}

void SiblingConnection::Flush() {
  while (!queue_.empty() && !lost_) {
    auto& [frame, fd] = queue_.front();
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    iovec buffer{.iov_base = frame.data(), .iov_len = frame.size()};
    msghdr message{};
    message.msg_iov = &buffer;
    message.msg_iovlen = 1;
    if (fd >= 0) {
      message.msg_control = control;
      message.msg_controllen = sizeof control;
      cmsghdr* header = CMSG_FIRSTHDR(&message);
      header->cmsg_level = SOL_SOCKET;
      header->cmsg_type = SCM_RIGHTS;
      header->cmsg_len = CMSG_LEN(sizeof fd);
      std::memcpy(CMSG_DATA(header), &fd, sizeof fd);
    }
    if (sendmsg(fd_, &message, MSG_DONTWAIT | MSG_NOSIGNAL) < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) return MarkLost();
      if (writable_ != nullptr) event_add(writable_.get(), nullptr);
      return;
    }
    if (fd >= 0) close(fd);
    queue_.pop_front();
  }
}

// Calls on_lost_ in a later turn: its callee may destroy this object, which a caller of Send does
// not expect.
void SiblingConnection::MarkLost() {
  if (std::exchange(lost_, true)) return;
  if (readable_ != nullptr) event_del(readable_.get());
  if (on_lost_) loop_->Defer(on_lost_);
}

SiblingListener::~SiblingListener() {
  readable_.reset();
  if (fd_ >= 0) close(fd_);
}

bool SiblingListener::Listen(const std::string& path) {
  const auto address = UnixAddress(path);
  if (!address) return false;
  fd_ = socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  unlink(path.c_str());
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0 ||
      chmod(path.c_str(), 0600) != 0 || listen(fd_, 4) != 0) {
    return false;
  }
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t listener, short, void* arg) {
        auto* self = static_cast<SiblingListener*>(arg);
        const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) self->on_accept_(std::make_unique<SiblingConnection>(self->loop_, fd));
      },
      this));
  event_add(readable_.get(), nullptr);
  return true;
}

}  // namespace millethollow::handover
