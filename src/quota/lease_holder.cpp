#include "quota/lease_holder.h"

#include <algorithm>
#include <cmath>

namespace millethollow::quota {
namespace {

// Reports whose time of sending is remembered, for each allocator.
constexpr std::size_t kMostSent = 64;
// The first retry of a full report comes after so many report gaps; then doubled.
constexpr double kRetryGaps = 2;

double ValidRate(double rate) { return IsValidRate(rate) ? rate : 0; }

}  // namespace

LeaseHolder::LeaseHolder(ProcessIncarnation process_incarnation, std::size_t dispatchers,
                         std::vector<TenantQuota> tenants, const LeaseTimings& timings)
    : process_incarnation_(process_incarnation), dispatchers_(dispatchers), timings_(timings) {
  if (tenants.size() > kMaxTenants) tenants.resize(kMaxTenants);
  for (const TenantQuota& given : tenants) {
    Tenant tenant;
    tenant.id = given.tenant;
    tenant.quota_rps = ValidRate(given.quota_rps);
    index_.emplace(tenant.id, tenants_.size());
    tenants_.push_back(tenant);
  }
}

void LeaseHolder::SetView(double now, const AllocatorView& view) {
  if (view.epoch <= view_.epoch) return;
  ExpireLeases(now);
  const bool next = view.epoch == view_.epoch + 1;
  view_ = view;
  MoveTenants(!next);
  RenewLinks(now);
}

// `views_missed`: others may have allocated any tenant in between.
void LeaseHolder::MoveTenants(bool views_missed) {
  for (Tenant& tenant : tenants_) {
    const AllocatorMember* allocator = view_.AllocatorOf(tenant.id);
    const AllocatorMember next = allocator == nullptr ? AllocatorMember{} : *allocator;
    if (next == tenant.allocator && !views_missed) continue;
    tenant.allocator = next;
    tenant.grant_number = 0;
    tenant.changed = true;
  }
}

// Each allocator of the view is told all at once, and whether there is anything or not: one that
// takes tenants over waits for that.
void LeaseHolder::RenewLinks(double now) {
  for (auto& [id, link] : links_) {
    link.active = false;
    link.tenants.clear();
  }
  for (std::size_t i = 0; i < tenants_.size(); ++i) {
    const AllocatorMember& allocator = tenants_[i].allocator;
    if (allocator.id == 0) continue;
    Link& link = links_[allocator.id];
    link.active = true;
    link.tenants.push_back(i);
  }
  for (auto& [id, link] : links_) {
    if (link.active) WantFull(now, id, link);
  }
}

void LeaseHolder::WantFull(double now, NodeId allocator, Link& link) {
  link.full = true;
  link.full_begin = 0;
  link.full_end = 0;
  link.reported_tenants = 0;
  link.retry_s = kRetryGaps * timings_.min_report_interval_s;
  MakeDue(now, allocator);
}

void LeaseHolder::MakeDue(double now, NodeId allocator) {
  const auto found = links_.find(allocator);
  if (found == links_.end() || !found->second.active) return;
  Link& link = found->second;
  const double earliest =
      link.sequence == 0 ? now : std::max(now, link.reported_at + timings_.min_report_interval_s);
  link.due_at = std::min(link.due_at, earliest);
}

void LeaseHolder::SetQuotas(double, const std::vector<TenantQuota>& tenants) {
  for (const TenantQuota& given : tenants) {
    const auto found = index_.find(given.tenant);
    if (found != index_.end()) tenants_[found->second].quota_rps = ValidRate(given.quota_rps);
  }
}

void LeaseHolder::SetDemand(double now, std::size_t tenant, double demand) {
  Tenant& changed = tenants_.at(tenant);
  changed.demand_rps = ValidRate(demand);
  const double difference = std::abs(changed.demand_rps - changed.reported_demand_rps);
  const bool begins_or_ends = (changed.demand_rps > 0) != (changed.reported_demand_rps > 0);
  if (begins_or_ends || difference > timings_.hysteresis * changed.reported_demand_rps) {
    MakeDue(now, changed.allocator.id);
  }
}

// A lease that is over stays over: only another grant begins one.
void LeaseHolder::ExpireLeases(double now) {
  for (Tenant& tenant : tenants_) {
    if (tenant.rate_rps <= 0 || now < tenant.until) continue;
    tenant.rate_rps = 0;
    tenant.changed = true;
    ++counters_.expiries;
    MakeDue(now, tenant.allocator.id);
  }
}

RejectReason LeaseHolder::OnGrant(double now, NodeId from, const Grant& grant) {
  ExpireLeases(now);
  const RejectReason refusal = Check(from, grant);
  if (refusal != RejectReason::kNone) {
    ++counters_.rejected[static_cast<std::size_t>(refusal)];
    return refusal;
  }
  ++counters_.grants;
  Link& link = links_.at(from);
  TakeAnswer(link, grant.acked_sequence);
  const double sent_at = link.sent.front().second;
  const double until = sent_at + std::min(grant.lease_duration_s, timings_.lease_duration_s);
  Prolong(link, until);
  for (const Assignment& assignment : grant.assignments) {
    Apply(tenants_[index_.at(assignment.tenant)], assignment, now, until);
  }
  // One that answers an earlier report than the full one under way has nothing new to ask.
  const bool under_way = link.full && link.full_begin > grant.acked_sequence;
  if (grant.request_full_report && !under_way) WantFull(now, from, link);
  return RejectReason::kNone;
}

void LeaseHolder::TakeAnswer(Link& link, std::uint64_t acked_sequence) {
  link.heard_answer = acked_sequence;
  while (link.sent.front().first < acked_sequence) link.sent.pop_front();
  if (link.full_end != 0 && acked_sequence >= link.full_end) link.full = false;
}

RejectReason LeaseHolder::Check(NodeId from, const Grant& grant) const {
  if (grant.assignments.size() > kMaxEntries) return RejectReason::kTooLarge;
  if (!IsValidDuration(grant.lease_duration_s)) return RejectReason::kInvalidNumber;
  if (grant.epoch < view_.epoch) return RejectReason::kStaleEpoch;
  const auto link = links_.find(from);
  if (grant.epoch > view_.epoch) return RejectReason::kNotAllocator;
  if (link == links_.end() || !link->second.active) return RejectReason::kNotAllocator;
  if (grant.acked_sequence > link->second.sequence) return RejectReason::kInvalidNumber;
  const RejectReason refusal = CheckAssignments(from, grant);
  if (refusal != RejectReason::kNone) return refusal;
  return IsNews(link->second, grant) ? RejectReason::kNone : RejectReason::kDuplicate;
}

RejectReason LeaseHolder::CheckAssignments(NodeId from, const Grant& grant) const {
  for (const Assignment& assignment : grant.assignments) {
    if (!IsValidRate(assignment.rate_rps) || assignment.grant_number == 0)
      return RejectReason::kInvalidNumber;
    const auto found = index_.find(assignment.tenant);
    if (found == index_.end()) return RejectReason::kUnknownTenant;
    if (tenants_[found->second].allocator.id != from) return RejectReason::kNotAllocator;
  }
  return RejectReason::kNone;
}

// False for one that came before, came after a later one, or is meant for a former life.
bool LeaseHolder::IsNews(const Link& link, const Grant& grant) const {
  if (grant.process_incarnation != process_incarnation_ || grant.acked_sequence < link.heard_answer)
    return false;
  if (link.sent.empty() || grant.acked_sequence < link.sent.front().first) return false;
  if (grant.acked_sequence > link.heard_answer) return true;
  return std::any_of(grant.assignments.begin(), grant.assignments.end(), [&](const Assignment& a) {
    return a.grant_number > tenants_[index_.at(a.tenant)].grant_number;
  });
}

// A lease of an earlier allocator is not prolonged: that one may still act, takes this dispatcher
// for silent, and grants the rate to others once the lease should be over.
void LeaseHolder::Prolong(Link& link, double until) {
  for (const std::size_t i : link.tenants) {
    Tenant& tenant = tenants_[i];
    if (tenant.rate_rps > 0 && tenant.grant_number != 0)
      tenant.until = std::max(tenant.until, until);
  }
}

void LeaseHolder::Apply(Tenant& tenant, const Assignment& assignment, double now, double until) {
  if (assignment.grant_number < tenant.grant_number) return;
  // One that came before is told of again: its allocator does not know yet.
  tenant.changed = true;
  if (assignment.grant_number > tenant.grant_number) {
    tenant.grant_number = assignment.grant_number;
    tenant.rate_rps = now < until ? assignment.rate_rps : 0;
    tenant.until = until;
  }
  MakeDue(now, tenant.allocator.id);
}

void LeaseHolder::Tick(double now, Actions* actions) {
  ExpireLeases(now);
  for (auto& [id, link] : links_) {
    if (link.active && now >= NextDue(link)) SendReport(now, id, link, actions);
  }
}

bool LeaseHolder::IsToTell(const Link& link, const Tenant& tenant) const {
  if (tenant.changed || tenant.demand_rps != tenant.reported_demand_rps) return true;
  const bool in_use = tenant.demand_rps > 0 || tenant.rate_rps > 0;
  return in_use && (link.full || link.reported_tenants > 0);
}

// What is to be told, as much as one report holds; it counts as told from here on.
std::vector<TenantUsage> LeaseHolder::TakeUsages(double now, Link& link) {
  std::vector<TenantUsage> usages;
  std::size_t next = link.reported_tenants;
  for (; next < link.tenants.size() && usages.size() < kMaxEntries; ++next) {
    Tenant& tenant = tenants_[link.tenants[next]];
    if (!IsToTell(link, tenant)) continue;
    tenant.changed = false;
    tenant.reported_demand_rps = tenant.demand_rps;
    const double lease_remaining_s = tenant.rate_rps > 0 ? tenant.until - now : 0;
    usages.push_back(
        {tenant.id, tenant.demand_rps, tenant.rate_rps, lease_remaining_s, tenant.grant_number});
  }
  const bool is_full = link.full || link.reported_tenants > 0;
  link.reported_tenants = is_full && usages.size() == kMaxEntries ? next : 0;
  return usages;
}

// A full report that was begun is ended, also if all was told in another one meanwhile.
void LeaseHolder::SendReport(double now, NodeId allocator, Link& link, Actions* actions) {
  const bool is_full = link.full || link.reported_tenants > 0;
  UsageReport report;
  report.epoch = view_.epoch;
  report.sequence = ++link.sequence;
  report.full = is_full && link.reported_tenants == 0;
  report.usages = TakeUsages(now, link);
  const bool is_filled = report.usages.size() == kMaxEntries;
  if (report.full && link.full_begin == 0) link.full_begin = report.sequence;
  if (is_full && !is_filled) EndFullReport(link);
  link.sent.emplace_back(report.sequence, now);
  if (link.sent.size() > kMostSent) link.sent.pop_front();
  link.reported_at = now;
  link.due_at = is_filled || HasChanges(link) ? now + timings_.min_report_interval_s : kNever;
  actions->send.emplace_back(allocator, std::move(report));
  ++counters_.reports;
}

// A tenant may change after the full report under way has passed it.
bool LeaseHolder::HasChanges(const Link& link) const {
  return std::any_of(link.tenants.begin(), link.tenants.end(),
                     [&](std::size_t i) { return tenants_[i].changed; });
}

void LeaseHolder::EndFullReport(Link& link) {
  if (link.full_end != 0) link.retry_s = std::min(2 * link.retry_s, timings_.renew_interval_s);
  if (link.full_end == 0) link.full_end = link.sequence;
}

// While it has demand or a lease there, or is not known to be heard.
bool LeaseHolder::NeedsRenewal(const Link& link) const {
  if (link.heard_answer < link.sequence) return true;
  return std::any_of(link.tenants.begin(), link.tenants.end(), [&](std::size_t i) {
    return tenants_[i].reported_demand_rps > 0 || tenants_[i].rate_rps > 0;
  });
}

double LeaseHolder::NextDue(const Link& link) const {
  const double renewal = NeedsRenewal(link) ? link.reported_at + timings_.renew_interval_s : kNever;
  const bool unanswered = link.full && link.full_end != 0 && link.reported_tenants == 0;
  const double retry = unanswered ? link.reported_at + link.retry_s : kNever;
  return std::min({link.due_at, renewal, retry});
}

double LeaseHolder::NextTickAt() const {
  double next = kNever;
  for (const auto& [id, link] : links_) {
    if (link.active) next = std::min(next, NextDue(link));
  }
  for (const Tenant& tenant : tenants_) {
    if (tenant.rate_rps > 0) next = std::min(next, tenant.until);
  }
  return next;
}

double LeaseHolder::AdmissibleRate(double now, std::size_t tenant) const {
  return std::min(tenants_.at(tenant).quota_rps, FloorRate(tenant) + LeaseRate(now, tenant));
}

double LeaseHolder::LeaseRate(double now, std::size_t tenant) const {
  const Tenant& leased = tenants_.at(tenant);
  return now < leased.until ? leased.rate_rps : 0;
}

double LeaseHolder::FloorRate(std::size_t tenant) const {
  return timings_.FloorRate(tenants_.at(tenant).quota_rps, dispatchers_);
}

}  // namespace millethollow::quota
