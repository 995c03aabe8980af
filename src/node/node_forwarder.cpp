// The forwarder side of a node: connections of clients and workers.
#include <algorithm>
#include <utility>

#include "node/node.h"

namespace millethollow {
namespace {

constexpr double kNoPlannerRetryAfterS = 0.5;  // for clients while there is no planner
const std::string kUnusableName(1, '\n');      // no header can hold it

}  // namespace

Status Node::StartForwarder() {
  if (role_.kind == Role::Kind::kForwarder) config_.name += "-f" + std::to_string(role_.index);
  forwarder_ = std::make_unique<Forwarder>(&loop_);
  http::WorkerPool::Options options;
  options.connect_timeout_s = config_.connect_timeout_s;
  options.idle_s = config_.conn_idle_s;
  options.columns = config_.columns;
  options.counters = &counters_;
  options.may_act = [this](const std::string& durable_job) {
    return promised_ && promised_->MayAct(durable_job);
  };
  pool_ = std::make_unique<http::WorkerPool>(forwarder_.get(), std::move(options));
  forwarder_->AddDriver(pool_.get());
  if (Status listening = ListenForClients(); !listening) return listening;
  // Gearman workers belong to the forwarder that they connect to, and so do the jobs that they may
  // get: one forwarder has them all.
  if (!config_.gearman_listen.empty() && role_.index == 0) {
    if (Status listening = ListenForGearman(); !listening) return listening;
  }
  if (role_.kind == Role::Kind::kForwarder) MakePlannerClient();
  return {};
}

Status Node::ListenForClients() {
  front_ = std::make_unique<http::ClientFront>(forwarder_.get(), ActiveNames(), &counters_);
  if (inherited_.client_listener >= 0) {
    if (front_->AdoptListener(inherited_.client_listener)) return {};
    return MakeError(ErrorCode::kUnavailable, "cannot listen");
  }
  if (config_.listen.empty()) return {};
  // The address is shared with other forwarders, or with a process that this one replaces and that
  // does not respond.
  const bool shared =
      hot_restart_ || (role_.kind == Role::Kind::kForwarder && config_.forwarders > 1);
  std::string reason;
  if (!front_->Listen(config_.listen, shared, &reason)) {
    return MakeError(ErrorCode::kUnavailable, reason);
  }
  return {};
}

Status Node::ListenForGearman() {
  gearman_ = std::make_unique<gearman::Front>(forwarder_.get(), config_, &counters_);
  forwarder_->AddDriver(gearman_.get());
  if (inherited_.gearman_listener >= 0) {
    if (gearman_->AdoptListener(inherited_.gearman_listener)) return {};
    return MakeError(ErrorCode::kUnavailable, "cannot listen");
  }
  std::string reason;
  if (!gearman_->Listen(config_.gearman_listen, &reason)) {
    return MakeError(ErrorCode::kUnavailable, reason);
  }
  return {};
}

void Node::MakePlannerClient() {
  std::vector<std::string> paths;
  for (int p = 0; p < config_.planners; ++p) paths.push_back(PlannerSocketPath(config_, p));
  link::PlannerClient::Hooks hooks;
  hooks.address = [this](const std::string& worker, const std::string& address,
                         std::size_t max_in_flight) {
    pool_->SetAddress(worker, address, max_in_flight);
  };
  hooks.linked = [this](bool linked) {
    front_->SetServing(linked);
    if (linked && gearman_) gearman_->AnnounceWorkers();
  };
  hooks.class_name = [this](int cls) { return config_.classes[static_cast<std::size_t>(cls)]; };
  client_ = std::make_unique<link::PlannerClient>(
      forwarder_.get(), std::move(paths), static_cast<std::size_t>(role_.index), std::move(hooks));
}

// The names by which clients may call classes and tenants. A class that is not live has none.
http::FrontOptions Node::ActiveNames() const {
  http::FrontOptions names{
      .classes = config_.classes, .tenants = config_.tenants, .requires_key = {}};
  for (std::size_t c = 0; c < names.classes.size(); ++c) {
    if (!config_.live[c]) names.classes[c] = kUnusableName;
    const auto idempotency = config_.settings.classes[c].idempotency;
    names.requires_key.push_back(idempotency == balancing::Idempotency::kIdempotentWithKey);
  }
  if (config_.settings.retry_after) {
    names.retry_after_s = std::min(kNoPlannerRetryAfterS, config_.settings.max_retry_after_s);
  }
  return names;
}

}  // namespace millethollow
