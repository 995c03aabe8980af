// Logs of promises and their copies, as one member has them: an owner and its holders under the
// agreed view. The protocol is PacificA's (Lin, Yang, Zhang, Zhou 2008), with Raft's rule for
// beginnings that match (Ongaro, Ousterhout 2014); docs/design/copies.md has the promises.
//
// Decides only: views, operations, frames and time in; frames, writes and answers out. State is
// bounded by Options. Times are seconds on a clock that never runs back and counts pauses.
#ifndef MILLETHOLLOW_COPIES_COPIES_H_
#define MILLETHOLLOW_COPIES_COPIES_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "copies/records.h"

namespace millethollow::copies {

using membership::LogAssignment;
using membership::LogReplica;
using membership::NodeId;
using membership::ProcessIncarnation;
using membership::View;

struct Options {
  NodeId self = 0;
  ProcessIncarnation process_incarnation = 0;
  std::uint64_t disk = 0;  // the number of this member's store
  std::size_t copies = 3, copies_least = 2;
  double late_s = 1.0;                  // a holder silent for so long is to be put out
  double resend_s = 0.25;               // what is not answered goes out again
  double fill_gap_s = 0.01;             // between two chunks of a filling
  std::size_t fill_entries = 64;        // in a chunk
  std::size_t frame_ops = 64;           // in a frame
  std::size_t frame_bytes = 96 * 1024;  // of their keys and values; one may be over it alone
  std::size_t tail_ops = 4096;          // of a log, kept for holders that are behind
  std::size_t open_ops = 1024;          // of a log, not yet answered
};

struct Counters {
  std::uint64_t promises = 0, adoptions = 0, refusals = 0, fillings = 0, lies = 0;
};

class Copies {
 public:
  struct Read {  // entries after a key, up to Options::fill_entries of them; then Chunk()
    LogId log = 0;
    std::uint64_t fill = 0;
    std::string prefix, after;  // keys with this prefix, after this one; empty: from the first
  };
  struct Actions {
    std::vector<std::pair<NodeId, Frame>> send;
    std::vector<Write> write;  // all or none, after all before; then Stored(ticket) or StoreFailed
    std::uint64_t ticket = 0;
    std::vector<std::pair<LogId, Seq>> kept;  // answered: all up to this operation
    std::vector<LogId> begun;  // this member may act on it; the store has its entries by `ticket`
    std::vector<LogId> ended;  // and no more
    std::vector<Read> read;
    bool lied = false;  // this member's disk is older than what it said: it needs a new one
  };
  enum class Refusal : std::uint8_t { kNone, kNotOwner, kTooFewCopies, kFull, kStoreFailed };

  // `records`: all that the store has under keys of heads and operations.
  Copies(const Options& options, const std::vector<std::pair<std::string, std::string>>& records);

  // To be called before each other event, with a lease looked at just now.
  void Look(double now, const View& view, bool leased, Actions* actions);
  // This member wants a log of its own; Wants() tells the leader.
  void Open(LogId log) { opened_.insert(log); }
  // An empty log that this member acts on is to end; nothing more is taken into it.
  void Close(LogId log);
  // An operation on a log that this member acts on. Its number; 0: refused, `why` says it.
  Seq Append(double now, LogId log, std::string key, std::string value, bool gone, Refusal* why,
             Actions* actions);
  void Hear(double now, NodeId from, const Frame& frame, Actions* actions);
  void Stored(double now, std::uint64_t ticket, Actions* actions);
  void StoreFailed() { failed_ = true; }
  // What a Read found, by rising keys; `last`: there is no more.
  void Chunk(double now, LogId log, std::uint64_t fill, std::vector<Op> entries, bool last,
             Actions* actions);
  void Tick(double now, Actions* actions);
  double NextAt() const { return tick_at_; }

  // What the leader is to be asked for.
  std::vector<LogAssignment> Wants() const;
  // Where the entries of a log that it acts on lie in the store.
  std::string Prefix(LogId log) const;
  // May this member act on the log now? To be asked after Look.
  bool Acts(LogId log) const;
  std::vector<LogId> Owned() const;  // those that it acts on, with a lease
  // An operation that this process has was made or heard at most so long ago; infinite: not known.
  double AgeAtMost(double now, LogId log, Seq seq) const;
  std::string Told(LogId id) const;  // for a log line: how far its holders are
  struct Held {                      // of one log, for figures
    LogId log = 0;
    bool own = false;
    std::size_t holders = 0, filling = 0;
    Seq behind = 0;  // operations that some holder lacks
  };
  std::vector<Held> Holds() const;
  const Counters& counters() const { return counters_; }
  std::uint64_t disk() const { return failed_ ? 0 : o_.disk; }

 private:
  struct Peer {
    std::uint64_t disk = 0, asked = 0;  // asked: the number of the latest kWhere
    ProcessIncarnation process_incarnation = 0;
    bool holder = false;                 // in the view
    bool met = false;                    // it has told how far it is
    std::pair<std::uint64_t, Seq> end;   // its last operation as it first told: epoch and number
    Seq acked = 0, next = 1, first = 1;  // first: after what it had when it was met
    double heard_at = 0, sent_at = -1;
    // A filling: which, how far, and what it began with.
    std::uint64_t fill = 0, chunk = 0;
    bool reading = false;
    Seq fill_from = 0;
    std::string after;
    double chunk_at = 0;
    Frame part;  // the chunk that waits for its answer
    // It is to be asked anew how far it is; answers to what it was asked before don't count.
    void Forget() {
      met = false;
      asked = fill = 0;
    }
  };
  struct Log {
    Head head;
    std::deque<Op> ops;        // after the first that is kept; some may be applied already
    std::uint64_t before = 0;  // the epoch of the one before these
    void Drop() {              // the first of them
      before = ops.front().epoch;
      ops.pop_front();
    }
    Seq stored = 0;       // on this disk
    Seq head_stored = 0;  // applied, as the disk has it
    Seq matched = 0;      // as a holder: as the owner has it, in head.epoch
    std::uint64_t fill = 0, chunk = 0, chunk_stored = 0;
    // When this was the last number here: what follows it was made later. Up to `late` it is not
    // known when.
    std::deque<std::pair<double, Seq>> marks;
    Seq late = 0;
    void Mark(double since_s);
    // As the owner:
    bool own = false, begun = false, closing = false;
    std::uint64_t since = 0;
    Seq base = 0, commit = 0;
    double owned_at = 0;
    std::map<NodeId, Peer> peers;
    std::uint64_t version = 0;       // of what is wanted
    std::vector<LogReplica> wanted;  // holders; empty: as the view has it
    NodeId pass_to = 0;              // it is to be the owner
    bool passing = false;            // that was asked for under this view, and may come to be
    std::set<NodeId> asked;          // under this view; they are waited for until the next
    Seq End() const { return ops.empty() ? head.applied : ops.back().seq; }
    const Op* At(Seq seq) const;
    std::uint64_t EpochAt(Seq seq) const;
  };
  struct Reach {  // what is there once a write is
    Seq end = 0, applied = 0;
    std::uint64_t fill = 0, chunk = 0;
  };
  struct Flight {  // a write under way
    std::uint64_t ticket = 0;
    std::map<LogId, Reach> reaches;
  };

  void Put(LogId id, const Op& op);
  void PutHead(LogId id, const Log& log);
  void Apply(LogId id, Log* log, Seq commit);
  void Cut(LogId id, Log* log, Seq from);
  void Flush(Actions* actions);
  void Own(double now, LogId id, Log* log, const LogAssignment& place, Actions* actions);
  void Disown(LogId id, Log* log, Actions* actions);
  void SetPeers(double now, Log* log, const LogAssignment& place);
  void SendWhere(LogId id, const Log& log, NodeId to, Peer* peer, Actions* actions);
  void SendOps(double now, LogId id, Log* log, NodeId to, Peer* peer, Actions* actions);
  void HearOps(NodeId from, const Frame& f, Log* log, Actions* actions);
  void HearFill(NodeId from, const Frame& f, Actions* actions);
  void HearAt(double now, NodeId from, const Frame& f, Actions* actions);
  void StartFill(double now, LogId id, Log* log, Peer* peer, Actions* actions);
  void Tell(NodeId to, LogId id, const Log& log, bool matched, Actions* actions) const;
  void Commit(double now, LogId id, Log* log, Actions* actions);
  void GiveUpDisk(Actions* actions);
  std::size_t InReach(double now, const Log& log, const LogAssignment& place) const;
  void Want(double now, Log* log, const LogAssignment& place);
  NodeId Candidate(double now, LogId id, const Log& log) const;

  Options o_;
  View view_;
  bool leased_ = false, failed_ = false, looked_ = false;
  std::map<LogId, Log> logs_;
  std::set<LogId> opened_;
  std::map<LogId, NodeId> answer_to_;  // owners that wait for what is on its way to disk
  std::vector<Write> batch_;
  std::deque<Flight> flights_;
  std::uint64_t ticket_ = 0, fills_ = 0, numbers_ = 0;
  double tick_at_ = 0, looked_at_ = 0, before_ = 0;  // before: of the event before this one
  Counters counters_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_COPIES_H_
