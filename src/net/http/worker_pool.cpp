#include "net/http/worker_pool.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "encoding/json_value.h"
#include "logging/log.h"
#include "logging/request_log.h"

namespace millethollow::http {
namespace {

using encoding::JsonValue;
constexpr std::size_t kMaxResponseBytes = 256 * 1024;  // of one response
constexpr double kResponseEndTimeoutS = 1.0;           // from an outcome to the end of its response
// A faulty worker may send a second response some milliseconds after the first. An error response
// carries no request id, so it could be taken for the response to the next request and report a
// running one as not started. After an error response, a connection is reused only after this time.
constexpr double kReuseDelayS = 0.1;
// A tenant may have this many attempts in flight for each connection that is still free: a dynamic
// threshold, by which one tenant alone leaves a fifth of the connections to the others.
constexpr std::size_t kInFlightPerFreeConnection = 4;
// A worker may read its first request this long after its kernel has established the connection.
constexpr double kLateConnectionS = 1.5;
constexpr double kIdleTimeoutShare = 0.6;  // of the idle time after which the worker closes

// 4xx, except for those that are due to the worker or temporary: 408, 425 and 429.
bool IsClientError(int status) {
  return status >= 400 && status < 500 && status != 408 && status != 425 && status != 429;
}

// The text of a JSON string; nullopt if there is no value, or one of another type.
std::optional<std::string> TextOf(const std::optional<JsonValue>& value) {
  return value ? value->String() : std::nullopt;
}

}  // namespace

void ReadReport(std::string_view text, const std::vector<std::string>& columns, Outcome* outcome) {
  const auto store = [&](std::string_view name, double value) {
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
    const std::optional<JsonValue> object = JsonValue::Parse(text);
    if (!object) return;
    object->ForEachMember([&](const std::string& name, const JsonValue& value) {
      if (const std::optional<double> number = value.Number()) store(name, *number);
    });
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
      const auto [parsed_end, error] = std::from_chars(part.data() + equals + 1, end, value);
      if (error == std::errc() && parsed_end == end) store(part.substr(0, equals), value);
    }
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
}

JobLine ReadJobLine(std::string_view line, std::string_view id) {
  JobLine parsed;
  const std::optional<JsonValue> object = JsonValue::Parse(line);
  if (!object) return parsed;
  // A line with another job's id must not be taken for this attempt's.
  if (TextOf(object->Find("id")) != id) return parsed;
  const std::optional<std::string> state = TextOf(object->Find("state"));
  if (!state) return parsed;
  if (const auto load = object->Find("load"); load && load->is_object()) {
    parsed.load = load->text();
  }
  using Kind = JobLine::Kind;
  if (*state == "done") {
    const std::optional<JsonValue> result = object->Find("result");
    if (!result) return parsed;
    parsed.result = result->is_string() ? *result->String() : std::string(result->text());
    parsed.kind = Kind::kDone;
  } else {
    parsed.kind = *state == "started"    ? Kind::kStarted
                  : *state == "running"  ? Kind::kRunning
                  : *state == "failed"   ? Kind::kFailed
                  : *state == "returned" ? Kind::kReturned
                  : *state == "lost"     ? Kind::kLost
                                         : Kind::kUnreadable;
  }
  return parsed;
}

// A connection to a worker: idle in the pool, or busy with one attempt or one probe.
class WorkerConnection final : public Connection {
 public:
  WorkerConnection(WorkerPool* pool, Loop* loop, std::string worker)
      : Connection(loop, "worker"), pool_(pool), worker_(std::move(worker)) {}
  ~WorkerConnection() override {
    for (Deadlines::TimerId* timer : {&deadline_, &probe_deadline_, &delivery_timer_}) {
      loop_->deadlines().Drop(timer);
    }
  }

  const std::string& worker() const { return worker_; }
  double idle_since() const { return idle_since_; }

  bool Open(const sockaddr_in& address) {
    deadline_ = loop_->deadlines().At(loop_->Now() + pool_->options_.connect_timeout_s, [this] {
      deadline_ = Deadlines::kNone;
      FailConnection("connect-timeout");
    });
    return Connect(address);
  }

  // Sends the request once the connection is up, unless `limit` has passed by then. `needs_proof`:
  // only once the worker has answered a probe on the connection.
  void SendRequest(const Request& request, int attempt, const DeliveryLimit& limit,
                   bool needs_proof) {
    BeginExchange();
    request_id_ = request.id;
    attempt_ = attempt;
    wire_id_ = request.wire_id;
    limit_ = limit;
    needs_proof_ = needs_proof;
    pending_ = true;
    opened_for_attempt_ = !connected_;
    SetDeliveryTimer(std::min(limit.first_byte_by, limit.last_byte_by));
    if (connected_) WriteProbeOrRequest();
  }

  // Lowers the time by which the attempt may reach the worker. Returns false if it may be read
  // later all the same: the worker has all of it, on a connection on which it has not answered yet.
  bool LimitDelivery(double last_byte_by) {
    if (last_byte_by >= limit_.last_byte_by) return true;
    limit_.last_byte_by = last_byte_by;
    SetDeliveryTimer(std::min(pending_ ? limit_.first_byte_by : last_byte_by, last_byte_by));
    const bool read = !opened_for_attempt_ || parser_.head_done();
    return pending_ || read || sent_at_ + kLateConnectionS <= last_byte_by;
  }

  void SendProbe() {
    BeginExchange();
    request_id_ = 0;
    SetProbeTimer();
    pending_ = !connected_;
    if (connected_) WriteProbe();
  }

  // Closes the connection and removes it from the pool. What the worker does not have yet of a
  // request never reaches it.
  void Finish(const char* reason) {
    if (closed()) return;
    loop_->deadlines().Drop(&deadline_);
    loop_->deadlines().Drop(&probe_deadline_);
    loop_->deadlines().Drop(&delivery_timer_);
    if (busy_ && request_id_ != 0) LogStep(RequestStep::kClosed, reason);
    if (busy_ && !Delivered()) {
      Abort(reason);
    } else {
      Close(reason);
    }
    pool_->Remove(this);
  }

  // Continues an idle connection that another process handed over.
  void Restore(int fd, double idle_since) {
    Adopt(fd);
    connected_ = true;
    BecomeIdle(idle_since);
  }
  // Gives up the socket for a handover: the caller owns the descriptor. -1 on failure.
  int ReleaseDescriptor() {
    std::string unread;
    const int fd = Release(&unread);
    if (fd < 0) return -1;
    loop_->deadlines().Drop(&deadline_);
    pool_->Remove(this);
    return fd;
  }

  // Whether the delay before reuse is over.
  bool IsReusable() const { return loop_->Now() >= reusable_from_; }
  // Whether the worker has closed the connection, or sent unsolicited bytes, since the last turn.
  bool IsStale() const { return HasUnreadInput(); }
  // Whether the request has not been sent completely, so that the worker cannot have started it.
  bool IsUnsent() const { return pending_ || !Drained(); }
  // Cancels the attempt if the worker does not have all of it.
  void CancelUnsent() {
    if (!busy_ || reported_) return;
    if (IsUnsent()) return EndAttempt(AttemptStatus::kNotSent, "called-off");
    // The last byte may be sent between this check and the reset.
    if (HasUnsentBytes()) EndAttempt(AttemptStatus::kConnectionLost, "called-off");
  }

  // Starts the idle timeout. `since`: loop time in seconds.
  void BecomeIdle() { BecomeIdle(loop_->Now()); }
  void BecomeIdle(double since) {
    idle_since_ = since;
    const double idle_s = pool_->options_.idle_s * kIdleTimeoutShare;
    deadline_ = loop_->deadlines().At(idle_since_ + idle_s, [this] {
      deadline_ = Deadlines::kNone;
      Finish("retired");
    });
  }

  RequestId id() const { return request_id_; }
  int attempt() const { return attempt_; }
  // No outcome is reported for the current attempt any more.
  void SuppressReport() { reported_ = true; }

 private:
  void BeginExchange() {
    if (connected_) loop_->deadlines().Drop(&deadline_);
    busy_ = true;
    reported_ = false;
    sent_at_ = loop_->Now();
    written_ = needs_proof_ = pending_ = opened_for_attempt_ = false;
    limit_ = {};
    line_.clear();
    parser_.Reset();
  }

  void OnConnected() override {
    connected_ = true;
    loop_->deadlines().Drop(&deadline_);
    if (!busy_) return BecomeIdle();
    if (!pending_) return;
    if (request_id_ != 0) {
      LogStep(RequestStep::kConnected, needs_proof_ ? "probe-first" : "-");
      return WriteProbeOrRequest();
    }
    pending_ = false;
    WriteProbe();
  }

  void WriteProbeOrRequest() {
    if (!needs_proof_) return WriteRequest();
    SetProbeTimer();
    WriteProbe();
  }

  void WriteProbe() { WriteNow("GET /_load HTTP/1.1\r\nHost: " + worker_ + "\r\n\r\n"); }

  void SetProbeTimer() {
    probe_deadline_ = loop_->deadlines().At(loop_->Now() + pool_->options_.probe_timeout_s, [this] {
      probe_deadline_ = Deadlines::kNone;
      EndAttempt(request_id_ == 0 ? AttemptStatus::kNoResponse : AttemptStatus::kNotSent,
                 "probe-timeout");
    });
  }

  // Writes the request at once, and not in a later turn: time may have passed until then, and with
  // it the limit, the deadline told and the right to act for a durable job.
  void WriteRequest() {
    const double now = loop_->Now();
    const ClientRequest* client_request = pool_->forwarder_->Find(request_id_);
    const bool waited = opened_for_attempt_ || needs_proof_;
    if (client_request == nullptr || now >= client_request->request.expires_at ||
        now > std::min(limit_.first_byte_by, limit_.last_byte_by)) {
      return EndAttempt(AttemptStatus::kNotSent, "too-late");
    }
    if (waited && !MayAct(client_request->request.durable_job)) {
      return EndAttempt(AttemptStatus::kNotSent, "not-ours");
    }
    pending_ = false;
    WriteNow(RequestText(*client_request, now));
    if (Drained()) OnDrained();
    loop_->deadlines().Drop(&delivery_timer_);
    if (limit_.last_byte_by < DeliveryLimit::kUnlimited && !Delivered()) {
      SetDeliveryTimer(limit_.last_byte_by);
    }
  }

  bool MayAct(const std::string& durable_job) const {
    return durable_job.empty() || (pool_->options_.may_act && pool_->options_.may_act(durable_job));
  }

  // The request as it is written to the worker at the time `now`.
  std::string RequestText(const ClientRequest& client_request, double now) const {
    const Request& request = client_request.request;
    const double left_ms = std::max(1.0, std::floor((request.expires_at - now) * 1000));
    return "POST " + client_request.target + " HTTP/1.1\r\nHost: " + worker_ +
           "\r\nRequest-Id: " + request.wire_id + "\r\n" +
           (request.key.empty() ? "" : "Idempotency-Key: " + request.key + "\r\n") +
           "Request-Timeout-Ms: " + std::to_string(static_cast<long long>(left_ms)) + "\r\n" +
           client_request.forward_headers +
           "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
  }

  void LogStep(RequestStep step, std::string_view reason) const {
    LogRequest({.step = step,
                .id = wire_id_,
                .number = request_id_,
                .attempt = attempt_,
                .worker = worker_,
                .reason = reason});
  }

  void SetDeliveryTimer(double at) {
    loop_->deadlines().Drop(&delivery_timer_);
    if (at >= DeliveryLimit::kUnlimited) return;
    delivery_timer_ = loop_->deadlines().At(at, [this] {
      delivery_timer_ = Deadlines::kNone;
      EndUndelivered();
    });
  }

  // The limit has passed: ends the attempt unless the worker's kernel has all of it.
  void EndUndelivered() {
    if (!busy_ || reported_) return;
    if (IsUnsent()) return EndAttempt(AttemptStatus::kNotSent, "too-late");
    if (!Delivered()) EndAttempt(AttemptStatus::kConnectionLost, "too-late");
  }

  // The kernel has taken every byte: the attempt counts as sent.
  void OnDrained() override {
    if (!busy_ || !connected_ || request_id_ == 0 || written_ || pending_) return;
    written_ = true;
    LogStep(RequestStep::kWritten, opened_for_attempt_ ? "new-connection" : "-");
    if (pool_->options_.counters != nullptr) pool_->options_.counters->written += 1;
  }

  void OnRead() override {
    OnDrained();  // a response may arrive before the event that everything was written
    if (!busy_) return Finish("unasked-data");
    while (!closed() && !parser_.done()) {
      const std::string bytes = Peek(16 * 1024);
      if (bytes.empty()) return;
      Consume(parser_.Feed(bytes));
      ReadCompleteLines();
      if (closed()) return;
      if (parser_.error() != 0) {
        Report({.status = pending_ ? AttemptStatus::kNotSent : AttemptStatus::kServerError});
        return Finish("nonsense");
      }
    }
    Complete();
  }

  // Handles the lines received so far. 'started' must be reported at once, not at the response's
  // end.
  void ReadCompleteLines() {
    if (!parser_.head_done() || parser_.head().status != 200 || request_id_ == 0 || pending_)
      return;
    const std::size_t searched = line_.size();
    line_ += parser_.TakeBody();
    std::size_t start = 0;
    for (std::size_t end = line_.find('\n', searched); end != std::string::npos && !reported_;
         end = line_.find('\n', start)) {
      HandleLine(std::string_view(line_).substr(start, end - start));
      if (closed()) return;
      start = end + 1;
    }
    line_.erase(0, start);
  }

  void HandleLine(std::string_view text) {
    if (text.find_first_not_of(" \r\t") == std::string_view::npos) return;
    const JobLine line = ReadJobLine(text, wire_id_);
    using Kind = JobLine::Kind;
    if (line.kind == Kind::kStarted)
      return pool_->forwarder_->OnAttemptStarted(request_id_, attempt_);
    if (line.kind == Kind::kRunning) return;
    Outcome outcome{.status = line.kind == Kind::kDone       ? AttemptStatus::kSucceeded
                              : line.kind == Kind::kReturned ? AttemptStatus::kRejected
                              : line.kind == Kind::kLost     ? AttemptStatus::kConnectionLost
                                                             : AttemptStatus::kServerError};
    // The load report at the end of an attempt is in the line or in the response's head. The line
    // ends the attempt before the response ends, so the head is read here too.
    if (const std::string* load = parser_.head().Get("Server-Load")) {
      ReadReport(*load, pool_->options_.columns, &outcome);
    }
    if (!line.load.empty()) ReadReport(line.load, pool_->options_.columns, &outcome);
    Report(outcome, line.result);
  }

  // The worker has answered the probe in front of a request, so it reads what the connection
  // brings.
  void OnProof() {
    loop_->deadlines().Drop(&probe_deadline_);
    if (!parser_.head().keep_alive || Available() > 0) {
      return EndAttempt(AttemptStatus::kNotSent, "answered-last");
    }
    parser_.Reset();
    opened_for_attempt_ = false;
    WriteRequest();
  }

  // Handles the end of a response.
  void Complete() {
    if (pending_) return OnProof();
    const Head& head = parser_.head();
    const bool keep = head.keep_alive && Available() == 0;
    if (!reported_) {
      Outcome outcome;
      if (request_id_ == 0) {
        outcome.status = head.status == 200 ? AttemptStatus::kSucceeded : AttemptStatus::kRejected;
        if (head.status == 200) ReadReport(parser_.TakeBody(), pool_->options_.columns, &outcome);
      } else if (head.status == 200) {
        if (!line_.empty())
          HandleLine(std::exchange(line_, {}));  // the last line lacks its newline
        if (closed()) return;
        // The response ended without a final state.
        outcome.status = AttemptStatus::kConnectionLost;
      } else {
        const std::string* not_started = head.Get("Not-Started");
        const bool rejected =
            (head.status == 503 || head.status == 504) && not_started && *not_started == "1";
        outcome.status = rejected ? AttemptStatus::kRejected : AttemptStatus::kServerError;
        outcome.client_error = IsClientError(head.status);
      }
      if (const std::string* load = head.Get("Server-Load")) {
        ReadReport(*load, pool_->options_.columns, &outcome);
      }
      Report(outcome);
    }
    if (closed()) return;
    if (!keep) return Finish("answered-last");
    reusable_from_ = head.status == 200 ? 0 : loop_->Now() + kReuseDelayS;
    busy_ = false;
    loop_->deadlines().Drop(&delivery_timer_);
    loop_->deadlines().Drop(&deadline_);
    loop_->deadlines().Drop(&probe_deadline_);
    pool_->ReturnToIdle(this);
  }

  // Ends the attempt and its connection. The connection first: nothing may leave once the outcome
  // is known.
  void EndAttempt(AttemptStatus status, const char* reason) {
    Finish(reason);
    Report({.status = status});
  }

  // Reports the outcome of the attempt or probe, once.
  void Report(Outcome outcome, std::string result = {}) {
    if (reported_) return;
    reported_ = true;
    outcome.latency_s = loop_->Now() - sent_at_;
    if (request_id_ == 0) return pool_->forwarder_->OnProbeAnswered(worker_, outcome);
    pool_->RemoveInFlight(request_id_, attempt_);
    if (!closed() &&
        !parser_.done()) {  // the connection can be reused only once the response has ended
      loop_->deadlines().Drop(&deadline_);
      deadline_ = loop_->deadlines().At(loop_->Now() + kResponseEndTimeoutS, [this] {
        deadline_ = Deadlines::kNone;
        Finish("unfinished");
      });
    }
    pool_->forwarder_->OnAttemptEnded(request_id_, attempt_, outcome, std::move(result));
  }

  void OnEnd(const char* reason) override {
    if (busy_ && connected_) {  // a response without a length ends with its connection
      while (Available() > 0 && !parser_.done() && parser_.error() == 0) {
        Consume(parser_.Feed(Peek(16 * 1024)));
        ReadCompleteLines();
        if (closed()) return;
      }
      if (!parser_.done() && std::string_view(reason) == "peer-closed") {
        parser_.EndOfInput();
        if (parser_.done()) return Complete();
      }
    }
    FailConnection(reason);
  }

  // Ends a failed connection.
  void FailConnection(const char* reason) {
    // A request that was not sent completely cannot have run; otherwise it may have. connected_
    // does not tell which: libevent may report the connection after the bytes were sent.
    const bool sent = !IsUnsent();
    if (busy_) {
      Report({.status = sent ? AttemptStatus::kConnectionLost : AttemptStatus::kConnectFailed});
    }
    Finish(connected_ ? reason : "no-connection");
  }

  WorkerPool* pool_;
  std::string worker_, wire_id_, line_;
  Parser parser_{Parser::Side::kResponse, {.head = 16 * 1024, .body = kMaxResponseBytes}};
  bool connected_ = false, busy_ = false, reported_ = true, written_ = false;
  bool pending_ = false;             // the request, or the probe, has not been written yet
  bool needs_proof_ = false;         // a probe goes in front of the request
  bool opened_for_attempt_ = false;  // the worker had not answered on it before this exchange
  DeliveryLimit limit_;
  RequestId request_id_ = 0;
  int attempt_ = 0;
  double sent_at_ = 0, idle_since_ = 0, reusable_from_ = 0;
  Deadlines::TimerId deadline_ = Deadlines::kNone, probe_deadline_ = Deadlines::kNone;
  Deadlines::TimerId delivery_timer_ = Deadlines::kNone;
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
  pooled.has_valid_address = parsed.has_value();
  if (parsed) pooled.address = *parsed;
  for (WorkerConnection* idle : std::vector<WorkerConnection*>(pooled.idle)) idle->Finish("moved");
}

std::pair<WorkerConnection*, AttemptStatus> WorkerPool::Acquire(const std::string& worker,
                                                                bool idle_only) {
  const auto it = workers_.find(worker);
  if (it == workers_.end() || !it->second.has_valid_address)
    return {nullptr, AttemptStatus::kConnectFailed};
  PooledWorker& pooled = it->second;
  if (WorkerConnection* idle = TakeIdle(&pooled)) return {idle, AttemptStatus::kSucceeded};
  if (idle_only) return {nullptr, AttemptStatus::kNotSent};
  DescriptorBudget& budget = forwarder_->loop()->budget();
  if (budget.WorkersFull() && !CloseOldestIdle()) {
    return {nullptr, AttemptStatus::kNotSent};
  }
  auto created = std::make_unique<WorkerConnection>(this, forwarder_->loop(), worker);
  WorkerConnection* raw = created.get();
  connections_.emplace(raw, std::move(created));
  budget.workers += 1;
  if (raw->Open(pooled.address)) return {raw, AttemptStatus::kSucceeded};
  const bool no_descriptor = raw->closed();
  raw->Finish("no-connection");
  if (no_descriptor) Remove(raw);
  return {nullptr, no_descriptor ? AttemptStatus::kNotSent : AttemptStatus::kConnectFailed};
}

WorkerConnection* WorkerPool::TakeIdle(PooledWorker* pooled) {
  for (std::size_t i = pooled->idle.size(); i-- > 0;) {
    WorkerConnection* idle = pooled->idle[i];
    if (!idle->IsReusable()) continue;
    if (idle->IsStale()) {
      idle->Finish("stale");  // removes it from the idle list
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
    for (WorkerConnection* idle : pooled.idle) {
      if (oldest == nullptr || idle->idle_since() < oldest->idle_since()) oldest = idle;
    }
  }
  if (oldest != nullptr) oldest->Finish("made-room");
  return oldest != nullptr;
}

void WorkerPool::Send(const ClientRequest& client_request, int attempt, const std::string& worker,
                      const DeliveryLimit& limit) {
  const auto pooled = workers_.find(worker);
  if (pooled != workers_.end() && pooled->second.max_in_flight > 0 &&
      pooled->second.in_flight >= pooled->second.max_in_flight) {
    return forwarder_->OnAttemptEnded(client_request.request.id, attempt,
                                      {.status = AttemptStatus::kRejected});
  }
  const int tenant = client_request.request.tenant;
  if (!TenantMaySend(tenant)) {
    return forwarder_->OnAttemptEnded(client_request.request.id, attempt,
                                      {.status = AttemptStatus::kNotSent});
  }
  // What the kernel of a worker takes and the worker does not read cannot be seen from here. So
  // near its limit a request goes only where the worker has just shown that it reads, or lately if
  // it answers no probes.
  const bool may_be_late = forwarder_->loop()->Now() + kLateConnectionS > limit.last_byte_by;
  const bool may_probe = options_.may_probe && options_.may_probe();
  const auto [connection, reason] = Acquire(worker, may_be_late && !may_probe);
  if (connection == nullptr) {
    return forwarder_->OnAttemptEnded(client_request.request.id, attempt, {.status = reason});
  }
  in_flight_[{client_request.request.id, attempt}] = {connection, tenant};
  in_flight_by_tenant_[tenant] += 1;
  pooled->second.in_flight += 1;
  connection->SendRequest(client_request.request, attempt, limit, may_be_late && may_probe);
}

bool WorkerPool::LimitDelivery(RequestId id, int attempt, double last_byte_by) {
  const auto it = in_flight_.find({id, attempt});
  return it == in_flight_.end() || it->second.connection->LimitDelivery(last_byte_by);
}

bool WorkerPool::TenantMaySend(int tenant) const {
  if (!options_.tenant_count || options_.tenant_count() <= 1) return true;
  const auto own = in_flight_by_tenant_.find(tenant);
  if (own == in_flight_by_tenant_.end()) return true;
  const DescriptorBudget& budget = forwarder_->loop()->budget();
  const std::size_t used = in_flight_.size() + budget.sibling_workers;
  const std::size_t free = budget.max_workers - std::min(used, budget.max_workers);
  return own->second < kInFlightPerFreeConnection * free;
}

void WorkerPool::Probe(const std::string& worker) {
  const auto [connection, reason] = Acquire(worker);
  if (connection == nullptr) return forwarder_->OnProbeAnswered(worker, {.status = reason});

  connection->SendProbe();
}

void WorkerPool::Cancel(RequestId id, int attempt) {
  const auto it = in_flight_.find({id, attempt});
  if (it == in_flight_.end()) return;
  WorkerConnection* connection = it->second.connection;
  RemoveInFlight(id, attempt);
  connection->SuppressReport();
  connection->Finish("called-off");
}

void WorkerPool::CancelUnsent(RequestId id, int attempt) {
  const auto it = in_flight_.find({id, attempt});
  if (it != in_flight_.end()) it->second.connection->CancelUnsent();
}

void WorkerPool::RemoveInFlight(RequestId id, int attempt) {
  const auto it = in_flight_.find({id, attempt});
  if (it == in_flight_.end()) return;
  workers_[it->second.connection->worker()].in_flight -= 1;
  const auto own = in_flight_by_tenant_.find(it->second.tenant);
  if (--own->second == 0) in_flight_by_tenant_.erase(own);
  in_flight_.erase(it);
}

void WorkerPool::ReturnToIdle(WorkerConnection* connection) {
  workers_[connection->worker()].idle.push_back(connection);
  connection->BecomeIdle();
  if (handover_) HandOverIdle(connection);
}

std::pair<std::string, std::size_t> WorkerPool::Address(const std::string& worker) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return {};
  return {it->second.address_text, it->second.max_in_flight};
}

void WorkerPool::HandOver(HandoverCallback callback) {
  handover_ = std::move(callback);
  if (!handover_) return;
  for (auto& [name, pooled] : workers_) {
    for (WorkerConnection* idle : std::vector<WorkerConnection*>(pooled.idle)) HandOverIdle(idle);
  }
}

void WorkerPool::HandOverIdle(WorkerConnection* idle) {
  const std::string name = idle->worker();
  const double since = idle->idle_since();
  const int fd = idle->ReleaseDescriptor();
  if (fd >= 0) handover_(name, since, fd);
}

void WorkerPool::AdoptIdle(const std::string& worker, double idle_since, int fd) {
  PooledWorker& pooled = workers_[worker];
  DescriptorBudget& budget = forwarder_->loop()->budget();
  if (!pooled.has_valid_address || budget.WorkersFull()) {
    evutil_closesocket(fd);
    return;
  }
  evutil_make_socket_nonblocking(fd);
  auto created = std::make_unique<WorkerConnection>(this, forwarder_->loop(), worker);
  WorkerConnection* raw = created.get();
  connections_.emplace(raw, std::move(created));
  budget.workers += 1;
  pooled.idle.insert(pooled.idle.begin(), raw);
  raw->Restore(fd, std::min(idle_since, forwarder_->loop()->Now()));
}

void WorkerPool::Remove(WorkerConnection* connection) {
  std::erase(workers_[connection->worker()].idle, connection);
  forwarder_->loop()->budget().workers -= 1;
  forwarder_->loop()->Defer([this, connection] { connections_.erase(connection); });
}

}  // namespace millethollow::http
