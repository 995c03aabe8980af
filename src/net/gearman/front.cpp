#include "net/gearman/front.h"

#include <algorithm>

#include "logging/log.h"
#include "net/gearman/peer.h"

namespace millethollow::gearman {

using balancing::LoadMetric;
using balancing::Readiness;

namespace {

constexpr std::size_t kMaxFinished = 256;  // results kept for late repeats
constexpr std::size_t kMaxTasks = 2;       // at a worker: one that runs and one that waits
constexpr int kOwnCells = 1 << 20;         // cells from here on are no list's
constexpr std::string_view kVersion = "0.1.0";

}  // namespace

Front::Front(Forwarder* forwarder, const Config& config, Counters* counters)
    : forwarder_(forwarder), config_(config), counters_(counters) {}
Front::~Front() = default;

bool Front::AdoptListener(int fd) {
  forwarder_->loop()->OnClientFreed([this] { SetAccepting(accepting_); });
  return listener_.Adopt(forwarder_->loop(), fd, [this](evutil_socket_t s) { Accept(s); });
}

void Front::SetAccepting(bool on) {
  accepting_ = on;
  if (on) {
    listener_.Resume();
  } else {
    listener_.Pause();
  }
}

bool Front::Listen(const std::string& address, std::string* error) {
  forwarder_->loop()->OnClientFreed([this] { SetAccepting(accepting_); });
  return listener_.Open(
      forwarder_->loop(), address, [this](evutil_socket_t fd) { Accept(fd); }, error);
}

void Front::Accept(evutil_socket_t fd) {
  DescriptorBudget& budget = forwarder_->loop()->budget();
  ++sequence_;
  // A name is used again once its worker is gone: whoever remembers workers by name must not be
  // made to remember more with every reconnect. The cell is new each time.
  int slot = 1;
  while (slots_.contains(slot)) ++slot;
  slots_.insert(slot);
  auto peer = std::make_unique<Peer>(this, forwarder_->loop(), fd,
                                     "gearman-" + config_.name + "-" + std::to_string(slot), slot,
                                     kOwnCells + static_cast<int>(sequence_ % kOwnCells));
  Peer* raw = peer.get();
  peers_.emplace(raw, std::move(peer));
  budget.clients += 1;
  if (!budget.ClientsFull()) return;
  // Of the peers that have said nothing the oldest makes room; workers and clients never pay.
  Peer* oldest = nullptr;
  for (const auto& [other, owned] : peers_) {
    if (other == raw || other->closed() || !other->silent()) continue;
    if (oldest == nullptr || other->cell() < oldest->cell()) oldest = other;  // counted up
  }
  if (oldest == nullptr) return listener_.Pause();
  oldest->Finish("made-room");
}

void Front::Drop(Peer* peer) {
  Loop* loop = forwarder_->loop();
  loop->ClientFreed();
  if (workers_.contains(peer->name())) {
    SetReady(peer);
    workers_.erase(peer->name());
  }
  Detach(peer);
  loop->Defer([this, peer] {
    slots_.erase(peer->slot());
    peers_.erase(peer);
  });
}

// A peer is a worker while it can do one of the functions that the file maps.
void Front::SetReady(Peer* worker) {
  const bool able =
      std::any_of(worker->abilities().begin(), worker->abilities().end(),
                  [this](const auto& a) { return config_.gearman_functions.contains(a.first); });
  const bool known = workers_.contains(worker->name());
  if (!able && !known) return;
  workers_[worker->name()] = worker;
  balancing::Endpoint m;
  m.worker = worker->name();
  m.zone = config_.gearman_zone;
  m.kind = config_.gearman_kind;
  // Unless the file says that they tell each other, Gearman workers drop no repeats: each is a
  // group of its own, and a charge that one may have run goes to no other.
  m.slots = 1;  // it grabs one job at a time
  m.cell = config_.gearman_cell >= 0 ? config_.gearman_cell : worker->cell();
  // Never cold: it grabs one job at a time, so no rate of ours can push it over.
  m.started_at_s = 0;
  m.readiness = worker->closed()            ? Readiness::kGone
                : !able || worker->drains() ? Readiness::kDraining
                                            : Readiness::kReady;
  if (forwarder_->link() != nullptr) forwarder_->link()->OnWorkerChanged(m);
}

// Results are kept for their class's window; over the bound, the oldest goes first.
void Front::MakeRoom() {
  const double now = forwarder_->loop()->Now();
  std::erase_if(finished_, [now](const auto& f) { return f.second.until < now; });
  if (finished_.size() < kMaxFinished) return;
  finished_.erase(std::min_element(
      finished_.begin(), finished_.end(),
      [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
}

bool Front::Flushed() const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const auto& p) { return p.first->closed() || p.first->Drained(); });
}

void Front::AnnounceWorkers() {
  for (const auto& [name, worker] : std::map<std::string, Peer*>(workers_)) SetReady(worker);
}

// The function under which `worker` is given a request; empty if it can't do it.
std::string Front::FunctionFor(const ClientRequest& held, const Peer& worker) const {
  if (const auto job = FindRequest(held.request.id)) {
    return worker.abilities().contains(job->function) ? job->function : "";
  }
  std::string other;
  for (const auto& [name, f] : config_.gearman_functions) {
    if (f.cls != held.request.cls || !worker.abilities().contains(name)) continue;
    if (f.tenant == held.request.tenant) return name;
    if (other.empty()) other = name;
  }
  return other;
}

void Front::Send(const ClientRequest& held, int attempt, const std::string& name) {
  const auto it = workers_.find(name);
  const Request& e = held.request;
  if (it == workers_.end() || it->second->closed()) {
    return forwarder_->OnAttemptEnded(e.id, attempt, {.status = AttemptStatus::kConnectFailed});
  }
  Peer* worker = it->second;
  const std::string function = FunctionFor(held, *worker);
  if (function.empty()) {
    return forwarder_->OnAttemptEnded(e.id, attempt, {.status = AttemptStatus::kNotSent});
  }
  if (worker->tasks() >= kMaxTasks || worker->drains()) {
    return forwarder_->OnAttemptEnded(e.id, attempt, {.status = AttemptStatus::kRejected});
  }
  const auto job = FindRequest(e.id);
  Task task;
  task.request = e.id;
  task.attempt = attempt;
  task.priority = job ? job->priority : 1;
  // A handle names one attempt: a worker that had an earlier one can't answer for a later one.
  task.handle = (job ? job->handle : "H:" + config_.name + ":e" + std::to_string(e.id)) +
                (attempt > 0 ? "." + std::to_string(attempt) : "");
  task.function = function;
  task.unique = job ? job->unique : e.key;
  if (job) task.promise = job->promise;
  task.body = e.body;
  task.sent_at = forwarder_->loop()->Now();
  worker->Enqueue(std::move(task));
}

void Front::Cancel(RequestId id, int attempt) {
  for (const auto& [name, worker] : workers_) worker->Cancel(id, attempt);
}

void Front::CancelUnsent(RequestId id, int attempt) {
  for (const auto& [name, worker] : workers_) {
    if (!worker->CancelUnsent(id, attempt)) continue;
    return forwarder_->OnAttemptEnded(id, attempt, {.status = AttemptStatus::kNotSent});
  }
}

// A worker of ours need not be asked: what it holds is known here.
void Front::Probe(const std::string& worker) {
  Outcome outcome;
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second->closed()) {
    outcome.status = AttemptStatus::kConnectFailed;
  } else {
    const auto& columns = config_.settings.load_report_metrics;
    const std::size_t running = it->second->assigned(), queued = it->second->queue().size();
    outcome.has_report = true;
    for (std::size_t i = 0; i < columns.size() && i < 4; ++i) {
      outcome.report[i] = columns[i] == LoadMetric::kFreeSlots     ? running + queued > 0 ? 0 : 1
                          : columns[i] == LoadMetric::kFreeMemory  ? 1e6
                          : columns[i] == LoadMetric::kUtilization ? running > 0
                          : columns[i] == LoadMetric::kQueued      ? static_cast<double>(queued)
                          : columns[i] == LoadMetric::kInFlight
                              ? static_cast<double>(running + queued)
                              : 0;
    }
  }
  forwarder_->OnProbeAnswered(worker, outcome);
}

void Front::AdminLine(Peer* peer, const std::string& line) {
  std::vector<std::string> words;
  for (std::size_t at = 0; at < line.size();) {
    const std::size_t end = std::min(line.find(' ', at), line.size());
    if (end > at) words.push_back(line.substr(at, end - at));
    at = end + 1;
  }
  const std::string command = words.empty() ? "" : words[0];
  std::string out;
  if (command == "version") {
    out = "OK millethollow " + std::string(kVersion) + "\n";
  } else if (command == "status") {
    for (const auto& [name, function] : config_.gearman_functions) {
      std::size_t total = 0, running = 0, able = 0;
      for (const auto& [id, job] : jobs_) {
        total += job->function == name;
        running += job->function == name && job->running;
      }
      for (const auto& [id, worker] : workers_) able += worker->abilities().contains(name);
      out += name + "\t" + std::to_string(total) + "\t" + std::to_string(running) + "\t" +
             std::to_string(able) + "\n";
    }
    out += ".\n";
  } else if (command == "workers") {
    for (const auto& [raw, p] : peers_) {
      if (p->closed()) continue;
      const std::string address = p->PeerAddress();
      out += std::to_string(p->descriptor()) + " " + address.substr(0, address.find(':')) + " " +
             p->client_id() + " :";
      for (const auto& [function, limit] : p->abilities()) out += " " + SpaceFree(function);
      out += p->drains() ? " (draining)\n" : "\n";
    }
    out += ".\n";
  } else if (command == "drain" && words.size() == 2) {
    std::size_t drained = 0;
    for (const auto& [name, worker] : std::map<std::string, Peer*>(workers_)) {
      if (std::to_string(worker->descriptor()) != words[1] && worker->client_id() != words[1]) {
        continue;
      }
      worker->Drain();
      ++drained;
    }
    out = drained > 0 ? "OK\n" : "ERR unknown_worker No+such+worker\n";
  } else {
    counters_->bad_input += 1;
    out = "ERR unknown_command Unknown+server+command\n";
  }
  peer->Send(out);
}

}  // namespace millethollow::gearman
