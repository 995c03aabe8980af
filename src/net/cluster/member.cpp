#include "net/cluster/member.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <ctime>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "codec/membership.h"
#include "logging/event_log.h"
#include "net/connection.h"

namespace millethollow::cluster {
namespace {

using membership::Health;
using membership::NodeId;

const char* HealthName(Health health) {
  return health == Health::kAlive     ? "alive"
         : health == Health::kSuspect ? "suspect"
         : health == Health::kFailed  ? "failed"
                                      : "left";
}

const char* VoterStateName(membership::Voter::State state) {
  using State = membership::Voter::State;
  return state == State::kQuerying   ? "asking"
         : state == State::kClaiming ? "claiming"
         : state == State::kVoting   ? "voting"
                                     : "stopped";
}

long Milliseconds(double seconds) { return std::lround(1000 * seconds); }

}  // namespace

bool Member::ReplayWindow::AcceptSequence(membership::ProcessIncarnation incarnation,
                                          std::uint64_t sequence) {
  if (incarnation != process_incarnation) {
    process_incarnation = incarnation;
    highest = sequence;
    received.reset();
    received.set(0);
    return true;
  }
  if (sequence > highest) {
    const std::uint64_t shift = sequence - highest;
    received = shift < kBits ? received << shift : std::bitset<kBits>{};
    highest = sequence;
    received.set(0);
    return true;
  }
  const std::uint64_t age = highest - sequence;
  if (age >= kBits || received.test(age)) return false;
  received.set(age);
  return true;
}

Member::Member(Loop* loop, const ClusterOptions& options, std::vector<NamedQuota> tenants,
               std::uint64_t seed, Hooks hooks)
    : loop_(loop),
      options_(options),
      tenants_(std::move(tenants)),
      hooks_(std::move(hooks)),
      seed_(seed),
      cluster_hash_(codec::Hash(options.name)),
      self_(codec::Hash(options.self)),
      transport_(loop, [this](std::string_view bytes, const sockaddr_in* source) {
        Receive(bytes, source);
      }) {}

Member::~Member() {
  loop_->deadlines().Drop(&tick_timer_);
  for (auto& [change_number, pending] : pending_maintenance_)
    loop_->deadlines().Drop(&pending.timeout);
  quota_manager_.reset();
  log_replicator_.reset();
  maintenance_store_.reset();
  store_.reset();
  vote_file_.reset();
}

double Member::Now() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<double>(time.tv_sec) + 1e-9 * static_cast<double>(time.tv_nsec);
}

const std::string& Member::MemberName(NodeId id) const {
  static const std::string none = "-";
  const auto it = member_names_.find(id);
  return it == member_names_.end() ? none : it->second;
}

bool Member::Start(std::string* error) {
  membership::Random random(seed_);
  membership::MembershipNode::Options options;
  options.self = self_;
  options.process_incarnation = process_incarnation_ = random.NextUint64() | 1;
  options.detector = options_.detector;
  options.agreement = options_.agreement;
  options.isolated_share = options_.isolated_share;
  for (const ClusterMember& member : options_.members) {
    const NodeId id = codec::Hash(member.id);
    options.members.push_back({id, member.failure_domain, member.voter});
    if (!member_names_.emplace(id, member.id).second) {
      return *error =
                 "cluster: '" + member.id + "' and '" + MemberName(id) + "' have the same hash",
             false;
    }
    if (const auto address = ParseAddress(member.address)) transport_.SetPeer(id, *address);
  }
  if (options_.quota.on && !QuotaLeaseManager::ValidateTenants(tenants_, error)) return false;
  membership::PersistentVoterState votes;
  if (!options_.store.empty()) {
    if (!task_queue_.Open(loop_, error)) return false;
    vote_file_ = std::make_unique<store::VoteFile>();
    bool damaged = false;
    const auto on_written = [this](std::uint64_t ticket, bool ok) {
      task_queue_.Post([this, ticket, ok] { OnVotesWritten(ticket, ok); });
    };
    if (!vote_file_->Open(options_.store, cluster_hash_, self_, on_written, &votes, &damaged,
                          error))
      return false;
    if (damaged) {
      Events().error("cluster votes-damaged store={} kept=votes.damaged", options_.store);
    }
  }
  std::vector<membership::MaintenanceRecord> maintenance;
  if (!options_.store.empty()) {
    store_ = std::make_unique<AsyncRecordStore>();
    const AsyncRecordStore::Options store_options{options_.store, cluster_hash_, self_,
                                                  options_.store_bytes};
    if (!store_->Open(loop_, store_options, random.NextUint64() | 1, error)) return false;
    maintenance_store_ = std::make_unique<MaintenanceStore>(store_.get());
    maintenance = maintenance_store_->Load();
  }
  if (!transport_.Open(options_.listen, error)) return false;
  membership_ = std::make_unique<membership::MembershipNode>(options, std::move(votes),
                                                             random.NextUint64(), Now());
  for (const membership::MaintenanceRecord& record : maintenance) {
    membership_->Restore(Now(), record);
    if (record.InMaintenance()) hooks_.set_maintenance(record.worker, true);
  }
  Events().info("cluster start name={} self={} life={:x} members={}", options_.name, options_.self,
                process_incarnation_, options_.members.size());
  if (store_) StartLogReplication();
  if (options_.quota.on) StartQuota();
  ScheduleTick();
  return true;
}

void Member::StartLogReplication() {
  copies::Options options;
  options.self = self_;
  options.process_incarnation = process_incarnation_;
  options.replica_count = options_.copies;
  options.min_replicas = options_.min_replicas;
  log_replicator_ = std::make_unique<LogReplicator>(
      loop_, store_.get(), options,
      LogReplicator::Hooks{
          .now = [] { return Now(); },
          .view = [this]() -> const membership::View& { return membership_->agreement().view(); },
          .holds_lease = [this] { return HoldsLease(); },
          .send = [this](NodeId to,
                         const copies::ReplicationMessage& message) { Send(to, message); },
          .request_logs =
              [this](std::uint64_t store_id, std::vector<membership::LogAssignment> logs) {
                membership_->RequestLogs(Now(), store_id, std::move(logs));
                ScheduleTick();
              },
          .new_store_id =
              [this] { return membership::Random(seed_ ^ ++store_ids_drawn_).NextUint64() | 1; },
          .on_store_recreated =
              [this] {
                maintenance_store_->Write(membership_->maintenance().Records(), [](bool) {});
              }});
  log_replicator_->Start();
}

void Member::StartQuota() {
  QuotaLeaseManager::Options options{.self = self_,
                                     .process_incarnation = process_incarnation_,
                                     .members = {},
                                     .allocators = {},
                                     .tenants = tenants_,
                                     .timings = options_.quota.timings};
  for (const ClusterMember& member : options_.members)
    options.members.push_back(codec::Hash(member.id));
  for (const std::string& id : options_.quota.allocators)
    options.allocators.push_back(codec::Hash(id));
  quota_manager_ = std::make_unique<QuotaLeaseManager>(
      loop_, std::move(options),
      QuotaLeaseManager::Hooks{
          .now = [] { return Now(); },
          .view = [this]() -> const membership::View& { return membership_->agreement().view(); },
          .holds_lease = [this] { return HoldsLease(); },
          .send = [this](NodeId to, const quota::Message& message) { Send(to, message); },
          .demand = hooks_.tenant_demand});
  quota_manager_->Start();
}

void Member::SetQuotas(const std::vector<double>& quotas) {
  if (quota_manager_) quota_manager_->SetQuotas(quotas);
}

void Member::Send(NodeId to, const Body& body) {
  const bool ordered = std::holds_alternative<copies::ReplicationMessage>(body);
  transport_.Send(to,
                  Encode({cluster_hash_, self_, process_incarnation_, ++last_sequences_[to]}, body),
                  ordered);
}

void Member::ScheduleTick() {
  loop_->deadlines().Drop(&tick_timer_);
  const double next_at = membership_->NextTickAt();
  if (!std::isfinite(next_at)) return;
  tick_timer_ = loop_->deadlines().At(loop_->Now() + std::max(0.0, next_at - Now()), [this] {
    tick_timer_ = Deadlines::kNone;
    Tick();
  });
}

void Member::Tick() {
  membership::MembershipNode::Actions actions;
  membership_->Tick(Now(), &actions);
  ExecuteActions(&actions);
}

void Member::Receive(std::string_view bytes, const sockaddr_in* source) {
  Header header;
  Body body;
  switch (Decode(bytes, &header, &body)) {
    case DecodeError::kNone:
      break;
    case DecodeError::kOtherVersion:
      rejected_.other_version += 1;
      return;
    case DecodeError::kUnknownKind:
      rejected_.unknown_kind += 1;
      return;
    case DecodeError::kTruncated:
    case DecodeError::kCorrupt:
      rejected_.corrupt += 1;
      return;
  }
  if (header.cluster != cluster_hash_) {
    rejected_.other_cluster += 1;
    return;
  }
  if (!member_names_.contains(header.from) || header.from == self_) {
    rejected_.unknown_sender += 1;
    return;
  }
  ReplayWindow& window = replay_windows_[header.from];
  if (window.process_incarnation != header.process_incarnation)
    transport_.ResetOrderedStream(header.from);
  if (!window.AcceptSequence(header.process_incarnation, header.sequence)) {
    rejected_.replayed += 1;
    return;
  }
  if (const auto* replication = std::get_if<copies::ReplicationMessage>(&body)) {
    if (log_replicator_ && membership_->Accepts(Now(), header.from, header.process_incarnation)) {
      log_replicator_->OnMessage(header.from, *replication);
    }
    return;
  }
  if (const auto* message = std::get_if<quota::Message>(&body)) {
    if (quota_manager_ && membership_->Accepts(Now(), header.from, header.process_incarnation)) {
      quota_manager_->OnMessage(header.from, header.process_incarnation, *message);
    }
    return;
  }
  membership::MembershipNode::Actions actions;
  membership_->OnFrame(Now(), header.from, header.process_incarnation,
                       std::get<membership::Frame>(body), &actions);
  if (actions.reply && source != nullptr) {
    transport_.SendDatagram(*source, Encode({cluster_hash_, self_, process_incarnation_,
                                             ++last_sequences_[header.from]},
                                            std::move(*actions.reply)));
  }
  ExecuteActions(&actions);
}

void Member::OnVotesWritten(std::uint64_t ticket, bool ok) {
  if (!ok) {
    Events().error("cluster store-failed store={} this process no longer votes", options_.store);
    return membership_->OnStoreFailed();
  }
  membership::MembershipNode::Actions actions;
  membership_->OnStored(Now(), ticket, &actions);
  ExecuteActions(&actions);
}

// Stores maintenance changes that came from other members. Acknowledgements to them are held back
// until the changes are on this disk, even when the change is received again in the meantime.
void Member::StoreMaintenance(membership::MembershipNode::Actions* actions) {
  if (!maintenance_store_) return;
  std::vector<std::pair<NodeId, membership::Frame>> acknowledgements;
  std::erase_if(actions->send, [&](auto& outgoing) {
    const auto* gossip = std::get_if<membership::MaintenanceGossip>(&outgoing.second);
    if (gossip == nullptr || gossip->acked_sequence == 0) return false;
    acknowledgements.push_back(std::move(outgoing));
    return true;
  });
  if (acknowledgements.empty() && actions->maintenance.changed.empty()) return;
  maintenance_store_->Write(actions->maintenance.changed,
                            [this, acknowledgements = std::move(acknowledgements)](bool stored) {
                              for (const auto& [to, frame] : acknowledgements) {
                                if (stored) Send(to, frame);
                              }
                            });
}

void Member::ExecuteActions(membership::MembershipNode::Actions* actions) {
  StoreMaintenance(actions);
  if (actions->write && vote_file_)
    vote_file_->Write(membership_->agreement().voter_state(), actions->ticket);
  for (const auto& [to, frame] : actions->send) {
    Send(to, frame);
  }
  const membership::View& view = membership_->agreement().view();
  for (const membership::HealthChange& change : actions->changes) {
    const auto level = change.health == Health::kFailed ? spdlog::level::warn : spdlog::level::info;
    if (change.health >= Health::kFailed) transport_.ResetOrderedStream(change.member);
    Events().log(level, "cluster member={} health={} incarnation={} epoch={}",
                 MemberName(change.member), HealthName(change.health), change.incarnation,
                 view.epoch);
  }
  for (const std::string& worker : actions->maintenance.taken_out)
    hooks_.set_maintenance(worker, true);
  for (const std::string& worker : actions->maintenance.put_back)
    hooks_.set_maintenance(worker, false);
  for (const membership::MaintenanceRecord& record : actions->maintenance.drains) {
    hooks_.on_worker_down(record.worker, record.started_at_s,
                          record.drain_state == membership::DrainState::kGone);
  }
  for (const std::uint64_t change_number : actions->maintenance.replicated) {
    const auto pending = pending_maintenance_.find(change_number);
    if (pending == pending_maintenance_.end()) continue;
    pending->second.replicated = true;
    CompleteMaintenance(change_number);
  }
  if (actions->new_view) {
    std::string members;
    for (const auto& member : view.members)
      members += (members.empty() ? "" : ",") + MemberName(member.id);
    Events().info("cluster view epoch={} members={}", view.epoch, members);
  }
  if (actions->superseded) {
    Events().error(
        "cluster yield self={} another process runs as this member: this one takes no part",
        options_.self);
  }
  const bool holds_lease = HoldsLease();
  if (holds_lease != held_lease_) {
    held_lease_ = holds_lease;
    Events().info("cluster lease={} epoch={}", holds_lease ? "held" : "lost", view.epoch);
  }
  if (log_replicator_ && actions->new_view) log_replicator_->OnViewOrLeaseChanged();
  if (quota_manager_ && actions->new_view) quota_manager_->OnViewChanged();
  ScheduleTick();
}

void Member::SetMaintenance(const std::string& worker, bool in_maintenance,
                            ReplicatedCallback on_replicated) {
  membership::MembershipNode::Actions actions;
  const std::uint64_t change_number =
      membership_->SetMaintenance(Now(), worker, in_maintenance, &actions);
  const bool has_receivers = !actions.send.empty();
  Events().info("cluster worker={} out={} said-here", worker, in_maintenance);
  if (change_number != 0 && has_receivers) {
    PendingMaintenance& pending = pending_maintenance_[change_number];
    pending.on_replicated = std::move(on_replicated);
    pending.stored = !maintenance_store_;
    pending.timeout =
        loop_->deadlines().At(loop_->Now() + kReplicationTimeoutS, [this, change_number] {
          pending_maintenance_[change_number].timeout = Deadlines::kNone;
          FailMaintenance(change_number);
        });
    if (maintenance_store_) {
      maintenance_store_->Write(std::exchange(actions.maintenance.changed, {}),
                                [this, change_number](bool stored) {
                                  const auto it = pending_maintenance_.find(change_number);
                                  if (it == pending_maintenance_.end()) return;
                                  it->second.stored = stored;
                                  CompleteMaintenance(change_number);
                                });
    }
    return ExecuteActions(&actions);
  }
  ExecuteActions(&actions);
  on_replicated(false);
}

void Member::CompleteMaintenance(std::uint64_t change_number) {
  const auto it = pending_maintenance_.find(change_number);
  if (it == pending_maintenance_.end() || !it->second.replicated || !it->second.stored) return;
  loop_->deadlines().Drop(&it->second.timeout);
  const ReplicatedCallback on_replicated = std::move(it->second.on_replicated);
  pending_maintenance_.erase(it);
  on_replicated(true);
}

void Member::FailMaintenance(std::uint64_t change_number) {
  const ReplicatedCallback on_replicated =
      std::move(pending_maintenance_[change_number].on_replicated);
  pending_maintenance_.erase(change_number);
  on_replicated(false);
}

void Member::OnWorkerDown(const std::string& worker, double started_at_s, bool gone) {
  membership_->OnDrainNotice(Now(), worker, started_at_s, gone);
  ScheduleTick();
}

void Member::Leave() {
  if (!membership_) return;
  membership::MembershipNode::Actions actions;
  membership_->Leave(Now(), &actions);
  ExecuteActions(&actions);
}

bool Member::HoldsLease() const {
  return membership_ && membership_->agreement().HoldsLease(Now());
}
double Member::LeaseRemaining() const {
  return membership_ ? membership_->agreement().LeaseRemaining(Now()) : 0;
}
balancing::FleetShare Member::CurrentFleetShare() const {
  const double now = Now();
  const membership::ViewAgreement& agreement = membership_->agreement();
  const int members =
      agreement.HoldsLease(now) ? static_cast<int>(agreement.view().members.size()) : 0;
  balancing::FleetShare fleet_share{.share = membership_->FleetShare(now),
                                    .member_count = members,
                                    .epoch = agreement.view().epoch};
  if (quota_manager_) fleet_share.tenant_rates_rps = quota_manager_->AdmissibleRates();
  return fleet_share;
}

std::string Member::Metrics() const {
  std::ostringstream out;
  const auto count = [&](const char* name, std::uint64_t value, char kind = 'c') {
    out << "app.cluster." << name << ':' << value << '|' << kind << '\n';
  };
  const auto& detector = membership_->detector().counters();
  const auto& agreement = membership_->agreement().counters();
  const TransportCounters& transport = transport_.counters();
  count("epoch", membership_->agreement().view().epoch, 'g');
  count("leased", HoldsLease() ? 1 : 0, 'g');
  count("slowness", static_cast<std::uint64_t>(membership_->detector().local_health_multiplier()),
        'g');
  count("probes", detector.probes);
  count("probes_failed", detector.failed_probes);
  count("suspicions", detector.suspicions);
  count("refutations", detector.refutations);
  count("failures", detector.failures);
  count("stops_noticed", detector.pauses_detected);
  count("views", agreement.views);
  count("elections", agreement.elections);
  count("leases", agreement.leases);
  count("lapses", agreement.leases_expired);
  count("conflicts", agreement.conflicts);
  count("workers_out", membership_->maintenance().WorkersInMaintenance().size(), 'g');
  count("frames_in", transport.frames_in);
  count("frames_out", transport.frames_out);
  count("bytes_in", transport.bytes_in);
  count("bytes_out", transport.bytes_out);
  count("streams", transport.streams);
  if (log_replicator_) {
    const copies::ReplicatedLogs& logs = log_replicator_->logs();
    std::uint64_t owned = 0, behind = 0;
    for (const auto& status : logs.LogStatuses()) {
      owned += status.is_owner;
      behind = std::max<std::uint64_t>(behind, status.max_lag);
    }
    count("copies.logs_held", logs.LogStatuses().size(), 'g');
    count("copies.logs_owned", owned, 'g');
    count("copies.most_behind", behind, 'g');
    count("copies.promises", logs.counters().committed_operations);
    count("copies.adoptions", logs.counters().takeovers);
    count("copies.refusals", logs.counters().rejected_appends);
    count("copies.fillings", logs.counters().snapshot_transfers);
    count("copies.lies", logs.counters().stale_stores);
    count("copies.store_failed", store_->failed() ? 1 : 0, 'g');
    count("copies.store_permille", static_cast<std::uint64_t>(1000 * store_->used_fraction()), 'g');
    count("copies.commits", store_->metrics().commits);
    const auto& commits = store_->metrics().commit_latency_s;
    for (const auto& [name, quantile] : {std::pair{"p50", 0.5}, {"p99", 0.99}}) {
      if (commits.known()) {
        count((std::string("copies.commit_us_") + name).c_str(),
              static_cast<std::uint64_t>(1e6 * commits.At(quantile)), 'g');
      }
    }
  }
  if (quota_manager_) quota_manager_->PrintMetrics(&out);
  count("refused.garbled", rejected_.corrupt);
  count("refused.other_cluster", rejected_.other_cluster);
  count("refused.strangers", rejected_.unknown_sender);
  count("refused.other_version", rejected_.other_version);
  count("refused.unknown", rejected_.unknown_kind);
  count("refused.replayed", rejected_.replayed);
  return out.str();
}

std::string Member::MembersJson() const {
  using nlohmann::json;
  const double now = Now();
  const membership::ViewAgreement& agreement = membership_->agreement();
  json members = json::array();
  json logs = json::array();
  for (const membership::LogAssignment& log : agreement.view().logs) {
    json holders = json::array();
    for (const membership::LogReplica& replica : log.replicas)
      holders.push_back(MemberName(replica.id));
    logs.push_back({{"log", (std::ostringstream() << std::hex << log.log).str()},
                    {"owner", log.process_incarnation == 0 ? "-" : MemberName(log.owner)},
                    {"holders", std::move(holders)}});
  }
  for (const ClusterMember& member : options_.members) {
    const NodeId id = codec::Hash(member.id);
    const auto* known = membership_->detector().Find(id);
    const bool self = id == self_;
    json entry{{"id", member.id},
               {"address", member.address},
               {"place", member.failure_domain},
               {"voter", member.voter},
               {"state", HealthName(known->health)},
               {"incarnation", known->incarnation},
               {"in_view", agreement.view().Find(id) != nullptr}};
    if (const auto* in_view = agreement.view().Find(id)) {
      entry["copies"] = std::count_if(agreement.view().logs.begin(), agreement.view().logs.end(),
                                      [id](const auto& log) { return log.Find(id) != nullptr; });
      entry["life"] = (std::ostringstream() << std::hex << in_view->process_incarnation).str();
    }
    entry["seen_ms"] = self ? json(0)
                       : known->last_message_at < 0
                           ? json(nullptr)
                           : json(Milliseconds(now - known->last_message_at));
    members.push_back(std::move(entry));
  }
  json result{{"cluster", options_.name},
              {"self", options_.self},
              {"epoch", agreement.view().epoch},
              {"majority", agreement.HoldsLease(now)},
              {"lease_ms", Milliseconds(agreement.LeaseRemaining(now))},
              {"part", membership_->FleetShare(now)},
              {"leader", MemberName(agreement.known_leader())},
              {"yielded", agreement.superseded()},
              {"workers_out", membership_->maintenance().WorkersInMaintenance()},
              {"members", std::move(members)},
              {"logs", std::move(logs)}};
  if (quota_manager_) {
    const QuotaLeaseManager::Allocation allocation = quota_manager_->CurrentAllocation();
    result["quota"] = {{"allocates", allocation.tenants}, {"taking_over", allocation.taking_over}};
  }
  if (options_.Self()->voter) result["vote"] = VoterStateName(agreement.voter().state());
  return result.dump() + "\n";
}

}  // namespace millethollow::cluster
