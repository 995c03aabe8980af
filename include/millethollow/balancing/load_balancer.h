// The interface of the decision module (src/balancing/): settings, events and actions.
//
// A LoadBalancer decides for one dispatcher. It does no I/O, reads no clock, starts no thread and
// has no state outside itself: the caller passes events in the order in which they happen and
// carries out the returned actions. All times are seconds on the caller's clock, which must be
// monotonic. "Wire" gives the name of a field in the simulator's protocol or of a settings key
// where it differs from the member's name.
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

// Which requests may be sent more than once. Wire: `semantics`.
enum class Idempotency : std::uint8_t {
  kIdempotent,         // any number of times
  kIdempotentWithKey,  // to workers of the same deduplication scope, within the window
  kNotIdempotent,      // only if no attempt can have run
};

// The set of workers among which repeats of a request with an idempotency key are dropped. Wire:
// `group`.
enum class DeduplicationScope : std::uint8_t { kAll, kZone, kCell };

// The meaning of a value in a worker's load report. Wire: `report.columns`.
enum class LoadMetric : std::uint8_t {
  kOther,        // ignored; holds a position among the values
  kInFlight,     // requests in flight at the worker, running and queued
  kQueued,       // queued requests
  kUtilization,  // 0 to 1
  kLatencyMs,    // milliseconds
  kRequestRate,  // requests per second
  kFailureRate,  // share of requests that fail, 0 to 1
  kFreeSlots,    // free slots
  kFreeMemory    // free units of memory
};

// How load reports arrive: not at all, with every answer, or only with answers to probes.
enum class LoadReportSource : std::uint8_t { kOff, kInline, kOnProbe };

// Settings of a class of requests. Times are in seconds.
struct ClassSettings {
  // An answer counts with its full weight within latency_objective_s + latency_objective_stretch *
  // run time of the request.
  double latency_objective_s = 0.1;      // wire: `aim_s`
  double latency_objective_stretch = 0;  // wire: `aim_stretch`
  double client_timeout_s = 1;  // time that a client waits, retries included; wire: `give_up_s`
  double priority_weight = 1;   // weight of a request's answer; wire: `importance`
  double late_weight = 0;  // share of that weight for a late answer, 0 to 1; wire: `late_worth`
  Idempotency idempotency = Idempotency::kIdempotent;
  // Only for kIdempotentWithKey. The window begins with the first attempt that may have run. Wire:
  // `group`, `window_s`.
  DeduplicationScope deduplication_scope = DeduplicationScope::kAll;
  double deduplication_window_s = 0;
  int kind = -1;          // kind of the workers that can run it; -1: any
  int priority = 0;       // priority in the workers' queues
  bool streamed = false;  // StreamStarted events arrive
};

// Settings of a tenant.
struct TenantSettings {
  double share = 0;      // share of the fleet's capacity, 0 to 1; wire: `fraction`
  double quota_rps = 0;  // requests per second over all dispatchers; 0: not known
};

// Settings of a dispatcher. Times are in seconds.
struct Settings {
  int dispatcher_index = 0;             // index of this dispatcher in its tier; wire: `ordinal`
  int dispatcher_count = 1;             // number of dispatchers in the tier; wire: `balancers`
  double tick_s = 0.001;                // shortest time between two batches of events
  std::vector<ClassSettings> classes;   // at least one
  std::vector<TenantSettings> tenants;  // may be empty
  int zone = 0;                         // zone of this dispatcher
  int zones = 1;                        // number of zones
  int kinds = 1;                        // number of worker kinds
  bool clients_mark_retries = false;    // RequestArrived::retry is set for retries
  bool polls_discovery = false;         // changes of the endpoint list arrive only after Subscribe

  // Permitted actions and their limits.
  bool cancel = true;          // CancelAttempt is permitted
  bool allow_hedging = false;  // a request may have two attempts in flight; wire: `may_duplicate`
  bool peers = false;          // SendPeerMessage is permitted
  bool probing = false;        // Probe is permitted
  bool retry_after = false;    // clients receive RejectRequest::retry_after_s
  int max_attempts = 1;        // attempts of a request; wire: `most_tries`
  double max_retry_after_s = 0;

  // What workers report.
  LoadReportSource load_report_source = LoadReportSource::kOff;
  std::vector<LoadMetric> load_report_metrics;  // in the order of the values; at most four
  bool workers_notify_start = false;            // AttemptProgress events of kind kStarted arrive
  double progress_interval_s = 0;               // between AttemptProgress events; 0: none arrive
  bool capacity_hints_valid = false;            // Endpoint::capacity_hint differs between workers

  // Prices, as shares of the best possible score. Each is multiplied by the rate of what it is
  // charged for.
  double price_cross_zone = 0;  // attempts in another zone
  double price_waste = 0;       // work without an answer
  double price_origin = 0;      // fetching the data of a request's key
  double price_peer = 0;        // messages to peers, at 256 bytes per request
  double price_probe = 0;       // one probe per request
  // Weight of a request beyond its tenant's quota, relative to the class's weight.
  double over_quota_weight = 1;

  // Parameters of the rules that a dispatcher must follow.
  double answer_slack_s = 0;  // a final answer may arrive this long after expires_s
  // Longest time between two Subscribe or FetchEndpoints actions where discovery is polled. Wire:
  // `ask_within_s`.
  double max_poll_interval_s = 10;
  // Minimum share of its capacity that a worker has when it starts.
  double slow_start_min_share = 1;
  double slow_start_s = 0;   // time until it has its full capacity
  double drain_grace_s = 0;  // grace period after which nothing may be sent to a draining worker
  // A worker in slow start fails if it is sent more than this multiple of its current capacity
  // during overload_for_s.
  double slow_start_load_multiple = 1;  // wire: `fall_multiple`
  double overload_for_s = 1;
};

// Checks settings for values that a dispatcher cannot work with. Fails with kInvalidArgument.
Status ValidateSettings(const Settings& settings);

// Whether a worker may receive requests. A draining worker completes what it has in flight and must
// be sent nothing more; a gone worker has left the list.
enum class Readiness : std::uint8_t { kReady, kDraining, kGone };

// An entry of the endpoint list.
struct Endpoint {
  std::string worker;  // name of the worker, returned unchanged
  Readiness readiness = Readiness::kReady;
  int zone = 0;                  // wire: `hall`
  int kind = 0;                  // worker kind, its hardware generation; wire: `generation_hw`
  int cell = 0;                  // cell, as in DeduplicationScope::kCell; wire: `unit_group`
  double capacity_hint = 1;      // relative to other workers
  double started_at_s = 0;       // time of the latest start; 0: long ago; wire: `born_s`
  double slots = 0, memory = 0;  // capacity; 0: not known
};

// What an EndpointsUpdated event contains.
enum class EndpointListKind : std::uint8_t {
  kIncremental,  // the endpoints that have changed
  kSnapshot,     // all endpoints; missing ones are gone
  kRestored,     // all endpoints as known before a restart; may be outdated
  kUnavailable,  // discovery did not answer
};

// How an attempt or a probe ended. Wire: `verdict`, with the names given below.
enum class AttemptStatus : std::uint8_t {
  kSucceeded,    // served: the request was answered
  kServerError,  // server_error: the worker answered with an error; the request may have run
  kRejected,     // turned_away: the worker refused the request unexamined; it did not run
  kNoResponse,  // no_answer: no response in time; the request may have run, or may still be running
  kConnectFailed,   // no_connection: no connection in time; the request did not run
  kConnectionLost,  // connection_lost: while the attempt was in flight; the request may have run
  kCancelled,       // called_off: by CancelAttempt; the request may have run
  kNotSent          // not_sent: the request had ended or had no attempts left; it did not run
};

// ---- Events. Views and pointers must stay valid only during the call of Handle. ----

// The first event of a dispatcher.
struct DispatcherStarted {};

// The endpoint list, or changes of it, arrived from discovery.
struct EndpointsUpdated {
  EndpointListKind kind = EndpointListKind::kIncremental;
  const std::vector<Endpoint>* endpoints = nullptr;  // may be null if kind is kUnavailable
};

// An operator starts or ends a worker's maintenance (takes it out of service), whatever the
// endpoint list says. A worker returns as if it had just started.
struct MaintenanceChanged {
  std::string_view worker;
  bool out_of_service = false;
};

// In a hot restart two sibling processes run as one dispatcher. Each learns the other's slots in
// flight from a PeerMessage whose sender is the common dispatcher_index, and replies with
// SendPeerMessage to that index. The draining process admits no requests, sends to no other peer
// and avoids workers in slow start.
struct SiblingProcess {
  bool present = false, draining = false;
};

// New settings, with the same tenants, zones, kinds and load report metrics. Classes keep their
// indices, and classes may be added; those in `redefined_classes` have a new meaning. Requests in
// flight keep their number of attempts.
struct SettingsChanged {
  const Settings* settings = nullptr;
  const std::vector<int>* redefined_classes = nullptr;
};

// An attempt that another dispatcher made before the request arrived here, and that may have run.
struct PreviousAttempt {
  std::string worker;  // name in the endpoint list
  double sent_at = 0;  // seconds on this dispatcher's clock
};

// A request of a client. It must have exactly one final answer: a terminal AttemptEnded,
// RejectRequest or FailRequest.
struct RequestArrived {
  std::string_view id;     // unique, never reused
  double expires_s = 0;    // when the client ends this try, in seconds on the caller's clock
  double slots = 1;        // slots that it needs at a worker
  double memory = 0;       // units of memory that it needs at a worker; wire: `ram_units`
  double bytes = 0;        // size of its body; 0: not known
  int tenant = 0;          // index in Settings::tenants; wire: `party`
  int class_index = 0;     // index in Settings::classes; wire: `cls`
  bool retry = false;      // marked by the client as a retry; wire: `again_by_client`
  std::string_view key;    // requests with the same key use the same data; empty: none
  double size_hint_s = 0;  // expected run time at standard speed, in seconds; 0: not known
  std::vector<PreviousAttempt> previous_attempts = {};
};

// The attempts of a request are numbered from 0 in the order of their SendAttempt actions. Wire:
// `hop`.

// The answer to an attempt has begun: from now on expires_s does not apply to the request.
struct StreamStarted {
  std::string_view id;
  int attempt = 0;
};

// Whether an attempt has started or reports its progress.
enum class ProgressKind : std::uint8_t { kStarted, kProgress };

// A worker reports on an attempt.
struct AttemptProgress {
  std::string_view id;
  int attempt = 0;
  ProgressKind kind = ProgressKind::kStarted;
  double amount = 0;  // share of the work that is done, for kProgress
};

// An attempt has ended.
struct AttemptEnded {
  std::string_view id;
  int attempt = 0;
  AttemptStatus status = AttemptStatus::kSucceeded;
  double latency_s = 0;   // since the attempt was sent
  bool terminal = false;  // the request has ended, by this attempt or earlier
  bool has_report = false;
  double report[4] = {0, 0, 0, 0};  // in the order of Settings::load_report_metrics
};

// The client has left.
struct RequestCancelled {
  std::string_view id;
};

// A timer has expired.
struct TimerFired {
  std::uint64_t timer_id = 0;  // of the SetTimer action
};

// A probe has ended, with or without an answer.
struct ProbeAnswered {
  std::string_view worker;
  AttemptStatus status = AttemptStatus::kSucceeded;
  double latency_s = 0;  // since the probe was sent
  bool has_report = false;
  double report[4] = {0, 0, 0, 0};  // in the order of Settings::load_report_metrics
};

// A message of another dispatcher, or of the sibling process.
struct PeerMessage {
  int sender = 0;         // dispatcher_index of the sender
  std::string_view body;  // body of its SendPeerMessage
};

// A request that waits after AwaitCapacity can now be sent, at least to `worker`. An empty `worker`
// means that there is neither capacity nor a place in the queue: the request ends.
struct CapacityFound {
  std::string_view id;
  std::string_view worker;
};

using Event =
    std::variant<DispatcherStarted, EndpointsUpdated, RequestArrived, StreamStarted,
                 AttemptProgress, AttemptEnded, RequestCancelled, TimerFired, ProbeAnswered,
                 PeerMessage, MaintenanceChanged, SiblingProcess, SettingsChanged, CapacityFound>;

// ---- Actions, to be carried out in the given order. ----

// Sends the request to a worker.
struct SendAttempt {
  std::string id;
  std::string worker;
  double timeout_s = 0;  // 0: until the client's deadline
};

// The final answer that the client may safely retry the request.
struct RejectRequest {
  std::string id;
  double retry_after_s = 0;  // advised delay of the retry, as Retry-After in HTTP; 0: none
};

// The final answer that the request failed and may have run.
struct FailRequest {
  std::string id;
};

// Cancels an attempt in flight.
struct CancelAttempt {
  std::string id;
  int attempt = 0;
};

// Requests a TimerFired event after `after_s` seconds.
struct SetTimer {
  std::uint64_t timer_id = 0;
  double after_s = 0;
};

// Checks the health of a worker and requests its load report.
struct Probe {
  std::string worker;
};

// Largest SendPeerMessage::body.
constexpr std::size_t kMaxPeerMessageBytes = 256;
// Sends a usage report to another dispatcher of the tier, modelled on RLQS (gRPC proposal A77). It
// may be lost.
struct SendPeerMessage {
  int recipient = 0;  // dispatcher_index of the recipient
  std::string body;   // at most kMaxPeerMessageBytes
};

// Fetches the endpoint list and starts (`enable`) or ends the delivery of its changes as events.
struct Subscribe {
  bool enable = true;
};

// Fetches the endpoint list once.
struct FetchEndpoints {};

// No worker has capacity for the request: it must wait for CapacityFound. Used only with
// SetCapacityReservations.
struct AwaitCapacity {
  std::string id;
};

// Writes a line to the log.
struct Log {
  std::string line;
};

using Action = std::variant<SendAttempt, RejectRequest, FailRequest, CancelAttempt, SetTimer, Probe,
                            SendPeerMessage, Subscribe, FetchEndpoints, AwaitCapacity, Log>;
using Actions = std::vector<Action>;

// Tracks the capacity of workers where jobs are scheduled (src/scheduling): capacity reserved for
// one job is not available to others. Implemented and owned by the caller.
class CapacityReservations {
 public:
  virtual ~CapacityReservations() = default;
  // The result of FindWorker.
  struct Candidate {
    bool impossible = false;  // no worker can ever have capacity for the request
    std::string_view worker;  // a worker with capacity for it now; empty: none has
  };
  // Finds a worker where the request's job may start now.
  virtual Candidate FindWorker(std::string_view request_id) = 0;
  // Whether the request's job may start at this worker now.
  virtual bool HasCapacityFor(std::string_view request_id, std::string_view worker) = 0;
  // Whether requests of this class may reserve capacity while they wait.
  virtual bool MayReserve(int class_index) const = 0;
  // Slots of the worker that are reserved for waiting requests.
  virtual double ReservedSlots(std::string_view worker) const = 0;
};

// The module's view of a worker.
struct WorkerView {
  std::string_view worker;
  int kind = 0;
  bool usable = false;                             // ready and not ejected
  bool in_slow_start = false;                      // in slow start
  bool in_other_zone = false;                      // in another zone, where that has a price
  double capacity_slots = 0, capacity_memory = 0;  // by the endpoint list; 0: not known
  double peer_slots_in_flight = 0;  // of the other dispatchers, by their latest usage reports
  double reported_free_slots = -1;  // by a recent load report; -1: there is none
  double own_slots_at_report = 0;   // own slots in flight when that report was made
};

class LoadBalancerImpl;

// The share of the fleet's capacity that a dispatcher may use, where the tier agrees on shares.
struct FleetShare {
  double share = 0;      // 0 to 1; the shares of all dispatchers never add up to more than 1
  int member_count = 0;  // members of the agreed view; 0: this dispatcher is cut off from the view
  std::uint64_t epoch = 0;  // epoch of the agreed view
  bool stopped = false;     // no event was handled for a second, as after the process was stopped
  // By tenant: the requests per second of its quota that this dispatcher may admit, where quotas
  // are allocated by tenant. The rates of all dispatchers never add up to more than the quota.
  // Negative or missing: `share` applies.
  std::vector<double> tenant_rates_rps = {};
  bool operator==(const FleetShare&) const = default;
};

// The decisions of one dispatcher. Equal settings, seeds and events give equal actions.
class LoadBalancer {
 public:
  // `settings` must pass ValidateSettings.
  LoadBalancer(const Settings& settings, std::uint64_t seed);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  // Handles `event`, which happened at `now_s`, and appends the resulting actions to `actions`.
  void Handle(double now_s, const Event& event, Actions* actions);
  // Whether the worker gets no new requests: it is unknown, draining, out of service or ejected.
  bool Excludes(std::string_view worker) const;
  // Makes requests start only where `reservations` has capacity for them, and wait otherwise.
  // `reservations` is not owned. Must be called before the first event.
  void SetCapacityReservations(CapacityReservations* reservations);
  // Changes with every event that changes the result of Workers(). A worker keeps its index while
  // it is known; the index of one that left the list long ago, with nothing in flight, may be
  // reused.
  std::uint64_t version() const;
  // All known workers, by index.
  std::vector<WorkerView> Workers() const;
  // This dispatcher's share of the tier's demand, 0 to 1.
  double DemandShare() const;
  // Number of peer messages that were ignored as damaged, foreign or not permitted.
  std::uint64_t RejectedPeerMessages() const;
  // Sets the agreed share, which takes effect at once. Without a call, shares follow demand.
  void SetFleetShare(const FleetShare& share);
  // Save and restore the learned state in a hot restart: the new process restores it before its
  // first event. `classes` maps each class of the new process to its index in the old one; -1:
  // none. RestoreState returns false and changes nothing if the text is damaged or was saved under
  // settings of another form.
  std::string SaveState() const;
  bool RestoreState(std::string_view text, const std::vector<int>& classes);

 private:
  std::unique_ptr<LoadBalancerImpl> impl_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_LOAD_BALANCER_H_
