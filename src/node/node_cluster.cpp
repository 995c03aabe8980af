// A node as a member of a cluster.
#include <random>
#include <utility>

#include "node/node.h"

namespace millethollow {
namespace {

constexpr double kSyncS = 1.0;  // for other members' state, before requests are served
constexpr double kCheckS = 0.02;

}  // namespace

Status Node::StartMember() {
  cluster::Member::Hooks hooks;
  hooks.maintain = [this](const std::string& worker, bool in_maintenance) {
    SetMaintenance(worker, in_maintenance);
  };
  hooks.down = [this](const std::string& worker, double started_at_s, bool gone) {
    planner_->OnPeerWorkerDown(worker, started_at_s, gone);
  };
  hooks.tenant_demand = [this] { return planner_->TenantDemand(); };
  member_ = std::make_unique<cluster::Member>(&loop_, config_.cluster, TenantQuotas(),
                                              std::random_device{}(), std::move(hooks));
  environment_.parts().member = member_.get();
  std::string reason;
  if (!member_->Start(&reason)) return MakeError(ErrorCode::kUnavailable, reason);
  if (member_->copies() != nullptr) StartDurableJobs();
  if (front_) front_->SetServing(false);
  ServeOnceSynced(loop_.Now() + kSyncS);
  return {};
}

void Node::StartDurableJobs() {
  copies::DurableJobQueue::Limits limits = config_.cluster.jobs;
  limits.takes = gearman_ != nullptr;
  const std::uint64_t high = std::random_device{}();
  const std::uint64_t low = std::random_device{}();
  promised_ = std::make_unique<cluster::PromisedJobs>(&loop_, member_.get(), limits, config_.name,
                                                      (high << 32 | low) | 1);
  environment_.parts().durable_jobs = promised_.get();
  promised_->SetRunner(gearman_.get());
  if (gearman_) gearman_->SetDurableJobs(promised_.get());
}

std::vector<cluster::NamedQuota> Node::TenantQuotas() const {
  const auto& settings = config_.settings.tenants;
  std::vector<cluster::NamedQuota> quotas;
  for (std::size_t t = 0; t < config_.tenants.size(); ++t) {
    quotas.push_back({config_.tenants[t], t < settings.size() ? settings[t].quota_rps : 0.0});
  }
  return quotas;
}

// Serves once the other members' maintenance state is known here, or `until` (on the loop's clock),
// where no member responds.
void Node::ServeOnceSynced(double until) {
  if (stopping_ || !front_) return;
  if (member_->Synced() || loop_.Now() >= until) return front_->SetServing(true);
  loop_.deadlines().At(loop_.Now() + kCheckS, [this, until] { ServeOnceSynced(until); });
}

// Leaves once the attempts of durable jobs are recorded: other members then take the jobs over.
void Node::LeaveOnceIdle(double until) {
  if (!promised_ || promised_->Idle() || loop_.Now() >= until) return member_->Leave();
  loop_.deadlines().At(loop_.Now() + kCheckS, [this, until] { LeaveOnceIdle(until); });
}

}  // namespace millethollow
