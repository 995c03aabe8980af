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

Allocator::Allocator(NodeId self, std::vector<NodeId> dispatchers, std::vector<TenantQuota> tenants,
                     const LeaseTimings& timings, double now)
    : timings_(timings), self_(self), ticked_at_(now) {
  for (const NodeId dispatcher : dispatchers) dispatchers_.try_emplace(dispatcher);
  if (tenants.size() > kMaxTenants) tenants.resize(kMaxTenants);
  for (const TenantQuota& given : tenants) quotas_[given.tenant] = ValidRate(given.quota_rps);
}

// ---- which tenants are allocated here ----

// A tenant stays as it is only if no other process can have allocated it in between.
void Allocator::SetView(double now, const AllocatorView& view) {
  if (view.epoch <= view_.epoch) return;
  const bool next = view.epoch == view_.epoch + 1;
  const AllocatorView before = std::exchange(view_, view);
  for (auto& [id, dispatcher] : dispatchers_) {
    dispatcher.current = false;
    dispatcher.in_full_report = false;
    dispatcher.to_answer = false;
  }
  to_send_.clear();
  for (const auto& [tenant, quota] : quotas_) {
    const AllocatorMember* allocator = view_.AllocatorOf(tenant);
    const AllocatorMember* allocator_before = before.AllocatorOf(tenant);
    if (allocator == nullptr || allocator->id != self_) {
      Drop(tenant);
    } else if (!next || allocator_before == nullptr || *allocator != *allocator_before) {
      TakeOver(now, tenant);
    }
  }
}

void Allocator::TakeOver(double now, TenantId tenant) {
  Drop(tenant);
  TenantLeases& taken = tenants_[tenant];
  taken.leasable = timings_.LeasableRate(quotas_.at(tenant));
  taken.taken_epoch = view_.epoch;
  taken.taking_over = true;
  taken.takeover_ends_at =
      now + timings_.MaxLocalDuration(timings_.superseded_grant_s + timings_.lease_duration_s);
  taken.unreported = dispatchers_.size();
  taking_over_.insert(tenant);
  ++counters_.takeovers;
}

void Allocator::Drop(TenantId tenant) {
  const auto found = tenants_.find(tenant);
  if (found == tenants_.end()) return;
  for (const auto& [id, share] : found->second.shares) {
    dispatchers_.at(id).tenants.erase(tenant);
    dispatchers_.at(id).offers.erase(tenant);
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
  for (const TenantQuota& given : tenants) {
    const auto quota = quotas_.find(given.tenant);
    if (quota == quotas_.end()) continue;
    quota->second = ValidRate(given.quota_rps);
    const auto found = tenants_.find(given.tenant);
    if (found == tenants_.end()) continue;
    LowerOffers(given.tenant, found->second, timings_.LeasableRate(quota->second));
    found->second.leasable = timings_.LeasableRate(quota->second);
    changed_.insert(given.tenant);
  }
}

// What was offered of a higher quota is not to be told again.
void Allocator::LowerOffers(TenantId id, TenantLeases& tenant, double leasable) {
  if (leasable >= tenant.leasable) return;
  for (auto& [dispatcher, share] : tenant.shares) {
    if (share.offered()) Offer(id, dispatcher, share, share.offer * leasable / tenant.leasable);
  }
}

// ---- reports ----

RejectReason Allocator::OnUsageReport(double now, NodeId from,
                                      ProcessIncarnation process_incarnation,
                                      const UsageReport& report) {
  EndLeases(now);
  EndTakeovers(now);
  const auto found = dispatchers_.find(from);
  const RejectReason refusal = found == dispatchers_.end()
                                   ? RejectReason::kNotAllocator
                                   : Check(found->second, process_incarnation, report);
  if (refusal != RejectReason::kNone) {
    ++counters_.rejected[static_cast<std::size_t>(refusal)];
    return refusal;
  }
  ++counters_.reports;
  Dispatcher& dispatcher = found->second;
  if (process_incarnation != dispatcher.process_incarnation)
    StartLife(from, dispatcher, process_incarnation);
  const std::uint64_t full_epoch_before = dispatcher.full_epoch;
  const bool whole = dispatcher.TakeReport(report);
  dispatcher.heard_at = now;
  dispatcher.silent_at = now + timings_.MaxLocalDuration(timings_.lease_duration_s);
  dispatcher.silent = false;
  for (const TenantUsage& usage : report.usages)
    TakeUsage(from, dispatcher, usage, full_epoch_before);
  if (whole) EndFullReport(from, dispatcher, full_epoch_before);
  CheckReachable(from, dispatcher);
  ScheduleEnd(from, dispatcher);
  dispatcher.to_answer = true;
  to_send_.insert(from);
  return RejectReason::kNone;
}

RejectReason Allocator::Check(const Dispatcher& dispatcher, ProcessIncarnation process_incarnation,
                              const UsageReport& report) const {
  if (report.usages.size() > kMaxEntries) return RejectReason::kTooLarge;
  if (report.epoch < view_.epoch) return RejectReason::kStaleEpoch;
  if (report.epoch > view_.epoch || view_.epoch == 0) return RejectReason::kNotAllocator;
  const RejectReason refusal = CheckUsages(report);
  if (refusal != RejectReason::kNone) return refusal;
  return dispatcher.IsNews(process_incarnation, report.sequence) ? RejectReason::kNone
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

void Allocator::StartLife(NodeId id, Dispatcher& dispatcher,
                          ProcessIncarnation process_incarnation) {
  dispatcher.StartLife(process_incarnation);
  for (const TenantId tenant : dispatcher.tenants) {
    TenantLeases& leases = tenants_.at(tenant);
    leases.shares.at(id).StartLife();
    changed_.insert(tenant);
  }
}

void Allocator::TakeUsage(NodeId from, Dispatcher& dispatcher, const TenantUsage& usage,
                          std::uint64_t full_epoch_before) {
  TenantLeases& tenant = tenants_.at(usage.tenant);
  const bool trusted = tenant.taking_over && full_epoch_before < tenant.taken_epoch;
  DispatcherShare& share = tenant.shares[from];
  dispatcher.tenants.insert(usage.tenant);
  share.unreachable = dispatcher.unreachable;
  share.Confirm(usage, trusted);
  if (trusted && usage.lease_rps > 0) {
    const double lease_remaining_s = std::min(usage.lease_remaining_s, timings_.lease_duration_s);
    ExtendLeases(dispatcher, dispatcher.heard_at + timings_.MaxLocalDuration(lease_remaining_s));
  }
  changed_.insert(usage.tenant);
  if (share.offered() || dispatcher.offers.erase(usage.tenant) == 0) return;
  dispatcher.offers_since = dispatcher.heard_at;
  ReleaseWaiting(dispatcher);
  if (dispatcher.unreachable) SetUnreachable(from, dispatcher, false);
}

void Allocator::ExtendLeases(Dispatcher& dispatcher, double until) {
  dispatcher.leases_end_at = std::max(dispatcher.leases_end_at, until);
  dispatcher.lapsed = false;
}

void Allocator::ReleaseWaiting(Dispatcher& dispatcher) {
  for (const TenantId tenant : dispatcher.waiting) {
    if (tenants_.contains(tenant)) changed_.insert(tenant);
  }
  dispatcher.waiting.clear();
}

// A dispatcher that tells nothing of what it was granted, report after report, is not prolonged any
// more, so that what was offered to it is free again.
void Allocator::CheckReachable(NodeId id, Dispatcher& dispatcher) {
  if (dispatcher.offers.empty() || !dispatcher.current || dispatcher.unreachable) return;
  const double unheard_s = dispatcher.heard_at - dispatcher.offers_since;
  if (unheard_s > timings_.lease_duration_s) SetUnreachable(id, dispatcher, true);
}

void Allocator::SetUnreachable(NodeId id, Dispatcher& dispatcher, bool unreachable) {
  dispatcher.unreachable = unreachable;
  for (const TenantId tenant : dispatcher.tenants) {
    tenants_.at(tenant).shares.at(id).unreachable = unreachable;
    changed_.insert(tenant);
  }
}

// What the report does not name, the dispatcher does not have. From here on it can be granted to.
void Allocator::EndFullReport(NodeId from, Dispatcher& dispatcher,
                              std::uint64_t full_epoch_before) {
  for (const TenantId id : dispatcher.tenants) {
    changed_.insert(id);
    if (!dispatcher.named.contains(id)) tenants_.at(id).shares.at(from).ConfirmNothing();
  }
  dispatcher.named.clear();
  dispatcher.offers_since = dispatcher.heard_at;
  const std::set<TenantId> candidates = taking_over_;
  for (const TenantId id : candidates) {
    TenantLeases& tenant = tenants_.at(id);
    const bool first = full_epoch_before < tenant.taken_epoch;
    if (first && --tenant.unreported == 0) EndTakeover(id, tenant);
  }
}

// ---- the end of leases ----

void Allocator::ScheduleEnd(NodeId id, Dispatcher& dispatcher) {
  if (dispatcher.checked_at != Dispatcher::kNever) return;
  dispatcher.checked_at = dispatcher.NextEnd();
  if (dispatcher.checked_at != Dispatcher::kNever) ends_.emplace(dispatcher.checked_at, id);
}

// Reports only move ends to later, so each dispatcher is looked at where its earliest was.
void Allocator::EndLeases(double now) {
  while (!ends_.empty() && ends_.begin()->first <= now) {
    const NodeId id = ends_.begin()->second;
    ends_.erase(ends_.begin());
    Dispatcher& dispatcher = dispatchers_.at(id);
    dispatcher.checked_at = Dispatcher::kNever;
    EndLeasesOf(now, id, dispatcher);
    ScheduleEnd(id, dispatcher);
  }
}

void Allocator::EndLeasesOf(double now, NodeId id, Dispatcher& dispatcher) {
  const bool leases_end = !dispatcher.lapsed && dispatcher.leases_end_at <= now;
  const bool former_end = dispatcher.former_end_at > 0 && dispatcher.former_end_at <= now;
  const bool falls_silent = !dispatcher.silent && dispatcher.silent_at <= now;
  for (const TenantId tenant : dispatcher.tenants) {
    TenantLeases& leases = tenants_.at(tenant);
    DispatcherShare& share = leases.shares.at(id);
    if (leases_end) share.Lapse();
    if (former_end) share.former = 0;
    if (falls_silent) share.demand_rps = 0;
    changed_.insert(tenant);
  }
  if (former_end) dispatcher.former_end_at = 0;
  if (leases_end) {
    if (!dispatcher.tenants.empty()) ++counters_.lapses;
    dispatcher.lapsed = true;
    dispatcher.offers.clear();
    ReleaseWaiting(dispatcher);
  }
  if (falls_silent) {
    dispatcher.silent = true;
    dispatcher.current = dispatcher.current && dispatcher.tenants.empty();
  }
}

// ---- grants ----

void Allocator::Tick(double now, bool may_act, Actions* actions) {
  ticked_at_ = now;
  acts_ = may_act;
  EndLeases(now);
  EndTakeovers(now);
  if (!may_act) return;
  DivideChanged(now);
  SendGrants(actions);
}

// Each tenant at most once in min_report_interval_s.
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
  const auto open = [&](NodeId dispatcher) { return CanOffer(id, dispatcher); };
  for (const RateChange& change : tenant.Divide(timings_.hysteresis, open)) {
    Offer(id, change.dispatcher, tenant.shares.at(change.dispatcher), change.rate_rps);
  }
  if (!tenant.taking_over) ProbeUnreachable(id, tenant);
}

// A rate of nothing is offered to those that grants did not reach: once they tell it they hear
// again.
void Allocator::ProbeUnreachable(TenantId id, TenantLeases& tenant) {
  for (auto& [dispatcher, share] : tenant.shares) {
    if (!share.unreachable || share.demand_rps <= 0 || share.offered()) continue;
    if (CanOffer(id, dispatcher)) Offer(id, dispatcher, share, 0);
  }
}

bool Allocator::CanOffer(TenantId tenant, NodeId id) {
  Dispatcher& dispatcher = dispatchers_.at(id);
  if (!dispatcher.current || dispatcher.silent) return false;
  if (dispatcher.HasRoomForOffer()) return true;
  dispatcher.waiting.insert(tenant);
  return false;
}

void Allocator::Offer(TenantId id, NodeId to, DispatcherShare& share, double rate) {
  Dispatcher& dispatcher = dispatchers_.at(to);
  if (dispatcher.offers.empty()) dispatcher.offers_since = dispatcher.heard_at;
  share.Offer(rate, ++last_grant_);
  dispatcher.offers.insert(id);
  to_send_.insert(to);
}

void Allocator::SendGrants(Actions* actions) {
  for (const NodeId id : to_send_) SendGrant(id, dispatchers_.at(id), actions);
  to_send_.clear();
}

// All that the dispatcher has not told yet goes along each time. One of which not all is known gets
// nothing, and nothing of it is prolonged: it may hold what is not counted here.
void Allocator::SendGrant(NodeId id, Dispatcher& dispatcher, Actions* actions) {
  Grant grant;
  grant.epoch = view_.epoch;
  grant.acked_sequence = dispatcher.sequence;
  grant.process_incarnation = dispatcher.process_incarnation;
  grant.request_full_report = !dispatcher.current && !dispatcher.in_full_report;
  if (dispatcher.current) {
    for (const TenantId tenant : dispatcher.offers) {
      const DispatcherShare& share = tenants_.at(tenant).shares.at(id);
      grant.assignments.push_back({tenant, share.offer, share.offer_grant});
    }
  }
  if (!dispatcher.to_answer && grant.assignments.empty()) return;
  if (dispatcher.current && !dispatcher.unreachable) {
    grant.lease_duration_s = timings_.lease_duration_s;
    ExtendLeases(dispatcher, dispatcher.silent_at);
    ScheduleEnd(id, dispatcher);
  }
  dispatcher.to_answer = false;
  ++counters_.grants;
  actions->send.emplace_back(id, std::move(grant));
}

double Allocator::NextTickAt() const {
  double next = ends_.empty() ? Dispatcher::kNever : ends_.begin()->first;
  for (const TenantId id : taking_over_) next = std::min(next, tenants_.at(id).takeover_ends_at);
  if (!to_send_.empty() || !changed_.empty()) {
    // One that may not act is looked at now and then: it may again.
    const double soon = ticked_at_ + timings_.min_report_interval_s;
    if (!acts_) return std::min(next, soon);
  }
  if (!to_send_.empty()) return ticked_at_;
  for (const TenantId id : changed_) {
    next = std::min(next, tenants_.at(id).divided_at + timings_.min_report_interval_s);
  }
  return next;
}

// ---- what is known ----

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
    const Dispatcher& dispatcher = dispatchers_.at(id);
    if (now < dispatcher.leases_end_at) in_force += share.Current();
    if (now < dispatcher.former_end_at) in_force += share.former;
  }
  return IsTakingOver(now, tenant) ? std::max(in_force, found->second.leasable) : in_force;
}

std::size_t Allocator::tenants_allocated() const { return tenants_.size(); }

}  // namespace millethollow::quota
