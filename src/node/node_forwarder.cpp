// The forwarder side of a node: connections of clients and workers.
#include <algorithm>
#include <utility>

#include "node/node.h"
#include "node/process_number.h"

namespace millethollow {
namespace {

constexpr double kNoPlannerRetryAfterS = 0.5;  // sent to clients while no planner is connected
const std::string kUnmatchableName(1, '\n');   // no header value contains a line end
constexpr double kMinConnectTimeoutS = 0.25;
constexpr double kUsableGraceShare = 0.9;  // of the time in which draining workers get new requests

// How long an attempt may wait for its connection. The worker may begin to drain right after the
// decision, so a longer wait could break the grace period.
double ConnectTimeout(const Config& config) {
  const double usable_s = kUsableGraceShare * config.settings.drain_grace_s;
  return std::min(config.connect_timeout_s, std::max(kMinConnectTimeoutS, usable_s));
}

}  // namespace

Status Node::StartForwarder() {
  if (role_.kind == Role::Kind::kForwarder) config_.name += "-f" + std::to_string(role_.index);
  forwarder_ = std::make_unique<Forwarder>(&loop_);
  http::WorkerPool::Options options;
  options.connect_timeout_s = ConnectTimeout(config_);
  options.idle_s = config_.connection_idle_timeout_s;
  options.columns = config_.columns;
  options.counters = &counters_;
  options.may_act = [this](const std::string& durable_job) {
    return durable_jobs_ && durable_jobs_->MayAct(durable_job);
  };
  options.tenant_count = [this] { return config_.tenants.size(); };
  options.may_probe = [this] { return config_.settings.probing; };
  worker_pool_ = std::make_unique<http::WorkerPool>(forwarder_.get(), std::move(options));
  forwarder_->AddDriver(worker_pool_.get());
  if (Status listening = ListenForClients(); !listening) return listening;
  // A Gearman job can be sent only to workers that are connected to the same forwarder, so a single
  // forwarder serves all Gearman connections.
  if (!config_.gearman_listen.empty() && role_.index == 0) {
    if (Status listening = ListenForGearman(); !listening) return listening;
  }
  if (role_.kind == Role::Kind::kForwarder) CreatePlannerClient();
  return {};
}

Status Node::ListenForClients() {
  client_front_ = std::make_unique<http::ClientFront>(forwarder_.get(), ActiveNames(), &counters_);
  if (inherited_state_.client_listener >= 0) {
    if (client_front_->AdoptListener(inherited_state_.client_listener)) return {};
    return MakeError(ErrorCode::kUnavailable, "cannot listen on the inherited client socket");
  }
  if (config_.listen.empty()) return {};
  // The address is shared with other forwarders. In a hot restart it is shared with a predecessor
  // that did not respond and so has not handed over its socket.
  const bool shared =
      hot_restart_ || (role_.kind == Role::Kind::kForwarder && config_.forwarders > 1);
  std::string reason;
  if (!client_front_->Listen(config_.listen, shared, &reason)) {
    return MakeError(ErrorCode::kUnavailable, reason);
  }
  return {};
}

Status Node::ListenForGearman() {
  gearman_front_ =
      std::make_unique<gearman::Front>(forwarder_.get(), config_, &counters_, DrawProcessNumber());
  forwarder_->AddDriver(gearman_front_.get());
  if (inherited_state_.gearman_listener >= 0) {
    if (gearman_front_->AdoptListener(inherited_state_.gearman_listener)) return {};
    return MakeError(ErrorCode::kUnavailable, "cannot listen on the inherited Gearman socket");
  }
  std::string reason;
  if (!gearman_front_->Listen(config_.gearman_listen, &reason)) {
    return MakeError(ErrorCode::kUnavailable, reason);
  }
  return {};
}

void Node::CreatePlannerClient() {
  std::vector<std::string> paths;
  for (int planner = 0; planner < config_.planners; ++planner)
    paths.push_back(PlannerSocketPath(config_, planner));
  link::PlannerClient::Hooks hooks;
  hooks.on_worker_address = [this](const std::string& worker, const std::string& address,
                                   std::size_t max_in_flight) {
    worker_pool_->SetAddress(worker, address, max_in_flight);
  };
  hooks.on_connection_changed = [this](bool linked) {
    client_front_->SetServing(linked);
    if (linked && gearman_front_) gearman_front_->AnnounceWorkers();
  };
  hooks.class_name = [this](int class_index) {
    return config_.classes[static_cast<std::size_t>(class_index)];
  };
  planner_client_ = std::make_unique<link::PlannerClient>(
      forwarder_.get(), std::move(paths), static_cast<std::size_t>(role_.index), std::move(hooks));
}

// The class and tenant names that clients may use. A class that is not live gets an unmatchable
// name.
http::FrontOptions Node::ActiveNames() const {
  http::FrontOptions names{
      .classes = config_.classes, .tenants = config_.tenants, .requires_key = {}};
  for (std::size_t index = 0; index < names.classes.size(); ++index) {
    if (!config_.class_active[index]) names.classes[index] = kUnmatchableName;
    const auto idempotency = config_.settings.classes[index].idempotency;
    names.requires_key.push_back(idempotency == balancing::Idempotency::kIdempotentWithKey);
  }
  if (config_.settings.retry_after) {
    names.retry_after_s = std::min(kNoPlannerRetryAfterS, config_.settings.max_retry_after_s);
  }
  return names;
}

}  // namespace millethollow
