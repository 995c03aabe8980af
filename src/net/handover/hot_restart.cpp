#include "net/handover/hot_restart.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

#include "logging/log.h"

namespace millethollow::handover {

using balancing::Endpoint;
using balancing::Readiness;
using link::Kind;
using link::Reader;
using link::Writer;

namespace {

constexpr int kForm = 1;  // of what goes over the link: another's is not understood
// The new process is to serve within 6 s, with or without the old one.
constexpr double kRequestStateS = 1.5;
constexpr double kBeatS = 0.1;
constexpr std::size_t kMaxTextBytes = Link::kMaxPacketBytes - 1024;  // of one packet's text

enum Socket : std::uint8_t { kClients, kGearman, kPeers };

std::string Frame(Kind kind, const std::string& rest) { return Writer(kind).Raw(rest).Done(); }

}  // namespace

HotRestart::~HotRestart() { loop_->deadlines().Drop(&beat_); }

// ---- the new process ----

InheritedState HotRestart::RequestState(const std::function<void()>& while_waiting) {
  InheritedState got;
  auto link = Link::To(loop_, path_);
  if (link == nullptr) return got;
  link->Send(Writer(Kind::kHello).I32(kForm).Done());
  const auto take = [&got](Reader& f, int fd) {
    switch (f.kind()) {
      case Kind::kSocket: {
        const std::uint8_t which = f.U8();
        int& slot = which == kClients   ? got.client_listener
                    : which == kGearman ? got.gearman_listener
                                        : got.peer_socket;
        std::swap(slot, fd);
        break;
      }
      case Kind::kClass:
        got.classes.push_back(f.Text());
        break;
      case Kind::kKnown: {
        Planner::WorkerSnapshot k;
        k.member = f.GetMember();
        k.drain_notified_at = f.Real();
        k.maintenance_since = f.Real();
        ListEntry e{.member = k.member, .address = f.Text(), .max_in_flight = f.U64()};
        if (!f.Whole()) break;
        if (k.member.readiness != Readiness::kGone) got.list.push_back(std::move(e));
        got.known.push_back(std::move(k));
        break;
      }
      case Kind::kIds:
        for (std::string id = f.Text(); f.ok(); id = f.Text()) got.ids.push_back(id);
        break;
      case Kind::kLearned:
        got.learned += f.Rest();
        break;
      case Kind::kStateEnd:
        got.version = static_cast<long long>(f.U64());
        got.whole = f.Whole();
        break;
      default:  // other kinds are for a sibling that serves: what counts is sent again
        break;
    }
    if (fd >= 0) close(fd);
  };
  if (!link->Receive(
          take, [&got] { return got.whole; }, loop_->Now() + kRequestStateS, while_waiting)) {
    LogLine(Level::kWarn) << "the process that serves tells us nothing: starting alone";
    for (const int fd : {got.client_listener, got.gearman_listener, got.peer_socket}) {
      if (fd >= 0) close(fd);
    }
    return {};
  }
  predecessor_ = std::make_unique<Sibling>();
  predecessor_->link = std::move(link);
  return got;
}

void HotRestart::Serve(Parts parts) {
  parts_ = std::move(parts);
  if (predecessor_ != nullptr) {
    Watch(&predecessor_);
    predecessor_->link->Send(Writer(Kind::kServing).Done());
    OnSiblingsChanged();
    LogLine(Level::kInfo) << "serving in place of the process before";
  }
  AwaitNext();
}

void HotRestart::AwaitNext() {
  server_ = std::make_unique<Server>(loop_, [this](std::unique_ptr<Link> link) {
    // One at a time: whoever comes while another is on its way starts alone.
    if (successor_ != nullptr) return;
    successor_ = std::make_unique<Sibling>();
    successor_->link = std::move(link);
    Watch(&successor_);
  });
  if (!server_->Listen(path_)) LogLine(Level::kWarn) << "no handover: cannot listen at " << path_;
}

// ---- the old process ----

void HotRestart::SendState(Sibling* sibling) {
  Link& link = *sibling->link;
  const auto socket = [&link](Socket which, int fd) {
    const int copy = fd >= 0 ? fcntl(fd, F_DUPFD_CLOEXEC, 0) : -1;
    if (copy >= 0) link.Send(Writer(Kind::kSocket).U8(which).Done(), copy);
  };
  socket(kClients, parts_.front->listener());
  if (parts_.gearman != nullptr) socket(kGearman, parts_.gearman->listener());
  if (parts_.peers != nullptr) socket(kPeers, parts_.peers->descriptor());
  for (const std::string& name : *parts_.classes) {
    link.Send(Writer(Kind::kClass).Text(name).Done());
  }
  for (const Planner::WorkerSnapshot& k : parts_.planner->ExportWorkers()) {
    const auto [address, max_in_flight] = parts_.pool->Address(k.member.worker);
    link.Send(Writer(Kind::kKnown)
                  .Put(k.member)
                  .Real(k.drain_notified_at)
                  .Real(k.maintenance_since)
                  .Text(address)
                  .U64(max_in_flight)
                  .Done());
  }
  std::string ids;
  for (const std::string& id : parts_.planner->WireIds()) {
    const std::string one = Writer(Kind::kId).Text(id).Done().substr(5);  // its field alone
    if (ids.size() + one.size() > kMaxTextBytes)
      link.Send(Frame(Kind::kIds, std::exchange(ids, {})));
    ids += one;
  }
  link.Send(Frame(Kind::kIds, ids));
  const std::string learned = parts_.planner->SaveState();
  for (std::size_t at = 0; at < learned.size(); at += kMaxTextBytes) {
    link.Send(Frame(Kind::kLearned, learned.substr(at, kMaxTextBytes)));
  }
  const long long version = parts_.discovery != nullptr ? parts_.discovery->version() : 0;
  link.Send(Writer(Kind::kStateEnd).U64(static_cast<std::uint64_t>(version)).Done());
}

// The new one serves. What it now accepts we would only share with it.
void HotRestart::Leave() {
  leaving_ = true;
  server_.reset();  // its place is taken already
  LogLine(Level::kInfo) << "another process serves: taking nothing new";
  if (parts_.peers != nullptr) parts_.peers->SetReceiving(false);
  if (parts_.gearman != nullptr) parts_.gearman->SetAccepting(false);
  parts_.front->HandOver([this](int fd, bool served, const std::string& unread) {
    const std::string frame = Writer(Kind::kClient).U8(served).Raw(unread).Done();
    successor_->link->Send(frame, fd);
  });
  parts_.pool->HandOver([this](const std::string& worker, double since, int fd) {
    successor_->link->Send(Writer(Kind::kIdleWorker).Text(worker).Real(since).Done(), fd);
  });
  OnSiblingsChanged();
}

// ---- both ----

void HotRestart::Watch(SiblingPtr* sibling) {
  Sibling* raw = sibling->get();
  raw->link->Start([this, raw](Reader& f, int fd) { OnFrame(raw, f, fd); },
                   [this, raw] { Lost(raw); });
}

void HotRestart::OnFrame(Sibling* sibling, Reader& f, int fd) {
  int unused = fd;
  switch (f.kind()) {
    case Kind::kHello:
      if (sibling == successor_.get() && f.I32() == kForm && f.Whole()) SendState(sibling);
      break;
    case Kind::kServing:
      if (sibling == successor_.get() && !leaving_) Leave();
      break;
    case Kind::kClient: {
      const bool served = f.U8() != 0;
      const std::string unread = f.Rest();
      if (fd < 0 || !f.ok()) break;
      parts_.front->AdoptClient(std::exchange(unused, -1), served, unread);
      break;
    }
    case Kind::kIdleWorker: {
      const std::string worker = f.Text();
      const double since = f.Real();
      if (fd < 0 || !f.Whole()) break;
      parts_.pool->AdoptIdle(worker, since, std::exchange(unused, -1));
      break;
    }
    case Kind::kPeerMessage:
      parts_.planner->OnPeerMessage(parts_.planner->settings().dispatcher_index, f.Rest());
      break;
    case Kind::kUse:
      sibling->clients = f.U64();
      sibling->workers = f.U64();
      OnSiblingsChanged();
      break;
    case Kind::kMaintenance: {
      const std::string worker = f.Text();
      const bool in_maintenance = f.U8() != 0;
      if (f.Whole()) ForwardMaintenance(worker, in_maintenance, sibling);
      break;
    }
    case Kind::kDown: {
      const Endpoint member = f.GetMember();
      if (f.Whole()) parts_.planner->OnSiblingWorkerDown(member);
      break;
    }
    case Kind::kId: {
      const std::string id = f.Text();
      if (f.Whole()) parts_.planner->MarkWireIdUsed(id);
      break;
    }
    default:
      break;
  }
  if (unused >= 0) close(unused);
}

void HotRestart::Lost(Sibling* sibling) {
  SiblingPtr& slot = sibling == successor_.get() ? successor_ : predecessor_;
  if (slot.get() != sibling) return;
  const bool replaced = sibling == successor_.get() && leaving_;
  slot.reset();
  if (replaced) {  // it died before we did: we go on
    leaving_ = false;
    LogLine(Level::kWarn) << "the process that replaced us is gone: serving again";
    if (parts_.peers != nullptr) parts_.peers->SetReceiving(true);
    if (parts_.gearman != nullptr) parts_.gearman->SetAccepting(true);
    parts_.pool->HandOver({});
    parts_.front->HandOver({});
    parts_.deserted();
    AwaitNext();
  }
  OnSiblingsChanged();
}

void HotRestart::OnSiblingsChanged() {
  DescriptorBudget& budget = loop_->budget();
  budget.sibling_clients = budget.sibling_workers = 0;
  for (const Sibling* m : {predecessor_.get(), successor_.get()}) {
    if (m == nullptr) continue;
    budget.sibling_clients += m->clients;
    budget.sibling_workers += m->workers;
  }
  loop_->NotifyClientCapacity();
  const bool present = predecessor_ != nullptr || leaving_;
  if (std::exchange(reported_present_, present) != present ||
      std::exchange(reported_leaving_, leaving_) != leaving_) {
    parts_.planner->OnSiblingProcess(present, leaving_);
  }
  if (present && beat_ == Deadlines::kNone) Beat();
}

// The budget of descriptors is one for both: each says what it holds.
void HotRestart::Beat() {
  beat_ = Deadlines::kNone;
  if (predecessor_ == nullptr && successor_ == nullptr) return;
  const DescriptorBudget& budget = loop_->budget();
  const std::string frame = Writer(Kind::kUse).U64(budget.clients).U64(budget.workers).Done();
  if (frame != std::exchange(last_use_frame_, frame)) Send(frame);
  beat_ = loop_->deadlines().At(loop_->Now() + kBeatS, [this] { Beat(); });
}

void HotRestart::Send(const std::string& frame, const Sibling* but) {
  if (predecessor_ != nullptr && predecessor_.get() != but) predecessor_->link->Send(frame);
  if (successor_ != nullptr && successor_.get() != but) successor_->link->Send(frame);
}

void HotRestart::SendPeerMessage(const std::string& body) { Send(Frame(Kind::kPeerMessage, body)); }
void HotRestart::SendWireId(const std::string& wire_id) {
  if (predecessor_ != nullptr || successor_ != nullptr)
    Send(Writer(Kind::kId).Text(wire_id).Done());
}

void HotRestart::ForwardMaintenance(const std::string& worker, bool in_maintenance,
                                    const Sibling* from) {
  if (from != nullptr) parts_.planner->SetMaintenance(worker, in_maintenance);
  Send(Writer(Kind::kMaintenance).Text(worker).U8(in_maintenance).Done(), from);
}

void HotRestart::SendWorkersDown() {
  if (predecessor_ == nullptr && successor_ == nullptr) return;
  for (const Planner::WorkerSnapshot& k : parts_.planner->ExportWorkers()) {
    if (k.member.readiness == Readiness::kReady || k.drain_notified_at < workers_down_sent_at_)
      continue;
    Send(Writer(Kind::kDown).Put(k.member).Done());
  }
  workers_down_sent_at_ = loop_->Now();
}

}  // namespace millethollow::handover
