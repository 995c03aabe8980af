// Quota leases on their way through the process: frames, the section of the configuration, and the
// rates that the decision module is given.
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

quota::Message AReport() {
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

quota::Message AGrant() {
  return Grant{.epoch = 7,
               .acked_sequence = 21,
               .request_full_report = true,
               .lease_duration_s = 3,
               .assignments = {{.tenant = 5, .rate_rps = 11.5, .grant_number = 4},
                               {.tenant = 6, .rate_rps = 0, .grant_number = 5}},
               .process_incarnation = 91};
}

// Equal by bits: what is not a number is not equal to itself.
std::string Bytes(const quota::Message& message) { return codec::Encode(message); }

TEST(QuotaCodec, IsReadAsItWasWritten) {
  for (const quota::Message& message :
       {AReport(), AGrant(), quota::Message(UsageReport{}), quota::Message(Grant{})}) {
    const auto read = codec::DecodeQuota(codec::Encode(message));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(*read, message);
  }
}

TEST(QuotaCodec, NumbersThatMakeNoSenseComeThroughForTheMechanismToRefuse) {
  for (const double odd : {std::numeric_limits<double>::quiet_NaN(), -1.0, 1e300, HUGE_VAL}) {
    quota::Message report = AReport();
    std::get<UsageReport>(report).usages[0].demand_rps = odd;
    const auto read = codec::DecodeQuota(codec::Encode(report));
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(Bytes(*read), Bytes(report)) << odd;
  }
}

TEST(QuotaCodec, AsManyEntriesAsAllowedAndNotOneMore) {
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

TEST(QuotaCodec, FieldsOfALaterBuildAreSkipped) {
  for (const quota::Message& message : {AReport(), AGrant()}) {
    encoding::Writer more;
    more.Bytes(codec::Encode(message));
    more.Number(200, std::uint64_t{5});
    more.Text(201, std::string(300, 'x'));
    EXPECT_EQ(codec::DecodeQuota(more.bytes()), message);
  }
}

// A cut in the midst of a field is none; one between two fields is a shorter message, which the
// frame's hash and length keep out.
TEST(QuotaCodec, CutAtAnyByteItIsNoneOrShorter) {
  for (const quota::Message& message : {AReport(), AGrant()}) {
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

TEST(QuotaCodec, GarbageIsOutlived) {
  membership::Random random(17);
  for (int i = 0; i < 40000; ++i) {
    std::string noise = i % 4 == 0   ? codec::Encode(AReport())
                        : i % 4 == 1 ? codec::Encode(AGrant())
                                     : std::string(random.Below(120), '\0');
    for (char& c : noise) {
      if (i % 4 >= 2 || random.Below(20) == 0) c = static_cast<char>(random.NextUint64());
    }
    const auto read = codec::DecodeQuota(noise);
    if (!read) continue;
    if (const auto* report = std::get_if<UsageReport>(&*read)) {
      EXPECT_LE(report->usages.size(), quota::kMaxEntries);
    } else {
      EXPECT_LE(std::get<Grant>(*read).assignments.size(), quota::kMaxEntries);
    }
  }
}

TEST(QuotaFrame, IsReadAsItWasWrittenAndNotWhereItIsCutOrAByteIsOff) {
  std::uint64_t word = 1;
  for (const quota::Message& message : {AReport(), AGrant()}) {
    cluster::Header header;
    cluster::Body read;
    const std::string bytes =
        cluster::Encode({.cluster = 1, .from = 2, .process_incarnation = 3, .number = 4}, message);
    ASSERT_EQ(cluster::Decode(bytes, &header, &read), cluster::Fault::kNone);
    EXPECT_EQ(std::get<quota::Message>(read), message);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
      EXPECT_NE(cluster::Decode(bytes.substr(0, n), &header, &read), cluster::Fault::kNone) << n;
      std::string off = bytes;
      off[n] ^= static_cast<char>(1 + (word = word * 6364136223846793005ULL + 1) % 255);
      EXPECT_NE(cluster::Decode(off, &header, &read), cluster::Fault::kNone) << n;
    }
  }
}

// A build that does not know the kind skips just that frame.
TEST(QuotaFrame, OfAKindThatIsNotKnownIsSkipped) {
  std::string bytes =
      cluster::Encode({.cluster = 1, .from = 2, .process_incarnation = 3, .number = 4}, AReport());
  bytes[3] = 77;
  encoding::Writer hash;
  bytes.resize(bytes.size() - cluster::kHashBytes);
  hash.Raw(codec::Hash(bytes));
  cluster::Header header;
  cluster::Body read;
  EXPECT_EQ(cluster::Decode(bytes + hash.bytes(), &header, &read), cluster::Fault::kUnknownKind);
}

constexpr char kMembers[] = R"("members":[{"id":"a","address":"127.0.0.1:1","voter":true},
    {"id":"b","address":"127.0.0.1:2","voter":true},{"id":"c","address":"127.0.0.1:3","voter":true},
    {"id":"d","address":"127.0.0.1:4"}])";

ClusterOptions ReadSection(const std::string& more, std::string* why) {
  ClusterOptions options;
  const std::string text =
      R"({"cluster":{"name":"x","self":"a","store":"s",)" + more + kMembers + "}}";
  EXPECT_EQ(ReadCluster(text, &options, why), why->empty()) << text;
  return options;
}

TEST(QuotaSection, IsOffWhereItIsAbsentAndAllocatedByTheVotersWhereItNamesNone) {
  std::string why;
  EXPECT_FALSE(ReadSection("", &why).quota.on);
  const QuotaOptions usual = ReadSection(R"("quota":{},)", &why).quota;
  EXPECT_EQ(why, "");
  EXPECT_TRUE(usual.on);
  EXPECT_EQ(usual.allocators, (std::vector<std::string>{"a", "b", "c"}));
  EXPECT_GT(usual.timings.superseded_grant_s, 4.0 * 1.01)
      << "the lease of membership, by the slower clock";
  EXPECT_LE(MaxSupersededLeaseS(usual.timings) + usual.timings.renew_interval_s,
            kMaxQuotaPropagationS);
  const QuotaOptions own = ReadSection(
                               R"("timings":{"lease_s":3,"drift":0.02},
         "quota":{"allocators":["d","b"],"span_s":2,"renew_s":0.5,"report_gap_s":0.05,"floor_part":0.1,
                  "hysteresis":0.2},)",
                               &why)
                               .quota;
  EXPECT_EQ(why, "");
  EXPECT_EQ(own.allocators, (std::vector<std::string>{"d", "b"}));
  EXPECT_EQ(own.timings.lease_duration_s, 2);
  EXPECT_EQ(own.timings.renew_interval_s, 0.5);
  EXPECT_EQ(own.timings.min_report_interval_s, 0.05);
  EXPECT_EQ(own.timings.floor_fraction, 0.1);
  EXPECT_EQ(own.timings.hysteresis, 0.2);
  EXPECT_EQ(own.timings.max_clock_drift, 0.02);
  EXPECT_GT(own.timings.superseded_grant_s, 3 * 1.02);
}

TEST(QuotaSection, EachMistakeIsOneClearLine) {
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
  for (const auto& [section, wanted] : cases) {
    std::string why = "?";
    ClusterOptions options;
    const std::string text =
        R"({"cluster":{"name":"x","self":"a","store":"s",)" + section + kMembers + "}}";
    EXPECT_FALSE(ReadCluster(text, &options, &why)) << text;
    EXPECT_NE(why.find(wanted), std::string::npos) << why << " for " << section;
    EXPECT_EQ(why.find('\n'), std::string::npos);
    EXPECT_FALSE(options.on()) << "nothing is taken in part";
  }
}

TEST(TenantRates, BindAtOnceBothWaysAndLeaveOthersAsTheyWere) {
  const std::vector<double> own{30, 30, 5, 1, 0};  // two tenants, then sends and the like
  const std::vector<balancing::TenantSettings> tenants{{0.5, 100}, {0.5, 100}};
  balancing::AgreedShare plain, given;
  balancing::FleetShare parts{.share = 0.25, .member_count = 4, .epoch = 1};
  plain.Set(parts);
  parts.tenant_rates_rps = {20, -1};
  given.Set(parts);
  const std::vector<double> before = plain.TierRates(0, 1, own, own, 0, false);
  std::vector<double> after = given.TierRates(0, 1, own, own, 0, false);
  EXPECT_EQ(before, after);
  given.ApplyTenantRates(own, tenants, &after);
  EXPECT_DOUBLE_EQ(after[0], 150) << "of 30 the quota of 100 is to let in 20";
  for (std::size_t i = 1; i < own.size(); ++i) EXPECT_EQ(before[i], after[i]) << i;
  parts.tenant_rates_rps = {30, -1};
  given.Set(parts);
  given.ApplyTenantRates(own, tenants, &after);
  EXPECT_DOUBLE_EQ(after[0], 100)
      << "all of it is let in, and it counts as today's part has it, up to the quota";
  for (const double rate : {5.0, 60.0, 0.0}) {
    const double last = parts.tenant_rates_rps[0];
    parts.tenant_rates_rps[0] = rate;
    given.Set(parts);
    EXPECT_DOUBLE_EQ(given.Factor(0), rate / last);
    EXPECT_EQ(given.Factor(1), 1);
    EXPECT_EQ(given.Factor(7), 1);
  }
  given.ApplyTenantRates(own, tenants, &after);
  EXPECT_TRUE(std::isfinite(after[0]));
}

TEST(TenantRates, NoneGivenChangeNothing) {
  const std::vector<double> own{30, 10, 5, 1, 0};
  balancing::AgreedShare part;
  part.Set({.share = 0.25, .member_count = 4, .epoch = 1});
  std::vector<double> fleet = part.TierRates(0, 1, own, own, 0, false);
  const std::vector<double> before = fleet;
  part.ApplyTenantRates(own, {{0.5, 100}, {0.5, 100}}, &fleet);
  EXPECT_EQ(fleet, before);
}

// Two dispatchers that are asked for the same of two tenants, at workers that have just room for
// the quotas.
struct TwoDesks {
  static constexpr double kQuota = 60,
                          kAsked = 45;  // of each tenant: in all, and at each dispatcher
  static constexpr int kWorkers = 6;

  explicit TwoDesks(std::vector<std::vector<double>> rates)
      : floor(2, Rules(), {}), tenant_rates(std::move(rates)) {
    for (int w = 0; w < kWorkers; ++w) floor.AddWorker({2, 100}, 0);
    floor.before = [this](std::size_t i) {
      floor.desks[i]->SetFleetShare(
          {.share = 0.5, .member_count = 2, .epoch = 1, .tenant_rates_rps = tenant_rates[i]});
    };
    floor.now = 100;
    floor.Start();
  }
  static balancing::Settings Rules() {
    balancing::Settings s;
    s.classes.resize(1);
    s.classes[0] = {.latency_objective_s = 0.3, .client_timeout_s = 1};
    s.tenants.assign(2, {.share = 0.5, .quota_rps = kQuota});
    KeepPlatformRules(&s);
    return s;
  }
  // What was let in a second: by dispatcher, of a tenant.
  void Play(double span) {
    for (auto& of : let_in) std::fill(std::begin(of), std::end(of), 0.0);
    const double until = floor.now + span;
    for (double at = floor.now; at < until; at += 1 / (4 * kAsked)) {
      floor.Run(at);
      const int number = asked++ % 4;
      const auto node = static_cast<std::size_t>(number % 2);
      const int tenant = number / 2;
      const std::string id = floor.Ask(node, 0, {1, 1 + 1e-6 * asked}, 0.1, 1, tenant);
      if (!floor.asked.at(id).refused) let_in[node][tenant] += 1 / span;
    }
  }
  SimulatedFleet floor;
  std::vector<std::vector<double>> tenant_rates;
  double let_in[2][2] = {};
  int asked = 0;
};

TEST(TenantRates, ATenantIsHeldToWhatEachDispatcherWasGivenAndOthersAsBefore) {
  TwoDesks plain({{}, {}}), given({{50, -1}, {10, -1}});
  for (TwoDesks* desks : {&plain, &given}) {
    desks->Play(20);
    desks->Play(10);
  }
  EXPECT_NEAR(plain.let_in[0][0], plain.let_in[1][0], 0.15 * TwoDesks::kQuota);
  EXPECT_LE(given.let_in[1][0], 10 * 1.1);
  EXPECT_GE(given.let_in[0][0], 0.9 * TwoDesks::kAsked);
  EXPECT_NEAR(given.let_in[0][1], given.let_in[1][1], 0.15 * TwoDesks::kQuota);
  given.tenant_rates = {{10, -1}, {50, -1}};
  given.Play(1);
  const double depth = 2 + 0.5 * 10 + 2 * std::sqrt(10);  // of a bucket, as the module has it
  EXPECT_LE(given.let_in[0][0], 10 + depth) << "falls at once";
  given.Play(5);
  EXPECT_LE(given.let_in[0][0], 10 * 1.1);
  EXPECT_GE(given.let_in[1][0], 0.9 * TwoDesks::kAsked) << "and rises at once";
}

// A Poisson stream to one tenant of two, read ten times a second as the keeper of leases does.
struct Stream {
  DemandMeter meter{2};
  membership::Random random{5};
  double now = 100, told = 0;
  int changes = 0;  // of a tenth or more of what was last told
  void Play(double rate, double span) {
    const double until = now + span;
    double next = rate > 0 ? now + Gap(rate) : HUGE_VAL;
    while (now < until) {
      now += 0.1;
      for (; next < now; next += Gap(rate)) meter.Count(next, 1);
      const double read = meter.Rates(now)[1];
      if (std::abs(read - told) <= 0.1 * told) continue;
      told = read;
      ++changes;
    }
  }
  double Gap(double rate) { return -std::log(1 - random.Unit()) / rate; }
  double Read() { return meter.Rates(now)[1]; }
};

TEST(DemandMeter, IsSteadyWhereDemandIsAndQuickWhereItMoves) {
  for (const double rate : {5.0, 30.0, 200.0}) {
    Stream stream;
    stream.Play(rate, 20);
    stream.changes = 0;
    double sum = 0;
    for (int s = 0; s < 60; ++s) {
      stream.Play(rate, 1);
      sum += stream.Read() / 60;
    }
    EXPECT_NEAR(sum, rate, 0.1 * rate);
    std::printf("%.0f/s: %d changes of a tenth or more in a minute\n", rate, stream.changes);
    EXPECT_LE(stream.changes, 180) << "of 600 looks, at " << rate;
    EXPECT_EQ(stream.meter.Rates(stream.now)[0], 0);
    stream.Play(0, 2);
    EXPECT_LE(stream.Read(), std::max(0.6 * 5, 0.08 * rate)) << rate;
    stream.Play(0, 20);
    EXPECT_LE(stream.Read(), 0.01);
    stream.Play(rate, 2);
    EXPECT_GE(stream.Read(), 0.5 * rate);
  }
}

TEST(DemandMeter, ATenantThatIsNotThereIsLeftOut) {
  DemandMeter meter(1);
  meter.Count(1, 1);
  meter.Count(1, static_cast<std::size_t>(-1));
  EXPECT_EQ(meter.Rates(1), std::vector<double>{0});
}

}  // namespace
}  // namespace millethollow
