// Prints each value of a configuration on a line of its own, under fixed names. A test compares the
// lines with those that revision 3865b00 printed for the same file: a renamed or lost setting would
// silently change the behavior of existing deployments.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SETTINGS_H_
#define MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SETTINGS_H_

#include <sstream>
#include <string>

#include "config/config.h"

namespace millethollow::compatibility {

// Collects lines `name=value`.
class ValueLines {
 public:
  ValueLines() { out_.precision(17); }
  // Adds a value; an enum as its number.
  template <typename T>
  void Add(const std::string& name, const T& value) {
    if constexpr (std::is_enum_v<T>) {
      out_ << name << '=' << static_cast<int>(value) << '\n';
    } else {
      out_ << name << '=' << value << '\n';
    }
  }
  // Adds the values of a list under their indices.
  void AddAll(const std::string& name, const auto& values) {
    int index = 0;
    for (const auto& value : values) Add(name + "." + std::to_string(index++), value);
  }
  std::string text() const { return out_.str(); }

 private:
  std::ostringstream out_;
};

// The settings of the decision module.
inline void AddBalancing(const balancing::Settings& settings, ValueLines* lines) {
  lines->Add("balancers", settings.dispatcher_count);
  lines->Add("ordinal", settings.dispatcher_index);
  lines->Add("tick_s", settings.tick_s);
  lines->Add("zone", settings.zone);
  lines->Add("zones", settings.zones);
  lines->Add("kinds", settings.kinds);
  int index = 0;
  for (const balancing::ClassSettings& class_settings : settings.classes) {
    const std::string prefix = "classes." + std::to_string(index++) + ".";
    lines->Add(prefix + "aim_s", class_settings.latency_objective_s);
    lines->Add(prefix + "stretch", class_settings.latency_objective_stretch);
    lines->Add(prefix + "give_up_s", class_settings.client_timeout_s);
    lines->Add(prefix + "importance", class_settings.priority_weight);
    lines->Add(prefix + "late_worth", class_settings.late_weight);
    lines->Add(prefix + "semantics", class_settings.idempotency);
    lines->Add(prefix + "group", class_settings.deduplication_scope);
    lines->Add(prefix + "window_s", class_settings.deduplication_window_s);
    lines->Add(prefix + "kind", class_settings.kind);
    lines->Add(prefix + "priority", class_settings.priority);
    lines->Add(prefix + "streamed", class_settings.streamed);
  }
  index = 0;
  for (const balancing::TenantSettings& tenant : settings.tenants) {
    const std::string prefix = "tenants." + std::to_string(index++) + ".";
    lines->Add(prefix + "fraction", tenant.share);
    lines->Add(prefix + "quota_rps", tenant.quota_rps);
  }
  lines->Add("marks_retry", settings.clients_mark_retries);
  lines->Add("discovery_ask", settings.polls_discovery);
  lines->Add("cancel", settings.cancel);
  lines->Add("may_duplicate", settings.allow_hedging);
  lines->Add("peers", settings.peers);
  lines->Add("probing", settings.probing);
  lines->Add("retry_after", settings.retry_after);
  lines->Add("most_tries", settings.max_attempts);
  lines->Add("max_retry_after_s", settings.max_retry_after_s);
  lines->Add("report_source", settings.load_report_source);
  lines->AddAll("report_columns", settings.load_report_metrics);
  lines->Add("tells_start", settings.workers_notify_start);
  lines->Add("progress_s", settings.progress_interval_s);
  lines->Add("sizes_told", settings.capacity_hints_valid);
  lines->Add("price_cross_zone", settings.price_cross_zone);
  lines->Add("price_waste", settings.price_waste);
  lines->Add("price_origin", settings.price_origin);
  lines->Add("price_peer", settings.price_peer);
  lines->Add("price_probe", settings.price_probe);
  lines->Add("over_share_worth", settings.over_quota_weight);
  lines->Add("answer_slack_s", settings.answer_slack_s);
  lines->Add("ask_within_s", settings.max_poll_interval_s);
  lines->Add("cold_share", settings.slow_start_min_share);
  lines->Add("cold_s", settings.slow_start_s);
  lines->Add("drain_grace_s", settings.drain_grace_s);
  lines->Add("fall_multiple", settings.slow_start_load_multiple);
  lines->Add("overload_for_s", settings.overload_for_s);
}

// The options of the process.
inline void AddNode(const Config& config, ValueLines* lines) {
  lines->Add("name", config.name);
  lines->Add("listen", config.listen);
  lines->Add("admin", config.admin);
  lines->Add("discovery", config.discovery);
  lines->Add("peer_listen", config.peer_listen);
  lines->Add("peers_all", config.peers_all);
  lines->Add("known", config.known_workers);
  lines->Add("log_level", config.log_level);
  lines->AddAll("peer_addresses", config.peers);
  lines->Add("seed", config.seed);
  lines->Add("sockets", config.max_sockets);
  lines->AddAll("class_names", config.classes);
  lines->AddAll("tenant_names", config.tenants);
  lines->AddAll("zone_names", config.zones);
  lines->AddAll("kind_names", config.kinds);
  lines->AddAll("column_names", config.columns);
  lines->Add("conn_idle_s", config.connection_idle_timeout_s);
  lines->Add("connect_timeout_s", config.connect_timeout_s);
  lines->Add("gearman.listen", config.gearman_listen);
  for (const auto& [function, mapping] : config.gearman_functions) {
    lines->Add("gearman.functions." + function + ".class", mapping.class_index);
    lines->Add("gearman.functions." + function + ".tenant", mapping.tenant);
  }
  lines->Add("gearman.zone", config.gearman_zone);
  lines->Add("gearman.kind", config.gearman_kind);
  lines->Add("gearman.cell", config.gearman_cell);
  lines->Add("gearman.path", config.gearman_path);
  lines->Add("levels.link", config.link_directory);
  lines->Add("levels.planners", config.planners);
  lines->Add("levels.forwarders", config.forwarders);
}

// The section `scheduling`.
inline void AddScheduling(const scheduling::Options& options, ValueLines* lines) {
  lines->Add("scheduling.enabled", options.on);
  lines->Add("scheduling.waiting.jobs", options.max_queued_jobs);
  lines->Add("scheduling.waiting.bytes", options.max_queued_bytes);
  lines->Add("scheduling.waiting.tenant_share", options.max_tenant_share);
  lines->AddAll("scheduling.hold.classes", options.reserving_classes);
  lines->Add("scheduling.hold.of_worker", options.max_reserved_worker_share);
  lines->Add("scheduling.hold.of_fleet", options.max_reserved_fleet_share);
  lines->Add("scheduling.hold.seconds", options.reservation_timeout_s);
  lines->Add("scheduling.zone_patience_s", options.local_zone_wait_s);
  lines->Add("scheduling.memory_per_slot", options.memory_per_slot);
}

// The section `cluster`.
inline void AddCluster(const ClusterOptions& options, ValueLines* lines) {
  lines->Add("cluster.name", options.name);
  lines->Add("cluster.self", options.self);
  lines->Add("cluster.listen", options.listen);
  lines->Add("cluster.store", options.store);
  int index = 0;
  for (const ClusterMember& member : options.members) {
    const std::string prefix = "cluster.members." + std::to_string(index++) + ".";
    lines->Add(prefix + "id", member.id);
    lines->Add(prefix + "address", member.address);
    lines->Add(prefix + "place", member.failure_domain);
    lines->Add(prefix + "voter", member.voter);
  }
  lines->Add("cluster.cut_off_part", options.isolated_share);
  lines->Add("cluster.store_bytes", options.store_bytes);
  lines->Add("cluster.copies", options.copies);
  lines->Add("cluster.copies_least", options.min_replicas);
  lines->Add("cluster.jobs.most", options.jobs.jobs);
  lines->Add("cluster.jobs.bytes", options.jobs.bytes);
  lines->Add("cluster.jobs.running", options.jobs.running);
  lines->Add("cluster.jobs.tenant_share", options.jobs.tenant_share);
  lines->Add("cluster.jobs.again_least_s", options.jobs.retry_min_s);
  lines->Add("cluster.jobs.again_most_s", options.jobs.retry_max_s);
  lines->Add("cluster.quota.on", options.quota.on);
  lines->AddAll("cluster.quota.allocators", options.quota.allocators);
  lines->Add("cluster.quota.span_s", options.quota.timings.lease_duration_s);
  lines->Add("cluster.quota.renew_s", options.quota.timings.renew_interval_s);
  lines->Add("cluster.quota.report_gap_s", options.quota.timings.min_report_interval_s);
  lines->Add("cluster.quota.floor_part", options.quota.timings.floor_fraction);
  lines->Add("cluster.quota.hysteresis", options.quota.timings.hysteresis);
  lines->Add("cluster.quota.act_s", options.quota.timings.superseded_grant_s);
  lines->Add("cluster.timings.probe_s", options.detector.probe_interval_s);
  lines->Add("cluster.timings.timeout_s", options.detector.probe_timeout_s);
  lines->Add("cluster.timings.gossip_s", options.detector.gossip_interval_s);
  lines->Add("cluster.timings.suspect_s", options.detector.suspicion_min_s);
  lines->Add("cluster.timings.suspect_most_s", options.detector.suspicion_max_s);
  lines->Add("cluster.timings.failed_probe_s", options.detector.failed_probe_interval_s);
  lines->Add("cluster.timings.beat_s", options.agreement.heartbeat_s);
  lines->Add("cluster.timings.election_s", options.agreement.election_s);
  lines->Add("cluster.timings.lease_s", options.agreement.lease_s);
  lines->Add("cluster.timings.renew_s", options.agreement.renew_s);
  lines->Add("cluster.timings.view_gap_s", options.agreement.min_view_interval_s);
  lines->Add("cluster.timings.drift", options.agreement.clock_drift);
  lines->Add("cluster.timings.return_s", options.agreement.rejoin_backoff_s);
  lines->Add("cluster.timings.return_most_s", options.agreement.rejoin_backoff_max_s);
  lines->Add("cluster.timings.forgive_s", options.agreement.rejoin_backoff_reset_s);
}

// The lines of all values of a configuration.
inline std::string FormatValues(const Config& config) {
  ValueLines lines;
  AddNode(config, &lines);
  AddBalancing(config.settings, &lines);
  AddScheduling(config.scheduling, &lines);
  AddCluster(config.cluster, &lines);
  return lines.text();
}

}  // namespace millethollow::compatibility

#endif  // MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SETTINGS_H_
