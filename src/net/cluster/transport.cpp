#include "net/cluster/transport.h"

#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "net/cluster/frame.h"
#include "net/connection.h"

namespace millethollow::cluster {
namespace {

constexpr std::size_t kMaxIncoming = 160, kMaxOutgoing = 160;
constexpr std::size_t kMaxUnsentBytes = 4 * 1024 * 1024;  // to one that does not read
constexpr double kStreamS = 3.0;           // from connecting to the end of its first frame
constexpr double kIdleS = 20.0;            // and to the next, on a line that stays
constexpr int kMaxDatagramsPerTurn = 256;  // datagrams: a flood must not hold up the turn

}  // namespace

// Long frames, one way. One that goes out alone ends with its frame; a line stays for more.
class Stream final : public Connection {
 public:
  Stream(Transport* transport, Loop* loop, bool outgoing, membership::NodeId line = 0)
      : Connection(loop, "cluster"), transport_(transport), outgoing_(outgoing), line_(line) {
    (outgoing_ ? transport_->outgoing_ : transport_->incoming_) += 1;
    Limit(kStreamS);
  }
  ~Stream() override {
    loop_->deadlines().Drop(&limit_);
    (outgoing_ ? transport_->outgoing_ : transport_->incoming_) -= 1;
  }
  void Take(evutil_socket_t fd) { Adopt(fd); }
  void Carry(const sockaddr_in& to, const std::string& frame) {
    if (!Connect(to)) return Finish("no-connection");
    // A machine that is gone acknowledges nothing and closes nothing.
    const auto max_ms = static_cast<unsigned>(1000 * kStreamS);
    setsockopt(descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &max_ms, sizeof max_ms);
    Write(frame);
  }
  void End(const char* reason) { Finish(reason); }
  // False: what was sent before has not gone out yet, and there is no room for more behind it.
  bool Add(const std::string& frame) {
    if (Unsent() + frame.size() > kMaxUnsentBytes) return false;
    if (Drained()) Limit(kStreamS);
    Write(frame);
    return true;
  }

 private:
  void Limit(double after_s) {
    loop_->deadlines().Drop(&limit_);
    limit_ = loop_->deadlines().At(loop_->Now() + after_s, [this] {
      limit_ = Deadlines::kNone;
      Finish("too-slow");
    });
  }
  void OnRead() override {
    if (outgoing_) return Consume(Available());
    in_ += Peek(Available());
    Consume(Available());
    std::size_t at = 0;
    while (!closed() && in_.size() - at >= kHeaderBytes) {
      const std::string_view rest = std::string_view(in_).substr(at);
      const std::size_t length = LengthOf(rest.substr(0, kHeaderBytes));
      if (length == 0) return Finish("nonsense");
      if (rest.size() < length) break;
      Limit(kIdleS);
      transport_->counters_.frames_in += 1;
      transport_->counters_.bytes_in += length;
      transport_->on_frame_(rest.substr(0, length), nullptr);
      at += length;
    }
    in_.erase(0, at);
  }
  void OnDrained() override {
    if (!outgoing_) return;
    if (line_ == 0) return ShutdownWrite();  // the other closes once it has read all
    Limit(kIdleS / 2);
  }
  void OnEnd(const char* reason) override { Finish(reason); }
  void Finish(const char* reason) {
    if (!closed()) Close(reason);
    if (line_ != 0) transport_->lines_.erase(line_);
    line_ = 0;
    transport_->Drop(this);
  }

  Transport* transport_;
  bool outgoing_;
  membership::NodeId line_;  // to whom; 0: one frame alone
  std::string in_;           // less than a frame and what came with it
  Deadlines::Ticket limit_ = Deadlines::kNone;
};

Transport::Transport(Loop* loop, FrameHandler on_frame)
    : loop_(loop), on_frame_(std::move(on_frame)) {}

Transport::~Transport() {
  readable_.reset();
  streams_.clear();
  if (fd_ >= 0) close(fd_);
}

bool Transport::Open(const std::string& address, std::string* error) {
  const auto at = ParseAddress(address);
  if (!at) return *error = "cluster: not an address: '" + address + "'", false;
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0) {
    return *error = "cluster: cannot bind " + address + ": " + std::strerror(errno), false;
  }
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Transport*>(self)->Receive(); }, this));
  event_add(readable_.get(), nullptr);
  return listener_.Open(
      loop_, address,
      [this](evutil_socket_t fd) {
        if (incoming_ >= kMaxIncoming) {
          close(fd);
          return;
        }
        auto stream = std::make_unique<Stream>(this, loop_, false);
        Stream* raw = stream.get();
        streams_.emplace(raw, std::move(stream));
        raw->Take(fd);
      },
      error);
}

void Transport::Send(membership::NodeId to, const std::string& frame, bool ordered) {
  const auto peer = peers_.find(to);
  if (peer == peers_.end() || frame.size() > kMaxFrameBytes) {
    counters_.dropped += 1;
    return;
  }
  counters_.frames_out += 1;
  counters_.bytes_out += frame.size();
  if (ordered) return SendOrdered(to, peer->second, frame);
  if (frame.size() <= kMaxDatagramBytes) return SendTo(peer->second, frame);
  if (outgoing_ >= kMaxOutgoing) {
    counters_.dropped += 1;
    return;
  }
  counters_.streams += 1;
  auto stream = std::make_unique<Stream>(this, loop_, true);
  Stream* raw = stream.get();
  streams_.emplace(raw, std::move(stream));
  raw->Carry(peer->second, frame);
}

void Transport::SendOrdered(membership::NodeId to, const sockaddr_in& address,
                            const std::string& frame) {
  const auto line = lines_.find(to);
  if (line != lines_.end()) {
    if (!line->second->Add(frame)) counters_.dropped += 1;
    return;
  }
  if (outgoing_ >= kMaxOutgoing) {
    counters_.dropped += 1;
    return;
  }
  counters_.streams += 1;
  auto stream = std::make_unique<Stream>(this, loop_, true, to);
  Stream* raw = stream.get();
  streams_.emplace(raw, std::move(stream));
  lines_[to] = raw;
  raw->Carry(address, frame);
}

void Transport::Renew(membership::NodeId to) {
  const auto line = lines_.find(to);
  if (line != lines_.end()) line->second->End("other-process");
}

void Transport::SendTo(const sockaddr_in& to, const std::string& datagram) {
  // Best effort: a full buffer loses the datagram, as the network may.
  (void)sendto(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void Transport::Receive() {
  char bytes[kMaxDatagramBytes + 1];
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t n =
        recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (n < 0) return;
    counters_.frames_in += 1;
    counters_.bytes_in += static_cast<std::uint64_t>(n);
    on_frame_({bytes, static_cast<std::size_t>(n)}, &from);
  }
}

void Transport::Drop(Stream* stream) {
  loop_->Defer([this, stream] { streams_.erase(stream); });
}

}  // namespace millethollow::cluster
