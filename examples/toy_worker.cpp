// Example worker for trying out the node: accepts every job, waits for the given time (200 ms by
// default), and reports success.
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

class NodeConnection;
// Open connections, owned here until they end.
std::map<NodeConnection*, std::unique_ptr<NodeConnection>> connections;

// One connection from a node; runs one job at a time.
class NodeConnection final : public Connection {
 public:
  NodeConnection(Loop* loop, evutil_socket_t socket, double job_duration_s)
      : Connection(loop, "node"), job_duration_s_(job_duration_s) {
    Adopt(socket);
  }
  ~NodeConnection() override { loop_->deadlines().Drop(&job_deadline_); }

 private:
  void OnRead() override {
    while (!closed() && job_deadline_ == Deadlines::kNone) {
      const std::string bytes = Peek(16 * 1024);
      if (bytes.empty()) return;
      Consume(parser_.Feed(bytes));
      if (parser_.error() != 0) return OnEnd("bad-request");
      if (parser_.done()) HandleRequest();
    }
  }

  void HandleRequest() {
    const http::Head head = parser_.head();
    const std::string body = parser_.TakeBody();
    parser_.Reset();
    if (head.method == "GET") return Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    const std::string* id = head.Get("Request-Id");
    if (id == nullptr) return Write("HTTP/1.1 404 No Id\r\nContent-Length: 0\r\n\r\n");
    std::cout << "job " << *id << " of " << body.size() << " bytes" << std::endl;
    Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    WriteChunkLine("{\"id\":\"" + *id + "\",\"from\":\"toy\",\"state\":\"started\"}");
    job_deadline_ = loop_->deadlines().At(loop_->Now() + job_duration_s_, [this, id = *id] {
      job_deadline_ = Deadlines::kNone;
      WriteChunkLine("{\"id\":\"" + id +
                     "\",\"from\":\"toy\",\"state\":\"done\",\"result\":\"roasted " + id +
                     "\\n\"}");
      Write("0\r\n\r\n");
      OnRead();
    });
  }

  // Writes the line as one HTTP chunk.
  void WriteChunkLine(const std::string& line) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", line.size() + 1);
    Write(size + line + "\n\r\n");
  }

  void OnEnd(const char* reason) override {
    loop_->deadlines().Drop(&job_deadline_);
    Close(reason);
    loop_->Defer([this] { connections.erase(this); });
  }

  http::Parser parser_{http::Parser::Side::kRequest, {}};
  double job_duration_s_;
  Deadlines::TimerId job_deadline_ = Deadlines::kNone;
};

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << "usage: toy_worker ADDRESS:PORT [MILLISECONDS]\n";
    return 1;
  }
  const double job_duration_s = argc > 2 ? std::atof(argv[2]) / 1000 : 0.2;
  Loop loop;
  Listener listener;
  std::string error;
  const bool is_open = listener.Open(
      &loop, argv[1],
      [&](evutil_socket_t socket) {
        auto connection = std::make_unique<NodeConnection>(&loop, socket, job_duration_s);
        NodeConnection* connection_key = connection.get();
        connections.emplace(connection_key, std::move(connection));
      },
      &error);
  if (!is_open) {
    std::cerr << error << "\n";
    return 1;
  }
  std::cout << "working on " << listener.address() << std::endl;
  loop.Run();
}
