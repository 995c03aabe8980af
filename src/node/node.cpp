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

// Connections may still arrive for up to 0.4 s after SIGTERM.
constexpr double kStopListeningAfterS = 0.5;
constexpr double kStopCheckIntervalS = 0.02;
constexpr double kFlushTimeoutS = 2.0;  // for the last answers to Gearman peers that read slowly
constexpr double kLeaveTimeoutS = 1.5;  // for attempts of durable jobs to be recorded elsewhere

}  // namespace

Node::Node(Config config, Role role) : config_(std::move(config)), role_(role) {}

Node::~Node() {
  // Connections that are closed when their owners are destroyed still call the planner, which must
  // not use components that are destroyed already.
  environment_.components() = {.loop = &loop_, .in_cluster = environment_.components().in_cluster};
}

Status Node::Start() {
  loop_.budget() = DescriptorBudget::ForSocketLimit(config_.max_sockets);
  if (config_.max_memory_mb > 0) {
    loop_.budget().LimitClientsToMemory(config_.max_memory_mb * 1024 * 1024);
  }
  std::uint64_t seed = config_.seed;
  if (seed == 0) seed = std::random_device{}();
  RequestStateFromPredecessor();
  if (role_.kind != Role::Kind::kPlanner) {
    if (Status started = StartForwarder(); !started) return started;
  }
  if (role_.kind != Role::Kind::kForwarder) {
    if (Status started = StartPlanner(seed); !started) return started;
  }
  if (role_.kind == Role::Kind::kForwarder) planner_client_->Start();
  if (config_.cluster.on()) {
    if (Status started = StartMember(); !started) return started;
  }
  if (!config_.admin.empty()) {
    if (Status started = StartAdmin(); !started) return started;
  }
  ServeSuccessor();
  LogLine(Level::kInfo) << "node-started name=" << config_.name
                        << (gearman_front_ ? " handles=" + gearman_front_->handle_prefix() : "");
  return {};
}

// ---- hot restart ----

void Node::RequestStateFromPredecessor() {
  // In a hot restart a node has two processes at a time; a member of a cluster may have only one.
  if (config_.handover_directory.empty() || config_.cluster.on()) return;
  if (role_.kind != Role::Kind::kCombined) return;
  std::string name = config_.name + "-" + config_.listen;
  std::replace(name.begin(), name.end(), '/', '_');
  hot_restart_ = std::make_unique<handover::HotRestart>(
      &loop_, config_.handover_directory + "/millethollow-" + name + ".sock");
  inherited_state_ = hot_restart_->RequestState(run_predecessor);
}

void Node::ServeSuccessor() {
  if (!hot_restart_) return;
  hot_restart_->Serve({.planner = planner_.get(),
                       .front = client_front_.get(),
                       .pool = worker_pool_.get(),
                       .gearman = gearman_front_.get(),
                       .peers = peers_.get(),
                       .discovery = discovery_.get(),
                       .classes = &config_.classes,
                       .on_successor_lost = [this] {
                         if (stopping_) client_front_->CloseIdle();
                       }});
}

// ---- admin server ----

Status Node::StartAdmin() {
  admin::AdminServer::Hooks hooks;
  hooks.is_serving = [this] {
    return planner_ != nullptr && !stopping_ && (!forwarder_ || forwarder_->accepting());
  };
  hooks.stats = [this] { return Metrics(); };
  hooks.set_maintenance = [this](const std::string& worker, bool in_maintenance,
                                 admin::AdminServer::Hooks::ResponseCallback answer) {
    SetMaintenanceEverywhere(worker, in_maintenance, std::move(answer));
  };
  if (member_) hooks.members_json = [this] { return member_->MembersJson(); };
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
  const auto add_signal_event = [this](int signal, event_callback_fn callback) {
    EventPtr signal_event(evsignal_new(loop_.base(), signal, callback, this));
    event_add(signal_event.get(), nullptr);
    return signal_event;
  };
  const event_callback_fn stop_node = [](evutil_socket_t, short, void* self) {
    static_cast<Node*>(self)->BeginStop();
  };
  sigterm_event_ = add_signal_event(SIGTERM, stop_node);
  sigint_event_ = add_signal_event(SIGINT, stop_node);
  sigusr1_event_ = add_signal_event(SIGUSR1, [](evutil_socket_t, short, void* self) {
    static_cast<Node*>(self)->PrintCounters(std::clog);
  });
  sighup_event_ = add_signal_event(
      SIGHUP, [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->Reload(); });
  sigset_t sighup_set;  // blocked by main until now
  sigemptyset(&sighup_set);
  sigaddset(&sighup_set, SIGHUP);
  sigprocmask(SIG_UNBLOCK, &sighup_set, nullptr);
}

// ---- running and stopping ----

void Node::Run() { loop_.Run(); }

void Node::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  LogLine(Level::kInfo) << "node-stopping name=" << config_.name;
  if (durable_jobs_) durable_jobs_->Stop();
  if (member_) LeaveOnceIdle(loop_.Now() + kLeaveTimeoutS);
  if (client_front_) client_front_->BeginStop();
  if (gearman_front_) gearman_front_->BeginStop();
  loop_.deadlines().At(loop_.Now() + kStopListeningAfterS, [this] {
    if (gearman_front_) gearman_front_->StopListening();
    CheckStopped();
  });
}

void Node::CheckStopped() {
  // Idle connections may stay open if another process takes over this address.
  if (client_front_ && !(hot_restart_ && hot_restart_->replaced())) client_front_->CloseIdle();
  const bool requests_done =
      forwarder_ ? forwarder_->pending_requests() == 0 && client_front_->connections() == 0
                 : planner_->open_requests() == 0;
  const bool handed_over = !hot_restart_ || hot_restart_->Flushed();
  const bool flushed =
      handed_over && (!gearman_front_ || gearman_front_->Flushed() || loop_.Now() > flush_until_);
  if (requests_done && flushed) return loop_.Stop();
  if (!requests_done) flush_until_ = loop_.Now() + kFlushTimeoutS;
  loop_.deadlines().At(loop_.Now() + kStopCheckIntervalS, [this] { CheckStopped(); });
}

// ---- counters and metrics ----

void Node::PrintCounters(std::ostream& out) const {
  std::ostringstream text;
  text << "counters " << config_.name << ' ' << CountersText(counters_);
  if (client_front_)
    text << " clients=" << client_front_->connections()
         << " workers=" << worker_pool_->connections();
  if (planner_server_) text << " forwarders=" << planner_server_->forwarder_count();
  text << '\n' << Metrics();
  out << text.str() << std::flush;  // in one write, since processes share the stream
}

std::string Node::Metrics() const {
  return MetricsText({.counters = counters_,
                      .planner = planner_.get(),
                      .member = member_.get(),
                      .durable_jobs = durable_jobs_.get()});
}

}  // namespace millethollow
