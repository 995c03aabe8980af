// The protocol's rules on final answers, retries and draining, checked after each event of every
// order of a few events on two workers.
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

// A dispatcher whose actions are checked against the rules.
struct CheckedDispatcher {
  LoadBalancer balancer;
  std::multimap<double, std::uint64_t> timers;
  double now = 10;
  // By request: workers of its attempts, in order.
  std::map<std::string, std::vector<std::string>> sent;
  std::map<std::string, std::set<int>> open,
      ran;  // attempts in flight, and those that may have run
  std::set<std::string> answered, gone, arrived;
  std::set<std::string> drained;
  std::string violation;  // the first rule violated, with the event that broke it

  explicit CheckedDispatcher(const Settings& s) : balancer(s, 3) {}

  void Violate(const std::string& what) {
    if (violation.empty()) violation = what;
  }
  void Handle(const Event& e, const std::string& what) {
    Actions actions;
    balancer.Handle(now, e, &actions);
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<SetTimer>(&a)) timers.emplace(now + t->after_s, t->timer_id);
      if (const auto* s = std::get_if<SendAttempt>(&a)) {
        if (answered.contains(s->id)) Violate(what + ": sent after its final answer");
        if (drained.contains(s->worker)) Violate(what + ": sent to a draining worker");
        if (s->id == "non_idempotent" && !ran[s->id].empty())
          Violate(what + ": a non-idempotent request sent again");
        open[s->id].insert(static_cast<int>(sent[s->id].size()));
        ran[s->id].insert(static_cast<int>(sent[s->id].size()));
        sent[s->id].push_back(s->worker);
        if (sent[s->id].size() > 2) Violate(what + ": more attempts than allowed");
      }
      const auto final_answer = [&](const std::string& id, bool refused) {
        if (!answered.insert(id).second) Violate(what + ": a second final answer");
        if (!arrived.contains(id)) Violate(what + ": an answer for no job");
        if (refused && id == "non_idempotent" && !ran[id].empty()) {
          Violate(what + ": refused what may have run");
        }
      };
      if (const auto* r = std::get_if<RejectRequest>(&a)) final_answer(r->id, true);
      if (const auto* f = std::get_if<FailRequest>(&a)) final_answer(f->id, false);
      if (const auto* c = std::get_if<CancelAttempt>(&a)) {
        if (!open[c->id].contains(c->attempt))
          Violate(what + ": cancelled an attempt that is not in flight");
      }
    }
  }
  void Arrive(const std::string& id, int cls) {
    arrived.insert(id);
    RequestArrived e;
    e.id = id;
    e.cls = cls;
    e.expires_s = now + 0.5;
    Handle(e, id + " arrives");
  }
  void End(const std::string& id, AttemptStatus status) {
    if (open[id].empty()) return;
    const int attempt = *open[id].rbegin();
    open[id].erase(attempt);
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.status = status;
    e.terminal = status == AttemptStatus::kSucceeded;
    if (status == AttemptStatus::kRejected || status == AttemptStatus::kConnectFailed)
      ran[id].erase(attempt);
    // It may have succeeded after the module's final answer: there must be no other.
    if (e.terminal) answered.insert(id);
    Handle(e, id + " ends");
  }
  void AdvanceTime(double span) {
    const double until = now + span;
    while (!timers.empty() && timers.begin()->first <= until) {
      const auto [at, mark] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, at);
      Handle(TimerFired{mark}, "time passes");
    }
    now = until;
  }
};

Settings TwoClassSettings() {
  Settings s;
  s.classes.resize(2);
  s.classes[0].idempotency = Idempotency::kNotIdempotent;
  s.classes[1].idempotency = Idempotency::kIdempotent;
  for (ClassSettings& c : s.classes) c.latency_objective_s = 0.1, c.client_timeout_s = 0.5;
  s.tick_s = 0.005;
  s.max_attempts = 2;
  s.allow_hedging = s.retry_after = true;
  s.max_retry_after_s = 1;
  s.drain_grace_s = 0.2;
  return s;
}

// Each order of the seven steps, for each way that an attempt may end.
TEST(ProtocolRulesTest, HoldAfterEachEventInEveryOrder) {
  const std::array<AttemptStatus, 4> statuses{AttemptStatus::kSucceeded, AttemptStatus::kRejected,
                                              AttemptStatus::kConnectionLost,
                                              AttemptStatus::kServerError};
  std::array<int, kSteps> order{};
  std::size_t played = 0;
  for (const AttemptStatus status : statuses) {
    std::iota(order.begin(), order.end(), 0);
    do {
      CheckedDispatcher r(TwoClassSettings());
      r.Handle(DispatcherStarted{}, "start");
      std::vector<Endpoint> fleet(2);
      fleet[0].worker = "w0";
      fleet[1].worker = "w1";
      fleet[1].cell = 1;
      r.Handle(EndpointsUpdated{EndpointListKind::kSnapshot, &fleet}, "list");
      for (const int step : order) {
        switch (step) {
          case kNonIdempotentArrives:
            r.Arrive("non_idempotent", 0);
            break;
          case kIdempotentArrives:
            r.Arrive("idempotent", 1);
            break;
          case kNonIdempotentAttemptEnds:
            r.End("non_idempotent", status);
            break;
          case kIdempotentAttemptEnds:
            r.End("idempotent", status);
            break;
          case kWorkerDrains:
            fleet[0].readiness = Readiness::kDraining;
            r.drained.insert("w0");
            r.Handle(EndpointsUpdated{EndpointListKind::kSnapshot, &fleet}, "w0 drains");
            break;
          case kTimePasses:  // past all deadlines: the caller ends the attempts in flight
            r.AdvanceTime(1.0);
            for (const std::string& id : r.arrived) {
              while (!r.answered.contains(id) && !r.open[id].empty())
                r.End(id, AttemptStatus::kNoResponse);
            }
            break;
          case kNonIdempotentCancelled:
            if (r.arrived.contains("non_idempotent") && !r.gone.contains("non_idempotent")) {
              r.gone.insert("non_idempotent");
              r.Handle(RequestCancelled{"non_idempotent"}, "its client leaves");
            }
            break;
        }
        // After its deadline, with no attempt in flight, each request that was not cancelled has
        // its final answer.
        if (step == kTimePasses) {
          for (const std::string& id : r.arrived) {
            if (!r.answered.contains(id) && !r.gone.contains(id))
              r.Violate(id + " left unanswered");
          }
        }
        ASSERT_TRUE(r.violation.empty()) << r.violation << " (status " << static_cast<int>(status)
                                         << ", order " << ::testing::PrintToString(order) << ")";
      }
      ++played;
    } while (std::next_permutation(order.begin(), order.end()));
  }
  EXPECT_EQ(played, 4u * 5040u);
}

}  // namespace
}  // namespace millethollow::balancing
