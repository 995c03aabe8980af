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

namespace millethollow::cluster_test {
namespace {

constexpr double kPollIntervalS = 0.05, kPollTimeoutS = 0.5;
constexpr std::size_t kMaxCapturedDatagrams = 64;

}  // namespace

int FreePort() {
  constexpr int kFirstPort = 12000, kPortsPerRange = 120, kRanges = 150;
  static int range = -1, next = 0;
  for (int r = 0; range < 0 && r < kRanges; ++r) {
    const std::string path = "/tmp/millethollow-test-ports-" + std::to_string(r);
    const int lock =
        open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);  // held until the process ends
    if (lock >= 0 && flock(lock, LOCK_EX | LOCK_NB) == 0)
      range = r;
    else if (lock >= 0)
      close(lock);
  }
  for (int tries = 0; range >= 0 && tries < kPortsPerRange; ++tries) {
    const int port = kFirstPort + range * kPortsPerRange + next;
    next = (next + 1) % kPortsPerRange;
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(static_cast<std::uint16_t>(port));
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bool free = true;
    for (const int type : {SOCK_STREAM, SOCK_DGRAM}) {
      const int fd = socket(AF_INET, type, 0);
      const int enabled = 1;
      if (type == SOCK_STREAM) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
      free &= bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
      close(fd);
    }
    if (free) return port;
  }
  return 0;
}

std::string LoopbackAddress(int port) { return "127.0.0.1:" + std::to_string(port); }

// The relay from one member to another. Listens for datagrams and streams at a port of its own.
class LinkRelay {
 public:
  LinkFaults faults;

  LinkRelay(ClusterHarness* harness, std::size_t from, std::size_t to, int to_port)
      : from(from),
        to(to),
        harness_(harness),
        loop_(&harness->loop_),
        port_(FreePort()),
        target_(*ParseAddress(LoopbackAddress(to_port))) {
    const sockaddr_in at = *ParseAddress(LoopbackAddress(port_));
    fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    EXPECT_EQ(bind(fd_, reinterpret_cast<const sockaddr*>(&at), sizeof at), 0) << port_;
    readable_.reset(event_new(
        loop_->base(), fd_, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<LinkRelay*>(self)->Receive(); },
        this));
    event_add(readable_.get(), nullptr);
    std::string error;
    EXPECT_TRUE(listener_.Open(
        loop_, LoopbackAddress(port_), [this](evutil_socket_t fd) { AcceptStream(fd); }, &error))
        << error;
  }
  ~LinkRelay() {
    readable_.reset();
    close(fd_);
  }
  int port() const { return port_; }
  const std::size_t from, to;

 private:
  struct StreamPair {
    std::unique_ptr<RawClient> client_side, member_side;
    double credit_at = 0;
  };

  void Receive() {
    char bytes[2048];
    while (true) {
      sockaddr_in source{};
      socklen_t size = sizeof source;
      const ssize_t length =
          recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&source), &size);
      if (length < 0) return;
      if (source.sin_port == target_.sin_port) {  // a reply, to the last sender
        (void)sendto(fd_, bytes, static_cast<std::size_t>(length), MSG_DONTWAIT,
                     reinterpret_cast<const sockaddr*>(&source_), sizeof source_);
        continue;
      }
      source_ = source;
      std::string datagram(bytes, static_cast<std::size_t>(length));
      if (harness_->captured_datagrams_.size() < kMaxCapturedDatagrams)
        harness_->captured_datagrams_.push_back(datagram);
      membership::Random& random = harness_->random_;
      if (faults.blocked || random.Unit() < faults.loss || datagram.empty()) continue;
      if (random.Unit() < faults.corrupted) {
        datagram[random.Below(datagram.size())] ^= static_cast<char>(1 + random.Below(255));
      }
      if (random.Unit() < faults.truncated) datagram.resize(random.Below(datagram.size()));
      const int copies = random.Unit() < faults.duplicated ? 2 : 1;
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

  // Relays a stream in both directions. The faults apply to the direction from `from` to `to`.
  void AcceptStream(evutil_socket_t fd) {
    std::erase_if(stream_pairs_, [](const auto& pair) {
      return pair->client_side->ended && pair->member_side->ended;
    });
    auto pair = std::make_unique<StreamPair>();
    StreamPair* raw = pair.get();
    raw->client_side = std::make_unique<RawClient>(loop_, fd);
    raw->member_side = std::make_unique<RawClient>(loop_, AddressText(target_));
    raw->client_side->on_read = [this, raw] { ForwardStream(raw); };
    raw->member_side->on_read = [raw] {
      raw->client_side->Write(std::exchange(raw->member_side->received, {}));
    };
    raw->client_side->on_end = [raw] {
      raw->member_side->Close("passed-on"), raw->member_side->ended = true;
    };
    raw->member_side->on_end = [raw] {
      raw->client_side->Close("passed-on"), raw->client_side->ended = true;
    };
    stream_pairs_.push_back(std::move(pair));
  }
  void ForwardStream(StreamPair* raw) {
    if (faults.reset_streams) {
      raw->client_side->Close("reset");
      raw->member_side->Close("reset");
      raw->client_side->ended = raw->member_side->ended = true;
      return;
    }
    if (faults.blocked || raw->client_side->received.empty()) return;
    std::size_t max_bytes = raw->client_side->received.size();
    if (faults.bytes_per_s > 0)
      max_bytes =
          std::min<std::size_t>(max_bytes, static_cast<std::size_t>(faults.bytes_per_s / 50) + 1);
    raw->member_side->Write(raw->client_side->received.substr(0, max_bytes));
    raw->client_side->received.erase(0, max_bytes);
    if (!raw->client_side->received.empty())
      loop_->deadlines().At(loop_->Now() + 0.02, [this, raw] { ForwardStream(raw); });
  }

  ClusterHarness* harness_;
  Loop* loop_;
  int port_, fd_ = -1;
  sockaddr_in target_, source_{};
  EventPtr readable_;
  Listener listener_;
  std::vector<std::unique_ptr<StreamPair>> stream_pairs_;
};

// The relay of usage reports between two members. A node identifies its peers by their source
// addresses, so both members know the other by the address of the relay.
class PeerRelay {
 public:
  PeerRelay(ClusterHarness* harness, std::size_t first, std::size_t second)
      : first_(first), second_(second), harness_(harness), port_(FreePort()) {
    const sockaddr_in at = *ParseAddress(LoopbackAddress(port_));
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
  bool Connects(std::size_t a, std::size_t b) const {
    return (first_ == a && second_ == b) || (first_ == b && second_ == a);
  }

 private:
  void Receive() {
    char bytes[2048];
    sockaddr_in source{};
    socklen_t size = sizeof source;
    ssize_t length = 0;
    while ((length = recvfrom(fd_, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&source),
                              &size)) >= 0) {
      const bool from_first = ntohs(source.sin_port) == harness_->nodes_[first_].peer;
      const std::size_t from = from_first ? first_ : second_, to = from_first ? second_ : first_;
      const LinkFaults& faults = harness_->link(from, to);
      if (faults.blocked || harness_->random_.Unit() < faults.loss) continue;
      const sockaddr_in target = *ParseAddress(LoopbackAddress(harness_->nodes_[to].peer));
      (void)sendto(fd_, bytes, static_cast<std::size_t>(length), MSG_DONTWAIT,
                   reinterpret_cast<const sockaddr*>(&target), sizeof target);
    }
  }

  const std::size_t first_, second_;
  ClusterHarness* harness_;
  int port_, fd_ = -1;
  EventPtr readable_;
};

ClusterHarness::ClusterHarness(const Options& options) : options_(options), random_(options.seed) {
  LogLevel() = Level::kError;
  char name[] = "/tmp/millethollow-test-XXXXXX";
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
      if (a != b) links_.push_back(std::make_unique<LinkRelay>(this, a, b, nodes_[b].cluster));
      if (a < b && options.peers) peer_relays_.push_back(std::make_unique<PeerRelay>(this, a, b));
    }
  }
}

ClusterHarness::~ClusterHarness() {
  for (Node* node : {&duplicate_}) {
    if (node->pid > 0) kill(node->pid, SIGKILL);
    ReapProcess(node);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Kill(i);
    if (nodes_[i].shim != nullptr) munmap(nodes_[i].shim, sizeof(Shim));
  }
  if (::testing::Test::HasFailure()) {
    std::printf("cluster harness: seed %lu, files in %s\n", options_.seed, folder_.c_str());
  } else {
    std::filesystem::remove_all(folder_);
  }
}

LinkFaults& ClusterHarness::link(std::size_t from, std::size_t to) {
  return (*std::find_if(links_.begin(), links_.end(),
                        [&](const auto& l) { return l->from == from && l->to == to; }))
      ->faults;
}

void ClusterHarness::ForEachLink(const std::function<void(LinkFaults*)>& change) {
  for (const auto& l : links_) change(&l->faults);
}

void ClusterHarness::Partition(const std::vector<int>& groups) {
  for (const auto& l : links_) l->faults.blocked = groups[l->from] != groups[l->to];
}

void ClusterHarness::Heal() {
  for (const auto& l : links_) l->faults = {};
}

void ClusterHarness::Inject(std::size_t to, const std::string& datagram) {
  const sockaddr_in at = *ParseAddress(LoopbackAddress(nodes_[to].cluster));
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  (void)sendto(fd, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&at),
               sizeof at);
  close(fd);
}

void ClusterHarness::AddPeerConfig(std::size_t i, nlohmann::json* config) const {
  std::vector<std::string> addresses;
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    int port = nodes_[m].peer;
    for (const auto& relay : peer_relays_) {
      if (relay->Connects(i, m)) port = relay->port();
    }
    addresses.push_back(LoopbackAddress(port));
  }
  (*config)["peer_listen"] = LoopbackAddress(nodes_[i].peer);
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
                       {"address", LoopbackAddress(port)},
                       {"place", "rack-" + std::to_string(m % 3)},
                       {"voter", m < options_.voters}});
  }
  config["name"] = Name(i);
  config["listen"] = LoopbackAddress(node.http);
  config["admin"] = LoopbackAddress(node.admin);
  config["log_level"] = "info";
  config.erase("seed");
  config["settings"].merge_patch(nlohmann::json::parse(options_.settings));
  if (options_.peers) AddPeerConfig(i, &config);
  config["cluster"] = {{"name", "roast"},
                       {"self", Name(i)},
                       {"listen", LoopbackAddress(node.cluster)},
                       {"store", node.folder + "/store"},
                       {"timings", nlohmann::json::parse(options_.timings)},
                       {"members", std::move(members)}};
  config["cluster"].update(nlohmann::json::parse(options_.cluster));
  if (options_.gearman) {
    const nlohmann::json look{{"class", "look"}, {"tenant", "andes"}},
        charge{{"class", "charge"}, {"tenant", "andes"}};
    config["gearman"] = {{"listen", LoopbackAddress(node.gearman)},
                         {"functions", {{"look", look}, {"charge", charge}}}};
  }
  std::ofstream(path) << config.dump(1);
}

void ClusterHarness::LaunchProcess(Node* node, const std::string& config) {
  const std::string log = node->folder + "/log";
  const std::uint64_t max_file_bytes = node->max_file_bytes;
  node->exit_code = -1;
  node->stopped = node->terminating = false;
  node->disruptions += 1;
  node->last_states.clear();
  node->polled = {};
  node->pid = fork();
  if (node->pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the test process
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(out, 1);
    dup2(out, 2);
    if (max_file_bytes > 0) {
      std::signal(SIGXFSZ, SIG_IGN);
      const rlimit limit{max_file_bytes, max_file_bytes};
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
  LaunchProcess(&nodes_[i], path);
}

void ClusterHarness::StartAll() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) Start(i);
}

void ClusterHarness::StartDuplicate(std::size_t i) {
  duplicate_.folder = folder_ + "/twin";
  std::filesystem::create_directory(duplicate_.folder);
  duplicate_.http = FreePort();
  duplicate_.admin = FreePort();
  duplicate_.cluster = FreePort();
  duplicate_.gearman = FreePort();
  WriteConfig(i, duplicate_.folder + "/config.json", duplicate_);
  LaunchProcess(&duplicate_, duplicate_.folder + "/config.json");
}

void ClusterHarness::ReapProcess(Node* node) {
  int status = 0;
  if (node->pid > 0 && waitpid(node->pid, &status, 0) == node->pid) {
    node->exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  }
  node->pid = -1;
  node->poll_client.reset();
  node->polled.response = nullptr;
}

bool ClusterHarness::Running(std::size_t i) {
  Node& node = nodes_[i];
  int status = 0;
  if (node.pid > 0 && waitpid(node.pid, &status, WNOHANG) == node.pid) {
    node.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    node.pid = -1;
    node.polled.response = nullptr;
  }
  return node.pid > 0;
}

void ClusterHarness::Kill(std::size_t i) {
  if (!Running(i)) return;
  nodes_[i].disruptions += 1;
  kill(nodes_[i].pid, SIGKILL);
  ReapProcess(&nodes_[i]);
}

void ClusterHarness::Terminate(std::size_t i) {
  nodes_[i].disruptions += 1;
  nodes_[i].terminating = true;
  if (Running(i)) kill(nodes_[i].pid, SIGTERM);
}

void ClusterHarness::Stop(std::size_t i) {
  nodes_[i].disruptions += 1;
  if (Running(i)) kill(nodes_[i].pid, SIGSTOP);
  nodes_[i].stopped = true;
  nodes_[i]
      .poll_client.reset();  // a response from before the stop must not count as one from after it
  nodes_[i].polled.response = nullptr;
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

void ClusterHarness::RemoveStore(std::size_t i) {
  std::filesystem::remove_all(nodes_[i].folder + "/store");
}

void ClusterHarness::BackUpStore(std::size_t i) {
  std::filesystem::remove_all(nodes_[i].folder + "/kept");
  std::filesystem::copy(nodes_[i].folder + "/store", nodes_[i].folder + "/kept");
}

void ClusterHarness::RestoreStore(std::size_t i) {
  RemoveStore(i);
  std::filesystem::rename(nodes_[i].folder + "/kept", nodes_[i].folder + "/store");
}

std::string ClusterHarness::LogOf(std::size_t i) const {
  std::stringstream text;
  text << std::ifstream(nodes_[i].folder + "/log").rdbuf();
  return text.str();
}

std::string ClusterHarness::DuplicateLog() const {
  std::stringstream text;
  text << std::ifstream(duplicate_.folder + "/log").rdbuf();
  return text.str();
}

std::string ClusterHarness::http_address(std::size_t i) const {
  return LoopbackAddress(nodes_[i].http);
}
std::string ClusterHarness::gearman_address(std::size_t i) const {
  return LoopbackAddress(nodes_[i].gearman);
}

bool ClusterHarness::RunUntil(const std::function<bool()>& done, double timeout_s) {
  const double until = now() + timeout_s;
  while (true) {
    if (done()) return true;
    if (now() >= until) return false;
    PollAll();
    loop_.deadlines().At(now() + 0.005, [] {});
    loop_.Turn();
  }
}

void ClusterHarness::PollAll() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (node.pid <= 0 || node.stopped) continue;
    if (node.poll_client) {
      const bool complete = node.poll_client->ended &&
                            node.poll_client->received.find("\r\n\r\n") != std::string::npos;
      if (complete) OnMembersResponse(i, node.poll_client->received);
      if (!node.poll_client->ended && now() - node.polled_at < kPollTimeoutS) continue;
      if (!complete) node.polled.response = nullptr;
      node.poll_client.reset();
    }
    if (now() - node.polled_at < kPollIntervalS) continue;
    node.polled_at = now();
    node.poll_client = std::make_unique<RawClient>(&loop_, LoopbackAddress(node.admin));
    node.poll_client->Write("GET /members HTTP/1.1\r\nHost: a\r\n\r\n");
  }
}

// Checks each response: all nodes must report the same members for an epoch, and the epoch of a
// process must not fall.
void ClusterHarness::OnMembersResponse(std::size_t i, const std::string& answer) {
  Node& node = nodes_[i];
  const auto response =
      nlohmann::json::parse(answer.substr(answer.find("\r\n\r\n") + 4), nullptr, false);
  if (!response.is_object()) {
    node.polled.response = nullptr;
    return;
  }
  const auto epoch = response["epoch"].get<std::uint64_t>();
  std::string content;
  for (const auto& m : response["members"]) {
    const std::string id = m["id"], state = m["state"];
    if (m["in_view"].get<bool>()) content += id + m.value("life", "") + " ";
    if (state == "failed" && node.last_states[id] != "failed") failure_reports_[id] += 1;
    node.last_states[id] = state;
  }
  if (const auto [it, fresh] = view_contents_.emplace(epoch, content);
      epoch > 0 && !fresh && it->second != content) {
    violations_.push_back("epoch " + std::to_string(epoch) + " has two sets of members: " +
                          it->second + "and " + content + "at " + Name(i));
  }
  if (node.polled.response.is_object() &&
      node.polled.response["epoch"].get<std::uint64_t>() > epoch) {
    violations_.push_back("the epoch of " + Name(i) + " fell");
  }
  highest_epoch_ = std::max(highest_epoch_, epoch);
  node.polled = {now(), response};
}

std::uint64_t ClusterHarness::Epoch(std::size_t i) const {
  const auto& response = nodes_[i].polled.response;
  return response.is_object() ? response["epoch"].get<std::uint64_t>() : 0;
}

bool ClusterHarness::HoldsLease(std::size_t i) const {
  const auto& response = nodes_[i].polled.response;
  return response.is_object() && response["majority"].get<bool>();
}

std::string ClusterHarness::StateSeenBy(std::size_t observer, std::size_t subject) const {
  const auto& response = nodes_[observer].polled.response;
  return response.is_object() ? response["members"][subject]["state"].get<std::string>() : "";
}

bool ClusterHarness::Converged() {
  std::uint64_t epoch = 0;
  for (std::size_t i = 0; i < size(); ++i) {
    if (!Running(i) || nodes_[i].stopped) continue;
    if (!HoldsLease(i) || (epoch != 0 && Epoch(i) != epoch)) return false;
    epoch = Epoch(i);
    for (std::size_t m = 0; m < size(); ++m) {
      const bool running = Running(m) && !nodes_[m].stopped;
      if (nodes_[i].polled.response["members"][m]["in_view"].get<bool>() != running) return false;
      if (running && StateSeenBy(i, m) != "alive") return false;
    }
  }
  return epoch > 0;
}

std::uint64_t ClusterHarness::FailureReports(std::size_t subject) const {
  const auto it = failure_reports_.find(Name(subject));
  return it == failure_reports_.end() ? 0 : it->second;
}

std::string ClusterHarness::AdminRequest(std::size_t i, const std::string& call) {
  RawClient raw(&loop_, LoopbackAddress(nodes_[i].admin));
  raw.Write(call + " HTTP/1.1\r\nHost: a\r\n\r\n");
  RunUntil([&] { return raw.ended; }, 2);
  return raw.received;
}

long ClusterHarness::Metric(std::size_t i, const std::string& name) {
  const std::string answer = AdminRequest(i, "GET /stats");
  const std::size_t at = answer.find(name + ":");
  return at == std::string::npos ? -1
                                 : std::strtol(answer.c_str() + at + name.size() + 1, nullptr, 10);
}

}  // namespace millethollow::cluster_test
