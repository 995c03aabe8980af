// Settings, workers and endpoint lists of the fleet that the scale tests simulate.
#ifndef MILLETHOLLOW_BENCH_SCALE_FIXTURES_H_
#define MILLETHOLLOW_BENCH_SCALE_FIXTURES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::scale {

constexpr int kZoneCount = 11;
constexpr int kSlotsPerWorker = 8;
constexpr std::size_t kMaxPeerMessageBytes = 256;  // Longer messages are dropped.
constexpr int kPlainClass = 0;                     // Idempotent at any worker.
constexpr int kKeyedClass = 1;                     // Workers drop repeats by key.
constexpr int kClassCount = 2;

// Settings of dispatcher 0 of a tier of `dispatchers`.
balancing::Settings MakeFleetSettings(int dispatchers, int tenants);

// `text` followed by `number`.
std::string AppendNumber(std::string_view text, int number);
// The name of the worker with this index; all names have the same length.
std::string WorkerName(int index);
// Endpoints of `count` workers, spread over the zones.
std::vector<balancing::Endpoint> MakeEndpoints(int count);

// Names of zones and of worker kinds, as the endpoint list uses them.
std::vector<std::string> ZoneNames();
std::vector<std::string> KindNames();
// The endpoint list of that many workers as discovery sends it. `indent` is the number of spaces
// per level; -1 puts it on one line.
std::string ServerListText(int workers, int indent);

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_FIXTURES_H_
