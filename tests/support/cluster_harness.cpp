#include "support/cluster_harness.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/file.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace millethollow::rig {
namespace {

constexpr double kPollS = 0.05, kPollGiveUpS = 0.5;
constexpr std::size_t kMaxCapturedDatagrams = 64;

}  // namespace

int FreePort() {
  constexpr int kFirst = 12000, kEach = 120, kRanges = 150;
  static int range = -1, next = 0;
  for (int r = 0; range < 0 && r < kRanges; ++r) {
    const std::string path = "/tmp/millethollow-rig-ports-" + std::to_string(r);
    const int lock = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);  // until we end
    if (lock >= 0 && flock(lock, LOCK_EX | LOCK_NB) == 0)
      range = r;
    else if (lock >= 0)
      close(lock);
  }
  for (int tries = 0; range >= 0 && tries < kEach; ++tries) {
    const int port = kFirst + range * kEach + next;
    next = (next + 1) % kEach;
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = socket(AF_INET, type, 0);
      const int on = 1;
      if (type == SOCK_STREAM) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
      free &= bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
      close(fd);
    }
    if (free) return port;
  }
  return 0;
}

std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

// The relay on the way from one member to another: its own port for datagrams and streams both.
class Link {
 public:
  LinkFaults faults;

  Link(ClusterHarness* harness, std::size_t from, std::size_t to, int to_port)
      : from(from),
        to(to),
        harness_(harness),
        loop_(&harness->loop_),
        port_(FreePort()),
        target_(*ParseAddress(At(to_port))) {
    const sockaddr_in at = *ParseAddress(At(port_));
    fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    EXPECT_EQ(bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0) << port_;
    readable_.reset(event_new(
        loop_->base(), fd_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<Link*>(self)->Receive(); }, this));
    event_add(readable_.get(), nullptr);
    std::string error;
    EXPECT_TRUE(listener_.Open(
        loop_, At(port_), [this](evutil_socket_t fd) { Stream(fd); }, &error))
        << error;
  }
  ~Link() {
    readable_.reset();
    close(fd_);
  }
  int port() const { return port_; }
  const std::size_t from, to;

 private:
  struct Pair {
    std::unique_ptr<RawClient> near, far;
    double credit_at = 0;
  };

  void Receive() {
    char bytes[2048];
    while (true) {
      sockaddr_in source{};
      socklen_t size = sizeof source;
      const ssize_t n =
          recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&source), &size);
      if (n < 0) return;
      if (source.sin_port == target_.sin_port) {  // an answer to whoever spoke last
        (void)sendto(fd_, bytes, static_cast<std::size_t>(n), MSG_DONTWAIT,
                     reinterpret_cast<const sockaddr*>(&source_), sizeof source_);
        continue;
      }
      source_ = source;
      std::string datagram(bytes, static_cast<std::size_t>(n));
      if (harness_->captured_.size() < kMaxCapturedDatagrams)
        harness_->captured_.push_back(datagram);
      membership::Random& random = harness_->random_;
      if (faults.cut || random.Unit() < faults.loss || datagram.empty()) continue;
      if (random.Unit() < faults.garbled) {
        datagram[random.Below(datagram.size())] ^= static_cast<char>(1 + random.Below(255));
      }
      if (random.Unit() < faults.shortened) datagram.resize(random.Below(datagram.size()));
      const int copies = random.Unit() < faults.doubled ? 2 : 1;
      for (int c = 0; c < copies; ++c) {
        const double delay = faults.delay_s + faults.jitter_s * random.Unit();
        if (delay <= 0) {
          Forward(datagram);
        } else {
          loop_->deadlines().At(loop_->Now() + delay, [this, datagram] { Forward(datagram); });
        }
      }
    }
  }
  void Forward(const std::string& datagram) {
    (void)sendto(fd_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                 reinterpret_cast<const sockaddr*>(&target_), sizeof target_);
  }

  // A stream, both ways: what the faults say holds for the way from `from` to `to`.
  void Stream(evutil_socket_t fd) {
    std::erase_if(pairs_, [](const auto& p) { return p->near->ended && p->far->ended; });
    auto pair = std::make_unique<Pair>();
    Pair* p = pair.get();
    p->near = std::make_unique<RawClient>(loop_, fd);
    p->far = std::make_unique<RawClient>(loop_, AddressText(target_));
    p->near->on_read = [this, p] { Pump(p); };
    p->far->on_read = [p] { p->near->Write(std::exchange(p->far->received, {})); };
    p->near->on_end = [p] { p->far->Close("passed-on"), p->far->ended = true; };
    p->far->on_end = [p] { p->near->Close("passed-on"), p->near->ended = true; };
    pairs_.push_back(std::move(pair));
  }
  void Pump(Pair* p) {
    if (faults.reset_streams) {
      p->near->Close("reset");
      p->far->Close("reset");
      p->near->ended = p->far->ended = true;
      return;
    }
    if (faults.cut || p->near->received.empty()) return;
    std::size_t max_bytes = p->near->received.size();
    if (faults.bytes_per_s > 0)
      max_bytes =
          std::min<std::size_t>(max_bytes, static_cast<std::size_t>(faults.bytes_per_s / 50) + 1);
    p->far->Write(p->near->received.substr(0, max_bytes));
    p->near->received.erase(0, max_bytes);
    if (!p->near->received.empty())
      loop_->deadlines().At(loop_->Now() + 0.02, [this, p] { Pump(p); });
  }

  ClusterHarness* harness_;
  Loop* loop_;
  int port_, fd_ = -1;
  sockaddr_in target_, source_{};
  EventPtr readable_;
  Listener listener_;
  std::vector<std::unique_ptr<Pair>> pairs_;
};

// The relay of usage reports between two members. A node knows its peers by the addresses that they
// send from, so both know the other by this one.
class PeerRelay {
 public:
  PeerRelay(ClusterHarness* harness, std::size_t one, std::size_t other)
      : one_(one), other_(other), harness_(harness), port_(FreePort()) {
    const sockaddr_in at = *ParseAddress(At(port_));
    fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    EXPECT_EQ(bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0) << port_;
    readable_.reset(event_new(
        harness->loop_.base(), fd_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<PeerRelay*>(self)->Receive(); },
        this));
    event_add(readable_.get(), nullptr);
  }
  ~PeerRelay() {
    readable_.reset();
    close(fd_);
  }
  PeerRelay(const PeerRelay&) = delete;
  PeerRelay& operator=(const PeerRelay&) = delete;
  int port() const { return port_; }
  bool Joins(std::size_t a, std::size_t b) const {
    return (one_ == a && other_ == b) || (one_ == b && other_ == a);
  }

 private:
  void Receive() {
    char bytes[2048];
    sockaddr_in source{};
    socklen_t size = sizeof source;
    ssize_t length = 0;
    while ((length = recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&source),
                              &size)) >= 0) {
      const bool by_one = ntohs(source.sin_port) == harness_->nodes_[one_].peer;
      const std::size_t from = by_one ? one_ : other_, to = by_one ? other_ : one_;
      const LinkFaults& faults = harness_->link(from, to);
      if (faults.cut || harness_->random_.Unit() < faults.loss) continue;
      const sockaddr_in target = *ParseAddress(At(harness_->nodes_[to].peer));
      (void)sendto(fd_, bytes, static_cast<std::size_t>(length), MSG_DONTWAIT,
                   reinterpret_cast<const sockaddr*>(&target), sizeof target);
    }
  }

  const std::size_t one_, other_;
  ClusterHarness* harness_;
  int port_, fd_ = -1;
  EventPtr readable_;
};

ClusterHarness::ClusterHarness(const Options& options) : options_(options), random_(options.seed) {
  LogLevel() = Level::kError;
  char name[] = "/tmp/millethollow-rig-XXXXXX";
  folder_ = mkdtemp(name);
  for (std::size_t w = 0; w < options.workers; ++w)
    workers_.push_back(std::make_unique<FakeWorker>(&loop_));
  nodes_.resize(options.members);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].folder = folder_ + "/" + Name(i);
    std::filesystem::create_directory(nodes_[i].folder);
    nodes_[i].http = FreePort();
    nodes_[i].admin = FreePort();
    nodes_[i].cluster = FreePort();
    nodes_[i].gearman = FreePort();
    if (options.peers) nodes_[i].peer = FreePort();
    if (!options.shim) continue;
    const int fd = open((nodes_[i].folder + "/shim").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    EXPECT_EQ(ftruncate(fd, sizeof(Shim)), 0);
    nodes_[i].shim =
        static_cast<Shim*>(mmap(nullptr, sizeof(Shim), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0));
    close(fd);
  }
  for (std::size_t a = 0; a < nodes_.size(); ++a) {
    for (std::size_t b = 0; b < nodes_.size(); ++b) {
      if (a != b) links_.push_back(std::make_unique<Link>(this, a, b, nodes_[b].cluster));
      if (a < b && options.peers) peer_relays_.push_back(std::make_unique<PeerRelay>(this, a, b));
    }
  }
}

ClusterHarness::~ClusterHarness() {
  for (Node* n : {&twin_}) {
    if (n->pid > 0) kill(n->pid, SIGKILL);
    Reap(n);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Kill(i);
    if (nodes_[i].shim != nullptr) munmap(nodes_[i].shim, sizeof(Shim));
  }
  if (::testing::Test::HasFailure()) {
    std::printf("rig: seed %lu, files in %s\n", options_.seed, folder_.c_str());
  } else {
    std::filesystem::remove_all(folder_);
  }
}

LinkFaults& ClusterHarness::link(std::size_t from, std::size_t to) {
  return (*std::find_if(links_.begin(), links_.end(),
                        [&](const auto& l) { return l->from == from && l->to == to; }))
      ->faults;
}

void ClusterHarness::EachLink(const std::function<void(LinkFaults*)>& what) {
  for (const auto& l : links_) what(&l->faults);
}

void ClusterHarness::Split(const std::vector<int>& group) {
  for (const auto& l : links_) l->faults.cut = group[l->from] != group[l->to];
}

void ClusterHarness::Heal() {
  for (const auto& l : links_) l->faults = {};
}

void ClusterHarness::Inject(std::size_t to, const std::string& datagram) {
  const sockaddr_in at = *ParseAddress(At(nodes_[to].cluster));
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  (void)sendto(fd, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&at),
               sizeof at);
  close(fd);
}

void ClusterHarness::AddPeers(std::size_t i, nlohmann::json* config) const {
  std::vector<std::string> addresses;
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    int port = nodes_[m].peer;
    for (const auto& relay : peer_relays_) {
      if (relay->Joins(i, m)) port = relay->port();
    }
    addresses.push_back(At(port));
  }
  (*config)["peer_listen"] = At(nodes_[i].peer);
  (*config)["peers"] = addresses;
  (*config)["settings"]["balancers"] = nodes_.size();
  (*config)["settings"]["ordinal"] = i;
  (*config)["settings"]["limits"]["peers"] = true;
}

void ClusterHarness::WriteConfig(std::size_t i, const std::string& path, const Node& node) {
  std::vector<std::string> addresses;
  for (const auto& w : workers_) addresses.push_back(w->address());
  nlohmann::json config = nlohmann::json::parse(TestConfig(addresses, options_.more));
  nlohmann::json members = nlohmann::json::array();
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    int port = node.cluster;
    for (const auto& l : links_) {
      if (l->from == i && l->to == m) port = l->port();
    }
    members.push_back({{"id", Name(m)},
                       {"address", At(port)},
                       {"place", "rack-" + std::to_string(m % 3)},
                       {"voter", m < options_.voters}});
  }
  config["name"] = Name(i);
  config["listen"] = At(node.http);
  config["admin"] = At(node.admin);
  config["log_level"] = "info";
  config.erase("seed");
  config["settings"].merge_patch(nlohmann::json::parse(options_.settings));
  if (options_.peers) AddPeers(i, &config);
  config["cluster"] = {{"name", "roast"},
                       {"self", Name(i)},
                       {"listen", At(node.cluster)},
                       {"store", node.folder + "/store"},
                       {"timings", nlohmann::json::parse(options_.timings)},
                       {"members", std::move(members)}};
  config["cluster"].update(nlohmann::json::parse(options_.cluster));
  if (options_.gearman) {
    const nlohmann::json look{{"class", "look"}, {"tenant", "andes"}},
        charge{{"class", "charge"}, {"tenant", "andes"}};
    config["gearman"] = {{"listen", At(node.gearman)},
                         {"functions", {{"look", look}, {"charge", charge}}}};
  }
  std::ofstream(path) << config.dump(1);
}

void ClusterHarness::Launch(Node* node, const std::string& config) {
  const std::string log = node->folder + "/log";
  const std::uint64_t file_bytes = node->file_bytes;
  node->exit_code = -1;
  node->stopped = node->going = false;
  node->disturbed += 1;
  node->said.clear();
  node->polled = {};
  node->pid = fork();
  if (node->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // none is left behind
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (file_bytes > 0) {
      std::signal(SIGXFSZ, SIG_IGN);
      const rlimit limit{file_bytes, file_bytes};
      setrlimit(RLIMIT_FSIZE, &limit);
    }
    closefrom(3);
    unsetenv("TMPDIR");
    if (node->shim != nullptr) {
      setenv("LD_PRELOAD", MILLETHOLLOW_SHIM, 1);
      setenv("MILLETHOLLOW_SHIM_PAGE", (node->folder + "/shim").c_str(), 1);
      setenv("ASAN_OPTIONS", "verify_asan_link_order=0", 1);
    }
    execl(MILLETHOLLOW_BINARY, MILLETHOLLOW_BINARY, "--config", config.c_str(), nullptr);
    _exit(127);
  }
}

void ClusterHarness::Start(std::size_t i) {
  if (Running(i)) return;
  const std::string path = nodes_[i].folder + "/config.json";
  WriteConfig(i, path, nodes_[i]);
  Launch(&nodes_[i], path);
}

void ClusterHarness::StartAll() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
}

void ClusterHarness::StartTwin(std::size_t i) {
  twin_.folder = folder_ + "/twin";
  std::filesystem::create_directory(twin_.folder);
  twin_.http = FreePort();
  twin_.admin = FreePort();
  twin_.cluster = FreePort();
  twin_.gearman = FreePort();
  WriteConfig(i, twin_.folder + "/config.json", twin_);
  Launch(&twin_, twin_.folder + "/config.json");
}

void ClusterHarness::Reap(Node* node) {
  int status = 0;
  if (node->pid > 0 && waitpid(node->pid, &status, 0) == node->pid) {
    node->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  node->pid = -1;
  node->poll.reset();
  node->polled.told = nullptr;
}

bool ClusterHarness::Running(std::size_t i) {
  Node& n = nodes_[i];
  int status = 0;
  if (n.pid > 0 && waitpid(n.pid, &status, WNOHANG) == n.pid) {
    n.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    n.pid = -1;
    n.polled.told = nullptr;
  }
  return n.pid > 0;
}

void ClusterHarness::Kill(std::size_t i) {
  if (!Running(i)) return;
  nodes_[i].disturbed += 1;
  kill(nodes_[i].pid, SIGKILL);
  Reap(&nodes_[i]);
}

void ClusterHarness::Terminate(std::size_t i) {
  nodes_[i].disturbed += 1;
  nodes_[i].going = true;
  if (Running(i)) kill(nodes_[i].pid, SIGTERM);
}

void ClusterHarness::Stop(std::size_t i) {
  nodes_[i].disturbed += 1;
  if (Running(i)) kill(nodes_[i].pid, SIGSTOP);
  nodes_[i].stopped = true;
  nodes_[i].poll.reset();  // an answer from before would count as one that it gives when it goes on
  nodes_[i].polled.told = nullptr;
}

void ClusterHarness::Continue(std::size_t i) {
  if (Running(i)) kill(nodes_[i].pid, SIGCONT);
  nodes_[i].stopped = false;
}

void ClusterHarness::Reload(std::size_t i, const std::string& settings) {
  options_.settings = settings;
  WriteConfig(i, nodes_[i].folder + "/config.json", nodes_[i]);
  if (Running(i)) kill(nodes_[i].pid, SIGHUP);
}

void ClusterHarness::TakeFolder(std::size_t i) {
  std::filesystem::remove_all(nodes_[i].folder + "/store");
}

void ClusterHarness::KeepFolder(std::size_t i) {
  std::filesystem::remove_all(nodes_[i].folder + "/kept");
  std::filesystem::copy(nodes_[i].folder + "/store", nodes_[i].folder + "/kept");
}

void ClusterHarness::PutBackFolder(std::size_t i) {
  TakeFolder(i);
  std::filesystem::rename(nodes_[i].folder + "/kept", nodes_[i].folder + "/store");
}

std::string ClusterHarness::LogOf(std::size_t i) const {
  std::stringstream text;
  text << std::ifstream(nodes_[i].folder + "/log").rdbuf();
  return text.str();
}

std::string ClusterHarness::TwinLog() const {
  std::stringstream text;
  text << std::ifstream(twin_.folder + "/log").rdbuf();
  return text.str();
}

std::string ClusterHarness::http_address(std::size_t i) const { return At(nodes_[i].http); }
std::string ClusterHarness::gearman_address(std::size_t i) const { return At(nodes_[i].gearman); }

bool ClusterHarness::Until(const std::function<bool()>& done, double timeout_s) {
  const double until = now() + timeout_s;
  while (true) {
    if (done()) return true;
    if (now() >= until) return false;
    Poll();
    loop_.deadlines().At(now() + 0.005, [] {});
    loop_.Turn();
  }
}

void ClusterHarness::Poll() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& n = nodes_[i];
    if (n.pid <= 0 || n.stopped) continue;
    if (n.poll) {
      const bool whole = n.poll->ended && n.poll->received.find("\r\n\r\n") != std::string::npos;
      if (whole) Take(i, n.poll->received);
      if (!n.poll->ended && now() - n.poll_at < kPollGiveUpS) continue;
      if (!whole) n.polled.told = nullptr;
      n.poll.reset();
    }
    if (now() - n.poll_at < kPollS) continue;
    n.poll_at = now();
    n.poll = std::make_unique<RawClient>(&loop_, At(n.admin));
    n.poll->Write("GET /members HTTP/1.1\r\nHost: a\r\n\r\n");
  }
}

// Each answer is checked as it comes: an epoch has one content, and none falls while a process
// lives.
void ClusterHarness::Take(std::size_t i, const std::string& answer) {
  Node& n = nodes_[i];
  const auto told =
      nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
  if (!told.is_object()) {
    n.polled.told = nullptr;
    return;
  }
  const auto epoch = told["epoch"].get<std::uint64_t>();
  std::string content;
  for (const auto& m : told["members"]) {
    const std::string id = m["id"], state = m["state"];
    if (m["in_view"].get<bool>()) content += id + m.value("life", "") + " ";
    if (state == "failed" && n.said[id] != "failed") failed_calls_[id] += 1;
    n.said[id] = state;
  }
  if (const auto [it, fresh] = contents_.emplace(epoch, content);
      epoch > 0 && !fresh && it->second != content) {
    broken_.push_back("epoch " + std::to_string(epoch) + " has two contents: " + it->second +
                      "and " + content + "at " + Name(i));
  }
  if (n.polled.told.is_object() && n.polled.told["epoch"].get<std::uint64_t>() > epoch) {
    broken_.push_back("the epoch of " + Name(i) + " fell");
  }
  highest_epoch_ = std::max(highest_epoch_, epoch);
  n.polled = {now(), told};
}

std::uint64_t ClusterHarness::Epoch(std::size_t i) const {
  const auto& told = nodes_[i].polled.told;
  return told.is_object() ? told["epoch"].get<std::uint64_t>() : 0;
}

bool ClusterHarness::Leased(std::size_t i) const {
  const auto& told = nodes_[i].polled.told;
  return told.is_object() && told["majority"].get<bool>();
}

std::string ClusterHarness::StateAt(std::size_t at, std::size_t of) const {
  const auto& told = nodes_[at].polled.told;
  return told.is_object() ? told["members"][of]["state"].get<std::string>() : "";
}

bool ClusterHarness::Whole() {
  std::uint64_t epoch = 0;
  for (std::size_t i = 0; i < size(); ++i) {
    if (!Running(i) || nodes_[i].stopped) continue;
    if (!Leased(i) || (epoch != 0 && Epoch(i) != epoch)) return false;
    epoch = Epoch(i);
    for (std::size_t m = 0; m < size(); ++m) {
      const bool there = Running(m) && !nodes_[m].stopped;
      if (nodes_[i].polled.told["members"][m]["in_view"].get<bool>() != there) return false;
      if (there && StateAt(i, m) != "alive") return false;
    }
  }
  return epoch > 0;
}

std::uint64_t ClusterHarness::FailedCalls(std::size_t of) const {
  const auto it = failed_calls_.find(Name(of));
  return it == failed_calls_.end() ? 0 : it->second;
}

std::string ClusterHarness::Ask(std::size_t i, const std::string& call) {
  RawClient raw(&loop_, At(nodes_[i].admin));
  raw.Write(call + " HTTP/1.1\r\nHost: a\r\n\r\n");
  Until([&] { return raw.ended; }, 2);
  return raw.received;
}

long ClusterHarness::Figure(std::size_t i, const std::string& name) {
  const std::string answer = Ask(i, "GET /stats");
  const std::size_t at = answer.find(name + ":");
  return at == std::string::npos ? -1
                                 : std::strtol(answer.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace millethollow::rig
