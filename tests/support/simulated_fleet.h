// Dispatchers with their schedulers and model workers on a virtual clock: deterministic.
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

// What the platform's days have in common.
inline void KeepPlatformRules(balancing::Settings* s) {
  s->tick_s = 0.005;
  s->max_attempts = 4;
  s->allow_hedging = s->workers_notify_start = true;
  s->drain_grace_s = 2;
  s->slow_start_min_share = 0.33;
  s->slow_start_s = 8.6;
  s->slow_start_load_multiple = 3;
  s->overload_for_s = 3;
}

class SimulatedFleet {
 public:
  struct Asked {
    int cls = 0, tenant = 0;
    scheduling::Resources need;
    double run_s = 0, at = 0;
    bool answered = false, served = false, refused = false, failed = false;
    double took_s = 0;
    std::vector<int> sent_to = {};  // one entry an attempt
  };

  SimulatedFleet(int nodes, balancing::Settings settings, const scheduling::Options& options)
      : settings_(std::move(settings)),
        options_(options),
        lives_(static_cast<std::size_t>(nodes), 0) {
    settings_.dispatcher_count = nodes;
    settings_.peers = nodes > 1;
    for (int n = 0; n < nodes; ++n) {
      settings_.dispatcher_index = n;
      desks.push_back(std::make_unique<scheduling::SchedulingBalancer>(
          settings_, 11 + static_cast<std::uint64_t>(n), options));
    }
  }
  // `pace`: how many seconds it takes for each that a job should run.
  int AddWorker(scheduling::Resources capacity, std::size_t queue, bool told = true, int kind = 0,
                double pace = 1) {
    const int w = static_cast<int>(workers.size());
    workers.emplace_back(capacity, queue);
    paces_.push_back(pace);
    balancing::Endpoint m;
    m.worker = Name(w);
    m.kind = kind;
    m.cell = w / 2;
    if (told) m.slots = capacity.slots, m.memory = capacity.memory;
    members.push_back(m);
    return w;
  }
  void Start() {
    for (std::size_t n = 0; n < desks.size(); ++n) {
      Tell(n, balancing::DispatcherStarted{});
      Tell(n, balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &members});
    }
  }
  // A process of the node that knows nothing of the one before.
  void Restart(std::size_t node) {
    settings_.dispatcher_index = static_cast<int>(node);
    lives_[node] += 1;
    desks[node] = std::make_unique<scheduling::SchedulingBalancer>(
        settings_, 1000 * lives_[node] + node, options_);
    Tell(node, balancing::DispatcherStarted{});
    Tell(node, balancing::EndpointsUpdated{balancing::EndpointListKind::kSnapshot, &members});
  }
  void Tell(std::size_t node, const balancing::Event& event) {
    before(node);
    balancing::Actions actions;
    desks[node]->Handle(now, event, &actions);
    for (const balancing::Action& action : actions) Do(node, action);
  }
  void List(int w, balancing::Readiness readiness) {
    const auto i = static_cast<std::size_t>(w);
    members[i].readiness = readiness;
    const std::vector<balancing::Endpoint> change{members[i]};
    for (std::size_t n = 0; n < desks.size(); ++n) {
      const auto tell = [this, n, change] {
        Tell(n, balancing::EndpointsUpdated{balancing::EndpointListKind::kIncremental, &change});
      };
      stopped_until(n) > now ? AtNode(n, stopped_until(n), tell) : tell();
    }
  }
  std::string Ask(std::size_t node, int cls, scheduling::Resources need, double run_s,
                  double wait_s, int tenant = 0) {
    std::string id = "j" + std::to_string(asked.size());
    asked[id] = {.cls = cls, .tenant = tenant, .need = need, .run_s = run_s, .at = now};
    owner_[id] = node;
    AtNode(node, now + wait_s, [this, id, node] { Gone(node, id); });
    Tell(node, balancing::RequestArrived{.id = id,
                                         .expires_s = now + wait_s,
                                         .slots = need.slots,
                                         .memory = need.memory,
                                         .tenant = tenant,
                                         .cls = cls,
                                         .key = {}});
    return id;
  }
  void Gone(std::size_t node, const std::string& id) {  // the client gives up
    Asked& a = asked.at(id);
    if (a.answered) return;
    a.answered = true;
    Tell(node, balancing::RequestCancelled{id});
  }
  void At(double when, std::function<void()> what) {
    queue_.emplace(std::pair{when, ++order_}, std::move(what));
  }
  // For the process that runs there now: one that is stopped finds it when it goes on.
  void AtNode(std::size_t node, double when, std::function<void()> what) {
    At(when, [=, this, what = std::move(what), life = lives_[node]] {
      if (life != lives_[node]) return;
      if (stopped_until(node) > now) return AtNode(node, stopped_until(node), what);
      what();
    });
  }
  void Run(double until) {
    while (!queue_.empty() && queue_.begin()->first.first <= until) {
      const auto what = std::move(queue_.begin()->second);
      now = std::max(now, queue_.begin()->first.first);
      queue_.erase(queue_.begin());
      what();
    }
    now = until;
  }
  static std::string Name(int w) { return "w" + std::to_string(w); }
  int Number(const std::string& name) const { return std::stoi(name.substr(1)); }

  double now = 0;
  std::vector<std::unique_ptr<scheduling::SchedulingBalancer>> desks;
  std::vector<WorkerModel> workers;
  std::vector<balancing::Endpoint> members;
  std::map<std::string, Asked> asked;
  std::vector<std::string> faults;  // rules that were broken
  std::size_t turned_away = 0, probes = 0;
  // Faults, for those who want them: links between nodes, stops, and what comes before each event.
  std::function<bool(std::size_t from, std::size_t to)> reaches = [](auto, auto) { return true; };
  std::function<double(std::size_t node)> stopped_until = [](auto) { return 0.0; };
  std::function<void(std::size_t node)> before = [](auto) {};
  std::function<void(std::size_t node, int worker)> on_send = [](auto, auto) {};

 private:
  static constexpr double kWire = 0.0005, kPeerWire = 0.01;  // one way, seconds

  void Do(std::size_t node, const balancing::Action& action) {
    if (const auto* send = std::get_if<balancing::SendAttempt>(&action)) {
      Asked& a = asked.at(send->id);
      if (a.answered) faults.push_back(send->id + " sent after its answer");
      const int attempt = static_cast<int>(a.sent_to.size());
      const int w = Number(send->worker);
      a.sent_to.push_back(w);
      on_send(node, w);
      At(now + kWire, [=, this, id = send->id] { Submit(node, id, attempt, w); });
    } else if (const auto* cancel = std::get_if<balancing::CancelAttempt>(&action)) {
      const int w = asked.at(cancel->id).sent_to.at(static_cast<std::size_t>(cancel->attempt));
      At(now + kWire, [=, this, id = cancel->id, attempt = cancel->attempt] {
        workers[static_cast<std::size_t>(w)].Remove(id);
        Turn(w);
        End(node, id, attempt, balancing::AttemptStatus::kCancelled);
      });
    } else if (const auto* refuse = std::get_if<balancing::RejectRequest>(&action)) {
      Answer(refuse->id, &Asked::refused);
    } else if (const auto* fail = std::get_if<balancing::FailRequest>(&action)) {
      Answer(fail->id, &Asked::failed);
    } else if (const auto* timer = std::get_if<balancing::SetTimer>(&action)) {
      AtNode(node, now + timer->after_s,
             [=, this, mark = timer->timer_id] { Tell(node, balancing::TimerFired{mark}); });
    } else if (const auto* probe = std::get_if<balancing::Probe>(&action)) {
      ++probes;
      AtNode(node, now + 2 * kWire, [=, this, name = probe->worker] {
        const scheduling::Resources free = workers[static_cast<std::size_t>(Number(name))].Free();
        Tell(node,
             balancing::ProbeAnswered{
                 .worker = name, .has_report = true, .report = {free.slots, free.memory, 0, 0}});
      });
    } else if (const auto* tell = std::get_if<balancing::SendPeerMessage>(&action)) {
      const auto whom = static_cast<std::size_t>(tell->recipient);
      if (!reaches(node, whom)) return;
      AtNode(whom, now + kPeerWire, [=, this, body = tell->body] {
        Tell(whom, balancing::PeerMessage{static_cast<int>(node), body});
      });
    }
  }
  void Answer(const std::string& id, bool Asked::*how) {
    Asked& a = asked.at(id);
    if (a.answered) return faults.push_back(id + " answered twice");
    a.answered = true;
    a.*how = true;
    a.took_s = now - a.at;
  }
  void Submit(std::size_t node, const std::string& id, int attempt, int w) {
    const Asked& a = asked.at(id);
    const std::string at = id + "/" + std::to_string(attempt);
    if (!workers[static_cast<std::size_t>(w)].Submit(
            {id, a.need, a.run_s * paces_[static_cast<std::size_t>(w)], 0})) {
      ++turned_away;
      AtNode(node, now + kWire,
             [=, this] { End(node, id, attempt, balancing::AttemptStatus::kRejected); });
      return;
    }
    attempts_[{id, w}] = attempt;
    Turn(w);
  }
  void Turn(int w) {  // whatever may begin does, and ends in its time
    for (const WorkerModel::Job& job : workers[static_cast<std::size_t>(w)].Begin(now)) {
      const std::size_t node = owner_.at(job.id);
      const int attempt = attempts_.at({job.id, w});
      AtNode(node, now + kWire, [=, this, id = job.id] {
        Tell(node, balancing::AttemptProgress{id, attempt});
      });
      At(job.ends_at, [=, this] {
        for (const WorkerModel::Job& done : workers[static_cast<std::size_t>(w)].End(now)) {
          const std::size_t its = owner_.at(done.id);
          const int hop = attempts_.at({done.id, w});
          AtNode(its, now + kWire, [=, this, id = done.id] {
            if (!asked.at(id).answered) Answer(id, &Asked::served);
            End(its, id, hop, balancing::AttemptStatus::kSucceeded);
          });
        }
        Turn(w);
      });
    }
  }
  void End(std::size_t node, const std::string& id, int attempt, balancing::AttemptStatus verdict) {
    Tell(node,
         balancing::AttemptEnded{
             .id = id, .attempt = attempt, .status = verdict, .terminal = asked.at(id).answered});
  }

  balancing::Settings settings_;
  scheduling::Options options_;
  std::vector<std::uint64_t> lives_;
  std::vector<double> paces_;
  std::map<std::pair<double, std::uint64_t>, std::function<void()>> queue_;
  std::uint64_t order_ = 0;
  std::map<std::string, std::size_t> owner_;
  std::map<std::pair<std::string, int>, int> attempts_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_TESTS_SUPPORT_SIMULATED_FLEET_H_
