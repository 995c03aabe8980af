// From actions of the decision module to messages of the simulator. The table of the wire's names
// and the code's is in action_writer.cpp.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_ACTION_WRITER_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_ACTION_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::simulator_adapter {

// Appends the line of an action of `instance` to `reply`. AwaitCapacity has none: the scheduler
// before the decision module carries it out.
void AppendAction(std::int64_t instance, const balancing::Action& action, std::string* reply);

// Appends the line that says that `instance` can't run, and why.
void AppendInstanceFailure(std::int64_t instance, std::string_view error, std::string* reply);

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_ACTION_WRITER_H_
