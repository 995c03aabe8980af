#include "net/link/link.h"

#include <algorithm>
#include <utility>

#include "logging/log.h"
#include "net/connection.h"
#include "net/link/frame.h"

namespace millethollow::link {
namespace {

// Backpressure limit: with more than this unsent, the other end counts as lost.
constexpr std::size_t kMaxUnsentBytes = 16 * 1024 * 1024;
constexpr double kFarFuture = 1e15;  // in place of infinite times, which frames do not carry
constexpr double kReconnectDelayS = 0.1;
constexpr int kMaxConnectFailures = 4;  // in a row; then the next planner is tried

// A connection that carries frames, the common part of both ends. Runs on the loop's thread.
class FramedConnection : public Connection {
 public:
  using Connection::Connection;
  // Queues a frame. Closes the connection if too much is unsent already.
  void Send(const std::string& frame) {
    if (closed()) return;
    Write(frame);
    if (Unsent() > kMaxUnsentBytes) Fail("reads-too-slowly");
  }
  // Closes the connection, logging `reason`, and calls OnLost.
  void Fail(const char* reason) {
    if (closed()) return;
    Close(reason);
    OnLost();
  }

 protected:
  // Returns false for a malformed frame, which ends the connection.
  virtual bool OnFrame(Reader& frame) = 0;
  // Called once, when the connection has been closed by either end.
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
      if (decoder_.malformed()) return Fail("bad-frame");
    }
  }
  void OnEnd(const char* reason) override { Fail(reason); }
  FrameDecoder decoder_;
};

}  // namespace

// ---- the planner's end ----

// A connection from one forwarder. Owned by the PlannerServer.
class ForwarderConnection final : public FramedConnection, public ForwarderPort {
 public:
  ForwarderConnection(PlannerServer* server, Loop* loop, evutil_socket_t fd)
      : FramedConnection(loop, "forwarder"), server_(server) {
    Adopt(fd);
    forwarder_number_ = server->planner_->AddForwarder(this, false);
    FramedConnection::Send(Writer(FrameKind::kForwarderNumber).U64(forwarder_number_).Finish());
    for (const auto& [name, address] : server->addresses_)
      SetWorkerAddress(name, address.first, address.second);
  }
  void SetWorkerAddress(const std::string& name, const std::string& address,
                        std::size_t max_in_flight) {
    FramedConnection::Send(
        Writer(FrameKind::kWorkerAddress).Text(name).Text(address).U64(max_in_flight).Finish());
  }

  void Send(RequestId id, int attempt, const std::string& worker,
            const DeliveryLimit& limit) override {
    Writer frame(FrameKind::kSendAttempt);
    frame.U64(id).I32(attempt).Text(worker);
    if (limit.limited() || limit.window_s < DeliveryLimit::kUnlimited) {
      frame.F64(loop_->ToMonotonic(std::min(limit.first_byte_by, kFarFuture)))
          .F64(loop_->ToMonotonic(std::min(limit.last_byte_by, kFarFuture)))
          .F64(std::min(limit.window_s, kFarFuture));
    }
    FramedConnection::Send(frame.Finish());
  }
  void Cancel(RequestId id, int attempt) override {
    FramedConnection::Send(Writer(FrameKind::kCancelAttempt).U64(id).I32(attempt).Finish());
  }
  void Probe(const std::string& worker) override {
    FramedConnection::Send(Writer(FrameKind::kSendProbe).Text(worker).Finish());
  }
  void Answer(RequestId id, const FinalAnswer& answer) override {
    FramedConnection::Send(Writer(FrameKind::kFinalAnswer)
                               .U64(id)
                               .U8(static_cast<std::uint8_t>(answer.kind))
                               .I32(answer.attempt)
                               .F64(answer.retry_after_s)
                               .Finish());
  }

 private:
  bool OwnsRequest(RequestId id) const { return id >> kForwarderShift == forwarder_number_; }

  bool OnFrame(Reader& frame) override {
    Planner& planner = *server_->planner_;
    switch (frame.kind()) {
      case FrameKind::kRequestReceived: {
        Request request;
        request.id = frame.U64();
        const std::string class_name = frame.Text();
        request.tenant = frame.I32();
        request.wire_id = frame.Text();
        request.affinity = frame.Text();
        // Sent as the time left, because the clocks of the two processes have different origins.
        request.expires_at = loop_->Now() + frame.F64();
        request.slots = frame.F64();
        request.memory = frame.F64();
        request.size_hint_s = frame.F64();
        request.retry = frame.U8() != 0;
        request.body_bytes = frame.U64();
        if (!frame.Complete() || !OwnsRequest(request.id)) return false;
        request.class_index = planner.ClassIndex(class_name);
        // Unknown if only one of the two processes has reloaded its configuration.
        if (request.class_index < 0) {
          Answer(request.id, {.kind = FinalAnswer::Kind::kRejected});
          return true;
        }
        planner.OnRequest(request);
        return true;
      }
      case FrameKind::kRequestCancelled: {
        const RequestId id = frame.U64();
        if (!frame.Complete() || !OwnsRequest(id)) return false;
        planner.OnRequestCancelled(id);
        return true;
      }
      case FrameKind::kAttemptStarted: {
        const RequestId id = frame.U64();
        const int attempt = frame.I32();
        if (!frame.Complete() || !OwnsRequest(id) || attempt < 0) return false;
        planner.OnAttemptStarted(id, attempt);
        return true;
      }
      case FrameKind::kAttemptEnded: {
        const RequestId id = frame.U64();
        const int attempt = frame.I32();
        const Outcome outcome = frame.GetOutcome();
        if (!frame.Complete() || !OwnsRequest(id) || attempt < 0) return false;
        planner.OnAttemptEnded(id, attempt, outcome);
        return true;
      }
      case FrameKind::kProbeAnswered: {
        const std::string worker = frame.Text();
        const Outcome outcome = frame.GetOutcome();
        if (!frame.Complete()) return false;
        planner.OnProbeAnswered(worker, outcome);
        return true;
      }
      case FrameKind::kWorkerChanged: {
        balancing::Endpoint endpoint = frame.GetEndpoint();
        endpoint.slots = frame.F64();
        if (!frame.Complete()) return false;
        planner.OnLocalWorkerChanged(forwarder_number_, endpoint);
        return true;
      }
      default:
        return false;
    }
  }
  void OnLost() override { server_->OnForwarderConnectionLost(this); }

  friend class PlannerServer;
  PlannerServer* server_;
  std::uint64_t forwarder_number_ = 0;
};

PlannerServer::PlannerServer(Loop* loop, Planner* planner) : loop_(loop), planner_(planner) {}
PlannerServer::~PlannerServer() = default;

bool PlannerServer::Listen(const std::string& path, std::string* error) {
  return listener_.OpenUnix(
      loop_, path,
      [this](evutil_socket_t fd) {
        auto connection = std::make_unique<ForwarderConnection>(this, loop_, fd);
        ForwarderConnection* raw = connection.get();
        if (!raw->closed()) connections_.emplace(raw, std::move(connection));
      },
      error);
}

void PlannerServer::SetWorkerAddress(const std::string& worker, const std::string& address,
                                     std::size_t max_in_flight) {
  const auto address_and_limit = std::pair{address, max_in_flight};
  auto [it, inserted] = addresses_.try_emplace(worker, address_and_limit);
  if (!inserted && it->second == address_and_limit) return;
  it->second = address_and_limit;
  for (const auto& [raw, connection] : connections_)
    raw->SetWorkerAddress(worker, address, max_in_flight);
}

void PlannerServer::OnForwarderConnectionLost(ForwarderConnection* connection) {
  planner_->OnForwarderLost(connection->forwarder_number_);
  loop_->Defer([this, connection] { connections_.erase(connection); });
}

// ---- the forwarder's end ----

// The connection to the current planner. Owned by the PlannerClient.
class PlannerConnection final : public FramedConnection {
 public:
  PlannerConnection(PlannerClient* client, Loop* loop)
      : FramedConnection(loop, "planner"), client_(client) {}
  bool Open(const std::string& path) { return ConnectUnix(path); }

 private:
  bool OnFrame(Reader& frame) override {
    Forwarder& forwarder = *client_->forwarder_;
    switch (frame.kind()) {
      case FrameKind::kForwarderNumber: {
        const std::uint64_t number = frame.U64();
        if (!frame.Complete()) return false;
        forwarder.SetLink(client_, number);
        client_->connected_ = true;
        client_->failures_ = 0;
        client_->hooks_.on_connection_changed(true);
        return true;
      }
      case FrameKind::kWorkerAddress: {
        const std::string worker = frame.Text(), address = frame.Text();
        const std::uint64_t max_in_flight = frame.U64();
        if (!frame.Complete()) return false;
        client_->hooks_.on_worker_address(worker, address, max_in_flight);
        return true;
      }
      case FrameKind::kSendAttempt: {
        const RequestId id = frame.U64();
        const int attempt = frame.I32();
        const std::string worker = frame.Text();
        DeliveryLimit limit;
        if (frame.ok() && !frame.Complete()) {
          limit.first_byte_by = loop_->FromMonotonic(frame.F64());
          limit.last_byte_by = loop_->FromMonotonic(frame.F64());
          limit.window_s = frame.F64();
          for (double* time : {&limit.first_byte_by, &limit.last_byte_by, &limit.window_s}) {
            if (*time >= kFarFuture / 2) *time = DeliveryLimit::kUnlimited;
          }
        }
        if (!frame.Complete()) return false;
        forwarder.Send(id, attempt, worker, limit);
        return true;
      }
      case FrameKind::kCancelAttempt: {
        const RequestId id = frame.U64();
        const int attempt = frame.I32();
        if (!frame.Complete()) return false;
        forwarder.Cancel(id, attempt);
        return true;
      }
      case FrameKind::kSendProbe: {
        const std::string worker = frame.Text();
        if (!frame.Complete()) return false;
        forwarder.Probe(worker);
        return true;
      }
      case FrameKind::kFinalAnswer: {
        const RequestId id = frame.U64();
        const std::uint8_t kind = frame.U8();
        FinalAnswer answer{.attempt = frame.I32(), .retry_after_s = frame.F64()};
        if (!frame.Complete() || kind > static_cast<std::uint8_t>(FinalAnswer::Kind::kDuplicateId))
          return false;
        answer.kind = static_cast<FinalAnswer::Kind>(kind);
        forwarder.Answer(id, answer);
        return true;
      }
      default:
        return false;
    }
  }
  void OnLost() override { client_->OnConnectionLost(); }
  PlannerClient* client_;
};

PlannerClient::PlannerClient(Forwarder* forwarder, std::vector<std::string> paths,
                             std::size_t first, Hooks hooks)
    : forwarder_(forwarder),
      paths_(std::move(paths)),
      planner_index_(first),
      hooks_(std::move(hooks)) {}
PlannerClient::~PlannerClient() { forwarder_->loop()->deadlines().Drop(&reconnect_timer_); }

void PlannerClient::Start() {
  connection_ = std::make_unique<PlannerConnection>(this, forwarder_->loop());
  if (!connection_->Open(paths_[planner_index_ % paths_.size()]))
    connection_->Fail("no-connection");
}

void PlannerClient::OnConnectionLost() {
  if (std::exchange(connected_, false)) {
    LogLine(Level::kWarn) << "planner lost: " << paths_[planner_index_ % paths_.size()];
    ++planner_index_;  // fail over to the next planner
    hooks_.on_connection_changed(false);
    forwarder_->OnPlannerLost();
  }
  // All processes start at the same time: a planner gets a few attempts before its forwarders fail
  // over to another one.
  if (++failures_ % kMaxConnectFailures == 0) ++planner_index_;
  std::shared_ptr<PlannerConnection> old(std::move(connection_));
  Loop* loop = forwarder_->loop();
  loop->Defer([old] {});
  loop->deadlines().Drop(&reconnect_timer_);
  reconnect_timer_ = loop->deadlines().At(loop->Now() + kReconnectDelayS, [this] {
    reconnect_timer_ = Deadlines::kNone;
    Start();
  });
}

void PlannerClient::Write(const std::string& frame) {
  if (connection_ != nullptr && connected_) connection_->Send(frame);
}

void PlannerClient::OnRequest(const Request& request) {
  Write(Writer(FrameKind::kRequestReceived)
            .U64(request.id)
            .Text(hooks_.class_name(request.class_index))
            .I32(request.tenant)
            .Text(request.wire_id)
            .Text(request.affinity)
            .F64(request.expires_at - forwarder_->loop()->Now())
            .F64(request.slots)
            .F64(request.memory)
            .F64(request.size_hint_s)
            .U8(request.retry)
            .U64(request.body.size())
            .Finish());
}
void PlannerClient::OnRequestCancelled(RequestId id) {
  Write(Writer(FrameKind::kRequestCancelled).U64(id).Finish());
}
void PlannerClient::OnAttemptStarted(RequestId id, int attempt) {
  Write(Writer(FrameKind::kAttemptStarted).U64(id).I32(attempt).Finish());
}
void PlannerClient::OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) {
  Write(Writer(FrameKind::kAttemptEnded).U64(id).I32(attempt).Put(outcome).Finish());
}
void PlannerClient::OnProbeAnswered(const std::string& worker, const Outcome& outcome) {
  Write(Writer(FrameKind::kProbeAnswered).Text(worker).Put(outcome).Finish());
}
void PlannerClient::OnWorkerChanged(const balancing::Endpoint& endpoint) {
  Write(Writer(FrameKind::kWorkerChanged).Put(endpoint).F64(endpoint.slots).Finish());
}

}  // namespace millethollow::link
