// The interface of the decision module (src/balancing/): settings, events, actions.
//
// A LoadBalancer decides for one dispatcher. It does no I/O, reads no clock, starts no thread and
// keeps no state outside itself: the caller hands it events in order of arrival and carries out the
// actions that it returns.
#ifndef MILLETHOLLOW_BALANCING_LOAD_BALANCER_H_
#define MILLETHOLLOW_BALANCING_LOAD_BALANCER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "millethollow/error.h"

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
  double slow_start_load_multiple = 1;
  double overload_for_s = 1;
};

// Checks settings for values that no dispatcher can work with. Fails with kInvalidArgument.
Status ValidateSettings(const Settings& settings);

enum class Readiness : std::uint8_t { kReady, kDraining, kGone };

struct Endpoint {
  std::string worker;  // the caller's name of the worker, returned unaltered
  Readiness readiness = Readiness::kReady;
  int zone = 0;
  int kind = 0;
  int cell = 0;
  double capacity_hint = 1;      // relative to other workers
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
  bool out_of_service = false;
};
// While a process is replaced, two run as this one dispatcher. Each hears of the other's slots out
// by PeerMessage from its own ordinal, and answers by SendPeerMessage to it. The one that leaves
// takes nothing new, speaks to no other peer and spares cold workers.
struct SiblingProcess {
  bool present = false, draining = false;
};
// Other settings from now on, with the same tenants, zones, kinds and columns. Classes keep their
// indices and more may follow; those in `redefined_classes` mean another class than before. Open
// jobs keep the number of attempts that they came with.
struct SettingsChanged {
  const Settings* settings = nullptr;
  const std::vector<int>* redefined_classes = nullptr;
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
  std::vector<PreviousAttempt> previous_attempts = {};
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
  std::uint64_t timer_id = 0;
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
  std::uint64_t timer_id = 0;
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

// Keeps account of the capacity of workers where jobs are scheduled (src/scheduling): capacity that
// is reserved for one job is not available to another. Implemented by the caller, which owns it.
class CapacityReservations {
 public:
  virtual ~CapacityReservations() = default;
  struct Candidate {
    bool impossible = false;  // no worker could ever hold the job
    std::string_view worker;  // has capacity for it now; empty: none has
  };
  // A worker at which the job may start now.
  virtual Candidate FindWorker(std::string_view job) = 0;
  // The job may start at this worker now.
  virtual bool HasCapacityFor(std::string_view job, std::string_view worker) = 0;
  // Jobs of this class may reserve capacity while they wait.
  virtual bool MayReserve(int cls) const = 0;
  // Slots of the worker that are reserved for waiting jobs.
  virtual double ReservedSlots(std::string_view worker) const = 0;
};

// What the module knows about a worker.
struct WorkerView {
  std::string_view worker;
  int kind = 0;
  bool usable = false;                             // ready and not ejected
  bool warming_up = false;                         // in its slow start
  bool in_other_zone = false;                      // where a zone crossing has a price
  double capacity_slots = 0, capacity_memory = 0;  // as the endpoint list says; 0: not known
  double peer_slots_in_flight = 0;  // of other dispatchers, by their last load report
  double reported_free_slots = -1;  // by a report that is still fresh; -1: there is none
  double own_slots_at_report = 0;   // own slots in flight when that report was made
};

class LoadBalancerImpl;

// The share of the fleet's capacity that a dispatcher may use, where the tier agrees on shares.
struct FleetShare {
  double share = 0;         // 0 to 1; the sum over all dispatchers never exceeds 1
  int member_count = 0;     // members of the agreed view; 0: this dispatcher is cut off from it
  std::uint64_t epoch = 0;  // of the agreed view
  bool stopped = false;     // no event was handled for a second, as after a stop of the process
  // By tenant: the jobs per second of its quota that this dispatcher may admit, where quotas are
  // allocated by tenant; the sum over all dispatchers never exceeds the quota. Negative or missing:
  // `share` applies.
  std::vector<double> tenant_rates_rps = {};
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

  // Handles `event`, which happened at `now_s`, and appends to `actions` what is to be done.
  void Handle(double now_s, const Event& event, Actions* actions);
  // The worker gets no new jobs now: unknown, draining, out of service, or ejected.
  bool Excludes(std::string_view worker) const;
  // Jobs start only where `reservations` has capacity for them, and wait otherwise. Not owned; to
  // be set before the first event.
  void SetCapacityReservations(CapacityReservations* reservations);
  // Changes with each event that changed what Workers() returns. A worker keeps its index while it
  // is known; one that was long gone from the list, with nothing in flight there, may give its
  // index to a new one.
  std::uint64_t version() const;
  std::vector<WorkerView> Workers() const;
  // This dispatcher's share of all demand, 0 to 1.
  double DemandShare() const;
  // Messages of peers that were ignored as damaged, foreign or unwanted.
  std::uint64_t RejectedPeerMessages() const;
  // Takes effect at once. Where it is never called, shares follow demand.
  void SetFleetShare(const FleetShare& share);
  // The learned state, for the process that replaces this one in a hot restart, which restores it
  // before its first event. `classes` maps each of the new process's classes to the index that it
  // had in the old one, -1: none. Returns false and changes nothing where the text is damaged or
  // was saved under settings of another form.
  std::string SaveState() const;
  bool RestoreState(std::string_view text, const std::vector<int>& classes);

 private:
  std::unique_ptr<LoadBalancerImpl> impl_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_LOAD_BALANCER_H_
