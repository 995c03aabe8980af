#include "net/gearman/front.h"

#include <algorithm>
#include <sstream>

#include "logging/log.h"
#include "net/gearman/peer.h"

namespace millethollow::gearman {

using balancing::LoadMetric;
using balancing::Readiness;

namespace {

constexpr std::size_t kMaxKeptResults = 256;  // for repeats of a job
constexpr std::size_t kMaxKeptBytes = 16 * 1024 * 1024;
// Of all connections; a single one is closed at kMaxUnsentBytes.
constexpr std::size_t kMaxUnsentBytesInAll = 32 * 1024 * 1024;
constexpr std::size_t kMaxTasksPerWorker = 2;  // one running and one queued
constexpr int kFirstUnlistedCell = 1 << 20;    // larger than the cells of endpoint lists
constexpr std::string_view kVersion = "0.1.0";

std::string HandlePrefix(const std::string& node_name, std::uint64_t process_number) {
  std::ostringstream prefix;
  prefix << "H:" << node_name << ':' << std::hex << process_number;
  return prefix.str();
}

}  // namespace

Front::Front(Forwarder* forwarder, const Config& config, Counters* counters,
             std::uint64_t process_number)
    : forwarder_(forwarder),
      config_(config),
      counters_(counters),
      handle_prefix_(HandlePrefix(config.name, process_number)) {}
Front::~Front() = default;

bool Front::AdoptListener(int fd) {
  forwarder_->loop()->OnClientFreed([this] { SetAccepting(accepting_); });
  return listener_.Adopt(forwarder_->loop(), fd,
                         [this](evutil_socket_t accepted) { Accept(accepted); });
}

void Front::SetAccepting(bool accepting) {
  accepting_ = accepting;
  if (accepting) {
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
  ++last_connection_;
  // Names are reused once their worker is gone, so that state kept by worker name does not grow
  // with every reconnect. The cell is new each time.
  int name_number = 1;
  while (name_numbers_.contains(name_number)) ++name_number;
  name_numbers_.insert(name_number);
  auto peer = std::make_unique<Peer>(
      this, forwarder_->loop(), fd, "gearman-" + config_.name + "-" + std::to_string(name_number),
      name_number, kFirstUnlistedCell + static_cast<int>(last_connection_ % kFirstUnlistedCell));
  Peer* raw = peer.get();
  peers_.emplace(raw, std::move(peer));
  budget.clients += 1;
  if (!budget.ClientsFull()) return;
  // Evicts the oldest connection that has sent no message; clients and workers are never evicted.
  Peer* oldest = nullptr;
  for (const auto& [other, owned] : peers_) {
    if (other == raw || other->closed() || !other->silent()) continue;
    if (oldest == nullptr || other->cell() < oldest->cell()) oldest = other;  // cells ascend
  }
  if (oldest == nullptr) return listener_.Pause();
  oldest->Finish("made-room");
}

void Front::Remove(Peer* peer) {
  Loop* loop = forwarder_->loop();
  loop->ClientFreed();
  if (workers_.contains(peer->name())) {
    UpdateWorker(peer);
    workers_.erase(peer->name());
  }
  Detach(peer);
  loop->Defer([this, peer] {
    name_numbers_.erase(peer->name_number());
    peers_.erase(peer);
  });
}

// A peer is a worker while it supports at least one function of the configuration.
void Front::UpdateWorker(Peer* worker) {
  const bool capable = std::any_of(
      config_.gearman_functions.begin(), config_.gearman_functions.end(),
      [worker](const auto& function) { return worker->abilities().contains(function.first); });
  const bool known = workers_.contains(worker->name());
  if (!capable && !known) return;
  workers_[worker->name()] = worker;
  balancing::Endpoint endpoint;
  endpoint.worker = worker->name();
  endpoint.zone = config_.gearman_zone;
  endpoint.kind = config_.gearman_kind;
  // Unless the configuration names a cell, Gearman workers do not share state by which to detect
  // repeats. Each gets a cell of its own, so that a non-idempotent job that may have run at one
  // worker is not retried at another.
  endpoint.slots = 1;  // it grabs one job at a time
  endpoint.cell = config_.gearman_cell >= 0 ? config_.gearman_cell : worker->cell();
  // No slow start: a worker that grabs one job at a time cannot be overloaded by a rate.
  endpoint.started_at_s = 0;
  endpoint.readiness = worker->closed()                 ? Readiness::kGone
                       : !capable || worker->draining() ? Readiness::kDraining
                                                        : Readiness::kReady;
  if (forwarder_->link() != nullptr) forwarder_->link()->OnWorkerChanged(endpoint);
}

void Front::EvictKeptResults() {
  const double now = forwarder_->loop()->Now();
  const auto expires_first = [](const auto& left, const auto& right) {
    return left.second.expires_at < right.second.expires_at;
  };
  while (!kept_results_.empty()) {
    const auto first = std::min_element(kept_results_.begin(), kept_results_.end(), expires_first);
    const bool has_room = kept_results_.size() <= kMaxKeptResults && kept_bytes_ <= kMaxKeptBytes;
    if (has_room && first->second.expires_at >= now) return;
    EraseKeptResult(first);
  }
}

void Front::EraseKeptResult(std::map<UniqueKey, KeptResult>::iterator kept) {
  kept_bytes_ -= kept->second.bytes;
  kept_results_.erase(kept);
}

void Front::KeepResult(const UniqueKey& key, KeptResult kept) {
  kept.bytes = key.second.size() + kept.result.size();
  for (const auto& [kind, part] : kept.partial_data) kept.bytes += part.size() + kPartOverheadBytes;
  if (const auto previous = kept_results_.find(key); previous != kept_results_.end()) {
    EraseKeptResult(previous);
  }
  kept_bytes_ += kept.bytes;
  kept_results_.emplace(key, std::move(kept));
  EvictKeptResults();
}

void Front::LimitUnsentBytes() {
  std::size_t unsent_bytes = 0;
  Peer* slowest = nullptr;
  for (const auto& [peer, owned] : peers_) {
    if (peer->closed()) continue;
    unsent_bytes += peer->Unsent();
    if (slowest == nullptr || peer->Unsent() > slowest->Unsent()) slowest = peer;
  }
  if (unsent_bytes > kMaxUnsentBytesInAll && slowest != nullptr) {
    slowest->Finish("reads-too-slowly");
  }
}

bool Front::Flushed() const {
  return std::all_of(peers_.begin(), peers_.end(), [](const auto& entry) {
    return entry.first->closed() || entry.first->Drained();
  });
}

void Front::AnnounceWorkers() {
  for (const auto& [name, worker] : std::map<std::string, Peer*>(workers_)) UpdateWorker(worker);
}

std::string Front::FunctionFor(const ClientRequest& client_request, const Peer& worker) const {
  if (const auto job = FindByRequest(client_request.request.id)) {
    return worker.abilities().contains(job->function) ? job->function : "";
  }
  std::string fallback;  // of another tenant
  for (const auto& [name, function] : config_.gearman_functions) {
    if (function.class_index != client_request.request.class_index ||
        !worker.abilities().contains(name))
      continue;
    if (function.tenant == client_request.request.tenant) return name;
    if (fallback.empty()) fallback = name;
  }
  return fallback;
}

void Front::Send(const ClientRequest& client_request, int attempt, const std::string& name,
                 const DeliveryLimit& limit) {
  const auto it = workers_.find(name);
  const Request& request = client_request.request;
  if (it == workers_.end() || it->second->closed()) {
    return forwarder_->OnAttemptEnded(request.id, attempt,
                                      {.status = AttemptStatus::kConnectFailed});
  }
  Peer* worker = it->second;
  const std::string function = FunctionFor(client_request, *worker);
  if (function.empty()) {
    return forwarder_->OnAttemptEnded(request.id, attempt, {.status = AttemptStatus::kNotSent});
  }
  if (worker->tasks() >= kMaxTasksPerWorker || worker->draining()) {
    return forwarder_->OnAttemptEnded(request.id, attempt, {.status = AttemptStatus::kRejected});
  }
  const auto job = FindByRequest(request.id);
  Task task;
  task.request = request.id;
  task.attempt = attempt;
  task.priority = job ? job->priority : 1;
  // Each attempt has its own handle, so that a worker cannot report a result for a later attempt.
  task.handle = (job ? job->handle : HandleOfRequest(request.id)) +
                (attempt > 0 ? "." + std::to_string(attempt) : "");
  task.function = function;
  task.unique = job ? job->unique : request.key;
  if (job) task.durable_handle = job->durable_handle;
  task.body = request.body;
  task.sent_at = forwarder_->loop()->Now();
  task.limit = limit;
  worker->Enqueue(std::move(task));
}

bool Front::LimitDelivery(RequestId id, int attempt, double last_byte_by) {
  for (const auto& [name, worker] : workers_) worker->LimitDelivery(id, attempt, last_byte_by);
  return true;  // a worker reads what it has asked for
}

void Front::Cancel(RequestId id, int attempt) {
  for (const auto& [name, worker] : std::map<std::string, Peer*>(workers_)) {
    worker->Cancel(id, attempt);
  }
}

void Front::CancelUnsent(RequestId id, int attempt) {
  for (const auto& [name, worker] : std::map<std::string, Peer*>(workers_)) {
    if (worker->CancelUnsent(id, attempt)) {
      return forwarder_->OnAttemptEnded(id, attempt, {.status = AttemptStatus::kNotSent});
    }
    const Task* assigned = worker->FindAssigned(id, attempt);
    if (assigned != nullptr) return worker->WithdrawAssignment(*assigned);
  }
}

// A probe sends nothing: the load of a Gearman worker is known here.
void Front::Probe(const std::string& worker) {
  Outcome outcome;
  const auto it = workers_.find(worker);
  if (it == workers_.end() || it->second->closed()) {
    outcome.status = AttemptStatus::kConnectFailed;
  } else {
    const auto& columns = config_.settings.load_report_metrics;
    const std::size_t running = it->second->assigned_count(), queued = it->second->queue().size();
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

void Front::HandleAdminLine(Peer* peer, const std::string& line) {
  std::vector<std::string> words;
  for (std::size_t begin = 0; begin < line.size();) {
    const std::size_t end = std::min(line.find(' ', begin), line.size());
    if (end > begin) words.push_back(line.substr(begin, end - begin));
    begin = end + 1;
  }
  const std::string command = words.empty() ? "" : words[0];
  std::string out;
  if (command == "version") {
    out = "OK millethollow " + std::string(kVersion) + "\n";
  } else if (command == "status") {
    std::map<std::string_view, std::pair<std::size_t, std::size_t>> jobs_by_function;
    for (const auto& [id, job] : jobs_) {
      auto& [total, running] = jobs_by_function[job->function];
      total += 1;
      running += job->running;
    }
    for (const auto& [name, function] : config_.gearman_functions) {
      const auto [total, running] = jobs_by_function[name];
      std::size_t capable = 0;
      for (const auto& [id, worker] : workers_) capable += worker->abilities().contains(name);
      out += name + "\t" + std::to_string(total) + "\t" + std::to_string(running) + "\t" +
             std::to_string(capable) + "\n";
    }
    out += ".\n";
  } else if (command == "workers") {
    for (const auto& [raw, owned] : peers_) {
      if (owned->closed()) continue;
      const std::string address = owned->PeerAddress();
      out += std::to_string(owned->descriptor()) + " " + address.substr(0, address.find(':')) +
             " " + owned->client_id() + " :";
      for (const auto& [function, limit] : owned->abilities())
        out += " " + ReplaceWhitespace(function);
      out += owned->draining() ? " (draining)\n" : "\n";
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
