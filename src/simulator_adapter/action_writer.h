// Converts actions of the decision module to messages of the simulator. action_writer.cpp has a
// table of the names in the code and on the wire.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_ACTION_WRITER_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_ACTION_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::simulator_adapter {

// Appends an action of `instance` to `reply`, as one line. AwaitCapacity has no message, since the
// scheduler in front of the decision module executes it.
void AppendAction(std::int64_t instance, const balancing::Action& action, std::string* reply);

// Appends the message that `instance` can't run, with the reason.
void AppendInstanceFailure(std::int64_t instance, std::string_view error, std::string* reply);

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_ACTION_WRITER_H_
