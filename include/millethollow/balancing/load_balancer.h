// The interface of the decision module (src/balancing/): settings, events, actions.
//
// A Balancer decides for one dispatcher. It does no I/O, reads no clock, starts no thread and keeps
// nothing outside itself: hand it events in order of arrival and carry out the actions it returns.
#ifndef MILLETHOLLOW_BALANCING_LOAD_BALANCER_H_
#define MILLETHOLLOW_BALANCING_LOAD_BALANCER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace millethollow::balancing {

// All times and spans are seconds on the caller's clock, which never runs backwards.
enum class Idempotency : std::uint8_t { kIdempotent, kIdempotentWithKey, kNotIdempotent };
// The workers that drop repeats of one keyed job.
enum class DeduplicationScope : std::uint8_t { kAll, kZone, kCell };
// What a value of a worker's load report means. Unknown columns are kept in place as kOther.
enum class LoadMetric : std::uint8_t {
  kOther,
  kInFlight,
  kQueued,
  kUtilization,
  kLatencyMs,
  kRequestRate,
  kFailureRate,
  kFreeSlots,
  kFreeMemory
};
enum class LoadReportSource : std::uint8_t { kOff, kInline, kOnProbe };

struct ClassSettings {
  double latency_objective_s = 0.1;  // answered within this (plus stretch x own work): full worth
  double latency_objective_stretch = 0;  // the aim grows by this multiple of the job's own work
  double client_timeout_s = 1;           // the client's whole patience
  double priority_weight = 1;            // worth of one job
  double late_weight = 0;                // share of the worth left after the aim
  Idempotency idempotency = Idempotency::kIdempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;  // kIdempotentWithKey only
  double deduplication_window_s =
      0;          // kIdempotentWithKey only: how long repeats are dropped, from the first sending
  int kind = -1;  // the worker kind that runs it, -1 for any
  int priority = 0;
  bool streamed = false;
};

struct TenantSettings {
  double share = 0;      // told share of the fleet
  double quota_rps = 0;  // jobs per second over all dispatchers, within its share; 0 if not told
};

struct Settings {
  int dispatcher_index = 0;  // this dispatcher's number in its tier
  int dispatcher_count = 1;  // dispatchers in the tier
  double tick_s = 0.001;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;  // may be empty
  int zone = 0;
  int zones = 1;
  int kinds = 1;
  bool clients_mark_retries = false;  // clients mark their repeats
  bool polls_discovery = false;       // the worker list must be asked for
  // What is allowed.
  bool cancel = true;
  bool allow_hedging = false;
  bool peers = false;
  bool probing = false;
  bool retry_after = false;
  int max_attempts = 1;
  double max_retry_after_s = 0;
  // Load reports of workers.
  LoadReportSource load_report_source = LoadReportSource::kOff;
  std::vector<LoadMetric> load_report_metrics;
  bool workers_notify_start = false;  // workers tell when a job starts
  double progress_interval_s = 0;     // workers tell progress this often; 0: never
  bool capacity_hints_valid = false;  // capacity hints of the list mean something
  // Prices, in the result's own unit (1 = everything).
  double price_cross_zone = 0;
  double price_waste = 0;
  double price_origin = 0;  // fetching what a job needs, per job
  double price_peer = 0;
  double price_probe = 0;
  double over_quota_weight = 1;
  // Guarantees.
  double answer_slack_s = 0;
  double max_poll_interval_s = 10;
  double slow_start_min_share = 1;  // a starting worker has this part of its capacity or more
  double slow_start_s = 0;          // and is warm after this
  double drain_grace_s = 0;
  double fall_multiple = 1;
  double overload_for_s = 1;
};

// Says in `why` what is wrong with settings no dispatcher can work by; true if they are sound.
bool ValidateSettings(const Settings& settings, std::string* why);

enum class Readiness : std::uint8_t { kReady, kDraining, kGone };

struct Endpoint {
  std::string worker;  // the caller's name of the worker, returned unaltered
  Readiness readiness = Readiness::kReady;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  double capacity = 1;
  double started_at_s = 0;       // latest start; 0: long ago
  double slots = 0, memory = 0;  // what it holds at once; 0: not told
};

enum class EndpointListKind : std::uint8_t { kIncremental, kSnapshot, kRestored, kUnavailable };

enum class AttemptStatus : std::uint8_t {
  kSucceeded,
  kServerError,
  kRejected,
  kNoResponse,
  kConnectFailed,
  kConnectionLost,
  kCancelled,
  kNotSent
};

// Events. The views need to live only as long as the call.
struct DispatcherStarted {};  // the first event of a dispatcher's life
struct EndpointsUpdated {
  EndpointListKind kind = EndpointListKind::kIncremental;
  const std::vector<Endpoint>* endpoints = nullptr;  // may be null where kind is kUnavailable
};
// An operator takes a worker out of service or puts it back, whatever the list says meanwhile. It
// comes back as one that has just started.
struct MaintenanceChanged {
  std::string_view worker;
  bool out = false;
};
// While a process is replaced, two run as this one dispatcher. Each hears of the other's slots out
// by PeerMessage from its own ordinal, and answers by SendPeerMessage to it. The one that leaves
// takes nothing new, speaks to no other peer and spares cold workers.
struct SiblingProcess {
  bool present = false, leaving = false;
};
// Other settings from now on, with the same tenants, zones, kinds and columns. Classes keep their
// indices and more may follow; those in `begun` mean another class than before. Open jobs keep the
// number of attempts that they came with.
struct SettingsChanged {
  const Settings* settings = nullptr;
  const std::vector<int>* begun = nullptr;
};
// An attempt that another dispatcher made for a job before it came here, and that may have run.
struct PreviousAttempt {
  std::string worker;  // one that is listed here
  double sent_at = 0;
};

struct RequestArrived {
  std::string_view id;
  double expires_s = 0;
  double slots = 1;
  double memory = 0;
  double bytes = 0;  // of its body, where told
  int tenant = 0;
  int cls = 0;
  bool retry = false;  // marked as a client's repeat
  std::string_view key;
  double size_hint_s = 0;  // expected work at standard speed; 0: not told
  std::vector<PreviousAttempt> tried = {};
};
struct StreamStarted {
  std::string_view id;
  int attempt = 0;
};
enum class ProgressKind : std::uint8_t { kStarted, kProgress };
struct AttemptProgress {
  std::string_view id;
  int attempt = 0;
  ProgressKind kind = ProgressKind::kStarted;
  double amount = 0;
};
struct AttemptEnded {
  std::string_view id;
  int attempt = 0;
  AttemptStatus status = AttemptStatus::kSucceeded;
  double latency_s = 0;
  bool terminal = false;
  bool has_report = false;
  double report[4] = {0, 0, 0, 0};  // in the order of Settings::load_report_metrics
};
struct RequestCancelled {
  std::string_view id;
};
struct TimerFired {
  std::uint64_t mark = 0;
};
struct ProbeAnswered {
  std::string_view worker;
  AttemptStatus status = AttemptStatus::kSucceeded;
  double latency_s = 0;
  bool has_report = false;
  double report[4] = {0, 0, 0, 0};
};
struct PeerMessage {
  int sender = 0;
  std::string_view body;
};
// A job that the module put on hold may have found room, at `worker` at least. Without a worker
// none was to be had, nor room to wait in: the job is ended.
struct CapacityFound {
  std::string_view id;
  std::string_view worker;
};
using Event =
    std::variant<DispatcherStarted, EndpointsUpdated, RequestArrived, StreamStarted,
                 AttemptProgress, AttemptEnded, RequestCancelled, TimerFired, ProbeAnswered,
                 PeerMessage, MaintenanceChanged, SiblingProcess, SettingsChanged, CapacityFound>;

// Actions, to be carried out in the order given.
struct SendAttempt {
  std::string id;
  std::string worker;
  double timeout_s = 0;  // 0: until the client gives up
};
struct RejectRequest {
  std::string id;
  double retry_after_s = 0;  // 0: no advice
};
struct FailRequest {
  std::string id;
};
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};
struct SetTimer {
  std::uint64_t mark = 0;
  double after_s = 0;
};
struct Probe {
  std::string worker;
};
constexpr std::size_t kMaxPeerMessageBytes = 256;
struct SendPeerMessage {
  int recipient = 0;
  std::string body;  // kMaxPeerMessageBytes at most
};
struct Subscribe {
  bool enable = true;
};
struct FetchEndpoints {};
// No worker has room for the job: whoever keeps the room keeps it until CapacityFound. Only where
// there is such a one.
struct AwaitCapacity {
  std::string id;
};
struct Log {
  std::string line;
};
using Action = std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer, Probe,
                            SendPeerMessage, Subscribe, FetchEndpoints, AwaitCapacity, Log>;
using Actions = std::vector<Action>;

// Who keeps account of the room at workers. What it holds for one job is not free for another.
class CapacityReservations {
 public:
  virtual ~CapacityReservations() = default;
  struct Place {
    bool never = false;       // no worker could ever hold it
    std::string_view worker;  // one that has room for it now; empty: none
  };
  virtual Place Somewhere(std::string_view job) = 0;
  virtual bool Takes(std::string_view job, std::string_view worker) = 0;
  virtual bool Holds(int cls) const = 0;                   // jobs of that class may hold room
  virtual double Held(std::string_view worker) const = 0;  // slots, for jobs that wait
};

// What the module believes of a worker.
struct WorkerView {
  std::string_view worker;
  int kind = 0;
  bool usable = false, cold = false;
  bool far = false;              // in another zone, where that has a price
  double slots = 0, memory = 0;  // as the list told; 0: not told
  double others = 0;             // slots that other dispatchers have out there, by their last word
  double free = -1;              // by a report that is still good; -1: there is none
  double ours = 0;               // own slots out when it was made
};

class LoadBalancerImpl;

// What a dispatcher may do of the whole where the tier agrees on parts.
struct FleetShare {
  double part = 0;          // 0 to 1; over all dispatchers never more than 1 in sum
  int members = 0;          // how many have such a part by agreement; 0: this one is cut off
  std::uint64_t epoch = 0;  // of the agreement
  bool stopped = false;     // no event came for a second, as where the process was stopped
  // By tenant: jobs per second of its quota that are this dispatcher's, where quotas are given out
  // tenant by tenant; over all dispatchers never more than the quota in sum. Below 0, or left out:
  // as `part` says.
  std::vector<double> tenant_rates = {};
  bool operator==(const FleetShare&) const = default;
};

// One dispatcher's decisions. Equal settings, seed and events give equal actions.
class LoadBalancer {
 public:
  // The settings must pass ValidateSettings.
  LoadBalancer(const Settings& settings, std::uint64_t seed);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  // Appends to `actions` what to do about `event`, which happened at `now_s`.
  void Handle(double now_s, const Event& event, Actions* actions);
  // Is this a worker that gets nothing new now: drained, out by hand, or left out by choice?
  bool Excludes(std::string_view worker) const;
  // Jobs start only where `room` lets them, and else wait. To be set before the first event.
  void SetCapacityReservations(CapacityReservations* room);
  // Anew after each event that gave another version. A worker keeps its place while it is known;
  // one gone from the lists for long, with nothing of ours there, may give its place to a new one.
  std::uint64_t version() const;
  std::vector<WorkerView> Workers() const;
  double DemandPart() const;  // this dispatcher's part of all demand, 0 to 1
  // Messages of peers that were taken for damaged, foreign or unwanted.
  std::uint64_t RejectedPeerMessages() const;
  // Where the tier agrees on parts: from now on. Never called, demand alone decides.
  void SetFleetShare(const FleetShare& parts);
  // What has been learned, for the process that replaces this one, which takes it before its first
  // event. `classes` says for each of its classes which of the other's it is, -1: none. False, and
  // nothing taken, where the text is not from settings of the same form.
  std::string SaveState() const;
  bool RestoreState(std::string_view text, const std::vector<int>& classes);

 private:
  std::unique_ptr<LoadBalancerImpl> impl_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_LOAD_BALANCER_H_
