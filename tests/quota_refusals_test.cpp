// Invalid reports and grants must change nothing: each is rejected as a whole and counted by its
// reason. Of two equal clusters one gets an invalid message; from then on both must have the same
// state and send the same messages.
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
constexpr NodeId kUnknownNode = 99;
constexpr std::uint64_t kEpoch = 5;
constexpr TenantId kUnknownTenant = 424242;
constexpr double kNaN = std::numeric_limits<double>::quiet_NaN();
constexpr double kInfinity = std::numeric_limits<double>::infinity();
constexpr double kInvalidNumbers[] = {kNaN, -1, kInfinity, -kInfinity, 2 * kMaxRateRps};

const std::vector<NodeId>& Dispatchers() {
  static const std::vector<NodeId> all = {kDispatcher, 2, 3, kSelf};
  return all;
}

AllocatorView ViewOf(std::uint64_t epoch) {
  return {.epoch = epoch, .allocators = {{kSelf, 100 + kSelf}, {kOtherAllocator, 111}}};
}

// Three tenants that kSelf allocates, and one that it does not.
struct Tenants {
  std::vector<TenantId> allocated;
  TenantId allocated_elsewhere = 0;
  Tenants() {
    const AllocatorView view = ViewOf(kEpoch);
    for (TenantId tenant = 1; allocated.size() < 3 || allocated_elsewhere == 0; ++tenant) {
      if (view.AllocatorOf(tenant)->id != kSelf)
        allocated_elsewhere = tenant;
      else if (allocated.size() < 3)
        allocated.push_back(tenant);
    }
  }
  std::vector<TenantQuota> Quotas() const {
    std::vector<TenantQuota> quotas;
    for (const TenantId tenant : allocated) quotas.push_back({tenant, 100});
    quotas.push_back({allocated_elsewhere, 100});
    return quotas;
  }
};

// Four dispatchers and the allocator kSelf, with immediate delivery of messages.
class DispatcherAndAllocator {
 public:
  DispatcherAndAllocator() : allocator_(kSelf, Dispatchers(), tenants_.Quotas(), timings_, now_) {
    for (const NodeId id : Dispatchers()) {
      holders_.emplace(
          id, LeaseHolder(IncarnationOf(id), Dispatchers().size(), tenants_.Quotas(), timings_));
    }
    allocator_.SetView(now_, ViewOf(kEpoch));
    for (auto& [id, holder] : holders_) holder.SetView(now_, ViewOf(kEpoch));
    holder().SetDemand(now_, 0, 30);
    holder().SetDemand(now_, 1, 150);
    holders_.at(2).SetDemand(now_, 1, 150);
    Run(4);
  }
  static ProcessIncarnation IncarnationOf(NodeId id) { return 100 + id; }

  LeaseHolder& holder() { return holders_.at(kDispatcher); }
  Allocator& allocator() { return allocator_; }
  double now() const { return now_; }
  TenantId tenant(std::size_t i) const { return tenants_.allocated[i]; }
  TenantId allocated_elsewhere() const { return tenants_.allocated_elsewhere; }

  // Runs for this time. Returns all messages that were sent.
  std::vector<Message> Run(double seconds) {
    constexpr double kStepSeconds = 0.05;
    std::vector<Message> messages;
    for (const double until = now_ + seconds; now_ < until; now_ += kStepSeconds)
      Exchange(&messages);
    return messages;
  }
  // What the public interface shows without changing it.
  std::vector<double> ObservableState() {
    std::vector<double> state = {holder().NextTickAt(), allocator_.NextTickAt(),
                                 static_cast<double>(holder().epoch()),
                                 static_cast<double>(allocator_.tenants_allocated())};
    for (const double later : {0.0, 0.5, 1.0, 2.0, 3.0, 4.0, 8.0}) {
      for (std::size_t i = 0; i < tenants_.Quotas().size(); ++i) {
        state.push_back(holder().AdmissibleRate(now_ + later, i));
        state.push_back(holder().LeaseRate(now_ + later, i));
        const TenantId tenant = tenants_.Quotas()[i].tenant;
        state.push_back(allocator_.ReservedRate(now_ + later, tenant));
        state.push_back(allocator_.IsTakingOver(now_ + later, tenant));
      }
    }
    return state;
  }
  // Valid messages that the dispatcher and the allocator may send next.
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
    return {.epoch = kEpoch,
            .acked_sequence = last_report_.sequence,
            .request_full_report = false,
            .lease_duration_s = timings_.lease_duration_s,
            .assignments = {{.tenant = tenant(0),
                             .rate_rps = 33,
                             .grant_number = last_grant_number_ + 1}},
            .process_incarnation = IncarnationOf(kDispatcher)};
  }
  const Grant& last_grant() const { return last_grant_; }

 private:
  void Exchange(std::vector<Message>* messages) {
    Actions actions;
    for (auto& [id, holder] : holders_) {
      actions.send.clear();
      holder.Tick(now_, &actions);
      for (const auto& [to, message] : actions.send) {
        messages->push_back(message);
        const auto& report = std::get<UsageReport>(message);
        if (to != kSelf) continue;
        if (id == kDispatcher) last_report_ = report;
        EXPECT_EQ(allocator_.OnUsageReport(now_, id, IncarnationOf(id), report),
                  RejectReason::kNone);
      }
    }
    actions.send.clear();
    allocator_.Tick(now_, true, &actions);
    for (const auto& [to, message] : actions.send) {
      messages->push_back(message);
      const auto& grant = std::get<Grant>(message);
      for (const Assignment& assignment : grant.assignments)
        last_grant_number_ = std::max(last_grant_number_, assignment.grant_number);
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
  std::uint64_t last_grant_number_ = 0;
};

using RejectionCounts = std::array<std::uint64_t, static_cast<std::size_t>(RejectReason::kCount)>;

// Exactly one more rejection, for this reason.
void ExpectCounted(const RejectionCounts& before, const RejectionCounts& after,
                   RejectReason reason) {
  for (std::size_t i = 0; i < after.size(); ++i) {
    const std::uint64_t added = i == static_cast<std::size_t>(reason) ? 1 : 0;
    EXPECT_EQ(after[i], before[i] + added) << "reason " << i;
  }
}

std::string ReasonText(RejectReason reason) {
  return "rejected for reason " + std::to_string(static_cast<int>(reason));
}

struct InvalidReport {
  std::string name;
  std::optional<RejectReason> expected_reason;  // absent: any
  std::function<void(const DispatcherAndAllocator&, UsageReport*)> alter;
  NodeId from = kDispatcher;
};
struct InvalidGrant {
  std::string name;
  std::optional<RejectReason> expected_reason;
  std::function<void(const DispatcherAndAllocator&, Grant*)> alter;
  NodeId from = kSelf;
};

std::vector<InvalidReport> InvalidReports() {
  std::vector<InvalidReport> invalid_reports = {
      {"earlier epoch", RejectReason::kStaleEpoch,
       [](const DispatcherAndAllocator&, UsageReport* report) { report->epoch -= 1; }},
      {"no epoch", RejectReason::kStaleEpoch,
       [](const DispatcherAndAllocator&, UsageReport* report) { report->epoch = 0; }},
      {"same sequence", RejectReason::kDuplicate,
       [](const DispatcherAndAllocator&, UsageReport* report) { report->sequence -= 1; }},
      {"first sequence", RejectReason::kDuplicate,
       [](const DispatcherAndAllocator&, UsageReport* report) { report->sequence = 1; }},
      {"unknown tenant", RejectReason::kUnknownTenant,
       [](const DispatcherAndAllocator&, UsageReport* report) {
         report->usages.push_back({.tenant = kUnknownTenant, .demand_rps = 1});
       }},
      {"tenant of another allocator", RejectReason::kNotAllocator,
       [](const DispatcherAndAllocator& sender, UsageReport* report) {
         report->usages.push_back({.tenant = sender.allocated_elsewhere(), .demand_rps = 1});
       }},
      {"too many entries", RejectReason::kTooLarge,
       [](const DispatcherAndAllocator&, UsageReport* report) {
         report->usages.resize(kMaxEntries + 1, report->usages[0]);
       }},
      {"by an unknown node", std::nullopt, [](const DispatcherAndAllocator&, UsageReport*) {},
       kUnknownNode},
  };
  for (const double invalid : kInvalidNumbers) {
    const std::string text = std::to_string(invalid);
    invalid_reports.push_back({"demand " + text, RejectReason::kInvalidNumber,
                               [invalid](const DispatcherAndAllocator&, UsageReport* report) {
                                 report->usages[0].demand_rps = invalid;
                               }});
    invalid_reports.push_back({"lease rate " + text, RejectReason::kInvalidNumber,
                               [invalid](const DispatcherAndAllocator&, UsageReport* report) {
                                 report->usages[0].lease_rps = invalid;
                               }});
    invalid_reports.push_back({"remaining time " + text, RejectReason::kInvalidNumber,
                               [invalid](const DispatcherAndAllocator&, UsageReport* report) {
                                 report->usages[0].lease_remaining_s = invalid;
                               }});
    invalid_reports.push_back(
        {"last entry's demand " + text, RejectReason::kInvalidNumber,
         [invalid](const DispatcherAndAllocator& sender, UsageReport* report) {
           report->usages.push_back({.tenant = sender.tenant(1), .demand_rps = invalid});
         }});
  }
  return invalid_reports;
}

std::vector<InvalidGrant> InvalidGrants() {
  std::vector<InvalidGrant> invalid_grants = {
      {"earlier epoch", RejectReason::kStaleEpoch,
       [](const DispatcherAndAllocator&, Grant* grant) { grant->epoch -= 1; }},
      {"no epoch", RejectReason::kStaleEpoch,
       [](const DispatcherAndAllocator&, Grant* grant) { grant->epoch = 0; }},
      {"the same again", RejectReason::kDuplicate,
       [](const DispatcherAndAllocator& sender, Grant* grant) { *grant = sender.last_grant(); }},
      {"acknowledges an earlier report", RejectReason::kDuplicate,
       [](const DispatcherAndAllocator&, Grant* grant) { grant->acked_sequence -= 1; }},
      {"acknowledges a report that was never sent", std::nullopt,
       [](const DispatcherAndAllocator&, Grant* grant) { grant->acked_sequence += 100; }},
      {"to an earlier process", RejectReason::kDuplicate,
       [](const DispatcherAndAllocator&, Grant* grant) { grant->process_incarnation += 1; }},
      {"unknown tenant", RejectReason::kUnknownTenant,
       [](const DispatcherAndAllocator&, Grant* grant) {
         grant->assignments.push_back({kUnknownTenant, 1, 1000});
       }},
      {"tenant of another allocator", RejectReason::kNotAllocator,
       [](const DispatcherAndAllocator& sender, Grant* grant) {
         grant->assignments.push_back({sender.allocated_elsewhere(), 1, 1000});
       }},
      {"too many entries", RejectReason::kTooLarge,
       [](const DispatcherAndAllocator&, Grant* grant) {
         grant->assignments.resize(kMaxEntries + 1, grant->assignments[0]);
       }},
      {"by the other allocator", RejectReason::kNotAllocator,
       [](const DispatcherAndAllocator&, Grant*) {}, kOtherAllocator},
      {"by an unknown node", RejectReason::kNotAllocator,
       [](const DispatcherAndAllocator&, Grant*) {}, kUnknownNode},
  };
  for (const double invalid : kInvalidNumbers) {
    const std::string text = std::to_string(invalid);
    invalid_grants.push_back({"rate " + text, RejectReason::kInvalidNumber,
                              [invalid](const DispatcherAndAllocator&, Grant* grant) {
                                grant->assignments[0].rate_rps = invalid;
                              }});
    invalid_grants.push_back({"last entry's rate " + text, RejectReason::kInvalidNumber,
                              [invalid](const DispatcherAndAllocator& sender, Grant* grant) {
                                grant->assignments.push_back({sender.tenant(1), invalid, 1000});
                              }});
    invalid_grants.push_back({"duration " + text, RejectReason::kInvalidNumber,
                              [invalid](const DispatcherAndAllocator&, Grant* grant) {
                                grant->lease_duration_s = invalid;
                              }});
  }
  return invalid_grants;
}

void ExpectSameBehavior(DispatcherAndAllocator* tested, DispatcherAndAllocator* control) {
  EXPECT_EQ(tested->ObservableState(), control->ObservableState());
  EXPECT_EQ(tested->Run(5), control->Run(5));
  EXPECT_EQ(tested->ObservableState(), control->ObservableState());
}

TEST(QuotaRejection, ValidMessagesAreAccepted) {
  DispatcherAndAllocator tested;
  EXPECT_FALSE(tested.allocator().IsTakingOver(tested.now(), tested.tenant(0)));
  EXPECT_GE(tested.holder().LeaseRate(tested.now(), 0), 29);
  EXPECT_GT(tested.holder().LeaseRate(tested.now(), 1), 40);
  // The messages that the other tests make invalid are valid.
  EXPECT_EQ(tested.allocator().OnUsageReport(tested.now(), kDispatcher,
                                             DispatcherAndAllocator::IncarnationOf(kDispatcher),
                                             tested.NextReport()),
            RejectReason::kNone);
  EXPECT_EQ(tested.holder().OnGrant(tested.now(), kSelf, tested.NextGrant()), RejectReason::kNone);
  EXPECT_EQ(tested.holder().LeaseRate(tested.now(), 0), 33);
}

TEST(QuotaRejection, InvalidReportsChangeNothingAndAreCounted) {
  for (const InvalidReport& test_case : InvalidReports()) {
    SCOPED_TRACE(test_case.name);
    DispatcherAndAllocator tested, control;
    UsageReport report = tested.NextReport();
    test_case.alter(tested, &report);
    const RejectionCounts before = tested.allocator().counters().rejected;
    const RejectReason reason = tested.allocator().OnUsageReport(
        tested.now(), test_case.from, DispatcherAndAllocator::IncarnationOf(test_case.from),
        report);
    EXPECT_NE(reason, RejectReason::kNone);
    if (test_case.expected_reason) {
      EXPECT_EQ(reason, *test_case.expected_reason) << ReasonText(reason);
    }
    ExpectCounted(before, tested.allocator().counters().rejected, reason);
    ExpectSameBehavior(&tested, &control);
  }
}

TEST(QuotaRejection, InvalidGrantsChangeNothingAndAreCounted) {
  for (const InvalidGrant& test_case : InvalidGrants()) {
    SCOPED_TRACE(test_case.name);
    DispatcherAndAllocator tested, control;
    Grant grant = tested.NextGrant();
    test_case.alter(tested, &grant);
    const RejectionCounts before = tested.holder().counters().rejected;
    const RejectReason reason = tested.holder().OnGrant(tested.now(), test_case.from, grant);
    EXPECT_NE(reason, RejectReason::kNone);
    if (test_case.expected_reason) {
      EXPECT_EQ(reason, *test_case.expected_reason) << ReasonText(reason);
    }
    ExpectCounted(before, tested.holder().counters().rejected, reason);
    ExpectSameBehavior(&tested, &control);
  }
}

// The allocator of a tenant may learn a view before the dispatcher does, or after it.
TEST(QuotaRejection, MessagesOfEarlierEpochsAreRejected) {
  DispatcherAndAllocator tested;
  tested.holder().SetView(tested.now(), ViewOf(kEpoch + 1));
  const RejectionCounts before = tested.holder().counters().rejected;
  EXPECT_EQ(tested.holder().OnGrant(tested.now(), kSelf, tested.NextGrant()),
            RejectReason::kStaleEpoch);
  ExpectCounted(before, tested.holder().counters().rejected, RejectReason::kStaleEpoch);
  tested.allocator().SetView(tested.now(), ViewOf(kEpoch + 2));
  EXPECT_EQ(tested.allocator().OnUsageReport(tested.now(), kDispatcher,
                                             DispatcherAndAllocator::IncarnationOf(kDispatcher),
                                             tested.NextReport()),
            RejectReason::kStaleEpoch);
}

// Replaces random fields of a message by random values, valid or not.
class MessageFuzzer {
 public:
  explicit MessageFuzzer(std::uint64_t seed) : random_(seed) {}
  double RandomNumber() {
    constexpr double kValues[] = {0,    1e-300, 1,   33,    1e8,  kMaxRateRps,
                                  -0.5, -1e9,   2e9, 1e300, kNaN, kInfinity};
    return kValues[random_.Below(std::size(kValues))];
  }
  std::uint64_t RandomInteger() {
    constexpr std::uint64_t kValues[] = {0, 1, kEpoch - 1, kEpoch, 60, 1ULL << 40, ~0ULL};
    return kValues[random_.Below(std::size(kValues))];
  }
  TenantId RandomTenant(const DispatcherAndAllocator& tested) {
    const TenantId tenants[] = {tested.tenant(0), tested.tenant(1), tested.tenant(2),
                                tested.allocated_elsewhere(), kUnknownTenant};
    return tenants[random_.Below(std::size(tenants))];
  }
  bool OneInFour() { return random_.Below(4) == 0; }
  NodeId RandomNode() {
    constexpr NodeId kValues[] = {kDispatcher, 2, kSelf, kOtherAllocator, kUnknownNode};
    return kValues[random_.Below(std::size(kValues))];
  }
  std::size_t RandomEntryCount() {
    return OneInFour() ? kMaxEntries + random_.Below(3) : random_.Below(4);
  }

  void Alter(const DispatcherAndAllocator& tested, UsageReport* report) {
    if (OneInFour()) report->epoch = std::min(RandomInteger(), kEpoch);
    if (OneInFour()) report->sequence = RandomInteger();
    if (OneInFour()) report->full = true;
    if (OneInFour()) report->usages.resize(RandomEntryCount());
    for (TenantUsage& usage : report->usages) {
      if (OneInFour()) usage.tenant = RandomTenant(tested);
      if (OneInFour()) usage.demand_rps = RandomNumber();
      if (OneInFour()) usage.lease_rps = RandomNumber();
      if (OneInFour()) usage.lease_remaining_s = RandomNumber();
      if (OneInFour()) usage.grant_number = RandomInteger();
    }
  }
  void Alter(const DispatcherAndAllocator& tested, Grant* grant) {
    if (OneInFour()) grant->epoch = std::min(RandomInteger(), kEpoch);
    if (OneInFour()) grant->acked_sequence = RandomInteger();
    if (OneInFour()) grant->process_incarnation = RandomInteger();
    if (OneInFour()) grant->request_full_report = true;
    if (OneInFour()) grant->lease_duration_s = RandomNumber();
    if (OneInFour()) grant->assignments.resize(RandomEntryCount());
    for (Assignment& assignment : grant->assignments) {
      if (OneInFour()) assignment.tenant = RandomTenant(tested);
      if (OneInFour()) assignment.rate_rps = RandomNumber();
      if (OneInFour()) assignment.grant_number = RandomInteger();
    }
  }

 private:
  Random random_;
};

std::uint64_t TotalRejections(const RejectionCounts& rejections) {
  return std::accumulate(rejections.begin(), rejections.end(), std::uint64_t{0});
}

// Accepted messages go to both clusters, rejected ones to one of them: their states stay equal.
TEST(QuotaRejection, RejectedFuzzedMessagesChangeNothing) {
  constexpr int kMessagesEach = 12;
  const std::uint64_t seeds = FromEnvironment("SEEDS", 200);
  std::uint64_t rejected_messages = 0, accepted_messages = 0;
  for (std::uint64_t seed = 1; seed <= seeds && !testing::Test::HasFailure(); ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    MessageFuzzer fuzzer(seed);
    DispatcherAndAllocator tested, control;
    for (int n = 0; n < kMessagesEach; ++n) {
      const NodeId from = fuzzer.RandomNode();
      UsageReport report = tested.NextReport();
      fuzzer.Alter(tested, &report);
      RejectionCounts before = tested.allocator().counters().rejected;
      RejectReason reason = tested.allocator().OnUsageReport(
          tested.now(), from, DispatcherAndAllocator::IncarnationOf(from), report);
      if (reason == RejectReason::kNone) {
        control.allocator().OnUsageReport(control.now(), from,
                                          DispatcherAndAllocator::IncarnationOf(from), report);
        accepted_messages += 1;
      } else {
        ExpectCounted(before, tested.allocator().counters().rejected, reason);
      }
      Grant grant = tested.NextGrant();
      fuzzer.Alter(tested, &grant);
      before = tested.holder().counters().rejected;
      reason = tested.holder().OnGrant(tested.now(), from, grant);
      if (reason == RejectReason::kNone) {
        control.holder().OnGrant(control.now(), from, grant);
        accepted_messages += 1;
      } else {
        ExpectCounted(before, tested.holder().counters().rejected, reason);
      }
      ASSERT_EQ(tested.ObservableState(), control.ObservableState());
    }
    rejected_messages += TotalRejections(tested.allocator().counters().rejected) +
                         TotalRejections(tested.holder().counters().rejected);
  }
  std::printf("%lu rejected, %lu accepted\n", rejected_messages, accepted_messages);
  EXPECT_GT(rejected_messages, accepted_messages);
  EXPECT_GT(accepted_messages, seeds / 10);
}

}  // namespace
}  // namespace millethollow::quota
