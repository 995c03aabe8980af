#include "scale/fixtures.h"

#include <nlohmann/json.hpp>

namespace millethollow::scale {
namespace {

constexpr double kStartedMs = 1.7e12;  // Start of each worker, Unix time.
constexpr int kWorkersPerCell = 40;
constexpr int kPort = 8080;
constexpr int kFirstWorkerNumber = 100000;  // Gives all names the same length.

std::string Address(int index) {
  return "10." + std::to_string(index / 65536 % 256) + "." + std::to_string(index / 256 % 256) +
         "." + std::to_string(index % 256) + ":" + std::to_string(kPort);
}

}  // namespace

balancing::Settings MakeFleetSettings(int dispatchers, int tenants) {
  balancing::Settings settings;
  settings.dispatcher_count = dispatchers;
  settings.peers = dispatchers > 1;
  settings.classes.resize(kClassCount);
  for (balancing::ClassSettings& job_class : settings.classes) {
    job_class.latency_objective_s = 1.7;
    job_class.client_timeout_s = 30;
  }
  settings.classes[kKeyedClass].idempotency = balancing::Idempotency::kIdempotentWithKey;
  settings.classes[kKeyedClass].deduplication_scope = balancing::DeduplicationScope::kCell;
  settings.classes[kKeyedClass].deduplication_window_s = 4;
  settings.tenants.assign(static_cast<std::size_t>(tenants), {.share = 1.0 / tenants});
  settings.zones = kZoneCount;
  settings.tick_s = 0.005;
  settings.max_attempts = 3;
  settings.workers_notify_start = true;
  settings.retry_after = true;
  settings.max_retry_after_s = 1;
  settings.drain_grace_s = 2;
  settings.slow_start_min_share = 0.33;
  settings.slow_start_s = 8.6;
  settings.slow_start_load_multiple = 3;
  settings.overload_for_s = 3;
  return settings;
}

std::string AppendNumber(std::string_view text, int number) {
  std::string name(text);
  name += std::to_string(number);
  return name;
}

std::string WorkerName(int index) { return AppendNumber("worker-", kFirstWorkerNumber + index); }

std::vector<balancing::Endpoint> MakeEndpoints(int count) {
  std::vector<balancing::Endpoint> endpoints;
  endpoints.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    balancing::Endpoint endpoint;
    endpoint.worker = WorkerName(i);
    endpoint.zone = i % kZoneCount;
    endpoint.cell = i / kWorkersPerCell;
    endpoint.slots = kSlotsPerWorker;
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

std::vector<std::string> ZoneNames() {
  std::vector<std::string> names;
  for (int i = 0; i < kZoneCount; ++i) names.push_back(AppendNumber("zone-", i));
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
                       {"zone", zones[static_cast<std::size_t>(i % kZoneCount)]},
                       {"kind", KindNames().front()},
                       {"cell", i / kWorkersPerCell},
                       {"slots", kSlotsPerWorker},
                       {"started_ms", static_cast<long long>(kStartedMs)}});
  }
  nlohmann::ordered_json list{{"version", 1}, {"full", true}};
  list["servers"] = std::move(servers);
  return list.dump(indent);
}

}  // namespace millethollow::scale
