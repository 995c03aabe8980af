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

constexpr std::size_t kMaxQueuedPackets = 8192;  // packets to an end that does not read: it is lost
constexpr int kMaxPacketsPerTurn = 64;
constexpr int kPollMs = 5;

}  // namespace

Link::~Link() {
  readable_.reset();
  writable_.reset();
  for (const auto& [frame, fd] : queue_) {
    if (fd >= 0) close(fd);
  }
  if (fd_ >= 0) close(fd_);
}

std::unique_ptr<Link> Link::To(Loop* loop, const std::string& path) {
  const auto address = UnixAddress(path);
  const int fd = address ? socket(AF_UNIX, SOCK_SEQPACKET | SOCK_NONBLOCK | SOCK_CLOEXEC, 0) : -1;
  if (fd < 0) return nullptr;
  // A socket that its process left behind refuses at once; one whose process hangs takes us in.
  if (connect(fd, reinterpret_cast<const sockaddr*>(&*address), sizeof *address) != 0) {
    close(fd);
    return nullptr;
  }
  return std::make_unique<Link>(loop, fd);
}

bool Link::Receive(const OnFrame& on_frame, const std::function<bool()>& done, double until,
                   const std::function<void()>& while_waiting) {
  while (!done()) {
    const Got got = ReceiveOne(on_frame);
    if (got == Got::kEnd || loop_->Now() >= until) return false;
    if (got == Got::kFrame) continue;
    pollfd wait{.fd = fd_, .events = POLLIN, .revents = 0};
    poll(&wait, 1, kPollMs);
    if (while_waiting) while_waiting();
  }
  return true;
}

Link::Got Link::ReceiveOne(const OnFrame& on_frame) {
  std::vector<char> bytes(kMaxPacketBytes);
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))];
  iovec part{.iov_base = bytes.data(), .iov_len = bytes.size()};
  msghdr message{};
  message.msg_iov = &part;
  message.msg_iovlen = 1;
  message.msg_control = control;
  message.msg_controllen = sizeof control;
  const ssize_t n = recvmsg(fd_, &message, MSG_DONTWAIT | MSG_CMSG_CLOEXEC);
  if (n < 0) return errno == EAGAIN || errno == EINTR ? Got::kNothing : Got::kEnd;
  int fd = -1;
  for (cmsghdr* c = CMSG_FIRSTHDR(&message); c != nullptr; c = CMSG_NXTHDR(&message, c)) {
    if (c->cmsg_level == SOL_SOCKET && c->cmsg_type == SCM_RIGHTS) {
      std::memcpy(&fd, CMSG_DATA(c), sizeof fd);
    }
  }
  if (n < 5 || (message.msg_flags & MSG_TRUNC) != 0) {  // each has its length in front
    if (fd >= 0) close(fd);
    return Got::kEnd;
  }
  link::Reader reader(std::string_view(bytes.data() + 4, static_cast<std::size_t>(n) - 4));
  on_frame(reader, fd);
  return Got::kFrame;
}

void Link::Start(OnFrame on_frame, std::function<void()> on_lost) {
  on_frame_ = std::move(on_frame);
  on_lost_ = std::move(on_lost);
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Link*>(self)->Readable(); }, this));
  writable_.reset(event_new(
      loop_->base(), fd_, EV_WRITE,
      [](evutil_socket_t, short, void* self) { static_cast<Link*>(self)->Flush(); }, this));
  event_add(readable_.get(), nullptr);
  Flush();
}

void Link::Readable() {
  for (int i = 0; i < kMaxPacketsPerTurn && !lost_; ++i) {
    const Got got = ReceiveOne(on_frame_);
    if (got == Got::kNothing) return;
    if (got == Got::kEnd) return Lose();
  }
}

void Link::Send(std::string frame, int fd) {
  if (lost_ || queue_.size() > kMaxQueuedPackets) {
    if (fd >= 0) close(fd);
    return Lose();
  }
  queue_.emplace_back(std::move(frame), fd);
  Flush();
}

void Link::Flush() {
  while (!queue_.empty() && !lost_) {
    auto& [frame, fd] = queue_.front();
    alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
    iovec part{.iov_base = frame.data(), .iov_len = frame.size()};
    msghdr message{};
    message.msg_iov = &part;
    message.msg_iovlen = 1;
    if (fd >= 0) {
      message.msg_control = control;
      message.msg_controllen = sizeof control;
      cmsghdr* c = CMSG_FIRSTHDR(&message);
      c->cmsg_level = SOL_SOCKET;
      c->cmsg_type = SCM_RIGHTS;
      c->cmsg_len = CMSG_LEN(sizeof fd);
      std::memcpy(CMSG_DATA(c), &fd, sizeof fd);
    }
    if (sendmsg(fd_, &message, MSG_DONTWAIT | MSG_NOSIGNAL) < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) return Lose();
      if (writable_ != nullptr) event_add(writable_.get(), nullptr);
      return;
    }
    if (fd >= 0) close(fd);
    queue_.pop_front();
  }
}

// Told at the turn's end: whoever sends must not find us gone within the call.
void Link::Lose() {
  if (std::exchange(lost_, true)) return;
  if (readable_ != nullptr) event_del(readable_.get());
  if (on_lost_) loop_->Defer(on_lost_);
}

Server::~Server() {
  readable_.reset();
  if (fd_ >= 0) close(fd_);
}

bool Server::Listen(const std::string& path) {
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
        auto* self = static_cast<Server*>(arg);
        const int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd >= 0) self->accepted_(std::make_unique<Link>(self->loop_, fd));
      },
      this));
  event_add(readable_.get(), nullptr);
  return true;
}

}  // namespace millethollow::handover
