// The planner: owns the balancer, converts reports of forwarders, discovery, peers and operators
// into its events, and executes its actions.
#ifndef MILLETHOLLOW_CORE_PLANNER_H_
#define MILLETHOLLOW_CORE_PLANNER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/deadlines.h"
#include "core/demand_meter.h"
#include "core/dispatch_check.h"
#include "core/event_queue.h"
#include "core/planner_environment.h"
#include "core/planner_link.h"
#include "core/request.h"
#include "core/request_ledger.h"
#include "core/worker_registry.h"
#include "logging/request_log.h"
#include "millethollow/balancing/load_balancer.h"
#include "scheduling/scheduling_balancer.h"

namespace millethollow {

// Invariants: each accepted request gets exactly one final answer, or none if its client cancels it
// first. Each attempt has exactly one outcome. The balancer handles one event at a time: events
// that result from its actions are queued.
//
// Not thread-safe: all calls are made on the loop's thread.
class Planner {
 public:
  using WorkerSnapshot = millethollow::WorkerSnapshot;

  // `seed` initializes the balancer's random choices. `deadlines`, `environment` and `counters`
  // must outlive the planner.
  Planner(const balancing::Settings& settings, std::uint64_t seed, Deadlines* deadlines,
          PlannerEnvironment* environment, Counters* counters,
          const scheduling::Options& options = {});
  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;

  // Starts the balancer with the last known endpoints. Call once, before any other event but after
  // ImportState.
  void Start(const std::vector<balancing::Endpoint>& known);

  // Registers a forwarder and returns its number, which is part of the ids of its requests.
  // `in_process`: the forwarder's reports arrive without delay, so that an attempt at a local
  // worker has not started unless its start was reported. `port` must stay valid until
  // OnForwarderLost.
  std::uint64_t AddForwarder(ForwarderPort* port, bool in_process);
  // Cancels the forwarder's requests and marks the workers that are connected to it as gone.
  void OnForwarderLost(std::uint64_t forwarder);

  // Events from forwarders: see PlannerLink.
  void OnRequest(const Request& request);
  void OnRequestCancelled(RequestId id);
  void OnAttemptStarted(RequestId id, int attempt);
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome);
  void OnProbeAnswered(const std::string& worker, const Outcome& outcome);
  void OnLocalWorkerChanged(std::uint64_t forwarder, const balancing::Endpoint& endpoint);

  // Applies a result of discovery. `endpoints` is ignored for kUnavailable.
  void OnEndpointsUpdated(balancing::EndpointListKind kind,
                          const std::vector<balancing::Endpoint>& endpoints);
  // A message from another dispatcher, identified by its index.
  void OnPeerMessage(int sender, const std::string& body);
  // Another member of the cluster reports that the worker process that started at `started_at_s`
  // (Unix time, seconds) is draining or gone.
  void OnPeerWorkerDown(const std::string& worker, double started_at_s, bool gone);

  // Starts or ends a worker's maintenance, which overrides endpoint lists. Returns false if no such
  // worker was ever listed.
  bool SetMaintenance(const std::string& worker, bool in_maintenance);

  // Configuration: sets the names of the classes by index, and which of them are live. Classes that
  // are not live exist only for requests that are still open.
  void SetClassNames(std::vector<std::string> names, std::vector<bool> live);
  // Applies reloaded settings. Open requests keep their class with its rules, and their limit of
  // attempts. `added`: indexes of the new classes.
  void Configure(const balancing::Settings& settings, std::vector<std::string> names,
                 std::vector<bool> live, std::vector<int> added);
  // Applies reloaded scheduling options. Queued jobs stay queued.
  void Configure(const scheduling::Options& options) { balancer_.Configure(options); }
  // Whether an open request belongs to the class.
  bool IsClassInUse(int class_index) const { return ledger_.UsesClass(class_index); }
  // Returns the index of the live class with this name, or -1.
  int ClassIndex(const std::string& name) const;
  const std::string& class_name(int class_index) const {
    return class_names_[static_cast<std::size_t>(class_index)];
  }
  const balancing::Settings& settings() const { return settings_; }

  // Hot restart: while a process is being replaced, the old and the new planner serve together.
  // State of the workers, of the balancer, and the reserved wire ids, for the successor.
  std::vector<WorkerSnapshot> ExportWorkers() const { return workers_.Export(); }
  std::string SaveState() const { return balancer_.SaveState(); }
  std::vector<std::string> WireIds() const { return ledger_.WireIds(); }
  // Imports the state of the process that this one replaces. Call before Start. `balancer_state`:
  // the result of its SaveState. `classes`: for each class here, its index there, or -1.
  void ImportState(const std::vector<WorkerSnapshot>& workers, std::string_view balancer_state,
                   const std::vector<int>& classes);
  // The sibling process has accepted a request with this wire id.
  void MarkWireIdUsed(const std::string& wire_id) {
    ledger_.MarkWireIdUsed(wire_id, environment_->Now());
  }
  // The sibling process has appeared, disappeared or begun to stop.
  void OnSiblingProcess(bool present, bool leaving);
  // The sibling process reports that a worker is draining or gone. Ignored if this process knows of
  // a later start of the worker.
  void OnSiblingWorkerDown(const balancing::Endpoint& endpoint);

  // Status and metrics.
  bool HasWorker(const std::string& worker) const { return workers_.Find(worker) != nullptr; }
  WorkerRegistry::Counts CountWorkers() const;
  // Accepted requests that are not answered yet or have an open attempt.
  std::size_t open_requests() const { return ledger_.size(); }
  // Accepted requests without a final answer.
  std::size_t pending() const { return pending_; }
  const scheduling::SchedulingBalancer& balancer() const { return balancer_; }
  // Recent arrival rate of each tenant in requests per second, admitted or not, without requests
  // that clients mark as retries. Follows changes faster than the balancer's own estimate.
  std::vector<double> TenantDemand() { return demand_meter_.Rates(environment_->Now()); }

 private:
  // An attempt that waits for a current endpoint list. `timeout_s`: 0 if unlimited.
  struct DeferredAttempt {
    RequestId id;
    std::size_t attempt;
    std::string worker;
    double timeout_s;
  };

  // Events of the balancer.
  void HandleEvent(const balancing::Event& event);
  void PostRequestArrived(const Request& request,
                          std::vector<balancing::PreviousAttempt> previous_attempts);
  void PostRequestCancelled(RequestId id);
  void UpdateFleetShare();
  // Ids of requests that may have run stay reserved while one that comes again could still run.
  void UpdateIdRetention();

  // Executes an action of the balancer.
  void Execute(const balancing::SendAttempt& action);
  void Execute(const balancing::RejectRequest& action);
  void Execute(const balancing::FailRequest& action);
  void Execute(const balancing::CancelAttempt& action);
  void Execute(const balancing::SetTimer& action);
  void Execute(const balancing::Probe& action);
  void Execute(const balancing::SendPeerMessage& action);
  void Execute(const balancing::Subscribe& action) { environment_->Subscribe(action.enable); }
  void Execute(const balancing::FetchEndpoints&) { environment_->FetchEndpoints(); }
  void Execute(const balancing::AwaitCapacity&) {}  // handled by SchedulingBalancer
  void Execute(const balancing::Log& action) { environment_->Log(action.line); }

  ForwarderPort* FindForwarder(RequestId id) const;  // null if it is disconnected
  const balancing::ClassSettings& ClassOf(const LedgerEntry& entry) const {
    return settings_.classes[static_cast<std::size_t>(entry.class_index)];
  }
  bool IsIdempotent(const LedgerEntry& entry) const;

  // Sending.
  bool AddPriorAttempts(const Request& request, LedgerEntry* entry,
                        std::vector<balancing::PreviousAttempt>* previous_attempts) const;
  std::optional<BlockReason> CheckSend(const LedgerEntry& entry, RequestId id,
                                       const std::string& worker, std::size_t attempt) const;
  void RecordThenDispatch(RequestId id, std::size_t attempt, const std::string& worker,
                          double timeout_s);
  void DispatchDeferred();
  void Dispatch(RequestId id, std::size_t attempt, const std::string& worker, double timeout_s);
  void BlockAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt, BlockReason reason);

  // End of attempts and requests.
  void EndAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt, const Outcome& outcome);
  void CancelOpenAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt,
                         AttemptStatus status_if_started);
  void OnAttemptTimeout(RequestId id, std::size_t attempt);
  bool IsKnownNotStarted(RequestId id, const LedgerAttempt& attempt) const;
  void Answer(RequestId id, LedgerEntry* entry, FinalAnswer answer);
  void CountAnswer(const LedgerEntry& entry, FinalAnswer::Kind kind);
  void Expire(RequestId id);
  void PostEraseIfComplete(RequestId id);

  void EraseGoneWorkers();

  // Log lines of a request's steps.
  void LogAttempt(RequestStep step, RequestId id, std::size_t attempt, std::string_view reason);
  void LogSend(RequestId id, std::size_t attempt);
  void LogFinalAnswer(RequestId id, const LedgerEntry& entry, const FinalAnswer& answer);

  balancing::Settings settings_;
  scheduling::SchedulingBalancer balancer_;
  Deadlines* deadlines_;
  PlannerEnvironment* environment_;
  Counters* counters_;

  EventQueue event_queue_;
  RequestLedger ledger_;
  WorkerRegistry workers_;
  DispatchCheck dispatch_check_{&settings_, &workers_};
  std::vector<DeferredAttempt> deferred_attempts_;

  std::map<std::uint64_t, ForwarderPort*> forwarders_;
  std::set<std::uint64_t> in_process_forwarders_;
  std::uint64_t last_forwarder_ = 0;

  balancing::FleetShare fleet_share_;  // last value passed to the balancer
  double fleet_share_updated_at_ = 0;  // seconds on the loop's clock
  DemandMeter demand_meter_;
  std::size_t pending_ = 0;
  std::vector<std::string> class_names_;
  std::vector<bool> class_is_live_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_H_
