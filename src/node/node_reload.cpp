// A node's configuration, read again while it runs.
#include <algorithm>
#include <utility>

#include "config/reload.h"
#include "logging/log.h"
#include "node/node.h"

namespace millethollow {
namespace {

// Requests of a class that a reload ends are still accepted for so long: clients have sent them.
constexpr double kOldNamesS = 1.2;

}  // namespace

void Node::Reload() {
  Config fresh = config_;
  std::string reason;
  ServerList known;
  ClassChanges changes;
  // Without discovery the configuration has the endpoint list.
  const bool fixed_list = planner_ && !discovery_ && fresh.discovery.empty();
  const auto in_use = [this](int cls) {
    return (planner_ && planner_->InUse(cls)) || (forwarder_ && forwarder_->IsClassInUse(cls));
  };
  if (!ReloadConfig(config_path_, in_use, &fresh, &changes, &reason) ||
      (fixed_list && fresh.known != "{}" &&
       !ReadServerList(fresh.known, config_.zones, config_.kinds, &known, &reason))) {
    LogLine(Level::kError) << "config-rejected reason=\"" << reason << '"';
    counters_.reload_errors += 1;
    return;
  }
  counters_.reloads += 1;
  const Config before = std::exchange(config_, std::move(fresh));
  LogLevel() = ParseLogLevel(config_.log_level);
  LogLine(Level::kInfo) << "config-reloaded name=" << config_.name;
  if (member_) ApplyQuotas();
  if (planner_) {
    planner_->Configure(config_.scheduling);
    planner_->Configure(config_.settings, config_.classes, config_.live, changes.begun);
  }
  if (front_) ApplyToClients(before);
  if (discovery_) discovery_->SetAddress(config_.discovery);
  if (fixed_list) OnList(balancing::EndpointListKind::kSnapshot, known);
}

void Node::ApplyQuotas() {
  std::vector<double> quotas;
  for (const cluster::NamedQuota& tenant : TenantQuotas()) quotas.push_back(tenant.quota);
  member_->SetQuotas(quotas);
}

void Node::ApplyToClients(const Config& before) {
  http::Names names = ActiveNames();
  for (std::size_t c = 0; c < before.classes.size(); ++c) {
    const bool replaced = std::find(names.classes.begin(), names.classes.end(),
                                    before.classes[c]) != names.classes.end();
    if (before.live[c] && !config_.live[c] && !replaced) names.classes[c] = before.classes[c];
  }
  front_->SetNames(std::move(names));
  loop_.deadlines().Drop(&old_names_);
  old_names_ = loop_.deadlines().At(loop_.Now() + kOldNamesS, [this] {
    old_names_ = Deadlines::kNone;
    front_->SetNames(ActiveNames());
  });
}

}  // namespace millethollow
