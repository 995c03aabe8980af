// Stand-ins and helpers of the review's cases: processes of the project, HTTP workers, Gearman
// clients and workers, discovery. Blocking sockets, one thread for each connection, real clock.
#ifndef MILLETHOLLOW_REVIEW_RIG_H_
#define MILLETHOLLOW_REVIEW_RIG_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline double Now() {  // seconds since the start of the test
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// ---- record.txt ----

inline FILE*& RecordFile() {
  static FILE* file = nullptr;
  return file;
}

[[gnu::format(printf, 1, 2)]] inline void Record(const char* format, ...) {
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  std::va_list arguments;
  va_start(arguments, format);
  std::fprintf(RecordFile(), "%8.3f ", Now());
  std::vfprintf(RecordFile(), format, arguments);
  std::fputc('\n', RecordFile());
  std::fflush(RecordFile());
  va_end(arguments);
}

// ---- processes ----

class Process;
inline std::set<pid_t>& LivePids() {
  static std::set<pid_t> pids;
  return pids;
}
inline void KillAll() {
  for (const pid_t pid : LivePids()) {
    kill(-pid, SIGKILL);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  LivePids().clear();
}

// Ends the test: kills what it started, and exits at once, since threads still serve.
[[noreturn]] inline void Exit(int status, const char* verdict) {
  Record("verdict: %s (exit %d)", verdict, status);
  KillAll();
  std::printf("%s\n", verdict);
  std::fflush(nullptr);
  _exit(status);
}
[[noreturn]] inline void CannotRun(const std::string& reason) {
  Exit(2, ("the case could not run: " + reason).c_str());
}

// A process of the project, in a group of its own, started with the deploy file's command.
class Process {
 public:
  void Start(const std::string& name, const std::map<std::string, std::string>& environment,
             const std::string& log_path) {
    name_ = name;
    const char* command = std::getenv("RUN_COMMAND");
    pid_ = fork();
    if (pid_ == 0) {
      setpgid(0, 0);
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      signal(SIGPIPE, SIG_DFL);
      sigset_t none;
      sigemptyset(&none);
      sigprocmask(SIG_SETMASK, &none, nullptr);
      for (const auto& [key, value] : environment) setenv(key.c_str(), value.c_str(), 1);
      FILE* log = std::freopen(log_path.c_str(), "a", stdout);
      if (log != nullptr) dup2(fileno(log), 2);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      execl("/bin/sh", "sh", "-c", command, static_cast<char*>(nullptr));
      _exit(127);
    }
    LivePids().insert(pid_);
    Record("%s: started, pid %d", name_.c_str(), pid_);
  }
  void Signal(int signal_number, const char* text) {
    Record("%s: %s", name_.c_str(), text);
    kill(pid_, signal_number);
  }
  // Waits for the end. False after `timeout_s`.
  bool Wait(double timeout_s) {
    for (const double until = Now() + timeout_s; Now() < until; Sleep(0.01)) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) != pid_) continue;
      LivePids().erase(pid_);
      Record("%s: ended, %s %d", name_.c_str(), WIFSIGNALED(status) ? "signal" : "status",
             WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
      return true;
    }
    return false;
  }
  bool Running() const { return pid_ > 0 && kill(pid_, 0) == 0 && LivePids().contains(pid_); }
  pid_t pid() const { return pid_; }

 private:
  std::string name_;
  pid_t pid_ = -1;
};

// ---- sockets ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// A port that is free for TCP and UDP, none twice. Below those that the system gives to outgoing
// connections, since a node binds its ports again after a restart.
inline int FreePort() {
  static std::set<int> used;
  static std::mt19937 random(std::random_device{}());
  for (int tries = 0; tries < 500; ++tries) {
    const int port = std::uniform_int_distribution<int>(12000, 31999)(random);
    const int tcp = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = Loopback(port);
    const bool free =
        bind(tcp, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        bind(udp, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(tcp);
    close(udp);
    if (free && used.insert(port).second) return port;
  }
  CannotRun("no free port");
}

inline std::string At(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    return fd;
  }
  close(fd);
  return -1;
}

inline int ListenAt(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, 512) != 0) {
    CannotRun("cannot listen");
  }
  return fd;
}

inline bool SendAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

// Reads from a socket with a buffer. Times out at `until` (rig::Now).
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  bool Line(std::string* line, double until) {
    std::size_t end;
    while ((end = buffer_.find('\n')) == std::string::npos) {
      if (!Fill(until)) return false;
    }
    *line = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    if (!line->empty() && line->back() == '\r') line->pop_back();
    return true;
  }
  bool Bytes(std::size_t count, std::string* bytes, double until) {
    while (buffer_.size() < count) {
      if (!Fill(until)) return false;
    }
    *bytes = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
  }
  bool ended() const { return ended_; }

 private:
  bool Fill(double until) {
    pollfd wanted{.fd = fd_, .events = POLLIN, .revents = 0};
    const double left = until - Now();
    if (left <= 0) return false;
    const int ready = poll(&wanted, 1, static_cast<int>(std::min(left, 1000.0) * 1000) + 1);
    if (ready <= 0) return false;
    char bytes[16384];
    const ssize_t got = recv(fd_, bytes, sizeof bytes, 0);
    if (got <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(got));
    return true;
  }
  int fd_;
  std::string buffer_;
  bool ended_ = false;
};

constexpr double kForever = 1e6;

struct HttpMessage {
  std::string start;  // the request's or status line
  std::map<std::string, std::string> headers;
  std::string body;
  std::string Header(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

inline std::optional<HttpMessage> ReadHttp(Reader* reader, double until) {
  HttpMessage message;
  if (!reader->Line(&message.start, until)) return std::nullopt;
  std::string line;
  while (true) {
    if (!reader->Line(&line, until)) return std::nullopt;
    if (line.empty()) break;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) return std::nullopt;
    std::size_t begin = colon + 1;
    while (begin < line.size() && line[begin] == ' ') ++begin;
    message.headers[line.substr(0, colon)] = line.substr(begin);
  }
  const std::size_t length = std::strtoul(message.Header("Content-Length").c_str(), nullptr, 10);
  if (length > 0 && !reader->Bytes(length, &message.body, until)) return std::nullopt;
  return message;
}

// One HTTP call. Returns the status, 0 without an answer.
inline int Call(int port, const std::string& request, std::string* body, double timeout_s) {
  const int fd = ConnectTo(port);
  if (fd < 0) return 0;
  Reader reader(fd);
  std::optional<HttpMessage> answer;
  if (SendAll(fd, request)) answer = ReadHttp(&reader, Now() + timeout_s);
  close(fd);
  if (!answer) return 0;
  if (body != nullptr) *body = answer->body;
  return std::atoi(answer->start.c_str() + 9);
}

inline bool WaitReady(int port, double timeout_s) {
  for (const double until = Now() + timeout_s; Now() < until; Sleep(0.02)) {
    if (Call(port, "GET /_health HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n", nullptr, 1) == 200)
      return true;
  }
  return false;
}

// ---- workers over HTTP ----

struct Run {  // a job that a worker has run (begun)
  std::string worker, id, key, body, result;
  double at = 0;
};

inline std::mutex& RunsMutex() {
  static std::mutex mutex;
  return mutex;
}
inline std::vector<Run>& Runs() {
  static std::vector<Run> runs;
  return runs;
}
inline std::vector<Run> RunsOf(const std::string& body) {
  const std::lock_guard lock(RunsMutex());
  std::vector<Run> found;
  for (const Run& run : Runs()) {
    if (run.body == body) found.push_back(run);
  }
  return found;
}
// Notes that a job begins, and returns its result: a receipt that names the job.
inline std::string BeginRun(const std::string& worker, const std::string& id,
                            const std::string& key, const std::string& body) {
  const std::lock_guard lock(RunsMutex());
  const std::string result =
      "receipt " + std::to_string(Runs().size() + 1) + " of " + worker + " for " + body;
  Runs().push_back({worker, id, key, body, result, Now()});
  Record("%s: runs id=%s key=%s body=%s", worker.c_str(), id.c_str(), key.c_str(), body.c_str());
  return result;
}

// What the workers of one rack tell each other: the keys that each has seen. They drop a repeat for
// `window_s` and answer it with the first run's result.
struct Rack {
  struct Seen {
    double at = 0;
    bool done = false;
    std::string result;
  };
  double window_s = 40;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Seen> keys;
};

class HttpWorker {
 public:
  HttpWorker(std::string name, Rack* rack, double run_s)
      : name_(std::move(name)), rack_(rack), run_s_(run_s), port_(FreePort()) {
    const int listener = ListenAt(port_);
    std::thread([this, listener] {
      while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd] {
          Serve(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  const std::string& name() const { return name_; }

 private:
  static std::string Chunk(const std::string& line) {
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    return size + line + "\n\r\n";
  }
  void Serve(int fd) {
    const int enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    Reader reader(fd);
    while (auto request = ReadHttp(&reader, kForever)) {
      if (request->start.starts_with("GET ")) {  // no probes in these settings
        if (!SendAll(fd, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")) return;
        continue;
      }
      const std::string id = request->Header("Request-Id"), key = request->Header("Idempotency-Key");
      const std::string head = "{\"id\":\"" + id + "\",\"from\":\"" + name_ + "\",\"state\":";
      if (!SendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                           Chunk(head + "\"started\"}")))
        return;
      const std::string result = Work(id, key, request->body);
      if (!SendAll(fd, Chunk(head + "\"done\",\"result\":\"" + result + "\"}") + "0\r\n\r\n")) {
        Record("%s: nobody takes the answer to id=%s", name_.c_str(), id.c_str());
        return;
      }
    }
  }
  std::string Work(const std::string& id, const std::string& key, const std::string& body) {
    if (!key.empty()) {
      std::unique_lock lock(rack_->mutex);
      const auto seen = rack_->keys.find(key);
      if (seen != rack_->keys.end() && Now() - seen->second.at < rack_->window_s) {
        Record("%s: drops a repeat id=%s key=%s body=%s", name_.c_str(), id.c_str(), key.c_str(),
               body.c_str());
        rack_->changed.wait(lock, [&] { return rack_->keys[key].done; });
        return rack_->keys[key].result;
      }
      rack_->keys[key] = {.at = Now(), .done = false, .result = ""};
    }
    const std::string result = BeginRun(name_, id, key, body);
    Sleep(run_s_);
    if (!key.empty()) {
      const std::lock_guard lock(rack_->mutex);
      rack_->keys[key].done = true;
      rack_->keys[key].result = result;
      rack_->changed.notify_all();
    }
    return result;
  }

  std::string name_;
  Rack* rack_;
  double run_s_;
  int port_;
};

// ---- Gearman ----

enum GearmanType {
  kCanDo = 1,
  kPreSleep = 4,
  kNoop = 6,
  kSubmitJob = 7,
  kJobCreated = 8,
  kGrabJob = 9,
  kNoJob = 10,
  kJobAssign = 11,
  kWorkStatus = 12,
  kWorkComplete = 13,
  kWorkFail = 14,
  kSubmitJobBg = 18,
  kError = 19,
  kWorkException = 25,
  kGrabJobUniq = 30,
  kJobAssignUniq = 31,
};

struct Packet {
  int type = 0;
  std::vector<std::string> arguments;
};

inline std::string Encode(int type, const std::vector<std::string>& arguments) {
  std::string data;
  for (std::size_t i = 0; i < arguments.size(); ++i) {
    if (i > 0) data += '\0';
    data += arguments[i];
  }
  std::string packet("\0REQ", 4);
  for (const std::uint32_t number : {static_cast<std::uint32_t>(type),
                                     static_cast<std::uint32_t>(data.size())}) {
    for (int shift = 24; shift >= 0; shift -= 8) packet += static_cast<char>(number >> shift);
  }
  return packet + data;
}

class GearmanPeer {
 public:
  ~GearmanPeer() { Close(); }
  bool Open(int port) {
    fd_ = ConnectTo(port);
    reader_ = std::make_unique<Reader>(fd_);
    return fd_ >= 0;
  }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  bool Send(int type, const std::vector<std::string>& arguments) {
    return SendAll(fd_, Encode(type, arguments));
  }
  // `parts`: the last argument takes the rest.
  bool Receive(Packet* packet, double until) {
    std::string head, data;
    if (!reader_->Bytes(12, &head, until)) return false;
    const auto number = [&](std::size_t at) {
      std::uint32_t value = 0;
      for (std::size_t i = 0; i < 4; ++i)
        value = value << 8 | static_cast<unsigned char>(head[at + i]);
      return value;
    };
    packet->type = static_cast<int>(number(4));
    if (!reader_->Bytes(number(8), &data, until)) return false;
    const std::size_t parts = packet->type == kJobAssign       ? 3
                              : packet->type == kJobAssignUniq ? 4
                              : packet->type == kWorkComplete || packet->type == kError ||
                                      packet->type == kWorkException
                                  ? 2
                                  : 1;
    packet->arguments.clear();
    while (packet->arguments.size() + 1 < parts) {
      const std::size_t end = data.find('\0');
      if (end == std::string::npos) break;
      packet->arguments.push_back(data.substr(0, end));
      data.erase(0, end + 1);
    }
    packet->arguments.push_back(data);
    return true;
  }
  bool ended() const { return reader_ == nullptr || reader_->ended(); }

 private:
  int fd_ = -1;
  std::unique_ptr<Reader> reader_;
};

struct GearmanAnswer {
  std::string outcome;  // served, failed, error, none
  std::string handle, result;
};

// Submits a job over an open connection and waits for its end.
inline GearmanAnswer Submit(GearmanPeer* peer, const std::string& client,
                            const std::string& function, const std::string& unique,
                            const std::string& body, double timeout_s) {
  GearmanAnswer answer{.outcome = "none", .handle = "", .result = ""};
  const double until = Now() + timeout_s;
  Record("%s: submits unique='%s' body=%s", client.c_str(), unique.c_str(), body.c_str());
  peer->Send(kSubmitJob, {function, unique, body});
  Packet packet;
  while (peer->Receive(&packet, until)) {
    if (packet.type == kJobCreated) answer.handle = packet.arguments[0];
    if (packet.type == kWorkComplete) {
      answer.outcome = "served";
      answer.result = packet.arguments.back();
    }
    if (packet.type == kWorkFail) answer.outcome = "failed";
    if (packet.type == kError) answer.outcome = "error", answer.result = packet.arguments.back();
    if (answer.outcome != "none") break;
  }
  Record("%s: answered %s handle=%s body=%s result=%s", client.c_str(), answer.outcome.c_str(),
         answer.handle.c_str(), body.c_str(), answer.result.c_str());
  return answer;
}

// A Gearman worker that grabs one job at a time. It drops a repeat of a unique id that it ran
// itself within the window, and answers it with the first run's result. Connects again when its
// connection ends.
class GearmanWorker {
 public:
  GearmanWorker(std::string name, std::vector<std::string> functions, int port, double run_s,
                double window_s)
      : name_(std::move(name)),
        functions_(std::move(functions)),
        port_(port),
        run_s_(run_s),
        window_s_(window_s) {
    std::thread([this] {
      while (true) {
        GearmanPeer peer;
        if (peer.Open(port_)) Work(&peer);
        Sleep(0.1);
      }
    }).detach();
  }

 private:
  void Work(GearmanPeer* peer) {
    for (const std::string& function : functions_) peer->Send(kCanDo, {function});
    Record("%s: connected", name_.c_str());
    if (!peer->Send(kGrabJobUniq, {})) return;
    Packet packet;
    while (peer->Receive(&packet, kForever)) {
      if (packet.type == kNoJob) {
        if (!peer->Send(kPreSleep, {})) return;
        continue;
      }
      if (packet.type == kJobAssignUniq) {
        const std::string handle = packet.arguments[0], unique = packet.arguments[2];
        const std::string body = packet.arguments[3];
        std::string result;
        const auto seen = seen_.find(unique);
        if (!unique.empty() && seen != seen_.end() && Now() - seen->second.first < window_s_) {
          Record("%s: drops a repeat unique=%s body=%s", name_.c_str(), unique.c_str(),
                 body.c_str());
          result = seen->second.second;
        } else {
          result = BeginRun(name_, handle, unique, body);
          seen_[unique] = {Now(), result};
          Sleep(run_s_);
        }
        if (!peer->Send(kWorkComplete, {handle, result})) return;
      }
      if (packet.type == kJobAssignUniq || packet.type == kNoop) {
        if (!peer->Send(kGrabJobUniq, {})) return;
      }
    }
    Record("%s: connection ended", name_.c_str());
  }

  std::string name_;
  std::vector<std::string> functions_;
  int port_;
  double run_s_, window_s_;
  std::map<std::string, std::pair<double, std::string>> seen_;
};

// ---- configuration ----

inline std::string Quoted(const std::string& text) { return '"' + text + '"'; }

struct ServerEntry {
  std::string id;
  int port = 0, cell = 0;
};

inline std::string ServerList(const std::vector<ServerEntry>& servers, int version) {
  std::string list = "{\"version\":" + std::to_string(version) + ",\"full\":true,\"servers\":[";
  for (std::size_t i = 0; i < servers.size(); ++i) {
    list += (i > 0 ? "," : "") + std::string("{\"id\":") + Quoted(servers[i].id) +
            ",\"addr\":" + Quoted(At(servers[i].port)) +
            ",\"zone\":\"quilicura\",\"kind\":\"grande\",\"cell\":" +
            std::to_string(servers[i].cell) +
            ",\"state\":\"in_service\",\"weight\":1.0,\"started_ms\":0}";
  }
  return list + "]}";
}

// The settings of the site santiago-suscripciones, as the project's example has them.
inline std::string Settings(int nodes, int ordinal, const std::string& discovery) {
  return R"({"balancers":)" + std::to_string(nodes) + R"(,"ordinal":)" + std::to_string(ordinal) +
         R"(,"tick_s":0.005,"zone":0,"zones":["quilicura","san-bernardo"],"kinds":["grande","chico"],)"
         R"("discovery":")" +
         discovery +
         R"(","family":"jobs","weights":"off","classes":[)"
         R"({"name":"consulta-plan","aim_s":0.25,"give_up_s":6,"importance":1,"late_worth":0.3,"semantics":"repeatable","group":"all","window_s":5},)"
         R"({"name":"cobro-envio","aim_s":2,"give_up_s":25,"importance":8,"late_worth":0.25,"semantics":"by_key","group":"cell","window_s":40}],)"
         R"("tenants":[{"name":"tostaduria-andes","fraction":0.29,"quota_rps":5},{"name":"cafe-pacifico","fraction":0.24,"quota_rps":4},)"
         R"({"name":"grano-sur","fraction":0.18,"quota_rps":3},{"name":"tueste-norte","fraction":0.15,"quota_rps":3},)"
         R"({"name":"molino-valle","fraction":0.07,"quota_rps":1},{"name":"cafe-cordillera","fraction":0.07,"quota_rps":1}],)"
         R"("family_info":{"class_kind":[-1,-1],"class_priority":[0,1],"class_stretch":[1.75,1.75],"tells_start":true},)"
         R"("limits":{"cancel":true,"may_duplicate":true,"most_tries":4,"peers":)" +
         std::string(nodes > 1 ? "true" : "false") +
         R"(,"probing":false,"retry_after":true,"max_retry_after_s":2,"connect_timeout_s":0.25,"conn_idle_s":60},)"
         R"("over_share_worth":0.05,"prices":{"cross_zone":0.03,"waste":0.05},)"
         R"("guarantees":{"answer_slack_s":0.02,"ask_within_s":10,"cold_s":8.6,"cold_share":0.33,"drain_grace_s":2,"fall_multiple":3,"overload_for_s":3}})";
}

inline void WriteFile(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  std::ofstream(temporary) << text;
  std::rename(temporary.c_str(), path.c_str());
}

// ---- discovery ----

// Serves one whole list and watches on it. While it is down, watches and calls end with a reset or
// close, and so does each new call.
class Discovery {
 public:
  Discovery() : port_(FreePort()) {
    const int listener = ListenAt(port_);
    std::thread([this, listener] {
      while (true) {
        const int fd = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) continue;
        std::thread([this, fd] {
          Serve(fd);
          close(fd);
        }).detach();
      }
    }).detach();
  }
  int port() const { return port_; }
  void SetServers(const std::vector<ServerEntry>& servers) {
    servers_ = servers;
    version_ = version_ + 1;
  }
  void SetDown(bool down) {
    Record("discovery: %s", down ? "down" : "up again");
    down_ = down;
  }

 private:
  void Serve(int fd) {
    Reader reader(fd);
    while (auto request = ReadHttp(&reader, kForever)) {
      if (down_) return;
      const std::string& target = request->start;
      const std::size_t after_at = target.find("after="), wait_at = target.find("wait_ms=");
      const int after = after_at == std::string::npos ? -1 : std::atoi(target.c_str() + after_at + 6);
      const double wait_s =
          wait_at == std::string::npos ? 0 : std::atoi(target.c_str() + wait_at + 8) / 1000.0;
      const double begun = Now();
      while (after >= version_ && Now() - begun < wait_s && !down_) Sleep(0.005);
      if (down_) return;
      const std::string body =
          after >= version_
              ? "{\"version\":" + std::to_string(version_) + ",\"full\":false,\"servers\":[]}"
              : ServerList(servers_, version_);
      if (!SendAll(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  int port_;
  std::vector<ServerEntry> servers_;
  std::atomic<int> version_ = 0;
  std::atomic<bool> down_ = false;
};

// ---- set-up ----

struct Test {
  bool trouble = true;
  std::string folder;  // temporary, removed by run.sh
};

// Environment: RECORD (record.txt in the case's folder), TEST_FOLDER, RUN_COMMAND, TROUBLE.
inline Test Begin() {
  signal(SIGPIPE, SIG_IGN);
  Test test;
  const char* trouble = std::getenv("TROUBLE");
  test.trouble = trouble == nullptr || std::string(trouble) != "0";
  test.folder = std::getenv("TEST_FOLDER");
  RecordFile() = std::fopen(std::getenv("RECORD"), "a");  // begun by run.sh
  if (RecordFile() == nullptr) _exit(2);
  // An interrupted test ends what it started, too.
  sigset_t ends;
  sigemptyset(&ends);
  for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&ends, number);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  std::thread([ends] {
    int number = 0;
    sigwait(&ends, &number);
    CannotRun("interrupted");
  }).detach();
  Now();
  Record("the disruption is %s", test.trouble ? "on" : "off (TROUBLE=0)");
  return test;
}

}  // namespace rig

#endif  // MILLETHOLLOW_REVIEW_RIG_H_
