// The datagrams of usage reports: their encoding, what is refused, and what a receiver keeps of a
// row that it hears in parts.
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

constexpr std::size_t kCountAt = 3, kRateAt = 4, kFirstAt = 8, kTotalAt = 10, kRatesAt = 12;

RowLayout Direct(std::size_t tenants) { return {.tenants = tenants}; }
RowLayout Large(std::size_t tenants, std::size_t classes, std::size_t kinds) {
  return {.tenants = tenants, .large_tier = true, .classes = classes, .kinds = kinds};
}

UsageReport ReportFor(const RowLayout& layout, std::size_t workers_out) {
  UsageReport report;
  report.reply_requested = report.receives_all = true;
  report.fleet_rate_rps = 77;
  report.view = 41;
  for (std::size_t i = 0; i < layout.size(); ++i)
    report.rates.push_back(1.0 + static_cast<double>(i));
  for (std::size_t w = 0; w < workers_out; ++w) {
    report.slots_in_flight.emplace_back(static_cast<std::uint16_t>(1000 + w),
                                        static_cast<int>(w + 1));
  }
  report.usage = {{3, 4, 5}, {6, 7, 8}};
  return report;
}

void SetReal(std::string* body, std::size_t at, float value) {
  const auto bits = std::bit_cast<std::uint32_t>(value);
  for (std::size_t i = 0; i < 4; ++i) (*body)[at + i] = static_cast<char>(bits >> (8 * i) & 0xff);
}

TEST(UsageReportTest, DecodedPartsGiveTheEncodedRow) {
  for (const std::size_t tenants : {1u, 6u, 50u, 59u, 60u, 61u, 130u, 255u, 260u, 1000u}) {
    for (const RowLayout& layout : {Direct(tenants), Large(tenants, 1, 1), Large(tenants, 9, 12)}) {
      for (const std::size_t workers_out : {0u, 1u, 39u, 40u, 70u}) {
        SCOPED_TRACE(std::to_string(layout.size()) + " rates, " + std::to_string(workers_out));
        const UsageReport sent = ReportFor(layout, workers_out);
        std::vector<double> row;
        const std::vector<std::string> datagrams = EncodeReport(sent, layout);
        for (const std::string& datagram : datagrams) {
          EXPECT_LE(datagram.size(), kMaxPeerMessageBytes);
          UsageReport heard;
          ASSERT_TRUE(DecodeReport(datagram, layout, &heard));
          EXPECT_EQ(heard.first_index, row.size());
          EXPECT_EQ(heard.reply_requested, sent.reply_requested);
          EXPECT_EQ(heard.fleet_rate_rps, sent.fleet_rate_rps);
          EXPECT_EQ(heard.receives_all, sent.receives_all);
          EXPECT_EQ(heard.view, sent.view);
          const std::size_t told = heard.BeginsRow() ? std::min<std::size_t>(workers_out, 40) : 0;
          EXPECT_TRUE(std::equal(heard.slots_in_flight.begin(), heard.slots_in_flight.end(),
                                 sent.slots_in_flight.begin(),
                                 sent.slots_in_flight.begin() + static_cast<std::ptrdiff_t>(told)));
          row.insert(row.end(), heard.rates.begin(), heard.rates.end());
        }
        EXPECT_EQ(row, sent.rates);
        EXPECT_LE(datagrams.size(), 2 + layout.size() / 55);
      }
    }
  }
}

TEST(UsageReportTest, ValuesOfAGroupStayInOneDatagram) {
  const RowLayout layout = Large(55, 9, 12);
  EXPECT_EQ(layout.GroupStart(54), 54u);
  for (const std::size_t i : {55u, 56u, 57u}) EXPECT_EQ(layout.GroupStart(i), 55u);
  for (const std::size_t i : {58u, 59u}) EXPECT_EQ(layout.GroupStart(i), 58u);
  for (const std::size_t i : {62u, 63u}) EXPECT_EQ(layout.GroupStart(i), 62u);
  for (const std::size_t i : {81u, 82u, 83u}) EXPECT_EQ(layout.GroupStart(i), 81u);
  for (std::size_t tenants = 1; tenants < 130; ++tenants) {
    const RowLayout shifted = Large(tenants, 9, 12);
    for (const std::string& datagram : EncodeReport(ReportFor(shifted, 0), shifted)) {
      UsageReport heard;
      ASSERT_TRUE(DecodeReport(datagram, shifted, &heard));
      EXPECT_EQ(shifted.GroupStart(heard.first_index), heard.first_index);
    }
  }
}

// Each changes one of the parts of a row of 130 tenants in a large tier with two classes.
TEST(UsageReportTest, MalformedPartsAreRejectedAndChangeNothing) {
  struct Case {
    const char* name;
    std::size_t part;
    std::function<void(std::string*)> garble;
  };
  const float infinite = std::numeric_limits<float>::infinity();
  const float nan = std::numeric_limits<float>::quiet_NaN();
  const auto real = [](std::size_t at, float value) {
    return [=](std::string* body) { SetReal(body, at, value); };
  };
  const auto byte = [](std::size_t at, int more) {
    return [=](std::string* body) { (*body)[at] = static_cast<char>((*body)[at] + more); };
  };
  const Case cases[] = {
      {"magic", 0, byte(0, 1)},
      {"an unknown version", 0, byte(1, 1)},
      {"a whole row's version", 1, byte(1, -1)},
      {"one rate more than there is", 1, byte(kCountAt, 1)},
      {"one rate less than there is", 1, byte(kCountAt, -1)},
      {"no rate", 1,
       [](std::string* body) { *body = body->substr(0, kRatesAt) + '\0', (*body)[kCountAt] = 0; }},
      {"total one too many", 1, byte(kTotalAt, 1)},
      {"total one too few", 1, byte(kTotalAt, -1)},
      {"total 256 too many", 1, byte(kTotalAt + 1, 1)},
      {"over the end of the row", 2, byte(kFirstAt, 1)},
      {"far over the end of the row", 1, byte(kFirstAt + 1, 9)},
      {"begins and ends within a group", 2, byte(kFirstAt, -1)},
      {"NaN as first rate", 0, real(kRatesAt, nan)},
      {"NaN as last rate", 1, [&](std::string* body) { SetReal(body, body->size() - 5, nan); }},
      {"negative rate", 2, real(kRatesAt, -1)},
      {"infinite rate", 1, real(kRatesAt + 8, infinite)},
      {"huge rate", 1, real(kRatesAt + 8, 1e13F)},
      {"NaN as fleet rate", 1, real(kRateAt, nan)},
      {"negative fleet rate", 1, real(kRateAt, -2)},
      {"more at its end", 1, [](std::string* body) { *body += "abcdef"; }},
      {"workers in a later part", 1, [](std::string* body) { body->back() = 1, *body += "abc"; }},
      {"more workers than are told of", 0,
       [](std::string* body) {
         *body = body->substr(0, kRatesAt + 4);
         (*body)[kCountAt] = 1;
         *body += static_cast<char>(41) + std::string(41 * 3, 'x');
       }},
  };
  const RowLayout layout = Large(130, 2, 1);
  const std::vector<std::string> parts = EncodeReport(ReportFor(layout, 0), layout);
  ASSERT_EQ(parts.size(), 3u);
  Settings settings;
  settings.classes.resize(2);
  settings.tenants.resize(130);
  settings.dispatcher_count = 30;
  settings.peers = true;
  LoadBalancer balancer(settings, 1);
  Actions actions;
  balancer.Handle(100, DispatcherStarted{}, &actions);
  const auto refuses = [&](const std::string& body) {
    UsageReport report;
    report.fleet_rate_rps = 5;
    report.rates = {1, 2, 3};
    EXPECT_FALSE(DecodeReport(body, layout, &report));
    EXPECT_EQ(report.fleet_rate_rps, 5);
    EXPECT_EQ(report.rates, (std::vector<double>{1, 2, 3}));
    const std::string before = balancer.SaveState();
    const std::uint64_t refused = balancer.RejectedPeerMessages();
    actions.clear();
    balancer.Handle(101, PeerMessage{1, body}, &actions);
    EXPECT_TRUE(actions.empty());
    EXPECT_EQ(balancer.SaveState(), before);
    EXPECT_EQ(balancer.RejectedPeerMessages(), refused + 1);
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(c.name);
    std::string body = parts[c.part];
    c.garble(&body);
    refuses(body);
  }
  for (const std::string& part : parts) {
    for (std::size_t length = 0; length < part.size(); ++length) {
      SCOPED_TRACE("cut to " + std::to_string(length));
      refuses(part.substr(0, length));
    }
  }
  const std::string before = balancer.SaveState();
  balancer.Handle(101, PeerMessage{1, parts[1]}, &actions);
  EXPECT_NE(balancer.SaveState(), before);  // a good one does change something
}

TEST(UsageReportTest, RandomDamageIsRejectedOrDecodedWithinBounds) {
  std::mt19937_64 random(20261202);
  const auto below = [&](std::size_t n) { return static_cast<std::size_t>(random() % n); };
  std::size_t refused = 0;
  for (const RowLayout& layout : {Direct(6), Direct(130), Large(130, 2, 3), Large(300, 9, 12)}) {
    const std::vector<std::string> parts = EncodeReport(ReportFor(layout, 12), layout);
    for (int round = 0; round < 20'000; ++round) {
      std::string body = parts[below(parts.size())];
      for (std::size_t n = below(4); n > 0; --n)
        body[below(body.size())] = static_cast<char>(random());
      if (below(2) == 0) body.resize(below(body.size() + 1));
      if (below(4) == 0) body += parts[below(parts.size())].substr(0, below(40));
      UsageReport heard;
      if (!DecodeReport(body, layout, &heard)) {
        refused += 1;
        continue;
      }
      EXPECT_FALSE(heard.rates.empty());
      EXPECT_LE(heard.first_index + heard.rates.size(), layout.size());
      EXPECT_LE(heard.slots_in_flight.size(), 40u);
      for (const double rate : heard.rates) EXPECT_TRUE(std::isfinite(rate) && rate >= 0);
      EXPECT_TRUE(std::isfinite(heard.fleet_rate_rps) && heard.fleet_rate_rps >= 0);
    }
  }
  EXPECT_GT(refused, 20'000u);
}

TEST(UsageReportTest, IncompleteRowIsUnknownAndNotZero) {
  const RowLayout layout = Direct(100);
  const std::vector<std::string> parts = EncodeReport(ReportFor(layout, 3), layout);
  ASSERT_EQ(parts.size(), 2u);
  PeerUsageTable table;
  table.rows.resize(3);
  const auto hear = [&](std::size_t peer, std::size_t part, double now) {
    UsageReport report;
    ASSERT_TRUE(DecodeReport(parts[part], layout, &report));
    table.rows[peer].Apply(report, layout.size(), now);
  };
  const std::vector<double> own(layout.size(), 2.0);
  const auto last = static_cast<double>(layout.size());  // of the row that peers tell: 1, 2, 3...
  const auto fleet_is = [&](double since, double at_first, double at_last) {
    const std::vector<double> fleet = table.TierRates(own, 0, since);
    EXPECT_DOUBLE_EQ(fleet.front(), at_first);
    EXPECT_DOUBLE_EQ(fleet.back(), at_last);
  };
  fleet_is(0, 6, 6);  // nobody heard yet: all are taken for our like
  hear(1, 0, 10);
  hear(1, 1, 10);
  fleet_is(9, (2 + 1) * 1.5, (2 + last) * 1.5);
  hear(2, 0, 10);  // alive, its row not known
  fleet_is(9, (2 + 1) * 1.5, (2 + last) * 1.5);
  hear(2, 1, 10);
  fleet_is(9, 2 + 1 + 1, 2 + last + last);
  // The second part of one ceases to come: that row is unknown once its rates are of too long ago.
  for (const double at : {11.0, 12.0, 13.0}) {
    hear(1, 0, at);
    hear(1, 1, at);
    hear(2, 0, at);
  }
  fleet_is(9, 2 + 1 + 1, 2 + last + last);
  fleet_is(10, (2 + 1) * 1.5, (2 + last) * 1.5);
  fleet_is(13, 2, 2);  // both silent: dead
  hear(2, 0, 20);      // one comes back: its reports from before don't count
  fleet_is(19, 2 * 2, 2 * 2);
}

// A part of a report says nothing of slots out: these keep their last word until they are too old.
TEST(UsageReportTest, SlotsInFlightAreInTheFirstPartOfTheRow) {
  const RowLayout layout = Direct(100);
  UsageReport report = ReportFor(layout, 0);
  const Worker worker{.name = "w", .hash = 7};
  report.slots_in_flight = {{7, 5}};
  const std::vector<std::string> parts = EncodeReport(report, layout);
  PeerUsageTable table;
  table.rows.resize(2);
  std::vector<Worker> workers{worker};
  for (const std::size_t part : {0u, 1u}) {
    UsageReport heard;
    ASSERT_TRUE(DecodeReport(parts[part], layout, &heard));
    table.rows[1].Apply(heard, layout.size(), 10.0 + static_cast<double>(part));
    table.SumSlotsInFlight(&workers, 9);
    EXPECT_EQ(workers[0].peer_slots_in_flight, 5);
  }
  table.SumSlotsInFlight(&workers, 10.5);
  EXPECT_EQ(workers[0].peer_slots_in_flight, 0);
}

// What one balancer tells after it has heard `bodies` from peer 1.
std::vector<double> RowToldAfter(const Settings& settings, const RowLayout& layout,
                                 const std::vector<std::string>& bodies) {
  LoadBalancer balancer(settings, 1);
  Actions actions;
  balancer.Handle(100, DispatcherStarted{}, &actions);
  balancer.Handle(101, TimerFired{1}, &actions);  // its first report
  for (const std::string& body : bodies) balancer.Handle(101.1, PeerMessage{1, body}, &actions);
  actions.clear();
  balancer.Handle(102, TimerFired{1}, &actions);
  std::vector<double> row;
  int whom = -1;
  for (const Action& action : actions) {
    const auto* tell = std::get_if<SendPeerMessage>(&action);
    if (tell == nullptr || (whom >= 0 && tell->recipient != whom)) continue;
    whom = tell->recipient;
    UsageReport part;
    EXPECT_TRUE(DecodeReport(tell->body, layout, &part));
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
  const RowLayout layout = Large(130, 2, 1);
  const std::vector<std::string> parts = EncodeReport(ReportFor(layout, 0), layout);
  ASSERT_EQ(parts.size(), 3u);
  UsageReport middle;
  ASSERT_TRUE(DecodeReport(parts[1], layout, &middle));
  const std::vector<double> row = RowToldAfter(settings, layout, {parts[1]});
  ASSERT_EQ(row.size(), layout.size());
  for (std::size_t i = 0; i < row.size(); ++i) {
    const bool in_part = i >= middle.first_index && i < middle.first_index + middle.rates.size();
    EXPECT_EQ(row[i] > 0, in_part) << i;
  }
  const std::vector<double> whole = RowToldAfter(settings, layout, parts);
  EXPECT_EQ(std::count(whole.begin(), whole.end(), 0.0), 0);
}

// A report counts once however many datagrams it takes: its fleet rate, and that it asks for news.
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
  const RowLayout layout = Direct(130);
  const std::vector<std::string> parts = EncodeReport(ReportFor(layout, 0), layout);
  actions.clear();
  for (const std::string& part : parts) balancer.Handle(101.1, PeerMessage{1, part}, &actions);
  ASSERT_EQ(actions.size(), parts.size());
  for (const Action& action : actions) {
    const auto* tell = std::get_if<SendPeerMessage>(&action);
    ASSERT_NE(tell, nullptr);
    EXPECT_EQ(tell->recipient, 1);
  }
}

// Where the tier agrees on shares, a peer counts as heard only once its whole row is known: demand
// is reckoned with only then.
TEST(UsageReportTest, PeerWithIncompleteRowDoesNotCountAsHeard) {
  Settings settings;
  settings.classes.resize(1);
  settings.tenants.assign(130, {.share = 1});
  settings.dispatcher_count = 3;
  settings.peers = true;
  const RowLayout layout = Direct(130);
  const FleetShare agreed{.share = 1.0 / 3, .member_count = 3, .epoch = 40};
  UsageReport report = ReportFor(layout, 0);
  report.view = 41;  // as AgreedShare numbers epoch 40
  const std::vector<std::string> parts = EncodeReport(report, layout);
  for (const std::size_t parts_heard : {parts.size() - 1, parts.size()}) {
    LoadBalancer balancer(settings, 1);
    Actions actions;
    balancer.SetFleetShare(agreed);
    balancer.Handle(100, DispatcherStarted{}, &actions);
    for (const int peer : {1, 2}) {
      for (std::size_t part = 0; part < parts.size(); ++part) {
        if (peer == 2 && part >= parts_heard) continue;
        balancer.Handle(100.1, PeerMessage{peer, parts[part]}, &actions);
      }
    }
    balancer.Handle(100.25, TimerFired{1}, &actions);
    actions.clear();
    balancer.Handle(100.5, TimerFired{1}, &actions);  // tells what the last report reckoned
    std::size_t told = 0;
    for (const Action& action : actions) {
      const auto* tell = std::get_if<SendPeerMessage>(&action);
      if (tell == nullptr) continue;
      UsageReport own;
      ASSERT_TRUE(DecodeReport(tell->body, layout, &own));
      EXPECT_EQ(own.receives_all, parts_heard == parts.size());
      told += 1;
    }
    EXPECT_GT(told, 0u);
  }
}

struct Crowd {
  int tenants, classes;
  double loss;
};
const Crowd kCrowds[] = {{6, 1, 0},    {6, 2, 0},     {50, 1, 0},    {50, 2, 0},    {60, 1, 0},
                         {60, 2, 0},   {130, 1, 0},   {130, 2, 0},   {260, 1, 0},   {260, 2, 0},
                         {6, 1, 0.2},  {6, 2, 0.2},   {50, 1, 0.2},  {50, 2, 0.2},  {60, 1, 0.2},
                         {60, 2, 0.2}, {130, 1, 0.2}, {130, 2, 0.2}, {260, 1, 0.2}, {260, 2, 0.2}};

// Every dispatcher knows the row of every other, with its demand of each tenant.
TEST(UsageReportTest, DirectTierKnowsTheDemandAtEachDispatcher) {
  constexpr int kDispatchers = 3;
  constexpr double kReportInterval = 0.25;
  for (const Crowd& crowd : kCrowds) {
    SCOPED_TRACE(std::to_string(crowd.tenants) + " tenants, " + std::to_string(crowd.classes) +
                 " classes, loss " + std::to_string(crowd.loss));
    const RowLayout layout = Direct(static_cast<std::size_t>(crowd.tenants));
    ReportTier tier({.dispatcher_count = kDispatchers,
                     .tenants = crowd.tenants,
                     .classes = crowd.classes,
                     .loss = crowd.loss,
                     .half_full = true});
    std::map<std::pair<int, int>, PeerUsage> heard;
    tier.on_hear = [&](int from, int to, const std::string& body) {
      UsageReport report;
      ASSERT_TRUE(DecodeReport(body, layout, &report));
      heard[{to, from}].Apply(report, layout.size(), tier.now());
    };
    tier.Start();
    for (int d = 0; d < kDispatchers; ++d) {
      for (int t = 0; t < crowd.tenants; ++t) tier.AddDemand(d, t, 1.0 + (t + d) % 3);
    }
    // The rarest requests come once a second; after some more reports all dispatchers know them.
    const double reports = crowd.loss > 0 ? 10 : 2;
    tier.RunUntil(101 + reports * kReportInterval);
    for (int to = 0; to < kDispatchers; ++to) {
      EXPECT_EQ(tier.dispatcher(to).RejectedPeerMessages(), 0u);
      for (int from = 0; from < kDispatchers; ++from) {
        if (from == to) continue;
        const PeerUsage& peer = heard[{to, from}];
        EXPECT_TRUE(peer.RowKnown(tier.now() - 6 * kReportInterval)) << from << " at " << to;
        ASSERT_EQ(peer.rates.size(), layout.size());
        for (int t = 0; t < crowd.tenants; ++t) {
          EXPECT_GT(peer.rates[static_cast<std::size_t>(t)], 0) << t;
        }
      }
    }
  }
}

// In a large tier each dispatcher's means hold the demand of every tenant, wherever it comes in.
TEST(UsageReportTest, LargeTierKnowsTheMeanDemandOfAllDispatchers) {
  constexpr int kDispatchers = 30;
  for (const Crowd& crowd : kCrowds) {
    SCOPED_TRACE(std::to_string(crowd.tenants) + " tenants, " + std::to_string(crowd.classes) +
                 " classes, loss " + std::to_string(crowd.loss));
    const RowLayout layout =
        Large(static_cast<std::size_t>(crowd.tenants), static_cast<std::size_t>(crowd.classes), 1);
    ReportTier tier({.dispatcher_count = kDispatchers,
                     .tenants = crowd.tenants,
                     .classes = crowd.classes,
                     .loss = crowd.loss,
                     .half_full = true});
    std::map<int, PeerUsage> told;  // the last row that each has sent
    tier.on_tell = [&](int from, int, const std::string& body) {
      UsageReport report;
      ASSERT_TRUE(DecodeReport(body, layout, &report));
      told[from].Apply(report, layout.size(), tier.now());
    };
    tier.Start();
    for (int t = 0; t < crowd.tenants; ++t) tier.AddDemand(t % kDispatchers, t, 4);
    tier.RunUntil(112);  // some 24 reports of each
    std::vector<double> mean(static_cast<std::size_t>(crowd.tenants), 0);
    for (int d = 0; d < kDispatchers; ++d) {
      EXPECT_EQ(tier.dispatcher(d).RejectedPeerMessages(), 0u);
      ASSERT_EQ(told[d].rates.size(), layout.size());
      for (std::size_t t = 0; t < mean.size(); ++t) {
        EXPECT_GT(told[d].rates[t], 0) << t << " at " << d;
        mean[t] += told[d].rates[t] / kDispatchers;
      }
    }
    // Taken over dispatchers and tenants, the means say what comes in.
    double all = 0;
    for (const double m : mean) all += m * kDispatchers / static_cast<double>(mean.size());
    EXPECT_NEAR(all, 4, 1.5);
  }
}

// What reports cost where all their datagrams go out each time.
TEST(UsageReportTest, TrafficOfADispatcherIsBounded) {
  constexpr int kTenants = 130;
  constexpr double kSeconds = 20, kMostBytesASecond = 48'000;
  for (const int dispatchers : {3, 24, 100}) {
    for (const int classes : {1, 2}) {
      ReportTier tier({.dispatcher_count = dispatchers,
                       .tenants = kTenants,
                       .classes = classes,
                       .half_full = true});
      std::size_t messages = 0, bytes = 0;
      tier.on_tell = [&](int, int, const std::string& body) {
        messages += 1;
        bytes += body.size();
      };
      tier.Start();
      for (int t = 0; t < kTenants; ++t) {
        for (int d = 0; d < 3; ++d) tier.AddDemand((t + d) % dispatchers, t, 1);
      }
      tier.RunUntil(110);
      messages = bytes = 0;
      tier.RunUntil(110 + kSeconds);
      const double share = 1 / (kSeconds * dispatchers);
      std::printf(
          "dispatchers=%d tenants=%d classes=%d: %.0f bytes, %.1f datagrams a second each\n",
          dispatchers, kTenants, classes, static_cast<double>(bytes) * share,
          static_cast<double>(messages) * share);
      EXPECT_LT(static_cast<double>(bytes) * share, kMostBytesASecond);
    }
  }
}

}  // namespace
}  // namespace millethollow::balancing
