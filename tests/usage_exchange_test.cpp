// Usage reports between dispatchers, by the public interface: when they go out.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>

#include "support/report_tier.h"
#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

// It must not be limited to one Nth while its peers still count its earlier usage.
TEST(UsageExchangeTest, RestartedDispatcherIsAnsweredAtOnce) {
  Settings s = TestSettings();
  s.peers = true;
  s.dispatcher_count = 2;
  TestDispatcher old_one(s);
  old_one.UpdateEndpoints(MakeEndpoints(4));
  old_one.SendRequest("a");
  old_one.AdvanceTime(2);
  s.dispatcher_index = 1;
  TestDispatcher fresh(s);
  fresh.UpdateEndpoints(MakeEndpoints(4));
  const auto told = ActionsOf<SendPeerMessage>(fresh.AdvanceTime(1));
  ASSERT_FALSE(told.empty());
  EXPECT_EQ(told[0].recipient, 0);
  const auto answer = ActionsOf<SendPeerMessage>(old_one.Handle(PeerMessage{1, told[0].body}));
  ASSERT_EQ(answer.size(), 1u);
  EXPECT_EQ(answer[0].recipient, 1);
  fresh.Handle(PeerMessage{0, answer[0].body});
  // Once heard, it no longer asks: its next report is not answered.
  const auto later = ActionsOf<SendPeerMessage>(fresh.AdvanceTime(1));
  ASSERT_FALSE(later.empty());
  EXPECT_TRUE(old_one.Handle(PeerMessage{1, later[0].body}).empty());
}

TEST(UsageExchangeTest, ReportIsIgnoredWherePeersAreOff) {
  Settings s = TestSettings();
  s.peers = true;
  s.dispatcher_count = 3;
  TestDispatcher talker(s);
  talker.UpdateEndpoints(MakeEndpoints(4));
  const auto told = ActionsOf<SendPeerMessage>(talker.AdvanceTime(1));
  ASSERT_FALSE(told.empty());
  s.peers = false;
  s.dispatcher_index = 1;
  TestDispatcher deaf(s);
  EXPECT_TRUE(deaf.Handle(PeerMessage{0, told[0].body}).empty());
}

TEST(UsageExchangeTest, MessagesAreBoundedAndForeignOnesAreIgnored) {
  for (const int tier : {3, 680}) {
    Settings s = TestSettings();
    s.peers = true;
    s.dispatcher_count = tier;
    s.tenants.resize(8);
    for (TenantSettings& t : s.tenants) t.share = 0.125;
    TestDispatcher dispatcher(s);
    dispatcher.UpdateEndpoints(MakeEndpoints(12));
    std::size_t told = 0;
    for (int i = 0; i < 100; ++i) {
      dispatcher.SendRequest("j" + std::to_string(i), i % 3, i % 8);
      for (const SendPeerMessage& t : ActionsOf<SendPeerMessage>(dispatcher.AdvanceTime(0.1))) {
        EXPECT_LE(t.body.size(), 256u);
        EXPECT_NE(t.recipient, s.dispatcher_index);
        EXPECT_LT(t.recipient, tier);
        ++told;
      }
    }
    EXPECT_GT(told, 0u);
    EXPECT_LT(told, 200u);
    for (const char* body :
         {"", "D", "garbage that is long enough to be a message, but is not", "D\x02"}) {
      EXPECT_TRUE(dispatcher.Handle(PeerMessage{1, body}).empty());
    }
    EXPECT_TRUE(dispatcher.Handle(PeerMessage{-4, "x"}).empty());
  }
}

std::string Hex(const std::string& bytes) {
  std::string hex;
  for (const char c : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(c));
    hex += digits;
  }
  return hex;
}

struct Recording {
  std::size_t messages = 0, bytes = 0;
  std::uint64_t hash =
      14695981039346656037ULL;  // FNV-1a of senders, receivers and bodies, in order
  std::string twentieth;        // one body, in hex
  void Add(int from, int to, const std::string& body) {
    messages += 1;
    bytes += body.size();
    for (const char c : std::to_string(from) + ">" + std::to_string(to) + ":" + body) {
      hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    if (messages == 20) twentieth = Hex(body);
  }
};

Recording Record(int dispatchers, int classes) {
  ReportTier tier(
      {.dispatcher_count = dispatchers, .tenants = 6, .classes = classes, .half_full = true});
  Recording recording;
  tier.on_tell = [&](int from, int to, const std::string& body) { recording.Add(from, to, body); };
  tier.Start();
  for (int d = 0; d < dispatchers; ++d) {
    for (int t = 0; t < 6; ++t) tier.AddDemand(d, t, 0.5 + t + d % 3);
  }
  tier.RunUntil(108);
  return recording;
}

// Recorded at eb0c559, before reports could take several datagrams.
TEST(UsageExchangeTest, ReportsOfSmallTiersAreEncodedAsRecorded) {
  struct Case {
    int dispatchers, classes;
    std::size_t messages, bytes;
    std::uint64_t hash;
    std::string twentieth;
  };
  const Case cases[] = {
      {3, 1, 192, 14376, 15270347815275836683ULL,
       "4402000900000000c28976403c5a883f574bcb3f547d9a40e9130141e393bc40b365c841a59b17410000000001d"
       "2"
       "5d01000001000000010001000000020001000000030001000000040001000000050002000000"},
      {3, 2, 192, 15702, 4861677452564880522ULL,
       "4402000900000000b7fd894055a2903f4c26ae40cd0ca9405995b9406335cd406924e741b937194100000000013"
       "7"
       "0e010200010000000400010000000500010000000600010000000700010000000800010000000900010000000b0"
       "0"
       "01000000"},
      {30, 1, 998, 105242, 2385295514189822222ULL,
       "44020010000000000000000000000000000000000000000054ce6f4054ce6f4054ceef400000000000000000000"
       "0"
       "0000000000000ad7233d00000040cdcc8c3f000000400000000000040001000000050001000000"},
      {30, 2, 1049, 140409, 11891404846300217160ULL,
       "440200120000000092c8024092c802407292824072920241bbf6c34072920241e1e6f4411e52234100000000000"
       "0"
       "000000000000cdcccc3d0000a0400ad7a33c0000803f666686400000c0400000000000"},
  };
  for (const Case& c : cases) {
    SCOPED_TRACE(std::to_string(c.dispatchers) + " dispatchers, " + std::to_string(c.classes) +
                 " classes");
    const Recording got = Record(c.dispatchers, c.classes);
    EXPECT_EQ(got.messages, c.messages);
    EXPECT_EQ(got.bytes, c.bytes);
    EXPECT_EQ(got.hash, c.hash);
    EXPECT_EQ(got.twentieth, c.twentieth);
  }
}

TEST(UsageExchangeTest, DatagramsHoldAtMost256Bytes) {
  for (const int dispatchers : {3, 30}) {
    for (const int tenants : {6, 30, 50, 60, 130, 260}) {
      for (const int classes : {1, 2}) {
        SCOPED_TRACE(std::to_string(dispatchers) + " dispatchers, " + std::to_string(tenants) +
                     " tenants, " + std::to_string(classes) + " classes");
        ReportTier tier({.dispatcher_count = dispatchers, .tenants = tenants, .classes = classes});
        std::size_t told = 0, longest = 0;
        tier.on_tell = [&](int, int, const std::string& body) {
          told += 1;
          longest = std::max(longest, body.size());
        };
        tier.Start();
        for (int t = 0; t < tenants; ++t) tier.AddDemand(t % dispatchers, t, 1);
        tier.RunUntil(104);
        EXPECT_GT(told, 0u);
        EXPECT_LE(longest, 256u);
      }
    }
  }
}

// One tenant's demand comes to one dispatcher of three alone, within its quota, while the fleet is
// full. A dispatcher that receives no report assumes that the others are like itself, and admits a
// third of it.
TEST(UsageExchangeTest, TenantAtOneDispatcherOfThreeGetsItsQuotaThere) {
  for (const double loss : {0.0, 0.2}) {
    for (const int tenants : {6, 50, 60, 130, 260}) {
      for (const int classes : {1, 2}) {
        SCOPED_TRACE(std::to_string(tenants) + " tenants, " + std::to_string(classes) +
                     " classes, loss " + std::to_string(loss));
        ReportTier tier({.dispatcher_count = 3,
                         .tenants = tenants,
                         .classes = classes,
                         .loss = loss,
                         .half_full = true});
        const int mine = tenants - 2;
        tier.SetQuota(mine, 36);
        tier.Start();
        tier.AddDemand(0, mine, 30);
        for (int t = 0; t < tenants; ++t) {
          for (int d = 0; t != mine && d < 3; ++d) tier.AddDemand(d, t, 60.0 / tenants);
        }
        tier.RunUntil(115);
        tier.ForgetAdmissions();
        tier.RunUntil(130);
        const ReportTier::Admission own = tier.admission(0, mine);
        EXPECT_GE(own.admitted, 0.95 * own.asked) << own.asked;
        ReportTier::Admission others;
        for (int t = 0; t < tenants; ++t) {
          for (int d = 0; t != mine && d < 3; ++d) {
            others.asked += tier.admission(d, t).asked;
            others.admitted += tier.admission(d, t).admitted;
          }
        }
        EXPECT_LE(others.admitted, 0.8 * others.asked) << "the fleet isn't full";
      }
    }
  }
}

}  // namespace
}  // namespace millethollow::balancing
