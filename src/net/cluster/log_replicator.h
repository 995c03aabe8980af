// Runs the replicated logs of this process: executes the decisions of copies::ReplicatedLogs with
// the store, the transport and the clock. An observer such as copies::DurableJobQueue is told which
// logs this member acts on.
#ifndef MILLETHOLLOW_NET_CLUSTER_LOG_REPLICATOR_H_
#define MILLETHOLLOW_NET_CLUSTER_LOG_REPLICATOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "copies/replicated_logs.h"
#include "net/cluster/async_record_store.h"
#include "net/loop.h"

namespace millethollow::cluster {

// Does not own the loop or the store. All calls and callbacks are on the loop's thread.
class LogReplicator {
 public:
  struct Hooks {
    // Seconds of the machine's clock, which goes on while the machine is suspended.
    std::function<double()> now;
    std::function<const membership::View&()> view;
    // Whether this member holds its lease, by a clock read at the time of the call.
    std::function<bool()> holds_lease;
    std::function<void(membership::NodeId to, const copies::ReplicationMessage&)> send;
    // Asks the leader for changes to the assignment of logs.
    std::function<void(std::uint64_t store_id, std::vector<membership::LogAssignment>)>
        request_logs;
    std::function<std::uint64_t()> new_store_id;
    // The store was replaced by an empty one: all that is not in logs must be written again.
    std::function<void()> on_store_recreated;
  };
  // Callbacks for the component that keeps its state in logs.
  struct LogObserver {
    // From now on this member acts on the log; the entries are all that it holds.
    std::function<void(copies::LogId, std::vector<copies::Operation>)> acquired = {};
    // This member no longer acts on the log.
    std::function<void(copies::LogId)> released = {};
    // All operations up to this one are committed.
    std::function<void(copies::LogId, copies::SequenceNumber)> committed = {};
  };

  LogReplicator(Loop* loop, AsyncRecordStore* store, const copies::Options& options, Hooks hooks);
  ~LogReplicator();
  LogReplicator(const LogReplicator&) = delete;
  LogReplicator& operator=(const LogReplicator&) = delete;

  void SetObserver(LogObserver observer) { observer_ = std::move(observer); }
  // Loads the logs from the store, blocking. To be called once, before all that follows.
  void Start();
  // To be called when the view or the lease may have changed.
  void OnViewOrLeaseChanged();
  void OnMessage(membership::NodeId from, const copies::ReplicationMessage& message);
  // Requests a log that this member owns.
  void Open(copies::LogId log);
  // Ends an empty log that this member acts on.
  void Close(copies::LogId log);
  // Appends an operation that sets `key`, or erases it. Returns its sequence number, or 0 and a
  // reason. It is durable once LogObserver::committed reports it.
  copies::SequenceNumber Append(copies::LogId log, std::string key, std::string value, bool erase,
                                copies::ReplicatedLogs::AppendError* reason);
  // Whether this member may act on the log, by a clock read at the time of the call.
  bool MayAct(copies::LogId log);
  // An upper bound, in seconds, of the time since the operation was received or made here; infinite
  // if unknown.
  double MaxAge(copies::LogId log, copies::SequenceNumber sequence) const;
  const copies::ReplicatedLogs& logs() const { return *logs_; }

 private:
  using Actions = copies::ReplicatedLogs::Actions;
  void RunEvent(const std::function<void(copies::ReplicatedLogs*, double, Actions*)>& event);
  void ExecuteActions(Actions* actions);
  void ReadSnapshotChunk(const copies::ReplicatedLogs::Read& read);
  void LoadEntries(copies::LogId log, const std::string& prefix, const std::string& after);
  void RecreateStore();
  void ScheduleTick();

  static constexpr std::size_t kMaxChunkBytes = 96 * 1024;  // of values in a snapshot chunk
  static constexpr std::size_t kLoadBatchEntries = 256;     // entries per read of the store

  Loop* loop_;
  AsyncRecordStore* store_;
  copies::Options options_;
  Hooks hooks_;
  LogObserver observer_;
  std::unique_ptr<copies::ReplicatedLogs> logs_;
  // Rises with each new store, so that callbacks of an earlier one are told apart.
  std::uint64_t store_generation_ = 0;
  std::map<copies::LogId, std::vector<copies::Operation>> loading_;  // entries read so far
  Deadlines::TimerId tick_timer_ = Deadlines::kNone;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_LOG_REPLICATOR_H_
