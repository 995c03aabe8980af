#include "net/peers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/connection.h"

namespace millethollow {
namespace {

constexpr int kMaxDatagramsPerTurn = 64;  // a turn, so that a flood of messages can't hold it up

}  // namespace

Peers::~Peers() {
  readable_.reset();
  if (fd_ >= 0) close(fd_);
}

void Peers::SetReceiving(bool enable) {
  if (readable_ == nullptr) return;
  if (enable) {
    event_add(readable_.get(), nullptr);
  } else {
    event_del(readable_.get());
  }
}

bool Peers::Open(int fd, const std::string& listen, const std::vector<std::string>& peers,
                 const std::string& broadcast, std::string* error) {
  const auto own = ParseAddress(listen);
  if (!own) return *error = "not a peer address: '" + listen + "'", false;
  for (const std::string& peer : peers) {
    const auto address = ParseAddress(peer);
    if (!address) return *error = "not a peer address: '" + peer + "'", false;
    peers_.push_back(*address);
  }
  if (const auto address = ParseAddress(broadcast)) {
    broadcast_ = *address;
    has_broadcast_ = true;
  }
  fd_ = fd >= 0 ? fd : socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;  // a process that is silent and has it yet must not keep us from our start
  if (fd < 0 && fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (fd_ < 0 ||
      (fd < 0 && bind(fd_, reinterpret_cast<const sockaddr*>(&*own), sizeof *own) != 0)) {
    return *error = "cannot bind " + listen + ": " + std::strerror(errno), false;
  }
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Peers*>(self)->Receive(); }, this));
  event_add(readable_.get(), nullptr);
  return true;
}

void Peers::SendMessage(int recipient, const std::string& body) {
  if (body.size() > kMaxMessageBytes) {
    counters_->too_long += 1;
  } else if (recipient >= 0 && static_cast<std::size_t>(recipient) < peers_.size()) {
    SendTo(peers_[static_cast<std::size_t>(recipient)], body);
  } else if (recipient >= 0) {
    counters_->no_address += 1;
  } else if (has_broadcast_) {
    SendTo(broadcast_, body);
  } else {
    for (const sockaddr_in& peer : peers_) SendTo(peer, body);
  }
}

void Peers::SendTo(const sockaddr_in& to, const std::string& body) {
  const ssize_t sent = sendto(fd_, body.data(), body.size(), MSG_DONTWAIT,
                              reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (sent < 0 || static_cast<std::size_t>(sent) != body.size()) {
    counters_->not_sent += 1;
    return;
  }
  counters_->messages_out += 1;
  counters_->bytes_out += body.size();
}

int Peers::SenderAt(const sockaddr_in& address) const {
  const auto it = std::find_if(peers_.begin(), peers_.end(), [&](const sockaddr_in& peer) {
    return peer.sin_addr.s_addr == address.sin_addr.s_addr && peer.sin_port == address.sin_port;
  });
  return it == peers_.end() ? -1 : static_cast<int>(it - peers_.begin());
}

void Peers::Receive() {
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    char bytes[kMaxMessageBytes + 1];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t length =
        recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (length < 0) {
      const bool empty = errno == EAGAIN || errno == EWOULDBLOCK;
      if (!empty) counters_->unreadable += 1;
      return;
    }
    const int sender = SenderAt(from);
    if (sender < 0) {
      counters_->strangers += 1;
    } else if (static_cast<std::size_t>(length) > kMaxMessageBytes) {
      counters_->unreadable += 1;
    } else {
      on_message_(sender, std::string(bytes, static_cast<std::size_t>(length)));
    }
  }
}

}  // namespace millethollow
