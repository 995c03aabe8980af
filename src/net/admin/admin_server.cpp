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

constexpr double kCallS = 1.5;  // a connection waits 1 s: one that has sent no call by then won't
constexpr int kMaxAcceptsPerTurn = 16;
constexpr std::string_view kWorkers = "/workers/";

const char* Reason(int status) {
  return status == 200   ? "OK"
         : status == 400 ? "Bad Request"
         : status == 404 ? "Not Found"
         : status == 405 ? "Method Not Allowed"
                         : "Service Unavailable";
}

}  // namespace

class AdminConnection final : public Connection {
 public:
  AdminConnection(AdminServer* server, Loop* loop, evutil_socket_t fd)
      : Connection(loop, "admin"), server_(server), began_at_(loop->Now()) {
    Adopt(fd);
    SetHighPriority();
    limit_ = loop->deadlines().At(began_at_ + kCallS, [this] {
      limit_ = Deadlines::kNone;
      Finish("no-call");
    });
  }
  ~AdminConnection() override { loop_->deadlines().Drop(&limit_); }
  double began_at() const { return began_at_; }

  void Finish(const char* reason) {
    if (closed()) return;
    loop_->deadlines().Drop(&limit_);
    Close(reason);
    server_->Drop(this);
  }

 private:
  void OnRead() override {
    while (!called_ && !closed()) {
      const std::string bytes = Peek(4 * 1024);
      if (bytes.empty()) return;
      Consume(parser_.Feed(bytes));
      if (parser_.error() != 0) return Respond(400, "not a readable call\n");
      if (parser_.done()) Call(parser_.head());
    }
    Consume(Available());  // nothing after the one call is read
  }

  void Call(const http::Head& head) {
    called_ = true;
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
    for (const std::string_view verb : {"/maint", "/ready"}) {
      if (!path.starts_with(kWorkers) || !path.ends_with(verb)) continue;
      if (path.size() <= kWorkers.size() + verb.size()) continue;
      if (head.method != "PUT") return Respond(405, "", "Allow: PUT\r\n");
      const std::string worker =
          path.substr(kWorkers.size(), path.size() - kWorkers.size() - verb.size());
      return server_->hooks_.set_maintenance(
          worker, verb == "/maint",
          [this, here = std::weak_ptr(here_)](int status, const std::string& body) {
            if (!here.expired() && !closed()) Respond(status, body);
          });
    }
    Respond(404, "no such path\n");
  }

  void Respond(int status, const std::string& body, const std::string& headers = {}) {
    answered_ = true;
    Write("HTTP/1.1 " + std::to_string(status) + " " + Reason(status) + "\r\n" + headers +
          "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\nConnection: close\r\n\r\n" + body);
  }

  void OnDrained() override {
    if (answered_) Finish("answered-last");
  }
  void OnEnd(const char* reason) override {
    // A connection may end its sending with its call: the answer still goes out.
    if (answered_ && std::string_view(reason) == "peer-closed" && !Drained()) return;
    Finish(reason);
  }

  AdminServer* server_;
  std::shared_ptr<bool> here_ = std::make_shared<bool>(true);  // an answer may come after us
  double began_at_;
  bool called_ = false, answered_ = false;
  http::Parser parser_{http::Parser::Side::kRequest, {.head = 4 * 1024, .body = 4 * 1024}};
  Deadlines::Ticket limit_ = Deadlines::kNone;
};

AdminServer::AdminServer(Loop* loop, Hooks hooks) : loop_(loop), hooks_(std::move(hooks)) {}
AdminServer::~AdminServer() {
  connections_.clear();
  readable_.reset();
  if (fd_ >= 0) close(fd_);
}

// An event of our own instead of a listener: it must go before all that clients and workers bring.
bool AdminServer::Listen(const std::string& address, std::string* error) {
  const auto at = ParseAddress(address);
  if (!at) return *error = "not an address to listen on: '" + address + "'", false;
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd_ >= 0) setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (fd_ < 0 || bind(fd_, reinterpret_cast<const sockaddr*>(&*at), sizeof *at) != 0 ||
      listen(fd_, 128) != 0) {
    return *error = "cannot listen on " + address + ": " + std::strerror(errno), false;
  }
  readable_.reset(event_new(
      loop_->base(), fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<AdminServer*>(self)->Accept(); }, this));
  event_priority_set(readable_.get(), Loop::kHighPriority);
  event_add(readable_.get(), nullptr);
  return true;
}

std::string AdminServer::address() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size);
  return AddressText(bound);
}

void AdminServer::Accept() {
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    auto connection = std::make_unique<AdminConnection>(this, loop_, fd);
    AdminConnection* raw = connection.get();
    std::size_t open = 1;
    AdminConnection* oldest = nullptr;
    for (const auto& [other, unused] : connections_) {
      if (other->closed()) continue;
      open += 1;
      if (oldest == nullptr || other->began_at() < oldest->began_at()) oldest = other;
    }
    connections_.emplace(raw, std::move(connection));
    if (open > kMaxConnections && oldest != nullptr) oldest->Finish("made-room");
  }
}

void AdminServer::Drop(AdminConnection* connection) {
  loop_->Defer([this, connection] { connections_.erase(connection); });
}

}  // namespace millethollow::admin
