// Names of the harness that history.h still uses.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_CLUSTER_RIG_H_
#define MILLETHOLLOW_TESTS_SUPPORT_CLUSTER_RIG_H_

#include "support/cluster_harness.h"

namespace millethollow::rig {
using Cluster = ClusterHarness;
using Raw = RawClient;
}  // namespace millethollow::rig

#endif  // MILLETHOLLOW_TESTS_SUPPORT_CLUSTER_RIG_H_
