#include "net/cluster/async_record_store.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <utility>

#include "logging/event_log.h"

namespace millethollow::cluster {

bool AsyncRecordStore::OpenFile(std::uint64_t new_store_id, std::string* error) {
  const std::uint64_t generation = ++file_generation_;
  store_ = std::make_unique<store::RecordStore>();
  return store_->Open(
      options_.folder, {options_.cluster, options_.member, new_store_id}, options_.max_bytes,
      [this, generation](std::uint64_t ticket, bool ok) {
        task_queue_.Post([this, generation, ticket, ok] { OnWritten(generation, ticket, ok); });
      },
      error);
}

void AsyncRecordStore::SetAside() {
  store_.reset();
  const std::string file = options_.folder + "/copies.db";
  (void)rename(file.c_str(), (file + ".damaged").c_str());
  (void)unlink((file + "-wal").c_str());
}

bool AsyncRecordStore::Open(Loop* loop, const Options& options, std::uint64_t new_store_id,
                            std::string* error) {
  loop_ = loop;
  options_ = options;
  if (!task_queue_.Open(loop, error)) return false;
  bool opened = OpenFile(new_store_id, error);
  if (!opened && store_->damaged()) {  // its contents are replicated at other members
    Events().error("cluster store-damaged {} kept=copies.db.damaged", *error);
    SetAside();
    error->clear();
    opened = OpenFile(new_store_id, error);
  }
  if (!opened && store_->unwritable()) {  // the member runs on without storing anything
    Events().error("cluster store-failed {}: nothing is stored", *error);
    return failed_ = true;
  }
  return opened;
}

bool AsyncRecordStore::LoadLogs(Records* records, bool* damaged) {
  std::vector<std::string> keys;
  std::string error;
  if (failed_ || !store_->LoadLogs(records, &keys, &error)) return false;
  *damaged = !keys.empty();
  return true;
}

bool AsyncRecordStore::Load(const std::string& prefix, Records* records, std::size_t* damaged) {
  std::vector<std::string> keys;
  std::string error;
  if (failed_ || !store_->Load(prefix, records, &keys, &error)) return false;
  *damaged = keys.size();
  return true;
}

bool AsyncRecordStore::Recreate(std::uint64_t new_store_id) {
  if (failed_) return false;
  SetAside();  // with it go the writes whose callbacks have not run yet
  std::string error;
  failed_ = !OpenFile(new_store_id, &error);
  if (failed_) Events().error("cluster store-failed {}: nothing is stored", error);
  for (const PendingWrite& write : std::exchange(pending_writes_, {})) write.callback(false);
  return !failed_;
}

void AsyncRecordStore::Write(std::vector<copies::StoreWrite> batch, WriteCallback callback) {
  if (failed_ || (batch.empty() && pending_writes_.empty())) return callback(!failed_);
  if (!batch.empty()) store_->Write(std::move(batch), ++last_ticket_);
  pending_writes_.push_back({last_ticket_, loop_->Now(), std::move(callback)});
}

void AsyncRecordStore::Read(std::string prefix, std::string after, std::size_t max_records,
                            ReadCallback on_records) {
  if (failed_) return on_records({}, true, true);
  const std::uint64_t generation = file_generation_;
  store_->Read(std::move(prefix), std::move(after), max_records,
               [this, generation, on_records = std::move(on_records)](
                   Records records, bool last, const std::vector<std::string>& damaged) {
                 task_queue_.Post([this, generation, on_records, records = std::move(records), last,
                                   bad = !damaged.empty()]() mutable {
                   if (generation == file_generation_) on_records(std::move(records), last, bad);
                 });
               });
}

void AsyncRecordStore::OnWritten(std::uint64_t generation, std::uint64_t ticket, bool ok) {
  if (generation != file_generation_) return;
  if (!ok && !std::exchange(failed_, true)) {
    Events().error("cluster store-failed store={} nothing more is stored", options_.folder);
  }
  CompleteWrites(failed_ ? std::numeric_limits<std::uint64_t>::max() : ticket);
}

void AsyncRecordStore::CompleteWrites(std::uint64_t ticket) {
  while (!pending_writes_.empty() && pending_writes_.front().ticket <= ticket) {
    const PendingWrite done = std::move(pending_writes_.front());
    pending_writes_.pop_front();
    if (!failed_) {
      metrics_.commits += 1;
      metrics_.commit_latency_s.Add(loop_->Now() - done.requested_at);
    }
    done.callback(!failed_);
  }
}

}  // namespace millethollow::cluster
