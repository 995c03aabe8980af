// The section `scheduling` of a configuration file.
#ifndef MILLETHOLLOW_CONFIG_SCHEDULING_H_
#define MILLETHOLLOW_CONFIG_SCHEDULING_H_

#include <string>
#include <string_view>
#include <vector>

#include "scheduling/options.h"

namespace millethollow {

// Reads the section from the text of a file; leaves `options` unchanged if there is none. Returns
// false and sets a one-line `error` for an unknown key or a value out of range. `classes`: the
// names that `hold.classes` may contain; empty: any.
bool ReadScheduling(std::string_view text, const std::vector<std::string>& classes,
                    scheduling::Options* options, std::string* error);

// Reads a file that contains this section only.
bool LoadScheduling(const std::string& path, const std::vector<std::string>& classes,
                    scheduling::Options* options, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_SCHEDULING_H_
