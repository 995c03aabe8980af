#include "node/node.h"

#include <algorithm>
#include <csignal>
#include <random>
#include <sstream>
#include <utility>

#include "logging/log.h"
#include "node/metrics.h"

namespace millethollow {
namespace {

constexpr double kStopListenS = 0.5;  // connections still come for up to 0.4 s after SIGTERM
constexpr double kStopCheckS = 0.02;
constexpr double kFlushS = 2.0;  // for last answers to peers that read slowly
constexpr double kLeaveS = 1.5;  // for attempts of durable jobs

}  // namespace

Node::Node(Config config, Role role) : config_(std::move(config)), role_(role) {}

Node::~Node() {
  // Connections that close with their owners still reach the planner: it must not use parts that
  // are gone already.
  environment_.parts() = {.loop = &loop_, .in_cluster = environment_.parts().in_cluster};
}

Status Node::Start() {
  loop_.budget() = DescriptorBudget::ForSocketLimit(config_.sockets);
  std::uint64_t seed = config_.seed;
  if (seed == 0) seed = std::random_device{}();
  RequestStateFromPredecessor();
  if (role_.kind != Role::Kind::kPlanner) {
    if (Status started = StartForwarder(); !started) return started;
  }
  if (role_.kind != Role::Kind::kForwarder) {
    if (Status started = StartPlanner(seed); !started) return started;
  }
  if (role_.kind == Role::Kind::kForwarder) client_->Start();
  if (config_.cluster.on()) {
    if (Status started = StartMember(); !started) return started;
  }
  if (!config_.admin.empty()) {
    if (Status started = StartAdmin(); !started) return started;
  }
  ServeSuccessor();
  LogLine(Level::kInfo) << "node-started name=" << config_.name;
  return {};
}

// ---- hot restart ----

void Node::RequestStateFromPredecessor() {
  // A member of a cluster is one process at a time.
  if (config_.handover.empty() || config_.cluster.on()) return;
  if (role_.kind != Role::Kind::kCombined) return;
  std::string name = config_.name + "-" + config_.listen;
  std::replace(name.begin(), name.end(), '/', '_');
  hot_restart_ = std::make_unique<handover::HotRestart>(
      &loop_, config_.handover + "/millethollow-" + name + ".sock");
  inherited_ = hot_restart_->RequestState(while_waiting);
}

void Node::ServeSuccessor() {
  if (!hot_restart_) return;
  hot_restart_->Serve({.planner = planner_.get(),
                       .front = front_.get(),
                       .pool = pool_.get(),
                       .gearman = gearman_.get(),
                       .peers = peers_.get(),
                       .discovery = discovery_.get(),
                       .classes = &config_.classes,
                       .deserted = [this] {
                         if (stopping_) front_->CloseIdle();
                       }});
}

// ---- admin address ----

Status Node::StartAdmin() {
  admin::AdminServer::Hooks hooks;
  hooks.is_serving = [this] {
    return planner_ != nullptr && !stopping_ && (!forwarder_ || forwarder_->accepting());
  };
  hooks.stats = [this] { return Figures(); };
  hooks.set_maintenance = [this](const std::string& worker, bool in_maintenance,
                                 admin::AdminServer::Hooks::ResponseCallback answer) {
    SetMaintenanceEverywhere(worker, in_maintenance, std::move(answer));
  };
  if (member_) hooks.members_json = [this] { return member_->Json(); };
  admin_ = std::make_unique<admin::AdminServer>(&loop_, std::move(hooks));
  std::string reason;
  if (!admin_->Listen(config_.admin, &reason)) return MakeError(ErrorCode::kUnavailable, reason);
  return {};
}

bool Node::SetMaintenance(const std::string& worker, bool in_maintenance) {
  if (!planner_->SetMaintenance(worker, in_maintenance)) return false;
  if (hot_restart_) hot_restart_->SendMaintenance(worker, in_maintenance);
  return true;
}

void Node::SetMaintenanceEverywhere(const std::string& worker, bool in_maintenance,
                                    admin::AdminServer::Hooks::ResponseCallback answer) {
  if (!SetMaintenance(worker, in_maintenance)) return answer(404, "no such worker\n");
  if (!member_) return answer(200, "done\n");
  member_->SetMaintenance(worker, in_maintenance, [answer = std::move(answer)](bool elsewhere) {
    answer(200, elsewhere ? "done\n" : "done here; not yet on disk here and at another member\n");
  });
}

// ---- signals ----

void Node::CatchSignals(std::string config_path) {
  config_path_ = std::move(config_path);
  const auto on = [this](int signal, event_callback_fn callback) {
    EventPtr e(evsignal_new(loop_.base(), signal, callback, this));
    event_add(e.get(), nullptr);
    return e;
  };
  const event_callback_fn stop = [](evutil_socket_t, short, void* self) {
    static_cast<Node*>(self)->BeginStop();
  };
  term_ = on(SIGTERM, stop);
  interrupt_ = on(SIGINT, stop);
  usr1_ = on(SIGUSR1, [](evutil_socket_t, short, void* self) {
    static_cast<Node*>(self)->PrintCounters(std::clog);
  });
  hangup_ =
      on(SIGHUP, [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->Reload(); });
  sigset_t reload;  // main blocks it until here
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_UNBLOCK, &reload, nullptr);
}

// ---- running and stopping ----

void Node::Run() { loop_.Run(); }

void Node::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  LogLine(Level::kInfo) << "node-stopping name=" << config_.name;
  if (promised_) promised_->Stop();
  if (member_) LeaveOnceIdle(loop_.Now() + kLeaveS);
  if (front_) front_->BeginStop();
  if (gearman_) gearman_->BeginStop();
  loop_.deadlines().At(loop_.Now() + kStopListenS, [this] {
    if (gearman_) gearman_->StopListening();
    CheckStopped();
  });
}

void Node::CheckStopped() {
  // With the process that replaces this one at the same address, idle connections may stay.
  if (front_ && !(hot_restart_ && hot_restart_->leaving())) front_->CloseIdle();
  const bool done = forwarder_ ? forwarder_->pending_requests() == 0 && front_->connections() == 0
                               : planner_->open_requests() == 0;
  const bool handed_over = !hot_restart_ || hot_restart_->Flushed();
  const bool flushed =
      handed_over && (!gearman_ || gearman_->Flushed() || loop_.Now() > flush_until_);
  if (done && flushed) return loop_.Stop();
  if (!done) flush_until_ = loop_.Now() + kFlushS;
  loop_.deadlines().At(loop_.Now() + kStopCheckS, [this] { CheckStopped(); });
}

// ---- figures ----

void Node::PrintCounters(std::ostream& out) const {
  std::ostringstream text;
  text << "counters " << config_.name << ' ' << CountersText(counters_);
  if (front_) text << " clients=" << front_->connections() << " workers=" << pool_->connections();
  if (server_) text << " forwarders=" << server_->forwarders();
  text << '\n' << Figures();
  out << text.str() << std::flush;  // in one piece: processes share the stream
}

std::string Node::Figures() const {
  return MetricsText({.counters = counters_,
                      .planner = planner_.get(),
                      .member = member_.get(),
                      .durable_jobs = promised_.get()});
}

}  // namespace millethollow
