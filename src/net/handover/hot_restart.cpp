#include "net/handover/hot_restart.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace millethollow::handover {

using balancing::Endpoint;
using balancing::Readiness;
using link::FrameKind;
using link::Reader;
using link::Writer;

namespace {

// A state request with another version is not answered.
constexpr int kProtocolVersion = 1;
// A new process must serve within 6 s of its start, with or without the state of the old one.
constexpr double kStateTimeoutS = 1.5;
constexpr double kDescriptorReportIntervalS = 0.1;
// The payload of one packet; the rest is for the frame's header.
constexpr std::size_t kMaxPayloadBytes = SiblingConnection::kMaxPacketBytes - 1024;

// The numbers are part of the protocol.
enum SharedSocket : std::uint8_t { kClientListener, kGearmanListener, kPeerSocket };

std::string RawFrame(FrameKind kind, const std::string& payload) {
  return Writer(kind).Raw(payload).Finish();
}

}  // namespace

HotRestart::~HotRestart() { loop_->deadlines().Drop(&descriptor_report_timer_); }

// ---- the new process ----

InheritedState HotRestart::RequestState(const std::function<void()>& while_waiting) {
  InheritedState inherited;
  auto connection = SiblingConnection::ConnectTo(loop_, socket_path_);
  if (connection == nullptr) return inherited;
  connection->Send(Writer(FrameKind::kClockRequest).Finish());
  connection->Send(Writer(FrameKind::kStateRequest).I32(kProtocolVersion).Finish());
  const auto on_frame = [&inherited](Reader& frame, int fd) {
    switch (frame.kind()) {
      case FrameKind::kSharedSocket: {
        const std::uint8_t socket = frame.U8();
        int& slot = socket == kClientListener    ? inherited.client_listener
                    : socket == kGearmanListener ? inherited.gearman_listener
                                                 : inherited.peer_socket;
        std::swap(slot, fd);
        break;
      }
      case FrameKind::kClockOffset:
        inherited.clock_offset_s = frame.F64();
        break;
      case FrameKind::kClassName:
        inherited.classes.push_back(frame.Text());
        break;
      case FrameKind::kWorkerState: {
        Planner::WorkerSnapshot worker;
        worker.endpoint = frame.GetEndpoint();
        worker.drain_notified_at = frame.F64();
        worker.maintenance_since = frame.F64();
        ListEntry entry{
            .endpoint = worker.endpoint, .address = frame.Text(), .max_in_flight = frame.U64()};
        if (!frame.Complete()) break;
        if (worker.endpoint.readiness != Readiness::kGone)
          inherited.endpoints.push_back(std::move(entry));
        inherited.workers.push_back(std::move(worker));
        break;
      }
      case FrameKind::kWireIds:
        for (std::string id = frame.Text(); frame.ok(); id = frame.Text())
          inherited.wire_ids.push_back(id);
        break;
      case FrameKind::kPlannerState:
        inherited.planner_state += frame.Rest();
        break;
      case FrameKind::kStateEnd:
        inherited.endpoint_list_version = static_cast<long long>(frame.U64());
        inherited.complete = frame.Complete();
        break;
      default:  // sent before the state, which includes what this process needs of it
        break;
    }
    if (fd >= 0) close(fd);
  };
  if (!connection->Receive(
          on_frame, [&inherited] { return inherited.complete; }, loop_->Now() + kStateTimeoutS,
          while_waiting)) {
    LogLine(Level::kWarn)
        << "hot restart: no complete state from the running process, starting without it";
    for (const int fd :
         {inherited.client_listener, inherited.gearman_listener, inherited.peer_socket}) {
      if (fd >= 0) close(fd);
    }
    return {};
  }
  if (inherited.clock_offset_s) loop_->AdoptClockOffset(*inherited.clock_offset_s);
  predecessor_ = std::make_unique<Sibling>();
  predecessor_->connection = std::move(connection);
  return inherited;
}

void HotRestart::Serve(Dependencies dependencies) {
  dependencies_ = std::move(dependencies);
  if (predecessor_ != nullptr) {
    StartConnection(&predecessor_);
    predecessor_->connection->Send(Writer(FrameKind::kSuccessorServing).Finish());
    OnSiblingsChanged();
    LogLine(Level::kInfo) << "hot restart: serving in place of the previous process";
  }
  ListenForSuccessor();
}

void HotRestart::ListenForSuccessor() {
  listener_ = std::make_unique<SiblingListener>(
      loop_, [this](std::unique_ptr<SiblingConnection> connection) {
        // Only one successor at a time: any further process starts without the state.
        if (successor_ != nullptr) return;
        successor_ = std::make_unique<Sibling>();
        successor_->connection = std::move(connection);
        StartConnection(&successor_);
      });
  if (!listener_->Listen(socket_path_))
    LogLine(Level::kWarn) << "hot restart is not possible: cannot listen at " << socket_path_;
}

// ---- the old process ----

void HotRestart::SendState(Sibling* sibling) {
  SiblingConnection& connection = *sibling->connection;
  const auto send_socket = [&connection](SharedSocket socket, int fd) {
    const int copy = fd >= 0 ? fcntl(fd, F_DUPFD_CLOEXEC, 0) : -1;
    if (copy >= 0) connection.Send(Writer(FrameKind::kSharedSocket).U8(socket).Finish(), copy);
  };
  send_socket(kClientListener, dependencies_.front->listener());
  if (dependencies_.gearman != nullptr)
    send_socket(kGearmanListener, dependencies_.gearman->listener());
  if (dependencies_.peers != nullptr) send_socket(kPeerSocket, dependencies_.peers->descriptor());
  for (const std::string& name : *dependencies_.classes) {
    connection.Send(Writer(FrameKind::kClassName).Text(name).Finish());
  }
  for (const Planner::WorkerSnapshot& worker : dependencies_.planner->ExportWorkers()) {
    const auto [address, max_in_flight] = dependencies_.pool->Address(worker.endpoint.worker);
    connection.Send(Writer(FrameKind::kWorkerState)
                        .Put(worker.endpoint)
                        .F64(worker.drain_notified_at)
                        .F64(worker.maintenance_since)
                        .Text(address)
                        .U64(max_in_flight)
                        .Finish());
  }
  std::string wire_ids;
  for (const std::string& id : dependencies_.planner->WireIds()) {
    const std::string field =
        Writer(FrameKind::kWireIdUsed).Text(id).Finish().substr(5);  // without length and kind
    if (wire_ids.size() + field.size() > kMaxPayloadBytes)
      connection.Send(RawFrame(FrameKind::kWireIds, std::exchange(wire_ids, {})));
    wire_ids += field;
  }
  connection.Send(RawFrame(FrameKind::kWireIds, wire_ids));
  const std::string planner_state = dependencies_.planner->SaveState();
  for (std::size_t at = 0; at < planner_state.size(); at += kMaxPayloadBytes) {
    connection.Send(RawFrame(FrameKind::kPlannerState, planner_state.substr(at, kMaxPayloadBytes)));
  }
  const long long list_version =
      dependencies_.discovery != nullptr ? dependencies_.discovery->version() : 0;
  connection.Send(
      Writer(FrameKind::kStateEnd).U64(static_cast<std::uint64_t>(list_version)).Finish());
}

// Called once the successor serves. Both processes hold the same listening sockets, so that
// connections accepted here would be taken from the successor.
void HotRestart::HandOver() {
  replaced_ = true;
  listener_.reset();  // the successor listens at the same path
  LogLine(Level::kInfo) << "hot restart: the new process serves, accepting no new work";
  if (dependencies_.peers != nullptr) dependencies_.peers->SetReceiving(false);
  if (dependencies_.gearman != nullptr) dependencies_.gearman->SetAccepting(false);
  dependencies_.front->HandOver(
      [this](int fd, bool served_before, const std::string& unread_bytes) {
        const std::string frame =
            Writer(FrameKind::kClientConnection).U8(served_before).Raw(unread_bytes).Finish();
        successor_->connection->Send(frame, fd);
      });
  dependencies_.pool->HandOver([this](const std::string& worker, double idle_since, int fd) {
    successor_->connection->Send(
        Writer(FrameKind::kWorkerConnection).Text(worker).F64(idle_since).Finish(), fd);
  });
  OnSiblingsChanged();
}

// ---- both ----

void HotRestart::StartConnection(SiblingPtr* sibling) {
  Sibling* raw = sibling->get();
  raw->connection->Start([this, raw](Reader& frame, int fd) { OnFrame(raw, frame, fd); },
                         [this, raw] { OnSiblingLost(raw); });
}

void HotRestart::OnFrame(Sibling* sibling, Reader& frame, int fd) {
  int unclaimed_fd = fd;
  switch (frame.kind()) {
    case FrameKind::kStateRequest:
      if (sibling == successor_.get() && frame.I32() == kProtocolVersion && frame.Complete())
        SendState(sibling);
      break;
    case FrameKind::kClockRequest:
      if (sibling == successor_.get() && frame.Complete()) {
        sibling->connection->Send(
            Writer(FrameKind::kClockOffset).F64(loop_->ClockOffset()).Finish());
      }
      break;
    case FrameKind::kSuccessorServing:
      if (sibling == successor_.get() && !replaced_) HandOver();
      break;
    case FrameKind::kClientConnection: {
      const bool served_before = frame.U8() != 0;
      const std::string unread_bytes = frame.Rest();
      if (fd < 0 || !frame.ok()) break;
      dependencies_.front->AdoptClient(std::exchange(unclaimed_fd, -1), served_before,
                                       unread_bytes);
      break;
    }
    case FrameKind::kWorkerConnection: {
      const std::string worker = frame.Text();
      const double idle_since = frame.F64();
      if (fd < 0 || !frame.Complete()) break;
      dependencies_.pool->AdoptIdle(worker, idle_since, std::exchange(unclaimed_fd, -1));
      break;
    }
    case FrameKind::kPeerMessage:
      dependencies_.planner->OnPeerMessage(dependencies_.planner->settings().dispatcher_index,
                                           frame.Rest());
      break;
    case FrameKind::kDescriptorUse:
      sibling->clients = frame.U64();
      sibling->workers = frame.U64();
      OnSiblingsChanged();
      break;
    case FrameKind::kMaintenance: {
      const std::string worker = frame.Text();
      const bool in_maintenance = frame.U8() != 0;
      if (frame.Complete()) ForwardMaintenance(worker, in_maintenance, sibling);
      break;
    }
    case FrameKind::kWorkerDown: {
      const Endpoint endpoint = frame.GetEndpoint();
      if (frame.Complete()) dependencies_.planner->OnSiblingWorkerDown(endpoint);
      break;
    }
    case FrameKind::kWireIdUsed: {
      const std::string id = frame.Text();
      if (frame.Complete()) dependencies_.planner->MarkWireIdUsed(id);
      break;
    }
    default:
      break;
  }
  if (unclaimed_fd >= 0) close(unclaimed_fd);
}

void HotRestart::OnSiblingLost(Sibling* sibling) {
  SiblingPtr& slot = sibling == successor_.get() ? successor_ : predecessor_;
  if (slot.get() != sibling) return;
  const bool was_replaced = sibling == successor_.get() && replaced_;
  slot.reset();
  if (was_replaced) {  // the successor ended first: this process serves again
    replaced_ = false;
    LogLine(Level::kWarn) << "hot restart: the new process is lost, serving again";
    if (dependencies_.peers != nullptr) dependencies_.peers->SetReceiving(true);
    if (dependencies_.gearman != nullptr) dependencies_.gearman->SetAccepting(true);
    dependencies_.pool->HandOver({});
    dependencies_.front->HandOver({});
    dependencies_.on_successor_lost();
    ListenForSuccessor();
  }
  OnSiblingsChanged();
}

void HotRestart::OnSiblingsChanged() {
  DescriptorBudget& budget = loop_->budget();
  budget.sibling_clients = budget.sibling_workers = 0;
  for (const Sibling* sibling : {predecessor_.get(), successor_.get()}) {
    if (sibling == nullptr) continue;
    budget.sibling_clients += sibling->clients;
    budget.sibling_workers += sibling->workers;
  }
  loop_->NotifyClientCapacity();
  const bool present = predecessor_ != nullptr || replaced_;
  if (std::exchange(reported_sibling_present_, present) != present ||
      std::exchange(reported_replaced_, replaced_) != replaced_) {
    dependencies_.planner->OnSiblingProcess(present, replaced_);
  }
  if (present && descriptor_report_timer_ == Deadlines::kNone) ReportDescriptorUse();
}

// The limit on descriptors holds for the sum of both processes, so each reports its own use.
void HotRestart::ReportDescriptorUse() {
  descriptor_report_timer_ = Deadlines::kNone;
  if (predecessor_ == nullptr && successor_ == nullptr) return;
  const DescriptorBudget& budget = loop_->budget();
  const std::string frame =
      Writer(FrameKind::kDescriptorUse).U64(budget.clients).U64(budget.workers).Finish();
  if (frame != std::exchange(last_descriptor_report_, frame)) Send(frame);
  descriptor_report_timer_ = loop_->deadlines().At(loop_->Now() + kDescriptorReportIntervalS,
                                                   [this] { ReportDescriptorUse(); });
}

void HotRestart::Send(const std::string& frame, const Sibling* excluded) {
  if (predecessor_ != nullptr && predecessor_.get() != excluded)
    predecessor_->connection->Send(frame);
  if (successor_ != nullptr && successor_.get() != excluded) successor_->connection->Send(frame);
}

void HotRestart::SendPeerMessage(const std::string& body) {
  Send(RawFrame(FrameKind::kPeerMessage, body));
}
void HotRestart::SendWireId(const std::string& wire_id) {
  if (predecessor_ != nullptr || successor_ != nullptr)
    Send(Writer(FrameKind::kWireIdUsed).Text(wire_id).Finish());
}

void HotRestart::ForwardMaintenance(const std::string& worker, bool in_maintenance,
                                    const Sibling* from) {
  if (from != nullptr) dependencies_.planner->SetMaintenance(worker, in_maintenance);
  Send(Writer(FrameKind::kMaintenance).Text(worker).U8(in_maintenance).Finish(), from);
}

void HotRestart::SendWorkersDown() {
  if (predecessor_ == nullptr && successor_ == nullptr) return;
  for (const Planner::WorkerSnapshot& worker : dependencies_.planner->ExportWorkers()) {
    if (worker.endpoint.readiness == Readiness::kReady ||
        worker.drain_notified_at < workers_down_sent_at_)
      continue;
    Send(Writer(FrameKind::kWorkerDown).Put(worker.endpoint).Finish());
  }
  workers_down_sent_at_ = loop_->Now();
}

}  // namespace millethollow::handover
