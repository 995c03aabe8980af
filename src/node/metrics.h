// The node's metrics as text, for the admin server and SIGUSR1.
#ifndef MILLETHOLLOW_NODE_METRICS_H_
#define MILLETHOLLOW_NODE_METRICS_H_

#include <string>

#include "core/planner.h"
#include "core/request.h"
#include "net/cluster/member.h"
#include "net/cluster/replicated_durable_jobs.h"

namespace millethollow {

// The components that provide metrics. Pointers are null if the process has no such component.
struct MetricsSources {
  const Counters& counters;
  const Planner* planner = nullptr;
  const cluster::Member* member = nullptr;
  const cluster::ReplicatedDurableJobs* durable_jobs = nullptr;
};

// Returns one metric per line in the format of statsd: `name:value|type`, where type is c (counter)
// or g (gauge).
std::string MetricsText(const MetricsSources& sources);

// Returns the process's counters as `name=value` fields separated by spaces, without a line end.
std::string CountersText(const Counters& counters);

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_METRICS_H_
