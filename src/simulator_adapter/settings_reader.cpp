// Names of settings and the members of balancing::Settings that they set. Settings that are not
// listed have the name of their member.
//
//   balancers                      dispatcher_count
//   ordinal                        dispatcher_index
//   zones, kinds                   the number of these comma-separated names
//   classes.N.aim_s                classes[N].latency_objective_s
//   classes.N.aim_stretch          classes[N].latency_objective_stretch
//   classes.N.give_up_s            classes[N].client_timeout_s
//   classes.N.importance           classes[N].priority_weight
//   classes.N.late_worth           classes[N].late_weight
//   classes.N.window_s             classes[N].deduplication_window_s
//   classes.N.semantics            classes[N].idempotency: repeatable, by_key, once
//   classes.N.group                classes[N].deduplication_scope: all, zone, cell
//   family_info.class_stretch      classes[N].latency_objective_stretch, the larger of both
//   family_info.class_kind         classes[N].kind, comma-separated
//   family_info.class_priority     classes[N].priority, comma-separated
//   tenants.N.fraction             tenants[N].share
//   clients.marks_retry            clients_mark_retries
//   discovery                      polls_discovery: ask, push
//   limits.may_duplicate           allow_hedging
//   limits.most_tries              max_attempts
//   report.source                  load_report_source: off, inline, on_probe
//   report.columns                 load_report_metrics: rif (requests in flight), q (queued), busy
//                                  (utilization), lat_ms (latency), rate, fail_rate, x0, x1
//   family_info.report_x0, _x1     metrics of the columns x0 and x1: free_slots, free_memory
//   family_info.tells_start        workers_notify_start
//   family_info.progress_s         progress_interval_s
//   weights                        capacity_hints_valid: false if empty or off
//   prices.X                       price_X
//   over_share_worth               over_quota_weight
//   guarantees.ask_within_s        max_poll_interval_s
//   guarantees.cold_share          slow_start_min_share
//   guarantees.cold_s              slow_start_s
//   guarantees.fall_multiple       slow_start_load_multiple
#include "simulator_adapter/settings_reader.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>

namespace millethollow::simulator_adapter {
namespace {

using balancing::ClassSettings;
using balancing::DeduplicationScope;
using balancing::Idempotency;
using balancing::LoadMetric;
using balancing::LoadReportSource;
using balancing::Settings;
using balancing::TenantSettings;

constexpr double kMaxInteger = 1e9;     // larger magnitudes are rejected as malformed
constexpr int kMaxListLength = 100000;  // classes or tenants

constexpr NamedValue<Idempotency> kIdempotencies[] = {
    {"repeatable", Idempotency::kIdempotent},
    {"by_key", Idempotency::kIdempotentWithKey},
    {"once", Idempotency::kNotIdempotent},
};
constexpr NamedValue<DeduplicationScope> kDeduplicationScopes[] = {
    {"all", DeduplicationScope::kAll},
    {"zone", DeduplicationScope::kZone},
    {"cell", DeduplicationScope::kCell},
};
constexpr NamedValue<bool> kPollsDiscovery[] = {{"ask", true}, {"push", false}};
constexpr NamedValue<LoadReportSource> kLoadReportSources[] = {
    {"off", LoadReportSource::kOff},
    {"inline", LoadReportSource::kInline},
    {"on_probe", LoadReportSource::kOnProbe},
};
constexpr NamedValue<LoadMetric> kLoadMetrics[] = {
    {"rif", LoadMetric::kInFlight},     {"q", LoadMetric::kQueued},
    {"busy", LoadMetric::kUtilization}, {"lat_ms", LoadMetric::kLatencyMs},
    {"rate", LoadMetric::kRequestRate}, {"fail_rate", LoadMetric::kFailureRate},
};
constexpr NamedValue<LoadMetric> kExtraColumnMetrics[] = {
    {"free_slots", LoadMetric::kFreeSlots},
    {"free_memory", LoadMetric::kFreeMemory},
};

// Values of settings by name. status() holds the first malformed value. A missing, empty or
// malformed value leaves the output unchanged.
class SettingValues {
 public:
  explicit SettingValues(const Fields& fields) {
    for (const auto& [name, value] : fields) values_[name] = value;
  }

  // The value as text; empty if there is none.
  std::string_view Text(const std::string& name) const {
    const auto it = values_.find(name);
    return it == values_.end() ? std::string_view() : it->second;
  }
  void Read(const std::string& name, double* out) { Set(name, ParseNumber(Text(name)), out); }
  void Read(const std::string& name, bool* out) { Set(name, ParseBool(Text(name)), out); }
  void Read(const std::string& name, int* out) {
    double value = *out;
    Read(name, &value);
    if (std::abs(value) > kMaxInteger || value != std::floor(value)) return Fail(name, Text(name));
    *out = static_cast<int>(value);
  }
  // Reads a name and stores its value from `table`.
  template <typename T, std::size_t N>
  void ReadName(const std::string& name, const NamedValue<T> (&table)[N], T* out) {
    Set(name, FindByName(table, Text(name)), out);
  }
  // The number of items of a list, from the setting `<list>.count`.
  std::size_t ListLength(const std::string& list) {
    const std::string name = list + ".count";
    int length = 0;
    Read(name, &length);
    if (length >= 0 && length <= kMaxListLength) return static_cast<std::size_t>(length);
    Fail(name, Text(name));
    return 0;
  }
  // Item `i` of comma-separated numbers; `default_value` if there are fewer.
  double ItemOr(const std::string& name, std::size_t i, double default_value) {
    const std::vector<std::string_view> items = SplitAtCommas(Text(name));
    if (i >= items.size()) return default_value;
    const std::optional<double> value = ParseNumber(items[i]);
    if (!value) Fail(name, items[i]);
    return value.value_or(default_value);
  }
  const Status& status() const { return status_; }

 private:
  template <typename T>
  void Set(const std::string& name, const std::optional<T>& value, T* out) {
    if (value) {
      *out = *value;
    } else if (!Text(name).empty()) {
      Fail(name, Text(name));
    }
  }
  void Fail(const std::string& name, std::string_view value) {
    if (!status_) return;
    status_ = MakeError(ErrorCode::kInvalidArgument,
                        "setting " + name + ": bad value '" + std::string(value) + "'");
  }

  std::map<std::string_view, std::string_view> values_;
  Status status_;
};

int CountNames(std::string_view names) { return static_cast<int>(SplitAtCommas(names).size()); }

void ReadDispatcher(SettingValues* values, Settings* settings) {
  values->Read("balancers", &settings->dispatcher_count);
  values->Read("ordinal", &settings->dispatcher_index);
  values->Read("tick_s", &settings->tick_s);
  values->Read("zone", &settings->zone);
  settings->zones = CountNames(values->Text("zones"));
  settings->kinds = CountNames(values->Text("kinds"));
}

void ReadClass(SettingValues* values, std::size_t index, ClassSettings* class_settings) {
  const std::string prefix = "classes." + std::to_string(index) + ".";
  values->Read(prefix + "aim_s", &class_settings->latency_objective_s);
  double stretch = 0;
  values->Read(prefix + "aim_stretch", &stretch);
  class_settings->latency_objective_stretch =
      std::max(stretch, values->ItemOr("family_info.class_stretch", index, 0));
  values->Read(prefix + "give_up_s", &class_settings->client_timeout_s);
  values->Read(prefix + "importance", &class_settings->priority_weight);
  values->Read(prefix + "late_worth", &class_settings->late_weight);
  values->Read(prefix + "window_s", &class_settings->deduplication_window_s);
  values->Read(prefix + "streamed", &class_settings->streamed);
  values->ReadName(prefix + "semantics", kIdempotencies, &class_settings->idempotency);
  values->ReadName(prefix + "group", kDeduplicationScopes, &class_settings->deduplication_scope);
  class_settings->kind = static_cast<int>(values->ItemOr("family_info.class_kind", index, -1));
  class_settings->priority =
      static_cast<int>(values->ItemOr("family_info.class_priority", index, 0));
}

void ReadTenant(SettingValues* values, std::size_t index, TenantSettings* tenant) {
  const std::string prefix = "tenants." + std::to_string(index) + ".";
  values->Read(prefix + "fraction", &tenant->share);
  values->Read(prefix + "quota_rps", &tenant->quota_rps);
}

void ReadLimits(SettingValues* values, Settings* settings) {
  values->Read("clients.marks_retry", &settings->clients_mark_retries);
  values->ReadName("discovery", kPollsDiscovery, &settings->polls_discovery);
  values->Read("limits.cancel", &settings->cancel);
  values->Read("limits.may_duplicate", &settings->allow_hedging);
  values->Read("limits.peers", &settings->peers);
  values->Read("limits.probing", &settings->probing);
  values->Read("limits.retry_after", &settings->retry_after);
  values->Read("limits.most_tries", &settings->max_attempts);
  values->Read("limits.max_retry_after_s", &settings->max_retry_after_s);
}

// The metric of a column of load reports; kOther if it is unknown.
LoadMetric MetricOfColumn(const SettingValues& values, std::string_view column) {
  if (column == "x0" || column == "x1") {
    const std::string_view metric_name = values.Text("family_info.report_" + std::string(column));
    return FindByName(kExtraColumnMetrics, metric_name).value_or(LoadMetric::kOther);
  }
  return FindByName(kLoadMetrics, column).value_or(LoadMetric::kOther);
}

void ReadLoadReports(SettingValues* values, Settings* settings) {
  values->ReadName("report.source", kLoadReportSources, &settings->load_report_source);
  for (const std::string_view column : SplitAtCommas(values->Text("report.columns"))) {
    settings->load_report_metrics.push_back(MetricOfColumn(*values, column));
  }
  values->Read("family_info.tells_start", &settings->workers_notify_start);
  values->Read("family_info.progress_s", &settings->progress_interval_s);
  const std::string_view weights = values->Text("weights");
  settings->capacity_hints_valid = !weights.empty() && weights != "off";
}

void ReadPrices(SettingValues* values, Settings* settings) {
  values->Read("prices.cross_zone", &settings->price_cross_zone);
  values->Read("prices.waste", &settings->price_waste);
  values->Read("prices.origin", &settings->price_origin);
  values->Read("prices.peer", &settings->price_peer);
  values->Read("prices.probe", &settings->price_probe);
  values->Read("over_share_worth", &settings->over_quota_weight);
}

void ReadGuarantees(SettingValues* values, Settings* settings) {
  values->Read("guarantees.answer_slack_s", &settings->answer_slack_s);
  values->Read("guarantees.ask_within_s", &settings->max_poll_interval_s);
  values->Read("guarantees.cold_share", &settings->slow_start_min_share);
  values->Read("guarantees.cold_s", &settings->slow_start_s);
  values->Read("guarantees.drain_grace_s", &settings->drain_grace_s);
  values->Read("guarantees.fall_multiple", &settings->slow_start_load_multiple);
  values->Read("guarantees.overload_for_s", &settings->overload_for_s);
}

}  // namespace

Result<Settings> ParseSettings(const Fields& fields) {
  SettingValues values(fields);
  Settings settings;
  ReadDispatcher(&values, &settings);
  settings.classes.resize(values.ListLength("classes"));
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    ReadClass(&values, i, &settings.classes[i]);
  }
  settings.tenants.resize(values.ListLength("tenants"));
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    ReadTenant(&values, i, &settings.tenants[i]);
  }
  ReadLimits(&values, &settings);
  ReadLoadReports(&values, &settings);
  ReadPrices(&values, &settings);
  ReadGuarantees(&values, &settings);
  if (!values.status()) return tl::unexpected(values.status().error());
  if (const Status valid = balancing::ValidateSettings(settings); !valid) {
    return tl::unexpected(valid.error());
  }
  return settings;
}

}  // namespace millethollow::simulator_adapter
