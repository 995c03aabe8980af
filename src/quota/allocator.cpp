#include "quota/allocator.h"

#include <algorithm>

namespace millethollow::quota {
namespace {

double ValidRate(double rate) { return IsValidRate(rate) ? rate : 0; }

bool HasBadNumber(const TenantUsage& usage) {
  return !IsValidRate(usage.demand_rps) || !IsValidRate(usage.lease_rps) ||
         !IsValidDuration(usage.lease_remaining_s);
}

}  // namespace

Allocator::Allocator(NodeId self, const std::vector<NodeId>& dispatchers,
                     std::vector<TenantQuota> tenants, const LeaseTimings& timings, double now)
    : timings_(timings), self_(self), ticked_at_(now) {
  for (const NodeId dispatcher : dispatchers) dispatchers_.try_emplace(dispatcher);
  if (tenants.size() > kMaxTenants) tenants.resize(kMaxTenants);
  for (const TenantQuota& tenant_quota : tenants)
    quotas_[tenant_quota.tenant] = ValidRate(tenant_quota.quota_rps);
}

// ---- tenants allocated here ----

// The leases of a tenant are kept only if no other process can have allocated it in between.
void Allocator::SetView(double now, const AllocatorView& view) {
  if (view.epoch <= view_.epoch) return;
  const bool consecutive = view.epoch == view_.epoch + 1;
  const AllocatorView before = std::exchange(view_, view);
  for (auto& [id, dispatcher] : dispatchers_) {
    dispatcher.usages_known = false;
    dispatcher.in_full_report = false;
    dispatcher.reply_due = false;
  }
  to_send_.clear();
  for (const auto& [tenant, quota] : quotas_) {
    const AllocatorMember* allocator = view_.AllocatorOf(tenant);
    const AllocatorMember* allocator_before = before.AllocatorOf(tenant);
    if (allocator == nullptr || allocator->id != self_) {
      DropTenant(tenant);
    } else if (!consecutive || allocator_before == nullptr || *allocator != *allocator_before) {
      StartTakeover(now, tenant);
    }
  }
}

void Allocator::StartTakeover(double now, TenantId tenant) {
  DropTenant(tenant);
  TenantLeases& taken_over = tenants_[tenant];
  taken_over.leasable_rps = timings_.LeasableRate(quotas_.at(tenant));
  taken_over.takeover_epoch = view_.epoch;
  taken_over.taking_over = true;
  taken_over.takeover_ends_at =
      now + timings_.MaxLocalDuration(timings_.superseded_grant_s + timings_.lease_duration_s);
  taken_over.unreported_dispatchers = dispatchers_.size();
  taking_over_.insert(tenant);
  ++counters_.takeovers;
}

void Allocator::DropTenant(TenantId tenant) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return;
  for (const auto& [id, share] : found->second.shares) {
    dispatchers_.at(id).tenants.erase(tenant);
    dispatchers_.at(id).pending_tenants.erase(tenant);
  }
  taking_over_.erase(tenant);
  changed_.erase(tenant);
  tenants_.erase(found);
}

void Allocator::EndTakeover(TenantId id, TenantLeases& tenant) {
  tenant.taking_over = false;
  taking_over_.erase(id);
  changed_.insert(id);
}

void Allocator::EndTakeovers(double now) {
  const std::set<TenantId> candidates = taking_over_;
  for (const TenantId id : candidates) {
    TenantLeases& tenant = tenants_.at(id);
    if (now >= tenant.takeover_ends_at) EndTakeover(id, tenant);
  }
}

void Allocator::SetQuotas(double, const std::vector<TenantQuota>& tenants) {
  for (const TenantQuota& tenant_quota : tenants) {
    const auto quota = quotas_.find(tenant_quota.tenant);
    if (quota == quotas_.end()) continue;
    quota->second = ValidRate(tenant_quota.quota_rps);
    const auto found = tenants_.find(tenant_quota.tenant);
    if (found == tenants_.end()) continue;
    LowerPendingRates(tenant_quota.tenant, found->second, timings_.LeasableRate(quota->second));
    found->second.leasable_rps = timings_.LeasableRate(quota->second);
    changed_.insert(tenant_quota.tenant);
  }
}

// Pending rates of a higher quota must not be sent again.
void Allocator::LowerPendingRates(TenantId id, TenantLeases& tenant, double leasable_rps) {
  if (leasable_rps >= tenant.leasable_rps) return;
  for (auto& [dispatcher, share] : tenant.shares) {
    if (share.has_pending())
      GrantRate(id, dispatcher, share, share.pending_rps * leasable_rps / tenant.leasable_rps);
  }
}

// ---- usage reports ----

RejectReason Allocator::OnUsageReport(double now, NodeId from,
                                      ProcessIncarnation process_incarnation,
                                      const UsageReport& report) {
  ExpireLeases(now);
  EndTakeovers(now);
  const auto found = dispatchers_.find(from);
  const RejectReason reason = found == dispatchers_.end()
                                  ? RejectReason::kNotAllocator
                                  : Check(found->second, process_incarnation, report);
  if (reason != RejectReason::kNone) {
    ++counters_.rejected[static_cast<std::size_t>(reason)];
    return reason;
  }
  ++counters_.reports;
  DispatcherState& dispatcher = found->second;
  if (process_incarnation != dispatcher.process_incarnation)
    StartIncarnation(from, dispatcher, process_incarnation);
  const std::uint64_t full_epoch_before = dispatcher.full_epoch;
  const bool completes_full_report = dispatcher.OnReport(report);
  dispatcher.last_report_at = now;
  dispatcher.silent_at = now + timings_.MaxLocalDuration(timings_.lease_duration_s);
  dispatcher.silent = false;
  for (const TenantUsage& usage : report.usages)
    ApplyUsage(from, dispatcher, usage, full_epoch_before);
  if (completes_full_report) EndFullReport(from, dispatcher, full_epoch_before);
  DetectUnreachable(from, dispatcher);
  ScheduleExpiry(from, dispatcher);
  dispatcher.reply_due = true;
  to_send_.insert(from);
  return RejectReason::kNone;
}

RejectReason Allocator::Check(const DispatcherState& dispatcher,
                              ProcessIncarnation process_incarnation,
                              const UsageReport& report) const {
  if (report.usages.size() > kMaxEntries) return RejectReason::kTooLarge;
  if (report.epoch < view_.epoch) return RejectReason::kStaleEpoch;
  if (report.epoch > view_.epoch || view_.epoch == 0) return RejectReason::kNotAllocator;
  const RejectReason reason = CheckUsages(report);
  if (reason != RejectReason::kNone) return reason;
  return dispatcher.IsNewer(process_incarnation, report.sequence) ? RejectReason::kNone
                                                                  : RejectReason::kDuplicate;
}

RejectReason Allocator::CheckUsages(const UsageReport& report) const {
  if (report.sequence == 0) return RejectReason::kInvalidNumber;
  for (const TenantUsage& usage : report.usages) {
    if (HasBadNumber(usage)) return RejectReason::kInvalidNumber;
    if (!quotas_.contains(usage.tenant)) return RejectReason::kUnknownTenant;
    if (!tenants_.contains(usage.tenant)) return RejectReason::kNotAllocator;
  }
  return RejectReason::kNone;
}

void Allocator::StartIncarnation(NodeId id, DispatcherState& dispatcher,
                                 ProcessIncarnation process_incarnation) {
  dispatcher.StartIncarnation(process_incarnation);
  for (const TenantId tenant : dispatcher.tenants) {
    TenantLeases& leases = tenants_.at(tenant);
    leases.shares.at(id).StartIncarnation();
    changed_.insert(tenant);
  }
}

void Allocator::ApplyUsage(NodeId from, DispatcherState& dispatcher, const TenantUsage& usage,
                           std::uint64_t full_epoch_before) {
  TenantLeases& tenant = tenants_.at(usage.tenant);
  const bool trusted = tenant.taking_over && full_epoch_before < tenant.takeover_epoch;
  DispatcherShare& share = tenant.shares[from];
  dispatcher.tenants.insert(usage.tenant);
  share.unreachable = dispatcher.unreachable;
  share.Confirm(usage, trusted);
  if (trusted && usage.lease_rps > 0) {
    const double lease_remaining_s = std::min(usage.lease_remaining_s, timings_.lease_duration_s);
    ExtendLeases(dispatcher,
                 dispatcher.last_report_at + timings_.MaxLocalDuration(lease_remaining_s));
  }
  changed_.insert(usage.tenant);
  if (share.has_pending() || dispatcher.pending_tenants.erase(usage.tenant) == 0) return;
  dispatcher.pending_since = dispatcher.last_report_at;
  MarkWaitingTenantsChanged(dispatcher);
  if (dispatcher.unreachable) SetUnreachable(from, dispatcher, false);
}

void Allocator::ExtendLeases(DispatcherState& dispatcher, double until) {
  dispatcher.leases_end_at = std::max(dispatcher.leases_end_at, until);
  dispatcher.leases_expired = false;
}

// Has the tenants divided again whose grants waited for fewer pending ones.
void Allocator::MarkWaitingTenantsChanged(DispatcherState& dispatcher) {
  for (const TenantId tenant : dispatcher.waiting_tenants) {
    if (tenants_.contains(tenant)) changed_.insert(tenant);
  }
  dispatcher.waiting_tenants.clear();
}

// Leases of a dispatcher that reports but confirms no grant are not extended any more, so that its
// pending rates become free.
void Allocator::DetectUnreachable(NodeId id, DispatcherState& dispatcher) {
  if (dispatcher.pending_tenants.empty() || !dispatcher.usages_known || dispatcher.unreachable)
    return;
  const double unconfirmed_s = dispatcher.last_report_at - dispatcher.pending_since;
  if (unconfirmed_s > timings_.lease_duration_s) SetUnreachable(id, dispatcher, true);
}

void Allocator::SetUnreachable(NodeId id, DispatcherState& dispatcher, bool unreachable) {
  dispatcher.unreachable = unreachable;
  for (const TenantId tenant : dispatcher.tenants) {
    tenants_.at(tenant).shares.at(id).unreachable = unreachable;
    changed_.insert(tenant);
  }
}

// Tenants that a full report leaves out have no lease there. From now on rates can be granted.
void Allocator::EndFullReport(NodeId from, DispatcherState& dispatcher,
                              std::uint64_t full_epoch_before) {
  for (const TenantId id : dispatcher.tenants) {
    changed_.insert(id);
    if (!dispatcher.tenants_in_full_report.contains(id))
      tenants_.at(id).shares.at(from).ConfirmNothing();
  }
  dispatcher.tenants_in_full_report.clear();
  dispatcher.pending_since = dispatcher.last_report_at;
  const std::set<TenantId> candidates = taking_over_;
  for (const TenantId id : candidates) {
    TenantLeases& tenant = tenants_.at(id);
    const bool first = full_epoch_before < tenant.takeover_epoch;
    if (first && --tenant.unreported_dispatchers == 0) EndTakeover(id, tenant);
  }
}

// ---- expiry of leases ----

void Allocator::ScheduleExpiry(NodeId id, DispatcherState& dispatcher) {
  if (dispatcher.check_at != DispatcherState::kNever) return;
  dispatcher.check_at = dispatcher.NextExpiry();
  if (dispatcher.check_at != DispatcherState::kNever) expiries_.emplace(dispatcher.check_at, id);
}

// Reports only postpone expiries, so one scheduled check for each dispatcher is enough.
void Allocator::ExpireLeases(double now) {
  while (!expiries_.empty() && expiries_.begin()->first <= now) {
    const NodeId id = expiries_.begin()->second;
    expiries_.erase(expiries_.begin());
    DispatcherState& dispatcher = dispatchers_.at(id);
    dispatcher.check_at = DispatcherState::kNever;
    ExpireLeasesOf(now, id, dispatcher);
    ScheduleExpiry(id, dispatcher);
  }
}

void Allocator::ExpireLeasesOf(double now, NodeId id, DispatcherState& dispatcher) {
  const bool leases_end = !dispatcher.leases_expired && dispatcher.leases_end_at <= now;
  const bool earlier_leases_end =
      dispatcher.earlier_leases_end_at > 0 && dispatcher.earlier_leases_end_at <= now;
  const bool falls_silent = !dispatcher.silent && dispatcher.silent_at <= now;
  for (const TenantId tenant : dispatcher.tenants) {
    TenantLeases& leases = tenants_.at(tenant);
    DispatcherShare& share = leases.shares.at(id);
    if (leases_end) share.Expire();
    if (earlier_leases_end) share.earlier_rps = 0;
    if (falls_silent) share.demand_rps = 0;
    changed_.insert(tenant);
  }
  if (earlier_leases_end) dispatcher.earlier_leases_end_at = 0;
  if (leases_end) {
    if (!dispatcher.tenants.empty()) ++counters_.lapses;
    dispatcher.leases_expired = true;
    dispatcher.pending_tenants.clear();
    MarkWaitingTenantsChanged(dispatcher);
  }
  if (falls_silent) {
    dispatcher.silent = true;
    dispatcher.usages_known = dispatcher.usages_known && dispatcher.tenants.empty();
  }
}

// ---- grants ----

void Allocator::Tick(double now, bool may_act, Actions* actions) {
  ticked_at_ = now;
  may_act_ = may_act;
  ExpireLeases(now);
  EndTakeovers(now);
  if (!may_act) return;
  DivideChanged(now);
  SendGrants(actions);
}

// Divides each changed tenant, at most once in min_report_interval_s.
void Allocator::DivideChanged(double now) {
  const std::set<TenantId> candidates = changed_;
  for (const TenantId id : candidates) {
    TenantLeases& tenant = tenants_.at(id);
    if (now < tenant.divided_at + timings_.min_report_interval_s) continue;
    changed_.erase(id);
    Divide(now, id, tenant);
  }
}

void Allocator::Divide(double now, TenantId id, TenantLeases& tenant) {
  tenant.divided_at = now;
  for (auto share = tenant.shares.begin(); share != tenant.shares.end();) {
    if (!share->second.Empty()) {
      ++share;
      continue;
    }
    dispatchers_.at(share->first).tenants.erase(id);
    share = tenant.shares.erase(share);
  }
  const auto can_grant = [&](NodeId dispatcher) { return CanGrant(id, dispatcher); };
  for (const RateChange& change : tenant.Divide(timings_.hysteresis, can_grant)) {
    GrantRate(id, change.dispatcher, tenant.shares.at(change.dispatcher), change.rate_rps);
  }
  if (!tenant.taking_over) ProbeUnreachable(id, tenant);
}

// Unreachable dispatchers are granted a rate of 0: once one confirms it, grants reach it again.
void Allocator::ProbeUnreachable(TenantId id, TenantLeases& tenant) {
  for (auto& [dispatcher, share] : tenant.shares) {
    if (!share.unreachable || share.demand_rps <= 0 || share.has_pending()) continue;
    if (CanGrant(id, dispatcher)) GrantRate(id, dispatcher, share, 0);
  }
}

bool Allocator::CanGrant(TenantId tenant, NodeId id) {
  DispatcherState& dispatcher = dispatchers_.at(id);
  if (!dispatcher.usages_known || dispatcher.silent) return false;
  if (dispatcher.HasRoomForGrant()) return true;
  dispatcher.waiting_tenants.insert(tenant);
  return false;
}

void Allocator::GrantRate(TenantId id, NodeId to, DispatcherShare& share, double rate) {
  DispatcherState& dispatcher = dispatchers_.at(to);
  if (dispatcher.pending_tenants.empty()) dispatcher.pending_since = dispatcher.last_report_at;
  share.GrantRate(rate, ++last_grant_);
  dispatcher.pending_tenants.insert(id);
  to_send_.insert(to);
}

void Allocator::SendGrants(Actions* actions) {
  for (const NodeId id : to_send_) SendGrant(id, dispatchers_.at(id), actions);
  to_send_.clear();
}

// Repeats all pending rates. A dispatcher whose usages are not all known gets no rate and no
// extension: it may hold leases that are not counted here.
void Allocator::SendGrant(NodeId id, DispatcherState& dispatcher, Actions* actions) {
  Grant grant;
  grant.epoch = view_.epoch;
  grant.acked_sequence = dispatcher.sequence;
  grant.process_incarnation = dispatcher.process_incarnation;
  grant.request_full_report = !dispatcher.usages_known && !dispatcher.in_full_report;
  if (dispatcher.usages_known) {
    for (const TenantId tenant : dispatcher.pending_tenants) {
      const DispatcherShare& share = tenants_.at(tenant).shares.at(id);
      grant.assignments.push_back({tenant, share.pending_rps, share.pending_grant_number});
    }
  }
  if (!dispatcher.reply_due && grant.assignments.empty()) return;
  if (dispatcher.usages_known && !dispatcher.unreachable) {
    grant.lease_duration_s = timings_.lease_duration_s;
    ExtendLeases(dispatcher, dispatcher.silent_at);
    ScheduleExpiry(id, dispatcher);
  }
  dispatcher.reply_due = false;
  ++counters_.grants;
  actions->send.emplace_back(id, std::move(grant));
}

double Allocator::NextTickAt() const {
  double next = expiries_.empty() ? DispatcherState::kNever : expiries_.begin()->first;
  for (const TenantId id : taking_over_) next = std::min(next, tenants_.at(id).takeover_ends_at);
  if (!to_send_.empty() || !changed_.empty()) {
    // An allocator that may not act polls for whether it may again.
    const double soon = ticked_at_ + timings_.min_report_interval_s;
    if (!may_act_) return std::min(next, soon);
  }
  if (!to_send_.empty()) return ticked_at_;
  for (const TenantId id : changed_) {
    next = std::min(next, tenants_.at(id).divided_at + timings_.min_report_interval_s);
  }
  return next;
}

// ---- queries ----

bool Allocator::Allocates(TenantId tenant) const { return tenants_.contains(tenant); }

bool Allocator::IsTakingOver(double now, TenantId tenant) const {
  const auto found = tenants_.find(tenant);
  return found != tenants_.end() && found->second.taking_over &&
         now < found->second.takeover_ends_at;
}

double Allocator::ReservedRate(double now, TenantId tenant) const {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return 0;
  double in_force = 0;
  for (const auto& [id, share] : found->second.shares) {
    const DispatcherState& dispatcher = dispatchers_.at(id);
    if (now < dispatcher.leases_end_at) in_force += share.CurrentRate();
    if (now < dispatcher.earlier_leases_end_at) in_force += share.earlier_rps;
  }
  return IsTakingOver(now, tenant) ? std::max(in_force, found->second.leasable_rps) : in_force;
}

std::size_t Allocator::tenants_allocated() const { return tenants_.size(); }

}  // namespace millethollow::quota
