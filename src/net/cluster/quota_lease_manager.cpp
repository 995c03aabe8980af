#include "net/cluster/quota_lease_manager.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "codec/membership.h"
#include "logging/event_log.h"

namespace millethollow::cluster {
namespace {

using membership::NodeId;

constexpr double kDemandIntervalS = 0.1;  // between two samples of the demand
// An average demand that decays below this counts as none.
constexpr double kMinDemandRps = 0.01;
constexpr double kMinTickDelayS = 0.001;      // before the next tick
constexpr std::size_t kMaxLoggedTenants = 5;  // in one line of the log

const char* RejectReasonName(quota::RejectReason reason) {
  switch (reason) {
    case quota::RejectReason::kStaleEpoch:
      return "old_epoch";
    case quota::RejectReason::kDuplicate:
      return "doubled";
    case quota::RejectReason::kUnknownTenant:
      return "unknown_tenant";
    case quota::RejectReason::kInvalidNumber:
      return "bad_number";
    case quota::RejectReason::kTooLarge:
      return "too_large";
    case quota::RejectReason::kNotAllocator:
      return "not_allocator";
    case quota::RejectReason::kNone:
    case quota::RejectReason::kCount:
      break;
  }
  return "none";
}

// The first kMaxLoggedTenants names, separated by commas; "-" if there are none.
std::string JoinFirst(const std::vector<std::string>& names) {
  std::string joined;
  for (std::size_t i = 0; i < std::min(names.size(), kMaxLoggedTenants); ++i) {
    joined += (joined.empty() ? "" : ",") + names[i];
  }
  if (names.size() > kMaxLoggedTenants) joined += ",...";
  return joined.empty() ? "-" : joined;
}

quota::AllocatorView AllocatorsOf(const membership::View& view,
                                  const std::set<NodeId>& allocators) {
  quota::AllocatorView allocators_in_view{.epoch = view.epoch, .allocators = {}};
  for (const membership::ViewMember& member : view.members) {
    if (allocators.contains(member.id))
      allocators_in_view.allocators.push_back({member.id, member.process_incarnation});
  }
  return allocators_in_view;
}

}  // namespace

QuotaLeaseManager::QuotaLeaseManager(Loop* loop, Options options, Hooks hooks)
    : loop_(loop),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      allocators_(options_.allocators.begin(), options_.allocators.end()),
      holder_(options_.process_incarnation, options_.members.size(), TenantQuotas(),
              options_.timings),
      allocated_(options_.tenants.size(), false),
      demand_(options_.tenants.size(), 0.0) {}

QuotaLeaseManager::~QuotaLeaseManager() {
  loop_->deadlines().Drop(&tick_timer_);
  loop_->deadlines().Drop(&demand_timer_);
}

bool QuotaLeaseManager::ValidateTenants(const std::vector<NamedQuota>& tenants,
                                        std::string* error) {
  if (tenants.size() > quota::kMaxTenants) {
    *error = "cluster: quota: more than " + std::to_string(quota::kMaxTenants) + " tenants";
    return false;
  }
  std::map<quota::TenantId, std::string> names;
  for (const NamedQuota& tenant : tenants) {
    const auto [existing, inserted] = names.emplace(codec::Hash(tenant.name), tenant.name);
    if (inserted) continue;
    *error = "cluster: quota: tenants '" + existing->second + "' and '" + tenant.name +
             "' have the same hash";
    return false;
  }
  return true;
}

std::vector<quota::TenantQuota> QuotaLeaseManager::TenantQuotas() const {
  std::vector<quota::TenantQuota> quotas;
  quotas.reserve(options_.tenants.size());
  for (const NamedQuota& tenant : options_.tenants) {
    quotas.push_back({codec::Hash(tenant.name), tenant.quota});
  }
  return quotas;
}

void QuotaLeaseManager::Start() {
  if (allocators_.contains(options_.self)) {
    allocator_.emplace(options_.self, options_.members, TenantQuotas(), options_.timings,
                       hooks_.now());
  }
  OnViewChanged();
  SampleDemand();
}

bool QuotaLeaseManager::InView(const membership::View& view) const {
  const membership::ViewMember* self = view.Find(options_.self);
  return self != nullptr && self->process_incarnation == options_.process_incarnation;
}

// False if the known view has an older process of this member in it.
bool QuotaLeaseManager::MayAllocate() const {
  return InView(hooks_.view()) && hooks_.holds_lease();
}

void QuotaLeaseManager::OnViewChanged() {
  const membership::View& view = hooks_.view();
  // The leases of an earlier process of this member are not known here: until a view contains this
  // process, it uses the floor rates alone.
  const bool first = epoch_ == 0;
  if (view.epoch <= epoch_ || (first && !InView(view))) return;
  epoch_ = view.epoch;
  const quota::AllocatorView allocators = AllocatorsOf(view, allocators_);
  holder_.SetView(hooks_.now(), allocators);
  if (allocator_) allocator_->SetView(hooks_.now(), allocators);
  LogAllocationChanges(view.epoch);
  RunTick();
}

// Logs one line for each view that changes which tenants this member allocates.
void QuotaLeaseManager::LogAllocationChanges(std::uint64_t epoch) {
  if (!allocator_) return;
  std::vector<std::string> gained, lost;
  for (std::size_t t = 0; t < options_.tenants.size(); ++t) {
    const std::string& name = options_.tenants[t].name;
    const bool allocates = allocator_->Allocates(codec::Hash(name));
    if (allocates == allocated_[t]) continue;
    allocated_[t] = allocates;
    (allocates ? gained : lost).push_back(name);
  }
  if (gained.empty() && lost.empty()) return;
  Events().info(
      "cluster quota epoch={} allocates={} gained={} lost={} tenants_gained={} "
      "tenants_lost={}",
      epoch, allocator_->tenants_allocated(), gained.size(), lost.size(), JoinFirst(gained),
      JoinFirst(lost));
}

void QuotaLeaseManager::OnMessage(NodeId from, membership::ProcessIncarnation process_incarnation,
                                  const quota::Message& message) {
  const double now = hooks_.now();
  if (const auto* grant = std::get_if<quota::Grant>(&message)) {
    holder_.OnGrant(now, from, *grant);
  } else if (allocator_) {
    allocator_->OnUsageReport(now, from, process_incarnation,
                              std::get<quota::UsageReport>(message));
  }
  RunTick();
}

void QuotaLeaseManager::SetQuotas(const std::vector<double>& quotas) {
  if (quotas.size() != options_.tenants.size()) return;
  for (std::size_t t = 0; t < quotas.size(); ++t) options_.tenants[t].quota = quotas[t];
  holder_.SetQuotas(hooks_.now(), TenantQuotas());
  if (allocator_) allocator_->SetQuotas(hooks_.now(), TenantQuotas());
  RunTick();
}

void QuotaLeaseManager::SampleDemand() {
  demand_timer_ = loop_->deadlines().At(loop_->Now() + kDemandIntervalS, [this] {
    demand_timer_ = Deadlines::kNone;
    SampleDemand();
  });
  const std::vector<double> demand = hooks_.demand();
  bool changed = false;
  for (std::size_t t = 0; t < std::min(demand.size(), demand_.size()); ++t) {
    const double rate = demand[t] < kMinDemandRps ? 0 : demand[t];
    if (rate == demand_[t]) continue;
    demand_[t] = rate;
    changed = true;
    holder_.SetDemand(hooks_.now(), t, rate);
  }
  if (changed) RunTick();
}

// Messages of this member to itself are delivered directly. Their effects are sent at the next
// tick.
void QuotaLeaseManager::RunTick() {
  quota::Actions actions;
  const double now = hooks_.now();
  holder_.Tick(now, &actions);
  if (allocator_) allocator_->Tick(now, MayAllocate(), &actions);
  for (const auto& [to, message] : actions.send) {
    if (to != options_.self) {
      hooks_.send(to, message);
    } else if (const auto* grant = std::get_if<quota::Grant>(&message)) {
      holder_.OnGrant(now, to, *grant);
    } else if (allocator_) {
      allocator_->OnUsageReport(now, to, options_.process_incarnation,
                                std::get<quota::UsageReport>(message));
    }
  }
  ScheduleTick();
}

void QuotaLeaseManager::ScheduleTick() {
  loop_->deadlines().Drop(&tick_timer_);
  double next_at = holder_.NextTickAt();
  if (allocator_) next_at = std::min(next_at, allocator_->NextTickAt());
  if (!std::isfinite(next_at)) return;
  tick_timer_ = loop_->deadlines().At(
      loop_->Now() + std::max(kMinTickDelayS, next_at - hooks_.now()), [this] {
        tick_timer_ = Deadlines::kNone;
        RunTick();
      });
}

std::vector<double> QuotaLeaseManager::AdmissibleRates() const {
  const double now = hooks_.now();
  std::vector<double> rates(options_.tenants.size(), -1.0);
  for (std::size_t t = 0; t < rates.size(); ++t) {
    if (options_.tenants[t].quota > 0) rates[t] = holder_.AdmissibleRate(now, t);
  }
  return rates;
}

QuotaLeaseManager::Allocation QuotaLeaseManager::CurrentAllocation() const {
  Allocation allocation;
  if (!allocator_) return allocation;
  const double now = hooks_.now();
  for (const NamedQuota& tenant : options_.tenants) {
    const quota::TenantId id = codec::Hash(tenant.name);
    if (!allocator_->Allocates(id)) continue;
    allocation.tenants.push_back(tenant.name);
    if (allocator_->IsTakingOver(now, id)) allocation.taking_over.push_back(tenant.name);
  }
  return allocation;
}

void QuotaLeaseManager::PrintMetrics(std::ostream* out) const {
  const auto print = [out](const std::string& name, std::uint64_t value, char kind = 'c') {
    *out << "app.cluster.quota." << name << ':' << value << '|' << kind << '\n';
  };
  const double now = hooks_.now();
  std::uint64_t leases = 0;
  double rates = 0;
  for (std::size_t t = 0; t < options_.tenants.size(); ++t) {
    const double lease = holder_.LeaseRate(now, t);
    leases += lease > 0 ? 1 : 0;
    rates += holder_.AdmissibleRate(now, t);
  }
  const quota::LeaseHolderCounters& holder_counters = holder_.counters();
  const quota::AllocatorCounters allocator_counters =
      allocator_ ? allocator_->counters() : quota::AllocatorCounters{};
  print("tenants_allocated", allocator_ ? allocator_->tenants_allocated() : 0, 'g');
  print("tenants_taking_over", CurrentAllocation().taking_over.size(), 'g');
  print("leases_held", leases, 'g');
  print("rate_held", static_cast<std::uint64_t>(std::llround(rates)), 'g');
  print("reports_sent", holder_counters.reports);
  print("grants_taken", holder_counters.grants);
  print("expiries", holder_counters.expiries);
  print("reports_taken", allocator_counters.reports);
  print("grants_sent", allocator_counters.grants);
  print("takeovers", allocator_counters.takeovers);
  print("lapses", allocator_counters.lapses);
  for (std::size_t r = 1; r < holder_counters.rejected.size(); ++r) {
    print(std::string("refused.") + RejectReasonName(static_cast<quota::RejectReason>(r)),
          holder_counters.rejected[r] + allocator_counters.rejected[r]);
  }
}

}  // namespace millethollow::cluster
