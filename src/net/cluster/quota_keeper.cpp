#include "net/cluster/quota_keeper.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "codec/membership.h"
#include "logging/event_log.h"

namespace millethollow::cluster {
namespace {

using membership::NodeId;

constexpr double kDemandS = 0.1;       // between two looks at the demand
constexpr double kLeastDemand = 0.01;  // jobs per second; what fades away below this counts as none
constexpr double kLeastWaitS = 0.001;  // between two ticks
constexpr std::size_t kMaxNamed = 5;   // tenants in one line of the log

const char* NameOfRefusal(quota::RejectReason refusal) {
  switch (refusal) {
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

// The first few of them, for a line of the log.
std::string Some(const std::vector<std::string>& names) {
  std::string some;
  for (std::size_t i = 0; i < std::min(names.size(), kMaxNamed); ++i) {
    some += (some.empty() ? "" : ",") + names[i];
  }
  if (names.size() > kMaxNamed) some += ",...";
  return some.empty() ? "-" : some;
}

quota::AllocatorView AllocatorsOf(const membership::View& view,
                                  const std::set<NodeId>& allocators) {
  quota::AllocatorView some{.epoch = view.epoch, .allocators = {}};
  for (const membership::ViewMember& m : view.members) {
    if (allocators.contains(m.id)) some.allocators.push_back({m.id, m.process_incarnation});
  }
  return some;
}

}  // namespace

QuotaKeeper::QuotaKeeper(Loop* loop, Options options, Hooks hooks)
    : loop_(loop),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      allocators_(options_.allocators.begin(), options_.allocators.end()),
      holder_(options_.process_incarnation, options_.members.size(), TenantQuotas(),
              options_.timings),
      allocated_(options_.tenants.size(), false),
      demand_(options_.tenants.size(), 0.0) {}

QuotaKeeper::~QuotaKeeper() {
  loop_->deadlines().Drop(&tick_);
  loop_->deadlines().Drop(&demand_tick_);
}

bool QuotaKeeper::Check(const std::vector<NamedQuota>& tenants, std::string* error) {
  if (tenants.size() > quota::kMaxTenants) {
    *error = "cluster: quota: more than " + std::to_string(quota::kMaxTenants) + " tenants";
    return false;
  }
  std::map<quota::TenantId, std::string> names;
  for (const NamedQuota& tenant : tenants) {
    const auto [it, fresh] = names.emplace(codec::Hash(tenant.name), tenant.name);
    if (fresh) continue;
    *error = "cluster: quota: tenants '" + it->second + "' and '" + tenant.name + "' have one hash";
    return false;
  }
  return true;
}

std::vector<quota::TenantQuota> QuotaKeeper::TenantQuotas() const {
  std::vector<quota::TenantQuota> quotas;
  quotas.reserve(options_.tenants.size());
  for (const NamedQuota& tenant : options_.tenants) {
    quotas.push_back({codec::Hash(tenant.name), tenant.quota});
  }
  return quotas;
}

void QuotaKeeper::Start() {
  if (allocators_.contains(options_.self)) {
    allocator_.emplace(options_.self, options_.members, TenantQuotas(), options_.timings,
                       hooks_.now());
  }
  Look();
  TakeDemand();
}

bool QuotaKeeper::InView(const membership::View& view) const {
  const membership::ViewMember* self = view.Find(options_.self);
  return self != nullptr && self->process_incarnation == options_.process_incarnation;
}

// An older process of this member may have the place in the view that is known here.
bool QuotaKeeper::MayAct() const { return InView(hooks_.view()) && hooks_.leased(); }

void QuotaKeeper::Look() {
  const membership::View& view = hooks_.view();
  // What a process of this member held before it is not known here: until a view has this one,
  // it has its floors alone.
  const bool first = epoch_ == 0;
  if (view.epoch <= epoch_ || (first && !InView(view))) return;
  epoch_ = view.epoch;
  const quota::AllocatorView allocators = AllocatorsOf(view, allocators_);
  holder_.SetView(hooks_.now(), allocators);
  if (allocator_) allocator_->SetView(hooks_.now(), allocators);
  LogMoves(view.epoch);
  Act();
}

// One line a view, and none where nothing moves here.
void QuotaKeeper::LogMoves(std::uint64_t epoch) {
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
      epoch, allocator_->tenants_allocated(), gained.size(), lost.size(), Some(gained), Some(lost));
}

void QuotaKeeper::Hear(NodeId from, membership::ProcessIncarnation process_incarnation,
                       const quota::Message& message) {
  const double now = hooks_.now();
  if (const auto* grant = std::get_if<quota::Grant>(&message)) {
    holder_.OnGrant(now, from, *grant);
  } else if (allocator_) {
    allocator_->OnUsageReport(now, from, process_incarnation,
                              std::get<quota::UsageReport>(message));
  }
  Act();
}

void QuotaKeeper::SetQuotas(const std::vector<double>& quotas) {
  if (quotas.size() != options_.tenants.size()) return;
  for (std::size_t t = 0; t < quotas.size(); ++t) options_.tenants[t].quota = quotas[t];
  holder_.SetQuotas(hooks_.now(), TenantQuotas());
  if (allocator_) allocator_->SetQuotas(hooks_.now(), TenantQuotas());
  Act();
}

void QuotaKeeper::TakeDemand() {
  demand_tick_ = loop_->deadlines().At(loop_->Now() + kDemandS, [this] {
    demand_tick_ = Deadlines::kNone;
    TakeDemand();
  });
  const std::vector<double> demand = hooks_.demand();
  bool changed = false;
  for (std::size_t t = 0; t < std::min(demand.size(), demand_.size()); ++t) {
    const double rate = demand[t] < kLeastDemand ? 0 : demand[t];
    if (rate == demand_[t]) continue;
    demand_[t] = rate;
    changed = true;
    holder_.SetDemand(hooks_.now(), t, rate);
  }
  if (changed) Act();
}

// What this member says to itself needs no link. What that sets off is done with the next tick.
void QuotaKeeper::Act() {
  quota::Actions actions;
  const double now = hooks_.now();
  holder_.Tick(now, &actions);
  if (allocator_) allocator_->Tick(now, MayAct(), &actions);
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
  Arm();
}

void QuotaKeeper::Arm() {
  loop_->deadlines().Drop(&tick_);
  double at = holder_.NextTickAt();
  if (allocator_) at = std::min(at, allocator_->NextTickAt());
  if (!std::isfinite(at)) return;
  tick_ = loop_->deadlines().At(loop_->Now() + std::max(kLeastWaitS, at - hooks_.now()), [this] {
    tick_ = Deadlines::kNone;
    Act();
  });
}

std::vector<double> QuotaKeeper::Rates() const {
  const double now = hooks_.now();
  std::vector<double> rates(options_.tenants.size(), -1.0);
  for (std::size_t t = 0; t < rates.size(); ++t) {
    if (options_.tenants[t].quota > 0) rates[t] = holder_.AdmissibleRate(now, t);
  }
  return rates;
}

QuotaKeeper::Allocation QuotaKeeper::Allocated() const {
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

void QuotaKeeper::PrintFigures(std::ostream* out) const {
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
  const quota::LeaseHolderCounters& held = holder_.counters();
  const quota::AllocatorCounters given =
      allocator_ ? allocator_->counters() : quota::AllocatorCounters{};
  print("tenants_allocated", allocator_ ? allocator_->tenants_allocated() : 0, 'g');
  print("tenants_taking_over", Allocated().taking_over.size(), 'g');
  print("leases_held", leases, 'g');
  print("rate_held", static_cast<std::uint64_t>(std::llround(rates)), 'g');
  print("reports_sent", held.reports);
  print("grants_taken", held.grants);
  print("expiries", held.expiries);
  print("reports_taken", given.reports);
  print("grants_sent", given.grants);
  print("takeovers", given.takeovers);
  print("lapses", given.lapses);
  for (std::size_t r = 1; r < held.rejected.size(); ++r) {
    print(std::string("refused.") + NameOfRefusal(static_cast<quota::RejectReason>(r)),
          held.rejected[r] + given.rejected[r]);
  }
}

}  // namespace millethollow::cluster
