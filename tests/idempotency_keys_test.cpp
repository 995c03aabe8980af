// Idempotency keys under seeded random faults: equal requests arrive at several members at once,
// while processes, links and stores fail. Guards against a second run at another worker within the
// window of the key; checked after each run. SEEDS sets the number of seeds.
#include <gtest/gtest.h>

#include "copies/idempotency_key_client.h"
#include "copies/idempotency_key_registry.h"
#include "support/replication_simulation.h"
#include "support/seeded_runs.h"

namespace millethollow::copies {
namespace {

// Injected faults: a check that does not find them proves nothing.
struct KeyFaults {
  bool sends_before_commit = false, forgets_attempts = false;
};

class KeySimulation {
 public:
  static constexpr double kWindowS = 25;

  explicit KeySimulation(std::uint64_t seed, KeyFaults injected = {})
      : injected_(injected),
        random_(seed * 131 + 7),
        faults_(seed * 7919 + 3),
        replication_(seed, 3 + seed % 3, {}),
        world_(replication_.world),
        nodes_(replication_.world.size()) {
    replication_.observer = {
        .on_start = [this](std::size_t i) { Start(i); },
        .on_kill = [this](std::size_t i) { nodes_[i] = {}; },
        .on_acquired =
            [this](std::size_t i, LogId log, const std::vector<Operation>& entries) {
              nodes_[i].registry->OnLogAcquired(world_.now(), log, entries);
            },
        .on_released =
            [this](std::size_t i, LogId log) {
              if (nodes_[i].registry) nodes_[i].registry->OnLogReleased(log);
            },
        .on_committed =
            [this](std::size_t i, LogId log, SequenceNumber sequence) {
              if (nodes_[i].registry) nodes_[i].registry->OnCommitted(log, sequence);
            }};
    world_.StartAll();
    world_.RunUntil(8);
    double fault_at = 8;
    while (world_.now() < 45 && world_.violations().empty()) {
      if (world_.now() >= fault_at) {
        fault_at += 3 * faults_.Unit();
        const std::size_t i = faults_.Below(world_.size());
        const auto kind = faults_.Below(8);
        if (kind == 0 && replication_.CanLoseStore(i)) replication_.LoseStore(i);
        if (kind == 1) replication_.SetWriteLatency(i, faults_.Below(2) == 0 ? 0.2 : 0.002);
        if (kind > 1) world_.InjectRandomFault(&faults_, 8);
      }
      SendRequest();
      world_.RunUntil(world_.now() + 0.02 + 0.06 * random_.Unit());
    }
    world_.Heal();
    world_.StartAll();
    for (std::size_t i = 0; i < world_.size(); ++i) replication_.SetWriteLatency(i, 0.002);
    world_.RunUntil(world_.now() + 10);  // paused processes resume
    for (const double until = world_.now() + 60;
         !replication_.Converged(3) && world_.now() < until;) {
      world_.RunUntil(world_.now() + 0.5);
    }
    world_.RunUntil(world_.now() + 5);
    // After recovery a request with a new key runs and is answered, at whichever member it arrives.
    const std::size_t before = answered_after_recovery_;
    for (int k = 0; k < 30; ++k) {
      ClaimAt(random_.Below(world_.size()), "last" + std::to_string(k), true);
      world_.RunUntil(world_.now() + 0.05);
    }
    world_.RunUntil(world_.now() + 3);
    if (world_.violations().empty() && answered_after_recovery_ + 3 < before + 30)
      world_.ReportViolation("requests fail after recovery");
  }
  const std::vector<std::string>& broken() const { return world_.violations(); }
  std::size_t claims = 0, granted = 0, repeated_answers = 0, rejected = 0, runs = 0, reruns = 0,
              abandoned = 0;

 private:
  struct Node {
    std::unique_ptr<IdempotencyKeyRegistry> registry;
    std::unique_ptr<IdempotencyKeyClient> client;
  };
  struct ObservedKey {
    std::string worker;
    std::set<std::string> answers;
    double first_at = -1, answered_at = -1;
  };

  void Start(std::size_t i) {
    const membership::ProcessIncarnation process_incarnation =
        world_.node(i).options.process_incarnation;
    nodes_[i].registry = std::make_unique<IdempotencyKeyRegistry>(
        IdempotencyKeyRegistry::Limits{},
        IdempotencyKeyRegistry::Hooks{
            .append =
                [this, i](LogId log, const std::string& key, const std::string& value, bool erase,
                          ReplicatedLogs::AppendError* error) {
                  return replication_.AppendOperation(i, log, key, value, erase, error);
                },
            .max_age_s =
                [this, i](LogId log, SequenceNumber sequence) {
                  return replication_.LogsOf(i)->MaxAge(world_.now(), log, sequence);
                },
            .alive =
                [this, i](const ClaimId& claim) {
                  const auto* member = world_.ViewOf(i).Find(claim.node);
                  return member != nullptr &&
                         member->process_incarnation == claim.process_incarnation;
                },
            .send = [this, i](NodeId to,
                              const IdempotencyMessage& message) { Deliver(i, to, message); }});
    nodes_[i].client = std::make_unique<IdempotencyKeyClient>(
        i + 1, process_incarnation,
        IdempotencyKeyClient::Hooks{
            .owner = [this, i](LogId log) -> NodeId {
              const LogAssignment* assignment =
                  world_.HoldsLease(i) ? world_.ViewOf(i).Log(log) : nullptr;
              return assignment == nullptr || assignment->process_incarnation == 0
                         ? 0
                         : assignment->owner;
            },
            .send = [this, i](NodeId to,
                              const IdempotencyMessage& message) { Deliver(i, to, message); }});
    TickLoop(i);
  }
  void Deliver(std::size_t from, NodeId to, const IdempotencyMessage& message) {
    const auto receive = [this, from, receiver = to - 1, message] {
      if (!nodes_[receiver].registry) return;
      if (message.ToOwner()) {
        // The receiver checks its lease first, as the process does.
        if (!replication_.MayAct(receiver, message.log)) return;
        nodes_[receiver].registry->OnMessage(world_.now(), from + 1, message);
      } else {
        nodes_[receiver].client->OnMessage(message);
      }
    };
    if (to == from + 1) return world_.Schedule(world_.now(), from, receive);
    world_.Transmit(from, to - 1, receive);
  }
  void TickLoop(std::size_t i) {
    if (!nodes_[i].registry) return;
    const View& view = world_.ViewOf(i);
    for (LogId k = 1; k <= kKeyLogs; ++k) {
      const LogId log = k << 8 | static_cast<LogId>(LogKind::kKeys);
      if (world_.HoldsLease(i) && view.Log(log) == nullptr && PreferredOpener(log, view) == i + 1)
        replication_.Open(i, log);
    }
    nodes_[i].client->Tick(world_.now());
    replication_.MayAct(i, 0);  // applies the view
    nodes_[i].registry->Tick(world_.now());
    world_.Schedule(world_.now() + 0.05, i, [this, i] { TickLoop(i); });
  }
  // Sends a request to one or several members, in a quarter of the cases with an earlier key.
  void SendRequest() {
    const std::string key =
        "k" + std::to_string(random_.Below(4) == 0 ? random_.Below(key_count_ + 1) : key_count_++);
    const std::size_t at = random_.Below(world_.size());
    for (std::size_t n = 0; n < 1 + random_.Below(3); ++n)
      ClaimAt((at + n) % world_.size(), key, false);
  }
  void ClaimAt(std::size_t i, const std::string& key, bool must_answer) {
    if (!world_.IsRunning(i) || !nodes_[i].client) return;
    claims += 1;
    auto number = std::make_shared<std::uint64_t>(0);
    const auto on_result = [this, i, key, number,
                            must_answer](const IdempotencyKeyClient::Result& claim_result) {
      using Kind = IdempotencyKeyClient::Result::Kind;
      if (claim_result.kind == Kind::kRejected) {
        rejected += 1;
      } else if (claim_result.kind == Kind::kAnswered) {
        repeated_answers += 1;
        if (!histories_[key].answers.contains(claim_result.result))
          world_.ReportViolation(key + " is answered with the answer to another request");
      } else {
        granted += 1;
        // The number of the claim is known once Claim has returned.
        world_.Schedule(world_.now(), i, [this, i, key, number, claim_result, must_answer] {
          RunClaim(i, key, *number, claim_result, must_answer);
        });
      }
    };
    *number = nodes_[i].client->Claim(world_.now(), key, kWindowS, on_result);
  }
  void RunClaim(std::size_t i, const std::string& key, std::uint64_t number,
                const IdempotencyKeyClient::Result& claim_result, bool must_answer) {
    if (!nodes_[i].client) return;
    std::string worker = "w" + std::to_string(random_.Below(4));
    std::vector<std::string> ran_at;
    double age = -1e9;
    for (std::size_t n = 0; n < claim_result.attempts.size() && !injected_.forgets_attempts; ++n) {
      ran_at.push_back(claim_result.attempts[n].worker);
      age = std::max(age, claim_result.ages_s[n]);
      worker = claim_result.attempts[0].worker;
    }
    const auto send = [this, i, key, number, worker, ran_at, age, from = world_.now(),
                       must_answer](bool allowed) {
      if (!nodes_[i].client) return;
      // Immediately before sending: is this process still in the view?
      if (!allowed || !world_.HoldsLease(i) || age + world_.now() - from > kWindowS) {
        abandoned += !ran_at.empty();
        return nodes_[i].client->Release(world_.now(), number, false, "", ran_at);
      }
      ExecuteAtWorker(key, worker);
      std::vector<std::string> ran_at_now = ran_at;
      ran_at_now.push_back(worker);
      const bool answered = must_answer || random_.Below(5) > 0;
      world_.Schedule(world_.now() + 0.3 * random_.Unit(), i,
                      [this, i, key, number, answered, ran_at_now, must_answer] {
                        if (!nodes_[i].client) return;
                        std::string result = key + "@" + std::to_string(++last_result_);
                        if (answered) histories_[key].answers.insert(result);
                        answered_after_recovery_ += must_answer;
                        nodes_[i].client->Release(world_.now(), number, answered, result,
                                                  ran_at_now);
                      });
    };
    if (injected_.sends_before_commit) return send(true);
    nodes_[i].client->RequestAttempt(world_.now(), number, worker, false, send);
  }
  void ExecuteAtWorker(const std::string& key, const std::string& worker) {
    ObservedKey& history = histories_[key];
    runs += 1;
    if (history.first_at >= 0 && world_.now() - history.first_at < kWindowS) {
      reruns += 1;
      if (worker != history.worker)
        world_.ReportViolation(key + " ran at " + history.worker + " and at " + worker);
    } else {  // the first run, or one after the window, which counts as a new request
      history.worker = worker;
      history.first_at = world_.now();
    }
  }

  const KeyFaults injected_;
  Random random_, faults_;
  ReplicationSimulation replication_;
  MembershipSimulation& world_;
  std::vector<Node> nodes_;
  std::map<std::string, ObservedKey> histories_;
  std::size_t key_count_ = 0, last_result_ = 0, answered_after_recovery_ = 0;
};

TEST(IdempotencyKeySimulation, NoRequestRunsAtAnotherWorkerWithinItsWindow) {
  std::size_t claims = 0, granted = 0, repeated_answers = 0, rejected = 0, runs = 0, reruns = 0,
              abandoned = 0;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  for (std::uint64_t seed = from; seed <= std::max(from, FromEnvironment("SEEDS", 8)); ++seed) {
    const KeySimulation simulation(seed);
    const auto broken = simulation.broken();
    ASSERT_TRUE(broken.empty()) << "seed " << seed << " " << (broken.empty() ? "" : broken[0]);
    claims += simulation.claims, granted += simulation.granted,
        repeated_answers += simulation.repeated_answers, rejected += simulation.rejected;
    runs += simulation.runs, reruns += simulation.reruns, abandoned += simulation.abandoned;
  }
  std::printf(
      "%zu claims, %zu granted, %zu answered from an earlier run, %zu rejected, %zu runs, %zu of "
      "them "
      "reruns, %zu abandoned\n",
      claims, granted, repeated_answers, rejected, runs, reruns, abandoned);
  EXPECT_GT(repeated_answers, 20U);
  EXPECT_GT(reruns, 1U);
}

TEST(IdempotencyKeySimulation, FindsInjectedFaults) {
  const KeyFaults injected[] = {{.sends_before_commit = true}, {.forgets_attempts = true}};
  for (const KeyFaults& fault : injected) {
    EXPECT_NE(FirstFailingSeed(
                  200, [&](std::uint64_t seed) { return KeySimulation(seed, fault).broken(); }),
              0U);
  }
}

}  // namespace
}  // namespace millethollow::copies
