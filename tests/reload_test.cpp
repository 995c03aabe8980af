// Tests of hot reload by SIGHUP: a new configuration, a move of discovery to another address, and
// requests that are open meanwhile.
#include "config/reload.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

#include "net/discovery.h"
#include "node/supervisor.h"
#include "support/node_harness.h"

namespace millethollow {
namespace {

using balancing::EndpointListKind;
using balancing::Readiness;

std::string Entry(const std::string& worker, const std::string& state, int started_ms = 0) {
  return R"({"id":")" + worker + R"(","addr":"127.0.0.1:9","zone":"q","kind":"k","state":")" +
         state + R"(","started_ms":)" + std::to_string(started_ms) + "}";
}
void RespondWithList(const FakeWorker::ReceivedRequest& call, int version, bool full,
                     const std::string& entries) {
  const std::string body = R"({"version":)" + std::to_string(version) + R"(,"full":)" +
                           (full ? "true" : "false") + R"(,"servers":[)" + entries + "]}";
  call.from->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                   "\r\n\r\n" + body);
}

// Two discovery servers and a client that moves from the old one to the new one. The old one has
// reported that w0 is draining.
struct DiscoveryMove : testing::Test {
  DiscoveryMove() {
    LogLevel() = Level::kError;
    old_server.on_request = [](const FakeWorker::ReceivedRequest& call) {
      if (call.head.target.ends_with("wait_ms=0"))
        RespondWithList(call, 41, false, Entry("w0", "terminating"));
    };
    CreateDiscovery(1);
    discovery->Subscribe(true);
    EXPECT_TRUE(
        TurnUntil(loop, [&] { return old_server.requests.size() == 2; }));  // the watch is open
  }
  void CreateDiscovery(int nodes) {
    discovery = std::make_unique<Discovery>(
        &loop,
        Discovery::Options{.address = old_server.address(),
                           .zones = {"q"},
                           .kinds = {"k"},
                           .seed = 3,
                           .nodes = nodes},
        Discovery::Hooks{
            .on_list = [this](EndpointListKind kind,
                              const EndpointList& list) { lists.emplace_back(kind, list); },
            .on_unavailable = [] {}});
  }
  Loop loop;
  FakeWorker old_server{&loop}, new_server{&loop};
  std::vector<std::pair<EndpointListKind, EndpointList>> lists;
  std::unique_ptr<Discovery> discovery;
};

// Versions of different servers can't be compared, so the client fetches a full list first and
// watches from its version.
TEST_F(DiscoveryMove, FetchesAFullListAndWatchesFromItsVersion) {
  new_server.on_request = [](const FakeWorker::ReceivedRequest& call) {
    if (call.head.target.find("after") == std::string::npos)
      RespondWithList(call, 3, true, Entry("w1", "in_service"));
  };
  discovery->SetAddress(new_server.address());
  ASSERT_TRUE(TurnUntil(loop, [&] { return new_server.requests.size() == 2; }));
  EXPECT_EQ(new_server.requests[0].head.target, "/catalog/members");
  EXPECT_TRUE(new_server.requests[1].head.target.starts_with("/catalog/members?after=3&"));
  // A watch without a response must not delay the report of a drain for long.
  EXPECT_TRUE(new_server.requests[1].head.target.ends_with("&wait_ms=3000"))
      << new_server.requests[1].head.target;
  EXPECT_EQ(lists.back().first, EndpointListKind::kSnapshot);
}

// A drain that only the old server has reported applies, whether it was reported before the new
// list or after it.
TEST_F(DiscoveryMove, KeepsADrainThatOnlyTheOldServerReported) {
  new_server.on_request = [](const FakeWorker::ReceivedRequest& call) {
    if (call.head.target.find("after") != std::string::npos) return;
    RespondWithList(call, 3, true, Entry("w0", "in_service") + "," + Entry("w1", "in_service"));
  };
  discovery->SetAddress(new_server.address());
  ASSERT_TRUE(TurnUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[1].second.entries[0].endpoint.readiness, Readiness::kDraining);
  EXPECT_EQ(lists[1].second.entries[1].endpoint.readiness, Readiness::kReady);
  RespondWithList(old_server.requests[1], 42, false,
                  Entry("w1", "terminating") + "," + Entry("w2", "in_service"));
  ASSERT_TRUE(TurnUntil(loop, [&] { return lists.size() == 3; }));
  EXPECT_EQ(lists[2].first, EndpointListKind::kIncremental);
  ASSERT_EQ(lists[2].second.entries.size(), 1u);
  EXPECT_EQ(lists[2].second.entries[0].endpoint.worker, "w1");
}

TEST_F(DiscoveryMove, AcceptsALaterStart) {
  new_server.on_request = [](const FakeWorker::ReceivedRequest& call) {
    if (call.head.target.find("after") == std::string::npos)
      RespondWithList(call, 3, true, Entry("w0", "in_service", 5000));
  };
  discovery->SetAddress(new_server.address());
  ASSERT_TRUE(TurnUntil(loop, [&] { return lists.size() == 2; }));
  EXPECT_EQ(lists[1].second.entries[0].endpoint.readiness, Readiness::kReady);
}

// Changes at the new server count as known to the node soon after the move. The usual retry
// intervals are longer than that, and so is the time over which a large tier spreads its first
// calls.
TEST_F(DiscoveryMove, RetriesAFailingNewAddressAtOnce) {
  for (const int nodes : {1, 100}) {
    CreateDiscovery(nodes);
    new_server.requests.clear();
    const std::size_t known_before = lists.size();
    new_server.on_request = [&](const FakeWorker::ReceivedRequest& call) {
      if (new_server.requests.size() < 4) return call.from->Close("test");
      RespondWithList(call, 3, true, Entry("w1", "in_service"));
    };
    discovery->SetAddress(new_server.address());
    EXPECT_TRUE(TurnUntil(
        loop, [&] { return lists.size() > known_before; }, 1.5))
        << nodes;
  }
}

TEST(Reload, AppliesAValidFileAndKeepsTheConfigurationIfTheFileIsInvalid) {
  LogLevel() = Level::kError;
  Loop host;
  FakeWorker first_server(&host), second_server(&host);
  for (FakeWorker* server : {&first_server, &second_server}) {
    server->on_request = [](const FakeWorker::ReceivedRequest& call) {
      RespondWithList(call, 1, true, Entry("w1", "in_service"));
    };
  }
  const std::string path = testing::TempDir() + "reload" + std::to_string(getpid()) + ".json";
  const auto write_config = [&](const std::string& text) { std::ofstream(path) << text; };
  const auto config_with = [](const std::string& discovery) {
    return TestConfig({}, R"("discovery":")" + discovery + R"(",)");
  };
  write_config(config_with(first_server.address()));
  Config config;
  std::string error;
  ASSERT_TRUE(LoadConfig(path, &config, &error)) << error;
  Node node(config);
  ASSERT_TRUE(IsOk(node.Start()));
  node.CatchSignals(path);
  const auto until = [&](auto done) {
    const double end = host.Now() + 5;
    while (!done() && host.Now() < end) {
      for (Loop* loop : {&host, &node.loop()}) {
        loop->deadlines().At(loop->Now() + 0.001, [] {});
        loop->Turn();
      }
    }
    return done();
  };
  write_config(config_with(second_server.address()));
  raise(SIGHUP);
  ASSERT_TRUE(until([&] { return !second_server.requests.empty(); }));
  const std::size_t lists_before = node.counters().endpoint_lists;
  for (const char* invalid_config : {"{", R"({"listen":"127.0.0.1:0","discovery":"nowhere"})"}) {
    write_config(invalid_config);
    raise(SIGHUP);
    const std::size_t reloads = node.counters().reloads + node.counters().reload_errors;
    ASSERT_TRUE(
        until([&] { return node.counters().reloads + node.counters().reload_errors > reloads; }));
  }
  EXPECT_TRUE(
      until([&] { return node.counters().endpoint_lists > lists_before; }));  // the watch continues
  EXPECT_LE(first_server.requests.size(), 1u);  // called at the start, and not after the move
  unlink(path.c_str());
}

const std::string kLookupClassJson =
    R"({"name":"look","aim_s":0.25,"give_up_s":6,"importance":1,"semantics":"repeatable"})";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  const std::size_t position = text.find(from);
  EXPECT_NE(position, std::string::npos) << from;
  return text.replace(position, from.size(), to);
}

TEST(Reload, RejectsAnIncompleteFile) {
  const std::string valid_config = TestConfig({"127.0.0.1:9"});
  const auto is_accepted = [&](const std::string& text) {
    Config config;
    std::string error;
    const bool ok =
        ReadConfig(text, &config, &error) && CheckNoKeyMissing(valid_config, text, &error);
    EXPECT_EQ(ok, error.empty());
    EXPECT_EQ(error.find('\n'), std::string::npos);
    return ok;
  };
  EXPECT_TRUE(is_accepted(valid_config));
  EXPECT_TRUE(is_accepted(Replace(valid_config, kLookupClassJson + ",", "")));
  EXPECT_TRUE(is_accepted(Replace(valid_config, R"("most_tries":4)", R"("most_tries":1)")));
  EXPECT_TRUE(is_accepted(Replace(valid_config, R"(,"log_level":"error")", "")));
  EXPECT_FALSE(is_accepted(""));
  for (std::size_t length = 0; length < valid_config.size(); length += 37)
    EXPECT_FALSE(is_accepted(valid_config.substr(0, length)));
  for (const char* key :
       {R"("name":"t",)", R"("seed":"1f",)", R"("aim_s":0.25,)", R"("give_up_s":25,)",
        R"("most_tries":4,)", R"("group":"cell",)", R"("tick_s":0.005,)"}) {
    EXPECT_FALSE(is_accepted(Replace(valid_config, key, ""))) << key;
  }
  for (const char* number : {"0", "-1", "\"6\"", "\"soon\"", "null", "true", "[]"}) {
    EXPECT_FALSE(is_accepted(
        Replace(valid_config, R"("give_up_s":6)", std::string(R"("give_up_s":)") + number)));
    EXPECT_FALSE(is_accepted(
        Replace(valid_config, R"("most_tries":4)", std::string(R"("most_tries":)") + number)));
  }
}

// The class index of an open request must not be reused for another class.
TEST(Reload, KeepsTheIndexesOfClasses) {
  const std::string text = TestConfig({});
  const auto read_config = [](const std::string& from) {
    Config config;
    std::string error;
    EXPECT_TRUE(ReadConfig(from, &config, &error)) << error;
    return config;
  };
  Config config = read_config(text);
  bool class_in_use = true;
  const auto in_use = [&](int) { return class_in_use; };
  const Config renamed = read_config(Replace(text, R"("name":"look")", R"("name":"peek")"));
  EXPECT_EQ(MergeClasses(renamed, in_use, &config).reassigned, (std::vector{2}));
  EXPECT_EQ(config.classes, (std::vector<std::string>{"look", "charge", "peek"}));
  EXPECT_EQ(config.class_active, (std::vector{false, true, true}));
  const Config changed = read_config(Replace(text, R"("give_up_s":25)", R"("give_up_s":20)"));
  EXPECT_EQ(MergeClasses(changed, in_use, &config).reassigned,
            (std::vector{3}));  // look has its index 0 again
  EXPECT_EQ(config.class_active, (std::vector{true, false, false, true}));
  class_in_use = false;
  EXPECT_EQ(MergeClasses(read_config(text), in_use, &config).reassigned, std::vector<int>{});
  const Config extended = read_config(Replace(
      text, kLookupClassJson, kLookupClassJson + "," + Replace(kLookupClassJson, "look", "more")));
  EXPECT_EQ(MergeClasses(extended, in_use, &config).reassigned, (std::vector{2}));
}

// A reload adds a class, removes one and reduces the attempt limit. Open requests keep their rules.
TEST(Reload, ChangesClassesWithOpenRequests) {
  NodeHarness harness;
  const std::string path = testing::TempDir() + "classes" + std::to_string(getpid()) + ".json";
  const std::string text = harness.config.text;
  const auto reload = [&](const std::string& new_text) {
    std::ofstream(path) << new_text;
    const Counters& counters = harness.node->counters();
    const std::uint64_t before = counters.reloads + counters.reload_errors;
    raise(SIGHUP);
    return harness.Until([&] { return counters.reloads + counters.reload_errors > before; });
  };
  harness.node->CatchSignals(path);
  std::vector<FakeWorker::ReceivedRequest> held_requests;
  for (auto& worker : harness.workers)
    worker->on_request = [&](const FakeWorker::ReceivedRequest& request) {
      held_requests.push_back(request);
    };
  auto open_client = harness.Client();
  open_client->Write(Post("a", "look"));
  ASSERT_TRUE(harness.Until([&] { return !held_requests.empty(); }));
  EXPECT_EQ(harness.Exchange(Post("b", "new"), "\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  std::string new_text = Replace(text, kLookupClassJson, Replace(kLookupClassJson, "look", "new"));
  new_text = Replace(new_text, R"("most_tries":4)", R"("most_tries":1)");
  ASSERT_TRUE(reload(new_text));
  for (const FakeWorker::ReceivedRequest& request : held_requests)
    FakeWorker::RespondWithLines(request, {FakeWorker::StateLine(request, "failed")});
  const std::size_t held_before = held_requests.size();
  ASSERT_TRUE(harness.Until(
      [&] { return held_requests.size() > held_before; }));  // the open request may be retried
  for (auto& worker : harness.workers) {
    worker->on_request = [](const FakeWorker::ReceivedRequest& request) {
      FakeWorker::RespondWithLines(request, {FakeWorker::StateLine(request, "failed")});
    };
  }
  EXPECT_EQ(harness.Exchange(Post("c", "new"), "\r\n\r\n").substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(harness.AttemptsOf("c"), 1u);  // a new request may not be retried
  for (auto& worker : harness.workers)
    worker->on_request = [](const FakeWorker::ReceivedRequest& request) {
      FakeWorker::RespondWithResult(request, "ok");
    };
  EXPECT_EQ(harness.Exchange(Post("d", "look"), "\r\n\r\n").substr(0, 12),
            "HTTP/1.1 200");  // may have been sent before the reload
  harness.Until([] { return false; }, 1.3);
  EXPECT_EQ(harness.Exchange(Post("e", "look"), "\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  ASSERT_TRUE(reload(""));
  EXPECT_EQ(harness.node->counters().reload_errors, 1u);
  EXPECT_EQ(harness.Exchange(Post("f", "new"), "\r\n\r\n").substr(0, 12), "HTTP/1.1 200");
  EXPECT_NE(harness.node->Metrics().find("new.completed:1|c"), std::string::npos);
  unlink(path.c_str());
}

// In a two-level deployment the supervisor gets the signal. It must forward it to each process and
// reload the configuration itself, so that it does not restart a process with the old one.
TEST(Reload, ReachesEachProcessOfATwoLevelDeployment) {
  sigset_t handled_signals, original_mask;
  sigemptyset(&handled_signals);
  for (const int signal : {SIGHUP, SIGTERM}) sigaddset(&handled_signals, signal);
  sigprocmask(SIG_BLOCK, &handled_signals, &original_mask);
  int pipe_ends[2];
  ASSERT_EQ(pipe(pipe_ends), 0);
  const auto run_role = [&](Role) {
    siginfo_t info;
    sigset_t role_signals = handled_signals;
    while (sigwaitinfo(&role_signals, &info) == SIGHUP) {
      if (write(pipe_ends[1], "h", 1) != 1) return 1;
    }
    return 0;
  };
  const pid_t pid = fork();
  if (pid == 0) _exit(Supervise(1, 2, run_role, [&] { return write(pipe_ends[1], "r", 1) == 1; }));
  kill(pid, SIGHUP);
  std::string received;
  for (char received_char = 0; received.size() < 4 && read(pipe_ends[0], &received_char, 1) == 1;)
    received += received_char;
  EXPECT_EQ(received, "rhhh");
  kill(pid, SIGTERM);
  int status = -1;
  waitpid(pid, &status, 0);
  EXPECT_EQ(status, 0);
  sigprocmask(SIG_SETMASK, &original_mask, nullptr);
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

}  // namespace
}  // namespace millethollow
