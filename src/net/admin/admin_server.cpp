#include "net/admin/admin_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "logging/log.h"
#include "net/connection.h"
#include "net/http/parser.h"

namespace millethollow::admin {
namespace {

// A connection that has not sent a complete request is closed after this time, in seconds. Clients
// of this address give up after 1 s, so nobody waits for a response by then.
constexpr double kRequestTimeoutS = 1.5;
constexpr int kMaxAcceptsPerTurn = 16;
constexpr std::string_view kWorkersPrefix = "/workers/";

const char* ReasonPhrase(int status) {
  return status == 200   ? "OK"
         : status == 400 ? "Bad Request"
         : status == 404 ? "Not Found"
         : status == 405 ? "Method Not Allowed"
                         : "Service Unavailable";
}

}  // namespace

// One connection of the admin address: reads a request, responds and closes.
class AdminConnection final : public Connection {
 public:
  AdminConnection(AdminServer* server, Loop* loop, evutil_socket_t fd)
      : Connection(loop, "admin"), server_(server), opened_at_(loop->Now()) {
    Adopt(fd);
    SetHighPriority();
    request_timer_ = loop->deadlines().At(opened_at_ + kRequestTimeoutS, [this] {
      request_timer_ = Deadlines::kNone;
      Finish("no-call");
    });
  }
  ~AdminConnection() override { loop_->deadlines().Drop(&request_timer_); }
  double opened_at() const { return opened_at_; }

  void Finish(const char* reason) {
    if (closed()) return;
    loop_->deadlines().Drop(&request_timer_);
    Close(reason);
    server_->Remove(this);
  }

 private:
  void OnRead() override {
    while (!request_complete_ && !closed()) {
      const std::string bytes = Peek(4 * 1024);
      if (bytes.empty()) return;
      Consume(parser_.Feed(bytes));
      if (parser_.error() != 0) return Respond(400, "not a readable call\n");
      if (parser_.done()) HandleRequest(parser_.head());
    }
    Consume(Available());  // input after the one request is ignored
  }

  void HandleRequest(const http::Head& head) {
    request_complete_ = true;
    const std::string path = head.target.substr(0, head.target.find('?'));
    if (path == "/healthcheck" || path == "/stats") {
      if (head.method != "GET") return Respond(405, "", "Allow: GET\r\n");
      if (path == "/stats") return Respond(200, server_->hooks_.stats());
      const bool serving = server_->hooks_.is_serving();
      return Respond(serving ? 200 : 503, serving ? "serving\n" : "not serving\n");
    }
    if (path == "/members" && server_->hooks_.members_json) {
      if (head.method != "GET") return Respond(405, "", "Allow: GET\r\n");
      return Respond(200, server_->hooks_.members_json());
    }
    for (const std::string_view action : {"/maint", "/ready"}) {
      if (!path.starts_with(kWorkersPrefix) || !path.ends_with(action)) continue;
      if (path.size() <= kWorkersPrefix.size() + action.size()) continue;
      if (head.method != "PUT") return Respond(405, "", "Allow: PUT\r\n");
      const std::string worker =
          path.substr(kWorkersPrefix.size(), path.size() - kWorkersPrefix.size() - action.size());
      return server_->hooks_.set_maintenance(
          worker, action == "/maint",
          [this, alive = std::weak_ptr(alive_)](int status, const std::string& body) {
            if (!alive.expired() && !closed()) Respond(status, body);
          });
    }
    Respond(404, "no such path\n");
  }

  void Respond(int status, const std::string& body, const std::string& headers = {}) {
    responded_ = true;
    Write("HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\n" + headers +
          "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\nConnection: close\r\n\r\n" + body);
  }

  void OnDrained() override {
    if (responded_) Finish("answered-last");
  }
  void OnEnd(const char* reason) override {
    // The client may half-close after its request: the response is still sent.
    if (responded_ && std::string_view(reason) == "peer-closed" && !Drained()) return;
    Finish(reason);
  }

  AdminServer* server_;
  // Expires with the connection: a response that comes later is dropped.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  double opened_at_;
  bool request_complete_ = false, responded_ = false;
  http::Parser parser_{http::Parser::Side::kRequest, {.head = 4 * 1024, .body = 4 * 1024}};
  Deadlines::TimerId request_timer_ = Deadlines::kNone;
};

AdminServer::AdminServer(Loop* loop, Hooks hooks) : loop_(loop), hooks_(std::move(hooks)) {}
AdminServer::~AdminServer() {
  connections_.clear();
  read_event_.reset();
  if (listen_socket_ >= 0) close(listen_socket_);
}

// Uses a read event instead of a Listener, since accepting here has to take precedence over the
// events of clients and workers.
bool AdminServer::Listen(const std::string& address, std::string* error) {
  const auto listen_address = ParseAddress(address);
  if (!listen_address) return *error = "not an address to listen on: '" + address + "'", false;
  listen_socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int enabled = 1;
  if (listen_socket_ >= 0)
    setsockopt(listen_socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (listen_socket_ < 0 ||
      bind(listen_socket_, reinterpret_cast<const sockaddr*>(&*listen_address),
           sizeof *listen_address) != 0 ||
      listen(listen_socket_, 128) != 0) {
    return *error = "cannot listen on " + address + ": " + std::strerror(errno), false;
  }
  read_event_.reset(event_new(
      loop_->base(), listen_socket_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<AdminServer*>(self)->Accept(); }, this));
  event_priority_set(read_event_.get(), Loop::kHighPriority);
  event_add(read_event_.get(), nullptr);
  return true;
}

std::string AdminServer::address() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  getsockname(listen_socket_, reinterpret_cast<sockaddr*>(&bound), &size);
  return AddressText(bound);
}

void AdminServer::Accept() {
  for (int accepted = 0; accepted < kMaxAcceptsPerTurn; ++accepted) {
    const int fd = accept4(listen_socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto connection = std::make_unique<AdminConnection>(this, loop_, fd);
    AdminConnection* added = connection.get();
    std::size_t open = 1;
    AdminConnection* oldest = nullptr;
    for (const auto& [other, unused] : connections_) {
      if (other->closed()) continue;
      open += 1;
      if (oldest == nullptr || other->opened_at() < oldest->opened_at()) oldest = other;
    }
    connections_.emplace(added, std::move(connection));
    if (open > kMaxConnections && oldest != nullptr) oldest->Finish("made-room");
  }
}

void AdminServer::Remove(AdminConnection* connection) {
  loop_->Defer([this, connection] { connections_.erase(connection); });
}

}  // namespace millethollow::admin
