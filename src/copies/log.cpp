// What one member has of a log, and its way to the disk.
#include <algorithm>
#include <iterator>
#include <utility>

#include "copies/replicated_logs.h"

namespace millethollow::copies {
namespace {

constexpr double kMarkS = 0.5;           // between two marks of a log
constexpr std::size_t kMaxMarks = 2400;  // so that windows of 20 minutes are known

}  // namespace

const Operation* ReplicatedLogs::Log::At(SequenceNumber sequence) const {
  if (operations.empty() || sequence < operations.front().sequence || sequence > operations.back().sequence) return nullptr;
  return &operations[sequence - operations.front().sequence];
}

// Of an operation that is known; 0: it is not.
std::uint64_t ReplicatedLogs::Log::EpochAt(SequenceNumber sequence) const {
  if (const Operation* op = At(sequence)) return op->epoch;
  if (!operations.empty() && sequence + 1 == operations.front().sequence) return before;
  return sequence == head.applied ? head.applied_epoch : 0;
}

void ReplicatedLogs::Log::Mark(double since_s) {
  if (!marks.empty() && since_s - marks.back().first < kMarkS) return;
  marks.emplace_back(since_s, End());
  if (marks.size() > kMaxMarks) marks.pop_front();
}

void ReplicatedLogs::Put(LogId id, const Operation& op) {
  batch_.push_back({StoreWrite::Kind::kPut, OperationKey(id, op.sequence), Encode(op)});
}

void ReplicatedLogs::PutHead(LogId id, const Log& log) {
  batch_.push_back({StoreWrite::Kind::kPut, HeadKey(id), Encode(log.head)});
}

// Operations that are on all holders become entries.
void ReplicatedLogs::Apply(LogId id, Log* log, SequenceNumber commit) {
  const SequenceNumber until = std::min(commit, log->End());
  if (until <= log->head.applied) return;
  for (SequenceNumber sequence = log->head.applied + 1; sequence <= until; ++sequence) {
    const Operation& op = *log->At(sequence);
    batch_.push_back({StoreWrite::Kind::kErase, OperationKey(id, sequence), ""});
    if (op.erase) {
      batch_.push_back(
          {StoreWrite::Kind::kErase, EntryKey(id, log->head.snapshot_generation, op.key), ""});
    } else {
      batch_.push_back({StoreWrite::Kind::kPut, EntryKey(id, log->head.snapshot_generation, op.key),
                        Encode(op)});
    }
    log->head.applied = sequence;
    log->head.applied_epoch = op.epoch;
  }
  PutHead(id, *log);
  // An owner keeps some for holders that are behind.
  const std::size_t keep = log->own ? o_.retained_operations : 0;
  while (log->operations.size() > keep && !log->operations.empty() && log->operations.front().sequence <= log->head.applied) {
    log->Drop();
  }
}

// Takes out what no owner answered: all from this number on.
void ReplicatedLogs::Truncate(LogId id, Log* log, SequenceNumber from) {
  while (!log->operations.empty() && log->operations.back().sequence >= from) {
    batch_.push_back({StoreWrite::Kind::kErase, OperationKey(id, log->operations.back().sequence), ""});
    log->operations.pop_back();
  }
  log->stored = std::min(log->stored, log->End());
  for (Flight& f : flights_) {
    const auto it = f.reaches.find(id);
    if (it != f.reaches.end()) it->second.end = std::min(it->second.end, from - 1);
  }
}

void ReplicatedLogs::Flush(Actions* actions) {
  if (failed_) batch_.clear();
  if (batch_.empty()) return;
  Flight flight{.ticket = ++ticket_, .reaches = {}};
  for (const auto& [id, log] : logs_)
    flight.reaches[id] = {log.End(), log.head.applied, log.snapshot_id, log.chunk};
  flights_.push_back(std::move(flight));
  std::move(batch_.begin(), batch_.end(), std::back_inserter(actions->write));
  batch_.clear();
  actions->ticket = ticket_;
}

void ReplicatedLogs::OnStored(double now, std::uint64_t ticket, Actions* actions) {
  if (failed_) return;
  while (!flights_.empty() && flights_.front().ticket <= ticket) {
    for (const auto& [id, reach] : flights_.front().reaches) {
      const auto it = logs_.find(id);
      if (it == logs_.end()) continue;
      Log& log = it->second;
      log.stored = std::max(log.stored, std::min(reach.end, log.End()));
      log.head_stored = std::max(log.head_stored, reach.applied);
      if (reach.snapshot_id != 0 && reach.snapshot_id == log.snapshot_id)
        log.chunk_stored = std::max(log.chunk_stored, reach.chunk);
    }
    flights_.pop_front();
  }
  for (auto it = answer_to_.begin(); it != answer_to_.end();) {
    const auto log = logs_.find(it->first);
    if (log != logs_.end() && (log->second.stored < log->second.matched ||
                               log->second.chunk_stored < log->second.chunk)) {
      ++it;
      continue;
    }
    if (log != logs_.end()) SendStatus(it->second, it->first, log->second, true, actions);
    it = answer_to_.erase(it);
  }
  for (auto& [id, log] : logs_) {
    if (log.own) Commit(now, id, &log, actions);
  }
  Flush(actions);
}

}  // namespace millethollow::copies
