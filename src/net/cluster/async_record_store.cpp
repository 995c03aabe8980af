#include "net/cluster/async_record_store.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <limits>
#include <utility>

#include "logging/event_log.h"

namespace millethollow::cluster {

bool AsyncRecordStore::OpenFile(std::uint64_t new_disk, std::string* error) {
  const std::uint64_t file = ++file_;
  store_ = std::make_unique<store::RecordStore>();
  return store_->Open(
      o_.folder, {o_.cluster, o_.member, new_disk}, o_.max_bytes,
      [this, file](std::uint64_t ticket, bool ok) {
        mail_.Post([this, file, ticket, ok] { Written(file, ticket, ok); });
      },
      error);
}

void AsyncRecordStore::PutAside() {
  store_.reset();
  const std::string file = o_.folder + "/copies.db";
  (void)rename(file.c_str(), (file + ".damaged").c_str());
  (void)unlink((file + "-wal").c_str());
}

bool AsyncRecordStore::Open(Loop* loop, const Options& options, std::uint64_t new_disk,
                            std::string* error) {
  loop_ = loop;
  o_ = options;
  if (!mail_.Open(loop, error)) return false;
  bool opened = OpenFile(new_disk, error);
  if (!opened && store_->damaged()) {  // others have what was in it
    Events().error("cluster store-damaged {} kept=copies.db.damaged", *error);
    PutAside();
    error->clear();
    opened = OpenFile(new_disk, error);
  }
  if (!opened && store_->unwritable()) {  // it serves, and says that it keeps nothing
    Events().error("cluster store-failed {}: nothing is kept on it", *error);
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

bool AsyncRecordStore::Renew(std::uint64_t new_disk) {
  if (failed_) return false;
  PutAside();  // the last writes are on it, and nobody hears of them any more
  std::string error;
  failed_ = !OpenFile(new_disk, &error);
  if (failed_) Events().error("cluster store-failed {}: nothing is kept on it", error);
  for (const Waiting& w : std::exchange(waiting_, {})) w.then(false);
  return !failed_;
}

void AsyncRecordStore::Write(std::vector<copies::StoreWrite> batch, Then then) {
  if (failed_ || (batch.empty() && waiting_.empty())) return then(!failed_);
  if (!batch.empty()) store_->Write(std::move(batch), ++ticket_);
  waiting_.push_back({ticket_, loop_->Now(), std::move(then)});
}

void AsyncRecordStore::Read(std::string prefix, std::string after, std::size_t max_records,
                            Found found) {
  if (failed_) return found({}, true, true);
  const std::uint64_t file = file_;
  store_->Read(std::move(prefix), std::move(after), max_records,
               [this, file, found = std::move(found)](Records records, bool last,
                                                      const std::vector<std::string>& damaged) {
                 mail_.Post([this, file, found, records = std::move(records), last,
                             bad = !damaged.empty()]() mutable {
                   if (file == file_) found(std::move(records), last, bad);
                 });
               });
}

void AsyncRecordStore::Written(std::uint64_t file, std::uint64_t ticket, bool ok) {
  if (file != file_) return;
  if (!ok && !std::exchange(failed_, true)) {
    Events().error("cluster store-failed store={} nothing is kept on it any more", o_.folder);
  }
  Answer(failed_ ? std::numeric_limits<std::uint64_t>::max() : ticket);
}

void AsyncRecordStore::Answer(std::uint64_t ticket) {
  while (!waiting_.empty() && waiting_.front().ticket <= ticket) {
    const Waiting done = std::move(waiting_.front());
    waiting_.pop_front();
    if (!failed_) {
      figures_.commits += 1;
      figures_.took.Add(loop_->Now() - done.asked_at);
    }
    done.then(!failed_);
  }
}

}  // namespace millethollow::cluster
