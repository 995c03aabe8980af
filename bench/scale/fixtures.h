// Settings, workers and lists of the fleet that the scale tests play.
#ifndef MILLETHOLLOW_BENCH_SCALE_FIXTURES_H_
#define MILLETHOLLOW_BENCH_SCALE_FIXTURES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::scale {

constexpr int kZones = 11;
constexpr int kSlotsPerWorker = 8;
constexpr std::size_t kMaxPeerMessageBytes = 256;  // a longer message to a peer is not sent
constexpr int kPlainClass = 0;                     // any worker, any number of times
constexpr int kKeyedClass = 1;                     // jobs with a key, by which workers drop repeats
constexpr int kClasses = 2;

// Of dispatcher 0 of a tier.
balancing::Settings FleetSettings(int dispatchers, int tenants);

// Text and a number behind it.
std::string Numbered(std::string_view text, int number);
std::string WorkerName(int index);
std::vector<balancing::Endpoint> Workers(int count);

std::vector<std::string> ZoneNames();
std::vector<std::string> KindNames();
// The list of that many workers in discovery's form. Indent -1: on one line.
std::string ServerListText(int workers, int indent);

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_FIXTURES_H_
