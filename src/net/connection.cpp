#include "net/connection.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

#include "logging/log.h"

namespace millethollow {
namespace {

// No reader needs more at once than one message of the largest size; the kernel holds the rest
// back.
constexpr std::size_t kMaxBufferedBytes = 128 * 1024;
constexpr double kLookS = 0.05;  // how often a peer that is held back is looked at

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
  began_ = loop_->Now();
  // Deferred callbacks: nothing that we do to a connection calls back before we return.
  bev_.reset(
      bufferevent_socket_new(loop_->base(), fd, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
  bufferevent_setcb(
      bev_.get(),
      [](bufferevent*, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        if (self->closed()) return;
        self->OnRead();
        // Held back by hand. With libevent's own high watermark and deferred callbacks, a reader
        // that leaves bytes over the mark is called again at once, for ever, and no turn ends.
        if (self->Available() < kMaxBufferedBytes || self->held_back_) return;
        self->held_back_ = true;
        bufferevent_disable(self->bev_.get(), EV_READ);
        self->LookForEnd();
      },
      [](bufferevent*, void* arg) {
        // libevent also calls when a fresh socket turns writable, by then perhaps with an answer
        // queued: taken for drained, that answer was once shut off before it went out.
        auto* self = static_cast<Connection*>(arg);
        if (!self->closed() && self->Drained()) self->OnDrained();
      },
      [](bufferevent*, short what, void* arg) {
        auto* self = static_cast<Connection*>(arg);
        if (self->closed()) return;
        if ((what & BEV_EVENT_CONNECTED) != 0) return self->OnConnected();
        self->OnEnd((what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
      },
      this);
  bufferevent_enable(bev_.get(), EV_READ | EV_WRITE);
}

void Connection::Adopt(evutil_socket_t fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  Attach(fd);
}

int Connection::Release(std::string* unread) {
  if (bev_ == nullptr) return -1;
  *unread = Peek(Available());
  const int fd = fcntl(descriptor(), F_DUPFD_CLOEXEC, 0);  // ours is closed with its bufferevent
  if (fd >= 0) Close("handed-over");
  return fd;
}

void Connection::PrependInput(std::string_view bytes) {
  if (bytes.empty()) return;
  evbuffer_prepend(bufferevent_get_input(bev_.get()), bytes.data(), bytes.size());
  bufferevent_trigger(bev_.get(), EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void Connection::SetHighPriority() { bufferevent_priority_set(bev_.get(), Loop::kHighPriority); }

// Where nothing is read, the end that stands behind the bytes is not seen: a peer that had sent
// much and left was taken for one that waits.
void Connection::LookForEnd() {
  look_ = loop_->deadlines().At(loop_->Now() + kLookS, [this] {
    look_ = Deadlines::kNone;
    if (closed() || !held_back_) return;
    pollfd look{.fd = descriptor(), .events = POLLRDHUP, .revents = 0};
    if (poll(&look, 1, 0) > 0) return OnEnd("peer-closed");
    LookForEnd();
  });
}

bool Connection::HasUnreadInput() const {
  char byte = 0;
  const ssize_t n = recv(descriptor(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

bool Connection::Connect(const sockaddr_in& address) {
  const evutil_socket_t fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  Adopt(fd);
  return bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&address),
                                    sizeof address) == 0;
}

bool Connection::ConnectUnix(const std::string& path) {
  const auto address = UnixAddress(path);
  const evutil_socket_t fd = socket(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  Attach(fd);
  return address &&
         bufferevent_socket_connect(bev_.get(), reinterpret_cast<const sockaddr*>(&*address),
                                    sizeof *address) == 0;
}

void Connection::Write(std::string_view bytes) {
  if (bev_ == nullptr) return;
  out_ += bytes.size();
  bufferevent_write(bev_.get(), bytes.data(), bytes.size());
}

void Connection::WriteNow(std::string_view bytes) {
  if (bev_ == nullptr) return;
  if (Drained()) {
    const ssize_t sent =
        send(descriptor(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
      out_ += static_cast<std::size_t>(sent);
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  if (!bytes.empty()) Write(bytes);
}

std::size_t Connection::Unsent() const {
  return bev_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_output(bev_.get()));
}

int Connection::descriptor() const { return bev_ == nullptr ? -1 : bufferevent_getfd(bev_.get()); }

std::string Connection::PeerAddress() const {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  if (getpeername(descriptor(), reinterpret_cast<sockaddr*>(&peer), &size) != 0) return "-";
  return AddressText(peer);
}

std::size_t Connection::Available() const {
  return bev_ == nullptr ? 0 : evbuffer_get_length(bufferevent_get_input(bev_.get()));
}

std::string Connection::Peek(std::size_t max_bytes) const {
  std::string bytes(std::min(max_bytes, Available()), '\0');
  if (!bytes.empty()) {
    evbuffer_copyout(bufferevent_get_input(bev_.get()), bytes.data(), bytes.size());
  }
  return bytes;
}

void Connection::Consume(std::size_t n) {
  in_ += n;
  evbuffer_drain(bufferevent_get_input(bev_.get()), n);
  if (!held_back_ || Available() >= kMaxBufferedBytes) return;
  held_back_ = false;
  bufferevent_enable(bev_.get(), EV_READ);
}

void Connection::StopReading() {
  if (bev_ != nullptr) bufferevent_disable(bev_.get(), EV_READ);
}

void Connection::ShutdownWrite() {
  if (bev_ != nullptr) shutdown(bufferevent_getfd(bev_.get()), SHUT_WR);
}

void Connection::Close(const char* reason) {
  if (bev_ == nullptr) return;
  loop_->deadlines().Drop(&look_);
  // libevent lets go of it only in a later turn: many closed in one turn to make room for others
  // would still hold their descriptors when those come.
  const evutil_socket_t fd = bufferevent_getfd(bev_.get());
  if (fd >= 0) bufferevent_setfd(bev_.get(), -1);
  bev_.reset();
  if (fd >= 0) evutil_closesocket(fd);
  LogLine(Level::kInfo) << what_ << " end reason=" << reason << " in=" << in_ << " out=" << out_
                        << " s=" << loop_->Now() - began_;
}

}  // namespace millethollow
