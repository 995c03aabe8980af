// The cluster membership of a node.
#include <random>
#include <utility>

#include "node/node.h"
#include "node/process_number.h"

namespace millethollow {
namespace {

// Longest wait for the other members' state before requests are served.
constexpr double kSyncTimeoutS = 1.0;
constexpr double kCheckIntervalS = 0.02;

}  // namespace

Status Node::StartMember() {
  cluster::Member::Hooks hooks;
  hooks.set_maintenance = [this](const std::string& worker, bool in_maintenance) {
    SetMaintenance(worker, in_maintenance);
  };
  hooks.on_worker_down = [this](const std::string& worker, double started_at_s, bool gone) {
    planner_->OnPeerWorkerDown(worker, started_at_s, gone);
  };
  hooks.tenant_demand = [this] { return planner_->TenantDemand(); };
  member_ = std::make_unique<cluster::Member>(&loop_, config_.cluster, TenantQuotas(),
                                              std::random_device{}(), std::move(hooks));
  environment_.components().member = member_.get();
  std::string reason;
  if (!member_->Start(&reason)) return MakeError(ErrorCode::kUnavailable, reason);
  if (member_->log_replicator() != nullptr) StartDurableJobs();
  if (client_front_) client_front_->SetServing(false);
  ServeOnceSynced(loop_.Now() + kSyncTimeoutS);
  return {};
}

void Node::StartDurableJobs() {
  copies::DurableJobQueue::Limits limits = config_.cluster.jobs;
  limits.accepts_jobs = gearman_front_ != nullptr;
  durable_jobs_ = std::make_unique<cluster::ReplicatedDurableJobs>(
      &loop_, member_.get(), limits, config_.name, DrawProcessNumber());
  environment_.components().durable_jobs = durable_jobs_.get();
  durable_jobs_->SetRunner(gearman_front_.get());
  if (gearman_front_) gearman_front_->SetDurableJobs(durable_jobs_.get());
}

std::vector<cluster::NamedQuota> Node::TenantQuotas() const {
  const auto& tenant_settings = config_.settings.tenants;
  std::vector<cluster::NamedQuota> quotas;
  for (std::size_t tenant = 0; tenant < config_.tenants.size(); ++tenant) {
    quotas.push_back({config_.tenants[tenant],
                      tenant < tenant_settings.size() ? tenant_settings[tenant].quota_rps : 0.0});
  }
  return quotas;
}

// Starts to serve once the other members' maintenance state is known here, or at `until` (seconds
// on the loop's clock) if no member responds.
void Node::ServeOnceSynced(double until) {
  if (stopping_ || !client_front_) return;
  if (member_->Synced() || loop_.Now() >= until) return client_front_->SetServing(true);
  loop_.deadlines().At(loop_.Now() + kCheckIntervalS, [this, until] { ServeOnceSynced(until); });
}

// Leaves the cluster once the attempts of durable jobs are recorded, or at `until` (seconds on the
// loop's clock). Other members then take the jobs over.
void Node::LeaveOnceIdle(double until) {
  if (!durable_jobs_ || durable_jobs_->Idle() || loop_.Now() >= until) return member_->Leave();
  loop_.deadlines().At(loop_.Now() + kCheckIntervalS, [this, until] { LeaveOnceIdle(until); });
}

}  // namespace millethollow
