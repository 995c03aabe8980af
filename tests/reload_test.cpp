// SIGHUP: the file is read again, discovery moves, and whatever is under way goes on.
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

std::string Entry(const std::string& id, const std::string& state, int started_ms = 0) {
  return R"({"id":")" + id + R"(","addr":"127.0.0.1:9","zone":"q","kind":"k","state":")" + state +
         R"(","started_ms":)" + std::to_string(started_ms) + "}";
}
void Tell(const ToyWorker::Got& got, int version, bool full, const std::string& entries) {
  const std::string body = R"({"version":)" + std::to_string(version) + R"(,"full":)" +
                           (full ? "true" : "false") + R"(,"servers":[)" + entries + "]}";
  got.from->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                  body);
}

// Two addresses of discovery and the client of them. The old one has told a drain of w0.
struct Moved : testing::Test {
  Moved() {
    LogLevel() = Level::kError;
    before.act = [](const ToyWorker::Got& g) {
      if (g.head.target.ends_with("wait_ms=0")) Tell(g, 41, false, Entry("w0", "terminating"));
    };
    Make(1);
    discovery->Subscribe(true);
    EXPECT_TRUE(TurnUntil(loop, [&] { return before.got.size() == 2; }));  // the watch is out
  }
  void Make(int nodes) {
    discovery = std::make_unique<Discovery>(
        &loop,
        Discovery::Options{
            .address = before.address(), .zones = {"q"}, .kinds = {"k"}, .seed = 3, .nodes = nodes},
        Discovery::Hooks{.on_list = [this](EndpointListKind kind,
                                           const ServerList& l) { known.emplace_back(kind, l); },
                         .on_unavailable = [] {}});
  }
  Loop loop;
  ToyWorker before{&loop}, after{&loop};
  std::vector<std::pair<EndpointListKind, ServerList>> known;
  std::unique_ptr<Discovery> discovery;
};

// The versions of another address may mean something else: the whole list first, then from there.
TEST_F(Moved, AsksForTheWholeListAndWatchesFromItsVersion) {
  after.act = [](const ToyWorker::Got& g) {
    if (g.head.target.find("after") == std::string::npos)
      Tell(g, 3, true, Entry("w1", "in_service"));
  };
  discovery->SetAddress(after.address());
  ASSERT_TRUE(TurnUntil(loop, [&] { return after.got.size() == 2; }));
  EXPECT_EQ(after.got[0].head.target, "/catalog/members");
  EXPECT_TRUE(after.got[1].head.target.starts_with("/catalog/members?after=3&"));
  // A watch that falls silent must not keep us from hearing of a drain for long.
  EXPECT_TRUE(after.got[1].head.target.ends_with("&wait_ms=3000")) << after.got[1].head.target;
  EXPECT_EQ(known.back().first, EndpointListKind::kSnapshot);
}

// A drain that only the old address told counts, whether it came before the new list or after it.
TEST_F(Moved, KeepsADrainThatOnlyTheOldAddressTold) {
  after.act = [](const ToyWorker::Got& g) {
    if (g.head.target.find("after") != std::string::npos) return;
    Tell(g, 3, true, Entry("w0", "in_service") + "," + Entry("w1", "in_service"));
  };
  discovery->SetAddress(after.address());
  ASSERT_TRUE(TurnUntil(loop, [&] { return known.size() == 2; }));
  EXPECT_EQ(known[1].second.entries[0].member.readiness, Readiness::kDraining);
  EXPECT_EQ(known[1].second.entries[1].member.readiness, Readiness::kReady);
  Tell(before.got[1], 42, false, Entry("w1", "terminating") + "," + Entry("w2", "in_service"));
  ASSERT_TRUE(TurnUntil(loop, [&] { return known.size() == 3; }));
  EXPECT_EQ(known[2].first, EndpointListKind::kIncremental);
  ASSERT_EQ(known[2].second.entries.size(), 1u);
  EXPECT_EQ(known[2].second.entries[0].member.worker, "w1");
}

TEST_F(Moved, BelievesANewStart) {
  after.act = [](const ToyWorker::Got& g) {
    if (g.head.target.find("after") == std::string::npos)
      Tell(g, 3, true, Entry("w0", "in_service", 5000));
  };
  discovery->SetAddress(after.address());
  ASSERT_TRUE(TurnUntil(loop, [&] { return known.size() == 2; }));
  EXPECT_EQ(known[1].second.entries[0].member.readiness, Readiness::kReady);
}

// What it has to tell counts as told soon after the move: the usual waits would outlast that, and
// so would the time over which a large tier spreads its first calls.
TEST_F(Moved, TriesANewAddressThatFailsAgainAtOnce) {
  for (const int nodes : {1, 100}) {
    Make(nodes);
    after.got.clear();
    const std::size_t known_before = known.size();
    after.act = [&](const ToyWorker::Got& g) {
      if (after.got.size() < 4) return g.from->Close("test");
      Tell(g, 3, true, Entry("w1", "in_service"));
    };
    discovery->SetAddress(after.address());
    EXPECT_TRUE(TurnUntil(
        loop, [&] { return known.size() > known_before; }, 1.5))
        << nodes;
  }
}

TEST(Reload, ReadsTheFileAgainAndKeepsTheOldOneIfTheNewIsBroken) {
  LogLevel() = Level::kError;
  Loop host;
  ToyWorker one(&host), two(&host);
  for (ToyWorker* d : {&one, &two}) {
    d->act = [](const ToyWorker::Got& g) { Tell(g, 1, true, Entry("w1", "in_service")); };
  }
  const std::string path = testing::TempDir() + "reload" + std::to_string(getpid()) + ".json";
  const auto write = [&](const std::string& text) { std::ofstream(path) << text; };
  const auto with = [](const std::string& discovery) {
    return TestConfig({}, R"("discovery":")" + discovery + R"(",)");
  };
  write(with(one.address()));
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
  write(with(two.address()));
  raise(SIGHUP);
  ASSERT_TRUE(until([&] { return !two.got.empty(); }));
  const std::size_t lists = node.counters().endpoint_lists;
  for (const char* broken : {"{", R"({"listen":"127.0.0.1:0","discovery":"nowhere"})"}) {
    write(broken);
    raise(SIGHUP);
    const std::size_t reloads = node.counters().reloads + node.counters().reload_errors;
    ASSERT_TRUE(
        until([&] { return node.counters().reloads + node.counters().reload_errors > reloads; }));
  }
  EXPECT_TRUE(until([&] { return node.counters().endpoint_lists > lists; }));  // the watch goes on
  EXPECT_LE(one.got.size(), 1u);  // called at the start, and never since
  unlink(path.c_str());
}

const std::string kLook =
    R"({"name":"look","aim_s":0.25,"give_up_s":6,"importance":1,"semantics":"repeatable"})";

std::string Changed(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  EXPECT_NE(at, std::string::npos) << from;
  return text.replace(at, from.size(), to);
}

TEST(Reload, TurnsDownAFileThatIsNotWhole) {
  const std::string good = TestConfig({"127.0.0.1:9"});
  const auto fine = [&](const std::string& text) {
    Config config;
    std::string error;
    const bool ok = ReadConfig(text, &config, &error) && CheckWhole(good, text, &error);
    EXPECT_EQ(ok, error.empty());
    EXPECT_EQ(error.find('\n'), std::string::npos);
    return ok;
  };
  EXPECT_TRUE(fine(good));
  EXPECT_TRUE(fine(Changed(good, kLook + ",", "")));
  EXPECT_TRUE(fine(Changed(good, R"("most_tries":4)", R"("most_tries":1)")));
  EXPECT_TRUE(fine(Changed(good, R"(,"log_level":"error")", "")));
  EXPECT_FALSE(fine(""));
  for (std::size_t cut = 0; cut < good.size(); cut += 37) EXPECT_FALSE(fine(good.substr(0, cut)));
  for (const char* key :
       {R"("name":"t",)", R"("seed":"1f",)", R"("aim_s":0.25,)", R"("give_up_s":25,)",
        R"("most_tries":4,)", R"("group":"cell",)", R"("tick_s":0.005,)"}) {
    EXPECT_FALSE(fine(Changed(good, key, ""))) << key;
  }
  for (const char* number : {"0", "-1", "\"6\"", "\"soon\"", "null", "true", "[]"}) {
    EXPECT_FALSE(fine(Changed(good, R"("give_up_s":6)", std::string(R"("give_up_s":)") + number)));
    EXPECT_FALSE(
        fine(Changed(good, R"("most_tries":4)", std::string(R"("most_tries":)") + number)));
  }
}

// An index that an open job holds must not come to mean another class.
TEST(Reload, GivesEachClassAnIndexThatStays) {
  const std::string text = TestConfig({});
  const auto read = [](const std::string& from) {
    Config config;
    std::string error;
    EXPECT_TRUE(ReadConfig(from, &config, &error)) << error;
    return config;
  };
  Config config = read(text);
  bool open = true;
  const auto in_use = [&](int) { return open; };
  const Config renamed = read(Changed(text, R"("name":"look")", R"("name":"peek")"));
  EXPECT_EQ(MergeClasses(renamed, in_use, &config).begun, (std::vector{2}));
  EXPECT_EQ(config.classes, (std::vector<std::string>{"look", "charge", "peek"}));
  EXPECT_EQ(config.live, (std::vector{false, true, true}));
  const Config other = read(Changed(text, R"("give_up_s":25)", R"("give_up_s":20)"));
  EXPECT_EQ(MergeClasses(other, in_use, &config).begun, (std::vector{3}));  // look is back at 0
  EXPECT_EQ(config.live, (std::vector{true, false, false, true}));
  open = false;
  EXPECT_EQ(MergeClasses(read(text), in_use, &config).begun, std::vector<int>{});
  const Config more = read(Changed(text, kLook, kLook + "," + Changed(kLook, "look", "more")));
  EXPECT_EQ(MergeClasses(more, in_use, &config).begun, (std::vector{2}));
}

// Under load: a class more, one fewer, and fewer attempts. Jobs that are open keep their rules.
TEST(Reload, ChangesClassesUnderOpenJobs) {
  NodeHarness harness;
  const std::string path = testing::TempDir() + "classes" + std::to_string(getpid()) + ".json";
  const std::string text = harness.config.text;
  const auto reload = [&](const std::string& fresh) {
    std::ofstream(path) << fresh;
    const Counters& c = harness.node->counters();
    const std::uint64_t before = c.reloads + c.reload_errors;
    raise(SIGHUP);
    return harness.Until([&] { return c.reloads + c.reload_errors > before; });
  };
  harness.node->CatchSignals(path);
  std::vector<ToyWorker::Got> held;
  for (auto& w : harness.workers) w->act = [&](const ToyWorker::Got& g) { held.push_back(g); };
  auto open = harness.Client();
  open->Write(Post("a", "look"));
  ASSERT_TRUE(harness.Until([&] { return !held.empty(); }));
  EXPECT_EQ(harness.Ask(Post("b", "new"), "\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  std::string fresh = Changed(text, kLook, Changed(kLook, "look", "new"));
  fresh = Changed(fresh, R"("most_tries":4)", R"("most_tries":1)");
  ASSERT_TRUE(reload(fresh));
  for (const ToyWorker::Got& g : held) ToyWorker::Lines(g, {ToyWorker::Line(g, "failed")});
  const std::size_t first = held.size();
  ASSERT_TRUE(harness.Until([&] { return held.size() > first; }));  // the old job may try again
  for (auto& w : harness.workers) {
    w->act = [](const ToyWorker::Got& g) { ToyWorker::Lines(g, {ToyWorker::Line(g, "failed")}); };
  }
  EXPECT_EQ(harness.Ask(Post("c", "new"), "\r\n\r\n").substr(0, 12), "HTTP/1.1 503");
  EXPECT_EQ(harness.AttemptsOf("c"), 1u);  // a new one may not
  for (auto& w : harness.workers)
    w->act = [](const ToyWorker::Got& g) { ToyWorker::Done(g, "ok"); };
  EXPECT_EQ(harness.Ask(Post("d", "look"), "\r\n\r\n").substr(0, 12),
            "HTTP/1.1 200");  // was under way
  harness.Until([] { return false; }, 1.3);
  EXPECT_EQ(harness.Ask(Post("e", "look"), "\r\n\r\n").substr(0, 12), "HTTP/1.1 400");
  ASSERT_TRUE(reload(""));
  EXPECT_EQ(harness.node->counters().reload_errors, 1u);
  EXPECT_EQ(harness.Ask(Post("f", "new"), "\r\n\r\n").substr(0, 12), "HTTP/1.1 200");
  EXPECT_NE(harness.node->Figures().find("new.completed:1|c"), std::string::npos);
  unlink(path.c_str());
}

// In two levels the signal comes to the supervisor: each process must hear of it, and one must not
// be started again by the old file.
TEST(Reload, ReachesEachProcessOfTwoLevels) {
  sigset_t held, before;
  sigemptyset(&held);
  for (const int signal : {SIGHUP, SIGTERM}) sigaddset(&held, signal);
  sigprocmask(SIG_BLOCK, &held, &before);
  int ends[2];
  ASSERT_EQ(pipe(ends), 0);
  const auto run_role = [&](Role) {
    siginfo_t info;
    sigset_t both = held;
    while (sigwaitinfo(&both, &info) == SIGHUP) {
      if (write(ends[1], "h", 1) != 1) return 1;
    }
    return 0;
  };
  const pid_t pid = fork();
  if (pid == 0) _exit(Supervise(1, 2, run_role, [&] { return write(ends[1], "r", 1) == 1; }));
  kill(pid, SIGHUP);
  std::string all;
  for (char c = 0; all.size() < 4 && read(ends[0], &c, 1) == 1;) all += c;
  EXPECT_EQ(all, "rhhh");
  kill(pid, SIGTERM);
  int status = -1;
  waitpid(pid, &status, 0);
  EXPECT_EQ(status, 0);
  sigprocmask(SIG_SETMASK, &before, nullptr);
  close(ends[0]);
  close(ends[1]);
}

}  // namespace
}  // namespace millethollow
