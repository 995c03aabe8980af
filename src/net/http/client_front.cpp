#include "net/http/client_front.h"

#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "logging/log.h"
#include "logging/request_log.h"

namespace millethollow::http {
namespace {

// Lingering close: how long, and how many bytes, a client may send after the last answer before the
// connection is closed. It lets the client read the answer first.
constexpr double kLingerS = 0.3;
constexpr std::size_t kMaxLingerBytes = 256 * 1024;
constexpr std::size_t kMaxIdBytes = 128;
// Unread pipelined bytes hide whether the client has disconnected. Beyond this limit, input that
// arrives during a request is discarded, and the connection closes with the answer.
constexpr std::size_t kMaxPipelinedBytes = 96 * 1024;
// Reads of discarded input before a request is sent on: more than the kernel holds at both ends.
constexpr int kDiscardRounds = 4;
// Requests that arrive later than this after SIGTERM are rejected: the process might exit before
// they end.
constexpr double kAcceptAfterStopS = 0.65;
// The first request of a connection younger than this may still be on its way.
constexpr double kNewConnectionS = 0.2;
constexpr std::size_t kMaxTimeoutMs = 3'600'000;

// Whether `text` consists of visible ASCII characters and is short enough for an id or a key.
bool IsValidId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

// Parses the whole of `text` as a number.
template <typename T>
bool ParseNumber(std::string_view text, T* value) {
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] = std::from_chars(text.data(), end, *value);
  return error == std::errc() && parsed_end == end && !text.empty();
}

// Calls `each(name, value)` for each part of a list such as "a=b,c=d".
template <typename Each>
void ForEachPair(std::string_view text, char separator, Each each) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(separator), text.size());
    std::string_view part = text.substr(0, end);
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    const std::size_t equals = part.find('=');
    if (equals != std::string_view::npos) each(part.substr(0, equals), part.substr(equals + 1));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

const char* ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return "Unknown";
  }
}

// Returns -1 if `name` is not in `names`.
int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// Whether a header is not forwarded: it is hop-by-hop, or the worker pool writes it itself.
bool IsNotForwarded(std::string_view name) {
  static constexpr std::string_view kNames[] = {"Host",
                                                "Connection",
                                                "Keep-Alive",
                                                "Proxy-Connection",
                                                "TE",
                                                "Trailer",
                                                "Upgrade",
                                                "Expect",
                                                "Content-Length",
                                                "Transfer-Encoding",
                                                "Request-Timeout-Ms",
                                                "Request-Id",
                                                "Idempotency-Key"};
  return std::any_of(std::begin(kNames), std::end(kNames),
                     [name](std::string_view listed) { return SameName(listed, name); });
}

}  // namespace

int ReadRequest(const Head& head, const FrontOptions& options, ClientRequest* client_request,
                double* timeout_s, std::string* error) {
  const auto bad_request = [error](const char* text) {
    *error = text;
    return 400;
  };
  Request& request = client_request->request;
  for (const char* name :
       {"Request-Id", "Request-Class", "Tenant", "Request-Timeout-Ms", "Idempotency-Key"}) {
    if (head.Count(name) > 1) return bad_request("a header that counts came twice");
  }
  const std::string* request_id = head.Get("Request-Id");
  if (request_id == nullptr || !IsValidId(*request_id))
    return bad_request("Request-Id is missing or unreadable");
  const std::string* class_name = head.Get("Request-Class");
  request.class_index = class_name == nullptr ? -1 : IndexOf(options.classes, *class_name);
  if (request.class_index < 0) return bad_request("Request-Class is missing or unknown");
  const std::string* tenant = head.Get("Tenant");
  request.tenant = options.tenants.empty() ? 0
                   : tenant == nullptr     ? -1
                                           : IndexOf(options.tenants, *tenant);
  if (request.tenant < 0) return bad_request("Tenant is missing or unknown");
  const std::string* timeout = head.Get("Request-Timeout-Ms");
  std::size_t milliseconds = 0;
  if (timeout == nullptr || !ParseNumber(*timeout, &milliseconds) || milliseconds == 0 ||
      milliseconds > kMaxTimeoutMs) {
    return bad_request("Request-Timeout-Ms is missing or out of range");
  }
  const std::string* key = head.Get("Idempotency-Key");
  if (key != nullptr && !IsValidId(*key)) return bad_request("Idempotency-Key is unreadable");
  if (key == nullptr && options.requires_key[static_cast<std::size_t>(request.class_index)]) {
    return bad_request("this class needs an Idempotency-Key");
  }
  *timeout_s = static_cast<double>(milliseconds) / 1000;
  request.wire_id = *request_id;
  if (key != nullptr) request.key = *key;
  if (const std::string* cookie = head.Get("Cookie")) {
    ForEachPair(*cookie, ';', [&request](std::string_view name, std::string_view value) {
      if (name == "k") request.affinity = value;
    });
  }
  if (const std::string* retry = head.Get("Client-Retry")) request.retry = *retry == "1";
  // The client's estimate of the service time, in microseconds. It is optional: an unreadable value
  // is ignored.
  if (const std::string* hint = head.Get("Work-Hint")) {
    double microseconds = 0;
    const bool valid = ParseNumber(*hint, &microseconds) && std::isfinite(microseconds) &&
                       microseconds > 0 && microseconds <= kMaxTimeoutMs * 1e3;
    request.size_hint_s = valid ? microseconds / 1e6 : 0;
  }
  if (const std::string* info = head.Get("Request-Info")) {
    ForEachPair(*info, ',', [&request](std::string_view name, std::string_view value) {
      double number = 0;
      if (!ParseNumber(value, &number) || !std::isfinite(number) || number < 0) return;
      if (name == "slots") request.slots = number;
      if (name == "ram_units" || name == "memory") request.memory = number;
      if (name == "size_hint_s" || name == "hint") request.size_hint_s = number;
    });
  }
  client_request->target = head.target;
  for (const auto& [name, value] : head.headers) {
    if (!IsNotForwarded(name))
      client_request->forward_headers.append(name).append(": ").append(value).append("\r\n");
  }
  return 0;
}

// A client's connection. Serves one request at a time: parses it, submits it to the forwarder, and
// writes the answer before it reads the next one.
class ClientConnection final : public Connection, public ResponseHandler {
 public:
  ClientConnection(ClientFront* front, Loop* loop, evutil_socket_t fd)
      : Connection(loop, "client"), front_(front) {
    Adopt(fd);
    idle_since_ = loop->Now();
    SetDeadline(kClientReadTimeoutS, [this] { Finish("silent"); });
  }
  ~ClientConnection() override { loop_->deadlines().Drop(&deadline_); }

  // No byte of a request has arrived, not even in the kernel's receive buffer.
  bool IsIdle() const {
    return state_ == State::kReading && parser_.idle() && Available() == 0 && !HasUnreadInput();
  }
  bool IsNew() const { return !received_input_ && loop_->Now() - idle_since_ < kNewConnectionS; }
  double idle_since() const { return idle_since_; }
  // Eviction order when descriptors run out, lowest first: lingering connections, connections that
  // have sent nothing, those with a partial request, and last those that are idle after a valid
  // request. -1: must not be evicted. `unread`: the kernel's receive buffer holds input, which may
  // be a request.
  int EvictionRank(bool unread) const {
    if (state_ == State::kLingering) return 0;
    if (state_ != State::kReading) return -1;
    if (!parser_.idle() || Available() > 0) return sent_valid_request_ ? -1 : 2;
    if (sent_valid_request_) return unread ? -1 : requests_served_ > 1 ? 4 : 3;
    return unread ? 2 : 1;
  }
  void CloseNow(const char* reason) { Finish(reason); }
  // Closes the connection as after a last answer. A request that is in flight then is not read;
  // its client sees the end of the stream and can retry elsewhere.
  void CloseGracefully(const char* reason) {
    close_reason_ = reason;
    Linger();
  }

  // Continues a connection that another process handed over.
  void Restore(bool served_before, const std::string& unread) {
    if (served_before) {
      received_input_ = sent_valid_request_ = true;
      requests_served_ = 1;
      loop_->deadlines().Drop(&deadline_);
    }
    PrependInput(unread);
  }
  // Hands the connection to the successor process if no request is in progress. Bytes of the next
  // request that have not been parsed go with it.
  void HandOver() {
    if (closed() || state_ != State::kReading || !parser_.idle()) return;
    std::string unread;
    const int fd = Release(&unread);
    if (fd < 0) return;
    loop_->deadlines().Drop(&deadline_);
    front_->handover_(fd, sent_valid_request_, unread);
    front_->Remove(this);
  }

  void Answer(const ClientRequest& client_request, const FinalAnswer& answer,
              const std::string& result) override {
    request_ = 0;
    requests_served_ += 1;
    if (closed()) return;
    switch (answer.kind) {
      case FinalAnswer::Kind::kCompleted:
        return Respond(200, result);
      case FinalAnswer::Kind::kRejected:
        return Respond(503, "refused\n", RetryAfterHeader(answer.retry_after_s));
      case FinalAnswer::Kind::kDuplicateId:
        return RejectInput(409, "this Request-Id is that of another request");
      case FinalAnswer::Kind::kFailed:
        return Respond(client_request.request.expires_at <= loop_->Now() + 0.001 ? 504 : 502,
                       "failed\n");
    }
  }

 private:
  enum class State : std::uint8_t { kReading, kWaiting, kWriting, kClosing, kLingering };

  void OnRead() override {
    if (state_ == State::kLingering) {
      lingering_bytes_ += Available();
      Consume(Available());
      if (lingering_bytes_ > kMaxLingerBytes) Finish(close_reason_);
      return;
    }
    if (state_ == State::kWaiting && Available() >= kMaxPipelinedBytes) {
      keep_alive_ = false;
      return DiscardInput();
    }
    while (state_ == State::kReading && !closed()) {
      const std::string bytes = Peek(16 * 1024);
      if (bytes.empty()) return;
      const bool was_idle = parser_.idle();
      Consume(parser_.Feed(bytes));
      if (was_idle && !parser_.idle()) {
        // The first request must arrive in time from connecting, later ones from their first byte.
        const double from = received_input_ ? loop_->Now() : idle_since_;
        received_input_ = true;
        SetDeadline(from + kClientReadTimeoutS - loop_->Now(),
                    [this] { RejectInput(408, "the request took too long to come in"); });
      }
      if (parser_.error() != 0) return RejectInput(parser_.error(), "not a readable request");
      if (parser_.done()) {
        HandleRequest();
      } else if (parser_.head_done() && parser_.head().expects_continue && !continue_sent_) {
        continue_sent_ = true;
        Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
  }

  // Handles the request that the parser has completed.
  void HandleRequest() {
    loop_->deadlines().Drop(&deadline_);
    continue_sent_ = false;
    const Head head = parser_.head();
    ClientRequest client_request;
    client_request.request.body = parser_.TakeBody();
    parser_.Reset();
    keep_alive_ = head.keep_alive;
    state_ = State::kWaiting;
    const std::string path = head.target.substr(0, head.target.find('?'));
    if (path == "/_health") {
      if (head.method != "GET") return Respond(405, "", "Allow: GET\r\n");
      const bool serving =
          front_->serving_ && front_->forwarder_->accepting() && !front_->stopping_;
      return Respond(serving ? 200 : 503, serving ? "serving\n" : "not serving\n");
    }
    if (path != "/api") return Respond(404, "no such path\n");
    if (head.method != "POST") return Respond(405, "", "Allow: POST\r\n");
    double timeout_s = 0;
    std::string error;
    if (const int status =
            ReadRequest(head, front_->options_, &client_request, &timeout_s, &error)) {
      return RejectInput(status, error.c_str());
    }
    if (front_->stopping_ && !front_->handover_ &&
        loop_->Now() - front_->stopping_since_ > kAcceptAfterStopS) {
      return Respond(503, "stopping\n", RetryAfterHeader(front_->options_.retry_after_s));
    }
    if (HasLeft()) return Finish("client-gone");
    sent_valid_request_ = true;
    client_request.request.expires_at = loop_->Now() + timeout_s;
    request_ = front_->forwarder_->Submit(std::move(client_request), this);
    if (request_ == 0)
      Respond(503, "no planner\n", RetryAfterHeader(front_->options_.retry_after_s));
  }

  // Whether the client has closed the connection. The end of the stream is not reported before the
  // input in front of it is read, so what was sent ahead of the answer is read here, and dropped if
  // it is too much.
  bool HasLeft() {
    if (PeerHasClosedBehindInput(kMaxPipelinedBytes)) return true;
    if (Available() < kMaxPipelinedBytes) return false;
    keep_alive_ = false;
    DiscardInput();
    for (int round = 0; round < kDiscardRounds; ++round) {
      if (!DiscardReceived()) return true;
    }
    return PeerHasClosed();
  }

  static std::string RetryAfterHeader(double seconds) {
    if (!(seconds > 0)) return {};
    char text[48];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", seconds);
    return text;
  }

  // Answers faulty input and closes the connection with a lingering close: closing a socket with
  // unread bytes would send a reset, and the client might lose the answer.
  void RejectInput(int status, const char* error) {
    front_->counters_->bad_input += 1;
    keep_alive_ = false;
    close_reason_ = "bad-request";
    LogRequest({.step = RequestStep::kRefused, .reason = error});
    Respond(status, std::string(error) + "\n");
  }

  void Respond(int status, const std::string& body, const std::string& headers = {}) {
    const bool last = !keep_alive_ || (front_->stopping_ && !front_->handover_);
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n" +
                       headers + "Content-Length: " + std::to_string(body.size()) + "\r\n" +
                       (last ? "Connection: close\r\n" : "") + "\r\n" + body;
    Write(text);
    // Backpressure: the next request is read only after this answer has been written, so that a
    // client that never reads cannot make answers accumulate.
    state_ = last ? State::kClosing : State::kWriting;
    SetDeadline(kClientWriteTimeoutS, [this] { Finish("reads-too-slowly"); });
  }

  // Sets the connection's only deadline, in place of any earlier one. `after_s`: seconds from now.
  void SetDeadline(double after_s, std::function<void()> callback) {
    loop_->deadlines().Drop(&deadline_);
    deadline_ =
        loop_->deadlines().At(loop_->Now() + after_s, [this, callback = std::move(callback)] {
          deadline_ = Deadlines::kNone;
          callback();
        });
  }

  void OnDrained() override {
    if (state_ == State::kWriting) {
      loop_->deadlines().Drop(&deadline_);
      state_ = State::kReading;
      idle_since_ = loop_->Now();
      if (front_->handover_) return HandOver();
      return OnRead();  // a pipelined request may have arrived already
    }
    if (state_ == State::kClosing) Linger();
  }

  // Lingering close: half-closes the connection and waits briefly for the client to close. Closing
  // while input is unread or in flight would reset the connection, and the client might lose the
  // last answer. Input that arrives from here on is discarded.
  void Linger() {
    state_ = State::kLingering;
    ShutdownWrite();
    Consume(Available());
    SetDeadline(kLingerS, [this] { Finish(close_reason_); });
  }

  void OnEnd(const char* reason) override {
    Finish(state_ == State::kLingering ? close_reason_
           : state_ == State::kWaiting ? "client-gone"
           : state_ == State::kClosing ? "gone-before-answer"
                                       : reason);
  }

  void Finish(const char* reason) {
    if (closed()) return;
    loop_->deadlines().Drop(&deadline_);
    Close(reason);
    if (request_ != 0) front_->forwarder_->CancelRequest(std::exchange(request_, 0));
    front_->Remove(this);
  }

  ClientFront* front_;
  Parser parser_{Parser::Side::kRequest, {}};
  State state_ = State::kReading;
  bool keep_alive_ = true, continue_sent_ = false;
  const char* close_reason_ = "answered-last";  // reason logged for a lingering close
  bool received_input_ = false;
  bool sent_valid_request_ = false;
  std::size_t lingering_bytes_ = 0, requests_served_ = 0;
  RequestId request_ = 0;  // in progress; 0: none
  double idle_since_ = 0;  // loop time in seconds
  Deadlines::TimerId deadline_ = Deadlines::kNone;
};

ClientFront::ClientFront(Forwarder* forwarder, FrontOptions options, Counters* counters)
    : forwarder_(forwarder), options_(std::move(options)), counters_(counters) {}
ClientFront::~ClientFront() = default;

bool ClientFront::Listen(const std::string& address, bool shared, std::string* error) {
  forwarder_->loop()->OnClientFreed([this] { ResumeAccepting(); });
  return listener_.Open(
      forwarder_->loop(), address, [this](evutil_socket_t fd) { Accept(fd); }, error, shared);
}

bool ClientFront::AdoptListener(int fd) {
  forwarder_->loop()->OnClientFreed([this] { ResumeAccepting(); });
  return listener_.Adopt(forwarder_->loop(), fd,
                         [this](evutil_socket_t accepted) { Accept(accepted); });
}

void ClientFront::ResumeAccepting() {
  if (!handover_ && !forwarder_->loop()->budget().ClientsFull()) listener_.Resume();
}

void ClientFront::HandOver(HandoverCallback callback) {
  handover_ = std::move(callback);
  if (!handover_) return ResumeAccepting();
  listener_.Pause();
  // A copy: handing a connection over removes it from clients_.
  std::vector<ClientConnection*> clients;
  for (const auto& [raw, client] : clients_) clients.push_back(raw);
  for (ClientConnection* raw : clients) raw->HandOver();
}

void ClientFront::AdoptClient(int fd, bool served_before, const std::string& unread) {
  evutil_make_socket_nonblocking(fd);
  AddClient(fd)->Restore(served_before, unread);
}

void ClientFront::Accept(evutil_socket_t fd) {
  ClientConnection* raw = AddClient(fd);
  // If no descriptor is left for another client, evicts one; failing that, stops accepting.
  if (forwarder_->loop()->budget().ClientsFull() && !EvictIdleConnection(raw)) listener_.Pause();
}

ClientConnection* ClientFront::AddClient(evutil_socket_t fd) {
  auto client = std::make_unique<ClientConnection>(this, forwarder_->loop(), fd);
  ClientConnection* raw = client.get();
  clients_.emplace(raw, std::move(client));
  forwarder_->loop()->budget().clients += 1;
  return raw;
}

namespace {

// A connection that may be closed to accept another.
struct EvictionCandidate {
  int rank = 0;
  double idle_since = 0;
  ClientConnection* connection = nullptr;
  bool receive_buffer_checked = false;  // the rank accounts for input in the kernel's buffer
  bool operator>(const EvictionCandidate& other) const {
    return std::pair(rank, idle_since) > std::pair(other.rank, other.idle_since);
  }
};
// Lowest rank first, then longest idle.
using EvictionQueue =
    std::priority_queue<EvictionCandidate, std::vector<EvictionCandidate>, std::greater<>>;

}  // namespace

// Evicts by rank rather than by idle time alone: under a flood of silent connections the longest
// idle one is a regular client's keep-alive connection. Only the best candidate's receive buffer is
// checked: a system call per connection for each accepted one can use up the node's processor.
bool ClientFront::EvictIdleConnection(const ClientConnection* newest) {
  EvictionQueue candidates;
  for (const auto& [raw, client] : clients_) {
    if (raw->closed() || raw == newest) continue;
    const int rank = raw->EvictionRank(false);
    if (rank >= 0) candidates.push({rank, raw->idle_since(), raw});
  }
  while (!candidates.empty()) {
    EvictionCandidate best = candidates.top();
    candidates.pop();
    if (best.receive_buffer_checked || !best.connection->HasUnreadInput()) {
      best.connection->CloseNow("made-room");
      return true;
    }
    best.rank = best.connection->EvictionRank(true);
    best.receive_buffer_checked = true;
    if (best.rank >= 0) candidates.push(best);
  }
  return false;
}

void ClientFront::Remove(ClientConnection* client) {
  Loop* loop = forwarder_->loop();
  loop->ClientFreed();
  loop->Defer([this, client] { clients_.erase(client); });
}

void ClientFront::BeginStop() {
  stopping_ = true;
  stopping_since_ = forwarder_->loop()->Now();
}

void ClientFront::CloseIdle() {
  listener_.AcceptPending();
  listener_.Close();
  for (const auto& [raw, client] : clients_) {
    if (!raw->closed() && raw->IsIdle() && !raw->IsNew()) raw->CloseGracefully("stopping");
  }
}

}  // namespace millethollow::http
