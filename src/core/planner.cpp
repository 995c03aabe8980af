#include "core/planner.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <variant>

#include "balancing/agreed_share.h"

namespace millethollow {

using balancing::Endpoint;
using balancing::EndpointListKind;
using balancing::Readiness;

Planner::Planner(const balancing::Settings& settings, std::uint64_t seed, Deadlines* deadlines,
                 PlannerEnvironment* environment, Counters* counters,
                 const scheduling::Options& options)
    : settings_(settings),
      balancer_(settings, seed, options),
      deadlines_(deadlines),
      environment_(environment),
      counters_(counters),
      demand_(settings.tenants.size()) {}

void Planner::Start(const std::vector<Endpoint>& known) {
  queue_.Post([this] { Deliver(balancing::DispatcherStarted{}); });
  OnEndpointsUpdated(EndpointListKind::kRestored, known);
  for (const std::string& worker : workers_.InMaintenance()) {  // imported
    queue_.Post([this, worker] { Deliver(balancing::MaintenanceChanged{worker, true}); });
  }
}

// ---- forwarders ----

std::uint64_t Planner::AddForwarder(ForwarderPort* port, bool in_process) {
  forwarders_[++last_forwarder_] = port;
  if (in_process) in_process_forwarders_.insert(last_forwarder_);
  return last_forwarder_;
}

void Planner::OnForwarderLost(std::uint64_t forwarder) {
  forwarders_.erase(forwarder);
  for (const RequestId id : ledger_.OfForwarder(forwarder)) {
    OnRequestCancelled(id);
    LedgerEntry* entry = ledger_.Find(id);
    for (std::size_t i = 0; entry != nullptr && i < entry->attempts.size(); ++i) {
      if (!entry->attempts[i].open) continue;
      EndAttempt(id, entry, i, {.status = AttemptStatus::kConnectionLost});
      entry = ledger_.Find(id);
    }
  }
  for (Endpoint gone : workers_.LocalTo(forwarder)) {
    gone.readiness = Readiness::kGone;
    OnLocalWorkerChanged(forwarder, gone);
  }
}

ForwarderPort* Planner::PortOf(RequestId id) const {
  const auto it = forwarders_.find(ForwarderOf(id));
  return it == forwarders_.end() ? nullptr : it->second;
}

// ---- the balancer ----

void Planner::Deliver(const balancing::Event& event) {
  balancing::Actions actions;
  UpdateFleetShare();
  balancer_.Handle(environment_->Now(), event, &actions);
  for (const balancing::Action& action : actions) {
    std::visit([this](const auto& a) { Do(a); }, action);
  }
}

void Planner::UpdateFleetShare() {
  std::optional<balancing::FleetShare> share = environment_->FleetShare();
  if (!share) return;
  const double now = environment_->Now();
  share->stopped = now - fleet_share_at_ > balancing::AgreedShare::kStoppedS;
  if (*share != fleet_share_) balancer_.SetFleetShare(*share);
  fleet_share_ = *share;
  fleet_share_at_ = now;
}

// ---- workers ----

void Planner::OnProbeAnswered(const std::string& worker, const Outcome& outcome) {
  queue_.Post([this, worker, outcome] {
    balancing::ProbeAnswered e{.worker = worker,
                               .status = outcome.status,
                               .latency_s = outcome.latency_s,
                               .has_report = outcome.has_report};
    std::copy(std::begin(outcome.report), std::end(outcome.report), std::begin(e.report));
    Deliver(e);
  });
}

void Planner::OnLocalWorkerChanged(std::uint64_t forwarder, const Endpoint& endpoint) {
  workers_.UpdateLocal(endpoint, forwarder, environment_->Now());
  queue_.Post([this, endpoint] {
    const std::vector<Endpoint> changed{endpoint};
    Deliver(balancing::EndpointsUpdated{EndpointListKind::kIncremental, &changed});
  });
}

void Planner::OnEndpointsUpdated(EndpointListKind kind, const std::vector<Endpoint>& endpoints) {
  const double now = environment_->Now();
  const bool full = kind == EndpointListKind::kSnapshot || kind == EndpointListKind::kRestored;
  std::vector<Endpoint> list = full ? workers_.ApplySnapshot(endpoints, now) : endpoints;
  for (const Endpoint& endpoint : endpoints) workers_.Update(endpoint, now);
  queue_.Post([this, kind, list = std::move(list)] {
    Deliver(balancing::EndpointsUpdated{kind,
                                        kind == EndpointListKind::kUnavailable ? nullptr : &list});
    if (kind == EndpointListKind::kSnapshot) ForgetGoneWorkers();
    DispatchDeferred();
  });
}

// The balancer alone decides when a gone worker is forgotten (long off the lists, nothing in flight
// there); without this the registry would keep each name ever listed.
void Planner::ForgetGoneWorkers() {
  std::unordered_set<std::string_view> known;
  const std::vector<balancing::WorkerView> views = balancer_.Workers();
  for (const balancing::WorkerView& view : views) known.insert(view.worker);
  workers_.EraseGone([&known](std::string_view worker) { return known.contains(worker); });
}

bool Planner::SetMaintenance(const std::string& worker, bool in_maintenance) {
  bool changed = false;
  if (!workers_.SetMaintenance(worker, in_maintenance, environment_->Now(), &changed)) return false;
  if (!changed) return true;
  environment_->Log("maintenance worker=" + worker + " state=" + (in_maintenance ? "out" : "in"));
  queue_.Post([this, worker, in_maintenance] {
    Deliver(balancing::MaintenanceChanged{worker, in_maintenance});
  });
  return true;
}

WorkerRegistry::Counts Planner::CountWorkers() const {
  return workers_.Count([this](const std::string& worker) { return balancer_.Excludes(worker); });
}

// ---- peers ----

void Planner::OnPeerMessage(int sender, const std::string& body) {
  counters_->peer_messages_in += 1;
  queue_.Post([this, sender, body] { Deliver(balancing::PeerMessage{sender, body}); });
}

void Planner::OnPeerWorkerDown(const std::string& worker, double started_at_s, bool gone) {
  const RegisteredWorker* known = workers_.Find(worker);
  if (known == nullptr) return;
  Endpoint endpoint = known->endpoint;
  const Readiness reported = gone ? Readiness::kGone : Readiness::kDraining;
  if (endpoint.readiness >= reported) return;
  endpoint.started_at_s = started_at_s;
  endpoint.readiness = reported;
  OnSiblingWorkerDown(endpoint);
}

// ---- configuration ----

void Planner::SetClassNames(std::vector<std::string> names, std::vector<bool> live) {
  class_live_ = std::move(live);
  class_names_ = std::move(names);
  balancer_.SetClassNames(class_names_);
  for (const std::string& name : class_names_) counters_->classes.try_emplace(name);
}

int Planner::ClassIndex(const std::string& name) const {
  for (std::size_t c = 0; c < class_names_.size(); ++c) {
    if (class_live_[c] && class_names_[c] == name) return static_cast<int>(c);
  }
  return -1;
}

void Planner::Configure(const balancing::Settings& settings, std::vector<std::string> names,
                        std::vector<bool> live, std::vector<int> added) {
  settings_ = settings;
  SetClassNames(std::move(names), std::move(live));
  queue_.Post([this, settings, added = std::move(added)] {
    Deliver(balancing::SettingsChanged{&settings, &added});
  });
}

// ---- hot restart ----

void Planner::ImportState(const std::vector<WorkerSnapshot>& workers,
                          std::string_view balancer_state, const std::vector<int>& classes) {
  if (!balancer_.RestoreState(balancer_state, classes)) {
    environment_->Log("hot-restart-state-rejected bytes=" + std::to_string(balancer_state.size()));
  }
  workers_.Import(workers);
}

void Planner::OnSiblingProcess(bool present, bool leaving) {
  queue_.Post([this, present, leaving] { Deliver(balancing::SiblingProcess{present, leaving}); });
}

void Planner::OnSiblingWorkerDown(const Endpoint& endpoint) {
  const RegisteredWorker* known = workers_.Find(endpoint.worker);
  if (known != nullptr && (known->local || known->endpoint.started_at_s > endpoint.started_at_s)) {
    return;
  }
  if (endpoint.readiness != Readiness::kReady) {
    OnEndpointsUpdated(EndpointListKind::kIncremental, {endpoint});
  }
}

}  // namespace millethollow
