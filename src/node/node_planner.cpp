// The planner side of a node: planner, links to forwarders, peers and discovery.
#include <algorithm>
#include <utility>

#include "node/node.h"

namespace millethollow {
namespace {

// Difference between the seeds of successive planners.
constexpr std::uint64_t kSeedStep = 0x9e3779b97f4a7c15ULL;

// Returns, for each of `classes`, the index of the last class of the same name in
// `previous_classes` (earlier ones are no longer live), or -1 if there is none.
std::vector<int> MapClasses(const std::vector<std::string>& classes,
                            const std::vector<std::string>& previous_classes) {
  std::vector<int> indexes;
  for (const std::string& name : classes) {
    const auto match = std::find(previous_classes.rbegin(), previous_classes.rend(), name);
    indexes.push_back(match == previous_classes.rend()
                          ? -1
                          : static_cast<int>(previous_classes.rend() - match) - 1);
  }
  return indexes;
}

}  // namespace

std::string PlannerSocketPath(const Config& config, int planner) {
  return config.link_directory + "/planner-" + std::to_string(planner) + ".sock";
}

Status Node::StartPlanner(std::uint64_t seed) {
  if (role_.kind == Role::Kind::kPlanner) {
    config_.name += "-p" + std::to_string(role_.index);
    if (config_.planners > 1) {
      ConfigureAsPeer();
      seed += static_cast<std::uint64_t>(role_.index) * kSeedStep;
    }
  }
  // Over HTTP, endpoint lists are polled. Only the simulator pushes them.
  if (!config_.discovery.empty()) config_.settings.polls_discovery = true;
  CreatePlanner(seed);
  if (Status connected = ConnectForwarders(); !connected) return connected;
  if (Status opened = OpenPeers(); !opened) return opened;
  if (!config_.discovery.empty()) CreateDiscovery(seed);
  environment_.components().peers = peers_.get();
  environment_.components().discovery = discovery_.get();
  EndpointList endpoint_list;
  std::string reason;
  if (config_.known_workers != "{}" && !ReadEndpointList(config_.known_workers, config_.zones,
                                                         config_.kinds, &endpoint_list, &reason)) {
    return MakeError(ErrorCode::kInvalidArgument, reason);
  }
  if (inherited_state_.complete && !inherited_state_.endpoints.empty()) {
    endpoint_list.entries = inherited_state_.endpoints;
    endpoint_list.version = inherited_state_.endpoint_list_version;
  }
  if (inherited_state_.complete) ImportInheritedState();
  for (const ListEntry& entry : endpoint_list.entries)
    SetAddress(entry.endpoint.worker, entry.address, entry.max_in_flight);
  if (discovery_) discovery_->SetVersion(endpoint_list.version);
  // A process that replaces another inherits its endpoint list, which is up to date.
  if (discovery_ && forwarder_ && !inherited_state_.complete) AwaitInitialList();
  planner_->Start(endpoint_list.Endpoints());
  if (client_front_) client_front_->SetServing(true);
  return {};
}

// Configures a planner of a two-level deployment as a peer of the other planners.
void Node::ConfigureAsPeer() {
  config_.settings.dispatcher_count = config_.planners;
  config_.settings.dispatcher_index = role_.index;
  config_.settings.peers = config_.peers.size() == static_cast<std::size_t>(config_.planners);
  config_.peer_listen =
      config_.settings.peers ? config_.peers[static_cast<std::size_t>(role_.index)] : "";
  config_.peers_all.clear();
}

void Node::CreatePlanner(std::uint64_t seed) {
  NodeEnvironment::Components& components = environment_.components();
  components.loop = &loop_;
  components.dispatcher_index = config_.settings.dispatcher_index;
  components.in_cluster = config_.cluster.on();
  components.hot_restart = hot_restart_.get();
  planner_ = std::make_unique<Planner>(config_.settings, seed, &loop_.deadlines(), &environment_,
                                       &counters_, config_.scheduling);
  planner_->SetClassNames(config_.classes, config_.class_active);
}

Status Node::ConnectForwarders() {
  if (forwarder_) {
    const std::uint64_t number = planner_->AddForwarder(forwarder_.get(), true);
    local_link_ = std::make_unique<LocalLink>(planner_.get(), number);
    forwarder_->SetLink(local_link_.get(), number);
    return {};
  }
  planner_server_ = std::make_unique<link::PlannerServer>(&loop_, planner_.get());
  std::string reason;
  if (!planner_server_->Listen(PlannerSocketPath(config_, role_.index), &reason)) {
    return MakeError(ErrorCode::kUnavailable, reason);
  }
  return {};
}

Status Node::OpenPeers() {
  if (config_.peer_listen.empty()) return {};
  peers_ = std::make_unique<Peers>(
      &loop_,
      [this](int sender, const std::string& body) { planner_->OnPeerMessage(sender, body); },
      &counters_.peers);
  std::string reason;
  if (!peers_->Open(inherited_state_.peer_socket, config_.peer_listen, config_.peers,
                    config_.peers_all, &reason)) {
    return MakeError(ErrorCode::kUnavailable, reason);
  }
  return {};
}

void Node::CreateDiscovery(std::uint64_t seed) {
  Discovery::Hooks hooks;
  hooks.on_list = [this](balancing::EndpointListKind kind, const EndpointList& list) {
    OnEndpointList(kind, list);
  };
  hooks.on_unavailable = [this] {
    planner_->OnEndpointsUpdated(balancing::EndpointListKind::kUnavailable, {});
    if (initial_list_gate_) initial_list_gate_->OnPollFailed();
    AcceptOnceListReceived();
  };
  discovery_ = std::make_unique<Discovery>(
      &loop_,
      Discovery::Options{.address = config_.discovery,
                         .max_poll_interval_s = config_.settings.max_poll_interval_s,
                         .zones = config_.zones,
                         .kinds = config_.kinds,
                         .seed = seed,
                         .drain_grace_s = config_.settings.drain_grace_s,
                         .nodes = config_.settings.dispatcher_count},
      std::move(hooks));
}

void Node::ImportInheritedState() {
  planner_->ImportState(inherited_state_.workers, inherited_state_.planner_state,
                        MapClasses(config_.classes, inherited_state_.classes));
  for (const std::string& id : inherited_state_.wire_ids) planner_->MarkWireIdUsed(id);
}

// ---- endpoint lists ----

void Node::AwaitInitialList() {
  initial_list_gate_.emplace(discovery_->IsLargeTier(), loop_.Now());
  forwarder_->SetAccepting(false);
  loop_.deadlines().At(initial_list_gate_->deadline(), [this] { AcceptOnceListReceived(); });
}

void Node::AcceptOnceListReceived() {
  if (!initial_list_gate_ || !initial_list_gate_->Ready(loop_.Now())) return;
  initial_list_gate_.reset();
  forwarder_->SetAccepting(true);
}

void Node::SetAddress(const std::string& worker, const std::string& address,
                      std::size_t max_in_flight) {
  if (address.empty()) return;
  if (worker_pool_) worker_pool_->SetAddress(worker, address, max_in_flight);
  if (planner_server_) planner_server_->SetWorkerAddress(worker, address, max_in_flight);
}

void Node::OnEndpointList(balancing::EndpointListKind kind, const EndpointList& list) {
  counters_.endpoint_lists += 1;
  for (const ListEntry& entry : list.entries)
    SetAddress(entry.endpoint.worker, entry.address, entry.max_in_flight);
  if (member_) ApplyPeersMaintenance(list);
  planner_->OnEndpointsUpdated(kind, list.Endpoints());
  for (const ListEntry& entry : list.entries) {
    const bool gone = entry.endpoint.readiness == balancing::Readiness::kGone;
    if (!member_ || entry.endpoint.readiness == balancing::Readiness::kReady) continue;
    member_->OnWorkerDown(entry.endpoint.worker, entry.endpoint.started_at_s, gone);
  }
  if (hot_restart_) hot_restart_->SendWorkersDown();
  if (initial_list_gate_) initial_list_gate_->OnList();
  AcceptOnceListReceived();
}

// Adds new workers that are in maintenance at other members as draining, so that they get no
// requests before they are in maintenance here too.
void Node::ApplyPeersMaintenance(const EndpointList& list) {
  for (const ListEntry& entry : list.entries) {
    if (!member_->InMaintenance(entry.endpoint.worker) ||
        planner_->HasWorker(entry.endpoint.worker))
      continue;
    balancing::Endpoint draining = entry.endpoint;
    draining.readiness = balancing::Readiness::kDraining;
    planner_->OnEndpointsUpdated(balancing::EndpointListKind::kIncremental, {draining});
    SetMaintenance(entry.endpoint.worker, true);
  }
}

}  // namespace millethollow
