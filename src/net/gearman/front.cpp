#include "net/gearman/front.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

#include "log.h"
#include "net/connection.h"

namespace millethollow::gearman {

using decksail::Column;
using decksail::Readiness;
using Form = Message::Form;

namespace {

constexpr std::size_t kMostBody = 64 * 1024;              // of a job, as on the other front
constexpr std::size_t kMostData = kMostBody + 4096;       // of a packet
constexpr std::size_t kMostParts = 256 * 1024;            // of a job's data sent ahead
constexpr std::size_t kMostHeldBytes = 24 * 1024 * 1024;  // of all jobs' bodies
constexpr std::size_t kMostUnsent = 2 * 1024 * 1024;      // to a peer that does not read
constexpr std::size_t kMostFinished = 256;                // results kept for late repeats
constexpr std::size_t kMostName = 256;
constexpr std::size_t kMostTasks = 2;  // at a worker: one that runs and one that waits
constexpr int kOwnCells = 1 << 20;     // cells from here on are no list's
constexpr std::string_view kVersion = "0.1.0";

std::string Response(Type type, std::initializer_list<std::string_view> arguments) {
  return Packet(Form::kResponse, type, arguments);
}

std::string SpaceFree(std::string text) {  // admin lines are split at spaces and tabs
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c <= ' ' || c == 0x7f; }, '_');
  return text;
}

}  // namespace

// One connection. It may be a client, a worker, an administrator, or all of them.
class Peer final : public Connection {
 public:
  Peer(Front* front, Loop* loop, evutil_socket_t fd, std::string name, int slot, int cell)
      : Connection(loop, "gearman"),
        front_(front),
        name_(std::move(name)),
        slot_(slot),
        cell_(cell) {
    Adopt(fd);
    Limit(kReadS, "silent");
  }
  ~Peer() override {
    loop_->deadlines().Drop(&limit_);
    for (auto& [handle, task] : assigned_) loop_->deadlines().Drop(&task.limit);
  }

  const std::string& name() const { return name_; }
  int slot() const { return slot_; }
  int cell() const { return cell_; }
  const std::string& client_id() const { return client_id_; }
  bool silent() const { return messages_ == 0; }
  const std::map<std::string, int>& abilities() const { return abilities_; }
  bool exceptions() const { return exceptions_; }
  bool drains() const { return draining_; }
  std::size_t assigned() const { return assigned_.size(); }
  std::size_t tasks() const { return assigned_.size() + queue_.size(); }
  const std::deque<Task>& queue() const { return queue_; }
  const std::map<std::string, Task, std::less<>>& running() const { return assigned_; }

  void Say(const std::string& packet) {
    if (closed()) return;
    Write(packet);
    if (Unsent() > kMostUnsent) Finish("reads-too-slowly");
  }

  void Enqueue(Task task) {
    // A worker takes what waits at it by the submitters' priority, else in order.
    auto at = std::find_if(queue_.begin(), queue_.end(),
                           [&](const Task& t) { return t.priority > task.priority; });
    queue_.insert(at, std::move(task));
    if (sleeping_) {
      sleeping_ = false;
      Say(Response(Type::kNoop, {}));
    }
  }

  // True if the task only waited here and was never sent.
  void Cancel(EnvelopeId envelope, int attempt) {
    const auto same = [&](const Task& t) { return t.envelope == envelope && t.attempt == attempt; };
    if (std::erase_if(queue_, same) > 0) return;
    for (auto& [handle, task] : assigned_) {
      // Gearman has no word for it: the worker goes on, and stays taken until it says it's done.
      if (same(task)) task.orphan = true;
    }
  }

  // Nothing new goes here; what waits goes back at once, unstarted, to be placed elsewhere.
  void Drain() {
    if (!draining_) {
      draining_ = true;
      front_->SetReady(this);
    }
    ReturnQueue(Verdict::kTurnedAway);
  }

  void Finish(const char* reason) {
    if (closed()) return;
    const bool assign_unsent = assign_unsent_ && !Drained();
    loop_->deadlines().Drop(&limit_);
    Close(reason);
    ReturnQueue(Verdict::kNoConnection);
    // JOB_ASSIGN is the send. If its last byte went out, the job may have run.
    for (auto& [handle, task] : std::exchange(assigned_, {})) {
      Deadlines::Ticket limit = task.limit;
      loop_->deadlines().Drop(&limit);
      if (task.orphan) continue;
      const bool never = assign_unsent && handle == last_assigned_;
      End(task, never ? Verdict::kNoConnection : Verdict::kConnectionLost);
    }
    abilities_.clear();
    front_->Drop(this);
  }

 private:
  // As on the other front: a first packet must come in time, and so must the rest of one begun. A
  // peer that was heard and rests may stay.
  void Limit(double after_s, const char* reason) {
    loop_->deadlines().Drop(&limit_);
    limit_ = loop_->deadlines().At(loop_->Now() + after_s, [this, reason] {
      limit_ = Deadlines::kNone;
      Finish(reason);
    });
  }

  void OnRead() override {
    const std::size_t before = messages_;
    Read();
    if (closed()) return;
    if (parser_.idle()) return loop_->deadlines().Drop(&limit_);
    // What is left over has just begun. No drip of bytes moves the limit, only a whole message.
    if (messages_ > before || (limit_ == Deadlines::kNone)) Limit(kReadS, "half-a-packet");
  }

  void Read() {
    while (!closed() && parser_.error() == nullptr) {
      const std::string bytes = Peek(16 * 1024);
      if (bytes.empty()) return;
      Consume(parser_.Feed(bytes));
      if (const auto message = parser_.Take()) {
        messages_ += 1;
        if (message->form == Form::kLine) {
          front_->AdminLine(this, message->data);
        } else if (!Handle(*message)) {
          front_->counters_->bad_input += 1;
          Error("bad_packet", "Unknown or malformed packet");
        }
      }
    }
    if (closed()) return;
    front_->counters_->bad_input += 1;
    Error(parser_.error(), "This stream cannot be read any further");
    Finish("bad-packet");
  }

  void OnDrained() override { assign_unsent_ = false; }
  void OnEnd(const char* reason) override { Finish(reason); }

  void Error(std::string_view code, std::string_view text) {
    Say(Response(Type::kError, {code, text}));
  }

  bool Handle(const Message& m) {
    if (m.form != Form::kRequest) return false;
    const std::string_view data = m.data;
    switch (m.type) {
      case Type::kSubmitJob:
      case Type::kSubmitJobBg:
      case Type::kSubmitJobHigh:
      case Type::kSubmitJobHighBg:
      case Type::kSubmitJobLow:
      case Type::kSubmitJobLowBg: {
        const auto a = Arguments(data, 3);
        if (!a || (*a)[0].empty() || (*a)[0].size() > kMostName || (*a)[1].size() > kMostName) {
          return false;
        }
        front_->Submit(this, m.type, (*a)[0], (*a)[1], (*a)[2]);
        return true;
      }
      case Type::kGetStatus:
      case Type::kGetStatusUnique:
        return Status(m.type, data);
      case Type::kOptionReq:
        if (data != "exceptions") {
          Error("unknown_option", "Only 'exceptions' is known");
        } else {
          exceptions_ = true;
          Say(Response(Type::kOptionRes, {data}));
        }
        return true;
      case Type::kEchoReq:
        Say(Response(Type::kEchoRes, {data}));
        return true;
      case Type::kSetClientId:
        if (data.empty() || data.size() > kMostName) return false;
        client_id_ = SpaceFree(std::string(data));
        return true;
      case Type::kCanDo:
        if (data.empty() || data.size() > kMostName) return false;
        return CanDo(data, 0);
      case Type::kCanDoTimeout: {
        const auto a = Arguments(data, 2, true);
        int seconds = 0;
        if (!a || (*a)[0].empty() || (*a)[0].size() > kMostName) return false;
        const char* end = (*a)[1].data() + (*a)[1].size();
        if (std::from_chars((*a)[1].data(), end, seconds).ptr != end || seconds < 0) return false;
        return CanDo((*a)[0], seconds);
      }
      case Type::kCantDo:
        if (data.empty()) return false;
        abilities_.erase(std::string(data));
        ReturnUnable();
        front_->SetReady(this);
        return true;
      case Type::kResetAbilities:
        abilities_.clear();
        ReturnUnable();
        front_->SetReady(this);
        return true;
      case Type::kPreSleep:
        sleeping_ = queue_.empty();
        if (!sleeping_) Say(Response(Type::kNoop, {}));
        return true;
      case Type::kGrabJob:
      case Type::kGrabJobUniq:
        return Grab(m.type), true;
      case Type::kAllYours:
        return true;
      case Type::kWorkStatus: {
        const auto a = Arguments(data, 3, true);
        return a && Progress((*a)[0], (*a)[1], (*a)[2]);
      }
      case Type::kWorkData:
      case Type::kWorkWarning:
      case Type::kWorkException:
      case Type::kWorkComplete: {
        const auto a = Arguments(data, 2);
        return a && Work(m.type, (*a)[0], (*a)[1]);
      }
      case Type::kWorkFail: {
        const auto a = Arguments(data, 1, true);
        return a && Work(m.type, (*a)[0], {});
      }
      default:
        return false;
    }
  }

  bool Status(Type type, std::string_view data) {
    const bool by_unique = type == Type::kGetStatusUnique;
    std::shared_ptr<Job> job = by_unique ? nullptr : front_->FindHandle(data);
    for (const auto& [key, known] : front_->uniques_) {
      if (by_unique && key.second == data) job = known;
    }
    const std::string_view known = job ? "1" : "0", runs = job && job->running ? "1" : "0";
    const std::string_view num = job ? std::string_view(job->numerator) : "0";
    const std::string_view den = job ? std::string_view(job->denominator) : "0";
    if (by_unique) {
      const std::string count = std::to_string(job ? job->waiting.size() : 0);
      Say(Response(Type::kStatusResUnique, {data, known, runs, num, den, count}));
    } else {
      Say(Response(Type::kStatusRes, {data, known, runs, num, den}));
    }
    return true;
  }

  bool CanDo(std::string_view function, int timeout_s) {
    abilities_[std::string(function)] = timeout_s;
    front_->SetReady(this);
    return true;
  }

  void Grab(Type how) {
    if (queue_.empty()) return Say(Response(Type::kNoJob, {}));
    Task task = std::move(queue_.front());
    queue_.pop_front();
    const std::string handle = task.handle;
    assign_unsent_ = true;
    last_assigned_ = handle;
    if (how == Type::kGrabJobUniq) {
      Say(Response(Type::kJobAssignUniq, {handle, task.function, task.unique, task.body}));
    } else {
      Say(Response(Type::kJobAssign, {handle, task.function, task.body}));
    }
    if (closed()) {  // it could not take any more bytes: this one was never sent
      return front_->forwarder_->AttemptEnded(task.envelope, task.attempt,
                                              {.verdict = Verdict::kNoConnection});
    }
    const auto ability = abilities_.find(task.function);
    if (ability != abilities_.end() && ability->second > 0) {
      task.limit = loop_->deadlines().At(loop_->Now() + ability->second, [this, handle] {
        const auto it = assigned_.find(handle);
        if (it == assigned_.end()) return;
        it->second.limit = Deadlines::kNone;
        if (it->second.orphan) return;
        it->second.orphan = true;  // the worker may still be at it
        End(it->second, Verdict::kNoAnswer);
      });
    }
    const EnvelopeId envelope = task.envelope;
    const int attempt = task.attempt;
    task.body.clear();
    assigned_.emplace(handle, std::move(task));
    front_->forwarder_->AttemptBegan(envelope, attempt);
  }

  bool Progress(std::string_view handle, std::string_view num, std::string_view den) {
    const auto it = assigned_.find(handle);
    if (it == assigned_.end()) return Stray();
    const auto job = front_->FindEnvelope(it->second.envelope);
    if (it->second.orphan || job == nullptr) return true;
    job->numerator = num.substr(0, kMostName);
    job->denominator = den.substr(0, kMostName);
    front_->Tell(*job,
                 Response(Type::kWorkStatus, {job->handle, job->numerator, job->denominator}));
    return true;
  }

  bool Work(Type type, std::string_view handle, std::string_view data) {
    const auto it = assigned_.find(handle);
    if (it == assigned_.end()) return Stray();
    Task& task = it->second;
    const auto job = task.orphan ? nullptr : front_->FindEnvelope(task.envelope);
    if (type == Type::kWorkData || type == Type::kWorkWarning) {
      // Held until the job is done: an attempt that fails after some data may be made again, and
      // the client must not receive the data of both.
      task.part_bytes += task.orphan ? 0 : data.size();
      if (task.part_bytes > kMostParts) {
        task.orphan = true;
        task.parts.clear();
        End(task, Verdict::kServerError);
      } else if (!task.orphan) {
        task.parts.emplace_back(type, data);
      }
      return true;
    }
    if (type == Type::kWorkException) {
      if (job) job->exception = data;
      return true;  // WORK_FAIL follows by itself
    }
    Task done = std::move(task);
    loop_->deadlines().Drop(&done.limit);
    assigned_.erase(it);
    if (done.orphan) return true;
    if (type == Type::kWorkFail) return End(done, Verdict::kServerError), true;
    std::string result;
    if (job) {
      front_->parts_[{done.envelope, done.attempt}] = std::move(done.parts);
      result = data;
    } else {  // for the other front the whole is one body
      for (const auto& [kind, part] : done.parts) {
        if (kind == Type::kWorkData) result += part;
      }
      result += data;
    }
    front_->forwarder_->AttemptEnded(
        done.envelope, done.attempt,
        {.verdict = Verdict::kServed, .latency_s = loop_->Now() - done.sent_at}, std::move(result));
    front_->parts_.erase({done.envelope, done.attempt});
    return true;
  }

  bool Stray() {
    Error("unknown_job", "No such job is assigned to this worker");
    return true;
  }

  void End(const Task& task, Verdict verdict) {
    front_->forwarder_->AttemptEnded(
        task.envelope, task.attempt,
        {.verdict = verdict, .latency_s = loop_->Now() - task.sent_at});
  }

  void ReturnQueue(Verdict verdict) {
    for (const Task& task : std::exchange(queue_, {})) End(task, verdict);
  }

  void ReturnUnable() {
    std::vector<Task> unable;
    std::erase_if(queue_, [&](const Task& t) {
      if (abilities_.contains(t.function)) return false;
      unable.push_back(t);
      return true;
    });
    for (const Task& task : unable) End(task, Verdict::kTurnedAway);
  }

  Front* front_;
  std::string name_, client_id_ = "-", last_assigned_;
  int slot_, cell_;
  Parser parser_{kMostData};
  std::map<std::string, int> abilities_;  // function and time limit in seconds, 0 for none
  std::deque<Task> queue_;
  std::map<std::string, Task, std::less<>> assigned_;
  std::size_t messages_ = 0;  // whole ones that have come
  Deadlines::Ticket limit_ = Deadlines::kNone;
  bool exceptions_ = false, sleeping_ = false, draining_ = false, assign_unsent_ = false;
};

Front::Front(Forwarder* forwarder, const Config& config, Counters* counters)
    : forwarder_(forwarder), config_(config), counters_(counters) {}
Front::~Front() = default;

bool Front::AdoptListener(int fd) {
  forwarder_->loop()->OnSenderFreed([this] { SetAccepting(accepting_); });
  return listener_.Adopt(forwarder_->loop(), fd, [this](evutil_socket_t s) { Accept(s); });
}

void Front::SetAccepting(bool on) {
  accepting_ = on;
  if (on) {
    listener_.Resume();
  } else {
    listener_.Pause();
  }
}

bool Front::Listen(const std::string& address, std::string* why) {
  forwarder_->loop()->OnSenderFreed([this] { SetAccepting(accepting_); });
  return listener_.Open(
      forwarder_->loop(), address, [this](evutil_socket_t fd) { Accept(fd); }, why);
}

void Front::Accept(evutil_socket_t fd) {
  DescriptorBudget& budget = forwarder_->loop()->budget();
  ++sequence_;
  // A name is used again once its worker is gone: whoever remembers next hops by name must not be
  // made to remember more with every reconnect. The cell is new each time.
  int slot = 1;
  while (slots_.contains(slot)) ++slot;
  slots_.insert(slot);
  auto peer = std::make_unique<Peer>(this, forwarder_->loop(), fd,
                                     "gearman-" + config_.name + "-" + std::to_string(slot), slot,
                                     kOwnCells + static_cast<int>(sequence_ % kOwnCells));
  Peer* raw = peer.get();
  peers_.emplace(raw, std::move(peer));
  budget.senders += 1;
  if (!budget.SendersFull()) return;
  // Of the peers that have said nothing the oldest makes room; workers and clients never pay.
  Peer* oldest = nullptr;
  for (const auto& [other, owned] : peers_) {
    if (other == raw || other->closed() || !other->silent()) continue;
    if (oldest == nullptr || other->cell() < oldest->cell()) oldest = other;  // counted up
  }
  if (oldest == nullptr) return listener_.Pause();
  oldest->Finish("made-room");
}

void Front::Drop(Peer* peer) {
  Loop* loop = forwarder_->loop();
  loop->SenderFreed();
  if (workers_.contains(peer->name())) {
    SetReady(peer);
    workers_.erase(peer->name());
  }
  Detach(peer);
  loop->Later([this, peer] {
    slots_.erase(peer->slot());
    peers_.erase(peer);
  });
}

// A worker is a next hop while it can do one of the functions that the file maps.
void Front::SetReady(Peer* worker) {
  const bool able =
      std::any_of(worker->abilities().begin(), worker->abilities().end(),
                  [this](const auto& a) { return config_.gearman_functions.contains(a.first); });
  const bool known = workers_.contains(worker->name());
  if (!able && !known) return;
  workers_[worker->name()] = worker;
  decksail::Member m;
  m.worker = worker->name();
  m.zone = config_.gearman_zone;
  m.kind = config_.gearman_kind;
  // Unless the file says that they tell each other, Gearman workers drop no repeats: each is a
  // group of its own, and a charge that one may have run goes to no other.
  m.slots = 1;  // it grabs one job at a time
  m.cell = config_.gearman_cell >= 0 ? config_.gearman_cell : worker->cell();
  // Never cold: it grabs one job at a time, so no rate of ours can push it over.
  m.born_s = 0;
  m.readiness = worker->closed()            ? Readiness::kGone
                : !able || worker->drains() ? Readiness::kDraining
                                            : Readiness::kReady;
  if (forwarder_->link() != nullptr) forwarder_->link()->NextHopChanged(m);
}

// Results are kept for their class's window; over the bound, the oldest goes first.
void Front::MakeRoom() {
  const double now = forwarder_->loop()->Now();
  std::erase_if(finished_, [now](const auto& f) { return f.second.until < now; });
  if (finished_.size() < kMostFinished) return;
  finished_.erase(std::min_element(
      finished_.begin(), finished_.end(),
      [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
}

bool Front::Flushed() const {
  return std::all_of(peers_.begin(), peers_.end(),
                     [](const auto& p) { return p.first->closed() || p.first->Drained(); });
}

void Front::AnnounceWorkers() {
  for (const auto& [name, worker] : std::map<std::string, Peer*>(workers_)) SetReady(worker);
}

bool Front::Keyed(int cls) const {
  return config_.settings.classes[static_cast<std::size_t>(cls)].semantics !=
         decksail::Semantics::kRepeatable;
}

std::shared_ptr<Job> Front::FindHandle(std::string_view handle) const {
  const auto it = handles_.find(handle);
  return it == handles_.end() ? nullptr : it->second;
}

std::shared_ptr<Job> Front::FindEnvelope(EnvelopeId id) const {
  const auto it = jobs_.find(id);
  return it == jobs_.end() ? nullptr : it->second;
}

void Front::Submit(Peer* peer, Type type, std::string_view function, std::string_view unique,
                   std::string_view body) {
  const auto mapped = config_.gearman_functions.find(std::string(function));
  const auto error = [&](std::string_view code, std::string_view text) {
    counters_->bad_input += 1;
    peer->Say(Response(Type::kError, {code, text}));
  };
  if (mapped == config_.gearman_functions.end()) {
    return error("unknown_function", "The configuration maps no such function");
  }
  if (body.size() > kMostBody) return error("job_too_large", "A job holds 64 KiB at most");
  if (body_bytes_ + body.size() > kMostHeldBytes) return error("queue_full", "Try again later");
  const auto [cls, tenant] = mapped->second;
  const bool background =
      type == Type::kSubmitJobBg || type == Type::kSubmitJobHighBg || type == Type::kSubmitJobLowBg;
  const double now = forwarder_->loop()->Now();
  // '-' asks that the work itself be the key.
  const Unique key{function, unique == "-" ? body : unique};
  if (!key.second.empty()) {
    // A repeat of what is under way, or of a charge just made, is the same job.
    const auto same = uniques_.find(key);
    if (same != uniques_.end()) {
      const std::shared_ptr<Job> job = same->second;
      if (!background) job->waiting.push_back(peer);
      return peer->Say(Response(Type::kJobCreated, {job->handle}));
    }
    MakeRoom();
    const auto ended = finished_.find(key);
    if (ended != finished_.end()) {
      const Finished& f = ended->second;
      peer->Say(Response(Type::kJobCreated, {f.handle}));
      if (background) return;
      for (const auto& [kind, part] : f.parts) peer->Say(Response(kind, {f.handle, part}));
      return peer->Say(Response(Type::kWorkComplete, {f.handle, f.result}));
    }
  }
  auto job = std::make_shared<Job>();
  job->handle = "H:" + config_.name + ":" + std::to_string(++sequence_);
  job->function = function;
  job->unique = key.second;
  job->background = background;
  job->priority = type == Type::kSubmitJobHigh || type == Type::kSubmitJobHighBg ? 0
                  : type == Type::kSubmitJobLow || type == Type::kSubmitJobLowBg ? 2
                                                                                 : 1;
  Held held;
  held.envelope.cls = cls;
  held.envelope.tenant = tenant;
  held.envelope.wire_id = job->handle;
  held.envelope.body = body;
  held.envelope.expires_at =
      now + config_.settings.classes[static_cast<std::size_t>(cls)].give_up_s;
  // An HTTP next hop may get it too: its key must be a plain word there.
  char hashed[40];
  std::snprintf(hashed, sizeof hashed, "%016zx%016zx", std::hash<std::string>()(key.second),
                std::hash<std::string>()(key.first + '\n' + key.second));
  if (!key.second.empty()) held.envelope.key = hashed;
  if (key.second.empty() && Keyed(cls)) held.envelope.key = job->handle;
  held.target = config_.gearman_path;
  held.pass_on = "Request-Class: " + config_.classes[static_cast<std::size_t>(cls)] + "\r\n";
  if (!config_.tenants.empty()) {
    held.pass_on += "Tenant: " + config_.tenants[static_cast<std::size_t>(tenant)] + "\r\n";
  }
  if (!background) job->waiting.push_back(peer);
  job->envelope = stopping_ && !listener_.open() ? 0 : forwarder_->Take(std::move(held), this);
  if (job->envelope == 0) {
    peer->Say(Response(Type::kJobCreated, {job->handle}));
    if (background) return;
    if (peer->exceptions()) {
      peer->Say(Response(Type::kWorkException, {job->handle, "deferred: not taking jobs"}));
    }
    return peer->Say(Response(Type::kWorkFail, {job->handle}));
  }
  body_bytes_ += body.size();
  jobs_[job->envelope] = job;
  handles_[job->handle] = job;
  if (!job->unique.empty()) uniques_[key] = job;
  // Only now: a peer that takes no more bytes is closed here, and must find its job to leave it.
  peer->Say(Response(Type::kJobCreated, {job->handle}));
}

// The client has gone. A job that nobody waits for any more is called off, unless it is a charge
// that a worker has already begun: no word stops a Gearman worker, so the charge will be made, and
// the client that comes back with the same unique id must find it rather than start another.
void Front::Detach(Peer* peer) {
  std::vector<std::shared_ptr<Job>> alone;
  for (const auto& [id, job] : jobs_) {
    if (std::erase(job->waiting, peer) > 0 && job->waiting.empty() && !job->background) {
      alone.push_back(job);
    }
  }
  for (const auto& job : alone) {
    const Held* held = forwarder_->Find(job->envelope);
    if (held != nullptr && job->running && !job->unique.empty() && Keyed(held->envelope.cls)) {
      job->background = true;
      continue;
    }
    const EnvelopeId id = job->envelope;
    Forget(job);
    forwarder_->Gone(id);
  }
}

void Front::Forget(const std::shared_ptr<Job>& job) {
  if (const Held* held = forwarder_->Find(job->envelope)) {
    body_bytes_ -= std::min(body_bytes_, held->envelope.body.size());
  }
  jobs_.erase(job->envelope);
  handles_.erase(job->handle);
  const auto it = uniques_.find({job->function, job->unique});
  if (it != uniques_.end() && it->second == job) uniques_.erase(it);
}

void Front::Tell(const Job& job, const std::string& packet) {
  for (Peer* peer : std::vector<Peer*>(job.waiting)) peer->Say(packet);
}

void Front::Began(EnvelopeId id) {
  if (const auto job = FindEnvelope(id)) job->running = true;
}

void Front::Answer(const Held& held, const FinalAnswer& answer, const std::string& result) {
  const auto job = FindEnvelope(held.envelope.id);
  if (job == nullptr) return;
  Forget(job);
  const char* how = "failed";
  if (answer.kind == FinalAnswer::Kind::kServed) {
    how = "served";
    auto parts = std::move(parts_[{held.envelope.id, answer.attempt}]);
    parts_.erase({held.envelope.id, answer.attempt});
    for (const auto& [kind, part] : parts) Tell(*job, Response(kind, {job->handle, part}));
    Tell(*job, Response(Type::kWorkComplete, {job->handle, result}));
    const auto& c = config_.settings.classes[static_cast<std::size_t>(held.envelope.cls)];
    if (Keyed(held.envelope.cls) && !job->unique.empty() && c.window_s > 0) {
      MakeRoom();
      finished_[{job->function, job->unique}] = {job->handle, result, std::move(parts),
                                                 forwarder_->loop()->Now() + c.window_s};
    }
  } else {
    std::string exception = job->exception.empty() ? "failed" : job->exception;
    if (answer.kind == FinalAnswer::Kind::kDeferred) {
      how = "deferred";
      char text[64];
      std::snprintf(text, sizeof text, "deferred: retry after %.3f s", answer.retry_after_s);
      exception = text;
    }
    for (Peer* peer : std::vector<Peer*>(job->waiting)) {
      if (peer->exceptions()) peer->Say(Response(Type::kWorkException, {job->handle, exception}));
      peer->Say(Response(Type::kWorkFail, {job->handle}));
    }
  }
  if (job->background) LogLine(Level::kInfo) << "background job " << job->handle << ' ' << how;
}

// The function under which `worker` is given an envelope; empty if it can't do it.
std::string Front::FunctionFor(const Held& held, const Peer& worker) const {
  if (const auto job = FindEnvelope(held.envelope.id)) {
    return worker.abilities().contains(job->function) ? job->function : "";
  }
  std::string other;
  for (const auto& [name, f] : config_.gearman_functions) {
    if (f.cls != held.envelope.cls || !worker.abilities().contains(name)) continue;
    if (f.tenant == held.envelope.tenant) return name;
    if (other.empty()) other = name;
  }
  return other;
}

void Front::Send(const Held& held, int attempt, const std::string& next_hop) {
  const auto it = workers_.find(next_hop);
  const Envelope& e = held.envelope;
  if (it == workers_.end() || it->second->closed()) {
    return forwarder_->AttemptEnded(e.id, attempt, {.verdict = Verdict::kNoConnection});
  }
  Peer* worker = it->second;
  const std::string function = FunctionFor(held, *worker);
  if (function.empty()) {
    return forwarder_->AttemptEnded(e.id, attempt, {.verdict = Verdict::kNotSent});
  }
  if (worker->tasks() >= kMostTasks || worker->drains()) {
    return forwarder_->AttemptEnded(e.id, attempt, {.verdict = Verdict::kTurnedAway});
  }
  const auto job = FindEnvelope(e.id);
  Task task;
  task.envelope = e.id;
  task.attempt = attempt;
  task.priority = job ? job->priority : 1;
  // A handle names one attempt: a worker that had an earlier one can't answer for a later one.
  task.handle = (job ? job->handle : "H:" + config_.name + ":e" + std::to_string(e.id)) +
                (attempt > 0 ? "." + std::to_string(attempt) : "");
  task.function = function;
  task.unique = job ? job->unique : e.key;
  task.body = e.body;
  task.sent_at = forwarder_->loop()->Now();
  worker->Enqueue(std::move(task));
}

void Front::Cancel(EnvelopeId id, int attempt) {
  for (const auto& [name, worker] : workers_) worker->Cancel(id, attempt);
}

// A worker of ours need not be asked: what it holds is known here.
void Front::Probe(const std::string& next_hop) {
  Outcome outcome;
  const auto it = workers_.find(next_hop);
  if (it == workers_.end() || it->second->closed()) {
    outcome.verdict = Verdict::kNoConnection;
  } else {
    const auto& columns = config_.settings.report_columns;
    const std::size_t running = it->second->assigned(), queued = it->second->queue().size();
    outcome.has_report = true;
    for (std::size_t i = 0; i < columns.size() && i < 4; ++i) {
      outcome.report[i] = columns[i] == Column::kFreeSlots    ? running + queued > 0 ? 0 : 1
                          : columns[i] == Column::kFreeMemory ? 1e6
                          : columns[i] == Column::kBusy       ? running > 0
                          : columns[i] == Column::kQueued     ? static_cast<double>(queued)
                          : columns[i] == Column::kHeld ? static_cast<double>(running + queued)
                                                        : 0;
    }
  }
  forwarder_->ProbeEnded(next_hop, outcome);
}

void Front::AdminLine(Peer* peer, const std::string& line) {
  std::vector<std::string> words;
  for (std::size_t at = 0; at < line.size();) {
    const std::size_t end = std::min(line.find(' ', at), line.size());
    if (end > at) words.push_back(line.substr(at, end - at));
    at = end + 1;
  }
  const std::string command = words.empty() ? "" : words[0];
  std::string out;
  if (command == "version") {
    out = "OK millethollow " + std::string(kVersion) + "\n";
  } else if (command == "status") {
    for (const auto& [name, function] : config_.gearman_functions) {
      std::size_t total = 0, running = 0, able = 0;
      for (const auto& [id, job] : jobs_) {
        total += job->function == name;
        running += job->function == name && job->running;
      }
      for (const auto& [id, worker] : workers_) able += worker->abilities().contains(name);
      out += name + "\t" + std::to_string(total) + "\t" + std::to_string(running) + "\t" +
             std::to_string(able) + "\n";
    }
    out += ".\n";
  } else if (command == "workers") {
    for (const auto& [raw, p] : peers_) {
      if (p->closed()) continue;
      const std::string address = p->PeerAddress();
      out += std::to_string(p->descriptor()) + " " + address.substr(0, address.find(':')) + " " +
             p->client_id() + " :";
      for (const auto& [function, limit] : p->abilities()) out += " " + SpaceFree(function);
      out += p->drains() ? " (draining)\n" : "\n";
    }
    out += ".\n";
  } else if (command == "drain" && words.size() == 2) {
    std::size_t drained = 0;
    for (const auto& [name, worker] : std::map<std::string, Peer*>(workers_)) {
      if (std::to_string(worker->descriptor()) != words[1] && worker->client_id() != words[1]) {
        continue;
      }
      worker->Drain();
      ++drained;
    }
    out = drained > 0 ? "OK\n" : "ERR unknown_worker No+such+worker\n";
  } else {
    counters_->bad_input += 1;
    out = "ERR unknown_command Unknown+server+command\n";
  }
  peer->Say(out);
}

}  // namespace millethollow::gearman
