#include "balancing/support.h"

#include <cmath>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {
namespace {

// Usage reports have 16-bit indices of their rates.
constexpr std::size_t kMaxTenants = 60'000;

}  // namespace

Status ValidateSettings(const Settings& settings) {
  const auto invalid = [](const char* message) {
    return MakeError(ErrorCode::kInvalidArgument, message);
  };
  if (settings.classes.empty()) return invalid("no request classes are configured");
  if (settings.dispatcher_count < 1 || settings.dispatcher_index < 0)
    return invalid("the dispatcher count must be at least 1 and the dispatcher index at least 0");
  if (settings.max_attempts < 1) return invalid("max_attempts must be at least 1");
  for (const double value :
       {settings.tick_s, settings.max_retry_after_s, settings.progress_interval_s,
        settings.max_poll_interval_s, settings.slow_start_s, settings.drain_grace_s,
        settings.overload_for_s, settings.answer_slack_s, settings.slow_start_load_multiple,
        settings.slow_start_min_share}) {
    if (!(value >= 0) || !std::isfinite(value))
      return invalid("a time or ratio is negative or not finite");
  }
  for (const ClassSettings& request_class : settings.classes) {
    if (!(request_class.latency_objective_s >= 0) || !(request_class.client_timeout_s > 0) ||
        !(request_class.latency_objective_stretch >= 0) ||
        !(request_class.deduplication_window_s >= 0)) {
      return invalid("a class has a negative time or no client timeout");
    }
  }
  if (settings.tenants.size() > kMaxTenants) return invalid("too many tenants");
  for (const TenantSettings& tenant : settings.tenants) {
    if (!(tenant.share >= 0) || !(tenant.quota_rps >= 0))
      return invalid("a tenant has a negative share or quota");
  }
  return {};
}

}  // namespace millethollow::balancing
