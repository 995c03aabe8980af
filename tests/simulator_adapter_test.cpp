#include <gtest/gtest.h>

#include <sstream>

#include "simulator_adapter/adapter.h"

namespace millethollow::simulator_adapter {
namespace {

TEST(WireTest, Base64RoundTripsEveryLength) {
  std::string bytes;
  for (int i = 0; i < 300; ++i) {
    EXPECT_EQ(DecodeBase64(EncodeBase64(bytes)), bytes) << i;
    bytes.push_back(static_cast<char>(i * 37));
  }
  EXPECT_EQ(EncodeBase64("hi 7"), "aGkgNw==");
  EXPECT_EQ(EncodeBase64(""), "-");
}

TEST(WireTest, DamagedBase64IsNotDecoded) {
  EXPECT_FALSE(DecodeBase64("aGk"));
  EXPECT_FALSE(DecodeBase64("a=k="));
  EXPECT_FALSE(DecodeBase64("aG*g"));
}

TEST(WireTest, NumbersAreWholeAndFinite) {
  double value = 5;
  EXPECT_TRUE(ParseNumber("8.41225", &value));
  EXPECT_DOUBLE_EQ(value, 8.41225);
  for (const char* bad : {"", "x", "1x", "nan", "inf", "1e999"}) {
    EXPECT_FALSE(ParseNumber(bad, &value)) << bad;
  }
  EXPECT_EQ(FormatSeconds(0.08), "0.08");
  EXPECT_EQ(FormatSeconds(2), "2");
  EXPECT_EQ(FormatSeconds(0.000004), "0.000004");
}

constexpr char kStart[] =
    "START scheduler=3 rng_seed=7 balancers=1 ordinal=0 classes.count=1 classes.0.aim_s=0.1 "
    "classes.0.give_up_s=5 classes.0.semantics=repeatable limits.most_tries=3 zones=a kinds=k "
    "some.unknown=1";

TEST(WireTest, SettingsAreReadAndUnknownOnesIgnored) {
  std::string_view name;
  Fields pairs;
  ASSERT_TRUE(Split(kStart, &name, &pairs));
  Settings s;
  std::string why;
  ASSERT_TRUE(ParseSettings(pairs, &s, &why)) << why;
  EXPECT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.max_attempts, 3);
  EXPECT_TRUE(s.tenants.empty());
}

TEST(WireTest, NonsensicalSettingsAreRefusedWithAReason) {
  for (const char* bad :
       {"START a=1 classes.count=0", "START classes.count=1 classes.0.aim_s=-1",
        "START classes.count=x", "START classes.count=1 classes.0.semantics=sometimes"}) {
    std::string_view name;
    Fields pairs;
    ASSERT_TRUE(Split(bad, &name, &pairs));
    Settings s;
    std::string why;
    EXPECT_FALSE(ParseSettings(pairs, &s, &why)) << bad;
    EXPECT_FALSE(why.empty());
  }
}

class HostTest : public ::testing::Test {
 protected:
  // Runs one batch and returns its reply.
  std::string Batch(const std::string& lines, double now = 1) {
    EXPECT_TRUE(host_.Line("TURN ts_s=" + FormatSeconds(now)));
    std::istringstream in(lines);
    for (std::string line; std::getline(in, line);) EXPECT_TRUE(host_.Line(line)) << line;
    EXPECT_TRUE(host_.Line("YOUR_TURN"));
    std::string reply;
    EXPECT_TRUE(host_.TakeReply(&reply));
    return reply;
  }
  std::string Boot() {
    return Batch(std::string(kStart) +
                 "\nCENSUS list=0 elements=1\nENTRY readiness=ready hall=0 worker=10.0.0.1:80 "
                 "generation_hw=0\nPEERS_KNOWN scheduler=3 kind=restored list=0 index=1");
  }
  std::ostringstream errors_;
  Host host_{&errors_};
};

TEST_F(HostTest, EmptyBatchHasAnEmptyReply) { EXPECT_EQ(Batch(""), "NEXT\n"); }

TEST_F(HostTest, AJobIsHandedOff) {
  Boot();
  const std::string reply = Batch("INGRESS scheduler=3 msg_id=t/a expires_s=6 slots=1 cls=0", 2);
  EXPECT_NE(reply.find("HAND_OFF scheduler=3 msg_id=t/a worker=10.0.0.1:80"), std::string::npos);
  EXPECT_EQ(errors_.str(), "");
}

TEST_F(HostTest, AListNumberIsReusedWithinOneBatch) {
  const std::string other = [] {
    std::string s = kStart;
    return s.replace(s.find("scheduler=3"), 11, "scheduler=4");
  }();
  Batch(std::string(kStart) + "\n" + other +
        "\nCENSUS list=0 elements=1\nENTRY readiness=ready hall=0 worker=w1:1\n"
        "PEERS_KNOWN scheduler=3 kind=restored list=0 index=1\n"
        "CENSUS list=0 elements=1\nENTRY readiness=ready hall=0 worker=w2:1\n"
        "PEERS_KNOWN scheduler=4 kind=restored list=0 index=1");
  const std::string reply = Batch(
      "INGRESS scheduler=3 msg_id=a expires_s=6 cls=0\nINGRESS scheduler=4 msg_id=b expires_s=6 "
      "cls=0",
      2);
  EXPECT_NE(reply.find("msg_id=a worker=w1:1"), std::string::npos) << reply;
  EXPECT_NE(reply.find("msg_id=b worker=w2:1"), std::string::npos) << reply;
}

TEST_F(HostTest, KilledAndStartedInOneBatchBeginsEmpty) {
  Boot();
  Batch("INGRESS scheduler=3 msg_id=t/a expires_s=6 cls=0", 2);
  Batch(std::string("KILLED scheduler=3\n") + kStart, 3);
  // No worker is known to the new life, so the job can only be refused.
  const std::string reply = Batch("INGRESS scheduler=3 msg_id=t/b expires_s=9 cls=0", 4);
  EXPECT_NE(reply.find("REFUSE scheduler=3 msg_id=t/b"), std::string::npos) << reply;
}

TEST_F(HostTest, BadInputIsReportedAndSkipped) {
  Boot();
  const std::pair<const char*, const char*> cases[] = {
      {"NONSENSE scheduler=3", "unknown message"},
      {"INGRESS scheduler=9 msg_id=x expires_s=3 cls=0", "unknown or stopped instance"},
      {"INGRESS scheduler=3 expires_s=3 cls=0", "missing field 'msg_id'"},
      {"INGRESS scheduler=3 msg_id=x expires_s=soon cls=0", "bad number in 'expires_s'"},
      {"INGRESS scheduler=3 msg_id=x cls=0", "missing field 'expires_s'"},
      {"NOTE_FROM scheduler=3 sender=1 body=***", "bad base64"},
      {"PEERS_KNOWN scheduler=3 kind=update list=7 index=2", "unknown list"},
      {"PEERS_KNOWN scheduler=3 kind=update list=99 index=2", "unknown list"},
      {"CENSUS list=16 elements=0", "list number out of range"},
      {"CENSUS list=0 elements=-4", "bad number of entries"},
      {"COMPLETED scheduler=3 msg_id=x hop=0 worker=w verdict=odd", "unknown verdict"},
      {"WAKE scheduler=3 mark=-1", "bad 'mark'"},
      {"WAKE scheduler=3 loose", "malformed line"},
  };
  for (const auto& [line, what] : cases) {
    errors_.str("");
    EXPECT_EQ(Batch(line, 5), "NEXT\n") << line;
    EXPECT_NE(errors_.str().find(what), std::string::npos) << line << " -> " << errors_.str();
    EXPECT_NE(errors_.str().find("line "), std::string::npos);
  }
}

TEST_F(HostTest, AMegabyteBatchIsAnswered) {
  Boot();
  std::string lines;
  for (int i = 0; i < 20000; ++i) {
    lines += "INGRESS scheduler=3 msg_id=t/" + std::to_string(i) + " expires_s=9 cls=0\n";
  }
  const std::string reply = Batch(lines, 2);
  EXPECT_GT(reply.size(), 20000u * 20);
}

TEST_F(HostTest, LostFramingEndsTheStream) {
  EXPECT_FALSE(host_.Line("INGRESS scheduler=3 msg_id=x"));
  EXPECT_TRUE(host_.Line("TURN ts_s=1"));
  EXPECT_FALSE(host_.Line("TURN ts_s=2"));
  EXPECT_NE(errors_.str().find("framing is lost"), std::string::npos);
}

TEST_F(HostTest, SpreadOverHostsTheActionsAreTheSame) {
  std::ostringstream errors;
  Host apart(&errors);
  const auto run = [](Host& host, const std::string& lines, double now) {
    host.Line("TURN ts_s=" + FormatSeconds(now));
    std::istringstream in(lines);
    for (std::string line; std::getline(in, line);) host.Line(line);
    host.Line("YOUR_TURN");
    std::string reply;
    host.TakeReply(&reply);
    return reply;
  };
  std::string start3 = kStart, start4 = kStart, list = "CENSUS list=2 elements=5\n";
  start4.replace(start4.find("scheduler=3"), 11, "scheduler=4");
  for (int i = 0; i < 5; ++i)
    list += "ENTRY readiness=ready hall=0 worker=w" + std::to_string(i) + ":1\n";
  const std::string known3 = "PEERS_KNOWN scheduler=3 kind=restored list=2 index=1\n";
  const std::string known4 = "PEERS_KNOWN scheduler=4 kind=restored list=2 index=1\n";
  // Together in one host, instance 4 sees traffic too; alone, instance 3 must act the same.
  Host together(&errors);
  run(together, start3 + "\n" + start4 + "\n" + list + known3 + known4, 1);
  run(apart, start3 + "\n" + list + known3, 1);
  for (int i = 0; i < 200; ++i) {
    const std::string n = std::to_string(i);
    const std::string job3 = "INGRESS scheduler=3 msg_id=a" + n + " expires_s=99 cls=0\n";
    const std::string job4 = "INGRESS scheduler=4 msg_id=b" + n + " expires_s=99 cls=0\n";
    std::string both = run(together, job4 + job3, 2 + i * 0.01), only;
    std::istringstream in(both);
    for (std::string line; std::getline(in, line);) {
      if (line.find("scheduler=4") == std::string::npos) only += line + "\n";
    }
    EXPECT_EQ(only, run(apart, job3, 2 + i * 0.01));
  }
}

}  // namespace
}  // namespace millethollow::simulator_adapter
