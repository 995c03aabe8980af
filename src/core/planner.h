// The planner: owns the balancer and turns what forwarders, discovery, peers and operators report
// into its events, and its actions into commands.
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
#include "millethollow/balancing/load_balancer.h"
#include "scheduling/scheduling_balancer.h"

namespace millethollow {

// Invariants: each accepted request gets exactly one final answer, or none once its client has
// cancelled it. Each attempt has exactly one outcome. The balancer gets one event at a time: what
// its actions set off is queued.
//
// Not thread-safe: all calls come from the loop's thread.
class Planner {
 public:
  using WorkerSnapshot = millethollow::WorkerSnapshot;

  // `deadlines`, `environment` and `counters` must outlive the planner.
  Planner(const balancing::Settings& settings, std::uint64_t seed, Deadlines* deadlines,
          PlannerEnvironment* environment, Counters* counters,
          const scheduling::Options& options = {});
  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;

  // Starts the balancer with the endpoints that were known last. Call once, before any other
  // event, but after ImportState.
  void Start(const std::vector<balancing::Endpoint>& known);

  // Returns the number that stands in the ids of the forwarder's requests. `in_process`: its
  // reports arrive at once, so that an attempt without one has not started. `port` must stay valid
  // until OnForwarderLost.
  std::uint64_t AddForwarder(ForwarderPort* port, bool in_process);
  // With it go its clients and the workers that are connected to it.
  void OnForwarderLost(std::uint64_t forwarder);

  // Events of forwarders: see PlannerLink.
  void OnRequest(const Request& request);
  void OnRequestCancelled(RequestId id);
  void OnAttemptStarted(RequestId id, int attempt);
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome);
  void OnProbeAnswered(const std::string& worker, const Outcome& outcome);
  void OnLocalWorkerChanged(std::uint64_t forwarder, const balancing::Endpoint& endpoint);

  // From discovery. `endpoints` is ignored for kUnavailable.
  void OnEndpointsUpdated(balancing::EndpointListKind kind,
                          const std::vector<balancing::Endpoint>& endpoints);
  void OnPeerMessage(int sender, const std::string& body);
  // Another member of the cluster reports that the worker's process that started at `started_at_s`
  // (Unix time) drains or is gone.
  void OnPeerWorkerDown(const std::string& worker, double started_at_s, bool gone);

  // An operator takes a worker out of service or puts it back, whatever lists say. False: no such
  // worker was ever listed.
  bool SetMaintenance(const std::string& worker, bool in_maintenance);

  // Configuration. The names of the classes, by index; those that are not live are only those of
  // open requests.
  void SetClassNames(std::vector<std::string> names, std::vector<bool> live);
  // Open requests keep their class, and so its rules, and their limit of attempts. `added`: the
  // classes that are new.
  void Configure(const balancing::Settings& settings, std::vector<std::string> names,
                 std::vector<bool> live, std::vector<int> added);
  // Jobs in the queue stay there.
  void Configure(const scheduling::Options& options) { balancer_.Configure(options); }
  bool InUse(int cls) const { return ledger_.UsesClass(cls); }  // by an open request
  int ClassIndex(const std::string& name) const;                // -1: no live class has the name
  const std::string& class_name(int cls) const {
    return class_names_[static_cast<std::size_t>(cls)];
  }
  const balancing::Settings& settings() const { return settings_; }

  // Hot restart: while a process is replaced, two planners serve as one.
  std::vector<WorkerSnapshot> ExportWorkers() const { return workers_.Export(); }
  std::string SaveState() const { return balancer_.SaveState(); }
  std::vector<std::string> WireIds() const { return ledger_.WireIds(); }
  // Before Start. `balancer_state`: as of SaveState. `classes`: for each class here, its index
  // there, or -1.
  void ImportState(const std::vector<WorkerSnapshot>& workers, std::string_view balancer_state,
                   const std::vector<int>& classes);
  void MarkWireIdUsed(const std::string& wire_id) { ledger_.MarkWireIdUsed(wire_id); }
  void OnSiblingProcess(bool present, bool leaving);
  // The sibling knows that a worker drains or is gone. Ignored if a later start is known here.
  void OnSiblingWorkerDown(const balancing::Endpoint& endpoint);

  // Figures.
  bool HasWorker(const std::string& worker) const { return workers_.Find(worker) != nullptr; }
  WorkerRegistry::Counts CountWorkers() const;
  std::size_t open_requests() const { return ledger_.size(); }
  std::size_t pending() const { return pending_; }  // accepted, without a final answer yet
  const scheduling::SchedulingBalancer& balancer() const { return balancer_; }
  // By tenant: requests per second that arrived lately, whether admitted or not, without those that
  // a client marks as its retry. Follows demand faster than the balancer's own measure.
  std::vector<double> TenantDemand() { return demand_.Rates(environment_->Now()); }

 private:
  // An attempt that waits for a current endpoint list.
  struct DeferredAttempt {
    RequestId id;
    std::size_t attempt;
    std::string worker;
    double timeout_s;
  };

  // Events to the balancer.
  void Deliver(const balancing::Event& event);
  void DeliverRequest(const Request& request, std::vector<balancing::PreviousAttempt> tried);
  void PostCancelled(RequestId id);
  void UpdateFleetShare();

  // Actions of the balancer, by type.
  void Do(const balancing::SendAttempt& a);
  void Do(const balancing::RejectRequest& a);
  void Do(const balancing::FailRequest& a);
  void Do(const balancing::CancelAttempt& a);
  void Do(const balancing::SetTimer& a);
  void Do(const balancing::Probe& a);
  void Do(const balancing::SendPeerMessage& a);
  void Do(const balancing::Subscribe& a) { environment_->Subscribe(a.enable); }
  void Do(const balancing::FetchEndpoints&) { environment_->FetchEndpoints(); }
  void Do(const balancing::AwaitCapacity&) {}  // SchedulingBalancer keeps it
  void Do(const balancing::Log& a) { environment_->Log(a.line); }

  ForwarderPort* PortOf(RequestId id) const;  // null: the forwarder is gone
  const balancing::ClassSettings& ClassOf(const LedgerEntry& entry) const {
    return settings_.classes[static_cast<std::size_t>(entry.class_index)];
  }
  bool IsIdempotent(const LedgerEntry& entry) const;

  // Sending.
  bool AddPriorAttempts(const Request& request, LedgerEntry* entry,
                        std::vector<balancing::PreviousAttempt>* tried) const;
  std::optional<BlockReason> CheckSend(const LedgerEntry& entry, RequestId id,
                                       const std::string& worker, std::size_t attempt) const;
  void RecordThenDispatch(RequestId id, std::size_t attempt, const std::string& worker,
                          double timeout_s);
  void DispatchDeferred();
  void Dispatch(RequestId id, std::size_t attempt, const std::string& worker, double timeout_s);
  void BlockAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt, BlockReason reason);

  // Ends.
  void EndAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt, const Outcome& outcome);
  void CancelOpenAttempt(RequestId id, LedgerEntry* entry, std::size_t attempt,
                         AttemptStatus status_if_started);
  void OnAttemptTimeout(RequestId id, std::size_t attempt);
  bool SurelyNotStarted(RequestId id, const LedgerAttempt& attempt) const;
  void Answer(RequestId id, LedgerEntry* entry, FinalAnswer answer);
  void CountAnswer(const LedgerEntry& entry, FinalAnswer::Kind kind);
  void Expire(RequestId id);
  void EraseLater(RequestId id);

  void ForgetGoneWorkers();

  balancing::Settings settings_;
  scheduling::SchedulingBalancer balancer_;
  Deadlines* deadlines_;
  PlannerEnvironment* environment_;
  Counters* counters_;

  EventQueue queue_;
  RequestLedger ledger_;
  WorkerRegistry workers_;
  DispatchCheck dispatch_check_{&settings_, &workers_};
  std::vector<DeferredAttempt> deferred_;

  std::map<std::uint64_t, ForwarderPort*> forwarders_;
  std::set<std::uint64_t> in_process_forwarders_;
  std::uint64_t last_forwarder_ = 0;

  balancing::FleetShare fleet_share_;  // as the balancer has it
  double fleet_share_at_ = 0;
  DemandMeter demand_;
  std::size_t pending_ = 0;
  std::vector<std::string> class_names_;
  std::vector<bool> class_live_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_H_
