#include "net/http/worker_pool.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>

#include "logging/log.h"

namespace millethollow::http {
namespace {

using Json = nlohmann::json;
constexpr std::size_t kMaxAnswerBytes = 256 * 1024;  // of one worker's whole answer
constexpr double kEndS = 1.0;                        // from an outcome to the end of its answer
// A second answer may come some milliseconds after the first. One that names no request would be
// taken for that of the next: 'never begun', of one that runs.
constexpr double kEchoS = 0.1;
constexpr double kRetireShare = 0.6;  // of the idle time after which it closes

// 4xx, but for those that speak of the worker or of the moment.
bool ClientsFault(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 425 && status != 429;
}

}  // namespace

void ReadReport(std::string_view text, const std::vector<std::string>& columns, Outcome* outcome) {
  const auto put = [&](std::string_view name, double value) {
    for (std::size_t i = 0; i < columns.size() && i < 4; ++i) {
      if (columns[i] != name || !std::isfinite(value)) continue;
      outcome->report[i] = value;
      outcome->has_report = true;
    }
  };
  while (!text.empty() && std::string_view(" \r\n\t").find(text.back()) != std::string_view::npos) {
    text.remove_suffix(1);
  }
  if (text.starts_with('{')) {
    const Json object = Json::parse(text, nullptr, false);
    if (!object.is_object()) return;
    for (const auto& [name, value] : object.items()) {
      if (value.is_number()) put(name, value.get<double>());
    }
    return;
  }
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    std::string_view part = text.substr(0, comma);
    while (part.starts_with(' ')) part.remove_prefix(1);
    const std::size_t equals = part.find('=');
    double value = 0;
    if (equals != std::string_view::npos) {
      const char* end = part.data() + part.size();
      const auto [at, error] = std::from_chars(part.data() + equals + 1, end, value);
      if (error == std::errc() && at == end) put(part.substr(0, equals), value);
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
}

JobLine ReadJobLine(std::string_view line, std::string_view id) {
  JobLine read;
  const Json object = Json::parse(line, nullptr, false);
  if (!object.is_object()) return read;
  // Another job's line on our connection: whatever it says, it is not ours to pass on.
  const auto own = object.find("id");
  if (own == object.end() || !own->is_string() || own->get_ref<const std::string&>() != id) {
    return read;
  }
  const auto state = object.find("state");
  if (state == object.end() || !state->is_string()) return read;
  if (const auto load = object.find("load"); load != object.end() && load->is_object()) {
    read.load = load->dump();
  }
  const auto& name = state->get_ref<const std::string&>();
  using What = JobLine::What;
  if (name == "done") {
    const auto result = object.find("result");
    if (result == object.end()) return read;
    read.result = result->is_string() ? result->get<std::string>() : result->dump();
    read.what = What::kServed;
  } else {
    read.what = name == "started"    ? What::kStarted
                : name == "running"  ? What::kRunning
                : name == "failed"   ? What::kError
                : name == "returned" ? What::kTurnedAway
                : name == "lost"     ? What::kLost
                                     : What::kNonsense;
  }
  return read;
}

class WorkerConnection final : public Connection {
 public:
  WorkerConnection(WorkerPool* pool, Loop* loop, std::string worker)
      : Connection(loop, "worker"), pool_(pool), worker_(std::move(worker)) {}
  ~WorkerConnection() override { loop_->deadlines().Drop(&limit_); }

  const std::string& worker() const { return worker_; }
  double idle_since() const { return idle_since_; }

  bool Open(const sockaddr_in& address) {
    limit_ = loop_->deadlines().At(loop_->Now() + pool_->options_.connect_timeout_s, [this] {
      limit_ = Deadlines::kNone;
      // Connected and written, though the turn ended before libevent could say so: what is out is
      // out.
      if (busy_ && pending_.empty() && Drained()) return;
      Break("connect-timeout");
    });
    return Connect(address);
  }

  void SendRequest(const ClientRequest& held, int attempt) {
    const Request& e = held.request;
    Begin();
    id_ = e.id;
    attempt_ = attempt;
    wire_id_ = e.wire_id;
    const double left_ms = std::max(1.0, std::floor((e.expires_at - sent_at_) * 1000));
    std::string text = "POST " + held.target + " HTTP/1.1\r\nHost: " + worker_ +
                       "\r\nRequest-Id: " + e.wire_id + "\r\n" +
                       (e.key.empty() ? "" : "Idempotency-Key: " + e.key + "\r\n") +
                       "Request-Timeout-Ms: " + std::to_string(static_cast<long long>(left_ms)) +
                       "\r\n" + held.forward_headers +
                       "Content-Length: " + std::to_string(e.body.size()) + "\r\n\r\n" + e.body;
    if (e.durable_job.empty()) return Write(text);
    if (connected_) return WritePromised(text);
    // What is sent for a promise waits for the connection: the system makes it while this process
    // is stopped, and by then the promise may be another's.
    promise_ = e.durable_job;
    pending_ = std::move(text);
  }

  void SendProbe() {
    Begin();
    id_ = 0;
    Write("GET /_load HTTP/1.1\r\nHost: " + worker_ + "\r\n\r\n");
    probe_limit_ = loop_->deadlines().At(loop_->Now() + pool_->options_.probe_timeout_s, [this] {
      probe_limit_ = Deadlines::kNone;
      Report({.status = AttemptStatus::kNoResponse});
      Finish("probe-timeout");
    });
  }

  // Its turn is over, or its address has changed.
  void Finish(const char* reason) {
    if (closed()) return;
    loop_->deadlines().Drop(&limit_);
    loop_->deadlines().Drop(&probe_limit_);
    Close(reason);
    pool_->Drop(this);
  }

  // It rested in another process.
  void GoOn(int fd, double idle_since) {
    Adopt(fd);
    connected_ = true;
    Rest(idle_since);
  }
  int LetGo() {
    std::string unread;
    const int fd = Release(&unread);
    if (fd < 0) return -1;
    loop_->deadlines().Drop(&limit_);
    pool_->Drop(this);
    return fd;
  }

  // May it carry a request now? The worker may have closed it, or sent what nobody asked for, since
  // the last turn.
  bool Fit() const { return loop_->Now() >= fit_from_; }
  bool Stale() const { return HasUnreadInput(); }
  // Nothing of the request may have reached the worker yet.
  bool Unwritten() const { return !pending_.empty() || !Drained(); }
  void CancelUnsent() {
    if (!busy_ || reported_ || !Unwritten()) return;
    Report({.status = AttemptStatus::kNotSent});
    Finish("called-off");
  }

  void Rest() { Rest(loop_->Now()); }
  void Rest(double since) {
    idle_since_ = since;
    const double idle_s = pool_->options_.idle_s * kRetireShare;
    limit_ = loop_->deadlines().At(idle_since_ + idle_s, [this] {
      limit_ = Deadlines::kNone;
      Finish("retired");
    });
  }

  RequestId id() const { return id_; }
  int attempt() const { return attempt_; }
  void Forget() { reported_ = true; }

 private:
  void Begin() {
    if (connected_) loop_->deadlines().Drop(&limit_);
    busy_ = true;
    reported_ = false;
    sent_at_ = loop_->Now();
    written_ = false;
    line_.clear();
    parser_.Reset();
  }

  void OnConnected() override {
    connected_ = true;
    loop_->deadlines().Drop(&limit_);
    if (!busy_) return Rest();
    if (pending_.empty()) return;
    if (!pool_->options_.may_act || !pool_->options_.may_act(promise_)) {
      Report({.status = AttemptStatus::kNotSent});
      return Finish("not-ours");
    }
    WritePromised(std::exchange(pending_, {}));
  }

  // Leave to send it was asked for just now. Were it written in a later turn, this process might
  // have been stopped in between, and the promise be another's.
  void WritePromised(const std::string& text) {
    WriteNow(text);
    if (Drained()) OnDrained();
  }

  // All that was written has gone to the kernel: the attempt is out whole.
  void OnDrained() override {
    if (!busy_ || !connected_ || id_ == 0 || written_ || !pending_.empty()) return;
    written_ = true;
    if (pool_->options_.counters != nullptr) pool_->options_.counters->written += 1;
  }

  void OnRead() override {
    OnDrained();  // an answer may be here before word that all was written
    if (!busy_) return Finish("unasked-data");
    while (!closed() && !parser_.done()) {
      const std::string bytes = Peek(16 * 1024);
      if (bytes.empty()) return;
      Consume(parser_.Feed(bytes));
      Digest();
      if (closed()) return;
      if (parser_.error() != 0) {
        Report({.status = AttemptStatus::kServerError});
        return Finish("nonsense");
      }
    }
    Complete();
  }

  // Reads the lines that have come so far: a 'started' counts at once, not with the answer's end.
  void Digest() {
    if (!parser_.head_done() || parser_.head().status != 200 || id_ == 0) return;
    line_ += parser_.TakeBody();
    std::size_t start = 0;
    for (std::size_t end = line_.find('\n'); end != std::string::npos && !reported_;
         end = line_.find('\n', start)) {
      Line(std::string_view(line_).substr(start, end - start));
      if (closed()) return;
      start = end + 1;
    }
    line_.erase(0, start);
  }

  void Line(std::string_view text) {
    if (text.find_first_not_of(" \r\t") == std::string_view::npos) return;
    const JobLine line = ReadJobLine(text, wire_id_);
    using What = JobLine::What;
    if (line.what == What::kStarted) return pool_->forwarder_->OnAttemptStarted(id_, attempt_);
    if (line.what == What::kRunning) return;
    Outcome outcome{.status = line.what == What::kServed       ? AttemptStatus::kSucceeded
                              : line.what == What::kTurnedAway ? AttemptStatus::kRejected
                              : line.what == What::kLost       ? AttemptStatus::kConnectionLost
                                                               : AttemptStatus::kServerError};
    // The load that comes with the end of an attempt: in the line, or in the answer's head. This
    // line ends the attempt before the answer does, so the head is read here too.
    if (const std::string* load = parser_.head().Get("Server-Load")) {
      ReadReport(*load, pool_->options_.columns, &outcome);
    }
    if (!line.load.empty()) ReadReport(line.load, pool_->options_.columns, &outcome);
    Report(outcome, line.result);
  }

  void Complete() {
    const Head& head = parser_.head();
    const bool keep = head.keep_alive && Available() == 0;
    if (!reported_) {
      Outcome outcome;
      if (id_ == 0) {
        outcome.status = head.status == 200 ? AttemptStatus::kSucceeded : AttemptStatus::kRejected;
        if (head.status == 200) ReadReport(parser_.TakeBody(), pool_->options_.columns, &outcome);
      } else if (head.status == 200) {
        if (!line_.empty()) Line(std::exchange(line_, {}));  // a last line without its line end
        if (closed()) return;
        outcome.status = AttemptStatus::kConnectionLost;  // it ended before a last line
      } else {
        const std::string* mark = head.Get("Not-Started");
        const bool not_run = (head.status == 503 || head.status == 504) && mark && *mark == "1";
        outcome.status = not_run ? AttemptStatus::kRejected : AttemptStatus::kServerError;
        outcome.client_error = ClientsFault(head.status);
      }
      if (const std::string* load = head.Get("Server-Load")) {
        ReadReport(*load, pool_->options_.columns, &outcome);
      }
      Report(outcome);
    }
    if (closed()) return;
    if (!keep) return Finish("answered-last");
    fit_from_ = head.status == 200 ? 0 : loop_->Now() + kEchoS;
    busy_ = false;
    loop_->deadlines().Drop(&limit_);
    loop_->deadlines().Drop(&probe_limit_);
    pool_->Release(this);
  }

  void Report(Outcome outcome, std::string result = {}) {
    if (reported_) return;
    reported_ = true;
    outcome.latency_s = loop_->Now() - sent_at_;
    if (id_ == 0) return pool_->forwarder_->OnProbeAnswered(worker_, outcome);
    pool_->NoLongerOut(id_, attempt_);
    if (!parser_.done()) {  // the end of the answer must still come, or the connection is no use
      loop_->deadlines().Drop(&limit_);
      limit_ = loop_->deadlines().At(loop_->Now() + kEndS, [this] {
        limit_ = Deadlines::kNone;
        Finish("unfinished");
      });
    }
    pool_->forwarder_->OnAttemptEnded(id_, attempt_, outcome, std::move(result));
  }

  void OnEnd(const char* reason) override {
    if (busy_ && connected_) {  // an answer without a length ends with its connection
      while (Available() > 0 && !parser_.done() && parser_.error() == 0) {
        Consume(parser_.Feed(Peek(16 * 1024)));
        Digest();
        if (closed()) return;
      }
      if (!parser_.done() && std::string_view(reason) == "peer-closed") {
        parser_.EndOfInput();
        if (parser_.done()) return Complete();
      }
    }
    Break(reason);
  }

  void Break(const char* reason) {
    // Never sent as a whole, never run; otherwise it may have.
    // Not by `connected_`: word of that may lag behind the bytes.
    const bool whole = !Unwritten();
    if (busy_) {
      Report({.status = whole ? AttemptStatus::kConnectionLost : AttemptStatus::kConnectFailed});
    }
    Finish(connected_ ? reason : "no-connection");
  }

  WorkerPool* pool_;
  std::string worker_, wire_id_, line_;
  std::string pending_, promise_;  // a request that waits for the connection, and what it is for
  Parser parser_{Parser::Side::kResponse, {.head = 16 * 1024, .body = kMaxAnswerBytes}};
  bool connected_ = false, busy_ = false, reported_ = true, written_ = false;
  RequestId id_ = 0;
  int attempt_ = 0;
  double sent_at_ = 0, idle_since_ = 0, fit_from_ = 0;
  Deadlines::Ticket limit_ = Deadlines::kNone, probe_limit_ = Deadlines::kNone;
};

WorkerPool::WorkerPool(Forwarder* forwarder, Options options)
    : forwarder_(forwarder), options_(std::move(options)) {}
WorkerPool::~WorkerPool() = default;

void WorkerPool::SetAddress(const std::string& worker, const std::string& address,
                            std::size_t max_in_flight) {
  PooledWorker& pooled = workers_[worker];
  pooled.max_in_flight = max_in_flight;
  if (pooled.address_text == address) return;
  pooled.address_text = address;
  const auto parsed = ParseAddress(address);
  pooled.reachable = parsed.has_value();
  if (parsed) pooled.address = *parsed;
  for (WorkerConnection* idle : std::vector<WorkerConnection*>(pooled.idle)) idle->Finish("moved");
}

std::pair<WorkerConnection*, AttemptStatus> WorkerPool::Get(const std::string& worker) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || !it->second.reachable)
    return {nullptr, AttemptStatus::kConnectFailed};
  PooledWorker& pooled = it->second;
  if (WorkerConnection* idle = TakeIdle(&pooled)) return {idle, AttemptStatus::kSucceeded};
  DescriptorBudget& budget = forwarder_->loop()->budget();
  if (budget.WorkersFull() && !CloseOldestIdle()) {
    return {nullptr, AttemptStatus::kNotSent};
  }
  auto fresh = std::make_unique<WorkerConnection>(this, forwarder_->loop(), worker);
  WorkerConnection* raw = fresh.get();
  connections_.emplace(raw, std::move(fresh));
  budget.workers += 1;
  if (raw->Open(pooled.address)) return {raw, AttemptStatus::kSucceeded};
  const bool ours = raw->closed();  // not even a socket was to be had
  raw->Finish("no-connection");
  if (ours) Drop(raw);
  return {nullptr, ours ? AttemptStatus::kNotSent : AttemptStatus::kConnectFailed};
}

WorkerConnection* WorkerPool::TakeIdle(PooledWorker* pooled) {
  for (std::size_t i = pooled->idle.size(); i-- > 0;) {
    WorkerConnection* idle = pooled->idle[i];
    if (!idle->Fit()) continue;
    if (idle->Stale()) {
      idle->Finish("stale");  // and is off the list with it
      continue;
    }
    pooled->idle.erase(pooled->idle.begin() + static_cast<std::ptrdiff_t>(i));
    return idle;
  }
  return nullptr;
}

bool WorkerPool::CloseOldestIdle() {
  WorkerConnection* oldest = nullptr;
  for (auto& [name, pooled] : workers_) {
    for (WorkerConnection* c : pooled.idle) {
      if (oldest == nullptr || c->idle_since() < oldest->idle_since()) oldest = c;
    }
  }
  if (oldest != nullptr) oldest->Finish("made-room");
  return oldest != nullptr;
}

void WorkerPool::Send(const ClientRequest& held, int attempt, const std::string& worker) {
  const auto pooled = workers_.find(worker);
  if (pooled != workers_.end() && pooled->second.max_in_flight > 0 &&
      pooled->second.in_flight >= pooled->second.max_in_flight) {
    return forwarder_->OnAttemptEnded(held.request.id, attempt,
                                      {.status = AttemptStatus::kRejected});
  }
  const auto [connection, reason] = Get(worker);
  if (connection == nullptr) {
    return forwarder_->OnAttemptEnded(held.request.id, attempt, {.status = reason});
  }
  in_flight_[{held.request.id, attempt}] = connection;
  pooled->second.in_flight += 1;
  connection->SendRequest(held, attempt);
}

void WorkerPool::Probe(const std::string& worker) {
  const auto [connection, reason] = Get(worker);
  if (connection == nullptr) return forwarder_->OnProbeAnswered(worker, {.status = reason});

  connection->SendProbe();
}

void WorkerPool::Cancel(RequestId id, int attempt) {
  const auto it = in_flight_.find({id, attempt});
  if (it == in_flight_.end()) return;
  WorkerConnection* connection = it->second;
  NoLongerOut(id, attempt);
  connection->Forget();
  connection->Finish("called-off");
}

void WorkerPool::CancelUnsent(RequestId id, int attempt) {
  const auto it = in_flight_.find({id, attempt});
  if (it != in_flight_.end()) it->second->CancelUnsent();
}

void WorkerPool::NoLongerOut(RequestId id, int attempt) {
  const auto it = in_flight_.find({id, attempt});
  if (it == in_flight_.end()) return;
  workers_[it->second->worker()].in_flight -= 1;
  in_flight_.erase(it);
}

void WorkerPool::Release(WorkerConnection* connection) {
  workers_[connection->worker()].idle.push_back(connection);
  connection->Rest();
  if (taker_) PassOn(connection);
}

std::pair<std::string, std::size_t> WorkerPool::Address(const std::string& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return {};
  return {it->second.address_text, it->second.max_in_flight};
}

void WorkerPool::HandOver(Taker taker) {
  taker_ = std::move(taker);
  if (!taker_) return;
  for (auto& [name, pooled] : workers_) {
    for (WorkerConnection* idle : std::vector<WorkerConnection*>(pooled.idle)) PassOn(idle);
  }
}

void WorkerPool::PassOn(WorkerConnection* idle) {
  const std::string name = idle->worker();
  const double since = idle->idle_since();
  const int fd = idle->LetGo();
  if (fd >= 0) taker_(name, since, fd);
}

void WorkerPool::AdoptIdle(const std::string& worker, double idle_since, int fd) {
  PooledWorker& pooled = workers_[worker];
  DescriptorBudget& budget = forwarder_->loop()->budget();
  if (!pooled.reachable || budget.WorkersFull()) {
    evutil_closesocket(fd);
    return;
  }
  evutil_make_socket_nonblocking(fd);
  auto fresh = std::make_unique<WorkerConnection>(this, forwarder_->loop(), worker);
  WorkerConnection* raw = fresh.get();
  connections_.emplace(raw, std::move(fresh));
  budget.workers += 1;
  pooled.idle.insert(pooled.idle.begin(), raw);
  raw->GoOn(fd, std::min(idle_since, forwarder_->loop()->Now()));
}

void WorkerPool::Drop(WorkerConnection* connection) {
  std::erase(workers_[connection->worker()].idle, connection);
  forwarder_->loop()->budget().workers -= 1;
  forwarder_->loop()->Defer([this, connection] { connections_.erase(connection); });
}

}  // namespace millethollow::http
