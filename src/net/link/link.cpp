#include "net/link/link.h"

#include <utility>

#include "logging/log.h"
#include "net/connection.h"
#include "net/link/frame.h"

namespace millethollow::link {
namespace {

constexpr std::size_t kMaxUnsentBytes = 16 * 1024 * 1024;  // a peer that does not read is lost
constexpr double kRetryS = 0.1;
constexpr int kPatience = 4;

// Either end: a stream of frames.
class Framed : public Connection {
 public:
  using Connection::Connection;
  void Send(const std::string& frame) {
    if (closed()) return;
    Write(frame);
    if (Unsent() > kMaxUnsentBytes) Fail("reads-too-slowly");
  }
  void Fail(const char* reason) {
    if (closed()) return;
    Close(reason);
    OnLost();
  }

 protected:
  virtual bool OnFrame(Reader& frame) = 0;  // false: the frame is bad
  virtual void OnLost() = 0;

 private:
  void OnRead() override {
    while (!closed() && Available() > 0) {
      const std::string bytes = Peek(64 * 1024);
      Consume(bytes.size());
      decoder_.Feed(bytes);
      for (auto frame = decoder_.Next(); frame && !closed(); frame = decoder_.Next()) {
        Reader reader(*frame);
        if (!OnFrame(reader)) return Fail("bad-frame");
      }
      if (decoder_.bad()) return Fail("bad-frame");
    }
  }
  void OnEnd(const char* reason) override { Fail(reason); }
  FrameDecoder decoder_;
};

}  // namespace

// ---- the planner's end ----

class Channel final : public Framed, public ForwarderPort {
 public:
  Channel(PlannerServer* server, Loop* loop, evutil_socket_t fd)
      : Framed(loop, "forwarder"), server_(server) {
    Adopt(fd);
    number_ = server->planner_->AddForwarder(this, false);
    Framed::Send(Writer(Kind::kWelcome).U64(number_).Done());
    for (const auto& [name, at] : server->addresses_) SetAddress(name, at.first, at.second);
  }
  void SetAddress(const std::string& name, const std::string& address, std::size_t max_in_flight) {
    Framed::Send(Writer(Kind::kAddress).Text(name).Text(address).U64(max_in_flight).Done());
  }

  void Send(RequestId id, int attempt, const std::string& worker) override {
    Framed::Send(Writer(Kind::kSend).U64(id).I32(attempt).Text(worker).Done());
  }
  void Cancel(RequestId id, int attempt) override {
    Framed::Send(Writer(Kind::kCancel).U64(id).I32(attempt).Done());
  }
  void Probe(const std::string& worker) override {
    Framed::Send(Writer(Kind::kProbe).Text(worker).Done());
  }
  void Answer(RequestId id, const FinalAnswer& a) override {
    Framed::Send(Writer(Kind::kAnswer)
                     .U64(id)
                     .U8(static_cast<std::uint8_t>(a.kind))
                     .I32(a.attempt)
                     .Real(a.retry_after_s)
                     .Done());
  }

 private:
  bool Mine(RequestId id) const { return id >> kForwarderShift == number_; }

  bool OnFrame(Reader& f) override {
    Planner& planner = *server_->planner_;
    switch (f.kind()) {
      case Kind::kTaken: {
        Request e;
        e.id = f.U64();
        const std::string cls = f.Text();
        e.tenant = f.I32();
        e.wire_id = f.Text();
        e.affinity = f.Text();
        // As time left: the two processes' clocks began at different moments.
        e.expires_at = loop_->Now() + f.Real();
        e.slots = f.Real();
        e.memory = f.Real();
        e.size_hint_s = f.Real();
        e.retry = f.U8() != 0;
        e.body_bytes = f.U64();
        if (!f.Whole() || !Mine(e.id)) return false;
        e.cls = planner.ClassIndex(cls);
        if (e.cls < 0) {  // of a file that only one of the two has read yet
          Answer(e.id, {.kind = FinalAnswer::Kind::kRejected});
          return true;
        }
        planner.OnRequest(e);
        return true;
      }
      case Kind::kClientGone: {
        const RequestId id = f.U64();
        if (!f.Whole() || !Mine(id)) return false;
        planner.OnRequestCancelled(id);
        return true;
      }
      case Kind::kBegan: {
        const RequestId id = f.U64();
        const int attempt = f.I32();
        if (!f.Whole() || !Mine(id) || attempt < 0) return false;
        planner.OnAttemptStarted(id, attempt);
        return true;
      }
      case Kind::kEnded: {
        const RequestId id = f.U64();
        const int attempt = f.I32();
        const Outcome outcome = f.GetOutcome();
        if (!f.Whole() || !Mine(id) || attempt < 0) return false;
        planner.OnAttemptEnded(id, attempt, outcome);
        return true;
      }
      case Kind::kProbed: {
        const std::string worker = f.Text();
        const Outcome outcome = f.GetOutcome();
        if (!f.Whole()) return false;
        planner.OnProbeAnswered(worker, outcome);
        return true;
      }
      case Kind::kWorker: {
        balancing::Endpoint member = f.GetMember();
        member.slots = f.Real();
        if (!f.Whole()) return false;
        planner.OnLocalWorkerChanged(number_, member);
        return true;
      }
      default:
        return false;
    }
  }
  void OnLost() override { server_->Drop(this); }

  friend class PlannerServer;
  PlannerServer* server_;
  std::uint64_t number_ = 0;
};

PlannerServer::PlannerServer(Loop* loop, Planner* planner) : loop_(loop), planner_(planner) {}
PlannerServer::~PlannerServer() = default;

bool PlannerServer::Listen(const std::string& path, std::string* error) {
  return listener_.OpenUnix(
      loop_, path,
      [this](evutil_socket_t fd) {
        auto channel = std::make_unique<Channel>(this, loop_, fd);
        Channel* raw = channel.get();
        if (!raw->closed()) channels_.emplace(raw, std::move(channel));
      },
      error);
}

void PlannerServer::SetAddress(const std::string& worker, const std::string& address,
                               std::size_t max_in_flight) {
  const auto at = std::pair{address, max_in_flight};
  auto [it, fresh] = addresses_.try_emplace(worker, at);
  if (!fresh && it->second == at) return;
  it->second = at;
  for (const auto& [raw, channel] : channels_) raw->SetAddress(worker, address, max_in_flight);
}

void PlannerServer::Drop(Channel* channel) {
  planner_->OnForwarderLost(channel->number_);
  loop_->Defer([this, channel] { channels_.erase(channel); });
}

// ---- the forwarder's end ----

class PlannerConnection final : public Framed {
 public:
  PlannerConnection(PlannerClient* client, Loop* loop) : Framed(loop, "planner"), client_(client) {}
  bool Open(const std::string& path) { return ConnectUnix(path); }

 private:
  bool OnFrame(Reader& f) override {
    Forwarder& forwarder = *client_->forwarder_;
    switch (f.kind()) {
      case Kind::kWelcome: {
        const std::uint64_t number = f.U64();
        if (!f.Whole()) return false;
        forwarder.SetLink(client_, number);
        client_->linked_ = true;
        client_->failures_ = 0;
        client_->hooks_.linked(true);
        return true;
      }
      case Kind::kAddress: {
        const std::string worker = f.Text(), address = f.Text();
        const std::uint64_t max_in_flight = f.U64();
        if (!f.Whole()) return false;
        client_->hooks_.address(worker, address, max_in_flight);
        return true;
      }
      case Kind::kSend: {
        const RequestId id = f.U64();
        const int attempt = f.I32();
        const std::string worker = f.Text();
        if (!f.Whole()) return false;
        forwarder.Send(id, attempt, worker);
        return true;
      }
      case Kind::kCancel: {
        const RequestId id = f.U64();
        const int attempt = f.I32();
        if (!f.Whole()) return false;
        forwarder.Cancel(id, attempt);
        return true;
      }
      case Kind::kProbe: {
        const std::string worker = f.Text();
        if (!f.Whole()) return false;
        forwarder.Probe(worker);
        return true;
      }
      case Kind::kAnswer: {
        const RequestId id = f.U64();
        const std::uint8_t kind = f.U8();
        FinalAnswer answer{.attempt = f.I32(), .retry_after_s = f.Real()};
        if (!f.Whole() || kind > static_cast<std::uint8_t>(FinalAnswer::Kind::kDuplicateId))
          return false;
        answer.kind = static_cast<FinalAnswer::Kind>(kind);
        forwarder.Answer(id, answer);
        return true;
      }
      default:
        return false;
    }
  }
  void OnLost() override { client_->Lost(); }
  PlannerClient* client_;
};

PlannerClient::PlannerClient(Forwarder* forwarder, std::vector<std::string> paths,
                             std::size_t first, Hooks hooks)
    : forwarder_(forwarder), paths_(std::move(paths)), next_(first), hooks_(std::move(hooks)) {}
PlannerClient::~PlannerClient() { forwarder_->loop()->deadlines().Drop(&retry_); }

void PlannerClient::Start() {
  connection_ = std::make_unique<PlannerConnection>(this, forwarder_->loop());
  if (!connection_->Open(paths_[next_ % paths_.size()])) connection_->Fail("no-connection");
}

void PlannerClient::Lost() {
  if (std::exchange(linked_, false)) {
    LogLine(Level::kWarn) << "planner lost: " << paths_[next_ % paths_.size()];
    ++next_;  // another may be alive
    hooks_.linked(false);
    forwarder_->OnPlannerLost();
  }
  // At the start all come up at once: a planner gets a moment before another takes its forwarders.
  if (++failures_ % kPatience == 0) ++next_;
  std::shared_ptr<PlannerConnection> old(std::move(connection_));
  Loop* loop = forwarder_->loop();
  loop->Defer([old] {});
  loop->deadlines().Drop(&retry_);
  retry_ = loop->deadlines().At(loop->Now() + kRetryS, [this] {
    retry_ = Deadlines::kNone;
    Start();
  });
}

void PlannerClient::Write(const std::string& frame) {
  if (connection_ != nullptr && linked_) connection_->Send(frame);
}

void PlannerClient::OnRequest(const Request& e) {
  Write(Writer(Kind::kTaken)
            .U64(e.id)
            .Text(hooks_.class_name(e.cls))
            .I32(e.tenant)
            .Text(e.wire_id)
            .Text(e.affinity)
            .Real(e.expires_at - forwarder_->loop()->Now())
            .Real(e.slots)
            .Real(e.memory)
            .Real(e.size_hint_s)
            .U8(e.retry)
            .U64(e.body.size())
            .Done());
}
void PlannerClient::OnRequestCancelled(RequestId id) {
  Write(Writer(Kind::kClientGone).U64(id).Done());
}
void PlannerClient::OnAttemptStarted(RequestId id, int attempt) {
  Write(Writer(Kind::kBegan).U64(id).I32(attempt).Done());
}
void PlannerClient::OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) {
  Write(Writer(Kind::kEnded).U64(id).I32(attempt).Put(outcome).Done());
}
void PlannerClient::OnProbeAnswered(const std::string& worker, const Outcome& outcome) {
  Write(Writer(Kind::kProbed).Text(worker).Put(outcome).Done());
}
void PlannerClient::OnWorkerChanged(const balancing::Endpoint& member) {
  Write(Writer(Kind::kWorker).Put(member).Real(member.slots).Done());
}

}  // namespace millethollow::link
