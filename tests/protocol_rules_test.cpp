// The protocol's rules on final answers, retries and draining. They are checked after each event,
// in every order of a few events with two workers.
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <numeric>
#include <set>
#include <string>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {
namespace {

enum Step : int {
  kNonIdempotentArrives,
  kIdempotentArrives,
  kNonIdempotentAttemptEnds,
  kIdempotentAttemptEnds,
  kWorkerDrains,
  kTimePasses,
  kNonIdempotentCancelled
};
constexpr int kSteps = 7;

// A dispatcher whose actions are checked against the protocol's rules.
struct CheckedDispatcher {
  LoadBalancer balancer;
  std::multimap<double, std::uint64_t> timers;
  double now = 10;
  // Workers of the attempts of each request, in order.
  std::map<std::string, std::vector<std::string>> sent;
  // Attempts of each request that are in flight, and those that may have run.
  std::map<std::string, std::set<int>> in_flight, may_have_run;
  std::set<std::string> answered, cancelled, arrived;
  std::set<std::string> draining;
  std::string violation;  // the first violation, with the event that caused it

  explicit CheckedDispatcher(const Settings& settings) : balancer(settings, 3) {}

  void Violate(const std::string& cause) {
    if (violation.empty()) violation = cause;
  }
  void Handle(const Event& event, const std::string& cause) {
    Actions actions;
    balancer.Handle(now, event, &actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers.emplace(now + timer->after_s, timer->timer_id);
      if (const auto* send = std::get_if<SendAttempt>(&action)) {
        if (answered.contains(send->id)) Violate(cause + ": sent after its final answer");
        if (draining.contains(send->worker)) Violate(cause + ": sent to a draining worker");
        if (send->id == "non_idempotent" && !may_have_run[send->id].empty())
          Violate(cause + ": a non-idempotent request sent again");
        in_flight[send->id].insert(static_cast<int>(sent[send->id].size()));
        may_have_run[send->id].insert(static_cast<int>(sent[send->id].size()));
        sent[send->id].push_back(send->worker);
        if (sent[send->id].size() > 2) Violate(cause + ": more attempts than allowed");
      }
      const auto final_answer = [&](const std::string& id, bool rejected) {
        if (!answered.insert(id).second) Violate(cause + ": a second final answer");
        if (!arrived.contains(id)) Violate(cause + ": an answer for an unknown request");
        if (rejected && id == "non_idempotent" && !may_have_run[id].empty()) {
          Violate(cause + ": a request that may have run was rejected");
        }
      };
      if (const auto* reject = std::get_if<RejectRequest>(&action)) final_answer(reject->id, true);
      if (const auto* fail = std::get_if<FailRequest>(&action)) final_answer(fail->id, false);
      if (const auto* cancel = std::get_if<CancelAttempt>(&action)) {
        if (!in_flight[cancel->id].contains(cancel->attempt))
          Violate(cause + ": cancelled an attempt that is not in flight");
      }
    }
  }
  void Arrive(const std::string& id, int class_index) {
    arrived.insert(id);
    RequestArrived event;
    event.id = id;
    event.class_index = class_index;
    event.expires_s = now + 0.5;
    Handle(event, id + " arrives");
  }
  void EndAttempt(const std::string& id, AttemptStatus status) {
    if (in_flight[id].empty()) return;
    const int attempt = *in_flight[id].rbegin();
    in_flight[id].erase(attempt);
    AttemptEnded event;
    event.id = id;
    event.attempt = attempt;
    event.status = status;
    event.terminal = status == AttemptStatus::kSucceeded;
    if (status == AttemptStatus::kRejected || status == AttemptStatus::kConnectFailed)
      may_have_run[id].erase(attempt);
    // The attempt may succeed after the module's final answer: there must be no second one.
    if (event.terminal) answered.insert(id);
    Handle(event, id + " ends");
  }
  void AdvanceTime(double duration_s) {
    const double until = now + duration_s;
    while (!timers.empty() && timers.begin()->first <= until) {
      const auto [fires_at, timer_id] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, fires_at);
      Handle(TimerFired{timer_id}, "time passes");
    }
    now = until;
  }
};

Settings TwoClassSettings() {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].idempotency = Idempotency::kNotIdempotent;
  settings.classes[1].idempotency = Idempotency::kIdempotent;
  for (ClassSettings& class_settings : settings.classes)
    class_settings.latency_objective_s = 0.1, class_settings.client_timeout_s = 0.5;
  settings.tick_s = 0.005;
  settings.max_attempts = 2;
  settings.allow_hedging = settings.retry_after = true;
  settings.max_retry_after_s = 1;
  settings.drain_grace_s = 0.2;
  return settings;
}

// Tests all orders of the seven steps, with each way in which an attempt may end.
TEST(ProtocolRulesTest, HoldAfterEachEventInEveryOrder) {
  const std::array<AttemptStatus, 4> statuses{AttemptStatus::kSucceeded, AttemptStatus::kRejected,
                                              AttemptStatus::kConnectionLost,
                                              AttemptStatus::kServerError};
  std::array<int, kSteps> order{};
  std::size_t order_count = 0;
  for (const AttemptStatus status : statuses) {
    std::iota(order.begin(), order.end(), 0);
    do {
      CheckedDispatcher dispatcher(TwoClassSettings());
      dispatcher.Handle(DispatcherStarted{}, "start");
      std::vector<Endpoint> endpoints(2);
      endpoints[0].worker = "w0";
      endpoints[1].worker = "w1";
      endpoints[1].cell = 1;
      dispatcher.Handle(EndpointsUpdated{EndpointListKind::kSnapshot, &endpoints}, "list");
      for (const int step : order) {
        switch (step) {
          case kNonIdempotentArrives:
            dispatcher.Arrive("non_idempotent", 0);
            break;
          case kIdempotentArrives:
            dispatcher.Arrive("idempotent", 1);
            break;
          case kNonIdempotentAttemptEnds:
            dispatcher.EndAttempt("non_idempotent", status);
            break;
          case kIdempotentAttemptEnds:
            dispatcher.EndAttempt("idempotent", status);
            break;
          case kWorkerDrains:
            endpoints[0].readiness = Readiness::kDraining;
            dispatcher.draining.insert("w0");
            dispatcher.Handle(EndpointsUpdated{EndpointListKind::kSnapshot, &endpoints},
                              "w0 drains");
            break;
          case kTimePasses:  // past all deadlines: the caller ends the attempts in flight
            dispatcher.AdvanceTime(1.0);
            for (const std::string& id : dispatcher.arrived) {
              while (!dispatcher.answered.contains(id) && !dispatcher.in_flight[id].empty())
                dispatcher.EndAttempt(id, AttemptStatus::kNoResponse);
            }
            break;
          case kNonIdempotentCancelled:
            if (dispatcher.arrived.contains("non_idempotent") &&
                !dispatcher.cancelled.contains("non_idempotent")) {
              dispatcher.cancelled.insert("non_idempotent");
              dispatcher.Handle(RequestCancelled{"non_idempotent"}, "its client leaves");
            }
            break;
        }
        // After its deadline, with no attempt in flight, each request that was not cancelled must
        // have its final answer.
        if (step == kTimePasses) {
          for (const std::string& id : dispatcher.arrived) {
            if (!dispatcher.answered.contains(id) && !dispatcher.cancelled.contains(id))
              dispatcher.Violate(id + " left unanswered");
          }
        }
        ASSERT_TRUE(dispatcher.violation.empty())
            << dispatcher.violation << " (status " << static_cast<int>(status) << ", order "
            << ::testing::PrintToString(order) << ")";
      }
      ++order_count;
    } while (std::next_permutation(order.begin(), order.end()));
  }
  EXPECT_EQ(order_count, 4u * 5040u);
}

}  // namespace
}  // namespace millethollow::balancing
