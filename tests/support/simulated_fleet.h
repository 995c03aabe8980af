// A fleet on a virtual clock: dispatchers with their schedulers, and model workers. Runs are
// deterministic.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_SIMULATED_FLEET_H_
#define MILLETHOLLOW_TESTS_SUPPORT_SIMULATED_FLEET_H_

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "scheduling/scheduling_balancer.h"
#include "support/worker_model.h"

namespace millethollow {

// Applies the settings that the tests of the platform have in common.
inline void ApplyPlatformSettings(balancing::Settings* settings) {
  settings->tick_s = 0.005;
  settings->max_attempts = 4;
  settings->allow_hedging = settings->workers_notify_start = true;
  settings->drain_grace_s = 2;
  settings->slow_start_min_share = 0.33;
  settings->slow_start_s = 8.6;
  settings->slow_start_load_multiple = 3;
  settings->overload_for_s = 3;
}

// Runs dispatchers, clients and workers on a virtual clock.
class SimulatedFleet {
 public:
  // A client's request and its outcome. Times are seconds on the virtual clock.
  struct RequestRecord {
    int class_index = 0, tenant = 0;
    scheduling::Resources need;
    double run_time_s = 0, arrived_at = 0;
    bool answered = false, served = false, rejected = false, failed = false;
    double latency_s = 0;
    std::vector<int> sent_to = {};  // worker index of each attempt
  };

  SimulatedFleet(int node_count, balancing::Settings settings, const scheduling::Options& options)
      : settings_(std::move(settings)),
        options_(options),
        incarnations_(static_cast<std::size_t>(node_count), 0) {
    settings_.dispatcher_count = node_count;
    settings_.peers = node_count > 1;
    for (int node = 0; node < node_count; ++node) {
      settings_.dispatcher_index = node;
      dispatchers.push_back(std::make_unique<scheduling::SchedulingBalancer>(
          settings_, 11 + static_cast<std::uint64_t>(node), options));
    }
  }
  // Adds a worker and returns its index. `queue_length`: capacity of its queue. `listed_capacity`:
  // the endpoint list contains its capacity. `slowdown`: run time over nominal run time.
  int AddWorker(scheduling::Resources capacity, std::size_t queue_length,
                bool listed_capacity = true, int kind = 0, double slowdown = 1) {
    const int worker = static_cast<int>(workers.size());
    workers.emplace_back(capacity, queue_length);
    slowdowns_.push_back(slowdown);
    balancing::Endpoint endpoint;
    endpoint.worker = WorkerName(worker);
    endpoint.kind = kind;
    endpoint.cell = worker / 2;
    if (listed_capacity) endpoint.slots = capacity.slots, endpoint.memory = capacity.memory;
    endpoints.push_back(endpoint);
    return worker;
  }
  void Start() {
    for (std::size_t node = 0; node < dispatchers.size(); ++node) {
      Handle(node, balancing::DispatcherStarted{});
      Handle(node, balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &endpoints});
    }
  }
  // Replaces the process of a node by one without the state of the old one.
  void Restart(std::size_t node) {
    settings_.dispatcher_index = static_cast<int>(node);
    incarnations_[node] += 1;
    dispatchers[node] = std::make_unique<scheduling::SchedulingBalancer>(
        settings_, 1000 * incarnations_[node] + node, options_);
    Handle(node, balancing::DispatcherStarted{});
    Handle(node, balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &endpoints});
  }
  // Passes an event to the node's dispatcher and carries out its actions.
  void Handle(std::size_t node, const balancing::Event& event) {
    before_event(node);
    balancing::Actions actions;
    dispatchers[node]->Handle(now, event, &actions);
    for (const balancing::Action& action : actions) Execute(node, action);
  }
  // Updates a worker in the endpoint lists of all nodes.
  void SetReadiness(int worker, balancing::Readiness readiness) {
    const auto index = static_cast<std::size_t>(worker);
    endpoints[index].readiness = readiness;
    const std::vector<balancing::Endpoint> changed{endpoints[index]};
    for (std::size_t node = 0; node < dispatchers.size(); ++node) {
      const auto update = [this, node, changed] {
        Handle(node,
               balancing::EndpointsUpdated{balancing::EndpointListKind::kIncremental, &changed});
      };
      stopped_until(node) > now ? ScheduleAtNode(node, stopped_until(node), update) : update();
    }
  }
  // Sends a request to a node. Its client gives up after `timeout_s`. Returns its id.
  std::string SendRequest(std::size_t node, int class_index, scheduling::Resources need,
                          double run_time_s, double timeout_s, int tenant = 0) {
    std::string id = "j" + std::to_string(requests.size());
    requests[id] = {.class_index = class_index,
                    .tenant = tenant,
                    .need = need,
                    .run_time_s = run_time_s,
                    .arrived_at = now};
    node_of_request_[id] = node;
    ScheduleAtNode(node, now + timeout_s, [this, id, node] { CancelByClient(node, id); });
    Handle(node, balancing::RequestArrived{.id = id,
                                           .expires_s = now + timeout_s,
                                           .slots = need.slots,
                                           .memory = need.memory,
                                           .tenant = tenant,
                                           .class_index = class_index,
                                           .key = {}});
    return id;
  }
  // The client gives up.
  void CancelByClient(std::size_t node, const std::string& id) {
    RequestRecord& record = requests.at(id);
    if (record.answered) return;
    record.answered = true;
    Handle(node, balancing::RequestCancelled{id});
  }
  // Schedules `action` at this time.
  void ScheduleAt(double at, std::function<void()> action) {
    scheduled_.emplace(std::pair{at, ++next_sequence_}, std::move(action));
  }
  // Schedules `action` for the current process of the node. It is dropped if that process is
  // replaced; a process that is stopped at that time runs it when it continues.
  void ScheduleAtNode(std::size_t node, double at, std::function<void()> action) {
    ScheduleAt(at, [=, this, action = std::move(action), incarnation = incarnations_[node]] {
      if (incarnation != incarnations_[node]) return;
      if (stopped_until(node) > now) return ScheduleAtNode(node, stopped_until(node), action);
      action();
    });
  }
  // Runs everything that is scheduled until then.
  void Run(double until) {
    while (!scheduled_.empty() && scheduled_.begin()->first.first <= until) {
      const auto action = std::move(scheduled_.begin()->second);
      now = std::max(now, scheduled_.begin()->first.first);
      scheduled_.erase(scheduled_.begin());
      action();
    }
    now = until;
  }
  static std::string WorkerName(int worker) { return "w" + std::to_string(worker); }
  int WorkerIndex(const std::string& name) const { return std::stoi(name.substr(1)); }

  double now = 0;
  std::vector<std::unique_ptr<scheduling::SchedulingBalancer>> dispatchers;
  std::vector<WorkerModel> workers;
  std::vector<balancing::Endpoint> endpoints;
  std::map<std::string, RequestRecord> requests;
  std::vector<std::string> violations;  // protocol rules that were violated
  std::size_t worker_rejections = 0, probes = 0;
  // Injected faults: connections between nodes, stopped processes, and a hook before each event.
  std::function<bool(std::size_t from, std::size_t to)> is_connected = [](auto, auto) {
    return true;
  };
  std::function<double(std::size_t node)> stopped_until = [](auto) { return 0.0; };
  std::function<void(std::size_t node)> before_event = [](auto) {};
  std::function<void(std::size_t node, int worker)> on_send = [](auto, auto) {};

 private:
  static constexpr double kNetworkDelayS = 0.0005, kPeerDelayS = 0.01;  // one way, in seconds

  void Execute(std::size_t node, const balancing::Action& action) {
    if (const auto* send = std::get_if<balancing::SendAttempt>(&action)) {
      RequestRecord& record = requests.at(send->id);
      if (record.answered) violations.push_back(send->id + " sent after its answer");
      const int attempt = static_cast<int>(record.sent_to.size());
      const int worker = WorkerIndex(send->worker);
      record.sent_to.push_back(worker);
      on_send(node, worker);
      ScheduleAt(now + kNetworkDelayS,
                 [=, this, id = send->id] { Submit(node, id, attempt, worker); });
    } else if (const auto* cancel = std::get_if<balancing::CancelAttempt>(&action)) {
      const int worker =
          requests.at(cancel->id).sent_to.at(static_cast<std::size_t>(cancel->attempt));
      ScheduleAt(now + kNetworkDelayS, [=, this, id = cancel->id, attempt = cancel->attempt] {
        workers[static_cast<std::size_t>(worker)].Remove(id);
        StartJobs(worker);
        EndAttempt(node, id, attempt, balancing::AttemptStatus::kCancelled);
      });
    } else if (const auto* reject = std::get_if<balancing::RejectRequest>(&action)) {
      RecordAnswer(reject->id, &RequestRecord::rejected);
    } else if (const auto* fail = std::get_if<balancing::FailRequest>(&action)) {
      RecordAnswer(fail->id, &RequestRecord::failed);
    } else if (const auto* timer = std::get_if<balancing::SetTimer>(&action)) {
      ScheduleAtNode(node, now + timer->after_s, [=, this, timer_id = timer->timer_id] {
        Handle(node, balancing::TimerFired{timer_id});
      });
    } else if (const auto* probe = std::get_if<balancing::Probe>(&action)) {
      ++probes;
      ScheduleAtNode(node, now + 2 * kNetworkDelayS, [=, this, name = probe->worker] {
        const scheduling::Resources free_resources =
            workers[static_cast<std::size_t>(WorkerIndex(name))].Free();
        Handle(node, balancing::ProbeAnswered{
                         .worker = name,
                         .has_report = true,
                         .report = {free_resources.slots, free_resources.memory, 0, 0}});
      });
    } else if (const auto* message = std::get_if<balancing::SendPeerMessage>(&action)) {
      const auto recipient = static_cast<std::size_t>(message->recipient);
      if (!is_connected(node, recipient)) return;
      ScheduleAtNode(recipient, now + kPeerDelayS, [=, this, body = message->body] {
        Handle(recipient, balancing::PeerMessage{static_cast<int>(node), body});
      });
    }
  }
  void RecordAnswer(const std::string& id, bool RequestRecord::*outcome) {
    RequestRecord& record = requests.at(id);
    if (record.answered) return violations.push_back(id + " answered twice");
    record.answered = true;
    record.*outcome = true;
    record.latency_s = now - record.arrived_at;
  }
  void Submit(std::size_t node, const std::string& id, int attempt, int worker) {
    const RequestRecord& record = requests.at(id);
    const std::string attempt_name = id + "/" + std::to_string(attempt);
    if (!workers[static_cast<std::size_t>(worker)].Submit(
            {id, record.need, record.run_time_s * slowdowns_[static_cast<std::size_t>(worker)],
             0})) {
      ++worker_rejections;
      ScheduleAtNode(node, now + kNetworkDelayS, [=, this] {
        EndAttempt(node, id, attempt, balancing::AttemptStatus::kRejected);
      });
      return;
    }
    attempts_[{id, worker}] = attempt;
    StartJobs(worker);
  }
  // Starts what the worker can start now, and schedules its end.
  void StartJobs(int worker) {
    for (const WorkerModel::Job& job : workers[static_cast<std::size_t>(worker)].Begin(now)) {
      const std::size_t node = node_of_request_.at(job.id);
      const int attempt = attempts_.at({job.id, worker});
      ScheduleAtNode(node, now + kNetworkDelayS, [=, this, id = job.id] {
        Handle(node, balancing::AttemptProgress{id, attempt});
      });
      ScheduleAt(job.ends_at, [=, this] {
        for (const WorkerModel::Job& ended : workers[static_cast<std::size_t>(worker)].End(now)) {
          const std::size_t owner = node_of_request_.at(ended.id);
          const int attempt_index = attempts_.at({ended.id, worker});
          ScheduleAtNode(owner, now + kNetworkDelayS, [=, this, id = ended.id] {
            if (!requests.at(id).answered) RecordAnswer(id, &RequestRecord::served);
            EndAttempt(owner, id, attempt_index, balancing::AttemptStatus::kSucceeded);
          });
        }
        StartJobs(worker);
      });
    }
  }
  void EndAttempt(std::size_t node, const std::string& id, int attempt,
                  balancing::AttemptStatus status) {
    Handle(
        node,
        balancing::AttemptEnded{
            .id = id, .attempt = attempt, .status = status, .terminal = requests.at(id).answered});
  }

  balancing::Settings settings_;
  scheduling::Options options_;
  std::vector<std::uint64_t> incarnations_;
  std::vector<double> slowdowns_;
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> scheduled_;
  std::uint64_t next_sequence_ = 0;
  std::map<std::string, std::size_t> node_of_request_;
  std::map<std::pair<std::string, int>, int> attempts_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_TESTS_SUPPORT_SIMULATED_FLEET_H_
