#include "simulator_adapter/adapter.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace millethollow::simulator_adapter {
namespace {

constexpr std::string_view kBase64 =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::int64_t kMostEntries = 10'000'000;

template <typename T>
bool FromChars(std::string_view text, T* value) {
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, *value);
  return error == std::errc() && at == end && !text.empty();
}

bool ParseBool(std::string_view text, bool* value) {
  if (text == "true" || text == "1") return *value = true, true;
  if (text == "false" || text == "0") return *value = false, true;
  return false;
}

template <typename T>
bool FromName(std::string_view text, std::initializer_list<std::pair<std::string_view, T>> names,
              T* value) {
  for (const auto& [name, meaning] : names) {
    if (text == name) return *value = meaning, true;
  }
  return false;
}

bool ParseVerdict(std::string_view text, AttemptStatus* verdict) {
  return FromName<AttemptStatus>(text,
                                 {{"served", AttemptStatus::kSucceeded},
                                  {"server_error", AttemptStatus::kServerError},
                                  {"turned_away", AttemptStatus::kRejected},
                                  {"no_answer", AttemptStatus::kNoResponse},
                                  {"no_connection", AttemptStatus::kConnectFailed},
                                  {"connection_lost", AttemptStatus::kConnectionLost},
                                  {"called_off", AttemptStatus::kCancelled},
                                  {"not_sent", AttemptStatus::kNotSent}},
                                 verdict);
}

std::vector<std::string_view> Commas(std::string_view text) {
  std::vector<std::string_view> parts;
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    parts.push_back(text.substr(0, comma));
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return parts;
}

// The settings of one START, looked up by path.
class Params {
 public:
  Params(const Fields& pairs, std::string* why) : why_(why) {
    for (const auto& [key, value] : pairs) values_[key] = value;
  }
  bool ok() const { return ok_; }
  std::string_view Text(const std::string& key) const {
    const auto it = values_.find(key);
    return it == values_.end() ? std::string_view() : it->second;
  }
  void Read(const std::string& key, double* out) {
    const auto text = Text(key);
    if (!text.empty() && !ParseNumber(text, out)) Bad(key, text);
  }
  void Read(const std::string& key, int* out) {
    double value = *out;
    Read(key, &value);
    if (std::abs(value) > 1e9 || value != std::floor(value)) return Bad(key, Text(key));
    *out = static_cast<int>(value);
  }
  void Read(const std::string& key, bool* out) {
    const auto text = Text(key);
    if (!text.empty() && !ParseBool(text, out)) Bad(key, text);
  }
  template <typename T>
  void Read(const std::string& key, std::initializer_list<std::pair<std::string_view, T>> names,
            T* out) {
    const auto text = Text(key);
    if (!text.empty() && !FromName<T>(text, names, out)) Bad(key, text);
  }
  std::size_t Count(const std::string& key) {
    int n = 0;
    Read(key + ".count", &n);
    if (n < 0 || n > 100000) {
      Bad(key + ".count", Text(key + ".count"));
      n = 0;
    }
    return static_cast<std::size_t>(n);
  }
  // Item `i` of a comma-joined list of numbers; `otherwise` where there are fewer.
  double Item(const std::string& key, std::size_t i, double otherwise) {
    const auto parts = Commas(Text(key));
    double value = otherwise;
    if (i < parts.size() && !ParseNumber(parts[i], &value)) Bad(key, parts[i]);
    return value;
  }
  void Bad(const std::string& key, std::string_view text) {
    if (ok_) *why_ = "setting " + key + ": bad value '" + std::string(text) + "'";
    ok_ = false;
  }

 private:
  std::map<std::string_view, std::string_view> values_;
  std::string* why_;
  bool ok_ = true;
};

}  // namespace

bool Split(std::string_view line, std::string_view* name, Fields* pairs) {
  pairs->clear();
  const std::size_t space = std::min(line.find(' '), line.size());
  *name = line.substr(0, space);
  line.remove_prefix(space);
  while (!line.empty()) {
    line.remove_prefix(1);
    const std::size_t end = std::min(line.find(' '), line.size());
    const std::string_view part = line.substr(0, end);
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos || equals == 0) return false;
    pairs->emplace_back(part.substr(0, equals), part.substr(equals + 1));
    line.remove_prefix(end);
  }
  return !name->empty();
}

bool ParseNumber(std::string_view text, double* value) {
  double parsed = 0;
  if (!FromChars(text, &parsed) || !std::isfinite(parsed)) return false;
  *value = parsed;
  return true;
}

bool ParseInteger(std::string_view text, std::int64_t* value) { return FromChars(text, value); }
bool ParseToken(std::string_view text, std::uint64_t* value) { return FromChars(text, value); }

std::optional<std::string> DecodeBase64(std::string_view text) {
  static const auto kValues = [] {
    std::array<int, 256> values{};
    values.fill(-1);
    for (std::size_t i = 0; i < kBase64.size(); ++i) {
      values[static_cast<unsigned char>(kBase64[i])] = static_cast<int>(i);
    }
    return values;
  }();
  std::string bytes;
  if (text == "-" || text.empty()) return bytes;
  if (text.size() % 4 != 0) return std::nullopt;
  std::size_t padding = text.back() != '=' ? 0 : text[text.size() - 2] == '=' ? 2 : 1;
  bytes.reserve(text.size() / 4 * 3);
  std::uint32_t bits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool pad = i + padding >= text.size();
    const int value = pad ? 0 : kValues[static_cast<unsigned char>(text[i])];
    if (value < 0) return std::nullopt;
    bits = bits << 6 | static_cast<std::uint32_t>(value);
    if (i % 4 == 3) {
      for (int shift = 16; shift >= 0; shift -= 8) {
        bytes.push_back(static_cast<char>(bits >> shift & 0xff));
      }
      bits = 0;
    }
  }
  bytes.resize(bytes.size() - padding);
  return bytes;
}

std::string EncodeBase64(std::string_view bytes) {
  if (bytes.empty()) return "-";
  std::string text;
  text.reserve((bytes.size() + 2) / 3 * 4);
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits = bits << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0u);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      text.push_back(i + k <= bytes.size() ? kBase64[bits >> (18 - 6 * k) & 63] : '=');
    }
  }
  return text;
}

std::string FormatSeconds(double seconds) {
  char buffer[64];
  const auto [end, error] =
      std::to_chars(buffer, buffer + sizeof buffer, seconds, std::chars_format::fixed, 6);
  if (error != std::errc()) return "0";
  std::string_view text(buffer, static_cast<std::size_t>(end - buffer));
  while (text.back() == '0') text.remove_suffix(1);
  if (text.back() == '.') text.remove_suffix(1);
  return std::string(text);
}

bool ParseSettings(const Fields& pairs, Settings* s, std::string* why) {
  Params p(pairs, why);
  p.Read("balancers", &s->dispatcher_count);
  p.Read("ordinal", &s->dispatcher_index);
  p.Read("tick_s", &s->tick_s);
  p.Read("zone", &s->zone);
  s->zones = static_cast<int>(Commas(p.Text("zones")).size());
  s->kinds = static_cast<int>(Commas(p.Text("kinds")).size());
  s->classes.resize(p.Count("classes"));
  for (std::size_t i = 0; i < s->classes.size(); ++i) {
    const std::string at = "classes." + std::to_string(i) + ".";
    ClassSettings& c = s->classes[i];
    p.Read(at + "aim_s", &c.latency_objective_s);
    double stretch = 0;
    p.Read(at + "aim_stretch", &stretch);
    c.latency_objective_stretch = std::max(stretch, p.Item("family_info.class_stretch", i, 0));
    p.Read(at + "give_up_s", &c.client_timeout_s);
    p.Read(at + "importance", &c.priority_weight);
    p.Read(at + "late_worth", &c.late_weight);
    p.Read(at + "window_s", &c.deduplication_window_s);
    p.Read(at + "streamed", &c.streamed);
    p.Read<Idempotency>(at + "semantics",
                        {{"repeatable", Idempotency::kIdempotent},
                         {"by_key", Idempotency::kIdempotentWithKey},
                         {"once", Idempotency::kNotIdempotent}},
                        &c.idempotency);
    p.Read<DeduplicationScope>(at + "group",
                               {{"all", DeduplicationScope::kAll},
                                {"zone", DeduplicationScope::kZone},
                                {"cell", DeduplicationScope::kCell}},
                               &c.deduplication_scope);
    c.kind = static_cast<int>(p.Item("family_info.class_kind", i, -1));
    c.priority = static_cast<int>(p.Item("family_info.class_priority", i, 0));
  }
  s->tenants.resize(p.Count("tenants"));
  for (std::size_t i = 0; i < s->tenants.size(); ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    p.Read(at + "fraction", &s->tenants[i].share);
    p.Read(at + "quota_rps", &s->tenants[i].quota_rps);
  }
  p.Read("clients.marks_retry", &s->clients_mark_retries);
  p.Read<bool>("discovery", {{"ask", true}, {"push", false}}, &s->polls_discovery);
  p.Read("limits.cancel", &s->cancel);
  p.Read("limits.may_duplicate", &s->allow_hedging);
  p.Read("limits.peers", &s->peers);
  p.Read("limits.probing", &s->probing);
  p.Read("limits.retry_after", &s->retry_after);
  p.Read("limits.most_tries", &s->max_attempts);
  p.Read("limits.max_retry_after_s", &s->max_retry_after_s);
  p.Read<LoadReportSource>("report.source",
                           {{"off", LoadReportSource::kOff},
                            {"inline", LoadReportSource::kInline},
                            {"on_probe", LoadReportSource::kOnProbe}},
                           &s->load_report_source);
  const std::string x0(p.Text("family_info.report_x0")), x1(p.Text("family_info.report_x1"));
  const auto extra = [](std::string_view meaning) {
    return meaning == "free_slots"    ? LoadMetric::kFreeSlots
           : meaning == "free_memory" ? LoadMetric::kFreeMemory
                                      : LoadMetric::kOther;
  };
  for (const std::string_view name : Commas(p.Text("report.columns"))) {
    LoadMetric column = LoadMetric::kOther;
    FromName<LoadMetric>(name,
                         {{"rif", LoadMetric::kInFlight},
                          {"q", LoadMetric::kQueued},
                          {"busy", LoadMetric::kUtilization},
                          {"lat_ms", LoadMetric::kLatencyMs},
                          {"rate", LoadMetric::kRequestRate},
                          {"fail_rate", LoadMetric::kFailureRate},
                          {"x0", extra(x0)},
                          {"x1", extra(x1)}},
                         &column);
    s->load_report_metrics.push_back(column);
  }
  p.Read("family_info.tells_start", &s->workers_notify_start);
  p.Read("family_info.progress_s", &s->progress_interval_s);
  s->capacity_hints_valid = !p.Text("weights").empty() && p.Text("weights") != "off";
  p.Read("prices.cross_zone", &s->price_cross_zone);
  p.Read("prices.waste", &s->price_waste);
  p.Read("prices.origin", &s->price_origin);
  p.Read("prices.peer", &s->price_peer);
  p.Read("prices.probe", &s->price_probe);
  p.Read("over_share_worth", &s->over_quota_weight);
  p.Read("guarantees.answer_slack_s", &s->answer_slack_s);
  p.Read("guarantees.ask_within_s", &s->max_poll_interval_s);
  p.Read("guarantees.cold_share", &s->slow_start_min_share);
  p.Read("guarantees.cold_s", &s->slow_start_s);
  p.Read("guarantees.drain_grace_s", &s->drain_grace_s);
  p.Read("guarantees.fall_multiple", &s->slow_start_load_multiple);
  p.Read("guarantees.overload_for_s", &s->overload_for_s);
  if (!p.ok()) return false;
  const Status valid = ValidateSettings(*s);
  if (!valid) *why = valid.error().message;
  return valid.has_value();
}

void Host::Complain(std::string_view line, std::string_view what) {
  constexpr std::size_t kShown = 200;
  *errors_ << "simulator_adapter: line " << line_number_ << ": " << what << ": "
           << line.substr(0, kShown) << (line.size() > kShown ? "..." : "") << "\n";
}

std::string_view Host::Get(std::string_view key) const {
  for (const auto& [name, value] : pairs_) {
    if (name == key) return value;
  }
  return {};
}

bool Host::Need(std::string_view line, std::string_view key, std::string_view* value) {
  *value = Get(key);
  if (!value->empty()) return true;
  Complain(line, "missing field '" + std::string(key) + "'");
  return false;
}

bool Host::NeedId(std::string_view line, std::string_view key, std::int64_t* value) {
  std::string_view text;
  if (!Need(line, key, &text)) return false;
  if (ParseInteger(text, value)) return true;
  Complain(line, "bad number in '" + std::string(key) + "'");
  return false;
}

bool Host::Optional(std::string_view line, std::string_view key, double* value) {
  const std::string_view text = Get(key);
  if (text.empty() || ParseNumber(text, value)) return true;
  Complain(line, "bad number in '" + std::string(key) + "'");
  return false;
}

bool Host::OptionalInt(std::string_view line, std::string_view key, std::int64_t* value) {
  const std::string_view text = Get(key);
  if (text.empty() || ParseInteger(text, value)) return true;
  Complain(line, "bad number in '" + std::string(key) + "'");
  return false;
}

bool Host::ReadReport(std::string_view line, bool* has, double (&values)[4]) {
  std::string_view text = Get("health_info");
  *has = !text.empty();
  for (std::size_t i = 0; !text.empty(); ++i) {
    const std::size_t comma = std::min(text.find(','), text.size());
    double value = 0;
    if (!ParseNumber(text.substr(0, comma), &value)) {
      Complain(line, "bad number in 'health_info'");
      return false;
    }
    if (i < 4) values[i] = value;
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return true;
}

bool Host::Line(std::string_view line) {
  ++line_number_;
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  if (line.empty()) return true;
  const std::string_view name = line.substr(0, line.find(' '));
  if (name == "TURN") {
    if (in_batch_) {
      Complain(line, "a batch begins inside a batch, framing is lost");
      return false;
    }
    std::string_view unused;
    double now = 0;
    if (!Split(line, &unused, &pairs_) || !ParseNumber(Get("ts_s"), &now)) {
      Complain(line, "a batch without a readable clock, framing is lost");
      return false;
    }
    now_ = now;
    in_batch_ = true;
    reply_.clear();
    return true;
  }
  if (!in_batch_) {
    Complain(line, "a line outside a batch, framing is lost");
    return false;
  }
  if (name == "YOUR_TURN") {
    if (entries_left_ > 0) Complain(line, "a list ended early");
    entries_left_ = 0;
    reply_ += "NEXT\n";
    in_batch_ = false;
    replied_ = true;
    return true;
  }
  HandleLine(name, line);
  return true;
}

bool Host::TakeReply(std::string* reply) {
  if (!replied_) return false;
  replied_ = false;
  reply->swap(reply_);
  return true;
}

void Host::HandleEntry(std::string_view line) {
  Endpoint m;
  std::string_view readiness, worker;
  std::int64_t zone = 0, kind = 0, cell = 0;
  if (!Need(line, "worker", &worker) || !Need(line, "readiness", &readiness) ||
      !OptionalInt(line, "hall", &zone) || !OptionalInt(line, "generation_hw", &kind) ||
      !OptionalInt(line, "unit_group", &cell) ||
      !Optional(line, "capacity_hint", &m.capacity_hint) ||
      !Optional(line, "born_s", &m.started_at_s)) {
    return;
  }
  if (!FromName<Readiness>(readiness,
                           {{"ready", Readiness::kReady},
                            {"draining", Readiness::kDraining},
                            {"gone", Readiness::kGone}},
                           &m.readiness)) {
    return Complain(line, "unknown readiness");
  }
  m.worker = worker;
  m.zone = static_cast<int>(zone);
  m.kind = static_cast<int>(kind);
  m.cell = static_cast<int>(cell);
  lists_[filling_].push_back(std::move(m));
}

void Host::HandleLine(std::string_view name, std::string_view line) {
  std::string_view unused;
  if (!Split(line, &unused, &pairs_)) return Complain(line, "malformed line skipped");
  if (entries_left_ > 0) {
    --entries_left_;
    if (name == "ENTRY") return HandleEntry(line);
    Complain(line, "a list ended early");
    entries_left_ = 0;
  }
  if (name == "CENSUS") {
    std::int64_t list = 0, elements = 0;
    if (!NeedId(line, "list", &list) || !NeedId(line, "elements", &elements)) return;
    if (list < 0 || list >= static_cast<std::int64_t>(lists_.size())) {
      return Complain(line, "list number out of range");
    }
    if (elements < 0 || elements > kMostEntries) return Complain(line, "bad number of entries");
    filling_ = static_cast<std::size_t>(list);
    lists_[filling_].clear();
    list_known_[filling_] = true;
    entries_left_ = elements;
    return;
  }
  std::int64_t instance = 0;
  if (!NeedId(line, "scheduler", &instance)) return;
  if (name == "START") {
    std::uint64_t seed = 0;
    if (!ParseToken(Get("rng_seed"), &seed)) return Complain(line, "missing or bad 'rng_seed'");
    Settings settings;
    std::string why;
    if (!ParseSettings(pairs_, &settings, &why)) {
      Complain(line, why);
      reply_ += "DIE scheduler=" + std::to_string(instance) + " line=" + why + "\n";
      return;
    }
    instances_[instance].balancer =
        std::make_unique<millethollow::scheduling::SchedulingBalancer>(settings, seed, options_);
    return Deliver(instance, DispatcherStarted{});
  }
  if (name == "KILLED") {
    instances_.erase(instance);
    return;
  }
  if (!instances_.contains(instance)) return Complain(line, "unknown or stopped instance");
  if (name == "INGRESS") {
    RequestArrived e;
    std::int64_t tenant = 0, cls = 0;
    std::string_view expires;
    if (!Need(line, "msg_id", &e.id) || !Need(line, "expires_s", &expires) ||
        !NeedId(line, "cls", &cls) || !OptionalInt(line, "party", &tenant) ||
        !Optional(line, "expires_s", &e.expires_s) || !Optional(line, "slots", &e.slots) ||
        !Optional(line, "ram_units", &e.memory) || !Optional(line, "size_hint_s", &e.size_hint_s)) {
      return;
    }
    e.tenant = static_cast<int>(tenant);
    e.cls = static_cast<int>(cls);
    e.retry = Get("again_by_client") == "1";
    e.key = Get("target_key");
    return Deliver(instance, e);
  }
  if (name == "COMPLETED") {
    AttemptEnded e;
    std::int64_t attempt = 0;
    std::string_view verdict;
    if (!Need(line, "msg_id", &e.id) || !NeedId(line, "hop", &attempt) ||
        !Need(line, "verdict", &verdict) || !Optional(line, "latency_s", &e.latency_s) ||
        !ReadReport(line, &e.has_report, e.report)) {
      return;
    }
    if (!ParseVerdict(verdict, &e.status)) return Complain(line, "unknown verdict");
    e.attempt = static_cast<int>(attempt);
    e.terminal = Get("terminal") == "1";
    return Deliver(instance, e);
  }
  if (name == "UPDATE_OF") {
    AttemptProgress e;
    std::int64_t attempt = 0, kind = 0;
    if (!Need(line, "msg_id", &e.id) || !NeedId(line, "hop", &attempt) ||
        !NeedId(line, "kind", &kind) || !Optional(line, "amount", &e.amount)) {
      return;
    }
    if (kind != 1 && kind != 2) return;  // notes of other kinds are not for us
    e.attempt = static_cast<int>(attempt);
    e.kind = kind == 1 ? ProgressKind::kStarted : ProgressKind::kProgress;
    return Deliver(instance, e);
  }
  if (name == "ACCEPTED") {
    StreamStarted e;
    std::int64_t attempt = 0;
    if (!Need(line, "msg_id", &e.id) || !NeedId(line, "hop", &attempt)) return;
    e.attempt = static_cast<int>(attempt);
    return Deliver(instance, e);
  }
  if (name == "ABORTED") {
    RequestCancelled e;
    if (!Need(line, "msg_id", &e.id)) return;
    return Deliver(instance, e);
  }
  if (name == "WAKE") {
    TimerFired e;
    if (!ParseToken(Get("mark"), &e.timer_id)) return Complain(line, "missing or bad 'mark'");
    return Deliver(instance, e);
  }
  if (name == "STATUS_BACK") {
    ProbeAnswered e;
    std::string_view verdict;
    if (!Need(line, "worker", &e.worker) || !Need(line, "verdict", &verdict) ||
        !Optional(line, "latency_s", &e.latency_s) || !ReadReport(line, &e.has_report, e.report)) {
      return;
    }
    if (!ParseVerdict(verdict, &e.status)) return Complain(line, "unknown verdict");
    return Deliver(instance, e);
  }
  if (name == "NOTE_FROM") {
    PeerMessage e;
    std::int64_t sender = 0;
    if (!NeedId(line, "sender", &sender)) return;
    const auto body = DecodeBase64(Get("body"));
    if (!body) return Complain(line, "bad base64");
    e.sender = static_cast<int>(sender);
    e.body = *body;
    return Deliver(instance, e);
  }
  if (name == "PEERS_KNOWN") {
    EndpointsUpdated e;
    std::string_view kind;
    if (!Need(line, "kind", &kind)) return;
    if (!FromName<EndpointListKind>(kind,
                                    {{"update", EndpointListKind::kIncremental},
                                     {"replace", EndpointListKind::kSnapshot},
                                     {"restored", EndpointListKind::kRestored},
                                     {"unavailable", EndpointListKind::kUnavailable}},
                                    &e.kind)) {
      return Complain(line, "unknown kind of list");
    }
    if (e.kind != EndpointListKind::kUnavailable) {
      std::int64_t list = 0;
      if (!NeedId(line, "list", &list)) return;
      if (list < 0 || list >= static_cast<std::int64_t>(lists_.size()) ||
          !list_known_[static_cast<std::size_t>(list)]) {
        return Complain(line, "unknown list");
      }
      e.endpoints = &lists_[static_cast<std::size_t>(list)];
    }
    return Deliver(instance, e);
  }
  Complain(line, "unknown message skipped");
}

void Host::Deliver(std::int64_t instance, const Event& event) {
  actions_.clear();
  instances_[instance].balancer->Handle(now_, event, &actions_);
  for (const Action& action : actions_) Write(instance, action);
}

void Host::Write(std::int64_t instance, const Action& action) {
  const auto begin = [&](std::string_view name) {
    char digits[24];
    const auto end = std::to_chars(digits, digits + sizeof digits, instance).ptr;
    reply_.append(name)
        .append(" scheduler=")
        .append(digits, static_cast<std::size_t>(end - digits));
  };
  const auto field = [&](std::string_view name, std::string_view value) {
    reply_.append(" ").append(name).append("=").append(value);
  };
  if (const auto* send = std::get_if<SendAttempt>(&action)) {
    begin("HAND_OFF");
    field("msg_id", send->id);
    field("worker", send->worker);
    if (send->timeout_s > 0) field("try_for_s", FormatSeconds(send->timeout_s));
  } else if (const auto* refuse = std::get_if<RejectRequest>(&action)) {
    begin("REFUSE");
    field("msg_id", refuse->id);
    if (refuse->retry_after_s > 0) field("wait_s", FormatSeconds(refuse->retry_after_s));
  } else if (const auto* fail = std::get_if<FailRequest>(&action)) {
    begin("GIVE_UP");
    field("msg_id", fail->id);
  } else if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
    begin("ABORT_ATTEMPT");
    field("msg_id", cancel->id);
    field("hop", std::to_string(cancel->attempt));
  } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
    begin("SET_TIMER");
    field("mark", std::to_string(timer->timer_id));
    field("sleep_for_s", FormatSeconds(timer->after_s));
  } else if (const auto* probe = std::get_if<Probe>(&action)) {
    begin("POLL");
    field("worker", probe->worker);
  } else if (const auto* tell = std::get_if<SendPeerMessage>(&action)) {
    begin("SIGNAL");
    field("whom", std::to_string(tell->recipient));
    field("body", EncodeBase64(tell->body));
  } else if (const auto* subscribe = std::get_if<Subscribe>(&action)) {
    begin("FOLLOW");
    field("enable", subscribe->enable ? "1" : "0");
  } else if (std::holds_alternative<FetchEndpoints>(action)) {
    begin("QUERY_ALL");
  } else if (const auto* log = std::get_if<Log>(&action)) {
    begin("DEBUG");
    field("line", log->line);
  }
  reply_ += "\n";
}

}  // namespace millethollow::simulator_adapter
