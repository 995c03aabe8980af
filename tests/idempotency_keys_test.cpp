// Days of keys from seeds: the same charges at several members at once, while processes, links and
// disks break. After each run: it never ran elsewhere within its window. SEEDS plays more days.
#include <gtest/gtest.h>

#include "copies/idempotency_key_client.h"
#include "copies/idempotency_key_registry.h"
#include "support/days.h"
#include "support/replication_simulation.h"

namespace millethollow::copies {
namespace {

struct KeyFaults {  // planted
  bool sent_before_written = false, forgets_what_was_tried = false;
};

class KeyDay {
 public:
  static constexpr double kWindowS = 25;

  explicit KeyDay(std::uint64_t seed, KeyFaults planted = {})
      : planted_(planted),
        random_(seed * 131 + 7),
        faults_(seed * 7919 + 3),
        copies_(seed, 3 + seed % 3, {}),
        world_(copies_.world),
        nodes_(copies_.world.size()) {
    copies_.ledger = {.start = [this](std::size_t i) { Start(i); },
                      .kill = [this](std::size_t i) { nodes_[i] = {}; },
                      .begun =
                          [this](std::size_t i, LogId log, const std::vector<Operation>& e) {
                            nodes_[i].ledger->OnLogAcquired(world_.now(), log, e);
                          },
                      .ended =
                          [this](std::size_t i, LogId log) {
                            if (nodes_[i].ledger) nodes_[i].ledger->OnLogReleased(log);
                          },
                      .kept =
                          [this](std::size_t i, LogId log, SequenceNumber sequence) {
                            if (nodes_[i].ledger) nodes_[i].ledger->OnCommitted(log, sequence);
                          }};
    world_.StartAll();
    world_.RunUntil(8);
    double fault_at = 8;
    while (world_.now() < 45 && world_.broken().empty()) {
      if (world_.now() >= fault_at) {
        fault_at += 3 * faults_.Unit();
        const std::size_t i = faults_.Below(world_.size());
        const auto kind = faults_.Below(8);
        if (kind == 0 && copies_.MayLose(i)) copies_.Wipe(i);
        if (kind == 1) copies_.Slow(i, faults_.Below(2) == 0 ? 0.2 : 0.002);
        if (kind > 1) world_.Fault(&faults_, 8);
      }
      Ask();
      world_.RunUntil(world_.now() + 0.02 + 0.06 * random_.Unit());
    }
    world_.Heal();
    world_.StartAll();
    for (std::size_t i = 0; i < world_.size(); ++i) copies_.Slow(i, 0.002);
    world_.RunUntil(world_.now() + 10);  // who was stopped goes on
    for (const double until = world_.now() + 60; !copies_.Whole(3) && world_.now() < until;) {
      world_.RunUntil(world_.now() + 0.5);
    }
    world_.RunUntil(world_.now() + 5);
    // All well: a new key is run and answered, wherever it comes in.
    const std::size_t before = fresh_;
    for (int k = 0; k < 30; ++k) {
      AskAt(random_.Below(world_.size()), "last" + std::to_string(k), true);
      world_.RunUntil(world_.now() + 0.05);
    }
    world_.RunUntil(world_.now() + 3);
    if (world_.broken().empty() && fresh_ + 3 < before + 30)
      world_.Broken("not all is well in the end");
  }
  const std::vector<std::string>& broken() const { return world_.broken(); }
  std::size_t asked = 0, went = 0, repeated = 0, refused = 0, runs = 0, again = 0, unsure = 0;

 private:
  struct Node {
    std::unique_ptr<IdempotencyKeyRegistry> ledger;
    std::unique_ptr<IdempotencyKeyClient> claims;
  };
  struct Truth {
    std::string worker;
    std::set<std::string> answers;
    double first_at = -1, answered_at = -1;
  };

  void Start(std::size_t i) {
    const membership::ProcessIncarnation process_incarnation =
        world_.node(i).options.process_incarnation;
    nodes_[i].ledger = std::make_unique<IdempotencyKeyRegistry>(
        IdempotencyKeyRegistry::Limits{},
        IdempotencyKeyRegistry::Hooks{
            .append =
                [this, i](LogId log, const std::string& key, const std::string& value, bool erase,
                          ReplicatedLogs::AppendError* error) {
                  return copies_.Put(i, log, key, value, erase, error);
                },
            .max_age_s =
                [this, i](LogId log, SequenceNumber sequence) {
                  return copies_.At(i)->MaxAge(world_.now(), log, sequence);
                },
            .alive =
                [this, i](const ClaimId& c) {
                  const auto* member = world_.ViewOf(i).Find(c.node);
                  return member != nullptr && member->process_incarnation == c.process_incarnation;
                },
            .send = [this, i](NodeId to,
                              const IdempotencyMessage& message) { Carry(i, to, message); }});
    nodes_[i].claims = std::make_unique<IdempotencyKeyClient>(
        i + 1, process_incarnation,
        IdempotencyKeyClient::Hooks{
            .owner = [this, i](LogId log) -> NodeId {
              const LogAssignment* place = world_.Leased(i) ? world_.ViewOf(i).Log(log) : nullptr;
              return place == nullptr || place->process_incarnation == 0 ? 0 : place->owner;
            },
            .send = [this, i](NodeId to,
                              const IdempotencyMessage& message) { Carry(i, to, message); }});
    Beat(i);
  }
  void Carry(std::size_t from, NodeId to, const IdempotencyMessage& message) {
    const auto hear = [this, from, at = to - 1, message] {
      if (!nodes_[at].ledger) return;
      if (message.ToOwner()) {
        // Whoever hears looks at its lease first, as the process does.
        if (!copies_.Acts(at, message.log)) return;
        nodes_[at].ledger->OnMessage(world_.now(), from + 1, message);
      } else {
        nodes_[at].claims->OnMessage(message);
      }
    };
    if (to == from + 1) return world_.At(world_.now(), from, hear);
    world_.Carry(from, to - 1, hear);
  }
  void Beat(std::size_t i) {
    if (!nodes_[i].ledger) return;
    const View& view = world_.ViewOf(i);
    for (LogId k = 1; k <= kKeyLogs; ++k) {
      const LogId log = k << 8 | static_cast<LogId>(LogKind::kKeys);
      if (world_.Leased(i) && view.Log(log) == nullptr && PreferredOpener(log, view) == i + 1)
        copies_.Open(i, log);
    }
    nodes_[i].claims->Tick(world_.now());
    copies_.Acts(i, 0);  // the view is looked at first
    nodes_[i].ledger->Tick(world_.now());
    world_.At(world_.now() + 0.05, i, [this, i] { Beat(i); });
  }
  // A charge, at one member or at several; often one that came before.
  void Ask() {
    const std::string key =
        "k" + std::to_string(random_.Below(4) == 0 ? random_.Below(keys_ + 1) : keys_++);
    const std::size_t at = random_.Below(world_.size());
    for (std::size_t n = 0; n < 1 + random_.Below(3); ++n)
      AskAt((at + n) % world_.size(), key, false);
  }
  void AskAt(std::size_t i, const std::string& key, bool fresh) {
    if (!world_.Runs(i) || !nodes_[i].claims) return;
    asked += 1;
    auto number = std::make_shared<std::uint64_t>(0);
    const auto then = [this, i, key, number, fresh](const IdempotencyKeyClient::Result& r) {
      using Kind = IdempotencyKeyClient::Result::Kind;
      if (r.kind == Kind::kRejected) {
        refused += 1;
      } else if (r.kind == Kind::kAnswered) {
        repeated += 1;
        if (!truth_[key].answers.contains(r.result))
          world_.Broken(key + " is answered with another's answer");
      } else {
        went += 1;
        // The number is known once the call has returned.
        world_.At(world_.now(), i,
                  [this, i, key, number, r, fresh] { Go(i, key, *number, r, fresh); });
      }
    };
    *number = nodes_[i].claims->Claim(world_.now(), key, kWindowS, then);
  }
  void Go(std::size_t i, const std::string& key, std::uint64_t number,
          const IdempotencyKeyClient::Result& r, bool fresh) {
    if (!nodes_[i].claims) return;
    std::string worker = "w" + std::to_string(random_.Below(4));
    std::vector<std::string> ran_at;
    double age = -1e9;
    for (std::size_t t = 0; t < r.attempts.size() && !planted_.forgets_what_was_tried; ++t) {
      ran_at.push_back(r.attempts[t].worker);
      age = std::max(age, r.ages_s[t]);
      worker = r.attempts[0].worker;
    }
    const auto go = [this, i, key, number, worker, ran_at, age, from = world_.now(),
                     fresh](bool may) {
      if (!nodes_[i].claims) return;
      // Right before it goes out: is this process still in the view?
      if (!may || !world_.Leased(i) || age + world_.now() - from > kWindowS) {
        unsure += !ran_at.empty();
        return nodes_[i].claims->Release(world_.now(), number, false, "", ran_at);
      }
      Work(key, worker);
      std::vector<std::string> now_ran = ran_at;
      now_ran.push_back(worker);
      const bool served = fresh || random_.Below(5) > 0;
      world_.At(world_.now() + 0.3 * random_.Unit(), i,
                [this, i, key, number, served, now_ran, fresh] {
                  if (!nodes_[i].claims) return;
                  std::string result = key + "@" + std::to_string(++results_);
                  if (served) truth_[key].answers.insert(result);
                  fresh_ += fresh;
                  nodes_[i].claims->Release(world_.now(), number, served, result, now_ran);
                });
    };
    if (planted_.sent_before_written) return go(true);
    nodes_[i].claims->RequestAttempt(world_.now(), number, worker, false, go);
  }
  void Work(const std::string& key, const std::string& worker) {
    Truth& t = truth_[key];
    runs += 1;
    if (t.first_at >= 0 && world_.now() - t.first_at < kWindowS) {
      again += 1;
      if (worker != t.worker) world_.Broken(key + " ran at " + t.worker + " and at " + worker);
    } else {  // the first, or after its window: another charge
      t.worker = worker;
      t.first_at = world_.now();
    }
  }

  const KeyFaults planted_;
  Random random_, faults_;
  ReplicationSimulation copies_;
  World& world_;
  std::vector<Node> nodes_;
  std::map<std::string, Truth> truth_;
  std::size_t keys_ = 0, results_ = 0, fresh_ = 0;
};

TEST(KeyDays, NoChargeRunsElsewhereWithinItsWindow) {
  std::size_t asked = 0, went = 0, repeated = 0, refused = 0, runs = 0, again = 0, unsure = 0;
  const std::uint64_t from = FromEnvironment("SEED", 1);
  for (std::uint64_t seed = from; seed <= std::max(from, FromEnvironment("SEEDS", 8)); ++seed) {
    const KeyDay day(seed);
    const auto broken = day.broken();
    ASSERT_TRUE(broken.empty()) << "seed " << seed << " " << (broken.empty() ? "" : broken[0]);
    asked += day.asked, went += day.went, repeated += day.repeated, refused += day.refused;
    runs += day.runs, again += day.again, unsure += day.unsure;
  }
  std::printf(
      "%zu asked, %zu went, %zu got the answer of one before, %zu refused, %zu runs, %zu of them "
      "again, %zu given up\n",
      asked, went, repeated, refused, runs, again, unsure);
  EXPECT_GT(repeated, 20U);
  EXPECT_GT(again, 1U);
}

TEST(KeyDays, FindPlantedFaults) {
  const KeyFaults planted[] = {{.sent_before_written = true}, {.forgets_what_was_tried = true}};
  for (const KeyFaults& fault : planted) {
    EXPECT_NE(FirstSeed(200, [&](std::uint64_t seed) { return KeyDay(seed, fault).broken(); }), 0U);
  }
}

}  // namespace
}  // namespace millethollow::copies
