// Numbers that tell processes apart.
#ifndef MILLETHOLLOW_NODE_PROCESS_NUMBER_H_
#define MILLETHOLLOW_NODE_PROCESS_NUMBER_H_

#include <cstdint>

namespace millethollow {

// Returns a random number that is not 0. Ids that are made from it differ from those of all other
// processes, also of an earlier or a concurrent one with the same node name. To be called after
// the process was forked, once for each maker of ids.
std::uint64_t DrawProcessNumber();

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_PROCESS_NUMBER_H_
