// The node's figures as text, for the admin address and SIGUSR1.
#ifndef MILLETHOLLOW_NODE_METRICS_H_
#define MILLETHOLLOW_NODE_METRICS_H_

#include <string>

#include "core/planner.h"
#include "core/request.h"
#include "net/cluster/member.h"
#include "net/cluster/replicated_durable_jobs.h"

namespace millethollow {

// Pointers may be null where the process has no such part.
struct MetricsSources {
  const Counters& counters;
  const Planner* planner = nullptr;
  const cluster::Member* member = nullptr;
  const cluster::ReplicatedDurableJobs* durable_jobs = nullptr;
};

// One metric a line, `name:value|type` with type c (counter) or g (gauge), as in statsd.
std::string MetricsText(const MetricsSources& sources);

// The program's counters as `name=value`, separated by blanks, without a line end.
std::string CountersText(const Counters& counters);

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_METRICS_H_
