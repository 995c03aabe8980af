#include "net/cluster/transport.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/cluster/frame.h"
#include "net/connection.h"

namespace millethollow::cluster {
namespace {

constexpr std::size_t kMostIncoming = 32, kMostOutgoing = 32;
constexpr double kStreamS = 3.0;     // from connecting to the end of its one frame
constexpr int kMostInOneTurn = 256;  // datagrams: a flood must not hold up the turn

}  // namespace

// One long frame, one way.
class Stream final : public Connection {
 public:
  Stream(Transport* transport, Loop* loop, bool outgoing)
      : Connection(loop, "cluster"), transport_(transport), outgoing_(outgoing) {
    (outgoing_ ? transport_->outgoing_ : transport_->incoming_) += 1;
    limit_ = loop->deadlines().At(loop->Now() + kStreamS, [this] {
      limit_ = Deadlines::kNone;
      Finish("too-slow");
    });
  }
  ~Stream() override {
    loop_->deadlines().Drop(&limit_);
    (outgoing_ ? transport_->outgoing_ : transport_->incoming_) -= 1;
  }
  void Take(evutil_socket_t fd) { Adopt(fd); }
  void Carry(const sockaddr_in& to, const std::string& frame) {
    if (!Connect(to)) return Finish("no-connection");
    Write(frame);
  }

 private:
  void OnRead() override {
    if (outgoing_) return Consume(Available());
    in_ += Peek(Available());
    Consume(Available());
    if (in_.size() < kHeaderBytes) return;
    const std::size_t length = LengthOf(in_);
    if (length == 0 || in_.size() > length) return Finish("nonsense");
    if (in_.size() < length) return;
    transport_->counters_.frames_in += 1;
    transport_->counters_.bytes_in += in_.size();
    transport_->heard_(in_, nullptr);
    Finish("whole");
  }
  void OnDrained() override {
    if (outgoing_) EndSending();  // the other closes once it has read all
  }
  void OnEnd(const char* reason) override { Finish(reason); }
  void Finish(const char* reason) {
    if (!closed()) Close(reason);
    transport_->Drop(this);
  }

  Transport* transport_;
  bool outgoing_;
  std::string in_;
  Deadlines::Ticket limit_ = Deadlines::kNone;
};

Transport::Transport(Loop* loop, Heard heard) : loop_(loop), heard_(std::move(heard)) {}

Transport::~Transport() {
  readable_.reset();
  streams_.clear();
  if (fd_ >= 0) close(fd_);
}

bool Transport::Open(const std::string& address, std::string* why) {
  const auto at = ParseAddress(address);
  if (!at) return *why = "cluster: not an address: '" + address + "'", false;
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0) {
    return *why = "cluster: cannot bind " + address + ": " + std::strerror(errno), false;
  }
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Transport*>(self)->Receive(); }, this));
  event_add(readable_.get(), nullptr);
  return listener_.Open(
      loop_, address,
      [this](evutil_socket_t fd) {
        if (incoming_ >= kMostIncoming) {
          close(fd);
          return;
        }
        auto stream = std::make_unique<Stream>(this, loop_, false);
        Stream* raw = stream.get();
        streams_.emplace(raw, std::move(stream));
        raw->Take(fd);
      },
      why);
}

void Transport::Send(membership::NodeId to, const std::string& frame) {
  const auto peer = peers_.find(to);
  if (peer == peers_.end() || frame.size() > kMostFrame) {
    counters_.dropped += 1;
    return;
  }
  counters_.frames_out += 1;
  counters_.bytes_out += frame.size();
  if (frame.size() <= kMostDatagram) {
    return SendTo(peer->second, frame);
  }
  if (outgoing_ >= kMostOutgoing) {
    counters_.dropped += 1;
    return;
  }
  counters_.streams += 1;
  auto stream = std::make_unique<Stream>(this, loop_, true);
  Stream* raw = stream.get();
  streams_.emplace(raw, std::move(stream));
  raw->Carry(peer->second, frame);
}

void Transport::SendTo(const sockaddr_in& to, const std::string& datagram) {
  // Best effort: a full buffer loses the datagram, as the network may.
  (void)sendto(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void Transport::Receive() {
  char bytes[kMostDatagram + 1];
  for (int i = 0; i < kMostInOneTurn; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t n =
        recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0) return;
    counters_.frames_in += 1;
    counters_.bytes_in += static_cast<std::uint64_t>(n);
    heard_({bytes, static_cast<std::size_t>(n)}, &from);
  }
}

void Transport::Drop(Stream* stream) {
  loop_->Later([this, stream] { streams_.erase(stream); });
}

}  // namespace millethollow::cluster
