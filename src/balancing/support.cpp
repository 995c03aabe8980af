#include "balancing/support.h"

#include <cmath>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {
namespace {

constexpr std::size_t kMaxTenants = 60'000;  // peer reports index their figures by 16 bits

}  // namespace

Status ValidateSettings(const Settings& s) {
  const auto bad = [](const char* text) { return MakeError(ErrorCode::kInvalidArgument, text); };
  if (s.classes.empty()) return bad("no classes");
  if (s.dispatcher_count < 1 || s.dispatcher_index < 0)
    return bad("dispatchers or ordinal out of range");
  if (s.max_attempts < 1) return bad("no attempts allowed");
  for (const double t : {s.tick_s, s.max_retry_after_s, s.progress_interval_s,
                         s.max_poll_interval_s, s.slow_start_s, s.drain_grace_s, s.overload_for_s,
                         s.answer_slack_s, s.slow_start_load_multiple, s.slow_start_min_share}) {
    if (!(t >= 0) || !std::isfinite(t)) return bad("a negative or infinite time or figure");
  }
  for (const ClassSettings& c : s.classes) {
    if (!(c.latency_objective_s >= 0) || !(c.client_timeout_s > 0) ||
        !(c.latency_objective_stretch >= 0) || !(c.deduplication_window_s >= 0)) {
      return bad("a class with a negative time or no deadline");
    }
  }
  if (s.tenants.size() > kMaxTenants) return bad("too many tenants");
  for (const TenantSettings& t : s.tenants) {
    if (!(t.share >= 0) || !(t.quota_rps >= 0))
      return bad("a tenant with a negative share or quota");
  }
  return {};
}

}  // namespace millethollow::balancing
