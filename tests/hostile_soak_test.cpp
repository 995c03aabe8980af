// Random hostile input, by seed, against a node as a process of its own, while sound clients use
// it: workers that spoil their answers, clients and Gearman peers that send floods, halves and
// nonsense, in some runs a crowd, signals in series, and at the end SIGTERM with the kill at the
// earliest time that is allowed. SEEDS sets the number of runs, FIRST_SEED the first, and
// INTENSITY how much is sent: 1, the default, suits builds with sanitizers, 10 others.
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "support/node_process.h"

namespace millethollow {
namespace {

using gearman::Type;

constexpr double kHostileS = 5;          // of one run, until SIGTERM
constexpr double kLongestDeadlineS = 2;  // of the sound clients' requests
constexpr double kKillAfterTermS = kLongestDeadlineS + 0.7;
constexpr double kLateS = 0.5;  // an answer that comes later after its deadline is lost

unsigned SettingOf(const char* variable, unsigned fallback) {
  const char* text = std::getenv(variable);
  return text == nullptr ? fallback : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

class Random {
 public:
  explicit Random(unsigned seed) : engine_(seed) {}
  std::size_t Below(std::size_t limit) { return engine_() % limit; }
  bool OneIn(std::size_t count) { return Below(count) == 0; }
  double Unit() { return std::generate_canonical<double, 32>(engine_); }
  std::string Bytes(std::size_t count) {
    std::string bytes(count, '\0');
    for (char& byte : bytes) byte = static_cast<char>(Below(256));
    return bytes;
  }

 private:
  std::mt19937 engine_;
};

// Sends one request after the other on a connection that stays open, and checks that each gets one
// answer in time, unless a close between two requests has crossed it.
class SoundClient {
 public:
  SoundClient(NodeProcess* node, int number, std::vector<std::string>* faults)
      : node_(node), number_(number), faults_(faults) {}
  void Turn() {
    if (connection_ != nullptr && connection_->ended) return OnEnded();
    if (connection_ == nullptr) Connect();
    if (waiting_) return Receive();
    if (node_->loop.Now() < next_at_) return;
    Send();
  }
  // No new connection from now on: the node has been told to end.
  void StopConnecting() { may_connect_ = false; }
  // Whether it waits for an answer that is late, or for one to a request that came when a node that
  // has been told to end need not keep up a deadline any more.
  bool LostAtKill(double term_at) const {
    constexpr double kTakenAfterTermS = 0.7;
    return waiting_ && (node_->loop.Now() > deadline_ ||
                        deadline_ - kLongestDeadlineS > term_at + kTakenAfterTermS);
  }
  int answers() const { return answers_; }

 private:
  void Connect() {
    if (!may_connect_) return;
    connection_ = node_->Client();
    answers_here_ = 0;
  }
  void Send() {
    if (connection_ == nullptr) return;
    id_ = "sound-" + std::to_string(number_) + "-" + std::to_string(++sent_);
    const int timeout_ms = static_cast<int>(1000 * kLongestDeadlineS);
    deadline_ = node_->loop.Now() + kLongestDeadlineS;
    connection_->Write(Post(id_, "look", "", "{}", timeout_ms));
    waiting_ = true;
  }
  void Receive() {
    const std::string& received = connection_->received;
    const std::size_t head = received.find("\r\n\r\n");
    const std::size_t length_at = received.find("Content-Length: ");
    if (head != std::string::npos && length_at < head) {
      const std::size_t body = std::strtoul(received.c_str() + length_at + 16, nullptr, 10);
      if (received.size() >= head + 4 + body) return OnAnswer(head + 4 + body);
    }
    if (node_->loop.Now() > deadline_ + kLateS) Fault("has no answer in time");
  }
  void OnAnswer(std::size_t bytes) {
    const bool closes = connection_->received.find("Connection: close") < bytes;
    if (connection_->received.size() > bytes) Fault("has a second answer");
    connection_->received.clear();
    waiting_ = false;
    ++answers_;
    ++answers_here_;
    next_at_ = node_->loop.Now() + 0.02;
    if (closes) Drop();
  }
  void OnEnded() {
    if (waiting_) Receive();
    if (waiting_ && answers_here_ == 0 && may_connect_) Fault("was lost on a new connection");
    waiting_ = false;
    Drop();
  }
  void Drop() {
    if (connection_ == nullptr) return;
    connection_->Close("test");
    connection_.reset();
  }
  void Fault(const std::string& text) {
    const std::size_t received = connection_ == nullptr ? 0 : connection_->received.size();
    faults_->push_back(id_ + " " + text + ", " + std::to_string(received) + " bytes received" +
                       (may_connect_ ? "" : ", after SIGTERM"));
    waiting_ = false;
    Drop();
  }

  NodeProcess* node_;
  int number_;
  std::vector<std::string>* faults_;
  std::unique_ptr<RawClient> connection_;
  std::string id_;
  bool waiting_ = false, may_connect_ = true;
  double next_at_ = 0, deadline_ = 0;
  int sent_ = 0, answers_ = 0, answers_here_ = 0;
};

// A worker's answer, sound or spoilt in one of many ways.
void RespondAtRandom(NodeProcess* node, Random* random,
                     const FakeWorker::ReceivedRequest& request) {
  const std::size_t depth = 1 + random->Below(120'000);
  const std::string nested = std::string(depth, '[') + std::string(depth, ']');
  std::string done = FakeWorker::StateLine(request, "done");
  const auto respond_with = [&](const std::string& members) {
    done.insert(done.size() - 1, "," + members);
    FakeWorker::RespondWithLines(request, {FakeWorker::StateLine(request, "started"), done});
  };
  switch (random->Below(40)) {
    case 0:
      return respond_with("\"result\":" + nested);
    case 1:
      return respond_with(R"("result":"ok","load":{"util":)" + nested + "}");
    case 2:
      return request.from->Write(random->Bytes(1 + random->Below(4'000)));
    case 3:
      return request.from->Close("spoilt");
    case 4:  // never ends
      return request.from->Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" +
                                 std::string(500, 'x'));
    case 5: {
      std::string interim;
      for (int i = 0; i < 500; ++i) interim += "HTTP/1.1 100 Continue\r\n\r\n";
      request.from->Write(interim);
      return respond_with(R"("result":"ok")");
    }
    case 6:
      return request.from->Write(
          "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    case 7: {  // a changed byte
      done.insert(done.size() - 1, R"(,"result":"ok")");
      done[random->Below(done.size())] = static_cast<char>(random->Below(256));
      return FakeWorker::RespondWithLines(request, {done});
    }
    case 8:  // some milliseconds later once more
      respond_with(R"("result":"ok")");
      return void(node->loop.deadlines().At(node->loop.Now() + 0.005, [request] {
        if (!request.from->ended) FakeWorker::RespondWithResult(request, "again");
      }));
    default:
      return respond_with(R"("result":"ok")");
  }
}

// Clients and Gearman peers that send what they like.
class HostilePeers {
 public:
  HostilePeers(NodeProcess* node, Random* random) : node_(node), random_(random) {}
  void Turn() {
    std::erase_if(peers_, [this](const auto& peer) {
      const bool leaves = peer->ended || random_->OneIn(200);
      if (leaves) peer->Close("test");
      return leaves;
    });
    if (peers_.size() < kMaxPeers) AddPeer();
    RawClient* peer = peers_.empty() ? nullptr : peers_[random_->Below(peers_.size())].get();
    if (peer != nullptr && peer->Unsent() < kMaxAheadBytes && random_->Below(50) < intensity_) {
      peer->Write(random_->OneIn(2) ? HttpBytes() : GearmanBytes());
    }
  }
  // Many connections that send little.
  void AddCrowd(std::size_t connections) {
    for (std::size_t i = 0; i < connections; ++i) {
      crowd_.push_back(node_->Client());
      if (random_->OneIn(3)) crowd_.back()->Write("POST /api HTTP/1.1\r\nHost: s\r\na: ");
    }
  }

 private:
  static constexpr std::size_t kMaxAheadBytes = 4 * 1024 * 1024, kMaxPeers = 6;

  void AddPeer() {
    const bool http = random_->OneIn(2);
    peers_.push_back(std::make_unique<RawClient>(
        &node_->loop, http ? node_->http_address : node_->gearman_address));
    peers_.back()->Write(http ? HttpBytes() : GearmanBytes());
  }
  static std::string Repeated(const std::string& bytes, std::size_t times) {
    std::string text;
    for (std::size_t i = 0; i < times; ++i) text += bytes;
    return text;
  }
  std::string NewName() { return "n" + std::to_string(++names_); }

  std::string HttpBytes() {
    switch (random_->Below(7)) {
      case 0:
        return Repeated("GET /_health HTTP/1.1\r\nHost: s\r\n\r\n",
                        random_->Below(2'000 * intensity_));
      case 1:
        return "GET / HTTP/1.1\r\n" + Repeated("a:\r\n", random_->Below(4'000));
      case 2:
        return Post(NewName(), "look", "", std::string(random_->Below(70'000), 'b'), 500);
      case 3: {
        std::string request = Post(NewName(), "look", "", "{}", 500);
        request[random_->Below(request.size())] = static_cast<char>(random_->Below(256));
        return request;
      }
      case 4: {
        std::string ahead;
        for (std::size_t i = random_->Below(200 * intensity_); i-- > 0;)
          ahead += Post(NewName(), "look", "", "{}", 300);
        return ahead;
      }
      case 5:
        return random_->Bytes(random_->Below(2'000));
      default:
        return Post(NewName(), "look").substr(0, random_->Below(120));
    }
  }
  std::string Packet(Type type, std::initializer_list<std::string_view> arguments) {
    return gearman::EncodePacket(gearman::Message::Form::kRequest, type, arguments);
  }
  std::string GearmanBytes() {
    std::string bytes;
    const std::size_t kind = random_->Below(10);
    const std::string body(random_->Below(3'000), 'b');
    for (std::size_t i = random_->Below(30 * intensity_); i-- > 0;) {
      switch (kind) {
        case 0:
          bytes += Packet(Type::kCanDo, {NewName()});
          break;
        case 1:
          bytes += Packet(Type::kSubmitJob, {"look", "same", body});
          break;
        case 2:
          bytes += Packet(Type::kSubmitJob, {"look", NewName(), body});
          break;
        case 3:
          bytes += Packet(Type::kSubmitJobBg, {"charge", "-", NewName()});
          break;
        case 4:
          bytes += Packet(Type::kEchoReq, {body});
          break;
        case 5:
          bytes += "status\nworkers\nversion\n";
          break;
        case 6:  // a worker that takes jobs and answers some of them
          bytes += Packet(Type::kCanDo, {"look"}) + Packet(Type::kGrabJob, {}) +
                   Packet(Type::kWorkData, {NewName(), ""});
          break;
        case 7:
          bytes += Packet(static_cast<Type>(random_->Below(50)), {NewName(), body});
          break;
        case 8:
          bytes += Packet(Type::kGetStatusUnique, {"same"});
          break;
        default:
          bytes += random_->Bytes(20);
      }
    }
    return bytes;
  }

  NodeProcess* node_;
  Random* random_;
  std::vector<std::unique_ptr<RawClient>> peers_, crowd_;
  const std::size_t intensity_ = SettingOf("INTENSITY", 1);
  int names_ = 0;
};

// One run. Returns what went wrong.
std::vector<std::string> RunSeed(unsigned seed) {
  constexpr int kSoundClients = 4;
  Random random(seed);
  std::vector<std::string> faults;
  NodeProcess node(3, R"("limits":{"sockets":512,"memory_mb":192},)");
  for (const auto& worker : node.workers) {
    worker->on_request = [&](const FakeWorker::ReceivedRequest& request) {
      RespondAtRandom(&node, &random, request);
    };
  }
  std::vector<std::unique_ptr<SoundClient>> clients;
  for (int i = 0; i < kSoundClients; ++i)
    clients.push_back(std::make_unique<SoundClient>(&node, i, &faults));
  HostilePeers hostile(&node, &random);
  if (random.OneIn(3)) hostile.AddCrowd(150);
  const auto turn_until = [&](double until) {
    while (node.loop.Now() < until && node.Running()) {
      hostile.Turn();
      for (const auto& client : clients) client->Turn();
      node.RunFor(0.002);
    }
  };
  const double started_at = node.loop.Now();
  while (node.loop.Now() < started_at + kHostileS && node.Running()) {
    turn_until(node.loop.Now() + 0.2 + random.Unit());
    for (std::size_t i = random.Below(4); i-- > 0;) {
      node.Signal(random.OneIn(2) ? SIGHUP : SIGUSR1);
      node.RunFor(0.001);
    }
  }
  if (!node.Running()) {
    faults.push_back("the process ended by itself: " + node.EndText() + "\n" + node.Log());
    return faults;
  }
  const double term_at = node.loop.Now();
  for (std::size_t i = 1 + random.Below(3); i-- > 0;) node.Signal(SIGTERM);
  turn_until(term_at + 0.4);  // connections may still come so long
  for (const auto& client : clients) client->StopConnecting();
  turn_until(term_at + kKillAfterTermS);
  if (node.Running()) {
    for (const auto& client : clients) {
      if (client->LostAtKill(term_at)) faults.emplace_back("a request is unanswered at the kill");
    }
    node.Signal(SIGKILL);
    node.Until([&] { return !node.Running(); });
  } else if (node.EndText() != "status 0") {
    faults.push_back("after SIGTERM the process ended by " + node.EndText() + "\n" + node.Log());
  }
  int answers = 0;
  for (const auto& client : clients) answers += client->answers();
  if (answers == 0) faults.emplace_back("no sound client was answered");
  std::printf("seed %u: %d answers to sound clients, %zu faults, end: %s\n", seed, answers,
              faults.size(), node.EndText().c_str());
  return faults;
}

// Guards against any input that ends a process, or holds up or loses the requests of sound clients.
TEST(HostileSoak, SoundClientsAreAnsweredWhateverOthersSend) {
  const unsigned first_seed = SettingOf("FIRST_SEED", 1);
  const unsigned seeds = SettingOf("SEEDS", 8);
  for (unsigned seed = first_seed; seed < first_seed + seeds; ++seed) {
    for (const std::string& fault : RunSeed(seed))
      ADD_FAILURE() << "seed " << seed << ": " << fault;
  }
}

}  // namespace
}  // namespace millethollow
