// Soak test of a small tier: simulates many days in about a minute, with three dispatchers on a
// virtual clock, workers that are replaced under new names, and keys that change over time. At the
// end of each day it prints the resources of the process (RSS, descriptors, threads) and the time
// of a decision, so that growth shows.
//
//   soak [days] [replaced-per-hour]
#include <dirent.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace {

using millethollow::balancing::Action;
using millethollow::balancing::Actions;
using millethollow::balancing::Endpoint;
using millethollow::balancing::LoadBalancer;

constexpr double kDayS = 3600;      // Virtual time: an hour of traffic represents a day.
constexpr double kJobsPerS = 30;    // Of the whole tier.
constexpr int kListedWorkers = 24;  // Workers on the list at any time.
constexpr int kDispatchers = 3;
constexpr double kJobDurationS = 0.04;

// Returns the number after the word `key` in a file, or -1 if the word is not there.
long ReadProcField(const char* file, const char* key) {
  std::ifstream stream(file);
  std::string word;
  while (stream >> word) {
    if (word == key) {
      long value = 0;
      stream >> value;
      return value;
    }
  }
  return -1;
}

int CountOpenDescriptors() {
  int count = 0;
  if (DIR* directory = opendir("/proc/self/fd")) {
    while (readdir(directory) != nullptr) ++count;
    closedir(directory);
  }
  return count - 3;  // Without ".", ".." and the descriptor of opendir.
}

millethollow::balancing::Settings MakeSettings(int dispatcher_index) {
  millethollow::balancing::Settings settings;
  settings.classes.resize(2);
  settings.classes[1].idempotency = millethollow::balancing::Idempotency::kIdempotentWithKey;
  settings.classes[1].deduplication_scope = millethollow::balancing::DeduplicationScope::kCell;
  settings.classes[1].deduplication_window_s = 4;
  for (auto& job_class : settings.classes)
    job_class.latency_objective_s = 0.2, job_class.client_timeout_s = 3;
  settings.tenants = {{0.4, 0}, {0.3, 0}, {0.2, 0}, {0.1, 0}};
  settings.tick_s = 0.005;
  settings.max_attempts = 3;
  settings.allow_hedging = settings.workers_notify_start = settings.peers = settings.probing =
      settings.retry_after = true;
  settings.max_retry_after_s = 1;
  settings.slow_start_min_share = 0.33;
  settings.slow_start_s = 8;
  settings.drain_grace_s = 1;
  settings.slow_start_load_multiple = 3;
  settings.overload_for_s = 3;
  settings.dispatcher_count = kDispatchers;
  settings.dispatcher_index = dispatcher_index;
  return settings;
}

// Discrete-event simulation of the dispatchers, their workers and the messages between them.
struct SoakSimulation {
  std::multimap<double, std::function<void()>> scheduled_calls;
  std::vector<LoadBalancer> balancers;
  std::vector<Endpoint> endpoints;
  int next_worker_number = 0;
  double now_s = 0;  // Virtual time.
  std::mt19937_64 random{7};
  std::uint64_t jobs = 0, served = 0, rejected = 0, failed = 0;
  double arrival_ns_total = 0;
  std::uint64_t arrival_count = 0;
  std::vector<double> arrival_ns_samples;

  void HandleEvent(int dispatcher, const millethollow::balancing::Event& event) {
    Actions actions;
    balancers[static_cast<std::size_t>(dispatcher)].Handle(now_s, event, &actions);
    for (const Action& action : actions) ExecuteAction(dispatcher, action);
  }
  // Simulates the effect of an action of `dispatcher`.
  void ExecuteAction(int dispatcher, const Action& action) {
    if (const auto* timer = std::get_if<millethollow::balancing::SetTimer>(&action)) {
      const std::uint64_t timer_id = timer->timer_id;
      scheduled_calls.emplace(now_s + timer->after_s, [this, dispatcher, timer_id] {
        HandleEvent(dispatcher, millethollow::balancing::TimerFired{timer_id});
      });
    } else if (const auto* send = std::get_if<millethollow::balancing::SendAttempt>(&action)) {
      const std::string id = send->id;
      const int attempt = attempts_by_request[id]++;
      scheduled_calls.emplace(now_s + 0.002, [this, dispatcher, id, attempt] {
        HandleEvent(dispatcher,
                    millethollow::balancing::AttemptProgress{
                        id, attempt, millethollow::balancing::ProgressKind::kStarted, 0});
      });
      scheduled_calls.emplace(now_s + kJobDurationS, [this, dispatcher, id, attempt] {
        millethollow::balancing::AttemptEnded event;
        event.id = id;
        event.attempt = attempt;
        event.terminal = true;
        event.latency_s = kJobDurationS;
        ++served;
        HandleEvent(dispatcher, event);
        attempts_by_request.erase(id);
      });
    } else if (const auto* rejection =
                   std::get_if<millethollow::balancing::RejectRequest>(&action)) {
      ++rejected;
      attempts_by_request.erase(rejection->id);
    } else if (const auto* failure = std::get_if<millethollow::balancing::FailRequest>(&action)) {
      ++failed;
      attempts_by_request.erase(failure->id);
    } else if (const auto* peer_message =
                   std::get_if<millethollow::balancing::SendPeerMessage>(&action)) {
      const int recipient = peer_message->recipient;
      const std::string body = peer_message->body;
      scheduled_calls.emplace(now_s + 0.001, [this, dispatcher, recipient, body] {
        if (recipient >= 0 && recipient < kDispatchers)
          HandleEvent(recipient, millethollow::balancing::PeerMessage{dispatcher, body});
      });
    } else if (const auto* probe = std::get_if<millethollow::balancing::Probe>(&action)) {
      const std::string worker = probe->worker;
      scheduled_calls.emplace(now_s + 0.002, [this, dispatcher, worker] {
        millethollow::balancing::ProbeAnswered event;
        event.worker = worker;
        HandleEvent(dispatcher, event);
      });
    }
  }
  // Sends the whole endpoint list to every dispatcher.
  void SendEndpointList() {
    for (int dispatcher = 0; dispatcher < kDispatchers; ++dispatcher) {
      HandleEvent(dispatcher,
                  millethollow::balancing::EndpointsUpdated{
                      millethollow::balancing::EndpointListKind::kSnapshot, &endpoints});
    }
  }
  Endpoint MakeNewEndpoint() {
    Endpoint endpoint;
    endpoint.worker = "10.1." + std::to_string(next_worker_number / 250) + "." +
                      std::to_string(next_worker_number % 250) + ":8080";
    endpoint.cell = next_worker_number % 8;
    endpoint.started_at_s = now_s;
    ++next_worker_number;
    return endpoint;
  }
  // Submits a random request to a random dispatcher and records the time of its decision.
  void SubmitRequest() {
    const int dispatcher = static_cast<int>(random() % kDispatchers);
    millethollow::balancing::RequestArrived event;
    const std::string id = "j" + std::to_string(jobs++);
    event.id = id;
    event.tenant = static_cast<int>(random() % 4);
    event.class_index = static_cast<int>(random() % 2);
    // The range of keys moves on every 100,000 jobs, so that old keys are never used again.
    const std::string key = "k" + std::to_string(random() % 5000 + 5000 * (jobs / 100000));
    event.key = key;
    event.expires_s = now_s + 3;
    const auto started_at = std::chrono::steady_clock::now();
    HandleEvent(dispatcher, event);
    const double decision_ns =
        std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - started_at)
            .count();
    arrival_ns_total += decision_ns;
    ++arrival_count;
    arrival_ns_samples.push_back(decision_ns);
  }

  std::map<std::string, int> attempts_by_request;
};

}  // namespace

int main(int argc, char** argv) {
  const int days = argc > 1 ? std::atoi(argv[1]) : 20;
  const double replaced_per_hour = argc > 2 ? std::atof(argv[2]) : 240;
  SoakSimulation simulation;
  for (int dispatcher = 0; dispatcher < kDispatchers; ++dispatcher)
    simulation.balancers.emplace_back(MakeSettings(dispatcher), 11 + dispatcher);
  for (int dispatcher = 0; dispatcher < kDispatchers; ++dispatcher)
    simulation.HandleEvent(dispatcher, millethollow::balancing::DispatcherStarted{});
  for (int i = 0; i < kListedWorkers; ++i)
    simulation.endpoints.push_back(simulation.MakeNewEndpoint());
  simulation.SendEndpointList();
  std::exponential_distribution<double> arrival_interval_s(kJobsPerS);
  double next_job_s = 0, next_replacement_s = 0;
  const double replacement_interval_s = 3600 / std::max(replaced_per_hour, 1e-9);
  std::printf(
      "day  rss_kB  fds  threads  known_workers  listed  jobs/day  served  refused  failed"
      "  arrive_mean_us  arrive_p99_us\n");
  for (int day = 1; day <= days; ++day) {
    const double end_s = day * kDayS;
    simulation.arrival_ns_total = 0;
    simulation.arrival_count = 0;
    simulation.arrival_ns_samples.clear();
    const std::uint64_t jobs_before = simulation.jobs, served_before = simulation.served,
                        rejected_before = simulation.rejected, failed_before = simulation.failed;
    while (simulation.now_s < end_s) {
      const double next_call_s =
          simulation.scheduled_calls.empty() ? end_s : simulation.scheduled_calls.begin()->first;
      const double next_event_s = std::min({next_call_s, next_job_s, next_replacement_s, end_s});
      simulation.now_s = std::max(simulation.now_s, next_event_s);
      if (next_event_s == next_job_s) {
        simulation.SubmitRequest();
        next_job_s = simulation.now_s + arrival_interval_s(simulation.random);
      } else if (next_event_s == next_replacement_s) {
        // Replaces a random worker by one with a name that was not used before.
        simulation.endpoints.erase(
            simulation.endpoints.begin() +
            static_cast<long>(simulation.random() % simulation.endpoints.size()));
        simulation.endpoints.push_back(simulation.MakeNewEndpoint());
        simulation.SendEndpointList();
        next_replacement_s = simulation.now_s + replacement_interval_s;
      } else if (!simulation.scheduled_calls.empty() && next_event_s == next_call_s) {
        auto call = std::move(simulation.scheduled_calls.begin()->second);
        simulation.scheduled_calls.erase(simulation.scheduled_calls.begin());
        call();
      } else {
        break;
      }
    }
    std::sort(simulation.arrival_ns_samples.begin(), simulation.arrival_ns_samples.end());
    const double p99_us =
        simulation.arrival_ns_samples.empty()
            ? 0
            : simulation.arrival_ns_samples[simulation.arrival_ns_samples.size() * 99 / 100] / 1000;
    std::printf("%3d  %6ld  %3d  %7ld  %13zu  %6zu  %8lu  %6lu  %7lu  %6lu  %14.2f  %13.2f\n", day,
                ReadProcField("/proc/self/status", "VmRSS:"), CountOpenDescriptors(),
                ReadProcField("/proc/self/status", "Threads:"),
                simulation.balancers[0].Workers().size(), simulation.endpoints.size(),
                static_cast<unsigned long>(simulation.jobs - jobs_before),
                static_cast<unsigned long>(simulation.served - served_before),
                static_cast<unsigned long>(simulation.rejected - rejected_before),
                static_cast<unsigned long>(simulation.failed - failed_before),
                simulation.arrival_ns_total /
                    std::max<double>(1, static_cast<double>(simulation.arrival_count)) / 1000,
                p99_us);
    std::fflush(stdout);
  }
  return 0;
}
