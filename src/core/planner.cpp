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
      demand_meter_(settings.tenants.size()) {
  UpdateIdRetention();
}

void Planner::Start(const std::vector<Endpoint>& known) {
  event_queue_.Post([this] { HandleEvent(balancing::DispatcherStarted{}); });
  OnEndpointsUpdated(EndpointListKind::kRestored, known);
  for (const std::string& worker : workers_.InMaintenance()) {  // as imported
    event_queue_.Post([this, worker] { HandleEvent(balancing::MaintenanceChanged{worker, true}); });
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
  for (const RequestId id : ledger_.RequestsOfForwarder(forwarder)) {
    OnRequestCancelled(id);
    LedgerEntry* entry = ledger_.Find(id);
    for (std::size_t attempt = 0; entry != nullptr && attempt < entry->attempts.size(); ++attempt) {
      if (!entry->attempts[attempt].open) continue;
      EndAttempt(id, entry, attempt, {.status = AttemptStatus::kConnectionLost});
      entry = ledger_.Find(id);
    }
  }
  for (Endpoint endpoint : workers_.LocalEndpoints(forwarder)) {
    endpoint.readiness = Readiness::kGone;
    OnLocalWorkerChanged(forwarder, endpoint);
  }
}

ForwarderPort* Planner::FindForwarder(RequestId id) const {
  const auto it = forwarders_.find(ForwarderOf(id));
  return it == forwarders_.end() ? nullptr : it->second;
}

// ---- the balancer ----

void Planner::HandleEvent(const balancing::Event& event) {
  balancing::Actions actions;
  UpdateFleetShare();
  balancer_.Handle(environment_->Now(), event, &actions);
  for (const balancing::Action& action : actions) {
    std::visit([this](const auto& typed_action) { Execute(typed_action); }, action);
  }
}

void Planner::UpdateFleetShare() {
  std::optional<balancing::FleetShare> share = environment_->FleetShare();
  if (!share) return;
  const double now = environment_->Now();
  share->stopped = now - fleet_share_updated_at_ > balancing::AgreedShare::kStoppedS;
  if (*share != fleet_share_) balancer_.SetFleetShare(*share);
  fleet_share_ = *share;
  fleet_share_updated_at_ = now;
}

// ---- workers ----

void Planner::OnProbeAnswered(const std::string& worker, const Outcome& outcome) {
  event_queue_.Post([this, worker, outcome] {
    balancing::ProbeAnswered event{.worker = worker,
                                   .status = outcome.status,
                                   .latency_s = outcome.latency_s,
                                   .has_report = outcome.has_report};
    std::copy(std::begin(outcome.report), std::end(outcome.report), std::begin(event.report));
    HandleEvent(event);
  });
}

void Planner::OnLocalWorkerChanged(std::uint64_t forwarder, const Endpoint& endpoint) {
  workers_.UpdateLocal(endpoint, forwarder, environment_->Now());
  event_queue_.Post([this, endpoint] {
    const std::vector<Endpoint> changed{endpoint};
    HandleEvent(balancing::EndpointsUpdated{EndpointListKind::kIncremental, &changed});
  });
}

void Planner::OnEndpointsUpdated(EndpointListKind kind, const std::vector<Endpoint>& endpoints) {
  const double now = environment_->Now();
  const bool is_full_list =
      kind == EndpointListKind::kSnapshot || kind == EndpointListKind::kRestored;
  std::vector<Endpoint> list = is_full_list ? workers_.ApplySnapshot(endpoints, now) : endpoints;
  for (const Endpoint& endpoint : endpoints) workers_.Update(endpoint, now);
  event_queue_.Post([this, kind, list = std::move(list)] {
    HandleEvent(balancing::EndpointsUpdated{
        kind, kind == EndpointListKind::kUnavailable ? nullptr : &list});
    if (kind == EndpointListKind::kSnapshot) EraseGoneWorkers();
    DispatchDeferred();
  });
}

// Erases gone workers that the balancer has erased. The balancer decides when (long off the lists,
// and no attempt in flight); otherwise the registry would keep every name that was ever listed.
void Planner::EraseGoneWorkers() {
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
  event_queue_.Post([this, worker, in_maintenance] {
    HandleEvent(balancing::MaintenanceChanged{worker, in_maintenance});
  });
  return true;
}

WorkerRegistry::Counts Planner::CountWorkers() const {
  return workers_.Count([this](const std::string& worker) { return balancer_.Excludes(worker); });
}

// ---- peers ----

void Planner::OnPeerMessage(int sender, const std::string& body) {
  counters_->peer_messages_in += 1;
  event_queue_.Post([this, sender, body] { HandleEvent(balancing::PeerMessage{sender, body}); });
}

void Planner::OnPeerWorkerDown(const std::string& worker, double started_at_s, bool gone) {
  const RegisteredWorker* registered = workers_.Find(worker);
  if (registered == nullptr) return;
  Endpoint endpoint = registered->endpoint;
  const Readiness reported = gone ? Readiness::kGone : Readiness::kDraining;
  if (endpoint.readiness >= reported) return;
  endpoint.started_at_s = started_at_s;
  endpoint.readiness = reported;
  OnSiblingWorkerDown(endpoint);
}

// ---- configuration ----

void Planner::SetClassNames(std::vector<std::string> names, std::vector<bool> live) {
  class_is_live_ = std::move(live);
  class_names_ = std::move(names);
  balancer_.SetClassNames(class_names_);
  for (const std::string& name : class_names_) counters_->classes.try_emplace(name);
}

int Planner::ClassIndex(const std::string& name) const {
  for (std::size_t index = 0; index < class_names_.size(); ++index) {
    if (class_is_live_[index] && class_names_[index] == name) return static_cast<int>(index);
  }
  return -1;
}

void Planner::Configure(const balancing::Settings& settings, std::vector<std::string> names,
                        std::vector<bool> live, std::vector<int> added) {
  settings_ = settings;
  UpdateIdRetention();
  SetClassNames(std::move(names), std::move(live));
  event_queue_.Post([this, settings, added = std::move(added)] {
    HandleEvent(balancing::SettingsChanged{&settings, &added});
  });
}

void Planner::UpdateIdRetention() {
  double retention_s = 0;
  for (const balancing::ClassSettings& class_settings : settings_.classes) {
    retention_s = std::max(
        {retention_s, class_settings.client_timeout_s, class_settings.deduplication_window_s});
  }
  ledger_.SetRetention(retention_s);
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
  event_queue_.Post([this, present, leaving] {
    HandleEvent(balancing::SiblingProcess{present, leaving});
  });
}

void Planner::OnSiblingWorkerDown(const Endpoint& endpoint) {
  const RegisteredWorker* registered = workers_.Find(endpoint.worker);
  if (registered != nullptr &&
      (registered->local || registered->endpoint.started_at_s > endpoint.started_at_s)) {
    return;
  }
  if (endpoint.readiness != Readiness::kReady) {
    OnEndpointsUpdated(EndpointListKind::kIncremental, {endpoint});
  }
}

}  // namespace millethollow
