// A toy worker for trying the node out: takes every job, works for a moment, and says it's done.
// Usage: toy_worker ADDRESS:PORT [MILLISECONDS]
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <string>

#include "net/connection.h"
#include "net/http/parser.h"
#include "net/listener.h"

namespace {

using namespace millethollow;

class Client;
std::map<Client*, std::unique_ptr<Client>> clients;

class Client final : public Connection {
 public:
  Client(Loop* loop, evutil_socket_t fd, double work_s)
      : Connection(loop, "node"), work_s_(work_s) {
    Adopt(fd);
  }
  ~Client() override { loop_->deadlines().Drop(&work_); }

 private:
  void OnRead() override {
    while (!closed() && work_ == Deadlines::kNone) {
      const std::string bytes = Peek(16 * 1024);
      if (bytes.empty()) return;
      Consume(parser_.Feed(bytes));
      if (parser_.error() != 0) return OnEnd("bad-request");
      if (parser_.done()) Work();
    }
  }

  void Work() {
    const http::Head head = parser_.head();
    const std::string body = parser_.TakeBody();
    parser_.Reset();
    if (head.method == "GET") return Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const std::string* id = head.Get("Request-Id");
    if (id == nullptr) return Write("HTTP/1.1 404 No Id\r\nContent-Length: 0\r\n\r\n");
    std::cout << "job " << *id << " of " << body.size() << " bytes" << std::endl;
    Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    Line("{\"id\":\"" + *id + "\",\"from\":\"toy\",\"state\":\"started\"}");
    work_ = loop_->deadlines().At(loop_->Now() + work_s_, [this, id = *id] {
      work_ = Deadlines::kNone;
      Line("{\"id\":\"" + id + "\",\"from\":\"toy\",\"state\":\"done\",\"result\":\"roasted " + id +
           "\\n\"}");
      Write("0\r\n\r\n");
      OnRead();
    });
  }

  void Line(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    Write(size + line + "\n\r\n");
  }

  void OnEnd(const char* reason) override {
    loop_->deadlines().Drop(&work_);
    Close(reason);
    loop_->Defer([this] { clients.erase(this); });
  }

  http::Parser parser_{http::Parser::Side::kRequest, {}};
  double work_s_;
  Deadlines::TimerId work_ = Deadlines::kNone;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: toy_worker ADDRESS:PORT [MILLISECONDS]\n";
    return 1;
  }
  const double work_s = argc > 2 ? std::atof(argv[2]) / 1000 : 0.2;
  Loop loop;
  Listener listener;
  std::string error;
  const bool open = listener.Open(
      &loop, argv[1],
      [&](evutil_socket_t fd) {
        auto client = std::make_unique<Client>(&loop, fd, work_s);
        Client* raw = client.get();
        clients.emplace(raw, std::move(client));
      },
      &error);
  if (!open) {
    std::cerr << error << "\n";
    return 1;
  }
  std::cout << "working on " << listener.address() << std::endl;
  loop.Run();
}
