// The planner side of a node: planner, links of forwarders, peers and discovery.
#include <algorithm>
#include <utility>

#include "node/node.h"

namespace millethollow {
namespace {

constexpr std::uint64_t kSeedStep = 0x9e3779b97f4a7c15ULL;  // seeds of planners are this far apart

// For each class here, its index among those of the process before: the last of the name, since
// earlier ones are no longer live. -1: it has none.
std::vector<int> MapClasses(const std::vector<std::string>& here,
                            const std::vector<std::string>& there) {
  std::vector<int> indexes;
  for (const std::string& name : here) {
    const auto at = std::find(there.rbegin(), there.rend(), name);
    indexes.push_back(at == there.rend() ? -1 : static_cast<int>(there.rend() - at) - 1);
  }
  return indexes;
}

}  // namespace

std::string PlannerSocketPath(const Config& config, int planner) {
  return config.link + "/planner-" + std::to_string(planner) + ".sock";
}

Status Node::StartPlanner(std::uint64_t seed) {
  if (role_.kind == Role::Kind::kPlanner) {
    config_.name += "-p" + std::to_string(role_.index);
    if (config_.planners > 1) {
      ConfigureAsPeer();
      seed += static_cast<std::uint64_t>(role_.index) * kSeedStep;
    }
  }
  // Discovery here is polled; that lists are pushed holds for the simulator's wire alone.
  if (!config_.discovery.empty()) config_.settings.polls_discovery = true;
  MakePlanner(seed);
  if (Status connected = ConnectForwarders(); !connected) return connected;
  if (Status opened = OpenPeers(); !opened) return opened;
  if (!config_.discovery.empty()) MakeDiscovery(seed);
  environment_.parts().peers = peers_.get();
  environment_.parts().discovery = discovery_.get();
  ServerList known;
  std::string reason;
  if (config_.known != "{}" &&
      !ReadServerList(config_.known, config_.zones, config_.kinds, &known, &reason)) {
    return MakeError(ErrorCode::kInvalidArgument, reason);
  }
  if (inherited_.whole && !inherited_.list.empty()) {
    known.entries = inherited_.list;
    known.version = inherited_.version;
  }
  if (inherited_.whole) ImportInheritedState();
  for (const ListEntry& e : known.entries) SetAddress(e.member.worker, e.address, e.max_in_flight);
  if (discovery_) discovery_->SetVersion(known.version);
  // A process that replaces another has its list, which was kept current until now.
  if (discovery_ && forwarder_ && !inherited_.whole) AwaitFirstList();
  planner_->Start(known.Members());
  if (front_) front_->SetServing(true);
  return {};
}

// The planners of a deployment are peers of each other.
void Node::ConfigureAsPeer() {
  config_.settings.dispatcher_count = config_.planners;
  config_.settings.dispatcher_index = role_.index;
  config_.settings.peers = config_.peers.size() == static_cast<std::size_t>(config_.planners);
  config_.peer_listen =
      config_.settings.peers ? config_.peers[static_cast<std::size_t>(role_.index)] : "";
  config_.peers_all.clear();
}

void Node::MakePlanner(std::uint64_t seed) {
  NodeEnvironment::Parts& parts = environment_.parts();
  parts.loop = &loop_;
  parts.dispatcher_index = config_.settings.dispatcher_index;
  parts.in_cluster = config_.cluster.on();
  parts.hot_restart = hot_restart_.get();
  planner_ = std::make_unique<Planner>(config_.settings, seed, &loop_.deadlines(), &environment_,
                                       &counters_, config_.scheduling);
  planner_->NameClasses(config_.classes, config_.live);
}

Status Node::ConnectForwarders() {
  if (forwarder_) {
    const std::uint64_t number = planner_->AddForwarder(forwarder_.get(), true);
    local_link_ = std::make_unique<LocalLink>(planner_.get(), number);
    forwarder_->SetLink(local_link_.get(), number);
    return {};
  }
  server_ = std::make_unique<link::PlannerServer>(&loop_, planner_.get());
  std::string reason;
  if (!server_->Listen(PlannerSocketPath(config_, role_.index), &reason)) {
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
  if (!peers_->Open(inherited_.peer_socket, config_.peer_listen, config_.peers, config_.peers_all,
                    &reason)) {
    return MakeError(ErrorCode::kUnavailable, reason);
  }
  return {};
}

void Node::MakeDiscovery(std::uint64_t seed) {
  Discovery::Hooks hooks;
  hooks.on_list = [this](balancing::EndpointListKind kind, const ServerList& list) {
    OnList(kind, list);
  };
  hooks.on_unavailable = [this] {
    planner_->OnEndpointsUpdated(balancing::EndpointListKind::kUnavailable, {});
    if (initial_list_gate_) initial_list_gate_->OnPollFailed();
    AcceptOnceListed();
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
  planner_->ImportState(inherited_.known, inherited_.learned,
                        MapClasses(config_.classes, inherited_.classes));
  for (const std::string& id : inherited_.ids) planner_->MarkWireIdUsed(id);
}

// ---- endpoint lists ----

void Node::AwaitFirstList() {
  initial_list_gate_.emplace(discovery_->IsLargeTier(), loop_.Now());
  forwarder_->SetAccepting(false);
  loop_.deadlines().At(initial_list_gate_->deadline(), [this] { AcceptOnceListed(); });
}

void Node::AcceptOnceListed() {
  if (!initial_list_gate_ || !initial_list_gate_->Ready(loop_.Now())) return;
  initial_list_gate_.reset();
  forwarder_->SetAccepting(true);
}

void Node::SetAddress(const std::string& worker, const std::string& address,
                      std::size_t max_in_flight) {
  if (address.empty()) return;
  if (pool_) pool_->SetAddress(worker, address, max_in_flight);
  if (server_) server_->SetAddress(worker, address, max_in_flight);
}

void Node::OnList(balancing::EndpointListKind kind, const ServerList& list) {
  counters_.endpoint_lists += 1;
  for (const ListEntry& e : list.entries) SetAddress(e.member.worker, e.address, e.max_in_flight);
  if (member_) ApplyPeersMaintenance(list);
  planner_->OnEndpointsUpdated(kind, list.Members());
  for (const ListEntry& e : list.entries) {
    const bool gone = e.member.readiness == balancing::Readiness::kGone;
    if (!member_ || e.member.readiness == balancing::Readiness::kReady) continue;
    member_->OnWorkerDown(e.member.worker, e.member.started_at_s, gone);
  }
  if (hot_restart_) hot_restart_->SendWorkersDown();
  if (initial_list_gate_) initial_list_gate_->OnList();
  AcceptOnceListed();
}

// Workers that other members hold in maintenance, and that are new here, must get nothing before
// they are in maintenance here too: they come in as draining.
void Node::ApplyPeersMaintenance(const ServerList& list) {
  for (const ListEntry& e : list.entries) {
    if (!member_->InMaintenance(e.member.worker) || planner_->HasWorker(e.member.worker)) continue;
    balancing::Endpoint draining = e.member;
    draining.readiness = balancing::Readiness::kDraining;
    planner_->OnEndpointsUpdated(balancing::EndpointListKind::kIncremental, {draining});
    SetMaintenance(e.member.worker, true);
  }
}

}  // namespace millethollow
