#include "quota/dispatcher_state.h"

#include <algorithm>

namespace millethollow::quota {
namespace {

// Earlier process incarnations whose late reports are rejected.
constexpr std::size_t kMaxEarlierIncarnations = 16;

}  // namespace

bool DispatcherState::IsNewer(ProcessIncarnation reporter, std::uint64_t number) const {
  if (reporter == process_incarnation) return number > sequence;
  return std::find(earlier_incarnations.begin(), earlier_incarnations.end(), reporter) ==
         earlier_incarnations.end();
}

void DispatcherState::StartIncarnation(ProcessIncarnation started) {
  if (process_incarnation != 0) earlier_incarnations.push_back(process_incarnation);
  if (earlier_incarnations.size() > kMaxEarlierIncarnations) earlier_incarnations.pop_front();
  if (!leases_expired) earlier_leases_end_at = std::max(earlier_leases_end_at, leases_end_at);
  process_incarnation = started;
  sequence = 0;
  usages_known = false;
  in_full_report = false;
  leases_expired = true;
  unreachable = false;
  pending_tenants.clear();
}

bool DispatcherState::OnReport(const UsageReport& report) {
  const bool gap = report.sequence != sequence + 1;
  sequence = report.sequence;
  if (report.full) {
    in_full_report = true;
    tenants_in_full_report.clear();
  } else if (gap) {
    in_full_report = false;
    usages_known = false;
  }
  if (!in_full_report) return false;
  for (const TenantUsage& usage : report.usages) tenants_in_full_report.insert(usage.tenant);
  if (report.usages.size() == kMaxEntries) return false;
  in_full_report = false;
  full_epoch = std::max(full_epoch, report.epoch);
  usages_known = true;
  return true;
}

double DispatcherState::NextExpiry() const {
  double next = kNever;
  if (!leases_expired) next = leases_end_at;
  if (!silent) next = std::min(next, silent_at);
  if (earlier_leases_end_at > 0) next = std::min(next, earlier_leases_end_at);
  return next;
}

}  // namespace millethollow::quota
