#include "net/cluster/fact_keeper.h"

#include <algorithm>
#include <utility>

#include "codec/membership.h"
#include "logging/event_log.h"

namespace millethollow::cluster {
namespace {

// Beside the logs, whose numbers are never 0.
constexpr copies::LogId kFacts = 0;

copies::StoreWrite Put(const membership::MaintenanceRecord& fact) {
  membership::MaintenanceGossip news;
  news.records.push_back(fact);
  return {copies::StoreWrite::Kind::kPut, copies::EntryKey(kFacts, 0, fact.worker),
          codec::Encode(news)};
}

}  // namespace

std::vector<membership::MaintenanceRecord> FactKeeper::Load() {
  std::vector<membership::MaintenanceRecord> facts;
  AsyncRecordStore::Records records;
  std::size_t damaged = 0;
  const std::string prefix = copies::EntryPrefix(kFacts, 0);
  if (!store_->Load(prefix, &records, &damaged)) return facts;
  for (const auto& [key, value] : records) {
    const auto news = codec::DecodeMaintenanceGossip(value);
    if (news && news->records.size() == 1) facts.push_back(news->records[0]);
  }
  // Workers come and go for years: what there is no room for goes from the disk too.
  std::stable_partition(facts.begin(), facts.end(),
                        [](const auto& f) { return f.InMaintenance(); });
  if (facts.size() > membership::MaintenanceRegistry::kMaxWorkers) {
    facts.resize(membership::MaintenanceRegistry::kMaxWorkers);
  }
  if (damaged > 0) {
    Events().error("cluster records-damaged records={} are learned again from others", damaged);
  }
  if (facts.size() == records.size() && damaged == 0) return facts;
  std::vector<copies::StoreWrite> batch{{copies::StoreWrite::Kind::kErasePrefix, prefix, ""}};
  for (const membership::MaintenanceRecord& f : facts) batch.push_back(Put(f));
  store_->Write(std::move(batch), [](bool) {});
  return facts;
}

void FactKeeper::Keep(const std::vector<membership::MaintenanceRecord>& changed,
                      AsyncRecordStore::Then then) {
  std::vector<copies::StoreWrite> batch;
  for (const membership::MaintenanceRecord& f : changed) batch.push_back(Put(f));
  store_->Write(std::move(batch), std::move(then));
}

}  // namespace millethollow::cluster
