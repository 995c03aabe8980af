// Hot reload of a node's configuration.
#include <algorithm>
#include <utility>

#include "config/reload.h"
#include "logging/log.h"
#include "node/node.h"

namespace millethollow {
namespace {

// Time for which requests of a class that a reload has removed are still accepted, since clients
// may have sent them already.
constexpr double kRemovedClassGraceS = 1.2;

}  // namespace

void Node::Reload() {
  Config new_config = config_;
  std::string reason;
  EndpointList endpoint_list;
  ClassChanges class_changes;
  // Without discovery, the endpoint list is part of the configuration.
  const bool fixed_list = planner_ && !discovery_ && new_config.discovery.empty();
  const auto class_in_use = [this](int class_index) {
    return (planner_ && planner_->IsClassInUse(class_index)) ||
           (forwarder_ && forwarder_->IsClassInUse(class_index));
  };
  if (!ReloadConfig(config_path_, class_in_use, &new_config, &class_changes, &reason) ||
      (fixed_list && new_config.known_workers != "{}" &&
       !ReadEndpointList(new_config.known_workers, config_.zones, config_.kinds, &endpoint_list,
                         &reason))) {
    LogLine(Level::kError) << "config-rejected reason=\"" << reason << '"';
    counters_.reload_errors += 1;
    return;
  }
  counters_.reloads += 1;
  const Config old_config = std::exchange(config_, std::move(new_config));
  LogLevel() = ParseLogLevel(config_.log_level);
  LogLine(Level::kInfo) << "config-reloaded name=" << config_.name;
  if (member_) ApplyQuotas();
  if (planner_) {
    planner_->Configure(config_.scheduling);
    planner_->Configure(config_.settings, config_.classes, config_.class_active,
                        class_changes.reassigned);
  }
  if (client_front_) ApplyNamesToFront(old_config);
  if (discovery_) discovery_->SetAddress(config_.discovery);
  if (fixed_list) OnEndpointList(balancing::EndpointListKind::kSnapshot, endpoint_list);
}

void Node::ApplyQuotas() {
  std::vector<double> quotas;
  for (const cluster::NamedQuota& tenant : TenantQuotas()) quotas.push_back(tenant.quota);
  member_->SetQuotas(quotas);
}

void Node::ApplyNamesToFront(const Config& old_config) {
  http::FrontOptions names = ActiveNames();
  for (std::size_t index = 0; index < old_config.classes.size(); ++index) {
    const bool replaced = std::find(names.classes.begin(), names.classes.end(),
                                    old_config.classes[index]) != names.classes.end();
    if (old_config.class_active[index] && !config_.class_active[index] && !replaced)
      names.classes[index] = old_config.classes[index];
  }
  client_front_->SetOptions(std::move(names));
  loop_.deadlines().Drop(&removed_classes_timer_);
  removed_classes_timer_ = loop_.deadlines().At(loop_.Now() + kRemovedClassGraceS, [this] {
    removed_classes_timer_ = Deadlines::kNone;
    client_front_->SetOptions(ActiveNames());
  });
}

}  // namespace millethollow
