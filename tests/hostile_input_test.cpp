// Input from outside that no specification forbids, or that none allows, against a node as a
// process of its own: it must neither end the process, nor take its memory, nor hold up others.
#include <gtest/gtest.h>

#include <string>

#include "support/node_process.h"

namespace millethollow {
namespace {

// Nested arrays in some 240 KB, within what a worker may send.
constexpr std::size_t kDeepNesting = 120'000;

std::string NestedArrays(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// The last line of a worker's response, with `members` added to it.
std::string LastLine(const FakeWorker::ReceivedRequest& request, const std::string& members) {
  std::string line = FakeWorker::StateLine(request, "done");
  line.insert(line.size() - 1, "," + members);
  return line;
}

// Guards against a process that ends with a segmentation fault when a worker's result is deeply
// nested JSON: the result was written out by a function that called itself for each level.
TEST(WorkerResponse, ADeeplyNestedResultIsServedAsItCame) {
  NodeProcess node(1);
  const std::string result = NestedArrays(kDeepNesting);
  node.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& request) {
    FakeWorker::RespondWithLines(request, {LastLine(request, "\"result\":" + result)});
  };
  const std::string answer = node.Exchange(Post("a1", "look"), result);
  EXPECT_EQ(node.EndText(), "running") << node.Log();
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << answer.substr(0, 200);
  EXPECT_TRUE(answer.ends_with("\r\n\r\n" + result));
}

// Guards against the same with a load report in which a value is deeply nested.
TEST(WorkerResponse, ADeeplyNestedLoadReportIsIgnored) {
  NodeProcess node(1);
  node.workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& request) {
    const std::string load = "\"load\":{\"util\":" + NestedArrays(kDeepNesting) + "}";
    FakeWorker::RespondWithLines(request, {LastLine(request, load + ",\"result\":\"ok\"")});
  };
  const double seconds = node.LookUpSeconds();
  EXPECT_EQ(node.EndText(), "running") << node.Log();
  EXPECT_LT(seconds, 3);
}

// Guards against checks for the peer's close that are set again each time a client's input is
// paused and go on without end, after the connection is gone too: each request of a client that
// sends ahead left one more, they took the processor, and then read freed memory.
TEST(PipelinedRequests, LeaveNothingBehindWhenTheyAreSentFasterThanAnswered) {
  constexpr int kRequests = 40'000, kRounds = 3;
  NodeProcess node(1);
  std::string requests;
  for (int i = 0; i < kRequests; ++i) requests += "GET /_health HTTP/1.1\r\nHost: s\r\n\r\n";
  for (int round = 0; round < kRounds; ++round) {
    const auto client = node.Client();
    client->Write(requests);
    node.RunFor(1);
    client->Close("test");
    node.RunFor(0.3);
  }
  EXPECT_EQ(node.EndText(), "running") << node.Log();
  const double cpu_before = node.CpuSeconds();
  node.RunFor(1);
  EXPECT_LT(node.CpuSeconds() - cpu_before, 0.2) << "nobody is connected";
  EXPECT_LT(node.LookUpSeconds(), 1);
}

}  // namespace
}  // namespace millethollow
