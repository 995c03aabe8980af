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

namespace millethollow::http {
namespace {

// What a client may still send, and for how long, while it is to see why it was cut off. Beyond
// that, its bytes cost more than its knowing is worth.
constexpr double kLingerS = 0.3;
constexpr std::size_t kMaxLingerBytes = 256 * 1024;
constexpr std::size_t kMaxIdBytes = 128;
// Sent ahead of an answer, beyond this it is a flood: what is not read hides that its client has
// left. It is dropped, up to so much, and the connection ends with the answer.
constexpr std::size_t kMaxAheadBytes = 96 * 1024, kMaxDroppedBytes = 1024 * 1024;
// After SIGTERM: what comes later than this might be cut off by the end of the process.
constexpr double kTakesS = 0.65;
// A connection this young has its first request on the way.
constexpr double kYoungS = 0.2;
constexpr std::size_t kMaxTimeoutMs = 3'600'000;

bool Plain(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7f; });
}

template <typename T>
bool Digits(std::string_view text, T* value) {
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data(), end, *value);
  return error == std::errc() && at == end && !text.empty();
}

// Calls `each(name, value)` for the parts of a=b,c=d (or a=b; c=d).
template <typename Each>
void Pairs(std::string_view text, char separator, Each each) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(separator), text.size());
    std::string_view part = text.substr(0, end);
    while (!part.empty() && part.front() == ' ') part.remove_prefix(1);
    const std::size_t equals = part.find('=');
    if (equals != std::string_view::npos) each(part.substr(0, equals), part.substr(equals + 1));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
}

const char* Reason(int status) {
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

int IndexOf(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  return it == names.end() ? -1 : static_cast<int>(it - names.begin());
}

// Headers that belong to one connection or that we write ourselves.
bool OurOwn(std::string_view name) {
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
                     [name](std::string_view own) { return SameName(own, name); });
}

}  // namespace

int ReadRequest(const Head& head, const Names& names, ClientRequest* held, double* timeout_s,
                std::string* error) {
  const auto bad = [error](const char* text) {
    *error = text;
    return 400;
  };
  Request& e = held->request;
  for (const char* name :
       {"Request-Id", "Request-Class", "Tenant", "Request-Timeout-Ms", "Idempotency-Key"}) {
    if (head.Count(name) > 1) return bad("a header that counts came twice");
  }
  const std::string* id = head.Get("Request-Id");
  if (id == nullptr || !Plain(*id)) return bad("Request-Id is missing or unreadable");
  const std::string* cls = head.Get("Request-Class");
  e.cls = cls == nullptr ? -1 : IndexOf(names.classes, *cls);
  if (e.cls < 0) return bad("Request-Class is missing or unknown");
  const std::string* tenant = head.Get("Tenant");
  e.tenant = names.tenants.empty() ? 0 : tenant == nullptr ? -1 : IndexOf(names.tenants, *tenant);
  if (e.tenant < 0) return bad("Tenant is missing or unknown");
  const std::string* timeout = head.Get("Request-Timeout-Ms");
  std::size_t ms = 0;
  if (timeout == nullptr || !Digits(*timeout, &ms) || ms == 0 || ms > kMaxTimeoutMs) {
    return bad("Request-Timeout-Ms is missing or out of range");
  }
  const std::string* key = head.Get("Idempotency-Key");
  if (key != nullptr && !Plain(*key)) return bad("Idempotency-Key is unreadable");
  if (key == nullptr && names.keyed[static_cast<std::size_t>(e.cls)]) {
    return bad("this class needs an Idempotency-Key");
  }
  *timeout_s = static_cast<double>(ms) / 1000;
  e.wire_id = *id;
  if (key != nullptr) e.key = *key;
  if (const std::string* cookie = head.Get("Cookie")) {
    Pairs(*cookie, ';', [&e](std::string_view name, std::string_view value) {
      if (name == "k") e.affinity = value;
    });
  }
  if (const std::string* retry = head.Get("Client-Retry")) e.retry = *retry == "1";
  // The client's guess at the work, in microseconds. One that can't be read tells nothing: the
  // request stands without it, as the guess is optional and its absence harmless.
  if (const std::string* hint = head.Get("Work-Hint")) {
    double us = 0;
    const bool sane =
        Digits(*hint, &us) && std::isfinite(us) && us > 0 && us <= kMaxTimeoutMs * 1e3;
    e.size_hint_s = sane ? us / 1e6 : 0;
  }
  if (const std::string* info = head.Get("Request-Info")) {
    Pairs(*info, ',', [&e](std::string_view name, std::string_view value) {
      double number = 0;
      if (!Digits(value, &number) || !std::isfinite(number) || number < 0) return;
      if (name == "slots") e.slots = number;
      if (name == "ram_units" || name == "memory") e.memory = number;
      if (name == "size_hint_s" || name == "hint") e.size_hint_s = number;
    });
  }
  held->target = head.target;
  for (const auto& [name, value] : head.headers) {
    if (!OurOwn(name)) held->forward_headers.append(name).append(": ").append(value).append("\r\n");
  }
  return 0;
}

// One client's connection: reads a request, hands it in, and writes its answer.
class ClientConnection final : public Connection, public ResponseHandler {
 public:
  ClientConnection(ClientFront* front, Loop* loop, evutil_socket_t fd)
      : Connection(loop, "client"), front_(front) {
    Adopt(fd);
    idle_since_ = loop->Now();
    Limit(kClientReadTimeoutS, [this] { Finish("silent"); });
  }
  ~ClientConnection() override { loop_->deadlines().Drop(&limit_); }

  // Nothing of a request is here, not even with the system.
  bool Idle() const {
    return state_ == State::kReading && parser_.idle() && Available() == 0 && !HasUnreadInput();
  }
  bool Young() const { return !heard_ && loop_->Now() - idle_since_ < kYoungS; }
  double idle_since() const { return idle_since_; }
  // Who makes room first when descriptors run out: clients already answered with their fault, those
  // that have never sent a thing, those with half a request, and only then one that was served and
  // rests. -1: not this one. `unread`: something waits in the system, a request perhaps.
  int Dispensable(bool unread) const {
    if (state_ == State::kLingering) return 0;
    if (state_ != State::kReading) return -1;
    if (!parser_.idle() || Available() > 0) return proven_ ? -1 : 2;
    if (proven_) return unread ? -1 : served_ > 1 ? 4 : 3;
    return unread ? 2 : 1;
  }
  void CloseNow(const char* reason) { Finish(reason); }
  // Ends it as the last answer does: what crosses this end is not read, and goes elsewhere.
  void Leave(const char* reason) {
    ending_ = reason;
    Linger();
  }

  // It rested in another process.
  void GoOn(bool served, const std::string& unread) {
    if (served) {
      heard_ = proven_ = true;
      served_ = 1;
      loop_->deadlines().Drop(&limit_);
    }
    PrependInput(unread);
  }
  // Between two requests, even with the next one's bytes here: another process can go on with it.
  void HandOver() {
    if (closed() || state_ != State::kReading || !parser_.idle()) return;
    std::string unread;
    const int fd = Release(&unread);
    if (fd < 0) return;
    loop_->deadlines().Drop(&limit_);
    front_->taker_(fd, proven_, unread);
    front_->Drop(this);
  }

  void Answer(const ClientRequest& held, const FinalAnswer& answer,
              const std::string& result) override {
    request_ = 0;
    served_ += 1;
    if (closed()) return;
    switch (answer.kind) {
      case FinalAnswer::Kind::kCompleted:
        return Respond(200, result);
      case FinalAnswer::Kind::kRejected:
        return Respond(503, "refused\n", RetryAfter(answer.retry_after_s));
      case FinalAnswer::Kind::kDuplicateId:
        return Refuse(409, "this Request-Id is that of another request");
      case FinalAnswer::Kind::kFailed:
        return Respond(held.request.expires_at <= loop_->Now() + 0.001 ? 504 : 502, "failed\n");
    }
  }

 private:
  enum class State : std::uint8_t { kReading, kWaiting, kWriting, kClosing, kLingering };

  void OnRead() override {
    if (state_ == State::kLingering) {
      lingered_ += Available();
      Consume(Available());
      if (lingered_ > kMaxLingerBytes) Finish(ending_);
      return;
    }
    if (state_ == State::kWaiting && Available() >= kMaxAheadBytes && dropped_ < kMaxDroppedBytes) {
      keep_ = false;
      dropped_ += Available();
      Consume(Available());
      return;
    }
    while (state_ == State::kReading && !closed()) {
      const std::string bytes = Peek(16 * 1024);
      if (bytes.empty()) return;
      const bool fresh = parser_.idle();
      Consume(parser_.Feed(bytes));
      if (fresh && !parser_.idle()) {
        const double from = heard_ ? loop_->Now() : idle_since_;  // since it connected, at first
        heard_ = true;
        Limit(from + kClientReadTimeoutS - loop_->Now(),
              [this] { Refuse(408, "the request took too long to come in"); });
      }
      if (parser_.error() != 0) return Refuse(parser_.error(), "not a readable request");
      if (parser_.done()) {
        Take();
      } else if (parser_.head_done() && parser_.head().expects_continue && !continued_) {
        continued_ = true;
        Write("HTTP/1.1 100 Continue\r\n\r\n");
      }
    }
  }

  void Take() {
    loop_->deadlines().Drop(&limit_);
    continued_ = false;
    const Head head = parser_.head();
    ClientRequest held;
    held.request.body = parser_.TakeBody();
    parser_.Reset();
    keep_ = head.keep_alive;
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
    if (const int status = ReadRequest(head, front_->names_, &held, &timeout_s, &error)) {
      return Refuse(status, error.c_str());
    }
    if (front_->stopping_ && !front_->taker_ && loop_->Now() - front_->stopped_at_ > kTakesS) {
      return Respond(503, "stopping\n", RetryAfter(front_->names_.retry_after_s));
    }
    proven_ = true;
    held.request.expires_at = loop_->Now() + timeout_s;
    request_ = front_->forwarder_->Submit(std::move(held), this);
    if (request_ == 0) Respond(503, "no planner\n", RetryAfter(front_->names_.retry_after_s));
  }

  static std::string RetryAfter(double seconds) {
    if (!(seconds > 0)) return {};
    char text[48];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n", seconds);
    return text;
  }

  // An answer to what cannot be read: the connection ends with it, but not before the client can
  // have read why. A close with bytes unread would reset the answer away.
  void Refuse(int status, const char* error) {
    front_->counters_->bad_input += 1;
    keep_ = false;
    ending_ = "bad-request";
    Respond(status, std::string(error) + "\n");
  }

  void Respond(int status, const std::string& body, const std::string& headers = {}) {
    const bool last = !keep_ || (front_->stopping_ && !front_->taker_);
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + Reason(status) + "\r\n" +
                       headers + "Content-Length: " + std::to_string(body.size()) + "\r\n" +
                       (last ? "Connection: close\r\n" : "") + "\r\n" + body;
    Write(text);
    // The next request is read only once this answer is out: a client that asks and never reads
    // would else have its answers pile up here.
    state_ = last ? State::kClosing : State::kWriting;
    Limit(kClientWriteTimeoutS, [this] { Finish("reads-too-slowly"); });
  }

  // The one time limit that runs on this connection now.
  void Limit(double after_s, std::function<void()> what) {
    loop_->deadlines().Drop(&limit_);
    limit_ = loop_->deadlines().At(loop_->Now() + after_s, [this, what = std::move(what)] {
      limit_ = Deadlines::kNone;
      what();
    });
  }

  void OnDrained() override {
    if (state_ == State::kWriting) {
      loop_->deadlines().Drop(&limit_);
      state_ = State::kReading;
      idle_since_ = loop_->Now();
      if (front_->taker_) return HandOver();
      return OnRead();  // a request may have come in behind the last one already
    }
    if (state_ == State::kClosing) Linger();
  }

  // Ends our side and waits a moment for the other's. A close over bytes unread, or before bytes
  // that are on their way, resets the connection, and what was last written may go with it. What
  // comes from here on is not read: its client sees the end and turns elsewhere.
  void Linger() {
    state_ = State::kLingering;
    ShutdownWrite();
    Consume(Available());
    Limit(kLingerS, [this] { Finish(ending_); });
  }

  void OnEnd(const char* reason) override {
    Finish(state_ == State::kLingering ? ending_
           : state_ == State::kWaiting ? "client-gone"
           : state_ == State::kClosing ? "gone-before-answer"
                                       : reason);
  }

  void Finish(const char* reason) {
    if (closed()) return;
    loop_->deadlines().Drop(&limit_);
    Close(reason);
    if (request_ != 0) front_->forwarder_->CancelRequest(std::exchange(request_, 0));
    front_->Drop(this);
  }

  ClientFront* front_;
  Parser parser_{Parser::Side::kRequest, {}};
  State state_ = State::kReading;
  bool keep_ = true, continued_ = false;
  const char* ending_ = "answered-last";  // the reason code, once our side has ended
  bool heard_ = false;                    // something has come
  bool proven_ = false;                   // has handed in a whole request that could be taken
  std::size_t lingered_ = 0, dropped_ = 0, served_ = 0;
  RequestId request_ = 0;
  double idle_since_ = 0;
  Deadlines::Ticket limit_ = Deadlines::kNone;
};

ClientFront::ClientFront(Forwarder* forwarder, Names names, Counters* counters)
    : forwarder_(forwarder), names_(std::move(names)), counters_(counters) {}
ClientFront::~ClientFront() = default;

bool ClientFront::Listen(const std::string& address, bool shared, std::string* error) {
  forwarder_->loop()->OnClientFreed([this] { Resume(); });
  return listener_.Open(
      forwarder_->loop(), address, [this](evutil_socket_t fd) { Accept(fd); }, error, shared);
}

bool ClientFront::AdoptListener(int fd) {
  forwarder_->loop()->OnClientFreed([this] { Resume(); });
  return listener_.Adopt(forwarder_->loop(), fd, [this](evutil_socket_t s) { Accept(s); });
}

void ClientFront::Resume() {
  if (!taker_ && !forwarder_->loop()->budget().ClientsFull()) listener_.Resume();
}

void ClientFront::HandOver(Taker taker) {
  taker_ = std::move(taker);
  if (!taker_) return Resume();
  listener_.Pause();
  std::vector<ClientConnection*> all;
  for (const auto& [raw, client] : clients_) all.push_back(raw);
  for (ClientConnection* raw : all) raw->HandOver();
}

void ClientFront::AdoptClient(int fd, bool served, const std::string& unread) {
  evutil_make_socket_nonblocking(fd);
  Add(fd)->GoOn(served, unread);
}

void ClientFront::Accept(evutil_socket_t fd) {
  ClientConnection* raw = Add(fd);
  // With no descriptor left for another, the longest idle makes room; else the next must wait.
  if (forwarder_->loop()->budget().ClientsFull() && !MakeRoom(raw)) listener_.Pause();
}

ClientConnection* ClientFront::Add(evutil_socket_t fd) {
  auto client = std::make_unique<ClientConnection>(this, forwarder_->loop(), fd);
  ClientConnection* raw = client.get();
  clients_.emplace(raw, std::move(client));
  forwarder_->loop()->budget().clients += 1;
  return raw;
}

namespace {

// A connection that may be closed to make room for another.
struct Dispensable {
  int rank = 0;
  double idle_since = 0;
  ClientConnection* connection = nullptr;
  bool looked = false;  // the rank heeds what waits in the system
  bool operator>(const Dispensable& other) const {
    return std::pair(rank, idle_since) > std::pair(other.rank, other.idle_since);
  }
};
using DispensableFirst = std::priority_queue<Dispensable, std::vector<Dispensable>, std::greater<>>;

}  // namespace

// With hundreds that connect and say nothing, the longest idle would be a usual client's resting
// connection: it must not pay for them. Only the one to be closed is looked at in the system: a
// call for each of them, for each one accepted, once took all of a node's processor time.
bool ClientFront::MakeRoom(const ClientConnection* newest) {
  DispensableFirst candidates;
  for (const auto& [raw, client] : clients_) {
    if (raw->closed() || raw == newest) continue;
    const int rank = raw->Dispensable(false);
    if (rank >= 0) candidates.push({rank, raw->idle_since(), raw});
  }
  while (!candidates.empty()) {
    Dispensable best = candidates.top();
    candidates.pop();
    if (best.looked || !best.connection->HasUnreadInput()) {
      best.connection->CloseNow("made-room");
      return true;
    }
    best.rank = best.connection->Dispensable(true);
    best.looked = true;
    if (best.rank >= 0) candidates.push(best);
  }
  return false;
}

void ClientFront::Drop(ClientConnection* client) {
  Loop* loop = forwarder_->loop();
  loop->ClientFreed();
  loop->Defer([this, client] { clients_.erase(client); });
}

void ClientFront::BeginStop() {
  stopping_ = true;
  stopped_at_ = forwarder_->loop()->Now();
}

void ClientFront::CloseIdle() {
  listener_.AcceptPending();
  listener_.Close();
  for (const auto& [raw, client] : clients_) {
    if (!raw->closed() && raw->Idle() && !raw->Young()) raw->Leave("stopping");
  }
}

}  // namespace millethollow::http
