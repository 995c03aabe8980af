// The simulator's adapter: malformed input must be reported and must not affect later lines, other
// instances or a restarted instance.
#include <gtest/gtest.h>

#include <sstream>

#include "simulator_adapter/adapter.h"

namespace millethollow::simulator_adapter {
namespace {

constexpr char kStartLine[] =
    "START scheduler=3 rng_seed=7 balancers=1 ordinal=0 classes.count=1 classes.0.aim_s=0.1 "
    "classes.0.give_up_s=5 classes.0.semantics=repeatable limits.most_tries=3 zones=a kinds=k "
    "some.unknown=1";

class SimulatorAdapterTest : public ::testing::Test {
 protected:
  // Runs one batch and returns its reply.
  std::string RunBatch(const std::string& lines, double now_s = 1) {
    EXPECT_TRUE(adapter_.HandleLine("TURN ts_s=" + FormatSeconds(now_s)));
    std::istringstream input(lines);
    for (std::string line; std::getline(input, line);)
      EXPECT_TRUE(adapter_.HandleLine(line)) << line;
    EXPECT_TRUE(adapter_.HandleLine("YOUR_TURN"));
    const std::optional<std::string> reply = adapter_.TakeReply();
    EXPECT_TRUE(reply);
    return reply.value_or("");
  }
  // Starts instance 3 with one worker and returns the reply.
  std::string StartInstance() {
    return RunBatch(std::string(kStartLine) +
                    "\nCENSUS list=0 elements=1\nENTRY readiness=ready hall=0 worker=10.0.0.1:80 "
                    "generation_hw=0\nPEERS_KNOWN scheduler=3 kind=restored list=0 index=1");
  }
  std::ostringstream errors_;
  Adapter adapter_{&errors_};
};

TEST_F(SimulatorAdapterTest, EmptyBatchHasAnEmptyReply) { EXPECT_EQ(RunBatch(""), "NEXT\n"); }

TEST_F(SimulatorAdapterTest, SendsAnAttemptForARequest) {
  StartInstance();
  const std::string reply = RunBatch("INGRESS scheduler=3 msg_id=t/a expires_s=6 slots=1 cls=0", 2);
  EXPECT_NE(reply.find("HAND_OFF scheduler=3 msg_id=t/a worker=10.0.0.1:80"), std::string::npos);
  EXPECT_EQ(errors_.str(), "");
}

TEST_F(SimulatorAdapterTest, ListNumberCanBeReusedWithinOneBatch) {
  const std::string start4 = [] {
    std::string start = kStartLine;
    return start.replace(start.find("scheduler=3"), 11, "scheduler=4");
  }();
  RunBatch(std::string(kStartLine) + "\n" + start4 +
           "\nCENSUS list=0 elements=1\nENTRY readiness=ready hall=0 worker=w1:1\n"
           "PEERS_KNOWN scheduler=3 kind=restored list=0 index=1\n"
           "CENSUS list=0 elements=1\nENTRY readiness=ready hall=0 worker=w2:1\n"
           "PEERS_KNOWN scheduler=4 kind=restored list=0 index=1");
  const std::string reply = RunBatch(
      "INGRESS scheduler=3 msg_id=a expires_s=6 cls=0\nINGRESS scheduler=4 msg_id=b expires_s=6 "
      "cls=0",
      2);
  EXPECT_NE(reply.find("msg_id=a worker=w1:1"), std::string::npos) << reply;
  EXPECT_NE(reply.find("msg_id=b worker=w2:1"), std::string::npos) << reply;
}

TEST_F(SimulatorAdapterTest, InstanceRestartedWithinOneBatchHasNoState) {
  StartInstance();
  RunBatch("INGRESS scheduler=3 msg_id=t/a expires_s=6 cls=0", 2);
  RunBatch(std::string("KILLED scheduler=3\n") + kStartLine, 3);
  // The new instance knows no worker, so it can only reject the request.
  const std::string reply = RunBatch("INGRESS scheduler=3 msg_id=t/b expires_s=9 cls=0", 4);
  EXPECT_NE(reply.find("REFUSE scheduler=3 msg_id=t/b"), std::string::npos) << reply;
}

TEST_F(SimulatorAdapterTest, BadLinesAreReportedAndSkipped) {
  StartInstance();
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
  for (const auto& [line, expected_error] : cases) {
    errors_.str("");
    EXPECT_EQ(RunBatch(line, 5), "NEXT\n") << line;
    EXPECT_NE(errors_.str().find(expected_error), std::string::npos)
        << line << " -> " << errors_.str();
    EXPECT_NE(errors_.str().find("line "), std::string::npos);
  }
}

TEST_F(SimulatorAdapterTest, RepliesToABatchOfAMegabyte) {
  StartInstance();
  std::string lines;
  for (int i = 0; i < 20000; ++i) {
    lines += "INGRESS scheduler=3 msg_id=t/" + std::to_string(i) + " expires_s=9 cls=0\n";
  }
  const std::string reply = RunBatch(lines, 2);
  EXPECT_GT(reply.size(), 20000u * 20);
}

TEST_F(SimulatorAdapterTest, RefusesInputAfterFramingIsLost) {
  EXPECT_FALSE(adapter_.HandleLine("INGRESS scheduler=3 msg_id=x"));
  EXPECT_TRUE(adapter_.HandleLine("TURN ts_s=1"));
  EXPECT_FALSE(adapter_.HandleLine("TURN ts_s=2"));
  EXPECT_NE(errors_.str().find("framing is lost"), std::string::npos);
}

TEST_F(SimulatorAdapterTest, InstancesDoNotAffectEachOther) {
  std::ostringstream errors;
  Adapter adapter_of_3(&errors);
  const auto run_batch = [](Adapter& adapter, const std::string& lines, double now_s) {
    adapter.HandleLine("TURN ts_s=" + FormatSeconds(now_s));
    std::istringstream input(lines);
    for (std::string line; std::getline(input, line);) adapter.HandleLine(line);
    adapter.HandleLine("YOUR_TURN");
    return adapter.TakeReply().value_or("");
  };
  std::string start3 = kStartLine, start4 = kStartLine, list = "CENSUS list=2 elements=5\n";
  start4.replace(start4.find("scheduler=3"), 11, "scheduler=4");
  for (int i = 0; i < 5; ++i)
    list += "ENTRY readiness=ready hall=0 worker=w" + std::to_string(i) + ":1\n";
  const std::string known3 = "PEERS_KNOWN scheduler=3 kind=restored list=2 index=1\n";
  const std::string known4 = "PEERS_KNOWN scheduler=4 kind=restored list=2 index=1\n";
  // Instance 3 must return the same replies with and without instance 4 in its adapter.
  Adapter adapter_of_both(&errors);
  run_batch(adapter_of_both, start3 + "\n" + start4 + "\n" + list + known3 + known4, 1);
  run_batch(adapter_of_3, start3 + "\n" + list + known3, 1);
  for (int i = 0; i < 200; ++i) {
    const std::string number = std::to_string(i);
    const std::string request3 = "INGRESS scheduler=3 msg_id=a" + number + " expires_s=99 cls=0\n";
    const std::string request4 = "INGRESS scheduler=4 msg_id=b" + number + " expires_s=99 cls=0\n";
    std::string both_replies = run_batch(adapter_of_both, request4 + request3, 2 + i * 0.01),
                replies_of_3;
    std::istringstream input(both_replies);
    for (std::string line; std::getline(input, line);) {
      if (line.find("scheduler=4") == std::string::npos) replies_of_3 += line + "\n";
    }
    EXPECT_EQ(replies_of_3, run_batch(adapter_of_3, request3, 2 + i * 0.01));
  }
}

}  // namespace
}  // namespace millethollow::simulator_adapter
