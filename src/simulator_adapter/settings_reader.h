// Reads the settings of a dispatcher from the names and values of the simulator's START message or
// of a flattened configuration file. settings_reader.cpp has a table of the names.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_SETTINGS_READER_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_SETTINGS_READER_H_

#include "millethollow/balancing/load_balancer.h"
#include "millethollow/error.h"
#include "simulator_adapter/wire_line.h"

namespace millethollow::simulator_adapter {

// Returns settings that pass ValidateSettings, or an error that names the first invalid value.
// Unknown names are ignored; of several fields with one name the last counts.
Result<balancing::Settings> ParseSettings(const Fields& fields);

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_SETTINGS_READER_H_
