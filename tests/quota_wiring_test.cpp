// Quota leases within a process: their messages, the section `quota` of the configuration, the
// rates that the load balancer is given, and the meter of demand.
#include <gtest/gtest.h>

#include <bit>
#include <cmath>
#include <limits>

#include "balancing/agreed_share.h"
#include "codec/membership.h"
#include "codec/quota.h"
#include "config/cluster.h"
#include "core/demand_meter.h"
#include "encoding/fields.h"
#include "net/cluster/frame.h"
#include "support/simulated_fleet.h"

namespace millethollow {
namespace {

using quota::Grant;
using quota::UsageReport;

quota::Message SampleReport() {
  return UsageReport{.epoch = 7,
                     .sequence = 21,
                     .full = true,
                     .usages = {{.tenant = 5,
                                 .demand_rps = 12.5,
                                 .lease_rps = 10,
                                 .lease_remaining_s = 1.25,
                                 .grant_number = 3},
                                {.tenant = 6,
                                 .demand_rps = 0,
                                 .lease_rps = 0,
                                 .lease_remaining_s = 0,
                                 .grant_number = 0}}};
}

quota::Message SampleGrant() {
  return Grant{.epoch = 7,
               .acked_sequence = 21,
               .request_full_report = true,
               .lease_duration_s = 3,
               .assignments = {{.tenant = 5, .rate_rps = 11.5, .grant_number = 4},
                               {.tenant = 6, .rate_rps = 0, .grant_number = 5}},
               .process_incarnation = 91};
}

// For comparisons by bits, because NaN is not equal to itself.
std::string Bytes(const quota::Message& message) { return codec::Encode(message); }

TEST(QuotaCodec, RoundTrips) {
  for (const quota::Message& message :
       {SampleReport(), SampleGrant(), quota::Message(UsageReport{}), quota::Message(Grant{})}) {
    const auto read = codec::DecodeQuota(codec::Encode(message));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(*read, message);
  }
}

TEST(QuotaCodec, PassesInvalidNumbersOnForTheAllocatorToReject) {
  for (const double invalid : {std::numeric_limits<double>::quiet_NaN(), -1.0, 1e300, HUGE_VAL}) {
    quota::Message report = SampleReport();
    std::get<UsageReport>(report).usages[0].demand_rps = invalid;
    const auto read = codec::DecodeQuota(codec::Encode(report));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(Bytes(*read), Bytes(report)) << invalid;
  }
}

TEST(QuotaCodec, RejectsMoreThanTheMaximumOfEntries) {
  UsageReport report;
  Grant grant;
  for (std::size_t i = 0; i < quota::kMaxEntries; ++i) {
    report.usages.push_back({.tenant = i + 1});
    grant.assignments.push_back({.tenant = i + 1});
  }
  EXPECT_EQ(codec::DecodeQuota(codec::Encode(report)), quota::Message(report));
  EXPECT_EQ(codec::DecodeQuota(codec::Encode(grant)), quota::Message(grant));
  report.usages.push_back({.tenant = 999});
  grant.assignments.push_back({.tenant = 999});
  EXPECT_EQ(codec::DecodeQuota(codec::Encode(report)), std::nullopt);
  EXPECT_EQ(codec::DecodeQuota(codec::Encode(grant)), std::nullopt);
}

TEST(QuotaCodec, SkipsUnknownFields) {
  for (const quota::Message& message : {SampleReport(), SampleGrant()}) {
    encoding::Writer extended;
    extended.Bytes(codec::Encode(message));
    extended.Number(200, std::uint64_t{5});
    extended.Text(201, std::string(300, 'x'));
    EXPECT_EQ(codec::DecodeQuota(extended.bytes()), message);
  }
}

// Bytes truncated within a field do not decode. Truncated between two fields they decode to a
// shorter message; the length and hash of the frame guard against that.
TEST(QuotaCodec, TruncatedAtAnyByteItIsNoneOrShorter) {
  for (const quota::Message& message : {SampleReport(), SampleGrant()}) {
    const std::string whole = codec::Encode(message);
    for (std::size_t n = 0; n < whole.size(); ++n) {
      const auto read = codec::DecodeQuota(whole.substr(0, n));
      if (read) {
        EXPECT_LT(codec::Encode(*read).size(), whole.size()) << n;
        EXPECT_NE(*read, message) << n;
      }
    }
  }
}

TEST(QuotaCodec, SurvivesRandomBytes) {
  membership::Random random(17);
  for (int i = 0; i < 40000; ++i) {
    std::string random_bytes = i % 4 == 0   ? codec::Encode(SampleReport())
                               : i % 4 == 1 ? codec::Encode(SampleGrant())
                                            : std::string(random.Below(120), '\0');
    for (char& c : random_bytes) {
      if (i % 4 >= 2 || random.Below(20) == 0) c = static_cast<char>(random.NextUint64());
    }
    const auto read = codec::DecodeQuota(random_bytes);
    if (!read) continue;
    if (const auto* report = std::get_if<UsageReport>(&*read)) {
      EXPECT_LE(report->usages.size(), quota::kMaxEntries);
    } else {
      EXPECT_LE(std::get<Grant>(*read).assignments.size(), quota::kMaxEntries);
    }
  }
}

TEST(QuotaFrame, RoundTripsAndRejectsTruncatedOrCorruptBytes) {
  std::uint64_t random_word = 1;
  for (const quota::Message& message : {SampleReport(), SampleGrant()}) {
    cluster::Header header;
    cluster::Body read;
    const std::string bytes = cluster::Encode(
        {.cluster = 1, .from = 2, .process_incarnation = 3, .sequence = 4}, message);
    ASSERT_EQ(cluster::Decode(bytes, &header, &read), cluster::DecodeError::kNone);
    EXPECT_EQ(std::get<quota::Message>(read), message);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      EXPECT_NE(cluster::Decode(bytes.substr(0, n), &header, &read), cluster::DecodeError::kNone)
          << n;
      std::string corrupt = bytes;
      corrupt[n] ^=
          static_cast<char>(1 + (random_word = random_word * 6364136223846793005ULL + 1) % 255);
      EXPECT_NE(cluster::Decode(corrupt, &header, &read), cluster::DecodeError::kNone) << n;
    }
  }
}

// A build that does not know a kind must skip that frame alone.
TEST(QuotaFrame, OfAnUnknownKindIsReportedAsSuch) {
  std::string bytes = cluster::Encode(
      {.cluster = 1, .from = 2, .process_incarnation = 3, .sequence = 4}, SampleReport());
  bytes[3] = 77;
  encoding::Writer hash;
  bytes.resize(bytes.size() - cluster::kHashBytes);
  hash.Raw(codec::Hash(bytes));
  cluster::Header header;
  cluster::Body read;
  EXPECT_EQ(cluster::Decode(bytes + hash.bytes(), &header, &read),
            cluster::DecodeError::kUnknownKind);
}

constexpr char kMembers[] = R"("members":[{"id":"a","address":"127.0.0.1:1","voter":true},
    {"id":"b","address":"127.0.0.1:2","voter":true},{"id":"c","address":"127.0.0.1:3","voter":true},
    {"id":"d","address":"127.0.0.1:4"}])";

ClusterOptions ReadSection(const std::string& section, std::string* error) {
  ClusterOptions options;
  const std::string text =
      R"({"cluster":{"name":"x","self":"a","store":"s",)" + section + kMembers + "}}";
  EXPECT_EQ(ReadCluster(text, &options, error), error->empty()) << text;
  return options;
}

TEST(QuotaSection, IsOffWhenAbsentAndVotersAllocateByDefault) {
  std::string error;
  EXPECT_FALSE(ReadSection("", &error).quota.on);
  const QuotaOptions defaults = ReadSection(R"("quota":{},)", &error).quota;
  EXPECT_EQ(error, "");
  EXPECT_TRUE(defaults.on);
  EXPECT_EQ(defaults.allocators, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_GT(defaults.timings.superseded_grant_s, 4.0 * 1.01)
      << "the membership lease, measured by the slower clock";
  EXPECT_LE(MaxSupersededLeaseS(defaults.timings) + defaults.timings.renew_interval_s,
            kMaxQuotaPropagationS);
  const QuotaOptions own = ReadSection(
                               R"("timings":{"lease_s":3,"drift":0.02},
         "quota":{"allocators":["d","b"],"span_s":2,"renew_s":0.5,"report_gap_s":0.05,"floor_part":0.1,
                  "hysteresis":0.2},)",
                               &error)
                               .quota;
  EXPECT_EQ(error, "");
  EXPECT_EQ(own.allocators, (std::vector<std::string>{"d", "b"}));
  EXPECT_EQ(own.timings.lease_duration_s, 2);
  EXPECT_EQ(own.timings.renew_interval_s, 0.5);
  EXPECT_EQ(own.timings.min_report_interval_s, 0.05);
  EXPECT_EQ(own.timings.floor_fraction, 0.1);
  EXPECT_EQ(own.timings.hysteresis, 0.2);
  EXPECT_EQ(own.timings.max_clock_drift, 0.02);
  EXPECT_GT(own.timings.superseded_grant_s, 3 * 1.02);
}

TEST(QuotaSection, ReportsEachMistakeInOneLine) {
  const std::pair<std::string, std::string> cases[] = {
      {R"("quota":7,)", "'cluster.quota' is not an object"},
      {R"("quota":null,)", "'cluster.quota' is not an object"},
      {R"("quota":{"spam_s":3},)", "unknown key 'cluster.quota.spam_s'"},
      {R"("quota":{"act_s":3},)", "unknown key 'cluster.quota.act_s'"},
      {R"("quota":{"allocators":"a"},)", "'cluster.quota.allocators' is not a list of 1 to"},
      {R"("quota":{"allocators":[]},)", "'cluster.quota.allocators' is not a list of 1 to"},
      {R"("quota":{"allocators":["a",2]},)", "'cluster.quota.allocators' is not a list of 1 to"},
      {R"("quota":{"allocators":["a","e"]},)", "'quota.allocators' names no member: 'e'"},
      {R"("quota":{"allocators":["a","b","a"]},)", "'quota.allocators' names 'a' twice"},
      {R"("quota":{"span_s":"3"},)", "'cluster.quota.span_s' is not a number from"},
      {R"("quota":{"span_s":0},)", "'cluster.quota.span_s' is not a number from"},
      {R"("quota":{"renew_s":0},)", "'cluster.quota.renew_s' is not a number from"},
      {R"("quota":{"report_gap_s":0},)", "'cluster.quota.report_gap_s' is not a number from"},
      {R"("quota":{"floor_part":0.6},)",
       "'cluster.quota.floor_part' is not a number from 0 to 0.5"},
      {R"("quota":{"floor_part":-0.1},)",
       "'cluster.quota.floor_part' is not a number from 0 to 0.5"},
      {R"("quota":{"hysteresis":0.6},)",
       "'cluster.quota.hysteresis' is not a number from 0 to 0.5"},
      {R"("quota":{"renew_s":1.1},)",
       "'quota.span_s' must be at least three times 'quota.renew_s'"},
      {R"("quota":{"report_gap_s":0.9},)", "'quota.report_gap_s' must not be over 'quota.renew_s'"},
      {R"("quota":{"span_s":5},)", "too long for a quota in force in 9 s"},
      {R"("timings":{"lease_s":6},"quota":{},)", "too long for a quota in force in 9 s"},
  };
  for (const auto& [section, expected] : cases) {
    std::string error = "?";
    ClusterOptions options;
    const std::string text =
        R"({"cluster":{"name":"x","self":"a","store":"s",)" + section + kMembers + "}}";
    EXPECT_FALSE(ReadCluster(text, &options, &error)) << text;
    EXPECT_NE(error.find(expected), std::string::npos) << error << " for " << section;
    EXPECT_EQ(error.find('\n'), std::string::npos);
    EXPECT_FALSE(options.on()) << "a section with a mistake must not be applied in part";
  }
}

TEST(TenantRates, TakeEffectAtOnceAndLeaveOtherTenantsUnchanged) {
  const std::vector<double> own{30, 30, 5, 1, 0};  // two tenants, then the other rates
  const std::vector<balancing::TenantSettings> tenants{{0.5, 100}, {0.5, 100}};
  balancing::AgreedShare unleased, leased;
  balancing::FleetShare parts{.share = 0.25, .member_count = 4, .epoch = 1};
  unleased.Set(parts);
  parts.tenant_rates_rps = {20, -1};
  leased.Set(parts);
  const std::vector<double> before = unleased.TierRates(0, 1, own, own, 0, false);
  std::vector<double> after = leased.TierRates(0, 1, own, own, 0, false);
  EXPECT_EQ(before, after);
  leased.ApplyTenantRates(own, tenants, &after);
  EXPECT_DOUBLE_EQ(after[0], 150) << "a quota of 100 admits 20 of 30";
  for (std::size_t i = 1; i < own.size(); ++i) EXPECT_EQ(before[i], after[i]) << i;
  parts.tenant_rates_rps = {30, -1};
  leased.Set(parts);
  leased.ApplyTenantRates(own, tenants, &after);
  EXPECT_DOUBLE_EQ(after[0], 100)
      << "all of it is admitted, and it counts as without leases, up to the quota";
  for (const double rate : {5.0, 60.0, 0.0}) {
    const double last = parts.tenant_rates_rps[0];
    parts.tenant_rates_rps[0] = rate;
    leased.Set(parts);
    EXPECT_DOUBLE_EQ(leased.Factor(0), rate / last);
    EXPECT_EQ(leased.Factor(1), 1);
    EXPECT_EQ(leased.Factor(7), 1);
  }
  leased.ApplyTenantRates(own, tenants, &after);
  EXPECT_TRUE(std::isfinite(after[0]));
}

TEST(TenantRates, ChangeNothingWhenEmpty) {
  const std::vector<double> own{30, 10, 5, 1, 0};
  balancing::AgreedShare part;
  part.Set({.share = 0.25, .member_count = 4, .epoch = 1});
  std::vector<double> fleet = part.TierRates(0, 1, own, own, 0, false);
  const std::vector<double> before = fleet;
  part.ApplyTenantRates(own, {{0.5, 100}, {0.5, 100}}, &fleet);
  EXPECT_EQ(fleet, before);
}

// Two dispatchers that receive the same load of two tenants, and workers whose capacity just
// suffices for the quotas.
struct TwoDispatchers {
  static constexpr double kQuotaRps = 60,
                          kOfferedRps = 45;  // of each tenant: in all, and at each dispatcher
  static constexpr int kWorkers = 6;

  explicit TwoDispatchers(std::vector<std::vector<double>> rates)
      : fleet(2, MakeSettings(), {}), tenant_rates(std::move(rates)) {
    for (int w = 0; w < kWorkers; ++w) fleet.AddWorker({2, 100}, 0);
    fleet.before_event = [this](std::size_t i) {
      fleet.dispatchers[i]->SetFleetShare(
          {.share = 0.5, .member_count = 2, .epoch = 1, .tenant_rates_rps = tenant_rates[i]});
    };
    fleet.now = 100;
    fleet.Start();
  }
  static balancing::Settings MakeSettings() {
    balancing::Settings s;
    s.classes.resize(1);
    s.classes[0] = {.latency_objective_s = 0.3, .client_timeout_s = 1};
    s.tenants.assign(2, {.share = 0.5, .quota_rps = kQuotaRps});
    ApplyPlatformSettings(&s);
    return s;
  }
  // Sends load for `span` seconds and sets admitted_rps: requests admitted a second, by dispatcher
  // and tenant.
  void RunLoad(double span) {
    for (auto& of : admitted_rps) std::fill(std::begin(of), std::end(of), 0.0);
    const double until = fleet.now + span;
    for (double at = fleet.now; at < until; at += 1 / (4 * kOfferedRps)) {
      fleet.Run(at);
      const int number = asked++ % 4;
      const auto node = static_cast<std::size_t>(number % 2);
      const int tenant = number / 2;
      const std::string id = fleet.SendRequest(node, 0, {1, 1 + 1e-6 * asked}, 0.1, 1, tenant);
      if (!fleet.requests.at(id).rejected) admitted_rps[node][tenant] += 1 / span;
    }
  }
  SimulatedFleet fleet;
  std::vector<std::vector<double>> tenant_rates;
  double admitted_rps[2][2] = {};
  int asked = 0;
};

TEST(TenantRates, LimitATenantAtEachDispatcherAndLeaveOthersUnchanged) {
  TwoDispatchers unleased({{}, {}}), leased({{50, -1}, {10, -1}});
  for (TwoDispatchers* dispatchers : {&unleased, &leased}) {
    dispatchers->RunLoad(20);
    dispatchers->RunLoad(10);
  }
  EXPECT_NEAR(unleased.admitted_rps[0][0], unleased.admitted_rps[1][0],
              0.15 * TwoDispatchers::kQuotaRps);
  EXPECT_LE(leased.admitted_rps[1][0], 10 * 1.1);
  EXPECT_GE(leased.admitted_rps[0][0], 0.9 * TwoDispatchers::kOfferedRps);
  EXPECT_NEAR(leased.admitted_rps[0][1], leased.admitted_rps[1][1],
              0.15 * TwoDispatchers::kQuotaRps);
  leased.tenant_rates = {{10, -1}, {50, -1}};
  leased.RunLoad(1);
  const double depth =
      2 + 0.5 * 10 + 2 * std::sqrt(10);  // the burst that the load balancer's token bucket allows
  EXPECT_LE(leased.admitted_rps[0][0], 10 + depth) << "a lower rate takes effect at once";
  leased.RunLoad(5);
  EXPECT_LE(leased.admitted_rps[0][0], 10 * 1.1);
  EXPECT_GE(leased.admitted_rps[1][0], 0.9 * TwoDispatchers::kOfferedRps) << "so does a higher one";
}

// A Poisson stream of requests of one tenant of two, sampled ten times a second as the quota lease
// manager does.
struct DemandStream {
  DemandMeter meter{2};
  membership::Random random{5};
  double now = 100, reported = 0;
  int changes = 0;  // samples that differ by more than a tenth from the last reported one
  void RunLoad(double rate, double span) {
    const double until = now + span;
    double next = rate > 0 ? now + NextInterval(rate) : HUGE_VAL;
    while (now < until) {
      now += 0.1;
      for (; next < now; next += NextInterval(rate)) meter.Count(next, 1);
      const double read = meter.Rates(now)[1];
      if (std::abs(read - reported) <= 0.1 * reported) continue;
      reported = read;
      ++changes;
    }
  }
  double NextInterval(double rate) { return -std::log(1 - random.Unit()) / rate; }
  double CurrentRate() { return meter.Rates(now)[1]; }
};

TEST(DemandMeter, IsSteadyUnderSteadyDemandAndFollowsChangesQuickly) {
  for (const double rate : {5.0, 30.0, 200.0}) {
    DemandStream stream;
    stream.RunLoad(rate, 20);
    stream.changes = 0;
    double sum = 0;
    for (int s = 0; s < 60; ++s) {
      stream.RunLoad(rate, 1);
      sum += stream.CurrentRate() / 60;
    }
    EXPECT_NEAR(sum, rate, 0.1 * rate);
    std::printf("%.0f/s: %d changes of a tenth or more in a minute\n", rate, stream.changes);
    EXPECT_LE(stream.changes, 180) << "of 600 samples, at " << rate;
    EXPECT_EQ(stream.meter.Rates(stream.now)[0], 0);
    stream.RunLoad(0, 2);
    EXPECT_LE(stream.CurrentRate(), std::max(0.6 * 5, 0.08 * rate)) << rate;
    stream.RunLoad(0, 20);
    EXPECT_LE(stream.CurrentRate(), 0.01);
    stream.RunLoad(rate, 2);
    EXPECT_GE(stream.CurrentRate(), 0.5 * rate);
  }
}

TEST(DemandMeter, IgnoresUnknownTenants) {
  DemandMeter meter(1);
  meter.Count(1, 1);
  meter.Count(1, static_cast<std::size_t>(-1));
  EXPECT_EQ(meter.Rates(1), std::vector<double>{0});
}

}  // namespace
}  // namespace millethollow
