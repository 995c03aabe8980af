// This process's part in keeping copies: carries between the decisions of copies::ReplicatedLogs
// and the store, the links and the clock. Whoever keeps promises in logs (copies::DurableJobQueue)
// is told of them.
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

class LogReplicator {
 public:
  struct Hooks {
    std::function<double()> now;  // of the machine: counts its pauses
    std::function<const membership::View&()> view;
    std::function<bool()> leased;  // by a clock read now
    std::function<void(membership::NodeId to, const copies::ReplicationMessage&)> send;
    std::function<void(std::uint64_t disk, std::vector<membership::LogAssignment>)> want;
    std::function<std::uint64_t()> draw;  // a number for a new store
    std::function<void()> renewed;        // the store is a new one: what is not in logs is lost
  };
  struct Ledger {  // whoever keeps promises in logs
    // This member acts on the log from now on, and has all of its entries; and no more.
    std::function<void(copies::LogId, std::vector<copies::Operation>)> acquired = {};
    std::function<void(copies::LogId)> released = {};
    std::function<void(copies::LogId, copies::SequenceNumber)> committed =
        {};  // all up to this operation
  };

  LogReplicator(Loop* loop, AsyncRecordStore* store, const copies::Options& options, Hooks hooks);
  ~LogReplicator();
  LogReplicator(const LogReplicator&) = delete;
  LogReplicator& operator=(const LogReplicator&) = delete;

  void SetLedger(Ledger ledger) { ledger_ = std::move(ledger); }
  void Start();  // reads what the store has of the logs
  // A view or a lease may have changed.
  void Look();
  void Hear(membership::NodeId from, const copies::ReplicationMessage& frame);
  void Open(copies::LogId log);
  void Close(copies::LogId log);
  copies::SequenceNumber Append(copies::LogId log, std::string key, std::string value, bool gone,
                                copies::ReplicatedLogs::AppendError* reason);
  bool Acts(copies::LogId log);  // looked at with a clock read now
  // What has been stored of an operation was heard or made at most so long ago; infinite: not
  // known.
  double MaxAge(copies::LogId log, copies::SequenceNumber seq) const;
  const copies::ReplicatedLogs& decisions() const { return *copies_; }

 private:
  using Actions = copies::ReplicatedLogs::Actions;
  void Do(const std::function<void(copies::ReplicatedLogs*, double, Actions*)>& event);
  void CarryOut(Actions* actions);
  void ReadChunk(const copies::ReplicatedLogs::Read& read);
  void Load(copies::LogId log, const std::string& prefix, const std::string& after);
  void Renew();
  void Arm();

  static constexpr std::size_t kChunkBytes = 96 * 1024;
  static constexpr std::size_t kLoadEntries = 256;

  Loop* loop_;
  AsyncRecordStore* store_;
  copies::Options options_;
  Hooks hooks_;
  Ledger ledger_;
  std::unique_ptr<copies::ReplicatedLogs> copies_;
  std::uint64_t run_ = 0;  // rises with each new store
  std::map<copies::LogId, std::vector<copies::Operation>> loading_;
  Deadlines::Ticket tick_ = Deadlines::kNone;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_LOG_REPLICATOR_H_
