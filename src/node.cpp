#include "node.h"

#include <csignal>
#include <random>

#include "log.h"

namespace millethollow {

namespace {
constexpr double kStopAfterS = 0.5;  // new connections still come for up to 0.4 s after SIGTERM
}

Node::Node(Config config) : config_(std::move(config)) {}
Node::~Node() = default;

bool Node::Start(std::string* why) {
  loop_.budget() = DescriptorBudget::Of(config_.sockets);
  std::uint64_t seed = config_.seed;
  if (seed == 0) seed = std::random_device{}();

  Planner::Hooks hooks;
  hooks.now = [this] { return loop_.Now(); };
  hooks.subscribe = [this](bool on) {
    if (discovery_) discovery_->Subscribe(on);
  };
  hooks.fetch_list = [this] {
    if (discovery_) discovery_->Fetch();
  };
  hooks.tell_peer = [this](int whom, const std::string& body) {
    if (peers_) peers_->Tell(whom, body);
  };
  hooks.log = [](const std::string& line) { LogLine(Level::kWarn) << "planner: " << line; };
  planner_ = std::make_unique<Planner>(config_.settings, seed, &loop_.deadlines(), hooks,
                                       &counters_);
  forwarder_ = std::make_unique<Forwarder>(&loop_);
  const std::uint64_t number = planner_->AddForwarder(forwarder_.get(), true);
  link_ = std::make_unique<LocalLink>(planner_.get(), number);
  forwarder_->SetLink(link_.get(), number);

  pool_ = std::make_unique<http::NextHopPool>(
      forwarder_.get(), http::NextHopPool::Options{.connect_timeout_s = config_.connect_timeout_s,
                                                   .idle_s = config_.conn_idle_s,
                                                   .columns = config_.columns});
  forwarder_->AddDriver(pool_.get());

  http::Names names{.classes = config_.classes, .tenants = config_.tenants, .keyed = {}};
  for (const auto& c : config_.settings.classes) {
    names.keyed.push_back(c.semantics == decksail::Semantics::kByKey);
  }
  front_ = std::make_unique<http::SenderFront>(forwarder_.get(), std::move(names), &counters_);
  if (!config_.listen.empty() && !front_->Listen(config_.listen, why)) return false;

  if (!config_.gearman_listen.empty()) {
    gearman_ = std::make_unique<gearman::Front>(forwarder_.get(), config_, &counters_);
    forwarder_->AddDriver(gearman_.get());
    if (!gearman_->Listen(config_.gearman_listen, why)) return false;
  }

  if (!config_.peer_listen.empty()) {
    peers_ = std::make_unique<Peers>(
        &loop_, [this](int who, const std::string& body) { planner_->PeerSaid(who, body); });
    if (!peers_->Open(config_.peer_listen, config_.peers, config_.peers_all, why)) return false;
  }
  if (!config_.discovery.empty()) {
    discovery_ = std::make_unique<Discovery>(
        &loop_,
        Discovery::Options{.address = config_.discovery,
                           .ask_within_s = config_.settings.ask_within_s,
                           .zones = config_.zones,
                           .kinds = config_.kinds,
                           .seed = seed},
        Discovery::Hooks{
            .known = [this](decksail::ListKind kind, const MemberList& l) { OnList(kind, l); },
            .unavailable =
                [this] { planner_->ListKnown(decksail::ListKind::kUnavailable, {}); }});
  }
  MemberList known;
  if (config_.known != "{}" &&
      !ReadMemberList(config_.known, config_.zones, config_.kinds, &known, why)) {
    return false;
  }
  for (const ListEntry& e : known.entries) pool_->SetAddress(e.member.worker, e.address);
  if (discovery_) discovery_->SetVersion(known.version);
  planner_->Start(known.Members());

  front_->SetServing(true);
  LogLine(Level::kInfo) << "serving as " << config_.name << " on " << config_.listen;
  return true;
}

void Node::CatchSignals() {
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
}

void Node::OnList(decksail::ListKind kind, const MemberList& list) {
  counters_.lists += 1;
  for (const ListEntry& e : list.entries) {
    if (!e.address.empty()) pool_->SetAddress(e.member.worker, e.address);
  }
  planner_->ListKnown(kind, list.Members());
}

void Node::BeginStop() {
  if (stopping_) return;
  stopping_ = true;
  LogLine(Level::kInfo) << "stopping";
  front_->BeginStop();
  if (gearman_) gearman_->BeginStop();
  loop_.deadlines().At(loop_.Now() + kStopAfterS, [this] {
    front_->CloseIdle();
    if (gearman_) gearman_->StopListening();
    idle_closed_ = true;
    CheckStopped();
  });
}

void Node::CheckStopped() {
  if (forwarder_->open() == 0 && front_->connections() == 0) return loop_.Stop();
  loop_.deadlines().At(loop_.Now() + 0.02, [this] { CheckStopped(); });
}

void Node::Run() { loop_.Run(); }

void Node::PrintCounters(std::ostream& out) const {
  const Counters& c = counters_;
  out << "counters taken=" << c.taken << " sent=" << c.sent << " served=" << c.served
      << " deferred=" << c.deferred << " failed=" << c.failed << " gone=" << c.gone
      << " probes=" << c.probes << " blocked=" << c.blocked << " bad_input=" << c.bad_input
      << " peers_in=" << c.peers_in << " peers_out=" << c.peers_out << " lists=" << c.lists
      << " senders=" << front_->connections() << " next_hops=" << pool_->connections()
      << std::endl;
}

}  // namespace millethollow
