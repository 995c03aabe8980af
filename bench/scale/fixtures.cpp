#include "scale/fixtures.h"

#include <nlohmann/json.hpp>

namespace millethollow::scale {
namespace {

constexpr double kBornMs = 1.7e12;  // Unix time of each worker's start
constexpr int kWorkersPerCell = 40;
constexpr int kPort = 8080;
constexpr int kFirstName = 100000;  // so that all names are of one length

std::string Address(int index) {
  return "10." + std::to_string(index / 65536 % 256) + "." + std::to_string(index / 256 % 256) +
         "." + std::to_string(index % 256) + ":" + std::to_string(kPort);
}

}  // namespace

balancing::Settings FleetSettings(int dispatchers, int tenants) {
  balancing::Settings s;
  s.dispatcher_count = dispatchers;
  s.peers = dispatchers > 1;
  s.classes.resize(kClasses);
  for (balancing::ClassSettings& job_class : s.classes) {
    job_class.latency_objective_s = 1.7;
    job_class.client_timeout_s = 30;
  }
  s.classes[kKeyedClass].idempotency = balancing::Idempotency::kIdempotentWithKey;
  s.classes[kKeyedClass].deduplication_scope = balancing::DeduplicationScope::kCell;
  s.classes[kKeyedClass].deduplication_window_s = 4;
  s.tenants.assign(static_cast<std::size_t>(tenants), {.share = 1.0 / tenants});
  s.zones = kZones;
  s.tick_s = 0.005;
  s.max_attempts = 3;
  s.workers_notify_start = true;
  s.retry_after = true;
  s.max_retry_after_s = 1;
  s.drain_grace_s = 2;
  s.slow_start_min_share = 0.33;
  s.slow_start_s = 8.6;
  s.slow_start_load_multiple = 3;
  s.overload_for_s = 3;
  return s;
}

std::string Numbered(std::string_view text, int number) {
  std::string name(text);
  name += std::to_string(number);
  return name;
}

std::string WorkerName(int index) { return Numbered("worker-", kFirstName + index); }

std::vector<balancing::Endpoint> Workers(int count) {
  std::vector<balancing::Endpoint> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    balancing::Endpoint member;
    member.worker = WorkerName(i);
    member.zone = i % kZones;
    member.cell = i / kWorkersPerCell;
    member.slots = kSlotsPerWorker;
    members.push_back(std::move(member));
  }
  return members;
}

std::vector<std::string> ZoneNames() {
  std::vector<std::string> names;
  for (int i = 0; i < kZones; ++i) names.push_back(Numbered("zone-", i));
  return names;
}

std::vector<std::string> KindNames() { return {"general"}; }

std::string ServerListText(int workers, int indent) {
  nlohmann::ordered_json servers = nlohmann::ordered_json::array();
  const std::vector<std::string> zones = ZoneNames();
  for (int i = 0; i < workers; ++i) {
    servers.push_back({{"id", WorkerName(i)},
                       {"addr", Address(i)},
                       {"state", "in_service"},
                       {"zone", zones[static_cast<std::size_t>(i % kZones)]},
                       {"kind", KindNames().front()},
                       {"cell", i / kWorkersPerCell},
                       {"slots", kSlotsPerWorker},
                       {"started_ms", static_cast<long long>(kBornMs)}});
  }
  nlohmann::ordered_json list{{"version", 1}, {"full", true}};
  list["servers"] = std::move(servers);
  return list.dump(indent);
}

}  // namespace millethollow::scale
