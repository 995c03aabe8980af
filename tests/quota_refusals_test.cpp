// Reports and grants that must change nothing: each is refused as a whole and counted by its cause.
// Two equal pairs of a dispatcher and an allocator live through the same; only one gets the bad
// message, and from then on both must do the same.
#include <gtest/gtest.h>

#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <numeric>
#include <optional>

#include "quota/allocator.h"
#include "quota/lease_holder.h"
#include "support/seeded_runs.h"

namespace millethollow::quota {
namespace {

using membership::Random;

constexpr NodeId kSelf = 10, kOtherAllocator = 11, kDispatcher = 1;
constexpr NodeId kStranger = 99;
constexpr std::uint64_t kEpoch = 5;
constexpr TenantId kUnknown = 424242;
constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kBadNumbers[] = {kNaN, -1, kInfinity, -kInfinity, 2 * kMaxRateRps};

const std::vector<NodeId>& Dispatchers() {
  static const std::vector<NodeId> all = {kDispatcher, 2, 3, kSelf};
  return all;
}

AllocatorView ViewOf(std::uint64_t epoch) {
  return {.epoch = epoch, .allocators = {{kSelf, 100 + kSelf}, {kOtherAllocator, 111}}};
}

// The first tenants that kSelf allocates, and one that it does not.
struct Tenants {
  std::vector<TenantId> here;
  TenantId elsewhere = 0;
  Tenants() {
    const AllocatorView view = ViewOf(kEpoch);
    for (TenantId tenant = 1; here.size() < 3 || elsewhere == 0; ++tenant) {
      if (view.AllocatorOf(tenant)->id != kSelf)
        elsewhere = tenant;
      else if (here.size() < 3)
        here.push_back(tenant);
    }
  }
  std::vector<TenantQuota> Quotas() const {
    std::vector<TenantQuota> quotas;
    for (const TenantId tenant : here) quotas.push_back({tenant, 100});
    quotas.push_back({elsewhere, 100});
    return quotas;
  }
};

// Four dispatchers and the allocator kSelf; messages arrive at once.
class Pair {
 public:
  Pair() : allocator_(kSelf, Dispatchers(), tenants_.Quotas(), timings_, now_) {
    for (const NodeId id : Dispatchers()) {
      holders_.emplace(id,
                       LeaseHolder(LifeOf(id), Dispatchers().size(), tenants_.Quotas(), timings_));
    }
    allocator_.SetView(now_, ViewOf(kEpoch));
    for (auto& [id, holder] : holders_) holder.SetView(now_, ViewOf(kEpoch));
    holder().SetDemand(now_, 0, 30);
    holder().SetDemand(now_, 1, 150);
    holders_.at(2).SetDemand(now_, 1, 150);
    Pass(4);
  }
  static ProcessIncarnation LifeOf(NodeId id) { return 100 + id; }

  LeaseHolder& holder() { return holders_.at(kDispatcher); }
  Allocator& allocator() { return allocator_; }
  double now() const { return now_; }
  TenantId tenant(std::size_t i) const { return tenants_.here[i]; }
  TenantId elsewhere() const { return tenants_.elsewhere; }

  // Time passes; returns all that was said, for comparison.
  std::vector<Message> Pass(double seconds) {
    constexpr double kStepSeconds = 0.05;
    std::vector<Message> said;
    for (const double until = now_ + seconds; now_ < until; now_ += kStepSeconds) Exchange(&said);
    return said;
  }
  // What can be seen from outside without a change.
  std::vector<double> Seen() {
    std::vector<double> seen = {holder().NextTickAt(), allocator_.NextTickAt(),
                                static_cast<double>(holder().epoch()),
                                static_cast<double>(allocator_.tenants_allocated())};
    for (const double later : {0.0, 0.5, 1.0, 2.0, 3.0, 4.0, 8.0}) {
      for (std::size_t i = 0; i < tenants_.Quotas().size(); ++i) {
        seen.push_back(holder().AdmissibleRate(now_ + later, i));
        seen.push_back(holder().LeaseRate(now_ + later, i));
        const TenantId tenant = tenants_.Quotas()[i].tenant;
        seen.push_back(allocator_.ReservedRate(now_ + later, tenant));
        seen.push_back(allocator_.IsTakingOver(now_ + later, tenant));
      }
    }
    return seen;
  }
  // What the dispatcher and the allocator may say next, well formed.
  UsageReport NextReport() const {
    UsageReport report{
        .epoch = kEpoch, .sequence = last_report_.sequence + 1, .full = false, .usages = {}};
    report.usages.push_back({.tenant = tenant(0),
                             .demand_rps = 60,
                             .lease_rps = 0,
                             .lease_remaining_s = 0,
                             .grant_number = 0});
    return report;
  }
  Grant NextGrant() const {
    return {
        .epoch = kEpoch,
        .acked_sequence = last_report_.sequence,
        .request_full_report = false,
        .lease_duration_s = timings_.lease_duration_s,
        .assignments = {{.tenant = tenant(0), .rate_rps = 33, .grant_number = last_number_ + 1}},
        .process_incarnation = LifeOf(kDispatcher)};
  }
  const Grant& last_grant() const { return last_grant_; }

 private:
  void Exchange(std::vector<Message>* said) {
    Actions actions;
    for (auto& [id, holder] : holders_) {
      actions.send.clear();
      holder.Tick(now_, &actions);
      for (const auto& [to, message] : actions.send) {
        said->push_back(message);
        const auto& report = std::get<UsageReport>(message);
        if (to != kSelf) continue;
        if (id == kDispatcher) last_report_ = report;
        EXPECT_EQ(allocator_.OnUsageReport(now_, id, LifeOf(id), report), RejectReason::kNone);
      }
    }
    actions.send.clear();
    allocator_.Tick(now_, true, &actions);
    for (const auto& [to, message] : actions.send) {
      said->push_back(message);
      const auto& grant = std::get<Grant>(message);
      for (const Assignment& a : grant.assignments)
        last_number_ = std::max(last_number_, a.grant_number);
      if (to == kDispatcher) last_grant_ = grant;
      EXPECT_EQ(holders_.at(to).OnGrant(now_, kSelf, grant), RejectReason::kNone);
    }
  }

  Tenants tenants_;
  LeaseTimings timings_;
  double now_ = 1000;
  Allocator allocator_;
  std::map<NodeId, LeaseHolder> holders_;
  UsageReport last_report_;
  Grant last_grant_;
  std::uint64_t last_number_ = 0;
};

using Refused = std::array<std::uint64_t, static_cast<std::size_t>(RejectReason::kCount)>;

// Exactly one more, of that cause.
void ExpectCounted(const Refused& before, const Refused& after, RejectReason cause) {
  for (std::size_t i = 0; i < after.size(); ++i) {
    const std::uint64_t more = i == static_cast<std::size_t>(cause) ? 1 : 0;
    EXPECT_EQ(after[i], before[i] + more) << "cause " << i;
  }
}

std::string Told(RejectReason refusal) {
  return "refusal " + std::to_string(static_cast<int>(refusal));
}

struct BadReport {
  std::string name;
  std::optional<RejectReason> cause;  // none: any
  std::function<void(const Pair&, UsageReport*)> spoil;
  NodeId from = kDispatcher;
};
struct BadGrant {
  std::string name;
  std::optional<RejectReason> cause;
  std::function<void(const Pair&, Grant*)> spoil;
  NodeId from = kSelf;
};

std::vector<BadReport> BadReports() {
  std::vector<BadReport> all = {
      {"earlier epoch", RejectReason::kStaleEpoch,
       [](const Pair&, UsageReport* r) { r->epoch -= 1; }},
      {"no epoch", RejectReason::kStaleEpoch, [](const Pair&, UsageReport* r) { r->epoch = 0; }},
      {"same sequence", RejectReason::kDuplicate,
       [](const Pair&, UsageReport* r) { r->sequence -= 1; }},
      {"first sequence", RejectReason::kDuplicate,
       [](const Pair&, UsageReport* r) { r->sequence = 1; }},
      {"unknown tenant", RejectReason::kUnknownTenant,
       [](const Pair&, UsageReport* r) {
         r->usages.push_back({.tenant = kUnknown, .demand_rps = 1});
       }},
      {"tenant of another allocator", RejectReason::kNotAllocator,
       [](const Pair& p, UsageReport* r) {
         r->usages.push_back({.tenant = p.elsewhere(), .demand_rps = 1});
       }},
      {"too many entries", RejectReason::kTooLarge,
       [](const Pair&, UsageReport* r) { r->usages.resize(kMaxEntries + 1, r->usages[0]); }},
      {"by a stranger", std::nullopt, [](const Pair&, UsageReport*) {}, kStranger},
  };
  for (const double bad : kBadNumbers) {
    const std::string text = std::to_string(bad);
    all.push_back({"demand " + text, RejectReason::kInvalidNumber,
                   [bad](const Pair&, UsageReport* r) { r->usages[0].demand_rps = bad; }});
    all.push_back({"held " + text, RejectReason::kInvalidNumber,
                   [bad](const Pair&, UsageReport* r) { r->usages[0].lease_rps = bad; }});
    all.push_back({"left " + text, RejectReason::kInvalidNumber,
                   [bad](const Pair&, UsageReport* r) { r->usages[0].lease_remaining_s = bad; }});
    all.push_back({"last entry's demand " + text, RejectReason::kInvalidNumber,
                   [bad](const Pair& p, UsageReport* r) {
                     r->usages.push_back({.tenant = p.tenant(1), .demand_rps = bad});
                   }});
  }
  return all;
}

std::vector<BadGrant> BadGrants() {
  std::vector<BadGrant> all = {
      {"earlier epoch", RejectReason::kStaleEpoch, [](const Pair&, Grant* g) { g->epoch -= 1; }},
      {"no epoch", RejectReason::kStaleEpoch, [](const Pair&, Grant* g) { g->epoch = 0; }},
      {"the same again", RejectReason::kDuplicate,
       [](const Pair& p, Grant* g) { *g = p.last_grant(); }},
      {"answers an earlier report", RejectReason::kDuplicate,
       [](const Pair&, Grant* g) { g->acked_sequence -= 1; }},
      {"answers a report that was never sent", std::nullopt,
       [](const Pair&, Grant* g) { g->acked_sequence += 100; }},
      {"to a former life", RejectReason::kDuplicate,
       [](const Pair&, Grant* g) { g->process_incarnation += 1; }},
      {"unknown tenant", RejectReason::kUnknownTenant,
       [](const Pair&, Grant* g) {
         g->assignments.push_back({kUnknown, 1, 1000});
       }},
      {"tenant of another allocator", RejectReason::kNotAllocator,
       [](const Pair& p, Grant* g) {
         g->assignments.push_back({p.elsewhere(), 1, 1000});
       }},
      {"too many entries", RejectReason::kTooLarge,
       [](const Pair&, Grant* g) { g->assignments.resize(kMaxEntries + 1, g->assignments[0]); }},
      {"by the other allocator", RejectReason::kNotAllocator, [](const Pair&, Grant*) {},
       kOtherAllocator},
      {"by a stranger", RejectReason::kNotAllocator, [](const Pair&, Grant*) {}, kStranger},
  };
  for (const double bad : kBadNumbers) {
    const std::string text = std::to_string(bad);
    all.push_back({"rate " + text, RejectReason::kInvalidNumber,
                   [bad](const Pair&, Grant* g) { g->assignments[0].rate_rps = bad; }});
    all.push_back(
        {"last entry's rate " + text, RejectReason::kInvalidNumber, [bad](const Pair& p, Grant* g) {
           g->assignments.push_back({p.tenant(1), bad, 1000});
         }});
    all.push_back({"span " + text, RejectReason::kInvalidNumber,
                   [bad](const Pair&, Grant* g) { g->lease_duration_s = bad; }});
  }
  return all;
}

void ExpectSameFromNowOn(Pair* one, Pair* other) {
  EXPECT_EQ(one->Seen(), other->Seen());
  EXPECT_EQ(one->Pass(5), other->Pass(5));
  EXPECT_EQ(one->Seen(), other->Seen());
}

TEST(QuotaRefusals, ThePairHoldsLeasesAtAll) {
  Pair pair;
  EXPECT_FALSE(pair.allocator().IsTakingOver(pair.now(), pair.tenant(0)));
  EXPECT_GE(pair.holder().LeaseRate(pair.now(), 0), 29);
  EXPECT_GT(pair.holder().LeaseRate(pair.now(), 1), 40);
  // The messages that are spoilt below are good ones.
  EXPECT_EQ(pair.allocator().OnUsageReport(pair.now(), kDispatcher, Pair::LifeOf(kDispatcher),
                                           pair.NextReport()),
            RejectReason::kNone);
  EXPECT_EQ(pair.holder().OnGrant(pair.now(), kSelf, pair.NextGrant()), RejectReason::kNone);
  EXPECT_EQ(pair.holder().LeaseRate(pair.now(), 0), 33);
}

TEST(QuotaRefusals, BadReportsChangeNothingAndAreCounted) {
  for (const BadReport& bad : BadReports()) {
    SCOPED_TRACE(bad.name);
    Pair one, other;
    UsageReport report = one.NextReport();
    bad.spoil(one, &report);
    const Refused before = one.allocator().counters().rejected;
    const RejectReason refusal =
        one.allocator().OnUsageReport(one.now(), bad.from, Pair::LifeOf(bad.from), report);
    EXPECT_NE(refusal, RejectReason::kNone);
    if (bad.cause) {
      EXPECT_EQ(refusal, *bad.cause) << Told(refusal);
    }
    ExpectCounted(before, one.allocator().counters().rejected, refusal);
    ExpectSameFromNowOn(&one, &other);
  }
}

TEST(QuotaRefusals, BadGrantsChangeNothingAndAreCounted) {
  for (const BadGrant& bad : BadGrants()) {
    SCOPED_TRACE(bad.name);
    Pair one, other;
    Grant grant = one.NextGrant();
    bad.spoil(one, &grant);
    const Refused before = one.holder().counters().rejected;
    const RejectReason refusal = one.holder().OnGrant(one.now(), bad.from, grant);
    EXPECT_NE(refusal, RejectReason::kNone);
    if (bad.cause) {
      EXPECT_EQ(refusal, *bad.cause) << Told(refusal);
    }
    ExpectCounted(before, one.holder().counters().rejected, refusal);
    ExpectSameFromNowOn(&one, &other);
  }
}

// The allocator of a tenant may know a view before the dispatcher does, or after it.
TEST(QuotaRefusals, WhoKnowsALaterEpochRefusesTheEarlierOne) {
  Pair pair;
  pair.holder().SetView(pair.now(), ViewOf(kEpoch + 1));
  const Refused before = pair.holder().counters().rejected;
  EXPECT_EQ(pair.holder().OnGrant(pair.now(), kSelf, pair.NextGrant()), RejectReason::kStaleEpoch);
  ExpectCounted(before, pair.holder().counters().rejected, RejectReason::kStaleEpoch);
  pair.allocator().SetView(pair.now(), ViewOf(kEpoch + 2));
  EXPECT_EQ(pair.allocator().OnUsageReport(pair.now(), kDispatcher, Pair::LifeOf(kDispatcher),
                                           pair.NextReport()),
            RejectReason::kStaleEpoch);
}

class Fuzz {
 public:
  explicit Fuzz(std::uint64_t seed) : random_(seed) {}
  double Number() {
    constexpr double kSome[] = {0,    1e-300, 1,   33,    1e8,  kMaxRateRps,
                                -0.5, -1e9,   2e9, 1e300, kNaN, kInfinity};
    return kSome[random_.Below(std::size(kSome))];
  }
  std::uint64_t Word() {
    constexpr std::uint64_t kSome[] = {0, 1, kEpoch - 1, kEpoch, 60, 1ULL << 40, ~0ULL};
    return kSome[random_.Below(std::size(kSome))];
  }
  TenantId Tenant(const Pair& pair) {
    const TenantId some[] = {pair.tenant(0), pair.tenant(1), pair.tenant(2), pair.elsewhere(),
                             kUnknown};
    return some[random_.Below(std::size(some))];
  }
  bool Rarely() { return random_.Below(4) == 0; }
  NodeId From() {
    constexpr NodeId kSome[] = {kDispatcher, 2, kSelf, kOtherAllocator, kStranger};
    return kSome[random_.Below(std::size(kSome))];
  }
  std::size_t Entries() { return Rarely() ? kMaxEntries + random_.Below(3) : random_.Below(4); }

  void Spoil(const Pair& pair, UsageReport* report) {
    if (Rarely()) report->epoch = std::min(Word(), kEpoch);
    if (Rarely()) report->sequence = Word();
    if (Rarely()) report->full = true;
    if (Rarely()) report->usages.resize(Entries());
    for (TenantUsage& usage : report->usages) {
      if (Rarely()) usage.tenant = Tenant(pair);
      if (Rarely()) usage.demand_rps = Number();
      if (Rarely()) usage.lease_rps = Number();
      if (Rarely()) usage.lease_remaining_s = Number();
      if (Rarely()) usage.grant_number = Word();
    }
  }
  void Spoil(const Pair& pair, Grant* grant) {
    if (Rarely()) grant->epoch = std::min(Word(), kEpoch);
    if (Rarely()) grant->acked_sequence = Word();
    if (Rarely()) grant->process_incarnation = Word();
    if (Rarely()) grant->request_full_report = true;
    if (Rarely()) grant->lease_duration_s = Number();
    if (Rarely()) grant->assignments.resize(Entries());
    for (Assignment& assignment : grant->assignments) {
      if (Rarely()) assignment.tenant = Tenant(pair);
      if (Rarely()) assignment.rate_rps = Number();
      if (Rarely()) assignment.grant_number = Word();
    }
  }

 private:
  Random random_;
};

std::uint64_t RefusedInAll(const Refused& refused) {
  return std::accumulate(refused.begin(), refused.end(), std::uint64_t{0});
}

// What is taken is told to both pairs, what is refused to one of them: they stay the same.
TEST(QuotaRefusals, FuzzedMessagesThatAreRefusedChangeNothing) {
  constexpr int kMessagesEach = 12;
  const std::uint64_t seeds = FromEnvironment("SEEDS", 200);
  std::uint64_t refused = 0, taken = 0;
  for (std::uint64_t seed = 1; seed <= seeds && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    Fuzz fuzz(seed);
    Pair one, other;
    for (int n = 0; n < kMessagesEach; ++n) {
      const NodeId from = fuzz.From();
      UsageReport report = one.NextReport();
      fuzz.Spoil(one, &report);
      Refused before = one.allocator().counters().rejected;
      RejectReason refusal =
          one.allocator().OnUsageReport(one.now(), from, Pair::LifeOf(from), report);
      if (refusal == RejectReason::kNone) {
        other.allocator().OnUsageReport(other.now(), from, Pair::LifeOf(from), report);
        taken += 1;
      } else {
        ExpectCounted(before, one.allocator().counters().rejected, refusal);
      }
      Grant grant = one.NextGrant();
      fuzz.Spoil(one, &grant);
      before = one.holder().counters().rejected;
      refusal = one.holder().OnGrant(one.now(), from, grant);
      if (refusal == RejectReason::kNone) {
        other.holder().OnGrant(other.now(), from, grant);
        taken += 1;
      } else {
        ExpectCounted(before, one.holder().counters().rejected, refusal);
      }
      ASSERT_EQ(one.Seen(), other.Seen());
    }
    refused += RefusedInAll(one.allocator().counters().rejected) +
               RefusedInAll(one.holder().counters().rejected);
  }
  std::printf("%lu refused, %lu taken\n", refused, taken);
  EXPECT_GT(refused, taken);
  EXPECT_GT(taken, seeds / 10);
}

}  // namespace
}  // namespace millethollow::quota
