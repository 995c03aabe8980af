// Restarts of the processes of one tier, with a discovery service of limited capacity.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>

#include "support/cluster_harness.h"

namespace millethollow::cluster_test {
namespace {

// The discovery service of all processes, with an address for each so that it can tell them apart.
// It handles calls one at a time. Calls that waited too long get a 503, but still take their turn.
class LimitedDiscovery {
 public:
  double down_until = 0, service_s = 0.1;
  static constexpr double kCallTimeoutS = 2.0;
  struct ProcessRecord {
    double first_list_at = -1, last_answer_at = -1,
           drain_at = -1;  // drain_at: notified at the latest
  };
  std::vector<ProcessRecord> records;
  double drain_at = -1;
  int calls = 0, failed = 0;

  LimitedDiscovery(Loop* loop, std::size_t processes)
      : records(processes), loop_(loop), endpoints_(processes) {
    for (std::size_t p = 0; p < processes; ++p) {
      endpoints_[p].port = FreePort();
      std::string error;
      EXPECT_TRUE(endpoints_[p].listener.Open(
          loop, LoopbackAddress(endpoints_[p].port),
          [this, p](evutil_socket_t fd) { Accept(p, fd); }, &error))
          << error;
    }
    HandleNextCall();
  }
  std::string address(std::size_t p) const { return LoopbackAddress(endpoints_[p].port); }
  // From now on the list has worker 0 as terminating. Answers all waiting polls. A process whose
  // last answer is less than 0.2 s old counts as notified too, as it may just be polling again.
  void StartDrain() {
    drain_at = loop_->Now();
    version_ = 2;
    for (auto& process : records) {
      if (drain_at - process.last_answer_at <= 0.2) process.drain_at = drain_at;
    }
    for (Call& call : std::exchange(waiting_, {})) SendAnswer(call);
  }
  void ResetRecord(std::size_t p) { records[p] = {}; }

 private:
  struct Client {
    std::unique_ptr<RawClient> raw;
    http::Parser parser{http::Parser::Side::kRequest, {}};
  };
  struct ProcessEndpoint {
    int port = 0;
    Listener listener;
    std::vector<std::unique_ptr<Client>> clients;
  };
  struct Call {
    std::size_t process = 0;
    Client* client = nullptr;
    int after = 0;
    bool waits = false;
    double at = 0;
  };
  void Accept(std::size_t p, evutil_socket_t fd) {
    endpoints_[p].clients.push_back(std::make_unique<Client>());
    Client* c = endpoints_[p].clients.back().get();
    c->raw = std::make_unique<RawClient>(loop_, fd);
    c->raw->on_read = [this, p, c] {
      c->raw->received.erase(0, c->parser.Feed(c->raw->received));
      if (!c->parser.done()) return;
      const std::string target = c->parser.head().target;
      c->parser.Reset();
      ++calls;
      const std::size_t after = target.find("after=");
      queue_.push_back({p, c, after == std::string::npos ? 0 : std::stoi(target.substr(after + 6)),
                        !target.ends_with("wait_ms=0") && after != std::string::npos,
                        loop_->Now()});
    };
  }
  void HandleNextCall() {
    loop_->deadlines().At(loop_->Now() + service_s, [this] { HandleNextCall(); });
    const double now = loop_->Now();
    std::erase_if(waiting_, [](const Call& c) { return c.client->raw->ended; });
    for (Call& c : queue_) {
      if (c.client == nullptr || now - c.at <= kCallTimeoutS) continue;
      ++failed;
      if (!c.client->raw->ended)
        c.client->raw->Write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
      c.client = nullptr;
    }
    // While it is down it handles no calls, and drops those that failed meanwhile.
    if (now < down_until) std::erase_if(queue_, [](const Call& c) { return c.client == nullptr; });
    if (now < down_until || queue_.empty()) return;
    Call next = queue_.front();
    queue_.pop_front();
    if (next.client == nullptr || next.client->raw->ended) return;
    next.after < version_ || !next.waits ? SendAnswer(next) : waiting_.push_back(next);
  }
  void SendAnswer(const Call& call) {
    if (call.client->raw->ended) return;
    ProcessRecord& t = records[call.process];
    t.last_answer_at = loop_->Now();
    if (t.first_list_at < 0) t.first_list_at = loop_->Now();
    if (version_ == 2 && t.drain_at < 0) t.drain_at = loop_->Now();
    const std::string changed =
        version_ > call.after && version_ == 2 ? R"({"id":"w0","state":"terminating"})" : "";
    const std::string body = "{\"version\":" + std::to_string(version_) +
                             ",\"full\":false,\"servers\":[" + changed + "]}";
    call.client->raw->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                            "\r\n\r\n" + body);
  }

  Loop* loop_;
  std::vector<ProcessEndpoint> endpoints_;
  std::deque<Call> queue_;
  std::vector<Call> waiting_;
  int version_ = 1;
};

struct Tier : testing::Test {
  struct Process {
    pid_t pid = -1;
    int port = 0;
    std::string config, log;
    double started_at = 0, ready_at = -1;
    std::unique_ptr<RawClient> health, client;
  };
  Tier() {
    LogLevel() = Level::kError;
    char name[] = "/tmp/millethollow-tier-XXXXXX";
    folder = mkdtemp(name);
    for (int w = 0; w < 3; ++w) workers.push_back(std::make_unique<FakeWorker>(&loop));
  }
  ~Tier() override {
    for (Process& p : processes) Kill(&p);
    if (!HasFailure()) std::filesystem::remove_all(folder);
  }
  void AddProcess(std::size_t balancers, const std::string& discovery,
                  const std::string& further_settings = "") {
    Process p;
    p.port = FreePort();
    const std::string n = std::to_string(processes.size());
    p.config = folder + "/" + n + ".json";
    p.log = folder + "/" + n + ".log";
    std::vector<std::string> addresses;
    for (const auto& w : workers) addresses.push_back(w->address());
    std::string text =
        TestConfig(addresses, R"("discovery":")" + discovery + R"(",)" + further_settings);
    const auto replace = [&](const std::string& from, const std::string& to) {
      text.replace(text.find(from), from.size(), to);
    };
    replace(R"("listen":"127.0.0.1:0")", R"("listen":")" + LoopbackAddress(p.port) + "\"");
    replace(R"("balancers":1)", R"("balancers":)" + std::to_string(balancers));
    replace(R"("seed":"1f")", R"("seed":")" + n + "7\"");
    std::ofstream(p.config) << text;
    processes.push_back(std::move(p));
  }
  void Start(Process* p, rlim_t descriptors = 0) {
    p->started_at = loop.Now();
    p->ready_at = -1;
    p->pid = fork();
    if (p->pid != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = open(p->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    closefrom(3);
    unsetenv("TMPDIR");
    if (descriptors > 0) {
      const rlimit limit{descriptors, descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    execl(MILLETHOLLOW_BINARY, MILLETHOLLOW_BINARY, "--config", p->config.c_str(), nullptr);
    _exit(127);
  }
  void Kill(Process* p) {
    if (p->pid <= 0) return;
    kill(p->pid, SIGKILL);
    waitpid(p->pid, nullptr, 0);
    p->pid = -1;
    p->health.reset();
    p->client.reset();
  }
  // Polls the health of each process that has not been ready yet.
  void PollHealth() {
    for (Process& p : processes) {
      if (p.pid <= 0 || p.ready_at >= 0) continue;
      if (p.health && p.health->received.find("\r\n\r\n") != std::string::npos) {
        if (p.health->received.starts_with("HTTP/1.1 200")) p.ready_at = loop.Now();
        p.health.reset();
      } else if (p.health && p.health->ended) {
        p.health.reset();
      } else if (!p.health) {
        p.health = std::make_unique<RawClient>(&loop, LoopbackAddress(p.port));
        p.health->Write("GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n");
      }
    }
  }
  template <typename Done>
  bool Until(
      Done done, double timeout_s, const std::function<void()>& each = [] {}) {
    const double until = loop.Now() + timeout_s;
    while (!done() && loop.Now() < until) {
      loop.deadlines().At(loop.Now() + 0.005, [] {});
      loop.Turn();
      each();
    }
    return done();
  }
  bool AllReady() const {
    return std::all_of(processes.begin(), processes.end(),
                       [](const Process& p) { return p.ready_at >= 0; });
  }

  Loop loop;
  std::string folder;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::vector<Process> processes;
};

// 70 % of the processes are killed at once while discovery is down. Soon after it is back, and
// loaded to its capacity, a worker begins to drain. Guards against requests that reach the worker
// from a process more than the drain grace after that process was notified. It counts as notified
// by an answer, or 6 s after the drain, or at once if it has had no list yet or its last answer was
// less than 200 ms earlier. Also 90 % of the restarted processes must be ready within 10 s.
TEST_F(Tier, RestartedWhileDiscoveryIsDownRespectsDrainsAndIsReadyInTime) {
  constexpr std::size_t kProcesses = 20;
  LimitedDiscovery discovery(&loop, kProcesses);
  for (std::size_t p = 0; p < kProcesses; ++p) AddProcess(kProcesses, discovery.address(p));
  for (Process& p : processes) Start(&p);
  ASSERT_TRUE(Until([&] { return AllReady(); }, 10, [&] { PollHealth(); }));

  std::size_t sent = 0, next_process = 0;
  std::vector<std::pair<double, std::size_t>>
      reached_worker;  // requests at worker 0: time and process
  workers[0]->on_request = [&](const FakeWorker::ReceivedRequest& g) {
    reached_worker.emplace_back(loop.Now(), std::stoul(*g.head.Get("Request-Id")));
    FakeWorker::RespondWithResult(g, "ok");
  };
  double next = 0;
  const auto load = [&] {  // one request every 5 ms, to each process in turn
    PollHealth();
    if (loop.Now() < next) return;
    next = loop.Now() + 0.005;
    Process& p = processes[next_process++ % kProcesses];
    if (p.ready_at < 0) return;
    if (!p.client || p.client->ended)
      p.client = std::make_unique<RawClient>(&loop, LoopbackAddress(p.port));
    const auto of = static_cast<std::size_t>(&p - processes.data());
    p.client->Write(
        Post(std::to_string(of) + "-" + std::to_string(++sent), "look", "", "{}", 2000));
  };
  discovery.down_until = loop.Now() + 5;
  Until([] { return false; }, 3, load);
  for (std::size_t p = 0; p < kProcesses * 7 / 10; ++p) Kill(&processes[p]);
  Until([] { return false; }, 0.5, load);
  const double restarted_at = loop.Now();
  for (std::size_t p = 0; p < kProcesses * 7 / 10; ++p) {
    discovery.ResetRecord(p);
    Start(&processes[p]);
  }
  Until([&] { return loop.Now() > discovery.down_until + 1.5; }, 5, load);
  discovery.StartDrain();
  Until([] { return false; }, 13, load);

  std::vector<double> startup_s;
  for (const Process& p : processes)
    startup_s.push_back((p.ready_at < 0 ? 1e9 : p.ready_at) - p.started_at);
  std::sort(startup_s.begin(), startup_s.end());
  EXPECT_LT(startup_s[kProcesses * 9 / 10], 10.0);
  std::size_t before = 0;
  for (const auto& [at, process] : reached_worker) {
    const LimitedDiscovery::ProcessRecord& t = discovery.records[process];
    double notified_by = discovery.drain_at + 6;
    if (t.drain_at >= 0) notified_by = std::min(notified_by, t.drain_at);
    if (t.first_list_at < 0) notified_by = std::max(discovery.drain_at, restarted_at);
    EXPECT_LT(at - discovery.drain_at, notified_by - discovery.drain_at + 2.05)
        << "process " << process << ", its first list " << t.first_list_at - discovery.drain_at
        << " and notice of the drain " << t.drain_at - discovery.drain_at
        << " after the drain, started " << processes[process].started_at - discovery.drain_at;
    before += at < discovery.drain_at;
  }
  EXPECT_GT(before, 20u);
  EXPECT_GT(sent, 1000u);
  RecordProperty("calls", discovery.calls);
  RecordProperty("failed", discovery.failed);
}

// Idle clients use up a process's descriptors, also those of the system's limit, while discovery is
// down. Guards against a process that then can't reach discovery or workers, or serve a new client.
TEST_F(Tier, IdleClientsDoNotBlockDiscoveryOrWorkers) {
  const int port = FreePort();
  AddProcess(1, LoopbackAddress(port), R"("limits":{"sockets":120},)");
  Start(&processes[0], 120);
  ASSERT_TRUE(Until([&] { return AllReady(); }, 10, [&] { PollHealth(); }))
      << "must be ready without discovery";
  std::vector<std::unique_ptr<RawClient>> idle;
  std::size_t max_open = 0;
  const auto count_open_descriptors = [&] {
    std::size_t n = 0;
    for ([[maybe_unused]] const auto& fd :
         std::filesystem::directory_iterator("/proc/" + std::to_string(processes[0].pid) + "/fd"))
      ++n;
    max_open = std::max(max_open, n);
  };
  for (int wave = 0; wave < 3; ++wave) {
    for (int i = 0; i < 150; ++i)
      idle.push_back(std::make_unique<RawClient>(&loop, LoopbackAddress(processes[0].port)));
    Until([] { return false; }, 0.4, count_open_descriptors);
  }
  int calls = 0;
  const double discovery_back_at = loop.Now();
  Listener listener;
  std::vector<std::unique_ptr<RawClient>> callers;
  std::string error;
  ASSERT_TRUE(listener.Open(
      &loop, LoopbackAddress(port),
      [&](evutil_socket_t fd) {
        callers.push_back(std::make_unique<RawClient>(&loop, fd));
        RawClient* c = callers.back().get();
        c->on_read = [c, &calls] {
          if (c->received.find("\r\n\r\n") == std::string::npos) return;
          const bool waits =
              !c->received.ends_with("wait_ms=0 HTTP/1.1\r\nHost: discovery\r\n\r\n");
          c->received.clear();
          ++calls;
          const std::string body =
              R"({"version":2,"full":false,"servers":[{"id":"w0","state":"terminating"}]})";
          if (calls == 1 || !waits)
            c->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                     "\r\n\r\n" + body);
        };
      },
      &error))
      << error;
  ASSERT_TRUE(Until([&] { return calls > 0; }, 6, count_open_descriptors));
  EXPECT_LT(loop.Now() - discovery_back_at, 6);
  for (int i = 0; i < 5; ++i) {
    RawClient client(&loop, LoopbackAddress(processes[0].port));
    client.Write(Post("a" + std::to_string(i), "look"));
    EXPECT_TRUE(Until([&] { return client.received.ends_with("ok"); }, 4, count_open_descriptors))
        << client.received;
  }
  EXPECT_EQ(workers[0]->requests.size(), 0u);
  EXPECT_GE(max_open, 20u);
  EXPECT_LE(max_open, 120u);
}

}  // namespace
}  // namespace millethollow::cluster_test
