#include "quota/lease_holder.h"

#include <algorithm>
#include <cmath>

namespace millethollow::quota {
namespace {

// The sending times of this many reports to one allocator are kept.
constexpr std::size_t kMaxSentReports = 64;
// First delay of the exponential backoff of an unacknowledged full report, in units of
// min_report_interval_s.
constexpr double kFirstRetryIntervals = 2;

double ValidRate(double rate) { return IsValidRate(rate) ? rate : 0; }

}  // namespace

LeaseHolder::LeaseHolder(ProcessIncarnation process_incarnation, std::size_t dispatchers,
                         std::vector<TenantQuota> tenants, const LeaseTimings& timings)
    : process_incarnation_(process_incarnation), dispatchers_(dispatchers), timings_(timings) {
  if (tenants.size() > kMaxTenants) tenants.resize(kMaxTenants);
  for (const TenantQuota& tenant_quota : tenants) {
    Tenant tenant;
    tenant.id = tenant_quota.tenant;
    tenant.quota_rps = ValidRate(tenant_quota.quota_rps);
    tenant_index_.emplace(tenant.id, tenants_.size());
    tenants_.push_back(tenant);
  }
}

void LeaseHolder::SetView(double now, const AllocatorView& view) {
  if (view.epoch <= view_.epoch) return;
  ExpireLeases(now);
  const bool consecutive = view.epoch == view_.epoch + 1;
  view_ = view;
  ReassignTenants(!consecutive);
  RebuildLinks(now);
}

// `views_missed`: others may have allocated any tenant in between.
void LeaseHolder::ReassignTenants(bool views_missed) {
  for (Tenant& tenant : tenants_) {
    const AllocatorMember* allocator = view_.AllocatorOf(tenant.id);
    const AllocatorMember next = allocator == nullptr ? AllocatorMember{} : *allocator;
    if (next == tenant.allocator && !views_missed) continue;
    tenant.allocator = next;
    tenant.grant_number = 0;
    tenant.changed = true;
  }
}

// Each allocator of the view gets a full report at once, even an empty one: an allocator that takes
// tenants over waits for it.
void LeaseHolder::RebuildLinks(double now) {
  for (auto& [id, link] : links_) {
    link.active = false;
    link.tenants.clear();
  }
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    const AllocatorMember& allocator = tenants_[i].allocator;
    if (allocator.id == 0) continue;
    AllocatorLink& link = links_[allocator.id];
    link.active = true;
    link.tenants.push_back(i);
  }
  for (auto& [id, link] : links_) {
    if (link.active) ScheduleFullReport(now, id, link);
  }
}

void LeaseHolder::ScheduleFullReport(double now, NodeId allocator, AllocatorLink& link) {
  link.full_report_pending = true;
  link.full_first_sequence = 0;
  link.full_last_sequence = 0;
  link.full_report_position = 0;
  link.retry_s = kFirstRetryIntervals * timings_.min_report_interval_s;
  ScheduleReport(now, allocator);
}

void LeaseHolder::ScheduleReport(double now, NodeId allocator) {
  const auto found = links_.find(allocator);
  if (found == links_.end() || !found->second.active) return;
  AllocatorLink& link = found->second;
  const double earliest =
      link.sequence == 0 ? now : std::max(now, link.reported_at + timings_.min_report_interval_s);
  link.due_at = std::min(link.due_at, earliest);
}

void LeaseHolder::SetQuotas(double, const std::vector<TenantQuota>& tenants) {
  for (const TenantQuota& tenant_quota : tenants) {
    const auto found = tenant_index_.find(tenant_quota.tenant);
    if (found != tenant_index_.end())
      tenants_[found->second].quota_rps = ValidRate(tenant_quota.quota_rps);
  }
}

void LeaseHolder::SetDemand(double now, std::size_t tenant, double demand) {
  Tenant& changed = tenants_.at(tenant);
  changed.demand_rps = ValidRate(demand);
  const double difference = std::abs(changed.demand_rps - changed.reported_demand_rps);
  const bool begins_or_ends = (changed.demand_rps > 0) != (changed.reported_demand_rps > 0);
  if (begins_or_ends || difference > timings_.hysteresis * changed.reported_demand_rps) {
    ScheduleReport(now, changed.allocator.id);
  }
}

// An expired lease is not extended: only another grant starts a new one.
void LeaseHolder::ExpireLeases(double now) {
  for (Tenant& tenant : tenants_) {
    if (tenant.rate_rps <= 0 || now < tenant.lease_ends_at) continue;
    tenant.rate_rps = 0;
    tenant.changed = true;
    ++counters_.expiries;
    ScheduleReport(now, tenant.allocator.id);
  }
}

RejectReason LeaseHolder::OnGrant(double now, NodeId from, const Grant& grant) {
  ExpireLeases(now);
  const RejectReason reason = Check(from, grant);
  if (reason != RejectReason::kNone) {
    ++counters_.rejected[static_cast<std::size_t>(reason)];
    return reason;
  }
  ++counters_.grants;
  AllocatorLink& link = links_.at(from);
  AcknowledgeReports(link, grant.acked_sequence);
  const double sent_at = link.sent_reports.front().second;
  const double until = sent_at + std::min(grant.lease_duration_s, timings_.lease_duration_s);
  ExtendLeases(link, until);
  for (const Assignment& assignment : grant.assignments) {
    ApplyAssignment(tenants_[tenant_index_.at(assignment.tenant)], assignment, now, until);
  }
  // A grant that acknowledges a report before the current full one requests what is being sent.
  const bool under_way =
      link.full_report_pending && link.full_first_sequence > grant.acked_sequence;
  if (grant.request_full_report && !under_way) ScheduleFullReport(now, from, link);
  return RejectReason::kNone;
}

void LeaseHolder::AcknowledgeReports(AllocatorLink& link, std::uint64_t acked_sequence) {
  link.acked_sequence = acked_sequence;
  while (link.sent_reports.front().first < acked_sequence) link.sent_reports.pop_front();
  if (link.full_last_sequence != 0 && acked_sequence >= link.full_last_sequence)
    link.full_report_pending = false;
}

RejectReason LeaseHolder::Check(NodeId from, const Grant& grant) const {
  if (grant.assignments.size() > kMaxEntries) return RejectReason::kTooLarge;
  if (!IsValidDuration(grant.lease_duration_s)) return RejectReason::kInvalidNumber;
  if (grant.epoch < view_.epoch) return RejectReason::kStaleEpoch;
  const auto link = links_.find(from);
  if (grant.epoch > view_.epoch) return RejectReason::kNotAllocator;
  if (link == links_.end() || !link->second.active) return RejectReason::kNotAllocator;
  if (grant.acked_sequence > link->second.sequence) return RejectReason::kInvalidNumber;
  const RejectReason reason = CheckAssignments(from, grant);
  if (reason != RejectReason::kNone) return reason;
  return IsNewer(link->second, grant) ? RejectReason::kNone : RejectReason::kDuplicate;
}

RejectReason LeaseHolder::CheckAssignments(NodeId from, const Grant& grant) const {
  for (const Assignment& assignment : grant.assignments) {
    if (!IsValidRate(assignment.rate_rps) || assignment.grant_number == 0)
      return RejectReason::kInvalidNumber;
    const auto found = tenant_index_.find(assignment.tenant);
    if (found == tenant_index_.end()) return RejectReason::kUnknownTenant;
    if (tenants_[found->second].allocator.id != from) return RejectReason::kNotAllocator;
  }
  return RejectReason::kNone;
}

// Whether the grant is new. It is not if it was received before, is older than a received one, or
// is for an earlier process.
bool LeaseHolder::IsNewer(const AllocatorLink& link, const Grant& grant) const {
  if (grant.process_incarnation != process_incarnation_ ||
      grant.acked_sequence < link.acked_sequence)
    return false;
  if (link.sent_reports.empty() || grant.acked_sequence < link.sent_reports.front().first)
    return false;
  if (grant.acked_sequence > link.acked_sequence) return true;
  return std::any_of(grant.assignments.begin(), grant.assignments.end(), [&](const Assignment& a) {
    return a.grant_number > tenants_[tenant_index_.at(a.tenant)].grant_number;
  });
}

// A lease from an earlier allocator is not extended: that allocator may still act, counts this
// dispatcher as silent, and grants the rate to others once the lease has ended.
void LeaseHolder::ExtendLeases(AllocatorLink& link, double until) {
  for (const std::size_t i : link.tenants) {
    Tenant& tenant = tenants_[i];
    if (tenant.rate_rps > 0 && tenant.grant_number != 0)
      tenant.lease_ends_at = std::max(tenant.lease_ends_at, until);
  }
}

void LeaseHolder::ApplyAssignment(Tenant& tenant, const Assignment& assignment, double now,
                                  double until) {
  if (assignment.grant_number < tenant.grant_number) return;
  // A repeated assignment is reported again: the allocator has not seen its confirmation.
  tenant.changed = true;
  if (assignment.grant_number > tenant.grant_number) {
    tenant.grant_number = assignment.grant_number;
    tenant.rate_rps = now < until ? assignment.rate_rps : 0;
    tenant.lease_ends_at = until;
  }
  ScheduleReport(now, tenant.allocator.id);
}

void LeaseHolder::Tick(double now, Actions* actions) {
  ExpireLeases(now);
  for (auto& [id, link] : links_) {
    if (link.active && now >= NextDue(link)) SendReport(now, id, link, actions);
  }
}

bool LeaseHolder::MustReport(const AllocatorLink& link, const Tenant& tenant) const {
  if (tenant.changed || tenant.demand_rps != tenant.reported_demand_rps) return true;
  const bool in_use = tenant.demand_rps > 0 || tenant.rate_rps > 0;
  return in_use && (link.full_report_pending || link.full_report_position > 0);
}

// The usages to report, as many as one message holds. They count as reported from now on.
std::vector<TenantUsage> LeaseHolder::CollectUsages(double now, AllocatorLink& link) {
  std::vector<TenantUsage> usages;
  std::size_t next = link.full_report_position;
  for (; next < link.tenants.size() && usages.size() < kMaxEntries; ++next) {
    Tenant& tenant = tenants_[link.tenants[next]];
    if (!MustReport(link, tenant)) continue;
    tenant.changed = false;
    tenant.reported_demand_rps = tenant.demand_rps;
    const double lease_remaining_s = tenant.rate_rps > 0 ? tenant.lease_ends_at - now : 0;
    usages.push_back(
        {tenant.id, tenant.demand_rps, tenant.rate_rps, lease_remaining_s, tenant.grant_number});
  }
  const bool is_full = link.full_report_pending || link.full_report_position > 0;
  link.full_report_position = is_full && usages.size() == kMaxEntries ? next : 0;
  return usages;
}

// A full report that was begun is completed, even if another one was completed meanwhile.
void LeaseHolder::SendReport(double now, NodeId allocator, AllocatorLink& link, Actions* actions) {
  const bool is_full = link.full_report_pending || link.full_report_position > 0;
  UsageReport report;
  report.epoch = view_.epoch;
  report.sequence = ++link.sequence;
  report.full = is_full && link.full_report_position == 0;
  report.usages = CollectUsages(now, link);
  const bool is_filled = report.usages.size() == kMaxEntries;
  if (report.full && link.full_first_sequence == 0) link.full_first_sequence = report.sequence;
  if (is_full && !is_filled) EndFullReport(link);
  link.sent_reports.emplace_back(report.sequence, now);
  if (link.sent_reports.size() > kMaxSentReports) link.sent_reports.pop_front();
  link.reported_at = now;
  link.due_at = is_filled || HasChanges(link) ? now + timings_.min_report_interval_s : kNever;
  actions->send.emplace_back(allocator, std::move(report));
  ++counters_.reports;
}

// A tenant may change after the full report under way has passed it.
bool LeaseHolder::HasChanges(const AllocatorLink& link) const {
  return std::any_of(link.tenants.begin(), link.tenants.end(),
                     [&](std::size_t i) { return tenants_[i].changed; });
}

void LeaseHolder::EndFullReport(AllocatorLink& link) {
  if (link.full_last_sequence != 0)
    link.retry_s = std::min(2 * link.retry_s, timings_.renew_interval_s);
  if (link.full_last_sequence == 0) link.full_last_sequence = link.sequence;
}

// Whether the next report is due within renew_interval_s: while this dispatcher has demand or a
// lease there, or its last report is not acknowledged.
bool LeaseHolder::NeedsRenewal(const AllocatorLink& link) const {
  if (link.acked_sequence < link.sequence) return true;
  return std::any_of(link.tenants.begin(), link.tenants.end(), [&](std::size_t i) {
    return tenants_[i].reported_demand_rps > 0 || tenants_[i].rate_rps > 0;
  });
}

double LeaseHolder::NextDue(const AllocatorLink& link) const {
  const double renewal = NeedsRenewal(link) ? link.reported_at + timings_.renew_interval_s : kNever;
  const bool unacknowledged =
      link.full_report_pending && link.full_last_sequence != 0 && link.full_report_position == 0;
  const double retry = unacknowledged ? link.reported_at + link.retry_s : kNever;
  return std::min({link.due_at, renewal, retry});
}

double LeaseHolder::NextTickAt() const {
  double next = kNever;
  for (const auto& [id, link] : links_) {
    if (link.active) next = std::min(next, NextDue(link));
  }
  for (const Tenant& tenant : tenants_) {
    if (tenant.rate_rps > 0) next = std::min(next, tenant.lease_ends_at);
  }
  return next;
}

double LeaseHolder::AdmissibleRate(double now, std::size_t tenant) const {
  return std::min(tenants_.at(tenant).quota_rps, FloorRate(tenant) + LeaseRate(now, tenant));
}

double LeaseHolder::LeaseRate(double now, std::size_t tenant) const {
  const Tenant& leased = tenants_.at(tenant);
  return now < leased.lease_ends_at ? leased.rate_rps : 0;
}

double LeaseHolder::FloorRate(std::size_t tenant) const {
  return timings_.FloorRate(tenants_.at(tenant).quota_rps, dispatchers_);
}

}  // namespace millethollow::quota
