// A connection of the Gearman front. It may act as a client, a worker, an administrator, or all of
// them. Runs on the front's loop; the front owns it.
#ifndef MILLETHOLLOW_NET_GEARMAN_PEER_H_
#define MILLETHOLLOW_NET_GEARMAN_PEER_H_

#include <algorithm>
#include <charconv>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "logging/request_log.h"
#include "net/connection.h"
#include "net/gearman/front.h"

namespace millethollow::gearman {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;             // of a job, as on the HTTP front
constexpr std::size_t kMaxDataBytes = kMaxBodyBytes + 4096;  // of a packet
constexpr std::size_t kMaxPartialBytes = 256 * 1024;  // of a job's WORK_DATA and WORK_WARNING
constexpr std::size_t kMaxPartialBytesInAll = 32 * 1024 * 1024;  // of all jobs
constexpr std::size_t kPartOverheadBytes =
    64;  // of one WORK_DATA or WORK_WARNING, besides its data
// A peer with more unsent bytes does not read, and is closed.
constexpr std::size_t kMaxUnsentBytes = 2 * 1024 * 1024;
// No further message of a peer is handled while it has more unsent bytes.
constexpr std::size_t kUnsentBytesBeforeReading = 128 * 1024;
constexpr std::size_t kMaxNameBytes = 256;           // of functions, unique and client ids
constexpr std::size_t kMaxAbilityBytes = 32 * 1024;  // of the functions of one connection
constexpr std::size_t kAbilityOverheadBytes = 64;    // of one function, besides its name
constexpr std::size_t kMaxWaits = 4096;  // submissions of one connection that wait for a result
// After so many seconds with the messages of one connection, others get their turn.
constexpr double kMaxReadTurnS = 0.001;

// Encodes a packet to a client or a worker.
inline std::string Response(Type type, std::initializer_list<std::string_view> arguments) {
  return EncodePacket(Message::Form::kResponse, type, arguments);
}

// Replaces whitespace and control characters, at which clients split the text protocol's lines.
inline std::string ReplaceWhitespace(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return c <= ' ' || c == 0x7f; }, '_');
  return text;
}

// As a worker: the planner's attempts wait in a queue until the worker sends GRAB_JOB. A sleeping
// worker (PRE_SLEEP) is woken by NOOP.
class Peer final : public Connection {
 public:
  Peer(Front* front, Loop* loop, evutil_socket_t fd, std::string name, int name_number, int cell)
      : Connection(loop, "gearman"),
        front_(front),
        name_(std::move(name)),
        name_number_(name_number),
        cell_(cell) {
    Adopt(fd);
    SetDeadline(kClientReadTimeoutS, "silent");
  }
  ~Peer() override {
    loop_->deadlines().Drop(&deadline_);
    for (auto& [handle, task] : assigned_) DropTimers(&task);
    for (Task& task : queue_) DropTimers(&task);
  }

  // The name by which the planner knows it as a worker.
  const std::string& name() const { return name_; }
  // The number in the name, unique among open connections.
  int name_number() const { return name_number_; }
  // Unique to this connection, unlike the name.
  int cell() const { return cell_; }
  // From SET_CLIENT_ID; "-" if none.
  const std::string& client_id() const { return client_id_; }
  // No complete message has arrived.
  bool silent() const { return messages_ == 0; }
  // Functions registered by CAN_DO, and their time limits in seconds.
  const std::map<std::string, int>& abilities() const { return abilities_; }
  // The client has asked for WORK_EXCEPTION packets.
  bool wants_exceptions() const { return wants_exceptions_; }
  // Takes no new attempts, because of the administrative command `drain`.
  bool draining() const { return draining_; }
  // Number of assigned attempts.
  std::size_t assigned_count() const { return assigned_.size(); }
  // Queued and assigned attempts.
  std::size_t tasks() const { return assigned_.size() + queue_.size(); }
  // Attempts that wait for GRAB_JOB.
  const std::deque<Task>& queue() const { return queue_; }
  // Assigned attempts, by handle.
  const std::map<std::string, Task, std::less<>>& assigned() const { return assigned_; }

  // Submissions that wait for a result.
  std::size_t waits() const { return waits_; }
  // A further submission waits for the job of this request.
  void AddWait(RequestId request) {
    awaited_jobs_.insert(request);
    ++waits_;
  }
  void RemoveWaits(RequestId request, std::size_t submissions) {
    if (awaited_jobs_.erase(request) > 0) waits_ -= submissions;
  }
  // The requests of the jobs that it waits for; from now on it waits for none.
  std::set<RequestId> TakeAwaitedJobs() {
    waits_ = 0;
    return std::exchange(awaited_jobs_, {});
  }

  // Writes a packet. Closes the connection if too much is unsent.
  void Send(const std::string& packet) {
    if (closed() || client_gone_) return;
    Write(packet);
    if (Unsent() > kMaxUnsentBytes) return Finish("reads-too-slowly");
    if (Unsent() > kUnsentBytesBeforeReading) front_->LimitUnsentBytes();
  }

  // Queues an attempt by priority, then in order of arrival, and wakes a sleeping worker.
  void Enqueue(Task task) {
    auto position = std::find_if(queue_.begin(), queue_.end(), [&](const Task& queued) {
      return queued.priority > task.priority;
    });
    SetDeliveryTimer(&task, task.AssignBy());
    queue_.insert(position, std::move(task));
    if (sleeping_) {
      sleeping_ = false;
      Send(Response(Type::kNoop, {}));
    }
  }

  // Removes a queued attempt. False if there is none, for instance since it is assigned.
  bool CancelUnsent(RequestId request, int attempt) {
    return std::erase_if(queue_, [&](Task& task) {
             if (task.request != request || task.attempt != attempt) return false;
             DropTimers(&task);
             return true;
           }) > 0;
  }
  // Cancels an attempt and reports no outcome for it.
  void Cancel(RequestId request, int attempt) {
    if (CancelUnsent(request, attempt)) return;
    Task* task = FindAssigned(request, attempt);
    if (task == nullptr) return;
    // Gearman has no packet to cancel a job: the worker goes on, and is busy until it reports.
    task->abandoned = true;
    WithdrawAssignment(*task);
  }
  // Closes the connection if the worker does not have the whole assignment of this task.
  void WithdrawAssignment(const Task& task) {
    if (task.handle == last_assigned_ && HasUnsentBytes()) Finish("called-off");
  }
  // Lowers the time by which the worker must have the attempt.
  void LimitDelivery(RequestId request, int attempt, double last_byte_by) {
    const auto lower = [&](Task* task) {
      if (task->request != request || task->attempt != attempt) return;
      task->limit.last_byte_by = std::min(task->limit.last_byte_by, last_byte_by);
      SetDeliveryTimer(task, task->limit.last_byte_by);
    };
    for (Task& task : queue_) lower(&task);
    for (auto& [handle, task] : assigned_) lower(&task);
  }
  // The assigned task of this attempt, or null.
  Task* FindAssigned(RequestId request, int attempt) {
    for (auto& [handle, task] : assigned_) {
      if (task.request == request && task.attempt == attempt) return &task;
    }
    return nullptr;
  }

  // Stops new assignments, and returns queued attempts so that they are placed elsewhere.
  void Drain() {
    if (!draining_) {
      draining_ = true;
      front_->UpdateWorker(this);
    }
    ReturnQueue(AttemptStatus::kRejected);
  }

  // Closes the connection and reports the outcome of each of its attempts.
  void Finish(const char* reason) {
    if (closed()) return;
    const bool assign_unsent = assign_unsent_ && !Drained();
    loop_->deadlines().Drop(&deadline_);
    if (!assigned_.empty() && !Delivered()) {
      Abort(reason);
    } else {
      Close(reason);
    }
    ReturnQueue(AttemptStatus::kConnectFailed);
    // An attempt is sent by JOB_ASSIGN. If the packet's last byte went out, the job may have run.
    for (auto& [handle, task] : std::exchange(assigned_, {})) {
      DropTimers(&task);
      front_->partial_bytes_ -= task.partial_bytes;
      if (task.abandoned) continue;
      const bool unsent = assign_unsent && handle == last_assigned_;
      ReportEnd(task, unsent ? AttemptStatus::kConnectFailed : AttemptStatus::kConnectionLost);
    }
    abilities_.clear();
    front_->Remove(this);
  }

 private:
  // Closes the connection after `after_s` seconds. The first packet, and the rest of a partial one,
  // have a deadline as on the HTTP front; an idle peer that has sent a message has none.
  void SetDeadline(double after_s, const char* reason) {
    loop_->deadlines().Drop(&deadline_);
    deadline_ = loop_->deadlines().At(loop_->Now() + after_s, [this, reason] {
      deadline_ = Deadlines::kNone;
      Finish(reason);
    });
  }

  void OnRead() override {
    const std::size_t before = messages_;
    // The end of the stream is not reported before the input in front of it is read, which the
    // kernel may still hold.
    if (PeerHasClosed()) client_gone_ = true;
    more_to_read_ = false;
    ReadMessages();
    if (closed()) return;
    if (more_to_read_) return loop_->deadlines().Drop(&deadline_);
    if (end_reason_ != nullptr && Available() == 0) return Finish(end_reason_);
    if (Available() > 0) return SetDeadline(kClientWriteTimeoutS, "reads-too-slowly");
    if (parser_.idle()) return loop_->deadlines().Drop(&deadline_);
    // A partial message remains. Only a complete message extends the deadline, not single bytes.
    if (messages_ > before || (deadline_ == Deadlines::kNone))
      SetDeadline(kClientReadTimeoutS, "half-a-packet");
  }

  // Handles messages until the input is used up, others are to get their turn, or the peer has too
  // many bytes to read first.
  void ReadMessages() {
    constexpr std::size_t kPeekBytes = 4 * 1024;
    const double turn_ends_at = loop_->Now() + kMaxReadTurnS;
    while (!closed() && parser_.error() == nullptr) {
      if (Available() == 0) return;
      if (!client_gone_ && Unsent() > kUnsentBytesBeforeReading) return;
      if (loop_->Now() >= turn_ends_at) {
        more_to_read_ = true;
        return ReadLater();
      }
      Consume(parser_.Feed(Peek(kPeekBytes)));
      if (const auto message = parser_.Take()) HandleMessage(*message);
    }
    if (closed()) return;
    front_->counters_->bad_input += 1;
    SendError(parser_.error(), "This stream cannot be read any further");
    Finish("bad-packet");
  }

  void HandleMessage(const Message& message) {
    messages_ += 1;
    if (message.form == Message::Form::kLine) {
      front_->HandleAdminLine(this, message.data);
    } else if (!HandlePacket(message)) {
      front_->counters_->bad_input += 1;
      SendError("bad_packet", "Unknown or malformed packet");
    }
  }

  void OnDrained() override {
    assign_unsent_ = false;
    if (Available() > 0 && !more_to_read_) OnRead();
  }
  // What arrived before the end is handled first: background jobs and workers' results.
  void OnEnd(const char* reason) override {
    if (Available() == 0 || parser_.error() != nullptr) return Finish(reason);
    end_reason_ = reason;
    OnPeerClosedWhilePaused();
  }
  void OnPeerClosedWhilePaused() override {
    client_gone_ = true;
    if (!more_to_read_) OnRead();
  }

  void SendError(std::string_view code, std::string_view text) {
    Send(Response(Type::kError, {code, text}));
  }

  // Handles a packet. False if it is unknown or malformed.
  bool HandlePacket(const Message& message) {
    if (message.form != Message::Form::kRequest) return false;
    const std::string_view data = message.data;
    switch (message.type) {
      case Type::kSubmitJob:
      case Type::kSubmitJobBg:
      case Type::kSubmitJobHigh:
      case Type::kSubmitJobHighBg:
      case Type::kSubmitJobLow:
      case Type::kSubmitJobLowBg: {
        const auto arguments = SplitArguments(data, 3);
        if (!arguments || (*arguments)[0].empty() || (*arguments)[0].size() > kMaxNameBytes ||
            (*arguments)[1].size() > kMaxNameBytes) {
          return false;
        }
        if (client_gone_ && !IsBackground(message.type)) return true;
        front_->Submit(this, message.type, (*arguments)[0], (*arguments)[1], (*arguments)[2]);
        return true;
      }
      case Type::kGetStatus:
      case Type::kGetStatusUnique:
        return SendStatus(message.type, data);
      case Type::kOptionReq:
        if (data != "exceptions") {
          SendError("unknown_option", "Only 'exceptions' is known");
        } else {
          wants_exceptions_ = true;
          Send(Response(Type::kOptionRes, {data}));
        }
        return true;
      case Type::kEchoReq:
        Send(Response(Type::kEchoRes, {data}));
        return true;
      case Type::kSetClientId:
        if (data.empty() || data.size() > kMaxNameBytes) return false;
        client_id_ = ReplaceWhitespace(std::string(data));
        return true;
      case Type::kCanDo:
        if (data.empty() || data.size() > kMaxNameBytes) return false;
        return AddAbility(data, 0);
      case Type::kCanDoTimeout: {
        const auto arguments = SplitArguments(data, 2, true);
        int seconds = 0;
        if (!arguments || (*arguments)[0].empty() || (*arguments)[0].size() > kMaxNameBytes)
          return false;
        const char* end = (*arguments)[1].data() + (*arguments)[1].size();
        if (std::from_chars((*arguments)[1].data(), end, seconds).ptr != end || seconds < 0)
          return false;
        return AddAbility((*arguments)[0], seconds);
      }
      case Type::kCantDo:
        if (data.empty()) return false;
        RemoveAbility(std::string(data));
        ReturnUnsupported();
        front_->UpdateWorker(this);
        return true;
      case Type::kResetAbilities:
        abilities_.clear();
        ability_bytes_ = 0;
        ReturnUnsupported();
        front_->UpdateWorker(this);
        return true;
      case Type::kPreSleep:
        sleeping_ = queue_.empty();
        if (!sleeping_) Send(Response(Type::kNoop, {}));
        return true;
      case Type::kGrabJob:
      case Type::kGrabJobUniq:
        return HandleGrabJob(message.type), true;
      case Type::kAllYours:
        return true;
      case Type::kWorkStatus: {
        const auto arguments = SplitArguments(data, 3, true);
        return arguments && HandleProgress((*arguments)[0], (*arguments)[1], (*arguments)[2]);
      }
      case Type::kWorkData:
      case Type::kWorkWarning:
      case Type::kWorkException:
      case Type::kWorkComplete: {
        const auto arguments = SplitArguments(data, 2);
        return arguments && HandleWork(message.type, (*arguments)[0], (*arguments)[1]);
      }
      case Type::kWorkFail: {
        const auto arguments = SplitArguments(data, 1, true);
        return arguments && HandleWork(message.type, (*arguments)[0], {});
      }
      default:
        return false;
    }
  }

  // Answers GET_STATUS and GET_STATUS_UNIQUE.
  bool SendStatus(Type type, std::string_view data) {
    const bool by_unique = type == Type::kGetStatusUnique;
    const std::shared_ptr<Job> job =
        by_unique ? front_->FindByUnique(data) : front_->FindByHandle(data);
    const std::string_view known = job ? "1" : "0", running = job && job->running ? "1" : "0";
    const std::string_view numerator = job ? std::string_view(job->numerator) : "0";
    const std::string_view denominator = job ? std::string_view(job->denominator) : "0";
    if (by_unique) {
      std::size_t submissions = 0;
      if (job) {
        for (const auto& [peer, count] : job->waiters) submissions += count;
      }
      const std::string count = std::to_string(submissions);
      Send(Response(Type::kStatusResUnique, {data, known, running, numerator, denominator, count}));
    } else {
      Send(Response(Type::kStatusRes, {data, known, running, numerator, denominator}));
    }
    return true;
  }

  // Handles CAN_DO and CAN_DO_TIMEOUT.
  bool AddAbility(std::string_view function, int timeout_s) {
    const auto known = abilities_.find(std::string(function));
    if (known != abilities_.end()) {
      known->second = timeout_s;
      return true;
    }
    const std::size_t bytes = function.size() + kAbilityOverheadBytes;
    if (ability_bytes_ + bytes > kMaxAbilityBytes) {
      front_->counters_->bad_input += 1;
      SendError("too_many_functions", "This connection has registered too many functions");
      return true;
    }
    ability_bytes_ += bytes;
    abilities_.emplace(function, timeout_s);
    front_->UpdateWorker(this);
    return true;
  }
  void RemoveAbility(const std::string& function) {
    if (abilities_.erase(function) > 0) ability_bytes_ -= function.size() + kAbilityOverheadBytes;
  }

  void DropTimers(Task* task) {
    loop_->deadlines().Drop(&task->limit_timer);
    loop_->deadlines().Drop(&task->delivery_timer);
  }
  // Ends the attempt at this time if the worker does not have it by then.
  void SetDeliveryTimer(Task* task, double at) {
    loop_->deadlines().Drop(&task->delivery_timer);
    if (at >= DeliveryLimit::kUnlimited) return;
    task->delivery_timer =
        loop_->deadlines().At(at, [this, request = task->request, attempt = task->attempt] {
          EndUndelivered(request, attempt);
        });
  }
  void EndUndelivered(RequestId request, int attempt) {
    if (CancelUnsent(request, attempt)) {
      return front_->forwarder_->OnAttemptEnded(request, attempt,
                                                {.status = AttemptStatus::kNotSent});
    }
    const Task* task = FindAssigned(request, attempt);
    if (task != nullptr && task->handle == last_assigned_ && !Delivered()) Finish("too-late");
  }

  // Handles GRAB_JOB and GRAB_JOB_UNIQ.
  void HandleGrabJob(Type request_type) {
    if (queue_.empty()) return Send(Response(Type::kNoJob, {}));
    Task task = std::move(queue_.front());
    queue_.pop_front();
    DropTimers(&task);
    if (loop_->Now() > task.AssignBy()) {
      Send(Response(Type::kNoJob, {}));
      return ReportEnd(task, AttemptStatus::kNotSent);
    }
    // Another process may have taken a durable job over since the attempt was queued.
    if (!task.durable_handle.empty() && !front_->durable_jobs_->MayAct(task.durable_handle)) {
      Send(Response(Type::kNoJob, {}));
      return ReportEnd(task, AttemptStatus::kNotSent);
    }
    const std::string handle = task.handle;
    assign_unsent_ = true;
    last_assigned_ = handle;
    LogRequest({.step = RequestStep::kWritten,
                .id = handle,
                .number = task.request,
                .attempt = task.attempt,
                .worker = name_});
    if (request_type == Type::kGrabJobUniq) {
      Send(Response(Type::kJobAssignUniq, {handle, task.function, task.unique, task.body}));
    } else {
      Send(Response(Type::kJobAssign, {handle, task.function, task.body}));
    }
    if (closed()) {  // too much is unsent: the attempt was not sent
      return front_->forwarder_->OnAttemptEnded(task.request, task.attempt,
                                                {.status = AttemptStatus::kConnectFailed});
    }
    const auto ability = abilities_.find(task.function);
    if (ability != abilities_.end() && ability->second > 0) {
      task.limit_timer = loop_->deadlines().At(loop_->Now() + ability->second, [this, handle] {
        const auto it = assigned_.find(handle);
        if (it == assigned_.end()) return;
        it->second.limit_timer = Deadlines::kNone;
        if (it->second.abandoned) return;
        it->second.abandoned = true;  // the worker may still run it
        ReportEnd(it->second, AttemptStatus::kNoResponse);
      });
    }
    const RequestId request = task.request;
    const int attempt = task.attempt;
    task.body.clear();
    SetDeliveryTimer(&task, task.limit.last_byte_by);
    assigned_.emplace(handle, std::move(task));
    front_->forwarder_->OnAttemptStarted(request, attempt);
  }

  // Handles WORK_STATUS.
  bool HandleProgress(std::string_view handle, std::string_view numerator,
                      std::string_view denominator) {
    const auto it = assigned_.find(handle);
    if (it == assigned_.end()) return RejectUnknownJob();
    const auto job = front_->FindByRequest(it->second.request);
    if (it->second.abandoned || job == nullptr) return true;
    job->numerator = numerator.substr(0, kMaxNameBytes);
    job->denominator = denominator.substr(0, kMaxNameBytes);
    front_->SendToWaiters(
        *job, Response(Type::kWorkStatus, {job->handle, job->numerator, job->denominator}));
    return true;
  }

  // Handles the packets by which a worker reports data, a warning, an exception or the end of a
  // job.
  bool HandleWork(Type type, std::string_view handle, std::string_view data) {
    const auto it = assigned_.find(handle);
    if (it == assigned_.end()) return RejectUnknownJob();
    Task& task = it->second;
    const auto job = task.abandoned ? nullptr : front_->FindByRequest(task.request);
    if (type == Type::kWorkData || type == Type::kWorkWarning) {
      // Buffered until the job completes: an attempt that fails after some data may be retried, and
      // the client must not receive the data of both.
      if (!task.abandoned) AddPartialData(&task, type, data);
      return true;
    }
    if (type == Type::kWorkException) {
      if (job) job->exception = data;
      return true;  // WORK_FAIL follows
    }
    Task done = std::move(task);
    front_->partial_bytes_ -= done.partial_bytes;
    DropTimers(&done);
    assigned_.erase(it);
    if (done.abandoned) return true;
    if (type == Type::kWorkFail) return ReportEnd(done, AttemptStatus::kServerError), true;
    std::string result;
    if (job) {
      front_->partial_data_[{done.request, done.attempt}] = std::move(done.partial_data);
      result = data;
    } else {  // a request of the HTTP front: the data is one body
      for (const auto& [kind, part] : done.partial_data) {
        if (kind == Type::kWorkData) result += part;
      }
      result += data;
    }
    front_->forwarder_->OnAttemptEnded(
        done.request, done.attempt,
        {.status = AttemptStatus::kSucceeded, .latency_s = loop_->Now() - done.sent_at},
        std::move(result));
    front_->partial_data_.erase({done.request, done.attempt});
    return true;
  }

  // Keeps a WORK_DATA or WORK_WARNING, or fails the attempt if there is too much of them.
  void AddPartialData(Task* task, Type type, std::string_view data) {
    const std::size_t bytes = data.size() + kPartOverheadBytes;
    if (task->partial_bytes + bytes <= kMaxPartialBytes &&
        front_->partial_bytes_ + bytes <= kMaxPartialBytesInAll) {
      task->partial_bytes += bytes;
      front_->partial_bytes_ += bytes;
      task->partial_data.emplace_back(type, data);
      return;
    }
    task->abandoned = true;
    task->partial_data.clear();
    front_->partial_bytes_ -= std::exchange(task->partial_bytes, 0);
    ReportEnd(*task, AttemptStatus::kServerError);
  }

  // Answers a report for a job that is not assigned to this worker.
  bool RejectUnknownJob() {
    SendError("unknown_job", "No such job is assigned to this worker");
    return true;
  }

  // Reports the end of an attempt.
  void ReportEnd(const Task& task, AttemptStatus status) {
    front_->forwarder_->OnAttemptEnded(
        task.request, task.attempt, {.status = status, .latency_s = loop_->Now() - task.sent_at});
  }

  // Ends every queued attempt.
  void ReturnQueue(AttemptStatus status) {
    for (Task& task : std::exchange(queue_, {})) {
      DropTimers(&task);
      ReportEnd(task, status);
    }
  }

  // Returns queued attempts whose function the worker no longer supports.
  void ReturnUnsupported() {
    std::vector<Task> unsupported;
    std::erase_if(queue_, [&](Task& task) {
      if (abilities_.contains(task.function)) return false;
      DropTimers(&task);
      unsupported.push_back(task);
      return true;
    });
    for (const Task& task : unsupported) ReportEnd(task, AttemptStatus::kRejected);
  }

  Front* front_;
  std::string name_, client_id_ = "-", last_assigned_;
  int name_number_, cell_;
  Parser parser_{kMaxDataBytes};
  std::map<std::string, int> abilities_;  // function, and time limit in seconds; 0: none
  std::deque<Task> queue_;
  std::map<std::string, Task, std::less<>> assigned_;
  std::size_t ability_bytes_ = 0;  // of abilities_
  std::set<RequestId> awaited_jobs_;
  std::size_t waits_ = 0;             // submissions that wait for a result
  std::size_t messages_ = 0;          // complete messages received
  bool more_to_read_ = false;         // OnRead is due again
  bool client_gone_ = false;          // nobody reads answers to what is still in the input
  const char* end_reason_ = nullptr;  // set once the peer has ended the stream
  Deadlines::TimerId deadline_ = Deadlines::kNone;
  bool wants_exceptions_ = false, sleeping_ = false, draining_ = false, assign_unsent_ = false;
};

}  // namespace millethollow::gearman

#endif  // MILLETHOLLOW_NET_GEARMAN_PEER_H_
