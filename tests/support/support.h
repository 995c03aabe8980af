// Stand-ins for the loopback tests, on the node's own loop: no thread, no sleep.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_SUPPORT_H_
#define MILLETHOLLOW_TESTS_SUPPORT_SUPPORT_H_

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "logging/log.h"
#include "millethollow/error.h"
#include "net/connection.h"
#include "net/gearman/packet.h"
#include "net/http/parser.h"
#include "net/listener.h"
#include "node/node.h"

namespace millethollow {

// Settings as the platform's, with three HTTP workers: two in cell 0, one in cell 1.
std::string TestConfig(const std::vector<std::string>& workers, const std::string& extra = "");

// For EXPECT_TRUE: a failure shows the error's message.
inline testing::AssertionResult IsOk(const Status& status) {
  if (status) return testing::AssertionSuccess();
  return testing::AssertionFailure() << status.error().message;
}

template <typename Done>
bool TurnUntil(Loop& loop, Done done, double timeout_s = 5) {
  const double until = loop.Now() + timeout_s;
  loop.deadlines().At(until, [] {});
  while (!done() && loop.Now() < until) loop.Turn();
  return done();
}

// A peer that sends bytes and keeps what comes back.
class RawClient : public Connection {
 public:
  RawClient(Loop* loop, const std::string& address) : Connection(loop, "test") {
    Connect(*ParseAddress(address));
  }
  RawClient(Loop* loop, evutil_socket_t fd) : Connection(loop, "test") { Adopt(fd); }
  std::string in;
  bool ended = false;
  std::function<void()> on_read = [] {}, on_end = [] {};
  void EndAfterWriting() {
    ends_ = true;
    if (Drained()) ShutdownWrite();
  }

 protected:
  void OnRead() override {
    in += Peek(Available());
    Consume(Available());
    on_read();
  }
  void OnEnd(const char*) override {
    ended = true;
    on_end();
  }
  void OnDrained() override {
    if (ends_) ShutdownWrite();
  }

 private:
  bool ends_ = false;
};

// A worker on HTTP: keeps what it was sent and does with it as the test says.
class ToyWorker {
 public:
  struct Got {
    http::Head head;
    std::string body;
    RawClient* from = nullptr;
  };
  explicit ToyWorker(Loop* loop);
  std::string address() const { return listener_.address(); }
  std::vector<Got> got;
  std::function<void(const Got&)> act = [](const Got& g) { Done(g, "ok"); };
  static void Lines(const Got& got, const std::vector<std::string>& lines);
  static void Done(const Got& got, const std::string& result);
  static std::string Line(const Got& got, const std::string& state);
  bool AllGone() const;

 private:
  struct Client {
    std::unique_ptr<RawClient> raw;
    http::Parser parser{http::Parser::Side::kRequest, {}};
  };
  Loop* loop_;
  Listener listener_;
  std::vector<std::unique_ptr<Client>> clients_;
};

// A Gearman peer: client, worker or both.
class GearmanPeer : public RawClient {
 public:
  GearmanPeer(Loop* loop, const std::string& address);
  void Send(gearman::Type type, std::initializer_list<std::string_view> arguments);
  // The packets of this type that came, as their data.
  std::vector<std::string> Of(gearman::Type type) const;
  std::vector<gearman::Message> got;
  std::function<void(const gearman::Message&)> act = [](const gearman::Message&) {};
  // Works as a worker does that never fails: sleeps, grabs, and completes with `result`.
  void WorkOn(const std::string& function, const std::string& result);

 private:
  gearman::Parser parser_{1 << 20};
};

std::string Post(const std::string& id, const std::string& cls, const std::string& more = "",
                 const std::string& body = "{}", int timeout_ms = 3000);

}  // namespace millethollow

#endif  // MILLETHOLLOW_TESTS_SUPPORT_SUPPORT_H_
