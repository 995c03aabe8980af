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

constexpr std::size_t kMaxIncomingStreams = 160, kMaxOutgoingStreams = 160;
// Backpressure limit: with more unsent on a stream, further frames are dropped.
constexpr std::size_t kMaxUnsentBytes = 4 * 1024 * 1024;
constexpr double kFrameTimeoutS = 3.0;     // from connecting to the end of the first frame
constexpr double kIdleTimeoutS = 20.0;     // from one frame to the next on an ordered stream
constexpr int kMaxDatagramsPerTurn = 256;  // so that many datagrams do not block the loop

}  // namespace

// A TCP connection that carries frames one way. A stream for a single frame ends with it; an
// ordered stream stays open for further frames. Owned by the Transport.
class Stream final : public Connection {
 public:
  Stream(Transport* transport, Loop* loop, bool outgoing, membership::NodeId ordered_peer = 0)
      : Connection(loop, "cluster"),
        transport_(transport),
        outgoing_(outgoing),
        ordered_peer_(ordered_peer) {
    (outgoing_ ? transport_->outgoing_streams_ : transport_->incoming_streams_) += 1;
    SetTimeout(kFrameTimeoutS);
  }
  ~Stream() override {
    loop_->deadlines().Drop(&timeout_);
    (outgoing_ ? transport_->outgoing_streams_ : transport_->incoming_streams_) -= 1;
  }
  void AdoptSocket(evutil_socket_t fd) { Adopt(fd); }
  void ConnectAndSend(const sockaddr_in& to, const std::string& frame) {
    if (!Connect(to)) return CloseStream("no-connection");
    // A machine that has failed neither acknowledges data nor closes the connection.
    const auto max_ms = static_cast<unsigned>(1000 * kFrameTimeoutS);
    setsockopt(descriptor(), IPPROTO_TCP, TCP_USER_TIMEOUT, &max_ms, sizeof max_ms);
    Write(frame);
  }
  void Abort(const char* reason) { CloseStream(reason); }
  // False if too much is unsent already; then the frame is not sent.
  bool Append(const std::string& frame) {
    if (Unsent() + frame.size() > kMaxUnsentBytes) return false;
    if (Drained()) SetTimeout(kFrameTimeoutS);
    Write(frame);
    return true;
  }

 private:
  void SetTimeout(double after_s) {
    loop_->deadlines().Drop(&timeout_);
    timeout_ = loop_->deadlines().At(loop_->Now() + after_s, [this] {
      timeout_ = Deadlines::kNone;
      CloseStream("too-slow");
    });
  }
  void OnRead() override {
    if (outgoing_) return Consume(Available());
    received_ += Peek(Available());
    Consume(Available());
    std::size_t offset = 0;
    while (!closed() && received_.size() - offset >= kHeaderBytes) {
      const std::string_view rest = std::string_view(received_).substr(offset);
      const std::size_t length = FrameLength(rest.substr(0, kHeaderBytes));
      if (length == 0) return CloseStream("nonsense");
      if (rest.size() < length) break;
      SetTimeout(kIdleTimeoutS);
      transport_->counters_.frames_in += 1;
      transport_->counters_.bytes_in += length;
      transport_->on_frame_(rest.substr(0, length), nullptr);
      offset += length;
    }
    received_.erase(0, offset);
  }
  void OnDrained() override {
    if (!outgoing_) return;
    if (ordered_peer_ == 0) return ShutdownWrite();  // the receiver closes after reading all of it
    SetTimeout(kIdleTimeoutS / 2);
  }
  void OnEnd(const char* reason) override { CloseStream(reason); }
  void CloseStream(const char* reason) {
    if (!closed()) Close(reason);
    if (ordered_peer_ != 0) transport_->ordered_streams_.erase(ordered_peer_);
    ordered_peer_ = 0;
    transport_->RemoveStream(this);
  }

  Transport* transport_;
  bool outgoing_;
  membership::NodeId ordered_peer_;  // the receiver of ordered frames; 0: a single frame
  std::string received_;             // the beginning of a frame that is not complete yet
  Deadlines::TimerId timeout_ = Deadlines::kNone;
};

Transport::Transport(Loop* loop, FrameHandler on_frame)
    : loop_(loop), on_frame_(std::move(on_frame)) {}

Transport::~Transport() {
  readable_.reset();
  streams_.clear();
  if (fd_ >= 0) close(fd_);
}

bool Transport::Open(const std::string& address, std::string* error) {
  const auto bind_address = ParseAddress(address);
  if (!bind_address) return *error = "cluster: not an address: '" + address + "'", false;
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0 ||
      bind(fd_, reinterpret_cast<const sockaddr*>(&*bind_address), sizeof *bind_address) != 0) {
    return *error = "cluster: cannot bind " + address + ": " + std::strerror(errno), false;
  }
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Transport*>(self)->OnReadable(); },
      this));
  event_add(readable_.get(), nullptr);
  return listener_.Open(
      loop_, address,
      [this](evutil_socket_t fd) {
        if (incoming_streams_ >= kMaxIncomingStreams) {
          close(fd);
          return;
        }
        auto stream = std::make_unique<Stream>(this, loop_, false);
        Stream* raw = stream.get();
        streams_.emplace(raw, std::move(stream));
        raw->AdoptSocket(fd);
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
  if (frame.size() <= kMaxDatagramBytes) return SendDatagram(peer->second, frame);
  if (outgoing_streams_ >= kMaxOutgoingStreams) {
    counters_.dropped += 1;
    return;
  }
  counters_.streams += 1;
  auto stream = std::make_unique<Stream>(this, loop_, true);
  Stream* raw = stream.get();
  streams_.emplace(raw, std::move(stream));
  raw->ConnectAndSend(peer->second, frame);
}

void Transport::SendOrdered(membership::NodeId to, const sockaddr_in& address,
                            const std::string& frame) {
  const auto existing = ordered_streams_.find(to);
  if (existing != ordered_streams_.end()) {
    if (!existing->second->Append(frame)) counters_.dropped += 1;
    return;
  }
  if (outgoing_streams_ >= kMaxOutgoingStreams) {
    counters_.dropped += 1;
    return;
  }
  counters_.streams += 1;
  auto stream = std::make_unique<Stream>(this, loop_, true, to);
  Stream* raw = stream.get();
  streams_.emplace(raw, std::move(stream));
  ordered_streams_[to] = raw;
  raw->ConnectAndSend(address, frame);
}

void Transport::ResetOrderedStream(membership::NodeId to) {
  const auto existing = ordered_streams_.find(to);
  if (existing != ordered_streams_.end()) existing->second->Abort("other-process");
}

void Transport::SendDatagram(const sockaddr_in& to, const std::string& datagram) {
  // Best effort: if the socket's buffer is full the datagram is lost, as it may be in the network.
  (void)sendto(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT,
               reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

void Transport::OnReadable() {
  char bytes[kMaxDatagramBytes + 1];
  for (int i = 0; i < kMaxDatagramsPerTurn; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t bytes_received =
        recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (bytes_received < 0) return;
    counters_.frames_in += 1;
    counters_.bytes_in += static_cast<std::uint64_t>(bytes_received);
    on_frame_({bytes, static_cast<std::size_t>(bytes_received)}, &from);
  }
}

void Transport::RemoveStream(Stream* stream) {
  loop_->Defer([this, stream] { streams_.erase(stream); });
}

}  // namespace millethollow::cluster
