// The core without any wire: deadlines, the ledger and its last-line checks.
#include <gtest/gtest.h>

#include "config/config.h"
#include "core/planner.h"
#include "net/discovery.h"
#include "support.h"

namespace millethollow {
namespace {

TEST(Deadlines, SweepInOrderAndLeaveWhatIsSetMeanwhile) {
  Deadlines deadlines;
  std::string ran;
  deadlines.At(2, [&] { ran += "b"; });
  deadlines.At(1, [&] {
    ran += "a";
    deadlines.At(1, [&] { ran += "d"; });
  });
  auto dropped = deadlines.At(1.5, [&] { ran += "x"; });
  deadlines.At(3, [&] { ran += "c"; });
  deadlines.Drop(&dropped);
  deadlines.Sweep(2);
  EXPECT_EQ(ran, "ab");
  EXPECT_EQ(*deadlines.Next(), 1);
  deadlines.Sweep(3);
  EXPECT_EQ(ran, "abdc");
}

struct Port : ForwarderPort {
  struct Sent {
    EnvelopeId id;
    int attempt;
    std::string next_hop;
  };
  void Send(EnvelopeId id, int attempt, const std::string& hop) override { sent.push_back({id, attempt, hop}); }
  void Cancel(EnvelopeId, int) override { ++cancelled; }
  void Probe(const std::string&) override {}
  void Answer(EnvelopeId, const FinalAnswer& a) override { answers.push_back(a); }
  std::vector<Sent> sent;
  std::vector<FinalAnswer> answers;
  int cancelled = 0;
};

struct World {
  World() {
    std::string why;
    EXPECT_TRUE(ReadConfig(TestConfig({"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}), &config, &why));
    MemberList list;
    EXPECT_TRUE(ReadMemberList(config.known, config.zones, config.kinds, &list, &why));
    Planner::Hooks hooks;
    hooks.now = [this] { return now; };
    planner = std::make_unique<Planner>(config.settings, 1, &deadlines, hooks, &counters);
    number = planner->AddForwarder(&port, true);
    planner->Start(list.Members());
  }
  EnvelopeId Take(int cls, double timeout = 5) {
    Envelope e;
    e.id = number << kForwarderShift | ++last;
    e.cls = cls;
    e.expires_at = now + timeout;
    planner->Taken(e);
    return e.id;
  }
  double now = 1000;
  Config config;
  Deadlines deadlines;
  Counters counters;
  Port port;
  std::uint64_t number = 0, last = 0;
  std::unique_ptr<Planner> planner;
};

TEST(Planner, GivesExactlyOneFinalAnswer) {
  World w;
  const EnvelopeId id = w.Take(0);
  ASSERT_EQ(w.port.sent.size(), 1u);
  w.planner->Ended(id, 0, {.verdict = Verdict::kServed});
  w.planner->Ended(id, 0, {.verdict = Verdict::kServed});
  w.planner->SenderGone(id);
  w.now += 10;
  w.deadlines.Sweep(w.now);
  ASSERT_EQ(w.port.answers.size(), 1u);
  EXPECT_EQ(w.port.answers[0].kind, FinalAnswer::Kind::kServed);
  EXPECT_EQ(w.planner->open_envelopes(), 0u);
}

TEST(Planner, EndsTheAttemptAndAnswersAtExpiry) {
  for (const int cls : {0, 1}) {
    World w;
    w.Take(cls, 0.5);
    w.now += 0.5;
    w.deadlines.Sweep(w.now);
    EXPECT_EQ(w.port.cancelled, 1);
    ASSERT_EQ(w.port.answers.size(), 1u);
    EXPECT_EQ(w.port.answers[0].kind,
              cls == 0 ? FinalAnswer::Kind::kDeferred : FinalAnswer::Kind::kFailed);
    EXPECT_EQ(w.planner->open_envelopes(), 0u);
  }
}

TEST(Planner, SendsNothingWhereAllAreToldToDrainOrMissingFromAFullList) {
  World w;
  w.planner->ListKnown(decksail::ListKind::kReplace, {});
  w.now += 3;
  w.Take(0);
  EXPECT_TRUE(w.port.sent.empty());
  ASSERT_EQ(w.port.answers.size(), 1u);
  EXPECT_EQ(w.port.answers[0].kind, FinalAnswer::Kind::kDeferred);
  EXPECT_LE(w.port.answers[0].retry_after_s, w.config.settings.max_retry_after_s);
}

TEST(Planner, ALostForwardersEnvelopesAreClosed) {
  World w;
  w.Take(1);
  w.planner->ForwarderLost(w.number);
  EXPECT_EQ(w.planner->open_envelopes(), 0u);
}

TEST(Config, SaysInOneLineWhatIsWrong) {
  const std::string good = TestConfig({});
  const auto why = [](std::string text, const std::string& from, const std::string& to) {
    if (!from.empty()) text.replace(text.find(from), from.size(), to);
    Config config;
    std::string line;
    EXPECT_FALSE(ReadConfig(text, &config, &line)) << to;
    EXPECT_EQ(line.find('\n'), std::string::npos);
    return line;
  };
  EXPECT_NE(why("[]", "", "").find("JSON"), std::string::npos);
  EXPECT_NE(why(good, R"("name":"t")", R"("name":7)").find("name"), std::string::npos);
  EXPECT_NE(why(good, R"("most_tries":4)", R"("most_tries":0)").find("attempts"), std::string::npos);
  EXPECT_NE(why(good, R"("by_key")", R"("by_luck")").find("semantics"), std::string::npos);
  EXPECT_NE(why(good, R"("name":"t")", R"("gearman":{"functions":{"f":{"class":"?"}}})").find("f"),
            std::string::npos);
}

TEST(MemberList, ReadsStatesAndStarts) {
  MemberList list;
  std::string why;
  ASSERT_TRUE(ReadMemberList(R"({"version":43,"full":false,"servers":[{"id":"s","addr":"1.2.3.4:5",
      "zone":"b","kind":"m2","cell":3,"state":"terminating","started_ms":1500},{"nameless":1},
      {"id":"t","state":"odd"}]})", {"a", "b"}, {"m1", "m2"}, &list, &why));
  ASSERT_EQ(list.entries.size(), 2u);
  EXPECT_EQ(list.entries[0].member.zone, 1);
  EXPECT_EQ(list.entries[0].member.kind, 1);
  EXPECT_EQ(list.entries[0].member.born_s, 1.5);
  EXPECT_EQ(list.entries[1].member.readiness, decksail::Readiness::kDraining);
  EXPECT_FALSE(ReadMemberList("{}", {}, {}, &list, &why));
}

}  // namespace
}  // namespace millethollow
