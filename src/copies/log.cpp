// The operations and entries of a log at one member, and their writes to the store.
#include <algorithm>
#include <iterator>
#include <utility>

#include "copies/replicated_logs.h"

namespace millethollow::copies {
namespace {

constexpr double kAgeMarkIntervalS = 0.5;   // between two age marks of a log
constexpr std::size_t kMaxAgeMarks = 2400;  // ages are known for 20 minutes

}  // namespace

const Operation* ReplicatedLogs::Log::At(SequenceNumber sequence) const {
  if (operations.empty() || sequence < operations.front().sequence ||
      sequence > operations.back().sequence)
    return nullptr;
  return &operations[sequence - operations.front().sequence];
}

// The epoch of an operation; 0 if it is not known.
std::uint64_t ReplicatedLogs::Log::EpochAt(SequenceNumber sequence) const {
  if (const Operation* operation = At(sequence)) return operation->epoch;
  if (!operations.empty() && sequence + 1 == operations.front().sequence) return previous_epoch;
  return sequence == head.applied ? head.applied_epoch : 0;
}

void ReplicatedLogs::Log::AddAgeMark(double time_s) {
  if (!age_marks.empty() && time_s - age_marks.back().first < kAgeMarkIntervalS) return;
  age_marks.emplace_back(time_s, End());
  if (age_marks.size() > kMaxAgeMarks) age_marks.pop_front();
}

void ReplicatedLogs::WriteOperation(LogId id, const Operation& operation) {
  pending_writes_.push_back(
      {StoreWrite::Kind::kPut, OperationKey(id, operation.sequence), Encode(operation)});
}

void ReplicatedLogs::WriteHead(LogId id, const Log& log) {
  pending_writes_.push_back({StoreWrite::Kind::kPut, HeadKey(id), Encode(log.head)});
}

// Applies committed operations to the entries.
void ReplicatedLogs::Apply(LogId id, Log* log, SequenceNumber commit_index) {
  const SequenceNumber end = std::min(commit_index, log->End());
  if (end <= log->head.applied) return;
  for (SequenceNumber sequence = log->head.applied + 1; sequence <= end; ++sequence) {
    const Operation& operation = *log->At(sequence);
    pending_writes_.push_back({StoreWrite::Kind::kErase, OperationKey(id, sequence), ""});
    if (operation.erase) {
      pending_writes_.push_back({StoreWrite::Kind::kErase,
                                 EntryKey(id, log->head.snapshot_generation, operation.key), ""});
    } else {
      pending_writes_.push_back({StoreWrite::Kind::kPut,
                                 EntryKey(id, log->head.snapshot_generation, operation.key),
                                 Encode(operation)});
    }
    log->head.applied = sequence;
    log->head.applied_epoch = operation.epoch;
  }
  WriteHead(id, *log);
  // An owner retains some for the catch-up of replicas.
  const std::size_t retained = log->is_owner ? options_.retained_operations : 0;
  while (log->operations.size() > retained && !log->operations.empty() &&
         log->operations.front().sequence <= log->head.applied) {
    log->DropFirst();
  }
}

// Removes uncommitted operations that are not in the owner's log: all from this sequence number on.
void ReplicatedLogs::Truncate(LogId id, Log* log, SequenceNumber from) {
  while (!log->operations.empty() && log->operations.back().sequence >= from) {
    pending_writes_.push_back(
        {StoreWrite::Kind::kErase, OperationKey(id, log->operations.back().sequence), ""});
    log->operations.pop_back();
  }
  log->stored = std::min(log->stored, log->End());
  for (WriteInFlight& write : writes_in_flight_) {
    const auto it = write.stored_states.find(id);
    if (it != write.stored_states.end()) it->second.end = std::min(it->second.end, from - 1);
  }
}

void ReplicatedLogs::Flush(Actions* actions) {
  if (store_failed_) pending_writes_.clear();
  if (pending_writes_.empty()) return;
  WriteInFlight in_flight{.ticket = ++last_ticket_, .stored_states = {}};
  for (const auto& [id, log] : logs_)
    in_flight.stored_states[id] = {log.End(), log.head.applied, log.snapshot_id,
                                   log.received_chunks};
  writes_in_flight_.push_back(std::move(in_flight));
  std::move(pending_writes_.begin(), pending_writes_.end(), std::back_inserter(actions->write));
  pending_writes_.clear();
  actions->ticket = last_ticket_;
}

void ReplicatedLogs::OnStored(double now, std::uint64_t ticket, Actions* actions) {
  if (store_failed_) return;
  while (!writes_in_flight_.empty() && writes_in_flight_.front().ticket <= ticket) {
    for (const auto& [id, state] : writes_in_flight_.front().stored_states) {
      const auto it = logs_.find(id);
      if (it == logs_.end()) continue;
      Log& log = it->second;
      log.stored = std::max(log.stored, std::min(state.end, log.End()));
      log.stored_applied = std::max(log.stored_applied, state.applied);
      if (state.snapshot_id != 0 && state.snapshot_id == log.snapshot_id)
        log.stored_chunks = std::max(log.stored_chunks, state.chunk);
    }
    writes_in_flight_.pop_front();
  }
  for (auto it = pending_acknowledgements_.begin(); it != pending_acknowledgements_.end();) {
    const auto log = logs_.find(it->first);
    if (log != logs_.end() && (log->second.stored < log->second.matched ||
                               log->second.stored_chunks < log->second.received_chunks)) {
      ++it;
      continue;
    }
    if (log != logs_.end()) SendStatus(it->second, it->first, log->second, true, actions);
    it = pending_acknowledgements_.erase(it);
  }
  for (auto& [id, log] : logs_) {
    if (log.is_owner) Commit(now, id, &log, actions);
  }
  Flush(actions);
}

}  // namespace millethollow::copies
