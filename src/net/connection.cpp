#include "net/connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>

#include "logging/log.h"

namespace millethollow {
namespace {

// Input is paused at this size: no reader needs more at once than one message of the largest size.
// Beyond it the kernel's flow control holds the peer back.
constexpr std::size_t kMaxBufferedBytes = 128 * 1024;
// Interval of the checks for a peer's close while input is paused.
constexpr double kPeerCloseCheckIntervalS = 0.02;
// Input discarded at each check: the kernel's buffers at both ends are empty within a few checks.
constexpr std::size_t kMaxDiscardedBytesPerCheck = 4 * 1024 * 1024;

}  // namespace

std::optional<sockaddr_un> UnixAddress(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.empty() || path.size() >= sizeof address.sun_path) return std::nullopt;
  std::copy(path.begin(), path.end(), address.sun_path);
  return address;
}

std::string AddressText(const sockaddr_in& address) {
  char text[INET_ADDRSTRLEN] = "?";
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

void Connection::Attach(evutil_socket_t fd) {
  opened_at_ = loop_->Now();
  // With deferred callbacks no call into the bufferevent runs a callback before it returns.
  bufferevent_.reset(
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  bufferevent_setcb(
      bufferevent_.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        if (self->closed()) return;
        self->OnRead();
        if (self->Available() >= kMaxBufferedBytes) self->PauseInput();
      },
      [](bufferevent*, void* arg) {
        // libevent also calls this when a new socket becomes writable, when output may already be
        // buffered. Reported as drained, that would make the owner half-close the connection before
        // the response is sent.
        auto* self = static_cast<Connection*>(arg);
        if (!self->closed() && self->Drained()) self->OnDrained();
      },
      [](bufferevent*, short events, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        if (self->closed()) return;
        if ((events & BEV_EVENT_CONNECTED) != 0) return self->OnConnected();
        self->OnEnd((events & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
      },
      this);
  bufferevent_enable(bufferevent_.get(), EV_READ | EV_WRITE);
}

void Connection::Adopt(evutil_socket_t fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  Attach(fd);
}

int Connection::Release(std::string* unread) {
  if (bufferevent_ == nullptr) return -1;
  *unread = Peek(Available());
  const int fd =
      fcntl(descriptor(), F_DUPFD_CLOEXEC, 0);  // freeing the bufferevent closes the original
  if (fd >= 0) Close("handed-over");
  return fd;
}

void Connection::PrependInput(std::string_view bytes) {
  if (bytes.empty()) return;
  evbuffer_prepend(bufferevent_get_input(bufferevent_.get()), bytes.data(), bytes.size());
  ReadLater();
}

void Connection::ReadLater() {
  if (closed()) return;
  bufferevent_trigger(bufferevent_.get(), EV_READ,
                      BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void Connection::SetHighPriority() {
  bufferevent_priority_set(bufferevent_.get(), Loop::kHighPriority);
}

void Connection::PauseInput() {
  if (input_paused_) return;
  input_paused_ = true;
  bufferevent_disable(bufferevent_.get(), EV_READ);
  CheckForPeerClose();
}

void Connection::ResumeInput() {
  if (!input_paused_ || discarding_) return;
  input_paused_ = false;
  loop_->deadlines().Drop(&peer_close_check_);
  bufferevent_enable(bufferevent_.get(), EV_READ);
}

// While input is paused, libevent does not report the end of the stream behind the buffered bytes:
// without this check, a peer that sent much and disconnected would be taken for one that still
// waits for its response.
void Connection::CheckForPeerClose() {
  peer_close_check_ = loop_->deadlines().At(loop_->Now() + kPeerCloseCheckIntervalS, [this] {
    peer_close_check_ = Deadlines::kNone;
    if (PeerHasClosed() || (discarding_ && !DiscardReceived())) return OnPeerClosedWhilePaused();
    CheckForPeerClose();
  });
}

bool Connection::PeerHasClosed() const {
  pollfd poll_request{.fd = descriptor(), .events = POLLRDHUP, .revents = 0};
  return poll(&poll_request, 1, 0) > 0;
}

bool Connection::PeerHasClosedBehindInput(std::size_t max_bytes) {
  evbuffer* input = bufferevent_get_input(bufferevent_.get());
  pollfd poll_request{.fd = descriptor(), .events = POLLIN | POLLRDHUP, .revents = 0};
  while (poll(&poll_request, 1, 0) > 0) {
    if ((poll_request.revents & ~POLLIN) != 0) return true;
    if (Available() >= max_bytes) return false;
    evbuffer_unfreeze(input, 0);  // libevent lets only its own reads append
    const int read = evbuffer_read(input, descriptor(), static_cast<int>(max_bytes));
    evbuffer_freeze(input, 0);
    if (read <= 0) return read == 0;
  }
  return false;
}

void Connection::DiscardInput() {
  if (closed()) return;
  Consume(Available());
  discarding_ = true;
  PauseInput();
}

bool Connection::DiscardReceived() {
  std::array<char, 64 * 1024> bytes{};
  for (std::size_t discarded = 0; discarded < kMaxDiscardedBytesPerCheck;) {
    const ssize_t received = recv(descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT);
    if (received < 0) return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
    if (received == 0) return false;
    discarded += static_cast<std::size_t>(received);
    bytes_in_ += static_cast<std::size_t>(received);
  }
  return true;
}

bool Connection::HasUnreadInput() const {
  char byte = 0;
  const ssize_t received = recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::Connect(const sockaddr_in& address) {
  const evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  Adopt(fd);
  return bufferevent_socket_connect(bufferevent_.get(), reinterpret_cast<const sockaddr*>(&address),
                                    sizeof address) == 0;
}

bool Connection::ConnectUnix(const std::string& path) {
  const auto address = UnixAddress(path);
  const evutil_socket_t fd = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  Attach(fd);
  return address && bufferevent_socket_connect(bufferevent_.get(),
                                               reinterpret_cast<const sockaddr*>(&*address),
                                               sizeof *address) == 0;
}

void Connection::Write(std::string_view bytes) {
  if (bufferevent_ == nullptr) return;
  bytes_out_ += bytes.size();
  bufferevent_write(bufferevent_.get(), bytes.data(), bytes.size());
}

void Connection::WriteNow(std::string_view bytes) {
  if (bufferevent_ == nullptr) return;
  if (Drained()) {
    const ssize_t sent =
        send(descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      bytes_out_ += static_cast<std::size_t>(sent);
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  if (!bytes.empty()) Write(bytes);
}

std::size_t Connection::Unsent() const {
  return bufferevent_ == nullptr ? 0
                                 : evbuffer_get_length(bufferevent_get_output(bufferevent_.get()));
}

bool Connection::HasUnsentBytes() const {
  if (closed()) return false;
  int unsent_in_kernel = 0;
  return !Drained() ||
         (ioctl(descriptor(), SIOCOUTQNSD, &unsent_in_kernel) == 0 && unsent_in_kernel > 0);
}

bool Connection::Delivered() const {
  if (closed()) return true;
  int unacknowledged = 0;
  return Drained() && (ioctl(descriptor(), SIOCOUTQ, &unacknowledged) != 0 || unacknowledged == 0);
}

int Connection::descriptor() const {
  return bufferevent_ == nullptr ? -1 : bufferevent_getfd(bufferevent_.get());
}

std::string Connection::PeerAddress() const {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(descriptor(), reinterpret_cast<sockaddr*>(&peer), &size) != 0) return "-";
  return AddressText(peer);
}

std::size_t Connection::Available() const {
  return bufferevent_ == nullptr ? 0
                                 : evbuffer_get_length(bufferevent_get_input(bufferevent_.get()));
}

std::string Connection::Peek(std::size_t max_bytes) const {
  std::string bytes(std::min(max_bytes, Available()), '\0');
  if (!bytes.empty()) {
    evbuffer_copyout(bufferevent_get_input(bufferevent_.get()), bytes.data(), bytes.size());
  }
  return bytes;
}

void Connection::Consume(std::size_t bytes) {
  if (bufferevent_ == nullptr) return;
  bytes_in_ += bytes;
  evbuffer_drain(bufferevent_get_input(bufferevent_.get()), bytes);
  if (Available() < kMaxBufferedBytes) ResumeInput();
}

void Connection::StopReading() {
  if (bufferevent_ != nullptr) bufferevent_disable(bufferevent_.get(), EV_READ);
}

void Connection::ShutdownWrite() {
  if (bufferevent_ != nullptr) shutdown(bufferevent_getfd(bufferevent_.get()), SHUT_WR);
}

void Connection::Abort(const char* reason) {
  if (closed()) return;
  const linger no_linger{.l_onoff = 1, .l_linger = 0};
  setsockopt(descriptor(), SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
  Close(reason);
}

void Connection::Close(const char* reason) {
  if (bufferevent_ == nullptr) return;
  loop_->deadlines().Drop(&peer_close_check_);
  // The descriptor is closed here, since libevent frees the bufferevent only in a later turn:
  // connections evicted in this turn would still hold their descriptors when new ones are accepted.
  const evutil_socket_t fd = bufferevent_getfd(bufferevent_.get());
  if (fd >= 0) bufferevent_setfd(bufferevent_.get(), -1);
  bufferevent_.reset();
  if (fd >= 0) evutil_closesocket(fd);
  LogLine(Level::kInfo) << kind_ << " end reason=" << reason << " in=" << bytes_in_
                        << " out=" << bytes_out_ << " s=" << loop_->Now() - opened_at_;
}

}  // namespace millethollow
