// A connection of the Gearman front. It may be a client, a worker, an administrator, or all of
// them.
#ifndef MILLETHOLLOW_NET_GEARMAN_PEER_H_
#define MILLETHOLLOW_NET_GEARMAN_PEER_H_

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "net/connection.h"
#include "net/gearman/front.h"

namespace millethollow::gearman {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;             // of a job, as on the other front
constexpr std::size_t kMaxDataBytes = kMaxBodyBytes + 4096;  // of a packet
constexpr std::size_t kMaxPartsBytes = 256 * 1024;           // of a job's data sent ahead
constexpr std::size_t kMaxUnsentBytes = 2 * 1024 * 1024;     // to a peer that does not read
constexpr std::size_t kMaxNameBytes = 256;

inline std::string Response(Type type, std::initializer_list<std::string_view> arguments) {
  return Packet(Message::Form::kResponse, type, arguments);
}

inline std::string SpaceFree(std::string text) {  // admin lines are split at spaces and tabs
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c <= ' ' || c == 0x7f; }, '_');
  return text;
}

class Peer final : public Connection {
 public:
  Peer(Front* front, Loop* loop, evutil_socket_t fd, std::string name, int slot, int cell)
      : Connection(loop, "gearman"),
        front_(front),
        name_(std::move(name)),
        slot_(slot),
        cell_(cell) {
    Adopt(fd);
    Limit(kClientReadTimeoutS, "silent");
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

  void Send(const std::string& packet) {
    if (closed()) return;
    Write(packet);
    if (Unsent() > kMaxUnsentBytes) Finish("reads-too-slowly");
  }

  void Enqueue(Task task) {
    // A worker takes what waits at it by the submitters' priority, else in order.
    auto at = std::find_if(queue_.begin(), queue_.end(),
                           [&](const Task& t) { return t.priority > task.priority; });
    queue_.insert(at, std::move(task));
    if (sleeping_) {
      sleeping_ = false;
      Send(Response(Type::kNoop, {}));
    }
  }

  // True if the task only waited here and was never sent.
  // False if the worker has it, or never had.
  bool CancelUnsent(RequestId request, int attempt) {
    return std::erase_if(queue_, [&](const Task& t) {
             return t.request == request && t.attempt == attempt;
           }) > 0;
  }
  void Cancel(RequestId request, int attempt) {
    if (CancelUnsent(request, attempt)) return;
    const auto same = [&](const Task& t) { return t.request == request && t.attempt == attempt; };
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
    ReturnQueue(AttemptStatus::kRejected);
  }

  void Finish(const char* reason) {
    if (closed()) return;
    const bool assign_unsent = assign_unsent_ && !Drained();
    loop_->deadlines().Drop(&limit_);
    Close(reason);
    ReturnQueue(AttemptStatus::kConnectFailed);
    // JOB_ASSIGN is the send. If its last byte went out, the job may have run.
    for (auto& [handle, task] : std::exchange(assigned_, {})) {
      Deadlines::Ticket limit = task.limit;
      loop_->deadlines().Drop(&limit);
      if (task.orphan) continue;
      const bool never = assign_unsent && handle == last_assigned_;
      End(task, never ? AttemptStatus::kConnectFailed : AttemptStatus::kConnectionLost);
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
    if (messages_ > before || (limit_ == Deadlines::kNone))
      Limit(kClientReadTimeoutS, "half-a-packet");
  }

  void Read() {
    while (!closed() && parser_.error() == nullptr) {
      const std::string bytes = Peek(16 * 1024);
      if (bytes.empty()) return;
      Consume(parser_.Feed(bytes));
      if (const auto message = parser_.Take()) {
        messages_ += 1;
        if (message->form == Message::Form::kLine) {
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
    Send(Response(Type::kError, {code, text}));
  }

  bool Handle(const Message& m) {
    if (m.form != Message::Form::kRequest) return false;
    const std::string_view data = m.data;
    switch (m.type) {
      case Type::kSubmitJob:
      case Type::kSubmitJobBg:
      case Type::kSubmitJobHigh:
      case Type::kSubmitJobHighBg:
      case Type::kSubmitJobLow:
      case Type::kSubmitJobLowBg: {
        const auto a = Arguments(data, 3);
        if (!a || (*a)[0].empty() || (*a)[0].size() > kMaxNameBytes ||
            (*a)[1].size() > kMaxNameBytes) {
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
          Send(Response(Type::kOptionRes, {data}));
        }
        return true;
      case Type::kEchoReq:
        Send(Response(Type::kEchoRes, {data}));
        return true;
      case Type::kSetClientId:
        if (data.empty() || data.size() > kMaxNameBytes) return false;
        client_id_ = SpaceFree(std::string(data));
        return true;
      case Type::kCanDo:
        if (data.empty() || data.size() > kMaxNameBytes) return false;
        return CanDo(data, 0);
      case Type::kCanDoTimeout: {
        const auto a = Arguments(data, 2, true);
        int seconds = 0;
        if (!a || (*a)[0].empty() || (*a)[0].size() > kMaxNameBytes) return false;
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
        if (!sleeping_) Send(Response(Type::kNoop, {}));
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
      Send(Response(Type::kStatusResUnique, {data, known, runs, num, den, count}));
    } else {
      Send(Response(Type::kStatusRes, {data, known, runs, num, den}));
    }
    return true;
  }

  bool CanDo(std::string_view function, int timeout_s) {
    abilities_[std::string(function)] = timeout_s;
    front_->SetReady(this);
    return true;
  }

  void Grab(Type how) {
    if (queue_.empty()) return Send(Response(Type::kNoJob, {}));
    Task task = std::move(queue_.front());
    queue_.pop_front();
    // Another process may act for what it was promised to by now: this one does not know, or not
    // yet.
    if (!task.promise.empty() && !front_->promises_->MayAct(task.promise)) {
      Send(Response(Type::kNoJob, {}));
      return End(task, AttemptStatus::kNotSent);
    }
    const std::string handle = task.handle;
    assign_unsent_ = true;
    last_assigned_ = handle;
    if (how == Type::kGrabJobUniq) {
      Send(Response(Type::kJobAssignUniq, {handle, task.function, task.unique, task.body}));
    } else {
      Send(Response(Type::kJobAssign, {handle, task.function, task.body}));
    }
    if (closed()) {  // it could not take any more bytes: this one was never sent
      return front_->forwarder_->OnAttemptEnded(task.request, task.attempt,
                                                {.status = AttemptStatus::kConnectFailed});
    }
    const auto ability = abilities_.find(task.function);
    if (ability != abilities_.end() && ability->second > 0) {
      task.limit = loop_->deadlines().At(loop_->Now() + ability->second, [this, handle] {
        const auto it = assigned_.find(handle);
        if (it == assigned_.end()) return;
        it->second.limit = Deadlines::kNone;
        if (it->second.orphan) return;
        it->second.orphan = true;  // the worker may still be at it
        End(it->second, AttemptStatus::kNoResponse);
      });
    }
    const RequestId request = task.request;
    const int attempt = task.attempt;
    task.body.clear();
    assigned_.emplace(handle, std::move(task));
    front_->forwarder_->OnAttemptStarted(request, attempt);
  }

  bool Progress(std::string_view handle, std::string_view num, std::string_view den) {
    const auto it = assigned_.find(handle);
    if (it == assigned_.end()) return Stray();
    const auto job = front_->FindRequest(it->second.request);
    if (it->second.orphan || job == nullptr) return true;
    job->numerator = num.substr(0, kMaxNameBytes);
    job->denominator = den.substr(0, kMaxNameBytes);
    front_->Tell(*job,
                 Response(Type::kWorkStatus, {job->handle, job->numerator, job->denominator}));
    return true;
  }

  bool Work(Type type, std::string_view handle, std::string_view data) {
    const auto it = assigned_.find(handle);
    if (it == assigned_.end()) return Stray();
    Task& task = it->second;
    const auto job = task.orphan ? nullptr : front_->FindRequest(task.request);
    if (type == Type::kWorkData || type == Type::kWorkWarning) {
      // Held until the job is done: an attempt that fails after some data may be made again, and
      // the client must not receive the data of both.
      task.part_bytes += task.orphan ? 0 : data.size();
      if (task.part_bytes > kMaxPartsBytes) {
        task.orphan = true;
        task.parts.clear();
        End(task, AttemptStatus::kServerError);
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
    if (type == Type::kWorkFail) return End(done, AttemptStatus::kServerError), true;
    std::string result;
    if (job) {
      front_->parts_[{done.request, done.attempt}] = std::move(done.parts);
      result = data;
    } else {  // for the other front the whole is one body
      for (const auto& [kind, part] : done.parts) {
        if (kind == Type::kWorkData) result += part;
      }
      result += data;
    }
    front_->forwarder_->OnAttemptEnded(
        done.request, done.attempt,
        {.status = AttemptStatus::kSucceeded, .latency_s = loop_->Now() - done.sent_at},
        std::move(result));
    front_->parts_.erase({done.request, done.attempt});
    return true;
  }

  bool Stray() {
    Error("unknown_job", "No such job is assigned to this worker");
    return true;
  }

  void End(const Task& task, AttemptStatus verdict) {
    front_->forwarder_->OnAttemptEnded(
        task.request, task.attempt, {.status = verdict, .latency_s = loop_->Now() - task.sent_at});
  }

  void ReturnQueue(AttemptStatus verdict) {
    for (const Task& task : std::exchange(queue_, {})) End(task, verdict);
  }

  void ReturnUnable() {
    std::vector<Task> unable;
    std::erase_if(queue_, [&](const Task& t) {
      if (abilities_.contains(t.function)) return false;
      unable.push_back(t);
      return true;
    });
    for (const Task& task : unable) End(task, AttemptStatus::kRejected);
  }

  Front* front_;
  std::string name_, client_id_ = "-", last_assigned_;
  int slot_, cell_;
  Parser parser_{kMaxDataBytes};
  std::map<std::string, int> abilities_;  // function and time limit in seconds, 0 for none
  std::deque<Task> queue_;
  std::map<std::string, Task, std::less<>> assigned_;
  std::size_t messages_ = 0;  // whole ones that have come
  Deadlines::Ticket limit_ = Deadlines::kNone;
  bool exceptions_ = false, sleeping_ = false, draining_ = false, assign_unsent_ = false;
};

}  // namespace millethollow::gearman

#endif  // MILLETHOLLOW_NET_GEARMAN_PEER_H_
