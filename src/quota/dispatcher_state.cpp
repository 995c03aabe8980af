#include "quota/dispatcher_state.h"

#include <algorithm>

namespace millethollow::quota {
namespace {

// Former lives whose late reports are known as such.
constexpr std::size_t kMostFormerLives = 16;

}  // namespace

bool Dispatcher::IsNews(ProcessIncarnation reporter, std::uint64_t number) const {
  if (reporter == process_incarnation) return number > sequence;
  return std::find(former_lives.begin(), former_lives.end(), reporter) == former_lives.end();
}

void Dispatcher::StartLife(ProcessIncarnation started) {
  if (process_incarnation != 0) former_lives.push_back(process_incarnation);
  if (former_lives.size() > kMostFormerLives) former_lives.pop_front();
  if (!lapsed) former_end_at = std::max(former_end_at, leases_end_at);
  process_incarnation = started;
  sequence = 0;
  current = false;
  in_full_report = false;
  lapsed = true;
  unreachable = false;
  offers.clear();
}

bool Dispatcher::TakeReport(const UsageReport& report) {
  const bool gap = report.sequence != sequence + 1;
  sequence = report.sequence;
  if (report.full) {
    in_full_report = true;
    named.clear();
  } else if (gap) {
    in_full_report = false;
    current = false;
  }
  if (!in_full_report) return false;
  for (const TenantUsage& usage : report.usages) named.insert(usage.tenant);
  if (report.usages.size() == kMaxEntries) return false;
  in_full_report = false;
  full_epoch = std::max(full_epoch, report.epoch);
  current = true;
  return true;
}

double Dispatcher::NextEnd() const {
  double next = kNever;
  if (!lapsed) next = leases_end_at;
  if (!silent) next = std::min(next, silent_at);
  if (former_end_at > 0) next = std::min(next, former_end_at);
  return next;
}

}  // namespace millethollow::quota
