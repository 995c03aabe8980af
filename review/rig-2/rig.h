// Stand-ins and helpers for the cases review/6 and later: processes, workers (HTTP and Gearman), Gearman clients,
// discovery, the admin address, and a record of what happened. Plain POSIX and threads; every address is a loopback
// address, every port is a free one, every process that a case starts is ended by it.
#ifndef REVIEW_RIG_2_RIG_H_
#define REVIEW_RIG_2_RIG_H_

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rig {

constexpr int kHeld = 0, kBroken = 1, kCannotRun = 2;  // exit statuses of a case

// ---- time and record ----

inline double Now() {
  using namespace std::chrono;
  return duration<double>(steady_clock::now().time_since_epoch()).count();
}
inline long long UnixMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}
inline void Sleep(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// record.txt in the case's folder.
class Record {
 public:
  static Record& Get() {
    static Record record;
    return record;
  }
  void Open(const std::string& path) {
    file_ = std::fopen(path.c_str(), "w");
    started_at_ = Now();
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f ", Now() - started_at_);
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_ = nullptr;
  double started_at_ = 0;
};
#define RECORD(...) ::rig::Record::Get().Line(__VA_ARGS__)

// ---- sockets ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

// A socket bound to the port, or -1 where it is taken. No SO_REUSEADDR: a port that somebody holds counts as taken.
inline int BindTo(int type, int port) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

// A port that is free for TCP and UDP now, below those that systems give to outgoing connections. Each call returns
// another one. Ports come in blocks; the first of a block stays bound as long as this process lives, so that cases
// that run beside each other take none twice.
inline int FreePort() {
  constexpr int kFirst = 12000, kBlock = 100, kBlocks = 180;
  static int next = 0, left = 0;
  while (true) {
    for (int tries = 0; left == 0 && tries < kBlocks; ++tries) {
      static int block = static_cast<int>(getpid() % kBlocks);
      block = (block + 1) % kBlocks;
      if (BindTo(SOCK_DGRAM, kFirst + block * kBlock) < 0) continue;  // kept open
      next = kFirst + block * kBlock;
      left = kBlock - 1;
    }
    if (left == 0) return 0;
    left -= 1;
    next += 1;
    const int tcp = BindTo(SOCK_STREAM, next), udp = BindTo(SOCK_DGRAM, next);
    if (tcp >= 0) close(tcp);
    if (udp >= 0) close(udp);
    if (tcp >= 0 && udp >= 0) return next;
  }
}
inline std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

inline int Listen(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = Loopback(port);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd, 512) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

// A connected stream with buffered reading. Not shared between threads, apart from Shut and Write.
class Stream {
 public:
  explicit Stream(int fd = -1) : fd_(fd) {
    const int on = 1;
    if (fd >= 0) setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;
  ~Stream() { Close(); }
  static std::unique_ptr<Stream> To(int port, double timeout_s = 3) {
    const double until = Now() + timeout_s;
    do {
      const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const sockaddr_in address = Loopback(port);
      if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return std::make_unique<Stream>(fd);
      close(fd);
      Sleep(0.02);
    } while (Now() < until);
    return nullptr;
  }
  bool open() const { return fd_ >= 0; }
  void Close() {
    if (fd_ >= 0) close(fd_);
    fd_ = -1;
  }
  // Ends the connection for both sides; a read in another thread returns.
  void Shut() const {
    if (fd_ >= 0) shutdown(fd_, SHUT_RDWR);
  }
  bool Write(const std::string& bytes) const {
    for (std::size_t at = 0; at < bytes.size();) {
      const ssize_t sent = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
      if (sent <= 0) return false;
      at += static_cast<std::size_t>(sent);
    }
    return true;
  }
  // Reads more into the buffer. False at the end of the stream or after `until`.
  bool Fill(double until) {
    pollfd entry{.fd = fd_, .events = POLLIN, .revents = 0};
    const double left = until - Now();
    if (fd_ < 0 || left <= 0 || poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0) return false;
    char bytes[16384];
    const ssize_t size = recv(fd_, bytes, sizeof bytes, 0);
    if (size <= 0) {
      ended_ = true;
      return false;
    }
    buffer_.append(bytes, static_cast<std::size_t>(size));
    return true;
  }
  bool ended() const { return ended_; }
  // Whether the other side has closed, without reading.
  bool PeerClosed() const {
    pollfd entry{.fd = fd_, .events = POLLRDHUP, .revents = 0};
    return fd_ < 0 || (poll(&entry, 1, 0) > 0 && entry.revents != 0);
  }
  std::string& buffer() { return buffer_; }

 private:
  int fd_;
  bool ended_ = false;
  std::string buffer_;
};

constexpr double kForever = 1e9;

// ---- HTTP/1.1, as far as the stand-ins need it ----

struct HttpMessage {
  std::string start_line, body;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string Get(const std::string& name) const {
    const auto it = headers.find(name);
    return it == headers.end() ? "" : it->second;
  }
};

// Reads a message with a Content-Length, or none.
inline std::optional<HttpMessage> ReadHttp(Stream* stream, double until) {
  std::string& buffer = stream->buffer();
  std::size_t end = 0;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!stream->Fill(until)) return std::nullopt;
  }
  HttpMessage message;
  std::size_t at = buffer.find("\r\n");
  message.start_line = buffer.substr(0, at);
  while (at < end) {
    at += 2;
    const std::size_t line_end = buffer.find("\r\n", at);
    const std::string line = buffer.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    if (colon != std::string::npos) {
      std::string name = line.substr(0, colon);
      for (char& c : name) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos ? "" : line.substr(value);
    }
    at = line_end;
  }
  buffer.erase(0, end + 4);
  const std::size_t length = static_cast<std::size_t>(std::atoll(message.Get("content-length").c_str()));
  while (buffer.size() < length) {
    if (!stream->Fill(until)) return std::nullopt;
  }
  message.body = buffer.substr(0, length);
  buffer.erase(0, length);
  return message;
}

// One call on a connection of its own, as to the admin address. Returns the status, 0 if there is no answer.
inline int Call(int port, const std::string& method, const std::string& path, std::string* body = nullptr,
                double timeout_s = 2) {
  const auto stream = Stream::To(port, 0.01);
  if (stream == nullptr) return 0;
  stream->Write(method + " " + path + " HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  const auto answer = ReadHttp(stream.get(), Now() + timeout_s);
  if (!answer) return 0;
  if (body != nullptr) *body = answer->body;
  return std::atoi(answer->start_line.substr(answer->start_line.find(' ') + 1).c_str());
}

// Accepts connections and serves each on a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Stream*)>;
  Server(int port, Serve serve) : fd_(rig::Listen(port)), serve_(std::move(serve)) {
    if (fd_ < 0) return;
    std::thread([this] {
      while (true) {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) return;
        auto stream = std::make_shared<Stream>(fd);
        {
          std::lock_guard lock(mutex_);
          streams_.push_back(stream);
        }
        std::thread([this, stream] {
          serve_(stream.get());
          stream->Shut();
        }).detach();
      }
    }).detach();
  }
  bool listening() const { return fd_ >= 0; }
  // Ends all connections that are open now.
  void ResetAll() {
    std::lock_guard lock(mutex_);
    for (const auto& weak : streams_) {
      if (const auto stream = weak.lock()) stream->Shut();
    }
    streams_.clear();
  }

 private:
  int fd_;
  Serve serve_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Stream>> streams_;
};

// ---- what workers ran ----

// Each run of a job, by the job's body. Shared by all stand-ins of workers.
class Runs {
 public:
  struct Run {
    std::string worker;
    double at = 0;
  };
  void Add(const std::string& job, const std::string& worker, const std::string& more = "") {
    std::lock_guard lock(mutex_);
    runs_[job].push_back({worker, Now()});
    RECORD("run job=%s worker=%s run=%zu %s", job.c_str(), worker.c_str(), runs_[job].size(), more.c_str());
  }
  std::vector<Run> Of(const std::string& job) {
    std::lock_guard lock(mutex_);
    return runs_[job];
  }
  std::size_t jobs() {
    std::lock_guard lock(mutex_);
    return runs_.size();
  }

 private:
  std::mutex mutex_;
  std::map<std::string, std::vector<Run>> runs_;
};

// A worker that speaks the platform's protocol: takes a job once its last byte has come, tells the start, runs it for
// `run_s` and answers 'done'. A job whose connection ends while it runs is stopped, as the pages allow.
class HttpWorker {
 public:
  HttpWorker(std::string name, int port, double run_s, Runs* runs)
      : name_(std::move(name)), run_s_(run_s), runs_(runs), server_(port, [this](Stream* stream) { Serve(stream); }) {}
  bool listening() const { return server_.listening(); }

 private:
  static std::string Chunk(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size());
    return size + line + "\r\n";
  }
  void Serve(Stream* stream) {
    while (const auto request = ReadHttp(stream, Now() + 60)) {
      if (request->start_line.starts_with("GET ")) {
        stream->Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      const std::string id = request->Get("request-id");
      runs_->Add(request->body, name_, "id=" + id + " tenant=" + request->Get("tenant"));
      const std::string head = "{\"id\":\"" + id + "\",\"from\":\"" + name_ + "\",\"state\":";
      if (!stream->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Chunk(head + "\"started\"}\n")))
        return;
      const double until = Now() + run_s_;
      while (Now() < until) {
        Sleep(std::min(0.02, until - Now()));
        if (!stream->PeerClosed()) continue;
        RECORD("stopped job=%s worker=%s (its connection ended)", request->body.c_str(), name_.c_str());
        return;
      }
      RECORD("done job=%s worker=%s", request->body.c_str(), name_.c_str());
      if (!stream->Write(Chunk(head + "\"done\",\"result\":\"result-of-" + request->body + "\"}\n") + "0\r\n\r\n")) return;
    }
  }

  std::string name_;
  double run_s_;
  Runs* runs_;
  Server server_;
};

// ---- Gearman ----

enum Packet : std::uint32_t {
  kCanDo = 1, kPreSleep = 4, kNoop = 6, kSubmitJob = 7, kJobCreated = 8, kGrabJob = 9, kNoJob = 10, kJobAssign = 11,
  kWorkComplete = 13, kWorkFail = 14, kGetStatus = 15, kSubmitJobBg = 18, kError = 19, kStatusRes = 20,
  kSetClientId = 22
};

struct GearmanPacket {
  std::uint32_t type = 0;
  std::vector<std::string> arguments;
};

class Gearman {
 public:
  explicit Gearman(int port, double timeout_s = 3) : stream_(Stream::To(port, timeout_s)) {}
  bool open() const { return stream_ != nullptr && !stream_->ended(); }
  bool Send(std::uint32_t type, const std::vector<std::string>& arguments) {
    if (stream_ == nullptr) return false;
    std::string data;
    for (std::size_t i = 0; i < arguments.size(); ++i) {
      if (i > 0) data += '\0';
      data += arguments[i];
    }
    std::string packet("\0REQ", 4);
    Append(type, &packet);
    Append(static_cast<std::uint32_t>(data.size()), &packet);
    return stream_->Write(packet + data);
  }
  // The next packet; nothing if none comes in time or the connection ends.
  std::optional<GearmanPacket> Read(double timeout_s) {
    if (stream_ == nullptr) return std::nullopt;
    const double until = Now() + timeout_s;
    std::string& buffer = stream_->buffer();
    while (buffer.size() < 12 || buffer.size() < 12 + Number(buffer, 8)) {
      if (!stream_->Fill(until)) return std::nullopt;
    }
    GearmanPacket packet{.type = Number(buffer, 4), .arguments = {}};
    const std::size_t size = Number(buffer, 8);
    std::string data = buffer.substr(12, size);
    buffer.erase(0, 12 + size);
    const std::size_t most = packet.type == kJobAssign ? 3 : packet.type == kJobCreated ? 1 : 8;
    while (packet.arguments.size() + 1 < most && data.find('\0') != std::string::npos) {
      const std::size_t end = data.find('\0');
      packet.arguments.push_back(data.substr(0, end));
      data.erase(0, end + 1);
    }
    packet.arguments.push_back(data);
    return packet;
  }
  void Shut() {
    if (stream_ != nullptr) stream_->Shut();
  }
  bool PeerClosed() const { return stream_ == nullptr || stream_->PeerClosed(); }

 private:
  static void Append(std::uint32_t number, std::string* out) {
    for (int shift = 24; shift >= 0; shift -= 8) out->push_back(static_cast<char>(number >> shift & 255));
  }
  static std::uint32_t Number(const std::string& bytes, std::size_t at) {
    std::uint32_t number = 0;
    for (std::size_t i = 0; i < 4; ++i) number = number << 8 | static_cast<unsigned char>(bytes[at + i]);
    return number;
  }
  std::unique_ptr<Stream> stream_;
};

// A Gearman worker: takes one job at a time, runs it for `run_s`, and connects again where its connection ends. A job
// that runs goes on when its connection ends (Gearman can't stop it); Stop ends the worker's process, so to say: what
// runs is lost.
class GearmanWorker {
 public:
  GearmanWorker(std::string name, int port, std::vector<std::string> functions, double run_s, Runs* runs)
      : name_(std::move(name)), port_(port), functions_(std::move(functions)), run_s_(run_s), runs_(runs) {
    thread_ = std::thread([this] { Run(); });
  }
  ~GearmanWorker() {
    Stop();
    thread_.join();
  }
  // Ends the worker at once.
  void Stop() {
    std::lock_guard lock(mutex_);
    stop_ = true;
    if (connection_ != nullptr) connection_->Shut();
  }
  std::atomic<int> grabbed{0}, completed{0};

 private:
  void Run() {
    while (!stop_) {
      {
        auto fresh = std::make_unique<Gearman>(port_, 0.2);
        std::lock_guard lock(mutex_);
        connection_ = std::move(fresh);
      }
      if (connection_->open()) Serve();
      Sleep(0.1);
    }
  }
  void Serve() {
    connection_->Send(kSetClientId, {name_});
    for (const std::string& function : functions_) connection_->Send(kCanDo, {function});
    while (!stop_ && connection_->Send(kGrabJob, {})) {
      auto packet = connection_->Read(kForeverS);
      while (packet && packet->type == kNoop) packet = connection_->Read(kForeverS);
      if (!packet) return;
      if (packet->type == kNoJob) {
        connection_->Send(kPreSleep, {});
        if (!connection_->Read(kForeverS)) return;  // NOOP
        continue;
      }
      if (packet->type != kJobAssign) continue;
      grabbed += 1;
      const std::string handle = packet->arguments[0], body = packet->arguments[2];
      runs_->Add(body, name_, "handle=" + handle);
      for (const double until = Now() + run_s_; Now() < until && !stop_;) Sleep(0.01);
      if (stop_) {
        RECORD("lost job=%s worker=%s (the worker was ended)", body.c_str(), name_.c_str());
        return;
      }
      RECORD("done job=%s worker=%s", body.c_str(), name_.c_str());
      completed += 1;
      if (!connection_->Send(kWorkComplete, {handle, "result-of-" + body})) return;
    }
  }

  static constexpr double kForeverS = 3600;
  std::string name_;
  int port_;
  std::vector<std::string> functions_;
  double run_s_;
  Runs* runs_;
  std::mutex mutex_;
  std::atomic<bool> stop_{false};
  std::unique_ptr<Gearman> connection_;
  std::thread thread_;
};

// ---- processes ----

// Started with the command `run` of the deploy file, from the root of the repository.
class Process {
 public:
  Process(std::string name, const std::string& config_path, const std::string& temporary_folder,
          const std::string& log_path)
      : name_(std::move(name)) {
    pid_ = fork();
    if (pid_ != 0) {
      Started().insert(pid_);
      RECORD("start process=%s pid=%d", name_.c_str(), pid_);
      return;
    }
    setenv("LB_CONFIG", config_path.c_str(), 1);
    setenv("TMPDIR", temporary_folder.c_str(), 1);
    for (const char* name : {"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN"}) unsetenv(name);
    if (std::freopen(log_path.c_str(), "w", stdout) == nullptr) _exit(127);
    dup2(1, 2);
    execl("/bin/sh", "sh", "-c", "exec build/millethollow", nullptr);
    _exit(127);
  }
  ~Process() {
    if (Running()) {
      Signal(SIGKILL);
      Wait(5);
    }
  }
  void Signal(int signal_number) {
    RECORD("signal process=%s signal=%d", name_.c_str(), signal_number);
    if (pid_ > 0 && !ended_) kill(pid_, signal_number);
  }
  bool Running() {
    if (!ended_ && waitpid(pid_, &status_, WNOHANG) == pid_) {
      ended_ = true;
      Started().erase(pid_);
      RECORD("end process=%s %s", name_.c_str(), EndText().c_str());
    }
    return !ended_;
  }
  bool Wait(double timeout_s) {
    for (const double until = Now() + timeout_s; Running();) {
      if (Now() > until) return false;
      Sleep(0.01);
    }
    return true;
  }
  std::string EndText() const {
    return !ended_ ? "running"
           : WIFSIGNALED(status_) ? "signal " + std::to_string(WTERMSIG(status_))
                                  : "status " + std::to_string(WEXITSTATUS(status_));
  }
  bool EndedBySignal() const { return ended_ && WIFSIGNALED(status_); }
  pid_t pid() const { return pid_; }
  static std::set<pid_t>& Started() {
    static std::set<pid_t> started;
    return started;
  }

 private:
  std::string name_;
  pid_t pid_ = -1;
  int status_ = 0;
  bool ended_ = false;
};

// ---- a case ----

// The folder of a run: configurations, logs, and the nodes' TMPDIR. Removed at the end, unless KEEP is set.
class Folder {
 public:
  Folder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) != nullptr) path_ = pattern;
    Current() = path_;
  }
  // The folder of this run; empty before it is made.
  static std::string& Current() {
    static std::string current;
    return current;
  }
  ~Folder() {
    if (!path_.empty() && std::getenv("KEEP") == nullptr) std::filesystem::remove_all(path_);
  }
  const std::string& path() const { return path_; }
  std::string Write(const std::string& name, const std::string& text) const {
    const std::string temporary = path_ + "/" + name + ".new", target = path_ + "/" + name;
    std::ofstream(temporary) << text;
    std::filesystem::rename(temporary, target);
    return target;
  }

 private:
  std::string path_;
};

inline bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

// Ends the case with this status. Threads of stand-ins may still run, so nothing is destroyed but the processes.
[[noreturn]] inline void End(int status, const Folder& folder) {
  for (const pid_t pid : std::set<pid_t>(Process::Started())) {
    kill(pid, SIGCONT);
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  RECORD("exit status=%d", status);
  std::printf("%s\n", status == kHeld ? "held" : status == kBroken ? "BROKEN" : "could not run");
  std::fflush(stdout);
  if (std::getenv("KEEP") == nullptr) std::filesystem::remove_all(folder.path());
  _exit(status);
}

// Calls `done` until it is true or the time is over.
template <typename Done>
bool Until(double timeout_s, Done done) {
  for (const double until = Now() + timeout_s; !done();) {
    if (Now() > until) return false;
    Sleep(0.02);
  }
  return true;
}

// Settings as the platform writes them, with the figures of santiago-suscripciones.
struct Settings {
  int balancers = 1, ordinal = 0;
  std::string discovery = "push";
  std::string charge_class = "cobro-envio", charge_semantics = "by_key", charge_group = "cell";
  double charge_give_up_s = 25, charge_window_s = 40, drain_grace_s = 2;
  bool peers = false;
  std::vector<std::string> tenants{"tostaduria-andes", "cafe-pacifico", "grano-sur",
                                   "tueste-norte",     "molino-valle",  "cafe-cordillera"};
  std::string Json() const {
    static const std::vector<std::pair<double, int>> kShares{{0.29, 5}, {0.24, 4}, {0.18, 3},
                                                             {0.15, 3}, {0.07, 1}, {0.07, 1}};
    std::string tenant_list;
    for (std::size_t i = 0; i < tenants.size(); ++i) {
      char text[160];
      const auto [share, quota] = i < kShares.size() ? kShares[i] : std::pair<double, int>{0.03, 1};
      std::snprintf(text, sizeof text, "%s{\"name\":\"%s\",\"fraction\":%g,\"quota_rps\":%d}", i > 0 ? "," : "",
                    tenants[i].c_str(), share, quota);
      tenant_list += text;
    }
    char text[4096];
    std::snprintf(
        text, sizeof text,
        R"({"balancers":%d,"ordinal":%d,"tick_s":0.005,"zone":0,"zones":["quilicura","san-bernardo"],)"
        R"("kinds":["grande","chico"],"discovery":"%s","family":"jobs","weights":"off","classes":[)"
        R"({"name":"consulta-plan","aim_s":0.25,"give_up_s":6,"importance":1,"late_worth":0.3,)"
        R"("semantics":"repeatable","group":"all","window_s":5},)"
        R"({"name":"%s","aim_s":2,"give_up_s":%g,"importance":8,"late_worth":0.25,)"
        R"("semantics":"%s","group":"%s","window_s":%g}],)"
        R"("family_info":{"class_kind":[-1,-1],"class_priority":[0,1],"class_stretch":[1.75,1.75],"tells_start":true},)"
        R"("limits":{"cancel":true,"may_duplicate":true,"most_tries":4,"peers":%s,"probing":false,)"
        R"("retry_after":true,"max_retry_after_s":2,"connect_timeout_s":0.25,"conn_idle_s":60},)"
        R"("over_share_worth":0.05,"prices":{"cross_zone":0.03,"waste":0.05},)"
        R"("guarantees":{"answer_slack_s":0.02,"ask_within_s":10,"cold_s":8.6,"cold_share":0.33,)"
        R"("drain_grace_s":%g,"fall_multiple":3,"overload_for_s":3},"tenants":[)",
        balancers, ordinal, discovery.c_str(), charge_class.c_str(), charge_give_up_s, charge_semantics.c_str(), charge_group.c_str(),
        charge_window_s, peers ? "true" : "false", drain_grace_s);
    return std::string(text) + tenant_list + "]}";
  }
  // The section of the Gearman front, with two functions for each tenant.
  std::string GearmanJson(int port) const {
    std::string functions;
    for (const std::string& tenant : tenants) {
      for (const char* name : {"consulta-plan", "cobro-envio"}) {
        const std::string class_name = name == std::string("cobro-envio") ? charge_class : name;
        functions += std::string(functions.empty() ? "" : ",") + "\"" + name + "." + tenant + "\":{\"class\":\"" +
                     class_name + "\",\"tenant\":\"" + tenant + "\"}";
      }
    }
    return "{\"listen\":\"" + Address(port) +
           "\",\"zone\":\"quilicura\",\"kind\":\"grande\",\"path\":\"/api\",\"functions\":{" + functions + "}}";
  }
};

// An entry of the list of workers.
inline std::string Entry(const std::string& id, int port, int cell, const std::string& state = "in_service",
                         long long started_ms = 0) {
  return "{\"id\":\"" + id + "\",\"addr\":\"" + Address(port) +
         "\",\"zone\":\"quilicura\",\"kind\":\"grande\",\"cell\":" + std::to_string(cell) + ",\"state\":\"" + state +
         "\",\"weight\":1.0,\"started_ms\":" + std::to_string(started_ms) + "}";
}
inline std::string List(const std::vector<std::string>& entries, int version = 1, bool full = true) {
  std::string text = "{\"version\":" + std::to_string(version) + ",\"full\":" + (full ? "true" : "false") +
                     ",\"servers\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) text += (i > 0 ? "," : "") + entries[i];
  return text + "]}";
}

// Discovery: the whole list, and a watch that waits for changes.
class DiscoveryStandIn {
 public:
  DiscoveryStandIn(int port, std::map<std::string, std::string> entries)
      : entries_(std::move(entries)), server_(port, [this](Stream* stream) { Serve(stream); }) {
    for (const auto& [id, entry] : entries_) changed_at_[id] = 1;
  }
  bool listening() const { return server_.listening(); }
  // Changes an entry.
  void Change(const std::string& id, const std::string& entry) {
    {
      std::lock_guard lock(mutex_);
      entries_[id] = entry;
      changed_at_[id] = ++version_;
      RECORD("discovery version=%d %s", version_, entry.c_str());
    }
    changed_.notify_all();
  }
  // While down, open watches are reset and each call is answered with 503.
  void SetDown(bool down) {
    RECORD("discovery %s", down ? "down" : "up");
    down_ = down;
    changed_.notify_all();
    if (down) server_.ResetAll();
  }

 private:
  void Serve(Stream* stream) {
    while (const auto request = ReadHttp(stream, Now() + 120)) {
      const auto number = [&](const std::string& name) {
        const std::size_t at = request->start_line.find(name + "=");
        return at == std::string::npos ? -1 : std::atoi(request->start_line.c_str() + at + name.size() + 1);
      };
      if (down_) {
        if (!stream->Write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")) return;
        continue;
      }
      const int after = number("after");
      std::string body;
      {
        std::unique_lock lock(mutex_);
        if (after >= 0) {
          const auto until =
              std::chrono::steady_clock::now() + std::chrono::milliseconds(std::max(0, number("wait_ms")));
          changed_.wait_until(lock, until, [&] { return version_ > after || down_ || stream->PeerClosed(); });
          if (down_) return;
        }
        std::vector<std::string> listed;
        for (const auto& [id, entry] : entries_) {
          const bool gone = entry.find("\"terminated\"") != std::string::npos;
          if (after >= 0 ? changed_at_[id] > after : !gone) listed.push_back(entry);
        }
        body = List(listed, version_, after < 0);
      }
      if (!stream->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, std::string> entries_;
  std::map<std::string, int> changed_at_;
  int version_ = 1;
  std::atomic<bool> down_{false};
  Server server_;
};

// Started by each main: the folder of the case is the first argument.
inline void Begin(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  if (argc < 2) {
    std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
    _exit(kCannotRun);
  }
  Record::Get().Open(std::string(argv[1]) + "/record.txt");
  RECORD("trouble=%d", Trouble());
  // A case runs for 120 s at most.
  std::thread([] {
    Sleep(116);
    RECORD("out of time");
    for (const pid_t pid : std::set<pid_t>(Process::Started())) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    if (!Folder::Current().empty() && std::getenv("KEEP") == nullptr) std::filesystem::remove_all(Folder::Current());
    _exit(kCannotRun);
  }).detach();
}

}  // namespace rig

#endif  // REVIEW_RIG_2_RIG_H_
