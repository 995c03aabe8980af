// Usage reports between dispatchers, through the public interface of the module: when they are sent
// and what they achieve.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <string>

#include "support/report_tier.h"
#include "support/test_dispatcher.h"

namespace millethollow::balancing {
namespace {

// A restarted dispatcher must not be limited to one Nth of the fleet rate while its peers still
// count its earlier usage.
TEST(UsageExchangeTest, RestartedDispatcherIsAnsweredAtOnce) {
  Settings settings = TestSettings();
  settings.peers = true;
  settings.dispatcher_count = 2;
  TestDispatcher running(settings);
  running.UpdateEndpoints(MakeEndpoints(4));
  running.SendRequest("a");
  running.AdvanceTime(2);
  settings.dispatcher_index = 1;
  TestDispatcher restarted(settings);
  restarted.UpdateEndpoints(MakeEndpoints(4));
  const auto reports = ActionsOf<SendPeerMessage>(restarted.AdvanceTime(1));
  ASSERT_FALSE(reports.empty());
  EXPECT_EQ(reports[0].recipient, 0);
  const auto answer = ActionsOf<SendPeerMessage>(running.Handle(PeerMessage{1, reports[0].body}));
  ASSERT_EQ(answer.size(), 1u);
  EXPECT_EQ(answer[0].recipient, 1);
  restarted.Handle(PeerMessage{0, answer[0].body});
  // After the answer it no longer requests one: its next report is not answered.
  const auto later = ActionsOf<SendPeerMessage>(restarted.AdvanceTime(1));
  ASSERT_FALSE(later.empty());
  EXPECT_TRUE(running.Handle(PeerMessage{1, later[0].body}).empty());
}

TEST(UsageExchangeTest, ReportIsIgnoredWherePeersAreOff) {
  Settings settings = TestSettings();
  settings.peers = true;
  settings.dispatcher_count = 3;
  TestDispatcher sender(settings);
  sender.UpdateEndpoints(MakeEndpoints(4));
  const auto reports = ActionsOf<SendPeerMessage>(sender.AdvanceTime(1));
  ASSERT_FALSE(reports.empty());
  settings.peers = false;
  settings.dispatcher_index = 1;
  TestDispatcher receiver(settings);
  EXPECT_TRUE(receiver.Handle(PeerMessage{0, reports[0].body}).empty());
}

TEST(UsageExchangeTest, MessagesAreBoundedAndForeignOnesAreIgnored) {
  for (const int dispatcher_count : {3, 680}) {
    Settings settings = TestSettings();
    settings.peers = true;
    settings.dispatcher_count = dispatcher_count;
    settings.tenants.resize(8);
    for (TenantSettings& tenant : settings.tenants) tenant.share = 0.125;
    TestDispatcher dispatcher(settings);
    dispatcher.UpdateEndpoints(MakeEndpoints(12));
    std::size_t reports = 0;
    for (int i = 0; i < 100; ++i) {
      dispatcher.SendRequest("j" + std::to_string(i), i % 3, i % 8);
      for (const SendPeerMessage& message :
           ActionsOf<SendPeerMessage>(dispatcher.AdvanceTime(0.1))) {
        EXPECT_LE(message.body.size(), 256u);
        EXPECT_NE(message.recipient, settings.dispatcher_index);
        EXPECT_LT(message.recipient, dispatcher_count);
        ++reports;
      }
    }
    EXPECT_GT(reports, 0u);
    EXPECT_LT(reports, 200u);
    for (const char* body :
         {"", "D", "garbage that is long enough to be a message, but is not", "D\x02"}) {
      EXPECT_TRUE(dispatcher.Handle(PeerMessage{1, body}).empty());
    }
    EXPECT_TRUE(dispatcher.Handle(PeerMessage{-4, "x"}).empty());
  }
}

std::string ToHex(const std::string& bytes) {
  std::string hex;
  for (const char character : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(character));
    hex += digits;
  }
  return hex;
}

// What a tier sends in a run.
struct Recording {
  std::size_t messages = 0, bytes = 0;
  // FNV-1a hash of senders, recipients and bodies, in order.
  std::uint64_t hash = 14695981039346656037ULL;
  std::string twentieth;  // one body, in hex
  void Add(int from, int to, const std::string& body) {
    messages += 1;
    bytes += body.size();
    for (const char character : std::to_string(from) + ">" + std::to_string(to) + ":" + body) {
      hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
    }
    if (messages == 20) twentieth = ToHex(body);
  }
};

Recording RecordReports(int dispatchers, int classes) {
  ReportTier simulated_tier(
      {.dispatcher_count = dispatchers, .tenants = 6, .classes = classes, .half_full = true});
  Recording recording;
  simulated_tier.on_send = [&](int from, int to, const std::string& body) {
    recording.Add(from, to, body);
  };
  simulated_tier.Start();
  for (int dispatcher = 0; dispatcher < dispatchers; ++dispatcher) {
    for (int tenant = 0; tenant < 6; ++tenant)
      simulated_tier.AddDemand(dispatcher, tenant, 0.5 + tenant + dispatcher % 3);
  }
  simulated_tier.RunUntil(108);
  return recording;
}

// Recorded with commit eb0c559, before reports could span several datagrams: the encoding of small
// tiers must not change.
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
  for (const Case& test_case : cases) {
    SCOPED_TRACE(std::to_string(test_case.dispatchers) + " dispatchers, " +
                 std::to_string(test_case.classes) + " classes");
    const Recording recording = RecordReports(test_case.dispatchers, test_case.classes);
    EXPECT_EQ(recording.messages, test_case.messages);
    EXPECT_EQ(recording.bytes, test_case.bytes);
    EXPECT_EQ(recording.hash, test_case.hash);
    EXPECT_EQ(recording.twentieth, test_case.twentieth);
  }
}

TEST(UsageExchangeTest, DatagramsHoldAtMost256Bytes) {
  for (const int dispatchers : {3, 30}) {
    for (const int tenants : {6, 30, 50, 60, 130, 260}) {
      for (const int classes : {1, 2}) {
        SCOPED_TRACE(std::to_string(dispatchers) + " dispatchers, " + std::to_string(tenants) +
                     " tenants, " + std::to_string(classes) + " classes");
        ReportTier simulated_tier(
            {.dispatcher_count = dispatchers, .tenants = tenants, .classes = classes});
        std::size_t reports = 0, longest = 0;
        simulated_tier.on_send = [&](int, int, const std::string& body) {
          reports += 1;
          longest = std::max(longest, body.size());
        };
        simulated_tier.Start();
        for (int tenant = 0; tenant < tenants; ++tenant)
          simulated_tier.AddDemand(tenant % dispatchers, tenant, 1);
        simulated_tier.RunUntil(104);
        EXPECT_GT(reports, 0u);
        EXPECT_LE(longest, 256u);
      }
    }
  }
}

// While the fleet is full, the demand of one tenant arrives, within its quota, at only one of three
// dispatchers. A dispatcher that receives no reports takes the others to be like itself and would
// admit only a third of it.
TEST(UsageExchangeTest, TenantAtOneDispatcherOfThreeGetsItsQuotaThere) {
  for (const double loss : {0.0, 0.2}) {
    for (const int tenants : {6, 50, 60, 130, 260}) {
      for (const int classes : {1, 2}) {
        SCOPED_TRACE(std::to_string(tenants) + " tenants, " + std::to_string(classes) +
                     " classes, loss " + std::to_string(loss));
        ReportTier simulated_tier({.dispatcher_count = 3,
                                   .tenants = tenants,
                                   .classes = classes,
                                   .loss = loss,
                                   .half_full = true});
        const int single_tenant = tenants - 2;
        simulated_tier.SetQuota(single_tenant, 36);
        simulated_tier.Start();
        simulated_tier.AddDemand(0, single_tenant, 30);
        for (int tenant = 0; tenant < tenants; ++tenant) {
          for (int dispatcher = 0; tenant != single_tenant && dispatcher < 3; ++dispatcher)
            simulated_tier.AddDemand(dispatcher, tenant, 60.0 / tenants);
        }
        simulated_tier.RunUntil(115);
        simulated_tier.ResetAdmissions();
        simulated_tier.RunUntil(130);
        const ReportTier::Admission own = simulated_tier.admission(0, single_tenant);
        EXPECT_GE(own.admitted, 0.95 * own.arrived) << own.arrived;
        ReportTier::Admission others;
        for (int tenant = 0; tenant < tenants; ++tenant) {
          for (int dispatcher = 0; tenant != single_tenant && dispatcher < 3; ++dispatcher) {
            others.arrived += simulated_tier.admission(dispatcher, tenant).arrived;
            others.admitted += simulated_tier.admission(dispatcher, tenant).admitted;
          }
        }
        EXPECT_LE(others.admitted, 0.8 * others.arrived) << "the fleet isn't full";
      }
    }
  }
}

}  // namespace
}  // namespace millethollow::balancing
