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

const char* NameOfHealth(Health health) {
  return health == Health::kAlive     ? "alive"
         : health == Health::kSuspect ? "suspect"
         : health == Health::kFailed  ? "failed"
                                      : "left";
}

const char* NameOfState(membership::Voter::State state) {
  using State = membership::Voter::State;
  return state == State::kAsking     ? "asking"
         : state == State::kClaiming ? "claiming"
         : state == State::kVoting   ? "voting"
                                     : "stopped";
}

long Millis(double s) { return std::lround(1000 * s); }

}  // namespace

bool Member::Window::Fresh(membership::ProcessIncarnation of, std::uint64_t number) {
  if (of != process_incarnation) {
    process_incarnation = of;
    highest = number;
    seen.reset();
    seen.set(0);
    return true;
  }
  if (number > highest) {
    const std::uint64_t by = number - highest;
    seen = by < kBits ? seen << by : std::bitset<kBits>{};
    highest = number;
    seen.set(0);
    return true;
  }
  const std::uint64_t back = highest - number;
  if (back >= kBits || seen.test(back)) return false;
  seen.set(back);
  return true;
}

Member::Member(Loop* loop, const ClusterOptions& options, std::vector<NamedQuota> tenants,
               std::uint64_t seed, Hooks hooks)
    : loop_(loop),
      options_(options),
      tenants_(std::move(tenants)),
      hooks_(std::move(hooks)),
      seed_(seed),
      hash_(codec::Hash(options.name)),
      self_(codec::Hash(options.self)),
      transport_(loop, [this](std::string_view bytes, const sockaddr_in* source) {
        Receive(bytes, source);
      }) {}

Member::~Member() {
  loop_->deadlines().Drop(&tick_);
  for (auto& [number, waiting] : waiting_) loop_->deadlines().Drop(&waiting.limit);
  quota_.reset();
  copies_.reset();
  keeper_.reset();
  store_.reset();
  votes_.reset();
}

double Member::Now() {
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
}

const std::string& Member::NameOf(NodeId id) const {
  static const std::string nobody = "-";
  const auto it = names_.find(id);
  return it == names_.end() ? nobody : it->second;
}

bool Member::Start(std::string* error) {
  membership::Random random(seed_);
  membership::MembershipNode::Options o;
  o.self = self_;
  o.process_incarnation = process_incarnation_ = random.NextUint64() | 1;
  o.detector = options_.detector;
  o.agreement = options_.agreement;
  o.isolated_share = options_.isolated_share;
  for (const ClusterMember& m : options_.members) {
    const NodeId id = codec::Hash(m.id);
    o.members.push_back({id, m.failure_domain, m.voter});
    if (!names_.emplace(id, m.id).second) {
      return *error = "cluster: '" + m.id + "' and '" + NameOf(id) + "' have one hash", false;
    }
    if (const auto address = ParseAddress(m.address)) transport_.SetPeer(id, *address);
  }
  if (options_.quota.on && !QuotaKeeper::Check(tenants_, error)) return false;
  membership::PersistentVoterState votes;
  if (!options_.store.empty()) {
    if (!mail_.Open(loop_, error)) return false;
    votes_ = std::make_unique<store::VoteFile>();
    bool damaged = false;
    const auto written = [this](std::uint64_t ticket, bool ok) {
      mail_.Post([this, ticket, ok] { Written(ticket, ok); });
    };
    if (!votes_->Open(options_.store, hash_, self_, written, &votes, &damaged, error)) return false;
    if (damaged) {
      Events().error("cluster votes-damaged store={} kept=votes.damaged", options_.store);
    }
  }
  std::vector<membership::MaintenanceRecord> facts;
  if (!options_.store.empty()) {
    store_ = std::make_unique<AsyncRecordStore>();
    const AsyncRecordStore::Options kept{options_.store, hash_, self_, options_.store_bytes};
    if (!store_->Open(loop_, kept, random.NextUint64() | 1, error)) return false;
    keeper_ = std::make_unique<FactKeeper>(store_.get());
    facts = keeper_->Load();
  }
  if (!transport_.Open(options_.listen, error)) return false;
  cluster_ =
      std::make_unique<membership::MembershipNode>(o, std::move(votes), random.NextUint64(), Now());
  for (const membership::MaintenanceRecord& f : facts) {
    cluster_->Restore(Now(), f);
    if (f.InMaintenance()) hooks_.set_maintenance(f.worker, true);
  }
  Events().info("cluster start name={} self={} life={:x} members={}", options_.name, options_.self,
                process_incarnation_, options_.members.size());
  if (store_) StartCopies();
  if (options_.quota.on) StartQuota();
  Arm();
  return true;
}

void Member::StartCopies() {
  copies::Options o;
  o.self = self_;
  o.process_incarnation = process_incarnation_;
  o.copies = options_.copies;
  o.min_replicas = options_.min_replicas;
  copies_ = std::make_unique<LogReplicator>(
      loop_, store_.get(), o,
      LogReplicator::Hooks{
          .now = [] { return Now(); },
          .view = [this]() -> const membership::View& { return cluster_->agreement().view(); },
          .leased = [this] { return HoldsLease(); },
          .send = [this](NodeId to, const copies::ReplicationMessage& frame) { Send(to, frame); },
          .want =
              [this](std::uint64_t disk, std::vector<membership::LogAssignment> logs) {
                cluster_->RequestLogs(Now(), disk, std::move(logs));
                Arm();
              },
          .draw = [this] { return membership::Random(seed_ ^ ++draws_).NextUint64() | 1; },
          .renewed = [this] { keeper_->Keep(cluster_->maintenance().Records(), [](bool) {}); }});
  copies_->Start();
}

void Member::StartQuota() {
  QuotaKeeper::Options o{.self = self_,
                         .process_incarnation = process_incarnation_,
                         .members = {},
                         .allocators = {},
                         .tenants = tenants_,
                         .timings = options_.quota.timings};
  for (const ClusterMember& m : options_.members) o.members.push_back(codec::Hash(m.id));
  for (const std::string& id : options_.quota.allocators) o.allocators.push_back(codec::Hash(id));
  quota_ = std::make_unique<QuotaKeeper>(
      loop_, std::move(o),
      QuotaKeeper::Hooks{
          .now = [] { return Now(); },
          .view = [this]() -> const membership::View& { return cluster_->agreement().view(); },
          .leased = [this] { return HoldsLease(); },
          .send = [this](NodeId to, const quota::Message& message) { Send(to, message); },
          .demand = hooks_.tenant_demand});
  quota_->Start();
}

void Member::SetQuotas(const std::vector<double>& quotas) {
  if (quota_) quota_->SetQuotas(quotas);
}

void Member::Send(NodeId to, const Body& body) {
  const bool ordered = std::holds_alternative<copies::ReplicationMessage>(body);
  transport_.Send(to, Encode({hash_, self_, process_incarnation_, ++numbers_[to]}, body), ordered);
}

void Member::Arm() {
  loop_->deadlines().Drop(&tick_);
  const double at = cluster_->NextAt();
  if (!std::isfinite(at)) return;
  tick_ = loop_->deadlines().At(loop_->Now() + std::max(0.0, at - Now()), [this] {
    tick_ = Deadlines::kNone;
    Tick();
  });
}

void Member::Tick() {
  membership::MembershipNode::Actions actions;
  cluster_->Tick(Now(), &actions);
  CarryOut(&actions);
}

void Member::Receive(std::string_view bytes, const sockaddr_in* source) {
  Header header;
  Body body;
  switch (Decode(bytes, &header, &body)) {
    case Fault::kNone:
      break;
    case Fault::kOtherVersion:
      refusals_.other_version += 1;
      return;
    case Fault::kUnknownKind:
      refusals_.unknown += 1;
      return;
    case Fault::kShort:
    case Fault::kGarbled:
      refusals_.garbled += 1;
      return;
  }
  if (header.cluster != hash_) {
    refusals_.other_cluster += 1;
    return;
  }
  if (!names_.contains(header.from) || header.from == self_) {
    refusals_.strangers += 1;
    return;
  }
  Window& window = windows_[header.from];
  if (window.process_incarnation != header.process_incarnation) transport_.Renew(header.from);
  if (!window.Fresh(header.process_incarnation, header.number)) {
    refusals_.replayed += 1;
    return;
  }
  if (const auto* frame = std::get_if<copies::ReplicationMessage>(&body)) {
    if (copies_ && cluster_->Accepts(Now(), header.from, header.process_incarnation)) {
      copies_->Hear(header.from, *frame);
    }
    return;
  }
  if (const auto* message = std::get_if<quota::Message>(&body)) {
    if (quota_ && cluster_->Accepts(Now(), header.from, header.process_incarnation)) {
      quota_->Hear(header.from, header.process_incarnation, *message);
    }
    return;
  }
  membership::MembershipNode::Actions actions;
  cluster_->OnFrame(Now(), header.from, header.process_incarnation,
                    std::get<membership::Frame>(body), &actions);
  if (actions.answer && source != nullptr) {
    transport_.SendTo(*source, Encode({hash_, self_, process_incarnation_, ++numbers_[header.from]},
                                      std::move(*actions.answer)));
  }
  CarryOut(&actions);
}

void Member::Written(std::uint64_t ticket, bool ok) {
  if (!ok) {
    Events().error("cluster store-failed store={} this process does not vote any more",
                   options_.store);
    return cluster_->OnStoreFailed();
  }
  membership::MembershipNode::Actions actions;
  cluster_->OnStored(Now(), ticket, &actions);
  CarryOut(&actions);
}

// What others said by hand: they are told that it has come once it is on this disk too, also where
// they say it again while it is written.
void Member::Keep(membership::MembershipNode::Actions* actions) {
  if (!keeper_) return;
  std::vector<std::pair<NodeId, membership::Frame>> held;
  std::erase_if(actions->send, [&](auto& sent) {
    const auto* news = std::get_if<membership::MaintenanceGossip>(&sent.second);
    if (news == nullptr || news->acked_sequence == 0) return false;
    held.push_back(std::move(sent));
    return true;
  });
  if (held.empty() && actions->maintenance.changed.empty()) return;
  keeper_->Keep(actions->maintenance.changed, [this, held = std::move(held)](bool kept) {
    for (const auto& [to, frame] : held) {
      if (kept) Send(to, frame);
    }
  });
}

void Member::CarryOut(membership::MembershipNode::Actions* actions) {
  Keep(actions);
  if (actions->write && votes_) votes_->Write(cluster_->agreement().voter_state(), actions->ticket);
  for (const auto& [to, frame] : actions->send) {
    Send(to, frame);
  }
  const membership::View& view = cluster_->agreement().view();
  for (const membership::HealthChange& c : actions->changes) {
    const auto level = c.health == Health::kFailed ? spdlog::level::warn : spdlog::level::info;
    if (c.health >= Health::kFailed) transport_.Renew(c.member);
    Events().log(level, "cluster member={} health={} incarnation={} epoch={}", NameOf(c.member),
                 NameOfHealth(c.health), c.incarnation, view.epoch);
  }
  for (const std::string& worker : actions->maintenance.taken_out)
    hooks_.set_maintenance(worker, true);
  for (const std::string& worker : actions->maintenance.put_back)
    hooks_.set_maintenance(worker, false);
  for (const membership::MaintenanceRecord& f : actions->maintenance.drains) {
    hooks_.on_worker_down(f.worker, f.started_at_s, f.drain_state == membership::DrainState::kGone);
  }
  for (const std::uint64_t number : actions->maintenance.replicated) {
    const auto waiting = waiting_.find(number);
    if (waiting == waiting_.end()) continue;
    waiting->second.elsewhere = true;
    Answer(number);
  }
  if (actions->new_view) {
    std::string members;
    for (const auto& m : view.members) members += (members.empty() ? "" : ",") + NameOf(m.id);
    Events().info("cluster view epoch={} members={}", view.epoch, members);
  }
  if (actions->superseded) {
    Events().error("cluster yield self={} another process is this member: this one takes no part",
                   options_.self);
  }
  const bool leased = HoldsLease();
  if (leased != was_leased_) {
    was_leased_ = leased;
    Events().info("cluster lease={} epoch={}", leased ? "held" : "lost", view.epoch);
  }
  if (copies_ && actions->new_view) copies_->Look();
  if (quota_ && actions->new_view) quota_->Look();
  Arm();
}

void Member::SetMaintenance(const std::string& worker, bool in_maintenance,
                            ReplicatedCallback on_replicated) {
  membership::MembershipNode::Actions actions;
  const std::uint64_t number = cluster_->SetMaintenance(Now(), worker, in_maintenance, &actions);
  const bool anybody = !actions.send.empty();
  Events().info("cluster worker={} out={} said-here", worker, in_maintenance);
  if (number != 0 && anybody) {
    Waiting& waiting = waiting_[number];
    waiting.on_replicated = std::move(on_replicated);
    waiting.kept = !keeper_;
    waiting.limit = loop_->deadlines().At(loop_->Now() + kReplicationTimeoutS, [this, number] {
      waiting_[number].limit = Deadlines::kNone;
      GiveUp(number);
    });
    if (keeper_) {
      keeper_->Keep(std::exchange(actions.maintenance.changed, {}), [this, number](bool kept) {
        const auto it = waiting_.find(number);
        if (it == waiting_.end()) return;
        it->second.kept = kept;
        Answer(number);
      });
    }
    return CarryOut(&actions);
  }
  CarryOut(&actions);
  on_replicated(false);
}

void Member::Answer(std::uint64_t number) {
  const auto it = waiting_.find(number);
  if (it == waiting_.end() || !it->second.elsewhere || !it->second.kept) return;
  loop_->deadlines().Drop(&it->second.limit);
  const ReplicatedCallback on_replicated = std::move(it->second.on_replicated);
  waiting_.erase(it);
  on_replicated(true);
}

void Member::GiveUp(std::uint64_t number) {
  const ReplicatedCallback on_replicated = std::move(waiting_[number].on_replicated);
  waiting_.erase(number);
  on_replicated(false);
}

void Member::OnWorkerDown(const std::string& worker, double started_at_s, bool gone) {
  cluster_->OnDrainNotice(Now(), worker, started_at_s, gone);
  Arm();
}

void Member::Leave() {
  if (!cluster_) return;
  membership::MembershipNode::Actions actions;
  cluster_->Leave(Now(), &actions);
  CarryOut(&actions);
}

bool Member::HoldsLease() const { return cluster_ && cluster_->agreement().HoldsLease(Now()); }
double Member::LeaseRemaining() const {
  return cluster_ ? cluster_->agreement().LeaseRemaining(Now()) : 0;
}
balancing::FleetShare Member::CurrentFleetShare() const {
  const double now = Now();
  const membership::ViewAgreement& a = cluster_->agreement();
  const int members = a.HoldsLease(now) ? static_cast<int>(a.view().members.size()) : 0;
  balancing::FleetShare parts{
      .share = cluster_->FleetShare(now), .member_count = members, .epoch = a.view().epoch};
  if (quota_) parts.tenant_rates_rps = quota_->Rates();
  return parts;
}

std::string Member::Metrics() const {
  std::ostringstream out;
  const auto count = [&](const char* name, std::uint64_t value, char kind = 'c') {
    out << "app.cluster." << name << ':' << value << '|' << kind << '\n';
  };
  const auto& d = cluster_->detector().counters();
  const auto& a = cluster_->agreement().counters();
  const TransportCounters& t = transport_.counters();
  count("epoch", cluster_->agreement().view().epoch, 'g');
  count("leased", HoldsLease() ? 1 : 0, 'g');
  count("slowness", static_cast<std::uint64_t>(cluster_->detector().local_health_multiplier()),
        'g');
  count("probes", d.probes);
  count("probes_failed", d.failed_probes);
  count("suspicions", d.suspicions);
  count("refutations", d.refutations);
  count("failures", d.failures);
  count("stops_noticed", d.pauses_detected);
  count("views", a.views);
  count("elections", a.elections);
  count("leases", a.leases);
  count("lapses", a.leases_expired);
  count("conflicts", a.conflicts);
  count("workers_out", cluster_->maintenance().WorkersInMaintenance().size(), 'g');
  count("frames_in", t.frames_in);
  count("frames_out", t.frames_out);
  count("bytes_in", t.bytes_in);
  count("bytes_out", t.bytes_out);
  count("streams", t.streams);
  if (copies_) {
    const copies::ReplicatedLogs& c = copies_->decisions();
    std::uint64_t own = 0, behind = 0;
    for (const auto& held : c.LogStatuses()) {
      own += held.own;
      behind = std::max<std::uint64_t>(behind, held.behind);
    }
    count("copies.logs_held", c.LogStatuses().size(), 'g');
    count("copies.logs_owned", own, 'g');
    count("copies.most_behind", behind, 'g');
    count("copies.promises", c.counters().promises);
    count("copies.adoptions", c.counters().adoptions);
    count("copies.refusals", c.counters().refusals);
    count("copies.fillings", c.counters().snapshot_transfers);
    count("copies.lies", c.counters().stale_stores);
    count("copies.store_failed", store_->failed() ? 1 : 0, 'g');
    count("copies.store_permille", static_cast<std::uint64_t>(1000 * store_->used()), 'g');
    count("copies.commits", store_->figures().commits);
    const auto& commits = store_->figures().took;
    for (const auto& [name, p] : {std::pair{"p50", 0.5}, {"p99", 0.99}}) {
      if (commits.known()) {
        count((std::string("copies.commit_us_") + name).c_str(),
              static_cast<std::uint64_t>(1e6 * commits.At(p)), 'g');
      }
    }
  }
  if (quota_) quota_->PrintFigures(&out);
  count("refused.garbled", refusals_.garbled);
  count("refused.other_cluster", refusals_.other_cluster);
  count("refused.strangers", refusals_.strangers);
  count("refused.other_version", refusals_.other_version);
  count("refused.unknown", refusals_.unknown);
  count("refused.replayed", refusals_.replayed);
  return out.str();
}

std::string Member::MembersJson() const {
  using nlohmann::json;
  const double now = Now();
  const membership::ViewAgreement& a = cluster_->agreement();
  json members = json::array();
  json logs = json::array();
  for (const membership::LogAssignment& log : a.view().logs) {
    json holders = json::array();
    for (const membership::LogReplica& h : log.replicas) holders.push_back(NameOf(h.id));
    logs.push_back({{"log", (std::ostringstream() << std::hex << log.log).str()},
                    {"owner", log.process_incarnation == 0 ? "-" : NameOf(log.owner)},
                    {"holders", std::move(holders)}});
  }
  for (const ClusterMember& m : options_.members) {
    const NodeId id = codec::Hash(m.id);
    const auto* known = cluster_->detector().Find(id);
    const bool self = id == self_;
    json one{{"id", m.id},
             {"address", m.address},
             {"place", m.failure_domain},
             {"voter", m.voter},
             {"state", NameOfHealth(known->health)},
             {"incarnation", known->incarnation},
             {"in_view", a.view().Find(id) != nullptr}};
    if (const auto* in_view = a.view().Find(id)) {
      one["copies"] = std::count_if(a.view().logs.begin(), a.view().logs.end(),
                                    [id](const auto& log) { return log.Find(id) != nullptr; });
      one["life"] = (std::ostringstream() << std::hex << in_view->process_incarnation).str();
    }
    one["seen_ms"] = self                 ? json(0)
                     : known->seen_at < 0 ? json(nullptr)
                                          : json(Millis(now - known->seen_at));
    members.push_back(std::move(one));
  }
  json whole{{"cluster", options_.name},
             {"self", options_.self},
             {"epoch", a.view().epoch},
             {"majority", a.HoldsLease(now)},
             {"lease_ms", Millis(a.LeaseRemaining(now))},
             {"part", cluster_->FleetShare(now)},
             {"leader", NameOf(a.known_leader())},
             {"yielded", a.superseded()},
             {"workers_out", cluster_->maintenance().WorkersInMaintenance()},
             {"members", std::move(members)},
             {"logs", std::move(logs)}};
  if (quota_) {
    const QuotaKeeper::Allocation allocation = quota_->Allocated();
    whole["quota"] = {{"allocates", allocation.tenants}, {"taking_over", allocation.taking_over}};
  }
  if (options_.Self()->voter) whole["vote"] = NameOfState(a.voter().state());
  return whole.dump() + "\n";
}

}  // namespace millethollow::cluster
