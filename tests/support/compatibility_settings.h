// What a configuration file comes to, one value a line: to be compared with what the program at
// 3865b00 read from the same file.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SETTINGS_H_
#define MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SETTINGS_H_

#include <sstream>
#include <string>

#include "config/config.h"

namespace millethollow::compatibility {

class ValueLines {
 public:
  ValueLines() { out_.precision(17); }
  template <typename T>
  void Add(const std::string& name, const T& value) {
    if constexpr (std::is_enum_v<T>) {
      out_ << name << '=' << static_cast<int>(value) << '\n';
    } else {
      out_ << name << '=' << value << '\n';
    }
  }
  void AddAll(const std::string& name, const auto& values) {
    int index = 0;
    for (const auto& value : values) Add(name + "." + std::to_string(index++), value);
  }
  std::string text() const { return out_.str(); }

 private:
  std::ostringstream out_;
};

inline void AddBalancing(const balancing::Settings& s, ValueLines* lines) {
  lines->Add("balancers", s.dispatcher_count);
  lines->Add("ordinal", s.dispatcher_index);
  lines->Add("tick_s", s.tick_s);
  lines->Add("zone", s.zone);
  lines->Add("zones", s.zones);
  lines->Add("kinds", s.kinds);
  int index = 0;
  for (const balancing::ClassSettings& c : s.classes) {
    const std::string at = "classes." + std::to_string(index++) + ".";
    lines->Add(at + "aim_s", c.latency_objective_s);
    lines->Add(at + "stretch", c.latency_objective_stretch);
    lines->Add(at + "give_up_s", c.client_timeout_s);
    lines->Add(at + "importance", c.priority_weight);
    lines->Add(at + "late_worth", c.late_weight);
    lines->Add(at + "semantics", c.idempotency);
    lines->Add(at + "group", c.deduplication_scope);
    lines->Add(at + "window_s", c.deduplication_window_s);
    lines->Add(at + "kind", c.kind);
    lines->Add(at + "priority", c.priority);
    lines->Add(at + "streamed", c.streamed);
  }
  index = 0;
  for (const balancing::TenantSettings& t : s.tenants) {
    const std::string at = "tenants." + std::to_string(index++) + ".";
    lines->Add(at + "fraction", t.share);
    lines->Add(at + "quota_rps", t.quota_rps);
  }
  lines->Add("marks_retry", s.clients_mark_retries);
  lines->Add("discovery_ask", s.polls_discovery);
  lines->Add("cancel", s.cancel);
  lines->Add("may_duplicate", s.allow_hedging);
  lines->Add("peers", s.peers);
  lines->Add("probing", s.probing);
  lines->Add("retry_after", s.retry_after);
  lines->Add("most_tries", s.max_attempts);
  lines->Add("max_retry_after_s", s.max_retry_after_s);
  lines->Add("report_source", s.load_report_source);
  lines->AddAll("report_columns", s.load_report_metrics);
  lines->Add("tells_start", s.workers_notify_start);
  lines->Add("progress_s", s.progress_interval_s);
  lines->Add("sizes_told", s.capacity_hints_valid);
  lines->Add("price_cross_zone", s.price_cross_zone);
  lines->Add("price_waste", s.price_waste);
  lines->Add("price_origin", s.price_origin);
  lines->Add("price_peer", s.price_peer);
  lines->Add("price_probe", s.price_probe);
  lines->Add("over_share_worth", s.over_quota_weight);
  lines->Add("answer_slack_s", s.answer_slack_s);
  lines->Add("ask_within_s", s.max_poll_interval_s);
  lines->Add("cold_share", s.slow_start_min_share);
  lines->Add("cold_s", s.slow_start_s);
  lines->Add("drain_grace_s", s.drain_grace_s);
  lines->Add("fall_multiple", s.slow_start_load_multiple);
  lines->Add("overload_for_s", s.overload_for_s);
}

inline void AddNode(const Config& c, ValueLines* lines) {
  lines->Add("name", c.name);
  lines->Add("listen", c.listen);
  lines->Add("admin", c.admin);
  lines->Add("discovery", c.discovery);
  lines->Add("peer_listen", c.peer_listen);
  lines->Add("peers_all", c.peers_all);
  lines->Add("known", c.known_workers);
  lines->Add("log_level", c.log_level);
  lines->AddAll("peer_addresses", c.peers);
  lines->Add("seed", c.seed);
  lines->Add("sockets", c.max_sockets);
  lines->AddAll("class_names", c.classes);
  lines->AddAll("tenant_names", c.tenants);
  lines->AddAll("zone_names", c.zones);
  lines->AddAll("kind_names", c.kinds);
  lines->AddAll("column_names", c.columns);
  lines->Add("conn_idle_s", c.connection_idle_timeout_s);
  lines->Add("connect_timeout_s", c.connect_timeout_s);
  lines->Add("gearman.listen", c.gearman_listen);
  for (const auto& [function, mapping] : c.gearman_functions) {
    lines->Add("gearman.functions." + function + ".class", mapping.cls);
    lines->Add("gearman.functions." + function + ".tenant", mapping.tenant);
  }
  lines->Add("gearman.zone", c.gearman_zone);
  lines->Add("gearman.kind", c.gearman_kind);
  lines->Add("gearman.cell", c.gearman_cell);
  lines->Add("gearman.path", c.gearman_path);
  lines->Add("levels.link", c.link_directory);
  lines->Add("levels.planners", c.planners);
  lines->Add("levels.forwarders", c.forwarders);
}

inline void AddScheduling(const scheduling::Options& o, ValueLines* lines) {
  lines->Add("scheduling.enabled", o.on);
  lines->Add("scheduling.waiting.jobs", o.max_queued_jobs);
  lines->Add("scheduling.waiting.bytes", o.max_queued_bytes);
  lines->Add("scheduling.waiting.tenant_share", o.max_tenant_share);
  lines->AddAll("scheduling.hold.classes", o.reserving_classes);
  lines->Add("scheduling.hold.of_worker", o.max_reserved_worker_share);
  lines->Add("scheduling.hold.of_fleet", o.max_reserved_fleet_share);
  lines->Add("scheduling.hold.seconds", o.reservation_timeout_s);
  lines->Add("scheduling.zone_patience_s", o.local_zone_wait_s);
  lines->Add("scheduling.memory_per_slot", o.memory_per_slot);
}

inline void AddCluster(const ClusterOptions& o, ValueLines* lines) {
  lines->Add("cluster.name", o.name);
  lines->Add("cluster.self", o.self);
  lines->Add("cluster.listen", o.listen);
  lines->Add("cluster.store", o.store);
  int index = 0;
  for (const ClusterMember& m : o.members) {
    const std::string at = "cluster.members." + std::to_string(index++) + ".";
    lines->Add(at + "id", m.id);
    lines->Add(at + "address", m.address);
    lines->Add(at + "place", m.failure_domain);
    lines->Add(at + "voter", m.voter);
  }
  lines->Add("cluster.cut_off_part", o.isolated_share);
  lines->Add("cluster.store_bytes", o.store_bytes);
  lines->Add("cluster.copies", o.copies);
  lines->Add("cluster.copies_least", o.min_replicas);
  lines->Add("cluster.jobs.most", o.jobs.jobs);
  lines->Add("cluster.jobs.bytes", o.jobs.bytes);
  lines->Add("cluster.jobs.running", o.jobs.running);
  lines->Add("cluster.jobs.tenant_share", o.jobs.tenant_share);
  lines->Add("cluster.jobs.again_least_s", o.jobs.retry_min_s);
  lines->Add("cluster.jobs.again_most_s", o.jobs.retry_max_s);
  lines->Add("cluster.quota.on", o.quota.on);
  lines->AddAll("cluster.quota.allocators", o.quota.allocators);
  lines->Add("cluster.quota.span_s", o.quota.timings.lease_duration_s);
  lines->Add("cluster.quota.renew_s", o.quota.timings.renew_interval_s);
  lines->Add("cluster.quota.report_gap_s", o.quota.timings.min_report_interval_s);
  lines->Add("cluster.quota.floor_part", o.quota.timings.floor_fraction);
  lines->Add("cluster.quota.hysteresis", o.quota.timings.hysteresis);
  lines->Add("cluster.quota.act_s", o.quota.timings.superseded_grant_s);
  lines->Add("cluster.timings.probe_s", o.detector.probe_interval_s);
  lines->Add("cluster.timings.timeout_s", o.detector.probe_timeout_s);
  lines->Add("cluster.timings.gossip_s", o.detector.gossip_interval_s);
  lines->Add("cluster.timings.suspect_s", o.detector.suspicion_min_s);
  lines->Add("cluster.timings.suspect_most_s", o.detector.suspicion_max_s);
  lines->Add("cluster.timings.failed_probe_s", o.detector.failed_probe_interval_s);
  lines->Add("cluster.timings.beat_s", o.agreement.heartbeat_s);
  lines->Add("cluster.timings.election_s", o.agreement.election_s);
  lines->Add("cluster.timings.lease_s", o.agreement.lease_s);
  lines->Add("cluster.timings.renew_s", o.agreement.renew_s);
  lines->Add("cluster.timings.view_gap_s", o.agreement.min_view_interval_s);
  lines->Add("cluster.timings.drift", o.agreement.clock_drift);
  lines->Add("cluster.timings.return_s", o.agreement.rejoin_backoff_s);
  lines->Add("cluster.timings.return_most_s", o.agreement.rejoin_backoff_max_s);
  lines->Add("cluster.timings.forgive_s", o.agreement.rejoin_backoff_reset_s);
}

inline std::string ValuesOf(const Config& config) {
  ValueLines lines;
  AddNode(config, &lines);
  AddBalancing(config.settings, &lines);
  AddScheduling(config.scheduling, &lines);
  AddCluster(config.cluster, &lines);
  return lines.text();
}

}  // namespace millethollow::compatibility

#endif  // MILLETHOLLOW_TESTS_SUPPORT_COMPATIBILITY_SETTINGS_H_
