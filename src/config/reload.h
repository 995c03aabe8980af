// Reloads the configuration file of a running process. A file is checked as a whole before any of
// it takes effect.
#ifndef MILLETHOLLOW_CONFIG_RELOAD_H_
#define MILLETHOLLOW_CONFIG_RELOAD_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"

namespace millethollow {

// Checks that `new_text` has each key of `current_text`, with a value of the same type, also in its
// classes and tenants; this rejects a truncated file. An operator's optional sections (log level,
// Gearman, scheduling) may be missing. Returns false and sets a one-line `error` otherwise.
bool CheckNoKeyMissing(std::string_view current_text, std::string_view new_text,
                       std::string* error);

// Changes of the class table.
struct ClassChanges {
  std::vector<int> reassigned;  // indices that stand for another class from now on
};
// Brings the classes of `new_config` into `config`, where each class keeps its index. A class with
// a new name or other settings gets an index of its own: the first that no open job uses
// (`in_use`), or a further one. Classes that the new file lacks become inactive.
ClassChanges MergeClasses(const Config& new_config, const std::function<bool(int)>& in_use,
                          Config* config);

// Applies what can change under load: the settings, the scheduling options, the discovery address,
// the list of known workers, the log level and the Gearman functions; all else takes effect at a
// restart. Returns false and sets a one-line `error` if the new file is rejected; `config` is then
// unchanged.
bool ReloadConfig(const std::string& path, const std::function<bool(int)>& in_use, Config* config,
                  ClassChanges* changes, std::string* error);

}  // namespace millethollow

#endif  // MILLETHOLLOW_CONFIG_RELOAD_H_
