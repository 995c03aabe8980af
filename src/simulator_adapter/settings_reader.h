// Reads the settings of a dispatcher from the names and values that the simulator's START message
// and the node's configuration file give them. The table of those names and the code's is in
// settings_reader.cpp.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_SETTINGS_READER_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_SETTINGS_READER_H_

#include "millethollow/balancing/load_balancer.h"
#include "millethollow/error.h"
#include "simulator_adapter/wire_line.h"

namespace millethollow::simulator_adapter {

// Settings that pass ValidateSettings, or the first value that is wrong. Unknown names are ignored;
// of two fields with one name the last counts.
Result<balancing::Settings> ParseSettings(const Fields& fields);

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_SETTINGS_READER_H_
