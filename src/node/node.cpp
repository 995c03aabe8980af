#include "node/node.h"

#include <algorithm>
#include <cmath>
#include <csignal>
#include <random>
#include <sstream>
#include <utility>

#include "config/reload.h"
#include "logging/log.h"

namespace millethollow {
namespace {

constexpr double kStopAfterS = 0.5;  // new connections still come for up to 0.4 s after SIGTERM
constexpr double kStopCheckS = 0.02;
constexpr double kTurnedAwayS = 0.5;  // advised to clients when there is no planner
constexpr double kFlushS = 2.0;
constexpr double kSyncS = 1.0, kSyncCheckS = 0.02;
constexpr double kLeaveS = 1.5;      // after SIGTERM, for what promises have under way
constexpr double kLeftOutS = 1.2;    // what is on its way when its class ends is still taken
const std::string kNoName(1, '\n');  // none that a header can hold

// What waits for room, for how long it did, and what is held.
void PrintScheduling(const Planner& planner, std::ostream* out) {
  const scheduling::Scheduler& s = planner.balancer().scheduler();
  const scheduling::SchedulerStats f = s.stats();
  const std::string at = "app.scheduling.";
  *out << at << "waiting:" << f.waiting << "|g\n"
       << at << "reservations:" << f.reservations << "|g\n"
       << at << "held_slots:" << f.reserved_slots << "|g\n"
       << at << "waited:" << f.waited << "|c\n"
       << at << "backfilled:" << f.backfilled << "|c\n"
       << at << "broken_off:" << f.broken_reservations << "|c\n"
       << at << "turned_away:" << f.rejected << "|c\n";
  for (const auto& [cls, count] : s.QueuedByClass()) {
    *out << at << planner.class_name(cls) << ".waiting:" << count << "|g\n";
  }
  for (const auto& [cls, waits] : s.wait_times()) {
    if (!waits.known()) continue;
    for (const auto& [name, p] : {std::pair{"p50", 0.5}, {"p95", 0.95}}) {
      *out << at << planner.class_name(cls) << ".wait_ms_" << name << ":"
           << std::lround(1000 * waits.At(p)) << "|g\n";
    }
  }
}

// Messages between planners, and those dropped, by cause.
void PrintPeers(const Counters& counters, std::uint64_t refused, std::ostream* out) {
  const PeerCounters& p = counters.peers;
  const std::string at = "app.peers.";
  *out << at << "messages_in:" << counters.peer_messages_in << "|c\n"
       << at << "messages_out:" << p.messages_out << "|c\n"
       << at << "bytes_out:" << p.bytes_out << "|c\n"
       << at << "dropped.too_long:" << p.too_long << "|c\n"
       << at << "dropped.no_address:" << p.no_address << "|c\n"
       << at << "dropped.not_sent:" << p.not_sent << "|c\n"
       << at << "dropped.unreadable:" << p.unreadable << "|c\n"
       << at << "dropped.strangers:" << p.strangers << "|c\n"
       << at << "dropped.refused:" << refused << "|c\n";
}

}  // namespace

std::string PlannerSocketPath(const Config& config, int planner) {
  return config.link + "/planner-" + std::to_string(planner) + ".sock";
}

Node::Node(Config config, Role role) : config_(std::move(config)), role_(role) {}
Node::~Node() = default;

bool Node::Start(std::string* why) {
  loop_.budget() = DescriptorBudget::Of(config_.sockets);
  std::uint64_t seed = config_.seed;
  if (seed == 0) seed = std::random_device{}();
  // A member of a cluster is one process at a time.
  const bool replaces = !config_.handover.empty() && !config_.cluster.on();
  if (replaces && role_.kind == Role::Kind::kCombined) {
    std::string at = config_.name + "-" + config_.listen;
    std::replace(at.begin(), at.end(), '/', '_');
    succession_ = std::make_unique<handover::Succession>(
        &loop_, config_.handover + "/millethollow-" + at + ".sock");
    claimed_ = succession_->Claim(while_waiting);
  }
  if (role_.kind != Role::Kind::kPlanner && !StartForwarder(why)) return false;
  if (role_.kind != Role::Kind::kForwarder && !StartPlanner(seed, why)) return false;
  if (role_.kind == Role::Kind::kForwarder) client_->Start();
  if (config_.cluster.on()) {
    if (!StartMember(why)) return false;
  }
  if (!config_.admin.empty()) {
    admin_ = std::make_unique<admin::AdminServer>(
        &loop_,
        admin::AdminServer::Hooks{
            .serving =
                [this] {
                  return planner_ != nullptr && !stopping_ &&
                         (!forwarder_ || forwarder_->accepting());
                },
            .figures = [this] { return Figures(); },
            .maintain =
                [this](const std::string& worker, bool out,
                       admin::AdminServer::Hooks::Answer answer) {
                  SetMaintenanceEverywhere(worker, out, std::move(answer));
                },
            .members = member_ ? std::function<std::string()>([this] { return member_->Json(); })
                               : nullptr});
    if (!admin_->Listen(config_.admin, why)) return false;
  }
  if (succession_) {
    succession_->Serve({.planner = planner_.get(),
                        .front = front_.get(),
                        .pool = pool_.get(),
                        .gearman = gearman_.get(),
                        .peers = peers_.get(),
                        .discovery = discovery_.get(),
                        .classes = &config_.classes,
                        .deserted = [this] {
                          if (stopping_) front_->CloseIdle();
                        }});
  }
  LogLine(Level::kInfo) << "started as " << config_.name;
  return true;
}

bool Node::StartMember(std::string* why) {
  cluster::Member::Hooks hooks;
  hooks.maintain = [this](const std::string& worker, bool out) { SetMaintenance(worker, out); };
  hooks.down = [this](const std::string& worker, double started_at_s, bool gone) {
    planner_->OnPeerWorkerDown(worker, started_at_s, gone);
  };
  hooks.tenant_demand = [this] { return planner_->TenantDemand(); };
  member_ = std::make_unique<cluster::Member>(&loop_, config_.cluster, TenantQuotas(),
                                              std::random_device{}(), std::move(hooks));
  if (!member_->Start(why)) return false;
  if (member_->copies() != nullptr) {
    copies::Jobs::Limits limits = config_.cluster.jobs;
    limits.takes = gearman_ != nullptr;
    promised_ = std::make_unique<cluster::PromisedJobs>(
        &loop_, member_.get(), limits, config_.name,
        (std::uint64_t{std::random_device{}()} << 32 | std::random_device{}()) | 1);
    promised_->SetRunner(gearman_.get());
    if (gearman_) gearman_->SetPromises(promised_.get());
  }
  if (front_) front_->SetServing(false);
  ServeOnceSynced(loop_.Now() + kSyncS);
  return true;
}

std::vector<cluster::NamedQuota> Node::TenantQuotas() const {
  std::vector<cluster::NamedQuota> quotas;
  for (std::size_t t = 0; t < config_.tenants.size(); ++t) {
    const bool told = t < config_.settings.tenants.size();
    quotas.push_back({config_.tenants[t], told ? config_.settings.tenants[t].quota_rps : 0.0});
  }
  return quotas;
}

// What the others hold out is out here before the first request; where nobody answers, it is
// served.
void Node::ServeOnceSynced(double until) {
  if (stopping_ || !front_) return;
  if (member_->Synced() || loop_.Now() >= until) return front_->SetServing(true);
  loop_.deadlines().At(loop_.Now() + kSyncCheckS, [this, until] { ServeOnceSynced(until); });
}

bool Node::StartPlanner(std::uint64_t seed, std::string* why) {
  if (role_.kind == Role::Kind::kPlanner) config_.name += "-p" + std::to_string(role_.index);
  if (role_.kind == Role::Kind::kPlanner && config_.planners > 1) {
    // The planners of a deployment are peers of each other.
    config_.settings.dispatcher_count = config_.planners;
    config_.settings.dispatcher_index = role_.index;
    seed += static_cast<std::uint64_t>(role_.index) * 0x9e3779b97f4a7c15ULL;
    const auto me = static_cast<std::size_t>(role_.index);
    config_.settings.peers = config_.peers.size() == static_cast<std::size_t>(config_.planners);
    config_.peer_listen = config_.settings.peers ? config_.peers[me] : "";
    config_.peers_all.clear();
  }
  // Whoever keeps the list speaks only when called: that it is pushed is said of the simulator's
  // wire.
  if (!config_.discovery.empty()) config_.settings.polls_discovery = true;
  Planner::Hooks hooks;
  hooks.now = [this] { return loop_.Now(); };
  hooks.subscribe = [this](bool on) {
    if (discovery_) discovery_->Subscribe(on);
  };
  hooks.list_overdue = [this] { return discovery_ && discovery_->Overdue(); };
  hooks.fetch_list = [this] {
    if (discovery_) discovery_->Fetch();
  };
  hooks.tell_peer = [this](int whom, const std::string& body) {
    if (whom == config_.settings.dispatcher_index) {  // our own other process
      if (succession_) succession_->TellMates(body);
    } else if (peers_)
      peers_->Tell(whom, body);
  };
  hooks.took = [this](const std::string& id) {
    if (succession_) succession_->TellId(id);
  };
  if (config_.cluster.on()) {
    hooks.parts = [this] { return member_ ? member_->Parts() : balancing::FleetShare{}; };
    hooks.before_send = [this](const std::string& promise, const std::string& worker, bool own,
                               bool repeatable, std::function<void(bool)> then) {
      if (!promised_) return then(false);
      promised_->BeforeSend(promise, worker, own, repeatable, std::move(then));
    };
  }
  hooks.log = [](const std::string& line) { LogLine(Level::kWarn) << "planner: " << line; };
  planner_ = std::make_unique<Planner>(config_.settings, seed, &loop_.deadlines(), hooks,
                                       &counters_, config_.scheduling);
  planner_->NameClasses(config_.classes, config_.live);
  if (forwarder_) {
    const std::uint64_t number = planner_->AddForwarder(forwarder_.get(), true);
    local_link_ = std::make_unique<LocalLink>(planner_.get(), number);
    forwarder_->SetLink(local_link_.get(), number);
  } else {
    server_ = std::make_unique<link::PlannerServer>(&loop_, planner_.get());
    if (!server_->Listen(PlannerSocketPath(config_, role_.index), why)) return false;
  }
  if (!config_.peer_listen.empty()) {
    peers_ = std::make_unique<Peers>(
        &loop_, [this](int who, const std::string& body) { planner_->OnPeerMessage(who, body); },
        &counters_.peers);
    if (!peers_->Open(claimed_.peer_socket, config_.peer_listen, config_.peers, config_.peers_all,
                      why))
      return false;
  }
  if (!config_.discovery.empty()) {
    discovery_ = std::make_unique<Discovery>(
        &loop_,
        Discovery::Options{.address = config_.discovery,
                           .max_poll_interval_s = config_.settings.max_poll_interval_s,
                           .zones = config_.zones,
                           .kinds = config_.kinds,
                           .seed = seed,
                           .drain_grace_s = config_.settings.drain_grace_s,
                           .nodes = config_.settings.dispatcher_count},
        Discovery::Hooks{.known = [this](balancing::EndpointListKind kind,
                                         const ServerList& l) { OnList(kind, l); },
                         .unavailable =
                             [this] {
                               planner_->OnEndpointsUpdated(
                                   balancing::EndpointListKind::kUnavailable, {});
                               if (initial_list_gate_) initial_list_gate_->OnPollFailed();
                               TakeOnceListed();
                             }});
  }
  ServerList known;
  if (config_.known != "{}" &&
      !ReadServerList(config_.known, config_.zones, config_.kinds, &known, why)) {
    return false;
  }
  if (claimed_.whole) {
    if (!claimed_.list.empty()) {
      known.entries = claimed_.list;
      known.version = claimed_.version;
    }
    std::vector<int> theirs;  // of each class of ours, its index there: the last of the name
    for (const std::string& name : config_.classes) {
      const auto& all = claimed_.classes;
      const auto at = std::find(all.rbegin(), all.rend(), name);
      theirs.push_back(at == all.rend() ? -1 : static_cast<int>(all.rend() - at) - 1);
    }
    planner_->ImportState(claimed_.known, claimed_.learned, theirs);
    for (const std::string& id : claimed_.ids) planner_->MarkWireIdUsed(id);
  }
  for (const ListEntry& e : known.entries) SetAddress(e.member.worker, e.address, e.most_out);
  if (discovery_) discovery_->SetVersion(known.version);
  // The process before has kept its list until now.
  if (discovery_ && forwarder_ && !claimed_.whole) {
    initial_list_gate_.emplace(discovery_->Crowd(), loop_.Now());
    forwarder_->SetAccepting(false);
    loop_.deadlines().At(initial_list_gate_->until(), [this] { TakeOnceListed(); });
  }
  planner_->Start(known.Members());
  if (front_) front_->SetServing(true);
  return true;
}

// Requests are taken once there is a list to go by.
void Node::TakeOnceListed() {
  if (!initial_list_gate_ || !initial_list_gate_->Ready(loop_.Now())) return;
  initial_list_gate_.reset();
  forwarder_->SetAccepting(true);
}

bool Node::StartForwarder(std::string* why) {
  if (role_.kind == Role::Kind::kForwarder) config_.name += "-f" + std::to_string(role_.index);
  forwarder_ = std::make_unique<Forwarder>(&loop_);
  pool_ = std::make_unique<http::WorkerPool>(
      forwarder_.get(), http::WorkerPool::Options{.connect_timeout_s = config_.connect_timeout_s,
                                                  .idle_s = config_.conn_idle_s,
                                                  .columns = config_.columns,
                                                  .counters = &counters_,
                                                  .may_act = [this](const std::string& promise) {
                                                    return promised_ && promised_->MayAct(promise);
                                                  }});
  forwarder_->AddDriver(pool_.get());
  // A process that we replace and that is silent may listen yet: it must not keep us from serving.
  const bool shared =
      succession_ || (role_.kind == Role::Kind::kForwarder && config_.forwarders > 1);
  front_ = std::make_unique<http::ClientFront>(forwarder_.get(), NamesNow(), &counters_);
  if (claimed_.client_listener >= 0) {
    if (!front_->AdoptListener(claimed_.client_listener)) return *why = "cannot listen", false;
  } else if (!config_.listen.empty() && !front_->Listen(config_.listen, shared, why)) {
    return false;
  }
  // A Gearman worker belongs to the forwarder that it connects to, and so do the jobs
  // it may be given: one forwarder has them all.
  if (!config_.gearman_listen.empty() && role_.index == 0) {
    gearman_ = std::make_unique<gearman::Front>(forwarder_.get(), config_, &counters_);
    forwarder_->AddDriver(gearman_.get());
    if (claimed_.gearman_listener >= 0) {
      if (!gearman_->AdoptListener(claimed_.gearman_listener)) return *why = "cannot listen", false;
    } else if (!gearman_->Listen(config_.gearman_listen, why)) {
      return false;
    }
  }
  if (role_.kind != Role::Kind::kForwarder) return true;
  std::vector<std::string> paths;
  for (int p = 0; p < config_.planners; ++p) paths.push_back(PlannerSocketPath(config_, p));
  client_ = std::make_unique<link::PlannerClient>(
      forwarder_.get(), std::move(paths), static_cast<std::size_t>(role_.index),
      link::PlannerClient::Hooks{
          .address = [this](const std::string& worker, const std::string& address,
                            std::size_t most) { pool_->SetAddress(worker, address, most); },
          .linked =
              [this](bool linked) {
                front_->SetServing(linked);
                if (linked && gearman_) gearman_->AnnounceWorkers();
              },
          .class_name =
              [this](int cls) { return config_.classes[static_cast<std::size_t>(cls)]; }});
  return true;
}

http::Names Node::NamesNow() const {
  http::Names names{.classes = config_.classes, .tenants = config_.tenants, .keyed = {}};
  for (std::size_t c = 0; c < names.classes.size(); ++c) {
    if (!config_.live[c]) names.classes[c] = kNoName;
    const auto idempotency = config_.settings.classes[c].idempotency;
    names.keyed.push_back(idempotency == balancing::Idempotency::kIdempotentWithKey);
  }
  if (config_.settings.retry_after) {
    names.retry_after_s = std::min(kTurnedAwayS, config_.settings.max_retry_after_s);
  }
  return names;
}

void Node::CatchSignals(std::string config_path) {
  config_path_ = std::move(config_path);
  const auto on = [this](int signal, event_callback_fn what) {
    EventPtr e(evsignal_new(loop_.base(), signal, what, this));
    event_add(e.get(), nullptr);
    return e;
  };
  const event_callback_fn stop = [](evutil_socket_t, short, void* self) {
    static_cast<Node*>(self)->BeginStop();
  };
  term_ = on(SIGTERM, stop);
  interrupt_ = on(SIGINT, stop);
  usr1_ = on(SIGUSR1, [](evutil_socket_t, short, void* self) {
    static_cast<Node*>(self)->PrintCounters(std::clog);
  });
  hangup_ =
      on(SIGHUP, [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->Reload(); });
  sigset_t reload;  // main holds it back until here
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_UNBLOCK, &reload, nullptr);
}

// Whatever is under way goes on. A file that can't be used changes nothing.
void Node::Reload() {
  Config fresh = config_;
  std::string why;
  ServerList known;
  const bool fixed = planner_ && !discovery_ && fresh.discovery.empty();
  ClassChanges changes;
  const auto in_use = [this](int cls) {
    return (planner_ && planner_->InUse(cls)) || (forwarder_ && forwarder_->InUse(cls));
  };
  if (!ReloadConfig(config_path_, in_use, &fresh, &changes, &why) ||
      (fixed && fresh.known != "{}" &&
       !ReadServerList(fresh.known, config_.zones, config_.kinds, &known, &why))) {
    LogLine(Level::kError) << why << "; the old one stays";
    counters_.reload_errors += 1;
    return;
  }
  counters_.reloads += 1;
  const Config before = std::exchange(config_, std::move(fresh));
  LogLevel() = ParseLogLevel(config_.log_level);
  LogLine(Level::kInfo) << "configuration read again";
  if (member_) {
    std::vector<double> quotas;
    for (const cluster::NamedQuota& tenant : TenantQuotas()) quotas.push_back(tenant.quota);
    member_->SetQuotas(quotas);
  }
  if (planner_) {
    planner_->Configure(config_.scheduling);
    planner_->Configure(config_.settings, config_.classes, config_.live, changes.begun);
  }
  if (front_) {
    http::Names names = NamesNow();
    for (std::size_t c = 0; c < before.classes.size(); ++c) {
      const bool replaced = std::find(names.classes.begin(), names.classes.end(),
                                      before.classes[c]) != names.classes.end();
      if (before.live[c] && !config_.live[c] && !replaced) names.classes[c] = before.classes[c];
    }
    front_->SetNames(std::move(names));
    loop_.deadlines().Drop(&left_out_);
    left_out_ = loop_.deadlines().At(loop_.Now() + kLeftOutS, [this] {
      left_out_ = Deadlines::kNone;
      front_->SetNames(NamesNow());
    });
  }
  if (discovery_) discovery_->Move(config_.discovery);
  if (fixed) OnList(balancing::EndpointListKind::kSnapshot, known);
}

void Node::SetAddress(const std::string& worker, const std::string& address, std::size_t most_out) {
  if (address.empty()) return;
  if (pool_) pool_->SetAddress(worker, address, most_out);
  if (server_) server_->SetAddress(worker, address, most_out);
}

void Node::OnList(balancing::EndpointListKind kind, const ServerList& list) {
  counters_.endpoint_lists += 1;
  for (const ListEntry& e : list.entries) SetAddress(e.member.worker, e.address, e.most_out);
  for (const ListEntry& e : list.entries) {
    if (!member_ || !member_->Out(e.member.worker) || planner_->HasWorker(e.member.worker))
      continue;
    // Taken out at another node before it was known here: it comes in without ever being free.
    balancing::Endpoint first = e.member;
    first.readiness = balancing::Readiness::kDraining;
    planner_->OnEndpointsUpdated(balancing::EndpointListKind::kIncremental, {first});
    SetMaintenance(e.member.worker, true);
  }
  planner_->OnEndpointsUpdated(kind, list.Members());
  for (const ListEntry& e : list.entries) {
    const bool gone = e.member.readiness == balancing::Readiness::kGone;
    if (!member_ || e.member.readiness == balancing::Readiness::kReady) continue;
    member_->Told(e.member.worker, e.member.started_at_s, gone);
  }
  if (succession_) succession_->TellDown();
  if (initial_list_gate_) initial_list_gate_->OnList();
  TakeOnceListed();
}

bool Node::SetMaintenance(const std::string& worker, bool out) {
  if (!planner_->SetMaintenance(worker, out)) return false;
  if (succession_) succession_->TellBan(worker, out);
  return true;
}

void Node::SetMaintenanceEverywhere(const std::string& worker, bool out,
                                    admin::AdminServer::Hooks::Answer answer) {
  if (!SetMaintenance(worker, out)) return answer(404, "no such worker\n");
  if (!member_) return answer(200, "done\n");
  member_->Say(worker, out, [answer = std::move(answer)](bool elsewhere) {
    answer(200, elsewhere ? "done\n" : "done here; not yet on disk here and at another member\n");
  });
}

// What was begun for promises is written down first; all else of them is another member's from then
// on.
void Node::LeaveOnceIdle(double until) {
  if (!promised_ || promised_->Idle() || loop_.Now() >= until) return member_->Leave();
  loop_.deadlines().At(loop_.Now() + kSyncCheckS, [this, until] { LeaveOnceIdle(until); });
}

void Node::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  LogLine(Level::kInfo) << "stopping";
  if (promised_) promised_->Stop();
  if (member_) LeaveOnceIdle(loop_.Now() + kLeaveS);
  if (front_) front_->BeginStop();
  if (gearman_) gearman_->BeginStop();
  loop_.deadlines().At(loop_.Now() + kStopAfterS, [this] {
    if (gearman_) gearman_->StopListening();
    CheckStopped();
  });
}

void Node::CheckStopped() {
  // With another process at our address nobody needs to be closed on: all rest there.
  if (front_ && !(succession_ && succession_->leaving())) front_->CloseIdle();
  const bool done = forwarder_ ? forwarder_->open() == 0 && front_->connections() == 0
                               : planner_->open_requests() == 0;
  // A last answer may still be on its way out to a peer that reads slowly.
  const bool handed = !succession_ || succession_->Flushed();
  const bool flushed = handed && (!gearman_ || gearman_->Flushed() || loop_.Now() > flush_until_);
  if (done && flushed) return loop_.Stop();
  if (!done) flush_until_ = loop_.Now() + kFlushS;
  loop_.deadlines().At(loop_.Now() + kStopCheckS, [this] { CheckStopped(); });
}

void Node::Run() { loop_.Run(); }

void Node::PrintCounters(std::ostream& out) const {
  const Counters& c = counters_;
  std::ostringstream line;
  line << "counters " << config_.name << " taken=" << c.received << " sent=" << c.sent
       << " served=" << c.completed << " refused=" << c.rejected << " failed=" << c.failed
       << " gone=" << c.cancelled << " probes=" << c.probes << " blocked=" << c.blocked
       << " bad_input=" << c.bad_input << " peers_in=" << c.peer_messages_in
       << " peers_out=" << c.peer_messages_out << " lists=" << c.endpoint_lists
       << " reloads=" << c.reloads;
  if (front_) line << " clients=" << front_->connections() << " workers=" << pool_->connections();
  if (server_) line << " forwarders=" << server_->forwarders();
  line << '\n' << Figures();
  out << line.str() << std::flush;
}

std::string Node::Figures() const {
  std::ostringstream out;
  for (const auto& [name, c] : counters_.classes) {
    if (name.empty()) continue;
    const std::string at = "app.downstream_requests." + name + ".";
    out << at << "completed:" << c.completed << "|c\n"
        << at << "rejected:" << c.rejected << "|c\n"
        << at << "failed:" << c.failed << "|c\n";
  }
  out << "app.upstream_requests:" << counters_.written << "|c\n";
  if (planner_) {
    const auto [members, avoided] = planner_->Members();
    out << "app.pending:" << planner_->pending() << "|g\n"
        << "app.members:" << members << "|g\n"
        << "app.members_unavailable:" << avoided << "|g\n";
  }
  if (planner_) PrintPeers(counters_, planner_->balancer().RejectedPeerMessages(), &out);
  if (planner_ && planner_->balancer().on()) PrintScheduling(*planner_, &out);
  if (member_) out << member_->Figures();
  if (promised_) out << promised_->Figures();
  out << "app.config_reloads:" << counters_.reloads << "|c\n"
      << "app.config_reload_errors:" << counters_.reload_errors << "|c\n";
  return out.str();
}

}  // namespace millethollow
