#include "net/peers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "net/connection.h"

namespace millethollow {
namespace {

constexpr int kMaxDatagramsPerTurn = 64;  // a flood of messages must not block the loop

}  // namespace

Peers::~Peers() {
  read_event_.reset();
  if (socket_ >= 0) close(socket_);
}

void Peers::SetReceiving(bool enable) {
  if (read_event_ == nullptr) return;
  if (enable) {
    event_add(read_event_.get(), nullptr);
  } else {
    event_del(read_event_.get());
  }
}

bool Peers::Open(int fd, const std::string& listen, const std::vector<std::string>& peers,
                 const std::string& broadcast, std::string* error) {
  const auto own_address = ParseAddress(listen);
  if (!own_address) return *error = "not a peer address: '" + listen + "'", false;
  for (const std::string& peer : peers) {
    const auto address = ParseAddress(peer);
    if (!address) return *error = "not a peer address: '" + peer + "'", false;
    peers_.push_back(*address);
  }
  if (const auto address = ParseAddress(broadcast)) {
    broadcast_ = *address;
    has_broadcast_ = true;
  }
  socket_ = fd >= 0 ? fd : socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;  // a hung predecessor that still holds the port must not prevent the start
  if (fd < 0 && socket_ >= 0)
    setsockopt(socket_, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
  if (socket_ < 0 || (fd < 0 && bind(socket_, reinterpret_cast<const sockaddr*>(&*own_address),
                                     sizeof *own_address) != 0)) {
    return *error = "cannot bind " + listen + ": " + std::strerror(errno), false;
  }
  read_event_.reset(event_new(
      loop_->base(), socket_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Peers*>(self)->Receive(); }, this));
  event_add(read_event_.get(), nullptr);
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
  const ssize_t sent = sendto(socket_, body.data(), body.size(), MSG_DONTWAIT,
                              reinterpret_cast<const sockaddr*>(&to), sizeof to);
  if (sent < 0 || static_cast<std::size_t>(sent) != body.size()) {
    counters_->not_sent += 1;
    return;
  }
  counters_->messages_out += 1;
  counters_->bytes_out += body.size();
}

int Peers::IndexOfPeer(const sockaddr_in& address) const {
  const auto entry = std::find_if(peers_.begin(), peers_.end(), [&](const sockaddr_in& peer) {
    return peer.sin_addr.s_addr == address.sin_addr.s_addr && peer.sin_port == address.sin_port;
  });
  return entry == peers_.end() ? -1 : static_cast<int>(entry - peers_.begin());
}

void Peers::Receive() {
  for (int received = 0; received < kMaxDatagramsPerTurn; ++received) {
    char bytes[kMaxMessageBytes + 1];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t length =
        recvfrom(socket_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (length < 0) {
      const bool empty = errno == EAGAIN || errno == EWOULDBLOCK;
      if (!empty) counters_->unreadable += 1;
      return;
    }
    const int sender = IndexOfPeer(from);
    if (sender < 0) {
      counters_->unknown_senders += 1;
    } else if (static_cast<std::size_t>(length) > kMaxMessageBytes) {
      counters_->unreadable += 1;
    } else {
      on_message_(sender, std::string(bytes, static_cast<std::size_t>(length)));
    }
  }
}

}  // namespace millethollow
