// The datagrams of usage reports: their encoding, the rejection of malformed ones, and what a
// receiver keeps of a row that arrives in parts.
#include "balancing/usage_report.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "balancing/peer_usage.h"
#include "support/report_tier.h"

namespace millethollow::balancing {
namespace {

constexpr std::size_t kCountOffset = 3, kFleetRateOffset = 4, kFirstIndexOffset = 8,
                      kRowSizeOffset = 10, kRatesOffset = 12;

RowLayout FullMeshLayout(std::size_t tenants) { return {.tenants = tenants}; }
RowLayout LargeTierLayout(std::size_t tenants, std::size_t classes, std::size_t kinds) {
  return {.tenants = tenants, .large_tier = true, .classes = classes, .kinds = kinds};
}

UsageReport MakeReport(const RowLayout& layout, std::size_t busy_workers) {
  UsageReport report;
  report.reply_requested = report.receives_all = true;
  report.fleet_rate_rps = 77;
  report.view = 41;
  for (std::size_t i = 0; i < layout.size(); ++i)
    report.rates.push_back(1.0 + static_cast<double>(i));
  for (std::size_t worker_index = 0; worker_index < busy_workers; ++worker_index) {
    report.slots_in_flight.emplace_back(static_cast<std::uint16_t>(1000 + worker_index),
                                        static_cast<int>(worker_index + 1));
  }
  report.usage = {{3, 4, 5}, {6, 7, 8}};
  return report;
}

void SetFloat(std::string* body, std::size_t offset, float value) {
  const auto bits = std::bit_cast<std::uint32_t>(value);
  for (std::size_t i = 0; i < 4; ++i)
    (*body)[offset + i] = static_cast<char>(bits >> (8 * i) & 0xff);
}

TEST(UsageReportTest, DecodedPartsGiveTheEncodedRow) {
  for (const std::size_t tenants : {1u, 6u, 50u, 59u, 60u, 61u, 130u, 255u, 260u, 1000u}) {
    for (const RowLayout& layout : {FullMeshLayout(tenants), LargeTierLayout(tenants, 1, 1),
                                    LargeTierLayout(tenants, 9, 12)}) {
      for (const std::size_t busy_workers : {0u, 1u, 39u, 40u, 70u}) {
        SCOPED_TRACE(std::to_string(layout.size()) + " rates, " + std::to_string(busy_workers));
        const UsageReport sent = MakeReport(layout, busy_workers);
        std::vector<double> row;
        const std::vector<std::string> datagrams = EncodeReport(sent, layout);
        for (const std::string& datagram : datagrams) {
          EXPECT_LE(datagram.size(), kMaxPeerMessageBytes);
          UsageReport decoded;
          ASSERT_TRUE(DecodeReport(datagram, layout, &decoded));
          EXPECT_EQ(decoded.first_index, row.size());
          EXPECT_EQ(decoded.reply_requested, sent.reply_requested);
          EXPECT_EQ(decoded.fleet_rate_rps, sent.fleet_rate_rps);
          EXPECT_EQ(decoded.receives_all, sent.receives_all);
          EXPECT_EQ(decoded.view, sent.view);
          const std::size_t worker_count =
              decoded.BeginsRow() ? std::min<std::size_t>(busy_workers, 40) : 0;
          EXPECT_TRUE(
              std::equal(decoded.slots_in_flight.begin(), decoded.slots_in_flight.end(),
                         sent.slots_in_flight.begin(),
                         sent.slots_in_flight.begin() + static_cast<std::ptrdiff_t>(worker_count)));
          row.insert(row.end(), decoded.rates.begin(), decoded.rates.end());
        }
        EXPECT_EQ(row, sent.rates);
        EXPECT_LE(datagrams.size(), 2 + layout.size() / 55);
      }
    }
  }
}

TEST(UsageReportTest, ValuesOfAGroupStayInOneDatagram) {
  const RowLayout layout = LargeTierLayout(55, 9, 12);
  EXPECT_EQ(layout.GroupStart(54), 54u);
  for (const std::size_t i : {55u, 56u, 57u}) EXPECT_EQ(layout.GroupStart(i), 55u);
  for (const std::size_t i : {58u, 59u}) EXPECT_EQ(layout.GroupStart(i), 58u);
  for (const std::size_t i : {62u, 63u}) EXPECT_EQ(layout.GroupStart(i), 62u);
  for (const std::size_t i : {81u, 82u, 83u}) EXPECT_EQ(layout.GroupStart(i), 81u);
  for (std::size_t tenants = 1; tenants < 130; ++tenants) {
    const RowLayout shifted = LargeTierLayout(tenants, 9, 12);
    for (const std::string& datagram : EncodeReport(MakeReport(shifted, 0), shifted)) {
      UsageReport decoded;
      ASSERT_TRUE(DecodeReport(datagram, shifted, &decoded));
      EXPECT_EQ(shifted.GroupStart(decoded.first_index), decoded.first_index);
    }
  }
}

// Each case damages one of the parts of a row of 130 tenants in a large tier with two classes.
TEST(UsageReportTest, MalformedPartsAreRejectedAndChangeNothing) {
  struct Case {
    const char* name;
    std::size_t part;
    std::function<void(std::string*)> damage;
  };
  const float infinite = std::numeric_limits<float>::infinity();
  const float nan = std::numeric_limits<float>::quiet_NaN();
  const auto set_float = [](std::size_t offset, float value) {
    return [=](std::string* body) { SetFloat(body, offset, value); };
  };
  const auto change_byte = [](std::size_t offset, int more) {
    return [=](std::string* body) { (*body)[offset] = static_cast<char>((*body)[offset] + more); };
  };
  const Case cases[] = {
      {"magic", 0, change_byte(0, 1)},
      {"an unknown version", 0, change_byte(1, 1)},
      {"a whole row's version", 1, change_byte(1, -1)},
      {"one rate more than there is", 1, change_byte(kCountOffset, 1)},
      {"one rate less than there is", 1, change_byte(kCountOffset, -1)},
      {"no rate", 1,
       [](std::string* body) {
         *body = body->substr(0, kRatesOffset) + '\0', (*body)[kCountOffset] = 0;
       }},
      {"total one too many", 1, change_byte(kRowSizeOffset, 1)},
      {"total one too few", 1, change_byte(kRowSizeOffset, -1)},
      {"total 256 too many", 1, change_byte(kRowSizeOffset + 1, 1)},
      {"over the end of the row", 2, change_byte(kFirstIndexOffset, 1)},
      {"far over the end of the row", 1, change_byte(kFirstIndexOffset + 1, 9)},
      {"begins and ends within a group", 2, change_byte(kFirstIndexOffset, -1)},
      {"NaN as first rate", 0, set_float(kRatesOffset, nan)},
      {"NaN as last rate", 1, [&](std::string* body) { SetFloat(body, body->size() - 5, nan); }},
      {"negative rate", 2, set_float(kRatesOffset, -1)},
      {"infinite rate", 1, set_float(kRatesOffset + 8, infinite)},
      {"huge rate", 1, set_float(kRatesOffset + 8, 1e13F)},
      {"NaN as fleet rate", 1, set_float(kFleetRateOffset, nan)},
      {"negative fleet rate", 1, set_float(kFleetRateOffset, -2)},
      {"extra bytes at its end", 1, [](std::string* body) { *body += "abcdef"; }},
      {"workers in a later part", 1, [](std::string* body) { body->back() = 1, *body += "abc"; }},
      {"more workers than a report may contain", 0,
       [](std::string* body) {
         *body = body->substr(0, kRatesOffset + 4);
         (*body)[kCountOffset] = 1;
         *body += static_cast<char>(41) + std::string(41 * 3, 'x');
       }},
  };
  const RowLayout layout = LargeTierLayout(130, 2, 1);
  const std::vector<std::string> parts = EncodeReport(MakeReport(layout, 0), layout);
  ASSERT_EQ(parts.size(), 3u);
  Settings settings;
  settings.classes.resize(2);
  settings.tenants.resize(130);
  settings.dispatcher_count = 30;
  settings.peers = true;
  LoadBalancer balancer(settings, 1);
  Actions actions;
  balancer.Handle(100, DispatcherStarted{}, &actions);
  const auto expect_rejected = [&](const std::string& body) {
    UsageReport report;
    report.fleet_rate_rps = 5;
    report.rates = {1, 2, 3};
    EXPECT_FALSE(DecodeReport(body, layout, &report));
    EXPECT_EQ(report.fleet_rate_rps, 5);
    EXPECT_EQ(report.rates, (std::vector<double>{1, 2, 3}));
    const std::string before = balancer.SaveState();
    const std::uint64_t rejected = balancer.RejectedPeerMessages();
    actions.clear();
    balancer.Handle(101, PeerMessage{1, body}, &actions);
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(balancer.SaveState(), before);
    EXPECT_EQ(balancer.RejectedPeerMessages(), rejected + 1);
  };
  for (const Case& test_case : cases) {
    SCOPED_TRACE(test_case.name);
    std::string body = parts[test_case.part];
    test_case.damage(&body);
    expect_rejected(body);
  }
  for (const std::string& part : parts) {
    for (std::size_t length = 0; length < part.size(); ++length) {
      SCOPED_TRACE("cut to " + std::to_string(length));
      expect_rejected(part.substr(0, length));
    }
  }
  const std::string before = balancer.SaveState();
  balancer.Handle(101, PeerMessage{1, parts[1]}, &actions);
  EXPECT_NE(balancer.SaveState(), before);  // a valid part changes the state
}

TEST(UsageReportTest, RandomDamageIsRejectedOrDecodedWithinBounds) {
  std::mt19937_64 random(20261202);
  const auto random_below = [&](std::size_t count) {
    return static_cast<std::size_t>(random() % count);
  };
  std::size_t rejected = 0;
  for (const RowLayout& layout : {FullMeshLayout(6), FullMeshLayout(130),
                                  LargeTierLayout(130, 2, 3), LargeTierLayout(300, 9, 12)}) {
    const std::vector<std::string> parts = EncodeReport(MakeReport(layout, 12), layout);
    for (int round = 0; round < 20'000; ++round) {
      std::string body = parts[random_below(parts.size())];
      for (std::size_t count = random_below(4); count > 0; --count)
        body[random_below(body.size())] = static_cast<char>(random());
      if (random_below(2) == 0) body.resize(random_below(body.size() + 1));
      if (random_below(4) == 0)
        body += parts[random_below(parts.size())].substr(0, random_below(40));
      UsageReport decoded;
      if (!DecodeReport(body, layout, &decoded)) {
        rejected += 1;
        continue;
      }
      EXPECT_FALSE(decoded.rates.empty());
      EXPECT_LE(decoded.first_index + decoded.rates.size(), layout.size());
      EXPECT_LE(decoded.slots_in_flight.size(), 40u);
      for (const double rate : decoded.rates) EXPECT_TRUE(std::isfinite(rate) && rate >= 0);
      EXPECT_TRUE(std::isfinite(decoded.fleet_rate_rps) && decoded.fleet_rate_rps >= 0);
    }
  }
  EXPECT_GT(rejected, 20'000u);
}

TEST(UsageReportTest, IncompleteRowIsUnknownAndNotZero) {
  const RowLayout layout = FullMeshLayout(100);
  const std::vector<std::string> parts = EncodeReport(MakeReport(layout, 3), layout);
  ASSERT_EQ(parts.size(), 2u);
  PeerUsageTable table;
  table.rows.resize(3);
  const auto receive = [&](std::size_t peer, std::size_t part, double now) {
    UsageReport report;
    ASSERT_TRUE(DecodeReport(parts[part], layout, &report));
    table.rows[peer].Apply(report, layout.size(), now);
  };
  const std::vector<double> own(layout.size(), 2.0);
  const auto last = static_cast<double>(layout.size());  // the rates of each peer are 1, 2, 3, ...
  const auto expect_tier_rates = [&](double since, double expected_first, double expected_last) {
    const std::vector<double> fleet = table.TierRates(own, 0, since);
    EXPECT_DOUBLE_EQ(fleet.front(), expected_first);
    EXPECT_DOUBLE_EQ(fleet.back(), expected_last);
  };
  expect_tier_rates(0, 6, 6);  // no peer has reported: all are taken to be like this dispatcher
  receive(1, 0, 10);
  receive(1, 1, 10);
  expect_tier_rates(9, (2 + 1) * 1.5, (2 + last) * 1.5);
  receive(2, 0, 10);  // alive, but its row is incomplete
  expect_tier_rates(9, (2 + 1) * 1.5, (2 + last) * 1.5);
  receive(2, 1, 10);
  expect_tier_rates(9, 2 + 1 + 1, 2 + last + last);
  // The second part of one peer's row no longer arrives: the row is unknown once these rates are
  // too old.
  for (const double time : {11.0, 12.0, 13.0}) {
    receive(1, 0, time);
    receive(1, 1, time);
    receive(2, 0, time);
  }
  expect_tier_rates(9, 2 + 1 + 1, 2 + last + last);
  expect_tier_rates(10, (2 + 1) * 1.5, (2 + last) * 1.5);
  expect_tier_rates(13, 2, 2);  // no peer has reported since: all are dead
  receive(2, 0, 20);            // one returns: its rates from before do not count
  expect_tier_rates(19, 2 * 2, 2 * 2);
}

// Only the first part of a row contains slots in flight. They stay valid, whatever later parts
// arrive, until they are too old.
TEST(UsageReportTest, SlotsInFlightAreInTheFirstPartOfTheRow) {
  const RowLayout layout = FullMeshLayout(100);
  UsageReport report = MakeReport(layout, 0);
  const Worker worker{.name = "w", .hash = 7};
  report.slots_in_flight = {{7, 5}};
  const std::vector<std::string> parts = EncodeReport(report, layout);
  PeerUsageTable table;
  table.rows.resize(2);
  std::vector<Worker> workers{worker};
  for (const std::size_t part : {0u, 1u}) {
    UsageReport decoded;
    ASSERT_TRUE(DecodeReport(parts[part], layout, &decoded));
    table.rows[1].Apply(decoded, layout.size(), 10.0 + static_cast<double>(part));
    table.SumSlotsInFlight(&workers, 9);
    EXPECT_EQ(workers[0].peer_slots_in_flight, 5);
  }
  table.SumSlotsInFlight(&workers, 10.5);
  EXPECT_EQ(workers[0].peer_slots_in_flight, 0);
}

// The row that a balancer reports after it has received `bodies` from peer 1.
std::vector<double> RowReportedAfter(const Settings& settings, const RowLayout& layout,
                                     const std::vector<std::string>& bodies) {
  LoadBalancer balancer(settings, 1);
  Actions actions;
  balancer.Handle(100, DispatcherStarted{}, &actions);
  balancer.Handle(101, TimerFired{1}, &actions);  // its first report
  for (const std::string& body : bodies) balancer.Handle(101.1, PeerMessage{1, body}, &actions);
  actions.clear();
  balancer.Handle(102, TimerFired{1}, &actions);
  std::vector<double> row;
  int recipient = -1;
  for (const Action& action : actions) {
    const auto* message = std::get_if<SendPeerMessage>(&action);
    if (message == nullptr || (recipient >= 0 && message->recipient != recipient)) continue;
    recipient = message->recipient;
    UsageReport part;
    EXPECT_TRUE(DecodeReport(message->body, layout, &part));
    if (part.first_index == row.size()) row.insert(row.end(), part.rates.begin(), part.rates.end());
  }
  return row;
}

TEST(UsageReportTest, LargeTierAveragesOnlyReceivedParts) {
  Settings settings;
  settings.classes.resize(2);
  settings.tenants.assign(130, {.share = 1});
  settings.dispatcher_count = 30;
  settings.peers = true;
  const RowLayout layout = LargeTierLayout(130, 2, 1);
  const std::vector<std::string> parts = EncodeReport(MakeReport(layout, 0), layout);
  ASSERT_EQ(parts.size(), 3u);
  UsageReport middle;
  ASSERT_TRUE(DecodeReport(parts[1], layout, &middle));
  const std::vector<double> row = RowReportedAfter(settings, layout, {parts[1]});
  ASSERT_EQ(row.size(), layout.size());
  for (std::size_t i = 0; i < row.size(); ++i) {
    const bool in_part = i >= middle.first_index && i < middle.first_index + middle.rates.size();
    EXPECT_EQ(row[i] > 0, in_part) << i;
  }
  const std::vector<double> whole = RowReportedAfter(settings, layout, parts);
  EXPECT_EQ(std::count(whole.begin(), whole.end(), 0.0), 0);
}

// A report counts once, however many datagrams it takes: its fleet rate is followed once, and a
// requested reply is sent once.
TEST(UsageReportTest, StartingPeerIsAnsweredOnceWithAllParts) {
  Settings settings;
  settings.classes.resize(1);
  settings.tenants.assign(130, {.share = 1});
  settings.dispatcher_count = 3;
  settings.peers = true;
  LoadBalancer balancer(settings, 1);
  Actions actions;
  balancer.Handle(100, DispatcherStarted{}, &actions);
  balancer.Handle(101, TimerFired{1}, &actions);
  const RowLayout layout = FullMeshLayout(130);
  const std::vector<std::string> parts = EncodeReport(MakeReport(layout, 0), layout);
  actions.clear();
  for (const std::string& part : parts) balancer.Handle(101.1, PeerMessage{1, part}, &actions);
  ASSERT_EQ(actions.size(), parts.size());
  for (const Action& action : actions) {
    const auto* message = std::get_if<SendPeerMessage>(&action);
    ASSERT_NE(message, nullptr);
    EXPECT_EQ(message->recipient, 1);
  }
}

// Where the tier agrees on shares, a peer counts as received only once its whole row is known; only
// then do shares follow demand.
TEST(UsageReportTest, PeerWithIncompleteRowDoesNotCountAsHeard) {
  Settings settings;
  settings.classes.resize(1);
  settings.tenants.assign(130, {.share = 1});
  settings.dispatcher_count = 3;
  settings.peers = true;
  const RowLayout layout = FullMeshLayout(130);
  const FleetShare agreed{.share = 1.0 / 3, .member_count = 3, .epoch = 40};
  UsageReport report = MakeReport(layout, 0);
  report.view = 41;  // the view number that AgreedShare derives from epoch 40
  const std::vector<std::string> parts = EncodeReport(report, layout);
  for (const std::size_t parts_received : {parts.size() - 1, parts.size()}) {
    LoadBalancer balancer(settings, 1);
    Actions actions;
    balancer.SetFleetShare(agreed);
    balancer.Handle(100, DispatcherStarted{}, &actions);
    for (const int peer : {1, 2}) {
      for (std::size_t part = 0; part < parts.size(); ++part) {
        if (peer == 2 && part >= parts_received) continue;
        balancer.Handle(100.1, PeerMessage{peer, parts[part]}, &actions);
      }
    }
    balancer.Handle(100.25, TimerFired{1}, &actions);
    actions.clear();
    balancer.Handle(100.5, TimerFired{1}, &actions);  // contains what the previous report computed
    std::size_t report_count = 0;
    for (const Action& action : actions) {
      const auto* message = std::get_if<SendPeerMessage>(&action);
      if (message == nullptr) continue;
      UsageReport own;
      ASSERT_TRUE(DecodeReport(message->body, layout, &own));
      EXPECT_EQ(own.receives_all, parts_received == parts.size());
      report_count += 1;
    }
    EXPECT_GT(report_count, 0u);
  }
}

struct TierCase {
  int tenants, classes;
  double loss;
};
const TierCase kTierCases[] = {{6, 1, 0},     {6, 2, 0},     {50, 1, 0},    {50, 2, 0},
                               {60, 1, 0},    {60, 2, 0},    {130, 1, 0},   {130, 2, 0},
                               {260, 1, 0},   {260, 2, 0},   {6, 1, 0.2},   {6, 2, 0.2},
                               {50, 1, 0.2},  {50, 2, 0.2},  {60, 1, 0.2},  {60, 2, 0.2},
                               {130, 1, 0.2}, {130, 2, 0.2}, {260, 1, 0.2}, {260, 2, 0.2}};

// Every dispatcher must know the row of every other, with its demand of each tenant.
TEST(UsageReportTest, DirectTierKnowsTheDemandAtEachDispatcher) {
  constexpr int kDispatchers = 3;
  constexpr double kReportIntervalS = 0.25;
  for (const TierCase& tier_case : kTierCases) {
    SCOPED_TRACE(std::to_string(tier_case.tenants) + " tenants, " +
                 std::to_string(tier_case.classes) + " classes, loss " +
                 std::to_string(tier_case.loss));
    const RowLayout layout = FullMeshLayout(static_cast<std::size_t>(tier_case.tenants));
    ReportTier tier({.dispatcher_count = kDispatchers,
                     .tenants = tier_case.tenants,
                     .classes = tier_case.classes,
                     .loss = tier_case.loss,
                     .half_full = true});
    std::map<std::pair<int, int>, PeerUsage> peer_usage;
    tier.on_receive = [&](int from, int to, const std::string& body) {
      UsageReport report;
      ASSERT_TRUE(DecodeReport(body, layout, &report));
      peer_usage[{to, from}].Apply(report, layout.size(), tier.now());
    };
    tier.Start();
    for (int dispatcher = 0; dispatcher < kDispatchers; ++dispatcher) {
      for (int tenant = 0; tenant < tier_case.tenants; ++tenant)
        tier.AddDemand(dispatcher, tenant, 1.0 + (tenant + dispatcher) % 3);
    }
    // The rarest requests arrive once per second; some reports later all dispatchers must know of
    // them.
    const double reports = tier_case.loss > 0 ? 10 : 2;
    tier.RunUntil(101 + reports * kReportIntervalS);
    for (int to = 0; to < kDispatchers; ++to) {
      EXPECT_EQ(tier.dispatcher(to).RejectedPeerMessages(), 0u);
      for (int from = 0; from < kDispatchers; ++from) {
        if (from == to) continue;
        const PeerUsage& peer = peer_usage[{to, from}];
        EXPECT_TRUE(peer.RowKnown(tier.now() - 6 * kReportIntervalS)) << from << " at " << to;
        ASSERT_EQ(peer.rates.size(), layout.size());
        for (int tenant = 0; tenant < tier_case.tenants; ++tenant) {
          EXPECT_GT(peer.rates[static_cast<std::size_t>(tenant)], 0) << tenant;
        }
      }
    }
  }
}

// In a large tier the gossiped means of each dispatcher must contain the demand of every tenant,
// wherever it arrives.
TEST(UsageReportTest, LargeTierKnowsTheMeanDemandOfAllDispatchers) {
  constexpr int kDispatchers = 30;
  for (const TierCase& tier_case : kTierCases) {
    SCOPED_TRACE(std::to_string(tier_case.tenants) + " tenants, " +
                 std::to_string(tier_case.classes) + " classes, loss " +
                 std::to_string(tier_case.loss));
    const RowLayout layout = LargeTierLayout(static_cast<std::size_t>(tier_case.tenants),
                                             static_cast<std::size_t>(tier_case.classes), 1);
    ReportTier tier({.dispatcher_count = kDispatchers,
                     .tenants = tier_case.tenants,
                     .classes = tier_case.classes,
                     .loss = tier_case.loss,
                     .half_full = true});
    std::map<int, PeerUsage> sent_usage;  // the last row that each dispatcher has sent
    tier.on_send = [&](int from, int, const std::string& body) {
      UsageReport report;
      ASSERT_TRUE(DecodeReport(body, layout, &report));
      sent_usage[from].Apply(report, layout.size(), tier.now());
    };
    tier.Start();
    for (int tenant = 0; tenant < tier_case.tenants; ++tenant)
      tier.AddDemand(tenant % kDispatchers, tenant, 4);
    tier.RunUntil(112);  // about 24 reports of each
    std::vector<double> mean(static_cast<std::size_t>(tier_case.tenants), 0);
    for (int dispatcher = 0; dispatcher < kDispatchers; ++dispatcher) {
      EXPECT_EQ(tier.dispatcher(dispatcher).RejectedPeerMessages(), 0u);
      ASSERT_EQ(sent_usage[dispatcher].rates.size(), layout.size());
      for (std::size_t tenant = 0; tenant < mean.size(); ++tenant) {
        EXPECT_GT(sent_usage[dispatcher].rates[tenant], 0) << tenant << " at " << dispatcher;
        mean[tenant] += sent_usage[dispatcher].rates[tenant] / kDispatchers;
      }
    }
    // On average over dispatchers and tenants, the means are the demand.
    double mean_demand = 0;
    for (const double tenant_mean : mean)
      mean_demand += tenant_mean * kDispatchers / static_cast<double>(mean.size());
    EXPECT_NEAR(mean_demand, 4, 1.5);
  }
}

// The traffic of usage reports whose datagrams are all sent each time.
TEST(UsageReportTest, TrafficOfADispatcherIsBounded) {
  constexpr int kTenants = 130;
  constexpr double kSeconds = 20, kMaxBytesPerSecond = 48'000;
  for (const int dispatchers : {3, 24, 100}) {
    for (const int classes : {1, 2}) {
      ReportTier tier({.dispatcher_count = dispatchers,
                       .tenants = kTenants,
                       .classes = classes,
                       .half_full = true});
      std::size_t messages = 0, bytes = 0;
      tier.on_send = [&](int, int, const std::string& body) {
        messages += 1;
        bytes += body.size();
      };
      tier.Start();
      for (int tenant = 0; tenant < kTenants; ++tenant) {
        for (int dispatcher = 0; dispatcher < 3; ++dispatcher)
          tier.AddDemand((tenant + dispatcher) % dispatchers, tenant, 1);
      }
      tier.RunUntil(110);
      messages = bytes = 0;
      tier.RunUntil(110 + kSeconds);
      const double share = 1 / (kSeconds * dispatchers);
      std::printf(
          "dispatchers=%d tenants=%d classes=%d: %.0f bytes, %.1f datagrams a second each\n",
          dispatchers, kTenants, classes, static_cast<double>(bytes) * share,
          static_cast<double>(messages) * share);
      EXPECT_LT(static_cast<double>(bytes) * share, kMaxBytesPerSecond);
    }
  }
}

}  // namespace
}  // namespace millethollow::balancing
