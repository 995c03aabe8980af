// The section `scheduling` of an operator's file.
#ifndef MILLETHOLLOW_CONFIG_SCHEDULING_H_
#define MILLETHOLLOW_CONFIG_SCHEDULING_H_

#include <string>
#include <string_view>
#include <vector>

#include "scheduling/options.h"

namespace millethollow {

// Reads the section from a file's text; where there is none, `options` stays as it is. False, with
// one clear line, for a key that is not known or a value out of its range. `classes`: the names
// that `hold.classes` may have; empty: any.
bool ReadScheduling(std::string_view text, const std::vector<std::string>& classes,
                    scheduling::Options* options, std::string* error);

// The same from a file of which the section is the only one.
bool LoadScheduling(const std::string& path, const std::vector<std::string>& classes,
                    scheduling::Options* options, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_SCHEDULING_H_
