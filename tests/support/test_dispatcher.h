// A test driver of one dispatcher's balancer: passes it events one by one, on a virtual clock.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_TEST_DISPATCHER_H_
#define MILLETHOLLOW_TESTS_SUPPORT_TEST_DISPATCHER_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

// Settings with three classes: 0 is idempotent, 1 idempotent with a key within a cell, 2 not
// idempotent.
inline Settings TestSettings() {
  Settings settings;
  settings.classes.resize(3);
  settings.classes[0].idempotency = Idempotency::kIdempotent;
  settings.classes[1].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[1].deduplication_scope = DeduplicationScope::kCell;
  settings.classes[1].deduplication_window_s = 4;
  settings.classes[2].idempotency = Idempotency::kNotIdempotent;
  for (ClassSettings& class_settings : settings.classes) {
    class_settings.latency_objective_s = 0.2;
    class_settings.client_timeout_s = 5;
  }
  settings.tick_s = 0.005;
  settings.max_attempts = 4;
  settings.allow_hedging = true;
  settings.slow_start_min_share = 0.1;
  settings.slow_start_s = 20;
  settings.drain_grace_s = 0.5;
  settings.slow_start_load_multiple = 3;
  settings.overload_for_s = 3;
  return settings;
}

// Returns endpoints of workers w0, w1, ..., two in each cell.
inline std::vector<Endpoint> MakeEndpoints(int count) {
  std::vector<Endpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    Endpoint endpoint;
    endpoint.worker = "w" + std::to_string(i);
    endpoint.cell = i / 2;
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

// Returns the actions of type T.
template <typename T>
std::vector<T> ActionsOf(const Actions& actions) {
  std::vector<T> found;
  for (const Action& action : actions) {
    if (const T* typed = std::get_if<T>(&action)) found.push_back(*typed);
  }
  return found;
}

// Fires the timers that the balancer sets, and records its actions. Fails the test if an attempt is
// sent after the request's final answer, or if a request gets two final answers.
class TestDispatcher {
 public:
  explicit TestDispatcher(const Settings& settings, std::uint64_t seed = 7)
      : balancer_(settings, seed) {
    Handle(DispatcherStarted{});
  }

  // Passes an event to the balancer, and returns the resulting actions.
  Actions Handle(const Event& event) {
    Actions actions;
    balancer_.Handle(now, event, &actions);
    for (const SetTimer& timer : ActionsOf<SetTimer>(actions)) {
      timers_.emplace(now + timer.after_s, timer.timer_id);
    }
    for (const SendAttempt& send : ActionsOf<SendAttempt>(actions)) {
      attempts[send.id].push_back(send.worker);
      EXPECT_FALSE(final_answers.contains(send.id)) << "sent after its final answer";
    }
    for (const RejectRequest& reject : ActionsOf<RejectRequest>(actions))
      Answer(reject.id, "rejected");
    for (const FailRequest& fail : ActionsOf<FailRequest>(actions)) Answer(fail.id, "failed");
    return actions;
  }
  Actions UpdateEndpoints(const std::vector<Endpoint>& endpoints,
                          EndpointListKind kind = EndpointListKind::kSnapshot) {
    return Handle(EndpointsUpdated{kind, &endpoints});
  }
  Actions SendRequest(const std::string& id, int class_index = 0, int tenant = 0,
                      double timeout_s = 5) {
    RequestArrived event;
    event.id = id;
    event.class_index = class_index;
    event.tenant = tenant;
    event.expires_s = now + timeout_s;
    return Handle(event);
  }
  Actions EndAttempt(const std::string& id, int attempt, AttemptStatus status,
                     bool terminal = false) {
    AttemptEnded event;
    event.id = id;
    event.attempt = attempt;
    event.status = status;
    event.terminal = terminal || status == AttemptStatus::kSucceeded;
    if (event.terminal) final_answers[id] = "served";
    return Handle(event);
  }
  // Reports that the worker has started the attempt.
  Actions ReportStart(const std::string& id, int attempt) {
    return Handle(AttemptProgress{id, attempt, ProgressKind::kStarted, 0});
  }
  // Ends all attempts of a request with the status `status_of(worker index)`, including attempts
  // that are sent meanwhile.
  template <typename StatusOf>
  void EndAllAttempts(const std::string& id, StatusOf status_of) {
    for (std::size_t attempt = 0; attempt < attempts[id].size(); ++attempt) {
      EndAttempt(id, static_cast<int>(attempt),
                 status_of(std::stoi(attempts[id][attempt].substr(1))));
    }
  }
  // Advances the clock and fires the timers that are due. Returns all resulting actions.
  Actions AdvanceTime(double duration_s) {
    Actions all;
    const double until = now + duration_s;
    while (!timers_.empty() && timers_.begin()->first <= until) {
      const auto [at, timer_id] = *timers_.begin();
      timers_.erase(timers_.begin());
      now = std::max(now, at);
      const Actions actions = Handle(TimerFired{timer_id});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    now = until;
    return all;
  }
  std::vector<WorkerView> Workers() const { return balancer_.Workers(); }

  double now = 100;                                          // seconds
  std::map<std::string, std::vector<std::string>> attempts;  // workers of the attempts, by request
  std::map<std::string, std::string> final_answers;          // by request

 private:
  void Answer(const std::string& id, const std::string& answer) {
    EXPECT_TRUE(final_answers.emplace(id, answer).second) << id << " answered twice";
  }

  LoadBalancer balancer_;
  std::multimap<double, std::uint64_t> timers_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_TESTS_SUPPORT_TEST_DISPATCHER_H_
