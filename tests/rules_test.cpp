// Every order of a few events on a fleet of two, on the real module: each rule of the protocol is
// checked after each event. No clock, no bench; the same orders every time.
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

enum Step : int { kOnceArrives, kRepeatArrives, kOnceEnds, kRepeatEnds, kDrain, kTime, kOnceGone };
constexpr int kSteps = 7;

struct Rules {
  LoadBalancer balancer;
  std::multimap<double, std::uint64_t> timers;
  double now = 10;
  // By job: sends in order, whether an attempt may have run, the final answer if any.
  std::map<std::string, std::vector<std::string>> sent;
  std::map<std::string, std::set<int>> open, ran;  // attempts out, and those that may have run
  std::set<std::string> answered, gone, arrived;
  std::set<std::string> drained;
  std::string broken;  // the first rule broken, with the event that broke it

  Rules(const Settings& s) : balancer(s, 3) {}

  void Break(const std::string& what) {
    if (broken.empty()) broken = what;
  }
  void Do(const Event& e, const std::string& what) {
    Actions actions;
    balancer.Handle(now, e, &actions);
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<SetTimer>(&a)) timers.emplace(now + t->after_s, t->timer_id);
      if (const auto* s = std::get_if<SendAttempt>(&a)) {
        if (answered.contains(s->id)) Break(what + ": sent after its final answer");
        if (drained.contains(s->worker)) Break(what + ": sent to a draining worker");
        if (s->id == "once" && !ran[s->id].empty()) Break(what + ": once sent again");
        open[s->id].insert(static_cast<int>(sent[s->id].size()));
        ran[s->id].insert(static_cast<int>(sent[s->id].size()));
        sent[s->id].push_back(s->worker);
        if (sent[s->id].size() > 2) Break(what + ": more attempts than allowed");
      }
      const auto final_answer = [&](const std::string& id, bool refused) {
        if (!answered.insert(id).second) Break(what + ": a second final answer");
        if (!arrived.contains(id)) Break(what + ": an answer for no job");
        if (refused && id == "once" && !ran[id].empty()) {
          Break(what + ": refused what may have run");
        }
      };
      if (const auto* r = std::get_if<RejectRequest>(&a)) final_answer(r->id, true);
      if (const auto* f = std::get_if<FailRequest>(&a)) final_answer(f->id, false);
      if (const auto* c = std::get_if<CancelAttempt>(&a)) {
        if (!open[c->id].contains(c->attempt)) Break(what + ": called off what is not open");
      }
    }
  }
  void Arrive(const std::string& id, int cls) {
    arrived.insert(id);
    RequestArrived e;
    e.id = id;
    e.cls = cls;
    e.expires_s = now + 0.5;
    Do(e, id + " arrives");
  }
  void End(const std::string& id, AttemptStatus verdict) {
    if (open[id].empty()) return;
    const int attempt = *open[id].rbegin();
    open[id].erase(attempt);
    AttemptEnded e;
    e.id = id;
    e.attempt = attempt;
    e.status = verdict;
    e.terminal = verdict == AttemptStatus::kSucceeded;
    if (verdict == AttemptStatus::kRejected || verdict == AttemptStatus::kConnectFailed)
      ran[id].erase(attempt);
    // Served late, after the module had answered: the module must not answer again.
    if (e.terminal) answered.insert(id);
    Do(e, id + " ends");
  }
  void Pass(double span) {
    const double until = now + span;
    while (!timers.empty() && timers.begin()->first <= until) {
      const auto [at, mark] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, at);
      Do(TimerFired{mark}, "time passes");
    }
    now = until;
  }
};

Settings Pair() {
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
TEST(Rules, HoldAfterEveryEventInEveryOrder) {
  const std::array<AttemptStatus, 4> verdicts{AttemptStatus::kSucceeded, AttemptStatus::kRejected,
                                              AttemptStatus::kConnectionLost,
                                              AttemptStatus::kServerError};
  std::array<int, kSteps> order{};
  std::size_t played = 0;
  for (const AttemptStatus verdict : verdicts) {
    std::iota(order.begin(), order.end(), 0);
    do {
      Rules r(Pair());
      r.Do(DispatcherStarted{}, "start");
      std::vector<Endpoint> fleet(2);
      fleet[0].worker = "w0";
      fleet[1].worker = "w1";
      fleet[1].cell = 1;
      r.Do(EndpointsUpdated{EndpointListKind::kSnapshot, &fleet}, "list");
      for (const int step : order) {
        switch (step) {
          case kOnceArrives:
            r.Arrive("once", 0);
            break;
          case kRepeatArrives:
            r.Arrive("again", 1);
            break;
          case kOnceEnds:
            r.End("once", verdict);
            break;
          case kRepeatEnds:
            r.End("again", verdict);
            break;
          case kDrain:
            fleet[0].readiness = Readiness::kDraining;
            r.drained.insert("w0");
            r.Do(EndpointsUpdated{EndpointListKind::kSnapshot, &fleet}, "w0 drains");
            break;
          case kTime:  // past every job's time: the caller ends what is still out, as the ledger
                       // does
            r.Pass(1.0);
            for (const std::string& id : r.arrived) {
              while (!r.answered.contains(id) && !r.open[id].empty())
                r.End(id, AttemptStatus::kNoResponse);
            }
            break;
          case kOnceGone:
            if (r.arrived.contains("once") && !r.gone.contains("once")) {
              r.gone.insert("once");
              r.Do(RequestCancelled{"once"}, "once's client leaves");
            }
            break;
        }
        // No final answer is held back: once its time is over and nothing is out, every job that
        // a client still waits for has had one.
        if (step == kTime) {
          for (const std::string& id : r.arrived) {
            if (!r.answered.contains(id) && !r.gone.contains(id)) r.Break(id + " left unanswered");
          }
        }
        ASSERT_TRUE(r.broken.empty()) << r.broken << " (verdict " << static_cast<int>(verdict)
                                      << ", order " << ::testing::PrintToString(order) << ")";
      }
      ++played;
    } while (std::next_permutation(order.begin(), order.end()));
  }
  EXPECT_EQ(played, 4u * 5040u);
}

}  // namespace
}  // namespace millethollow::balancing
