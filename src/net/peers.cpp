#include "net/peers.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/connection.h"

namespace millethollow {

Peers::~Peers() {
  readable_.reset();
  if (fd_ >= 0) close(fd_);
}

void Peers::Listen(bool on) {
  if (readable_ == nullptr) return;
  if (on) {
    event_add(readable_.get(), nullptr);
  } else {
    event_del(readable_.get());
  }
}

bool Peers::Open(int fd, const std::string& listen, const std::vector<std::string>& peers,
                 const std::string& all, std::string* why) {
  const auto own = ParseAddress(listen);
  if (!own) return *why = "not a peer address: '" + listen + "'", false;
  for (const std::string& peer : peers) {
    const auto address = ParseAddress(peer);
    if (!address) return *why = "not a peer address: '" + peer + "'", false;
    peers_.push_back(*address);
  }
  if (const auto address = ParseAddress(all)) {
    all_ = *address;
    has_all_ = true;
  }
  fd_ = fd >= 0 ? fd : socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;  // a process that is silent and has it yet must not keep us from our start
  if (fd < 0 && fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
  if (fd_ < 0 ||
      (fd < 0 && bind(fd_, reinterpret_cast<const sockaddr*>(&*own), sizeof *own) != 0)) {
    return *why = "cannot bind " + listen + ": " + std::strerror(errno), false;
  }
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Peers*>(self)->Receive(); }, this));
  event_add(readable_.get(), nullptr);
  return true;
}

void Peers::Tell(int whom, const std::string& body) {
  if (fd_ < 0 || body.size() > kMostBytes) return;
  const auto send = [&](const sockaddr_in& to) {
    // Best effort: a full buffer loses the message, as the network may.
    (void)sendto(fd_, body.data(), body.size(), MSG_DONTWAIT,
                 reinterpret_cast<const sockaddr*>(&to), sizeof to);
  };
  if (whom >= 0 && static_cast<std::size_t>(whom) < peers_.size()) {
    send(peers_[static_cast<std::size_t>(whom)]);
  } else if (whom < 0 && has_all_) {
    send(all_);
  } else if (whom < 0) {
    for (const sockaddr_in& peer : peers_) send(peer);
  }
}

void Peers::Receive() {
  // Bounded, so that a flood of messages cannot hold up the turn.
  for (int i = 0; i < 64; ++i) {
    char bytes[kMostBytes + 1];
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t n =
        recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0) return;
    if (static_cast<std::size_t>(n) > kMostBytes) continue;
    for (std::size_t p = 0; p < peers_.size(); ++p) {
      if (peers_[p].sin_addr.s_addr != from.sin_addr.s_addr ||
          peers_[p].sin_port != from.sin_port) {
        continue;
      }
      heard_(static_cast<int>(p), std::string(bytes, static_cast<std::size_t>(n)));
      break;
    }
  }
}

}  // namespace millethollow
